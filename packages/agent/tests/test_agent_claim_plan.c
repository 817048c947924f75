/*
 * The claim plan: what is reported to the caller, and what is closed afterwards
 * in the background.
 */
#include <check.h>
#include <stdlib.h>

#include "agent_claim_plan.h"

#define MS(n) ((int64_t)(n)*NSEC_PER_MSEC)
#define START MS(5000)
#define ANSWERS_MAX 4

/* One answer: RPC status, wire status, duration in ms. */
struct fake_answer {
	int rpc, wire, ms;
};

struct claim_case {
	const char *name;
	bool opening;
	int timeout_ms;
	struct fake_answer answers[ANSWERS_MAX]; /* the last one repeats */
	int answer_count;
	int want; /* status reported */
	enum claim_phase want_phase; /* after the report */
};

static const struct claim_case claim_cases[] = {
    {"granted", true, 1000, {{0, WIRE_OK, 5}}, 1, 0, CLAIM_ENDED},
    {"held by another", true, 1000, {{0, WIRE_CONFLICT, 5}}, 1, ERR_CONFLICT,
	CLAIM_ENDED},
    {"store full", true, 1000, {{0, WIRE_LIMIT, 5}}, 1, ERR_LIMIT, CLAIM_ENDED},
    {"lost answer, then granted", true, 3000,
	{{ERR_TIMEOUT, 0, 500}, {0, WIRE_OK, 5}}, 2, 0, CLAIM_ENDED},
    {"lost answer, then held", true, 3000,
	{{ERR_TIMEOUT, 0, 500}, {0, WIRE_CONFLICT, 5}}, 2, ERR_CONFLICT,
	CLAIM_CLOSING}, /* the lost attempt may have opened it */
    {"stale control, then granted", true, 3000,
	{{0, WIRE_STALE, 5}, {0, WIRE_OK, 5}}, 2, 0, CLAIM_ENDED},
    {"all controls unreachable", true, 1000, {{ERR_UNAVAILABLE, 0, 10}}, 1,
	ERR_UNAVAILABLE, CLAIM_ENDED},
    {"all controls stale", true, 1000, {{0, WIRE_STALE, 10}}, 1,
	ERR_UNAVAILABLE, CLAIM_ENDED},
    {"no quorum", true, 1000, {{0, WIRE_UNAVAILABLE, 10}}, 1, ERR_UNAVAILABLE,
	CLAIM_CLOSING},
    {"unknown outcome", true, 1000, {{0, WIRE_UNKNOWN, 10}}, 1, ERR_UNAVAILABLE,
	CLAIM_CLOSING},
    {"timeout at the control process", true, 1000, {{0, WIRE_TIMEOUT, 10}}, 1,
	ERR_UNAVAILABLE, CLAIM_CLOSING},
    {"no answer in time", true, 1000, {{ERR_TIMEOUT, 0, 667}}, 1,
	ERR_UNAVAILABLE, CLAIM_CLOSING},
    {"one lost answer, then unreachable", true, 2000,
	{{ERR_TIMEOUT, 0, 500}, {ERR_UNAVAILABLE, 0, 10}}, 2, ERR_UNAVAILABLE,
	CLAIM_CLOSING},
    {"closed", false, 1000, {{0, WIRE_OK, 5}}, 1, 0, CLAIM_ENDED},
    {"closed after a lost answer", false, 3000,
	{{ERR_TIMEOUT, 0, 500}, {0, WIRE_OK, 5}}, 2, 0, CLAIM_ENDED},
    {"close of an unknown claim", false, 1000, {{0, WIRE_NOT_FOUND, 5}}, 1,
	ERR_NOT_FOUND, CLAIM_ENDED},
    {"close refused by a full store", false, 1000, {{0, WIRE_LIMIT, 5}}, 1,
	ERR_LIMIT, CLAIM_CLOSING},
    {"close without any answer", false, 1000, {{ERR_TIMEOUT, 0, 700}}, 1,
	ERR_UNKNOWN, CLAIM_CLOSING},
    {"close with all controls unreachable", false, 1000,
	{{ERR_UNAVAILABLE, 0, 10}}, 1, ERR_UNKNOWN, CLAIM_CLOSING},
};

/* Runs the plan until it reports; returns the status. */
static int
run_plan(struct claim_plan *p, const struct claim_case *c, struct rng *r,
    int64_t *now)
{
	int i = 0, status;

	for (;;) {
		struct claim_step s = get_claim_step(p, *now);
		const struct fake_answer *a = &c->answers[i];

		switch (s.action) {
		case CLAIM_WAIT:
			ck_assert_int_gt(s.until, *now);
			*now = s.until;
			continue;
		case CLAIM_REPORT:
			return handle_claim_timeout(p, *now);
		case CLAIM_FINISH:
			ck_abort_msg("%s: ended unreported", c->name);
		case CLAIM_SEND:
			break;
		}
		ck_assert_int_gt(s.timeout_ms, 0);
		ck_assert_int_le(
		    *now + MS(s.timeout_ms), START + MS(c->timeout_ms));
		record_claim_sent(p);
		ck_assert_int_eq(get_claim_step(p, *now).action, CLAIM_WAIT);
		*now += MS(a->ms < s.timeout_ms ? a->ms : s.timeout_ms);
		if (i + 1 < c->answer_count)
			i++;
		if (handle_claim_answer(p,
			classify_claim_answer(a->rpc, a->wire), r, *now,
			&status))
			return status;
	}
}

/*
 * Guards against a claim that stays open although it was reported as not
 * granted, and against a report after the caller's deadline.
 */
START_TEST(ungranted_open_is_closed_as_not_run)
{
	const struct claim_case *c = &claim_cases[_i];
	int64_t now = START;
	struct claim_plan p;
	struct rng r;

	seed_rng(&r, 11);
	start_claim_plan(&p, c->opening, c->timeout_ms, 60, now);
	ck_assert_msg(run_plan(&p, c, &r, &now) == c->want, "%s", c->name);
	ck_assert_msg(p.phase == c->want_phase, "%s", c->name);
	ck_assert_int_le(now, START + MS(c->timeout_ms));
	if (p.phase != CLAIM_CLOSING)
		return;
	ck_assert_int_eq(get_claim_step(&p, now).action, CLAIM_SEND);
	ck_assert_int_eq(
	    get_claim_state(&p, c->opening ? WIRE_CLAIM_OPEN : WIRE_CLAIM_RAN),
	    c->opening ? WIRE_CLAIM_NOT_RUN : WIRE_CLAIM_RAN);
}
END_TEST

struct closing_case {
	struct fake_answer answer;
	bool ends;
};

static const struct closing_case closing_cases[] = {
    {{0, WIRE_OK, 5}, true},
    {{0, WIRE_NOT_FOUND, 5}, true},
    {{0, WIRE_CONFLICT, 5}, true},
    {{0, WIRE_LIMIT, 5}, false},
    {{0, WIRE_DENIED, 5}, false},
    {{0, WIRE_STALE, 5}, false},
    {{0, WIRE_UNAVAILABLE, 5}, false},
    {{ERR_TIMEOUT, 0, 5}, false},
    {{ERR_UNAVAILABLE, 0, 5}, false},
};

/* Guards against a background close that ends before it is confirmed. */
START_TEST(closing_lasts_until_it_is_confirmed)
{
	const struct closing_case *c = &closing_cases[_i];
	int64_t now = START;
	struct claim_plan p;
	int status, sends = 0;
	struct rng r;

	seed_rng(&r, 11);
	start_claim_plan(&p, true, 1000, 3600, now);
	p.phase = CLAIM_CLOSING;
	while (now < START + MS(600000) && p.phase == CLAIM_CLOSING) {
		struct claim_step s = get_claim_step(&p, now);

		if (s.action == CLAIM_WAIT) {
			now = s.until;
			continue;
		}
		ck_assert_int_eq(s.action, CLAIM_SEND);
		record_claim_sent(&p);
		sends++;
		now += MS(c->answer.ms);
		ck_assert(!handle_claim_answer(&p,
		    classify_claim_answer(c->answer.rpc, c->answer.wire), &r,
		    now, &status));
	}
	ck_assert_int_eq(p.phase == CLAIM_ENDED, c->ends);
	if (c->ends)
		ck_assert_int_eq(sends, 1);
	else
		ck_assert_int_le(sends, 300); /* bounded by the backoff */
}
END_TEST

/* Guards against closing a claim that control processes no longer store. */
START_TEST(closing_ends_with_the_retention)
{
	struct claim_plan p;

	start_claim_plan(&p, true, 1000, 0, START);
	p.phase = CLAIM_CLOSING;
	ck_assert_int_eq(
	    get_claim_step(&p, START + MS(60999)).action, CLAIM_SEND);
	ck_assert_int_eq(
	    get_claim_step(&p, START + MS(61000)).action, CLAIM_FINISH);
}
END_TEST

/* Guards against an unresponsive control process that uses up the deadline. */
START_TEST(unresponsive_control_leaves_time_for_another)
{
	struct claim_plan p;
	struct rng r;
	int status;

	seed_rng(&r, 11);
	start_claim_plan(&p, true, 2000, 60, START);
	for (int i = 0; i < 2; i++) {
		int64_t now = START + MS(i * 1500);
		struct claim_step s = get_claim_step(&p, now);

		ck_assert_int_eq(s.action, CLAIM_SEND);
		ck_assert_int_le(s.timeout_ms, 1334);
		record_claim_sent(&p);
		ck_assert(!handle_claim_answer(&p,
		    classify_claim_answer(ERR_TIMEOUT, 0), &r, now + MS(10),
		    &status));
	}
}
END_TEST

/* Guards against retries of waiting callers that overload control processes. */
START_TEST(retries_of_a_waiting_caller_are_spread)
{
	int64_t now = START;
	struct claim_plan p;
	int status, sends = 0;
	struct rng r;

	seed_rng(&r, 11);
	start_claim_plan(&p, true, 20000, 60, now);
	while (p.phase == CLAIM_REQUESTING) {
		struct claim_step s = get_claim_step(&p, now);

		if (s.action == CLAIM_WAIT) {
			now = s.until;
			continue;
		}
		if (s.action == CLAIM_REPORT) {
			(void)handle_claim_timeout(&p, now);
			break;
		}
		record_claim_sent(&p);
		sends++;
		(void)handle_claim_answer(&p,
		    classify_claim_answer(0, WIRE_UNAVAILABLE), &r, now,
		    &status);
	}
	/* 20 s / 250 ms (mean delay) = 80; twice that allows for the jitter */
	ck_assert_int_ge(sends, 10);
	ck_assert_int_le(sends, 160);
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_claim");
	TCase *t = tcase_create("claims");
	SRunner *run;
	int failed;

	tcase_add_loop_test(
	    t, ungranted_open_is_closed_as_not_run, 0, COUNT(claim_cases));
	tcase_add_loop_test(
	    t, closing_lasts_until_it_is_confirmed, 0, COUNT(closing_cases));
	tcase_add_test(t, closing_ends_with_the_retention);
	tcase_add_test(t, unresponsive_control_leaves_time_for_another);
	tcase_add_test(t, retries_of_a_waiting_caller_are_spread);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
