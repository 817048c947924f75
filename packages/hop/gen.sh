#!/bin/sh
# Regenerates the committed XDR code of hop.x.
set -eu
cd "$(dirname "$0")"
rm -f gen/hop_xdr.h gen/hop_xdr.c
rpcgen -N -C -h -o gen/hop_xdr.h hop.x
rpcgen -N -C -c -o gen/hop_xdr.c hop.x
sed -i '/^#include "hop/d' gen/hop_xdr.c
sed -i '0,/^$/s//\n#include "hop_xdr.h"\n/' gen/hop_xdr.c
