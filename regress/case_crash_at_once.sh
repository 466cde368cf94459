#!/bin/bash
# A prompt crashes every engine that runs it, and its client does not wait: when one VM refuses the prompt, it
# sends it to the next VM at once, six times in all. The first VM reports the crashes to the others before
# its own retry, so that the number of engines lost is bounded even without any wait between the requests.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

LOST_MAX=4 # engines: two by the first VM, one by each of the others
SENDS="1 2 3 1 2 3" # gates that get the prompt, in order
POOL="1 2 5 6 7 8" # engines that serve draft-small

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

engines_lost() {
  local n lost=0
  for n in $POOL; do
    alive "engine-$n" || lost=$((lost + 1))
  done
  echo $lost
}

# Sends the prompt to the gates in $SENDS without waiting; appends "status reason retry_after_ms" of each to $answers.
send_at_once() {
  local gate
  for gate in $SENDS; do
    ask "$gate" tender-desk "$(chat draft-small "Draft with the fatal clause" true)" \
      -H 'X-Lovage-Idempotent: yes'
    answers+=("$code $(body .error.reason) $(body .error.retry_after_ms)")
  done
}

site_start 3
add_engines
for n in $POOL; do
  set_crash "$n"
done
answers=()
send_at_once
printf 'answer: %s\n' "${answers[@]}"
lost=$(engines_lost)
echo "engines lost: $lost of 6"
[ "$lost" -le $LOST_MAX ] || fail "$lost engines lost to one request, at most $LOST_MAX expected"
ask 1 tender-desk "$(chat draft-small "Draft with the fatal clause" true)" -H 'X-Lovage-Idempotent: yes'
expect_refusal 422 not_run quarantined
for gate in 1 2 3; do
  ask $gate tender-desk "$(chat draft-small "Draft without that clause" true)"
  expect_complete_stream
done
for n in $POOL; do
  alive "engine-$n" || start_pool_engine "$n"
done
site_stop
echo "crash at once: passed"
