/*
 * The chunked transfer coding (RFC 9112, section 7.1): an incremental decoder
 * that accepts nothing but its grammar. Does no I/O.
 */
#ifndef CHUNKS_H
#define CHUNKS_H

#include "base.h"

enum chunk_state {
	CHUNK_SIZE, /* within the digits of a size */
	CHUNK_BLANKS, /* after a size */
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_LINE, /* start of a trailer's line, or of the last one */
	CHUNK_NAME,
	CHUNK_VALUE,
	CHUNK_VALUE_LF,
	CHUNK_LAST_LF,
	CHUNK_ENDED,
	CHUNK_INVALID,
};

/* Results of read_chunks(). */
enum chunk_event {
	CHUNKS_MORE, /* all input is consumed; more is needed */
	CHUNKS_DATA, /* bytes of the body */
	CHUNKS_END, /* the body is complete; in is past its trailer */
	CHUNKS_BAD,
	CHUNKS_TOO_LARGE, /* a size's line, or the trailer */
};

/* Decodes one body. */
struct chunk_reader {
	size_t line_max; /* bytes of a size's line, and of the trailer */
	/* Private */
	enum chunk_state state;
	uint64_t left; /* size, then bytes of the chunk to come */
	bool sized; /* the size has a digit */
	size_t line_len; /* bytes of the size's line, or of the trailer */
};

void open_chunk_reader(struct chunk_reader *c, size_t line_max);
/* Moves in past the consumed bytes; *data refers to them. */
enum chunk_event read_chunks(
    struct chunk_reader *c, struct str *in, struct str *data);

/* Whether a byte may stand in the name, or in the value, of a field. */
bool is_name_byte(char c);
bool is_text_byte(char c);

#endif
