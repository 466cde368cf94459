#!/bin/bash
# Runs the cases of regress/front/cases_stop.py: callers' requests that come while lovage-front stops, on a new site for
# each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_stop.py" "$build/lovage-front"
