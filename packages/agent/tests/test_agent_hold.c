/*
 * The table in force and its reference counts.
 */
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent_hold.h"

#define READERS 4
#define SWITCHES 20000

static struct table *
make_version(uint64_t version)
{
	struct table *t = make_empty_table();

	ck_assert_ptr_nonnull(t);
	t->version = version;
	t->digest = ~version;
	return t;
}

/* Guards against a table that is freed while in use, or never. */
START_TEST(pinned_version_is_kept_until_its_last_release)
{
	struct table_pins *h = open_table_pins();
	const struct table *a, *b, *c;

	ck_assert_ptr_null(pin_table(h));
	unpin_table(h, NULL);
	ck_assert_int_eq(publish_table(h, make_version(1)), 0);
	a = pin_table(h);
	b = pin_table(h);
	ck_assert_int_eq(publish_table(h, make_version(2)), 0);
	ck_assert_int_eq(count_pinned_versions(h), 2);
	c = pin_table(h);
	ck_assert_uint_eq(a->version, 1);
	ck_assert_uint_eq(c->version, 2);
	unpin_table(h, a);
	ck_assert_int_eq(count_pinned_versions(h), 2);
	ck_assert_uint_eq(b->version, 1);
	unpin_table(h, b);
	ck_assert_int_eq(count_pinned_versions(h), 1);
	unpin_table(h, c);
	ck_assert_int_eq(count_pinned_versions(h), 1);
	ck_assert_int_eq(publish_table(h, make_version(3)), 0);
	ck_assert_int_eq(count_pinned_versions(h), 1);
	close_table_pins(h);
}
END_TEST

/* Guards against unbounded versions in memory and a slot in use twice. */
START_TEST(pinned_versions_are_bounded)
{
	const struct table *pinned[PIN_SLOTS];
	struct table_pins *h = open_table_pins();
	struct table *more = make_version(9999);

	for (int i = 1; i < PIN_SLOTS; i++) {
		ck_assert_int_eq(
		    publish_table(h, make_version((uint64_t)i)), 0);
		pinned[i] = pin_table(h);
	}
	ck_assert_int_eq(publish_table(h, more), ERR_LIMIT);
	for (int i = 1; i < PIN_SLOTS; i++)
		ck_assert_uint_eq(pinned[i]->version, (uint64_t)i);
	unpin_table(h, pinned[500]);
	ck_assert_int_eq(publish_table(h, more), 0);
	pinned[500] = pin_table(h);
	ck_assert_uint_eq(pinned[500]->version, 9999);
	for (int i = 1; i < PIN_SLOTS; i++)
		unpin_table(h, pinned[i]);
	ck_assert_int_eq(count_pinned_versions(h), 1);
	close_table_pins(h);
}
END_TEST

struct reader_state {
	struct table_pins *table_pins;
	atomic_bool stop;
	atomic_int bad;
};

static void *
read_versions(void *arg)
{
	struct reader_state *r = arg;
	uint64_t last = 0;

	while (!atomic_load(&r->stop)) {
		const struct table *t = pin_table(r->table_pins);

		if (t != NULL &&
		    (t->version < last || t->digest != ~t->version))
			atomic_fetch_add(&r->bad, 1);
		if (t != NULL)
			last = t->version;
		unpin_table(r->table_pins, t);
	}
	return NULL;
}

/*
 * Guards against a reader that sees an older version after a newer one, parts
 * of two tables, or (with the sanitizers) a freed table.
 */
START_TEST(readers_see_complete_rising_versions)
{
	struct reader_state r = {.table_pins = open_table_pins()};
	pthread_t threads[READERS];

	for (int i = 0; i < READERS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, read_versions, &r), 0);
	for (uint64_t v = 1; v <= SWITCHES; v++)
		ck_assert_int_eq(
		    publish_table(r.table_pins, make_version(v)), 0);
	atomic_store(&r.stop, true);
	for (int i = 0; i < READERS; i++)
		pthread_join(threads[i], NULL);
	ck_assert_int_eq(atomic_load(&r.bad), 0);
	ck_assert_int_eq(count_pinned_versions(r.table_pins), 1);
	close_table_pins(r.table_pins);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("agent_hold");
	TCase *t = tcase_create("hold");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, pinned_version_is_kept_until_its_last_release);
	tcase_add_test(t, pinned_versions_are_bounded);
	tcase_add_test(t, readers_see_complete_rising_versions);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
