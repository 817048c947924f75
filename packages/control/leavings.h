/*
 * The leavings of backend servers in the replicated state: what nodes have
 * acknowledged, for their next start.
 */
#ifndef LEAVINGS_H
#define LEAVINGS_H

#include "command.h"

#define LEAVINGS_MAX 16384 /* of all nodes; above, the oldest goes */
/*
 * In log time. A server has exited by then, and a node that was down for longer
 * finds another one.
 */
#define LEAVINGS_KEPT_NS (600 * NSEC_PER_SEC)

struct kept_leaving {
	struct kept_leaving *newer;
	struct stored_leaving stored;
};

struct leaving_list {
	struct kept_leaving *oldest;
	struct kept_leaving **tail; /* newer of the last one */
	size_t count;
};

/* Adds the leavings of a command and drops old ones; ERR_MEMORY. */
int apply_leavings(
    struct leaving_list *l, int64_t log_ns, const struct command_leavings *c);

/*
 * Lists the newest leavings of a node in items, COMMAND_LEAVINGS_MAX at most,
 * and returns their count. The strings belong to the list.
 */
unsigned int list_leavings(const struct leaving_list *l, const char *node,
    struct command_leaving *items);

int save_leavings(const struct leaving_list *l, struct buf *out);
int load_leaving(struct leaving_list *l, struct str body); /* ERR_CORRUPT */
void clear_leavings(struct leaving_list *l);

#endif
