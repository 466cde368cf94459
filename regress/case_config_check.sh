#!/bin/bash
# lovage-config on good, bad, cut-off and missing documents: exit statuses, text and JSON.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

site=$(mktemp -d -t lovage-site-XXXXXX)
trap site_cleanup EXIT
mkdir "$site/log" "$site/out"
good=$LIB_ROOT/examples/front-routing.json

# check EXPECTED-STATUS ARGUMENT...: standard output goes to $site/out/check.
check() {
  local expected=$1
  shift
  "$build/lovage-config" check "$@" >"$site/out/check" 2>"$site/out/errors"
  expect_equal "exit status of check $*" "$expected" $?
}

expect_text() {
  grep -qF "$1" "$site/out/check" || fail "no \"$1\" in: $(cat "$site/out/check")"
}

# expect_json EXPRESSION: the Python expression on the report r is true.
expect_json() {
  python3 -c 'import json, sys; r = json.load(open(sys.argv[1])); sys.exit(not eval(sys.argv[2]))' \
    "$site/out/check" "$1" || fail "not so: $1: $(cat "$site/out/check")"
}

check_good() {
  check 0 "$good"
  expect_text "accepted by fronts: 0 errors, 0 warnings"
  check 0 --json - <"$good"
  expect_json 'r["verdict"] == "accepted" and r["file"] == "-" and r["findings"] == []'
  check 0 <"$good"
}

check_bad() {
  sed 's/"SloMs": 1500/"SloMs": 150000/' "$good" >"$site/warned.json"
  check 1 "$site/warned.json"
  expect_text "Routes[0].SloMs: route \"letter-draft\": the objective of 150000 ms is longer"
  sed 's/"idempotent"/"repeatable"/' "$good" >"$site/refused.json"
  check 2 --json "$site/refused.json"
  expect_json 'r["verdict"] == "refused" and r["errors"] == 1'
  expect_json '[(f["path"], f["line"]) for f in r["findings"]] == [("Routes[1].Kind", 17)]'
  head -c 700 "$good" >"$site/cut.json"
  check 2 --json "$site/cut.json"
  expect_json 'r["findings"][0]["check"] == "syntax" and r["findings"][0]["line"] > 1'
  check 2 </dev/null
  expect_text "there is no text"
}

check_against() {
  sed -e 's/"Version": 12/"Version": 13/' -e 's/"Weight": 90/"Weight": 10/' "$good" >"$site/next.json"
  check 0 --against "$good" "$site/next.json"
  expect_text 'the share of service "ledger" falls from 90% to 50%'
  check 0 --json --against - "$site/next.json" <"$good"
  expect_json 'r["changes"] == 3 and r["errors"] == 0'
  check 2 --against "$site/next.json" "$good"
  expect_text "version 12 is not above 13"
}

check_usage() {
  check 3 "$site/absent.json"
  check 3 --against "$site/absent.json" "$good"
  check 3 --against "$site/cut.json" "$good"
  check 3 --against - - <"$good"
  check 3 --unknown "$good"
  "$build/lovage-config" >"$site/out/check" 2>&1
  expect_equal "exit status without a command" 3 $?
}

check_good
check_bad
check_against
check_usage
echo "lovage-config: statuses, text and JSON are as documented"
