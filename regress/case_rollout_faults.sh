#!/bin/bash
# Roll-outs of bad versions during other faults: replies of the table service are lost after the commit; the
# holder of the duty is killed between the brake and the patch; the table service is unavailable. Each time
# the version is stopped, and exactly one patch backs the roll-out out.
build=${1:-build}
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/rollout_lib.sh"
WAIT_MAX_S=60

# brake_at STEWARD VERSION: true if the steward has logged a brake of the version.
brake_at() {
  grep -q "steward_brake.*version=\"$2\"" "$site/log/steward-$1.err"
}

# brakes_at STEWARD VERSION: prints the number of brakes of the version that the steward has logged.
brakes_at() {
  grep -c "steward_brake .*version=\"$2\"" "$site/log/steward-$1.err"
}

# braked_again STEWARD VERSION COUNT: true if the steward has logged more than COUNT brakes of the version.
braked_again() {
  [ "$(brakes_at "$1" "$2")" -gt "$3" ]
}

# gate_answers_with_v1 GATE MODEL: true if the gate answers eight callers with v1.
gate_answers_with_v1() {
  local i
  for i in 1 2 3 4 5 6 7 8; do
    ask "$1" tender-desk "$(chat "$2" "who answers")" -H "X-Lovage-Caller: probe-$i"
    [ "$(header X-Lovage-Version)" = "$2@v1" ] || return 1
  done
}

expect_one_back_out() {
  expect_equal "steps of $1" "$2" "$(rollout_steps "$1" | wc -l)"
  expect_equal "the last step of $1" backed_out \
    "$(rollout_steps "$1" | tail -n 1 | jq -r --arg m "$1" '.patch.rollouts[$m].state')"
}

site_start 3
wait_for "a holder of the duty" duty_is_held

# The replies to all transactions are lost after the commit, also those to renewals of the duty. If the step were
# repeated after a lost reply, a second configuration number would show it.
traffic_start draft-small 400
rollout_start draft-small 0.5,1
platform_fault '{"kind":"lose_reply","path":"/v1/txn"}'
for n in 1 2; do
  engine_fault $n '{"kind":"bad_version","value":"draft-small@v2"}'
done
wait_for "the back-out while replies are lost" rollout_state_is draft-small backed_out
sleep 3
platform_clear_faults
expect_one_back_out draft-small 1
echo "lost replies: one step"

# The holder raises the brake, cannot write the patch, and is killed. The other stewards know the brake from its
# heartbeats, and the next holder writes the patch.
traffic_start draft-large 400
rollout_start draft-large 0.5,1
wait_for "a holder of the duty" duty_is_held
holder=$(duty_holder)
platform_fault '{"kind":"down","path":"/v1/txn"}'
for n in 3 4; do
  engine_fault $n '{"kind":"bad_version","value":"draft-large@v2"}'
done
wait_for "the brake at the holder" brake_at "$holder" draft-large@v2
kill_process "steward-$holder"
expect_equal "state of the roll-out when the holder died" running "$(rollout_now draft-large | cut -d' ' -f1)"
fence=$(duty_fence)
platform_clear_faults
wait_for "the back-out by another holder" rollout_state_is draft-large backed_out
expect_one_back_out draft-large 1
[ "$(duty_fence)" -gt "$fence" ] || fail "no other steward took the duty over"
echo "holder killed between brake and patch: one step, by steward $(duty_holder)"
start_steward "$holder"
for ((n = 1; n <= site_vms; n++)); do
  wait_for "gate $n to be ready" url_ready "$(gate_local_url $n)"
done
traffic_stop draft-large

# A second roll-out of the same version after its brake was released and the engines' faults were cleared: the
# earlier evidence must not count. Then the table service becomes unavailable and the version becomes bad.
for n in 1 2; do
  curl -sf --max-time 5 -X DELETE "$(engine_url $n)/v1/fault" || fail "engine $n did not clear its fault"
done
head=$(head_number)
submit_patch "$head" '{"models":{"draft-small":{"versions":{"v2":{"released":'"$head"'}}}},
  "rollouts":{"draft-small":{"state":"running"}}}' || fail "start of the second roll-out"
sleep 12
expect_equal "the second roll-out, with a good version" "running 0" "$(rollout_now draft-small)"
declare -a before=()
for ((n = 1; n <= site_vms; n++)); do
  before[n]=$(brakes_at $n draft-small@v2)
done
platform_fault '{"kind":"down","path":"/v1/txn"}'
platform_fault '{"kind":"lose_call","path":"/v1/row"}'
platform_fault '{"kind":"lose_reply","path":"/v1/scan"}'
for n in 1 2; do
  engine_fault $n '{"kind":"bad_version","value":"draft-small@v2"}'
done
for ((n = 1; n <= site_vms; n++)); do
  wait_for "a brake at steward $n without the table service" braked_again $n draft-small@v2 "${before[n]}"
  wait_for "gate $n without the bad version" gate_answers_with_v1 $n draft-small
done
platform_clear_faults
wait_for "the back-out after the outage" rollout_state_is draft-small backed_out
expect_one_back_out draft-small 2
echo "table service unavailable: braked meanwhile, one step afterwards"
traffic_stop draft-small
site_stop
echo "roll-out faults: passed"
