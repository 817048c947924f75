/*
 * HTTP messages, parsed by http-parser, but for chunks, which chunks.c decodes.
 * The complete head is buffered before it is parsed, so that its strings do not
 * move; the body has its own buffer.
 */
#include <pthread.h>
#include <string.h>
#include <strings.h>

#include "http.h"

/* Before a body arrives; a client may announce one and never send it. */
#define BODY_RESERVE_MAX_BYTES (256 * 1024)
#define IDLE_BODY_MAX_BYTES (64 * 1024) /* kept for the next message */
#define STATUS_BYTES (sizeof("HTTP/1.1 200") - 1)
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/*
 * The parser's own bound on heads, 80 KB by default. Heads are bounded by
 * head_max, which never exceeds it.
 */
#define PARSER_HEAD_MAX_BYTES (2 * 1024 * 1024)

static enum http_event read_head(struct http_reader *r, struct str *in);
static void raise_parser_limit(void);
static bool skip_blank_lines(struct http_reader *r, struct str *in);
static enum http_event scan_head(struct http_reader *r, size_t *end);
static bool matches_status(struct str s);
static bool is_text(struct str s);
static bool has_valid_framing(const struct http_reader *r);
static bool is_chunked(const struct http_head *h);
static struct str trim_blanks(struct str s);
static enum http_event parse_head(struct http_reader *r);
static enum http_event read_body(struct http_reader *r, struct str *in);
static enum http_event read_chunked_body(struct http_reader *r, struct str *in);
static int append_url(http_parser *p, const char *at, size_t len);
static int append_header_name(http_parser *p, const char *at, size_t len);
static int append_header_value(http_parser *p, const char *at, size_t len);
static int handle_head_end(http_parser *p);
static int append_body(http_parser *p, const char *at, size_t len);
static int handle_message_end(http_parser *p);
static void extend_str(struct str *s, const char *at, size_t len);

static const http_parser_settings settings = {
    .on_url = append_url,
    .on_header_field = append_header_name,
    .on_header_value = append_header_value,
    .on_headers_complete = handle_head_end,
    .on_body = append_body,
    .on_message_complete = handle_message_end,
};

void
open_http_reader(
    struct http_reader *r, bool requests, size_t head_max, size_t body_max)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;

	(void)pthread_once(&once, raise_parser_limit);
	memset(r, 0, sizeof(*r));
	r->requests = requests;
	r->head_max = head_max;
	r->body_max = body_max;
	reset_http_reader(r);
}

void
close_http_reader(struct http_reader *r)
{
	unload_buf(&r->head_bytes);
	unload_buf(&r->body);
}

void
reset_http_reader(struct http_reader *r)
{
	http_parser_init(
	    &r->parser, r->requests ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
	r->head.method = r->head.target = make_str_n(NULL, 0);
	r->head.status = 0;
	r->head.header_count = 0;
	r->head.content_length = -1;
	r->head.chunked = false;
	r->head.keep_alive = false;
	r->head_bytes.len = 0;
	r->body.len = 0;
	trim_buf(&r->body, IDLE_BODY_MAX_BYTES);
	r->line_at = r->scanned = 0;
	r->head_done = false;
	r->ended = false;
	r->error = 0;
	open_chunk_reader(&r->chunks, r->head_max);
}

bool
is_http_reading(const struct http_reader *r)
{
	return r->head_bytes.len > 0 && !r->ended;
}

enum http_event
read_http(struct http_reader *r, struct str *in)
{
	if (r->ended)
		return READ_END;
	if (!r->head_done)
		return read_head(r, in);
	return read_body(r, in);
}

enum http_event
end_http(struct http_reader *r)
{
	if (r->ended)
		return READ_END;
	if (r->head_bytes.len == 0)
		return READ_MORE;
	if (!r->head_done || r->head.chunked)
		return READ_BAD;
	(void)http_parser_execute(&r->parser, &settings, NULL, 0);
	return r->ended ? READ_END : READ_BAD;
}

struct str
find_http_header(const struct http_head *h, const char *name)
{
	for (size_t i = 0; i < h->header_count; i++) {
		if (is_http_name_equal(h->headers[i].name, name))
			return h->headers[i].value;
	}
	return make_str_n(NULL, 0);
}

bool
is_http_name_equal(struct str name, const char *want)
{
	size_t len = strlen(want);

	return name.len == len && strncasecmp(name.data, want, len) == 0;
}

bool
has_http_token(struct str list, const char *token)
{
	size_t at = 0;

	while (at < list.len) {
		const char *comma = memchr(list.data + at, ',', list.len - at);
		size_t end =
		    comma != NULL ? (size_t)(comma - list.data) : list.len;

		if (is_http_name_equal(
			trim_blanks(make_str_n(list.data + at, end - at)),
			token))
			return true;
		at = end + 1;
	}
	return false;
}

/*
 * RFC 9110, section 7.6.1: a fixed set of names, and those that the header
 * Connection lists.
 */
bool
is_hop_by_hop_header(const struct http_head *h, struct str name)
{
	static const char *const fixed[] = {"connection", "keep-alive",
	    "proxy-connection", "proxy-authenticate", "proxy-authorization",
	    "te", "trailer", "transfer-encoding", "upgrade"};
	char text[64];

	for (size_t i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
		if (is_http_name_equal(name, fixed[i]))
			return true;
	}
	if (copy_str(text, sizeof(text), name) != 0)
		return false;
	for (size_t i = 0; i < h->header_count; i++) {
		if (is_http_name_equal(h->headers[i].name, "connection") &&
		    has_http_token(h->headers[i].value, text))
			return true;
	}
	return false;
}

/* What follows the status is nothing, or a blank and a text. */
bool
is_http_status_line(struct str line)
{
	struct str reason;

	if (line.len < STATUS_BYTES || !matches_status(line))
		return false;
	reason = make_str_n(line.data + STATUS_BYTES, line.len - STATUS_BYTES);
	return reason.len == 0 || (reason.data[0] == ' ' && is_text(reason));
}

/*
 * A field is a name, a colon and a value. http-parser and libcurl accept blanks
 * in names, such as "Content-Length : 3", for which the other side may assume
 * another length (request smuggling). A line that begins with a blank continues
 * the one before, and is rejected as RFC 9112 permits.
 */
bool
is_http_field_line(struct str line)
{
	size_t at = 0;

	while (at < line.len && is_name_byte(line.data[at]))
		at++;
	return at > 0 && at < line.len && line.data[at] == ':' &&
	       is_text(make_str_n(line.data + at + 1, line.len - at - 1));
}

const char *
get_http_reason(int status)
{
	return http_status_str((enum http_status)status);
}

int
append_http_header(struct buf *b, const char *name, struct str value)
{
	int rc = append_buf_str(b, make_str(name));

	if (rc == 0)
		rc = append_buf(b, ": ", 2);
	if (rc == 0)
		rc = append_buf_str(b, value);
	return rc == 0 ? append_buf(b, "\r\n", 2) : rc;
}

/*
 * Buffers input up to the end of the head, then parses it.
 */
static enum http_event
read_head(struct http_reader *r, struct str *in)
{
	size_t before = r->head_bytes.len, end;
	enum http_event e;

	if (r->head_bytes.len == 0 && skip_blank_lines(r, in))
		return READ_MORE;
	if (append_buf_str(&r->head_bytes, *in) != 0)
		return READ_BAD;
	/* Other bytes need not contain an end of a head to wait for. */
	if (!r->requests && !matches_status(view_buf(&r->head_bytes)))
		return READ_BAD;
	e = scan_head(r, &end);
	if (e == READ_MORE && r->head_bytes.len <= r->head_max) {
		in->data += in->len;
		in->len = 0;
		return READ_MORE;
	}
	if (e == READ_MORE || (e == READ_HEAD && end > r->head_max))
		return READ_HEAD_TOO_LARGE;
	if (e != READ_HEAD)
		return e;
	in->data += end - before;
	in->len -= end - before;
	r->head_bytes.len = end;
	return parse_head(r);
}

static void
raise_parser_limit(void)
{
	http_parser_set_max_header_size(PARSER_HEAD_MAX_BYTES);
}

/*
 * Some clients send an empty line after a body. Returns whether in is empty
 * then.
 */
static bool
skip_blank_lines(struct http_reader *r, struct str *in)
{
	while (r->requests && in->len > 0 &&
	       (in->data[0] == '\r' || in->data[0] == '\n')) {
		in->data++;
		in->len--;
	}
	return in->len == 0;
}

/*
 * Checks the lines that have become complete, so that a head with an invalid
 * one is not waited for. Returns READ_HEAD with the length of the head and its
 * empty line, READ_MORE if it is incomplete, or READ_BAD.
 */
static enum http_event
scan_head(struct http_reader *r, size_t *end)
{
	struct str head = view_buf(&r->head_bytes);
	const char *lf;

	while ((lf = memchr(head.data + r->scanned, '\n',
		    head.len - r->scanned)) != NULL) {
		struct str line = make_str_n(head.data + r->line_at,
		    (size_t)(lf - head.data) - r->line_at);
		bool first = r->line_at == 0;

		r->scanned = r->line_at = (size_t)(lf - head.data) + 1;
		if (line.len > 0 && line.data[line.len - 1] == '\r')
			line.len--;
		if (line.len == 0) {
			*end = r->line_at;
			return READ_HEAD;
		}
		if (first ? !r->requests && !is_http_status_line(line) :
			    !is_http_field_line(line))
			return READ_BAD;
	}
	r->scanned = head.len;
	return READ_MORE;
}

/*
 * Whether bytes begin as "HTTP/1.1 200" does, as far as they go. Statuses
 * outside 100 to 599 are invalid (RFC 9110, section 15); http-parser accepts
 * them, and any number of digits.
 */
static bool
matches_status(struct str s)
{
	static const char low[] = "HTTP/1.0 100", high[] = "HTTP/1.9 599";

	for (size_t i = 0; i < STATUS_BYTES && i < s.len; i++) {
		if (s.data[i] < low[i] || s.data[i] > high[i])
			return false;
	}
	return true;
}

static bool
is_text(struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		if (!is_text_byte(s.data[i]))
			return false;
	}
	return true;
}

/*
 * Checks that a response says in one way only where its body ends. Its body is
 * passed on without Transfer-Encoding, so a coding other than chunked would
 * reach the caller undecoded. RFC 9112, section 6.1, allows no coding in
 * HTTP/1.0; section 6.3 rules out bodies in 1xx and 204. http-parser rejects
 * several lengths, and a length besides a coding.
 */
static bool
has_valid_framing(const struct http_reader *r)
{
	const struct http_head *h = &r->head;
	bool coded = find_http_header(h, "transfer-encoding").data != NULL;

	if (coded && (!is_chunked(h) || r->parser.http_minor == 0))
		return false;
	return (h->status >= 200 && h->status != STATUS_NO_CONTENT) ||
	       (!coded && h->content_length <= 0);
}

/* Whether chunked is the only transfer coding. */
static bool
is_chunked(const struct http_head *h)
{
	size_t codings = 0;

	for (size_t i = 0; i < h->header_count; i++) {
		if (!is_http_name_equal(
			h->headers[i].name, "transfer-encoding"))
			continue;
		if (!is_http_name_equal(
			trim_blanks(h->headers[i].value), "chunked"))
			return false;
		codings++;
	}
	return codings == 1;
}

static struct str
trim_blanks(struct str s)
{
	while (s.len > 0 && (s.data[0] == ' ' || s.data[0] == '\t')) {
		s.data++;
		s.len--;
	}
	while (s.len > 0 &&
	       (s.data[s.len - 1] == ' ' || s.data[s.len - 1] == '\t'))
		s.len--;
	return s;
}

/*
 * Parses the complete head in r->head_bytes.
 */
static enum http_event
parse_head(struct http_reader *r)
{
	size_t n = http_parser_execute(
	    &r->parser, &settings, r->head_bytes.data, r->head_bytes.len);

	if (r->error == ERR_LIMIT)
		return READ_HEAD_TOO_LARGE; /* too many headers */
	if (r->error != 0 || !r->head_done ||
	    (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK &&
		HTTP_PARSER_ERRNO(&r->parser) != HPE_PAUSED) ||
	    n != r->head_bytes.len || (!r->requests && !has_valid_framing(r))) {
		r->ended = false;
		return READ_BAD;
	}
	if (r->requests)
		r->head.method = make_str(http_method_str(r->parser.method));
	if (!r->ended && r->head.content_length > (int64_t)r->body_max)
		return READ_BODY_TOO_LARGE;
	return READ_HEAD;
}

/*
 * Parses the body into r->body, up to the end of the message.
 */
static enum http_event
read_body(struct http_reader *r, struct str *in)
{
	size_t n;

	if (in->len == 0)
		return READ_MORE; /* 0 bytes mean end of file to the parser */
	if (r->head.chunked)
		return read_chunked_body(r, in);
	http_parser_pause(&r->parser, 0);
	n = http_parser_execute(&r->parser, &settings, in->data, in->len);
	in->data += n;
	in->len -= n;
	if (r->error == ERR_LIMIT)
		return READ_BODY_TOO_LARGE;
	if (r->ended)
		return READ_END;
	if (r->error != 0 || HTTP_PARSER_ERRNO(&r->parser) != HPE_OK ||
	    in->len != 0)
		return READ_BAD;
	return READ_MORE;
}

static enum http_event
read_chunked_body(struct http_reader *r, struct str *in)
{
	struct str data;

	for (;;) {
		switch (read_chunks(&r->chunks, in, &data)) {
		case CHUNKS_MORE:
			return READ_MORE;
		case CHUNKS_DATA:
			if (append_body(&r->parser, data.data, data.len) != 0)
				return r->error == ERR_LIMIT ?
					   READ_BODY_TOO_LARGE :
					   READ_BAD;
			break;
		case CHUNKS_END:
			r->ended = true;
			return READ_END;
		case CHUNKS_BAD:
			return READ_BAD;
		case CHUNKS_TOO_LARGE:
			return READ_HEAD_TOO_LARGE;
		}
	}
}

static int
append_url(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	extend_str(&r->head.target, at, len);
	return 0;
}

/*
 * Continues the last name, or adds a header when that one has a value.
 */
static int
append_header_name(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;
	struct http_header *last =
	    h->header_count > 0 ? &h->headers[h->header_count - 1] : NULL;

	if (last != NULL && last->value.data == NULL) {
		extend_str(&last->name, at, len);
		return 0;
	}
	if (h->header_count == HTTP_HEADERS_MAX) {
		r->error = ERR_LIMIT;
		return -1;
	}
	h->headers[h->header_count++] =
	    (struct http_header){{at, len}, {NULL, 0}};
	return 0;
}

static int
append_header_value(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;

	if (h->header_count == 0)
		return 0;
	extend_str(&h->headers[h->header_count - 1].value, at, len);
	return 0;
}

/*
 * Returns 1 if the response has no body, -1 on an error.
 */
static int
handle_head_end(http_parser *p)
{
	struct http_reader *r = p->data;
	bool no_body;

	r->head_done = true;
	r->head.status = (int)p->status_code;
	r->head.keep_alive = http_should_keep_alive(p) != 0;
	r->head.chunked = (p->flags & F_CHUNKED) != 0 || is_chunked(&r->head);
	r->head.content_length = -1;
	if ((p->flags & F_CONTENTLENGTH) != 0)
		r->head.content_length = p->content_length <= INT64_MAX ?
					     (int64_t)p->content_length :
					     INT64_MAX;
	/* Upgrades are ignored: the message has the body that it declares. */
	p->upgrade = 0;
	no_body =
	    !r->requests && (r->is_head_response || r->head.status < 200 ||
				r->head.status == STATUS_NO_CONTENT ||
				r->head.status == STATUS_NOT_MODIFIED);
	if (r->head.content_length > 0 &&
	    r->head.content_length <= (int64_t)r->body_max && !no_body) {
		size_t n = r->head.content_length < BODY_RESERVE_MAX_BYTES ?
			       (size_t)r->head.content_length :
			       BODY_RESERVE_MAX_BYTES;

		if (reserve_buf_within(&r->body, n, n) != 0) {
			r->error = ERR_MEMORY;
			return -1;
		}
	}
	return no_body ? 1 : 0;
}

static int
append_body(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	size_t most = r->head.content_length >= 0 ?
			  (size_t)r->head.content_length :
			  r->body_max;

	if (r->body.len + len > r->body_max)
		r->error = ERR_LIMIT;
	else if (reserve_buf_within(&r->body, len, most) != 0 ||
		 append_buf(&r->body, at, len) != 0)
		r->error = ERR_MEMORY;
	return r->error != 0 ? -1 : 0;
}

/*
 * Pauses the parser, so that bytes after the message are not consumed.
 */
static int
handle_message_end(http_parser *p)
{
	struct http_reader *r = p->data;

	r->ended = true;
	http_parser_pause(p, 1);
	return 0;
}

/*
 * Extends s by adjacent bytes of the head, which is in one buffer.
 */
static void
extend_str(struct str *s, const char *at, size_t len)
{
	if (s->data == NULL)
		s->data = at;
	s->len = (size_t)(at - s->data) + len;
}
