/*
 * The sheet of accounts: rules of its cells, edits, differences, the CSV form,
 * and tables without accounts, which stay as they were.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table.h"

#define HEADER                                                     \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,"  \
	"deadline_ms,queue_max,retries,retry_pct,hedge_ms,repeat," \
	"keep_s,body_max_kb,drain_s"
#define ROW_A "a,svc,1,10,10,100,100,1000,10,1,10,0,yes,0,16,10"
#define ACCOUNTS "account.name,account.keys,account.rank,account.rate_per_s\n"
#define START HEADER "\n" ROW_A "\n" ACCOUNTS
#define PRINT_1 "000102030405060708090a0b0c0d0e0f"
#define PRINT_2 "100102030405060708090a0b0c0d0e0f"
#define MANY 2000
#define MANY_ROWS 30

struct load_case {
	const char *csv;
	int want_rc;
	const char *want_fault; /* part of the text */
};

static const struct load_case load_cases[] = {
    {START "x,,0,0\n", 0, NULL},
    {START "x," PRINT_1 " " PRINT_2 ",3,1.5\ny,,0,0\n", 0, NULL},
    {START "x," PRINT_1 " " PRINT_1 ",3,1.5\n", 0, NULL},
    {START "x," PRINT_1 ",0,0\ny," PRINT_1 ",0,0\n", ERR_INVALID,
	"accounts 'x' and 'y' hold the same key"},
    {START "x,,0,0\nx,,0,0\n", ERR_INVALID, "account 'x' stands twice"},
    {START "X,,0,0\n", ERR_INVALID, "account 'X'"},
    {START ",,0,0\n", ERR_INVALID, "account ''"},
    {START "x,,10,0\n", ERR_INVALID, "account 'x', column account.rank"},
    {START "x,,1.5,0\n", ERR_INVALID, "account 'x', column account.rank"},
    {START "x,,0,-1\n", ERR_INVALID, "column account.rate_per_s"},
    {START "x,,0,nan\n", ERR_INVALID, "column account.rate_per_s"},
    {START "x,,0,1e10\n", ERR_INVALID, "column account.rate_per_s"},
    {START "x,,0,\n", ERR_INVALID, "column account.rate_per_s"},
    {START "x,secret,0,0\n", ERR_INVALID, "account 'x', column account.keys"},
    {START "x," PRINT_1 "  " PRINT_2 ",0,0\n", ERR_INVALID, "account.keys"},
    {START "x,0a,0,0\n", ERR_INVALID, "account.keys"},
    {START "x,,0\n", ERR_INVALID, "fields"},
    {HEADER "\n" ROW_A "\naccount.name,secret\n", ERR_INVALID,
	"column 'secret' is unknown"},
    {HEADER "\n" ROW_A "\naccount.name,account.rank,account.rank\n",
	ERR_INVALID, "named twice"},
    {HEADER ",key\n" ROW_A ",no\n" ACCOUNTS "x,,0,0\n", 0, NULL},
    {HEADER ",key\n" ROW_A ",maybe\n" ACCOUNTS "x,,0,0\n", ERR_INVALID,
	"row 'a', column key"},
};

/* Guards against an account that breaks a rule, and a fault without its name. */
START_TEST(load_checks_every_rule)
{
	const struct load_case *c = &load_cases[_i];
	struct table *t = NULL;
	struct fault f = {0};

	ck_assert_int_eq(
	    load_table_csv(make_str(c->csv), 1, &t, &f), c->want_rc);
	if (c->want_fault != NULL)
		ck_assert_msg(
		    strstr(f.text, c->want_fault) != NULL, "%s", f.text);
	if (strstr(c->csv, "secret,0") != NULL)
		ck_assert_ptr_null(strstr(f.text, "secret"));
	unload_table(t);
}
END_TEST

static struct table *
load(const char *csv)
{
	struct table *t = NULL;
	struct fault f = {0};

	ck_assert_msg(
	    load_table_csv(make_str(csv), 1, &t, &f) == 0, "%s", f.text);
	return t;
}

/*
 * Guards against nodes of one fleet that compute different digests: a table
 * without accounts has the bytes and the digest of releases without them.
 */
START_TEST(tables_without_accounts_stay_as_they_were)
{
	static const char want[] =
	    HEADER ",host,path,split,health_path,connections,head_max_kb,"
		   "head_ms,idle_ms\n" ROW_A ",,,,/health,100,32,10000,60000\n";
	struct table *t = load(HEADER "\n" ROW_A "\n");
	struct buf csv = {0};

	ck_assert_int_eq(render_table_csv(t, &csv), 0);
	ck_assert_uint_eq(csv.len, strlen(want));
	ck_assert_int_eq(memcmp(csv.data, want, csv.len), 0);
	ck_assert_uint_eq(t->digest, 0x8af257828c96d669ULL);
	ck_assert(!has_accounts(t));
	ck_assert(!needs_key(t, find_row(t, make_str("a"))));
	ck_assert_ptr_null(find_key_account(t, make_str("key")));
	unload_table(t);
	unload_buf(&csv);
}
END_TEST

struct edit_case {
	const char *account;
	enum column column;
	const char *value;
	int want_rc;
	const char *want_text; /* in the CSV or the fault */
};

static const struct edit_case edit_cases[] = {
    {"x", ACCOUNT_RATE, "12.50", 0, "x," PRINT_1 ",3,12.5,0\n"},
    {"x", ACCOUNT_BURST, "1e2", 0, "x," PRINT_1 ",3,1.5,100\n"},
    {"x", ACCOUNT_KEYS, "", 0, "x,,3,1.5,0\n"},
    {"x", ACCOUNT_KEYS, PRINT_2 " " PRINT_1, 0,
	"x," PRINT_1 " " PRINT_2 ",3,1.5,0\n"},
    {"x", ACCOUNT_NAME, "", 0, "idle_ms\na,"},
    {"y", ACCOUNT_NAME, "y", 0, "y,,0,0,0\n"},
    {"y", ACCOUNT_NAME, "", ERR_NOT_FOUND, "account 'y'"},
    {"y", ACCOUNT_RANK, "1", ERR_NOT_FOUND, "account 'y'"},
    {"x", ACCOUNT_NAME, "x", ERR_INVALID, "account 'x' stands twice"},
    {"x", ACCOUNT_NAME, "z", ERR_INVALID, "cannot be renamed"},
    {"a", ACCOUNT_RANK, "1", ERR_NOT_FOUND, "account 'a'"},
};

/* Guards against an edit that reaches the wrong sheet or is half applied. */
START_TEST(edits_apply_to_accounts)
{
	const struct edit_case *c = &edit_cases[_i];
	struct table *t = load(START "x," PRINT_1 ",3,1.5\n"), *out = NULL;
	struct cell_list l = {0};
	struct buf text = {0};
	struct fault f = {0};

	ck_assert_int_eq(append_cell(&l, make_str(c->account), c->column,
			     make_str(c->value)),
	    0);
	ck_assert_int_eq(apply_cells(t, &l, 2, &out, &f), c->want_rc);
	if (out != NULL)
		ck_assert_int_eq(render_table_csv(out, &text), 0);
	else
		append_buf_str(&text, make_str(f.text));
	append_buf(&text, "", 1);
	ck_assert_msg(strstr(text.data, c->want_text) != NULL, "%s", text.data);
	ck_assert_ptr_nonnull(find_account(t, make_str("x")));
	unload_buf(&text);
	unload_cells(&l);
	unload_table(out);
	unload_table(t);
}
END_TEST

/* Adds accounts account-FROM to account-(TO-1) with two keys each. */
static struct table *
make_many(int from, int to, int moved)
{
	struct table_builder *b = NULL;
	struct table *t = NULL;
	struct fault f = {0};
	char text[32];

	ck_assert_int_eq(open_table_builder(&b), 0);
	for (int i = 0; i < MANY_ROWS; i++) {
		snprintf(text, sizeof(text), "row-%d", i);
		start_table_row(b, make_str(text), &f);
		set_row_cell(b, COL_SERVICE, make_str("svc"), &f);
	}
	for (int i = from; i < to; i++) {
		snprintf(text, sizeof(text), "account-%d", i);
		ck_assert_int_eq(start_table_account(b, make_str(text), &f), 0);
		set_account_cell(b, ACCOUNT_RATE, make_str("640"), &f);
		for (int k = 0; k < 2; k++) {
			/* The second key passes on to the next account. */
			int n = k == 1 && i == moved	 ? to + 1 :
				k == 1 && i == moved + 1 ? moved :
							   i;

			snprintf(text, sizeof(text), "key-%d-%d", n, k);
			add_account_key(b, make_str(text), &f);
		}
	}
	ck_assert_msg(build_table(b, 1, &t, &f) == 0, "%s", f.text);
	close_table_builder(b);
	return t;
}

/*
 * Guards against differences that do not lead to the new table, also where a
 * key passes from one account to another, and against keys that are not found
 * among many.
 */
START_TEST(differences_of_many_accounts_give_the_new_table)
{
	struct table *a = make_many(0, MANY, -2);
	struct table *b = make_many(5, MANY + 5, 100), *out = NULL;
	struct cell_list l = {0}, decoded = {0};
	struct buf bytes = {0}, full = {0};
	struct fault f = {0};
	char key[32];

	for (int i = 0; i < MANY; i++) {
		const struct account *found;

		snprintf(key, sizeof(key), "key-%d-%d", i, i % 2);
		found = find_key_account(a, make_str(key));
		ck_assert_ptr_nonnull(found);
		snprintf(key, sizeof(key), "account-%d", i);
		ck_assert_str_eq(found->name, key);
		ck_assert_ptr_eq(found, find_account(a, make_str(key)));
	}
	ck_assert_ptr_null(find_key_account(a, make_str("key-0-2")));
	ck_assert_int_eq(diff_tables(a, b, &l), 0);
	ck_assert_int_eq(encode_cells(&l, &bytes), 0);
	ck_assert_int_eq(decode_cells(view_buf(&bytes), &decoded, &f), 0);
	ck_assert_msg(apply_cells(a, &decoded, 2, &out, &f) == 0, "%s", f.text);
	ck_assert_uint_eq(out->digest, b->digest);
	ck_assert_str_eq(
	    find_key_account(out, make_str("key-100-1"))->name, "account-101");
	ck_assert_int_eq(render_table_csv(out, &full), 0);
	unload_table(out);
	out = NULL;
	ck_assert_msg(
	    load_table_csv(view_buf(&full), 2, &out, &f) == 0, "%s", f.text);
	ck_assert_uint_eq(out->digest, b->digest);
	printf("%d accounts of 2 keys: whole table %zu bytes, %zu bytes for "
	       "%zu changed cells\n",
	    MANY, full.len, bytes.len, l.count);
	unload_table(a);
	unload_table(b);
	unload_table(out);
	unload_cells(&l);
	unload_cells(&decoded);
	unload_buf(&bytes);
	unload_buf(&full);
}
END_TEST

#define NO_SHEET HEADER "\n" ROW_A "\n"
#define ONE_ACCOUNT START "x," PRINT_1 ",0,0\n"
#define OTHER_ACCOUNT START "y," PRINT_2 ",0,0\n"

static const char *const sheets[] = {
    NO_SHEET, START, ONE_ACCOUNT, OTHER_ACCOUNT};

#define SHEETS (sizeof(sheets) / sizeof(sheets[0]))

/*
 * Guards against review 11: a table whose last account was taken away was the
 * same as one without accounts, so that no call needed a key. Each form of the
 * table, and each way from one to another, keeps the difference.
 */
START_TEST(empty_sheet_differs_from_none)
{
	size_t from = (size_t)_i / SHEETS, to = (size_t)_i % SHEETS;
	struct table *a = load(sheets[from]), *b = load(sheets[to]);
	struct table *made = NULL, *read = NULL;
	struct cell_list l = {0}, decoded = {0};
	struct buf cells = {0}, csv = {0};
	struct fault f = {0};

	ck_assert_int_eq(has_accounts(b), to != 0);
	ck_assert_int_eq(needs_key(b, find_row(b, make_str("a"))), to != 0);
	ck_assert_int_eq(a->digest == b->digest, from == to);
	ck_assert_int_eq(diff_tables(a, b, &l), 0);
	ck_assert_int_eq(l.count == 0, from == to);
	ck_assert_int_eq(encode_cells(&l, &cells), 0);
	ck_assert_int_eq(decode_cells(view_buf(&cells), &decoded, &f), 0);
	ck_assert_msg(
	    apply_cells(a, &decoded, 2, &made, &f) == 0, "%s", f.text);
	ck_assert_uint_eq(made->digest, b->digest);
	ck_assert_int_eq(has_accounts(made), to != 0);
	ck_assert_int_eq(render_table_csv(made, &csv), 0);
	ck_assert_msg(
	    load_table_csv(view_buf(&csv), 3, &read, &f) == 0, "%s", f.text);
	ck_assert_uint_eq(read->digest, b->digest);
	ck_assert_int_eq(has_accounts(read), to != 0);
	unload_table(a);
	unload_table(b);
	unload_table(made);
	unload_table(read);
	unload_cells(&l);
	unload_cells(&decoded);
	unload_buf(&cells);
	unload_buf(&csv);
}
END_TEST

struct sheet_edit_case {
	const char *from;
	struct {
		const char *account;
		const char *value;
	} edits[3]; /* of column account.name; NULL: end */
	int want_rc;
	bool want_sheet;
};

/* The log may hold the first: it means the same as for earlier builds. */
static const struct sheet_edit_case sheet_edit_cases[] = {
    {ONE_ACCOUNT, {{"x", ""}}, 0, false},
    {ONE_ACCOUNT, {{"x", ""}, {"", "yes"}}, 0, true},
    {ONE_ACCOUNT, {{"", "yes"}, {"x", ""}}, 0, true},
    {ONE_ACCOUNT, {{"", "yes"}}, 0, true},
    {ONE_ACCOUNT, {{"", ""}}, ERR_INVALID, true},
    {ONE_ACCOUNT, {{"x", ""}, {"", ""}}, 0, false},
    {ONE_ACCOUNT, {{"", "no"}}, ERR_INVALID, true},
    {START, {{"", ""}}, 0, false},
    {START, {{"y", "y"}, {"y", ""}}, 0, true},
    {START, {{"x", ""}}, ERR_NOT_FOUND, true},
    {NO_SHEET, {{"", "yes"}}, 0, true},
    {NO_SHEET, {{"y", "y"}}, 0, true},
};

/* Guards against edits that open all rows without saying so, and the reverse. */
START_TEST(edits_of_the_sheet_say_what_becomes_of_it)
{
	const struct sheet_edit_case *c = &sheet_edit_cases[_i];
	struct table *t = load(c->from), *out = NULL;
	struct cell_list l = {0};
	struct fault f = {0};

	for (int i = 0; i < 3 && c->edits[i].account != NULL; i++)
		ck_assert_int_eq(append_cell(&l, make_str(c->edits[i].account),
				     ACCOUNT_NAME, make_str(c->edits[i].value)),
		    0);
	ck_assert_int_eq(apply_cells(t, &l, 2, &out, &f), c->want_rc);
	if (out != NULL)
		ck_assert_int_eq(has_accounts(out), c->want_sheet);
	unload_cells(&l);
	unload_table(out);
	unload_table(t);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("account");
	TCase *t = tcase_create("account");
	SRunner *r;
	int failed;

	tcase_add_loop_test(t, load_checks_every_rule, 0,
	    sizeof(load_cases) / sizeof(load_cases[0]));
	tcase_add_test(t, tables_without_accounts_stay_as_they_were);
	tcase_add_loop_test(t, edits_apply_to_accounts, 0,
	    sizeof(edit_cases) / sizeof(edit_cases[0]));
	tcase_add_test(t, differences_of_many_accounts_give_the_new_table);
	tcase_add_loop_test(
	    t, empty_sheet_differs_from_none, 0, (int)(SHEETS * SHEETS));
	tcase_add_loop_test(t, edits_of_the_sheet_say_what_becomes_of_it, 0,
	    sizeof(sheet_edit_cases) / sizeof(sheet_edit_cases[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
