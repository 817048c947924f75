/*
 * Reports and interest lists of the attached nodes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "nodes.h"

static bool match_node(const struct hash_link *l, const void *key);
static struct node_report *add_node(struct node_list *l, struct str name);
static int copy_interest(
    const wire_interest *from, unsigned int count, wire_interest **out);
static void free_interest(wire_interest *list, unsigned int count);
static void free_node(struct node_report *n);

/*
 * Stores the report of a node. At NODES_MAX nodes, or out of memory, a new node
 * is ignored.
 */
bool
record_node_report(struct node_list *l, const struct wire_watch_args *a,
    uint64_t conn, int64_t mono_ns, int64_t wall_ns)
{
	struct str name = make_str(a->node);
	struct node_report *n = find_node_report(l, name);
	bool changed;

	if (n == NULL)
		n = add_node(l, name);
	if (n == NULL)
		return false;
	changed = n->version != a->held_version || n->version_wall_ns == 0 ||
		  n->refused_version != a->refused_version;
	if (n->version != a->held_version || n->version_wall_ns == 0) {
		n->version = a->held_version;
		n->version_wall_ns = wall_ns;
	}
	snprintf(n->zone, sizeof(n->zone), "%s", a->zone);
	snprintf(n->refused_reason, sizeof(n->refused_reason), "%s",
	    a->refused_reason);
	for (char *p = n->refused_reason; *p != '\0'; p++) {
		if (*p < ' ' || *p > '~')
			*p = '?'; /* printed in JSON and logs */
	}
	n->refused_version = a->refused_version;
	n->switch_ms = a->switch_ms;
	n->last_contact_ns = mono_ns;
	n->conn = conn;
	return changed;
}

/* Returns NULL for a node that has not reported. */
struct node_report *
find_node_report(struct node_list *l, struct str name)
{
	return (struct node_report *)find_link(
	    &l->index, hash_str(name, 0), match_node, &name);
}

int
restore_interest(struct node_list *l, struct wire_watch_args *a, uint64_t conn)
{
	struct node_report *n = find_node_report(l, make_str(a->node));
	wire_interest *copy = NULL;
	int rc;

	if (a->interest_same) {
		if (n == NULL || n->interest_conn != conn ||
		    n->interest_digest != a->interest_digest ||
		    n->interest_digest == 0 || a->interest.interest_len != 0)
			return ERR_NOT_FOUND;
		rc = copy_interest(n->interest, n->interest_count, &copy);
		if (rc != 0)
			return rc;
		free(a->interest.interest_val);
		a->interest.interest_val = copy;
		a->interest.interest_len = n->interest_count;
		return 0;
	}
	if (n == NULL || a->interest_digest == 0)
		return 0;
	free_interest(n->interest, n->interest_count);
	n->interest = NULL;
	n->interest_count = 0;
	n->interest_digest = 0;
	/* Out of memory, the node must send the full list next time. */
	if (copy_interest(a->interest.interest_val, a->interest.interest_len,
		&n->interest) == 0) {
		n->interest_count = a->interest.interest_len;
		n->interest_conn = conn;
		n->interest_digest = a->interest_digest;
	}
	return 0;
}

struct node_report *
pop_closed_node(struct node_list *l, uint64_t conn)
{
	struct hash_link *k = get_first_link(&l->index);

	for (; k != NULL; k = get_next_link(&l->index, k)) {
		struct node_report *n = (struct node_report *)k;

		if (n->conn == conn) {
			n->conn = 0;
			return n;
		}
	}
	return NULL;
}

/*
 * Removes the nodes whose last report is older than NODES_KEEP_NS.
 */
void
expire_nodes(struct node_list *l, int64_t mono_ns)
{
	struct hash_link *k = get_first_link(&l->index), *next;

	for (; k != NULL; k = next) {
		struct node_report *n = (struct node_report *)k;

		next = get_next_link(&l->index, k);
		if (mono_ns - n->last_contact_ns < NODES_KEEP_NS)
			continue;
		remove_link(&l->index, k);
		free_node(n);
	}
}

void
clear_nodes(struct node_list *l)
{
	struct hash_link *k = get_first_link(&l->index), *next;

	for (; k != NULL; k = next) {
		next = get_next_link(&l->index, k);
		remove_link(&l->index, k);
		free_node((struct node_report *)k);
	}
	unload_index(&l->index);
}

static bool
match_node(const struct hash_link *l, const void *key)
{
	return is_str_equal(make_str(((const struct node_report *)l)->name),
	    *(const struct str *)key);
}

/*
 * Adds a node; NULL: the list is full, the name too long or out of memory.
 */
static struct node_report *
add_node(struct node_list *l, struct str name)
{
	struct node_report *n;

	if (l->index.count >= NODES_MAX)
		return NULL;
	n = calloc(1, sizeof(*n));
	if (n == NULL)
		return NULL;
	if (copy_str(n->name, sizeof(n->name), name) != 0 ||
	    insert_link(&l->index, &n->link, hash_str(name, 0)) != 0) {
		free(n);
		return NULL;
	}
	return n;
}

/*
 * Copies a list and its strings, allocated so that xdr_free() can free them.
 * Returns ERR_MEMORY.
 */
static int
copy_interest(
    const wire_interest *from, unsigned int count, wire_interest **out)
{
	wire_interest *list = calloc(count + 1, sizeof(*list));

	if (list == NULL)
		return ERR_MEMORY;
	for (unsigned int i = 0; i < count; i++) {
		list[i].service = strdup(from[i].service);
		list[i].set_version = from[i].set_version;
		if (list[i].service == NULL) {
			free_interest(list, i);
			return ERR_MEMORY;
		}
	}
	*out = list;
	return 0;
}

static void
free_interest(wire_interest *list, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++)
		free(list[i].service);
	free(list);
}

static void
free_node(struct node_report *n)
{
	free_interest(n->interest, n->interest_count);
	free(n);
}
