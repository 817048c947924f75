/*
 * The sheet of client accounts: cells, fingerprints of keys, edits, CSV and the
 * index by key.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "schema.h"

#define NUMBER_BYTES 32 /* a rate or burst as text */
#define LIMIT_MAX 1e9 /* largest rate or burst, calls */
#define SHARE_MAX 1000000 /* weight among accounts */
#define RANK_MAX 9 /* as in column rank */
#define KEY_SLOTS_PER_KEY 2 /* keeps probe sequences short */
#define EMPTY_SHEET_TEXT "account.name\n" /* whose hash is its digest */
#define SHEET_KEPT "yes" /* edit of the sheet: it exists */

_Static_assert(KEY_PRINT_TEXT_BYTES == 2 * KEY_PRINT_BYTES + 1,
    "a fingerprint's text fits");
_Static_assert(TABLE_ACCOUNT_KEYS_MAX *KEY_PRINT_TEXT_BYTES <= TABLE_CELL_BYTES,
    "all fingerprints fit into a cell");

/* Separates these fingerprints from hashes of other programs. */
static const unsigned char print_key[crypto_generichash_KEYBYTES] =
    "greengagespur account key 1";

static const char *const column_names[] = {ACCOUNT_COLUMN_PREFIX "name",
    ACCOUNT_COLUMN_PREFIX "keys", ACCOUNT_COLUMN_PREFIX "rank",
    ACCOUNT_COLUMN_PREFIX "rate_per_s", ACCOUNT_COLUMN_PREFIX "burst"};

static size_t find_position(
    const struct account_sheet *s, struct str name, bool *found);
static struct account *open_draft(
    struct account_sheet *s, struct str name, struct fault *f);
static struct account *make_draft(const struct account *from);
static int set_draft_cell(
    struct account *a, enum column c, struct str value, struct fault *f);
static int set_limit(
    struct account *a, enum column c, struct str value, struct fault *f);
static int set_keys(struct account *a, struct str value, struct fault *f);
static int parse_key_print(struct str text, struct key_print *out);
static int add_print(
    struct account *a, const struct key_print *p, struct fault *f);
static const struct account *finish_draft(const struct account *a);
static int index_keys(struct table *t, struct fault *f);
static uint32_t hash_print(const struct key_print *p);
static bool holds_print(const struct account *a, const struct key_print *p);
static uint32_t find_key_slot(const struct table *t, const struct key_print *p);
static void format_cell(const struct account *a, enum column c, char *out);
static int render_account_csv(const struct account *a, struct buf *out);
static int diff_account(const struct account *from, const struct account *to,
    struct cell_list *out);
static int apply_sheet_cell(
    struct account_sheet *s, const char *value, struct fault *f);
static const struct account *ref_account(const struct account *a);
static void unref_account(const struct account *a);

bool
has_accounts(const struct table *t)
{
	return t->accounts_listed;
}

/*
 * Returns the account of that name, or NULL. Binary search.
 */
const struct account *
find_account(const struct table *t, struct str name)
{
	struct account_sheet s = {
	    .accounts = t->accounts, .count = t->account_count};
	bool found;
	size_t at = find_position(&s, name, &found);

	return found ? t->accounts[at] : NULL;
}

/*
 * Returns the account that holds the key, or NULL. Only the key's fingerprint
 * is looked up and compared, so the time taken says nothing about stored keys.
 */
const struct account *
find_key_account(const struct table *t, struct str key)
{
	struct key_print p;
	uint32_t slot;

	if (t->key_capacity == 0 || key.len == 0 ||
	    key.len > TABLE_KEY_BYTES_MAX)
		return NULL;
	p = make_key_print(key);
	slot = find_key_slot(t, &p);
	return t->key_slots[slot] != 0 ? t->accounts[t->key_slots[slot] - 1] :
					 NULL;
}

/*
 * Returns 1 to SHARE_MAX. An account without a rate counts like the mean of
 * those that have one: a weight of 1 beside rates of hundreds would starve it.
 */
int
get_account_share(const struct table *t, const struct account *a)
{
	double share = a->rate_per_s > 0 ? a->rate_per_s : t->mean_rate_per_s;

	if (share < 1)
		return 1;
	return share > SHARE_MAX ? SHARE_MAX : (int)share;
}

/*
 * Says whether calls of the row need the key of an account.
 */
bool
needs_key(const struct table *t, const struct row *r)
{
	return has_accounts(t) && r->values[COL_KEY] != 0;
}

/*
 * Returns ERR_INVALID if the text cannot be a key, with a fault that does not
 * show it.
 */
int
check_account_key(struct str key, struct fault *f)
{
	if (key.len == 0 || key.len > TABLE_KEY_BYTES_MAX)
		return set_fault(f, ERR_INVALID,
		    "a key of %zu bytes is not accepted; use 1 to %d", key.len,
		    TABLE_KEY_BYTES_MAX);
	for (size_t i = 0; i < key.len; i++) {
		unsigned char c = (unsigned char)key.data[i];

		if (c <= ' ' || c == 0x7f)
			return set_fault(f, ERR_INVALID,
			    "a key contains a space or a control character; "
			    "use printable characters");
	}
	return 0;
}

struct key_print
make_key_print(struct str key)
{
	struct key_print p;

	(void)crypto_generichash(p.bytes, sizeof(p.bytes),
	    (const unsigned char *)key.data, key.len, print_key,
	    sizeof(print_key));
	return p;
}

/*
 * Writes KEY_PRINT_TEXT_BYTES into out.
 */
void
format_key_print(const struct key_print *p, char *out)
{
	(void)sodium_bin2hex(
	    out, KEY_PRINT_TEXT_BYTES, p->bytes, sizeof(p->bytes));
}

const char *
get_account_column_name(enum column c)
{
	return column_names[c - ACCOUNT_NAME];
}

/*
 * Returns the column of that name, or ERR_NOT_FOUND.
 */
int
find_account_column(struct str name)
{
	for (int c = ACCOUNT_NAME; c < ACCOUNT_COLUMN_END; c++) {
		if (is_str_equal(name,
			make_str(get_account_column_name((enum column)c))))
			return c;
	}
	return ERR_NOT_FOUND;
}

/*
 * Makes a sheet of the table's accounts, which it shares. Returns ERR_MEMORY.
 */
int
copy_accounts(const struct table *t, struct account_sheet *out, struct fault *f)
{
	/* Without a word of the sheet, removing the last account removes it. */
	*out = (struct account_sheet){
	    .listed = t->accounts_listed && t->account_count == 0};
	if (t->account_count == 0)
		return 0;
	out->accounts =
	    calloc(t->account_count, sizeof(const struct account *));
	if (out->accounts == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for an edit");
	out->cap = t->account_count;
	for (; out->count < t->account_count; out->count++)
		out->accounts[out->count] =
		    ref_account(t->accounts[out->count]);
	return 0;
}

void
unload_accounts(struct account_sheet *s)
{
	for (size_t i = 0; i < s->count; i++)
		unref_account(s->accounts[i]);
	free(s->accounts);
	*s = (struct account_sheet){0};
}

void
list_accounts(struct account_sheet *s)
{
	s->listed = true;
}

/*
 * Adds an account without keys and limits. Returns ERR_INVALID if the name is
 * no name or exists, and ERR_MEMORY.
 */
int
add_account(struct account_sheet *s, struct str name, struct fault *f)
{
	int shown_len = name.len > 40 ? 40 : (int)name.len;
	struct account *a;
	bool found;
	size_t at;

	if (!is_table_name(name))
		return set_fault(f, ERR_INVALID,
		    "account '%.*s': this is not a name; use 1 to %d of a-z, "
		    "0-9 and -",
		    shown_len, name.data, TABLE_NAME_BYTES - 1);
	at = find_position(s, name, &found);
	if (found)
		return set_fault(f, ERR_INVALID,
		    "account '%.*s' stands twice; remove one of them",
		    shown_len, name.data);
	if (s->count == s->cap) {
		size_t cap = s->cap != 0 ? 2 * s->cap : 64;
		const struct account **grown =
		    realloc(s->accounts, cap * sizeof(const struct account *));

		if (grown == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
		s->accounts = grown;
		s->cap = cap;
	}
	a = make_draft(NULL);
	if (a == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	(void)copy_str(a->name, sizeof(a->name), name);
	memmove(s->accounts + at + 1, s->accounts + at,
	    (s->count - at) * sizeof(const struct account *));
	s->accounts[at] = a;
	s->count++;
	return 0;
}

/*
 * Returns ERR_NOT_FOUND without such an account, ERR_INVALID if the column does
 * not accept the value, and ERR_MEMORY.
 */
int
set_cell_of_account(struct account_sheet *s, struct str name, enum column c,
    struct str value, struct fault *f)
{
	struct account *a = open_draft(s, name, f);

	return a != NULL ? set_draft_cell(a, c, value, f) : ERR_NOT_FOUND;
}

int
add_key_to_account(
    struct account_sheet *s, struct str name, struct str key, struct fault *f)
{
	struct account *a = open_draft(s, name, f);
	struct fault why = {0};
	struct key_print p;

	if (a == NULL)
		return ERR_NOT_FOUND;
	if (check_account_key(key, &why) != 0)
		return set_fault(
		    f, ERR_INVALID, "account '%s': %s", a->name, why.text);
	p = make_key_print(key);
	return add_print(a, &p, f);
}

/*
 * Applies an edit: of a cell, or in column account.name of the whole account or,
 * with an empty row, of the sheet.
 */
int
apply_account_cell(
    struct account_sheet *s, const struct cell_edit *e, struct fault *f)
{
	struct str name = make_str(e->row);
	bool found;
	size_t at;

	if (e->column != ACCOUNT_NAME)
		return set_cell_of_account(
		    s, name, e->column, make_str(e->value), f);
	if (name.len == 0)
		return apply_sheet_cell(s, e->value, f);
	if (e->value[0] != '\0') {
		if (strcmp(e->row, e->value) != 0)
			return set_fault(f, ERR_INVALID,
			    "account '%s': an account cannot be renamed; "
			    "remove it and add another",
			    e->row);
		return add_account(s, name, f);
	}
	at = find_position(s, name, &found);
	if (!found)
		return set_fault(f, ERR_NOT_FOUND,
		    "account '%s': there is no such account to remove", e->row);
	unref_account(s->accounts[at]);
	s->count--;
	memmove(s->accounts + at, s->accounts + at + 1,
	    (s->count - at) * sizeof(const struct account *));
	return 0;
}

/*
 * Gives the sheet's accounts to a table that is being made and adds their
 * digests. Returns ERR_LIMIT when there are too many, ERR_INVALID when two hold
 * one key, and ERR_MEMORY.
 */
int
set_table_accounts(struct table *t, struct account_sheet *s, struct fault *f)
{
	size_t rated = 0;

	t->accounts_listed = s->listed || s->count > 0;
	if (t->accounts_listed && s->count == 0)
		t->digest +=
		    XXH3_64bits(EMPTY_SHEET_TEXT, sizeof(EMPTY_SHEET_TEXT) - 1);
	t->accounts = s->accounts;
	t->account_count = s->count;
	*s = (struct account_sheet){0};
	if (t->account_count > TABLE_MAX_ACCOUNTS)
		return set_fault(f, ERR_LIMIT,
		    "the table has %zu accounts; remove some, at most %d fit",
		    t->account_count, TABLE_MAX_ACCOUNTS);
	for (size_t i = 0; i < t->account_count; i++) {
		t->accounts[i] = finish_draft(t->accounts[i]);
		t->digest += t->accounts[i]->digest;
		t->mean_rate_per_s += t->accounts[i]->rate_per_s;
		rated += t->accounts[i]->rate_per_s > 0;
	}
	if (rated > 0)
		t->mean_rate_per_s /= (double)rated;
	return index_keys(t, f);
}

void
unset_table_accounts(struct table *t)
{
	struct account_sheet s = {
	    .accounts = t->accounts, .count = t->account_count};

	unload_accounts(&s);
	free(t->key_slots);
	t->accounts = NULL;
	t->key_slots = NULL;
}

/*
 * Appends the edits that turn the accounts of from into those of to. Removed
 * ones come first. A key may pass from one account to another, as keys are
 * checked after all edits.
 */
int
diff_accounts(
    const struct table *from, const struct table *to, struct cell_list *out)
{
	int rc = 0;

	for (size_t i = 0; i < from->account_count && rc == 0; i++) {
		struct str name = make_str(from->accounts[i]->name);

		if (find_account(to, name) == NULL)
			rc = append_cell(out, name, ACCOUNT_NAME, make_str(""));
	}
	for (size_t i = 0; i < to->account_count && rc == 0; i++) {
		const struct account *a = to->accounts[i];
		const struct account *old =
		    find_account(from, make_str(a->name));
		const struct account initial = {0};

		if (old == NULL) {
			rc = append_cell(out, make_str(a->name), ACCOUNT_NAME,
			    make_str(a->name));
			if (rc == 0)
				rc = diff_account(&initial, a, out);
		} else if (old != a && old->digest != a->digest)
			rc = diff_account(old, a, out);
	}
	/* Earlier builds know no edit of the sheet: only where it says a thing */
	if (rc == 0 && has_accounts(to) && to->account_count == 0 &&
	    (!has_accounts(from) || from->account_count > 0))
		rc = append_cell(
		    out, make_str(""), ACCOUNT_NAME, make_str(SHEET_KEPT));
	if (rc == 0 && !has_accounts(to) && has_accounts(from) &&
	    from->account_count == 0)
		rc = append_cell(out, make_str(""), ACCOUNT_NAME, make_str(""));
	return rc;
}

/*
 * Appends the second sheet of the canonical CSV; nothing without the sheet.
 */
int
render_accounts_csv(const struct table *t, struct buf *out)
{
	int rc = 0;

	if (!has_accounts(t))
		return 0;
	for (int c = ACCOUNT_NAME; c < ACCOUNT_COLUMN_END && rc == 0; c++)
		rc = append_buf_fmt(out, "%s%s", c > ACCOUNT_NAME ? "," : "",
		    get_account_column_name((enum column)c));
	if (rc == 0)
		rc = append_buf(out, "\n", 1);
	for (size_t i = 0; i < t->account_count && rc == 0; i++)
		rc = render_account_csv(t->accounts[i], out);
	return rc;
}

size_t
get_accounts_csv_max(const struct table *t)
{
	size_t bytes = 0;

	for (size_t i = 0; i < t->account_count; i++)
		bytes +=
		    TABLE_NAME_BYTES + 3 * NUMBER_BYTES +
		    (size_t)t->accounts[i]->key_count * KEY_PRINT_TEXT_BYTES;
	return bytes;
}

/*
 * Writes the text of one cell, with a NUL, into out. Returns ERR_LIMIT when it
 * does not fit.
 */
int
render_account_cell(
    const struct account *a, enum column c, char *out, size_t size)
{
	char text[TABLE_CELL_BYTES];

	format_cell(a, c, text);
	return copy_str(out, size, make_str(text));
}

static int
apply_sheet_cell(struct account_sheet *s, const char *value, struct fault *f)
{
	bool kept = strcmp(value, SHEET_KEPT) == 0;

	if (!kept && value[0] != '\0')
		return set_fault(f, ERR_INVALID,
		    "column " ACCOUNT_COLUMN_PREFIX "name without an account: "
		    "'%.20s'; write %s to need keys without an account, or "
		    "nothing to need none",
		    value, SHEET_KEPT);
	if (!kept && s->count > 0)
		return set_fault(f, ERR_INVALID,
		    "there are accounts, whose keys are needed; remove them "
		    "first");
	s->listed = kept;
	return 0;
}

/*
 * Returns the position of a name, or the one where it would be inserted.
 */
static size_t
find_position(const struct account_sheet *s, struct str name, bool *found)
{
	size_t lo = 0, hi = s->count;

	*found = false;
	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		int c = compare_str(name, make_str(s->accounts[mid]->name));

		if (c == 0) {
			*found = true;
			return mid;
		}
		if (c < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	return lo;
}

/*
 * Returns the account of that name for writing: a copy if it belongs to a
 * table. NULL when there is none or memory runs out.
 */
static struct account *
open_draft(struct account_sheet *s, struct str name, struct fault *f)
{
	int shown_len = name.len > 40 ? 40 : (int)name.len;
	struct account *a;
	bool found;
	size_t at = find_position(s, name, &found);

	if (!found) {
		(void)set_fault(f, ERR_NOT_FOUND,
		    "account '%.*s': there is no such account; add it first or "
		    "correct its name",
		    shown_len, name.data);
		return NULL;
	}
	if (s->accounts[at]->digest == 0)
		return (struct account *)(uintptr_t)s->accounts[at];
	a = make_draft(s->accounts[at]);
	if (a == NULL) {
		(void)set_fault(f, ERR_MEMORY, "out of memory for an edit");
		return NULL;
	}
	unref_account(s->accounts[at]);
	s->accounts[at] = a;
	return a;
}

/*
 * Returns a copy of from, or an empty account, with room for all keys; its
 * digest is 0 until finish_draft(). NULL when out of memory.
 */
static struct account *
make_draft(const struct account *from)
{
	struct account *a = calloc(
	    1, sizeof(*a) + TABLE_ACCOUNT_KEYS_MAX * sizeof(struct key_print));

	if (a == NULL)
		return NULL;
	if (from != NULL) {
		memcpy(a, from,
		    sizeof(*a) +
			(size_t)from->key_count * sizeof(struct key_print));
		a->digest = 0;
	}
	a->refs = 1;
	return a;
}

static int
set_draft_cell(
    struct account *a, enum column c, struct str value, struct fault *f)
{
	int shown_len = value.len > 40 ? 40 : (int)value.len;
	int64_t v;

	switch ((int)c) {
	case ACCOUNT_KEYS:
		return set_keys(a, value, f);
	case ACCOUNT_RANK:
		if (parse_i64(value, 0, RANK_MAX, &v) != 0)
			return set_fault(f, ERR_INVALID,
			    "account '%s', column %s: '%.*s' is not accepted; "
			    "use an integer from 0 to %d",
			    a->name, get_account_column_name(c), shown_len,
			    value.data, RANK_MAX);
		a->rank = (int)v;
		return 0;
	case ACCOUNT_RATE:
	case ACCOUNT_BURST:
		return set_limit(a, c, value, f);
	default:
		return set_fault(f, ERR_INVALID,
		    "account '%s': a column of rows does not belong to it",
		    a->name);
	}
}

/*
 * Sets a rate or burst to the value of its canonical text, so that all
 * processes hold the same number.
 */
static int
set_limit(struct account *a, enum column c, struct str value, struct fault *f)
{
	int shown_len = value.len > 40 ? 40 : (int)value.len;
	char text[NUMBER_BYTES], *end = text;
	double v = -1;

	if (value.len > 0 && copy_str(text, sizeof(text), value) == 0 &&
	    strspn(text, "0123456789.eE+-") == value.len)
		v = strtod(text, &end);
	if (!(v >= 0 && v <= LIMIT_MAX) || *end != '\0')
		return set_fault(f, ERR_INVALID,
		    "account '%s', column %s: '%.*s' is not accepted; use a "
		    "number from 0 to %.0f, 0 for no limit",
		    a->name, get_account_column_name(c), shown_len, value.data,
		    LIMIT_MAX);
	snprintf(text, sizeof(text), "%.12g", v);
	v = strtod(text, NULL);
	*(c == ACCOUNT_RATE ? &a->rate_per_s : &a->burst) = v;
	return 0;
}

/*
 * Sets the fingerprints. A fault does not show the value, which may be a key
 * that was put there by mistake.
 */
static int
set_keys(struct account *a, struct str value, struct fault *f)
{
	int rc = 0;

	a->key_count = 0;
	for (size_t at = 0; at < value.len && rc == 0;) {
		const char *space =
		    memchr(value.data + at, ' ', value.len - at);
		size_t len = space != NULL ? (size_t)(space - value.data) - at :
					     value.len - at;
		struct key_print p;

		if (parse_key_print(make_str_n(value.data + at, len), &p) != 0)
			return set_fault(f, ERR_INVALID,
			    "account '%s', column account.keys: this is no "
			    "list of fingerprints; add a key with "
			    "'greengagespurctl account add-key'",
			    a->name);
		rc = add_print(a, &p, f);
		at += len + 1;
	}
	return rc;
}

static int
parse_key_print(struct str text, struct key_print *out)
{
	size_t n = 0;

	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] >= 'A' && text.data[i] <= 'F')
			return ERR_INVALID;
	}
	return text.len == 2 * sizeof(out->bytes) &&
		       sodium_hex2bin(out->bytes, sizeof(out->bytes), text.data,
			   text.len, NULL, &n, NULL) == 0 &&
		       n == sizeof(out->bytes) ?
		   0 :
		   ERR_INVALID;
}

/*
 * Adds a fingerprint in order; one that the account has is not added again.
 */
static int
add_print(struct account *a, const struct key_print *p, struct fault *f)
{
	int at = 0;

	while (at < a->key_count && memcmp(&a->keys[at], p, sizeof(*p)) < 0)
		at++;
	if (at < a->key_count && memcmp(&a->keys[at], p, sizeof(*p)) == 0)
		return 0;
	if (a->key_count == TABLE_ACCOUNT_KEYS_MAX)
		return set_fault(f, ERR_LIMIT,
		    "account '%s' has too many keys; take some away, at most "
		    "%d fit",
		    a->name, TABLE_ACCOUNT_KEYS_MAX);
	memmove(&a->keys[at + 1], &a->keys[at],
	    (size_t)(a->key_count - at) * sizeof(*p));
	a->keys[at] = *p;
	a->key_count++;
	return 0;
}

/*
 * Sets the digest of a draft, which makes it immutable, and gives back the room
 * for keys that it does not have. Other accounts are returned as they are.
 */
static const struct account *
finish_draft(const struct account *a)
{
	struct account *draft = (struct account *)(uintptr_t)a;
	struct buf line = {0};
	struct account *trimmed;

	if (a->digest != 0)
		return a;
	if (render_account_csv(a, &line) == 0)
		draft->digest = XXH3_64bits(line.data, line.len);
	unload_buf(&line);
	trimmed = realloc(draft,
	    sizeof(*a) + (size_t)a->key_count * sizeof(struct key_print));
	if (trimmed == NULL)
		return draft;
	return trimmed;
}

/*
 * Builds the index by fingerprint. Returns ERR_INVALID when two accounts hold
 * the same key, and ERR_MEMORY.
 */
static int
index_keys(struct table *t, struct fault *f)
{
	size_t keys = 0, capacity = 16;

	if (t->account_count == 0)
		return 0;
	for (size_t i = 0; i < t->account_count; i++) {
		if (t->accounts[i]->digest == 0)
			return set_fault(f, ERR_MEMORY, "out of memory");
		keys += (size_t)t->accounts[i]->key_count;
	}
	while (capacity < keys * KEY_SLOTS_PER_KEY)
		capacity *= 2;
	t->key_slots = calloc(capacity, sizeof(*t->key_slots));
	if (t->key_slots == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a table");
	t->key_capacity = capacity;
	for (size_t i = 0; i < t->account_count; i++) {
		const struct account *a = t->accounts[i];

		for (int k = 0; k < a->key_count; k++) {
			uint32_t slot = find_key_slot(t, &a->keys[k]);

			/* The probe may end at another key of the account. */
			if (t->key_slots[slot] != 0 &&
			    t->key_slots[slot] != i + 1)
				return set_fault(f, ERR_INVALID,
				    "accounts '%s' and '%s' hold the same key; "
				    "take it from one of them",
				    t->accounts[t->key_slots[slot] - 1]->name,
				    a->name);
			t->key_slots[slot] = (uint32_t)(i + 1);
		}
	}
	return 0;
}

/*
 * A fingerprint is a hash already.
 */
static uint32_t
hash_print(const struct key_print *p)
{
	return (uint32_t)p->bytes[0] | (uint32_t)p->bytes[1] << 8 |
	       (uint32_t)p->bytes[2] << 16 | (uint32_t)p->bytes[3] << 24;
}

static bool
holds_print(const struct account *a, const struct key_print *p)
{
	for (int k = 0; k < a->key_count; k++) {
		if (sodium_memcmp(&a->keys[k], p, sizeof(*p)) == 0)
			return true;
	}
	return false;
}

/*
 * Returns the slot of the fingerprint, or the free slot where it belongs.
 */
static uint32_t
find_key_slot(const struct table *t, const struct key_print *p)
{
	uint32_t mask = (uint32_t)t->key_capacity - 1;
	uint32_t slot = hash_print(p) & mask;

	while (t->key_slots[slot] != 0 &&
	       !holds_print(t->accounts[t->key_slots[slot] - 1], p))
		slot = (slot + 1) & mask;
	return slot;
}

/*
 * Writes the text of a cell into out, of TABLE_CELL_BYTES.
 */
static void
format_cell(const struct account *a, enum column c, char *out)
{
	char *p = out;

	switch ((int)c) {
	case ACCOUNT_NAME:
		(void)copy_str(out, TABLE_CELL_BYTES, make_str(a->name));
		return;
	case ACCOUNT_RANK:
		snprintf(out, TABLE_CELL_BYTES, "%d", a->rank);
		return;
	case ACCOUNT_RATE:
		snprintf(out, TABLE_CELL_BYTES, "%.12g", a->rate_per_s);
		return;
	case ACCOUNT_BURST:
		snprintf(out, TABLE_CELL_BYTES, "%.12g", a->burst);
		return;
	default:
		*p = '\0';
		for (int k = 0; k < a->key_count; k++) {
			if (k > 0)
				*p++ = ' ';
			format_key_print(&a->keys[k], p);
			p += KEY_PRINT_TEXT_BYTES - 1;
		}
	}
}

static int
render_account_csv(const struct account *a, struct buf *out)
{
	char text[TABLE_CELL_BYTES];
	int rc = 0;

	for (int c = ACCOUNT_NAME; c < ACCOUNT_COLUMN_END && rc == 0; c++) {
		format_cell(a, (enum column)c, text);
		rc = append_buf_fmt(
		    out, "%s%s", text, c + 1 < ACCOUNT_COLUMN_END ? "," : "\n");
	}
	return rc;
}

/*
 * Appends the edits of the cells that differ, apart from the name.
 */
static int
diff_account(
    const struct account *from, const struct account *to, struct cell_list *out)
{
	char a[TABLE_CELL_BYTES], b[TABLE_CELL_BYTES];
	int rc = 0;

	for (int c = ACCOUNT_KEYS; c < ACCOUNT_COLUMN_END && rc == 0; c++) {
		format_cell(from, (enum column)c, a);
		format_cell(to, (enum column)c, b);
		if (strcmp(a, b) != 0)
			rc = append_cell(out, make_str(to->name),
			    (enum column)c, make_str(b));
	}
	return rc;
}

static const struct account *
ref_account(const struct account *a)
{
	__atomic_add_fetch(
	    &((struct account *)(uintptr_t)a)->refs, 1, __ATOMIC_RELAXED);
	return a;
}

static void
unref_account(const struct account *a)
{
	struct account *counted = (struct account *)(uintptr_t)a;

	if (counted != NULL &&
	    __atomic_sub_fetch(&counted->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free(counted);
}
