#!/bin/bash
# Runs the cases of regress/front/cases.py that are about servers which leave, restart, are evacuated, cold, limited or ask
# for rest, on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_servers.py" "$build/lovage-front"
