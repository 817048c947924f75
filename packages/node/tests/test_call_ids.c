/*
 * Ids of calls at each length that a head may have, and calls without one: a
 * backend server answers a call twice, the second time where the answer to the
 * next call is expected.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SERVER 2 /* the only node of its service */
#define ANSWER_END "\r\n\r\nok" /* of the fake server's answers */
#define ROWS                                              \
	"safe,other,1,10,0,100,500,9000,100,1,10,0,yes,"  \
	"0,64,30,test.example,/safe/,,1024,1000,2000\n"   \
	"unsafe,other,1,10,0,100,500,9000,100,1,10,0,no," \
	"0,64,30,test.example,/unsafe/,,1024,1000,2000\n"

/* Bytes of an id; 0: none. The node kept 128 once, the links between nodes too. */
static const size_t lengths[] = {0, 1, 16, 64, 65, 127, 128, 129, 140, 255, 256,
    1000, 4000, 16000, 60000, 66000, 200000, 1000000};

static const struct {
	const char *what;
	int entry;
	const char *row;
} ways[] = {
    {"its own node", SERVER, "safe"},
    {"another node", 0, "safe"},
    {"its own node, unsafe", SERVER, "unsafe"},
    {"another node, unsafe", 0, "unsafe"},
};

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
	set_fixture_table(&fixture, 2, ROWS);
	usleep(50000);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/*
 * Sends a call whose id has len bytes, the last of which is given, and checks
 * that the answer is the one to it.
 */
static void
check_call(size_t way, const char *behaviour, size_t len, char last)
{
	int fd = connect_test_client(fixture.calls[ways[way].entry]);
	struct buf call = {0}, line = {0}, answer = {0};
	char bytes[65536];
	ssize_t n = 0;

	(void)append_buf_fmt(&line, "\r\nCall-Id: ");
	for (size_t i = 1; i < len; i++)
		(void)append_buf(&line, "i", 1);
	if (len > 0)
		(void)append_buf(&line, &last, 1);
	(void)append_buf_fmt(&call, "GET /%s/%s HTTP/1.1\r\nHost: test.example",
	    ways[way].row, behaviour);
	if (len > 0)
		(void)append_buf_str(&call, view_buf(&line));
	(void)append_buf_fmt(&call, "\r\n\r\n");
	(void)append_buf_fmt(&line, "\r\n");
	for (size_t at = 0; at < call.len; at += (size_t)n) {
		n = send(fd, call.data + at, call.len - at, MSG_NOSIGNAL);
		ck_assert_int_gt(n, 0);
	}
	while ((answer.len == 0 || strstr(answer.data, ANSWER_END) == NULL) &&
	       (n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		ck_assert_int_eq(append_buf(&answer, bytes, (size_t)n), 0);
	close(fd);
	ck_assert_msg(n > 0 && strncmp(answer.data, "HTTP/1.1 200", 12) == 0,
	    "%s, id of %zu bytes, %s: %.30s", ways[way].what, len, behaviour,
	    answer.len > 0 ? answer.data : "no answer");
	ck_assert_msg(strstr(answer.data, line.data) != NULL,
	    "%s, id of %zu bytes, %s: the answer to another call",
	    ways[way].what, len, behaviour);
	unload_buf(&call);
	unload_buf(&line);
	unload_buf(&answer);
}

/*
 * Guards against review 8, MIXED: ids of more than 128 bytes counted as none, so
 * that a late second answer went to the next call, and each call after it on
 * that connection got the answer to the one before.
 */
START_TEST(late_answer_goes_to_no_other_call)
{
	size_t len = lengths[_i];

	for (size_t way = 0; way < COUNT(ways); way++) {
		check_call(way, "late", len, 'a');
		check_call(way, "ok", len, 'b');
		check_call(way, "ok", len, 'c');
	}
}
END_TEST

/*
 * Guards against the same between a call without an id, which no answer can be
 * compared with, and one that has an id of this length.
 */
START_TEST(late_answer_goes_to_no_call_without_an_id)
{
	size_t len = lengths[_i];

	for (size_t way = 0; way < COUNT(ways); way++) {
		check_call(way, "late", len, 'a');
		check_call(way, "ok", 0, '-');
		check_call(way, "late", 0, '-');
		check_call(way, "ok", len, 'b');
		check_call(way, "ok", 0, '-');
	}
}
END_TEST

/*
 * Guards against a call whose answer is not recognized, since the caller has
 * listed the id among the headers of its connection and it was left out.
 */
START_TEST(id_that_connection_names_is_passed_on)
{
	struct test_reply reply;

	for (size_t way = 0; way < COUNT(ways); way++) {
		char path[32];

		snprintf(path, sizeof(path), "/%s/ok", ways[way].row);
		send_test_call(fixture.calls[ways[way].entry], "POST", path,
		    "named", "Connection: Call-Id\r\n", make_str(""), &reply);
		ck_assert_msg(reply.status == 200, "%s", ways[way].what);
		ck_assert(has_header(&reply, "Call-Id: named\r\n"));
		unload_reply(&reply);
	}
}
END_TEST

/*
 * Guards against an id that is lost when a call is sent once more, after the
 * server has dropped an idle connection.
 */
START_TEST(id_is_kept_when_a_call_is_sent_again)
{
	size_t len = lengths[_i];

	for (size_t way = 0; way < 2; way++) {
		check_call(way, "ok", len, 'a');
		reset_fake_connections_on_use(fixture.servers[SERVER]);
		check_call(way, "late", len, 'b');
		check_call(way, "ok", len, 'c');
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("call_ids");
	TCase *t = tcase_create("call_ids");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(
	    t, late_answer_goes_to_no_other_call, 0, COUNT(lengths));
	tcase_add_loop_test(
	    t, late_answer_goes_to_no_call_without_an_id, 0, COUNT(lengths));
	tcase_add_loop_test(
	    t, id_is_kept_when_a_call_is_sent_again, 0, COUNT(lengths));
	tcase_add_test(t, id_that_connection_names_is_passed_on);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
