#!/bin/bash
# A VM is stopped for replacement while its gate streams answers. Guards against truncated answers and against
# bills for answers that the caller did not get. The gate gets SIGTERM when all streams have begun: each
# stream must be completed and billed once, new requests are refused at once, and the gate exits with status 0.
# Then the VM's steward is stopped.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

STREAMS=16
TOKENS=200 # per stream

# begin_stream N: starts a stream in the background; its answer is in $site/stream-N, so that many can run at once.
begin_stream() {
  local n=$1 dir=$site/stream-$1
  mkdir "$dir"
  curl -sN --max-time $HTTP_MAX_S -D "$dir/headers" -o "$dir/body" \
    -H "Authorization: Bearer ${key[tender-desk]}" \
    --data-binary "$(MAX_TOKENS=$TOKENS chat draft-small "[id=stop-$n] a long draft" true)" \
    "$(gate_url 1)/v1/chat/completions" &
  pid[stream-$n]=$!
}

# has_begun N: true when the stream has received its first event.
has_begun() {
  grep -q '^data:' "$site/stream-$1/body"
}

# end_stream N: waits for the stream's end and checks its answer and its bill.
end_stream() {
  local n=$1 request
  wait "${pid[stream-$n]}"
  expect_equal "curl's status of stream $n" 0 $?
  unset "pid[stream-$n]"
  cp "$site/stream-$n/headers" "$site/stream-$n/body" "$site/out/"
  code=$(awk 'NR == 1 { print $2 }' "$site/out/headers")
  curl_status=0
  expect_complete_stream
  expect_equal "tokens of stream $n" $TOKENS \
    "$(sed -n 's/^data: //p' "$site/out/body" | grep -v '^\[DONE\]' \
      | jq -c '.choices[0].delta.content // "" | select(. != "")' | wc -l)"
  request=$(header X-Lovage-Request)
  expect_one_bill "$request"
  expect_equal "tokens billed of stream $n" $TOKENS \
    "$(bills_of "$request" | jq '.attempts[-1].completion_tokens')"
  expect_equal "runs of stream $n" 1 "$(run_count "stop-$n")"
}

# A stopping gate refuses a new request, or no longer listens.
expect_new_work_refused() {
  ask 1 tender-desk "$(chat draft-small "[id=stop-new] new work")"
  if [ "$code" != 000 ]; then
    expect_refusal 503 not_run stopping
    [ -n "$(header Retry-After)" ] || fail "the refusal has no Retry-After"
  fi
  expect_equal "runs of new work" 0 "$(run_count stop-new)"
}

site_start 3
for ((n = 1; n <= STREAMS; n++)); do
  begin_stream $n
done
for ((n = 1; n <= STREAMS; n++)); do
  wait_for "stream $n to begin" has_begun $n
done
kill -TERM "${pid[gate-1]}"
wait_for "gate 1 to report that it is not ready" eval '! url_ready "$(gate_local_url 1)"'
expect_new_work_refused
for ((n = 1; n <= STREAMS; n++)); do
  end_stream $n
done
stop_process gate-1
expect_equal "status of the gate" 0 "$status"
stop_process steward-1
expect_equal "status of the steward" 0 "$status"
# The other VMs still serve requests and accept patches.
ask 2 tender-desk "$(chat draft-small "at another VM")"
expect_complete
WAIT_MAX_S=60 wait_for "a patch without the stopped VM" ctl withdraw --wait accepted draft-large@v2
site_stop
echo "graceful stop: passed"
