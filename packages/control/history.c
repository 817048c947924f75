/*
 * Ring buffer of the accepted versions.
 */
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "wire.h"

#define CELLS_BYTES_MAX (256 * 1024) /* of stored_version.cells in command.x */

static int render_undo(
    const struct table *from, const struct table *to, struct stored_version *v);
static int render_cells(
    const struct table *from, const struct table *to, struct stored_version *v);
static void evict_oldest(struct history *h);
static size_t measure_version(const struct stored_version *v);
static bool has_cell(struct str cells, struct str row, int column);
static int collect_undo(const struct history *h, size_t first, size_t end,
    struct cell_list *out, struct fault *f);
static size_t find_first_above(const struct history *h, uint64_t number);

/*
 * Makes the record of the change between two tables, with an empty author. Free
 * it with unload_version(). Returns ERR_MEMORY.
 */
int
make_version(const struct table *from, const struct table *to,
    struct stored_version **out)
{
	struct stored_version *v = calloc(1, sizeof(*v));
	int rc;

	if (v == NULL)
		return ERR_MEMORY;
	v->number = to->version;
	v->after = from->version;
	v->author = strdup("");
	rc = v->author != NULL ? render_cells(from, to, v) : ERR_MEMORY;
	if (rc == 0)
		rc = render_undo(from, to, v);
	if (rc != 0) {
		unload_version(v);
		return rc;
	}
	*out = v;
	return 0;
}

void
unload_version(struct stored_version *v)
{
	if (v == NULL)
		return;
	unload_wire((xdrproc_t)xdr_stored_version, v);
	free(v);
}

/*
 * Appends the next version and evicts the oldest ones while a limit is
 * exceeded; the newest is always kept.
 */
void
append_version(struct history *h, struct stored_version *v)
{
	if (h->count == HISTORY_MAX)
		evict_oldest(h);
	h->ring[(h->first + h->count) % HISTORY_MAX] = v;
	h->count++;
	h->bytes += measure_version(v);
	while (h->count > 1 && h->bytes > HISTORY_BYTES_MAX)
		evict_oldest(h);
}

void
clear_history(struct history *h)
{
	while (h->count > 0)
		evict_oldest(h);
	h->first = 0;
}

const struct stored_version *
get_version(const struct history *h, size_t i)
{
	return i < h->count ? h->ring[(h->first + i) % HISTORY_MAX] : NULL;
}

const struct stored_version *
find_version(const struct history *h, uint64_t number)
{
	size_t i = find_first_above(h, number);

	return i > 0 && get_version(h, i - 1)->number == number ?
		   get_version(h, i - 1) :
		   NULL;
}

/*
 * Returns true if the table of the version can be rebuilt: it is the current
 * one or directly precedes a kept version.
 */
bool
covers_version(
    const struct history *h, const struct table *current, uint64_t number)
{
	const struct stored_version *v;

	if (number >= current->version)
		return number == current->version;
	v = get_version(h, find_first_above(h, number));
	return v != NULL && v->after == number;
}

/*
 * Rebuilds the table of an older version by undoing the changes since. Starts
 * from the nearest newer table that is stored in full, else from the current
 * one. Returns ERR_NOT_FOUND when the history no longer covers it.
 */
int
rebuild_table(const struct history *h, const struct table *current,
    uint64_t number, struct table **out, struct fault *f)
{
	struct cell_list undo = {0};
	struct table *full = NULL;
	size_t first = find_first_above(h, number), end = h->count;
	int rc = 0;

	if (!covers_version(h, current, number))
		return set_fault(f, ERR_NOT_FOUND,
		    "version %llu is not kept; read the current table instead",
		    (unsigned long long)number);
	for (size_t i = first; i < end; i++) {
		const struct stored_version *v = get_version(h, i);

		if (!v->undo_whole)
			continue;
		end = i;
		rc = load_table_csv(
		    make_str_n(v->undo.undo_val, v->undo.undo_len), v->after,
		    &full, f);
	}
	if (rc == 0)
		rc = collect_undo(h, first, end, &undo, f);
	if (rc == 0)
		rc = apply_cells(
		    full != NULL ? full : current, &undo, number, out, f);
	unload_table(full);
	unload_cells(&undo);
	return rc;
}

const struct stored_version *
find_change(const struct history *h, uint64_t base, struct str row, int column)
{
	for (size_t i = h->count; i > 0; i--) {
		const struct stored_version *v = get_version(h, i - 1);

		if (v->number <= base)
			break;
		if (v->cells_cut ||
		    has_cell(make_str_n(v->cells.cells_val, v->cells.cells_len),
			row, column))
			return v;
	}
	return NULL;
}

/*
 * Stores the changed cells with their new values. A list above CELLS_BYTES_MAX
 * is not stored, and the version then counts as a change of every cell.
 */
static int
render_cells(
    const struct table *from, const struct table *to, struct stored_version *v)
{
	struct cell_list l = {0};
	struct buf b = {0};
	int rc = diff_tables(from, to, &l);

	v->cell_count = (unsigned int)l.count;
	if (rc == 0)
		rc = encode_cells(&l, &b);
	unload_cells(&l);
	if (rc == 0 && b.len > CELLS_BYTES_MAX) {
		v->cells_cut = TRUE;
		b.len = 0;
	}
	if (rc != 0 || b.len == 0) {
		unload_buf(&b);
		return rc;
	}
	v->cells.cells_val = b.data;
	v->cells.cells_len = (unsigned int)b.len;
	return 0;
}

/*
 * Stores what undoes the change: the cells with their old values, or the full
 * old table if that is shorter.
 */
static int
render_undo(
    const struct table *from, const struct table *to, struct stored_version *v)
{
	struct cell_list l = {0};
	struct buf cells = {0}, full = {0};
	int rc = diff_tables(to, from, &l);

	if (rc == 0)
		rc = encode_cells(&l, &cells);
	if (rc == 0 && from->row_count > 0 &&
	    cells.len >= get_csv_length_min(from))
		rc = render_table_csv(from, &full);
	unload_cells(&l);
	if (rc != 0) {
		unload_buf(&cells);
		unload_buf(&full);
		return rc;
	}
	v->undo_whole = full.len > 0 && full.len < cells.len;
	if (v->undo_whole) {
		unload_buf(&cells);
		cells = full;
	} else {
		unload_buf(&full);
	}
	v->undo.undo_val = cells.data;
	v->undo.undo_len = (unsigned int)cells.len;
	return 0;
}

static void
evict_oldest(struct history *h)
{
	struct stored_version *v = h->ring[h->first];

	h->bytes -= measure_version(v);
	h->ring[h->first] = NULL;
	h->first = (h->first + 1) % HISTORY_MAX;
	h->count--;
	unload_version(v);
}

/*
 * Returns the bytes that count towards HISTORY_BYTES_MAX.
 */
static size_t
measure_version(const struct stored_version *v)
{
	return sizeof(*v) + v->cells.cells_len + v->undo.undo_len;
}

/*
 * Searches encoded cells for a "row,column,value" line. COLUMN_COUNT matches any
 * column of a row, ACCOUNT_COLUMN_END any column of an account.
 */
static bool
has_cell(struct str cells, struct str row, int column)
{
	bool any = column == COLUMN_COUNT || column == ACCOUNT_COLUMN_END;
	struct str prefix = make_str(ACCOUNT_COLUMN_PREFIX);
	struct str name =
	    make_str(any ? "" : get_column_name((enum column)column));
	size_t need = row.len + 1 + (name.len > 0 ? name.len + 1 : 0);

	for (size_t at = 0; at < cells.len;) {
		const char *line = cells.data + at;
		const char *end = memchr(line, '\n', cells.len - at);
		size_t len =
		    end != NULL ? (size_t)(end - line) : cells.len - at;

		at += len + 1;
		if (len < need || memcmp(line, row.data, row.len) != 0 ||
		    line[row.len] != ',')
			continue;
		if (any) {
			bool of_account =
			    len >= need + prefix.len &&
			    memcmp(line + need, prefix.data, prefix.len) == 0;

			if (of_account == (column == ACCOUNT_COLUMN_END))
				return true;
			continue;
		}
		if (memcmp(line + row.len + 1, name.data, name.len) == 0 &&
		    line[need - 1] == ',')
			return true;
	}
	return false;
}

/*
 * Appends the undo cells of the versions at positions end - 1 down to first,
 * the order in which they must be applied.
 */
static int
collect_undo(const struct history *h, size_t first, size_t end,
    struct cell_list *out, struct fault *f)
{
	int rc = 0;

	for (size_t i = end; i > first && rc == 0; i--) {
		const struct stored_version *v = get_version(h, i - 1);
		struct cell_list l = {0};

		rc = decode_cells(
		    make_str_n(v->undo.undo_val, v->undo.undo_len), &l, f);
		for (size_t k = 0; k < l.count && rc == 0; k++)
			rc = append_cell(out, make_str(l.cells[k].row),
			    l.cells[k].column, make_str(l.cells[k].value));
		unload_cells(&l);
	}
	return rc;
}

/*
 * Returns the position of the oldest version above number; h->count: none.
 */
static size_t
find_first_above(const struct history *h, uint64_t number)
{
	size_t lo = 0, hi = h->count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (get_version(h, mid)->number > number)
			hi = mid;
		else
			lo = mid + 1;
	}
	return lo;
}
