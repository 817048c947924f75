/*
 * Table updates are accepted completely or not at all.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent_table.h"

#define CHANGES 700 /* versions covered by one delta */

static const char header[] =
    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms,"
    "queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,drain_s\n";
static const char row_a[] =
    "a,svc,1,10,10,100,100,1000,10,0,10,0,yes,60,64,10\n";
static const char row_b[] =
    "b,svc,2,10,10,100,100,1000,10,0,10,0,yes,60,64,10\n";
static const char row_bad[] =
    "b,svc,77,10,10,100,100,1000,10,0,10,0,yes,60,64,10\n";

static struct table *
load_rows(const char *one, const char *two, uint64_t version)
{
	struct buf csv = {0};
	struct fault f = {0};
	struct table *t;

	ck_assert_int_eq(append_buf_fmt(&csv, "%s%s%s", header, one, two), 0);
	ck_assert_msg(
	    load_table_csv(view_buf(&csv), version, &t, &f) == 0, "%s", f.text);
	unload_buf(&csv);
	return t;
}

struct update_case {
	const char *name;
	uint64_t current_version; /* of the node's table; 0: none */
	uint64_t version, base;
	enum wire_table_form form;
	const char *body; /* after the header, for a full table */
	int digest; /* 0 right, 1 wrong, 2 that of the current table */
	int want;
	bool accepted;
};

#define DELTA_W20 "a,weight,20\n"

static const struct update_case update_cases[] = {
    {"nothing new", 5, 5, 0, WIRE_TABLE_NONE, "", 2, 0, false},
    {"full, node without a table", 0, 5, 0, WIRE_TABLE_WHOLE, row_a, 0, 0,
	true},
    {"full, newer", 5, 9, 0, WIRE_TABLE_WHOLE, row_a, 0, 0, true},
    {"full, equal version", 5, 5, 0, WIRE_TABLE_WHOLE, row_a, 2, ERR_STALE,
	false},
    {"full, other content of the version", 5, 5, 0, WIRE_TABLE_WHOLE, row_a, 0,
	ERR_CORRUPT, false},
    {"full, lower version", 5, 4, 0, WIRE_TABLE_WHOLE, row_a, 0, ERR_STALE,
	false},
    {"full, wrong digest", 5, 9, 0, WIRE_TABLE_WHOLE, row_a, 1, ERR_CORRUPT,
	false},
    {"full, bad row", 5, 9, 0, WIRE_TABLE_WHOLE, row_bad, 0, ERR_INVALID,
	false},
    {"full, truncated", 0, 9, 0, WIRE_TABLE_WHOLE, "a,svc,1", 0, ERR_INVALID,
	false},
    {"delta", 5, 6, 5, WIRE_TABLE_DELTA, DELTA_W20, 0, 0, true},
    {"delta over many versions", 5, 600, 5, WIRE_TABLE_DELTA, DELTA_W20, 0, 0,
	true},
    {"duplicate delta", 6, 6, 5, WIRE_TABLE_DELTA, DELTA_W20, 2, ERR_STALE,
	false},
    {"delta after a newer version", 7, 6, 5, WIRE_TABLE_DELTA, DELTA_W20, 0,
	ERR_STALE, false},
    {"unknown base above", 5, 9, 8, WIRE_TABLE_DELTA, DELTA_W20, 0,
	ERR_CONFLICT, false},
    {"unknown base below", 5, 9, 4, WIRE_TABLE_DELTA, DELTA_W20, 0,
	ERR_CONFLICT, false},
    {"delta, node without a table", 0, 9, 8, WIRE_TABLE_DELTA, DELTA_W20, 0,
	ERR_CONFLICT, false},
    {"delta, wrong digest", 5, 6, 5, WIRE_TABLE_DELTA, DELTA_W20, 1,
	ERR_CORRUPT, false},
    {"delta without the change", 5, 6, 5, WIRE_TABLE_DELTA, "", 1, ERR_CORRUPT,
	false},
    {"delta, bad cell", 5, 6, 5, WIRE_TABLE_DELTA, "a,rank,77\n", 0,
	ERR_INVALID, false},
    {"delta, second cell bad", 5, 6, 5, WIRE_TABLE_DELTA,
	DELTA_W20 "a,rank,77\n", 0, ERR_INVALID, false},
    {"delta, missing row", 5, 6, 5, WIRE_TABLE_DELTA, "z,weight,20\n", 0,
	ERR_NOT_FOUND, false},
    {"delta, damaged", 5, 6, 5, WIRE_TABLE_DELTA, "a,weight\n", 0, ERR_CORRUPT,
	false},
    {"two contents of one version", 5, 5, 0, WIRE_TABLE_NONE, "", 1,
	ERR_CORRUPT, false},
};

/*
 * Guards against a version that is applied in part, damaged, out of order or a
 * second time, and against a refused update that changes the current table.
 */
START_TEST(update_is_accepted_completely_or_not_at_all)
{
	const struct update_case *c = &update_cases[_i];
	struct table *current = NULL, *out = NULL, *want;
	struct wire_table_update u = {
	    .table_version = c->version, .base = c->base, .form = c->form};
	struct buf body = {0};
	struct fault f = {0};
	uint64_t before = 0;
	int rc;

	if (c->current_version != 0) {
		current = load_rows(row_a, row_b, c->current_version);
		before = current->digest;
	}
	if (c->form == WIRE_TABLE_WHOLE)
		ck_assert_int_eq(append_buf_fmt(&body, "%s", header), 0);
	ck_assert_int_eq(append_buf_fmt(&body, "%s", c->body), 0);
	u.body.body_val = body.data;
	u.body.body_len = (unsigned int)body.len;
	want = c->form == WIRE_TABLE_WHOLE ?
		   load_rows(row_a, "", c->version) :
		   load_rows("a,svc,1,20,10,100,100,1000,10,0,10,0,yes,60,64,"
			     "10\n",
		       row_b, c->version);
	u.digest = c->digest == 2 ? before : want->digest + (c->digest == 1);
	rc = check_table_update(current, &u, &out, &f);
	ck_assert_msg(
	    rc == c->want, "%s: %s %s", c->name, get_err_name(rc), f.text);
	ck_assert_msg((out != NULL) == c->accepted, "%s", c->name);
	if (out != NULL) {
		ck_assert_uint_eq(out->version, c->version);
		ck_assert_uint_eq(out->digest, want->digest);
	}
	if (current != NULL)
		ck_assert_uint_eq(current->digest, before);
	unload_table(want);
	unload_table(out);
	unload_table(current);
	unload_buf(&body);
}
END_TEST

/* Guards against a node that needs more than one reply to catch up. */
START_TEST(one_delta_covers_hundreds_of_versions)
{
	struct table *current = load_rows(row_a, row_b, 1), *latest = current,
		     *next;
	struct wire_table_update u = {.base = 1, .form = WIRE_TABLE_DELTA};
	struct cell_list diff = {0};
	struct buf body = {0};
	struct fault f = {0};
	struct rng r;

	seed_rng(&r, 7);
	for (uint64_t v = 2; v < 2 + CHANGES; v++) {
		struct cell_list one = {0};
		char value[16];

		snprintf(
		    value, sizeof(value), "%d", 1 + (int)draw_below(&r, 1000));
		ck_assert_int_eq(
		    append_cell(&one, make_str(draw_below(&r, 2) ? "a" : "b"),
			COL_WEIGHT, make_str(value)),
		    0);
		ck_assert_int_eq(apply_cells(latest, &one, v, &next, &f), 0);
		unload_cells(&one);
		if (latest != current)
			unload_table(latest);
		latest = next;
	}
	ck_assert_int_eq(diff_tables(current, latest, &diff), 0);
	ck_assert_uint_le(diff.count, 2);
	ck_assert_int_eq(encode_cells(&diff, &body), 0);
	u.table_version = latest->version;
	u.digest = latest->digest;
	u.body.body_val = body.data;
	u.body.body_len = (unsigned int)body.len;
	ck_assert_int_eq(check_table_update(current, &u, &next, &f), 0);
	ck_assert_uint_eq(next->version, 1 + CHANGES);
	unload_table(next);
	unload_table(latest);
	unload_table(current);
	unload_cells(&diff);
	unload_buf(&body);
}
END_TEST

#define COUNT(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("agent_table");
	TCase *t = tcase_create("updates");
	SRunner *run;
	int failed;

	tcase_add_loop_test(t, update_is_accepted_completely_or_not_at_all, 0,
	    COUNT(update_cases));
	tcase_add_test(t, one_delta_covers_hundreds_of_versions);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
