#!/bin/bash
# Measures automatic roll-outs on a site of real processes on loopback.
#
# usage: bench/rollout.sh BUILD exposure RUNS STAGE-SHARE SAMPLE-SHARE [CALLERS]
#        bench/rollout.sh BUILD writes VMS SECONDS
# SPREAD=S: the quality of an answer differs from its version's mean by up to S (default 0.2).
#
# exposure: rolls out a version of which one of two engines gives bad answers, so that about half of
# its answers are bad. Prints for each run how many callers it answered before it was braked.
# writes: prints the transactions per second for renewals of the roll-out duty and for rows of
# evidence, without a roll-out and with one under traffic.
build=${1:-build}
mode=${2:-exposure}
. "$(dirname "$0")/../regress/lib.sh"
. "$(dirname "$0")/../regress/rollout_lib.sh"
WAIT_MAX_S=240
sample=0.1

# Engines as in the regression cases, but with answers of varying quality.
eval "$(declare -f start_engine | sed 's/^start_engine/start_default_engine/')"
start_engine() {
  start_default_engine "$@" --spread "${SPREAD:-0.2}"
}

adjust_settings() {
  sed -i "s/\"sample_share\": [0-9.]*/\"sample_share\": $sample/" "$site/gate-$1.json"
}

run_exposure() {
  local share=$1 callers=$2 started_at rate
  site_start 3 >/dev/null
  wait_for "a holder of the duty" duty_is_held
  traffic_start draft-small "$callers"
  sleep 10
  rate=$(($(wc -l <"$site/out/traffic-draft-small") / 10))
  engine_fault 1 '{"kind":"bad_version","value":"draft-small@v2"}'
  rollout_start draft-small "$share,0.5,1" >/dev/null
  started_at=$SECONDS
  wait_for "the roll-out to be backed out" rollout_state_is draft-small backed_out
  wait_for_number "$(head_number)"
  printf '%s of %s callers, %s answers, %s s, at %s requests/s\n' \
    "$(exposed_callers draft-small draft-small@v2)" "$callers" \
    "$(answers_of draft-small draft-small@v2)" $((SECONDS - started_at)) "$rate"
  traffic_stop draft-small
  site_cleanup
}

# Sum of a counter over all stewards.
counter_sum() {
  local n
  for ((n = 1; n <= site_vms; n++)); do
    curl -s --max-time 5 "$(steward_local_url $n)/metrics"
  done | awk -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

print_writes() {
  local label=$1 seconds=$2 name
  local -A before=()
  local -a names=(steward_duty_writes steward_evidence_writes steward_table_writes steward_table_reads)
  for name in "${names[@]}"; do
    before[$name]=$(counter_sum "$name")
  done
  sleep "$seconds"
  printf '%s VMs, %s:' "$site_vms" "$label"
  for name in "${names[@]}"; do
    printf ' %s %s/s' "${name#steward_}" \
      "$(awk -v a="${before[$name]}" -v b="$(counter_sum "$name")" -v s="$seconds" 'BEGIN { printf "%.2f", (b - a) / s }')"
  done
  printf '\n'
}

run_writes() {
  local seconds=$2
  site_start "$1" >/dev/null
  wait_for "a holder of the duty" duty_is_held
  sleep 5
  print_writes "no roll-out" "$seconds"
  rollout_start draft-small 0.5,1 >/dev/null
  traffic_start draft-small 400
  sleep 5
  print_writes "a roll-out" "$seconds"
  traffic_stop draft-small
  site_stop
}

case $mode in
  exposure)
    sample=${5:-0.1}
    for ((run = 1; run <= ${3:-5}; run++)); do
      printf 'run %d, first stage %s, sample share %s: ' "$run" "${4:-0.05}" "$sample"
      run_exposure "${4:-0.05}" "${6:-1000}"
    done
    ;;
  writes)
    run_writes "${3:-3}" "${4:-20}"
    ;;
  *)
    fail "unknown mode \"$mode\": expected exposure or writes"
    ;;
esac
