/*
 * HTTP/1.1 messages as bytes: a reader for requests or responses that keeps
 * what it reads exactly, and helpers to write heads. No sockets.
 */
#ifndef HTTP_H
#define HTTP_H

#include <http_parser.h>

#include "base.h"

#define HTTP_HEADERS_MAX 96 /* of one message; more are refused */

/* What read_http() found. */
enum http_event {
	READ_MORE, /* all input is taken; the message goes on */
	READ_HEAD, /* the head is complete */
	READ_END, /* the message is complete; the rest of in is unread */
	READ_BAD, /* these bytes are no message */
	READ_HEAD_TOO_LARGE,
	READ_BODY_TOO_LARGE,
};

struct http_header {
	struct str name;
	struct str value;
};

/* The head of a message; its strings live as long as the reader's message. */
struct http_head {
	struct str method; /* requests */
	struct str target; /* requests: path and query as sent */
	int status; /* responses */
	struct http_header headers[HTTP_HEADERS_MAX];
	size_t header_count;
	int64_t content_length; /* -1: none */
	bool chunked;
	bool keep_alive; /* another message may follow on the connection */
};

/* Reads one message after the other. */
struct http_reader {
	bool requests;
	bool headless_body; /* set by the owner: a response to HEAD */
	size_t head_max; /* bytes of a head */
	size_t body_max; /* bytes of a body */
	struct http_head head;
	struct buf body;
	/* Private */
	http_parser parser;
	struct buf raw; /* of the head */
	size_t scanned; /* of raw, without the end of the head */
	bool head_done;
	bool ended;
	int fault; /* negative error of a callback */
};

void open_http_reader(
    struct http_reader *r, bool requests, size_t head_max, size_t body_max);
void close_http_reader(struct http_reader *r);
/* Moves in past what was read. After READ_END, reset for the next message. */
enum http_event read_http(struct http_reader *r, struct str *in);
/*
 * The connection ended. READ_END when that ends the message, READ_MORE between
 * messages, READ_BAD when the message was cut.
 */
enum http_event end_http(struct http_reader *r);
void reset_http_reader(struct http_reader *r); /* keeps the buffers */
bool is_http_reading(const struct http_reader *r); /* within a message */

/* Value of the first header of that name, in any case; data NULL: none */
struct str find_http_header(const struct http_head *h, const char *name);
bool is_http_token(struct str list, const char *token); /* in a comma list */
bool is_http_name(struct str name, const char *want); /* in any case */
/* Whether the header concerns one connection only and is not passed on. */
bool is_http_hop_header(const struct http_head *h, struct str name);
const char *get_http_reason(int status); /* "Bad Gateway", ... */

/* Appends "Name: value\r\n". */
int append_http_header(struct buf *b, const char *name, struct str value);

#endif
