/*
 * Packed messages: what goes in comes out, and bytes that were damaged or that
 * claim too much are refused.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wire.h"

struct size_case {
	size_t len;
	bool repeats; /* else the bytes do not shrink */
	bool want_shorter;
};

static const struct size_case size_cases[] = {
    {0, true, false},
    {100, true, false}, /* too short to be deflated */
    {1000, true, true},
    {1000, false, false},
    {300000, true, true},
    {300000, false, false},
    {WIRE_MESSAGE_MAX - 64, true, true},
};

/* Fills b with a text like a table's, or with pseudorandom bytes. */
static void
fill_message(struct buf *b, const struct size_case *c)
{
	struct rng rng;

	seed_rng(&rng, 7);
	while (b->len < c->len) {
		unsigned char byte = (unsigned char)draw_below(&rng, 256);

		if (c->repeats)
			append_buf_fmt(b, "row-%zu,svc,1,10,5\n", b->len);
		else
			append_buf(b, &byte, 1);
	}
	b->len = c->len;
}

/* Guards against a message that changes on its way. */
START_TEST(packed_messages_come_out_unchanged)
{
	const struct size_case *c = &size_cases[_i];
	struct buf message = {0}, packed = {0}, out = {0};

	fill_message(&message, c);
	ck_assert_int_eq(pack_wire(view_buf(&message), &packed), 0);
	ck_assert_int_eq(packed.len < message.len, c->want_shorter);
	ck_assert_int_eq(unpack_wire(view_buf(&packed), &out), 0);
	ck_assert(is_str_equal(view_buf(&out), view_buf(&message)));
	unload_buf(&message);
	unload_buf(&packed);
	unload_buf(&out);
}
END_TEST

/* Guards against memory without bound and reads past the end. */
START_TEST(damaged_messages_are_refused)
{
	static const struct size_case shape = {2000, true, true};
	struct buf message = {0}, packed = {0}, out = {0};
	uint32_t claimed[] = {1, 1999, 2001, WIRE_MESSAGE_MAX + 1, UINT32_MAX};

	fill_message(&message, &shape);
	ck_assert_int_eq(pack_wire(view_buf(&message), &packed), 0);
	for (size_t len = 0; len < packed.len; len++)
		ck_assert_int_lt(
		    unpack_wire(make_str_n(packed.data, len), &out), 0);
	for (size_t i = 0; i < sizeof(claimed) / sizeof(claimed[0]); i++) {
		for (int k = 0; k < 4; k++)
			packed.data[k] = (char)(claimed[i] >> (24 - 8 * k));
		ck_assert_int_lt(unpack_wire(view_buf(&packed), &out), 0);
	}
	ck_assert_uint_eq(out.len, 0);
	unload_buf(&message);
	unload_buf(&packed);
	unload_buf(&out);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("wire");
	TCase *t = tcase_create("pack");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, packed_messages_come_out_unchanged, 0,
	    sizeof(size_cases) / sizeof(size_cases[0]));
	tcase_add_test(t, damaged_messages_are_refused);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
