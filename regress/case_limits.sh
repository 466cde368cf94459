#!/bin/bash
# A team's batch job sends all its requests at once. The team's limits are for the whole site and are enforced by
# three gates without shared state: requests above the limit must be refused at once with Retry-After and not
# be queued, no more than the limit may run at a time, and all requests of another team must be served.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

CONCURRENT=6 # limit of the flooding team
FLOOD=60     # its requests
OTHERS=24    # requests of the other team

# curl_entry TEAM NUMBER TOKENS PROMPT: prints the curl configuration of one request, for which curl prints "TEAM
# CODE RETRY-AFTER" after the answer.
curl_entry() {
  printf 'url = "%s/v1/chat/completions"\n' "$(gate_url $(($2 % 3 + 1)))"
  printf 'header = "Authorization: Bearer %s"\n' "${key[$1]}"
  printf 'data = "{\\"model\\":\\"draft-small\\",\\"max_tokens\\":%d,\\"messages\\":[{\\"role\\":\\"user\\",\\"content\\":\\"%s %d\\"}]}"\n' \
    "$3" "$4" "$2"
  printf 'output = "%s/out/%s-%d"\nmax-time = 30\n' "$site" "$1" "$2"
  printf 'write-out = "%s %%{http_code} %%header{retry-after}\\n"\nnext\n' "$1"
}

# Prints the largest number of the flood's requests that ran at the same time, over both engines.
max_concurrent() {
  runs_of flood | jq -r '"\(.started_ms) 1\n\(.ended_ms) -1"' | sort -k1,1n -k2,2n \
    | awk '{ now += $2 } now > most { most = now } END { print most + 0 }'
}

check_concurrent() {
  local i admitted early
  submit_patch 1 '{"teams":{"workshop":{"concurrent":'$CONCURRENT'}}}' || fail "patch"
  wait_for_number 2
  for ((i = 0; i < FLOOD; i++)); do
    curl_entry workshop $i 200 "[id=flood] batch"
  done | sed '$d' >"$site/out/curl-flood"
  for ((i = 0; i < OTHERS; i++)); do
    curl_entry tender-desk $i 8 "bond"
  done | sed '$d' >"$site/out/curl-others"
  curl -s -Z --parallel-immediate --parallel-max $FLOOD -K "$site/out/curl-flood" >"$site/out/flood" \
    2>/dev/null &
  pid[flood]=$!
  curl -s -Z --parallel-max 4 -K "$site/out/curl-others" >"$site/out/others" 2>/dev/null
  wait "${pid[flood]}"
  unset 'pid[flood]'

  expect_equal "codes of the other team" "$OTHERS 200" \
    "$(awk '{ print $2 }' "$site/out/others" | sort | uniq -c | awk '{ print $1, $2 }')"
  expect_equal "answers to the flood" $FLOOD "$(grep -cE '^workshop (200|429)' "$site/out/flood")"
  admitted=$(grep -c '^workshop 200' "$site/out/flood")
  [ "$admitted" -ge $CONCURRENT ] || fail "$admitted of the flood were admitted"
  expect_equal "refusals without Retry-After" 0 "$(grep -c '^workshop 429 *$' "$site/out/flood")"
  # The refusals come at once: half of the requests are refused before the first admitted one, which takes two
  # seconds, is answered.
  early=$(awk '$2 == 200 { exit } { n++ } END { print n + 0 }' "$site/out/flood")
  [ "$early" -ge $((FLOOD / 2)) ] || fail "only $early refusals came before the first complete answer"
  for i in $(grep -l '"error"' "$site"/out/workshop-*); do
    expect_equal "refusal in $i" "not_run team_limit" "$(jq -r '"\(.error.state) \(.error.reason)"' "$i")"
  done
  [ "$(max_concurrent)" -le $CONCURRENT ] || fail "$(max_concurrent) of the flood ran at once"
  echo "concurrency: $admitted of $FLOOD admitted, at most $(max_concurrent) at once, limit $CONCURRENT"
}

# A limit of 30 tokens per second for the site is 10 at each gate. A request of 64 tokens overdraws it, and the next
# one is refused until the overdraft is paid off.
check_tokens() {
  local gate
  submit_patch 2 '{"teams":{"workshop":{"concurrent":100,"tokens_per_s":30}}}' || fail "patch"
  wait_for_number 3
  for gate in 1 2 3; do
    ask $gate workshop "$(MAX_TOKENS=64 chat draft-small "tokens")"
    expect_complete
    ask $gate workshop "$(MAX_TOKENS=64 chat draft-small "more tokens")"
    expect_refusal 429 not_run team_limit
    [ "$(header Retry-After)" -ge 2 ] || fail "Retry-After is $(header Retry-After) s, expected 2 s or more"
    ask $gate tender-desk "$(chat draft-small "another team")"
    expect_complete
  done
}

site_start 3
check_concurrent
check_tokens
site_stop
echo "limits: passed"
