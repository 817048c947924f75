/*
 * Cell lists: edits of a table, differences between tables, and their codec.
 */
#include <stdlib.h>
#include <string.h>

#include <csv.h>

#include "schema.h"

/* Rows under change. */
struct row_list {
	struct row *rows;
	size_t count;
};

/* State of a cell list parse. */
struct cell_loader {
	struct cell_list *list;
	char text[3][TABLE_CELL_BYTES];
	size_t field;
	int rc;
};

static int apply_cell(
    struct row_list *l, const struct cell_edit *e, struct fault *f);
static int apply_row_cell(struct row_list *l, const struct cell_edit *e,
    struct row *r, struct fault *f);
static struct row *find_listed_row(struct row_list *l, struct str kind);
static int diff_rows(
    const struct row *from, const struct row *to, struct cell_list *out);
static void read_cell_field(void *data, size_t len, void *arg);
static void read_cell_end(int c, void *arg);

/*
 * Applies the edits in order to a copy of base, then checks the whole result.
 * An edit of column kind with an empty value removes the row, with the row's
 * own name adds it. Returns ERR_NOT_FOUND for an edit of a missing row.
 */
int
apply_cells(const struct table *base, const struct cell_list *cells,
    uint64_t version, struct table **out, struct fault *f)
{
	struct row_list l = {NULL, base->row_count};
	int rc = 0;

	l.rows = calloc(base->row_count + cells->count + 1, sizeof(*l.rows));
	if (l.rows == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for an edit");
	memcpy(l.rows, base->rows, base->row_count * sizeof(*l.rows));
	for (size_t i = 0; i < cells->count && rc == 0; i++)
		rc = apply_cell(&l, &cells->cells[i], f);
	if (rc == 0)
		rc = make_table(l.rows, l.count, version, out, f);
	free(l.rows);
	return rc;
}

/*
 * Appends the edits that turn from into to: removed rows first, so that their
 * floors are free for the others.
 */
int
diff_tables(
    const struct table *from, const struct table *to, struct cell_list *out)
{
	int rc = 0;

	for (size_t i = 0; i < from->row_count && rc == 0; i++) {
		struct str kind = make_str(from->rows[i].kind);

		if (find_row(to, kind) == NULL)
			rc = append_cell(out, kind, COL_KIND, make_str(""));
	}
	for (size_t i = 0; i < to->row_count && rc == 0; i++) {
		struct str kind = make_str(to->rows[i].kind);

		rc = diff_rows(find_row(from, kind), &to->rows[i], out);
	}
	return rc;
}

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
	    copy_str(e->value, sizeof(e->value), value) != 0)
		return ERR_LIMIT;
	e->column = c;
	l->count++;
	return 0;
}

void
unload_cells(struct cell_list *l)
{
	free(l->cells);
	*l = (struct cell_list){0};
}

/*
 * Appends "row,column,value" lines. Names and values of valid tables hold no
 * commas, quotes or line ends.
 */
int
encode_cells(const struct cell_list *l, struct buf *out)
{
	int rc = 0;

	for (size_t i = 0; i < l->count && rc == 0; i++)
		rc = append_buf_fmt(out, "%s,%s,%s\n", l->cells[i].row,
		    get_column_name(l->cells[i].column), l->cells[i].value);
	return rc;
}

/*
 * Decodes what encode_cells() wrote. Returns ERR_CORRUPT, with the list empty,
 * on anything else.
 */
int
decode_cells(struct str text, struct cell_list *out, struct fault *f)
{
	struct cell_loader l = {.list = out};
	struct csv_parser p;

	if (csv_init(&p, CSV_STRICT | CSV_STRICT_FINI) != 0)
		return set_fault(f, ERR_MEMORY, "out of memory for CSV");
	if (csv_parse(&p, text.data, text.len, read_cell_field, read_cell_end,
		&l) != text.len ||
	    csv_fini(&p, read_cell_field, read_cell_end, &l) != 0)
		l.rc = ERR_CORRUPT;
	csv_free(&p);
	if (l.rc != 0) {
		unload_cells(out);
		return set_fault(f, l.rc,
		    "the cell list is damaged; fetch the whole table instead");
	}
	return 0;
}

static int
apply_cell(struct row_list *l, const struct cell_edit *e, struct fault *f)
{
	struct row *r = find_listed_row(l, make_str(e->row));

	if (e->column == COL_KIND)
		return apply_row_cell(l, e, r, f);
	if (r == NULL)
		return set_fault(f, ERR_NOT_FOUND,
		    "row '%s', column %s: there is no such row; add it first "
		    "or correct its name",
		    e->row, get_column_name(e->column));
	return set_cell(r, e->column, make_str(e->value), f);
}

/*
 * Adds or removes the row e names; r is its present row or NULL.
 */
static int
apply_row_cell(struct row_list *l, const struct cell_edit *e, struct row *r,
    struct fault *f)
{
	if (e->value[0] == '\0') {
		if (r == NULL)
			return set_fault(f, ERR_NOT_FOUND,
			    "row '%s': there is no such row to remove", e->row);
		*r = l->rows[--l->count];
		return 0;
	}
	if (strcmp(e->row, e->value) != 0)
		return set_fault(f, ERR_INVALID,
		    "row '%s', column kind: '%s': a row cannot be renamed; "
		    "remove it and add another",
		    e->row, e->value);
	if (r != NULL)
		return set_fault(f, ERR_INVALID,
		    "row '%s' exists already; edit its cells", e->row);
	init_row(&l->rows[l->count], make_str(""));
	l->count++;
	return set_cell(
	    &l->rows[l->count - 1], COL_KIND, make_str(e->value), f);
}

static struct row *
find_listed_row(struct row_list *l, struct str kind)
{
	for (size_t i = 0; i < l->count; i++) {
		if (is_str_equal(kind, make_str(l->rows[i].kind)))
			return &l->rows[i];
	}
	return NULL;
}

/*
 * Appends the edits from one row to another; from is NULL for an added row.
 */
static int
diff_rows(const struct row *from, const struct row *to, struct cell_list *out)
{
	struct str kind = make_str(to->kind);
	char a[TABLE_CELL_BYTES], b[TABLE_CELL_BYTES];
	int rc = 0;

	if (from == NULL)
		rc = append_cell(out, kind, COL_KIND, kind);
	for (int c = COL_SERVICE; c < COLUMN_COUNT && rc == 0; c++) {
		(void)render_cell(to, c, b, sizeof(b));
		if (from != NULL) {
			(void)render_cell(from, c, a, sizeof(a));
			if (strcmp(a, b) == 0)
				continue;
		}
		rc = append_cell(out, kind, c, make_str(b));
	}
	return rc;
}

static void
read_cell_field(void *data, size_t len, void *arg)
{
	struct cell_loader *l = arg;

	if (l->field < 3) {
		if (copy_str(l->text[l->field], TABLE_CELL_BYTES,
			make_str_n(data, len)) != 0)
			l->rc = ERR_CORRUPT;
	}
	l->field++;
}

static void
read_cell_end(int c, void *arg)
{
	struct cell_loader *l = arg;
	int column;

	(void)c;
	column = l->field == 3 ? find_column(make_str(l->text[1])) : -1;
	if (column < 0)
		l->rc = ERR_CORRUPT;
	if (l->rc == 0)
		l->rc = append_cell(l->list, make_str(l->text[0]),
		    (enum column)column, make_str(l->text[2]));
	l->field = 0;
}
