#!/bin/bash
# Runs the cases of regress/front/cases.py: lovage-front with stand-ins of the platform's store and of the
# engines, on a new site for each case. case_front_servers.sh runs those about servers.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases.py" "$build/lovage-front"
