/*
 * The other control processes, and the synchronization of endpoint records
 * with them.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "service.h"

static void set_peer(struct control *c, struct peer *p, uint64_t id,
    const char *address, struct rpc_peer *rpc);
static struct peer *find_peer(struct control *c, uint64_t id);
static int find_or_open_link(struct control *c, const char *address,
    struct rpc_peer **out, struct fault *f);
static struct link *find_unused_link(struct control *c);
static struct peer *allocate_peer(struct control *c);
static int parse_peer(
    const char *text, uint64_t *id, const char **address, struct fault *f);
static void send_sync(
    struct control *c, struct peer *only, struct wire_sync_args *a);
static void finish_sync(void *arg, const struct rpc_result *r);
static void send_owned_records(struct control *c, struct peer *p);

/*
 * Opens a peer for every voter of the settings except this process.
 */
int
open_peers(struct control *c, struct fault *f)
{
	for (size_t i = 0; i < c->cfg.peer_count; i++) {
		const char *address = "";
		uint64_t id = 0;
		int rc = parse_peer(c->cfg.peers[i], &id, &address, f);

		if (rc != 0)
			return rc;
		if (id == c->id)
			continue;
		if (find_control_peer(c, id) != NULL)
			return set_fault(f, ERR_INVALID,
			    "control process %llu is listed twice; give every "
			    "process a different id",
			    (unsigned long long)id);
		update_peer(c, id, address);
		if (find_control_peer(c, id) == NULL)
			return set_fault(f, ERR_INVALID,
			    "'%s' is not a peer; write id=IP:port",
			    c->cfg.peers[i]);
	}
	return 0;
}

/*
 * Adds a peer or changes its address, in one step, since several threads learn
 * of the same member. The entry of a removed member is kept until a new peer
 * needs it. A peer that cannot be added is logged.
 */
void
update_peer(struct control *c, uint64_t id, const char *address)
{
	struct rpc_peer *rpc = NULL;
	struct fault f = {0};
	struct peer *p;
	int rc = 0;

	pthread_mutex_lock(&c->peers_lock);
	p = find_peer(c, id);
	if (p == NULL || strcmp(p->address, address) != 0) {
		rc = find_or_open_link(c, address, &rpc, &f);
		if (rc == 0 && p == NULL)
			p = allocate_peer(c);
		if (rc == 0 && p != NULL)
			set_peer(c, p, id, address, rpc);
	}
	pthread_mutex_unlock(&c->peers_lock);
	if (rc != 0)
		write_log(LOG_LEVEL_WARNING, "control process %llu: %s",
		    (unsigned long long)id, f.text);
}

/*
 * Fills an entry; peers_lock is held. A new one is counted last, because from
 * then on other threads read it.
 */
static void
set_peer(struct control *c, struct peer *p, uint64_t id, const char *address,
    struct rpc_peer *rpc)
{
	p->control = c;
	p->rpc = rpc;
	(void)copy_str(p->address, sizeof(p->address), make_str(address));
	if (p->id != id) {
		p->id = id;
		p->resend = false;
		p->resend_position = 0;
		p->member = true;
	}
	if (p == &c->peers[c->peer_count])
		c->peer_count++;
}

struct peer *
find_control_peer(struct control *c, uint64_t id)
{
	struct peer *p;

	pthread_mutex_lock(&c->peers_lock);
	p = find_peer(c, id);
	pthread_mutex_unlock(&c->peers_lock);
	return p;
}

/*
 * peers_lock is held.
 */
static struct peer *
find_peer(struct control *c, uint64_t id)
{
	for (size_t i = 0; i < c->peer_count; i++) {
		if (c->peers[i].id == id)
			return &c->peers[i];
	}
	return NULL;
}

int
open_link(struct control *c, const char *address, struct rpc_peer **out,
    struct fault *f)
{
	int rc;

	pthread_mutex_lock(&c->peers_lock);
	rc = find_or_open_link(c, address, out, f);
	pthread_mutex_unlock(&c->peers_lock);
	return rc;
}

/*
 * Opens the connection to an address, which all peers with that address share.
 * After SERVICE_LINKS_MAX addresses, the longest unused connection gets the new
 * one. Returns ERR_LIMIT when all are in use. peers_lock is held.
 */
static int
find_or_open_link(struct control *c, const char *address, struct rpc_peer **out,
    struct fault *f)
{
	struct link *l = NULL;
	int rc;

	for (size_t i = 0; i < c->link_count; i++) {
		if (strcmp(c->links[i].address, address) == 0) {
			*out = c->links[i].rpc;
			return 0;
		}
	}
	if (c->link_count < SERVICE_LINKS_MAX) {
		l = &c->links[c->link_count];
		rc = open_rpc_peer(c->client, address, &l->rpc, f);
	} else {
		l = find_unused_link(c);
		if (l == NULL)
			return set_fault(f, ERR_LIMIT,
			    "%d connections to control processes are in use; "
			    "remove members or seeds",
			    SERVICE_LINKS_MAX);
		rc = move_rpc_peer(l->rpc, address, f);
	}
	if (rc != 0)
		return rc;
	if (l == &c->links[c->link_count])
		c->link_count++;
	(void)copy_str(l->address, sizeof(l->address), make_str(address));
	l->order = c->link_order++;
	*out = l->rpc;
	return 0;
}

void
mark_seed_links(struct control *c, struct rpc_peer *const *seeds, size_t count)
{
	pthread_mutex_lock(&c->peers_lock);
	for (size_t i = 0; i < c->link_count; i++) {
		c->links[i].seed = false;
		for (size_t k = 0; k < count; k++)
			c->links[i].seed =
			    c->links[i].seed || seeds[k] == c->links[i].rpc;
	}
	pthread_mutex_unlock(&c->peers_lock);
}

/*
 * Sends the endpoint changes since the last tick, digests every
 * SERVICE_DIGEST_NS, and all owned records to the peers whose digest differed.
 */
void
sync_peers(struct control *c, int64_t now)
{
	struct wire_sync_args a;
	bool digest = now - c->last_digest_ns >= SERVICE_DIGEST_NS;

	while (pop_sync(c->registry, &a)) {
		send_sync(c, NULL, &a);
		unload_sync(&a);
	}
	for (size_t i = 0; i < c->peer_count; i++) {
		if (c->peers[i].resend)
			send_owned_records(c, &c->peers[i]);
	}
	if (!digest)
		return;
	c->last_digest_ns = now;
	fill_sync_digest(c->registry, &a);
	send_sync(c, NULL, &a);
}

/*
 * Applies the endpoint records of a peer, and requests all of them again in the
 * reply when the digest differs.
 */
void
handle_sync(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_sync_args a = {0};
	struct wire_sync_reply r = {.status = WIRE_OK};
	struct buf b = {0};
	bool resend = false;
	int rc = decode_wire((xdrproc_t)xdr_wire_sync_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &a.stamp);
	pthread_mutex_lock(&c->lock);
	rc = apply_sync(c->registry, read_mono(&c->cfg.clock), &a, &resend);
	serve_watches(c, read_mono(&c->cfg.clock));
	pthread_mutex_unlock(&c->lock);
	unload_wire((xdrproc_t)xdr_wire_sync_args, &a);
	if (rc != 0)
		r.status = WIRE_INVALID;
	r.resend = resend;
	r.stamp = make_message_stamp(c);
	rc = encode_wire((xdrproc_t)xdr_wire_sync_reply, &r, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
}

/*
 * Returns the link without a peer or a seed that got its address first, or NULL.
 * One that was opened just now has no peer yet, but is the last in that order.
 * peers_lock is held.
 */
static struct link *
find_unused_link(struct control *c)
{
	struct link *best = NULL;

	for (size_t i = 0; i < c->link_count; i++) {
		struct link *l = &c->links[i];
		bool used = l->seed;

		for (size_t k = 0; k < c->peer_count && !used; k++)
			used = c->peers[k].rpc == l->rpc;
		if (!used && (best == NULL || l->order < best->order))
			best = l;
	}
	return best;
}

/*
 * Returns a free entry, or that of a process that is no longer a member; NULL
 * when all are members. peers_lock is held.
 */
static struct peer *
allocate_peer(struct control *c)
{
	if (c->peer_count < CONTROL_PEER_MAX)
		return &c->peers[c->peer_count];
	for (size_t i = 0; i < c->peer_count; i++) {
		if (!c->peers[i].member)
			return &c->peers[i];
	}
	return NULL;
}

/*
 * Parses "id=IP:port"; address points into text.
 */
static int
parse_peer(
    const char *text, uint64_t *id, const char **address, struct fault *f)
{
	const char *separator = strchr(text, '=');
	int64_t v = 0;

	if (separator == NULL ||
	    parse_i64(make_str_n(text, (size_t)(separator - text)), 1,
		INT64_MAX, &v) != 0)
		return set_fault(f, ERR_INVALID,
		    "'%s' is not a peer; write id=IP:port with an id of 1 or "
		    "more",
		    text);
	*id = (uint64_t)v;
	*address = separator + 1;
	return 0;
}

/*
 * Encodes a message once and sends it to one peer, or to all members when only
 * is NULL.
 */
static void
send_sync(struct control *c, struct peer *only, struct wire_sync_args *a)
{
	struct buf b = {0};

	a->stamp = make_message_stamp(c);
	if (encode_wire((xdrproc_t)xdr_wire_sync_args, a, &b) == 0) {
		for (size_t i = 0; i < c->peer_count; i++) {
			struct peer *p = &c->peers[i];

			if (only == p || (only == NULL && p->member))
				(void)call_rpc(p->rpc, GGS_ENDPOINT_SYNC,
				    view_buf(&b), SERVICE_SYNC_TIMEOUT_MS,
				    finish_sync, p);
		}
	}
	unload_buf(&b);
}

/*
 * Marks the peer for a resend of all owned records if its digest differed. A
 * lost message is repaired by the next digest.
 */
static void
finish_sync(void *arg, const struct rpc_result *r)
{
	struct wire_sync_reply reply = {0};
	struct peer *p = arg;
	struct control *c = p->control;

	if (r->status != 0 ||
	    decode_wire((xdrproc_t)xdr_wire_sync_reply, r->body, &reply) != 0)
		return;
	merge_message_stamp(c, &reply.stamp);
	if (reply.resend) {
		pthread_mutex_lock(&c->lock);
		p->resend = true;
		p->resend_position = 0;
		pthread_mutex_unlock(&c->lock);
		count_metric(c->metrics.resends, 1);
	}
	unload_wire((xdrproc_t)xdr_wire_sync_reply, &reply);
}

/*
 * Sends all owned records to a peer, split into messages.
 */
static void
send_owned_records(struct control *c, struct peer *p)
{
	struct wire_sync_args a;

	p->resend = false;
	do {
		p->resend_position =
		    fill_sync_all(c->registry, p->resend_position, &a);
		send_sync(c, p, &a);
		unload_sync(&a);
	} while (p->resend_position != 0);
}
