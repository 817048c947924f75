/*
 * XDR encoding of commands, results and snapshot records.
 */
#include <string.h>

#include <xxhash.h>

#include "command.h"
#include "wire.h"

#define RECORD_HEADER_BYTES 8 /* type and length, big endian */
#define SMALL_RECORD_BYTES 2048 /* fits any claim */

static bool append_small_record(
    struct buf *out, xdrproc_t proc, const void *value);
static void store_u32(unsigned char *p, uint32_t v);
static uint32_t load_u32(const unsigned char *p);

int
encode_command(const struct command *c, struct buf *out)
{
	return encode_wire((xdrproc_t)xdr_command, c, out);
}

/*
 * Decodes a command; free it with unload_command(). Returns ERR_CORRUPT.
 */
int
decode_command(struct str bytes, struct command *out)
{
	memset(out, 0, sizeof(*out));
	if (bytes.len == 0)
		return ERR_CORRUPT;
	return decode_wire((xdrproc_t)xdr_command, bytes, out);
}

void
unload_command(struct command *c)
{
	unload_wire((xdrproc_t)xdr_command, c);
}

/*
 * Appends a result. XDR strings must not be NULL, so unset ones are encoded as
 * empty.
 */
int
encode_command_result(const struct command_result *r, struct buf *out)
{
	static char empty[1];
	struct command_result c = *r;
	char **texts[] = {&c.winner.row, &c.winner.value, &c.winner_author,
	    &c.text, &c.holder};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		if (*texts[i] == NULL)
			*texts[i] = empty;
	}
	return encode_wire((xdrproc_t)xdr_command_result, &c, out);
}

int
decode_command_result(struct str bytes, struct command_result *out)
{
	memset(out, 0, sizeof(*out));
	if (bytes.len == 0)
		return ERR_CORRUPT;
	return decode_wire((xdrproc_t)xdr_command_result, bytes, out);
}

void
unload_command_result(struct command_result *r)
{
	unload_wire((xdrproc_t)xdr_command_result, r);
}

/*
 * Returns 0 when the command cannot be encoded.
 */
uint64_t
fingerprint_command(const struct command *c)
{
	struct command copy = *c;
	struct buf b = {0};
	uint64_t h = 0;

	copy.base = 0;
	if (encode_command(&copy, &b) == 0)
		h = XXH3_64bits(b.data, b.len);
	unload_buf(&b);
	return h;
}

/*
 * Appends a record. On error out keeps its former length.
 */
int
append_stored(
    struct buf *out, enum stored_type type, xdrproc_t proc, const void *value)
{
	unsigned char header[RECORD_HEADER_BYTES] = {0};
	size_t at = out->len;
	int rc = append_buf(out, header, sizeof(header));

	if (rc == 0 && proc != NULL && !append_small_record(out, proc, value))
		rc = encode_wire(proc, value, out);
	if (rc != 0) {
		out->len = at;
		return rc;
	}
	store_u32(header, (uint32_t)type);
	store_u32(header + 4, (uint32_t)(out->len - at - sizeof(header)));
	memcpy(out->data + at, header, sizeof(header));
	return 0;
}

/*
 * The body points into data.
 */
int
read_stored(struct str *data, enum stored_type *type, struct str *body)
{
	const unsigned char *p = (const unsigned char *)data->data;
	uint32_t len;

	if (data->len < RECORD_HEADER_BYTES)
		return ERR_CORRUPT;
	*type = (enum stored_type)load_u32(p);
	len = load_u32(p + 4);
	if (len > data->len - RECORD_HEADER_BYTES)
		return ERR_CORRUPT;
	*body = make_str_n(data->data + RECORD_HEADER_BYTES, len);
	data->data += RECORD_HEADER_BYTES + len;
	data->len -= RECORD_HEADER_BYTES + len;
	return 0;
}

/*
 * Encodes a record through a buffer on the stack, which saves the pass that
 * measures its size; false: it does not fit, or out of memory. A snapshot of a
 * full claim store has 131,072 such records, and the replica's thread waits for
 * it.
 */
static bool
append_small_record(struct buf *out, xdrproc_t proc, const void *value)
{
	char bytes[SMALL_RECORD_BYTES];
	bool ok;
	XDR x;

	xdrmem_create(&x, bytes, sizeof(bytes), XDR_ENCODE);
	ok = proc(&x, (void *)(uintptr_t)value) &&
	     append_buf(out, bytes, xdr_getpos(&x)) == 0;
	xdr_destroy(&x);
	return ok;
}

static void
store_u32(unsigned char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (unsigned char)(v >> (24 - 8 * i));
}

static uint32_t
load_u32(const unsigned char *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | (uint32_t)p[3];
}
