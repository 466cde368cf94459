#!/bin/bash
# Installs the Debian packages that the build, the tests and the linters need, unless all are installed.
set -euo pipefail

packages=(
  gcc clang make pkg-config
  libmicrohttpd-dev libneon27-gnutls-dev liburcu-dev libtirpc-dev rpcsvc-proto libjson-c-dev
  libsodium-dev libxxhash-dev zlib1g-dev libevent-dev libssl-dev libhttp-parser-dev libgsl-dev libgnutls28-dev libsqlite3-dev libcunit1-dev
  clang-format clang-tidy cppcheck valgrind spin libclang-rt-14-dev mandoc
  curl jq python3
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
  echo "missing, to be installed by root: apt-get install -y ${missing[*]}" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"
