/*
 * The watch loop's decisions, step by step with the time passed in.
 */
#include <check.h>
#include <stdlib.h>

#include "agent_follow.h"

#define MS(n) ((int64_t)(n)*NSEC_PER_MSEC)
#define START MS(5000)

static struct follow_step
step_at(struct follow *f, int64_t now)
{
	struct follow_step s = get_follow_step(f, now);

	if (s.action == FOLLOW_SEND)
		note_follow_sent(f, now);
	return s;
}

/* Moves to the next moment of the loop and gives its step there. */
static struct follow_step
step_next(struct follow *f, int64_t *now)
{
	struct follow_step s = step_at(f, *now);

	if (s.action == FOLLOW_WAIT) {
		*now = s.until;
		s = step_at(f, *now);
	}
	return s;
}

/* Guards against nodes that all start at the same control process. */
START_TEST(order_prefers_the_own_zone_and_is_spread)
{
	const bool near[6] = {false, true, false, true, false, false};
	int first[6] = {0}, third[6] = {0};
	struct follow f, again;

	for (uint64_t seed = 0; seed < 600; seed++) {
		start_follow(&f, 6, near, seed, START);
		start_follow(&again, 6, near, seed, START);
		for (int i = 0; i < 6; i++) {
			ck_assert_int_eq(f.order[i], again.order[i]);
			ck_assert_int_eq(near[f.order[i]], i < 2);
		}
		first[f.order[0]]++;
		third[f.order[2]]++;
	}
	/* binomial: 300 of 600, 5 standard deviations are 61 */
	ck_assert_int_ge(first[1], 239);
	ck_assert_int_ge(first[3], 239);
	/* 150 of 600, 5 standard deviations are 53 */
	for (int i = 0; i < 6; i++)
		ck_assert_int_ge(third[i], near[i] ? 0 : 97);
}
END_TEST

/* Guards against a watch that waits for ever on a silent connection. */
START_TEST(overdue_watch_is_abandoned)
{
	const bool near[2] = {false, false};
	struct follow_step s;
	struct follow f;

	start_follow(&f, 2, near, 1, START);
	s = step_at(&f, START);
	ck_assert_int_eq(s.action, FOLLOW_SEND);
	ck_assert_int_eq(s.control, f.order[0]);
	s = step_at(&f, START + 1);
	ck_assert_int_eq(s.action, FOLLOW_WAIT);
	ck_assert_int_eq(s.until, START + MS(AGENT_OVERDUE_MS));
	s = step_at(&f, START + MS(AGENT_OVERDUE_MS) - 1);
	ck_assert_int_eq(s.action, FOLLOW_WAIT);
	s = step_at(&f, START + MS(AGENT_OVERDUE_MS));
	ck_assert_int_eq(s.action, FOLLOW_ABANDON);
	note_follow_failure(&f, START + MS(AGENT_OVERDUE_MS));
	ck_assert_int_eq(get_follow_control(&f), f.order[1]);
}
END_TEST

/* Guards against changes that keep a silent connection from being noticed. */
START_TEST(changes_do_not_extend_a_silent_watch)
{
	const bool near[1] = {false};
	int64_t now = START;
	struct follow_step s;
	struct follow f;

	start_follow(&f, 1, near, 1, now);
	s = step_at(&f, now);
	while (now < START + MS(AGENT_OVERDUE_MS)) {
		now += MS(500);
		note_follow_changed(&f, now);
		s = step_at(&f, now + MS(FOLLOW_BATCH_MS));
	}
	ck_assert_int_eq(s.action, FOLLOW_ABANDON);
}
END_TEST

/* Guards against a draining endpoint that is told after the heartbeat only. */
START_TEST(change_is_told_at_once)
{
	const bool near[1] = {false};
	struct follow_step s;
	struct follow f;

	start_follow(&f, 1, near, 1, START);
	step_at(&f, START);
	note_follow_changed(&f, START + MS(3000));
	s = step_at(&f, START + MS(3000));
	ck_assert_int_eq(s.action, FOLLOW_WAIT);
	ck_assert_int_eq(s.until, START + MS(3000 + FOLLOW_BATCH_MS));
	s = step_at(&f, s.until);
	ck_assert_int_eq(s.action, FOLLOW_SEND);
	/* a leaving node does not wait for others */
	note_follow_leaving(&f);
	s = get_follow_step(&f, START + MS(3020));
	ck_assert_int_eq(s.action, FOLLOW_SEND);
	f.leaving = false;
	f.changed = false;
	/* many changes: not more than one watch every FOLLOW_SPACING_MS */
	note_follow_changed(&f, START + MS(3021));
	s = step_at(&f, START + MS(3050));
	ck_assert_int_eq(s.action, FOLLOW_WAIT);
	ck_assert_int_eq(
	    s.until, START + MS(3000 + FOLLOW_BATCH_MS + FOLLOW_SPACING_MS));
}
END_TEST

struct backoff_case {
	unsigned int failures; /* before this one */
	int bound_ms;
};

static const struct backoff_case backoff_cases[] = {
    {0, 2000}, {1, 4000}, {2, 8000}, {3, 15000}, {4, 15000}, {60, 15000}};

/* Guards against reconnect storms: the delay is spread over its whole bound. */
START_TEST(reconnect_has_full_jitter)
{
	const struct backoff_case *c = &backoff_cases[_i];
	const bool near[3] = {false, false, false};
	int low = 0, high = 0;
	struct follow f;

	for (uint64_t seed = 0; seed < 400; seed++) {
		int64_t wait;

		start_follow(&f, 3, near, seed, START);
		for (unsigned int i = 0; i < c->failures; i++)
			note_follow_failure(&f, START);
		note_follow_failure(&f, START);
		wait = get_follow_step(&f, START).until - START;
		ck_assert_int_ge(wait, 0);
		ck_assert_int_le(wait, MS(c->bound_ms));
		low += wait < MS(c->bound_ms) / 2;
		high += wait > MS(c->bound_ms) * 3 / 4;
	}
	/* 200 and 100 of 400; 5 standard deviations are 50 and 43 */
	ck_assert_int_ge(low, 150);
	ck_assert_int_ge(high, 57);
}
END_TEST

/* Guards against a fast loop when every control process refuses. */
START_TEST(all_controls_refusing_is_bounded)
{
	const bool near[3] = {false, false, false};
	int seen[3] = {0}, watches = 0;
	int64_t now = START;
	struct follow f;

	start_follow(&f, 3, near, 9, now);
	while (now < START + MS(600000)) {
		struct follow_step s = step_next(&f, &now);

		ck_assert_int_eq(s.action, FOLLOW_SEND);
		seen[s.control]++;
		watches++;
		note_follow_failure(&f, now);
	}
	/* a mean of 7.5 s at the bound; below 1 a second from the start */
	ck_assert_int_le(watches, 600);
	for (int i = 0; i < 3; i++)
		ck_assert_int_ge(seen[i], watches / 3 - 1);
}
END_TEST

/* Guards against a backoff that stays after the fleet has recovered. */
START_TEST(good_reply_resets_the_backoff)
{
	const bool near[2] = {false, false};
	int64_t now = START;
	struct follow f;

	start_follow(&f, 2, near, 3, now);
	for (int i = 0; i < 10; i++)
		note_follow_failure(&f, now);
	ck_assert(!is_follow_attached(&f));
	step_next(&f, &now);
	note_follow_reply(&f, true, true, now);
	ck_assert(is_follow_attached(&f));
	note_follow_failure(&f, now);
	ck_assert_int_le(get_follow_step(&f, now).until, now + MS(2000));
}
END_TEST

/* Guards against a fast loop with a control process that answers at once. */
START_TEST(early_reply_without_news_is_paced)
{
	const bool near[1] = {false};
	int64_t now = START;
	int watches = 0;
	struct follow f;

	start_follow(&f, 1, near, 3, now);
	while (now < START + MS(10000)) {
		ck_assert_int_eq(step_next(&f, &now).action, FOLLOW_SEND);
		note_follow_reply(&f, true, false, now);
		watches++;
	}
	ck_assert_int_le(watches, 11);
	/* with news the next watch follows at once */
	step_next(&f, &now);
	note_follow_reply(&f, true, true, now);
	ck_assert_int_eq(get_follow_step(&f, now).action, FOLLOW_SEND);
}
END_TEST

/* Guards against leaving a control process that is only busy. */
START_TEST(limit_asks_the_same_control_again)
{
	const bool near[2] = {false, false};
	int64_t now = START;
	struct follow_step s;
	struct follow f;
	int first;

	start_follow(&f, 2, near, 3, now);
	first = get_follow_control(&f);
	for (int i = 1; i < FOLLOW_LIMIT_MAX; i++) {
		int64_t before;

		step_next(&f, &now);
		before = now;
		note_follow_limit(&f, 1000, now);
		s = get_follow_step(&f, now);
		ck_assert_int_eq(s.action, FOLLOW_WAIT);
		ck_assert_int_eq(s.control, first);
		ck_assert_int_ge(s.until, before + MS(1000));
		ck_assert_int_le(s.until, before + MS(2000));
	}
	step_next(&f, &now);
	note_follow_limit(&f, 1000, now);
	ck_assert_int_ne(get_follow_control(&f), first);
}
END_TEST

/* Guards against a replaced watch whose reply starts another one. */
START_TEST(reply_to_a_replaced_watch_sends_nothing)
{
	const bool near[1] = {false};
	struct follow_step s;
	struct follow f;

	start_follow(&f, 1, near, 3, START);
	step_at(&f, START);
	note_follow_changed(&f, START + MS(1000));
	s = step_at(&f, START + MS(1020));
	ck_assert_int_eq(s.action, FOLLOW_SEND);
	note_follow_reply(&f, false, true, START + MS(1030));
	s = step_at(&f, START + MS(1031));
	ck_assert_int_eq(s.action, FOLLOW_WAIT);
	ck_assert_int_eq(s.until, START + MS(1030 + AGENT_OVERDUE_MS));
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_follow");
	TCase *t = tcase_create("follow");
	SRunner *run;
	int failed;

	tcase_add_test(t, order_prefers_the_own_zone_and_is_spread);
	tcase_add_test(t, overdue_watch_is_abandoned);
	tcase_add_test(t, changes_do_not_extend_a_silent_watch);
	tcase_add_test(t, change_is_told_at_once);
	tcase_add_loop_test(
	    t, reconnect_has_full_jitter, 0, COUNT(backoff_cases));
	tcase_add_test(t, all_controls_refusing_is_bounded);
	tcase_add_test(t, good_reply_resets_the_backoff);
	tcase_add_test(t, early_reply_without_news_is_paced);
	tcase_add_test(t, limit_asks_the_same_control_again);
	tcase_add_test(t, reply_to_a_replaced_watch_sends_nothing);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
