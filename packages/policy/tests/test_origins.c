/*
 * Which kinds count as made by backend servers, for random streams of calls
 * with given origins.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "origins.h"

#define KINDS 3
#define SERVICES 3
#define CALLS 6000

/*
 * Share of each kind among all calls, and of the origin services among its
 * calls.
 */
struct origins_case {
	const char *what;
	struct {
		double share;
		double services[SERVICES];
		bool internal; /* expected at the end */
	} kinds[KINDS];
	struct {
		double services[SERVICES];
		bool internal;
	} later; /* of the first kind, for CALLS more calls; 0: none */
};

#define CLIENTS                  \
	{                        \
		0.45, 0.27, 0.28 \
	}

static const struct origins_case cases[] = {
    {"only kinds of clients",
	{{0.7, CLIENTS, false}, {0.2, CLIENTS, false}, {0.1, CLIENTS, false}},
	{{0}, false}},
    {"calls of one service and of clients",
	{{0.6, {0, 1, 0}, true}, {0.4, CLIENTS, false}}, {{0}, false}},
    {"calls of two of three services",
	{{0.6, {0.5, 0.5, 0}, true}, {0.4, CLIENTS, false}}, {{0}, false}},
    {"most calls are of an internal kind",
	{{0.9, {0, 1, 0}, true}, {0.1, CLIENTS, false}}, {{0}, false}},
    {"nothing to compare with", {{1, {0, 1, 0}, false}}, {{0}, false}},
    {"a rare kind of clients", {{0.01, CLIENTS, false}, {0.99, CLIENTS, false}},
	{{0}, false}},
    {"clients rarely call beside two services",
	{{0.5, {0.96, 0.02, 0.02}, false}, {0.5, {0.96, 0.02, 0.02}, false}},
	{{0}, false}},
    {"a route moves, and a second service makes the calls",
	{{0.6, {0, 1, 0}, true}, {0.4, CLIENTS, false}}, {{0.5, 0.5, 0}, true}},
    {"clients start to make calls of the kind",
	{{0.6, {0, 1, 0}, true}, {0.4, CLIENTS, false}}, {CLIENTS, false}},
};

/* Draws an index with the given probabilities. */
static int
draw_index(const double *shares, size_t count, struct rng *r)
{
	double draw = draw_unit(r), end = 0;

	for (size_t i = 0; i + 1 < count; i++) {
		end += shares[i];
		if (draw < end)
			return (int)i;
	}
	return (int)count - 1;
}

/* Counts CALLS calls drawn from a case; later selects the second phase. */
static void
count_calls(const struct origins_case *c, bool later, struct origins *o,
    struct origin_counts *kinds, struct rng *r)
{
	static const char *const names[SERVICES] = {"x1", "x2", "x3"};
	double shares[KINDS];

	for (int k = 0; k < KINDS; k++)
		shares[k] = c->kinds[k].share;
	for (int i = 0; i < CALLS; i++) {
		int k = draw_index(shares, KINDS, r);
		const double *from = c->kinds[k].services;

		if (c->kinds[k].share <= 0)
			continue;
		if (later && k == 0)
			from = c->later.services;
		count_origin(o, &kinds[k],
		    make_str(names[draw_index(from, SERVICES, r)]));
	}
}

/*
 * Guards against calls of backend servers that wait behind those of clients,
 * also when a second service makes them, and against client calls that are
 * taken for internal ones.
 */
START_TEST(internal_kinds_are_detected)
{
	const struct origins_case *c = &cases[_i];
	bool changes = c->later.services[0] > 0;

	for (uint64_t seed = 0; seed < 50; seed++) {
		struct origins o = {0};
		struct origin_counts kinds[KINDS] = {0};
		struct rng r;

		seed_rng(&r, seed);
		count_calls(c, false, &o, kinds, &r);
		for (int k = 0; k < KINDS; k++)
			ck_assert_msg(
			    is_internal_kind(&kinds[k]) == c->kinds[k].internal,
			    "%s: kind %d, seed %d", c->what, k, (int)seed);
		if (!changes)
			continue;
		count_calls(c, true, &o, kinds, &r);
		ck_assert_msg(is_internal_kind(&kinds[0]) == c->later.internal,
		    "%s: later, seed %d", c->what, (int)seed);
	}
}
END_TEST

/*
 * Guards against an internal kind that loses its status when few nodes remain
 * beside the service that it lacks, and against one that is never detected
 * where such nodes are few.
 */
START_TEST(internal_kind_of_a_rare_service_is_kept)
{
	static const double before[] = {0.6, 0.34, 0.06};
	static const double after[] = {0.6, 0.395, 0.005};
	static const double internal_shares[] = {0.5, 0.5, 0};
	static const char *const names[SERVICES] = {"x1", "x2", "x3"};

	for (uint64_t seed = 0; seed < 50; seed++) {
		struct origins o = {0};
		struct origin_counts kinds[2] = {0};
		struct rng r;

		seed_rng(&r, seed);
		for (int i = 0; i < 2 * CALLS; i++) {
			const double *from = i < CALLS ? before : after;
			int k = i % 2;

			count_origin(&o, &kinds[k],
			    make_str(names[draw_index(
				k == 0 ? internal_shares : from, SERVICES,
				&r)]));
			if (i + 1 >= CALLS)
				ck_assert_msg(is_internal_kind(&kinds[0]) &&
						  !is_internal_kind(&kinds[1]),
				    "seed %d, call %d", (int)seed, i);
		}
	}
}
END_TEST

/* Guards against memory errors with more services than ORIGINS_MAX. */
START_TEST(services_beyond_the_maximum_are_ignored)
{
	struct origins o = {0};
	struct origin_counts k = {0};
	char name[16];

	for (int i = 0; i < 4 * ORIGINS_MAX; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		count_origin(&o, &k, make_str(name));
	}
	ck_assert_uint_eq(o.service_count, ORIGINS_MAX);
	ck_assert(!is_internal_kind(&k));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("origins");
	TCase *t = tcase_create("origins");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, internal_kinds_are_detected, 0,
	    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(t, internal_kind_of_a_rare_service_is_kept);
	tcase_add_test(t, services_beyond_the_maximum_are_ignored);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
