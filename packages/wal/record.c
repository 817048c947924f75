/*
 * Records: a header with its own checksum, and a payload with another.
 */
#include <string.h>

#include <xxhash.h>

#include "wal_core.h"

#define HEADER_SUM_AT 12 /* place of the header's checksum */

static uint32_t sum_header(const char *h, uint64_t segment);
static bool has_unwritten_sector(const char *p, size_t at, size_t end);
static bool has_later_record(
    struct str file, size_t at, uint64_t segment, uint64_t seq);

void
put_u32(char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (char)(v >> (8 * i));
}

void
put_u64(char *p, uint64_t v)
{
	for (int i = 0; i < 8; i++)
		p[i] = (char)(v >> (8 * i));
}

uint32_t
get_u32(const char *p)
{
	uint32_t v = 0;

	for (int i = 3; i >= 0; i--)
		v = v << 8 | (unsigned char)p[i];
	return v;
}

uint64_t
get_u64(const char *p)
{
	return get_u32(p) | (uint64_t)get_u32(p + 4) << 32;
}

uint64_t
hash_bytes(const char *p, size_t len, uint64_t seed)
{
	return XXH64(p, len, seed);
}

/*
 * Appends one record. The checksums are seeded with the number of the segment,
 * so that a record of another segment is not taken for one of this.
 */
int
append_record(struct buf *b, enum record_type type, uint64_t seq,
    uint64_t segment, struct str payload)
{
	char h[RECORD_HEADER_BYTES];
	int rc;

	put_u32(h, RECORD_MAGIC);
	put_u32(h + 4, (uint32_t)type);
	put_u32(h + 8, (uint32_t)payload.len);
	put_u64(h + 16, seq);
	put_u64(h + 24, hash_bytes(payload.data, payload.len, segment));
	put_u32(h + HEADER_SUM_AT, sum_header(h, segment));
	rc = append_buf(b, h, sizeof(h));
	return rc != 0 ? rc : append_buf(b, payload.data, payload.len);
}

/*
 * Reads the record at offset at of a segment's bytes; seq is the number it must
 * have. Only a record that ends the file can be torn: the file is too short for
 * it, or a whole sector of it was never written and reads as zeros. Anything
 * else that fails a checksum is damage.
 */
enum record_result
decode_record(struct str file, size_t at, uint64_t segment, uint64_t seq,
    struct record *out)
{
	const char *h = file.data + at;
	size_t left = file.len - at, len;

	if (left == 0)
		return RECORD_END;
	if (left < RECORD_HEADER_BYTES)
		return RECORD_TORN;
	if (get_u32(h) != RECORD_MAGIC ||
	    get_u32(h + HEADER_SUM_AT) != sum_header(h, segment)) {
		if (has_unwritten_sector(file.data, at, file.len) &&
		    !has_later_record(file, at + 1, segment, seq))
			return RECORD_TORN;
		return RECORD_BAD;
	}
	len = get_u32(h + 8);
	if (len > WAL_RECORD_MAX || get_u64(h + 16) != seq)
		return RECORD_BAD;
	if (left - RECORD_HEADER_BYTES < len)
		return RECORD_TORN;
	out->type = (enum record_type)get_u32(h + 4);
	out->seq = seq;
	out->payload = make_str_n(h + RECORD_HEADER_BYTES, len);
	out->size = RECORD_HEADER_BYTES + len;
	if (get_u64(h + 24) == hash_bytes(out->payload.data, len, segment))
		return RECORD_OK;
	if (left == out->size &&
	    has_unwritten_sector(file.data, at + RECORD_HEADER_BYTES, file.len))
		return RECORD_TORN;
	return RECORD_BAD;
}

static uint32_t
sum_header(const char *h, uint64_t segment)
{
	char copy[RECORD_HEADER_BYTES];

	memcpy(copy, h, sizeof(copy));
	put_u32(copy + HEADER_SUM_AT, 0);
	return (uint32_t)hash_bytes(copy, sizeof(copy), segment);
}

/*
 * Tells whether some sector's part of the bytes from at to end is all zeros.
 */
static bool
has_unwritten_sector(const char *p, size_t at, size_t end)
{
	while (at < end) {
		size_t stop = (at / SECTOR_BYTES + 1) * SECTOR_BYTES;
		bool zero = true;

		if (stop > end)
			stop = end;
		for (; at < stop; at++)
			zero = zero && p[at] == 0;
		if (zero)
			return true;
	}
	return false;
}

/*
 * Looks for the header of a later record. With one, the damage is not at the
 * end: records are synced one at a time.
 */
static bool
has_later_record(struct str file, size_t at, uint64_t segment, uint64_t seq)
{
	for (; at + RECORD_HEADER_BYTES <= file.len; at++) {
		const char *h = file.data + at;

		if (get_u32(h) == RECORD_MAGIC &&
		    get_u32(h + HEADER_SUM_AT) == sum_header(h, segment) &&
		    get_u64(h + 16) > seq)
			return true;
	}
	return false;
}
