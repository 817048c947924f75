/*
 * The replicated state machine: edits, imports, reverts, stored answers,
 * history and snapshots.
 */
#include "state_fixture.h"

enum step_kind {
	EDIT,
	IMPORT,
	REVERT
};

struct step {
	enum step_kind kind;
	const char *author;
	uint64_t base;
	const char *row; /* REVERT: unused; IMPORT: the CSV */
	int column;
	const char *value;
	uint64_t target;
	int status; /* expected, as are those below */
	uint64_t version;
	const char *winner; /* of a conflict: value, author, version */
	const char *winner_author;
	uint64_t winner_version;
};

/* One sequence: each step builds on the versions of the steps before it. */
static const struct step steps[] = {
    {IMPORT, "anna", 0, SAMPLE, 0, 0, 0, 0, 1, 0, 0, 0},
    /* two operators edit one cell of a version; other cells do not conflict */
    {EDIT, "anna", 1, "a", COL_RANK, "4", 0, 0, 2, 0, 0, 0},
    {EDIT, "bert", 1, "a", COL_RANK, "5", 0, ERR_CONFLICT, 2, "4", "anna", 2},
    {EDIT, "bert", 1, "a", COL_WEIGHT, "7", 0, 0, 3, 0, 0, 0},
    {EDIT, "carl", 1, "b", COL_RANK, "6", 0, 0, 4, 0, 0, 0},
    {EDIT, "bert", 2, "a", COL_RANK, "5", 0, 0, 5, 0, 0, 0},
    /* a cell that was changed and changed back still counts as changed */
    {EDIT, "bert", 5, "a", COL_RANK, "4", 0, 0, 6, 0, 0, 0},
    {EDIT, "anna", 4, "a", COL_RANK, "9", 0, ERR_CONFLICT, 6, "4", "bert", 6},
    /* bases and cells that do not exist, values out of range */
    {EDIT, "anna", 7, "a", COL_RANK, "9", 0, ERR_INVALID, 6, 0, 0, 0},
    {EDIT, "anna", 6, "x", COL_RANK, "9", 0, ERR_NOT_FOUND, 6, 0, 0, 0},
    {EDIT, "anna", 6, "a", COL_RANK, "10", 0, ERR_INVALID, 6, 0, 0, 0},
    {EDIT, "anna", 6, "a", 99, "1", 0, ERR_INVALID, 6, 0, 0, 0},
    /* removing a row conflicts with any newer cell of it */
    {EDIT, "carl", 5, "a", COL_KIND, "", 0, ERR_CONFLICT, 6, "a", "bert", 6},
    {EDIT, "carl", 6, "a", COL_KIND, "", 0, 0, 7, 0, 0, 0},
    {EDIT, "anna", 6, "a", COL_RANK, "2", 0, ERR_CONFLICT, 7, "", "carl", 7},
    {EDIT, "anna", 7, "a", COL_RANK, "2", 0, ERR_NOT_FOUND, 7, 0, 0, 0},
    /* a row is not added again on a version before its removal */
    {EDIT, "anna", 6, "a", COL_KIND, "a", 0, ERR_CONFLICT, 7, "", "carl", 7},
    {EDIT, "anna", 7, "c", COL_RANK, "3", 0, 0, 7, 0, 0, 0},
    /* import and revert need the current version as their base */
    {IMPORT, "bert", 6, SAMPLE, 0, 0, 0, ERR_CONFLICT, 7, "", "carl", 7},
    {IMPORT, "bert", 7, HEADER "a", 0, 0, 0, ERR_INVALID, 7, 0, 0, 0},
    {REVERT, "bert", 6, 0, 0, 0, 1, ERR_CONFLICT, 7, "", "carl", 7},
    {REVERT, "bert", 7, 0, 0, 0, 9, ERR_NOT_FOUND, 7, 0, 0, 0},
    {REVERT, "bert", 7, 0, 0, 0, 1, 0, 8, 0, 0, 0},
    {EDIT, "anna", 6, "a", COL_RANK, "2", 0, ERR_CONFLICT, 8, "1", "bert", 8},
    {IMPORT, "anna", 8, SAMPLE, 0, 0, 0, 0, 8, 0, 0, 0},
};

static struct command_result
apply_step(struct state *s, const struct step *p, const char *key)
{
	if (p->kind == EDIT)
		return apply_edit(
		    s, p->author, key, p->base, p->row, p->column, p->value);
	if (p->kind == IMPORT)
		return apply_import(s, p->author, key, p->base, p->row);
	return apply_revert(s, p->author, key, p->base, p->target);
}

#define PRINT "000102030405060708090a0b0c0d0e0f"

/*
 * Accounts: the first one has the name of a row, whose cells must not conflict
 * with its own.
 */
static const struct step account_steps[] = {
    {IMPORT, "anna", 0, SAMPLE, 0, 0, 0, 0, 1, 0, 0, 0},
    {EDIT, "anna", 1, "a", ACCOUNT_NAME, "a", 0, 0, 2, 0, 0, 0},
    {EDIT, "bert", 1, "a", COL_RANK, "5", 0, 0, 3, 0, 0, 0},
    {EDIT, "bert", 1, "a", ACCOUNT_NAME, "a", 0, ERR_CONFLICT, 3, "a", "anna",
	2},
    {EDIT, "bert", 2, "a", ACCOUNT_KEYS, PRINT, 0, 0, 4, 0, 0, 0},
    {EDIT, "carl", 3, "a", ACCOUNT_KEYS, "", 0, ERR_CONFLICT, 4, PRINT, "bert",
	4},
    {EDIT, "carl", 4, "a", ACCOUNT_KEYS, "secret", 0, ERR_INVALID, 4, 0, 0, 0},
    {EDIT, "carl", 4, "a", ACCOUNT_RATE, "640", 0, 0, 5, 0, 0, 0},
    {EDIT, "carl", 5, "a", COL_KIND, "", 0, 0, 6, 0, 0, 0},
    {EDIT, "anna", 5, "a", ACCOUNT_RANK, "2", 0, 0, 7, 0, 0, 0},
    {EDIT, "anna", 4, "a", ACCOUNT_NAME, "", 0, ERR_CONFLICT, 7, "a", "anna",
	7},
    {EDIT, "anna", 7, "a", ACCOUNT_NAME, "", 0, 0, 8, 0, 0, 0},
    {EDIT, "bert", 7, "a", ACCOUNT_RANK, "3", 0, ERR_CONFLICT, 8, "", "anna",
	8},
    {REVERT, "bert", 8, 0, 0, 0, 5, 0, 9, 0, 0, 0},
    {EDIT, "bert", 9, "a", ACCOUNT_KEYS, PRINT, 0, 0, 9, 0, 0, 0},
    {REVERT, "bert", 9, 0, 0, 0, 1, 0, 10, 0, 0, 0},
};

/* The sheet of accounts itself, through edits, imports and reverts. */
static const struct step sheet_steps[] = {
    {IMPORT, "anna", 0, SAMPLE, 0, 0, 0, 0, 1, 0, 0, 0},
    {EDIT, "anna", 1, "", ACCOUNT_NAME, "yes", 0, 0, 2, 0, 0, 0},
    {EDIT, "bert", 1, "", ACCOUNT_NAME, "", 0, ERR_CONFLICT, 2, "", "anna", 2},
    {EDIT, "bert", 2, "", ACCOUNT_NAME, "yes", 0, 0, 2, 0, 0, 0},
    {EDIT, "bert", 2, "b", ACCOUNT_NAME, "b", 0, 0, 3, 0, 0, 0},
    {EDIT, "bert", 3, "", ACCOUNT_NAME, "", 0, ERR_INVALID, 3, 0, 0, 0},
    {REVERT, "bert", 3, 0, 0, 0, 2, 0, 4, 0, 0, 0},
    {IMPORT, "anna", 4, SAMPLE "account.name\n", 0, 0, 0, 0, 4, 0, 0, 0},
    {EDIT, "anna", 4, "", ACCOUNT_NAME, "", 0, 0, 5, 0, 0, 0},
};

/*
 * Applies the steps; the table of the last one is that of the first.
 */
static void
check_steps(const struct step *list, size_t count)
{
	struct state *s = open_sample();
	uint64_t first = 0;

	for (size_t i = 0; i < count; i++) {
		const struct step *p = &list[i];
		struct command_result r = apply_step(s, p, "");

		ck_assert_msg(r.status == p->status, "step %zu: %d (%s)", i,
		    r.status, r.text);
		ck_assert_msg(r.table_version == p->version &&
				  s->table->version == p->version,
		    "step %zu: version %llu", i,
		    (unsigned long long)r.table_version);
		ck_assert_uint_eq(r.winner_version, p->winner_version);
		ck_assert_str_eq(
		    r.winner.value, p->winner != NULL ? p->winner : "");
		ck_assert_str_eq(r.winner_author,
		    p->winner_author != NULL ? p->winner_author : "");
		ck_assert(p->status == 0 || r.text[0] != '\0');
		unload_command_result(&r);
		if (i == 0)
			first = s->table->digest;
	}
	ck_assert_uint_eq(s->table->digest, first);
	close_state(s);
}

/*
 * Guards against lost updates when operators edit the same version, and against
 * refusing edits of different cells.
 */
START_TEST(concurrent_edits_have_one_winner_per_cell)
{
	check_steps(steps, sizeof(steps) / sizeof(steps[0]));
}
END_TEST

/*
 * Guards against an account whose edits conflict with those of a row of the same
 * name, or are lost by a revert.
 */
START_TEST(accounts_are_edited_beside_rows)
{
	check_steps(
	    account_steps, sizeof(account_steps) / sizeof(account_steps[0]));
}
END_TEST

/*
 * Guards against review 11: a table without an account that says that keys are
 * needed, and one that says nothing, are different versions, also in a snapshot.
 */
START_TEST(sheet_of_accounts_is_kept_when_it_is_empty)
{
	struct state *s = open_sample(), *loaded = open_sample();
	struct buf saved = {0};
	struct fault f = {0};

	check_steps(sheet_steps, sizeof(sheet_steps) / sizeof(sheet_steps[0]));
	for (size_t i = 0; i < 4; i++) {
		struct command_result r = apply_step(s, &sheet_steps[i], "");

		unload_command_result(&r);
	}
	ck_assert(has_accounts(s->table));
	ck_assert_int_eq(save_state(s, &saved), 0);
	ck_assert_msg(
	    load_state(loaded, view_buf(&saved), &f) == 0, "%s", f.text);
	ck_assert(has_accounts(loaded->table));
	ck_assert_uint_eq(loaded->table->digest, s->table->digest);
	unload_buf(&saved);
	close_state(s);
	close_state(loaded);
}
END_TEST

/* Guards against applying a change twice when its reply was lost. */
START_TEST(resend_returns_first_answer)
{
	static const struct step other = {
	    EDIT, "anna", 1, "a", COL_RANK, "6", 0, ERR_INVALID, 0, 0, 0, 0};
	struct state *s = open_sample();

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		char key[16];
		struct command_result a, b, c;
		uint64_t version;
		struct step later = steps[i];

		snprintf(key, sizeof(key), "k%zu", i);
		a = apply_step(s, &steps[i], key);
		version = s->table->version;
		b = apply_step(s, &steps[i], key);
		later.base = version;
		c = apply_step(s, &later, key);
		ck_assert_int_eq(a.status, b.status);
		ck_assert_int_eq(a.status, c.status);
		ck_assert_uint_eq(a.table_version, b.table_version);
		ck_assert_uint_eq(a.table_version, c.table_version);
		ck_assert_uint_eq(a.winner_version, b.winner_version);
		ck_assert_str_eq(a.winner.value, b.winner.value);
		ck_assert_uint_eq(s->table->version, version);
		unload_command_result(&a);
		unload_command_result(&b);
		unload_command_result(&c);
	}
	/* A key identifies one change of one operator. */
	uint64_t version = s->table->version;
	struct command_result r = apply_step(s, &other, "k1");

	ck_assert_int_eq(r.status, ERR_INVALID);
	ck_assert_uint_eq(s->table->version, version);
	unload_command_result(&r);
	r = apply_edit(s, "dora", "k1", version, "b", COL_RANK, "9");
	ck_assert_int_eq(r.status, 0);
	ck_assert_uint_eq(s->table->version, version + 1);
	unload_command_result(&r);
	close_state(s);
}
END_TEST

/* Guards against answers that are removed too early or kept without a limit. */
START_TEST(answers_are_kept_by_count_and_log_time)
{
	struct state *s = open_sample();
	char key[16];

	for (int i = 0; i < ANSWERS_MAX + 1; i++) {
		struct command_result r;

		snprintf(key, sizeof(key), "k%d", i);
		r = apply_edit(s, "anna", key, 0, "a", COL_RANK, "1");
		unload_command_result(&r);
	}
	ck_assert_uint_eq(s->answers.index.count, ANSWERS_MAX);
	ck_assert_ptr_null(
	    find_answer(&s->answers, make_str("anna"), make_str("k0")));
	ck_assert_ptr_nonnull(
	    find_answer(&s->answers, make_str("anna"), make_str("k1")));

	struct command c = make_command("anna", "", 0);

	c.body.type = COMMAND_REVERT;
	struct command_result r = apply_at(s, T0 + ANSWERS_KEEP_NS - 1, &c);

	unload_command_result(&r);
	ck_assert_uint_eq(s->answers.index.count, ANSWERS_MAX);
	r = apply_at(s, T0 + ANSWERS_KEEP_NS, &c);
	unload_command_result(&r);
	ck_assert_uint_eq(s->answers.index.count, 0);
	close_state(s);
}
END_TEST

/* Guards against log time that goes back when a new leader's clock is slow. */
START_TEST(log_time_never_goes_back)
{
	static const int64_t stamps[] = {T0, T0 + 5, T0 - 100, T0 + 4, T0 + 6};
	struct state *s = open_sample();
	struct command c = make_command("anna", "", 0);
	int64_t last = 0;

	c.body.type = COMMAND_REVERT;
	for (size_t i = 0; i < sizeof(stamps) / sizeof(stamps[0]); i++) {
		struct command_result r = apply_at(s, stamps[i], &c);

		unload_command_result(&r);
		ck_assert_int_ge(s->log_ns, last);
		last = s->log_ns;
	}
	ck_assert_int_eq(last, T0 + 6);
	close_state(s);
}
END_TEST

/* Applies a random edit, import or revert. */
static void
apply_random_change(struct state *s, struct rng *r)
{
	static const char *const rows[] = {"a", "b", "c", "d", "e"};
	char value[8];
	uint64_t base = s->table->version;
	struct command_result x;

	snprintf(value, sizeof(value), "%u", (unsigned)draw_below(r, 9) + 1);
	const char *row = rows[draw_below(r, 5)];

	switch (draw_below(r, 12)) {
	case 0:
		x = apply_import(s, "anna", "", base,
		    draw_below(r, 2) == 0 ? SAMPLE : HEADER ROW("e", "7"));
		break;
	case 1:
		x = apply_revert(s, "bert", "", base, draw_below(r, base + 1));
		break;
	case 2:
		x = apply_edit(s, "carl", "", base, row, COL_KIND, "");
		break;
	default:
		x = apply_edit(s, "dora", "", base, row,
		    draw_below(r, 2) == 0 ? COL_RANK : COL_WEIGHT, value);
		break;
	}
	unload_command_result(&x);
}

/*
 * Guards against deltas and reverts from a wrongly rebuilt table, after random
 * edits, imports, reverts and removed rows.
 */
START_TEST(every_kept_version_can_be_rebuilt)
{
	enum {
		VERSIONS = 1500
	};
	static uint64_t digests[VERSIONS + 1];
	struct state *s = open_sample();
	struct table *t;
	struct rng r;
	struct fault f;

	seed_rng(&r, 3);
	digests[0] = s->table->digest;
	while (s->table->version < VERSIONS) {
		apply_random_change(s, &r);
		digests[s->table->version] = s->table->digest;
	}
	ck_assert_uint_eq(s->history.count, HISTORY_MAX);
	for (uint64_t v = VERSIONS - HISTORY_MAX; v <= VERSIONS; v += 7) {
		ck_assert_int_eq(
		    rebuild_table(&s->history, s->table, v, &t, &f), 0);
		ck_assert_uint_eq(t->digest, digests[v]);
		ck_assert_uint_eq(t->version, v);
		unload_table(t);
	}
	ck_assert_int_eq(rebuild_table(&s->history, s->table,
			     VERSIONS - HISTORY_MAX - 1, &t, &f),
	    ERR_NOT_FOUND);

	/* A base that the history no longer covers cannot be compared. */
	struct command_result x = apply_edit(s, "anna", "",
	    VERSIONS - HISTORY_MAX - 1, s->table->rows[0]->kind, COL_RANK, "8");
	ck_assert_int_eq(x.status, ERR_STALE);
	unload_command_result(&x);
	close_state(s);
}
END_TEST

/* Adds stored answers, and claims in several states. */
static void
fill_state(struct state *s, struct rng *r)
{
	char key[16];

	for (int i = 0; i < 200; i++) {
		struct command c = make_command("", key, 0);
		struct command_claim *q = &c.body.command_body_u.claim;
		struct command_result x;

		snprintf(key, sizeof(key), "k%u", (unsigned)draw_below(r, 60));
		c.body.type = COMMAND_CLAIM;
		q->kind = (char *)(uintptr_t) "a";
		q->node = (char *)(uintptr_t) "n1";
		q->claim_id[0] = (char)draw_below(r, 4);
		q->state = (int)draw_below(r, 4);
		q->keep_s = 60 + (unsigned)draw_below(r, 600);
		q->answer.answer_val = key;
		q->answer.answer_len = (unsigned)strlen(key);
		x = apply_at(s, T0 + (int64_t)i * NSEC_PER_SEC, &c);
		unload_command_result(&x);
		snprintf(key, sizeof(key), "e%d", i);
		x = apply_edit(s, "anna", key, s->table->version, "b",
		    COL_WEIGHT, key + 1);
		unload_command_result(&x);
	}
}

/*
 * Guards against a replica that diverges after loading a snapshot, either at
 * once or when the same further commands are applied.
 */
START_TEST(snapshot_and_load_give_an_equal_state)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct state *s = open_sample(), *copy = open_sample();
		struct buf a = {0}, b = {0};
		struct rng r, again;
		struct fault f;

		seed_rng(&r, seed);
		for (int i = 0; i < 200; i++)
			apply_random_change(s, &r);
		fill_state(s, &r);
		ck_assert_int_eq(save_state(s, &a), 0);
		fill_state(copy, &r); /* load_state() must replace all of it */
		ck_assert_int_eq(load_state(copy, view_buf(&a), &f), 0);
		ck_assert_int_eq(save_state(copy, &b), 0);
		ck_assert(is_str_equal(view_buf(&a), view_buf(&b)));
		again = r;
		for (int i = 0; i < 50; i++) {
			apply_random_change(s, &r);
			apply_random_change(copy, &again);
		}
		fill_state(s, &r);
		fill_state(copy, &again);
		a.len = b.len = 0;
		ck_assert_int_eq(save_state(s, &a), 0);
		ck_assert_int_eq(save_state(copy, &b), 0);
		ck_assert(is_str_equal(view_buf(&a), view_buf(&b)));
		unload_buf(&a);
		unload_buf(&b);
		close_state(s);
		close_state(copy);
	}
}
END_TEST

/* Guards against a crash, a leak or a half-loaded state with damaged input. */
START_TEST(decoders_survive_damaged_bytes)
{
	struct state *s = open_sample(), *copy = open_sample();
	struct buf snapshot = {0}, bytes = {0}, result = {0};
	struct command c = make_command("anna", "k", 1);
	struct command_cell cells[2] = {
	    {(char *)(uintptr_t) "a", COL_RANK, (char *)(uintptr_t) "4"},
	    {(char *)(uintptr_t) "b", COL_WEIGHT, (char *)(uintptr_t) "5"}};
	struct rng r;

	seed_rng(&r, 17);
	for (int i = 0; i < 40; i++)
		apply_random_change(s, &r);
	fill_state(s, &r);
	ck_assert_int_eq(save_state(s, &snapshot), 0);
	c.body.type = COMMAND_EDIT;
	c.body.command_body_u.edit.cells.cells_len = 2;
	c.body.command_body_u.edit.cells.cells_val = cells;
	ck_assert_int_eq(encode_command(&c, &bytes), 0);
	for (int i = 0; i < 3000; i++) {
		struct buf *from = i % 10 == 0 ? &snapshot : &bytes;
		size_t len = draw_below(&r, from->len + 1);
		char *damaged = malloc(from->len + 1);
		struct fault f;

		memcpy(damaged, from->data, from->len);
		for (int k = 0; k < 4; k++)
			damaged[draw_below(&r, from->len)] ^=
			    (char)(1u << draw_below(&r, 8));
		if (draw_below(&r, 2) == 0)
			len = from->len;
		if (from == &bytes) {
			result.len = 0;
			apply_state(
			    copy, T0, T0, make_str_n(damaged, len), &result);
			ck_assert_uint_gt(result.len, 0);
		} else if (load_state(copy, make_str_n(damaged, len), &f) !=
			   0) {
			ck_assert_uint_eq(copy->table->version, 0);
			ck_assert_uint_eq(copy->history.count, 0);
			ck_assert_uint_eq(copy->claims.index.count, 0);
		}
		free(damaged);
	}
	unload_buf(&snapshot);
	unload_buf(&bytes);
	unload_buf(&result);
	close_state(s);
	close_state(copy);
}
END_TEST

/*
 * Guards against loading a truncated snapshot, or one whose history does not
 * belong to its table.
 */
START_TEST(incomplete_snapshots_are_refused)
{
	struct state *s = open_sample(), *copy = open_sample();
	struct buf all = {0}, mixed = {0};
	struct str rest, body;
	enum stored_type type;
	struct fault f;
	struct rng r;

	seed_rng(&r, 29);
	while (s->table->version < 5)
		apply_random_change(s, &r);
	fill_state(s, &r);
	ck_assert_int_eq(save_state(s, &all), 0);
	for (size_t n = 0; n < all.len; n += n < all.len - 200 ? 97 : 1)
		ck_assert_int_eq(
		    load_state(copy, make_str_n(all.data, n), &f), ERR_CORRUPT);
	rest = make_str_n(all.data, 20); /* ends within the first record */
	ck_assert_int_eq(read_stored(&rest, &type, &body), ERR_CORRUPT);
	rest = view_buf(&all);
	ck_assert_int_eq(read_stored(&rest, &type, &body), 0);
	ck_assert_int_eq(append_buf(&mixed, all.data, all.len - rest.len), 0);
	ck_assert_int_eq(append_stored(&mixed, STORED_END, NULL, NULL), 0);
	ck_assert_int_eq(load_state(copy, view_buf(&mixed), &f), ERR_CORRUPT);
	ck_assert_int_eq(load_state(copy, view_buf(&all), &f), 0);
	unload_buf(&all);
	unload_buf(&mixed);
	close_state(s);
	close_state(copy);
}
END_TEST

/* Guards against invalid or repeated changes that fill the log. */
START_TEST(invalid_and_resent_changes_are_answered_early)
{
	struct state *s = open_sample();
	struct command_cell cell = {
	    (char *)(uintptr_t) "a", COL_RANK, (char *)(uintptr_t) "99"};
	struct command c = make_command("anna", "k", 0);
	struct buf bytes = {0}, result = {0};

	c.body.type = COMMAND_EDIT;
	c.body.command_body_u.edit.cells.cells_len = 1;
	c.body.command_body_u.edit.cells.cells_val = &cell;
	for (int i = 0; i < 3; i++) {
		static const bool early[] = {true, false, true};
		struct command_result r =
		    i == 0 ? apply_import(s, "anna", "i", 0, SAMPLE) :
			     (struct command_result){0};

		if (i == 0)
			unload_command_result(&r);
		c.base = 1;
		cell.value = (char *)(uintptr_t)(i == 0 ? "99" : "8");
		bytes.len = result.len = 0;
		ck_assert_int_eq(encode_command(&c, &bytes), 0);
		ck_assert_int_eq(
		    answer_early(s, view_buf(&bytes), &result), early[i]);
		if (i == 1) {
			r = apply_at(s, T0, &c);
			ck_assert_int_eq(r.status, 0);
			unload_command_result(&r);
		}
	}
	ck_assert_uint_eq(s->table->version, 2);
	unload_buf(&bytes);
	unload_buf(&result);
	close_state(s);
}
END_TEST

/*
 * Guards against refusing an edit as invalid on a leader that has not applied
 * yet the version that another process named to the operator.
 */
START_TEST(leader_behind_the_base_does_not_refuse_an_edit)
{
	struct state *s = open_sample();
	struct command_cell cell = {
	    (char *)(uintptr_t) "a", COL_RANK, (char *)(uintptr_t) "8"};
	struct command c = make_command("anna", "k", 2);
	struct command_result r = apply_import(s, "anna", "i", 0, SAMPLE);
	struct buf bytes = {0}, result = {0};

	unload_command_result(&r);
	c.body.type = COMMAND_EDIT;
	c.body.command_body_u.edit.cells.cells_len = 1;
	c.body.command_body_u.edit.cells.cells_val = &cell;
	ck_assert_uint_eq(s->table->version, 1);
	ck_assert_int_eq(encode_command(&c, &bytes), 0);
	ck_assert(!answer_early(s, view_buf(&bytes), &result));
	r = apply_at(s, T0, &c);
	ck_assert_int_eq(r.status, ERR_INVALID);
	unload_command_result(&r);
	unload_buf(&bytes);
	unload_buf(&result);
	close_state(s);
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("state");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, concurrent_edits_have_one_winner_per_cell);
	tcase_add_test(t, accounts_are_edited_beside_rows);
	tcase_add_test(t, sheet_of_accounts_is_kept_when_it_is_empty);
	tcase_add_test(t, resend_returns_first_answer);
	tcase_add_test(t, answers_are_kept_by_count_and_log_time);
	tcase_add_test(t, log_time_never_goes_back);
	tcase_add_test(t, every_kept_version_can_be_rebuilt);
	tcase_add_test(t, snapshot_and_load_give_an_equal_state);
	tcase_add_test(t, decoders_survive_damaged_bytes);
	tcase_add_test(t, incomplete_snapshots_are_refused);
	tcase_add_test(t, invalid_and_resent_changes_are_answered_early);
	tcase_add_test(t, leader_behind_the_base_does_not_refuse_an_edit);
	return run_suite("state", t);
}
