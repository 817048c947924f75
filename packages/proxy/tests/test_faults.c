/*
 * Tests with faulty backend servers over real sockets: which outcome the caller
 * gets and how often the work ran. Every case runs at the serving node itself
 * and over one hop.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"

#define DEADLINE "X-Ggs-Deadline-Ms: 15000\n"
#define DEADLINE_NS (15 * NSEC_PER_SEC)
#define EJECT_CALLS 60 /* three times the results needed for a rate */

struct fault_case {
	const char *name;
	enum fake_mode mode;
	int times; /* calls that meet the fault */
	const char *kind;
	const char *more; /* request headers */
	int status;
	const char *outcome;
	int runs;
};

static const struct fault_case cases[] = {
    {"complete answer", FAKE_OK, 1, "read", NULL, 200, "ran", 1},
    {"truncated", FAKE_TRUNCATED, 1, "read", NULL, 504, "unknown", 1},
    {"over-long", FAKE_OVER_LONG, 1, "read", NULL, 504, "unknown", 1},
    {"wrong call id", FAKE_WRONG_ID, 1, "read", NULL, 504, "unknown", 1},
    {"closed at once", FAKE_CLOSE_BEFORE, 1, "read", NULL, 504, "unknown", 0},
    {"closed after the request", FAKE_CLOSE_AFTER, 1, "read", NULL, 504,
	"unknown", 1},
    {"closed in the headers", FAKE_CLOSE_IN_HEADERS, 1, "read", NULL, 504,
	"unknown", 1},
    {"closed between chunks", FAKE_CLOSE_IN_CHUNKS, 1, "read", NULL, 504,
	"unknown", 1},
    {"no length", FAKE_NO_LENGTH, 1, "read", NULL, 504, "unknown", 1},
    {"shed", FAKE_SHED, 1, "read", NULL, 503, "not-run", 0},
    {"not-run with 200", FAKE_FALSE_NOT_RUN, 1, "read", NULL, 504, "unknown",
	1},
    {"failed", FAKE_FAIL, 1, "read", NULL, 500, "failed", 1},
    {"unresponsive", FAKE_BLOCKED, 1, "read", "X-Ggs-Deadline-Ms: 300\n", 504,
	"unknown", 0},
    {"retried after a close", FAKE_CLOSE_AFTER, 1, "again", NULL, 200, "ran",
	2},
    {"retried after a truncated answer", FAKE_TRUNCATED, 1, "again", NULL, 200,
	"ran", 2},
    {"retried after a failure", FAKE_FAIL, 1, "again", NULL, 200, "ran", 2},
    {"once: complete answer", FAKE_OK, 1, "pay", "Idempotency-Key: k\n", 200,
	"ran", 1},
    {"once: closed after the request", FAKE_CLOSE_AFTER, 1, "pay",
	"Idempotency-Key: k\n", 504, "unknown", 1},
    {"once: truncated", FAKE_TRUNCATED, 1, "pay", "Idempotency-Key: k\n", 504,
	"unknown", 1},
    {"once: failed", FAKE_FAIL, 1, "pay", "Idempotency-Key: k\n", 500, "failed",
	1},
    {"once: shed, then sent again", FAKE_SHED, 1, "pay", "Idempotency-Key: k\n",
	200, "ran", 1},
    {"once: no key", FAKE_OK, 1, "pay", NULL, 400, "not-run", 0},
    {"unknown kind", FAKE_OK, 1, "nothing", NULL, 404, "not-run", 0},
    {"no endpoint set", FAKE_OK, 1, "lost", NULL, 503, "not-run", 0},
    {"deadline passed", FAKE_OK, 1, "read", "X-Ggs-Deadline-Ms: 0\n", 503,
	"not-run", 0},
    {"depth above the limit", FAKE_OK, 1, "read", "X-Ggs-Depth: 900\n", 503,
	"not-run", 0},
};

struct answer_case {
	const char *name;
	const char *text; /* the call id is added after the first line */
	bool closes; /* the connection after it */
	int status;
	const char *body;
};

#define OK "HTTP/1.1 200 OK\r\n"
#define STATUS(status) "HTTP/1.1 " status " X\r\nContent-Length: 4\r\n\r\nbody"
#define CODING(coding)                             \
	OK "Transfer-Encoding: " coding "\r\n\r\n" \
	   "4\r\nbody\r\n0\r\n\r\n"

static const struct answer_case answer_cases[] = {
    {"length", STATUS("200"), false, 200, "body"},
    {"failure", STATUS("599"), false, 599, "body"},
    {"chunks", CODING("chunked"), false, 200, "body"},
    {"chunks and a trailer",
	OK "Transfer-Encoding: chunked\r\n\r\n"
	   "4\r\nbody\r\n0\r\nA: b\r\n\r\n",
	false, 200, "body"},
    {"status 000", STATUS("000"), false, 504, ""},
    {"status 000 until close", "HTTP/1.1 000 X\r\n\r\nbody", true, 504, ""},
    {"status 099", STATUS("099"), false, 504, ""},
    {"status 600", STATUS("600"), false, 504, ""},
    {"status of four digits", STATUS("2000"), false, 504, ""},
    {"status with a letter", STATUS("200X"), false, 504, ""},
    {"blank in a name", OK "A b: c\r\nContent-Length: 4\r\n\r\nbody", false,
	504, ""},
    {"control byte in a name", OK "A\x01: c\r\nContent-Length: 4\r\n\r\nbody",
	false, 504, ""},
    {"blank before a colon", OK "Content-Length : 4\r\n\r\nbody", true, 504,
	""},
    {"blank before a colon, with a length",
	OK "A : b\r\nContent-Length: 4\r\n\r\nbody", false, 504, ""},
    {"blank before a name", OK "A: b\r\n Content-Length: 4\r\n\r\nbody", true,
	504, ""},
    {"blank before a name after an empty value",
	OK "A:\r\n Content-Length: 4\r\n\r\nbody", true, 504, ""},
    {"joined line", OK "A: b\r\n c: d\r\nContent-Length: 4\r\n\r\nbody", false,
	504, ""},
    {"control byte in a value", OK "A: b\x01\r\nContent-Length: 4\r\n\r\nbody",
	false, 504, ""},
    {"coding before chunked", CODING("gzip, chunked"), false, 504, ""},
    {"coding only", OK "Transfer-Encoding: identity\r\n\r\nbody", true, 504,
	""},
    {"chunked twice", CODING("chunked, chunked"), true, 504, ""},
    {"chunked with a parameter", CODING("chunked;q=1"), true, 504, ""},
    {"chunked in two lines",
	OK "Transfer-Encoding: chunked\r\n"
	   "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	false, 504, ""},
    {"coding and length",
	OK "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
	   "4\r\nbody\r\n0\r\n\r\n",
	false, 504, ""},
    {"length and coding",
	OK "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
	   "4\r\nbody\r\n0\r\n\r\n",
	false, 504, ""},
    {"two lengths", OK "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
	false, 504, ""},
    {"unasked change of the protocol", "HTTP/1.1 101 X\r\n\r\n", false, 504,
	""},
    {"chunk longer than its size",
	OK "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyXY0\r\n\r\n", false, 504,
	""},
    {"blank in a name of a trailer",
	OK "Transfer-Encoding: chunked\r\n\r\n"
	   "4\r\nbody\r\n0\r\nA b: c\r\n\r\n",
	false, 504, ""},
};

/* Listed in KNOWN-RED.txt: libcurl skips what follows a chunk's size. */
static const struct answer_case known_red_case = {"text after a chunk size",
    OK "Transfer-Encoding: chunked\r\n\r\n4 x\r\nbody\r\n0\r\n\r\n", false, 504,
    ""};

#define ANSWER_CASES (int)(sizeof(answer_cases) / sizeof(answer_cases[0]))

#define CASES (int)(sizeof(cases) / sizeof(cases[0]))

static void run_case(const struct fault_case *c, bool hop);
static void run_answer_case(const struct answer_case *c, bool hop);

/*
 * Guards against answers that belong to another call or are incomplete, wrong
 * outcomes and repeated work when the node's own backend server is faulty.
 */
START_TEST(faults_at_the_serving_node)
{
	run_case(&cases[_i], false);
}
END_TEST

/* Guards against the same failures over the hop from an entry node. */
START_TEST(faults_over_a_hop)
{
	run_case(&cases[_i], true);
}
END_TEST

/*
 * Guards against an answer that is passed on although it cannot be one, or that
 * fails only at the deadline; and against a sound one that does not arrive.
 */
START_TEST(answers_at_the_serving_node)
{
	run_answer_case(&answer_cases[_i], false);
}
END_TEST

/* Guards against the same failures over the hop from an entry node. */
START_TEST(answers_over_a_hop)
{
	run_answer_case(&answer_cases[_i], true);
}
END_TEST

/* Guards against a chunk whose size is not only a size; _i: over a hop. */
START_TEST(text_after_a_chunk_size_is_no_answer)
{
	run_answer_case(&known_red_case, _i == 1);
}
END_TEST

/* Guards against an unreachable server that is reported as unknown. */
START_TEST(refused_connection_is_not_run)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = true};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	close_fake_backend(fx.backends[0]);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 503);
	ck_assert_str_eq(r.outcome, "not-run");
	fx.backends[0] = open_fake_backend();
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a retry's "not run" that is reported although the first
 * attempt may have run.
 */
START_TEST(not_run_after_an_unknown_attempt_is_unknown)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = _i == 1};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_CLOSE_AFTER, 1);
	set_fake_later_mode(fx.backends[0], FAKE_SHED);
	call_proxy_fixture(&fx, "again", NULL, &r);
	ck_assert_int_eq(r.status, 504);
	ck_assert_str_eq(r.outcome, "unknown");
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 1);
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a surplus answer on a reused connection that is taken for the
 * answer to the next call.
 */
START_TEST(late_answer_reaches_no_other_call)
{
	struct proxy_fixture_config cfg = {.nodes = 1};
	struct fake_reply r;
	struct proxy_fixture fx;
	char want[128];

	open_proxy_fixture(&fx, &cfg);
	set_fake_mode(fx.backends[0], FAKE_TWICE, 1);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_str_eq(r.outcome, "unknown");
	for (int i = 0; i < 20; i++) {
		call_proxy_fixture(&fx, "read", NULL, &r);
		ck_assert_int_eq(r.status, 200);
		snprintf(want, sizeof(want), "ran:%s", r.call_id);
		ck_assert_str_eq(r.body, want);
	}
	close_proxy_fixture(&fx);
}
END_TEST

/* Guards against failed or repeated calls when one endpoint is unreachable. */
START_TEST(retry_goes_to_another_endpoint)
{
	struct proxy_fixture_config cfg = {.nodes = 2, .entry = true};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	close_fake_backend(fx.backends[0]);
	for (int i = 0; i < 10; i++) {
		call_proxy_fixture(&fx, "again", NULL, &r);
		ck_assert_int_eq(r.status, 200);
		ck_assert_str_eq(r.outcome, "ran");
	}
	ck_assert_int_eq(count_fake_runs(fx.backends[1]), 10);
	fx.backends[0] = open_fake_backend();
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against a hedged call that is answered twice, that waits for a blocked
 * attempt although another one can answer, or that goes on after its deadline.
 */
START_TEST(hedge_wins_and_the_loser_is_cancelled)
{
	struct proxy_fixture_config cfg = {.nodes = 2, .entry = true};
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	for (int i = 0; i < 20; i++)
		call_proxy_fixture(&fx, "hedged", NULL, &r);
	set_fake_mode(fx.backends[0], FAKE_BLOCKED, 1);
	set_fake_mode(fx.backends[1], FAKE_BLOCKED, 1);
	call_proxy_fixture(&fx, "hedged", "X-Ggs-Deadline-Ms: 1000\n", &r);
	/* both attempts block: the deadline ends the call and cancels them */
	ck_assert_str_eq(r.outcome, "unknown");
	set_fake_mode(fx.backends[0], FAKE_OK, 0);
	set_fake_mode(fx.backends[1], FAKE_BLOCKED, 1000);
	/* three calls, because a hedge takes two of the row's ten tokens */
	for (int i = 0; i < 3; i++) {
		call_proxy_fixture(&fx, "hedged", NULL, &r);
		ck_assert_int_eq(r.status, 200);
	}
	close_proxy_fixture(&fx);
}
END_TEST

/*
 * Guards against an endpoint that is ejected for client errors (404). The same
 * calls with status 500 show that ejection works.
 */
START_TEST(only_server_faults_count_towards_ejection)
{
	struct proxy_fixture_config cfg = {.nodes = 2, .entry = true};
	struct fake_reply r;
	struct proxy_fixture fx;
	struct buf b = {0};

	open_proxy_fixture(&fx, &cfg);
	for (int i = 0; i < 2; i++)
		set_fake_mode(fx.backends[i],
		    _i == 0 ? FAKE_NOT_FOUND : FAKE_FAIL, EJECT_CALLS);
	for (int i = 0; i < EJECT_CALLS; i++) {
		call_proxy_fixture(&fx, "read", NULL, &r);
		ck_assert_int_eq(r.status, _i == 0 ? 404 : 500);
		ck_assert_str_eq(r.outcome, "failed");
	}
	ck_assert_int_eq(render_proxy_status(fx.entry, &b), 0);
	ck_assert_msg((strstr(b.data, "\"ejected\":0,") != NULL) == (_i == 0),
	    "%s", b.data);
	unload_buf(&b);
	close_proxy_fixture(&fx);
}
END_TEST

static void
run_case(const struct fault_case *c, bool hop)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = hop};
	struct fake_reply r;
	struct proxy_fixture fx;
	int before;
	char want[128];

	open_proxy_fixture(&fx, &cfg);
	/* leaves an idle connection in the pool before the fault */
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_msg(r.status == 200, "%s: warm-up got %d", c->name, r.status);
	before = count_fake_runs(fx.backends[0]);
	set_fake_mode(fx.backends[0], c->mode, c->times);
	call_proxy_fixture(&fx, c->kind, c->more, &r);
	ck_assert_msg(r.status == c->status, "%s: status %d (%s, %s)", c->name,
	    r.status, r.outcome, r.reason);
	ck_assert_msg(strcmp(r.outcome, c->outcome) == 0, "%s: outcome %s",
	    c->name, r.outcome);
	ck_assert_msg(r.complete, "%s: the answer is incomplete", c->name);
	if (r.status == 200) {
		snprintf(want, sizeof(want), "ran:%s", r.call_id);
		ck_assert_str_eq(r.body, want);
	}
	ck_assert_msg(count_fake_runs(fx.backends[0]) - before == c->runs,
	    "%s: %d runs", c->name, count_fake_runs(fx.backends[0]) - before);
	close_proxy_fixture(&fx);
}

static void
run_answer_case(const struct answer_case *c, bool hop)
{
	struct proxy_fixture_config cfg = {.nodes = 1, .entry = hop};
	struct clock_source clock = get_real_clock();
	int64_t start = read_mono(&clock);
	struct fake_reply r;
	struct proxy_fixture fx;

	open_proxy_fixture(&fx, &cfg);
	set_fake_text(fx.backends[0], c->text, c->closes);
	set_fake_mode(fx.backends[0], FAKE_TEXT, 1);
	call_proxy_fixture(&fx, "read", DEADLINE, &r);
	ck_assert_msg(r.status == c->status && r.complete, "%s: status %d (%s)",
	    c->name, r.status, r.outcome);
	if (c->status == 504)
		ck_assert_str_eq(r.outcome, "unknown");
	else
		ck_assert_str_eq(r.body, c->body);
	ck_assert_msg(read_mono(&clock) - start < DEADLINE_NS,
	    "%s: not before the deadline", c->name);
	ck_assert_int_eq(count_fake_runs(fx.backends[0]), 1);
	call_proxy_fixture(&fx, "read", NULL, &r);
	ck_assert_int_eq(r.status, 200);
	close_proxy_fixture(&fx);
}

int
main(void)
{
	Suite *s = suite_create("faults");
	TCase *t = tcase_create("faults"), *red = tcase_create("known red");
	bool all = getenv("GGS_KNOWN_RED") != NULL;
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, faults_at_the_serving_node, 0, CASES);
	tcase_add_loop_test(t, faults_over_a_hop, 0, CASES);
	tcase_add_loop_test(t, answers_at_the_serving_node, 0, ANSWER_CASES);
	tcase_add_loop_test(t, answers_over_a_hop, 0, ANSWER_CASES);
	tcase_add_test(t, refused_connection_is_not_run);
	tcase_add_loop_test(
	    t, not_run_after_an_unknown_attempt_is_unknown, 0, 2);
	tcase_add_test(t, late_answer_reaches_no_other_call);
	tcase_add_test(t, retry_goes_to_another_endpoint);
	tcase_add_test(t, hedge_wins_and_the_loser_is_cancelled);
	tcase_add_loop_test(t, only_server_faults_count_towards_ejection, 0, 2);
	tcase_set_timeout(red, 60);
	tcase_set_tags(red, "known-red");
	tcase_add_loop_test(red, text_after_a_chunk_size_is_no_answer, 0, 2);
	suite_add_tcase(s, t);
	suite_add_tcase(s, red);
	r = srunner_create(s);
	srunner_run_tagged(
	    r, NULL, NULL, NULL, all ? NULL : "known-red", CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
