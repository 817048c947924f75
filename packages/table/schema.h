/*
 * The table's schema: names, ranges and checks of cells, rows and tables.
 */
#ifndef SCHEMA_H
#define SCHEMA_H

#include "table.h"

/* What a column accepts. */
enum cell_type {
	CELL_NAME, /* [a-z0-9-], 1 to 32 bytes */
	CELL_NUMBER, /* integer between lo and hi */
	CELL_YES_NO, /* yes or no */
};

/* One column. */
struct column_spec {
	const char *name;
	enum cell_type type;
	int32_t lo;
	int32_t hi;
	int32_t initial; /* of a row that is added by an edit */
};

const struct column_spec *get_column_spec(enum column c);
int set_cell(struct row *r, enum column c, struct str value, struct fault *f);
void init_row(struct row *r, struct str kind); /* initial value of each cell */
int check_rows(const struct row *rows, size_t count, struct fault *f);

/* Makes a table of checked, sorted rows; takes a copy of them. */
int make_table(struct row *rows, size_t count, uint64_t version,
    struct table **out, struct fault *f);

#endif
