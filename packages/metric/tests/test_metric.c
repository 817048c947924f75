/*
 * The registry with the metrics of a large table, its limits and its text form.
 */
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "metric.h"

#define ROWS 2000 /* as many as METRIC_MAX has room for */
#define ROW_COUNTERS 19
#define ROW_HISTOGRAMS 2

static void register_rows(int rows);
static int count_occurrences(const char *text, const char *needle);

/* Guards against refused metrics for the last rows of a large table. */
START_TEST(large_table_fits)
{
	metric_id id;

	register_rows(ROWS);
	ck_assert_uint_eq(get_metric_refusals(), 0);
	id = register_metric(METRIC_COUNTER, "c3_total{kind=\"row-1999\"}", "");
	count_metric(id, 7);
	ck_assert_int_eq(get_metric(id), 7);
	ck_assert_int_eq(
	    register_metric(METRIC_COUNTER, "c3_total{kind=\"row-1999\"}", ""),
	    id);
}
END_TEST

/* Guards against refused registrations that no metric shows. */
START_TEST(refused_registrations_are_counted)
{
	struct buf b = {0};
	char name[METRIC_NAME_BYTES * 2];

	for (int i = 0; i < METRIC_MAX; i++) {
		snprintf(name, sizeof(name), "m_total{kind=\"%d\"}", i);
		ck_assert_int_ge(register_metric(METRIC_COUNTER, name, ""), 0);
	}
	ck_assert_int_eq(
	    register_metric(METRIC_COUNTER, "one_more", ""), ERR_LIMIT);
	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	ck_assert_int_lt(register_metric(METRIC_COUNTER, name, ""), 0);
	ck_assert_uint_eq(get_metric_refusals(), 2);
	ck_assert_int_eq(render_metrics(&b), 0);
	ck_assert_ptr_nonnull(
	    strstr(b.data, "\nggs_metrics_refused_total 2\n"));
	unload_buf(&b);
}
END_TEST

/* Guards against unbounded memory for histograms, which use 4 KB each. */
START_TEST(histograms_are_bounded)
{
	char name[METRIC_NAME_BYTES];

	for (int i = 0; i <= METRIC_HISTOGRAMS_MAX; i++) {
		snprintf(name, sizeof(name), "h{kind=\"%d\"}", i);
		ck_assert_int_eq(
		    register_metric(METRIC_HISTOGRAM, name, "") >= 0,
		    i < METRIC_HISTOGRAMS_MAX);
	}
	ck_assert_uint_eq(get_metric_refusals(), 1);
}
END_TEST

/* Guards against scattered samples of one name, which scrapers reject. */
START_TEST(samples_of_a_family_are_adjacent)
{
	struct buf b = {0};
	const char *first, *last, *other;

	count_metric(register_metric(METRIC_COUNTER, "a{k=\"1\"}", "A"), 1);
	count_metric(register_metric(METRIC_COUNTER, "b{k=\"1\"}", "B"), 2);
	count_metric(register_metric(METRIC_COUNTER, "a{k=\"2\"}", "A"), 3);
	ck_assert_int_eq(render_metrics(&b), 0);
	first = strstr(b.data, "\na{k=\"1\"} 1\n");
	last = strstr(b.data, "\na{k=\"2\"} 3\n");
	other = strstr(b.data, "\nb{k=\"1\"} 2\n");
	ck_assert(first != NULL && last != NULL && other != NULL);
	ck_assert(first < last && last < other);
	ck_assert_int_eq(count_occurrences(b.data, "# TYPE a counter\n"), 1);
	unload_buf(&b);
}
END_TEST

#define RACE_THREADS 48 /* one after the other, below GGS_MAX_THREADS */

/* What new threads do while another one renders the metrics. */
struct race_case {
	const char *name;
	bool registers; /* a metric of its own */
};

static const struct race_case race_cases[] = {
    {"threads that count for the first time", false},
    {"threads that register metrics", true},
};

static const struct race_case *race_case;
static metric_id shared_counter;
static atomic_bool race_done;

static void *
count_in_thread(void *arg)
{
	char name[METRIC_NAME_BYTES];

	count_metric(shared_counter, 1);
	if (!race_case->registers)
		return NULL;
	snprintf(name, sizeof(name), "race_%d{k=\"1\"}", *(const int *)arg);
	count_metric(register_metric(METRIC_COUNTER, name, "Race."), 1);
	snprintf(name, sizeof(name), "race{k=\"%d\"}", *(const int *)arg);
	set_metric(register_metric(METRIC_GAUGE, name, "Race."), 1);
	return NULL;
}

static void *
start_threads(void *arg)
{
	(void)arg;
	for (int i = 0; i < RACE_THREADS; i++) {
		pthread_t t;

		ck_assert_int_eq(
		    pthread_create(&t, NULL, count_in_thread, &i), 0);
		pthread_join(t, NULL);
	}
	atomic_store(&race_done, true);
	return NULL;
}

/*
 * Guards against a scrape that sees the number of threads before the counters
 * of the last one, as weakly ordered processors may: it would follow a null
 * pointer and end the process. The thread sanitizer reports such a read.
 */
START_TEST(scrapes_while_threads_start)
{
	pthread_t t;

	race_case = &race_cases[_i];
	shared_counter = register_metric(METRIC_COUNTER, "shared_total", "S");
	ck_assert_int_eq(pthread_create(&t, NULL, start_threads, NULL), 0);
	do {
		struct buf b = {0};

		ck_assert_int_eq(render_metrics(&b), 0);
		ck_assert_ptr_nonnull(strstr(b.data, "\nshared_total "));
		ck_assert_msg(strstr(b.data, "# HELP  ") == NULL,
		    "%s: a family without "
		    "a name",
		    race_case->name);
		unload_buf(&b);
	} while (!atomic_load_explicit(&race_done, memory_order_relaxed));
	pthread_join(t, NULL);
	ck_assert_int_eq(get_metric(shared_counter), RACE_THREADS);
}
END_TEST

static void
register_rows(int rows)
{
	char name[METRIC_NAME_BYTES];

	for (int i = 0; i < rows; i++) {
		for (int k = 0; k < ROW_COUNTERS + ROW_HISTOGRAMS; k++) {
			snprintf(name, sizeof(name),
			    "c%d_total{kind=\"row-%d\"}", k, i);
			ck_assert_int_ge(
			    register_metric(k < ROW_COUNTERS ? METRIC_COUNTER :
							       METRIC_HISTOGRAM,
				name, ""),
			    0);
		}
	}
}

static int
count_occurrences(const char *text, const char *needle)
{
	int n = 0;

	for (; (text = strstr(text, needle)) != NULL; text++)
		n++;
	return n;
}

int
main(void)
{
	Suite *s = suite_create("metric");
	TCase *t = tcase_create("metric");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_test(t, large_table_fits);
	tcase_add_test(t, refused_registrations_are_counted);
	tcase_add_test(t, histograms_are_bounded);
	tcase_add_test(t, samples_of_a_family_are_adjacent);
	tcase_add_loop_test(t, scrapes_while_threads_start, 0,
	    (int)(sizeof(race_cases) / sizeof(race_cases[0])));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
