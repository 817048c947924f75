/*
 * XDR messages between processes: the types that rpcgen generates from wire.x,
 * their encoding and decoding, and the compression of large messages.
 */
#ifndef WIRE_H
#define WIRE_H

#include <rpc/rpc.h>

#include "base.h"
#include "gen/wire_xdr.h"

#define WIRE_MESSAGE_MAX (4 * 1024 * 1024) /* bytes of one encoded message */
/* Bytes of one encoded value: a message, or a record of a snapshot. */
#define WIRE_VALUE_MAX (6 * 1024 * 1024)
/*
 * In an OK reply to a watch: a record of an earlier run of the node has a higher
 * incarnation, so the node announces its endpoint again, above the stamp. A
 * field of its own would be an error to builds without it.
 */
#define WIRE_RETRY_ANNOUNCE (-1)

/* proc: the xdr_ function of the value's type, such as xdr_wire_watch_args */
int encode_wire(xdrproc_t proc, const void *value, struct buf *out);
int decode_wire(xdrproc_t proc, struct str bytes, void *value);
void unload_wire(xdrproc_t proc, void *value); /* frees value's members */

/* An encoded message as the bytes of a wire_packed, and back. */
int pack_wire(struct str message, struct buf *out);
int unpack_wire(struct str bytes, struct buf *out);

#endif
