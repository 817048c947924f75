/*
 * Encoding of the command that replaces the whole table.
 */
#include <string.h>

#include "replacement.h"
#include "replica.h"
#include "source.h"

#define FIELDS_BYTES 1024 /* of a command, without cells and source */

_Static_assert(COMMAND_CSV_MAX >= TABLE_MAX_CSV, "every table fits");
_Static_assert(COMMAND_SOURCE_MAX == SOURCE_TEXT_MAX, "every text fits");
_Static_assert(
    COMMAND_CSV_MAX + COMMAND_DELTA_MAX + FIELDS_BYTES <= REPLICA_COMMAND_MAX,
    "every replacement fits into a log entry");

static int encode_difference(const struct table *from, const struct table *to,
    struct command_replace *r, struct buf *cells);

/*
 * If base is not the current version no difference is computed: the state
 * machine then refuses the command, or finds that it was accepted before.
 */
int
make_replacement(const struct state *s, uint64_t base, const struct table *t,
    struct str source, struct replacement *out)
{
	int rc = 0;

	*out = (struct replacement){.base = base};
	if (source.len > COMMAND_SOURCE_MAX)
		return ERR_LIMIT;
	out->command.number = t->version;
	out->command.table_digest = t->digest;
	out->command.source_digest = compute_source_digest(source);
	if (s->table->version != base)
		return 0;
	rc = encode_difference(s->table, t, &out->command, &out->cells);
	if (rc == 0)
		rc = make_source_delta(
		    view_buf(&s->source), source, &out->delta);
	return rc;
}

void
unload_replacement(struct replacement *r)
{
	unload_buf(&r->cells);
	unload_buf(&r->delta);
}

/*
 * A command crosses the leader's links once for every other member. One of some
 * megabytes would hold up heartbeats for longer than an election timeout, so a
 * longer one than COMMAND_DELTA_MAX is deflated, and refused if that is not
 * enough.
 */
int
encode_replacement(struct replacement *r, struct str source, struct buf *out)
{
	char author[] = "operator", key[1] = "";
	struct command m = {.author = author, .key = key, .base = r->base};
	struct command_replace *c = &m.body.command_body_u.replace;
	int rc = 0;

	if (r->delta.len > COMMAND_DELTA_MAX) {
		r->delta.len = 0;
		rc = deflate_source(source, &r->delta);
	}
	if (rc != 0)
		return rc;
	m.body.type = COMMAND_REPLACE;
	*c = r->command;
	c->cells.cells_val = r->cells.data;
	c->cells.cells_len = (unsigned int)r->cells.len;
	c->source.source_val = r->delta.data;
	c->source.source_len = (unsigned int)r->delta.len;
	return encode_command(&m, out);
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
