#!/bin/bash
# Replays on the current code scenarios ("days") that broke a guarantee before: play_days.sh FOLDER [PATTERN].
# FOLDER is the users' kit with its bench and the site files; PATTERN, a regular expression, selects lines of
# docs/incidents/days.txt. Prints a line per day; exits with 1 if one breaks a guarantee or cannot be played.
#   play_days.sh FOLDER own SITE [SEEDS]  plays the days of deploy/days on one site, as written and with
#                                         times and figures varied by each of SEEDS (default: 1 2 3)
set -uo pipefail
cd "$(dirname "$0")/.."
# The kit has newer benches beside the first one; the newest plays the site files of the earlier ones too.
bench=$(ls -t "${1:-}"/more/bench-*/bin/fleetbench "${1:-}"/bin/fleetbench 2>/dev/null | head -n 1 || true)
if [ $# -lt 1 ] || [ ! -x "$bench" ]; then
  echo "play_days.sh: expected the folder of the users' kit, found: ${1:-nothing}" >&2
  exit 2
fi
kit=$1 pattern=${2:-.}
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# play SITE VERB ARGUMENT...: plays a day; true if it ended and all guarantees held.
play() {
  local site=$1 verb=$2
  shift 2
  "$bench" "$verb" "$kit/$site" "$@" --why "replay of a day that broke a guarantee before" >"$out" 2>&1 \
    && grep -q '^worth ' "$out" && ! grep -q '^rules broken' "$out"
}

failed=0 played=0

# report SITE VERB ARGUMENT...: plays a day and prints its result.
report() {
  played=$((played + 1))
  if play "$@"; then
    echo "kept: $*"
    return
  fi
  echo "BROKEN: $*"
  grep -A 3 '^rules broken' "$out" || tail -n 3 "$out"
  failed=$((failed + 1))
}

own_days() {
  local site=$1 seeds=$2 day seed
  for day in deploy/days/*.toml; do
    report "$site" run "$day"
    for seed in $seeds; do
      report "$site" run "$day" --vary --seed "$seed"
    done
  done
}

listed_days() {
  local site rest
  while read -r site rest; do
    [[ -z $site || $site = \#* || ! "$site $rest" =~ $pattern ]] && continue
    # shellcheck disable=SC2086 -- words of one line of the list
    report "$site" $rest
  done <docs/incidents/days.txt
}

if [ "$pattern" = own ]; then
  own_days "${3:?play_days.sh: own needs a site file under the kit}" "${4:-1 2 3}"
else
  listed_days
fi
echo "$played days played, $failed broken"
[ $failed -eq 0 ] && [ $played -gt 0 ]
