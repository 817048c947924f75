/*
 * Encoding of messages at the bounds of wire.x.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wire.h"

static char bytes[WIRE_MESSAGE_MAX + 1];

/* The value of a case: one field of len bytes, and small fields. */
union value {
	struct wire_table_update table;
	struct wire_propose_args propose;
	struct wire_packed packed;
	struct wire_member member;
};

static void
fill_table(union value *v, size_t len)
{
	v->table.body.body_val = bytes;
	v->table.body.body_len = (unsigned int)len;
}

static void
fill_propose(union value *v, size_t len)
{
	v->propose.command.command_val = bytes;
	v->propose.command.command_len = (unsigned int)len;
}

static void
fill_packed(union value *v, size_t len)
{
	v->packed.data.data_val = bytes;
	v->packed.data.data_len = (unsigned int)len;
}

static void
fill_member(union value *v, size_t len)
{
	v->member.address = bytes + sizeof(bytes) - 1 - len;
}

struct bound_case {
	void (*fill)(union value *v, size_t len);
	xdrproc_t proc;
	size_t len;
	int want;
};

static const struct bound_case bound_cases[] = {
    {fill_table, (xdrproc_t)xdr_wire_table_update, 0, 0},
    {fill_table, (xdrproc_t)xdr_wire_table_update, WIRE_TABLE_MAX, 0},
    {fill_table, (xdrproc_t)xdr_wire_table_update, WIRE_TABLE_MAX + 1,
	ERR_LIMIT},
    {fill_propose, (xdrproc_t)xdr_wire_propose_args, WIRE_COMMAND_MAX, 0},
    {fill_propose, (xdrproc_t)xdr_wire_propose_args, WIRE_COMMAND_MAX + 1,
	ERR_LIMIT},
    {fill_packed, (xdrproc_t)xdr_wire_packed, WIRE_PACKED_MAX, 0},
    {fill_packed, (xdrproc_t)xdr_wire_packed, WIRE_PACKED_MAX + 1, ERR_LIMIT},
    {fill_member, (xdrproc_t)xdr_wire_member, WIRE_NAME_MAX, 0},
    {fill_member, (xdrproc_t)xdr_wire_member, WIRE_NAME_MAX + 1, ERR_LIMIT},
};

/*
 * Guards against a value beyond its bound that is stored or sent as an empty
 * message, without an error.
 */
START_TEST(value_beyond_its_bound_is_an_error)
{
	const struct bound_case *c = &bound_cases[_i];
	struct buf out = {0};
	union value v, back;

	memset(&v, 0, sizeof(v));
	memset(&back, 0, sizeof(back));
	memset(bytes, 'x', sizeof(bytes) - 1);
	c->fill(&v, c->len);
	ck_assert_int_eq(append_buf_str(&out, make_str("kept")), 0);
	ck_assert_int_eq(encode_wire(c->proc, &v, &out), c->want);
	if (c->want != 0) {
		ck_assert(is_str_equal(view_buf(&out), make_str("kept")));
	} else {
		ck_assert_int_eq(
		    decode_wire(
			c->proc, make_str_n(out.data + 4, out.len - 4), &back),
		    0);
		unload_wire(c->proc, &back);
	}
	unload_buf(&out);
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("wire");
	Suite *s = suite_create("wire");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, value_beyond_its_bound_is_an_error, 0,
	    sizeof(bound_cases) / sizeof(bound_cases[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
