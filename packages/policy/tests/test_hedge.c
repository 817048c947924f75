/*
 * Hedged sends under a tail of slow answers, and what keeps them back.
 */
#include <check.h>
#include <stdlib.h>

#include "hedge.h"

#define MS NSEC_PER_MSEC
#define START (1000 * MS)
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Of 100 answers: how many take the typical time, the others the slow one. */
struct plan_case {
	const char *name;
	int typical_ms, slow_ms, slow;
	double share;
	int target_ms, deadline_ms; /* after the send */
	int from_ms, to_ms; /* wanted, after the send; 0: no hedge */
};

static const struct plan_case plan_cases[] = {
    {"a tail of 3 in 100: after the others", 200, 1400, 3, 0.05, 600, 4000, 200,
	260},
    {"the tail begins after the target: the last moment for the target", 200,
	1400, 15, 0.05, 600, 4000, 340, 420},
    {"a slow service: its typical time misses the target, the deadline counts",
	900, 1400, 3, 0.05, 600, 4000, 900, 1150},
    {"nothing can be in time", 900, 1400, 3, 0.05, 600, 1200, 0, 0},
    {"no share", 200, 1400, 3, 0, 600, 4000, 0, 0},
};

/* Guards against hedges by a constant, too late for the target, or useless. */
START_TEST(hedge_is_planned_by_recent_answers)
{
	const struct plan_case *c = &plan_cases[_i];
	struct answer_times t = {0};
	int64_t at;

	for (int i = 0; i < 100; i++)
		add_answer_time(
		    &t, (i < c->slow ? c->slow_ms : c->typical_ms) * MS);
	at = plan_hedge(&t, c->share, START, START + c->target_ms * MS,
	    START + c->deadline_ms * MS);
	if (c->to_ms == 0) {
		ck_assert_msg(at == 0, "%s", c->name);
		return;
	}
	ck_assert_msg(
	    at >= START + c->from_ms * MS && at <= START + c->to_ms * MS,
	    "%s: %lld ms", c->name, (long long)((at - START) / MS));
}
END_TEST

/* Guards against a delay from a handful of answers. */
START_TEST(few_answers_give_no_plan)
{
	struct answer_times t = {0};

	for (int i = 0; i < 19; i++)
		add_answer_time(&t, 100 * MS);
	ck_assert_int_eq(
	    plan_hedge(&t, 0.1, START, START + 600 * MS, START + 4000 * MS), 0);
}
END_TEST

/* Guards against old answers that set the delay after the service changed. */
START_TEST(delay_follows_the_service)
{
	struct answer_times t = {0};

	for (int i = 0; i < 2000; i++)
		add_answer_time(&t, 100 * MS);
	for (int i = 0; i < 1500; i++)
		add_answer_time(&t, 800 * MS);
	ck_assert_int_ge(get_answer_quantile(&t, 0.5), 800 * MS);
}
END_TEST

struct decision_case {
	const char *name;
	struct hedge_input in; /* times relative to START */
	double tokens;
	enum hedge_refusal want;
};

#define INPUT(late_ms, left_ms, arrivals_, slots_, calls_, server)       \
	{                                                                \
		.now = START + (late_ms)*MS, .planned_at = START,        \
		.deadline = START + (late_ms)*MS + (left_ms)*MS,         \
		.typical_ns = 200 * MS, .arrivals = (arrivals_),         \
		.attempts_max = 2, .slots = (slots_), .calls = (calls_), \
		.has_server = (server)                                   \
	}

static const struct decision_case decision_cases[] = {
    {"a slow server among free ones", INPUT(0, 3000, 1, 360, 180, true), 1,
	HEDGE_ALLOWED},
    {"a full service", INPUT(0, 3000, 1, 360, 355, true), 1, HEDGE_ROOM},
    {"a wave that fills three of four slots", INPUT(0, 3000, 1, 360, 270, true),
	1, HEDGE_ROOM},
    {"no load report at all", INPUT(0, 3000, 1, 0, 1, true), 1, HEDGE_ROOM},
    {"no other free server", INPUT(0, 3000, 1, 360, 180, false), 1,
	HEDGE_SERVER},
    {"the row's share is used up", INPUT(0, 3000, 1, 360, 180, true), 0.9,
	HEDGE_SHARE},
    {"the row's attempts are used up", INPUT(0, 3000, 2, 360, 180, true), 1,
	HEDGE_ATTEMPTS},
    {"the deadline is near", INPUT(0, 150, 1, 360, 180, true), 1, HEDGE_LATE},
    {"the process was suspended", INPUT(900, 3000, 1, 360, 180, true), 1,
	HEDGE_OVERDUE},
};

/* Guards against hedges that cost other calls their room. */
START_TEST(hedge_gives_way)
{
	const struct decision_case *c = &decision_cases[_i];
	struct hedge_budget b = {c->tokens};
	enum hedge_refusal got = decide_hedged_send(&c->in, &b);

	ck_assert_msg(
	    got == c->want, "%s: %s", c->name, get_hedge_refusal_name(got));
	ck_assert_msg(b.tokens == c->tokens - (got == HEDGE_ALLOWED ? 1 : 0),
	    "%s: token", c->name);
}
END_TEST

/* Guards against more hedges than the operators' share of the calls. */
START_TEST(hedges_keep_the_share)
{
	const struct hedge_input in = INPUT(0, 3000, 1, 360, 100, true);
	struct hedge_budget b = {0};
	int sent = 0;

	for (int i = 0; i < 10000; i++) {
		add_hedge_tokens(&b, 0.05);
		sent += decide_hedged_send(&in, &b) == HEDGE_ALLOWED ? 1 : 0;
	}
	ck_assert_int_ge(sent, 495);
	ck_assert_int_le(sent, 500);
	for (int i = 0; i < 10000; i++)
		add_hedge_tokens(&b, 0.05);
	ck_assert_double_le(b.tokens, 3.0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("hedge");
	TCase *t = tcase_create("hedge");
	SRunner *r;
	int failed;

	tcase_add_loop_test(
	    t, hedge_is_planned_by_recent_answers, 0, COUNT(plan_cases));
	tcase_add_test(t, few_answers_give_no_plan);
	tcase_add_test(t, delay_follows_the_service);
	tcase_add_loop_test(t, hedge_gives_way, 0, COUNT(decision_cases));
	tcase_add_test(t, hedges_keep_the_share);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
