/*
 * What the nodes attached to this process reported last, for the status.
 */
#ifndef NODES_H
#define NODES_H

#include "hash_index.h"
#include "wire.h"

#define NODES_MAX 16384
#define NODES_KEEP_NS (600 * NSEC_PER_SEC) /* after the last report */

struct node_report {
	struct hash_link link;
	char name[WIRE_NAME_MAX + 1];
	char zone[WIRE_NAME_MAX + 1];
	uint64_t version; /* in force on the node */
	int64_t version_wall_ns; /* first reported at */
	unsigned int switch_ms; /* receipt to in force */
	uint64_t refused_version; /* 0: none */
	char refused_reason[WIRE_TEXT_MAX + 1];
	int64_t heard_ns;
	uint64_t conn; /* 0: closed */
	uint64_t interest_conn; /* that the list below came from */
	uint64_t interest_digest; /* 0: no list is kept */
	wire_interest *interest; /* as last sent whole */
	unsigned int interest_count;
};

struct node_list {
	struct hash_index index;
};

/* Returns whether the node newly reports a refusal or another version. */
bool note_node(struct node_list *l, const struct wire_watch_args *a,
    uint64_t conn, int64_t mono_ns, int64_t wall_ns);
/*
 * Fills in the interest of a request that says it is the same as before, or
 * keeps a copy of it. ERR_NOT_FOUND: none is known for the connection.
 */
int restore_interest(
    struct node_list *l, struct wire_watch_args *a, uint64_t conn);
/* The next node of a closed connection; NULL: none is left. */
struct node_report *take_closed_node(struct node_list *l, uint64_t conn);
void expire_nodes(struct node_list *l, int64_t mono_ns);
void clear_nodes(struct node_list *l);

#endif
