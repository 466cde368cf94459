#!/bin/bash
# Runs the cases of regress/front/cases_heads.py: engines and fronts that stop within the head of an answer, on a new
# site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_heads.py" "$build/lovage-front"
