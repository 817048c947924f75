/*
 * Parsing of requests and responses that arrive at once and in small reads.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

#define HEAD_MAX 512
#define BODY_MAX 64
#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n\r\nok" /* and the body */
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKS "\r\n2\r\nok\r\n0\r\n\r\n" /* after a head's lines */

struct message_case {
	const char *what;
	bool request;
	const char *bytes;
	enum http_event want; /* READ_END, READ_MORE, or an error */
	enum http_event at_eof; /* of end_http(), after READ_MORE */
	const char *target; /* responses: the status as text */
	const char *body;
	const char *rest; /* bytes not consumed; NULL: not checked */
};

static const struct message_case cases[] = {
    {"plain request", true, "GET /a%2Fb/?x=%41 HTTP/1.1\r\nHost: h\r\n\r\n",
	READ_END, 0, "/a%2Fb/?x=%41", "", ""},
    {"length", true, "POST /p HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET",
	READ_END, 0, "/p", "abc", "GET"},
    {"chunks", true,
	"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	"2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\nX",
	READ_END, 0, "/p", "abc", "X"},
    {"blank lines before a request", true, "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	READ_END, 0, "/", "", ""},
    {"truncated request", true, "GET / HTTP/1.1\r\nHost", READ_MORE, READ_BAD,
	NULL, NULL, NULL},
    {"no bytes", true, "", READ_MORE, READ_MORE, NULL, NULL, NULL},
    {"length and chunks", true,
	"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
	"chunked\r\n\r\n0\r\n\r\n",
	READ_BAD, 0, NULL, NULL, NULL},
    {"two lengths", true,
	"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
	"4\r\n\r\nabc",
	READ_BAD, 0, NULL, NULL, NULL},
    {"signed length", true, "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
	READ_BAD, 0, NULL, NULL, NULL},
    {"bad chunk", true,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", READ_BAD,
	0, NULL, NULL, NULL},
    {"space in a name", true, "GET / HTTP/1.1\r\nA b: c\r\n\r\n", READ_BAD, 0,
	NULL, NULL, NULL},
    {"blank before a colon", true,
	"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", READ_BAD, 0, NULL,
	NULL, NULL},
    {"folded header", true, "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", READ_BAD, 0,
	NULL, NULL, NULL},
    {"body too large", true, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
	READ_BODY_TOO_LARGE, 0, NULL, NULL, NULL},
    {"response", false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP",
	READ_END, 0, "200", "ok", "HTTP"},
    {"until close", false, "HTTP/1.1 200 OK\r\n\r\nabc", READ_MORE, READ_END,
	"200", "abc", NULL},
    {"truncated response", false,
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", READ_MORE, READ_BAD,
	NULL, NULL, NULL},
    {"truncated chunks", false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	READ_MORE, READ_BAD, NULL, NULL, NULL},
    {"no content", false, "HTTP/1.1 204 No Content\r\n\r\nx", READ_END, 0,
	"204", "", "x"},
    {"not a response", false, "<html>", READ_BAD, 0, NULL, NULL, NULL},
    {"blank line before a response", false, "\r\n", READ_BAD, 0, NULL, NULL,
	NULL},
    {"no reason", false, "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	READ_END, 0, "200", "ok", ""},
    {"empty reason", false, "HTTP/1.1 404 \r\nContent-Length: 2\r\n\r\nno",
	READ_END, 0, "404", "no", ""},
    {"reason in another script", false,
	"HTTP/1.1 599 \xc3\xa9\t!\r\nContent-Length: 2\r\n\r\nno", READ_END, 0,
	"599", "no", ""},
    {"version 1.0", false, "HTTP/1.0 200 OK\r\n\r\nok", READ_MORE, READ_END,
	"200", "ok", NULL},
    {"bytes above ASCII in a value", false,
	"HTTP/1.1 200 OK\r\nA: \xc3\xa9\tb\r\nB:\r\nContent-Length: "
	"2\r\n\r\nok",
	READ_END, 0, "200", "ok", ""},
    {"lines that end with LF only", false,
	"HTTP/1.1 200 OK\nA: b\nContent-Length: 2\n\nok", READ_END, 0, "200",
	"ok", ""},
    {"chunked in other letters", false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: \tChunKed \t\r\n"
	"\r\n2\r\nok\r\n0\r\n\r\n",
	READ_END, 0, "200", "ok", ""},
    {"not modified, with a length", false,
	"HTTP/1.1 304 X\r\nContent-Length: 5\r\n"
	"\r\n",
	READ_END, 0, "304", "", ""},
    {"not modified, with a coding", false,
	"HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n"
	"\r\n",
	READ_END, 0, "304", "", ""},
    {"no content, with its length", false,
	"HTTP/1.1 204 X\r\nContent-Length: 0\r\n"
	"\r\n",
	READ_END, 0, "204", "", ""},
    {"length over 63 bits", false,
	"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n"
	"\r\nok",
	READ_BODY_TOO_LARGE, 0, NULL, NULL, NULL},
    {"chunk with an extension", false,
	CHUNKED "2;a=\"b\"\r\nok\r\n0;c\r\n\r\nHTTP", READ_END, 0, "200", "ok",
	"HTTP"},
    {"blanks after a chunk size", false, CHUNKED "2 \t\r\nok\r\n0 ;c\r\n\r\n",
	READ_END, 0, "200", "ok", ""},
    {"zeros before a chunk size", false,
	CHUNKED "00000000000000000002\r\nok\r\n000\r\n\r\n", READ_END, 0, "200",
	"ok", ""},
    {"hexadecimal chunk size", false, CHUNKED "0A\r\n0123456789\r\n0\r\n\r\n",
	READ_END, 0, "200", "0123456789", ""},
    {"trailer", false, CHUNKED "2\r\nok\r\n0\r\nA: b\r\nC:\r\n\r\nX", READ_END,
	0, "200", "ok", "X"},
    {"folded header after an empty value", true,
	"GET / HTTP/1.1\r\nA:\r\n b\r\n\r\n", READ_BAD, 0, NULL, NULL, NULL},
};

/* Responses that are none; the same for all read sizes. */
static const struct {
	const char *what;
	const char *bytes;
} invalid_responses[] = {
    {"status 000", "HTTP/1.1 000 X\r\n" LENGTH},
    {"status 000 until close", "HTTP/1.1 000 X\r\n\r\n"},
    {"status 099", "HTTP/1.1 099 X\r\n" LENGTH},
    {"status 600", "HTTP/1.1 600 X\r\n" LENGTH},
    {"status of two digits", "HTTP/1.1 20 OK\r\n" LENGTH},
    {"status of four digits", "HTTP/1.1 0200 OK\r\n" LENGTH},
    {"no status", "HTTP/1.1 OK\r\n" LENGTH},
    {"two blanks before a status", "HTTP/1.1  200 OK\r\n" LENGTH},
    {"control byte in a reason", "HTTP/1.1 200 O\x01K\r\n" LENGTH},
    {"blank in a name", OK "A b: c\r\n" LENGTH},
    {"blank in a name, head not complete", OK "A b: c\r\n"},
    {"control byte in a name", OK "A\x01: c\r\n" LENGTH},
    {"tab in a name", OK "A\tb: c\r\n" LENGTH},
    {"DEL in a name", OK "A\x7f: c\r\n" LENGTH},
    {"blank before the colon of a length", OK "Content-Length : 2\r\n\r\nok"},
    {"blank before the colon of a coding",
	OK "Transfer-Encoding : chunked\r\n" CHUNKS},
    {"blank before the first name", OK " " LENGTH},
    {"blank before a name after a value", OK "A: b\r\n " LENGTH},
    {"blank before a name after an empty value", OK "A:\r\n " LENGTH},
    {"tab before a name after an empty value", OK "A: \r\n\t" LENGTH},
    {"length on the next line", OK "Content-Length:\r\n 2\r\n\r\nok"},
    {"line of a blank", OK "A:\r\n \r\n" LENGTH},
    {"no name", OK ": c\r\n" LENGTH},
    {"no colon", OK "Ab\r\n" LENGTH},
    {"control byte in a value", OK "A: b\x01\r\n" LENGTH},
    {"CR in a value", OK "A: b\rc\r\n" LENGTH},
    {"no content, with a body", "HTTP/1.1 204 X\r\n" LENGTH},
    {"no content, in chunks",
	"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n" CHUNKS},
    {"interim, with a body", "HTTP/1.1 102 X\r\n" LENGTH},
    {"interim, in chunks",
	"HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n" CHUNKS},
    {"coding before chunked", OK "Transfer-Encoding: gzip, chunked\r\n" CHUNKS},
    {"coding only", OK "Transfer-Encoding: gzip\r\n" CHUNKS},
    {"identity", OK "Transfer-Encoding: identity\r\n" CHUNKS},
    {"coding after chunked", OK "Transfer-Encoding: chunked, gzip\r\n" CHUNKS},
    {"chunked twice in a line",
	OK "Transfer-Encoding: chunked, chunked\r\n" CHUNKS},
    {"name that ends with chunked",
	OK "Transfer-Encoding: xchunked\r\n" CHUNKS},
    {"name that begins with chunked",
	OK "Transfer-Encoding: chunkedx\r\n" CHUNKS},
    {"chunked with a parameter",
	OK "Transfer-Encoding: chunked;q=1\r\n" CHUNKS},
    {"empty coding", OK "Transfer-Encoding: \r\n" CHUNKS},
    {"comma before chunked", OK "Transfer-Encoding: , chunked\r\n" CHUNKS},
    {"chunked in two lines", OK
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" CHUNKS},
    {"two codings in two lines",
	OK "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" CHUNKS},
    {"coding and length",
	OK "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" CHUNKS},
    {"length and coding",
	OK "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n" CHUNKS},
    {"chunks in version 1.0",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" CHUNKS},
    {"equal lengths", OK "Content-Length: 2\r\n" LENGTH},
    {"list of lengths", OK "Content-Length: 2, 2\r\n\r\nok"},
    {"two numbers", OK "Content-Length: 2 2\r\n\r\nok"},
    {"negative length", OK "Content-Length: -2\r\n\r\nok"},
    {"length with a base", OK "Content-Length: 0x2\r\n\r\nok"},
    {"empty length", OK "Content-Length: \r\n\r\nok"},
    {"length over 64 bits",
	OK "Content-Length: 18446744073709551616\r\n\r\nok"},
    {"chunk longer than its size", CHUNKED "2\r\nokXY0\r\n\r\n"},
    {"chunk longer by a byte", CHUNKED "2\r\nokX\r\n0\r\n\r\n"},
    {"chunk shorter than its size", CHUNKED "4\r\nok\r\n0\r\n\r\n"},
    {"CR only after a chunk", CHUNKED "2\r\nok\rX0\r\n\r\n"},
    {"LF only after a chunk", CHUNKED "2\r\nok\n0\r\n\r\n"},
    {"CR only after a chunk size", CHUNKED "2\rXok\r\n0\r\n\r\n"},
    {"LF only after a chunk size", CHUNKED "2\nok\r\n0\r\n\r\n"},
    {"text after a chunk size", CHUNKED "2 x\r\nok\r\n0\r\n\r\n"},
    {"line break in an extension", CHUNKED "2;\nok\r\nok\r\n0\r\n\r\n"},
    {"control byte in an extension", CHUNKED "2;a\x01\r\nok\r\n0\r\n\r\n"},
    {"no chunk size", CHUNKED "\r\nok\r\n0\r\n\r\n"},
    {"blank before a chunk size", CHUNKED " 2\r\nok\r\n0\r\n\r\n"},
    {"negative chunk size", CHUNKED "-2\r\nok\r\n0\r\n\r\n"},
    {"chunk size with a base", CHUNKED "0x2\r\nok\r\n0\r\n\r\n"},
    {"chunk size over 64 bits", CHUNKED "10000000000000002\r\nok\r\n0\r\n\r\n"},
    {"CR only at the end", CHUNKED "2\r\nok\r\n0\r\n\rX"},
    {"LF only at the end", CHUNKED "2\r\nok\r\n0\r\n\n"},
    {"blank in a name of a trailer", CHUNKED "0\r\nA b: c\r\n\r\n"},
    {"control byte in a name of a trailer", CHUNKED "0\r\nA\x01: c\r\n\r\n"},
    {"blank before a name of a trailer", CHUNKED "0\r\n A: b\r\n\r\n"},
    {"joined line in a trailer", CHUNKED "0\r\nA:\r\n b\r\n\r\n"},
    {"control byte in a trailer", CHUNKED "0\r\nA: \x01\r\n\r\n"},
    {"no name in a trailer", CHUNKED "0\r\n: b\r\n\r\n"},
    {"no colon in a trailer", CHUNKED "0\r\nA\r\n\r\n"},
    {"bytes that are no chunk", CHUNKED "<html>oh no</html>"},
};

/*
 * Parses bytes in reads of step bytes, up to the first event that is neither
 * READ_HEAD nor READ_MORE, and returns the last event; rest is not consumed.
 */
static enum http_event
feed_in_pieces(
    struct http_reader *r, const char *bytes, size_t step, struct str *rest)
{
	enum http_event e = READ_MORE;
	size_t len = strlen(bytes);

	for (size_t at = 0; at < len; at += step) {
		struct str in =
		    make_str_n(bytes + at, at + step < len ? step : len - at);

		do {
			e = read_http(r, &in);
		} while (e == READ_HEAD);
		*rest = make_str_n(in.data, (size_t)(bytes + len - in.data));
		if (e != READ_MORE)
			return e;
		ck_assert_uint_eq(in.len, 0);
	}
	return e;
}

static void
check_message(const struct message_case *c, struct http_reader *r,
    enum http_event e, struct str rest)
{
	char status[8];

	if (e == READ_MORE) {
		e = end_http(r);
		ck_assert_msg(e == c->at_eof, "%s: end %d", c->what, e);
	}
	if (e != READ_END)
		return;
	if (c->request)
		ck_assert_msg(is_str_equal(r->head.target, make_str(c->target)),
		    "%s", c->what);
	snprintf(status, sizeof(status), "%d", r->head.status);
	if (!c->request)
		ck_assert_str_eq(status, c->target);
	ck_assert_msg(
	    is_str_equal(view_buf(&r->body), make_str(c->body)), "%s", c->what);
	if (c->rest != NULL)
		ck_assert_msg(
		    is_str_equal(rest, make_str(c->rest)), "%s", c->what);
}

/*
 * Guards against a message that parses differently when it arrives in several
 * reads, and against consumed bytes of the message after it.
 */
START_TEST(messages_parse_equally_from_any_read_sizes)
{
	const struct message_case *c = &cases[_i];
	size_t len = strlen(c->bytes);

	for (size_t step = 1; step <= len + 1; step++) {
		struct http_reader r;
		struct str rest = {0};
		enum http_event e;

		open_http_reader(&r, c->request, HEAD_MAX, BODY_MAX);
		e = feed_in_pieces(&r, c->bytes, step, &rest);
		ck_assert_msg(e == c->want, "%s by %zu: %d", c->what, step, e);
		check_message(c, &r, e, rest);
		close_http_reader(&r);
	}
}
END_TEST

/*
 * Guards against a response that is passed on with another status, other fields
 * or another body than its server sent, or that is waited for.
 */
START_TEST(invalid_responses_are_rejected)
{
	const char *bytes = invalid_responses[_i].bytes;
	size_t len = strlen(bytes);

	for (size_t step = 1; step <= len + 1; step++) {
		struct http_reader r;
		struct str rest = {0};
		enum http_event e;

		open_http_reader(&r, false, HEAD_MAX, BODY_MAX);
		e = feed_in_pieces(&r, bytes, step, &rest);
		ck_assert_msg(e == READ_BAD, "%s by %zu: %d",
		    invalid_responses[_i].what, step, e);
		close_http_reader(&r);
	}
}
END_TEST

/*
 * Guards against waiting for the body that an answer to HEAD announces, and
 * against a limit on its length.
 */
START_TEST(answers_to_head_have_no_body)
{
	static const char *const lines[] = {"Content-Length: 5",
	    "Content-Length: 5000000000", "Transfer-Encoding: chunked", "A: b"};
	struct http_reader r;
	struct buf b = {0};
	struct str in;

	append_buf_fmt(&b, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", lines[_i]);
	in = view_buf(&b);
	open_http_reader(&r, false, HEAD_MAX, BODY_MAX);
	r.is_head_response = true;
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD);
	ck_assert_int_eq(read_http(&r, &in), READ_END);
	ck_assert_uint_eq(r.body.len, 0);
	close_http_reader(&r);
	unload_buf(&b);
}
END_TEST

/* Guards against a NUL byte that ends a check of the head too early. */
START_TEST(nul_bytes_are_rejected)
{
	static const char heads[][48] = {
	    "HTTP/1.1 200 O\0K\r\nContent-Length: 2\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nA\0b: c\r\nB: d\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nA: b\0c\r\nB: d\r\n\r\n",
	};
	struct str in = make_str_n(heads[_i], sizeof(heads[_i]));
	struct http_reader r;

	open_http_reader(&r, false, HEAD_MAX, BODY_MAX);
	ck_assert_int_eq(read_http(&r, &in), READ_BAD);
	close_http_reader(&r);
}
END_TEST

/* Guards against unbounded memory for a head. */
START_TEST(large_heads_are_rejected)
{
	struct http_reader r;
	struct buf b = {0};
	struct str in;

	append_buf_fmt(&b, "GET / HTTP/1.1\r\nA: %0*d", HEAD_MAX, 0);
	open_http_reader(&r, true, HEAD_MAX, BODY_MAX);
	in = view_buf(&b);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD_TOO_LARGE);
	close_http_reader(&r);
	open_http_reader(&r, true, HEAD_MAX, BODY_MAX);
	append_buf_fmt(&b, "\r\n\r\n");
	in = view_buf(&b);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD_TOO_LARGE);
	close_http_reader(&r);
	unload_buf(&b);
}
END_TEST

struct head_case {
	size_t target; /* bytes */
	int headers;
	enum http_event want;
};

static const struct head_case head_cases[] = {
    {70 * 1024, 1, READ_HEAD},
    {100 * 1024, 1, READ_HEAD},
    {1000 * 1024, 1, READ_HEAD},
    {1024 * 1024, 1, READ_HEAD_TOO_LARGE},
    {2, HTTP_HEADERS_MAX, READ_HEAD},
    {2, HTTP_HEADERS_MAX + 1, READ_HEAD_TOO_LARGE},
};

/*
 * Guards against calling a head malformed that is allowed, or too large: the
 * parser has a bound of its own, of 80 KB.
 */
START_TEST(long_heads_are_read)
{
	const struct head_case *c = &head_cases[_i];
	struct http_reader r;
	struct buf b = {0};
	struct str in;

	append_buf_fmt(&b, "GET /%0*d HTTP/1.1\r\n", (int)c->target - 1, 0);
	for (int i = 0; i < c->headers; i++)
		append_buf_fmt(&b, "N%d: v\r\n", i);
	append_buf_fmt(&b, "\r\n");
	in = view_buf(&b);
	open_http_reader(&r, true, 1024 * 1024, BODY_MAX);
	ck_assert_int_eq(read_http(&r, &in), c->want);
	if (c->want == READ_HEAD)
		ck_assert_uint_eq(r.head.target.len, c->target);
	close_http_reader(&r);
	unload_buf(&b);
}
END_TEST

static const char *const framings[] = {"1;", "0\r\nA: "};

/* Guards against unbounded extensions and trailers of chunks. */
START_TEST(long_framing_is_rejected)
{
	struct http_reader r;
	struct buf b = {0};
	struct str in;

	append_buf_fmt(&b, CHUNKED "%s%0*d", framings[_i], HEAD_MAX, 0);
	in = view_buf(&b);
	open_http_reader(&r, false, HEAD_MAX, BODY_MAX);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD_TOO_LARGE);
	close_http_reader(&r);
	unload_buf(&b);
}
END_TEST

/* Guards against state of one message that leaks into the next. */
START_TEST(pipelined_messages_share_no_state)
{
	const char *bytes = "POST /1 HTTP/1.1\r\nContent-Length: 1\r\nA: "
			    "x\r\n\r\naGET /2 HTTP/1.0\r\n\r\n";
	struct str in = make_str(bytes);
	struct http_reader r;

	open_http_reader(&r, true, HEAD_MAX, BODY_MAX);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD);
	ck_assert_int_eq(read_http(&r, &in), READ_END);
	ck_assert(r.head.keep_alive);
	ck_assert(is_str_equal(find_http_header(&r.head, "a"), make_str("x")));
	reset_http_reader(&r);
	ck_assert(!is_http_reading(&r));
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD);
	ck_assert_int_eq(read_http(&r, &in), READ_END);
	ck_assert(is_str_equal(r.head.target, make_str("/2")));
	ck_assert(!r.head.keep_alive);
	ck_assert_uint_eq(r.head.header_count, 0);
	ck_assert_uint_eq(r.body.len, 0);
	close_http_reader(&r);
}
END_TEST

struct header_case {
	const char *name;
	bool hop_by_hop;
};

static const struct header_case header_cases[] = {{"Connection", true},
    {"keep-alive", true}, {"X-One", true}, {"x-two", true}, {"X-Three", false},
    {"Host", false}, {"Transfer-Encoding", true}};

/* Guards against hop-by-hop headers that are forwarded. */
START_TEST(hop_by_hop_headers_are_recognized)
{
	struct str in = make_str("GET / HTTP/1.1\r\nConnection: X-One , "
				 "x-two\r\n\r\n");
	struct http_reader r;

	open_http_reader(&r, true, HEAD_MAX, BODY_MAX);
	ck_assert_int_eq(read_http(&r, &in), READ_HEAD);
	ck_assert(
	    is_hop_by_hop_header(&r.head, make_str(header_cases[_i].name)) ==
	    header_cases[_i].hop_by_hop);
	close_http_reader(&r);
}
END_TEST

/* Guards against reads out of bounds on random input. */
START_TEST(random_bytes_are_rejected_or_incomplete)
{
	static const char alphabet[] = "GET /HTP1.\r\n:0ac";
	struct rng rng;

	seed_rng(&rng, 9);
	for (int i = 0; i < 20000; i++) {
		struct http_reader r;
		struct str in, rest;
		char text[80];
		size_t n = draw_below(&rng, sizeof(text) - 1);

		for (size_t k = 0; k < n; k++)
			text[k] =
			    alphabet[draw_below(&rng, sizeof(alphabet) - 1)];
		text[n] = '\0';
		open_http_reader(&r, i % 2 == 0, HEAD_MAX, BODY_MAX);
		in = make_str(text);
		(void)feed_in_pieces(
		    &r, in.data, 1 + draw_below(&rng, 20), &rest);
		(void)end_http(&r);
		close_http_reader(&r);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("http");
	TCase *t = tcase_create("http");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, messages_parse_equally_from_any_read_sizes, 0,
	    sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(t, invalid_responses_are_rejected, 0,
	    sizeof(invalid_responses) / sizeof(invalid_responses[0]));
	tcase_add_loop_test(t, answers_to_head_have_no_body, 0, 4);
	tcase_add_loop_test(t, nul_bytes_are_rejected, 0, 3);
	tcase_add_test(t, large_heads_are_rejected);
	tcase_add_loop_test(t, long_heads_are_read, 0,
	    sizeof(head_cases) / sizeof(head_cases[0]));
	tcase_add_loop_test(t, long_framing_is_rejected, 0, 2);
	tcase_add_test(t, pipelined_messages_share_no_state);
	tcase_add_loop_test(t, hop_by_hop_headers_are_recognized, 0,
	    sizeof(header_cases) / sizeof(header_cases[0]));
	tcase_add_test(t, random_bytes_are_rejected_or_incomplete);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
