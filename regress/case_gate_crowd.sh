#!/bin/bash
# Runs the cases of regress/gate_crowd.py: crowds of callers that misbehave, at one gate.
#
# usage: case_gate_crowd.sh [BUILD-FOLDER [CASE...]]
build=${1:-build}
shift
. "$(dirname "$0")/lib.sh"

# The memory of the smallest machine.
adjust_settings() {
  sed -i 's/"streams_max": 2000,/"streams_max": 2000, "memory_max": 115343360,/' "$site/gate-$1.json"
}

site_start 1
python3 "$(dirname "$0")/gate_crowd.py" "${pid[gate-1]}" "$(gate_url 1 | sed s,.*://,,)" \
  "$(gate_local_url 1 | sed s,.*://,,)" "${key[tender-desk]}" "$@"
status=$?
[ $status -eq 0 ] || exit 1
site_stop
echo "crowds at the gate: passed"
