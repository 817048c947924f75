/*
 * Length-counted strings and growing buffers.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

#define BUF_MIN_BYTES 64 /* first allocation of a buffer */
/*
 * Buffers double up to this size. Longer ones grow by a quarter of their size,
 * so that a long body does not take twice its length.
 */
#define BUF_DOUBLE_MAX_BYTES (1024 * 1024)

static atomic_size_t all_buf_bytes; /* capacities of all buffers */

static size_t choose_cap(size_t cap, size_t need);

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
	atomic_fetch_sub_explicit(&all_buf_bytes, b->cap, memory_order_relaxed);
	free(b->data);
	*b = (struct buf){0};
}

/*
 * Frees the memory of an empty buffer that holds more than max bytes.
 */
void
trim_buf(struct buf *b, size_t max)
{
	if (b->len == 0 && b->cap > max)
		unload_buf(b);
}

size_t
get_buf_bytes(void)
{
	return atomic_load_explicit(&all_buf_bytes, memory_order_relaxed);
}

/*
 * Makes room for more bytes and a NUL. Returns ERR_MEMORY with the buffer
 * unchanged.
 */
int
reserve_buf(struct buf *b, size_t more)
{
	return reserve_buf_within(b, more, SIZE_MAX - 1);
}

/*
 * As reserve_buf(), for a buffer that will hold max bytes at most: no capacity
 * beyond that is reserved, unless it is needed now.
 */
int
reserve_buf_within(struct buf *b, size_t more, size_t max)
{
	size_t need = b->len + more + 1, cap;
	char *p;

	if (need < more)
		return ERR_MEMORY;
	if (need <= b->cap)
		return 0;
	cap = choose_cap(b->cap, need);
	if (cap > max + 1)
		cap = need > max + 1 ? need : max + 1;
	p = realloc(b->data, cap);
	if (p == NULL)
		return ERR_MEMORY;
	atomic_fetch_add_explicit(
	    &all_buf_bytes, cap - b->cap, memory_order_relaxed);
	b->data = p;
	b->cap = cap;
	return 0;
}

static size_t
choose_cap(size_t cap, size_t need)
{
	if (cap == 0)
		cap = BUF_MIN_BYTES;
	while (cap < need && cap < BUF_DOUBLE_MAX_BYTES)
		cap *= 2;
	while (cap < need) {
		size_t more = cap / 4 > BUF_DOUBLE_MAX_BYTES ?
				  cap / 4 :
				  BUF_DOUBLE_MAX_BYTES;

		cap = cap + more > cap ? cap + more : need;
	}
	return cap;
}
