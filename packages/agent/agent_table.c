/*
 * A table update is accepted completely or not at all: base, version, validity
 * of every row and digest of the result must fit.
 */
#include "agent_table.h"

static int apply_delta(const struct table *current,
    const struct wire_table_update *u, struct table **out, struct fault *f);

/*
 * Returns 0 with *out set, or with *out NULL when the update has nothing
 * newer. Returns ERR_STALE for a version that is not above the current one,
 * ERR_CONFLICT for a delta from another base and ERR_MEMORY; other errors,
 * such as ERR_CORRUPT and ERR_INVALID, mean content that must be refused and
 * reported. The caller owns *out.
 */
int
check_table_update(const struct table *current,
    const struct wire_table_update *u, struct table **out, struct fault *f)
{
	uint64_t current_version = current != NULL ? current->version : 0;
	struct str body = make_str_n(u->body.body_val, u->body.body_len);
	struct table *new_table = NULL;
	int rc;

	*out = NULL;
	if (current != NULL && u->table_version == current_version &&
	    u->digest != current->digest && u->digest != 0)
		return set_fault(f, ERR_CORRUPT,
		    "version %llu has another digest at the control process; "
		    "restart the node",
		    (unsigned long long)current_version);
	if (u->form == WIRE_TABLE_NONE)
		return 0;
	if (u->table_version <= current_version)
		return set_fault(f, ERR_STALE,
		    "version %llu is not above version %llu; ignored",
		    (unsigned long long)u->table_version,
		    (unsigned long long)current_version);
	if (u->form == WIRE_TABLE_DELTA)
		rc = apply_delta(current, u, &new_table, f);
	else if (u->form == WIRE_TABLE_WHOLE)
		rc = load_table_csv(body, u->table_version, &new_table, f);
	else
		rc = set_fault(
		    f, ERR_CORRUPT, "unknown form of a table; update the node");
	if (rc != 0 || new_table == NULL)
		return rc;
	if (new_table->digest == u->digest) {
		*out = new_table;
		return 0;
	}
	unload_table(new_table);
	return set_fault(f, ERR_CORRUPT,
	    "version %llu does not have the announced digest; fetching the "
	    "whole table",
	    (unsigned long long)u->table_version);
}

/*
 * Applies a delta to the current table, or to an empty one when there is none.
 */
static int
apply_delta(const struct table *current, const struct wire_table_update *u,
    struct table **out, struct fault *f)
{
	struct str body = make_str_n(u->body.body_val, u->body.body_len);
	struct cell_list cells = {0};
	struct table *empty = NULL;
	int rc;

	if (u->base != (current != NULL ? current->version : 0))
		return set_fault(f, ERR_CONFLICT,
		    "a delta from version %llu does not apply; retrying",
		    (unsigned long long)u->base);
	if (current == NULL) {
		empty = make_empty_table();
		if (empty == NULL)
			return set_fault(
			    f, ERR_MEMORY, "out of memory for a table");
		current = empty;
	}
	rc = decode_cells(body, &cells, f);
	if (rc == 0)
		rc = apply_cells(current, &cells, u->table_version, out, f);
	unload_cells(&cells);
	unload_table(empty);
	return rc;
}
