#!/bin/bash
# Runs the cases of regress/front/cases_links.py: lovage-front with large tables over slow links, on a new site
# for each case.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_links.py" "$build/lovage-front"
