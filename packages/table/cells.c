/*
 * Cell lists: edits of a table, diffs between tables, and their codec.
 */
#include <stdlib.h>
#include <string.h>

#include <csv.h>

#include "schema.h"

/* A row of a table being edited. */
struct draft_entry {
	const struct row *row; /* unchanged row; NULL if draft is set */
	struct row_draft *draft; /* changed or new row; NULL: none */
};

/* A table being edited: its rows, sorted by kind. */
struct table_draft {
	struct draft_entry *rows;
	size_t count;
	struct account_sheet accounts;
};

/* State of decode_cells(). */
struct cell_list_parser {
	struct cell_list *list;
	char fields[3][TABLE_CELL_BYTES];
	size_t field_count; /* fields of the current line */
	int rc;
};

static int apply_cell(
    struct table_draft *draft, const struct cell_edit *e, struct fault *f);
static int apply_row_cell(struct table_draft *draft, const struct cell_edit *e,
    size_t at, bool found, struct fault *f);
static int ensure_row_draft(struct draft_entry *c, struct fault *f);
static int make_table_from_draft(struct table_draft *draft, uint64_t version,
    struct table **out, struct fault *f);
static bool find_draft_entry(
    const struct table_draft *draft, struct str kind, size_t *at);
static int diff_rows(
    const struct row *from, const struct row *to, struct cell_list *out);
static void handle_cell_field(void *data, size_t len, void *arg);
static void handle_cell_line_end(int c, void *arg);

/*
 * Applies the edits in order to a copy of base, then checks the complete
 * result. An edit of column kind with an empty value removes the row, one with
 * the row's own name adds it. Returns ERR_NOT_FOUND for an edit of a missing
 * row, ERR_INVALID when a rule is broken, ERR_LIMIT when the result is too
 * large, and ERR_MEMORY.
 */
int
apply_cells(const struct table *base, const struct cell_list *cells,
    uint64_t version, struct table **out, struct fault *f)
{
	struct table_draft draft = {.count = base->row_count};
	int rc;

	draft.rows =
	    calloc(base->row_count + cells->count + 1, sizeof(*draft.rows));
	if (draft.rows == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for an edit");
	for (size_t i = 0; i < base->row_count; i++)
		draft.rows[i].row = ref_row(base->rows[i]);
	rc = copy_accounts(base, &draft.accounts, f);
	for (size_t i = 0; i < cells->count && rc == 0; i++)
		rc = apply_cell(&draft, &cells->cells[i], f);
	if (rc == 0)
		rc = make_table_from_draft(&draft, version, out, f);
	for (size_t i = 0; i < draft.count; i++) {
		unref_row(draft.rows[i].row);
		free(draft.rows[i].draft);
	}
	free(draft.rows);
	unload_accounts(&draft.accounts);
	return rc;
}

/*
 * Appends the edits that turn from into to. Removed rows come first, so that
 * their floors do not count when others are raised. Both tables are sorted by
 * kind; rows that they share by reference are equal without a comparison. The
 * edits of accounts follow.
 */
int
diff_tables(
    const struct table *from, const struct table *to, struct cell_list *out)
{
	size_t i = 0, k = 0;
	int rc = 0;

	for (; i < from->row_count && rc == 0; i++) {
		const struct row *r = from->rows[i];

		while (
		    k < to->row_count && strcmp(to->rows[k]->kind, r->kind) < 0)
			k++;
		if (k == to->row_count ||
		    strcmp(to->rows[k]->kind, r->kind) != 0)
			rc = append_cell(
			    out, make_str(r->kind), COL_KIND, make_str(""));
	}
	for (i = 0, k = 0; k < to->row_count && rc == 0; k++) {
		const struct row *r = to->rows[k], *old = NULL;

		while (i < from->row_count &&
		       strcmp(from->rows[i]->kind, r->kind) < 0)
			i++;
		if (i < from->row_count &&
		    strcmp(from->rows[i]->kind, r->kind) == 0)
			old = from->rows[i];
		if (old == NULL)
			rc = append_row_cells(out, r);
		else if (old != r && old->digest != r->digest)
			rc = diff_rows(old, r, out);
	}
	return rc == 0 ? diff_accounts(from, to, out) : rc;
}

/*
 * Appends one edit with copies of row and value. Returns ERR_LIMIT when a text
 * is too long, and ERR_MEMORY.
 */
int
append_cell(
    struct cell_list *l, struct str row, enum column c, struct str value)
{
	struct cell_edit *e;

	if (l->count == l->cap) {
		size_t cap = l->cap != 0 ? l->cap * 2 : 8;

		e = realloc(l->cells, cap * sizeof(*e));
		if (e == NULL)
			return ERR_MEMORY;
		l->cells = e;
		l->cap = cap;
	}
	e = &l->cells[l->count];
	if (copy_str(e->row, sizeof(e->row), row) != 0 ||
	    value.len >= TABLE_CELL_BYTES)
		return ERR_LIMIT;
	e->value = strndup(value.len > 0 ? value.data : "", value.len);
	if (e->value == NULL)
		return ERR_MEMORY;
	e->column = c;
	l->count++;
	return 0;
}

/*
 * Appends the edits that add a row: its kind, its service and the cells that
 * differ from the default values.
 */
int
append_row_cells(struct cell_list *l, const struct row *r)
{
	struct row_draft d;
	struct row initial = {0};
	int rc = append_cell(l, make_str(r->kind), COL_KIND, make_str(r->kind));

	init_draft(&d);
	memcpy(initial.values, d.values, sizeof(initial.values));
	initial.repeatable = d.repeatable;
	for (int i = 0; i < TABLE_TEXT_COUNT; i++)
		initial.texts[i] = d.texts[i];
	return rc == 0 ? diff_rows(&initial, r, l) : rc;
}

void
unload_cells(struct cell_list *l)
{
	for (size_t i = 0; i < l->count; i++)
		free(l->cells[i].value);
	free(l->cells);
	*l = (struct cell_list){0};
}

/*
 * Appends the list to out as "row,column,value" CSV lines. Values of valid
 * tables contain no line ends.
 */
int
encode_cells(const struct cell_list *l, struct buf *out)
{
	int rc = 0;

	for (size_t i = 0; i < l->count && rc == 0; i++) {
		rc = append_buf_fmt(out, "%s,%s,", l->cells[i].row,
		    get_column_name(l->cells[i].column));
		if (rc == 0)
			rc = append_csv_field(out, l->cells[i].value);
		if (rc == 0)
			rc = append_buf(out, "\n", 1);
	}
	return rc;
}

/*
 * Decodes the output of encode_cells() and appends it to out. Returns
 * ERR_CORRUPT for any other input, and ERR_MEMORY; the list is then empty.
 */
int
decode_cells(struct str text, struct cell_list *out, struct fault *f)
{
	struct cell_list_parser parser = {.list = out};
	struct csv_parser p;

	if (csv_init(&p, CSV_STRICT | CSV_STRICT_FINI) != 0)
		return set_fault(f, ERR_MEMORY, "out of memory for CSV");
	if (csv_parse(&p, text.data, text.len, handle_cell_field,
		handle_cell_line_end, &parser) != text.len ||
	    csv_fini(&p, handle_cell_field, handle_cell_line_end, &parser) != 0)
		parser.rc = ERR_CORRUPT;
	csv_free(&p);
	if (parser.rc != 0) {
		unload_cells(out);
		return set_fault(f, parser.rc,
		    "the cell list is damaged; fetch the whole table instead");
	}
	return 0;
}

/*
 * Applies one edit to the draft of its row.
 */
static int
apply_cell(
    struct table_draft *draft, const struct cell_edit *e, struct fault *f)
{
	size_t at;
	bool found = find_draft_entry(draft, make_str(e->row), &at);
	int rc;

	if (is_account_column(e->column))
		return apply_account_cell(&draft->accounts, e, f);
	if (e->column == COL_KIND)
		return apply_row_cell(draft, e, at, found, f);
	if (!found)
		return set_fault(f, ERR_NOT_FOUND,
		    "row '%s', column %s: there is no such row; add it first "
		    "or correct its name",
		    e->row, get_column_name(e->column));
	rc = ensure_row_draft(&draft->rows[at], f);
	return rc == 0 ? set_cell(draft->rows[at].draft, e->column,
			     make_str(e->value), f) :
			 rc;
}

/*
 * Adds or removes the row that e names, at position at; found: the row exists.
 */
static int
apply_row_cell(struct table_draft *draft, const struct cell_edit *e, size_t at,
    bool found, struct fault *f)
{
	struct draft_entry *entry = &draft->rows[at];
	int rc;

	if (e->value[0] == '\0') {
		if (!found)
			return set_fault(f, ERR_NOT_FOUND,
			    "row '%s': there is no such row to remove", e->row);
		unref_row(entry->row);
		free(entry->draft);
		draft->count--;
		memmove(entry, entry + 1, (draft->count - at) * sizeof(*entry));
		return 0;
	}
	if (strcmp(e->row, e->value) != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column kind: '%s': a row cannot be renamed; "
		    "remove it and add another",
		    e->row, e->value);
	if (found)
		return set_fault(f, ERR_INVALID,
		    "row '%s' exists already; edit its cells", e->row);
	memmove(entry + 1, entry, (draft->count - at) * sizeof(*entry));
	draft->count++;
	*entry = (struct draft_entry){0};
	rc = ensure_row_draft(entry, f);
	return rc == 0 ?
		   set_cell(entry->draft, COL_KIND, make_str(e->value), f) :
		   rc;
}

/*
 * Makes the entry's draft if it has none: a copy of its row, or a new row with
 * default values.
 */
static int
ensure_row_draft(struct draft_entry *c, struct fault *f)
{
	if (c->draft != NULL)
		return 0;
	c->draft = malloc(sizeof(*c->draft));
	if (c->draft == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for an edit");
	init_draft(c->draft);
	if (c->row != NULL)
		copy_row_to_draft(c->draft, c->row);
	unref_row(c->row);
	c->row = NULL;
	return 0;
}

/*
 * Makes immutable rows of the drafts and the table of all rows, which takes
 * over their references.
 */
static int
make_table_from_draft(struct table_draft *draft, uint64_t version,
    struct table **out, struct fault *f)
{
	const struct row **rows;
	size_t count = draft->count;
	int rc = 0;

	for (size_t i = 0; i < count && rc == 0; i++) {
		struct row *built = NULL;

		if (draft->rows[i].draft == NULL)
			continue;
		rc = make_row(draft->rows[i].draft, &built, f);
		draft->rows[i].row = built;
	}
	if (rc != 0)
		return rc;
	rows = calloc(count + 1, sizeof(*rows));
	if (rows == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for an edit");
	for (size_t i = 0; i < count; i++) {
		rows[i] = draft->rows[i].row;
		draft->rows[i].row = NULL;
	}
	rc = make_table(rows, count, &draft->accounts, version, out, f);
	free(rows);
	return rc;
}

/*
 * Sets *at to the position of a row, or to the one where it would be inserted.
 * Returns whether the row exists.
 */
static bool
find_draft_entry(const struct table_draft *draft, struct str kind, size_t *at)
{
	size_t lo = 0, hi = draft->count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		const struct draft_entry *entry = &draft->rows[mid];
		int c = compare_str(
		    kind, make_str(entry->draft != NULL ? entry->draft->kind :
							  entry->row->kind));

		if (c == 0) {
			*at = mid;
			return true;
		}
		if (c < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	*at = lo;
	return false;
}

/*
 * Appends the edits that turn one row into another, apart from its kind.
 */
static int
diff_rows(const struct row *from, const struct row *to, struct cell_list *out)
{
	char a[TABLE_CELL_BYTES], b[TABLE_CELL_BYTES];
	int rc = 0;

	for (int c = COL_SERVICE; c < COLUMN_COUNT && rc == 0; c++) {
		(void)render_cell(from, c, a, sizeof(a));
		(void)render_cell(to, c, b, sizeof(b));
		if (strcmp(a, b) != 0)
			rc = append_cell(
			    out, make_str(to->kind), c, make_str(b));
	}
	return rc;
}

/*
 * Called by the CSV parser for each field: stores it.
 */
static void
handle_cell_field(void *data, size_t len, void *arg)
{
	struct cell_list_parser *parser = arg;

	if (parser->field_count < 3) {
		if (copy_str(parser->fields[parser->field_count],
			TABLE_CELL_BYTES, make_str_n(data, len)) != 0)
			parser->rc = ERR_CORRUPT;
	}
	parser->field_count++;
}

/*
 * Called by the CSV parser at each line end: appends the edit of the line.
 */
static void
handle_cell_line_end(int c, void *arg)
{
	struct cell_list_parser *parser = arg;
	int column;

	(void)c;
	column = parser->field_count == 3 ?
		     find_column(make_str(parser->fields[1])) :
		     -1;
	if (column < 0)
		parser->rc = ERR_CORRUPT;
	if (parser->rc == 0)
		parser->rc =
		    append_cell(parser->list, make_str(parser->fields[0]),
			(enum column)column, make_str(parser->fields[2]));
	parser->field_count = 0;
}
