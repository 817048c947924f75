/*
 * Long answers between nodes on links of known speed, over real sockets.
 */
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

/* The large answer takes 0.55 s at this speed. */
#define LINK_RATE (48 * 1000 * 1000)
#define SHORT_CALLS 20

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture_with_link(&fixture, 3, LINK_RATE);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/* Sends a call for a large answer to the node that has no server for it. */
static int
start_large_call(const char *id)
{
	char text[128];
	int fd = connect_test_client(fixture.calls[2]);
	int len = snprintf(text, sizeof(text),
	    "GET /read/large HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: %s\r\n\r\n",
	    id);

	ck_assert_int_eq(send(fd, text, (size_t)len, 0), len);
	return fd;
}

static int64_t
send_short_call(int i)
{
	int64_t start = read_test_clock();
	struct test_reply reply;
	char id[24];

	snprintf(id, sizeof(id), "short-%d", i);
	send_test_call(
	    fixture.calls[2], "GET", "/read/ok", id, "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
	return read_test_clock() - start;
}

/*
 * Guards against small answers that wait behind a long one on the link between
 * two nodes, and against a long answer with bytes lost or out of order.
 */
START_TEST(short_answers_do_not_wait_behind_a_long_one)
{
	int64_t sum = 0, started = read_test_clock();
	struct test_reply reply;
	struct pollfd p = {.events = POLLIN};
	size_t wrong = 0;
	int during = 0;

	p.fd = start_large_call("large");
	for (int i = 0; i < SHORT_CALLS; i++) {
		int64_t took = send_short_call(i);

		if (poll(&p, 1, 0) == 0) {
			sum += took;
			during++;
		}
	}
	ck_assert_int_ge(during, 4);
	ck_assert_int_lt(sum / during, 60 * NSEC_PER_MSEC);
	read_test_reply(p.fd, &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_uint_eq(reply.body.len, FAKE_LARGE_BYTES);
	for (size_t i = 0; i < reply.body.len; i++)
		wrong += reply.body.data[i] != get_fake_large_byte(i) ? 1 : 0;
	ck_assert_uint_eq(wrong, 0);
	ck_assert_int_ge(read_test_clock() - started, 400 * NSEC_PER_MSEC);
	unload_reply(&reply);
	close(p.fd);
}
END_TEST

/*
 * Guards against an answer that looks complete although its node stopped in the
 * middle of it, and against use of the answer after its link is gone.
 */
START_TEST(broken_off_answer_is_no_success)
{
	struct test_reply reply;
	int fd = start_large_call("cut");

	usleep(250000);
	stop_fixture_node(&fixture, 0);
	stop_fixture_node(&fixture, 1);
	read_test_reply(fd, &reply);
	ck_assert(reply.status != 200 || reply.closed ||
		  reply.body.len == FAKE_LARGE_BYTES);
	unload_reply(&reply);
	close(fd);
	start_fixture_node(&fixture, 0);
	start_fixture_node(&fixture, 1);
}
END_TEST

/*
 * Guards against a long answer that is sent on, or kept in memory, after its
 * caller has left.
 */
START_TEST(left_answer_is_dropped)
{
	static const char line[] = "ggs_node_long_answer_bytes 0";
	bool dropped = false;
	int fd = start_large_call("left");

	usleep(250000);
	close(fd);
	for (int i = 0; i < 20 && !dropped; i++) {
		struct test_reply a, b;

		usleep(20000);
		send_test_call(fixture.metrics[0], "GET", "/metrics", "m", "",
		    make_str(""), &a);
		send_test_call(fixture.metrics[1], "GET", "/metrics", "m", "",
		    make_str(""), &b);
		dropped = strstr(a.body.data, line) != NULL &&
			  strstr(b.body.data, line) != NULL;
		unload_reply(&a);
		unload_reply(&b);
	}
	ck_assert(dropped);
	ck_assert_int_lt(send_short_call(0), NSEC_PER_SEC);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("long_answers");
	TCase *t = tcase_create("long_answers");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_test(t, short_answers_do_not_wait_behind_a_long_one);
	tcase_add_test(t, broken_off_answer_is_no_success);
	tcase_add_test(t, left_answer_is_dropped);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
