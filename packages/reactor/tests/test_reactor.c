/*
 * Timers, descriptors and tasks of the event loop, on a paused clock.
 */
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "reactor.h"

#define TIMERS 500

struct test_timer {
	struct timer timer;
	int number;
};

static struct paused_clock paused;
static struct reactor *loop;
static int64_t last_at;
static int run_count;

static void
setup(void)
{
	struct clock_source c = get_paused_clock(&paused);

	paused = (struct paused_clock){0};
	last_at = 0;
	run_count = 0;
	ck_assert_int_eq(open_reactor(&c, &loop), 0);
}

static void
teardown(void)
{
	close_reactor(loop);
}

static void
check_order(struct timer *t)
{
	ck_assert_int_ge(t->due_ns, last_at);
	ck_assert_int_le(t->due_ns, get_reactor_now(loop));
	last_at = t->due_ns;
	run_count++;
}

/* Guards against timers that run early, late, twice or out of order. */
START_TEST(timers_run_in_order_once)
{
	struct test_timer t[TIMERS] = {0};
	int want = 0;
	struct rng r;

	seed_rng(&r, 3);
	for (int i = 0; i < TIMERS; i++)
		set_timer(loop, &t[i].timer, 1 + (int64_t)draw_below(&r, 1000),
		    check_order);
	for (int i = 0; i < TIMERS; i += 3)
		cancel_timer(loop, &t[i].timer);
	for (int i = 1; i < TIMERS; i += 3)
		set_timer(loop, &t[i].timer, 1 + (int64_t)draw_below(&r, 1000),
		    check_order);
	for (int i = 0; i < TIMERS; i++)
		want += i % 3 != 0 ? 1 : 0;
	for (int at = 0; at <= 1000; at += 10) {
		paused.mono_ns = at;
		run_reactor_round(loop, 0);
	}
	ck_assert_int_eq(run_count, want);
}
END_TEST

static struct watch first, second;

static void
stop_both(struct watch *w, uint32_t events)
{
	(void)w;
	(void)events;
	run_count++;
	stop_watch(loop, &first);
	stop_watch(loop, &second);
}

/* Guards against an event for an object that an earlier handler freed. */
START_TEST(stopped_watch_gets_no_pending_event)
{
	int a[2], b[2];

	ck_assert_int_eq(pipe(a), 0);
	ck_assert_int_eq(pipe(b), 0);
	first = second = (struct watch){0};
	ck_assert_int_eq(
	    start_watch(loop, &first, a[0], EPOLLIN, stop_both), 0);
	ck_assert_int_eq(
	    start_watch(loop, &second, b[0], EPOLLIN, stop_both), 0);
	ck_assert_int_eq(write(a[1], "x", 1), 1);
	ck_assert_int_eq(write(b[1], "x", 1), 1);
	run_reactor_round(loop, 100);
	run_reactor_round(loop, 0);
	ck_assert_int_eq(run_count, 1);
	for (int i = 0; i < 2; i++) {
		close(a[i]);
		close(b[i]);
	}
}
END_TEST

static void
count_task(struct task *t)
{
	(void)t;
	run_count++;
}

static void *
post_tasks(void *arg)
{
	post_task(loop, arg, count_task);
	return NULL;
}

/* Guards against tasks that are lost or run twice. */
START_TEST(tasks_run_once_on_the_loop)
{
	struct task deferred = {0}, posted = {0};
	pthread_t thread;

	defer_task(loop, &deferred, count_task);
	defer_task(loop, &deferred, count_task);
	pthread_create(&thread, NULL, post_tasks, &posted);
	pthread_join(thread, NULL);
	post_task(loop, &posted, count_task);
	ck_assert_int_eq(run_count, 0);
	run_reactor_round(loop, 0);
	ck_assert_int_eq(run_count, 2);
	run_reactor_round(loop, 0);
	ck_assert_int_eq(run_count, 2);
	post_task(loop, &posted, count_task);
	run_reactor_round(loop, 100);
	ck_assert_int_eq(run_count, 3);
}
END_TEST

static struct task chained[3];
static int chained_runs[3];

static void
run_chained(struct task *t)
{
	int i = (int)(t - chained);

	chained_runs[i]++;
	/* The first one posts the second again, which has not run yet. */
	if (i == 0)
		post_task(loop, &chained[1], run_chained);
}

/*
 * Guards against losing a posted task because one before it is posted again
 * while it waits: a node would miss a stop or a new table.
 */
START_TEST(posted_tasks_survive_repeated_posts)
{
	memset(chained, 0, sizeof(chained));
	memset(chained_runs, 0, sizeof(chained_runs));
	for (int i = 0; i < 3; i++)
		post_task(loop, &chained[i], run_chained);
	for (int i = 0; i < 3; i++)
		run_reactor_round(loop, 0);
	ck_assert_int_eq(chained_runs[0], 1);
	ck_assert_int_ge(chained_runs[1], 1);
	ck_assert_int_eq(chained_runs[2], 1);
}
END_TEST

#define POSTS 20000

/* Threads that post the same tasks again and again. */
struct post_case {
	int threads;
	int tasks;
};

static const struct post_case post_cases[] = {{1, 1}, {1, 3}, {3, 1}, {3, 3}};

static struct task repeated[3];
static atomic_int post_count; /* before the post */
static atomic_int posters; /* still running */
static int seen_count; /* post_count when a task ran last */

static void
see_posts(struct task *t)
{
	(void)t;
	seen_count = atomic_load_explicit(&post_count, memory_order_relaxed);
}

static void *
post_repeatedly(void *arg)
{
	const struct post_case *c = arg;

	for (int i = 0; i < POSTS; i++) {
		atomic_fetch_add_explicit(&post_count, 1, memory_order_relaxed);
		post_task(loop, &repeated[i % c->tasks], see_posts);
	}
	atomic_fetch_sub(&posters, 1);
	return NULL;
}

/*
 * Guards against a data race of a task that runs with the thread that posts it
 * again (the thread sanitizer reports it), and against a post that is lost
 * then: a node would keep an older table until the next change.
 */
START_TEST(tasks_are_posted_while_they_run)
{
	const struct post_case *c = &post_cases[_i];
	pthread_t threads[3] = {0};

	memset(repeated, 0, sizeof(repeated));
	seen_count = 0;
	atomic_store(&post_count, 0);
	atomic_store(&posters, c->threads);
	for (int i = 0; i < c->threads; i++)
		ck_assert_int_eq(pthread_create(&threads[i], NULL,
				     post_repeatedly, (void *)(uintptr_t)c),
		    0);
	while (atomic_load(&posters) > 0)
		run_reactor_round(loop, 10);
	for (int i = 0; i < c->threads; i++)
		pthread_join(threads[i], NULL);
	run_reactor_round(loop, 0);
	ck_assert_int_eq(seen_count, c->threads * POSTS);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("reactor");
	TCase *t = tcase_create("reactor");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, timers_run_in_order_once);
	tcase_add_test(t, stopped_watch_gets_no_pending_event);
	tcase_add_test(t, tasks_run_once_on_the_loop);
	tcase_add_test(t, posted_tasks_survive_repeated_posts);
	tcase_add_loop_test(t, tasks_are_posted_while_they_run, 0,
	    (int)(sizeof(post_cases) / sizeof(post_cases[0])));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
