#!/bin/bash
# Runs the cases of regress/front/cases_names.py: lovage-front beside entries of the store whose names have unusual
# characters, on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_names.py" "$build/lovage-front"
