#!/bin/bash
# Runs lovagectl against a real site as an operator does, and checks each command's output, its exit status as
# documented in lovagectl(1), and what it changed. A second operator has the read role only.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

# --- helpers

adjust_settings() {
  local entry
  [ -n "${key[auditor]:-}" ] || key[auditor]=$(random_hex)
  printf '%s\n' "${key[auditor]}" >"$site/auditor.key"
  entry="{ \"name\": \"auditor\", \"key_hash\": \"$(key_hash "${key[auditor]}")\", \"roles\": [ \"read\" ] },"
  sed -i "s/\"operator_list\": \[/& $entry/" "$site/steward-$1.json"
  grep -q auditor "$site/steward-$1.json" || fail "no second operator was added to steward-$1.json"
}

operators_port() {
  echo "${port[$((18103 + 10 * $1))]}"
}

# at N COMMAND...: runs lovagectl with the endpoint of steward N only.
at() {
  local n=$1
  shift
  "$build/lovagectl" --steward "127.0.0.1:$(operators_port "$n")" --key-file "$site/operator.key" "$@"
}

as_auditor() {
  "$build/lovagectl" --steward "127.0.0.1:$(operators_port 1)" --key-file "$site/auditor.key" "$@"
}

# run COMMAND...: runs a command; sets $status, $out (standard output) and $err (standard error).
run() {
  "$@" >"$site/out/stdout" 2>"$site/out/stderr"
  status=$?
  out=$(cat "$site/out/stdout")
  err=$(cat "$site/out/stderr")
}

# expect STATUS STDOUT STDERR: the last run must have had exactly these.
expect() {
  expect_equal "exit status ($out $err)" "$1" "$status"
  expect_equal "standard output" "$2" "$out"
  expect_equal "standard error" "$3" "$err"
}

# expect_json FILTER EXPECTED COMMAND...: runs the command with --json; FILTER of its output must be EXPECTED.
expect_json() {
  local filter=$1 expected=$2
  shift 2
  run ctl --json "$@"
  expect_equal "exit status of --json $* ($err)" 0 "$status"
  expect_equal "$filter of --json $*" "$expected" "$(jq -rc "$filter" <<<"$out" 2>&1)"
}

# Prints the lines of a table in $out with "|" between columns.
columns() {
  sed -E 's/ +$//; s/ {2,}/|/g' <<<"$out"
}

view_is_complete() {
  [ "$(at 1 --json status | jq -r '[.view_established, (.members | length), all(.members[]; .state == "alive" or .state == "self")] | @csv')" = true,3,true ]
}

accepted_at() {
  [ "$(at "$1" --json status | jq -r '[.number, .accepted] | @csv')" = "$2,$2" ]
}

accepted_text() {
  echo "number $1 is accepted; in force on ${2:-3} of 3 VMs"
}

# --- checks, run in this order; $number is the newest configuration number

check_versions() {
  run ctl version create "$site/routing.json"
  expect 0 "number 1 is this document already" ""
  sed 's/"concurrent": 100, "weight": 1/"concurrent": 100, "weight": 2/' "$site/routing.json" >"$site/two.json"
  run ctl version create --reason "the workshop grows" "$site/two.json"
  expect 0 "$(accepted_text 2)" ""
  number=2
  run ctl version show 1
  expect_equal "first line" "// number 1" "$(head -n 1 <<<"$out")"
  expect_equal "document 1" "$(sed 1d "$site/routing.json" | jq -S .)" "$(sed 1d <<<"$out" | jq -S .)"
  expect_json .teams.workshop.weight 2 version show
  run ctl version diff 1 2
  expect 0 "teams.workshop.weight: 1 -> 2" ""
  run ctl version list
  expect_equal "heads" "NUMBER|BASE|STATE|AT|OPERATOR|REASON" "$(columns | head -n 1)"
  expect_equal "versions" "1|0|accepted|duty-operator|
2|1|accepted|duty-operator|the workshop grows" \
    "$(columns | sed 1d | awk -F'|' -v OFS='|' '{ print $1, $2, $3, $5, $6 }' | sort)"
  expect_json '[.head, .accepted, (.versions | length)]' '[2,2,2]' version list
  run ctl version show 3
  expect_equal "exit status of an unknown version" 1 "$status"
  sed 's/"weight": 1/"weight": -1/' "$site/routing.json" >"$site/bad.json"
  run ctl version create "$site/bad.json"
  expect 1 "" "$site/bad.json: teams.workshop.weight: expected a number from 0.001 to 1000, found -1"
}

# Three operators submit patches against the same number concurrently, each to another steward: one wins.
check_race() {
  local n losers=0 status
  local -A racer=()
  winner=
  for n in 1 2 3; do
    echo "{\"teams\":{\"workshop\":{\"concurrent\":$((40 + n))}}}" >"$site/race-$n.json"
  done
  for n in 1 2 3; do
    at $n patch submit --base $number --reason "racer $n" "$site/race-$n.json" \
      >"$site/out/race-$n" 2>"$site/out/race-$n.err" &
    racer[$n]=$!
  done
  for n in 1 2 3; do
    wait "${racer[$n]}"
    status=$?
    if [ $status -eq 0 ]; then
      [ -z "$winner" ] || fail "racers $winner and $n both won"
      winner=$n
      expect_equal "standard output of the winner" "$(accepted_text $((number + 1)))" "$(cat "$site/out/race-$n")"
    else
      expect_equal "exit status of racer $n ($(cat "$site/out/race-$n.err"))" 3 $status
      expect_equal "standard error of racer $n" "lovagectl: lost the race: the newest number is $((number + 1)) now" \
        "$(cat "$site/out/race-$n.err")"
      losers=$((losers + 1))
    fi
  done
  number=$((number + 1))
  expect_equal "losers" 2 $losers
  expect_json .head $number version list
  expect_json .teams.workshop.concurrent $((40 + winner)) version show
  expect_json '.versions[] | select(.number == 3) | .reason' "racer $winner" version list
}

check_errors() {
  echo '{"teams":{"workshop":{"weight":0,"wieght":3}},"backend_servers":{"engine-1":{"port":0}}}' >"$site/wrong.json"
  run ctl patch submit --base $number "$site/wrong.json"
  expect_equal "exit status" 1 "$status"
  expect_equal "errors" "lovagectl: refused with 400 (invalid): nothing was changed: 3 errors
  patched document: backend_servers.engine-1.port: expected a whole number from 1 to 65535, found 0
  patched document: teams.workshop.weight: expected a number from 0.001 to 1000, found 0
  patched document: teams.workshop.wieght: unknown name, expected one of: key_hash, allow, services, concurrent, tokens_per_s, weight" \
    "$(head -n 1 <<<"$err"; sed 1d <<<"$err" | sort)"
  expect_json .head $number version list
  expect_json .teams.workshop.weight 2 version show
}

check_withdraw() {
  run ctl withdraw draft-small@v2 --reason "clause numbers wrong"
  expect 0 "$(accepted_text $((number + 1)))" ""
  number=$((number + 1))
  run ctl withdraw draft-small@v2
  expect 0 "draft-small@v2 is withdrawn already, in number $number" ""
  run ctl withdraw draft-small@v3
  expect 1 "" "lovagectl: number $number has no version draft-small@v3"
  run ctl withdraw draft-small
  expect 2 "" "lovagectl: expected MODEL@VERSION, found 'draft-small'"
}

check_leave() {
  run ctl server leave engine-2
  expect 0 "$(accepted_text $((number + 1)))" ""
  number=$((number + 1))
  run ctl server leave engine-2
  expect 0 "engine-2 leaves already, in number $number" ""
  run ctl server leave engine-9
  expect 1 "" "lovagectl: number $number has no backend server engine-9"
  run ctl version diff $((number - 1)) $number
  expect 0 "backend_servers.engine-2.leaving: added true" ""
}

brakes_at() {
  [ "$(at "$1" --json brake list | jq -r '[.[].version] | join(" ")')" = "$2" ]
}

check_brake() {
  local n
  run at 2 brake draft-large@v2 --why "wrong language"
  expect 0 "draft-large@v2 is braked; it reaches the other VMs with their next heartbeats" ""
  for n in 1 2 3; do
    wait_for "the brake at steward $n" brakes_at $n draft-large@v2
    run at $n brake list
    expect_equal "brakes at steward $n" "BRAKED VERSION|SINCE NUMBER|BY|WHY
draft-large@v2|$number|duty-operator|wrong language" "$(columns)"
  done
  run ctl brake release draft-large@v2
  expect 0 "$(accepted_text $((number + 1)))" ""
  number=$((number + 1))
  for n in 1 2 3; do
    wait_for "the release at steward $n" brakes_at $n ""
    run at $n brake list
    expect 0 "no brakes" ""
  done
}

# members_are LINES: true if steward 1 shows these members; "silent" stands for the states suspect and dead.
members_are() {
  run at 1 status
  [ "$(columns | awk -F'|' '/^vm-/ { sub(/suspect|dead/, "silent", $4); print $1, $2, $4, $5, $6 }' | sort)" = "$1" ]
}

# A frozen steward is shown as behind after the next patch, which waits until that steward's grant has expired.
check_status() {
  wait_for "the members" members_are "vm-1 fukuoka self $number -
vm-2 kumamoto alive $number -
vm-3 kagoshima alive $number -"
  [[ $out =~ ^"asked vm-1: number $number in force there, $number accepted; platform ok; grant "[0-9]+" ms; view "[0-9]+$'\n' ]] \
    || fail "first line of the status: $out"
  kill -STOP "${pid[steward-3]}"
  run ctl patch submit --base $number - <<<'{"teams":{"workshop":{"concurrent":60}}}'
  expect 0 "$(accepted_text $((number + 1)) 2)" ""
  number=$((number + 1))
  wait_for "the lagging member in the status" members_are "vm-1 fukuoka self $number -
vm-2 kumamoto alive $number -
vm-3 kagoshima silent $((number - 1)) 1 behind"
}

# With two of three stewards frozen no majority can accept a patch: it is durable, and is accepted when they
# continue.
check_durable() {
  local n
  kill -STOP "${pid[steward-2]}"
  run at 1 patch submit --base $number --wait accepted --wait-ms 300 - <<<'{"teams":{"workshop":{"concurrent":70}}}'
  expect 5 "number $((number + 1)) is durable but not yet accepted; it will be (see lovagectl status)" ""
  number=$((number + 1))
  run at 1 version list
  expect_equal "state of the newest" durable "$(columns | awk -F'|' -v n=$number '$1 == n { print $3 }')"
  kill -CONT "${pid[steward-2]}" "${pid[steward-3]}"
  for n in 1 2 3; do
    wait_for "number $number accepted at steward $n" accepted_at $n $number
  done
  wait_for "a complete view" view_is_complete
  run ctl version list
  expect_equal "state of the newest" accepted "$(columns | awk -F'|' -v n=$number '$1 == n { print $3 }')"
}

check_roles() {
  local refused="lovagectl: refused with 403 (forbidden): this operator's roles don't include this call"
  run as_auditor status
  expect_equal "exit status of reading" 0 "$status"
  run as_auditor --json version list
  expect_equal "head" $number "$(jq .head <<<"$out")"
  run as_auditor withdraw draft-large@v1
  expect 1 "" "$refused"
  run as_auditor patch submit --base $number - <<<'{"teams":{"workshop":{"concurrent":1}}}'
  expect 1 "" "$refused"
  run as_auditor brake draft-large@v1 --why "not mine to stop"
  expect 1 "" "$refused"
  run "$build/lovagectl" --steward "127.0.0.1:$(operators_port 1)" --key-file "$site/workshop.key" status
  expect_equal "exit status with a team's key" 1 "$status"
  expect_json .head $number version list
  expect_json length 0 brake list
}

# entries ACTION: prints the action's entries of the audit trail in $out as "WHO FROM TO DETAIL".
entries() {
  jq -r --arg action "$1" '.entries[] | select(.action == $action) | "\(.who) \(.from) \(.to) \(.detail)"' <<<"$out"
}

# The audit trail has who made each change above, when, from which number to which, and why; it has no entry of a
# refused change.
check_audit() {
  local cut
  run ctl --json audit --since 1h
  expect_equal "first version" "duty-operator 0 1 " "$(entries create)"
  expect_equal "patches" "duty-operator 1 2 the workshop grows
duty-operator 2 3 racer $winner
duty-operator 3 4 clause numbers wrong
duty-operator 4 5 server leave engine-2
duty-operator 5 6 brake release draft-large@v2
duty-operator 6 7 
duty-operator 7 8 " "$(entries patch)"
  expect_equal "brakes" "duty-operator  draft-large@v2 wrong language" "$(entries brake)"
  expect_equal "accepted" "$(seq 1 $number)" "$(entries accept | awk '{ print $3 }')"
  expect_equal "entries outside the time of this case" 0 "$(jq --argjson from $began_ms --argjson to "$(date +%s%3N)" \
    '[.entries[].at_ms | select(. < $from or . > $to)] | length' <<<"$out")"
  run ctl audit
  expect_equal "heads" "AT|WHO|ACTION|FROM|TO|DETAIL" "$(columns | head -n 1)"
  expect_equal "the entry of number 2" 1 \
    "$(columns | grep -cE '^[0-9]{4}-[0-9]{2}-[0-9]{2} [0-9:]{8}Z\|duty-operator\|patch\|1\|2\|the workshop grows$')"
  run ctl audit --limit 3
  expect_equal "exit status" 0 "$status"
  expect_equal "lines" 4 "$(wc -l <<<"$out")"
  [[ $err =~ ^"lovagectl: there may be more: --since "([0-9]{13}-[0-9a-f]{16})$ ]] || fail "cut off: $err"
  cut=${BASH_REMATCH[1]}
  expect_json '.entries[0].key' "$cut" audit --since "$cut"
}

usage_is() {
  run ctl --json usage
  [ "$(jq -c '[.teams[] | {team, requests, prompt_tokens, completion_tokens}] | sort_by(.team)' <<<"$out")" = "$1" ]
}

# The usage charged to a team must be the sum of the usage in the answers to its callers.
check_usage() {
  local i expected
  for i in 1 2 3; do
    wait_for "gate $i" url_ready "$(gate_local_url $i)"
  done
  for i in 1 2 3; do
    ask $i tender-desk "$(MAX_TOKENS=$((10 + i)) chat draft-small "Draft bond $i")"
    expect_complete
    jq -c '{team: "tender-desk", usage}' "$site/out/body"
    ask $i workshop "$(MAX_TOKENS=$((20 + i)) chat draft-small "Draft a service report on pump $i" true)"
    expect_complete_stream
    sed -n 's/^data: //p' "$site/out/body" | grep usage | jq -c '{team: "workshop", usage}'
  done >"$site/out/usages"
  ask 2 tender-desk "$(chat draft-large "Check a clause")"
  expect_complete
  jq -c '{team: "tender-desk", usage}' "$site/out/body" >>"$site/out/usages"
  ask 1 workshop "$(chat draft-large "not allowed")"
  expect_refusal 403 not_run not_allowed
  expected=$(jq -sc 'group_by(.team) | map({team: .[0].team, requests: length,
    prompt_tokens: map(.usage.prompt_tokens) | add, completion_tokens: map(.usage.completion_tokens) | add})' "$site/out/usages")
  expect_equal "requests" '[4,3]' "$(jq -c 'map(.requests)' <<<"$expected")"
  wait_for "usage of $expected" usage_is "$expected"
  # cost_per_1k is 1 for draft-small and 8 for draft-large.
  expect_json '.teams[] | .versions[] | select((.cost * 1000 - (.prompt_tokens + .completion_tokens)
    * (if .version == "draft-large@v1" then 8 else 1 end) | fabs) > 0.001)' "" usage
  expect_json '[.teams[].versions[] | "\(.version) \(.requests)"] | sort' \
    '["draft-large@v1 1","draft-small@v1 3","draft-small@v1 3"]' usage
  expect_json '[.teams[].team]' '["workshop"]' usage --team workshop
  run ctl usage --team workshop
  expect_equal "the table" "TEAM|VERSION OR SERVICE|REQUESTS|PROMPT TOKENS|COMPLETION TOKENS|COST
$(jq -r '.[] | select(.team == "workshop") | ("draft-small@v1", "all") as $of
    | "workshop|\($of)|\(.requests)|\(.prompt_tokens)|\(.completion_tokens)|0.0\(.prompt_tokens + .completion_tokens)"' <<<"$expected")" \
    "$(columns)"
}

# Exit statuses 2 and 4; statuses 0, 1, 3 and 5 are checked above.
check_exit_statuses() {
  local wrong
  for wrong in "" "frobnicate" "version" "version diff 1" "version show one" "patch submit --base 0 -" \
    "patch submit --base 1 --wait soon -" "audit --since yesterday" "status now"; do
    run ctl $wrong
    expect_equal "exit status of a wrong command line: $wrong" 2 "$status"
    expect_equal "standard output of $wrong" "" "$out"
  done
  run "$build/lovagectl" status
  expect 2 "" "lovagectl: no steward is named: use --steward IP:PORT or LOVAGE_STEWARDS"
  find_port
  run "$build/lovagectl" --steward "127.0.0.1:$free" --key-file "$site/operator.key" status
  expect_equal "exit status without a steward" 4 "$status"
  expect_equal "last error line without a steward" "lovagectl: no steward answered" "$(tail -n 1 <<<"$err")"
  run "$build/lovagectl" --steward "127.0.0.1:$free,127.0.0.1:$(operators_port 2)" --key-file "$site/operator.key" \
    --json status
  expect_equal "exit status with one steward of two" 0 "$status"
  expect_equal "the steward that was asked" vm-2 "$(jq -r .vm <<<"$out")"
}

began_ms=$(date +%s%3N)
site_start 3
wait_for "a complete view" view_is_complete
check_versions
check_race
check_errors
check_withdraw
check_leave
check_brake
check_status
check_durable
check_roles
check_audit
check_usage
check_exit_statuses
site_stop
echo "lovagectl: passed"
