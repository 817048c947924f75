/*
 * Callers that send slowly: a head without end holds no connection, while a
 * body that keeps arriving is served.
 */
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

#define STEP_MS 100 /* between two bytes */
#define STEPS 100 /* far beyond the 600 ms of the table */
#define BODY_BYTES 16 /* take longer than the limit of a head */

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture(&fixture, 1);
	set_fixture_table(&fixture, 2,
	    "slow,svc,1,10,0,100,15000,20000,1000,0,10,0,yes,0,64,30,"
	    "test.example,/slow/,,4,600,20000\n");
	usleep(100000);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

/* Sends a byte; false: the connection was closed. */
static bool
send_byte(int fd, char byte)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	return poll(&p, 1, STEP_MS) == 0 &&
	       send(fd, &byte, 1, MSG_NOSIGNAL) == 1;
}

/* Guards against clients that begin the time limit again with each byte. */
START_TEST(endless_head_is_closed)
{
	int fd = connect_test_client(fixture.calls[0]), i = 0;
	static const char head[] = "GET /slow/ok HTTP/1.1\r\nX-Slow: ";

	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(send(fd, head, strlen(head), MSG_NOSIGNAL), 0);
	while (i < STEPS && send_byte(fd, 'x'))
		i++;
	close(fd);
	ck_assert_int_lt(i, STEPS);
}
END_TEST

/* Guards against the limit of heads applied to whole bodies. */
START_TEST(slow_body_is_served)
{
	int fd = connect_test_client(fixture.calls[0]);
	static const char head[] =
	    "POST /slow/ok HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: slow\r\nContent-Length: 16\r\n\r\n";
	struct test_reply reply;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(send(fd, head, strlen(head), MSG_NOSIGNAL), 0);
	for (int i = 0; i < BODY_BYTES; i++)
		ck_assert(send_byte(fd, 'x'));
	read_test_reply(fd, &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
	close(fd);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("slow callers");
	TCase *t = tcase_create("slow callers");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_test(t, endless_head_is_closed);
	tcase_add_test(t, slow_body_is_served);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
