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
	struct hold *h = open_hold();
	const struct table *a, *b, *c;

	ck_assert_ptr_null(acquire_hold(h));
	release_hold(h, NULL);
	ck_assert_int_eq(publish_hold(h, make_version(1)), 0);
	a = acquire_hold(h);
	b = acquire_hold(h);
	ck_assert_int_eq(publish_hold(h, make_version(2)), 0);
	ck_assert_int_eq(count_hold(h), 2);
	c = acquire_hold(h);
	ck_assert_uint_eq(a->version, 1);
	ck_assert_uint_eq(c->version, 2);
	release_hold(h, a);
	ck_assert_int_eq(count_hold(h), 2);
	ck_assert_uint_eq(b->version, 1);
	release_hold(h, b);
	ck_assert_int_eq(count_hold(h), 1);
	release_hold(h, c);
	ck_assert_int_eq(count_hold(h), 1);
	ck_assert_int_eq(publish_hold(h, make_version(3)), 0);
	ck_assert_int_eq(count_hold(h), 1);
	close_hold(h);
}
END_TEST

/* Guards against unbounded versions in memory and a slot in use twice. */
START_TEST(pinned_versions_are_bounded)
{
	const struct table *pinned[HOLD_SLOTS];
	struct hold *h = open_hold();
	struct table *more = make_version(9999);

	for (int i = 1; i < HOLD_SLOTS; i++) {
		ck_assert_int_eq(publish_hold(h, make_version((uint64_t)i)), 0);
		pinned[i] = acquire_hold(h);
	}
	ck_assert_int_eq(publish_hold(h, more), ERR_LIMIT);
	for (int i = 1; i < HOLD_SLOTS; i++)
		ck_assert_uint_eq(pinned[i]->version, (uint64_t)i);
	release_hold(h, pinned[500]);
	ck_assert_int_eq(publish_hold(h, more), 0);
	pinned[500] = acquire_hold(h);
	ck_assert_uint_eq(pinned[500]->version, 9999);
	for (int i = 1; i < HOLD_SLOTS; i++)
		release_hold(h, pinned[i]);
	ck_assert_int_eq(count_hold(h), 1);
	close_hold(h);
}
END_TEST

struct reader_state {
	struct hold *hold;
	atomic_bool stop;
	atomic_int bad;
};

static void *
read_versions(void *arg)
{
	struct reader_state *r = arg;
	uint64_t last = 0;

	while (!atomic_load(&r->stop)) {
		const struct table *t = acquire_hold(r->hold);

		if (t != NULL &&
		    (t->version < last || t->digest != ~t->version))
			atomic_fetch_add(&r->bad, 1);
		if (t != NULL)
			last = t->version;
		release_hold(r->hold, t);
	}
	return NULL;
}

/*
 * Guards against a reader that sees an older version after a newer one, parts
 * of two tables, or (with the sanitizers) a freed table.
 */
START_TEST(readers_see_complete_rising_versions)
{
	struct reader_state r = {.hold = open_hold()};
	pthread_t threads[READERS];

	for (int i = 0; i < READERS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, read_versions, &r), 0);
	for (uint64_t v = 1; v <= SWITCHES; v++)
		ck_assert_int_eq(publish_hold(r.hold, make_version(v)), 0);
	atomic_store(&r.stop, true);
	for (int i = 0; i < READERS; i++)
		pthread_join(threads[i], NULL);
	ck_assert_int_eq(atomic_load(&r.bad), 0);
	ck_assert_int_eq(count_hold(r.hold), 1);
	close_hold(r.hold);
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
