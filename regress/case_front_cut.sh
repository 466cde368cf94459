#!/bin/bash
# Runs the cases of regress/front/cases_cut.py: lovage-front with fronts that are cut off from all engines,
# on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_cut.py" "$build/lovage-front"
