/*
 * Encoding and decoding of records: a header and a payload, each with a
 * checksum of its own. The payload is followed by an end byte, which is not
 * zero: after a power cut the file may have its new length, but only the first
 * bytes of a record, and zeros from any byte on. Without the end byte, a payload
 * that ends with zeros could not be told from that. Earlier versions wrote
 * records without it; the type says which.
 */
#include <string.h>

#include <xxhash.h>

#include "wal_core.h"

#define HEADER_CHECKSUM_OFFSET 12 /* in the header */
#define HAS_END_BYTE 0x80000000u /* in the type */
#define END_BYTE ((char)0xa5) /* a flipped bit does not make it zero */

static uint32_t checksum_header(const char *header, uint64_t segment);
static bool has_unwritten_sector(const char *p, size_t at, size_t end);
static bool has_only_zeros(const char *p, size_t len);
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
 * Appends one encoded record to b. The checksums are seeded with the segment's
 * number, so that a record of another segment is not accepted in this one.
 * Returns ERR_MEMORY when out of memory.
 */
int
append_record(struct buf *b, enum record_type type, uint64_t seq,
    uint64_t segment, struct str payload)
{
	static const char end = END_BYTE;
	size_t at = b->len, len = payload.len + 1;
	char header[RECORD_HEADER_BYTES] = {0};
	int rc;

	rc = append_buf(b, header, sizeof(header));
	if (rc == 0)
		rc = append_buf(b, payload.data, payload.len);
	if (rc == 0)
		rc = append_buf(b, &end, 1);
	if (rc != 0)
		return rc;
	put_u32(header, RECORD_MAGIC);
	put_u32(header + 4, (uint32_t)type | HAS_END_BYTE);
	put_u32(header + 8, (uint32_t)len);
	put_u64(header + 16, seq);
	put_u64(header + 24,
	    hash_bytes(b->data + at + sizeof(header), len, segment));
	put_u32(
	    header + HEADER_CHECKSUM_OFFSET, checksum_header(header, segment));
	memcpy(b->data + at, header, sizeof(header));
	return 0;
}

/*
 * Decodes the record at offset at of a segment's bytes; seq is its expected
 * sequence number. Only the last record of the file can be torn: the file ends
 * before the record does, or a sector of the record, or all from some byte on,
 * was never written and reads as zeros. Any other checksum mismatch is
 * corruption. The payload points into file.
 */
enum record_result
decode_record(struct str file, size_t at, uint64_t segment, uint64_t seq,
    struct record *out)
{
	const char *header = file.data + at;
	size_t available = file.len - at, len;
	bool has_end;

	if (available == 0)
		return RECORD_END;
	if (available < RECORD_HEADER_BYTES)
		return RECORD_TORN;
	if (get_u32(header) != RECORD_MAGIC ||
	    get_u32(header + HEADER_CHECKSUM_OFFSET) !=
		checksum_header(header, segment)) {
		if ((has_unwritten_sector(file.data, at, file.len) ||
			has_only_zeros(header + RECORD_HEADER_BYTES,
			    available - RECORD_HEADER_BYTES)) &&
		    !has_later_record(file, at + 1, segment, seq))
			return RECORD_TORN;
		return RECORD_CORRUPT;
	}
	len = get_u32(header + 8);
	has_end = (get_u32(header + 4) & HAS_END_BYTE) != 0;
	if (len > WAL_RECORD_MAX + 1 || (has_end && len == 0) ||
	    get_u64(header + 16) != seq)
		return RECORD_CORRUPT;
	if (available - RECORD_HEADER_BYTES < len)
		return RECORD_TORN;
	out->type = (enum record_type)(get_u32(header + 4) & ~HAS_END_BYTE);
	out->seq = seq;
	out->payload =
	    make_str_n(header + RECORD_HEADER_BYTES, has_end ? len - 1 : len);
	out->size = RECORD_HEADER_BYTES + len;
	if (get_u64(header + 24) == hash_bytes(out->payload.data, len, segment))
		return RECORD_OK;
	if (available == out->size &&
	    ((has_end && file.data[file.len - 1] == 0) ||
		has_unwritten_sector(
		    file.data, at + RECORD_HEADER_BYTES, file.len)))
		return RECORD_TORN;
	return RECORD_CORRUPT;
}

/*
 * Returns the checksum of a header, with the checksum's own field as zero.
 */
static uint32_t
checksum_header(const char *header, uint64_t segment)
{
	char copy[RECORD_HEADER_BYTES];

	memcpy(copy, header, sizeof(copy));
	put_u32(copy + HEADER_CHECKSUM_OFFSET, 0);
	return (uint32_t)hash_bytes(copy, sizeof(copy), segment);
}

/*
 * Returns whether the range from at to end has zeros only in at least one of
 * the sectors that it touches.
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

static bool
has_only_zeros(const char *p, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (p[i] != 0)
			return false;
	}
	return true;
}

/*
 * Returns whether a valid header with a sequence number above seq follows.
 * Records are synced one at a time, so the record before such a header was
 * written completely and is corrupt, not torn.
 */
static bool
has_later_record(struct str file, size_t at, uint64_t segment, uint64_t seq)
{
	for (; at + RECORD_HEADER_BYTES <= file.len; at++) {
		const char *header = file.data + at;

		if (get_u32(header) == RECORD_MAGIC &&
		    get_u32(header + HEADER_CHECKSUM_OFFSET) ==
			checksum_header(header, segment) &&
		    get_u64(header + 16) > seq)
			return true;
	}
	return false;
}
