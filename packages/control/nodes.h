/*
 * The last report of each node attached to this process, for the status
 * output, and its interest list.
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
	uint64_t version; /* table version that the node uses */
	int64_t version_wall_ns; /* time of its first report */
	unsigned int switch_ms; /* from receipt to use of that version */
	uint64_t refused_version; /* 0: none */
	char refused_reason[WIRE_TEXT_MAX + 1];
	int64_t last_contact_ns; /* last report, monotonic */
	int64_t table_sent_ns; /* last table update to it, monotonic; 0: none */
	size_t table_sent_bytes;
	uint64_t conn; /* 0: closed */
	uint64_t interest_conn; /* connection that sent the list below */
	uint64_t interest_digest; /* 0: no list is stored */
	wire_interest *interest; /* as last received in full */
	unsigned int interest_count;
};

struct node_list {
	struct hash_index index;
};

/* Returns true when the table version or the refused version changed. */
bool record_node_report(struct node_list *l, const struct wire_watch_args *a,
    uint64_t conn, int64_t mono_ns, int64_t wall_ns);
struct node_report *find_node_report(struct node_list *l, struct str name);
/*
 * Fills in the stored interest list of a request that is marked as unchanged;
 * otherwise stores a copy of the request's list. Returns ERR_NOT_FOUND when the
 * connection has no stored list with that digest, ERR_MEMORY.
 */
int restore_interest(
    struct node_list *l, struct wire_watch_args *a, uint64_t conn);
/* Detaches a node from a closed connection; NULL: no more nodes. */
struct node_report *pop_closed_node(struct node_list *l, uint64_t conn);
void expire_nodes(struct node_list *l, int64_t mono_ns);
void clear_nodes(struct node_list *l);

#endif
