#!/bin/bash
# The steward that holds the duty of roll-outs is frozen until its lease has expired, as when its host pauses the
# VM. A second steward takes the duty over with the next fencing number and backs a bad version out. Then
# the first continues in the belief that it holds the duty: it must change no configuration and send no orders. At
# the end the holder is stopped by SIGTERM and releases the duty.
build=${1:-build}
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/rollout_lib.sh"
WAIT_MAX_S=60

fence_is() {
  [ "$(duty_fence)" = "$1" ]
}

engine_has_fence() {
  engine_orders "$1" | jq -e --argjson f "$2" 'select(.fence == $f)' >/dev/null
}

engine_unloaded() {
  engine_orders "$1" | jq -e --arg v "$2" 'select(.unload | index($v))' >/dev/null
}

# log_has STEWARD PATTERN: true if the steward's log has a line that matches.
log_has() {
  grep -q "$2" "$site/log/steward-$1.err"
}

# The fencing numbers of an engine's orders must not fall, and the engine must not have refused any order.
check_order_fences() {
  local n falls refused
  for n in 1 2 3 4; do
    falls=$(engine_orders $n | jq -r .fence | awk '$1 < last { print last " then " $1 } { last = $1 }')
    expect_equal "old fencing numbers at engine $n" "" "$falls"
    refused=$(engine_orders $n | jq -c 'select(.obeyed | not)')
    expect_equal "orders that engine $n refused" "" "$refused"
  done
}

# check_audit LAST: the audit trail has each fencing number from 1 to LAST once, in order.
check_audit() {
  expect_equal "fencing numbers in the audit trail" "$(seq -s' ' 1 "$1")" \
    "$(audit_of duty | jq -r 'select(.to != "") | .to' | paste -sd' ')"
}

site_start 3
wait_for "a holder of the duty" duty_is_held
first=$(duty_holder)
fence=$(duty_fence)
for n in 1 2 3 4; do
  wait_for "an order of the first holder at engine $n" engine_has_fence $n "$fence"
done
traffic_gates=($(seq 1 3 | grep -v "^$first$"))
rollout_start draft-small 0.5,1
traffic_start draft-small 400

kill -STOP "${pid[steward-$first]}"
frozen=$SECONDS
for n in 1 2; do
  engine_fault $n '{"kind":"bad_version","value":"draft-small@v2"}'
done
wait_for "a successor" fence_is $((fence + 1))
second=$(duty_holder)
echo "steward $first frozen: steward $second holds the duty $((SECONDS - frozen)) s later"
[ "$second" != "$first" ] || fail "the frozen steward holds the duty"
wait_for "the back-out of the bad version" rollout_state_is draft-small backed_out
for n in 1 2 3 4; do
  wait_for "an order of the successor at engine $n" engine_has_fence $n $((fence + 1))
done
# A change that requires new orders, so that the first holder has orders to send when it continues. It learns of
# the change from its peers, but the faults keep it from reading in the table that it lost the duty.
ctl withdraw --wait accepted draft-large@v2 || fail "withdraw"
number=$(head_number)
platform_fault '{"kind":"down","path":"/v1/txn"}'
platform_fault '{"kind":"lose_call","path":"/v1/row"}'
kill -CONT "${pid[steward-$first]}"
wait_for "the change at the first holder" log_has "$first" "steward_document .*config=\"$number\""
sleep 2
platform_clear_faults
wait_for "the first holder to notice that it lost the duty" log_has "$first" 'steward_duty_lost'
for n in 3 4; do
  wait_for "the order to unload the withdrawn version at engine $n" engine_unloaded $n draft-large@v2
done
sleep 4
traffic_stop draft-small
expect_equal "fencing number" $((fence + 1)) "$(duty_fence)"
expect_equal "steps of the roll-out" 1 "$(rollout_steps draft-small | wc -l)"
check_order_fences
check_audit $((fence + 1))

stopped=$SECONDS
stop_process "steward-$second"
expect_equal "exit status of the holder" 0 "$status"
wait_for "a successor of the holder that stopped" fence_is $((fence + 2))
echo "steward $second stopped: steward $(duty_holder) holds the duty $((SECONDS - stopped)) s later"
expect_equal "audit entries of the duty's release" 1 "$(audit_of duty | jq -c 'select(.to == "")' | wc -l)"
check_audit $((fence + 2))
for n in 1 2 3 4; do
  wait_for "an order of the third holder at engine $n" engine_has_fence $n $((fence + 2))
done
check_order_fences
site_stop
echo "lease: passed"
