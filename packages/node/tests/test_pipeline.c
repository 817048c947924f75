/*
 * Pipelined requests: what a caller receives that sends further requests before
 * the first is answered, and what runs meanwhile.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"

#define PIPELINE_CASE_MAX 6
#define POLLS_MAX 300 /* of 10 ms */

static struct fixture fixture;

/* The client's end of a connection. */
struct client {
	int fd;
	struct buf in;
};

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

/* Waits until a call has run as often as wanted; false: it did not. */
static bool
wait_for_runs(const char *id, int want)
{
	for (int k = 0;
	     k < POLLS_MAX && count_fixture_runs(&fixture, id) < want; k++)
		usleep(10000);
	return count_fixture_runs(&fixture, id) == want;
}

static void
append_call(struct buf *b, const char *path, const char *id, const char *more)
{
	ck_assert_int_eq(
	    append_buf_fmt(b,
		"%s %s HTTP/1.1\r\nHost: test.example\r\nCall-Id: %s\r\n"
		"%sContent-Length: 0\r\n\r\n",
		strncmp(path, "/pay/", 5) == 0 ? "POST" : "GET", path, id,
		more),
	    0);
}

static void
send_client(struct client *c, struct str bytes)
{
	size_t at = 0;

	while (at < bytes.len) {
		ssize_t n =
		    send(c->fd, bytes.data + at, bytes.len - at, MSG_NOSIGNAL);

		ck_assert_int_gt(n, 0);
		at += (size_t)n;
	}
}

/*
 * Reads the next answer; bytes behind it stay for the next one. Returns false
 * when the connection ends before it is complete.
 */
static bool
read_answer(struct client *c, struct test_reply *out)
{
	char bytes[4096];

	memset(out, 0, sizeof(*out));
	for (;;) {
		char *end =
		    c->in.len > 0 ? strstr(c->in.data, "\r\n\r\n") : NULL;
		ssize_t n;

		if (end != NULL) {
			size_t head = (size_t)(end - c->in.data) + 4;
			const char *p = strstr(c->in.data, "Content-Length: ");
			size_t len = strtoul(p + 16, NULL, 10);

			if (c->in.len >= head + len) {
				snprintf(out->head, sizeof(out->head), "%.*s",
				    (int)head, c->in.data);
				out->status = atoi(out->head + 9);
				memmove(c->in.data, c->in.data + head + len,
				    c->in.len - head - len);
				c->in.len -= head + len;
				c->in.data[c->in.len] = '\0';
				return true;
			}
		}
		n = recv(c->fd, bytes, sizeof(bytes), 0);
		if (n <= 0)
			return false;
		ck_assert_int_eq(append_buf(&c->in, bytes, (size_t)n), 0);
	}
}

static void
open_client(struct client *c)
{
	*c = (struct client){.fd = connect_test_client(fixture.calls[2])};
	ck_assert_int_ge(c->fd, 0);
}

static void
close_client(struct client *c)
{
	close(c->fd);
	unload_buf(&c->in);
}

struct pipeline_case {
	const char *what;
	struct {
		const char *path; /* NULL: bytes that are no request */
		const char *more; /* header lines */
		int want; /* status; 0: not answered, and not run */
	} calls[PIPELINE_CASE_MAX];
};

static const struct pipeline_case pipeline_cases[] = {
    {"a slow call is followed by fast ones",
	{{"/read/slow", "", 200}, {"/read/ok", "", 200},
	    {"/read/ok", "", 200}}},
    {"failures keep their place",
	{{"/read/slow", "", 200}, {"/read/failed", "", 500},
	    {"/read/garbage", "", 502}, {"/none/x", "", 404},
	    {"/read/full", "", 503}, {"/read/ok", "", 200}}},
    {"a call that must not repeat is between others",
	{{"/read/slow", "", 200}, {"/pay/ok", "", 200}, {"/read/ok", "", 200},
	    {"/pay/ok", "", 200}}},
    {"requests behind a closing one count as unread",
	{{"/read/slow", "", 200}, {"/read/ok", "Connection: close\r\n", 200},
	    {"/pay/ok", "", 0}}},
    {"requests behind a malformed one count as unread",
	{{"/read/slow", "", 200}, {"/read/ok", "", 200}, {NULL, "", 400},
	    {"/pay/ok", "", 0}}},
    {"an expired call keeps its place",
	{{"/read/silent", "Deadline-Ms: 200\r\n", 504}, {"/read/ok", "", 200}}},
};

/*
 * Sends the calls of a case in pieces of step bytes and checks each answer by
 * its id.
 */
static void
check_pipeline(const struct pipeline_case *p, size_t step)
{
	struct test_reply reply;
	struct client c;
	struct buf b = {0};
	char id[24];

	open_client(&c);
	for (int i = 0; i < PIPELINE_CASE_MAX &&
			p->calls[i].want + (p->calls[i].path != NULL) != 0;
	     i++) {
		snprintf(id, sizeof(id), "p-%zu-%d", step, i);
		if (p->calls[i].path == NULL)
			append_buf_str(&b, make_str("no request\r\n\r\n"));
		else
			append_call(&b, p->calls[i].path, id, p->calls[i].more);
	}
	for (size_t at = 0; at < b.len; at += step)
		send_client(&c, make_str_n(b.data + at,
				    b.len - at < step ? b.len - at : step));
	for (int i = 0; i < PIPELINE_CASE_MAX && p->calls[i].want != 0; i++) {
		snprintf(id, sizeof(id), "Call-Id: p-%zu-%d\r\n", step, i);
		ck_assert_msg(
		    read_answer(&c, &reply), "%s: no answer to %d", p->what, i);
		ck_assert_msg(reply.status == p->calls[i].want,
		    "%s: answer %d has status %d", p->what, i, reply.status);
		if (p->calls[i].path != NULL)
			ck_assert_msg(strstr(reply.head, id) != NULL,
			    "%s: answer %d is %s", p->what, i, reply.head);
	}
	for (int i = 0; i < PIPELINE_CASE_MAX; i++) {
		if (p->calls[i].path == NULL || p->calls[i].want != 0)
			continue;
		snprintf(id, sizeof(id), "p-%zu-%d", step, i);
		ck_assert_msg(!read_answer(&c, &reply), "%s", p->what);
		ck_assert_int_eq(count_fixture_runs(&fixture, id), 0);
	}
	unload_buf(&b);
	close_client(&c);
}

/*
 * Guards against answers that are missing, out of order or another call's, and
 * against running a request that the caller takes for unread.
 */
START_TEST(answers_come_in_the_order_of_requests)
{
	static const size_t steps[] = {100000, 97, 7};

	for (size_t k = 0; k < sizeof(steps) / sizeof(steps[0]); k++)
		check_pipeline(&pipeline_cases[_i], steps[k]);
}
END_TEST

/* Guards against a parser that depends on where the stream is cut. */
START_TEST(stream_may_be_cut_anywhere)
{
	struct test_reply reply;
	struct buf b = {0};
	struct client c;
	char id[24];

	append_call(&b, "/read/ok", "cut-0", "");
	append_call(&b, "/pay/ok", "cut-1", "");
	append_call(&b, "/read/ok", "cut-2", "");
	for (size_t cut = 1; cut < b.len; cut++) {
		open_client(&c);
		send_client(&c, make_str_n(b.data, cut));
		usleep(1000);
		send_client(&c, make_str_n(b.data + cut, b.len - cut));
		for (int i = 0; i < 3; i++) {
			snprintf(id, sizeof(id), "Call-Id: cut-%d\r\n", i);
			ck_assert(read_answer(&c, &reply));
			ck_assert_int_eq(reply.status, 200);
			ck_assert(strstr(reply.head, id) != NULL);
		}
		close_client(&c);
	}
	unload_buf(&b);
}
END_TEST

/* Guards against a call that waits for the answer to the one before it. */
START_TEST(calls_that_may_repeat_run_ahead)
{
	struct test_reply reply;
	struct buf b = {0};
	struct client c;

	open_client(&c);
	append_call(&b, "/read/silent", "ahead-0", "Deadline-Ms: 1500\r\n");
	append_call(&b, "/read/ok", "ahead-1", "");
	append_call(&b, "/pay/ok", "ahead-2", "");
	send_client(&c, view_buf(&b));
	ck_assert(wait_for_runs("ahead-1", 1));
	/* The first is unanswered: one that must not repeat has to wait. */
	ck_assert_int_eq(recv(c.fd, &(char){0}, 1, MSG_DONTWAIT), -1);
	ck_assert_int_eq(count_fixture_runs(&fixture, "ahead-2"), 0);
	for (int i = 0; i < 3; i++) {
		ck_assert(read_answer(&c, &reply));
		ck_assert_int_eq(reply.status, i == 0 ? 504 : 200);
	}
	ck_assert_int_eq(count_fixture_runs(&fixture, "ahead-2"), 1);
	unload_buf(&b);
	close_client(&c);
}
END_TEST

/* Guards against losing requests beyond the depth that is read ahead. */
START_TEST(long_pipelines_are_answered)
{
	struct test_reply reply;
	struct buf b = {0};
	struct client c;
	char id[24];

	open_client(&c);
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "long-%d", i);
		append_call(&b, i % 7 == 0 ? "/read/slow" : "/read/ok", id, "");
	}
	send_client(&c, view_buf(&b));
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "Call-Id: long-%d\r\n", i);
		ck_assert(read_answer(&c, &reply));
		ck_assert(strstr(reply.head, id) != NULL);
		ck_assert(reply.status == 200 || reply.status == 503);
	}
	unload_buf(&b);
	close_client(&c);
}
END_TEST

/* Guards against calls that keep running after their caller disconnected. */
START_TEST(all_calls_of_a_disconnected_caller_are_cancelled)
{
	struct buf b = {0};
	struct client c;
	int open = 1;

	open_client(&c);
	for (int i = 0; i < 4; i++) {
		char id[24];

		snprintf(id, sizeof(id), "gone-%d", i);
		append_call(&b, "/read/silent", id, "");
	}
	append_call(&b, "/pay/ok", "gone-pay", "");
	send_client(&c, view_buf(&b));
	ck_assert(wait_for_runs("gone-3", 1));
	close_client(&c);
	for (int k = 0; k < POLLS_MAX && open > 0; k++) {
		usleep(10000);
		open = count_fake_open(fixture.servers[0]) +
		       count_fake_open(fixture.servers[1]);
	}
	ck_assert_int_eq(open, 0);
	ck_assert_int_eq(count_fixture_runs(&fixture, "gone-pay"), 0);
	unload_buf(&b);
}
END_TEST

static void *
drain_entry(void *arg)
{
	(void)arg;
	drain_node(fixture.nodes[2]);
	return NULL;
}

/*
 * A planned stop begins while requests of one connection run and wait. Guards
 * against closing the connection before each accepted request is answered.
 */
START_TEST(stop_answers_every_accepted_request)
{
	struct test_reply reply;
	struct buf b = {0};
	struct client c;
	pthread_t t;

	open_client(&c);
	for (int i = 0; i < 4; i++) {
		char id[24];

		snprintf(id, sizeof(id), "stop-%d", i);
		append_call(&b, i == 2 ? "/pay/slow" : "/read/slow", id, "");
	}
	send_client(&c, view_buf(&b));
	ck_assert(wait_for_runs("stop-1", 1));
	ck_assert_int_eq(pthread_create(&t, NULL, drain_entry, NULL), 0);
	/* What is behind the call that must not repeat may count as unread. */
	for (int i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "Call-Id: stop-%d\r\n", i);
		ck_assert(read_answer(&c, &reply));
		ck_assert_int_eq(reply.status, 200);
		ck_assert(strstr(reply.head, id) != NULL);
	}
	ck_assert(has_header(&reply, "Connection: close"));
	ck_assert(!read_answer(&c, &reply));
	ck_assert_int_eq(count_fixture_runs(&fixture, "stop-3"), 0);
	pthread_join(t, NULL);
	unload_buf(&b);
	close_client(&c);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("pipeline");
	TCase *t = tcase_create("pipeline");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(t, answers_come_in_the_order_of_requests, 0,
	    sizeof(pipeline_cases) / sizeof(pipeline_cases[0]));
	tcase_add_test(t, stream_may_be_cut_anywhere);
	tcase_add_test(t, calls_that_may_repeat_run_ahead);
	tcase_add_test(t, long_pipelines_are_answered);
	tcase_add_test(t, all_calls_of_a_disconnected_caller_are_cancelled);
	tcase_add_test(t, stop_answers_every_accepted_request);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
