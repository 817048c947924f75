/*
 * WATCH and PULL calls: long polls that are pending until something is newer
 * than what the node or relay has, or until their heartbeat interval ends.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "service.h"

#define LATE_NODE_NS NSEC_PER_SEC /* outdated for longer: the node is late */

static bool is_valid_watch(const struct wire_watch_args *a, bool pull);
static void record_watch(
    struct control *c, const struct pending_watch *w, int64_t now, bool pull);
static void record_version_lag(
    struct control *c, const struct wire_watch_args *a, int64_t now);
static bool serve_watch(
    struct control *c, struct pending_watch *w, bool stale, int64_t now);
static void reply_update(
    struct control *c, struct pending_watch *w, int64_t now);
static void fill_controls(
    struct control *c, struct raft_members *group, struct watch_controls *out);
static void reply_refusal(struct control *c, struct pending_watch *w,
    wire_status status, int retry_ms);
static void free_watch(struct pending_watch *w);

/*
 * Handles a WATCH or a PULL: records the report of the node, and replies at
 * once or keeps the call pending.
 */
void
handle_watch(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	bool pull = q->proc == GGS_PULL;
	struct pending_watch *w = calloc(1, sizeof(*w));
	int64_t now = read_mono(&c->cfg.clock);
	int wait_ms;

	if (w == NULL ||
	    decode_wire((xdrproc_t)xdr_wire_watch_args, q->args, &w->args) !=
		0 ||
	    !is_valid_watch(&w->args, pull)) {
		if (w != NULL)
			free_watch(w);
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &w->args.stamp);
	count_metric(c->metrics.watches, 1);
	wait_ms = w->args.wait_ms;
	if (wait_ms < 0)
		wait_ms = 0;
	if (wait_ms > SERVICE_WATCH_WAIT_MAX_MS)
		wait_ms = SERVICE_WATCH_WAIT_MAX_MS;
	w->reply = reply;
	w->packed = q->proc == GGS_WATCH_PACKED;
	w->conn = q->conn;
	w->deadline_ns = now + (int64_t)wait_ms * NSEC_PER_MSEC;
	w->wants_confirmed_read = pull && wait_ms == 0;
	pthread_mutex_lock(&c->lock);
	record_watch(c, w, now, pull);
	if (restore_interest(&c->nodes, &w->args, q->conn) != 0) {
		reply_refusal(c, w, WIRE_NOT_FOUND, 0);
		free_watch(w);
		pthread_mutex_unlock(&c->lock);
		return;
	}
	if (w->args.held_version == 0 || w->wants_confirmed_read)
		w->read_round = get_next_read_round(c);
	if (c->stopping) {
		reply_refusal(c, w, WIRE_UNAVAILABLE, 0);
		free_watch(w);
	} else if (serve_watch(c, w, is_control_stale(c), now)) {
		free_watch(w);
	} else {
		w->next = c->pending_watches;
		c->pending_watches = w;
		c->pending_watch_count++;
		if (w->read_round != 0)
			begin_read_round(c);
	}
	pthread_mutex_unlock(&c->lock);
}

/*
 * Replies to the pending watches for which something is newer or whose
 * deadline has passed.
 */
void
serve_watches(struct control *c, int64_t now)
{
	bool stale = is_control_stale(c), needs_read = false;
	struct pending_watch **p = &c->pending_watches, *w;
	size_t pending = c->pending_watch_count;

	c->sets_due = now >= c->next_sets_ns;
	while ((w = *p) != NULL) {
		if (serve_watch(c, w, stale, now)) {
			*p = w->next;
			c->pending_watch_count--;
			free_watch(w);
			continue;
		}
		if (w->read_round > c->reads.confirmed)
			needs_read = true;
		p = &w->next;
	}
	if (c->sets_due)
		c->next_sets_ns = now + get_set_interval(pending);
	c->sets_due = false;
	if (needs_read)
		begin_read_round(c);
	set_metric(c->metrics.pending_watches, (int64_t)c->pending_watch_count);
}

/*
 * Handles a closed connection: shortens the leases of its nodes and ends its
 * pending watches.
 */
void
drop_connection(struct control *c, uint64_t conn)
{
	struct pending_watch **p = &c->pending_watches, *w;
	struct node_report *n;
	int64_t now = read_mono(&c->cfg.clock);

	pthread_mutex_lock(&c->lock);
	while ((n = pop_closed_node(&c->nodes, conn)) != NULL)
		record_node_disconnect(c->registry, now, make_str(n->name));
	while ((w = *p) != NULL) {
		if (w->conn != conn) {
			p = &w->next;
			continue;
		}
		*p = w->next;
		c->pending_watch_count--;
		reply_refusal(c, w, WIRE_UNAVAILABLE, 0);
		free_watch(w);
	}
	pthread_mutex_unlock(&c->lock);
}

/*
 * Refuses all pending watches, when the process stops.
 */
void
drop_watches(struct control *c)
{
	struct pending_watch *w;

	while ((w = c->pending_watches) != NULL) {
		c->pending_watches = w->next;
		reply_refusal(c, w, WIRE_UNAVAILABLE, 0);
		free_watch(w);
	}
	c->pending_watch_count = 0;
}

/*
 * Checks the names in a request. A node may announce only its own endpoint.
 */
static bool
is_valid_watch(const struct wire_watch_args *a, bool pull)
{
	if (!is_plain_name(a->node) ||
	    (a->zone[0] != '\0' && !is_plain_name(a->zone)))
		return false;
	return pull || a->self == NULL || strcmp(a->self->id, a->node) == 0;
}

/*
 * Records what a WATCH reports about its node and endpoint, and renews the
 * lease. A PULL reports nothing.
 */
static void
record_watch(
    struct control *c, const struct pending_watch *w, int64_t now, bool pull)
{
	const struct wire_watch_args *a = &w->args;

	if (pull)
		return;
	record_version_lag(c, a, now);
	if (record_node_report(
		&c->nodes, a, w->conn, now, read_wall(&c->cfg.clock)) &&
	    a->refused_version != 0) {
		count_metric(c->metrics.refused, 1);
		record_event(c->cfg.events, "refused", a->node,
		    a->refused_version, "%s", a->refused_reason);
	}
	if (a->held_version == c->state->table->version &&
	    a->held_version != 0 && a->held_digest != c->state->table->digest) {
		count_metric(c->metrics.digest_mismatch, 1);
		record_event(c->cfg.events, "digest", a->node, a->held_version,
		    "the node's table differs from this one");
	}
	if (a->self == NULL)
		record_node_contact(c->registry, now, make_str(a->node));
	else if (announce_endpoint_record(c->registry, now, a->self) ==
		 REGISTRY_CHANGED)
		record_event(c->cfg.events, "endpoint", a->node, 0,
		    "announced %llu.%llu state %d",
		    (unsigned long long)a->self->incarnation,
		    (unsigned long long)a->self->seq, (int)a->self->state);
}

/*
 * Measures how long the node's last table was outdated when it reports a newer
 * one. For a node that was late the line tells the time until the update was
 * sent, which grows while the node or this process is cut off, from the time of
 * its transfer, which grows with its size over the node's link.
 */
static void
record_version_lag(
    struct control *c, const struct wire_watch_args *a, int64_t now)
{
	const struct node_report *n =
	    find_node_report(&c->nodes, make_str(a->node));
	int64_t lag, transfer;

	if (n == NULL || n->version == 0 || a->held_version <= n->version)
		return;
	lag = get_version_lag(&c->version_times, n->version, now);
	observe_metric(c->metrics.lag_us, (uint64_t)(lag / NSEC_PER_USEC));
	if (lag < LATE_NODE_NS)
		return;
	transfer = n->table_sent_ns != 0 ? now - n->table_sent_ns : 0;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "node.late", LOG_TEXT("node", n->name),
	    LOG_INT("version", a->held_version), LOG_INT("before", n->version),
	    LOG_INT("lag_ms", lag / NSEC_PER_MSEC),
	    LOG_INT("transfer_ms", transfer / NSEC_PER_MSEC),
	    LOG_INT("bytes", n->table_sent_bytes),
	    LOG_INT("switch_ms", a->switch_ms));
}

/*
 * Counts the attached nodes that are late; the lock is held.
 */
int64_t
count_late_nodes(struct control *c, int64_t now)
{
	const struct hash_link *l = get_first_link(&c->nodes.index);
	int64_t count = 0;

	for (; l != NULL; l = get_next_link(&c->nodes.index, l)) {
		const struct node_report *n = (const struct node_report *)l;

		if (n->conn != 0 && get_version_lag(&c->version_times,
					n->version, now) >= LATE_NODE_NS)
			count++;
	}
	return count;
}

/*
 * Replies to the watch if decide_watch() says so. Returns false while it stays
 * pending; when true the caller frees it. The lock is held.
 */
static bool
serve_watch(struct control *c, struct pending_watch *w, bool stale, int64_t now)
{
	struct watch_view v = {
	    .version = c->state->table->version,
	    .stale = stale,
	    .starting = stale && is_control_starting(c),
	    .confirmed =
		w->read_round != 0 && c->reads.confirmed >= w->read_round,
	    .timed_out = now >= w->deadline_ns,
	    .sets_due = c->sets_due,
	    .registry = c->registry,
	};
	enum watch_verdict verdict = decide_watch(&v, &w->args);

	if (verdict != WATCH_STALE && w->wants_confirmed_read && !v.confirmed)
		verdict = WATCH_NEEDS_READ;
	if (verdict == WATCH_NEEDS_READ && c->reads.failed >= w->read_round)
		verdict = WATCH_STALE;
	switch (verdict) {
	case WATCH_PENDING:
	case WATCH_NEEDS_READ:
		return false;
	case WATCH_STALE:
		count_metric(c->metrics.stale, 1);
		reply_refusal(c, w, WIRE_STALE, 0);
		return true;
	case WATCH_REPLY:
		break;
	}
	reply_update(c, w, now);
	return true;
}

/*
 * Sends what is new to the node. A full table that exceeds the rate is refused
 * with LIMIT and a retry delay.
 */
static void
reply_update(struct control *c, struct pending_watch *w, int64_t now)
{
	struct wire_member members[WIRE_MEMBERS_MAX];
	struct watch_controls controls = {.members = members};
	struct raft_members group = {0};
	struct wire_hlc stamp = make_message_stamp(c);
	struct watch_update *u = NULL;
	struct buf b = {0};
	int rc = 0, retry_ms = 0;

	if (needs_table(c->state->table->version, &w->args))
		rc = find_update(&c->cache, c->state, w->args.held_version, &u);
	if (rc == 0 && u != NULL && get_update_tokens(u, w->packed) > 0)
		retry_ms = consume_tokens(
		    &c->bucket, get_update_tokens(u, w->packed), now);
	if (retry_ms > 0) {
		count_metric(c->metrics.limited, 1);
		reply_refusal(c, w, WIRE_LIMIT, retry_ms);
		return;
	}
	if (w->args.controls_digest != 0)
		fill_controls(c, &group, &controls);
	if (rc == 0 && w->packed)
		rc = encode_packed_reply(&c->cache, c->state, c->registry,
		    &controls, &w->args, &stamp, &b);
	else if (rc == 0)
		rc = encode_watch_reply(&c->cache, c->state, c->registry,
		    &controls, &w->args, &stamp, &b);
	if (rc == 0 && u != NULL) {
		struct node_report *n =
		    find_node_report(&c->nodes, make_str(w->args.node));

		count_metric(u->form == WIRE_TABLE_WHOLE ? c->metrics.full :
							   c->metrics.delta,
		    1);
		if (n != NULL) {
			n->table_sent_ns = now;
			n->table_sent_bytes = b.len;
		}
	}
	complete_rpc(w->reply, rc, view_buf(&b));
	unload_buf(&b);
}

/*
 * Lists the members of the group; their addresses are borrowed from group. The
 * digest is never 0 or 1, which mean no list wanted and no list known.
 */
static void
fill_controls(
    struct control *c, struct raft_members *group, struct watch_controls *out)
{
	struct buf b = {0};

	if (get_replication_members(c, group) != 0 || group->count == 0 ||
	    encode_raft_members(group, &b) != 0)
		return;
	out->digest = hash_str(view_buf(&b), 0) | 2;
	out->count = list_members(group, out->members);
	unload_buf(&b);
}

static void
reply_refusal(struct control *c, struct pending_watch *w, wire_status status,
    int retry_ms)
{
	struct wire_hlc stamp = make_message_stamp(c);
	struct buf plain = {0}, packed = {0};
	int rc = encode_watch_refusal(status, retry_ms, &stamp, &plain);

	if (rc == 0 && w->packed)
		rc = pack_wire(view_buf(&plain), &packed);
	complete_rpc(w->reply, rc, view_buf(w->packed ? &packed : &plain));
	unload_buf(&plain);
	unload_buf(&packed);
}

static void
free_watch(struct pending_watch *w)
{
	unload_wire((xdrproc_t)xdr_wire_watch_args, &w->args);
	free(w);
}
