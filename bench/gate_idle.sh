#!/bin/bash
# Measures the processor time of a gate without requests, for asks to its steward and for reading the
# load reports of 4 and of 24 engines. Prints processor time and load reports for a window of each, and
# the time per load report from their difference.
#
# usage: bench/gate_idle.sh BUILD-FOLDER; WINDOW_S=n changes the windows.
build=${1:-build}
. "$(dirname "$0")/../regress/lib.sh"

WINDOW_S=${WINDOW_S:-60}
# Engines added for the second window, each at an address of its own, and their port.
EXTRA_ENGINES=20
EXTRA_PORT=19777

count_load_reports() {
  curl -sf "http://127.0.0.1:${port[18111]}/metrics" | awk '$1 == "gate_load_reports" { print $2 }'
}

cpu_ms() {
  awk -v tick="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / tick }' "/proc/${pid[gate-1]}/stat"
}

# window NAME: measures for WINDOW_S seconds, prints a line, and sets $spent_ms (processor time) and
# $reports (load reports).
window() {
  local cpu before
  cpu=$(cpu_ms)
  before=$(count_load_reports)
  sleep "$WINDOW_S"
  spent_ms=$(awk -v a="$(cpu_ms)" -v b="$cpu" 'BEGIN { print a - b }')
  reports=$(($(count_load_reports) - before))
  awk -v name="$1" -v ms="$spent_ms" -v s="$WINDOW_S" -v r="$reports" \
    'BEGIN { printf "%s: %.2f %% of a core, %.1f load reports per second\n", name, ms / s / 10, r / s }'
}

add_engines() {
  local i patch=
  for ((i = 1; i <= EXTRA_ENGINES; i++)); do
    start_process "extra-$i" standin-engine --address "127.0.2.$i" --port $EXTRA_PORT \
      --serves draft-small@v1
    patch+=",\"extra-$i\":{\"kind\":\"engine\",\"address\":\"127.0.2.$i\",\"port\":$EXTRA_PORT,
      \"failure_domain\":\"fukuoka\",\"serves\":[\"draft-small@v1\"],\"slots\":8}"
  done
  submit_patch 1 "{\"backend_servers\":{${patch:1}}}" || fail "patch against 1"
}

site_start 1
window "4 engines"
few_ms=$spent_ms few_reports=$reports
add_engines
sleep 3
window "24 engines"
awk -v ms="$(awk -v a="$spent_ms" -v b="$few_ms" 'BEGIN { print a - b }')" -v r=$((reports - few_reports)) \
  'BEGIN { printf "slope: %.0f us per load report\n", ms * 1000 / r }'
site_stop
