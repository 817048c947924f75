/*
 * The table in force and its holders.
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

/* Guards against a table that is freed under a call or never. */
START_TEST(old_version_lives_until_its_last_release)
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

/* Guards against versions without bound, and a slot that is used twice. */
START_TEST(held_versions_are_bounded)
{
	const struct table *held[HOLD_SLOTS];
	struct hold *h = open_hold();
	struct table *more = make_version(9999);

	for (int i = 1; i < HOLD_SLOTS; i++) {
		ck_assert_int_eq(publish_hold(h, make_version((uint64_t)i)), 0);
		held[i] = acquire_hold(h);
	}
	ck_assert_int_eq(publish_hold(h, more), ERR_LIMIT);
	for (int i = 1; i < HOLD_SLOTS; i++)
		ck_assert_uint_eq(held[i]->version, (uint64_t)i);
	release_hold(h, held[500]);
	ck_assert_int_eq(publish_hold(h, more), 0);
	held[500] = acquire_hold(h);
	ck_assert_uint_eq(held[500]->version, 9999);
	for (int i = 1; i < HOLD_SLOTS; i++)
		release_hold(h, held[i]);
	ck_assert_int_eq(count_hold(h), 1);
	close_hold(h);
}
END_TEST

struct reading {
	struct hold *hold;
	atomic_bool stop;
	atomic_int bad;
};

static void *
read_versions(void *arg)
{
	struct reading *r = arg;
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
 * Guards against a reader that sees a version go back, a freed table or parts
 * of two tables (with the sanitizers).
 */
START_TEST(readers_see_whole_versions_only_upward)
{
	struct reading r = {.hold = open_hold()};
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
	tcase_add_test(t, old_version_lives_until_its_last_release);
	tcase_add_test(t, held_versions_are_bounded);
	tcase_add_test(t, readers_see_whole_versions_only_upward);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
