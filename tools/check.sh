#!/bin/bash
# Runs the unit tests and the whole-path cases with the programs in a build folder. Its last line is "N passed, N
# failed", which counts the assertions of the unit tests and one for each whole-path case.
#
# usage: tools/check.sh BUILD-FOLDER unit|regress...
#
# KNOWN-RED.txt lists at most three tests that are known to fail, one per line as "TEST, cause, issue", where TEST is
# PROGRAM:CASE, regress/case_X.sh or, where a script runs several cases, regress/case_X.sh:CASE. Their failures are
# printed but not counted. Cases of crowds (regress/case_X_crowd.sh) are listed one by one and don't count among the
# three.
# EARLIER_FAILED is the number of steps that failed before (see .ci/run).
set -uo pipefail
cd "$(dirname "$0")/.."

shopt -s nullglob

UNIT_TIMEOUT_S=300
CASE_TIMEOUT_S=300
KNOWN_RED_MAX=3
# Number of tests that run in parallel: half of the processors, as a case starts a dozen processes.
CHECK_JOBS=${CHECK_JOBS:-$((($(nproc) + 1) / 2))}

build=$1
shift
logs=$build/logs
# Lines of each failed test's log that are printed again before the last line.
FAILED_LINES_MAX=8
passed=0
failed=${EARLIER_FAILED:-0}
failed_tests=()
declare -A known_red=()
mkdir -p "$logs"

read_known_red() {
  local line name counted=0
  [ -f KNOWN-RED.txt ] || return 0
  while IFS= read -r line; do
    [ -n "$line" ] || continue
    name=${line%%,*}
    [ -n "${known_red[$name]:-}" ] || [[ $name == regress/case_*_crowd.sh:* ]] || counted=$((counted + 1))
    known_red[$name]=$line
  done <KNOWN-RED.txt
  if [ $counted -gt $KNOWN_RED_MAX ]; then
    echo "KNOWN-RED.txt has more than $KNOWN_RED_MAX lines"
    failed=$((failed + 1))
  fi
}

# failed_cases LOG: prints the names of the cases that failed in a log of tests/suite.c or of a script that prints
# "CASE: FAILED, ...", one per line.
failed_cases() {
  awk '/^  Test: / { name = $2 } /FAILED$/ { print name }
    /^[a-z_]+: FAILED, / { sub (/:.*/, ""); print }' "$1" | sort -u
}

show_log() {
  sed 's/^/    /' "$1" | tail -n 60
}

# all_known_red PROGRAM LOG: true if at least one case failed and all that failed are listed in KNOWN-RED.txt.
all_known_red() {
  local program=$1 log=$2 name status=1
  while IFS= read -r name; do
    [ -n "${known_red[$program:$name]:-}" ] || return 1
    status=0
  done < <(failed_cases "$log")
  return $status
}

print_known_red() {
  local program=$1 log=$2 name
  while IFS= read -r name; do
    echo "known red: ${known_red[$program:$name]}"
  done < <(failed_cases "$log")
}

run_unit() {
  local program=$1 log last p f status
  log=$logs/$program.log
  timeout -k 10 $UNIT_TIMEOUT_S "$build/$program" >"$log" 2>"$log.err" </dev/null
  status=$?
  last=$(tail -n 1 "$log")
  if [[ ! $last =~ ^([0-9]+)\ passed,\ ([0-9]+)\ failed$ ]]; then
    echo "$program: ended with status $status before its summary"
    show_log "$log"
    show_log "$log.err"
    failed=$((failed + 1))
    return
  fi
  p=${BASH_REMATCH[1]}
  f=${BASH_REMATCH[2]}
  passed=$((passed + p))
  echo "$program: $last"
  if [ "$status" -eq 0 ] && [ "$f" -eq 0 ]; then
    return
  fi
  if [ "$status" -eq 1 ] && [ "$f" -gt 0 ] && all_known_red "$program" "$log"; then
    print_known_red "$program" "$log"
    return
  fi
  show_log "$log"
  show_log "$log.err"
  echo "$program: status $status"
  failed=$((failed + (f > 0 ? f : 1)))
}

run_case() {
  local script=$1 log status
  log=$logs/$(basename "$script" .sh).log
  timeout -k 30 $CASE_TIMEOUT_S "$script" "$build" >"$log" 2>&1 </dev/null
  status=$?
  if [ $status -eq 0 ]; then
    echo "$script: passed"
    passed=$((passed + 1))
  elif [ -n "${known_red[$script]:-}" ]; then
    echo "known red: ${known_red[$script]}"
  elif [ $status -eq 1 ] && all_known_red "$script" "$log"; then
    print_known_red "$script" "$log"
  else
    echo "$script: failed with status $status"
    show_log "$log"
    failed=$((failed + 1))
  fi
}

# run_in_background RUNNER ITEM: runs one test in a background process, which writes its output and counts to files.
run_in_background() {
  local runner=$1 item=$2 result
  result=$logs/$(basename "$item").result
  (
    passed=0
    failed=0
    "$runner" "$item" >"$result" 2>&1
    echo "$passed $failed" >"$result.counts"
  ) &
}

# collect ITEM: prints the output of a test run by run_in_background and adds its counts.
collect() {
  local item=$1 result p f
  result=$logs/$(basename "$item").result
  cat "$result"
  if ! read -r p f <"$result.counts"; then
    echo "$item: its runner ended without a result"
    p=0
    f=1
  fi
  passed=$((passed + p))
  failed=$((failed + f))
  [ "$f" -eq 0 ] || failed_tests+=("$item")
}

# Of a long output often only the end is kept.
print_failed_again() {
  local item
  for item in "${failed_tests[@]}"; do
    echo "failed: $item"
    grep -E 'FAILED|Error|^ +[0-9]+\. ' "$logs/$(basename "$item" .sh).log" | tail -n $FAILED_LINES_MAX | cut -c 1-300 | sed 's/^/    /'
  done
}

# run_all RUNNER ITEM...: runs tests, at most CHECK_JOBS in parallel, and prints their output in this order.
run_all() {
  local runner=$1 item
  shift
  for item in "$@"; do
    rm -f "$logs/$(basename "$item").result.counts"
    while [ "$(jobs -rp | wc -l)" -ge "$CHECK_JOBS" ]; do
      wait -n
    done
    run_in_background "$runner" "$item"
  done
  wait
  for item in "$@"; do
    collect "$item"
  done
}

read_known_red
for kind in "$@"; do
  case $kind in
    unit)
      sources=(tests/test_*.c)
      programs=("${sources[@]##*/}")
      run_all run_unit "${programs[@]%.c}"
      ;;
    regress)
      cases=()
      for script in regress/case_*.sh; do
        [[ $script == *_crowd.sh ]] || cases+=("$script")
      done
      run_all run_case "${cases[@]}"
      # What a process holds for a crowd is measured one case at a time, apart from other load.
      CHECK_JOBS=1 run_all run_case regress/case_*_crowd.sh
      ;;
    *)
      echo "unknown kind of test: $kind" >&2
      exit 2
      ;;
  esac
done
print_failed_again
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
