/*
 * Tables: loading from CSV, rendering and lookup.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <csv.h>

#include "schema.h"

/* State of load_table_csv(). */
struct table_parser {
	struct table_builder *builder;
	enum column columns[COLUMN_COUNT]; /* of each field of a line */
	bool in_accounts; /* behind the header of the second sheet */
	size_t field_count; /* fields of the header line */
	size_t line_fields; /* fields read of the current line */
	long lines_read; /* lines before the current one */
	bool seen[COLUMN_COUNT]; /* columns in the header line */
	bool in_header; /* the current line names columns */
	int rc;
	struct fault *f;
};

static void handle_field(void *data, size_t len, void *arg);
static void handle_line_end(int c, void *arg);
static void read_header_field(struct table_parser *parser, struct str name);
static void read_account_header_field(
    struct table_parser *parser, struct str name);
static void check_header(struct table_parser *parser);
static const char *get_cell_text(
    const struct row *r, enum column c, char *number, size_t size);
static const char *format_number(int32_t value, char *text, size_t size);

/*
 * Loads a table from CSV. Its first line names the columns: kind first, the
 * others in any order, optional ones may be missing. Returns ERR_INVALID or
 * ERR_LIMIT with a fault that names the line, or row and column; *out is then
 * not set. The caller frees the table with unload_table().
 */
int
load_table_csv(
    struct str csv, uint64_t version, struct table **out, struct fault *f)
{
	struct table_parser parser = {.f = f};
	struct csv_parser p;

	if (csv.len > TABLE_MAX_CSV)
		return set_fault(f, ERR_LIMIT,
		    "the file has %zu bytes; at most %d are accepted", csv.len,
		    TABLE_MAX_CSV);
	if (open_table_builder(&parser.builder) != 0 ||
	    csv_init(&p, CSV_STRICT | CSV_STRICT_FINI) != 0) {
		close_table_builder(parser.builder);
		return set_fault(f, ERR_MEMORY, "out of memory for CSV");
	}
	if (csv_parse(&p, csv.data, csv.len, handle_field, handle_line_end,
		&parser) != csv.len ||
	    csv_fini(&p, handle_field, handle_line_end, &parser) != 0) {
		if (parser.rc == 0)
			parser.rc = set_fault(f, ERR_INVALID,
			    "line %ld is not valid CSV (%s); check its quotes",
			    parser.lines_read + 1, csv_strerror(csv_error(&p)));
	}
	csv_free(&p);
	if (parser.rc == 0 && parser.lines_read == 0)
		parser.rc = set_fault(f, ERR_INVALID,
		    "the file has no header line; start it with the column "
		    "names, the first being kind");
	if (parser.rc == 0)
		parser.rc = build_table(parser.builder, version, out, f);
	close_table_builder(parser.builder);
	return parser.rc;
}

/*
 * Returns the table that applies before the first version is accepted, or NULL
 * when out of memory.
 */
struct table *
make_empty_table(void)
{
	struct table *t = NULL;

	struct account_sheet none = {0};

	(void)make_table(NULL, 0, &none, 0, &t, NULL);
	return t;
}

void
unload_table(struct table *t)
{
	if (t == NULL)
		return;
	for (size_t i = 0; i < t->row_count; i++)
		unref_row(t->rows[i]);
	unset_table_accounts(t);
	free(t->routes);
	free(t);
}

/*
 * Returns the row of that kind, or NULL. Binary search: log2(rows) comparisons.
 */
const struct row *
find_row(const struct table *t, struct str kind)
{
	size_t lo = 0, hi = t->row_count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		int c = compare_str(kind, make_str(t->rows[mid]->kind));

		if (c == 0)
			return t->rows[mid];
		if (c < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	return NULL;
}

bool
has_service(const struct table *t, struct str service)
{
	for (size_t i = 0; i < t->row_count; i++) {
		if (is_str_equal(service, make_str(t->rows[i]->service)))
			return true;
	}
	return false;
}

const char *
get_row_text(const struct row *r, enum column c)
{
	return r->texts[c - COL_HOST];
}

/*
 * Parses the cell of column split into out, which has room for TABLE_SPLIT_MAX
 * parts. Returns the number of parts; 0 for an empty or malformed cell.
 */
int
parse_split(const struct row *r, struct split_part *out)
{
	const char *p = get_row_text(r, COL_SPLIT);
	int n = 0;

	while (*p != '\0') {
		const char *colon = strchr(p, ':');
		size_t len = strcspn(p, " ");
		int64_t share;

		if (colon == NULL || colon >= p + len || n == TABLE_SPLIT_MAX ||
		    colon == p ||
		    copy_str(out[n].service, TABLE_NAME_BYTES,
			make_str_n(p, (size_t)(colon - p))) != 0 ||
		    parse_i64(
			make_str_n(colon + 1, len - (size_t)(colon + 1 - p)), 1,
			INT32_MAX, &share) != 0)
			return 0;
		out[n++].share = (int)share;
		p += len;
		if (*p == ' ' && p[1] == '\0')
			return 0;
		p += *p == ' ' ? 1 : 0;
	}
	return n;
}

/*
 * Appends the canonical CSV: columns in schema order, rows by kind, "\n" line
 * ends, quotes only around cells that contain a comma or a quote. The last
 * columns and the sheet of accounts are left out where they say nothing, so that
 * tables without them keep their bytes. An empty sheet is its header line.
 */
int
render_table_csv(const struct table *t, struct buf *out)
{
	int column_end = get_table_column_end(t), rc = 0;

	for (int c = 0; c < column_end && rc == 0; c++)
		rc = append_buf_fmt(
		    out, "%s%s", c > 0 ? "," : "", get_column_name(c));
	if (rc == 0)
		rc = append_buf(out, "\n", 1);
	for (size_t i = 0; i < t->row_count && rc == 0; i++)
		rc = render_row_csv(t->rows[i], column_end, out);
	return rc == 0 ? render_accounts_csv(t, out) : rc;
}

/*
 * Returns the end of the columns that the row's line needs: those behind
 * COL_IDLE_MS came later, and rows that do not use them keep the bytes and the
 * digest that they had before.
 */
int
get_row_column_end(const struct row *r)
{
	int end = COLUMN_COUNT;

	while (end > COL_IDLE_MS + 1 &&
	       r->values[end - 1] == get_column_spec(end - 1)->initial)
		end--;
	return end;
}

int
get_table_column_end(const struct table *t)
{
	int end = COL_IDLE_MS + 1;

	for (size_t i = 0; i < t->row_count; i++) {
		int row_end = get_row_column_end(t->rows[i]);

		if (row_end > end)
			end = row_end;
	}
	return end;
}

/*
 * Counts a separator for each field, and a byte for each that cannot be empty.
 */
size_t
get_csv_length_min(const struct table *t)
{
	size_t line = COL_KEY + (COL_KEY - TABLE_TEXT_COUNT);

	return (t->row_count + 1) * line;
}

/*
 * Appends the row's line of the canonical CSV, with its line end.
 */
int
render_row_csv(const struct row *r, int column_end, struct buf *out)
{
	char number[24];
	int rc = 0;

	for (int c = 0; c < column_end && rc == 0; c++) {
		rc = append_csv_field(
		    out, get_cell_text(r, c, number, sizeof(number)));
		if (rc == 0)
			rc =
			    append_buf(out, c + 1 < column_end ? "," : "\n", 1);
	}
	return rc;
}

/*
 * Appends a field, in quotes if it contains a comma or a quote.
 */
int
append_csv_field(struct buf *out, const char *value)
{
	int rc;

	if (strpbrk(value, ",\"") == NULL)
		return append_buf_str(out, make_str(value));
	rc = append_buf(out, "\"", 1);
	for (; *value != '\0' && rc == 0; value++) {
		if (*value == '"')
			rc = append_buf(out, "\"", 1);
		if (rc == 0)
			rc = append_buf(out, value, 1);
	}
	return rc == 0 ? append_buf(out, "\"", 1) : rc;
}

/*
 * Writes the text of one cell, with a NUL, into out. Returns ERR_LIMIT when it
 * does not fit.
 */
int
render_cell(const struct row *r, enum column c, char *out, size_t size)
{
	char number[24];

	return copy_str(
	    out, size, make_str(get_cell_text(r, c, number, sizeof(number))));
}

/*
 * Returns the text of a cell. A number is printed into the buffer number.
 */
static const char *
get_cell_text(const struct row *r, enum column c, char *number, size_t size)
{
	if (is_text_column(c))
		return get_row_text(r, c);
	switch (get_column_spec(c)->type) {
	case CELL_NAME:
		return c == COL_KIND ? r->kind : r->service;
	case CELL_YES_NO:
		return (c == COL_REPEAT ? r->repeatable : r->values[c] != 0) ?
			   "yes" :
			   "no";
	default:
		return format_number(r->values[c], number, size);
	}
}

/*
 * Returns the decimal digits of a number, written to the end of text. A large
 * table has tens of thousands of numbers, and snprintf() took most of the time
 * of reading and rendering it.
 */
static const char *
format_number(int32_t value, char *text, size_t size)
{
	char *p = text + size - 1;
	uint32_t rest = value < 0 ? 0 - (uint32_t)value : (uint32_t)value;

	*p = '\0';
	do {
		*--p = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest != 0);
	if (value < 0)
		*--p = '-';
	return p;
}

/*
 * Called by the CSV parser for each field: a column name on the first line, a
 * cell on the others.
 */
static void
handle_field(void *data, size_t len, void *arg)
{
	struct table_parser *parser = arg;
	struct str value = make_str_n(data, len);

	if (parser->rc != 0)
		return;
	if (parser->line_fields == 0 && !parser->in_accounts &&
	    parser->lines_read > 0 &&
	    is_str_equal(value, make_str(get_column_name(ACCOUNT_NAME)))) {
		parser->in_accounts = parser->in_header = true;
		list_table_accounts(parser->builder);
		parser->field_count = 0;
	}
	if (parser->lines_read == 0) {
		read_header_field(parser, value);
		return;
	}
	if (parser->in_header) {
		read_account_header_field(parser, value);
		return;
	}
	if (parser->line_fields == parser->field_count) {
		parser->rc = set_fault(parser->f, ERR_INVALID,
		    "line %ld has more than %zu fields; remove the rest",
		    parser->lines_read + 1, parser->field_count);
		return;
	}
	if (parser->in_accounts)
		parser->rc =
		    parser->line_fields == 0 ?
			start_table_account(parser->builder, value, parser->f) :
			set_account_cell(parser->builder,
			    parser->columns[parser->line_fields], value,
			    parser->f);
	else
		parser->rc =
		    parser->line_fields == 0 ?
			start_table_row(parser->builder, value, parser->f) :
			set_row_cell(parser->builder,
			    parser->columns[parser->line_fields], value,
			    parser->f);
	parser->line_fields++;
}

/*
 * Called by the CSV parser at each line end: checks the number of fields.
 */
static void
handle_line_end(int c, void *arg)
{
	struct table_parser *parser = arg;

	(void)c;
	if (parser->rc == 0) {
		if (parser->lines_read == 0)
			check_header(parser);
		else if (!parser->in_header &&
			 parser->line_fields != parser->field_count)
			parser->rc = set_fault(parser->f, ERR_INVALID,
			    "line %ld has %zu fields; fill in all %zu columns",
			    parser->lines_read + 1, parser->line_fields,
			    parser->field_count);
	}
	parser->lines_read++;
	parser->line_fields = 0;
	parser->in_header = false;
}

/*
 * Assigns the next field of each line to the named column.
 */
static void
read_header_field(struct table_parser *parser, struct str name)
{
	int c = find_column(name);
	int shown_len = name.len > 40 ? 40 : (int)name.len;

	if (c < 0 || parser->seen[c]) {
		parser->rc = set_fault(parser->f, ERR_INVALID,
		    "header: column '%.*s' is %s; the columns are those of "
		    "'greengagespurctl table export'",
		    shown_len, name.data, c < 0 ? "unknown" : "named twice");
		return;
	}
	parser->seen[c] = true;
	parser->columns[parser->field_count++] = (enum column)c;
}

/*
 * Assigns the next field of each line of the second sheet to the named column.
 */
static void
read_account_header_field(struct table_parser *parser, struct str name)
{
	int c = find_account_column(name);
	int shown_len = name.len > 40 ? 40 : (int)name.len;

	for (size_t i = 0; i < parser->field_count; i++) {
		if (c == (int)parser->columns[i])
			c = ERR_INVALID;
	}
	parser->line_fields = 1;
	if (c < 0) {
		parser->rc = set_fault(parser->f, ERR_INVALID,
		    "header of the accounts: column '%.*s' is %s; the columns "
		    "are those of 'greengagespurctl table export'",
		    shown_len, name.data,
		    c == ERR_INVALID ? "named twice" : "unknown");
		return;
	}
	parser->columns[parser->field_count++] = (enum column)c;
}

/*
 * Checks that kind comes first, because the faults of all other cells name the
 * row by it, and that no required column is missing.
 */
static void
check_header(struct table_parser *parser)
{
	if (parser->field_count > 0 && parser->columns[0] != COL_KIND) {
		parser->rc = set_fault(parser->f, ERR_INVALID,
		    "header: the first column is '%s'; put kind first",
		    get_column_name(parser->columns[0]));
		return;
	}
	for (int c = 0; c < COLUMN_COUNT; c++) {
		if (!parser->seen[c] && !get_column_spec(c)->optional) {
			parser->rc = set_fault(parser->f, ERR_INVALID,
			    "header: column '%s' is missing; add it",
			    get_column_name(c));
			return;
		}
	}
}
