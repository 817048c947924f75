/*
 * Strings, buffers, clock and random numbers.
 */
#include <check.h>
#include <stdlib.h>

#include "base.h"

struct parse_case {
	const char *text;
	int64_t lo, hi;
	int want_rc;
	int64_t want;
};

static const struct parse_case parse_cases[] = {
    {"0", 0, 9, 0, 0},
    {"-5", -9, 9, 0, -5},
    {"10", 0, 9, ERR_INVALID, 0},
    {"", 0, 9, ERR_INVALID, 0},
    {"+1", 0, 9, ERR_INVALID, 0},
    {" 1", 0, 9, ERR_INVALID, 0},
    {"1x", 0, 9, ERR_INVALID, 0},
    {"99999999999999999999999", 0, 9, ERR_INVALID, 0},
};

/* Guards against accepting text such as "1x" as a number. */
START_TEST(parse_i64_rejects_partial_numbers)
{
	const struct parse_case *c = &parse_cases[_i];
	int64_t v = 0;

	ck_assert_int_eq(
	    parse_i64(make_str(c->text), c->lo, c->hi, &v), c->want_rc);
	if (c->want_rc == 0)
		ck_assert_int_eq(v, c->want);
}
END_TEST

/* Guards against a copy that overruns dst or truncates without an error. */
START_TEST(copy_str_rejects_long_strings)
{
	char dst[4];

	ck_assert_int_eq(copy_str(dst, sizeof(dst), make_str("abc")), 0);
	ck_assert_str_eq(dst, "abc");
	ck_assert_int_eq(
	    copy_str(dst, sizeof(dst), make_str("abcd")), ERR_LIMIT);
	ck_assert_str_eq(dst, "");
}
END_TEST

/* Guards against lost bytes when a buffer grows. */
START_TEST(buffer_grows_and_keeps_content)
{
	struct buf b = {0};

	for (int i = 0; i < 1000; i++)
		ck_assert_int_eq(append_buf_fmt(&b, "%d,", i), 0);
	ck_assert_uint_eq(b.len, 3890);
	ck_assert_int_eq(append_buf(&b, "x", 1), 0);
	ck_assert_str_eq(b.data + 3886, "999,x");
	unload_buf(&b);
}
END_TEST

/*
 * Guards against memory that is not counted, against long buffers of twice
 * their length, and against buffers that keep it when they are empty.
 */
START_TEST(buffers_are_counted)
{
	size_t before = get_buf_bytes(), len = 20 * 1024 * 1024;
	struct buf b = {0}, exact = {0};
	static const char piece[64 * 1024];

	ck_assert_int_eq(reserve_buf_within(&exact, 10, 5000), 0);
	ck_assert_int_eq(reserve_buf_within(&exact, 4900, 5000), 0);
	ck_assert_uint_eq(exact.cap, 5001);
	ck_assert_int_eq(reserve_buf_within(&exact, 6000, 5000), 0);
	ck_assert_uint_eq(exact.cap, 6001);
	while (b.len < len)
		ck_assert_int_eq(append_buf(&b, piece, sizeof(piece)), 0);
	ck_assert_uint_le(b.cap, len + len / 4);
	ck_assert_uint_eq(get_buf_bytes(), before + b.cap + exact.cap);
	trim_buf(&b, 100);
	ck_assert_uint_gt(b.cap, 0); /* it has bytes */
	b.len = 0;
	trim_buf(&b, 100);
	unload_buf(&exact);
	ck_assert_uint_eq(get_buf_bytes(), before);
}
END_TEST

/* Guards against a paused clock that follows real time. */
START_TEST(paused_clock_moves_only_when_advanced)
{
	struct paused_clock pc = {5, 7};
	struct clock_source c = get_paused_clock(&pc);

	ck_assert_int_eq(read_mono(&c), 5);
	advance_clock(&pc, 10);
	ck_assert_int_eq(read_mono(&c), 15);
	ck_assert_int_eq(read_wall(&c), 17);
}
END_TEST

/* Guards against random runs that cannot be repeated from their seed. */
START_TEST(equal_seeds_give_equal_sequences)
{
	struct rng a, b;

	seed_rng(&a, 42);
	seed_rng(&b, 42);
	for (int i = 0; i < 100; i++)
		ck_assert_uint_eq(draw_u64(&a), draw_u64(&b));
	for (int i = 0; i < 1000; i++) {
		ck_assert_uint_lt(draw_below(&a, 7), 7);
		ck_assert(draw_unit(&a) < 1.0);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("base");
	TCase *t = tcase_create("base");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, parse_i64_rejects_partial_numbers, 0,
	    sizeof(parse_cases) / sizeof(parse_cases[0]));
	tcase_add_test(t, copy_str_rejects_long_strings);
	tcase_add_test(t, buffer_grows_and_keeps_content);
	tcase_add_test(t, buffers_are_counted);
	tcase_add_test(t, paused_clock_moves_only_when_advanced);
	tcase_add_test(t, equal_seeds_give_equal_sequences);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
