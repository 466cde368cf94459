#!/bin/bash
# Runs the cases of regress/front/cases_parts.py: lovage-front with requests that share a part of their prompts under which
# engines crash, on a new site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_parts.py" "$build/lovage-front"
