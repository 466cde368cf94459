#!/bin/bash
# Two roll-outs at the same time, without any action by an operator: a good version completes all stages and
# becomes the default; a bad one is braked and backed out after few callers were answered by it.
build=${1:-build}
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/rollout_lib.sh"
WAIT_MAX_S=200

CALLERS=400
BAD_SHARE=0.05 # share of the callers in the first stage of the bad version
# By their hashes 20 of 400 callers are in the first stage on average; 40 is 4.6 standard deviations above.
BAD_CALLERS_MAX=40

brake_origin() {
  table_rows brake | jq -r 'select(.key == "draft-large@v2") | .value.by'
}

brake_in_table() {
  [ -n "$(brake_origin)" ]
}

site_start 3
wait_for "a holder of the duty" duty_is_held
for n in 3 4; do
  engine_fault $n '{"kind":"bad_version","value":"draft-large@v2"}'
done
traffic_start draft-small $CALLERS
traffic_start draft-large $CALLERS
rollout_start draft-large $BAD_SHARE,0.5,1
begun=$SECONDS
rollout_start draft-small 0.5,1

wait_for "the back-out of the bad version" rollout_state_is draft-large backed_out
echo "bad version: backed out $((SECONDS - begun)) s after its start"
expect_equal "steps of the bad version" 1 "$(rollout_steps draft-large | wc -l)"
expect_equal "the step" backed_out "$(rollout_steps draft-large | jq -r '.patch.rollouts["draft-large"].state')"
# The brake takes effect before the table has it: a steward writes it there with its next poll.
wait_for "the brake in the table" brake_in_table
expect_equal "the brake's origin" duty:rollout "$(brake_origin)"
wait_for_number "$(head_number)"
answers=$(answers_of draft-large draft-large@v2)
exposed=$(exposed_callers draft-large draft-large@v2)
echo "bad version: $exposed of $CALLERS callers, $answers answers"
[ "$exposed" -ge 1 ] || fail "no caller was answered by the bad version"
[ "$exposed" -le $BAD_CALLERS_MAX ] || fail "$exposed callers were answered by the bad version"
sleep 3
expect_equal "answers of the bad version after its back-out" "$answers" "$(answers_of draft-large draft-large@v2)"

wait_for "the completion of the good version's roll-out" rollout_state_is draft-small done
echo "good version: done $((SECONDS - begun)) s after its start, $(answers_of draft-small draft-small@v2) answers"
expect_equal "the good version's steps" "1 done" \
  "$(rollout_steps draft-small | jq -r '.patch.rollouts["draft-small"] | .stage // .state' | paste -sd' ')"
traffic_stop draft-small
traffic_stop draft-large
wait_for_number "$(head_number)"
for ((n = 1; n <= site_vms; n++)); do
  ask $n tender-desk "$(chat draft-small "who answers now")"
  expect_complete
  expect_equal "version" draft-small@v2 "$(header X-Lovage-Version)"
  ask $n tender-desk "$(chat draft-small@v2 "the new one by name")"
  expect_complete
  ask $n tender-desk "$(chat draft-large "who answers now")"
  expect_complete
  expect_equal "version" draft-large@v1 "$(header X-Lovage-Version)"
done
site_stop
echo "roll-out: passed"
