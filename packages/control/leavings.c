/*
 * The replicated list of leavings, oldest first.
 */
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "leavings.h"
#include "wire.h"

static int add_leaving(struct leaving_list *l, int64_t log_ns, const char *node,
    const struct command_leaving *c);
static void append_leaving(struct leaving_list *l, struct kept_leaving *k);
static struct kept_leaving *take_leaving(
    struct leaving_list *l, struct kept_leaving **at);
static void drop_leaving(struct leaving_list *l, struct kept_leaving **at);
static void limit_node(struct leaving_list *l, const char *node);

int
apply_leavings(
    struct leaving_list *l, int64_t log_ns, const struct command_leavings *c)
{
	int rc = 0;

	while (l->oldest != NULL &&
	       log_ns - l->oldest->stored.recorded_ns >= LEAVINGS_KEPT_NS)
		drop_leaving(l, &l->oldest);
	for (unsigned int i = 0; i < c->items.items_len && rc == 0; i++)
		rc = add_leaving(l, log_ns, c->node, &c->items.items_val[i]);
	if (c->items.items_len > 0)
		limit_node(l, c->node);
	return rc;
}

unsigned int
list_leavings(const struct leaving_list *l, const char *node,
    struct command_leaving *items)
{
	unsigned int n = 0;

	for (const struct kept_leaving *k = l->oldest;
	     k != NULL && n < COMMAND_LEAVINGS_MAX; k = k->newer) {
		if (strcmp(k->stored.node, node) == 0)
			items[n++] = (struct command_leaving){
			    k->stored.instance, k->stored.born_until_ms};
	}
	return n;
}

int
save_leavings(const struct leaving_list *l, struct buf *out)
{
	int rc = 0;

	for (const struct kept_leaving *k = l->oldest; k != NULL && rc == 0;
	     k = k->newer)
		rc = append_stored(out, STORED_LEAVING,
		    (xdrproc_t)xdr_stored_leaving, &k->stored);
	return rc;
}

/*
 * Appends a saved leaving. Returns ERR_CORRUPT if it is older than the last one
 * or above the limit, or ERR_MEMORY.
 */
int
load_leaving(struct leaving_list *l, struct str body)
{
	struct kept_leaving *k = calloc(1, sizeof(*k));
	const struct kept_leaving *last = NULL;
	int rc = k != NULL ? 0 : ERR_MEMORY;

	if (rc == 0)
		rc = decode_wire(
		    (xdrproc_t)xdr_stored_leaving, body, &k->stored);
	if (rc != 0) {
		free(k);
		return rc;
	}
	if (l->oldest != NULL)
		last = (struct kept_leaving *)((char *)l->tail -
					       offsetof(
						   struct kept_leaving, newer));
	append_leaving(l, k);
	if (l->count > LEAVINGS_MAX ||
	    (last != NULL && last->stored.recorded_ns > k->stored.recorded_ns))
		return ERR_CORRUPT;
	return 0;
}

void
clear_leavings(struct leaving_list *l)
{
	while (l->oldest != NULL)
		drop_leaving(l, &l->oldest);
}

/*
 * Adds a leaving as the newest one, in place of an earlier one of the same
 * instance.
 */
static int
add_leaving(struct leaving_list *l, int64_t log_ns, const char *node,
    const struct command_leaving *c)
{
	struct kept_leaving **at = &l->oldest, *k;

	while (*at != NULL &&
	       (strcmp((*at)->stored.node, node) != 0 ||
		   strcmp((*at)->stored.instance, c->instance) != 0))
		at = &(*at)->newer;
	if (*at != NULL) {
		k = take_leaving(l, at);
	} else {
		k = calloc(1, sizeof(*k));
		if (k == NULL)
			return ERR_MEMORY;
		k->stored.node = strdup(node);
		k->stored.instance = strdup(c->instance);
		k->stored.born_until_ms = c->born_until_ms;
		if (k->stored.node == NULL || k->stored.instance == NULL) {
			append_leaving(l, k);
			return ERR_MEMORY;
		}
	}
	if (c->born_until_ms > k->stored.born_until_ms)
		k->stored.born_until_ms = c->born_until_ms;
	k->stored.recorded_ns = log_ns;
	append_leaving(l, k);
	if (l->count > LEAVINGS_MAX)
		drop_leaving(l, &l->oldest);
	return 0;
}

static void
append_leaving(struct leaving_list *l, struct kept_leaving *k)
{
	if (l->oldest == NULL)
		l->tail = &l->oldest;
	k->newer = NULL;
	*l->tail = k;
	l->tail = &k->newer;
	l->count++;
}

static struct kept_leaving *
take_leaving(struct leaving_list *l, struct kept_leaving **at)
{
	struct kept_leaving *k = *at;

	*at = k->newer;
	if (k->newer == NULL)
		l->tail = at;
	l->count--;
	return k;
}

static void
drop_leaving(struct leaving_list *l, struct kept_leaving **at)
{
	struct kept_leaving *k = take_leaving(l, at);

	unload_wire((xdrproc_t)xdr_stored_leaving, &k->stored);
	free(k);
}

/*
 * Drops the oldest leavings of a node above COMMAND_LEAVINGS_MAX.
 */
static void
limit_node(struct leaving_list *l, const char *node)
{
	struct kept_leaving **at = &l->oldest;
	int count = 0;

	for (const struct kept_leaving *k = l->oldest; k != NULL; k = k->newer)
		count += strcmp(k->stored.node, node) == 0;
	while (count > COMMAND_LEAVINGS_MAX) {
		if (strcmp((*at)->stored.node, node) != 0) {
			at = &(*at)->newer;
			continue;
		}
		drop_leaving(l, at);
		count--;
	}
}
