/*
 * Planned stops of a node: what callers receive whose requests run, wait or
 * arrive meanwhile.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

static struct fixture fixture;

static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
}

static void
close_nodes(void)
{
	close_fixture(&fixture);
}

static int
count_runs(const char *id)
{
	int n = 0;

	for (int i = 0; i < fixture.count; i++)
		n += count_fake_runs(fixture.servers[i], id);
	return n;
}

/* Drains and stops the node at index *arg, as a process does on SIGTERM. */
static void *
stop_entry(void *arg)
{
	int i = *(int *)arg;

	drain_node(fixture.nodes[i]);
	stop_fixture_node(&fixture, i);
	return NULL;
}

/*
 * Guards against a stop that takes longer than it may while callers go on to
 * open connections and send calls, and against cutting one of these calls.
 */
START_TEST(stop_ends_in_time_under_steady_calls)
{
	int64_t start = read_test_clock(), end;
	struct test_reply reply;
	int entry = 0, sent = 0;
	pthread_t t;

	ck_assert_int_eq(pthread_create(&t, NULL, stop_entry, &entry), 0);
	end = start + fixture.stop_ns + 2 * NSEC_PER_SEC;
	while (read_test_clock() < end) {
		int fd = connect_test_client(fixture.calls[0]);
		char text[128];
		int len;

		if (fd < 0)
			break;
		len = snprintf(text, sizeof(text),
		    "GET /read/ok HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: steady-%d\r\n\r\n",
		    sent);
		if (send(fd, text, (size_t)len, MSG_NOSIGNAL) == len) {
			read_test_reply(fd, &reply);
			snprintf(text, sizeof(text), "steady-%d", sent);
			ck_assert_msg(!reply.closed || count_runs(text) == 0,
			    "%s ran and got no answer", text);
			unload_reply(&reply);
			sent++;
		}
		close(fd);
	}
	ck_assert_int_gt(sent, 10);
	ck_assert_int_lt(read_test_clock(), end);
	pthread_join(t, NULL);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("stop");
	TCase *t = tcase_create("stop");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_test(t, stop_ends_in_time_under_steady_calls);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
