#!/bin/bash
# A short soak of lovage-front with fixed seeds and with those of regress/front/seeds.txt, which failed before. --slack
# extends the time limits, so that a loaded machine gives the same result.
build=${1:-build}
here=$(dirname "$0")
failed=0

run_soak() {
  python3 "$here/front/soak.py" "$build/lovage-front" --seed "$@" --seconds 14 --slack 10 || failed=1
}

run_soak 4
run_soak 5 --narrow
run_soak 6 --contended
while read -r seed _; do
  run_soak "$seed"
done < <(grep -v '^#' "$here/front/seeds.txt")
exit $failed
