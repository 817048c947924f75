#!/bin/sh
# Regenerates the committed XDR code of command.x.
set -eu
cd "$(dirname "$0")"
rm -f gen/command_xdr.h gen/command_xdr.c
rpcgen -N -C -h -o gen/command_xdr.h command.x
rpcgen -N -C -c -o gen/command_xdr.c command.x
sed -i '/^#include "command/d' gen/command_xdr.c
sed -i '0,/^$/s//\n#include "command_xdr.h"\n/' gen/command_xdr.c
