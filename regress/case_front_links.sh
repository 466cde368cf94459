#!/bin/bash
# lovage-front with large tables over slow links: each case of regress/front/cases_links.py on a site of
# its own.
build=${1:-build}
exec python3 "$(dirname "$0")/front/cases_links.py" "$build/lovage-front"
