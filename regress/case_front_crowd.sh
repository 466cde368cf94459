#!/bin/bash
# Runs the cases of regress/front/cases_crowd.py: crowds of callers that misbehave, on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_crowd.py" "$build/lovage-front"
