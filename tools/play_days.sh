#!/bin/bash
# Plays days that once broke a promise, on the code as it is: play_days.sh FOLDER [PATTERN]. FOLDER is the
# users' kit with bin/ and the site files; PATTERN chooses lines of docs/incidents/days.txt. Prints a line a
# day, and exits with 1 if one breaks a promise or can't be played.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 1 ] || [ ! -x "$1/bin/fleetbench" ]; then
  echo "play_days.sh: expected the folder of the users' kit, found: ${1:-nothing}" >&2
  exit 2
fi
kit=$1 pattern=${2:-.}
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# play SITE VERB ARGUMENT...: true if the day was played and kept its promises.
play() {
  local site=$1 verb=$2
  shift 2
  "$kit/bin/fleetbench" "$verb" "$kit/$site" "$@" --why "a day that once broke a promise, again" >"$out" 2>&1 \
    && grep -q '^worth ' "$out" && ! grep -q '^rules broken' "$out"
}

failed=0 played=0
while read -r site rest; do
  [[ -z $site || $site = \#* || ! "$site $rest" =~ $pattern ]] && continue
  played=$((played + 1))
  # shellcheck disable=SC2086 -- words of one line of the list
  if play "$site" $rest; then
    echo "kept: $site $rest"
  else
    echo "BROKEN: $site $rest"
    grep -A 3 '^rules broken' "$out" || tail -n 3 "$out"
    failed=$((failed + 1))
  fi
done <docs/incidents/days.txt
echo "$played days played, $failed broken"
[ $failed -eq 0 ] && [ $played -gt 0 ]
