#!/bin/bash
# Measures the latency that a gate adds, its throughput, memory and processor time, on a small site on
# loopback, compared with direct calls of the stand-in engine in the same run. Only counts and ratios
# are checked against bounds: times depend on the machine.
#
# usage: bench/gate.sh BUILD-FOLDER; LONG_REQUESTS=n and ROUNDS=n change its length.
build=${1:-build}
. "$(dirname "$0")/../regress/lib.sh"

LONG_REQUESTS=${LONG_REQUESTS:-100000}
ROUNDS=${ROUNDS:-3}
GROWTH_MAX_PERCENT=10
broken=0

# One fast engine for draft-small, so that direct calls use the same engine as the gate.
start_engine() {
  local n=$1 serves=draft-small@v1,draft-small@v2
  [ "$n" -le 2 ] || serves=draft-large@v1,draft-large@v2
  start_process "engine-$n" standin-engine --address 127.0.0.1 --port "${port[$((18010 + n))]}" \
    --serves "$serves" --slots 8000 --token-ms 20 --first-ms 30
}

create_first() {
  [ -n "$(head_number)" ] && return 0
  sed -i -e '/"engine-2"/,/}/ s/"checks_fencing"/"leaving": true, "checks_fencing"/' \
    -e 's/"slots": 8,/"slots": 8000,/' -e 's/"concurrent": [0-9]*/"concurrent": 0/' \
    "$site/routing.json"
  ctl version create --wait none "$site/routing.json"
  [ -n "$(head_number)" ]
}

# load NAME PORT MODEL OPTION...: runs the load tool, with its output in $site/out/NAME.
load() {
  local name=$1 to=$2 model=$3
  shift 3
  "$build/load-stream" --port "$to" --model "$model" --key "${key[tender-desk]}" "$@" \
    >"$site/out/$name"
}

through_gate() {
  local name=$1
  shift
  load "$name" "${port[18110]}" draft-small "$@"
}

direct() {
  local name=$1
  shift
  load "$name" "${port[18011]}" draft-small@v1 "$@"
}

value() {
  awk -v name="$2" '$1 == name { print $2 }' "$site/out/$1"
}

gate_rss_kb() {
  awk '$1 == "VmRSS:" { print $2 }' "/proc/${pid[gate-1]}/status"
}

# bound WHAT CONDITION...: reports a condition that does not hold; the run continues and fails at its
# end.
bound() {
  local what=$1
  shift
  "$@" && return
  echo "BOUND BROKEN: $what"
  broken=1
}

expect_all_whole() {
  bound "$1: whole $(value "$1" whole) of $(value "$1" requests)" \
    [ "$(value "$1" whole)" = "$(value "$1" requests)" ]
}

print_row() {
  local name
  for name in "$@"; do
    printf '%-22s' "$name"
    printf '%12s' "$(value "$name" requests)" "$(value "$name" whole)" \
      "$(value "$name" requests_per_s)" "$(value "$name" first_ms_p50)" \
      "$(value "$name" first_ms_p99)" "$(value "$name" gap_ms_p50)" "$(value "$name" gap_ms_p99)"
    echo
  done
}

print_head() {
  printf '%-22s' "$1"
  printf '%12s' requests whole per_s first_p50 first_p99 gap_p50 gap_p99
  echo
}

# added FROM TO FIGURE: median over the rounds of the figure of run TO minus that of run FROM.
added() {
  local from=$1 to=$2 figure=$3 round
  for ((round = 1; round <= ROUNDS; round++)); do
    awk -v a="$(value "$to-$round" "$figure")" -v b="$(value "$from-$round" "$figure")" \
      'BEGIN { printf "%.3f\n", a - b }'
  done | sort -n | sed -n "$(((ROUNDS + 1) / 2))p"
}

print_added() {
  echo "added, median of $ROUNDS rounds: first token p50 $(added "$1" "$2" first_ms_p50) ms," \
    "p99 $(added "$1" "$2" first_ms_p99) ms; between tokens p50 $(added "$1" "$2" gap_ms_p50) ms," \
    "p99 $(added "$1" "$2" gap_ms_p99) ms"
}

bench_memory() {
  local idle open run
  idle=$(gate_rss_kb)
  through_gate open-1000 --streams 1000 --requests 1000 --tokens 300 &
  run=$!
  sleep 4
  open=$(gate_rss_kb)
  wait $run
  expect_all_whole open-1000
  print_head "1000 streams open"
  print_row open-1000
  echo "most open at once: $(value open-1000 open_max)"
  bound "1000 streams open at once" [ "$(value open-1000 open_max)" = 1000 ]
  echo "memory of the gate: idle $idle KiB, with 1000 open streams $open KiB:" \
    "$(((open - idle) * 1024 / 1000)) bytes per open stream"
}

# Rounds of the same load on the engine and through the gate, in turn, so that other load on the
# machine affects both.
bench_pair() {
  local name=$1 round
  shift
  print_head "$name"
  for ((round = 1; round <= ROUNDS; round++)); do
    direct "direct-$name-$round" "$@"
    through_gate "gate-$name-$round" "$@"
    expect_all_whole "direct-$name-$round"
    expect_all_whole "gate-$name-$round"
    print_row "direct-$name-$round" "gate-$name-$round"
  done
  print_added "direct-$name" "gate-$name"
}

bench_rate() {
  local half
  through_gate gate-full --streams 400 --requests 10000 --tokens 4
  expect_all_whole gate-full
  print_head "full load"
  print_row gate-full
  half=$(awk -v r="$(value gate-full requests_per_s)" 'BEGIN { printf "%d", r / 2 }')
  bench_pair half --streams 1000 --requests $((half * 5)) --tokens 4 --rate "$half"
}

gate_cpu_ms() {
  awk -v tick="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / tick }' "/proc/${pid[gate-1]}/stat"
}

# cpu_of NAME OPTION...: processor time of the gate for a run of the load tool, in milliseconds.
cpu_of() {
  local before after
  before=$(gate_cpu_ms)
  through_gate "$@"
  after=$(gate_cpu_ms)
  expect_all_whole "$1"
  awk -v a="$after" -v b="$before" 'BEGIN { print a - b }'
}

# The cost of a request and of a token follow from two loads with short and long answers.
bench_cost() {
  local short_requests=4000 short_tokens=2 long_requests=1000 long_tokens=200 short long
  short=$(cpu_of cost-short --streams 200 --requests $short_requests --tokens $short_tokens)
  long=$(cpu_of cost-long --streams 200 --requests $long_requests --tokens $long_tokens)
  awk -v s="$short" -v sr=$short_requests -v st=$short_tokens \
    -v l="$long" -v lr=$long_requests -v lt=$long_tokens 'BEGIN {
      token = (l / lr - s / sr) / (lt - st)
      printf "processor time of the gate: %.0f us per request and %.1f us per token\n",
        (s / sr - token * st) * 1000, token * 1000
    }'
}

bench_growth() {
  local before after percent
  through_gate warm --streams 200 --requests $((LONG_REQUESTS / 5)) --tokens 2
  before=$(gate_rss_kb)
  through_gate long --streams 200 --requests "$LONG_REQUESTS" --tokens 2
  after=$(gate_rss_kb)
  expect_all_whole long
  percent=$(awk -v a="$after" -v b="$before" 'BEGIN { printf "%.1f", (a - b) * 100 / b }')
  print_head "long run"
  print_row long
  echo "memory of the gate before $before KiB, after $after KiB: $percent % more"
  bound "growth of the gate's memory under $GROWTH_MAX_PERCENT %" \
    awk -v p="$percent" -v max=$GROWTH_MAX_PERCENT 'BEGIN { exit p >= max }'
}

count_usage_records() {
  curl -sf --max-time 20 "$(platform_url)/v1/stats" | jq .rows.bill
}

all_records_written() {
  [ "$(count_usage_records)" = "$1" ]
}

check_usage_records() {
  local sent=0 name
  for name in "$site"/out/{open,gate,cost,warm,long}*; do
    sent=$((sent + $(value "$(basename "$name")" whole)))
  done
  wait_for "usage records of $sent answers ($(count_usage_records) found)" all_records_written $sent
  echo "usage records: $(count_usage_records) for $sent answers"
}

# Another site that starts at the same time may have taken a port; its answers must not be measured.
check_alive() {
  local name
  for name in "${started[@]}"; do
    alive "$name" || fail "$name does not run"
  done
}

site_start 1
check_alive
bench_memory
bench_pair 200 --streams 200 --requests 1000 --tokens 50
bench_rate
bench_cost
bench_growth
check_usage_records
site_stop
[ $broken = 0 ] && echo "bench: passed"
exit $broken
