/*
 * Allotments: the leader leases tokens of the accounts' rates to nodes. The
 * ledger is in the leader's memory only. A new leader begins with empty buckets,
 * so that what an earlier one leased is not granted twice.
 */
#include <stdlib.h>

#include "log.h"
#include "service.h"

/*
 * A leader without contact to a quorum for longer grants nothing: another one
 * may have been elected, at the earliest REPLICA_ELECTION_MS after the contact.
 */
#define CONTACT_MAX_NS (400 * NSEC_PER_MSEC)
#define COUNT_INTERVAL_NS (500 * NSEC_PER_MSEC) /* of the fleet's nodes */
#define ROOM_UNKNOWN_MS 200 /* of an account that this table does not have */

static bool is_leader_current(struct control *c, struct replica_status *st);
static bool has_rates(const struct table *t);
static void count_fleet(struct control *c, int64_t now);
static int answer_asks(struct control *c, const struct wire_allotment_args *a,
    struct wire_allotment_reply *r, int64_t now);
static int answer_ask(struct control *c, struct ledger_node *n,
    const struct wire_allotment_ask *a, wire_allotment_grant *out, int64_t now);
static void find_leader(struct control *c, char *out, size_t size);

/*
 * Opens the ledger of a new leader and closes that of a former one. Accounts
 * without a rate need none. The lock is held.
 */
void
run_allotments(struct control *c, int64_t now)
{
	struct allotments *s = &c->allotments;
	struct replica_status st;
	bool leads = get_replication_status(c, &st) && st.role == RAFT_LEADER;

	if (s->table_version != c->state->table->version) {
		s->table_version = c->state->table->version;
		s->has_rates = has_rates(c->state->table);
	}
	if (s->ledger != NULL &&
	    (!leads || st.term != s->term || !s->has_rates)) {
		close_ledger(s->ledger);
		s->ledger = NULL;
		WRITE_EVENT(LOG_LEVEL_NOTICE, "allotments.closed",
		    LOG_INT("term", s->term));
	}
	if (s->ledger == NULL && leads && s->has_rates &&
	    open_ledger(now, &s->ledger) == 0) {
		s->term = st.term;
		s->counted_ns = 0;
		WRITE_EVENT(LOG_LEVEL_NOTICE, "allotments.opened",
		    LOG_INT("term", st.term));
	}
}

/*
 * Handles an ask of a node. Only the leader grants; the others name it.
 */
void
handle_allotment(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_allotment_reply r = {.leader = ""};
	struct wire_allotment_args a = {0};
	int64_t now = read_mono(&c->cfg.clock);
	char leader[RPC_ADDRESS_BYTES] = "";
	struct buf b = {0};
	int rc = decode_wire((xdrproc_t)xdr_wire_allotment_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	count_metric(c->metrics.allotment_asks, 1);
	r.grants.grants_val =
	    calloc(a.asks.asks_len + 1, sizeof(*r.grants.grants_val));
	rc = r.grants.grants_val != NULL ? 0 : ERR_UNAVAILABLE;
	if (rc == 0) {
		pthread_mutex_lock(&c->lock);
		rc = answer_asks(c, &a, &r, now);
		pthread_mutex_unlock(&c->lock);
	}
	if (rc == ERR_UNAVAILABLE)
		find_leader(c, leader, sizeof(leader));
	r.leader = leader;
	r.status = (wire_status)-rc;
	rc = encode_wire((xdrproc_t)xdr_wire_allotment_reply, &r, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
	free(r.grants.grants_val);
	unload_wire((xdrproc_t)xdr_wire_allotment_args, &a);
}

static bool
is_leader_current(struct control *c, struct replica_status *st)
{
	return get_replication_status(c, st) && st->role == RAFT_LEADER &&
	       st->contact_ns >= 0 && st->contact_ns <= CONTACT_MAX_NS;
}

static bool
has_rates(const struct table *t)
{
	for (size_t i = 0; i < t->account_count; i++) {
		if (t->accounts[i]->rate_per_s > 0)
			return true;
	}
	return false;
}

/*
 * Counts the serving nodes and those that no control process hears of.
 */
static void
count_fleet(struct control *c, int64_t now)
{
	struct allotments *s = &c->allotments;
	size_t nodes = 0, suspects = 0;
	struct registry_record r;
	const void *at = NULL;

	if (s->counted_ns != 0 && now - s->counted_ns < COUNT_INTERVAL_NS)
		return;
	s->counted_ns = now;
	while (next_record(c->registry, &at, &r)) {
		if (r.state == WIRE_ENDPOINT_GONE)
			continue;
		nodes++;
		suspects += r.state == WIRE_ENDPOINT_SUSPECT;
	}
	set_ledger_fleet(s->ledger, nodes, suspects);
	set_metric(c->metrics.allotment_silent,
	    (int64_t)count_silent_nodes(s->ledger));
}

/*
 * Returns ERR_UNAVAILABLE on a process that may not grant, ERR_STALE for an ask
 * that was overtaken. The lock is held.
 */
static int
answer_asks(struct control *c, const struct wire_allotment_args *a,
    struct wire_allotment_reply *r, int64_t now)
{
	struct allotments *s = &c->allotments;
	struct replica_status st;
	struct ledger_node *n;
	int rc;

	if (!is_leader_current(c, &st))
		return ERR_UNAVAILABLE;
	run_allotments(c, now);
	if (s->ledger == NULL)
		return ERR_UNAVAILABLE;
	count_fleet(c, now);
	rc = begin_ledger_ask(s->ledger, a->node, a->run, a->seq, a->answered,
	    a->leaving, now, &n);
	if (rc != 0)
		return rc == ERR_STALE ? rc : ERR_LIMIT;
	for (unsigned int i = 0; i < a->asks.asks_len; i++) {
		rc = answer_ask(
		    c, n, &a->asks.asks_val[i], &r->grants.grants_val[i], now);
		if (rc != 0)
			return ERR_LIMIT;
	}
	r->grants.grants_len = a->asks.asks_len;
	r->nodes = (unsigned int)get_ledger_nodes(s->ledger);
	return 0;
}

/*
 * A node may know an account that this process does not have yet, or no more.
 */
static int
answer_ask(struct control *c, struct ledger_node *n,
    const struct wire_allotment_ask *a, wire_allotment_grant *out, int64_t now)
{
	const struct account *t =
	    find_account(c->state->table, make_str(a->account));
	struct ledger_ask ask = {.held = a->held,
	    .returned = a->returned,
	    .want = a->want,
	    .demand = a->demand_milli / 1000.0};
	struct ledger_limit limit;
	struct ledger_grant g;
	int rc;

	if (t == NULL) {
		out->room_ms = ROOM_UNKNOWN_MS;
		return 0;
	}
	limit = widen_limit(
	    &(struct ledger_limit){t->rate_per_s, t->burst}, &c->cfg.tolerance);
	rc = lease_tokens(
	    c->allotments.ledger, n, a->account, &limit, &ask, now, &g);
	if (rc != 0)
		return rc;
	out->tokens = g.tokens;
	out->room_ms = (unsigned int)(g.room_ns / NSEC_PER_MSEC);
	count_metric(c->metrics.allotment_tokens, g.tokens);
	return 0;
}

/*
 * Writes the RPC address of the leader to out, "" when none is known.
 */
static void
find_leader(struct control *c, char *out, size_t size)
{
	struct raft_members m = {0};
	struct replica_status st;

	if (!get_replication_status(c, &st) || st.leader == 0 ||
	    st.leader == c->id)
		return;
	(void)get_replication_members(c, &m);
	for (size_t i = 0; i < m.count; i++) {
		if (m.member[i].id == st.leader)
			(void)copy_str(
			    out, size, make_str(m.member[i].address));
	}
}
