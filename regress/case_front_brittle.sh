#!/bin/bash
# Runs the cases of regress/front/cases_brittle.py: lovage-front with engines that survive few requests beyond their room,
# on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_brittle.py" "$build/lovage-front"
