/*
 * Encoding and decoding of XDR messages.
 */
#include <string.h>

#include "wire.h"

/*
 * Appends the encoded value to out. Returns ERR_LIMIT when it exceeds
 * WIRE_VALUE_MAX or a bound of its .x file, ERR_INVALID when encoding fails,
 * and ERR_MEMORY. After an error out is as before.
 */
int
encode_wire(xdrproc_t proc, const void *value, struct buf *out)
{
	unsigned long size = xdr_sizeof(proc, (void *)(uintptr_t)value);
	size_t at = out->len;
	XDR x;
	int rc;

	/* xdr_sizeof() returns 0 for a value that breaks a bound. */
	if (size == 0 || size > WIRE_VALUE_MAX)
		return ERR_LIMIT;
	rc = reserve_buf(out, size);
	if (rc != 0)
		return rc;
	xdrmem_create(&x, out->data + at, (unsigned int)size, XDR_ENCODE);
	if (!proc(&x, (void *)(uintptr_t)value)) {
		rc = ERR_INVALID;
	} else {
		out->len = at + xdr_getpos(&x);
	}
	xdr_destroy(&x);
	return rc;
}

/*
 * Decodes all of bytes into value, which must be zeroed; unload_wire() frees
 * it. Returns ERR_LIMIT for input above WIRE_VALUE_MAX, and ERR_CORRUPT for
 * malformed, short or trailing input. After an error there is nothing to free.
 */
int
decode_wire(xdrproc_t proc, struct str bytes, void *value)
{
	XDR x;
	bool ok;

	if (bytes.len > WIRE_VALUE_MAX)
		return ERR_LIMIT;
	xdrmem_create(&x, (char *)(uintptr_t)bytes.data,
	    (unsigned int)bytes.len, XDR_DECODE);
	ok = proc(&x, value) && xdr_getpos(&x) == bytes.len;
	xdr_destroy(&x);
	if (ok)
		return 0;
	xdr_free(proc, (char *)value);
	return ERR_CORRUPT;
}

void
unload_wire(xdrproc_t proc, void *value)
{
	xdr_free(proc, (char *)value);
}
