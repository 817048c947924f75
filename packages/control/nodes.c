/*
 * Reports of attached nodes.
 */
#include <stdio.h>
#include <stdlib.h>

#include "nodes.h"

static bool match_node(const struct hash_link *l, const void *key);
static struct node_report *add_node(struct node_list *l, struct str name);

bool
note_node(struct node_list *l, const struct wire_watch_args *a, uint64_t conn,
    int64_t mono_ns, int64_t wall_ns)
{
	struct str name = make_str(a->node);
	struct node_report *n = (struct node_report *)find_link(
	    &l->index, hash_str(name, 0), match_node, &name);
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
			*p = '?'; /* it is printed in JSON and logs */
	}
	n->refused_version = a->refused_version;
	n->switch_ms = a->switch_ms;
	n->heard_ns = mono_ns;
	n->conn = conn;
	return changed;
}

struct node_report *
take_closed_node(struct node_list *l, uint64_t conn)
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

void
expire_nodes(struct node_list *l, int64_t mono_ns)
{
	struct hash_link *k = get_first_link(&l->index), *next;

	for (; k != NULL; k = next) {
		struct node_report *n = (struct node_report *)k;

		next = get_next_link(&l->index, k);
		if (mono_ns - n->heard_ns < NODES_KEEP_NS)
			continue;
		remove_link(&l->index, k);
		free(n);
	}
}

void
clear_nodes(struct node_list *l)
{
	struct hash_link *k = get_first_link(&l->index), *next;

	for (; k != NULL; k = next) {
		next = get_next_link(&l->index, k);
		remove_link(&l->index, k);
		free(k);
	}
	unload_index(&l->index);
}

static bool
match_node(const struct hash_link *l, const void *key)
{
	return is_str_equal(make_str(((const struct node_report *)l)->name),
	    *(const struct str *)key);
}

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
