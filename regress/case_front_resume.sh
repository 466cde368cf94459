#!/bin/bash
# Runs the cases of regress/front/cases_resume.py: lovage-front with streams that can't be resumed, on a new
# site for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_resume.py" "$build/lovage-front"
