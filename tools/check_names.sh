#!/bin/bash
# Checks the code against the boundary of platform/ and against the operators' page:
# - no name of the platform's protocol occurs in src/;
# - docs/OPERATIONS.md lists each log event and each counter of lovage-front.
set -uo pipefail
cd "$(dirname "$0")/.."

failed=0
names='Lovagehub-|TrafficSplit|ColdLeftMs|ExpectedRev|rows-(tx|get|feed)|Provider|ApiKeys|MaxAttempts|GapAimMs|KvCapacity|Tombstone|RampS'

if grep -nE "$names" src/*.[ch] src/*.def; then
  echo "names of the platform's protocol outside platform/"
  failed=1
fi

# expect_listed TEXT: TEXT must occur in docs/OPERATIONS.md.
expect_listed() {
  grep -qF "$1" docs/OPERATIONS.md && return
  echo "docs/OPERATIONS.md doesn't list $1"
  failed=1
}

while read -r event; do
  expect_listed "\`$event\`"
done < <(sed -nE 's/^EVENT \(\w+, "(\w+)".*/\1/p' src/front_event.def)
while read -r counter; do
  expect_listed "_${counter}_total"
done < <(sed -nE 's/^COUNTER \(\w+, "(\w+)".*/\1/p' src/front_counter.def)
exit $failed
