#!/bin/bash
# Engines crash while they run requests. An idempotent request is answered by another engine. A non-idempotent
# one that was in progress ends with state "unknown" and is never sent again, as a guarantee could be issued
# twice; one that was never sent ends with "not_run". When all engines of a pool refuse requests, the retries
# stay within their budget, as they would otherwise keep the pool overloaded.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

REFUSED=30 # requests sent while all engines refuse
BUDGET=13 # retries: 10 accumulated, and a tenth of the 30 requests

# begin_request MARK MODEL IDEMPOTENT: sends a long request to gate 1 in the background.
begin_request() {
  curl -s --max-time $HTTP_MAX_S -o "$site/out/$1" -D "$site/out/$1-headers" -w '%{http_code}' \
    -H "Authorization: Bearer ${key[tender-desk]}" -H "X-Lovage-Idempotent: $3" \
    -d "$(MAX_TOKENS=200 chat "$2" "Long one [id=$1]")" "$(gate_url 1)/v1/chat/completions" \
    >"$site/out/$1-code" &
  pid[$1]=$!
}

# end_request MARK: waits for the request's answer; sets $code, and the files that header and body read.
end_request() {
  wait "${pid[$1]}"
  unset "pid[$1]"
  code=$(cat "$site/out/$1-code")
  cp "$site/out/$1" "$site/out/body"
  cp "$site/out/$1-headers" "$site/out/headers"
}

# engine_runs MARK ENGINE...: sets $engine to the one of these that runs the request with this mark.
engine_runs() {
  local mark=$1 n
  shift
  for n in "$@"; do
    curl -sf --max-time 10 "$(engine_url "$n")/v1/record" \
      | jq -e --arg m "$mark" 'any(.[]; .mark == $m and (.ended | not))' >/dev/null || continue
    engine=$n
    return 0
  done
  return 1
}

# runs_at ENGINE MARK: prints the number of runs of the request at the engine.
runs_at() {
  curl -sf --max-time 10 "$(engine_url "$1")/v1/record" | jq --arg m "$2" '[.[] | select(.mark == $m)] | length'
}

check_idempotent() {
  local n
  begin_request again draft-small yes
  wait_for "an engine to run it" engine_runs again 1 2
  kill_process "engine-$engine"
  end_request again
  expect_complete
  expect_equal "runs at the other engine" 1 "$(runs_at $((3 - engine)) again)"
  expect_one_bill "$(header X-Lovage-Request)"
  expect_equal "attempts billed" "engine-$engine engine-$((3 - engine))" \
    "$(bills_of "$(header X-Lovage-Request)" | jq -r '[.attempts[].server] | join(" ")')"
  for n in 1 2 3; do
    ask $n tender-desk "$(chat draft-small "with one engine dead")"
    expect_complete
  done
}

check_non_idempotent() {
  local n other
  begin_request once draft-large no
  wait_for "an engine to run it" engine_runs once 3 4
  other=$((7 - engine))
  kill_process "engine-$engine"
  end_request once
  expect_equal "status" 502 "$code"
  expect_equal "state" unknown "$(body .error.state)"
  [ -n "$(header Retry-After)" ] || fail "the answer has no Retry-After"
  # A gate that does not know yet that the engine crashed cannot connect to it, so that nothing was sent and the
  # request may go to the other engine.
  for n in 1 2 3; do
    ask $n tender-desk "$(chat draft-large "Never sent there [id=sent-$n]")" -H 'X-Lovage-Idempotent: no'
    expect_complete
    expect_equal "runs of a request that was answered" 1 "$(runs_at $other "sent-$n")"
  done
  expect_equal "runs at the other engine" 0 "$(runs_at $other once)"

  kill_process "engine-$other"
  for n in 1 2 3; do
    ask $n tender-desk "$(chat draft-large "nobody runs this")" -H 'X-Lovage-Idempotent: no'
    expect_equal "status" 503 "$code"
    expect_equal "state" not_run "$(body .error.state)"
    [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
  done
}

# metric NAME: prints a metric's sum at gate 1.
metric() {
  curl -sf "$(gate_local_url 1)/metrics" | awk -v name="$1" '$1 ~ "(^|_)" name "$" { n += $2 } END { print n + 0 }'
}

gate_answers() {
  ask 1 tender-desk "$(chat draft-small "is the pool back")"
  [ "$code" = 200 ]
}

# True after six more load reports, three rounds of the two running engines: at least one round began after the
# restart, and a gate uses a server again after it has reported.
load_reported() {
  [ "$(metric gate_load_reports)" -ge $((reports + 6)) ]
}

check_budget() {
  local n before after reports
  for n in 1 2; do
    [ -n "${pid[engine-$n]:-}" ] || start_engine $n
    wait_for "engine $n" url_answers "$(engine_url $n)/v1/load"
  done
  reports=$(metric gate_load_reports)
  wait_for "load reports" load_reported
  for n in 1 2; do
    curl -sf -X POST -d '{"kind":"not_run"}' "$(engine_url $n)/v1/fault" || fail "engine $n did not accept the fault"
  done
  before=$(metric gate_retries)
  for ((n = 0; n < REFUSED; n++)); do
    ask 1 tender-desk "$(chat draft-small "refused $n")"
    expect_equal "status" 503 "$code"
    expect_equal "state" not_run "$(body .error.state)"
    [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
    sleep 0.12 # a gate does not use an engine that refused for 100 ms
  done
  after=$(metric gate_retries)
  [ $((after - before)) -le $BUDGET ] || fail "$((after - before)) retries of $REFUSED requests"
  [ $((after - before)) -ge 1 ] || fail "no request was retried"
  echo "pool refuses: $((after - before)) retries of $REFUSED requests, limit $BUDGET"
  for n in 1 2; do
    curl -sf -X DELETE "$(engine_url $n)/v1/fault"
  done
  wait_for "an answer" gate_answers
}

site_start 3
check_idempotent
check_non_idempotent
check_budget
site_stop
echo "retries: passed"
