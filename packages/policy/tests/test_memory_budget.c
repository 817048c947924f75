/*
 * Who gives way when memory or descriptors are short, under clients that hold
 * bodies, send without end, or do not read. Guards against a crowd that takes
 * what ordinary calls need, and against refusing a legal message in calm.
 */
#include <check.h>
#include <stdlib.h>

#include "memory_budget.h"

#define MB (1000 * 1000LL)
#define NOW (100 * NSEC_PER_SEC)
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define UNKNOWN MEMORY_RANK_UNKNOWN

/* The longest body of the pages on the smallest VM, and a VM without limits. */
START_TEST(legal_body_fits)
{
	struct memory_budget b = plan_memory(160 * MB, 4100);
	size_t body = 64 * 1024 * 1024;

	ck_assert_uint_le(body + 256 * 1024, get_memory_level(&b, body, 3));
	ck_assert_uint_lt(b.common, b.urgent);
	ck_assert_uint_lt(b.urgent, b.limit);
	ck_assert_uint_lt(b.limit, 160 * MB);
	b = plan_memory(0, 0);
	ck_assert_uint_eq(get_memory_level(&b, body, 3), SIZE_MAX);
	ck_assert_int_eq(b.callers, 0);
	ck_assert_int_eq(choose_receive_bytes(&b, 5000), 0);
}
END_TEST

struct level_case {
	const char *name;
	size_t held;
	int rank;
	size_t share; /* of the limit, per mille */
};

static const struct level_case level_cases[] = {
    {"an ordinary call", 9000, 2, 1000},
    {"a head", 64 * 1024, UNKNOWN, 1000},
    {"a long body", 64 * 1024 + 1, 2, 700},
    {"a long body without a row", 1024 * 1024, UNKNOWN, 700},
    {"a long body of the most urgent row", 1024 * 1024, 1, 800},
};

START_TEST(long_messages_leave_a_reserve)
{
	const struct level_case *c = &level_cases[_i];
	struct memory_budget b = plan_memory(160 * MB, 0);

	ck_assert_msg(get_memory_level(&b, c->held, c->rank) / 1000 ==
			  b.limit * c->share / 1000000,
	    "%s: %zu", c->name, get_memory_level(&b, c->held, c->rank));
}
END_TEST

/* The first holder gives way before the second. */
struct order_case {
	const char *name;
	struct memory_holder first, second;
};

#define AGO(s) (NOW - (int64_t)((s)*NSEC_PER_SEC))

static const struct order_case memory_cases[] = {
    {"held before moving", {9000, AGO(2), AGO(9), 0, false},
	{1 << 20, AGO(0), AGO(1), 3, false}},
    {"longest held", {1 << 20, AGO(5), AGO(9), 1, false},
	{1 << 20, AGO(2), AGO(9), 1, false}},
    {"long held before small held", {1 << 20, AGO(2), AGO(9), 1, false},
	{9000, AGO(5), AGO(9), 1, false}},
    {"long before small", {1 << 20, AGO(0), AGO(9), 0, false},
	{9000, AGO(0), AGO(1), 3, false}},
    {"less urgent", {1 << 20, AGO(0), AGO(9), 2, false},
	{1 << 20, AGO(0), AGO(1), 0, false}},
    {"row not known", {1 << 20, AGO(0), AGO(9), UNKNOWN, false},
	{1 << 20, AGO(0), AGO(1), 5, false}},
    {"newest", {1 << 20, AGO(0), AGO(1), 1, false},
	{1 << 20, AGO(0), AGO(2), 1, false}},
    {"a call that runs stays", {9000, AGO(0), AGO(1), 0, false},
	{1 << 20, AGO(9), AGO(9), 3, true}},
};

START_TEST(memory_order)
{
	const struct order_case *c = &memory_cases[_i];

	ck_assert_msg(yields_memory_before(&c->first, &c->second, NOW) &&
			  !yields_memory_before(&c->second, &c->first, NOW),
	    "%s", c->name);
}
END_TEST

static const struct order_case descriptor_cases[] = {
    {"held before idle", {9000, AGO(2), AGO(2), 0, false},
	{0, AGO(9), AGO(9), UNKNOWN, false}},
    {"idle before moving", {0, AGO(0), AGO(0), UNKNOWN, false},
	{9000, AGO(0), AGO(1), UNKNOWN, false}},
    {"unused for longest", {0, AGO(9), AGO(9), UNKNOWN, false},
	{0, AGO(2), AGO(20), UNKNOWN, false}},
    {"newest message", {9000, AGO(0), AGO(1), 0, false},
	{9000, AGO(0), AGO(2), 0, false}},
    {"a call that runs stays", {9000, AGO(0), AGO(1), 0, false},
	{9000, AGO(9), AGO(9), 3, true}},
};

START_TEST(descriptor_order)
{
	const struct order_case *c = &descriptor_cases[_i];

	ck_assert_msg(yields_descriptor_before(&c->first, &c->second, NOW) &&
			  !yields_descriptor_before(&c->second, &c->first, NOW),
	    "%s", c->name);
}
END_TEST

/* Accepted connections leave descriptors for nodes, servers and files. */
START_TEST(connections_leave_descriptors)
{
	static const int64_t descriptors[] = {210, 260, 300, 1024, 4100, 65536};

	for (size_t i = 0; i < COUNT(descriptors); i++) {
		struct memory_budget b = plan_memory(0, descriptors[i]);

		ck_assert_int_gt(b.others, 0);
		if (descriptors[i] >= 300)
			ck_assert_int_lt(b.callers + 3 * b.others,
			    (descriptors[i] - 200) * 4 / 5);
	}
}
END_TEST

/* The receive buffers of a crowd together stay under a quarter of the budget. */
START_TEST(receive_buffers_are_shared)
{
	struct memory_budget b = plan_memory(160 * MB, 4100);

	for (int n = 100; n <= 1500; n += 100)
		ck_assert_uint_le(
		    (size_t)choose_receive_bytes(&b, n) * 2 * (size_t)n,
		    b.limit / 4);
	ck_assert_int_ge(choose_receive_bytes(&b, 50), 128 * 1024);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("memory_budget");
	TCase *t = tcase_create("memory_budget");
	SRunner *r;
	int failed;

	tcase_add_test(t, legal_body_fits);
	tcase_add_loop_test(
	    t, long_messages_leave_a_reserve, 0, COUNT(level_cases));
	tcase_add_loop_test(t, memory_order, 0, COUNT(memory_cases));
	tcase_add_loop_test(t, descriptor_order, 0, COUNT(descriptor_cases));
	tcase_add_test(t, connections_leave_descriptors);
	tcase_add_test(t, receive_buffers_are_shared);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
