/*
 * Hedged sends by real nodes: one of two backend servers is slow.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metric.h"
#include "node_fixture.h"

#define WARM_CALLS 60 /* enough answers of both servers for a quantile */
#define CALLS 12

struct hedge_case {
	const char *path;
	double share;
	bool want_hedges;
	bool want_wins; /* second answers reach callers; else not checked */
	int runs_max; /* of one call */
};

static const struct hedge_case hedge_cases[] = {
    {"/read/uneven", 0.5, true, true, 2},
    /* Guards against a failed answer that beats a good one of the other send. */
    {"/read/uneven-failed", 0.5, true, false, 2},
    /* Guards against a second run of a call that must not repeat. */
    {"/pay/uneven", 0.5, false, false, 1},
    /* Guards against hedges that exceed the row's attempts. */
    {"/once/uneven", 0.5, false, false, 1},
    /* Guards against hedges that nobody asked for. */
    {"/read/uneven", 0, false, false, 1},
};

static int64_t
read_counter(const char *name)
{
	return get_metric(register_metric(METRIC_COUNTER, name, ""));
}

static void
send_calls(
    struct fixture *x, const struct hedge_case *c, const char *path, int count)
{
	bool pay = strncmp(path, "/pay/", 5) == 0;

	for (int i = 0; i < count; i++) {
		struct test_reply reply;
		char id[32];

		snprintf(id, sizeof(id), "%.10s-%d", path + 1, i);
		send_test_call(x->calls[2], pay ? "POST" : "GET", path, id,
		    "Deadline-Ms: 1900\r\n", make_str(pay ? "1" : ""), &reply);
		ck_assert_msg(!reply.closed, "%s: closed", path);
		ck_assert_msg(
		    reply.status == 200, "%s: %d", path, reply.status);
		ck_assert(has_header(&reply, "Seal: "));
		ck_assert_int_le(count_fixture_runs(x, id), c->runs_max);
		unload_reply(&reply);
	}
}

/*
 * Guards against slow answers that are waited for, and against second sends
 * beyond what the row allows.
 */
START_TEST(slow_calls_are_sent_again)
{
	const struct hedge_case *c = &hedge_cases[_i];
	int64_t sent, won;
	struct fixture x;
	char warm[32];

	open_fixture_with_hedges(&x, 3, c->share);
	snprintf(warm, sizeof(warm), "/%.*s/ok", (int)strcspn(c->path + 1, "/"),
	    c->path + 1);
	send_calls(&x, c, warm, WARM_CALLS);
	set_fake_slow(x.servers[0], true);
	/* On a busy machine calls of the warm-up are hedged as well. */
	sent = read_counter("ggs_node_hedges_total");
	won = read_counter("ggs_node_hedges_won_total");
	send_calls(&x, c, c->path, CALLS);
	sent = read_counter("ggs_node_hedges_total") - sent;
	won = read_counter("ggs_node_hedges_won_total") - won;
	ck_assert_msg((sent > 0) == c->want_hedges, "%s: %lld hedges", c->path,
	    (long long)sent);
	ck_assert_msg(won > 0 || !c->want_wins, "%s: none won", c->path);
	close_fixture(&x);
}
END_TEST

/*
 * Guards against a call that refers to the node of its first send after that
 * has left, while the hedge goes on alone (a use after free).
 */
START_TEST(hedge_outlives_the_first_node)
{
	const struct hedge_case warm = {"/read/ok", 0.5, false, false, 2};
	char request[160];
	struct test_reply reply;
	struct fixture x;
	int fd, other = 1 - _i;

	open_fixture_with_hedges(&x, 3, 0.5);
	send_calls(&x, &warm, warm.path, WARM_CALLS);
	fd = connect_test_client(x.calls[2]);
	snprintf(request, sizeof(request),
	    "GET /read/silent HTTP/1.1\r\nHost: test.example\r\n"
	    "Call-Id: left\r\nDeadline-Ms: 1500\r\n\r\n");
	ck_assert_int_eq(
	    send(fd, request, strlen(request), 0), (int)strlen(request));
	while (count_fixture_runs(&x, "left") < 2)
		usleep(1000);
	stop_fixture_node(&x, _i);
	clear_fake_endpoints(x.agent, "svc");
	add_fake_endpoint(x.agent, "svc", other == 0 ? "node-0" : "node-1",
	    x.links[other], 4, WIRE_ENDPOINT_READY);
	refresh_node(x.nodes[2]);
	read_test_reply(fd, &reply);
	ck_assert_int_eq(reply.status, 504);
	unload_reply(&reply);
	close(fd);
	close_fixture(&x);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("hedges");
	TCase *t = tcase_create("hedges");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, slow_calls_are_sent_again, 0,
	    (int)(sizeof(hedge_cases) / sizeof(hedge_cases[0])));
	tcase_add_loop_test(t, hedge_outlives_the_first_node, 0, 2);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
