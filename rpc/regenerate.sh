#!/bin/sh
# Regenerates the RPC code from lovage.x. The result is committed, so that a build needs no rpcgen.
set -eu
cd "$(dirname "$0")"
rm -f lovage.h lovage_xdr.c lovage_clnt.c
rpcgen -C -M -h -o lovage.h lovage.x
rpcgen -C -M -c -o lovage_xdr.c lovage.x
rpcgen -C -M -l -o lovage_clnt.c lovage.x
