/*
 * The table's schema: names, ranges and checks of cells, rows and tables, for
 * the source files of the package.
 */
#ifndef SCHEMA_H
#define SCHEMA_H

#include "table.h"

/* What a column accepts. */
enum cell_type {
	CELL_NAME, /* [a-z0-9-], 1 to 32 bytes */
	CELL_NUMBER, /* integer from min to max */
	CELL_YES_NO, /* yes or no */
	CELL_HOST, /* host name in lower case, or empty */
	CELL_PATH, /* absolute path; in COL_PATH a prefix, may be empty */
	CELL_SPLIT, /* "service:share ...", or empty */
};

/* Name and accepted values of a column. */
struct column_spec {
	const char *name;
	enum cell_type type;
	int32_t min;
	int32_t max;
	int32_t initial; /* default value in a new row */
	const char *initial_text; /* the same of a text column */
	bool optional; /* a CSV file may omit the column */
};

/* A row being edited; make_row() makes an immutable row of it. */
struct row_draft {
	char kind[TABLE_NAME_BYTES];
	char service[TABLE_NAME_BYTES];
	bool repeatable;
	int32_t values[COLUMN_COUNT];
	char texts[TABLE_TEXT_COUNT][TABLE_CELL_BYTES];
};

const struct column_spec *get_column_spec(enum column c);
bool is_text_column(enum column c);
int set_cell(
    struct row_draft *r, enum column c, struct str value, struct fault *f);
void init_draft(struct row_draft *r); /* default value of each cell */
void copy_row_to_draft(struct row_draft *d, const struct row *r);
int make_row(const struct row_draft *d, struct row **out,
    struct fault *f); /* one reference, the caller's */

/* References; both are safe from any thread */
const struct row *ref_row(const struct row *r); /* returns r */
void unref_row(const struct row *r); /* the last one frees it; NULL: no-op */

/*
 * Checks rows that are sorted by kind and makes a table of them. Takes over the
 * references to the rows, also on error. Returns ERR_INVALID, ERR_LIMIT or
 * ERR_MEMORY.
 */
int make_table(const struct row **rows, size_t count, uint64_t version,
    struct table **out, struct fault *f);

/* CSV: a field, quoted if necessary, and the line of a row */
int append_csv_field(struct buf *out, const char *value);
int render_row_csv(const struct row *r, struct buf *out);

/* route.c: index by host and path */
int index_routes(struct table *t, struct fault *f);

#endif
