#!/bin/bash
# Builds lovage-front with one of its mechanisms switched off, for ablation benchmarks. bench/ablation.txt lists the
# mechanisms, each with the sed expression that switches it off in a source file.
#   ablate.sh check                       checks that each expression still changes its file (runs in CI)
#   ablate.sh make NAME FOLDER            clones this repository's last commit to FOLDER, switches NAME off, and
#                                         builds lovage-front for the platform; NAME "none": nothing switched off
set -euo pipefail
cd "$(dirname "$0")/.."
list=bench/ablation.txt

# switch_off LINE FOLDER: applies the expression of a line of the list to the sources in FOLDER; false if nothing
# changed.
switch_off() {
  local file expression before
  file=$(cut -d'|' -f2 <<<"$1")
  # An expression may contain "\|", so cut cannot select it: remove the fields before and after it.
  expression=${1#*|*|}
  expression=${expression%|*}
  before=$(sha256sum "$2/$file")
  sed -i -E "$expression" "$2/$file"
  [ "$before" != "$(sha256sum "$2/$file")" ]
}

check() {
  local folder failed=0 line
  folder=$(mktemp -d)
  while IFS= read -r line; do
    [[ -z $line || $line = \#* ]] && continue
    cp -r src "$folder/"
    if ! switch_off "$line" "$folder"; then
      echo "ablate.sh: ${line%%|*} changes nothing in $(cut -d'|' -f2 <<<"$line")"
      failed=1
    fi
  done <$list
  rm -rf "$folder"
  return $failed
}

make_variant() {
  local name=$1 folder=$2 line
  git clone -q . "$folder"
  if [ "$name" != none ]; then
    line=$(grep "^$name|" $list) || { echo "ablate.sh: no mechanism $name in $list" >&2; exit 2; }
    switch_off "$line" "$folder" || { echo "ablate.sh: $name changes nothing" >&2; exit 1; }
  fi
  make -s -C "$folder" front BUILD=target
}

case "${1:-}" in
  check) check ;;
  make) [ $# -eq 3 ] || { echo "usage: ablate.sh make NAME FOLDER" >&2; exit 2; }; make_variant "$2" "$3" ;;
  *) echo "usage: ablate.sh check | make NAME FOLDER" >&2; exit 2 ;;
esac
