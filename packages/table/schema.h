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
bool is_table_name(struct str s); /* [a-z0-9-], 1 to 32 bytes */
int set_cell(
    struct row_draft *r, enum column c, struct str value, struct fault *f);
void init_draft(struct row_draft *r); /* default value of each cell */
void copy_row_to_draft(struct row_draft *d, const struct row *r);
int make_row(const struct row_draft *d, struct row **out,
    struct fault *f); /* one reference, the caller's */

/* References; both are safe from any thread */
const struct row *ref_row(const struct row *r); /* returns r */
void unref_row(const struct row *r); /* the last one frees it; NULL: no-op */

/* The accounts of a table being made or edited, sorted by name. */
struct account_sheet {
	const struct account **accounts;
	size_t count;
	size_t cap;
	bool listed; /* the sheet exists even if it has no account */
};

/*
 * Checks rows that are sorted by kind and makes a table of them. Takes over the
 * references to the rows and the accounts, also on error; the sheet is then
 * empty. Returns ERR_INVALID, ERR_LIMIT or ERR_MEMORY.
 */
int make_table(const struct row **rows, size_t count,
    struct account_sheet *accounts, uint64_t version, struct table **out,
    struct fault *f);

/* CSV: a field, quoted if necessary, and the line of a row */
int append_csv_field(struct buf *out, const char *value);
int render_row_csv(const struct row *r, int column_end, struct buf *out);
/* Columns behind COL_IDLE_MS are rendered up to the last one in use. */
int get_row_column_end(const struct row *r);
int get_table_column_end(const struct table *t);

/* account.c: the sheet of accounts */
int copy_accounts(
    const struct table *t, struct account_sheet *out, struct fault *f);
void unload_accounts(struct account_sheet *s);
void list_accounts(struct account_sheet *s); /* the sheet exists */
int add_account(struct account_sheet *s, struct str name, struct fault *f);
int set_cell_of_account(struct account_sheet *s, struct str name, enum column c,
    struct str value, struct fault *f);
int add_key_to_account(
    struct account_sheet *s, struct str name, struct str key, struct fault *f);
int apply_account_cell(
    struct account_sheet *s, const struct cell_edit *e, struct fault *f);
int set_table_accounts(
    struct table *t, struct account_sheet *s, struct fault *f);
void unset_table_accounts(struct table *t);
int diff_accounts(
    const struct table *from, const struct table *to, struct cell_list *out);
int render_accounts_csv(const struct table *t, struct buf *out);
size_t get_accounts_csv_max(const struct table *t); /* bytes, upper bound */
const char *get_account_column_name(enum column c);
int find_account_column(struct str name); /* ERR_NOT_FOUND */

/* route.c: index by host and path */
int index_routes(struct table *t, struct fault *f);

#endif
