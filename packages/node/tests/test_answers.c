/*
 * Answers of a backend server in each framing and with each end, read by the
 * caller's own node and through another one, to short calls and to uploads
 * that are still being written.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node_fixture.h"

#define SERVER 2 /* the only node of its service */
#define UPLOAD_BYTES (24 * 1000 * 1000) /* more than the socket buffers hold */
#define UPLOAD_RESETS 10 /* uploads a case, as not every reset meets send() */
#define DEADLINE "Deadline-Ms: 5000\r\n"
#define ROWS                                              \
	"short,other,1,10,0,100,500,9000,100,0,10,0,yes," \
	"0,64,30,test.example,/short/,,4,1000,2000\n"     \
	"upload,other,1,10,0,100,500,9000,100,0,10,0,no," \
	"0,32768,30,test.example,/upload/,,4,9000,2000\n"

#define TEXT(text)                     \
	{                              \
		text, sizeof(text) - 1 \
	}
#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH_LINE "Content-Length: 4\r\n"
#define LENGTH OK LENGTH_LINE "\r\n"
#define CODING(coding) OK "Transfer-Encoding: " coding "\r\n\r\n"
#define CHUNKS CODING("chunked")
#define UNTIL_CLOSE OK "\r\n"
#define STATUS(status) "HTTP/1.1 " status " X\r\n"
#define FAILED "HTTP/1.1 500 Internal Server Error\r\n"
#define FULL "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"

struct answer_case {
	const char *what;
	struct str answer;
	enum fake_end end;
	int want; /* status; 502: not an answer, 503: refused as not run */
	const char *body;
};

static const struct answer_case cases[] = {
    {"length", TEXT(LENGTH "body"), FAKE_KEEPS, 200, "body"},
    {"length, closed", TEXT(LENGTH "body"), FAKE_CLOSES, 200, "body"},
    {"length, reset", TEXT(LENGTH "body"), FAKE_RESETS, 200, "body"},
    {"chunks", TEXT(CHUNKS "4\r\nbody\r\n0\r\n\r\n"), FAKE_KEEPS, 200, "body"},
    {"chunks, closed", TEXT(CHUNKS "4\r\nbody\r\n0\r\n\r\n"), FAKE_CLOSES, 200,
	"body"},
    {"chunks, reset", TEXT(CHUNKS "4\r\nbody\r\n0\r\n\r\n"), FAKE_RESETS, 200,
	"body"},
    {"until close", TEXT(UNTIL_CLOSE "body"), FAKE_CLOSES, 200, "body"},
    {"until close, reset later", TEXT(UNTIL_CLOSE "body"),
	FAKE_CLOSES_THEN_RESETS, 200, "body"},
    {"failure", TEXT(FAILED "Content-Length: 4\r\n\r\nfail"), FAKE_KEEPS, 500,
	"fail"},
    {"failure, reset", TEXT(FAILED "Content-Length: 4\r\n\r\nfail"),
	FAKE_RESETS, 500, "fail"},
    {"failure until close", TEXT(FAILED "\r\nfail"), FAKE_CLOSES, 500, "fail"},
    {"failure until close, reset later", TEXT(FAILED "\r\nfail"),
	FAKE_CLOSES_THEN_RESETS, 500, "fail"},
    {"refusal", TEXT(FULL "Content-Length: 0\r\n\r\n"), FAKE_KEEPS, 503, ""},
    {"success marked as not run",
	TEXT(OK "Not-Run: 1\r\n" LENGTH_LINE "\r\nbody"), FAKE_KEEPS, 502, ""},
    {"redirection marked as not run",
	TEXT(STATUS("302") "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"seal that is not passed on",
	TEXT(OK "Connection: Seal\r\n" LENGTH_LINE "\r\nbody"), FAKE_KEEPS, 502,
	""},
    {"length cut", TEXT(LENGTH "bo"), FAKE_CLOSES, 502, ""},
    {"length cut by reset", TEXT(LENGTH "bo"), FAKE_RESETS, 502, ""},
    {"length cut, reset later", TEXT(LENGTH "bo"), FAKE_CLOSES_THEN_RESETS, 502,
	""},
    {"chunks cut", TEXT(CHUNKS "4\r\nbody\r\n"), FAKE_CLOSES, 502, ""},
    {"chunks cut by reset", TEXT(CHUNKS "4\r\nbody\r\n0\r\n"), FAKE_RESETS, 502,
	""},
    {"until close, reset", TEXT(UNTIL_CLOSE "bo"), FAKE_RESETS, 502, ""},
    {"failure until close, reset", TEXT(FAILED "\r\nfa"), FAKE_RESETS, 502, ""},
    {"refusal until close, reset", TEXT(FULL "\r\nfu"), FAKE_RESETS, 502, ""},
    {"head cut", TEXT(OK "Content-Le"), FAKE_CLOSES, 502, ""},
    {"head cut by reset", TEXT(OK "Content-Le"), FAKE_RESETS, 502, ""},
    {"status 000", TEXT(STATUS("000") "Content-Length: 4\r\n\r\nbody"),
	FAKE_KEEPS, 502, ""},
    {"status 000 in chunks",
	TEXT(STATUS("000") "Transfer-Encoding: chunked\r\n\r\n"
			   "4\r\nbody\r\n0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"status 000 until close", TEXT(STATUS("000") "\r\nbody"), FAKE_CLOSES, 502,
	""},
    {"status 000 without an end", TEXT(STATUS("000") "\r\nbody"), FAKE_KEEPS,
	502, ""},
    {"status 099", TEXT(STATUS("099") "Content-Length: 0\r\n\r\n"), FAKE_KEEPS,
	502, ""},
    {"status 600", TEXT(STATUS("600") "Content-Length: 0\r\n\r\n"), FAKE_KEEPS,
	502, ""},
    {"status of four digits",
	TEXT(STATUS("0200") "Content-Length: 4\r\n\r\nbody"), FAKE_KEEPS, 502,
	""},
    {"status 000, marked as not run",
	TEXT(STATUS("000") "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"unasked change of the protocol", TEXT(STATUS("101") "\r\n"), FAKE_KEEPS,
	502, ""},
    {"blank in a name", TEXT(OK "A b: c\r\nContent-Length: 4\r\n\r\nbody"),
	FAKE_KEEPS, 502, ""},
    {"control byte in a name",
	TEXT(OK "A\x01: c\r\nContent-Length: 4\r\n\r\nbody"), FAKE_KEEPS, 502,
	""},
    {"NUL in a name", TEXT(OK "A\0b: c\r\nContent-Length: 4\r\n\r\nbody"),
	FAKE_KEEPS, 502, ""},
    {"blank before a colon", TEXT(OK "Content-Length : 4\r\n\r\nbody"),
	FAKE_CLOSES, 502, ""},
    {"blank before a name", TEXT(OK "A: b\r\n Content-Length: 4\r\n\r\nbody"),
	FAKE_CLOSES, 502, ""},
    {"blank before a name after an empty value",
	TEXT(OK "A:\r\n Content-Length: 4\r\n\r\nbody"), FAKE_CLOSES, 502, ""},
    {"blank in a name of a refusal",
	TEXT(FULL "A b: c\r\nContent-Length: 0\r\n\r\n"), FAKE_KEEPS, 502, ""},
    {"blank in a name, no end of the head", TEXT(OK "A b: c\r\n"), FAKE_KEEPS,
	502, ""},
    {"coding before chunked",
	TEXT(CODING("gzip, chunked") "4\r\nbody\r\n0\r\n\r\n"), FAKE_KEEPS, 502,
	""},
    {"coding only", TEXT(CODING("gzip") "body"), FAKE_CLOSES, 502, ""},
    {"chunked twice", TEXT(CODING("chunked, chunked") "4\r\nbody\r\n0\r\n\r\n"),
	FAKE_CLOSES, 502, ""},
    {"chunked with a parameter",
	TEXT(CODING("chunked;q=1") "4\r\nbody\r\n0\r\n\r\n"), FAKE_CLOSES, 502,
	""},
    {"chunked in two lines",
	TEXT(OK "Transfer-Encoding: chunked\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"4\r\nbody\r\n0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"coding and length",
	TEXT(OK "Transfer-Encoding: chunked\r\n" LENGTH_LINE "\r\n"
		"4\r\nbody\r\n0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"length over 63 bits",
	TEXT(OK "Content-Length: 9223372036854775808\r\n\r\n"
		"body"),
	FAKE_KEEPS, 502, ""},
    {"two lengths",
	TEXT(OK LENGTH_LINE "Content-Length: 5\r\n\r\n"
			    "body"),
	FAKE_KEEPS, 502, ""},
    {"no content, with a body",
	TEXT(STATUS("204") LENGTH_LINE "\r\n"
				       "body"),
	FAKE_KEEPS, 502, ""},
    {"no content", TEXT(STATUS("204") "\r\n"), FAKE_KEEPS, 204, ""},
    {"not modified, with a length", TEXT(STATUS("304") LENGTH_LINE "\r\n"),
	FAKE_KEEPS, 304, ""},
    {"chunk longer than its size", TEXT(CHUNKS "4\r\nbodyXY0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"chunk shorter than its size", TEXT(CHUNKS "6\r\nbody\r\n0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"line break in an extension", TEXT(CHUNKS "4;\nbody\r\nbody\r\n0\r\n\r\n"),
	FAKE_KEEPS, 502, ""},
    {"no end of the last chunk", TEXT(CHUNKS "4\r\nbody\r\n0\r\n\rX"),
	FAKE_KEEPS, 502, ""},
    {"blank in a name of a trailer",
	TEXT(CHUNKS "4\r\nbody\r\n0\r\nA b: c\r\n\r\n"), FAKE_KEEPS, 502, ""},
    {"bytes that are no chunk", TEXT(CHUNKS "<html>oh no</html>"), FAKE_KEEPS,
	502, ""},
    {"trailer", TEXT(CHUNKS "4\r\nbody\r\n0\r\nA: b\r\n\r\n"), FAKE_KEEPS, 200,
	"body"},
};

static const char *const ways[] = {"own node", "another node"};
static const int entries[] = {SERVER, 0};

static struct fixture fixture;
static struct buf upload;

static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
	set_fixture_table(&fixture, 2, ROWS);
	ck_assert_int_eq(reserve_buf(&upload, UPLOAD_BYTES), 0);
	memset(upload.data, 'u', UPLOAD_BYTES);
	upload.len = UPLOAD_BYTES;
}

static void
close_nodes(void)
{
	unload_buf(&upload);
	close_fixture(&fixture);
}

/* Waits until the node has closed its connections to the server. */
static bool
are_connections_closed(void)
{
	for (int i = 0; i < 200; i++) {
		if (count_fake_open(fixture.servers[SERVER]) == 0)
			return true;
		usleep(10000);
	}
	return false;
}

static void
check_answer(const struct answer_case *c, bool early, size_t way, int round)
{
	struct fake_script script = {
	    .answer = c->answer, .end = c->end, .early = early};
	struct test_reply reply;
	char id[32];

	snprintf(id, sizeof(id), "answer-%zu-%d", way, round);
	set_fake_script(fixture.servers[SERVER], &script);
	send_test_call(fixture.calls[entries[way]], "POST",
	    early ? "/upload/script" : "/short/script", id, DEADLINE,
	    early ? view_buf(&upload) : make_str("x"), &reply);
	ck_assert_msg(
	    !reply.closed && reply.status == c->want &&
		is_str_equal(view_buf(&reply.body), make_str(c->body)),
	    "%s by %s: %d with %zu bytes", c->what, ways[way], reply.status,
	    reply.body.len);
	ck_assert(
	    has_header(&reply, "Seal: ") == (c->want != 502 && c->want != 503));
	ck_assert_int_eq(count_fixture_runs(&fixture, id), 1);
	unload_reply(&reply);
	if (c->want == 502)
		ck_assert_msg(are_connections_closed(),
		    "%s: its connection is used again", c->what);
	send_test_call(fixture.calls[entries[way]], "GET", "/short/ok", "after",
	    "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
}

/*
 * Guards against an answer that is passed on although it is not whole or is no
 * answer, is refused as not run, fails only at the call's deadline, or leaves a
 * connection that is used again; and against a sound one that does not arrive.
 */
START_TEST(answers_to_short_calls)
{
	for (size_t way = 0; way < 2; way++)
		check_answer(&cases[_i], false, way, 0);
}
END_TEST

/*
 * Guards against the same while a long upload is written. The node then learns
 * of a reset when it sends, and reads the rest of the answer without an error.
 */
START_TEST(answers_to_unfinished_uploads)
{
	const struct answer_case *c = &cases[_i];
	bool reset = c->end == FAKE_RESETS || c->end == FAKE_CLOSES_THEN_RESETS;

	for (size_t way = 0; way < 2; way++) {
		for (int i = 0; i < (reset ? UPLOAD_RESETS : 1); i++)
			check_answer(c, true, way, i);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("answers");
	TCase *t = tcase_create("answers");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(
	    t, answers_to_short_calls, 0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(t, answers_to_unfinished_uploads, 0,
	    sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
