#!/bin/bash
# Runs the cases of regress/front/cases_in_force.py: lovage-config beside a stand-in of the platform's store.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_in_force.py" "$build/lovage-config"
