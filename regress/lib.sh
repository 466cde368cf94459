# Runs a small site on loopback for the whole-path cases, the demo and manual tests; sourced by bash scripts.
#
# usage: build=$1; . regress/lib.sh; site_start [VMS]; ...; site_stop
#
# site_start creates a temporary folder $site with new keys, starts the stand-ins, stewards and gates
# on free ports with the settings of examples/site, waits until they are ready and submits
# configuration 1. An exit trap kills every process that the script started, by its process id.
# SITE_PORTS=fixed uses the ports of examples/site. SITE_KEEP=yes keeps the folder.

set -uo pipefail

LIB_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
WAIT_MAX_S=${WAIT_MAX_S:-30}
STOP_MAX_S=40
HTTP_MAX_S=60

site=
declare -A pid=()   # process name -> process id
declare -A port=()  # port number in examples/site -> port in use here
declare -a started=()
declare -a port_lock_fds=()

# The keys of examples/site; each site replaces them by new ones.
declare -A example_key=(
  [operator]=example-operator-key
  [tender-desk]=example-tender-desk-key
  [workshop]=example-workshop-key
)
declare -A key=()

log_tails() {
  local file
  for file in "$site"/log/*; do
    [ -s "$file" ] || continue
    echo "--- $(basename "$file")" >&2
    tail -n "${LOG_TAIL:-8}" "$file" >&2
  done
}

fail() {
  echo "FAILED: $*" >&2
  [ -z "$site" ] || log_tails
  exit 1
}

# While a site starts, a process that exits fails the script at once. Without this check, a process of
# another site that listens on the same port could answer in place of one that never started.
starting=no

check_started() {
  local name
  [ $starting = yes ] || return 0
  for name in "${!pid[@]}"; do
    alive "$name" || fail "$name ended while the site was started"
  done
}

# wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds; fails after WAIT_MAX_S seconds.
wait_for() {
  local what=$1 until=$((SECONDS + WAIT_MAX_S))
  shift
  until "$@" >"$site/out/wait" 2>&1; do
    [ $SECONDS -lt $until ] || fail "waited ${WAIT_MAX_S}s for: $what: $(tail -n 3 "$site/out/wait")"
    check_started
    sleep 0.05
  done
  check_started
}

expect_equal() {
  local what=$1 expected=$2 found=$3
  [ "$expected" = "$found" ] || fail "$what: expected \"$expected\", found \"$found\""
}

# --- ports

# Folder of one lock file per port; it keeps sites that start at the same time from choosing the same port.
PORT_LOCKS=${TMPDIR:-/tmp}/lovage-port-locks

# True if the port is bound: UDP, or TCP in the state LISTEN (0A). The local address is column 2.
port_in_use() {
  local hex
  hex=$(printf ':%04X' "$1")
  awk -v hex="$hex" 'substr($2, length($2) - 4) == hex && (FILENAME ~ /udp/ || $4 == "0A") { found = 1 }
    END { exit !found }' /proc/net/tcp /proc/net/tcp6 /proc/net/udp /proc/net/udp6 2>/dev/null
}

# Locks a port. The lock belongs to an open file, so that the kernel releases it when the last process that
# holds it (this script or a process that it started) exits. With lock folders, two sites that both found
# the stale lock of a run that had crashed could both take over the same port.
reserve_port() {
  local fd
  exec {fd}>"$PORT_LOCKS/$1"
  if flock -n "$fd"; then
    port_lock_fds+=("$fd")
    return 0
  fi
  exec {fd}>&-
  return 1
}

release_ports() {
  local taken
  for taken in "${port_lock_fds[@]}"; do
    exec {taken}>&-
  done
  port_lock_fds=()
}

# No port is chosen from the range of the port numbers of examples/site. copy_example replaces these numbers
# one after the other, so a chosen port that equals one of them would be replaced a second time: a gate
# then got the platform's port as its callers' port.
EXAMPLE_PORTS=18000
EXAMPLE_PORTS_END=19000

# Sets $free to a port below the ephemeral range that is free for TCP and UDP.
find_port() {
  local try
  mkdir -p "$PORT_LOCKS"
  for try in {1..200}; do
    free=$((10000 + RANDOM % 20000))
    [ $free -lt $EXAMPLE_PORTS ] || [ $free -ge $EXAMPLE_PORTS_END ] || continue
    reserve_port $free || continue
    port_in_use $free || return 0
  done
  fail "no free port after $try tries"
}

map_port() {
  local free=$1
  [ -z "${port[$1]:-}" ] || return 0
  [ "${SITE_PORTS:-free}" = fixed ] || find_port
  port[$1]=$free
}

# --- files

key_hash() {
  printf %s "$1" | b2sum -l 256 | cut -d' ' -f1
}

random_hex() {
  od -An -N32 -tx1 /dev/urandom | tr -d ' \n'
}

make_keys() {
  local name
  random_hex >"$site/site.key"
  for name in "${!example_key[@]}"; do
    key[$name]=$(random_hex)
    printf %s "${key[$name]}" >"$site/$name.key"
  done
  chmod 600 "$site"/*.key
}

# copy_example FROM TO: copies a file of examples/site with this site's ports, key files and key hashes.
copy_example() {
  local from=$LIB_ROOT/examples/site/$1 to=$site/$2 name number
  local -a edits=(-e "s#\"site.key\"#\"$site/site.key\"#")
  for number in "${!port[@]}"; do
    edits+=(-e "s/\\b$number\\b/${port[$number]}/g")
  done
  for name in "${!example_key[@]}"; do
    edits+=(-e "s/$(key_hash "${example_key[$name]}")/$(key_hash "${key[$name]}")/g")
  done
  sed "${edits[@]}" "$from" >"$to"
}

# copy_settings N: writes the settings of VM N. From the fourth VM on they are those of VM 1 with another
# name, failure domain and ports, as examples/site has three VMs.
copy_settings() {
  local n=$1 example=$1 role p
  local -a domains=(fukuoka kumamoto kagoshima oita)
  for p in 0 1 2 3 4; do
    map_port "$((18100 + 10 * n + p))"
  done
  [ "$n" -le 3 ] || example=1
  for role in gate steward; do
    copy_example "$role-$example.json" "$role-$n.json"
    [ "$n" -le 3 ] && continue
    sed -i -e "s/\"vm-1\"/\"vm-$n\"/" -e "s/\"fukuoka\"/\"${domains[$(((n - 1) % 4))]}\"/" \
      "$site/$role-$n.json"
    for p in 0 1 2 3 4; do
      sed -i -e "s/\\b${port[$((18110 + p))]}\\b/${port[$((18100 + 10 * n + p))]}/" \
        "$site/$role-$n.json"
    done
  done
}

# --- processes

# start_process NAME PROGRAM ARGUMENT...: starts a program of $build in the background and stores $pid[NAME].
start_process() {
  local name=$1 program=$2
  shift 2
  [ -x "$build/$program" ] || fail "$build/$program is not an executable file"
  "$build/$program" "$@" >>"$site/log/$name.out" 2>>"$site/log/$name.err" </dev/null &
  pid[$name]=$!
  started+=("$name")
}

# is_running_child PID: true if the process is a child of this shell and has not exited. The shell reaps a
# child that exited, and its process id may be reused: a signal to such an id killed an engine of another
# run.
is_running_child() {
  awk -v parent=$$ '$1 == "State:" && $2 == "Z" { exit 1 } $1 == "PPid:" { exit $2 != parent }' \
    "/proc/$1/status" 2>/dev/null
}

alive() {
  [ -n "${pid[$1]:-}" ] && is_running_child "${pid[$1]}"
}

# signal_process NAME SIGNAL
signal_process() {
  alive "$1" && kill "-$2" "${pid[$1]}" 2>/dev/null
}

# describe_process PID: prints the process's state and signals, the system call of each thread, and the
# stacks if gdb is installed.
describe_process() {
  local task
  grep -E '^(State|SigPnd|ShdPnd|SigBlk)' "/proc/$1/status"
  for task in /proc/"$1"/task/*; do
    echo "$(cat "$task/comm") $(basename "$task"): $(cat "$task/wchan") syscall $(cat "$task/syscall")"
  done
  command -v gdb >/dev/null && gdb -p "$1" -batch -ex 'thread apply all bt 12' 2>/dev/null
}

# stop_process NAME: sends SIGTERM and sets $status to the exit status. A process that does not exit within
# STOP_MAX_S seconds is described on standard error and killed.
stop_process() {
  local name=$1 until=$((SECONDS + STOP_MAX_S))
  status=0
  [ -n "${pid[$name]:-}" ] || return 0
  signal_process "$name" TERM
  while alive "$name" && [ $SECONDS -lt $until ]; do
    sleep 0.02
  done
  if alive "$name"; then
    echo "$name did not stop within ${STOP_MAX_S}s" >&2
    describe_process "${pid[$name]}" >&2
    signal_process "$name" KILL
  fi
  wait "${pid[$name]}"
  status=$?
  unset "pid[$name]"
}

# kill_process NAME: kills a process with SIGKILL, as when its VM is lost.
kill_process() {
  signal_process "$1" KILL
  wait "${pid[$1]}" 2>/dev/null
  unset "pid[$1]"
}

site_cleanup() {
  local name
  for name in "${!pid[@]}"; do
    signal_process "$name" CONT
    signal_process "$name" KILL
    wait "${pid[$name]}" 2>/dev/null
  done
  pid=()
  release_ports
  if [ -n "$site" ] && [ "${SITE_KEEP:-no}" != yes ]; then
    rm -rf "$site"
  fi
}

# --- components of a site

platform_url() {
  echo "http://127.0.0.1:${port[18000]}"
}

engine_url() {
  echo "http://127.0.0.1:${port[$((18010 + $1))]}"
}

service_url() {
  echo "http://127.0.0.1:${port[18021]}"
}

gate_url() {
  echo "http://127.0.0.1:${port[$((18100 + 10 * $1))]}"
}

gate_local_url() {
  echo "http://127.0.0.1:${port[$((18101 + 10 * $1))]}"
}

steward_local_url() {
  echo "http://127.0.0.1:${port[$((18104 + 10 * $1))]}"
}

start_platform() {
  start_process platform standin-platform --address 127.0.0.1 --port "${port[18000]}"
}

# start_engine N [OPTION...]: engines 1 and 2 serve draft-small, 3 and 4 draft-large; those with an odd
# number check fencing numbers.
start_engine() {
  local n=$1 serves=draft-small@v1,draft-small@v2
  shift
  [ "$n" -le 2 ] || serves=draft-large@v1,draft-large@v2
  [ $((n % 2)) -eq 0 ] || set -- --checks-fencing "$@"
  start_process "engine-$n" standin-engine --address 127.0.0.1 --port "${port[$((18010 + n))]}" \
    --serves "$serves" --slots 8 "$@"
}

start_service() {
  start_process ledger-1 standin-service --address 127.0.0.1 --port "${port[18021]}"
}

start_steward() {
  start_process "steward-$1" lovage-steward "$site/steward-$1.json"
}

start_gate() {
  start_process "gate-$1" lovage-gate "$site/gate-$1.json"
}

url_answers() {
  curl -s --max-time 2 -o /dev/null "$1"
}

url_ready() {
  [ "$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' "$1/readyz")" = 200 ]
}

# Writes the platform's list of VMs with all VMs of the site in it.
put_vm_list() {
  local n vms=
  local -a domains=(fukuoka kumamoto kagoshima oita)
  for ((n = 1; n <= site_vms; n++)); do
    vms+="${vms:+,}{\"name\":\"vm-$n\",\"address\":\"127.0.0.1\","
    vms+="\"failure_domain\":\"${domains[$(((n - 1) % 4))]}\",\"leaving\":false}"
  done
  curl -sf --max-time 5 -X PUT -d "{\"vms\":[$vms]}" "$(platform_url)/v1/vms"
}

# ctl COMMAND...: runs lovagectl with the operator's key and the endpoints of all stewards.
ctl() {
  local n stewards=
  for ((n = 1; n <= site_vms; n++)); do
    stewards+="${stewards:+,}127.0.0.1:${port[$((18103 + 10 * n))]}"
  done
  "$build/lovagectl" --steward "$stewards" --key-file "$site/operator.key" "$@"
}

# Submits configuration 1 unless the table has one already: a repeated submission would become number 2.
create_first() {
  [ -n "$(head_number)" ] || ctl version create --wait none "$site/routing.json"
  [ -n "$(head_number)" ]
}

# adjust_settings N: called by site_start after the settings of VM N are written and before the VM is
# started; a script may redefine it.
adjust_settings() {
  :
}

# site_start [VMS]: starts a site of that many VMs (default 3) and waits until all gates are ready.
site_start() {
  local n
  site_vms=${1:-3}
  starting=yes
  site=$(mktemp -d -t lovage-site-XXXXXX)
  trap site_cleanup EXIT
  trap 'exit 143' TERM INT
  mkdir "$site/log" "$site/out"
  make_keys
  for n in 18000 18011 18012 18013 18014 18021; do
    map_port $n
  done
  start_platform
  for n in 1 2 3 4; do
    start_engine $n
  done
  start_service
  wait_for "the platform" url_answers "$(platform_url)/v1/vms"
  for n in 1 2 3 4; do
    wait_for "engine $n" url_answers "$(engine_url $n)/v1/load"
  done
  put_vm_list || fail "the platform did not accept the list of VMs"
  for ((n = 1; n <= site_vms; n++)); do
    copy_settings $n
    adjust_settings $n
    start_steward $n
    start_gate $n
  done
  copy_example routing.json routing.json
  for ((n = 1; n <= site_vms; n++)); do
    wait_for "steward $n" url_answers "$(steward_local_url $n)/healthz"
  done
  wait_for "configuration 1" create_first
  for ((n = 1; n <= site_vms; n++)); do
    wait_for "gate $n to be ready" url_ready "$(gate_local_url $n)"
  done
  starting=no
}

# Stops all gates, then all stewards, then the stand-ins; each process must exit with status 0.
site_stop() {
  local name
  for name in $(printf '%s\n' "${started[@]}" | sort -u | grep '^gate-') \
    $(printf '%s\n' "${started[@]}" | sort -u | grep '^steward-') \
    $(printf '%s\n' "${started[@]}" | sort -u | grep -vE '^(gate|steward)-'); do
    stop_process "$name"
    [ "$status" -eq 0 ] || fail "$name ended with status $status"
  done
}

# --- requests

# ask GATE TEAM BODY [CURL OPTION...]: sends a chat completion request; sets $code to the HTTP status and
# $curl_status, and writes the headers to $site/out/headers and the body to $site/out/body.
ask() {
  local gate=$1 team=$2 body=$3
  shift 3
  ask_path "$gate" "$team" /v1/chat/completions -H 'Content-Type: application/json' \
    --data-binary "$body" "$@"
}

# ask_path GATE TEAM PATH [CURL OPTION...]: as ask, for any path.
ask_path() {
  local gate=$1 team=$2 path=$3
  shift 3
  code=$(curl -sN --max-time $HTTP_MAX_S -D "$site/out/headers" -o "$site/out/body" \
    -w '%{http_code}' -H "Authorization: Bearer ${key[$team]}" "$@" "$(gate_url "$gate")$path")
  curl_status=$?
}

# chat MODEL PROMPT [STREAM]: prints the body of a chat completion request of MAX_TOKENS tokens (default 32).
chat() {
  jq -cn --argjson t "${MAX_TOKENS:-32}" --arg m "$1" --arg p "$2" --argjson s "${3:-false}" \
    '{model: $m, stream: $s, max_tokens: $t, messages: [{role: "user", content: $p}]}'
}

# header NAME: prints a header's value of the last answer.
header() {
  tr -d '\r' <"$site/out/headers" | awk -v name="$1:" \
    'tolower($1) == tolower(name) { sub(/^[^:]*: */, ""); print; exit }'
}

# body FILTER: prints what a jq filter selects from the JSON body of the last answer.
body() {
  jq -r "$1" "$site/out/body"
}

# expect_refusal STATUS STATE REASON: the last answer must be a refusal with these values.
expect_refusal() {
  expect_equal "status of the refusal ($(head -c 300 "$site/out/body"))" "$1" "$code"
  expect_equal "state" "$2" "$(body .error.state)"
  expect_equal "reason" "$3" "$(body .error.reason)"
}

# The last answer, not streamed, must be complete: answered, with finish_reason "stop" and some content.
expect_complete() {
  expect_equal "status of the answer ($(head -c 300 "$site/out/body"))" 200 "$code"
  expect_equal "state" answered "$(header X-Lovage-State)"
  expect_equal "finish_reason" stop "$(body '.choices[0].finish_reason')"
  [ -n "$(body '.choices[0].message.content')" ] || fail "the answer is empty"
}

# Prints the text of the last streamed answer.
stream_text() {
  sed -n 's/^data: //p' "$site/out/body" | grep -v '^\[DONE\]' \
    | jq -rj '.choices[0].delta.content // empty'
}

# The last streamed answer must be complete: events in sequence without a gap, finish_reason "stop", and the
# end mark [DONE].
expect_complete_stream() {
  expect_equal "status of the stream ($(head -c 300 "$site/out/body"))" 200 "$code"
  expect_equal "curl's status" 0 "$curl_status"
  expect_equal "end mark" 'data: [DONE]' "$(grep '^data:' "$site/out/body" | tail -n 1)"
  expect_equal "finish_reason" stop "$(sed -n 's/^data: //p' "$site/out/body" \
    | grep -v '^\[DONE\]' | jq -r '.choices[0].finish_reason // empty' | tail -n 1)"
  expect_equal "gaps in the sequence" "" "$(sed -n 's/^id: *//p' "$site/out/body" \
    | awk '$1 != NR - 1 { print "line " NR " is " $1 }')"
  [ -n "$(stream_text)" ] || fail "the stream is empty"
}

# --- the table service

# table_rows TABLE: prints the rows as JSON objects, one per line, with the value parsed.
table_rows() {
  curl -sf --max-time 10 "$(platform_url)/v1/scan?table=$1&limit=100000" \
    | jq -c '.rows[] | {key, version, value: (.value | fromjson)}'
}

# bills_of REQUEST: prints the bills of a request as JSON, one per line.
bills_of() {
  table_rows bill | jq -c --arg r "$1" 'select(.value.request == $r) | .value'
}

expect_one_bill() {
  local request=$1 found
  [ -n "$request" ] || fail "the answer has no X-Lovage-Request"
  wait_for "a bill of request $request" eval '[ -n "$(bills_of '"$request"')" ]'
  found=$(bills_of "$request" | wc -l)
  expect_equal "bills of request $request" 1 "$found"
}

# --- configurations

# submit_patch BASE PATCH: submits a JSON patch against configuration number BASE.
submit_patch() {
  printf %s "$2" | ctl patch submit --base "$1" -
}

# Prints the newest configuration number in the table; nothing before the first configuration.
head_number() {
  table_rows config_head | jq -r '.value.number'
}

# runs_of MARK: prints the runs that the engines have recorded of prompts with [id=MARK], one JSON object per
# line.
runs_of() {
  local n
  for n in 1 2 3 4; do
    curl -sf --max-time 10 "$(engine_url $n)/v1/record"
  done | jq -c --arg mark "$1" '.. | objects | select(.mark? == $mark)'
}

run_count() {
  runs_of "$1" | wc -l
}

# gate_has_number GATE NUMBER: sends a request; true if the gate answers it under this configuration number
# or a later one.
gate_has_number() {
  local found
  ask "$1" tender-desk "$(chat draft-small "which number")"
  found=$(header X-Lovage-Config)
  [ -n "$found" ] && [ "$found" -ge "$2" ]
}

# wait_for_number NUMBER: waits until all gates use this configuration number or a later one.
wait_for_number() {
  local n
  for ((n = 1; n <= site_vms; n++)); do
    wait_for "number $1 at gate $n" gate_has_number $n "$1"
  done
}
