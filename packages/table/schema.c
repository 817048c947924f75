/*
 * Cell ranges and the rules that span cells of a row and rows of a service.
 */
#include <stdlib.h>
#include <string.h>

#include "schema.h"

#define NAME_MAX_LEN (TABLE_NAME_BYTES - 1)
#define KEEP_MIN_S 60 /* least retention of at-most-once records */

static const struct column_spec specs[COLUMN_COUNT] = {
    [COL_KIND] = {"kind", CELL_NAME, 0, 0, 0},
    [COL_SERVICE] = {"service", CELL_NAME, 0, 0, 0},
    [COL_RANK] = {"rank", CELL_NUMBER, 1, 9, 5},
    [COL_WEIGHT] = {"weight", CELL_NUMBER, 1, 1000, 10},
    [COL_FLOOR_PCT] = {"floor_pct", CELL_NUMBER, 0, 100, 0},
    [COL_LIMIT_PCT] = {"limit_pct", CELL_NUMBER, 1, 100, 100},
    [COL_TARGET_MS] = {"target_ms", CELL_NUMBER, 1, 600000, 1000},
    [COL_DEADLINE_MS] = {"deadline_ms", CELL_NUMBER, 1, 3600000, 5000},
    [COL_QUEUE_MAX] = {"queue_max", CELL_NUMBER, 0, 10000, 100},
    [COL_RETRIES] = {"retries", CELL_NUMBER, 0, 5, 1},
    [COL_RETRY_PCT] = {"retry_pct", CELL_NUMBER, 0, 50, 10},
    [COL_HEDGE_MS] = {"hedge_ms", CELL_NUMBER, 0, 600000, 0},
    [COL_REPEAT] = {"repeat", CELL_YES_NO, 0, 0, 1},
    [COL_KEEP_S] = {"keep_s", CELL_NUMBER, 0, 604800, 86400},
    [COL_BODY_MAX_KB] = {"body_max_kb", CELL_NUMBER, 1, 65536, 64},
    [COL_DRAIN_S] = {"drain_s", CELL_NUMBER, 1, 3600, 30},
};

static bool is_name(struct str s);
static int check_row(const struct row *r, struct fault *f);
static int check_floors(const struct row *rows, size_t count, struct fault *f);
static int compare_rows(const void *a, const void *b);
static int compare_services(const void *a, const void *b);

const struct column_spec *
get_column_spec(enum column c)
{
	return &specs[c];
}

const char *
get_column_name(enum column c)
{
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
	return ERR_NOT_FOUND;
}

/*
 * Sets one cell from its text. Returns ERR_INVALID with a fault that names row,
 * column, value and what the column accepts.
 */
int
set_cell(struct row *r, enum column c, struct str value, struct fault *f)
{
	const struct column_spec *s = &specs[c];
	int shown = value.len > 40 ? 40 : (int)value.len;
	int64_t v;

	if (s->type == CELL_NAME) {
		if (!is_name(value))
			return set_fault(f, ERR_INVALID,
			    "row '%s', column %s: '%.*s' is not a name; use 1 "
			    "to %d of a-z, 0-9 and -",
			    r->kind, s->name, shown, value.data, NAME_MAX_LEN);
		return copy_str(c == COL_KIND ? r->kind : r->service,
		    TABLE_NAME_BYTES, value);
	}
	if (s->type == CELL_YES_NO) {
		r->repeatable = is_str_equal(value, make_str("yes"));
		if (!r->repeatable && !is_str_equal(value, make_str("no")))
			return set_fault(f, ERR_INVALID,
			    "row '%s', column %s: '%.*s' is neither yes nor no",
			    r->kind, s->name, shown, value.data);
		return 0;
	}
	if (parse_i64(value, s->lo, s->hi, &v) != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column %s: '%.*s' is not accepted; use an "
		    "integer from %d to %d",
		    r->kind, s->name, shown, value.data, s->lo, s->hi);
	r->values[c] = (int32_t)v;
	return 0;
}

/*
 * Starts a row with every column's initial value and no service.
 */
void
init_row(struct row *r, struct str kind)
{
	memset(r, 0, sizeof(*r));
	(void)copy_str(r->kind, sizeof(r->kind), kind);
	for (int c = 0; c < COLUMN_COUNT; c++)
		r->values[c] = specs[c].initial;
	r->repeatable = true;
	r->values[COL_REPEAT] = 0;
}

/*
 * Checks rows sorted by kind: each by itself, no kind twice, and the floors of
 * each service's rows together.
 */
int
check_rows(const struct row *rows, size_t count, struct fault *f)
{
	int rc;

	if (count > TABLE_MAX_ROWS)
		return set_fault(f, ERR_LIMIT,
		    "the table has %zu rows; remove some, at most %d fit",
		    count, TABLE_MAX_ROWS);
	for (size_t i = 0; i < count; i++) {
		rc = check_row(&rows[i], f);
		if (rc != 0)
			return rc;
		if (i > 0 && strcmp(rows[i - 1].kind, rows[i].kind) == 0)
			return set_fault(f, ERR_INVALID,
			    "row '%s' stands twice; remove one of them",
			    rows[i].kind);
	}
	return check_floors(rows, count, f);
}

/*
 * Sorts rows in place, checks them and makes the table with its digest.
 */
int
make_table(struct row *rows, size_t count, uint64_t version, struct table **out,
    struct fault *f)
{
	struct table *t;
	struct buf csv = {0};
	int rc;

	if (count > 0)
		qsort(rows, count, sizeof(*rows), compare_rows);
	rc = check_rows(rows, count, f);
	if (rc != 0)
		return rc;
	t = calloc(1, sizeof(*t) + count * sizeof(*rows));
	if (t == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a table");
	t->version = version;
	t->row_count = count;
	if (count > 0)
		memcpy(t->rows, rows, count * sizeof(*rows));
	rc = render_table_csv(t, &csv);
	if (rc == 0 && csv.len > TABLE_MAX_CSV)
		rc = set_fault(f, ERR_LIMIT,
		    "the table takes %zu bytes as CSV; remove rows, at most "
		    "%d fit",
		    csv.len, TABLE_MAX_CSV);
	if (rc == 0)
		t->digest = compute_digest(view_buf(&csv));
	unload_buf(&csv);
	if (rc != 0) {
		free(t);
		return rc;
	}
	*out = t;
	return 0;
}

static bool
is_name(struct str s)
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

/*
 * Checks the rules between the cells of one row.
 */
static int
check_row(const struct row *r, struct fault *f)
{
	if (!is_name(make_str(r->kind)) || !is_name(make_str(r->service)))
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
	if (r->repeatable)
		return 0;
	if (r->values[COL_HEDGE_MS] != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column hedge_ms: '%d' with repeat=no would run "
		    "a call twice; use 0",
		    r->kind, r->values[COL_HEDGE_MS]);
	if (r->values[COL_KEEP_S] < KEEP_MIN_S)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column keep_s: '%d' with repeat=no forgets runs "
		    "too early; use %d or more",
		    r->kind, r->values[COL_KEEP_S], KEEP_MIN_S);
	return 0;
}

/*
 * Checks the sum of floors of each service. The rows are visited in the order
 * of their services, so that the check takes n log n steps.
 */
static int
check_floors(const struct row *rows, size_t count, struct fault *f)
{
	const struct row **list = calloc(count + 1, sizeof(*list));
	size_t first = 0;
	int sum = 0, rc = 0;

	if (list == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a table");
	for (size_t i = 0; i < count; i++)
		list[i] = &rows[i];
	if (count > 0)
		qsort(list, count, sizeof(*list), compare_services);
	for (size_t i = 0; i < count && rc == 0; i++) {
		if (strcmp(list[i]->service, list[first]->service) != 0) {
			first = i;
			sum = 0;
		}
		sum += list[i]->values[COL_FLOOR_PCT];
		if (sum > TABLE_FLOOR_SUM_PCT)
			rc = set_fault(f, ERR_INVALID,
			    "row '%s', column floor_pct: '%d': the floors of "
			    "service '%s' add up to %d; lower them to %d or "
			    "less together",
			    list[i]->kind, list[i]->values[COL_FLOOR_PCT],
			    list[i]->service, sum, TABLE_FLOOR_SUM_PCT);
	}
	free(list);
	return rc;
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp(
	    ((const struct row *)a)->kind, ((const struct row *)b)->kind);
}

/*
 * Orders by service, then by kind, so that faults do not depend on the sort.
 */
static int
compare_services(const void *a, const void *b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;
	int c = strcmp(x->service, y->service);

	return c != 0 ? c : strcmp(x->kind, y->kind);
}
