/*
 * The index of rows by host and path prefix: a hash table with linear probing.
 */
#include <stdlib.h>
#include <string.h>

#include "schema.h"

#define HASH_SLOTS_PER_ROW 2 /* keeps probe sequences short */

static uint64_t hash_route(struct str host, struct str path);
static bool match_route(const struct row *r, struct str host, struct str path);
static uint32_t find_hash_slot(
    const struct table *t, struct str host, struct str path);

/*
 * Builds the index of a table. Returns ERR_INVALID when two rows have the same
 * host and path, and ERR_MEMORY.
 */
int
index_routes(struct table *t, struct fault *f)
{
	size_t capacity = 16;

	while (capacity < t->row_count * HASH_SLOTS_PER_ROW)
		capacity *= 2;
	t->routes = calloc(capacity, sizeof(*t->routes));
	if (t->routes == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory for a table");
	t->route_capacity = capacity;
	for (size_t i = 0; i < t->row_count; i++) {
		struct str host = make_str(get_row_text(t->rows[i], COL_HOST));
		struct str path = make_str(get_row_text(t->rows[i], COL_PATH));
		uint32_t slot;

		if (host.len == 0)
			continue;
		slot = find_hash_slot(t, host, path);
		if (t->routes[slot] != 0)
			return set_fault(f, ERR_INVALID,
			    "rows '%s' and '%s' have the same host and path; "
			    "change one of them",
			    t->rows[t->routes[slot] - 1]->kind,
			    t->rows[i]->kind);
		t->routes[slot] = (uint32_t)(i + 1);
	}
	return 0;
}

/*
 * Looks up the prefixes of path that end with a slash, the longest first.
 * Returns NULL when no row matches.
 */
const struct row *
find_route(const struct table *t, struct str host, struct str path)
{
	for (size_t len = path.len; len > 0; len--) {
		uint32_t slot;

		if (path.data[len - 1] != '/')
			continue;
		slot = find_hash_slot(t, host, make_str_n(path.data, len));
		if (t->routes[slot] != 0)
			return t->rows[t->routes[slot] - 1];
	}
	return NULL;
}

/*
 * Returns the hash slot of the route, or the free slot where it belongs.
 */
static uint32_t
find_hash_slot(const struct table *t, struct str host, struct str path)
{
	uint32_t mask = (uint32_t)t->route_capacity - 1;
	uint32_t slot = (uint32_t)hash_route(host, path) & mask;

	while (t->routes[slot] != 0 &&
	       !match_route(t->rows[t->routes[slot] - 1], host, path))
		slot = (slot + 1) & mask;
	return slot;
}

static uint64_t
hash_route(struct str host, struct str path)
{
	return hash_str(path, hash_str(host, 0));
}

static bool
match_route(const struct row *r, struct str host, struct str path)
{
	return is_str_equal(make_str(get_row_text(r, COL_PATH)), path) &&
	       is_str_equal(make_str(get_row_text(r, COL_HOST)), host);
}
