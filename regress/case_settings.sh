#!/bin/bash
# Invalid settings: each program reports all errors at once, with file and path, and does not start. The example
# files are valid.
build=${1:-build}
. "$(dirname "$0")/lib.sh"

site=$(mktemp -d -t lovage-site-XXXXXX)
trap site_cleanup EXIT
mkdir "$site/log" "$site/out"
make_keys

# expect_lines FILE LINE...: the file must have exactly these lines, apart from log lines, which begin with "<".
expect_lines() {
  local file=$1
  shift
  expect_equal "errors" "$(printf '%s\n' "$@")" "$(grep -v '^<' "$file")"
}

check_examples() {
  local n role
  for n in 1 2 3; do
    for role in gate steward; do
      copy_example "$role-$n.json" "$role-$n.json"
      "$build/lovage-$role" "$site/$role-$n.json" --check >"$site/out/check" 2>&1 \
        || fail "$role-$n.json: $(cat "$site/out/check")"
      "$build/lovagectl" settings check "$site/$role-$n.json" >"$site/out/check" 2>&1 \
        || fail "lovagectl on $role-$n.json: $(cat "$site/out/check")"
    done
  done
  "$build/lovagectl" settings check "$LIB_ROOT/examples/site/routing.json" >"$site/out/check" 2>&1 \
    || fail "routing.json: $(cat "$site/out/check")"
}

check_errors() {
  local role file=$site/bad.json
  for role in gate steward; do
    sed -e 's/"vm": "vm-1"/"vm": 1/' -e 's/"failure_domain"/"failure_domian"/' \
      -e 's/"port": 18000/"port": 18111114/' "$site/$role-1.json" >"$file"
    "$build/lovage-$role" "$file" >"$site/out/check" 2>&1 </dev/null
    expect_equal "exit status of lovage-$role" 1 $?
    grep -q "^$file: vm: expected a string, found int$" "$site/out/check" || fail "$role: no error of vm"
    grep -q "^$file: failure_domian: unknown name, expected one of: vm, failure_domain" \
      "$site/out/check" || fail "$role: no error of an unknown name"
    grep -q "^$file: failure_domain: expected a string, found nothing$" "$site/out/check" \
      || fail "$role: no error of an absent name"
    grep -q "^$file: platform.port: expected a whole number from 1 to 65535, found 18111114$" \
      "$site/out/check" || fail "$role: no error of a port"
    expect_equal "errors of lovage-$role" 4 "$(grep -c "^$file: " "$site/out/check")"
  done
}

check_syntax() {
  local file=$site/bad.json
  printf '{\n  "vm": "a", // fine\n  "vm": "b"\n  "c" }\n' >"$file"
  "$build/lovage-gate" "$file" --check >"$site/out/check" 2>&1
  expect_equal "exit status" 1 $?
  expect_lines "$site/out/check" "$file: vm: line 3, column 7: duplicate member name" \
    "$file: line 4, column 3: syntax error: object value separator ',' expected"
  "$build/lovage-steward" "$site/none.json" --check >"$site/out/check" 2>&1
  expect_equal "exit status" 1 $?
  expect_lines "$site/out/check" "$site/none.json: can't be opened: No such file or directory"
}

# Guards against choosing a port in the range of the examples' ports, which copy_example replaces a second time: a
# gate that had chosen 18000 got one port for its callers and the table service, and did not start. One in
# twenty chosen ports was in the range, so 200 choices suffice.
check_ports() {
  local n number examples
  examples=$(grep -rhoE '\b1[0-9]{4}\b' "$LIB_ROOT/examples/site" | sort -u)
  for n in {1..200}; do
    find_port
    [ $free -lt 18000 ] || [ $free -ge 19000 ] || fail "port $free was chosen, which is in the range of the examples"
  done
  release_ports
  for number in $examples; do
    [ "$number" -ge 18000 ] && [ "$number" -lt 19000 ] || fail "examples/site has port $number: widen EXAMPLE_PORTS"
  done
}

check_examples
check_errors
check_syntax
check_ports
echo "settings: passed"
