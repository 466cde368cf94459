#!/bin/bash
# Stewards under faults: a patch whose reply from the table service is lost; an outage of the table service, during
# which requests are served and brakes take effect; a frozen VM; a VM that is killed and replaced; the loss of
# the majority; and a VM that leaves.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

operators_url() {
  echo "http://127.0.0.1:${port[$((18103 + 10 * $1))]}"
}

# status N FILTER: prints what a jq filter selects from the status that steward N reports.
status() {
  curl -s --max-time 5 -H "Authorization: Bearer ${key[operator]}" "$(operators_url "$1")/v1/status" \
    | jq -r "$2"
}

# fault KIND [PATH [COUNT]]: injects a fault into the table service.
fault() {
  curl -sf --max-time 5 -X POST -d "{\"kind\":\"$1\",\"path\":\"${2:-/v1/}\",\"count\":${3:-0}}" \
    "$(platform_url)/v1/fault" || fail "fault $1"
}

clear_faults() {
  curl -sf --max-time 5 -X DELETE "$(platform_url)/v1/fault" || fail "the platform did not clear its faults"
}

status_is() {
  [ "$(status "$1" "$2")" = "$3" ]
}

# newest: prints the newest configuration number.
newest() {
  ctl --json version list | jq .head
}

# patch LABEL [STEWARD]: submits a patch against the newest number. It withdraws draft-small@v2 if the number is odd
# and makes it active if the number is even. Sets $answer.
patch() {
  local base state=withdrawn
  base=$(newest)
  [ $((base % 2)) -eq 1 ] || state=active
  answer=$(curl -s --max-time 40 -X POST -H "Authorization: Bearer ${key[operator]}" \
    -d "{\"base\":$base,\"reason\":\"$1\",\"patch\":{\"models\":{\"draft-small\":{\"versions\":{\"v2\":{\"state\":\"$state\"}}}}}}" \
    "$(operators_url "${2:-1}")/v1/patches?wait=in_force&wait_ms=20000")
}

# The table service's reply to the patch's transaction is lost after the commit: the operator must get a success,
# and there must be exactly one new number.
check_lost_reply() {
  local before
  before=$(newest)
  fault lose_reply /v1/txn 1
  patch "lost reply"
  clear_faults
  expect_equal "state ($answer)" in_force "$(jq -r .state <<<"$answer")"
  expect_equal "number" $((before + 1)) "$(jq -r .number <<<"$answer")"
  expect_equal "newest number" $((before + 1)) "$(newest)"
}

# The table service is unavailable for longer than a grant lasts: the stewards renew grants by proving to each other
# that nothing was accepted, the gates serve requests, and a brake reaches all VMs; a patch is refused with
# Retry-After.
check_outage() {
  local n
  fault down
  for n in 1 2 3; do
    wait_for "the outage at steward $n" status_is $n .platform down
  done
  # Longer than a grant lasts that was renewed by the table.
  sleep 4
  for n in 1 2 3; do
    expect_equal "proof at steward $n" peers "$(status $n .grant_proof)"
    url_ready "$(gate_local_url $n)" || fail "gate $n is not ready in the outage"
    ask $n tender-desk "$(chat draft-large "in the outage")"
    expect_complete
  done
  curl -s --max-time 20 -o "$site/out/refusal" -D "$site/out/refusal-head" -X POST \
    -H "Authorization: Bearer ${key[operator]}" -d '{"base":1,"patch":{},"reason":"x"}' \
    "$(operators_url 1)/v1/patches"
  grep -q '^HTTP/1.1 503' "$site/out/refusal-head" || fail "patch in the outage: $(cat "$site/out/refusal-head")"
  grep -qi '^Retry-After:' "$site/out/refusal-head" || fail "the refusal of the patch has no Retry-After"
  ctl brake draft-small@v1 --why "in the outage" || fail "brake in the outage"
  for n in 1 2 3; do
    wait_for "the brake at steward $n" status_is $n '.brakes[0].version' draft-small@v1
    wait_for "the brake at gate $n" braked_at $n
  done
  clear_faults
  wait_for "the end of the outage at steward 1" status_is 1 .platform ok
  wait_for "the brake in the table" brake_in_table
  wait_for "the audit entry" audited brake draft-small@v1
  ctl brake release draft-small@v1 || fail "release"
  for n in 1 2 3; do
    wait_for "the release at steward $n" status_is $n '.brakes | length' 0
  done
}

braked_at() {
  ask "$1" tender-desk "$(chat draft-small@v1 "braked")"
  [ "$(body .error.reason)" = version_braked ]
}

brake_in_table() {
  curl -s --max-time 5 "$(platform_url)/v1/row?table=brake&key=draft-small@v1" | jq -e .value
}

audited() {
  ctl --json audit | jq -e --arg a "$1" --arg t "$2" '.entries[] | select(.action == $a and .to == $t)'
}

# A VM is frozen: a patch is accepted by the others, and is in force when the frozen VM's grants must have expired.
# When the VM continues, it must not serve a request before it has the new number.
check_frozen() {
  local number
  kill -STOP "${pid[steward-3]}" "${pid[gate-3]}"
  patch "while frozen"
  expect_equal "state ($answer)" in_force "$(jq -r .state <<<"$answer")"
  expect_equal "members in force" 2 "$(jq -r .members_in_force <<<"$answer")"
  number=$(jq -r .number <<<"$answer")
  kill -CONT "${pid[steward-3]}" "${pid[gate-3]}"
  ask 3 tender-desk "$(chat draft-large "woken")"
  [ "$code" != 200 ] || expect_equal "number of an answer by the gate after the freeze" "$number" "$(header X-Lovage-Config)"
  wait_for "the number at the steward after the freeze" status_is 3 .number "$number"
  wait_for "gate 3" url_ready "$(gate_local_url 3)"
}

view_is_complete() {
  [ "$(status 1 '.view_established and (.members | length) == 3 and all(.members[]; .state == "alive" or .state == "self")')" = true ]
}

# A VM is killed and started again at the same address: its new incarnation replaces the old one in the view.
check_replaced() {
  local before
  before=$(status 1 '.members[] | select(.vm == "vm-3") | .incarnation')
  kill_process gate-3
  kill_process steward-3
  start_steward 3
  start_gate 3
  wait_for "the new incarnation" status_is 1 \
    "[.members[] | select(.vm == \"vm-3\" and .incarnation != \"$before\")] | length" 1
  wait_for "a complete view" view_is_complete
  wait_for "gate 3" url_ready "$(gate_local_url 3)"
  patch "after the replacement"
  expect_equal "members in force ($answer)" 3 "$(jq -r .members_in_force <<<"$answer")"
}

# Only the steward is killed and restarted, while its gate is frozen with a valid grant. The new steward does not
# know of that gate. If it reported the next patch as applied at once, the operator would get "in force",
# and the gate would still send requests to the withdrawn version when it continues.
check_gate_of_killed_steward() {
  local number
  [ $(($(newest) % 2)) -eq 1 ] || patch "so that v2 is active"
  wait_for "gate 3" url_ready "$(gate_local_url 3)"
  kill -STOP "${pid[gate-3]}"
  kill_process steward-3
  start_steward 3
  patch "while the gate is frozen"
  expect_equal "state ($answer)" in_force "$(jq -r .state <<<"$answer")"
  number=$(jq -r .number <<<"$answer")
  kill -CONT "${pid[gate-3]}"
  ask 3 tender-desk "$(chat draft-small@v2 "withdrawn meanwhile")"
  [ "$code" != 200 ] || fail "the gate sent a request after the freeze to a version withdrawn by number $number"
  wait_for "a complete view" view_is_complete
  wait_for "gate 3 again" url_ready "$(gate_local_url 3)"
}

# A steward is restarted while the table service is unavailable. It learns the configuration and the view from the
# other stewards, whose heartbeat requests reach its address, and its gate serves requests under grants proven
# by them. It has no vote.
check_restart_in_outage() {
  fault down
  wait_for "the outage at steward 3" status_is 3 .platform down
  kill_process steward-3
  start_steward 3
  wait_for "a grant by peers at the restarted steward" status_is 3 .grant_proof peers
  wait_for "gate 3 in the outage" url_ready "$(gate_local_url 3)"
  expect_equal "platform" down "$(status 3 .platform)"
  clear_faults
  wait_for "a complete view" view_is_complete
}

# Without the table service and without a majority the remaining VM cannot know whether a patch was accepted: it
# refuses new requests and suspects itself. When the table service is available again, it serves requests.
check_majority_lost() {
  kill -STOP "${pid[steward-1]}" "${pid[steward-2]}"
  fault down
  wait_for "the end of the grant" status_is 3 .grant_proof none
  wait_for "gate 3 refusing" gate_refuses 3
  wait_for "self-suspicion" status_is 3 .suspicion.kind self
  clear_faults
  wait_for "gate 3 with a grant by the table service alone" url_ready "$(gate_local_url 3)"
  expect_equal "proof" table "$(status 3 .grant_proof)"
  kill -CONT "${pid[steward-1]}" "${pid[steward-2]}"
  wait_for "a complete view" view_is_complete
}

gate_refuses() {
  ask "$1" tender-desk "$(chat draft-large "without a grant")"
  [ "$code" = 503 ] && [ "$(body .error.reason)" = no_grant ] && [ "$(body .error.state)" = not_run ]
}

# A VM stopped by SIGTERM leaves the view at once; the others continue with a view of two.
check_leave() {
  stop_process gate-3
  expect_equal "exit status of the gate" 0 "$status"
  stop_process steward-3
  expect_equal "exit status of the steward" 0 "$status"
  wait_for "a view of two" status_is 1 '.view_established and (.members | length) == 2' true
  patch "after the leave"
  expect_equal "members in force ($answer)" 2 "$(jq -r .members_in_force <<<"$answer")"
}

check_denied() {
  expect_equal "call without a key" 401 \
    "$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' "$(operators_url 1)/v1/status")"
  expect_equal "call with a team's key" 401 "$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    -H "Authorization: Bearer ${key[workshop]}" "$(operators_url 1)/v1/status")"
  expect_equal "unknown call" 404 "$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    -H "Authorization: Bearer ${key[operator]}" "$(operators_url 1)/v1/nothing")"
  expect_equal "body that is no JSON" 400 "$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    -H "Authorization: Bearer ${key[operator]}" -d '{"base":' "$(operators_url 1)/v1/patches")"
}

site_start 3
wait_for "a complete view" view_is_complete
check_denied
check_lost_reply
check_outage
check_frozen
check_replaced
check_gate_of_killed_steward
check_restart_in_outage
check_majority_lost
check_leave
site_stop
echo "stewards under faults: passed"
