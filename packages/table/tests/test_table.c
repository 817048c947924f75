/*
 * Tests of table validation, edits, diffs, routes and the cell list codec.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table.h"

/* Header without the optional columns, and rows for it */
#define HEADER                                                            \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,"         \
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s," \
	"body_max_kb,drain_s\n"
/* Header with host, path and split, and a row up to these columns */
#define ROUTED_TABLE_START                                                \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,"         \
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s," \
	"body_max_kb,drain_s,host,path,split\n"                           \
	"a,svc,1,10,10,100,100,1000,10,1,10,0,yes,0,16,10,"
#define ROW_A "a,svc,1,10,10,100,100,1000,10,1,10,0,yes,0,16,10\n"
#define ROW_B "b,svc,2,20,20,100,100,1000,10,1,10,0,no,600,16,10\n"

struct load_case {
	const char *csv;
	int want_rc;
	const char *want_fault; /* part of the fault */
};

static const struct load_case load_cases[] = {
    {HEADER ROW_A ROW_B, 0, NULL},
    {HEADER, 0, NULL},
    {"", ERR_INVALID, "no header line"},
    {"kind,service\na,b\n", ERR_INVALID, "'rank' is missing"},
    {"service,kind\n", ERR_INVALID, "put kind first"},
    {"kind,colour\n", ERR_INVALID, "'colour' is unknown"},
    {"kind,rank,rank\n", ERR_INVALID, "'rank' is named twice"},
    {HEADER "a,svc,0,10,10,100,100,1000,10,1,10,0,yes,0,16,10\n", ERR_INVALID,
	"column rank: '0' is not accepted; use an integer "
	"from 1 to 9"},
    {HEADER "a,svc,1x,10,10,100,100,1000,10,1,10,0,yes,0,16,10\n", ERR_INVALID,
	"column rank: '1x'"},
    {HEADER "A,svc,1,10,10,100,100,1000,10,1,10,0,yes,0,16,10\n", ERR_INVALID,
	"'A' is not a name"},
    {HEADER "a,svc,1,10,10,100,100,99,10,1,10,0,yes,0,16,10\n", ERR_INVALID,
	"use 100 or more"},
    {HEADER "a,svc,1,10,10,100,100,1000,10,1,10,5,no,600,16,10\n", ERR_INVALID,
	"column hedge_ms: '5' with repeat=no"},
    {HEADER "a,svc,1,10,10,100,100,1000,10,1,10,0,no,59,16,10\n", ERR_INVALID,
	"column keep_s: '59'"},
    {HEADER "a,svc,1,10,10,5,100,1000,10,1,10,0,yes,0,16,10\n", ERR_INVALID,
	"above limit_pct"},
    {HEADER ROW_A ROW_A, ERR_INVALID, "row 'a' stands twice"},
    {HEADER "a,svc,1,10,50,100,100,1000,10,1,10,0,yes,0,16,10\n"
	    "b,svc,1,10,41,100,100,1000,10,1,10,0,yes,0,16,10\n",
	ERR_INVALID, "add up to 91"},
    {HEADER "a,svc,1\n", ERR_INVALID, "has 3 fields"},
    {HEADER ROW_A "b,svc,2,20,20,100,100,1000,10,1,10,0,no,600,16,10,9\n",
	ERR_INVALID, "line 3 has more than 16 fields"},
    {HEADER "\"a,svc\n", ERR_INVALID, "not valid CSV"},
    {ROUTED_TABLE_START "a.example,/x/,\n", 0, NULL},
    {ROUTED_TABLE_START "\"a.example\",\"/x,y/\",\"svc:90 other:10\"\n", 0,
	NULL},
    {ROUTED_TABLE_START "A.example,/x/,\n", ERR_INVALID,
	"column host: 'A.example'"},
    {ROUTED_TABLE_START "a.example,x/,\n", ERR_INVALID, "column path: 'x/'"},
    {ROUTED_TABLE_START "a.example,/x,\n", ERR_INVALID, "column path: '/x'"},
    {ROUTED_TABLE_START ",/x/,\n", ERR_INVALID, "column host: it is empty"},
    {ROUTED_TABLE_START "a.example,,\n", ERR_INVALID,
	"column path: it is empty"},
    {ROUTED_TABLE_START "a.example,/x/,svc\n", ERR_INVALID,
	"column split: 'svc'"},
    {ROUTED_TABLE_START "a.example,/x/,svc:0\n", ERR_INVALID,
	"column split: 'svc:0'"},
    {ROUTED_TABLE_START "a.example,/x/,\"svc:1 \"\n", ERR_INVALID,
	"column split"},
    {ROUTED_TABLE_START
	"a.example,/x/,\n"
	"b,svc,1,10,10,100,100,1000,10,1,10,0,yes,0,16,10,a.example,/x/,\n",
	ERR_INVALID, "have the same host and path"},
};

/*
 * Guards against accepting a table that breaks a rule, and against a fault that
 * does not name the place or the remedy.
 */
START_TEST(load_checks_every_rule)
{
	const struct load_case *c = &load_cases[_i];
	struct table *t = NULL;
	struct fault f = {0};

	ck_assert_int_eq(
	    load_table_csv(make_str(c->csv), 1, &t, &f), c->want_rc);
	if (c->want_rc != 0) {
		ck_assert_ptr_null(t);
		ck_assert_msg(
		    strstr(f.text, c->want_fault) != NULL, "%s", f.text);
	}
	unload_table(t);
}
END_TEST

struct edit_case {
	const char *cells;
	int want_rc;
	const char *want_fault;
};

static const struct edit_case edit_cases[] = {
    {"a,rank,3\n", 0, NULL},
    {"a,rank,10\n", ERR_INVALID, "row 'a', column rank: '10'"},
    {"c,rank,3\n", ERR_NOT_FOUND, "no such row"},
    {"b,kind,\n", 0, NULL},
    {"c,kind,\n", ERR_NOT_FOUND, "no such row to remove"},
    {"a,kind,b\n", ERR_INVALID, "cannot be renamed"},
    {"a,kind,a\n", ERR_INVALID, "exists already"},
    {"c,kind,c\nc,service,svc\n", 0, NULL},
    {"c,kind,c\n", ERR_INVALID, "set the service"},
    {"a,floor_pct,80\n", ERR_INVALID, "add up to 100"},
    {"b,kind,\na,floor_pct,80\n", 0, NULL},
    {"a,hedge_ms,30\nb,hedge_ms,30\n", ERR_INVALID, "row 'b'"},
};

static struct table *load_sample(void);

/*
 * Guards against an edit that is applied only in part, breaks a rule or changes
 * the table that it starts from.
 */
START_TEST(edits_apply_completely_or_not_at_all)
{
	const struct edit_case *c = &edit_cases[_i];
	struct table *base = load_sample(), *t = NULL;
	struct cell_list l = {0};
	struct fault f = {0};
	uint64_t digest = base->digest;

	ck_assert_int_eq(decode_cells(make_str(c->cells), &l, &f), 0);
	ck_assert_int_eq(apply_cells(base, &l, 2, &t, &f), c->want_rc);
	ck_assert_uint_eq(base->digest, digest);
	if (c->want_rc == 0) {
		ck_assert_uint_eq(t->version, 2);
		ck_assert_uint_ne(t->digest, digest);
	} else {
		ck_assert_ptr_null(t);
		ck_assert_msg(
		    strstr(f.text, c->want_fault) != NULL, "%s", f.text);
	}
	unload_table(t);
	unload_cells(&l);
	unload_table(base);
}
END_TEST

/*
 * Guards against a delta that gives a node other content than the full table
 * would: 200 random edits, each sent as an encoded diff. Fixed seed.
 */
START_TEST(diff_applied_to_the_old_table_gives_the_new_one)
{
	struct rng r;
	struct table *a = load_sample();

	seed_rng(&r, 7);
	for (int i = 0; i < 200; i++) {
		struct cell_list edits = {0}, diff = {0}, copy = {0};
		struct table *b = NULL, *c = NULL;
		struct buf text = {0};
		char row[2] = {(char)('a' + draw_below(&r, 6)), '\0'};
		char value[16];

		snprintf(
		    value, sizeof(value), "%d", 1 + (int)draw_below(&r, 9));
		if (find_row(a, make_str(row)) == NULL) {
			append_cell(
			    &edits, make_str(row), COL_KIND, make_str(row));
			append_cell(&edits, make_str(row), COL_SERVICE,
			    make_str("svc"));
		} else if (draw_below(&r, 4) == 0) {
			append_cell(
			    &edits, make_str(row), COL_KIND, make_str(""));
		}
		if (edits.count != 1)
			append_cell(
			    &edits, make_str(row), COL_RANK, make_str(value));
		ck_assert_int_eq(apply_cells(a, &edits, 2, &b, NULL), 0);
		ck_assert_int_eq(diff_tables(a, b, &diff), 0);
		ck_assert_int_eq(encode_cells(&diff, &text), 0);
		ck_assert_int_eq(decode_cells(view_buf(&text), &copy, NULL), 0);
		ck_assert_int_eq(apply_cells(a, &copy, 2, &c, NULL), 0);
		ck_assert_uint_eq(b->digest, c->digest);
		unload_cells(&edits);
		unload_cells(&diff);
		unload_cells(&copy);
		unload_buf(&text);
		unload_table(c);
		unload_table(a);
		a = b;
	}
	unload_table(a);
}
END_TEST

/*
 * Guards against a crash of the CSV and cell list decoders on truncated input
 * with random bytes. Fixed seed.
 */
START_TEST(decoders_survive_mutated_input)
{
	const char *text = HEADER ROW_A ROW_B;
	size_t len = strlen(text);
	struct rng r;
	char copy[512];

	seed_rng(&r, 11);
	for (int i = 0; i < 20000; i++) {
		struct cell_list l = {0};
		struct table *t = NULL;
		size_t n = draw_below(&r, len + 1);

		memcpy(copy, text, len);
		for (int k = 0; k < 3; k++)
			copy[draw_below(&r, len)] = (char)draw_below(&r, 256);
		if (load_table_csv(make_str_n(copy, n), 1, &t, NULL) == 0)
			unload_table(t);
		if (decode_cells(make_str_n(copy, n), &l, NULL) == 0)
			unload_cells(&l);
	}
}
END_TEST

/*
 * Guards against a rendered table that loads to different content, and against
 * a lookup that accepts a prefix of a kind.
 */
START_TEST(canonical_csv_loads_to_the_same_table)
{
	struct table *a = load_sample(), *b = NULL;
	struct buf csv = {0};

	ck_assert_int_eq(render_table_csv(a, &csv), 0);
	ck_assert_int_eq(load_table_csv(view_buf(&csv), 1, &b, NULL), 0);
	ck_assert_uint_eq(a->digest, b->digest);
	ck_assert_ptr_nonnull(find_row(b, make_str("b")));
	ck_assert_ptr_null(find_row(b, make_str("bb")));
	unload_buf(&csv);
	unload_table(a);
	unload_table(b);
}
END_TEST

struct route_case {
	const char *host;
	const char *path;
	const char *want; /* kind of the matching row; NULL: none */
};

static const struct route_case route_cases[] = {
    {"a.example", "/x/", "short"},
    {"a.example", "/x/y/1", "long"},
    {"a.example", "/x/yy/1", "short"},
    {"a.example", "/x", NULL},
    {"a.example", "/", NULL},
    {"a.example", "", NULL},
    {"b.example", "/x/y/", "other"},
    {"b.example", "/x/", NULL},
    {"c.example", "/x/", NULL},
};

/*
 * Guards against routing a call to the row of another host, of a shorter prefix
 * or of a prefix that ends within a path segment.
 */
START_TEST(routes_match_the_longest_path_of_the_host)
{
	const struct route_case *c = &route_cases[_i];
	static const char *const rows[][3] = {{"short", "a.example", "/x/"},
	    {"long", "a.example", "/x/y/"}, {"other", "b.example", "/x/y/"},
	    {"plain", "", ""}};
	struct table_builder *b = NULL;
	const struct row *r;
	struct table *t = NULL;

	ck_assert_int_eq(open_table_builder(&b), 0);
	for (int i = 0; i < 4; i++) {
		ck_assert_int_eq(
		    start_table_row(b, make_str(rows[i][0]), NULL), 0);
		set_row_cell(b, COL_SERVICE, make_str("svc"), NULL);
		set_row_cell(b, COL_HOST, make_str(rows[i][1]), NULL);
		set_row_cell(b, COL_PATH, make_str(rows[i][2]), NULL);
	}
	ck_assert_int_eq(build_table(b, 1, &t, NULL), 0);
	r = find_route(t, make_str(c->host), make_str(c->path));
	if (c->want == NULL)
		ck_assert_ptr_null(r);
	else
		ck_assert_str_eq(r != NULL ? r->kind : "", c->want);
	close_table_builder(b);
	unload_table(t);
}
END_TEST

/*
 * Guards against a parsed split that assigns a share to the wrong service.
 */
START_TEST(split_lists_services_and_shares)
{
	struct table *t = NULL;
	struct split_part p[TABLE_SPLIT_MAX];

	ck_assert_int_eq(load_table_csv(make_str(ROUTED_TABLE_START
					    "a.example,/x/,svc:90 other:10\n"),
			     1, &t, NULL),
	    0);
	ck_assert_int_eq(parse_split(t->rows[0], p), 2);
	ck_assert_str_eq(p[0].service, "svc");
	ck_assert_int_eq(p[0].share, 90);
	ck_assert_str_eq(p[1].service, "other");
	ck_assert_int_eq(p[1].share, 10);
	unload_table(t);
}
END_TEST

/*
 * Pattern: a large table whose versions differ in a few cells. Guards against a
 * bound that is above the length of the rendered table, by which a delta would
 * be stored or sent although the full table is shorter.
 */
START_TEST(csv_length_has_a_lower_bound)
{
	static const char *const rows[] = {"",
	    "a,s,1,10,5,100,100,1000,100,1,10,0,yes,0,64,30\n",
	    "a,s,1,10,5,100,100,1000,100,1,10,0,yes,0,64,30\n"
	    "b,s,9,1,0,1,1,1,1,0,1,0,yes,0,1,1\n"};
	struct buf csv = {0}, out = {0};
	struct table *t = NULL;
	struct fault f = {0};

	append_buf_fmt(&csv,
	    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,"
	    "deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,"
	    "body_max_kb,drain_s\n%s",
	    rows[_i]);
	ck_assert_msg(
	    load_table_csv(view_buf(&csv), 1, &t, &f) == 0, "%s", f.text);
	ck_assert_int_eq(render_table_csv(t, &out), 0);
	ck_assert_uint_le(get_csv_length_min(t), out.len);
	unload_table(t);
	unload_buf(&csv);
	unload_buf(&out);
}
END_TEST

struct late_column_case {
	const char *cells; /* edits of row a */
	const char *want; /* end of the header line */
};

static const struct late_column_case late_column_cases[] = {
    {"", "head_ms,idle_ms\n"},
    {"a,hedge_pct,-1\na,key,yes\n", "head_ms,idle_ms\n"},
    {"a,key,no\n", "idle_ms,key\n"},
    {"a,hedge_pct,5\n", "idle_ms,key,hedge_pct\n"},
    {"a,hedge_pct,0\n", "idle_ms,key,hedge_pct\n"},
};

/*
 * Guards against columns that change the bytes of tables which do not use them,
 * and against a canonical form that loads to another table.
 */
START_TEST(late_columns_are_rendered_where_used)
{
	const struct late_column_case *c = &late_column_cases[_i];
	struct table *base, *t, *again;
	struct cell_list cells = {0};
	struct buf csv = {0};
	struct fault f;

	ck_assert_int_eq(
	    load_table_csv(make_str(HEADER ROW_A ROW_B), 1, &base, &f), 0);
	ck_assert_int_eq(decode_cells(make_str(c->cells), &cells, &f), 0);
	ck_assert_int_eq(apply_cells(base, &cells, 2, &t, &f), 0);
	ck_assert_int_eq(render_table_csv(t, &csv), 0);
	ck_assert_int_eq(append_buf(&csv, "", 1), 0);
	ck_assert_msg(strstr(csv.data, c->want) != NULL, "%s", csv.data);
	ck_assert_int_eq(
	    load_table_csv(make_str_n(csv.data, csv.len - 1), 2, &again, &f),
	    0);
	ck_assert_uint_eq(again->digest, t->digest);
	ck_assert((t->digest == base->digest) ==
		  (strcmp(c->want, "head_ms,idle_ms\n") == 0));
	unload_buf(&csv);
	unload_cells(&cells);
	unload_table(base);
	unload_table(t);
	unload_table(again);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("table");
	TCase *t = tcase_create("table");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, load_checks_every_rule, 0,
	    sizeof(load_cases) / sizeof(load_cases[0]));
	tcase_add_loop_test(t, edits_apply_completely_or_not_at_all, 0,
	    sizeof(edit_cases) / sizeof(edit_cases[0]));
	tcase_add_test(t, diff_applied_to_the_old_table_gives_the_new_one);
	tcase_add_test(t, decoders_survive_mutated_input);
	tcase_add_test(t, canonical_csv_loads_to_the_same_table);
	tcase_add_loop_test(t, routes_match_the_longest_path_of_the_host, 0,
	    sizeof(route_cases) / sizeof(route_cases[0]));
	tcase_add_loop_test(t, csv_length_has_a_lower_bound, 0, 3);
	tcase_add_loop_test(t, late_columns_are_rendered_where_used, 0,
	    (int)(sizeof(late_column_cases) / sizeof(late_column_cases[0])));
	tcase_add_test(t, split_lists_services_and_shares);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static struct table *
load_sample(void)
{
	struct table *t = NULL;

	ck_assert_int_eq(
	    load_table_csv(make_str(HEADER ROW_A ROW_B), 1, &t, NULL), 0);
	return t;
}
