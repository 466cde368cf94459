#!/bin/bash
# Runs the cases of regress/front/cases_slow.py: lovage-front with callers and engines that read or send slowly,
# on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_slow.py" "$build/lovage-front"
