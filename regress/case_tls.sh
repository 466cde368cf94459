#!/bin/bash
# Callers and operators over TLS. A client that trusts the site's certificate is served. One that trusts another
# certificate must send nothing: otherwise a host that took over an address would get a team's key and prompts.
# Plain HTTP gets no answer, and no such request is run.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

# make_certificate NAME SUBJECT: creates a certificate for 127.0.0.1, $site/NAME.pem, and its key, $site/NAME.key.
make_certificate() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 1 -subj "/CN=$2" \
    -addext subjectAltName=IP:127.0.0.1 -keyout "$site/$1.key" -out "$site/$1.pem" 2>"$site/out/openssl" \
    || fail "openssl: $(cat "$site/out/openssl")"
}

# The certificate of the gates and stewards, one with another subject, and one with the same subject but another key.
make_certificates() {
  make_certificate right lovage-site
  make_certificate stranger stranger
  make_certificate impostor lovage-site
}

adjust_settings() {
  local role tls
  [ -f "$site/right.pem" ] || make_certificates
  LOVAGE_TRUST_FILE=$site/right.pem
  tls="\"tls_certificate_file\": \"$site/right.pem\", \"tls_key_file\": \"$site/right.key\","
  for role in gate steward; do
    sed -i "0,/^{/s#^{#{ $tls#" "$site/$role-$1.json"
    grep -q "^{ .tls_certificate_file" "$site/$role-$1.json" || fail "the TLS settings were not added to $role-$1.json"
  done
}

gate_url() {
  echo "${scheme:-https}://127.0.0.1:${port[$((18100 + 10 * $1))]}"
}

# run COMMAND...: runs a command; sets $status, $out (standard output) and $err (standard error).
run() {
  "$@" >"$site/out/stdout" 2>"$site/out/stderr"
  status=$?
  out=$(cat "$site/out/stdout")
  err=$(cat "$site/out/stderr")
}

# Prints the number of runs at each engine.
run_counts() {
  local n
  for n in 1 2 3 4; do
    curl -sf --max-time 10 "$(engine_url $n)/v1/record" | jq length
  done | paste -sd ' '
}

# expect_not_served WHAT CURL_STATUSES [CURL OPTION...]: neither of the two gates may answer, and no engine may run anything.
expect_not_served() {
  local what=$1 statuses=$2 n before
  shift 2
  before=$(run_counts)
  for n in 1 2; do
    ask $n tender-desk "$(chat draft-small "[id=tls] $what")" "$@"
    expect_equal "code with $what" 000 "$code"
    [[ " $statuses " = *" $curl_status "* ]] || fail "curl's status with $what: $curl_status, expected one of $statuses"
  done
  expect_equal "runs at the engines after $what" "$before" "$(run_counts)"
}

check_callers() {
  local n
  for n in 1 2; do
    ask $n tender-desk "$(chat draft-small "over TLS")" --cacert "$site/right.pem"
    expect_complete
    expect_one_bill "$(header X-Lovage-Request)"
    ask $n tender-desk "$(chat draft-large "over TLS" true)" --cacert "$site/right.pem"
    expect_complete_stream
  done
  expect_equal "requests that ran" "4" "$(($(run_counts | tr ' ' '+')))"
  # 60: the peer's certificate is not trusted
  expect_not_served "a stranger's certificate trusted" 60 --cacert "$site/stranger.pem"
  expect_not_served "an impostor's certificate trusted" 60 --cacert "$site/impostor.pem"
  # 52: empty reply, 56: connection reset
  scheme=http expect_not_served "plain HTTP" "52 56"
  expect_equal "runs of what was not served" 0 "$(run_count tls)"
}

# The gate must end a connection with TLS's close notification. Without it a strict client cannot tell the end of the
# answer from a truncation attack.
check_close_notification() {
  local body
  body=$(chat draft-small "the end over TLS")
  python3 - "${port[18110]}" "$site/right.pem" "${key[tender-desk]}" "$body" <<'END' || fail "the connection ended without TLS's close notification"
import socket, ssl, sys
port, trust, key, body = sys.argv[1:]
context = ssl.create_default_context(cafile=trust)
with socket.create_connection(("127.0.0.1", int(port)), 10) as plain:
    with context.wrap_socket(plain, server_hostname="127.0.0.1", suppress_ragged_eofs=False) as peer:
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        peer.sendall((head + body).encode())
        got = b""
        while more := peer.recv(65536):
            got += more
sys.exit(not got.startswith(b"HTTP/1.1 200 "))
END
}

# expect_operator_refused WHAT COMMAND...: with this lovagectl command no change may reach a steward, and the error message
# must not say that it may have been made.
expect_operator_refused() {
  local what=$1
  shift
  run "$@" patch submit --base 1 "$site/patch.json"
  expect_equal "exit status of a patch with $what" 4 "$status"
  expect_equal "standard output with $what" "" "$out"
  expect_equal "last error line with $what" "lovagectl: no steward answered" "$(tail -n 1 <<<"$err")"
  expect_equal "stewards tried with $what" "${port[18113]} ${port[18123]}" \
    "$(sed -nE 's/^lovagectl: steward 127\.0\.0\.1 port ([0-9]+): .*/\1/p' <<<"$err" | paste -sd ' ')"
  run "$@" brake draft-small@v2 --why "$what"
  expect_equal "exit status of a brake with $what" 4 "$status"
  expect_equal "newest number after $what" 1 "$(head_number)"
  expect_equal "brakes after $what" 0 "$(ctl --json brake list | jq length)"
}

# Prints the error message to expect. Without a trust file lovagectl uses plain HTTP, and the steward resets the
# connection. If the complete patch was sent before the reset, lovagectl cannot know that nothing was changed;
# if not, it can.
expected_after_reset() {
  case $err in
    *": Could not read status line: "*)
      echo 'lovagectl: no steward answered; one may have done it: see `lovagectl version list`' ;;
    *": Could not send request"* | *": Could not connect to server: "*)
      echo 'lovagectl: no steward answered' ;;
    *) echo "unexpected: $err" ;;
  esac
}

check_plain_operator() {
  run env -u LOVAGE_TRUST_FILE "$build/lovagectl" --steward "127.0.0.1:${port[18113]}" \
    --key-file "$site/operator.key" patch submit --base 1 "$site/patch.json"
  expect_equal "exit status with plain HTTP" 4 "$status"
  expect_equal "last error line with plain HTTP" "$(expected_after_reset)" "$(tail -n 1 <<<"$err")"
  expect_equal "newest number after plain HTTP" 1 "$(head_number)"
  curl -s --max-time 10 -o "$site/out/body" -H "Authorization: Bearer ${key[operator]}" \
    "http://127.0.0.1:${port[18113]}/v1/status"
  curl_status=$?
  [[ $curl_status = 52 || $curl_status = 56 ]] || fail "curl's status with plain HTTP: $curl_status"
}

# A peer reads the complete patch and resets the connection: lovagectl cannot know that nothing was changed.
check_reset_after_complete_patch() {
  local peer
  rm -f "$site/out/peer"
  python3 - "$site/out/peer" <<'END' &
import os, re, socket, struct, sys
listener = socket.create_server(("127.0.0.1", 0))
listener.settimeout(30)
with open(sys.argv[1] + ".new", "w") as out:
    print(listener.getsockname()[1], file=out)
os.rename(sys.argv[1] + ".new", sys.argv[1])
peer, _ = listener.accept()
got = b""
while not (head := re.search(rb"Content-Length: (\d+).*?\r\n\r\n", got, re.S | re.I)) \
        or len(got) < head.end() + int(head[1]):
    got += peer.recv(65536) or sys.exit("the patch was cut")
peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
peer.close()
END
  peer=$!
  wait_for "the peer that resets" test -s "$site/out/peer"
  run env -u LOVAGE_TRUST_FILE "$build/lovagectl" --steward "127.0.0.1:$(cat "$site/out/peer")" \
    --key-file "$site/operator.key" patch submit --base 1 "$site/patch.json"
  wait "$peer" || fail "the peer that resets did not get the complete patch"
  expect_equal "exit status after a reset" 4 "$status"
  expect_equal "last error line after a reset" \
    'lovagectl: no steward answered; one may have done it: see `lovagectl version list`' "$(tail -n 1 <<<"$err")"
}

check_operators() {
  echo '{"teams":{"workshop":{"concurrent":5}}}' >"$site/patch.json"
  expect_operator_refused "a stranger's certificate trusted" ctl --trust-file "$site/stranger.pem"
  expect_operator_refused "an impostor's certificate trusted" ctl --trust-file "$site/impostor.pem"
  expect_operator_refused "no such trust file" ctl --trust-file "$site/none.pem"
  check_plain_operator
  check_reset_after_complete_patch
  run ctl patch submit --base 1 "$site/patch.json"
  expect_equal "exit status with the right certificate ($err)" 0 "$status"
  expect_equal "standard output with the right certificate" "number 2 is accepted; in force on 2 of 2 VMs" "$out"
  expect_equal "newest number" 2 "$(head_number)"
}

two_members() {
  [ "$(ctl --json status | jq '.view_established and (.members | length) == 2')" = true ]
}

# For the ctl of lib.sh.
export LOVAGE_TRUST_FILE
site_start 2
wait_for "a view of both VMs" two_members
check_callers
check_close_notification
check_operators
site_stop
echo "TLS: passed"
