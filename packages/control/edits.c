/*
 * Compare-and-set of cells and full tables, and replacements of the table.
 */
#include <stdio.h>
#include <string.h>

#include "edits.h"
#include "source.h"

static void decide_cells(const struct history *h, const struct table *current,
    const struct command *c, struct edit_outcome *out);
static void decide_replace(const struct history *h, const struct table *current,
    struct str source, const struct command *c, struct edit_outcome *out);
static int build_replacement(const struct table *current,
    const struct command_replace *r, struct table **out, struct fault *f);
static void refuse_stale_base(const struct history *h,
    const struct table *current, struct edit_outcome *out);
static void decide_full_table(const struct history *h,
    const struct table *current, const struct command *c,
    struct edit_outcome *out);
static bool check_cell(const struct history *h, const struct table *current,
    uint64_t base, const struct command_cell *e, struct edit_outcome *out);
static void refuse_edit(struct edit_outcome *out, int status, const char *text);
static void set_winner(const struct table *current, struct str row, int column,
    const struct stored_version *v, struct edit_outcome *out);

/*
 * Dispatches by the type of the command. A change to an equal table is accepted
 * as unchanged, except for a replacement, whose number is new.
 */
void
decide_edit(const struct history *h, const struct table *current,
    struct str source, const struct command *c, struct edit_outcome *out)
{
	*out = (struct edit_outcome){.version = current->version};
	if (c->body.type == COMMAND_REPLACE) {
		decide_replace(h, current, source, c, out);
		return;
	}
	if (c->base > current->version) {
		refuse_edit(out, ERR_INVALID,
		    "the base version is above the version in force; read the "
		    "table again");
		return;
	}
	if (c->body.type == COMMAND_EDIT)
		decide_cells(h, current, c, out);
	else
		decide_full_table(h, current, c, out);
	if (out->new_table != NULL &&
	    out->new_table->digest == current->digest) {
		unload_table(out->new_table);
		out->new_table = NULL;
		out->unchanged = true;
	}
	if (out->new_table != NULL)
		out->version = out->new_table->version;
}

/*
 * An edit conflicts only if one of its own cells changed since the base. A base
 * older than the history cannot be compared and is refused as ERR_STALE.
 */
static void
decide_cells(const struct history *h, const struct table *current,
    const struct command *c, struct edit_outcome *out)
{
	const struct command_edit *e = &c->body.command_body_u.edit;
	struct cell_list l = {0};
	struct fault f = {0};
	int rc = 0;

	if (e->cells.cells_len == 0) {
		refuse_edit(out, ERR_INVALID, "the edit names no cell");
		return;
	}
	if (!covers_version(h, current, c->base)) {
		refuse_edit(out, ERR_STALE,
		    "the base version is older than the history kept; read the "
		    "table again and edit that version");
		return;
	}
	for (unsigned int i = 0; i < e->cells.cells_len && rc == 0; i++) {
		const struct command_cell *cell = &e->cells.cells_val[i];

		if (cell->column < 0 ||
		    (cell->column >= COLUMN_COUNT &&
			!is_account_column((enum column)cell->column)))
			rc = set_fault(&f, ERR_INVALID,
			    "column number %d does not exist; upgrade the "
			    "control processes to one release",
			    cell->column);
		else if (!check_cell(h, current, c->base, cell, out))
			goto out;
		else
			rc = append_cell(&l, make_str(cell->row),
			    (enum column)cell->column, make_str(cell->value));
	}
	if (rc == 0)
		rc = apply_cells(
		    current, &l, current->version + 1, &out->new_table, &f);
	if (rc != 0)
		refuse_edit(out, rc, f.text);
out:
	unload_cells(&l);
}

/*
 * An import or a revert replaces every cell, so its base must be the current
 * version.
 */
static void
decide_full_table(const struct history *h, const struct table *current,
    const struct command *c, struct edit_outcome *out)
{
	const struct command_import *in = &c->body.command_body_u.import;
	struct table *old = NULL;
	struct fault f = {0};
	struct buf csv = {0};
	int rc;

	if (c->base != current->version) {
		refuse_stale_base(h, current, out);
		return;
	}
	if (c->body.type == COMMAND_IMPORT) {
		rc =
		    load_table_csv(make_str_n(in->csv.csv_val, in->csv.csv_len),
			current->version + 1, &out->new_table, &f);
	} else {
		rc = rebuild_table(
		    h, current, c->body.command_body_u.revert.target, &old, &f);
		if (rc == 0)
			rc = render_table_csv(old, &csv);
		if (rc == 0)
			rc = load_table_csv(view_buf(&csv),
			    current->version + 1, &out->new_table, &f);
		unload_table(old);
		unload_buf(&csv);
	}
	if (rc != 0)
		refuse_edit(out, rc, f.text);
}

/*
 * A replacement that was accepted before is accepted again as unchanged, also
 * after later changes.
 */
bool
find_accepted_replacement(
    const struct history *h, const struct command *c, struct edit_outcome *out)
{
	const struct command_replace *r = &c->body.command_body_u.replace;
	const struct stored_version *v = find_version(h, r->number);

	if (v == NULL || v->base != c->base || v->source_digest == 0 ||
	    v->source_digest != r->source_digest)
		return false;
	*out = (struct edit_outcome){.version = r->number, .unchanged = true};
	return true;
}

/*
 * The base of a replacement that was not accepted before must be the current
 * version, and its number higher.
 */
static void
decide_replace(const struct history *h, const struct table *current,
    struct str source, const struct command *c, struct edit_outcome *out)
{
	const struct command_replace *r = &c->body.command_body_u.replace;
	struct fault f = {0};
	int rc;

	if (find_accepted_replacement(h, c, out))
		return;
	if (c->base != current->version) {
		refuse_stale_base(h, current, out);
		return;
	}
	if (r->number <= current->version) {
		refuse_edit(out, ERR_INVALID,
		    "the number of the version is not above the version in "
		    "force; choose a higher one");
		return;
	}
	rc = build_replacement(current, r, &out->new_table, &f);
	if (rc == 0)
		rc = apply_source_delta(source,
		    make_str_n(r->source.source_val, r->source.source_len),
		    &out->source);
	if (rc == 0 && out->source.len > COMMAND_SOURCE_MAX)
		rc = set_fault(&f, ERR_LIMIT,
		    "the text takes %zu bytes; shorten it, at most %d fit",
		    out->source.len, COMMAND_SOURCE_MAX);
	if (rc == 0 &&
	    compute_source_digest(view_buf(&out->source)) != r->source_digest)
		rc = set_fault(&f, ERR_INVALID,
		    "the text does not match its digest; send the change "
		    "again");
	if (rc == 0) {
		out->version = r->number;
		return;
	}
	unload_outcome(out);
	refuse_edit(out, rc, f.text);
}

/*
 * Builds the table of a replacement. The result of a difference is checked
 * against the table's digest, a full table is not; ERR_INVALID: no match.
 */
static int
build_replacement(const struct table *current, const struct command_replace *r,
    struct table **out, struct fault *f)
{
	struct str text = make_str_n(r->cells.cells_val, r->cells.cells_len);
	struct cell_list l = {0};
	int rc = 0;

	if (r->whole)
		return load_table_csv(text, r->number, out, f);
	if (text.len > 0)
		rc = decode_cells(text, &l, f);
	if (rc == 0)
		rc = apply_cells(current, &l, r->number, out, f);
	unload_cells(&l);
	if (rc == 0 && (*out)->digest != r->table_digest)
		rc = set_fault(f, ERR_INVALID,
		    "the table does not match its digest; send the change "
		    "again");
	return rc;
}

/*
 * Refuses a change whose base is not the current version with ERR_CONFLICT; out
 * names the author of that version.
 */
static void
refuse_stale_base(const struct history *h, const struct table *current,
    struct edit_outcome *out)
{
	const struct stored_version *v = find_version(h, current->version);

	refuse_edit(out, ERR_CONFLICT,
	    "the table changed since the base version; read it again and "
	    "repeat the change on the version in force");
	out->winner_version = current->version;
	if (v != NULL)
		snprintf(out->winner_author, sizeof(out->winner_author), "%s",
		    v->author);
}

/*
 * Returns false, with the conflict in out, when the cell changed since base.
 * Adding or removing a row or an account counts as a change of all its cells.
 */
static bool
check_cell(const struct history *h, const struct table *current, uint64_t base,
    const struct command_cell *e, struct edit_outcome *out)
{
	struct str row = make_str(e->row);
	int whole =
	    is_account_column((enum column)e->column) ? ACCOUNT_NAME : COL_KIND;
	int column = e->column != whole ? e->column :
		     whole == COL_KIND	? COLUMN_COUNT :
					  ACCOUNT_COLUMN_END;
	const struct stored_version *v = find_change(h, base, row, column);

	if (v == NULL && e->column != whole)
		v = find_change(h, base, row, whole);
	if (v == NULL)
		return true;
	refuse_edit(out, ERR_CONFLICT,
	    "another change of this cell won; read the table again");
	set_winner(current, row, e->column, v, out);
	return false;
}

void
unload_outcome(struct edit_outcome *o)
{
	unload_table(o->new_table);
	o->new_table = NULL;
	unload_buf(&o->source);
}

static void
refuse_edit(struct edit_outcome *out, int status, const char *text)
{
	out->status = status;
	snprintf(out->text, sizeof(out->text), "%s", text);
}

/*
 * Stores the current cell and the change that made it in out; for a removed row
 * or account the column of its name, empty.
 */
static void
set_winner(const struct table *current, struct str row, int column,
    const struct stored_version *v, struct edit_outcome *out)
{
	bool of_account = is_account_column((enum column)column);
	const struct account *a =
	    of_account ? find_account(current, row) : NULL;
	const struct row *r = of_account ? NULL : find_row(current, row);

	(void)copy_str(out->winner.row, sizeof(out->winner.row), row);
	out->winner.column = r != NULL || a != NULL ? (enum column)column :
			     of_account		    ? ACCOUNT_NAME :
						      COL_KIND;
	if (a != NULL)
		(void)render_account_cell(a, out->winner.column,
		    out->winner.value, sizeof(out->winner.value));
	if (r != NULL)
		(void)render_cell(r, out->winner.column, out->winner.value,
		    sizeof(out->winner.value));
	out->winner_version = v->number;
	snprintf(
	    out->winner_author, sizeof(out->winner_author), "%s", v->author);
}
