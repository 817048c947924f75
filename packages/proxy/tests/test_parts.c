/*
 * Tests of the loop's timers and tasks, the body memory budget, listen
 * addresses and row counters.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "budget.h"
#include "call.h"
#include "loop.h"

#define TIMERS 200
#define LARGE_ROWS 2000 /* rows of the largest table */

/* A timer that records its place in the firing order. */
struct ordered_timer {
	struct loop_timer timer;
	int order; /* 1: fired first */
};

struct address_case {
	const char *text;
	int rc;
};

struct budget_case {
	int64_t used; /* already reserved */
	int64_t bytes;
	bool fits;
};

static const struct address_case addresses[] = {
    {"127.0.0.1:0", 0},
    {"[::1]:0", 0},
    {"127.0.0.1", ERR_INVALID},
    {"localhost:0", ERR_INVALID},
    {"127.0.0.1:x", ERR_INVALID},
    {"192.0.2.1:0", ERR_IO},
};

/* For a budget of 1 MiB, of which 128 KiB are reserved for small bodies. */
static const struct budget_case budgets[] = {
    {0, 1024 * 1024, true},
    {0, 1024 * 1024 + 1, false},
    {512 * 1024, 512 * 1024, false},
    {512 * 1024, 384 * 1024, true},
    {896 * 1024, 64 * 1024, true},
    {1024 * 1024, 1, false},
};

static int fired;
static int task_runs;

static void record_fired(struct loop_timer *t);
static void count_task(struct loop_task *t);
static void drop_transfer(CURL *easy, CURLcode code);
static bool process_nothing(void *arg);
static struct loop *open_test_loop(struct paused_clock *pc);

/* Guards against a heap that loses or reorders timers when they move. */
START_TEST(timers_fire_in_order)
{
	struct paused_clock pc = {1, 1};
	struct loop *l = open_test_loop(&pc);
	struct ordered_timer n[TIMERS] = {0};
	int64_t at[TIMERS], last = 0;
	struct rng r;
	int cleared = 0;

	seed_rng(&r, 7);
	fired = 0;
	for (int i = 0; i < TIMERS; i++) {
		n[i].timer.fire = record_fired;
		at[i] = 2 + (int64_t)draw_below(&r, 1000);
		ck_assert_int_eq(set_loop_timer(l, &n[i].timer, at[i]), 0);
	}
	for (int i = 0; i < TIMERS; i += 3) {
		at[i] = 2 + (int64_t)draw_below(&r, 1000);
		ck_assert_int_eq(set_loop_timer(l, &n[i].timer, at[i]), 0);
	}
	for (int i = 0; i < TIMERS; i += 7) {
		clear_loop_timer(l, &n[i].timer);
		clear_loop_timer(l, &n[i].timer);
		cleared++;
	}
	advance_clock(&pc, 5000);
	ck_assert_int_eq(start_loop(l), 0);
	stop_loop(l);
	ck_assert_int_eq(fired, TIMERS - cleared);
	for (int k = 1; k <= fired; k++) {
		for (int i = 0; i < TIMERS; i++) {
			if (n[i].order != k)
				continue;
			ck_assert_int_ge(at[i], last);
			last = at[i];
		}
	}
	close_loop(l);
}
END_TEST

/* Guards against a timer that fires before its time. */
START_TEST(timer_waits_for_the_clock)
{
	struct paused_clock pc = {1, 1};
	struct loop *l = open_test_loop(&pc);
	struct ordered_timer n = {.timer.fire = record_fired};

	fired = 0;
	ck_assert_int_eq(set_loop_timer(l, &n.timer, 100), 0);
	ck_assert_int_eq(start_loop(l), 0);
	stop_loop(l);
	ck_assert_int_eq(fired, 0);
	close_loop(l);
}
END_TEST

/* Guards against a posted task that is lost or run twice. */
START_TEST(every_posted_task_runs_once)
{
	struct paused_clock pc = {1, 1};
	struct loop *l = open_test_loop(&pc);
	struct loop_task tasks[1000];

	task_runs = 0;
	ck_assert_int_eq(start_loop(l), 0);
	for (int i = 0; i < 1000; i++) {
		tasks[i].run = count_task;
		post_loop_task(l, &tasks[i]);
	}
	stop_loop(l);
	ck_assert_int_eq(task_runs, 1000);
	close_loop(l);
}
END_TEST

/*
 * Guards against reservations above the budget, and against large bodies that
 * use the reserve for small ones.
 */
START_TEST(budget_keeps_a_reserve_for_small_bodies)
{
	const struct budget_case *c = &budgets[_i];
	struct budget *b;

	ck_assert_int_eq(open_budget(1024 * 1024, &b), 0);
	if (c->used > 0)
		ck_assert(reserve_budget(b, c->used));
	ck_assert_int_eq(reserve_budget(b, c->bytes), c->fits);
	if (c->fits)
		release_budget(b, c->bytes);
	if (c->used > 0)
		release_budget(b, c->used);
	ck_assert_int_eq(get_budget_used(b), 0);
	ck_assert(reserve_budget(b, 1024 * 1024));
	close_budget(b);
}
END_TEST

/* Guards against listening on another address than the configured one. */
START_TEST(listen_address_is_numeric)
{
	const struct address_case *c = &addresses[_i];
	struct fault f = {0};
	int fd = -1, port = 0;

	ck_assert_int_eq(open_listener(c->text, &fd, &port, &f), c->rc);
	if (c->rc == 0) {
		ck_assert_int_gt(port, 0);
		close(fd);
	} else {
		ck_assert_int_gt((int)strlen(f.text), 0);
	}
}
END_TEST

/* Guards against counters of a large table that do not fit the registry. */
START_TEST(every_counter_of_a_large_table_is_kept)
{
	char kind[TABLE_NAME_BYTES];

	for (int i = 0; i < LARGE_ROWS; i++) {
		snprintf(
		    kind, sizeof(kind), "a-kind-with-the-longest-name-%03x", i);
		for (int k = 0; k < ROW_QUEUE_US; k++)
			count_row(find_row_state(kind), k, 1);
		observe_row(find_row_state(kind), ROW_QUEUE_US, 1);
		observe_row(find_row_state(kind), ROW_ADDED_US, 1);
	}
	ck_assert_uint_eq(get_metric_refusals(), 0);
	ck_assert_int_eq(
	    get_metric(find_row_state(kind)->ids[ROW_HEDGES] - 2), 1);
}
END_TEST

static void
record_fired(struct loop_timer *t)
{
	((struct ordered_timer *)t)->order = ++fired;
}

static void
count_task(struct loop_task *t)
{
	(void)t;
	task_runs++;
}

static void
drop_transfer(CURL *easy, CURLcode code)
{
	(void)easy;
	(void)code;
}

static bool
process_nothing(void *arg)
{
	(void)arg;
	return false;
}

static struct loop *
open_test_loop(struct paused_clock *pc)
{
	struct loop_hooks hooks = {drop_transfer, process_nothing, NULL};
	struct loop *l = NULL;

	ck_assert_int_eq(open_loop(get_paused_clock(pc), &hooks, &l), 0);
	return l;
}

int
main(void)
{
	Suite *s = suite_create("parts");
	TCase *t = tcase_create("parts");
	SRunner *r;
	int failed;

	tcase_add_test(t, timers_fire_in_order);
	tcase_add_test(t, timer_waits_for_the_clock);
	tcase_add_test(t, every_counter_of_a_large_table_is_kept);
	tcase_add_test(t, every_posted_task_runs_once);
	tcase_add_loop_test(t, budget_keeps_a_reserve_for_small_bodies, 0,
	    sizeof(budgets) / sizeof(budgets[0]));
	tcase_add_loop_test(t, listen_address_is_numeric, 0,
	    sizeof(addresses) / sizeof(addresses[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
