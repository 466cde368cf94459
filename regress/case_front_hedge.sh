#!/bin/bash
# Runs the cases of regress/front/cases_hedge.py: lovage-front with copies of late requests, on a new site for each
# case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_hedge.py" "$build/lovage-front"
