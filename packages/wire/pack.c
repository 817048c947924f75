/*
 * Compression of encoded messages. Tables and endpoint sets repeat most of
 * their text from row to row and shrink to a tenth or less.
 */
#include <zlib.h>

#include "wire.h"

#define PACK_MIN_BYTES 256 /* shorter messages hardly shrink */
#define PACK_LEVEL 3

static int deflate_message(struct str message, struct buf *out);
static int inflate_message(const struct wire_packed *p, struct buf *out);

/*
 * Appends the message to out as an encoded wire_packed, deflated when that
 * makes it shorter. Returns ERR_LIMIT for one above WIRE_MESSAGE_MAX, or
 * ERR_MEMORY.
 */
int
pack_wire(struct str message, struct buf *out)
{
	struct wire_packed p = {0};
	struct buf deflated = {0};
	int rc = 0;

	if (message.len > WIRE_MESSAGE_MAX)
		return ERR_LIMIT;
	if (message.len >= PACK_MIN_BYTES)
		rc = deflate_message(message, &deflated);
	if (rc == 0 && deflated.len > 0 && deflated.len < message.len) {
		p.inflated_len = (unsigned int)message.len;
		message = view_buf(&deflated);
	}
	p.data.data_val = (char *)(uintptr_t)message.data;
	p.data.data_len = (unsigned int)message.len;
	if (rc == 0)
		rc = encode_wire((xdrproc_t)xdr_wire_packed, &p, out);
	unload_buf(&deflated);
	return rc;
}

/*
 * Appends the message of an encoded wire_packed to out. Returns ERR_CORRUPT
 * when bytes are malformed or do not inflate to the stated length, ERR_LIMIT
 * when that is above WIRE_MESSAGE_MAX, or ERR_MEMORY.
 */
int
unpack_wire(struct str bytes, struct buf *out)
{
	struct wire_packed p = {0};
	int rc = decode_wire((xdrproc_t)xdr_wire_packed, bytes, &p);

	if (rc != 0)
		return rc;
	if (p.inflated_len == 0)
		rc = append_buf(out, p.data.data_val, p.data.data_len);
	else
		rc = inflate_message(&p, out);
	unload_wire((xdrproc_t)xdr_wire_packed, &p);
	return rc;
}

static int
deflate_message(struct str message, struct buf *out)
{
	uLongf len = compressBound(message.len);
	int rc = reserve_buf(out, len);

	if (rc != 0)
		return rc;
	if (compress2((Bytef *)out->data, &len, (const Bytef *)message.data,
		message.len, PACK_LEVEL) != Z_OK)
		return ERR_MEMORY;
	out->len = len;
	return 0;
}

static int
inflate_message(const struct wire_packed *p, struct buf *out)
{
	uLongf len = p->inflated_len;
	int rc;

	if (len > WIRE_MESSAGE_MAX)
		return ERR_LIMIT;
	rc = reserve_buf(out, len);
	if (rc != 0)
		return rc;
	rc = uncompress((Bytef *)out->data + out->len, &len,
	    (const Bytef *)p->data.data_val, p->data.data_len);
	if (rc == Z_MEM_ERROR)
		return ERR_MEMORY;
	if (rc != Z_OK || len != p->inflated_len)
		return ERR_CORRUPT;
	out->len += len;
	return 0;
}
