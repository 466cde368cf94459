#!/bin/bash
# Runs the cases of regress/front/cases_time.py: lovage-front before a store whose clock is not its own, on a new site
# for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_time.py" "$build/lovage-front"
