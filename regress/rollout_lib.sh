# Helpers of the roll-out cases: traffic of many callers, and queries about roll-outs, duties, orders and
# the audit trail. Sourced after lib.sh.

# Samples more answers for rating than by default, so that a roll-out gets its verdict within minutes.
adjust_settings() {
  sed -i 's/"sample_share": [0-9.]*/"sample_share": 0.5/' "$site/gate-$1.json"
}

# traffic_round MODEL CALLERS REQUESTS: sends REQUESTS requests, each by a random one of CALLERS callers, in
# turn to the gates of $traffic_gates, 16 at a time; appends a line "CALLER CODE VERSION" for each to
# $site/out/traffic-MODEL.
traffic_round() {
  local model=$1 callers=$2 requests=$3 i caller gate file=$site/out/curl-$1
  for ((i = 0; i < requests; i++)); do
    caller=caller-$((RANDOM % callers))
    gate=${traffic_gates[$((i % ${#traffic_gates[@]}))]}
    printf 'url = "%s/v1/chat/completions"\n' "$(gate_url "$gate")"
    printf 'header = "Authorization: Bearer %s"\n' "${key[tender-desk]}"
    printf 'header = "X-Lovage-Caller: %s"\n' "$caller"
    printf 'data = "{\\"model\\":\\"%s\\",\\"max_tokens\\":4,\\"messages\\":[{\\"role\\":\\"user\\",\\"content\\":\\"bond %d\\"}]}"\n' \
      "$model" $RANDOM
    printf 'output = "/dev/null"\nmax-time = 20\n'
    printf 'write-out = "%s %%{http_code} %%header{x-lovage-version}\\n"\nnext\n' "$caller"
  done | sed '$d' >"$file"
  curl -s -Z --parallel-max 16 -K "$file" >>"$site/out/traffic-$model" 2>/dev/null
}

# traffic_start MODEL CALLERS: repeats rounds of 48 requests in the background until traffic_stop MODEL.
traffic_start() {
  local name=traffic-$1
  [ -n "${traffic_gates:-}" ] || traffic_gates=($(seq 1 "$site_vms"))
  while :; do
    traffic_round "$1" "$2" 48
  done &
  pid[$name]=$!
}

traffic_stop() {
  kill_process "traffic-$1"
}

# exposed_callers MODEL VERSION: prints the number of callers that were answered by the version.
exposed_callers() {
  awk -v version="$2" '$3 == version { print $1 }' "$site/out/traffic-$1" | sort -u | wc -l
}

# answers_of MODEL VERSION: prints the number of answers by the version.
answers_of() {
  awk -v version="$2" '$3 == version' "$site/out/traffic-$1" | wc -l
}

# rollout_start MODEL STAGES: starts a roll-out from v1 to v2.
rollout_start() {
  ctl rollout start "$1" --from v1 --to v2 --stages "$2" || fail "rollout start $1"
}

# rollout_now MODEL: prints the state and stage of the roll-out in the newest configuration document, e.g.
# "running 0".
rollout_now() {
  curl -sf --max-time 10 "$(platform_url)/v1/row?table=config_text&key=$(printf %012d "$(head_number)")" \
    | jq -r --arg m "$1" '.value | fromjson | .rollouts[$m] | "\(.state) \(.stage // 0)"'
}

rollout_is() {
  [ "$(rollout_now "$1")" = "$2" ]
}

rollout_state_is() {
  [[ "$(rollout_now "$1")" == "$2 "* ]]
}

# rollout_steps MODEL: prints the configuration versions that the holder of the duty has submitted for a
# roll-out, one JSON object per line, in order.
rollout_steps() {
  table_rows config_version | jq -c --arg m "$1" \
    'select(.value.operator == "duty:rollout" and .value.patch.rollouts[$m] != null) | .value'
}

# Prints the incarnation of the duty's holder and the fencing number.
duty_row() {
  table_rows duty | jq -r 'select(.key == "rollout") | "\(.value.holder) \(.value.fence)"'
}

duty_fence() {
  duty_row | cut -d' ' -f2
}

# Prints the number of the steward that holds the duty. The duty's row names the holder by its incarnation,
# which that steward's log has.
duty_holder() {
  local n holder
  holder=$(duty_row | cut -d' ' -f1)
  [ -n "$holder" ] || return 0
  for ((n = 1; n <= site_vms; n++)); do
    ! grep -q "steward_started.*incarnation=\"$holder\"" "$site/log/steward-$n.err" || echo "$n"
  done
}

duty_is_held() {
  [ -n "$(duty_holder)" ]
}

# audit_of ACTION: prints the audit entries of an action, one JSON object per line, in order.
audit_of() {
  table_rows audit | jq -c --arg a "$1" 'select(.value.action == $a) | .value'
}

platform_fault() {
  curl -sf --max-time 5 -d "$1" "$(platform_url)/v1/fault" || fail "the platform did not accept the fault"
}

platform_clear_faults() {
  curl -sf --max-time 5 -X DELETE "$(platform_url)/v1/fault" || fail "the platform did not clear its faults"
}

engine_fault() {
  curl -sf --max-time 5 -d "$2" "$(engine_url "$1")/v1/fault" || fail "engine $1 did not accept the fault"
}

engine_orders() {
  curl -sf --max-time 5 "$(engine_url "$1")/v1/orders" | jq -c '.[]'
}
