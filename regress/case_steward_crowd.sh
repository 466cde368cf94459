#!/bin/bash
# Runs the cases of regress/steward_crowd.py: crowds of strangers at the ports of one steward.
#
# usage: case_steward_crowd.sh [BUILD-FOLDER [CASE...]]
build=${1:-build}
shift
. "$(dirname "$0")/lib.sh"

site_start 1
python3 "$(dirname "$0")/steward_crowd.py" "${pid[steward-1]}" "127.0.0.1:${port[18113]}" "127.0.0.1:${port[18112]}" \
  "$(steward_local_url 1 | sed s,.*://,,)" "${key[operator]}" "$@"
status=$?
[ $status -eq 0 ] || exit 1
site_stop
echo "crowds at the steward: passed"
