#!/bin/bash
# A short soak of lovage-front with fixed seeds; its bounds of time are widened by --slack, so that a
# busy machine gives the same verdict. Seeds that ever failed stand in regress/front/seeds.txt with
# their cause and are played here too.
build=${1:-build}
here=$(dirname "$0")
failed=0

play() {
  python3 "$here/front/soak.py" "$build/lovage-front" --seed "$@" --seconds 14 --slack 10 || failed=1
}

play 4
play 5 --narrow
while read -r seed _; do
  play "$seed"
done < <(grep -v '^#' "$here/front/seeds.txt")
exit $failed
