#!/bin/bash
# Heads that libmicrohttpd itself answers twice, or takes, before the gate sees them. Story: a caller
# sends a negative length, or hides a line in a folded field; the gate answers twice on one connection,
# or serves a request that another parser reads differently.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

site_start 1
body='{"model":"draft-small","messages":[{"role":"user","content":"[id=bad-10]"}]}'
python3 "$(dirname "$0")/doubtful_heads.py" "$(gate_url 1 | sed s,.*://,,)" "${key[tender-desk]}" "$body" \
  "negative length" "signed length" "no host" "folded line" "NUL in a field" "bytes before a request" \
  || fail "a doubtful head was not refused once"
site_stop
echo "framing: passed"
