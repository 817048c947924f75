/*
 * A table update is accepted only whole: base, version, validity of every row
 * and digest of the result.
 */
#include "agent_table.h"

static int load_delta(const struct table *held,
    const struct wire_table_update *u, struct table **out, struct fault *f);

/*
 * Returns 0 with *out set, or NULL when the update holds nothing newer;
 * ERR_STALE for a version not above the one held, ERR_CONFLICT for a delta
 * from another base, and ERR_CORRUPT or ERR_INVALID for content that must be
 * refused and reported.
 */
int
check_table_update(const struct table *held, const struct wire_table_update *u,
    struct table **out, struct fault *f)
{
	uint64_t version = held != NULL ? held->version : 0;
	struct str body = make_str_n(u->body.body_val, u->body.body_len);
	struct table *made = NULL;
	int rc;

	*out = NULL;
	if (held != NULL && u->table_version == version &&
	    u->digest != held->digest && u->digest != 0)
		return set_fault(f, ERR_CORRUPT,
		    "version %llu has another digest at the control process; "
		    "restart the node",
		    (unsigned long long)version);
	if (u->form == WIRE_TABLE_NONE)
		return 0;
	if (u->table_version <= version)
		return set_fault(f, ERR_STALE,
		    "version %llu is not above version %llu; ignored",
		    (unsigned long long)u->table_version,
		    (unsigned long long)version);
	if (u->form == WIRE_TABLE_DELTA)
		rc = load_delta(held, u, &made, f);
	else if (u->form == WIRE_TABLE_WHOLE)
		rc = load_table_csv(body, u->table_version, &made, f);
	else
		rc = set_fault(
		    f, ERR_CORRUPT, "unknown form of a table; update the node");
	if (rc != 0 || made == NULL)
		return rc;
	if (made->digest == u->digest) {
		*out = made;
		return 0;
	}
	unload_table(made);
	return set_fault(f, ERR_CORRUPT,
	    "version %llu does not have the announced digest; fetching the "
	    "whole table",
	    (unsigned long long)u->table_version);
}

static int
load_delta(const struct table *held, const struct wire_table_update *u,
    struct table **out, struct fault *f)
{
	struct str body = make_str_n(u->body.body_val, u->body.body_len);
	struct cell_list cells = {0};
	struct table *empty = NULL;
	int rc;

	if (u->base != (held != NULL ? held->version : 0))
		return set_fault(f, ERR_CONFLICT,
		    "a delta from version %llu does not fit; asking again",
		    (unsigned long long)u->base);
	if (held == NULL) {
		empty = make_empty_table();
		if (empty == NULL)
			return set_fault(
			    f, ERR_MEMORY, "out of memory for a table");
		held = empty;
	}
	rc = decode_cells(body, &cells, f);
	if (rc == 0)
		rc = apply_cells(held, &cells, u->table_version, out, f);
	unload_cells(&cells);
	unload_table(empty);
	return rc;
}
