#!/bin/bash
# A prompt crashes every engine that runs it, and its client sends it again three seconds later, to one VM after
# the other. Without a quarantine each send would cost engines until none is left. Gates report to their
# stewards which servers died during which requests, and the stewards share these reports; after the first
# send no VM runs the prompt again.
# Then all engines of a pool crash for a cause that is not in any request. Each request in progress has been on
# about two engines that crashed. When its caller sends it again after the engines are back, it must not be
# refused.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

LOST_MAX=2     # engines that one request may crash in the whole site
SENT_AGAIN_S=3 # longer than death reports take to reach all VMs: a load report, two grants, a heartbeat
POOL="1 2 5 6 7 8" # engines that serve draft-small
LONG_REQUEST_COUNT=24

start_pool_engine() {
  start_process "engine-$1" standin-engine --address 127.0.0.1 --port "${port[$((18010 + $1))]}" \
    --serves draft-small@v1,draft-small@v2 --slots 8
}

# Adds engines 5 to 8 to the two of the site that serve draft-small.
add_engines() {
  local n patch=
  for n in 5 6 7 8; do
    map_port $((18010 + n))
    start_pool_engine $n
    patch+="${patch:+,}\"engine-$n\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\","
    patch+="\"port\":${port[$((18010 + n))]},\"failure_domain\":\"kumamoto\",\"slots\":8,"
    patch+="\"serves\":[\"draft-small@v1\",\"draft-small@v2\"]}"
  done
  for n in 5 6 7 8; do
    wait_for "engine $n" url_answers "$(engine_url $n)/v1/load"
  done
  submit_patch 1 "{\"backend_servers\":{$patch}}" || fail "patch with more engines"
  wait_for_number 2
}

set_crash() {
  curl -sf -X POST -d '{"kind":"crash_on","value":"the fatal clause"}' "$(engine_url "$1")/v1/fault" \
    || fail "engine $1 did not accept the fault"
}

engine_answers() {
  url_answers "$(engine_url "$1")/v1/load"
}

engines_lost() {
  local n lost=0
  for n in $POOL; do
    engine_answers "$n" || lost=$((lost + 1))
  done
  echo $lost
}

restart_lost_engines() {
  local n
  for n in $POOL; do
    engine_answers "$n" && continue
    start_pool_engine "$n"
    wait_for "engine $n" engine_answers "$n"
  done
}

crash_prompt() {
  ask "$1" tender-desk "$(chat draft-small "Draft with the fatal clause" true)" \
    -H 'X-Lovage-Idempotent: yes'
}

check_crash() {
  local n gate
  for n in $POOL; do
    set_crash "$n"
  done
  crash_prompt 1
  expect_equal "state of the first send" unknown "$(body .error.state)"
  [ -n "$(header Retry-After)" ] || fail "the answer to the first send has no Retry-After"
  sleep $SENT_AGAIN_S
  for gate in 2 3 1 2 3 1; do
    crash_prompt $gate
    expect_refusal 422 not_run quarantined
  done
  # The limit is for one request. The same prompt without streaming, or from another team, is another request and
  # would crash engines again.
  expect_equal "engines lost" $LOST_MAX "$(engines_lost)"
  for gate in 1 2 3; do
    ask $gate tender-desk "$(chat draft-small "Draft without that clause" true)"
    expect_complete_stream
  done
  restart_lost_engines
}

# start_long_request NUMBER: a request of 300 tokens at one of the gates, in the background.
start_long_request() {
  local gate=$(($1 % 3 + 1))
  curl -s --max-time $HTTP_MAX_S -o "$site/out/long-$1" -w '%{http_code}' -H "Authorization: Bearer ${key[tender-desk]}" \
    -H 'X-Lovage-Idempotent: yes' -d "$(MAX_TOKENS=300 chat draft-small "Long bond $1 [id=long-$1]")" \
    "$(gate_url $gate)/v1/chat/completions" >"$site/out/long-code-$1" &
  pid[long-$1]=$!
}

wait_for_long_requests() {
  local i
  for ((i = 1; i <= LONG_REQUEST_COUNT; i++)); do
    wait "${pid[long-$i]}"
    unset "pid[long-$i]"
  done
}

long_runs() {
  local n
  for n in $POOL; do
    curl -s --max-time 5 "$(engine_url "$n")/v1/record"
  done | jq '.[] | select(.mark != null and (.mark | startswith("long-")) and (.ended | not))' \
    | jq -s length
}

all_long_requests_run() {
  [ "$(long_runs)" -ge "$LONG_REQUEST_COUNT" ]
}

# Prints the number of server deaths that the gates have observed.
observed_deaths() {
  local gate
  for gate in 1 2 3; do
    curl -sf "$(gate_local_url $gate)/metrics"
  done | awk '/gate_server_deaths/ && !/^#/ { n += $NF } END { print n + 0 }'
}

observed_deaths_above() {
  [ "$(observed_deaths)" -gt "$1" ]
}

check_outage() {
  local i gate before
  before=$(observed_deaths)
  for ((i = 1; i <= LONG_REQUEST_COUNT; i++)); do
    start_long_request $i
  done
  wait_for "all long requests to run" all_long_requests_run
  for n in $POOL; do
    kill_process "engine-$n"
  done
  wait_for_long_requests
  wait_for "deaths to be seen" observed_deaths_above $((before + 5))
  sleep $SENT_AGAIN_S
  restart_lost_engines
  for gate in 1 2 3; do
    wait_for "gate $gate to answer again" gate_answers $gate
  done
  for ((i = 1; i <= LONG_REQUEST_COUNT; i++)); do
    start_long_request $i
  done
  wait_for_long_requests
  for ((i = 1; i <= LONG_REQUEST_COUNT; i++)); do
    expect_equal "status of long request $i when sent again ($(head -c 300 "$site/out/long-$i"))" \
      200 "$(cat "$site/out/long-code-$i")"
  done
}

gate_answers() {
  ask "$1" tender-desk "$(chat draft-small "are engines back")"
  [ "$code" = 200 ]
}

site_start 3
add_engines
check_crash
check_outage
site_stop
echo "quarantine: passed"
