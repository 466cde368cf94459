#!/bin/bash
# The whole path without faults: a team's requests, with and without streaming, through each of three gates, each
# answered by an allowed version and billed once; a version that becomes reachable by name; a withdrawal that
# takes effect at all gates; a graceful stop.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

check_answers() {
  local gate=$1 request
  ask "$gate" tender-desk "$(chat draft-small "Draft a bid bond at gate $gate")"
  expect_complete
  expect_equal "version" draft-small@v1 "$(header X-Lovage-Version)"
  request=$(header X-Lovage-Request)
  expect_one_bill "$request"
  expect_equal "the bill's team, version and outcome" "tender-desk draft-small@v1 answered" \
    "$(bills_of "$request" | jq -r '"\(.team) \(.attempts[-1].version) \(.outcome)"')"

  ask "$gate" tender-desk "$(chat draft-large "Check a clause at gate $gate" true)"
  expect_complete_stream
  expect_equal "version" draft-large@v1 "$(header X-Lovage-Version)"
  expect_one_bill "$(header X-Lovage-Request)"
}

check_refusals() {
  local gate=$1
  ask "$gate" workshop "$(chat draft-large "not ours")"
  expect_refusal 403 not_run not_allowed
  ask "$gate" workshop "$(chat draft-tiny "none")"
  expect_refusal 404 not_run unknown_model
}

# A candidate version is used only for the share of callers of a roll-out; by name it is refused until it is active.
check_candidate() {
  local gate
  ask 1 tender-desk "$(chat draft-small@v2 "a candidate by name")"
  expect_refusal 403 not_run not_allowed
  submit_patch 1 '{"models":{"draft-small":{"versions":{"v2":{"state":"active"}}}}}' \
    || fail "patch against 1"
  for ((gate = 1; gate <= site_vms; gate++)); do
    ask $gate tender-desk "$(chat draft-small@v2 "an active version by name")"
    expect_complete
    expect_equal "version" draft-small@v2 "$(header X-Lovage-Version)"
    expect_equal "number in force" 2 "$(header X-Lovage-Config)"
  done
  # A patch against an older number is refused, and the error names the newest number.
  submit_patch 1 '{"teams":{"workshop":{"weight":3}}}' >"$site/out/race" 2>&1 \
    && fail "a second patch against 1 was accepted"
  grep -q '\b2\b' "$site/out/race" || fail "the error does not name the newest number: $(cat "$site/out/race")"
}

check_withdrawal() {
  local gate
  ctl withdraw draft-small@v2 || fail "withdraw"
  for ((gate = 1; gate <= site_vms; gate++)); do
    wait_for "the withdrawal at gate $gate" withdrawn_at $gate
    # After its first refusal the version must stay withdrawn.
    ask $gate tender-desk "$(chat draft-small@v2 "again")"
    expect_refusal 409 not_run version_withdrawn
    ask $gate tender-desk "$(chat draft-small "the other version goes on")"
    expect_complete
    expect_equal "version" draft-small@v1 "$(header X-Lovage-Version)"
  done
}

withdrawn_at() {
  ask "$1" tender-desk "$(chat draft-small@v2 "is it withdrawn")"
  [ "$code" = 409 ]
}

check_service() {
  ask_path 2 tender-desk /v1/services/issuance-ledger/issue -H 'Idempotency-Key: case-1' \
    -d '{"guarantee":"G-1"}'
  expect_equal "status of the service's answer" 200 "$code"
  expect_one_bill "$(header X-Lovage-Request)"
}

site_start 3
for ((n = 1; n <= site_vms; n++)); do
  check_answers $n
  check_refusals $n
done
check_candidate
check_service
check_withdrawal
site_stop
echo "whole path: passed"
