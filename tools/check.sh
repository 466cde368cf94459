#!/bin/bash
# Runs the unit tests and the whole-path cases that are built in a folder, and prints as its last line
# "N passed, N failed": assertions of the unit tests, and one for each whole-path case.
#
# usage: tools/check.sh BUILD-FOLDER unit|regress...
#
# KNOWN-RED.txt lists at most three failing tests, one a line as "TEST, cause, issue", TEST being
# PROGRAM:CASE or regress/case_X.sh. Just these are passed over, and are printed.
# EARLIER_FAILED is the number of steps that failed before (see .ci/run).
set -uo pipefail
cd "$(dirname "$0")/.."

shopt -s nullglob

UNIT_TIMEOUT_S=300
CASE_TIMEOUT_S=300
KNOWN_RED_MAX=3
# Tests that run side by side; half of the processors, as a case starts a dozen processes.
CHECK_JOBS=${CHECK_JOBS:-$((($(nproc) + 1) / 2))}

build=$1
shift
logs=$build/logs
passed=0
failed=${EARLIER_FAILED:-0}
declare -A known_red=()
mkdir -p "$logs"

read_known_red() {
  local line name
  [ -f KNOWN-RED.txt ] || return 0
  while IFS= read -r line; do
    [ -n "$line" ] || continue
    name=${line%%,*}
    known_red[$name]=$line
  done <KNOWN-RED.txt
  if [ ${#known_red[@]} -gt $KNOWN_RED_MAX ]; then
    echo "KNOWN-RED.txt has more than $KNOWN_RED_MAX lines"
    failed=$((failed + 1))
  fi
}

# Names of the cases that failed in a log of tests/suite.c; one a line.
failed_cases() {
  awk '/^  Test: / { name = $2 } /FAILED$/ { print name }' "$1" | sort -u
}

show_log() {
  sed 's/^/    /' "$1" | tail -n 60
}

# True if each case that failed in the program's log is known red.
all_known_red() {
  local program=$1 log=$2 name any=1
  while IFS= read -r name; do
    [ -n "${known_red[$program:$name]:-}" ] || return 1
    any=0
  done < <(failed_cases "$log")
  return $any
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
  else
    echo "$script: failed with status $status"
    show_log "$log"
    failed=$((failed + 1))
  fi
}

# Runs one test in a process of its own; what it prints and counts is shown in order afterwards.
run_apart() {
  local runner=$1 item=$2 mark
  mark=$logs/$(basename "$item").result
  (
    passed=0
    failed=0
    "$runner" "$item" >"$mark" 2>&1
    echo "$passed $failed" >"$mark.counts"
  ) &
}

collect() {
  local item=$1 mark p f
  mark=$logs/$(basename "$item").result
  cat "$mark"
  if read -r p f <"$mark.counts"; then
    passed=$((passed + p))
    failed=$((failed + f))
  else
    echo "$item: its runner ended before its verdict"
    failed=$((failed + 1))
  fi
}

run_all() {
  local runner=$1 item
  shift
  for item in "$@"; do
    rm -f "$logs/$(basename "$item").result.counts"
    while [ "$(jobs -rp | wc -l)" -ge "$CHECK_JOBS" ]; do
      wait -n
    done
    run_apart "$runner" "$item"
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
      run_all run_case regress/case_*.sh
      ;;
    *)
      echo "unknown kind of test: $kind" >&2
      exit 2
      ;;
  esac
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
