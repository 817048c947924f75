/*
 * Encoding of replicated commands, their results and snapshot records.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <rpc/rpc.h>

#include "base.h"
#include "gen/command_xdr.h"

int encode_command(const struct command *c, struct buf *out);
int decode_command(struct str bytes, struct command *out); /* ERR_CORRUPT */
void unload_command(struct command *c); /* decoded ones only */

int encode_command_result(const struct command_result *r, struct buf *out);
int decode_command_result(struct str bytes, struct command_result *out);
void unload_command_result(struct command_result *r); /* decoded ones only */

/*
 * Hash of the command without its base version: a resend may carry a newer
 * base and is still the same change.
 */
uint64_t fingerprint_command(const struct command *c);

/* Snapshot records: type, length and XDR value; proc NULL: no value */
int append_stored(
    struct buf *out, enum stored_type type, xdrproc_t proc, const void *value);
/* Advances data past a record; ERR_CORRUPT when it is truncated. */
int read_stored(struct str *data, enum stored_type *type, struct str *body);

#endif
