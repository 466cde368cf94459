#!/bin/bash
# A client repeats a non-idempotent request with the same Idempotency-Key, also while the first is still
# running and at another VM. If both ran, the bank would have issued two guarantees. The gate claims the key in
# the table before it sends the first byte: a concurrent repetition is refused with claim_in_progress, a
# later one gets the stored answer, and the request runs once.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

# service_runs KEY: prints the service's records of requests with this idempotency key, one per line.
service_runs() {
  curl -sf --max-time 10 "$(service_url)/v1/record" \
    | jq -c --arg key "$1" '.. | objects | select(.idempotency? == $key)'
}

# issue GATE KEY BODY [CURL OPTION...]
issue() {
  local gate=$1 idempotency=$2 text=$3
  shift 3
  ask_path "$gate" tender-desk /v1/services/issuance-ledger/issue -H "Idempotency-Key: $idempotency" \
    -d "$text" "$@"
}

check_repeated() {
  local first
  issue 1 again-1 '{"guarantee":"G-1"}'
  expect_equal "status" 200 "$code"
  first=$(cat "$site/out/body")
  issue 2 again-1 '{"guarantee":"G-1"}'
  expect_equal "status of the stored answer" 200 "$code"
  expect_equal "stored answer" "$first" "$(cat "$site/out/body")"
  issue 3 again-1 '{"guarantee":"G-2"}'
  expect_refusal 422 not_run key_mismatch
  expect_equal "runs" 1 "$(service_runs again-1 | wc -l)"
}

# The service takes 3 s; the repetition comes meanwhile, at another VM.
check_repeated_while_running() {
  local claims
  claims=$(table_rows claim | wc -l)
  curl -sf -X POST -d '{"kind":"slow","value":3000,"count":1,"path":"/issue"}' \
    "$(service_url)/v1/fault" || fail "the service did not accept the fault"
  curl -s --max-time $HTTP_MAX_S -o "$site/out/first" -w '%{http_code}' \
    -H "Authorization: Bearer ${key[tender-desk]}" -H 'Idempotency-Key: again-2' \
    -d '{"guarantee":"G-3"}' "$(gate_url 1)/v1/services/issuance-ledger/issue" >"$site/out/first-code" &
  pid[first]=$!
  wait_for "the claim" eval '[ "$(table_rows claim | wc -l)" -gt '"$claims"' ]'
  issue 2 again-2 '{"guarantee":"G-3"}'
  expect_equal "status meanwhile" 409 "$code"
  expect_equal "reason meanwhile" claim_in_progress "$(body .error.reason)"
  [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
  wait "${pid[first]}"
  unset 'pid[first]'
  expect_equal "status of the first" 200 "$(cat "$site/out/first-code")"
  issue 3 again-2 '{"guarantee":"G-3"}'
  expect_equal "status afterwards" 200 "$code"
  expect_equal "stored answer" "$(cat "$site/out/first")" "$(cat "$site/out/body")"
  expect_equal "runs" 1 "$(service_runs again-2 | wc -l)"
}

# While the table service is unavailable no claim can be made: the request must not run, and is refused at once.
check_no_claim_without_table() {
  local began=$SECONDS
  curl -sf -X POST -d '{"kind":"down","path":"/v1/txn"}' "$(platform_url)/v1/fault" \
    || fail "the platform did not accept the fault"
  issue 1 again-3 '{"guarantee":"G-4"}'
  curl -sf -X DELETE "$(platform_url)/v1/fault"
  expect_refusal 503 not_run claim_unavailable
  [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
  [ $((SECONDS - began)) -lt 20 ] || fail "the refusal took 20 s or more"
  expect_equal "runs" 0 "$(service_runs again-3 | wc -l)"
  issue 2 again-3 '{"guarantee":"G-4"}'
  expect_equal "status when the table is available again" 200 "$code"
  expect_equal "runs" 1 "$(service_runs again-3 | wc -l)"
}

# The service runs the request and its answer is lost: the state is "unknown", and a repetition does not run it.
check_lost_reply() {
  curl -sf -X POST -d '{"kind":"lose_reply","count":1,"path":"/issue"}' \
    "$(service_url)/v1/fault" || fail "the service did not accept the fault"
  issue 1 again-4 '{"guarantee":"G-5"}'
  expect_equal "state" unknown "$(body .error.state)"
  issue 2 again-4 '{"guarantee":"G-5"}'
  expect_equal "state of the repetition" unknown "$(body .error.state)"
  expect_equal "runs" 1 "$(service_runs again-4 | wc -l)"
}

site_start 3
check_repeated
check_repeated_while_running
check_no_claim_without_table
check_lost_reply
site_stop
echo "at most once: passed"
