/*
 * Decoder of the chunked transfer coding. http-parser accepts other bytes in
 * place of line ends, so that a chunk with a wrong size can look complete.
 */
#include <string.h>

#include "chunks.h"

static enum chunk_event take_data(
    struct chunk_reader *c, struct str *in, struct str *data);
static enum chunk_state step(struct chunk_reader *c, char b);
static enum chunk_state step_size(struct chunk_reader *c, char b);
static enum chunk_state step_extension(char b);
static enum chunk_state end_size_line(struct chunk_reader *c);
static enum chunk_state step_trailer(const struct chunk_reader *c, char b);
static int get_hex_digit(char b);

void
open_chunk_reader(struct chunk_reader *c, size_t line_max)
{
	*c = (struct chunk_reader){.line_max = line_max};
}

enum chunk_event
read_chunks(struct chunk_reader *c, struct str *in, struct str *data)
{
	while (in->len > 0 && c->state < CHUNK_ENDED) {
		if (c->state == CHUNK_DATA)
			return take_data(c, in, data);
		if (++c->line_len > c->line_max)
			return CHUNKS_TOO_LARGE;
		c->state = step(c, in->data[0]);
		in->data++;
		in->len--;
	}
	if (c->state == CHUNK_INVALID)
		return CHUNKS_BAD;
	return c->state == CHUNK_ENDED ? CHUNKS_END : CHUNKS_MORE;
}

/* RFC 9110, section 5.6.2. */
bool
is_name_byte(char c)
{
	return c > ' ' && c < 0x7f && strchr("\"(),/:;<=>?@[\\]{}", c) == NULL;
}

/* RFC 9110, section 5.5: all but control bytes. */
bool
is_text_byte(char c)
{
	return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

static enum chunk_event
take_data(struct chunk_reader *c, struct str *in, struct str *data)
{
	size_t len = c->left < in->len ? (size_t)c->left : in->len;

	*data = make_str_n(in->data, len);
	in->data += len;
	in->len -= len;
	c->left -= len;
	if (c->left == 0)
		c->state = CHUNK_DATA_CR;
	return CHUNKS_DATA;
}

/* Returns the state after a byte that is no data. */
static enum chunk_state
step(struct chunk_reader *c, char b)
{
	switch (c->state) {
	case CHUNK_SIZE:
		return step_size(c, b);
	case CHUNK_BLANKS:
		if (b == ' ' || b == '\t')
			return CHUNK_BLANKS;
		return b == ';' || b == '\r' ? step_extension(b) :
					       CHUNK_INVALID;
	case CHUNK_EXTENSION:
		return step_extension(b);
	case CHUNK_SIZE_LF:
		return b == '\n' ? end_size_line(c) : CHUNK_INVALID;
	case CHUNK_DATA_CR:
		return b == '\r' ? CHUNK_DATA_LF : CHUNK_INVALID;
	case CHUNK_DATA_LF:
		c->sized = false;
		c->line_len = 0;
		return b == '\n' ? CHUNK_SIZE : CHUNK_INVALID;
	default:
		return step_trailer(c, b);
	}
}

static enum chunk_state
step_size(struct chunk_reader *c, char b)
{
	int digit = get_hex_digit(b);

	if (digit >= 0) {
		if (c->left > UINT64_MAX / 16)
			return CHUNK_INVALID;
		c->left = c->left * 16 + (uint64_t)digit;
		c->sized = true;
		return CHUNK_SIZE;
	}
	if (!c->sized)
		return CHUNK_INVALID;
	if (b == ' ' || b == '\t')
		return CHUNK_BLANKS;
	return b == ';' || b == '\r' ? step_extension(b) : CHUNK_INVALID;
}

static enum chunk_state
step_extension(char b)
{
	if (b == '\r')
		return CHUNK_SIZE_LF;
	return is_text_byte(b) ? CHUNK_EXTENSION : CHUNK_INVALID;
}

/* A size of 0 ends the body; its trailer follows. */
static enum chunk_state
end_size_line(struct chunk_reader *c)
{
	c->line_len = 0;
	return c->left > 0 ? CHUNK_DATA : CHUNK_LINE;
}

static enum chunk_state
step_trailer(const struct chunk_reader *c, char b)
{
	switch (c->state) {
	case CHUNK_LINE:
		if (b == '\r')
			return CHUNK_LAST_LF;
		return is_name_byte(b) ? CHUNK_NAME : CHUNK_INVALID;
	case CHUNK_NAME:
		if (b == ':')
			return CHUNK_VALUE;
		return is_name_byte(b) ? CHUNK_NAME : CHUNK_INVALID;
	case CHUNK_VALUE:
		if (b == '\r')
			return CHUNK_VALUE_LF;
		return is_text_byte(b) ? CHUNK_VALUE : CHUNK_INVALID;
	case CHUNK_VALUE_LF:
		return b == '\n' ? CHUNK_LINE : CHUNK_INVALID;
	case CHUNK_LAST_LF:
		return b == '\n' ? CHUNK_ENDED : CHUNK_INVALID;
	default:
		return CHUNK_INVALID;
	}
}

/* Returns -1 if b is none. */
static int
get_hex_digit(char b)
{
	if (b >= '0' && b <= '9')
		return b - '0';
	if (b >= 'a' && b <= 'f')
		return b - 'a' + 10;
	return b >= 'A' && b <= 'F' ? b - 'A' + 10 : -1;
}
