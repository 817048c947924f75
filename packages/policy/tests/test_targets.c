/*
 * Admission of calls that have a target besides their deadline.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"

#define MS NSEC_PER_MSEC
#define START (1000 * MS)
#define CALLS 64

static struct admission *a;
static struct row rows[2]; /* "read" of rank 1, "write" of rank 2 */
static struct admission_call calls[CALLS];

/* Creates an admission with two slots; tests open the rows on demand. */
static void
setup(void)
{
	struct admission_config cfg = {
	    .policy = ADMISSION_FLOORS, .slots = 2, .fixed_limit = true};

	memset(calls, 0, sizeof(calls));
	for (int i = 0; i < 2; i++) {
		rows[i] = (struct row){.repeatable = true};
		strcpy(rows[i].kind, i == 0 ? "read" : "write");
		rows[i].values[COL_RANK] = i + 1;
		rows[i].values[COL_WEIGHT] = 1;
		rows[i].values[COL_LIMIT_PCT] = 100;
		rows[i].values[COL_QUEUE_MAX] = 100;
		rows[i].values[COL_TARGET_MS] = 400;
	}
	ck_assert_int_eq(create_admission(&cfg, START, &a), 0);
}

static void
teardown(void)
{
	destroy_admission(a);
}

/* Offers call i of a row; target and deadline are in ms from now. */
static enum admit_action
offer(int i, int row, int target, int deadline, int64_t now)
{
	struct admission_changes out = {0};
	struct admit_verdict v;

	calls[i] = (struct admission_call){.token = &calls[i],
	    .target = now + target * MS,
	    .deadline = now + deadline * MS};
	v = offer_call(
	    a, &calls[i], open_admission_row(a, &rows[row], false), now, &out);
	return v.action;
}

/* Ends a running call; returns the index of the call that starts, or -1. */
static int
finish(int i, int64_t service_ns, int64_t now)
{
	struct admission_changes out = {0};

	finish_call(a, &calls[i], OUTCOME_RAN, service_ns, now, &out);
	return out.run != NULL ? (int)(out.run - calls) : -1;
}

/* Runs calls one by one, so that the row's mean service time is known. */
static void
record_service_times(int row, int64_t service_ns, int count)
{
	for (int i = 0; i < count; i++) {
		ck_assert_int_eq(
		    offer(CALLS - 1, row, 100000, 200000, START), ADMIT_RUN);
		ck_assert_int_eq(finish(CALLS - 1, service_ns, START), -1);
	}
}

/*
 * Guards against a row that is locked out for good after slow calls: without
 * another call the estimate would never become shorter.
 */
START_TEST(free_slot_is_used_despite_a_long_estimate)
{
	record_service_times(0, 1000 * MS, 50);
	ck_assert_int_eq(offer(0, 0, 120, 400, START), ADMIT_RUN);
}
END_TEST

/*
 * Guards against a call that can meet its target but waits behind one that is
 * already late.
 */
START_TEST(late_calls_wait_behind_calls_on_time)
{
	record_service_times(0, 100 * MS, 20);
	ck_assert_int_eq(offer(0, 0, 400, 1000, START), ADMIT_RUN);
	ck_assert_int_eq(offer(1, 0, 400, 1000, START), ADMIT_RUN);
	ck_assert_int_eq(offer(2, 0, 10, 600, START), ADMIT_QUEUED);
	ck_assert_int_eq(offer(3, 0, 400, 1000, START), ADMIT_QUEUED);
	ck_assert_int_eq(offer(4, 0, 300, 900, START), ADMIT_QUEUED);
	ck_assert_int_eq(finish(0, 100 * MS, START + 20 * MS), 4);
	ck_assert_int_eq(finish(1, 100 * MS, START + 30 * MS), 3);
	ck_assert_int_eq(finish(4, 100 * MS, START + 40 * MS), 2);
}
END_TEST

struct late_case {
	const char *what;
	int row_deadline; /* ms; the target is 400 */
	int target, deadline; /* of the call, ms from now */
	int waiting; /* late calls that wait already */
	enum admit_action want;
	int retry_after; /* ms; 0: any */
};

static const struct late_case late_cases[] = {
    {"a late call that came back waits in a patient row", 2000, -100, 2000, 0,
	ADMIT_QUEUED, 0},
    {"not in a row whose callers leave soon", 1000, -100, 2000, 0,
	ADMIT_REFUSED, 0},
    {"a first try that would be late is refused until the wave is over", 2000,
	50, 1500, 0, ADMIT_REFUSED, 500},
    {"a call that can be in time waits as ever", 2000, 400, 2000, 0,
	ADMIT_QUEUED, 0},
    {"no more late calls wait than will run in their time", 2000, -100, 2000, 6,
	ADMIT_REFUSED, 666},
    {"a call that is nearly out of time is refused", 2000, -100, 400, 0,
	ADMIT_REFUSED, 133},
};

/*
 * In an overload of some seconds: guards against calls of patient callers that
 * are refused again and again within it, and against ones that are held in vain.
 */
START_TEST(patient_calls_return_after_the_wave_and_wait_then)
{
	const struct late_case *c = &late_cases[_i];
	int64_t now = START + 1000 * MS;
	int i = 2;

	rows[0].values[COL_DEADLINE_MS] = c->row_deadline;
	record_service_times(0, 100 * MS, 20);
	(void)offer(0, 0, 5000, 9000, START);
	(void)offer(1, 0, 5000, 9000, START);
	for (; i < 2 + c->waiting; i++)
		ck_assert_int_eq(offer(i, 0, -100, 2000, now), ADMIT_QUEUED);
	ck_assert_msg(
	    offer(i, 0, c->target, c->deadline, now) == c->want, "%s", c->what);
	if (c->retry_after > 0)
		ck_assert_msg(calls[i].retry_after_ns / MS == c->retry_after,
		    "%s: %lld", c->what, (long long)calls[i].retry_after_ns);
}
END_TEST

/* Guards against a patient call that is held until it is too late to return. */
START_TEST(patient_calls_are_refused_before_their_time_is_over)
{
	int64_t now = START + 1000 * MS;
	struct admission_changes out = {0};

	rows[0].values[COL_DEADLINE_MS] = 2000;
	record_service_times(0, 100 * MS, 20);
	(void)offer(0, 0, 5000, 9000, START);
	(void)offer(1, 0, 5000, 9000, START);
	ck_assert_int_eq(offer(2, 0, -100, 2000, now), ADMIT_QUEUED);
	expire_calls(a, now + 1399 * MS, &out);
	ck_assert_ptr_null(out.refused);
	expire_calls(a, now + 1400 * MS, &out);
	ck_assert_ptr_eq(out.refused, &calls[2]);
	ck_assert_int_eq(calls[2].retry_after_ns / MS, 200);
}
END_TEST

/* Guards against calls that wait for long and are refused in the end. */
START_TEST(late_calls_are_refused_after_a_share_of_the_target)
{
	struct admission_changes out = {0};

	record_service_times(0, 100 * MS, 20);
	(void)offer(0, 0, 400, 1000, START);
	(void)offer(1, 0, 400, 1000, START);
	ck_assert_int_eq(offer(2, 0, 10, 900, START), ADMIT_QUEUED);
	expire_calls(a, START + 99 * MS, &out);
	ck_assert_ptr_null(out.refused);
	expire_calls(a, START + 101 * MS, &out);
	ck_assert_ptr_eq(out.refused, &calls[2]);
}
END_TEST

/*
 * Guards against a refusal without a retry delay, or with one after the target.
 */
START_TEST(refusal_in_an_overload_has_a_useful_retry_delay)
{
	struct admission_changes out = {0};
	struct admit_verdict v;
	int64_t now = START + 600 * MS; /* no slot was free since START */

	record_service_times(0, 100 * MS, 20);
	(void)offer(0, 0, 4000, 10000, START);
	(void)offer(1, 0, 4000, 10000, START);
	for (int i = 2; i < 12; i++)
		(void)offer(i, 0, 4000, 10000, now);
	calls[20].target = now + 300 * MS;
	calls[20].deadline = now + 900 * MS;
	/* Ten calls are queued for two slots, but with later targets. */
	v = offer_call(
	    a, &calls[20], open_admission_row(a, &rows[0], false), now, &out);
	ck_assert_int_eq(v.action, ADMIT_QUEUED);
	calls[21].target = now + 5000 * MS;
	calls[21].deadline = now + 9000 * MS;
	v = offer_call(
	    a, &calls[21], open_admission_row(a, &rows[0], false), now, &out);
	ck_assert_int_eq(v.action, ADMIT_QUEUED);
	calls[22].target = now + 60 * MS;
	calls[22].deadline = now + 900 * MS;
	v = offer_call(
	    a, &calls[22], open_admission_row(a, &rows[0], false), now, &out);
	ck_assert_int_eq(v.action, ADMIT_REFUSED);
	ck_assert_int_eq(v.reason, REFUSE_OVERLOAD);
	ck_assert_int_gt(v.retry_after_ns, 0);
	ck_assert_int_le(v.retry_after_ns, 60 * MS);
}
END_TEST

/*
 * Guards against a call made by a backend server that waits behind the calls it
 * is made for.
 */
START_TEST(urgent_rows_go_before_all_ranks)
{
	struct admission_changes out = {0};
	struct admit_verdict v;

	record_service_times(0, 100 * MS, 20);
	record_service_times(1, 100 * MS, 20);
	(void)offer(0, 0, 400, 1000, START);
	(void)offer(1, 0, 400, 1000, START);
	(void)offer(2, 0, 400, 1000, START);
	calls[3].target = calls[3].deadline = START + 900 * MS;
	v = offer_call(
	    a, &calls[3], open_admission_row(a, &rows[1], true), START, &out);
	ck_assert_int_eq(v.action, ADMIT_QUEUED);
	ck_assert_int_eq(finish(0, 100 * MS, START + 10 * MS), 3);
}
END_TEST

/* Guards against a timer that expires again and again without effect. */
START_TEST(wakeup_is_always_in_the_future)
{
	int64_t now = START;
	struct rng r;

	seed_rng(&r, 4);
	for (int step = 0; step < 20000; step++) {
		struct admission_changes out = {0};
		int i = (int)draw_below(&r, CALLS);

		now += (int64_t)draw_below(&r, 20) * MS;
		if (calls[i].state == CALL_RUNNING)
			(void)finish(
			    i, (1 + (int64_t)draw_below(&r, 300)) * MS, now);
		else if (calls[i].state == CALL_WAITING)
			(void)cancel_call(a, &calls[i], now, &out);
		else
			(void)offer(i, (int)draw_below(&r, 2),
			    (int)draw_below(&r, 500),
			    1 + (int)draw_below(&r, 900), now);
		/* Each pass may bring another late call to the front. */
		for (int k = 0;
		     k <= CALLS && get_admission_wakeup(a, now) <= now; k++)
			expire_calls(a, now, &out);
		ck_assert_int_gt(get_admission_wakeup(a, now), now);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("targets");
	TCase *t = tcase_create("targets");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, free_slot_is_used_despite_a_long_estimate);
	tcase_add_test(t, late_calls_wait_behind_calls_on_time);
	tcase_add_loop_test(t,
	    patient_calls_return_after_the_wave_and_wait_then, 0,
	    sizeof(late_cases) / sizeof(late_cases[0]));
	tcase_add_test(t, patient_calls_are_refused_before_their_time_is_over);
	tcase_add_test(t, late_calls_are_refused_after_a_share_of_the_target);
	tcase_add_test(t, refusal_in_an_overload_has_a_useful_retry_delay);
	tcase_add_test(t, urgent_rows_go_before_all_ranks);
	tcase_add_test(t, wakeup_is_always_in_the_future);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
