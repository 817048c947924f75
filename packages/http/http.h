/*
 * HTTP/1.1 messages: an incremental parser for requests or responses, header
 * queries, and helpers to write heads. Targets and header values keep their
 * exact bytes. Does no I/O.
 */
#ifndef HTTP_H
#define HTTP_H

#include <http_parser.h>

#include "base.h"
#include "chunks.h"

#define HTTP_HEADERS_MAX 96 /* of one message; more: READ_HEAD_TOO_LARGE */

/* Results of read_http() and end_http(). */
enum http_event {
	READ_MORE, /* all input is consumed; more is needed */
	READ_HEAD, /* the head is complete */
	READ_END, /* the message is complete; in is past it */
	READ_BAD, /* invalid message, or out of memory */
	READ_HEAD_TOO_LARGE,
	READ_BODY_TOO_LARGE,
};

struct http_header {
	struct str name;
	struct str value;
};

/* The head of a message; its strings are valid until the reader is reset. */
struct http_head {
	struct str method; /* requests */
	struct str target; /* requests: path and query, not decoded */
	int status; /* responses */
	struct http_header headers[HTTP_HEADERS_MAX];
	size_t header_count;
	int64_t content_length; /* bytes; -1: none */
	bool chunked;
	bool keep_alive; /* another message may follow on the connection */
};

/* Parses the messages of one connection, one at a time. */
struct http_reader {
	bool requests; /* else responses */
	bool is_head_response; /* response to HEAD; set by the owner */
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	struct http_head head;
	struct buf body; /* without chunk framing */
	/* Private */
	http_parser parser;
	struct chunk_reader chunks; /* of a chunked body */
	struct buf head_bytes; /* bytes of the head */
	size_t line_at; /* of head_bytes: start of the first incomplete line */
	size_t scanned; /* of head_bytes, without an end of that line */
	bool head_done;
	bool ended; /* the message is complete */
	int error; /* negative error from a parser callback */
};

void open_http_reader(
    struct http_reader *r, bool requests, size_t head_max, size_t body_max);
void close_http_reader(struct http_reader *r);
/* Moves in past the consumed bytes. After READ_END, reset the reader. */
enum http_event read_http(struct http_reader *r, struct str *in);
/*
 * Handles the end of the connection: READ_END if it completes the message,
 * READ_MORE between messages, READ_BAD if the message is truncated.
 */
enum http_event end_http(struct http_reader *r);
void reset_http_reader(struct http_reader *r); /* keeps the buffers */
bool is_http_reading(const struct http_reader *r); /* within a message */

/* Value of the first header of that name, ignoring case; data NULL: none */
struct str find_http_header(const struct http_head *h, const char *name);
/* Whether a comma-separated list has the token, ignoring case */
bool has_http_token(struct str list, const char *token);
bool is_http_name_equal(struct str name, const char *want); /* ignores case */
/* Whether the header is hop-by-hop, so that a proxy does not forward it. */
bool is_hop_by_hop_header(const struct http_head *h, struct str name);
/* Whether a line, without its end, is a response's first one, or a field. */
bool is_http_status_line(struct str line);
bool is_http_field_line(struct str line);
const char *get_http_reason(int status); /* such as "Bad Gateway" */

/* Appends "Name: value\r\n". Returns ERR_MEMORY or 0. */
int append_http_header(struct buf *b, const char *name, struct str value);

#endif
