/*
 * The ledger of allotments: what of each account's rate is leased to which
 * node. One process of the control group keeps it in memory. Answers the loads
 * "one account sends many times its usual" and "many small accounts whose calls
 * each arrive at another node", while nodes and leaders are lost.
 *
 * An account has a token bucket of its rate and burst. What is leased and may
 * still be unspent counts as if it were in the bucket, so that in any window no
 * more is spent than rate x window + burst. Pure: the caller passes the
 * monotonic time and does the locking.
 */
#ifndef ALLOTMENT_LEDGER_H
#define ALLOTMENT_LEDGER_H

#include "base.h"

#define LEDGER_NAME_BYTES 65 /* of a node or an account, with NUL */
#define LEDGER_LEASE_NS (1200 * NSEC_PER_MSEC) /* from the node's sending */
#define LEDGER_NODES_MAX 16384
#define LEDGER_ACCOUNTS_MAX 65536

struct ledger;
struct ledger_node;

/* Limits of an account, with what the operator tolerates beyond them. */
struct ledger_limit {
	double rate; /* calls a second; 0: unlimited */
	double burst; /* calls */
};

/* What the operator tolerates beyond rate x window + burst; 0: nothing. */
struct ledger_tolerance {
	int64_t window_ns;
	double overshoot; /* share */
	double slack; /* calls */
};

/* What a node asks for one account. */
struct ledger_ask {
	uint32_t held; /* unspent tokens that the node keeps */
	uint32_t returned; /* unspent tokens that it gives back */
	uint32_t want; /* further tokens */
	double demand; /* calls a second at the node */
};

struct ledger_grant {
	uint32_t tokens; /* further ones */
	int64_t room_ns; /* until there is room for more; 0: all was granted */
};

int open_ledger(int64_t now, struct ledger **out); /* ERR_MEMORY */
void close_ledger(struct ledger *l); /* may be NULL */

/* Commands */

/* Nodes of the fleet, and how many of them are out of contact. */
void set_ledger_fleet(struct ledger *l, size_t nodes, size_t suspects);
/*
 * Begins the handling of an ask. run and seq tell the node's asks apart, seq
 * rises; answered is the last one whose answer the node uses. Returns ERR_STALE
 * for an ask that was overtaken, ERR_LIMIT or ERR_MEMORY.
 */
int begin_ledger_ask(struct ledger *l, const char *node, uint64_t run,
    uint64_t seq, uint64_t answered, bool leaving, int64_t now,
    struct ledger_node **out);
/* Returns ERR_LIMIT or ERR_MEMORY, with nothing granted. */
int lease_tokens(struct ledger *l, struct ledger_node *n, const char *account,
    const struct ledger_limit *limit, const struct ledger_ask *ask, int64_t now,
    struct ledger_grant *out);

/* Queries */

/* The limit that leaves half of the tolerance to losses of leaders and nodes. */
struct ledger_limit widen_limit(
    const struct ledger_limit *limit, const struct ledger_tolerance *t);
size_t get_ledger_nodes(const struct ledger *l); /* of the fleet */
size_t count_silent_nodes(const struct ledger *l); /* as of the last ask */

#endif
