#!/bin/bash
# A host is taken down for repair: its engine drains, or is marked as leaving in the configuration. A new request
# sent there would be refused or truncated, so that all gates must send new requests to the other engine. While
# both engines accept work, both get some.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

runs_at() {
  curl -sf --max-time 10 "$(engine_url "$1")/v1/record" | jq length
}

# send COUNT: sends that many requests, in turn to all gates and eight at a time; all must be answered.
send() {
  local i file=$site/out/curl
  for ((i = 0; i < $1; i++)); do
    printf 'url = "%s/v1/chat/completions"\n' "$(gate_url $((i % site_vms + 1)))"
    printf 'header = "Authorization: Bearer %s"\n' "${key[tender-desk]}"
    printf 'data = "{\\"model\\":\\"draft-small\\",\\"max_tokens\\":8,\\"messages\\":[{\\"role\\":\\"user\\",\\"content\\":\\"bond %d\\"}]}"\n' $i
    printf 'output = "/dev/null"\nmax-time = 20\nwrite-out = "%%{http_code}\\n"\nnext\n'
  done | sed '$d' >"$file"
  curl -s -Z --parallel-max 8 -K "$file" >"$site/out/codes" 2>/dev/null
  expect_equal "codes of $1 requests" "$1 200" "$(sort "$site/out/codes" | uniq -c | awk '{ print $1, $2 }')"
}

check_spread() {
  local a b
  send 48
  a=$(runs_at 1)
  b=$(runs_at 2)
  expect_equal "runs at both engines" 48 $((a + b))
  [ "$a" -ge 8 ] && [ "$b" -ge 8 ] || fail "48 requests went $a to engine 1 and $b to engine 2"
}

# metric NAME GATE...: prints the metric's sum over these gates.
metric() {
  local name=$1 gate
  shift
  for gate in "$@"; do
    curl -sf "$(gate_local_url "$gate")/metrics"
  done | awk -v name="$name" '$1 ~ "(^|_)" name "$" { n += $2 } END { print n + 0 }'
}

load_reported() {
  [ "$(metric gate_load_reports "$1")" -ge $((${reports[$1]} + 8)) ]
}

# Waits until each gate has had two rounds of load reports from the four engines: at least one began after this
# call.
wait_for_reports() {
  local gate
  local -a reports
  for gate in 1 2 3; do
    reports[gate]=$(metric gate_load_reports $gate)
  done
  for gate in 1 2 3; do
    wait_for "load reports at gate $gate" load_reported $gate
  done
}

# The gates learn from the load reports, one per second, that the engine drains; after that it gets no request.
check_draining() {
  local before
  curl -sf -X POST -d '{"kind":"drain"}' "$(engine_url 1)/v1/fault" || fail "engine 1 did not accept the fault"
  wait_for_reports
  before=$(metric gate_retries 1 2 3)
  send 24
  # A draining engine refuses a new request, and the gate retries it at the other engine.
  expect_equal "retries, which requests to the draining engine would add" "$before" "$(metric gate_retries 1 2 3)"
  curl -sf -X DELETE "$(engine_url 1)/v1/fault"
}

check_leaving() {
  local before
  wait_for_reports
  submit_patch 1 '{"backend_servers":{"engine-2":{"leaving":true}}}' || fail "patch"
  wait_for_number 2
  before=$(runs_at 2)
  send 24
  expect_equal "runs at the engine that leaves" "$before" "$(runs_at 2)"
  submit_patch 2 '{"backend_servers":{"engine-1":{"leaving":true}}}' || fail "patch"
  wait_for "number 3 at all gates" in_force_everywhere
  ask 1 tender-desk "$(chat draft-small "no engine is left")"
  expect_refusal 503 not_run no_server
  [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
  submit_patch 3 '{"backend_servers":{"engine-2":{"leaving":false}}}' || fail "patch"
  wait_for_number 4
  before=$(runs_at 1)
  send 24
  expect_equal "runs at the engine that leaves" "$before" "$(runs_at 1)"
}

in_force_everywhere() {
  local gate
  for gate in 1 2 3; do
    ask $gate tender-desk "$(chat draft-large "which number")"
    [ "$(header X-Lovage-Config)" = 3 ] || return 1
  done
}

site_start 3
check_spread
check_draining
check_leaving
site_stop
echo "servers: passed"
