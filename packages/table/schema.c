/*
 * Columns and their ranges, and the rules between the cells of a row and the
 * rows of a service.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "schema.h"

#define NAME_MAX_LEN (TABLE_NAME_BYTES - 1)
#define RETENTION_MIN_S 60 /* shortest retention of at-most-once records */

static const struct column_spec specs[COLUMN_COUNT] = {
    [COL_KIND] = {"kind", CELL_NAME, 0, 0, 0, NULL, false},
    [COL_SERVICE] = {"service", CELL_NAME, 0, 0, 0, NULL, false},
    [COL_RANK] = {"rank", CELL_NUMBER, 1, 9, 5, NULL, false},
    [COL_WEIGHT] = {"weight", CELL_NUMBER, 1, 1000, 10, NULL, false},
    [COL_FLOOR_PCT] = {"floor_pct", CELL_NUMBER, 0, 100, 0, NULL, false},
    [COL_LIMIT_PCT] = {"limit_pct", CELL_NUMBER, 1, 100, 100, NULL, false},
    [COL_TARGET_MS] = {"target_ms", CELL_NUMBER, 1, 600000, 1000, NULL, false},
    [COL_DEADLINE_MS] = {"deadline_ms", CELL_NUMBER, 1, 3600000, 5000, NULL,
	false},
    [COL_QUEUE_MAX] = {"queue_max", CELL_NUMBER, 0, 10000, 100, NULL, false},
    [COL_RETRIES] = {"retries", CELL_NUMBER, 0, 5, 1, NULL, false},
    [COL_RETRY_PCT] = {"retry_pct", CELL_NUMBER, 0, 50, 10, NULL, false},
    [COL_HEDGE_MS] = {"hedge_ms", CELL_NUMBER, 0, 600000, 0, NULL, false},
    [COL_REPEAT] = {"repeat", CELL_YES_NO, 0, 0, 1, NULL, false},
    [COL_KEEP_S] = {"keep_s", CELL_NUMBER, 0, 604800, 86400, NULL, false},
    [COL_BODY_MAX_KB] = {"body_max_kb", CELL_NUMBER, 1, 65536, 64, NULL, false},
    [COL_DRAIN_S] = {"drain_s", CELL_NUMBER, 1, 3600, 30, NULL, false},
    [COL_HOST] = {"host", CELL_HOST, 0, 0, 0, "", true},
    [COL_PATH] = {"path", CELL_PATH, 0, 0, 0, "", true},
    [COL_SPLIT] = {"split", CELL_SPLIT, 0, 0, 0, "", true},
    [COL_HEALTH_PATH] = {"health_path", CELL_PATH, 0, 0, 0, "/health", true},
    [COL_CONNECTIONS] = {"connections", CELL_NUMBER, 1, 100000, 100, NULL,
	true},
    [COL_HEAD_MAX_KB] = {"head_max_kb", CELL_NUMBER, 1, 1024, 32, NULL, true},
    [COL_HEAD_MS] = {"head_ms", CELL_NUMBER, 1, 600000, 10000, NULL, true},
    [COL_IDLE_MS] = {"idle_ms", CELL_NUMBER, 1, 3600000, 60000, NULL, true},
    [COL_KEY] = {"key", CELL_YES_NO, 0, 0, 1, NULL, true},
    [COL_HEDGE_PCT] = {"hedge_pct", CELL_NUMBER, -1, 20, -1, NULL, true},
};

static int set_number(
    struct row_draft *r, enum column c, struct str value, struct fault *f);
static int set_text(
    struct row_draft *r, enum column c, struct str value, struct fault *f);
static bool is_host(struct str s);
static bool is_path(struct str s, bool is_prefix);
static bool is_split(struct str s);
static int check_rows(
    const struct row *const *rows, size_t count, struct fault *f);
static int check_row(const struct row *r, struct fault *f);
static int check_floors(
    const struct row *const *rows, size_t count, struct fault *f);
static int compare_services(const void *a, const void *b);
static int check_size(const struct table *t, struct fault *f);

const struct column_spec *
get_column_spec(enum column c)
{
	return &specs[c];
}

bool
is_text_column(enum column c)
{
	return c >= COL_HOST && c <= COL_HEALTH_PATH;
}

const char *
get_column_name(enum column c)
{
	if (is_account_column(c))
		return get_account_column_name(c);
	return (unsigned int)c < COLUMN_COUNT ? specs[c].name : "";
}

/*
 * Returns the column of that name, or ERR_NOT_FOUND.
 */
int
find_column(struct str name)
{
	for (int c = 0; c < COLUMN_COUNT; c++) {
		if (is_str_equal(name, make_str(specs[c].name)))
			return c;
	}
	return find_account_column(name);
}

bool
is_account_column(enum column c)
{
	return c >= ACCOUNT_NAME && c < ACCOUNT_COLUMN_END;
}

/*
 * Sets one cell from its text. Returns ERR_INVALID with a fault that names the
 * row, the column, the value and the accepted values.
 */
int
set_cell(struct row_draft *r, enum column c, struct str value, struct fault *f)
{
	const struct column_spec *s = &specs[c];
	int shown_len = value.len > 40 ? 40 : (int)value.len;

	if (is_text_column(c))
		return set_text(r, c, value, f);
	if (s->type == CELL_NAME) {
		if (!is_table_name(value))
			return set_fault(f, ERR_INVALID,
			    "row '%s', column %s: '%.*s' is not a name; use 1 "
			    "to %d of a-z, 0-9 and -",
			    r->kind, s->name, shown_len, value.data,
			    NAME_MAX_LEN);
		return copy_str(c == COL_KIND ? r->kind : r->service,
		    TABLE_NAME_BYTES, value);
	}
	if (s->type == CELL_YES_NO) {
		bool yes = is_str_equal(value, make_str("yes"));

		if (c == COL_REPEAT)
			r->repeatable = yes;
		else
			r->values[c] = yes;
		if (!yes && !is_str_equal(value, make_str("no")))
			return set_fault(f, ERR_INVALID,
			    "row '%s', column %s: '%.*s' is neither yes nor no",
			    r->kind, s->name, shown_len, value.data);
		return 0;
	}
	return set_number(r, c, value, f);
}

/*
 * Initializes a draft with the default value of every column and with an empty
 * kind and service.
 */
void
init_draft(struct row_draft *r)
{
	memset(r, 0, sizeof(*r));
	for (int c = 0; c < COLUMN_COUNT; c++) {
		r->values[c] = specs[c].initial;
		if (is_text_column(c))
			(void)copy_str(r->texts[c - COL_HOST], TABLE_CELL_BYTES,
			    make_str(specs[c].initial_text));
	}
	r->repeatable = true;
	r->values[COL_REPEAT] = 0;
}

void
copy_row_to_draft(struct row_draft *d, const struct row *r)
{
	memcpy(d->kind, r->kind, sizeof(d->kind));
	memcpy(d->service, r->service, sizeof(d->service));
	memcpy(d->values, r->values, sizeof(d->values));
	d->repeatable = r->repeatable;
	for (int i = 0; i < TABLE_TEXT_COUNT; i++)
		(void)copy_str(
		    d->texts[i], TABLE_CELL_BYTES, make_str(r->texts[i]));
}

/*
 * Checks the rules between the draft's cells and makes an immutable row with
 * one reference. The texts are stored behind the row in the same allocation.
 * Returns ERR_INVALID or ERR_MEMORY.
 */
int
make_row(const struct row_draft *d, struct row **out, struct fault *f)
{
	size_t text_bytes[TABLE_TEXT_COUNT], total_bytes = 0;
	struct buf line = {0};
	struct row *r;
	char *text;
	int rc;

	for (int i = 0; i < TABLE_TEXT_COUNT; i++) {
		text_bytes[i] = strlen(d->texts[i]) + 1;
		total_bytes += text_bytes[i];
	}
	r = calloc(1, sizeof(*r) + total_bytes);
	if (r == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a row");
	memcpy(r->kind, d->kind, sizeof(r->kind));
	memcpy(r->service, d->service, sizeof(r->service));
	memcpy(r->values, d->values, sizeof(r->values));
	r->repeatable = d->repeatable;
	r->refs = 1;
	text = (char *)(r + 1);
	for (int i = 0; i < TABLE_TEXT_COUNT; i++) {
		memcpy(text, d->texts[i], text_bytes[i]);
		r->texts[i] = text;
		text += text_bytes[i];
	}
	rc = check_row(r, f);
	if (rc == 0)
		rc = render_row_csv(r, get_row_column_end(r), &line);
	if (rc == 0)
		r->digest = XXH3_64bits(line.data, line.len);
	unload_buf(&line);
	if (rc != 0) {
		free(r);
		return rc;
	}
	*out = r;
	return 0;
}

const struct row *
ref_row(const struct row *r)
{
	__atomic_add_fetch(
	    &((struct row *)(uintptr_t)r)->refs, 1, __ATOMIC_RELAXED);
	return r;
}

void
unref_row(const struct row *r)
{
	struct row *counted = (struct row *)(uintptr_t)r;

	if (counted != NULL &&
	    __atomic_sub_fetch(&counted->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free(counted);
}

int
make_table(const struct row **rows, size_t count,
    struct account_sheet *accounts, uint64_t version, struct table **out,
    struct fault *f)
{
	struct table *t;
	int rc = check_rows(rows, count, f);

	t = rc == 0 ? calloc(1, sizeof(*t) + count * sizeof(t->rows[0])) : NULL;
	if (t == NULL) {
		unload_accounts(accounts);
		for (size_t i = 0; i < count; i++)
			unref_row(rows[i]);
		return rc != 0 ? rc :
				 set_fault(f, ERR_MEMORY,
				     "out of memory for a table");
	}
	t->version = version;
	t->row_count = count;
	for (size_t i = 0; i < count; i++) {
		t->rows[i] = rows[i];
		t->digest += rows[i]->digest;
	}
	rc = set_table_accounts(t, accounts, f);
	if (rc == 0)
		rc = check_size(t, f);
	if (rc == 0)
		rc = index_routes(t, f);
	if (rc != 0) {
		unload_table(t);
		return rc;
	}
	*out = t;
	return 0;
}

/*
 * Sets a cell of type CELL_NUMBER.
 */
static int
set_number(
    struct row_draft *r, enum column c, struct str value, struct fault *f)
{
	const struct column_spec *s = &specs[c];
	int shown_len = value.len > 40 ? 40 : (int)value.len;
	int64_t v;

	if (parse_i64(value, s->min, s->max, &v) != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column %s: '%.*s' is not accepted; use an "
		    "integer from %d to %d",
		    r->kind, s->name, shown_len, value.data, s->min, s->max);
	r->values[c] = (int32_t)v;
	return 0;
}

/*
 * Sets a cell of a text column.
 */
static int
set_text(struct row_draft *r, enum column c, struct str value, struct fault *f)
{
	const struct column_spec *s = &specs[c];
	int shown_len = value.len > 40 ? 40 : (int)value.len;
	const char *accepted = NULL;

	if (s->type == CELL_HOST && !is_host(value))
		accepted = "a host name in lower case, or nothing";
	else if (s->type == CELL_PATH && !is_path(value, c == COL_PATH))
		accepted = c == COL_PATH ?
			       "a path that begins and ends with /" :
			       "a path that begins with /";
	else if (s->type == CELL_SPLIT && !is_split(value))
		accepted =
		    "service:share pairs separated by spaces, or nothing";
	if (accepted != NULL)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column %s: '%.*s' is not accepted; use %s",
		    r->kind, s->name, shown_len, value.data, accepted);
	return copy_str(r->texts[c - COL_HOST], TABLE_CELL_BYTES, value);
}

bool
is_table_name(struct str s)
{
	if (s.len == 0 || s.len > NAME_MAX_LEN)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') &&
		    c != '-')
			return false;
	}
	return true;
}

static bool
is_host(struct str s)
{
	if (s.len >= TABLE_CELL_BYTES)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') &&
		    c != '-' && c != '.' && c != '_' && c != ':')
			return false;
	}
	return true;
}

/*
 * Returns whether s is an absolute path of printable ASCII without spaces. A
 * prefix must also end with a slash; it may be empty.
 */
static bool
is_path(struct str s, bool is_prefix)
{
	if (s.len == 0)
		return is_prefix;
	if (s.len >= TABLE_CELL_BYTES || s.data[0] != '/' ||
	    (is_prefix && s.data[s.len - 1] != '/'))
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] <= ' ' || s.data[i] >= 0x7f)
			return false;
	}
	return true;
}

/*
 * Returns whether s is empty or a list of service:share pairs with shares of 1
 * or more.
 */
static bool
is_split(struct str s)
{
	struct row_draft d = {0};
	struct split_part parts[TABLE_SPLIT_MAX];
	struct row r = {0};

	if (s.len == 0)
		return true;
	if (copy_str(d.texts[0], TABLE_CELL_BYTES, s) != 0)
		return false;
	r.texts[COL_SPLIT - COL_HOST] = d.texts[0];
	return parse_split(&r, parts) > 0;
}

/*
 * Checks rows sorted by kind: their number, that no kind occurs twice, and the
 * sum of the floors of each service.
 */
static int
check_rows(const struct row *const *rows, size_t count, struct fault *f)
{
	if (count > TABLE_MAX_ROWS)
		return set_fault(f, ERR_LIMIT,
		    "the table has %zu rows; remove some, at most %d fit",
		    count, TABLE_MAX_ROWS);
	for (size_t i = 1; i < count; i++) {
		if (strcmp(rows[i - 1]->kind, rows[i]->kind) == 0)
			return set_fault(f, ERR_INVALID,
			    "row '%s' stands twice; remove one of them",
			    rows[i]->kind);
	}
	return check_floors(rows, count, f);
}

/*
 * Checks the rules between the cells of one row.
 */
static int
check_row(const struct row *r, struct fault *f)
{
	if (!is_table_name(make_str(r->kind)) ||
	    !is_table_name(make_str(r->service)))
		return set_fault(f, ERR_INVALID,
		    "row '%s', column service: '%s' is not a name; set the "
		    "service that the row is routed to",
		    r->kind, r->service);
	if (r->values[COL_DEADLINE_MS] < r->values[COL_TARGET_MS])
		return set_fault(f, ERR_INVALID,
		    "row '%s', column deadline_ms: '%d' is below target_ms; "
		    "use %d or more",
		    r->kind, r->values[COL_DEADLINE_MS],
		    r->values[COL_TARGET_MS]);
	if (r->values[COL_FLOOR_PCT] > r->values[COL_LIMIT_PCT])
		return set_fault(f, ERR_INVALID,
		    "row '%s', column floor_pct: '%d' is above limit_pct; use "
		    "%d or less",
		    r->kind, r->values[COL_FLOOR_PCT],
		    r->values[COL_LIMIT_PCT]);
	if ((get_row_text(r, COL_HOST)[0] == '\0') !=
	    (get_row_text(r, COL_PATH)[0] == '\0'))
		return set_fault(f, ERR_INVALID,
		    "row '%s', column %s: it is empty; host and path go "
		    "together, set both or none",
		    r->kind,
		    get_row_text(r, COL_HOST)[0] == '\0' ? "host" : "path");
	if (r->repeatable)
		return 0;
	if (r->values[COL_HEDGE_MS] != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column hedge_ms: '%d' with repeat=no would run "
		    "a call twice; use 0",
		    r->kind, r->values[COL_HEDGE_MS]);
	if (r->values[COL_KEEP_S] != 0 &&
	    r->values[COL_KEEP_S] < RETENTION_MIN_S)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column keep_s: '%d' with repeat=no forgets runs "
		    "too early; use %d or more, or 0 for calls that are never "
		    "sent again",
		    r->kind, r->values[COL_KEEP_S], RETENTION_MIN_S);
	return 0;
}

/*
 * Checks the sum of the floors of each service. The rows with a floor are
 * sorted by service first, which makes the check O(n log n).
 */
static int
check_floors(const struct row *const *rows, size_t count, struct fault *f)
{
	const struct row **floor_rows = calloc(count + 1, sizeof(*floor_rows));
	size_t service_start = 0, floor_count = 0;
	int sum = 0, rc = 0;

	if (floor_rows == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a table");
	for (size_t i = 0; i < count; i++) {
		if (rows[i]->values[COL_FLOOR_PCT] != 0)
			floor_rows[floor_count++] = rows[i];
	}
	if (floor_count > 0)
		qsort(floor_rows, floor_count, sizeof(*floor_rows),
		    compare_services);
	for (size_t i = 0; i < floor_count && rc == 0; i++) {
		if (strcmp(floor_rows[i]->service,
			floor_rows[service_start]->service) != 0) {
			service_start = i;
			sum = 0;
		}
		sum += floor_rows[i]->values[COL_FLOOR_PCT];
		if (sum > TABLE_FLOOR_SUM_PCT)
			rc = set_fault(f, ERR_INVALID,
			    "row '%s', column floor_pct: '%d': the floors of "
			    "service '%s' add up to %d; lower them to %d or "
			    "less together",
			    floor_rows[i]->kind,
			    floor_rows[i]->values[COL_FLOOR_PCT],
			    floor_rows[i]->service, sum, TABLE_FLOOR_SUM_PCT);
	}
	free(floor_rows);
	return rc;
}

/*
 * Orders rows by service, then by kind: qsort() is not stable, and a fault must
 * name the same row in every process.
 */
static int
compare_services(const void *a, const void *b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;
	int c = strcmp(x->service, y->service);

	return c != 0 ? c : strcmp(x->kind, y->kind);
}

/*
 * Checks that the table's CSV has at most TABLE_MAX_CSV bytes. Renders it only
 * when an upper bound from the sizes of the rows exceeds the limit.
 */
static int
check_size(const struct table *t, struct fault *f)
{
	struct buf csv = {0};
	size_t max_bytes = get_accounts_csv_max(t);
	int rc = 0;

	for (size_t i = 0; i < t->row_count; i++) {
		max_bytes += sizeof(struct row);
		for (int k = 0; k < TABLE_TEXT_COUNT; k++)
			max_bytes += 2 * strlen(t->rows[i]->texts[k]);
	}
	if (max_bytes <= TABLE_MAX_CSV)
		return 0;
	rc = render_table_csv(t, &csv);
	if (rc == 0 && csv.len > TABLE_MAX_CSV)
		rc = set_fault(f, ERR_LIMIT,
		    "the table takes %zu bytes as CSV; remove rows, at most "
		    "%d fit",
		    csv.len, TABLE_MAX_CSV);
	unload_buf(&csv);
	return rc;
}
