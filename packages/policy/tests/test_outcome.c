/*
 * Outcomes, deadlines and the concurrency limit, by tables of cases.
 */
#include <check.h>
#include <stdlib.h>

#include "deadline.h"
#include "limiter.h"
#include "outcome.h"

#define MS NSEC_PER_MSEC

/* One case, run with a repeatable row and with another. */
struct outcome_case {
	struct attempt_facts facts;
	enum call_outcome want;
	bool retry_once; /* may_retry if the row is not repeatable */
	bool retry_repeatable; /* may_retry if it is */
	bool close;
	int status;
};

#define ANSWER(st) .end = ATTEMPT_ANSWERED, .bytes_sent = true, .status = (st)
#define COMPLETE .body_ended = true
#define FROM_NODE \
	.call_id_required = true, .has_call_id = true, .call_id_matches = true
#define HAS_OUTCOME(o) .has_outcome = true, .outcome = (o)

static const struct outcome_case outcome_cases[] = {
    /* Nothing was sent. */
    {{.end = ATTEMPT_NOT_CONNECTED}, OUTCOME_NOT_RUN, true, true, true, 503},
    {{.end = ATTEMPT_NOT_CONNECTED, .bytes_sent = true}, OUTCOME_NOT_RUN, true,
	true, true, 503},
    {{.end = ATTEMPT_BROKEN}, OUTCOME_NOT_RUN, true, true, true, 503},
    {{.end = ATTEMPT_TIMEOUT}, OUTCOME_NOT_RUN, true, true, true, 503},
    {{.end = ATTEMPT_CANCELLED}, OUTCOME_NOT_RUN, false, false, true, 503},
    /* An answer to an earlier request on the connection. */
    {{.end = ATTEMPT_ANSWERED, .status = 408, COMPLETE}, OUTCOME_NOT_RUN, true,
	true, true, 503},
    /* A byte may have reached the server. */
    {{.end = ATTEMPT_BROKEN, .bytes_sent = true}, OUTCOME_UNKNOWN, false, true,
	true, 504},
    {{.end = ATTEMPT_TIMEOUT, .bytes_sent = true}, OUTCOME_UNKNOWN, false, true,
	true, 504},
    {{.end = ATTEMPT_CANCELLED, .bytes_sent = true}, OUTCOME_UNKNOWN, false,
	false, true, 504},
    /* Answers of a backend server. */
    {{ANSWER(200), COMPLETE}, OUTCOME_RAN, false, false, false, 200},
    {{ANSWER(302), COMPLETE}, OUTCOME_RAN, false, false, false, 302},
    {{ANSWER(404), COMPLETE}, OUTCOME_FAILED, false, false, false, 404},
    {{ANSWER(429), COMPLETE}, OUTCOME_FAILED, false, false, false, 429},
    {{ANSWER(500), COMPLETE}, OUTCOME_FAILED, false, true, false, 500},
    {{ANSWER(503), COMPLETE}, OUTCOME_FAILED, false, true, false, 503},
    {{ANSWER(503), COMPLETE, HAS_OUTCOME(OUTCOME_NOT_RUN)}, OUTCOME_NOT_RUN,
	true, true, false, 503},
    {{ANSWER(200), COMPLETE, HAS_OUTCOME(OUTCOME_NOT_RUN)}, OUTCOME_UNKNOWN,
	false, true, true, 504},
    {{ANSWER(500), COMPLETE, HAS_OUTCOME(OUTCOME_NOT_RUN)}, OUTCOME_UNKNOWN,
	false, true, true, 504},
    {{ANSWER(200), COMPLETE, HAS_OUTCOME(OUTCOME_FAILED)}, OUTCOME_UNKNOWN,
	false, true, true, 504},
    {{ANSWER(500), COMPLETE, HAS_OUTCOME(OUTCOME_RAN)}, OUTCOME_FAILED, false,
	true, false, 500},
    {{ANSWER(100), COMPLETE}, OUTCOME_UNKNOWN, false, true, true, 504},
    {{ANSWER(0), COMPLETE}, OUTCOME_UNKNOWN, false, true, true, 504},
    /* Damaged answers, also with outcome not-run. */
    {{ANSWER(200)}, OUTCOME_UNKNOWN, false, true, true, 504},
    {{ANSWER(503), HAS_OUTCOME(OUTCOME_NOT_RUN)}, OUTCOME_UNKNOWN, false, true,
	true, 504},
    {{ANSWER(200), COMPLETE, .has_length = true, .length = 10, .received = 9},
	OUTCOME_UNKNOWN, false, true, true, 504},
    {{ANSWER(200), COMPLETE, .has_length = true, .length = 10, .received = 11},
	OUTCOME_UNKNOWN, false, true, true, 504},
    {{ANSWER(200), COMPLETE, .has_length = true, .length = 10, .received = 10},
	OUTCOME_RAN, false, false, false, 200},
    {{ANSWER(304), COMPLETE, .has_length = true, .length = 10}, OUTCOME_RAN,
	false, false, false, 304},
    {{ANSWER(200), COMPLETE, .has_call_id = true}, OUTCOME_UNKNOWN, false, true,
	true, 504},
    {{ANSWER(503), COMPLETE, .has_call_id = true, HAS_OUTCOME(OUTCOME_NOT_RUN)},
	OUTCOME_UNKNOWN, false, true, true, 504},
    /* Answers of a serving node. */
    {{ANSWER(200), COMPLETE, FROM_NODE, HAS_OUTCOME(OUTCOME_RAN)}, OUTCOME_RAN,
	false, false, false, 200},
    {{ANSWER(200), COMPLETE, FROM_NODE}, OUTCOME_UNKNOWN, false, true, true,
	504},
    {{ANSWER(200), COMPLETE, .call_id_required = true,
	 HAS_OUTCOME(OUTCOME_RAN)},
	OUTCOME_UNKNOWN, false, true, true, 504},
    {{ANSWER(504), COMPLETE, FROM_NODE, HAS_OUTCOME(OUTCOME_UNKNOWN)},
	OUTCOME_UNKNOWN, false, true, false, 504},
    {{ANSWER(404), COMPLETE, FROM_NODE, HAS_OUTCOME(OUTCOME_NOT_RUN)},
	OUTCOME_NOT_RUN, true, true, false, 404},
    {{ANSWER(404), COMPLETE, FROM_NODE, HAS_OUTCOME(OUTCOME_FAILED)},
	OUTCOME_FAILED, false, false, false, 404},
};

/*
 * Guards against a false "not run", after which a call that is not repeatable
 * would run twice, and against a damaged or foreign answer that is passed on as
 * a success.
 */
START_TEST(outcome_follows_the_facts)
{
	const struct outcome_case *c = &outcome_cases[_i];

	for (int rep = 0; rep < 2; rep++) {
		struct attempt_facts f = c->facts;
		struct attempt_verdict v;

		f.repeatable = rep != 0;
		v = classify_attempt(&f);
		ck_assert_int_eq(v.outcome, c->want);
		ck_assert_int_eq(v.may_retry,
		    rep != 0 ? c->retry_repeatable : c->retry_once);
		ck_assert_int_eq(v.close_connection, c->close);
		ck_assert_int_eq(v.status, c->status);
		ck_assert_ptr_nonnull(v.why);
	}
}
END_TEST

/*
 * Guards against header values that one node writes and another cannot parse.
 */
START_TEST(names_round_trip)
{
	for (int i = OUTCOME_RAN; i <= OUTCOME_UNKNOWN; i++) {
		enum call_outcome o;

		ck_assert_int_eq(
		    parse_outcome(make_str(get_outcome_name(i)), &o), 0);
		ck_assert_int_eq(o, i);
	}
	for (int i = REFUSE_NONE; i <= REFUSE_BODY_MEMORY; i++) {
		enum refuse_reason r;

		ck_assert_int_eq(
		    parse_refuse_reason(make_str(get_refuse_name(i)), &r), 0);
		ck_assert_int_eq(r, i);
	}
	ck_assert_int_eq(
	    parse_outcome(make_str("Ran"), &(enum call_outcome){0}),
	    ERR_NOT_FOUND);
}
END_TEST

struct deadline_case {
	int64_t header_ms;
	int32_t row_ms;
	int64_t hop_ns;
	int64_t start_ms; /* deadline of the call */
	int64_t pass_ms; /* header value 10 ms later */
};

static const struct deadline_case deadline_cases[] = {
    {DEADLINE_ABSENT, 2000, 0, 2000, 1990}, {500, 2000, 0, 500, 490},
    {5000, 2000, 0, 2000, 1990}, /* a caller cannot extend it */
    {0, 2000, 0, 0, 0}, {-7, 2000, 0, 0, 0}, {500, 2000, 2 * MS, 500, 488},
    {500, 2000, 1, 500, 489}, /* rounds down */
    {11, 2000, 2 * MS, 11, 0}, /* no time left for the call */
};

/* Guards against a deadline that grows from hop to hop. */
START_TEST(deadline_shrinks_on_each_hop)
{
	const struct deadline_case *c = &deadline_cases[_i];
	struct paused_clock pc = {.mono_ns = 77 * NSEC_PER_SEC};
	struct clock_source clock = get_paused_clock(&pc);
	int64_t now = read_mono(&clock);
	int64_t d = start_deadline(now, c->header_ms, c->row_ms);

	ck_assert_int_eq(d, now + c->start_ms * MS);
	advance_clock(&pc, 10 * MS);
	ck_assert_int_eq(
	    get_next_hop_deadline_ms(read_mono(&clock), d, c->hop_ns),
	    c->pass_ms);
	ck_assert(get_time_left(d + 1, d) == 0);
	ck_assert(!can_meet_deadline(d, d, 0));
	ck_assert(can_meet_deadline(d - MS, d, MS));
	ck_assert(!can_meet_deadline(d - MS, d, MS + 1));
}
END_TEST

/*
 * Adds n samples of a ratio, one every 10 ms; returns the time after the last.
 */
static int64_t
feed_limiter(struct limiter *l, double ratio, int n, int64_t now)
{
	for (int i = 0; i < n; i++) {
		now += 10 * MS;
		add_limiter_sample(l, ratio, now);
	}
	return now;
}

/*
 * Guards against a limit that ignores growing latency, falls below its minimum
 * or does not recover.
 */
START_TEST(limit_falls_with_latency_and_recovers)
{
	struct limiter l;
	int64_t now = 0;

	start_limiter(&l, 20, false, now);
	now = feed_limiter(&l, 1.1, 400, now);
	ck_assert_int_eq(get_limit(&l, now), 20);
	now = feed_limiter(&l, 2.5, 40, now);
	ck_assert_int_lt(get_limit(&l, now), 20);
	now = feed_limiter(&l, 2.5, 4000, now);
	ck_assert_int_eq(get_limit(&l, now), 4);
	now = feed_limiter(&l, 1.0, 400, now);
	ck_assert_int_eq(get_limit(&l, now), 20);
}
END_TEST

/* Guards against one slow call that lowers the limit of a healthy server. */
START_TEST(limit_ignores_a_single_slow_call)
{
	struct limiter l;
	int64_t now = 0;

	start_limiter(&l, 6, false, now);
	now = feed_limiter(&l, 1.0, 10, now);
	now = feed_limiter(&l, 1000.0, 1, now);
	now = feed_limiter(&l, 1.0, 10, now);
	ck_assert_int_eq(get_limit(&l, now), 6);
}
END_TEST

/*
 * Guards against sheds that do not lower the limit, and against one burst of
 * sheds that lowers it several times.
 */
START_TEST(sheds_lower_the_limit_once_per_burst)
{
	struct limiter l;
	int64_t now = 0;

	start_limiter(&l, 20, false, now);
	for (int i = 0; i < 10; i++)
		add_limiter_shed(&l, 12, now);
	ck_assert_int_eq(get_limit(&l, now), 11);
	add_limiter_shed(&l, 1, now + NSEC_PER_SEC);
	ck_assert_int_eq(get_limit(&l, now + NSEC_PER_SEC), 4);
}
END_TEST

/* Guards against a cold server that gets full load at once. */
START_TEST(cold_server_warms_up)
{
	struct limiter l;

	start_limiter(&l, 20, true, 0);
	ck_assert_int_eq(get_limit(&l, 0), 4);
	ck_assert_int_eq(get_limit(&l, 5 * NSEC_PER_SEC), 12);
	ck_assert_int_eq(get_limit(&l, 10 * NSEC_PER_SEC), 20);
	start_limiter(&l, 1, true, 0);
	ck_assert_int_eq(get_limit(&l, 0), 1);
}
END_TEST

/* Guards against a limit above a lowered number of announced slots. */
START_TEST(limit_keeps_its_share_of_announced_slots)
{
	struct limiter l;

	start_limiter(&l, 20, false, 0);
	add_limiter_shed(&l, 11, 0);
	ck_assert_int_eq(get_limit(&l, 0), 10);
	set_limiter_slots(&l, 6, 0);
	ck_assert_int_eq(get_limit(&l, 0), 3);
	set_limiter_slots(&l, 0, 0);
	ck_assert_int_eq(get_limit(&l, 0), 1);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("outcome");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, outcome_follows_the_facts, 0,
	    sizeof(outcome_cases) / sizeof(outcome_cases[0]));
	tcase_add_test(tc, names_round_trip);
	tcase_add_loop_test(tc, deadline_shrinks_on_each_hop, 0,
	    sizeof(deadline_cases) / sizeof(deadline_cases[0]));
	tcase_add_test(tc, limit_falls_with_latency_and_recovers);
	tcase_add_test(tc, limit_ignores_a_single_slow_call);
	tcase_add_test(tc, sheds_lower_the_limit_once_per_burst);
	tcase_add_test(tc, cold_server_warms_up);
	tcase_add_test(tc, limit_keeps_its_share_of_announced_slots);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed == 0 ? 0 : 1;
}
