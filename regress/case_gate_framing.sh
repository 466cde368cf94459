#!/bin/bash
# Ambiguous heads, which two parsers could read differently, alone and on a persistent connection. Guards against
# request smuggling: with a negative length or a line hidden in a folded field the gate could answer twice
# on one connection, or serve a request that another parser reads differently.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

site_start 1
body='{"model":"draft-small","messages":[{"role":"user","content":"[id=bad-10]"}]}'
python3 "$(dirname "$0")/ambiguous_heads.py" --kept "$(gate_url 1 | sed s,.*://,,)" "${key[tender-desk]}" "$body" \
  "length and chunks" "two lengths" "two hosts" "unknown coding" "two codings" "negative length" "signed length" "no host" "folded line" "CONNECT with a body" "NUL in a field" "bytes before a request" \
  || fail "an ambiguous head was not refused exactly once"
expect_equal "runs of ambiguous heads" 0 "$(run_count bad-10)"
expect_equal "runs of the valid requests before them" 24 "$(run_count good-10)"
site_stop
echo "framing: passed"
