#!/bin/sh
# model.sh BUILD: checks the models of model/ with spin, then the same models with one guard removed at a time, for
# which spin must find a counter-example. Prints a line per check; exits with 1 if a result is not as expected.
set -eu
build=$1/model
unexpected=0
mkdir -p "$build"

# run EXPECTED MODEL DEFINES: runs one search; EXPECTED is the number of errors that it must find.
run () {
  expected=$1; model=$2; defines=$3
  dir=$build/$(echo "$model $defines" | tr -c 'A-Za-z0-9\n' _)
  mkdir -p "$dir"
  cp "model/$model.pml" "$dir"
  # shellcheck disable=SC2086
  (cd "$dir" && spin -a $defines "$model.pml" >spin.out &&
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c &&
    ./pan -m200000 -w26 >pan.out)
  errors=$(sed -n 's/.*errors: *\([0-9]*\).*/\1/p' "$dir/pan.out")
  depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$dir/pan.out")
  states=$(awk '/states, stored/ { print $1; exit }' "$dir/pan.out")
  seconds=$(sed -n 's/.*elapsed time \([0-9.]*\).*/\1/p' "$dir/pan.out")
  result=complete
  if grep -q -e 'not completed' -e 'too small' "$dir/pan.out"; then result=stopped; fi
  if [ "$expected" = 0 ] && [ "$result" = stopped ]; then unexpected=1; fi
  if [ "$errors" != "$expected" ]; then unexpected=1; result="$result, NOT AS EXPECTED"; fi
  echo "$model $defines: $errors errors, $states states, depth $depth, $seconds s, $result"
}

run 0 view ""
run 0 view "-DVIEWS=6 -DINCARNATIONS=5 -DGO_ON"
run 0 grant ""
for guard in NO_SETTLING OLD_FORM ONE_MAJORITY ANY_VIEW SLOT_VOTES NEW_VOTERS ANY_NUMBER \
  ALIVE_TAKEN_OVER; do
  run 1 view "-D$guard"
done
run 1 view "-DNO_FLOOR -DGO_ON"
for guard in FROM_RECEIPT RELAYED_AS_NEW ANY_NUMBER HALF HEAD_FROM_RECEIPT ANY_HEAD; do
  run 1 grant "-D$guard"
done
exit $unexpected
