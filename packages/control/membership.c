/*
 * Membership that the group manages by itself: a process asks to join through
 * any address it knows, and the leader carries out the plan.
 */
#include <stdlib.h>
#include <string.h>

#include "identity.h"
#include "log.h"
#include "service.h"

#define PLAN_NS (50 * NSEC_PER_MSEC) /* between looks at the plan */
#define JOIN_NS (100 * NSEC_PER_MSEC) /* between requests to join */
#define JOIN_MS 600 /* longest wait for the answer to one */
#define CHANGE_MS 2000 /* longest wait for a change of the group */
/* Without contact to a leader for longer, a member may have been replaced. */
#define JOIN_SILENT_NS (1500 * NSEC_PER_MSEC)

static bool is_join_due(struct control *c, int64_t now);
static struct rpc_peer *choose_target(struct control *c);
static void send_join(struct control *c, int64_t now);
static void finish_join(void *arg, const struct rpc_result *r);
static void take_join_reply(
    struct control *c, const struct wire_join_reply *reply);
static void run_plan(struct control *c, int64_t now);
static void finish_change(
    void *arg, int status, uint64_t index, struct str result);
static int answer_join(struct control *c, wire_status status, struct buf *out);
static bool is_listed(const struct raft_members *m, uint64_t id);

/*
 * Finds the id of this process and whether it founds the group: a founder is
 * one of the seeds of a fleet that starts for the first time. Sets cfg.peers to
 * the founders.
 */
int
open_membership(struct control *c, struct fault *f)
{
	struct membership *m = &c->membership;
	struct fault ignored = {0};
	int rc;

	if (!c->cfg.auto_members)
		return 0;
	m->voters_wanted = c->cfg.voters_wanted;
	rc = load_identity(c->cfg.data_dir, &c->id, f);
	if (rc == 0) {
		m->restarted = true;
		return 0;
	}
	if (rc == ERR_CORRUPT || rc == ERR_IO)
		return rc;
	*f = ignored;
	return choose_identity(c, f);
}

/*
 * Draws an id for an empty data folder. Only the first start of the fleet may
 * found, since another process with an empty folder may have lost its disk.
 */
int
choose_identity(struct control *c, struct fault *f)
{
	bool founds = false;

	for (size_t i = 0; i < c->cfg.seed_count; i++) {
		if (strcmp(c->cfg.seeds[i], c->cfg.rpc_listen) == 0)
			founds = c->cfg.first_start;
	}
	c->membership.restarted = false;
	c->membership.founds = founds;
	c->id = founds ? derive_identity(c->cfg.rpc_listen) : draw_identity();
	return save_identity(c->cfg.data_dir, c->id, f);
}

/*
 * Opens connections to the seeds, of which the first request to join is asked.
 */
int
open_seeds(struct control *c, struct fault *f)
{
	struct membership *m = &c->membership;

	for (size_t i = 0; i < c->cfg.seed_count; i++) {
		struct rpc_peer *p = NULL;
		int rc;

		if (strcmp(c->cfg.seeds[i], c->cfg.rpc_listen) == 0)
			continue;
		rc = open_link(c, c->cfg.seeds[i], &p, f);
		if (rc != 0)
			return rc;
		m->seeds[m->seed_count++] = p;
		if (m->founds)
			update_peer(c, derive_identity(c->cfg.seeds[i]),
			    c->cfg.seeds[i]);
	}
	return 0;
}

int
set_control_seeds(struct control *c, const char *const *seeds, size_t count)
{
	struct rpc_peer *links[CONTROL_PEER_MAX];
	struct fault f = {0};
	size_t n = 0;

	for (size_t i = 0; i < count && n < CONTROL_PEER_MAX; i++) {
		if (strcmp(seeds[i], c->cfg.rpc_listen) == 0)
			continue;
		if (open_link(c, seeds[i], &links[n], &f) == 0)
			n++;
		else
			write_log(
			    LOG_LEVEL_WARNING, "seed %s: %s", seeds[i], f.text);
	}
	if (n == 0)
		return ERR_INVALID;
	pthread_mutex_lock(&c->lock);
	memcpy(c->membership.seeds, links, n * sizeof(links[0]));
	c->membership.seed_count = n;
	pthread_mutex_unlock(&c->lock);
	return 0;
}

/*
 * Asks to join while this process is no voter or cut off, and changes the group
 * while it leads. Runs on the service thread.
 */
void
run_membership(struct control *c, int64_t now)
{
	if (!c->cfg.auto_members)
		return;
	if (is_join_due(c, now))
		send_join(c, now);
	if (now - c->membership.plan_ns >= PLAN_NS) {
		c->membership.plan_ns = now;
		run_plan(c, now);
	}
}

void
handle_join(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_join_args a = {0};
	struct replica_status st;
	struct buf b = {0};
	bool leads;
	int rc = decode_wire((xdrproc_t)xdr_wire_join_args, q->args, &a);

	if (rc != 0 || a.sender == 0 || !c->cfg.auto_members) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		unload_wire((xdrproc_t)xdr_wire_join_args, &a);
		return;
	}
	merge_message(c, &a.stamp);
	leads = get_replication(c, &st) && st.role == RAFT_LEADER;
	if (leads) {
		pthread_mutex_lock(&c->lock);
		note_candidate(c->membership.candidates, a.sender, a.address,
		    read_mono(&c->cfg.clock));
		pthread_mutex_unlock(&c->lock);
	}
	rc = answer_join(c, leads ? WIRE_OK : WIRE_UNAVAILABLE, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
	unload_wire((xdrproc_t)xdr_wire_join_args, &a);
}

static bool
is_join_due(struct control *c, int64_t now)
{
	struct replica_status st;

	if (now - c->membership.join_ns < JOIN_NS)
		return false;
	return get_replication(c, &st) && !st.failed &&
	       (!st.voter || st.contact_ns < 0 ||
		   st.contact_ns > JOIN_SILENT_NS);
}

/*
 * Returns the leader when one was named, else the seeds and the known members
 * in turn.
 */
static struct rpc_peer *
choose_target(struct control *c)
{
	struct membership *m = &c->membership;
	struct peer *leader =
	    m->leader != 0 ? find_control_peer(c, m->leader) : NULL;
	size_t n = m->seed_count + c->peer_count, at;
	struct rpc_peer *target;

	m->leader = 0;
	if (leader != NULL && leader->id != c->id)
		return leader->rpc;
	if (n == 0)
		return NULL;
	pthread_mutex_lock(&c->lock);
	at = m->next_target++ % n;
	target = at < m->seed_count ? m->seeds[at] : NULL;
	at -= m->seed_count;
	pthread_mutex_unlock(&c->lock);
	return target != NULL ? target : c->peers[at % CONTROL_PEER_MAX].rpc;
}

static void
send_join(struct control *c, int64_t now)
{
	struct wire_join_args a = {
	    .stamp = stamp_message(c),
	    .sender = c->id,
	    .address = (char *)(uintptr_t)c->cfg.rpc_listen,
	};
	struct rpc_peer *target = choose_target(c);
	struct buf b = {0};

	c->membership.join_ns = now;
	if (target != NULL &&
	    encode_wire((xdrproc_t)xdr_wire_join_args, &a, &b) == 0)
		(void)call_rpc(
		    target, GGS_JOIN, view_buf(&b), JOIN_MS, finish_join, c);
	unload_buf(&b);
}

static void
finish_join(void *arg, const struct rpc_result *r)
{
	struct wire_join_reply reply = {0};
	struct control *c = arg;

	if (r->status != 0 ||
	    decode_wire((xdrproc_t)xdr_wire_join_reply, r->body, &reply) != 0)
		return;
	merge_message(c, &reply.stamp);
	take_join_reply(c, &reply);
	unload_wire((xdrproc_t)xdr_wire_join_reply, &reply);
}

/*
 * Learns the addresses of the members: the leader's messages may arrive before
 * the membership does, and must be answered.
 */
static void
take_join_reply(struct control *c, const struct wire_join_reply *reply)
{
	for (unsigned int i = 0; i < reply->members.members_len; i++) {
		const struct wire_member *w = &reply->members.members_val[i];

		if (w->id != c->id && w->id != 0)
			update_peer(c, w->id, w->address);
	}
	pthread_mutex_lock(&c->lock);
	if (reply->leader != c->id)
		c->membership.leader = reply->leader;
	if (c->membership.leader != 0 && reply->status != WIRE_OK)
		c->membership.join_ns = 0; /* asks the leader next */
	pthread_mutex_unlock(&c->lock);
}

/*
 * Starts the next change of the plan, if any.
 */
static void
run_plan(struct control *c, int64_t now)
{
	struct replica_progress progress[RAFT_MEMBERS_MAX];
	struct membership *m = &c->membership;
	struct membership_view v = {
	    .now_ns = now,
	    .self = c->id,
	    .voters_wanted = m->voters_wanted,
	    .members = progress,
	    .candidates = m->candidates,
	};
	struct raft_change change;
	bool planned = false;
	int rc = ERR_UNAVAILABLE;

	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		v.member_count = get_replica_progress(c->replica, progress);
	pthread_rwlock_unlock(&c->replica_guard);
	pthread_mutex_lock(&c->lock);
	if (v.member_count > 0 && !m->changing)
		planned = plan_membership(&v, &change);
	m->changing = m->changing || planned;
	pthread_mutex_unlock(&c->lock);
	if (!planned)
		return;
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		rc = change_replica_members(
		    c->replica, &change, CHANGE_MS, finish_change, c);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		finish_change(c, rc, 0, make_str(""));
	record_event(c->cfg.events, "member", c->cfg.zone, 0, "%s process %llu",
	    change.type == RAFT_ADD_LEARNER ? "adds" :
	    change.type == RAFT_PROMOTE	    ? "promotes" :
					      "removes",
	    (unsigned long long)change.member.id);
}

static void
finish_change(void *arg, int status, uint64_t index, struct str result)
{
	struct control *c = arg;

	(void)status;
	(void)index;
	(void)result;
	pthread_mutex_lock(&c->lock);
	c->membership.changing = false;
	pthread_mutex_unlock(&c->lock);
}

static int
answer_join(struct control *c, wire_status status, struct buf *out)
{
	struct wire_member list[WIRE_MEMBERS_MAX];
	struct wire_join_reply r = {
	    .status = status, .stamp = stamp_message(c)};
	struct raft_members m = {0};
	struct replica_status st;

	(void)get_replication(c, &st);
	(void)get_replication_members(c, &m);
	r.leader = st.leader;
	r.members.members_len = list_members(&m, list);
	r.members.members_val = list;
	return encode_wire((xdrproc_t)xdr_wire_join_reply, &r, out);
}

/*
 * Fills in the members for a message; addresses are borrowed from m.
 */
unsigned int
list_members(const struct raft_members *m, struct wire_member *out)
{
	for (size_t i = 0; i < m->count; i++)
		out[i] = (struct wire_member){m->member[i].id,
		    (char *)(uintptr_t)m->member[i].address,
		    m->member[i].voter};
	return (unsigned int)m->count;
}

/*
 * Marks which peers are members, so that others can give their place.
 */
void
note_membership(struct control *c, const struct raft_members *m)
{
	pthread_mutex_lock(&c->peers_lock);
	for (size_t i = 0; i < c->peer_count; i++)
		c->peers[i].member = is_listed(m, c->peers[i].id);
	pthread_mutex_unlock(&c->peers_lock);
}

static bool
is_listed(const struct raft_members *m, uint64_t id)
{
	return find_raft_member(m, id) != NULL;
}
