/*
 * Length-counted strings and growing buffers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

#define BUF_MIN_BYTES 64 /* first allocation of a buffer */

struct str
make_str(const char *s)
{
	return (struct str){s, s != NULL ? strlen(s) : 0};
}

struct str
make_str_n(const char *s, size_t len)
{
	return (struct str){s, len};
}

bool
is_str_equal(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

/*
 * Orders a and b bytewise; a string sorts after its own prefix. Returns a
 * negative number, zero or a positive number.
 */
int
compare_str(struct str a, struct str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n != 0 ? memcmp(a.data, b.data, n) : 0;

	if (c != 0)
		return c;
	return a.len < b.len ? -1 : a.len > b.len;
}

/*
 * Copies s with a terminating NUL into dst, which holds size bytes. Returns
 * ERR_LIMIT, with dst empty, when s does not fit.
 */
int
copy_str(char *dst, size_t size, struct str s)
{
	if (s.len >= size) {
		if (size > 0)
			dst[0] = '\0';
		return ERR_LIMIT;
	}
	if (s.len > 0)
		memcpy(dst, s.data, s.len);
	dst[s.len] = '\0';
	return 0;
}

/*
 * Parses all of s as a decimal integer from lo to hi. Returns ERR_INVALID on
 * anything else, including blanks and a leading plus sign.
 */
int
parse_i64(struct str s, int64_t lo, int64_t hi, int64_t *out)
{
	char text[24];
	char *end;
	long long v;

	if (s.len == 0 || copy_str(text, sizeof(text), s) != 0)
		return ERR_INVALID;
	if (text[0] != '-' && (text[0] < '0' || text[0] > '9'))
		return ERR_INVALID;
	v = strtoll(text, &end, 10);
	if (*end != '\0' || end == text || v < lo || v > hi)
		return ERR_INVALID;
	*out = v;
	return 0;
}

/*
 * Hashes s with 64-bit FNV-1a and a final mix. Does not resist collisions that
 * an attacker chooses.
 */
uint64_t
hash_str(struct str s, uint64_t seed)
{
	uint64_t h = 14695981039346656037ULL ^ seed;

	for (size_t i = 0; i < s.len; i++) {
		h ^= (unsigned char)s.data[i];
		h *= 1099511628211ULL;
	}
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	h ^= h >> 33;
	return h;
}

/*
 * Appends len bytes. Returns ERR_MEMORY, with the buffer unchanged, when it
 * cannot grow.
 */
int
append_buf(struct buf *b, const void *data, size_t len)
{
	int rc = reserve_buf(b, len);

	if (rc != 0)
		return rc;
	if (len > 0)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
	return 0;
}

int
append_buf_str(struct buf *b, struct str s)
{
	return append_buf(b, s.data, s.len);
}

/*
 * Appends text formatted as by printf. Returns ERR_MEMORY or ERR_INVALID (bad
 * format) with the buffer unchanged.
 */
int
append_buf_fmt(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n, rc;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return ERR_INVALID;
	rc = reserve_buf(b, (size_t)n);
	if (rc != 0)
		return rc;
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
	return 0;
}

struct str
view_buf(const struct buf *b)
{
	return (struct str){b->data, b->len};
}

void
unload_buf(struct buf *b)
{
	free(b->data);
	*b = (struct buf){0};
}

/*
 * Makes room for more bytes and a NUL; doubles the capacity. Returns ERR_MEMORY
 * with the buffer unchanged.
 */
int
reserve_buf(struct buf *b, size_t more)
{
	size_t need = b->len + more + 1;
	size_t cap = b->cap != 0 ? b->cap : BUF_MIN_BYTES;
	char *p;

	if (need < more)
		return ERR_MEMORY;
	if (need <= b->cap)
		return 0;
	while (cap < need)
		cap *= 2;
	p = realloc(b->data, cap);
	if (p == NULL)
		return ERR_MEMORY;
	b->data = p;
	b->cap = cap;
	return 0;
}
