#!/bin/sh
# mutations.sh: removes the guards listed in mk/mutations.txt one at a time, in a scratch copy, and runs
# the programs that must then fail. Prints the first failure of each; exit status 1 if a program passes
# without the guard.
set -eu
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r src rpc bench tests mk Makefile "$scratch"
cd "$scratch"
libs=$(pkg-config --libs json-c libxxhash gsl)
cluster=$(ls src/cluster*.c src/util_*.c | sed 's,\(.*\)\.c,build/obj/\1.o,')
steps=$(ls bench/steps_*.c | sed 's,\(.*\)\.c,build/obj/\1.o,')
bad=0

# build PROGRAM: builds it; cluster programs are linked with the cluster modules only, which is faster.
build () {
  case $1 in
    test_cluster_* | steps) ;;
    *)
      make -s -j3 BUILD=build SANITIZE=-Wno-error "build/$1" >build.log 2>&1
      return
      ;;
  esac
  case $1 in
    steps) objects="$steps $cluster" ;;
    *) objects="build/obj/tests/$1.o build/obj/tests/fake_members.o build/obj/tests/suite.o $cluster" ;;
  esac
  # shellcheck disable=SC2086
  make -s BUILD=build SANITIZE=-Wno-error $objects >build.log 2>&1 &&
    gcc -pthread $objects $libs -lsodium -lm -lcunit -o "build/$1" >>build.log 2>&1
}

# check NAME RUN: builds and runs the program of RUN, which must fail.
check () {
  program=${2%%:*}
  if ! build "$program"; then
    echo "$1: $program: does not build: $(grep -m1 error build.log)"
    bad=1
    return
  fi
  case $2 in
    steps:*) arguments=$(echo "${2#steps:}" | tr : ' ') ;;
    *) arguments= ;;
  esac
  # shellcheck disable=SC2086
  if "build/$program" $arguments >run.out 2>&1; then
    echo "$1: $2: PASSES WITHOUT THE GUARD"
    bad=1
    return
  fi
  first=$(grep -m1 -E '^ +1\. |^step |invariant_failed' run.out | sed 's/^ *1\. //; s/  */ /g')
  echo "$1: $2: $first"
}

while IFS='~' read -r name file expression runs; do
  case $name in '' | '#'*) continue ;; esac
  cp "$file" original
  sed -i -E "$expression" "$file"
  if cmp -s "$file" original; then
    echo "$name: the expression changes nothing"
    bad=1
  fi
  for run in $runs; do
    check "$name" "$run"
  done
  cp original "$file"
done <mk/mutations.txt
exit $bad
