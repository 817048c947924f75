/*
 * Builds a table row by row, for other formats than CSV.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "schema.h"

struct table_builder {
	struct row_draft draft; /* row started last */
	bool started;
	const struct row **rows;
	size_t count;
	size_t cap;
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
		drop_row(b->rows[i]);
	free(b->rows);
	free(b);
}

/*
 * Finishes the row before and starts one. Returns ERR_INVALID when a rule
 * between cells of the row before is broken.
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

int
build_table(struct table_builder *b, uint64_t version, struct table **out,
    struct fault *f)
{
	int rc = finish_row(b, f);

	if (rc != 0)
		return rc;
	if (b->count > 0)
		qsort(b->rows, b->count, sizeof(b->rows[0]), compare_rows);
	rc = make_table(b->rows, b->count, version, out, f);
	b->count = 0;
	return rc;
}

/*
 * Seals the row started last. The list grows by doubling.
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
		const struct row **p =
		    realloc(b->rows, cap * sizeof(struct row *));

		if (p == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
		b->rows = p;
		b->cap = cap;
	}
	rc = seal_row(&b->draft, &r, f);
	if (rc == 0)
		b->rows[b->count++] = r;
	return rc;
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->kind,
	    (*(const struct row *const *)b)->kind);
}
