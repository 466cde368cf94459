#!/bin/bash
# A short soak with a fixed seed: kills, freezes, cut links, faults of the platform, concurrent operators, brakes,
# and patches while a VM is frozen, checked by the oracle of regress/soak. --slack extends the time limits, so
# that a loaded machine gives the same result.
build=${1:-build}
here=$(dirname "$0")
TRIES=3
NOT_STARTED=2

for ((try = 1; try <= TRIES; try++)); do
  python3 "$here/soak/soak.py" --build "$build" --seed 4 --seconds 25 --vms 3 --callers 8 \
    --episode freeze_in_patch --slack 20
  status=$?
  # The site did not start, because another process took a port after it was chosen.
  [ $status -eq $NOT_STARTED ] || exit $status
done
exit $status
