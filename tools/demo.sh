#!/bin/bash
# make demo: runs a small site on loopback that serves two teams, rolls a version out and withdraws it; prints
# which version answered each team and what it cost.
build=${1:-build}
. "$(dirname "$0")/../regress/lib.sh"

answers=0
refusals=0

heading() {
  echo
  echo "== $*"
}

# request GATE TEAM MODEL CALLER PROMPT [STREAM]: sends a request; records the version that answered, or prints the refusal.
request() {
  local gate=$1 team=$2 model=$3 caller=$4 prompt=$5 stream=${6:-false} version
  ask "$gate" "$team" "$(chat "$model" "$prompt" "$stream")" -H "X-Lovage-Caller: $caller"
  version=$(header X-Lovage-Version)
  if [ "$code" != 200 ]; then
    refusals=$((refusals + 1))
    printf '%-12s %-12s asks %-14s at gate %s: refused, %s\n' "$team" "$caller" "$model" "$gate" \
      "$(body '"\(.error.reason) (\(.error.state))"')"
    return
  fi
  if [ "$stream" = true ]; then
    expect_complete_stream
  else
    expect_complete
  fi
  answers=$((answers + 1))
  echo "$team $version" >>"$site/out/answered"
  echo "$(header X-Lovage-Request)" >>"$site/out/requests"
}

# serve_round LABEL: sends requests of two teams through all gates, with and without streaming, and prints which
# versions answered.
serve_round() {
  local n label=$1
  : >"$site/out/answered"
  for n in 1 2 3 4 5 6; do
    request $((n % 3 + 1)) tender-desk draft-small "officer-$n" "$label: bid bond $n"
    request $((n % 3 + 1)) tender-desk draft "officer-$n" "$label: check clause $n" true
    request $((n % 3 + 1)) workshop draft-small "technician-$n" "$label: fault log $n" true
  done
  print_answered
}

print_answered() {
  printf '%-14s %-16s %s\n' TEAM "ANSWERED BY" REQUESTS
  sort "$site/out/answered" | uniq -c | awk '{ printf "%-14s %-16s %s\n", $2, $3, $1 }'
}

# answers_by VERSION: prints the number of answers by the version in the last round.
answers_by() {
  awk -v v="$1" '$2 == v' "$site/out/answered" | wc -l
}

print_costs() {
  printf '%-14s %-16s %8s %8s %10s\n' TEAM VERSION BILLS TOKENS COST
  table_rows bill | jq -r '.value | .team as $t | .attempts[]
      | "\($t) \(.version) \(.prompt_tokens + .completion_tokens) \(.cost)"' \
    | awk '{ k = $1 " " $2; n[k]++; tokens[k] += $3; cost[k] += $4 }
        END { for (k in n) { split(k, p, " ")
              printf "%-14s %-16s %8d %8d %10.4f\n", p[1], p[2], n[k], tokens[k], cost[k] } }' | sort
}

heading "a site of 3 VMs (gate and steward), 4 engines, 1 plain service, 1 platform"
site_start 3
ctl status

heading "configuration 1: every request is answered by v1"
serve_round first
expect_equal "answers by a candidate version" 0 "$(answers_by draft-small@v2)"

heading "a request that may run only once, sent twice under one key through two gates"
for n in 1 2; do
  ask_path $n tender-desk /v1/services/issuance-ledger/issue -H 'Idempotency-Key: demo-guarantee-7' \
    -d '{"guarantee":"G-7"}'
  echo "gate $n: status $code, state $(header X-Lovage-State)"
done
expect_equal "runs of the issuance" 1 \
  "$(curl -sf "$(service_url)/v1/record" | jq '[.. | objects | select(.request?)] | length')"

heading "what a team may not use is refused at once"
request 1 workshop draft-large technician-1 "not allowed"

heading "roll-out of draft-small@v2 to half of the callers"
ctl rollout start draft-small --from v1 --to v2 --stages 0.5,1 || fail "roll-out"
ctl rollout status
serve_round rollout
[ "$(answers_by draft-small@v2)" -gt 0 ] || fail "no request was answered by the new version"

heading "withdrawal of draft-small@v2"
ctl withdraw draft-small@v2 || fail "withdrawal"
request 2 tender-desk draft-small@v2 officer-1 "withdrawn"
serve_round withdrawn
expect_equal "answers by the withdrawn version" 0 "$(answers_by draft-small@v2)"

heading "what each team used, from its bills"
print_costs
ctl usage
while read -r id; do
  expect_one_bill "$id"
done <"$site/out/requests"
echo "each of $answers answered requests has exactly one bill; $refusals were refused"

heading "who changed what"
ctl audit

heading "graceful stop"
site_stop
echo "all processes ended with status 0"
