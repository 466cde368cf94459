#!/bin/bash
# Runs clang-tidy on one file and shows its output only if it found something.
# usage: tools/tidy.sh LOG-FOLDER COMPILER-FLAG... FILE
set -uo pipefail
logs=$1
file=${!#}
flags=("${@:2:$#-2}")
log=$logs/tidy-${file//\//_}.log
if ! clang-tidy --quiet "$file" -- "${flags[@]}" >"$log" 2>&1; then
  cat "$log"
  exit 1
fi
