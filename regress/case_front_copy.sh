#!/bin/bash
# Runs the cases of regress/front/cases_copy.py: lovage-front before a store that comes back from a copy, on a new
# site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_copy.py" "$build/lovage-front"
