/*
 * Deltas between texts. Both texts are split after closing brackets and line
 * ends, so that a change in one place leaves the other chunks unchanged. Chunks
 * that the old text contains are copied from it; all others are literals.
 *
 * A delta is a list of operations: 'C' (copy), offset and length of a part of
 * the old text; 'L' (literal), a length and that many bytes; or 'Z', the length
 * of a text, the length of its deflated form (RFC 1950) and that form. Numbers
 * are 32 bits, big endian.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>
#include <zlib.h>

#include "source.h"

#define CHUNK_MAX 4096 /* bytes, if no bracket or line end comes first */
#define COPY_BYTES 9 /* operation, offset and length */
#define LITERAL_BYTES 5 /* operation and length */
#define DEFLATED_BYTES 9 /* operation and both lengths */
#define DEFLATE_LEVEL 3 /* as for messages; tables shrink to a tenth */

/* A chunk of the old text. */
struct chunk {
	uint64_t hash;
	uint32_t offset;
	uint32_t len; /* 0: free slot */
};

/* Hash table of the chunks of the old text, with linear probing. */
struct chunk_index {
	struct chunk *slots;
	size_t count; /* of slots; a power of two */
	struct str text; /* the old text */
};

/* Merges adjacent operations; at most one of literal and copy is pending. */
struct delta_writer {
	struct buf *out;
	struct str literal; /* part of the new text; empty: none */
	uint32_t copy_offset;
	uint32_t copy_len; /* 0: none */
	int rc;
};

static int append_inflated(struct buf *out, size_t len, struct str deflated);
static size_t get_chunk_len(struct str text, size_t at);
static int open_index(struct chunk_index *x, struct str old);
static const struct chunk *find_chunk(
    const struct chunk_index *x, const char *data, size_t len);
static void add_copy(struct delta_writer *w, const struct chunk *c);
static void add_literal(struct delta_writer *w, const char *data, size_t len);
static void flush_writer(struct delta_writer *w);
static void append_u32(struct delta_writer *w, uint32_t v);
static uint32_t read_u32(const char *p);

int
make_source_delta(struct str old, struct str text, struct buf *out)
{
	struct delta_writer w = {.out = out};
	struct chunk_index x;
	size_t len;
	int rc = open_index(&x, old);

	if (rc != 0)
		return rc;
	for (size_t at = 0; at < text.len; at += len) {
		const struct chunk *c;

		len = get_chunk_len(text, at);
		c = find_chunk(&x, text.data + at, len);
		if (c != NULL)
			add_copy(&w, c);
		else
			add_literal(&w, text.data + at, len);
	}
	flush_writer(&w);
	free(x.slots);
	return w.rc;
}

int
deflate_source(struct str text, struct buf *out)
{
	struct delta_writer w = {.out = out};
	uLongf len = compressBound(text.len);
	struct buf z = {0};

	w.rc = reserve_buf(&z, len);
	if (w.rc == 0 &&
	    compress2((Bytef *)z.data, &len, (const Bytef *)text.data, text.len,
		DEFLATE_LEVEL) != Z_OK)
		w.rc = ERR_MEMORY;
	if (w.rc == 0)
		w.rc = append_buf(out, "Z", 1);
	append_u32(&w, (uint32_t)text.len);
	append_u32(&w, (uint32_t)len);
	if (w.rc == 0)
		w.rc = append_buf(out, z.data, len);
	unload_buf(&z);
	return w.rc;
}

int
apply_source_delta(struct str old, struct str delta, struct buf *out)
{
	const char *p = delta.data, *end = delta.data + delta.len;
	int rc = 0;

	while (rc == 0 && p < end) {
		uint32_t a, b;

		if (end - p < LITERAL_BYTES)
			return ERR_CORRUPT;
		a = read_u32(p + 1);
		if (*p == 'L' && a <= (size_t)(end - p) - LITERAL_BYTES) {
			rc = append_buf(out, p + LITERAL_BYTES, a);
			p += LITERAL_BYTES + a;
			continue;
		}
		if ((*p != 'C' && *p != 'Z') || end - p < COPY_BYTES)
			return ERR_CORRUPT;
		b = read_u32(p + LITERAL_BYTES);
		if (*p == 'Z') {
			if (b > (size_t)(end - p) - DEFLATED_BYTES)
				return ERR_CORRUPT;
			rc = append_inflated(
			    out, a, make_str_n(p + DEFLATED_BYTES, b));
			p += DEFLATED_BYTES + b;
			continue;
		}
		if (a > old.len || b > old.len - a)
			return ERR_CORRUPT;
		rc = append_buf(out, old.data + a, b);
		p += COPY_BYTES;
	}
	return rc;
}

uint64_t
compute_source_digest(struct str text)
{
	uint64_t h = XXH3_64bits(text.data, text.len);

	return h != 0 ? h : 1;
}

/*
 * Appends the len bytes that deflated has to inflate to. Returns ERR_CORRUPT or
 * ERR_MEMORY.
 */
static int
append_inflated(struct buf *out, size_t len, struct str deflated)
{
	uLongf got = len;
	int rc;

	if (len > SOURCE_TEXT_MAX)
		return ERR_CORRUPT;
	rc = reserve_buf(out, len + 1);
	if (rc != 0)
		return rc;
	rc = uncompress((Bytef *)out->data + out->len, &got,
	    (const Bytef *)deflated.data, deflated.len);
	if (rc == Z_MEM_ERROR)
		return ERR_MEMORY;
	if (rc != Z_OK || got != len)
		return ERR_CORRUPT;
	out->len += len;
	return 0;
}

/*
 * Returns the length of the chunk that starts at a position; it ends after a
 * closing bracket, a line end or CHUNK_MAX bytes.
 */
static size_t
get_chunk_len(struct str text, size_t at)
{
	size_t max_len = text.len - at < CHUNK_MAX ? text.len - at : CHUNK_MAX;

	for (size_t i = 0; i < max_len; i++) {
		char c = text.data[at + i];

		if (c == ']' || c == '}' || c == '\n')
			return i + 1;
	}
	return max_len;
}

/*
 * Indexes the chunks of the old text, which must outlive the index. The slots
 * are at most half full; the caller frees them.
 */
static int
open_index(struct chunk_index *x, struct str old)
{
	size_t chunks = 0;

	for (size_t at = 0; at < old.len; at += get_chunk_len(old, at))
		chunks++;
	*x = (struct chunk_index){.count = 16, .text = old};
	while (x->count < 2 * chunks)
		x->count *= 2;
	x->slots = calloc(x->count, sizeof(*x->slots));
	if (x->slots == NULL)
		return ERR_MEMORY;
	for (size_t at = 0; at < old.len;) {
		size_t len = get_chunk_len(old, at);
		uint64_t hash = XXH3_64bits(old.data + at, len);
		size_t i = hash & (x->count - 1);

		while (x->slots[i].len != 0 && x->slots[i].hash != hash)
			i = (i + 1) & (x->count - 1);
		x->slots[i] = (struct chunk){hash, (uint32_t)at, (uint32_t)len};
		at += len;
	}
	return 0;
}

static const struct chunk *
find_chunk(const struct chunk_index *x, const char *data, size_t len)
{
	uint64_t hash = XXH3_64bits(data, len);
	size_t i = hash & (x->count - 1);

	for (; x->slots[i].len != 0; i = (i + 1) & (x->count - 1)) {
		const struct chunk *c = &x->slots[i];

		if (c->hash == hash && c->len == len &&
		    memcmp(x->text.data + c->offset, data, len) == 0)
			return c;
	}
	return NULL;
}

/*
 * Adds a copy operation, or extends the pending one when the chunk follows it.
 */
static void
add_copy(struct delta_writer *w, const struct chunk *c)
{
	if (w->copy_len != 0 && w->copy_offset + w->copy_len == c->offset) {
		w->copy_len += c->len;
		return;
	}
	flush_writer(w);
	w->copy_offset = c->offset;
	w->copy_len = c->len;
}

/*
 * Adds literal bytes, which follow those of the pending literal directly.
 */
static void
add_literal(struct delta_writer *w, const char *data, size_t len)
{
	if (w->literal.len != 0) {
		w->literal.len += len;
		return;
	}
	flush_writer(w);
	w->literal = make_str_n(data, len);
}

/*
 * Appends the pending operation; an error is kept in rc.
 */
static void
flush_writer(struct delta_writer *w)
{
	if (w->rc == 0 && w->copy_len != 0) {
		w->rc = append_buf(w->out, "C", 1);
		append_u32(w, w->copy_offset);
		append_u32(w, w->copy_len);
	}
	if (w->rc == 0 && w->literal.len != 0) {
		w->rc = append_buf(w->out, "L", 1);
		append_u32(w, (uint32_t)w->literal.len);
		if (w->rc == 0)
			w->rc = append_buf_str(w->out, w->literal);
	}
	w->copy_len = 0;
	w->literal = make_str_n(NULL, 0);
}

static void
append_u32(struct delta_writer *w, uint32_t v)
{
	char b[4] = {(char)(v >> 24), (char)(v >> 16), (char)(v >> 8), (char)v};

	if (w->rc == 0)
		w->rc = append_buf(w->out, b, sizeof(b));
}

static uint32_t
read_u32(const char *p)
{
	const unsigned char *b = (const unsigned char *)p;

	return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
	       (uint32_t)b[2] << 8 | b[3];
}
