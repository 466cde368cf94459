#!/bin/bash
# Runs the cases of regress/front/cases_fellows.py: lovage-front beside fronts that can tell it nothing, on a new
# site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_fellows.py" "$build/lovage-front"
