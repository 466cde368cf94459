#!/bin/bash
# make site: runs the site of the demo until Ctrl-C, and prints commands to try on it.
build=${1:-build}
# Job control gives each process its own process group, so that Ctrl-C reaches only this script, which stops the
# processes in order.
set -m
SITE_PORTS=${SITE_PORTS:-fixed}
. "$(dirname "$0")/../regress/lib.sh"

site_start 3
operators="127.0.0.1:${port[18113]},127.0.0.1:${port[18123]},127.0.0.1:${port[18133]}"
cat <<TEXT
The site is running; its settings, keys and logs are in $site

An answer without streaming, and a streamed one through another gate:
  curl -i -H "Authorization: Bearer \$(cat $site/tender-desk.key)" -d '$(chat draft "Draft a bid bond")' $(gate_url 1)/v1/chat/completions
  curl -iN -H "Authorization: Bearer \$(cat $site/workshop.key)" -d '$(chat draft-small "Read a fault log" true)' $(gate_url 2)/v1/chat/completions

Commands for operators:
  export CTL="$build/lovagectl --steward $operators --key-file $site/operator.key"
  \$CTL status
  \$CTL rollout start draft-small --from v1 --to v2 --stages 0.1,0.5,1
  \$CTL rollout status
  \$CTL withdraw draft-small@v2
  \$CTL usage
  \$CTL audit

Metrics of a gate and a steward, and the bills:
  curl $(gate_local_url 1)/metrics
  curl $(steward_local_url 1)/metrics
  curl "$(platform_url)/v1/scan?table=bill"

Fault injection (see docs/operate), e.g. the platform unavailable for the next 20 calls:
  curl -d '{"kind":"down","count":20}' $(platform_url)/v1/fault

Ctrl-C stops the site.
TEXT
trap 'stopping=yes' INT TERM
stopping=no
while [ $stopping = no ]; do
  sleep 1
done
site_stop
echo "all processes ended with status 0"
