#!/bin/bash
# Runs the cases of regress/front/cases_crash.py: lovage-front before engines that a request crashes, on a new site
# for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_crash.py" "$build/lovage-front"
