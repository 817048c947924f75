/*
 * Encoding of the command that replaces the whole table.
 */
#include <string.h>

#include "replacement.h"
#include "replica.h"
#include "source.h"

#define FIELDS_BYTES 1024 /* of a command, without cells and source */

_Static_assert(COMMAND_CSV_MAX >= TABLE_MAX_CSV, "every table fits");
_Static_assert(
    COMMAND_CSV_MAX + COMMAND_DELTA_MAX + FIELDS_BYTES <= REPLICA_COMMAND_MAX,
    "every replacement fits into a log entry");

static int encode_difference(const struct table *from, const struct table *to,
    struct command_replace *r, struct buf *cells);

/*
 * Encodes the command. If base is not the current version no difference is
 * computed: the state machine then refuses the command, or finds that it was
 * accepted before.
 */
int
encode_replacement(const struct state *s, uint64_t base, const struct table *t,
    struct str source, struct buf *out)
{
	char author[] = "operator", key[1] = "";
	struct command m = {.author = author, .key = key, .base = base};
	struct command_replace *r = &m.body.command_body_u.replace;
	struct buf cells = {0}, delta = {0};
	int rc = 0;

	if (source.len > COMMAND_SOURCE_MAX)
		return ERR_LIMIT;
	m.body.type = COMMAND_REPLACE;
	r->number = t->version;
	r->table_digest = t->digest;
	r->source_digest = compute_source_digest(source);
	if (s->table->version == base) {
		rc = encode_difference(s->table, t, r, &cells);
		if (rc == 0)
			rc = make_source_delta(
			    view_buf(&s->source), source, &delta);
	}
	r->cells.cells_val = cells.data;
	r->cells.cells_len = (unsigned int)cells.len;
	r->source.source_val = delta.data;
	r->source.source_len = (unsigned int)delta.len;
	if (rc == 0)
		rc = encode_command(&m, out);
	unload_buf(&cells);
	unload_buf(&delta);
	return rc;
}

/*
 * Encodes the cells that differ, or the full CSV if that is shorter: it never
 * exceeds COMMAND_CSV_MAX, but a list of most cells may.
 */
static int
encode_difference(const struct table *from, const struct table *to,
    struct command_replace *r, struct buf *cells)
{
	struct cell_list l = {0};
	struct buf full = {0};
	int rc = diff_tables(from, to, &l);

	if (rc == 0)
		rc = encode_cells(&l, cells);
	unload_cells(&l);
	if (rc != 0 || cells->len < get_csv_length_min(to))
		return rc;
	rc = render_table_csv(to, &full);
	if (rc == 0 && full.len < cells->len) {
		unload_buf(cells);
		*cells = full;
		r->whole = TRUE;
		return 0;
	}
	unload_buf(&full);
	return rc;
}
