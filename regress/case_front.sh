#!/bin/bash
# lovage-front on the platform's protocol: each case of regress/front/cases.py on a site of its own,
# with stand-ins of the store and of the engines.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases.py" "$build/lovage-front"
