#!/bin/bash
# A team requests a quality class with a target instead of a model. An answer of the small model that is rated
# at or above the target is forwarded; any other must not reach the caller: the large model answers, and one
# usage record has both attempts, so that the cost can be traced. While the rating service is down, answers
# of the small model cannot be rated: all callers are answered by the large model.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

TARGET=0.8
SMALL=draft-small@v1
LARGE=draft-large@v1

# Answers of the small model have qualities from 0.4 to 1, those of the large one from 0.97 to 0.99.
start_engine() {
  local n=$1 serves=draft-small@v1,draft-small@v2 quality=0.7 spread=0.3
  [ "$n" -le 2 ] || { serves=draft-large@v1,draft-large@v2 quality=0.98 spread=0.01; }
  start_process "engine-$n" standin-engine --address 127.0.0.1 --port "${port[$((18010 + n))]}" \
    --serves "$serves" --slots 8 --quality "$quality" --spread "$spread"
}

rating_fault() {
  curl -sf -X POST -d "{\"kind\":\"$1\",\"path\":\"/v1/rate\"}" "$(platform_url)/v1/fault" \
    || fail "the platform did not accept the fault"
}

ask_wording() {
  ask $(($1 % 3 + 1)) tender-desk "$(MAX_TOKENS=8 chat wording "wording $1" "${2:-false}")"
}

versions_billed() {
  bills_of "$1" | jq -r '"\(.outcome) \([.attempts[].version] | join(" "))"'
}

# quality_good TEXT: true if the answer's quality reaches the target; the stand-in's answers begin with
# [q=QUALITY].
quality_good() {
  awk -v t=$TARGET -v text="$1" 'BEGIN { split (text, part, /[=\]]/); exit !(part[2] >= t) }'
}

# check_answer STREAMED: checks the last answer and its bill; counts it in $passed (by the small model), $escalated
# (by the large model after the small one) or $direct (by the large model alone).
check_answer() {
  local text version request
  if [ "$1" = true ]; then
    expect_complete_stream
    text=$(stream_text)
  else
    expect_complete
    text=$(body '.choices[0].message.content')
  fi
  version=$(header X-Lovage-Version)
  request=$(header X-Lovage-Request)
  quality_good "$text" || fail "$version gave the caller \"$text\", below the target"
  expect_one_bill "$request"
  case "$version $(versions_billed "$request")" in
    "$SMALL answered $SMALL") passed=$((passed + 1)) ;;
    "$LARGE answered $SMALL $LARGE") escalated=$((escalated + 1)) ;;
    "$LARGE answered $LARGE") direct=$((direct + 1)) ;;
    *) fail "$version answered, billed were: $(versions_billed "$request")" ;;
  esac
}

# check_answers FIRST LAST: sends the requests of these numbers, every third one streamed, and checks the answers.
check_answers() {
  local i streamed
  passed=0 escalated=0 direct=0
  for ((i = $1; i <= $2; i++)); do
    streamed=$([ $((i % 3)) = 0 ] && echo true || echo false)
    ask_wording "$i" "$streamed"
    check_answer "$streamed"
  done
  echo "requests $1 to $2: $passed by the cheap stage, $escalated escalated, $direct by the large model"
}

small_model_answers() {
  request_number=$((request_number + 1))
  ask_wording $request_number
  [ "$code" = 200 ] && [ "$(header X-Lovage-Version)" = $SMALL ]
}

site_start 3
# A class's target is a mean over its answers (see docs/design). With a prior quality this far below the target, no
# plan has unrated answers of the small model.
submit_patch 1 '{"models":{"draft-small":{"versions":{"v1":{"prior_quality":0.6}}}},
  "classes":{"wording":{"stages":["draft-small","draft-large"],
  "quality_target":'$TARGET',"deadline_ms":30000,"idempotent":true}}}' || fail "patch"
wait_for_number 2

check_answers 1 18
[ $passed -ge 1 ] || fail "no answer of the small model was forwarded"
[ $escalated -ge 1 ] || fail "no request was escalated"

# After two failed ratings in a row a gate takes the rating service for unavailable and uses the large model
# directly; before that it escalates, as the small model's answer has no rating.
rating_fault down
check_answers 19 30
expect_equal "answers of the small model while nothing is rated" 0 $passed
[ $direct -ge 3 ] || fail "$escalated of 12 requests waited for a rating service that was down"

curl -sf -X DELETE "$(platform_url)/v1/fault"
request_number=1000
wait_for "an answer of the small model after the outage" small_model_answers
site_stop
echo "cascade: passed"
