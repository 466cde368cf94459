#!/bin/bash
# Runs the cases of regress/front/cases_early.py: lovage-front before engines that answer before they have taken the
# request, or with no status of HTTP, on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_early.py" "$build/lovage-front"
