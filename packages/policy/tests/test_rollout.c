/*
 * Roll-outs: histories of good and bad versions, and the share of calls that a
 * new version gets.
 */
#include <check.h>
#include <stdlib.h>

#include "rollout.h"

#define SEC NSEC_PER_SEC
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Answers of one version: number, failed, typical ms, and a slow part. */
struct answers {
	int count, failed, ms, slow, slow_ms;
};

struct history {
	const char *name;
	enum rollout_phase phase;
	double elapsed_s, duration_s, moved_s;
	int old_running; /* negative: not every old server's node knows */
	struct answers before,
	    after; /* of the row under test, all and recent */
	struct answers other_before, other_after; /* of another row */
	enum rollout_phase want;
};

static const struct history histories[] = {
    {"no evidence yet", ROLLOUT_TRIAL, 1, 16, 0, 0, {900, 0, 50, 0, 0},
	{0, 0, 0, 0, 0}, {0}, {0}, ROLLOUT_TRIAL},
    {"good, early", ROLLOUT_TRIAL, 6, 16, 0, 0, {4000, 8, 50, 200, 150},
	{200, 0, 55, 10, 160}, {0}, {0}, ROLLOUT_TRIAL},
    {"good, time to move", ROLLOUT_TRIAL, 11.3, 16, 0, 0,
	{9000, 8, 50, 200, 150}, {400, 1, 55, 10, 160}, {0}, {0},
	ROLLOUT_MOVED},
    {"fails at once", ROLLOUT_TRIAL, 2, 16, 0, 0, {900, 0, 50, 0, 0},
	{30, 12, 50, 0, 0}, {0}, {0}, ROLLOUT_ROLLED_BACK},
    {"fails all, few answers", ROLLOUT_TRIAL, 2, 16, 0, 0, {900, 0, 50, 0, 0},
	{20, 20, 50, 0, 0}, {0}, {0}, ROLLOUT_ROLLED_BACK},
    {"too few answers for a verdict", ROLLOUT_TRIAL, 2, 16, 0, 0,
	{900, 0, 50, 0, 0}, {9, 7, 50, 0, 0}, {0}, {0}, ROLLOUT_TRIAL},
    {"both fail alike", ROLLOUT_TRIAL, 6, 16, 0, 0, {900, 300, 50, 0, 0},
	{100, 38, 50, 0, 0}, {0}, {0}, ROLLOUT_TRIAL},
    {"four times slower", ROLLOUT_TRIAL, 5, 16, 0, 0, {900, 0, 50, 90, 120},
	{60, 0, 200, 0, 0}, {0}, {0}, ROLLOUT_ROLLED_BACK},
    {"a third of its answers five times slower", ROLLOUT_TRIAL, 5, 16, 0, 0,
	{900, 0, 50, 90, 90}, {90, 0, 50, 30, 450}, {0}, {0},
	ROLLOUT_ROLLED_BACK},
    {"both slow alike", ROLLOUT_TRIAL, 5, 16, 0, 0, {900, 0, 200, 300, 600},
	{90, 0, 210, 33, 600}, {0}, {0}, ROLLOUT_TRIAL},
    {"a third slower, as uneven servers are", ROLLOUT_TRIAL, 5, 16, 0, 0,
	{900, 0, 50, 90, 120}, {90, 0, 66, 12, 150}, {0}, {0}, ROLLOUT_TRIAL},
    {"fails on one row only", ROLLOUT_TRIAL, 8, 16, 0, 0, {300, 0, 50, 0, 0},
	{24, 10, 50, 0, 0}, {9000, 2, 50, 0, 0}, {500, 0, 50, 0, 0},
	ROLLOUT_ROLLED_BACK},
    {"slow on one row only", ROLLOUT_TRIAL, 8, 16, 0, 0, {300, 0, 50, 0, 0},
	{40, 0, 400, 0, 0}, {9000, 2, 50, 0, 0}, {500, 0, 50, 0, 0},
	ROLLOUT_ROLLED_BACK},
    {"rows of different length, shares of calls differ", ROLLOUT_TRIAL, 8, 16,
	0, 0, {8000, 0, 10, 0, 0}, {100, 0, 10, 0, 0}, {1000, 0, 30, 0, 0},
	{80, 0, 30, 0, 0}, ROLLOUT_TRIAL},
    {"too few answers at the time to move", ROLLOUT_TRIAL, 12, 16, 0, 0,
	{900, 0, 50, 0, 0}, {5, 0, 50, 0, 0}, {0}, {0}, ROLLOUT_TRIAL},
    {"no new server ever answered", ROLLOUT_TRIAL, 14.6, 16, 0, 0,
	{900, 0, 50, 0, 0}, {0, 0, 0, 0, 0}, {0}, {0}, ROLLOUT_ROLLED_BACK},
    {"moved, load not seen yet", ROLLOUT_MOVED, 11.5, 16, 0.4, 0,
	{9000, 8, 50, 0, 0}, {900, 0, 60, 0, 0}, {0}, {0}, ROLLOUT_MOVED},
    {"moved, the old version still runs calls", ROLLOUT_MOVED, 12.5, 16, 1.4, 3,
	{9000, 8, 50, 0, 0}, {900, 0, 60, 0, 0}, {0}, {0}, ROLLOUT_MOVED},
    {"moved, a node has not been told", ROLLOUT_MOVED, 12.5, 16, 1.4, -1,
	{9000, 8, 50, 0, 0}, {900, 0, 60, 0, 0}, {0}, {0}, ROLLOUT_MOVED},
    {"moved, nothing runs at the old version", ROLLOUT_MOVED, 12.5, 16, 1.4, 0,
	{9000, 8, 50, 0, 0}, {900, 0, 60, 0, 0}, {0}, {0}, ROLLOUT_COMPLETED},
    {"moved, a call does not end", ROLLOUT_MOVED, 14, 16, 2.6, 1,
	{9000, 8, 50, 0, 0}, {900, 0, 60, 0, 0}, {0}, {0}, ROLLOUT_COMPLETED},
    {"moved, fails under load", ROLLOUT_MOVED, 11.7, 16, 0.7, 0,
	{9000, 8, 50, 0, 0}, {900, 150, 60, 0, 0}, {0}, {0},
	ROLLOUT_ROLLED_BACK},
    {"moved, six times slower under load", ROLLOUT_MOVED, 11.7, 16, 0.7, 0,
	{9000, 8, 50, 0, 0}, {900, 0, 330, 0, 0}, {0}, {0},
	ROLLOUT_ROLLED_BACK},
    {"completed stays", ROLLOUT_COMPLETED, 20, 16, 5, 0, {900, 0, 50, 0, 0},
	{900, 900, 50, 0, 0}, {0}, {0}, ROLLOUT_COMPLETED},
    {"rolled back stays", ROLLOUT_ROLLED_BACK, 20, 16, 5, 0, {900, 0, 50, 0, 0},
	{900, 0, 50, 0, 0}, {0}, {0}, ROLLOUT_ROLLED_BACK},
};

static struct rollout_counts
make_counts(const struct answers *a)
{
	struct rollout_counts c = {
	    .answers = (uint64_t)a->count, .failed = (uint64_t)a->failed};

	c.latency[get_rollout_bucket(a->ms * NSEC_PER_MSEC)] +=
	    (uint64_t)(a->count - a->failed - a->slow);
	c.latency[get_rollout_bucket(a->slow_ms * NSEC_PER_MSEC)] +=
	    (uint64_t)a->slow;
	return c;
}

static struct rollout_row
make_row(const struct answers *before, const struct answers *after)
{
	struct rollout_row r = {
	    .old_all = make_counts(before), .new_all = make_counts(after)};

	r.old_recent = r.old_all;
	r.new_recent = r.new_all;
	return r;
}

/*
 * Guards against a bad version that is kept, a good one that is rolled back,
 * and an end that is told while the old version is still in use.
 */
START_TEST(histories_get_the_expected_phase)
{
	const struct history *h = &histories[_i];
	struct rollout_row rows[2] = {make_row(&h->before, &h->after),
	    make_row(&h->other_before, &h->other_after)};
	struct rollout_facts f = {.phase = h->phase,
	    .elapsed_ns = (int64_t)(h->elapsed_s * SEC),
	    .duration_ns = (int64_t)(h->duration_s * SEC),
	    .moved_ns = (int64_t)(h->moved_s * SEC),
	    .old_running = h->old_running > 0 ? (uint64_t)h->old_running : 0,
	    .old_told = h->old_running >= 0,
	    .rows = rows,
	    .row_count = COUNT(rows)};
	const char *reason;
	enum rollout_phase p = decide_rollout(&f, &reason);

	ck_assert_msg(p == h->want, "%s: phase %d, not %d: %s", h->name, (int)p,
	    (int)h->want, reason);
	ck_assert_msg(
	    p == h->phase || reason[0] != '\0', "%s: no reason", h->name);
}
END_TEST

/*
 * A version that turns bad late has good answers behind it; only the recent
 * ones show the change.
 */
START_TEST(recent_answers_show_a_late_fault)
{
	struct answers good = {900, 0, 50, 0, 0}, bad = {60, 20, 50, 0, 0};
	struct rollout_row row = make_row(&good, &good);
	struct rollout_facts f = {.phase = ROLLOUT_TRIAL,
	    .elapsed_ns = 9 * SEC,
	    .duration_ns = 16 * SEC,
	    .rows = &row,
	    .row_count = 1};
	const char *reason;

	row.new_recent = make_counts(&bad);
	ck_assert_int_eq(decide_rollout(&f, &reason), ROLLOUT_ROLLED_BACK);
}
END_TEST

struct share_case {
	const char *name;
	int nodes, calls; /* of each node, spread over seconds */
	double seconds;
	double share_max;
};

static const struct share_case share_cases[] = {
    {"many nodes with few calls", 63, 200, 16, 0.1},
    {"one busy node", 1, 20000, 16, 0.1},
    {"nodes that see a call a second", 300, 16, 16, 0.1},
    {"a permitted share of 1%", 63, 400, 20, 0.01},
};

/*
 * Guards against a trial that gives the new version more than its share over
 * the sum of all nodes, or nothing that it could be judged by.
 */
START_TEST(trial_keeps_its_share)
{
	const struct share_case *c = &share_cases[_i];
	long sent = 0, all = (long)c->nodes * c->calls;

	for (int n = 0; n < c->nodes; n++) {
		double credit = 0;

		for (int i = 0; i < c->calls; i++) {
			int64_t at = (int64_t)(c->seconds * SEC * i / c->calls);

			credit = add_trial_call(
			    credit, get_trial_share(c->share_max, at, 4 * SEC));
			if (choose_rollout_side(ROLLOUT_TRIAL, credit, true) !=
			    ROLLOUT_NEW)
				continue;
			credit--;
			sent++;
		}
	}
	ck_assert_msg((double)sent <= 0.5 * c->share_max * (double)all + 1,
	    "%s: %ld of %ld", c->name, sent, all);
	ck_assert_msg(c->calls * c->share_max * 0.3 < 1 || sent > 0,
	    "%s: nothing was sent", c->name);
}
END_TEST

/*
 * Guards against calls to a version whose state the node cannot know.
 */
START_TEST(sides_follow_phase_and_contact)
{
	ck_assert_int_eq(
	    choose_rollout_side(ROLLOUT_TRIAL, 2, false), ROLLOUT_OLD);
	ck_assert_int_eq(
	    choose_rollout_side(ROLLOUT_TRIAL, 0.9, true), ROLLOUT_OLD);
	ck_assert_int_eq(
	    choose_rollout_side(ROLLOUT_MOVED, 0, false), ROLLOUT_NEW);
	ck_assert_int_eq(choose_rollout_side(ROLLOUT_COMPLETED, 0, true),
	    ROLLOUT_PREFER_NEW);
	ck_assert_int_eq(
	    choose_rollout_side(ROLLOUT_ROLLED_BACK, 2, true), ROLLOUT_OLD);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rollout");
	TCase *t = tcase_create("rollout");
	SRunner *r;
	int failed;

	tcase_add_loop_test(
	    t, histories_get_the_expected_phase, 0, COUNT(histories));
	tcase_add_test(t, recent_answers_show_a_late_fault);
	tcase_add_loop_test(t, trial_keeps_its_share, 0, COUNT(share_cases));
	tcase_add_test(t, sides_follow_phase_and_contact);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
