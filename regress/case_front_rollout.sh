#!/bin/bash
# Runs the cases of regress/front/cases_rollout.py: lovage-front with roll-outs of versions that are bad without failing,
# on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_rollout.py" "$build/lovage-front"
