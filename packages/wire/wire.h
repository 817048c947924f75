/*
 * XDR messages between processes: the types that rpcgen generates from wire.x,
 * and their encoding and decoding.
 */
#ifndef WIRE_H
#define WIRE_H

#include <rpc/rpc.h>

#include "base.h"
#include "gen/wire_xdr.h"

#define WIRE_MESSAGE_MAX (4 * 1024 * 1024) /* bytes of one encoded message */

/* proc: the xdr_ function of the value's type, such as xdr_wire_watch_args */
int encode_wire(xdrproc_t proc, const void *value, struct buf *out);
int decode_wire(xdrproc_t proc, struct str bytes, void *value);
void unload_wire(xdrproc_t proc, void *value); /* frees value's members */

#endif
