#!/bin/bash
# Runs the cases of regress/front/cases_evacuation.py: fronts that don't see an evacuation end, on a new site for each
# case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_evacuation.py" "$build/lovage-front"
