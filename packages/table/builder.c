/*
 * Builds a table row by row, for the CSV reader and for other formats.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "schema.h"

struct table_builder {
	struct row_draft draft; /* row started last */
	bool started; /* draft is in use */
	const struct row **rows; /* finished rows */
	size_t count;
	size_t cap;
	struct account_sheet accounts;
	char account[TABLE_NAME_BYTES]; /* started last */
};

static int finish_row(struct table_builder *b, struct fault *f);
static int compare_rows(const void *a, const void *b);

int
open_table_builder(struct table_builder **out)
{
	*out = calloc(1, sizeof(**out));
	return *out != NULL ? 0 : ERR_MEMORY;
}

void
close_table_builder(struct table_builder *b)
{
	if (b == NULL)
		return;
	for (size_t i = 0; i < b->count; i++)
		unref_row(b->rows[i]);
	free(b->rows);
	unload_accounts(&b->accounts);
	free(b);
}

/*
 * Finishes the previous row and starts a new one. Returns ERR_INVALID when the
 * previous row breaks a rule or kind is not a valid name, and ERR_MEMORY.
 */
int
start_table_row(struct table_builder *b, struct str kind, struct fault *f)
{
	int rc = finish_row(b, f);

	if (rc != 0)
		return rc;
	init_draft(&b->draft);
	b->started = true;
	return set_cell(&b->draft, COL_KIND, kind, f);
}

/*
 * Sets a cell of the row started last. Returns ERR_INVALID when the column does
 * not accept the value.
 */
int
set_row_cell(
    struct table_builder *b, enum column c, struct str value, struct fault *f)
{
	return set_cell(&b->draft, c, value, f);
}

int
set_row_number(
    struct table_builder *b, enum column c, int64_t value, struct fault *f)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	return set_cell(&b->draft, c, make_str(text), f);
}

void
list_table_accounts(struct table_builder *b)
{
	list_accounts(&b->accounts);
}

/*
 * Starts a new account. Returns ERR_INVALID when the name is no name or another
 * account has it, and ERR_MEMORY.
 */
int
start_table_account(struct table_builder *b, struct str name, struct fault *f)
{
	int rc = add_account(&b->accounts, name, f);

	return rc == 0 ? copy_str(b->account, sizeof(b->account), name) : rc;
}

/*
 * Sets a cell of the account started last. Returns ERR_INVALID when the column
 * does not accept the value.
 */
int
set_account_cell(
    struct table_builder *b, enum column c, struct str value, struct fault *f)
{
	return set_cell_of_account(
	    &b->accounts, make_str(b->account), c, value, f);
}

/*
 * Adds the fingerprint of a key to the account started last. Returns
 * ERR_INVALID with a fault that does not show the key.
 */
int
add_account_key(struct table_builder *b, struct str key, struct fault *f)
{
	return add_key_to_account(&b->accounts, make_str(b->account), key, f);
}

/*
 * Finishes the last row, sorts the rows and makes the table. Afterwards the
 * builder is empty, unless the last row was invalid. Returns ERR_INVALID,
 * ERR_LIMIT or ERR_MEMORY.
 */
int
build_table(struct table_builder *b, uint64_t version, struct table **out,
    struct fault *f)
{
	int rc = finish_row(b, f);

	if (rc != 0)
		return rc;
	if (b->count > 0)
		qsort(b->rows, b->count, sizeof(b->rows[0]), compare_rows);
	rc = make_table(b->rows, b->count, &b->accounts, version, out, f);
	b->count = 0;
	return rc;
}

/*
 * Makes an immutable row of the one started last and adds it to the list.
 */
static int
finish_row(struct table_builder *b, struct fault *f)
{
	struct row *r = NULL;
	int rc;

	if (!b->started)
		return 0;
	b->started = false;
	if (b->count == b->cap) {
		size_t cap = b->cap != 0 ? 2 * b->cap : 64;
		const struct row **rows =
		    realloc(b->rows, cap * sizeof(struct row *));

		if (rows == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
		b->rows = rows;
		b->cap = cap;
	}
	rc = make_row(&b->draft, &r, f);
	if (rc == 0)
		b->rows[b->count++] = r;
	return rc;
}

/*
 * Orders pointers to rows by kind, for qsort().
 */
static int
compare_rows(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->kind,
	    (*(const struct row *const *)b)->kind);
}
