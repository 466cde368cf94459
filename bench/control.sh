#!/bin/bash
# Measures the cost of the control plane: runs sites of COUNT real stewards each on loopback, with the
# stand-in platform, and prints the processor time, memory and traffic of a steward, and how long a
# patch takes until it is in force everywhere.
#
# usage: bench/control.sh BUILD WINDOW_S PATCHES COUNT...
#
# Processor time is utime + stime of /proc/PID/stat over a window without patches; memory is VmRSS of
# /proc/PID/status, and its private part from smaps_rollup; bytes come from the stewards' own counters
# of messages sent and received, including headers. Slopes are fitted by least squares over the counts.
set -uo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$1
window_s=$2
patches=$3
shift 3

START_TIMEOUT_S=120
HTTP_TIMEOUT_S=30
# Counts below this are left out of the fit: there the number of asks is limited by the number of
# members, not by bytes.
FIT_COUNT_MIN=18
TICKS_PER_S=$(getconf CLK_TCK)
FAILURE_DOMAINS=(fukuoka kumamoto kagoshima oita)
OPERATOR_KEY=control-bench-key

work=$(mktemp -d)
pids=()
platform_pid=

fail() {
  echo "bench/control.sh: $*" >&2
  cat "$work"/*.err | tail -n 20 >&2
  exit 1
}

stop_all() {
  local p
  for p in "${pids[@]}" $platform_pid; do
    kill -TERM "$p" 2>/dev/null
  done
  for p in "${pids[@]}" $platform_pid; do
    wait "$p" 2>/dev/null
  done
  pids=()
  platform_pid=
}

cleanup() {
  stop_all
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 143' TERM INT

# --- a site

rpc_port() { echo $((base_port + 4 * $1)); }
operators_port() { echo $((base_port + 4 * $1 + 1)); }
local_port() { echo $((base_port + 4 * $1 + 2)); }

write_settings() {
  local n=$1
  cat >"$work/steward-$n.json" <<END
{
  "vm": "vm-$n",
  "failure_domain": "${FAILURE_DOMAINS[$((n % 4))]}",
  "site_key_file": "$work/site.key",
  "log_priority": "warning",
  "platform": { "address": "127.0.0.1", "port": $base_port },
  "rpc": { "address": "127.0.0.1", "port": $(rpc_port "$n") },
  "operators": { "address": "127.0.0.1", "port": $(operators_port "$n") },
  "local": { "address": "127.0.0.1", "port": $(local_port "$n") },
  "operator_list": [
    {
      "name": "bench",
      "key_hash": "$(printf %s "$OPERATOR_KEY" | b2sum -l 256 | cut -d' ' -f1)",
      "roles": [ "read", "patch" ]
    }
  ]
}
END
}

# call METHOD STEWARD PATH [BODY]
call() {
  local -a body=()
  [ $# -lt 4 ] || body=(--data-binary "$4")
  curl -s --max-time $HTTP_TIMEOUT_S -X "$1" -H "Authorization: Bearer $OPERATOR_KEY" "${body[@]}" \
    "http://127.0.0.1:$(operators_port "$2")$3"
}

# All members are registered, alive as seen from steward 1, and the view is established.
settled() {
  [ "$(call GET 1 /v1/status | jq -r --argjson n "$count" \
    '.view_established and (.members | length) == $n and .number == .accepted
     and all(.members[]; .state == "alive" or .state == "self")')" = true ]
}

wait_settled() {
  local until=$((SECONDS + START_TIMEOUT_S))
  until settled; do
    [ $SECONDS -lt $until ] || fail "$count stewards did not settle in ${START_TIMEOUT_S}s: $(call GET 1 /v1/status | jq -c '[.view, .view_established, (.members | length), ([.members[] | select(.state != "alive" and .state != "self")] | length)]')"
    sleep 0.1
  done
}

start_site() {
  local n vms= started=$SECONDS
  # Below the ephemeral ports and above those of regress/lib.sh, to avoid conflicts with other runs.
  base_port=$((30000 + RANDOM % (2760 - 4 * (count + 1))))
  od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$work/site.key"
  "$build/standin-platform" --address 127.0.0.1 --port $base_port 2>"$work/platform.err" &
  platform_pid=$!
  for ((n = 1; n <= count; n++)); do
    vms+="${vms:+,}{\"name\":\"vm-$n\",\"address\":\"127.0.0.1\",\"failure_domain\":\"f\",\"leaving\":false}"
  done
  until curl -sf --max-time 2 -X PUT -d "{\"vms\":[$vms]}" "http://127.0.0.1:$base_port/v1/vms"; do
    kill -0 $platform_pid || fail "the stand-in platform exited"
    sleep 0.05
  done
  for ((n = 1; n <= count; n++)); do
    write_settings $n
    "$build/lovage-steward" "$work/steward-$n.json" 2>"$work/steward-$n.err" &
    pids+=($!)
  done
  until call GET 1 /v1/status | grep -q view; do
    sleep 0.05
  done
  call POST 1 '/v1/versions?wait=none' "{\"text\":$(cat "$work/first.json"),\"reason\":\"bench\"}" >"$work/created"
  wait_settled
  settle_s=$((SECONDS - started))
}

# --- measurements over all stewards

# Processor time of all stewards so far (utime + stime of /proc/PID/stat), in clock ticks.
ticks_now() {
  local p
  for p in "${pids[@]}"; do
    cat "/proc/$p/stat"
  done | sed 's/^.*) //' | awk '{ sum += $12 + $13 } END { print sum }'
}

record_memory() {
  local p
  for p in "${pids[@]}"; do
    awk '/^VmRSS/ { rss = $2 } END { print rss }' "/proc/$p/status" >>"$work/rss"
    awk '/^Private/ { sum += $2 } END { print sum }' "/proc/$p/smaps_rollup" >>"$work/private"
  done
}

# counters NAME...: prints the sum of each counter over the stewards.
counters() {
  local n
  for ((n = 1; n <= count; n++)); do
    curl -s --max-time $HTTP_TIMEOUT_S "http://127.0.0.1:$(local_port $n)/metrics"
  done | awk -v names="$*" 'BEGIN { k = split(names, name, " ") } { sum[$1] += $2 }
    END { for (i = 1; i <= k; i++) printf "%d ", sum[name[i]]; print "" }'
}

COUNTER_NAMES="rpc_sent_bytes rpc_received_bytes steward_table_bytes steward_table_reads steward_table_writes"

measure_idle() {
  local ticks before after start end
  sleep 2
  ticks=$(ticks_now)
  before=$(counters $COUNTER_NAMES)
  start=$EPOCHREALTIME
  sleep "$window_s"
  end=$EPOCHREALTIME
  after=$(counters $COUNTER_NAMES)
  ticks=$(($(ticks_now) - ticks))
  : >"$work/rss"
  : >"$work/private"
  record_memory
  idle=$(echo "$before $after" | awk -v s="$(echo "$end $start" | awk '{ print $1 - $2 }')" \
    -v ticks="$ticks" -v hz="$TICKS_PER_S" -v n="$count" '{
      printf "%.3f %.0f %.0f %.2f %.3f", 100 * ticks / hz / s / n, ($6 + $7 - $1 - $2) / s / n,
        ($8 - $3) / s / n, ($9 - $4) / s, ($10 - $5) / s }')
  rss=$(awk '{ if ($1 > max) max = $1; sum += $1 } END { printf "%.1f %.1f", sum / NR / 1024, max / 1024 }' "$work/rss")
  private=$(awk '{ sum += $1 } END { printf "%.1f", sum / NR / 1024 }' "$work/private")
}

# Sends a patch that withdraws a version or makes it active again, based on the newest configuration
# number, to a random steward; adds its time to $work/times, in milliseconds.
measure_patch() {
  local state=withdrawn answer
  [ $((base % 2)) -eq 1 ] || state=active
  local body="{\"base\":$base,\"reason\":\"bench\",\"patch\":{\"models\":{\"draft-small\":{\"versions\":{\"v2\":{\"state\":\"$state\"}}}}}}"
  local start=$EPOCHREALTIME
  answer=$(call POST $((RANDOM % count + 1)) '/v1/patches?wait=in_force&wait_ms=20000' "$body")
  local end=$EPOCHREALTIME
  [ "$(echo "$answer" | jq -r .state)" = in_force ] || fail "patch against $base: $answer"
  base=$(echo "$answer" | jq -r .number)
  echo "$end $start" | awk '{ printf "%.1f\n", 1000 * ($1 - $2) }' >>"$work/times"
}

measure_patches() {
  local i ticks before after
  base=1
  : >"$work/times"
  ticks=$(ticks_now)
  before=$(counters $COUNTER_NAMES)
  for ((i = 0; i < patches; i++)); do
    measure_patch
  done
  times=$(sort -n "$work/times" | awk '{ t[NR] = $1 } END {
    p50 = t[int((NR + 1) / 2)]; p99 = t[int(NR * 0.99) < 1 ? 1 : int(NR * 0.99)]
    printf "%.0f %.0f %.0f", p50, p99, t[NR] }')
  after=$(counters $COUNTER_NAMES)
  writes=$(echo "$before $after" | awk -v k="$patches" '{ printf "%.1f", ($10 - $5) / k }')
}

# --- all counts

cp "$root/examples/site/routing.json" "$work/first.json"
# The example has comments, which the API does not accept.
sed -i -e 's#^\s*//.*##' -e 's#\s//.*$##' "$work/first.json"

printf '%8s %9s %9s %9s %11s %9s %10s %9s %8s %8s %8s %8s %9s\n' stewards 'cpu %' 'rss MB' 'max MB' \
  'private MB' 'rpc B/s' 'table B/s' 'reads/s' 'writes/s' 'p50 ms' 'p99 ms' 'worst ms' 'settle s'
: >"$work/rows"
for count in "$@"; do
  start_site
  measure_idle
  measure_patches
  stop_all
  read -r cpu rpc table reads table_writes <<<"$idle"
  read -r rss_mean rss_max <<<"$rss"
  read -r p50 p99 worst <<<"$times"
  printf '%8s %9s %9s %9s %11s %9s %10s %9s %8s %8s %8s %8s %9s\n' "$count" "$cpu" "$rss_mean" "$rss_max" \
    "$private" "$rpc" "$table" "$reads" "$table_writes" "$p50" "$p99" "$worst" "$settle_s"
  echo "$count $cpu $rss_mean $private $rpc $table $reads" >>"$work/rows"
done

echo
echo "per steward: cpu, rss, private, rpc and table bytes; of all stewards: reads and writes of the table service"
echo "patches timed at each count: $patches; window $window_s s; writes for one patch at the last count: $writes"
[ $# -gt 1 ] || exit 0
echo
echo "least squares over counts of $FIT_COUNT_MIN and more: value = a + b * stewards, and its value at 360"
for column in "2 cpu_percent" "3 rss_MB" "4 private_MB" "5 rpc_bytes_s" "6 table_bytes_s" "7 table_reads_s"; do
  read -r index name <<<"$column"
  awk -v c="$index" -v name="$name" -v count_min="$FIT_COUNT_MIN" '$1 >= count_min { n++; x += $1; y += $c; xx += $1 * $1; xy += $1 * $c }
    END { if (n < 2) exit
      b = (n * xy - x * y) / (n * xx - x * x); a = (y - b * x) / n
      printf "%-14s a=%.3f b=%.5f at360=%.2f\n", name, a, b, a + 360 * b }' "$work/rows"
done
