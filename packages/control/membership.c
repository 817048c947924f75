/*
 * Automatic membership: a process requests to join through any address that it
 * knows, and the leader carries out the changes of the membership plan.
 */
#include <stdlib.h>
#include <string.h>

#include "identity.h"
#include "log.h"
#include "service.h"

#define PLAN_INTERVAL_NS (50 * NSEC_PER_MSEC) /* between runs of the plan */
#define JOIN_INTERVAL_NS (100 * NSEC_PER_MSEC) /* between requests to join */
#define JOIN_TIMEOUT_MS 600 /* wait for the reply */
#define CHANGE_TIMEOUT_MS 2000 /* wait for a membership change */
/* A member without a leader for longer than this may have been replaced. */
#define JOIN_NO_LEADER_NS (1500 * NSEC_PER_MSEC)

static bool lists_itself(const struct control *c);
static bool is_join_due(struct control *c, int64_t now);
static void send_join(struct control *c, int64_t now);
static void finish_join(void *arg, const struct rpc_result *r);
static void apply_join_reply(
    struct control *c, const struct wire_join_reply *reply);
static void run_plan(struct control *c, int64_t now);
static void finish_change(
    void *arg, int status, uint64_t index, struct str result);
static int answer_join(struct control *c, wire_status status, struct buf *out);
static bool is_member(const struct raft_members *m, uint64_t id);

/*
 * Loads the id of this process, or chooses one if the data folder is empty; the
 * bootstrap stores it. While the stored id cannot be read, or when it is
 * damaged, the process runs without a replica under a temporary one. Does
 * nothing without automatic membership.
 *
 * If the folder has the list of initial voters, an earlier process was ended
 * before the group existed for it. This one goes on with that list, since the
 * settings may name other seeds by now, and no first start.
 */
int
open_membership(struct control *c, struct fault *f)
{
	struct membership *m = &c->membership;
	struct fault ignored = {0};
	int rc, list_rc = ERR_NOT_FOUND;

	if (!c->cfg.auto_members)
		return 0;
	m->voters_wanted = c->cfg.voters_wanted;
	rc = load_identity(c->cfg.data_dir, &c->id, f);
	m->id_loaded = rc == 0;
	if (rc == 0 || rc == ERR_NOT_FOUND)
		list_rc = load_voter_list(c->cfg.data_dir, &m->initial, f);
	*f = ignored;
	if (rc == ERR_CORRUPT || rc == ERR_IO || list_rc == ERR_IO) {
		m->id_loaded = false;
		m->id_error = list_rc == ERR_IO ? list_rc : rc;
		c->id = draw_identity();
		return 0;
	}
	m->resumes =
	    list_rc == 0 && lists_itself(c) &&
	    (!m->id_loaded || c->id == derive_identity(c->cfg.rpc_listen));
	m->bootstraps = m->resumes;
	if (m->resumes)
		c->id = derive_identity(c->cfg.rpc_listen);
	else if (!m->id_loaded)
		choose_identity(c);
	return 0;
}

/*
 * Chooses an id for an empty data folder. Only a seed in the first start of the
 * fleet bootstraps the group and derives its id from its address. In any later
 * start the process may have lost its disk and must join under a new random id.
 */
void
choose_identity(struct control *c)
{
	struct membership *m = &c->membership;

	m->initial.count = 0;
	for (size_t i = 0; i < c->cfg.seed_count && c->cfg.first_start; i++)
		(void)copy_str(m->initial.address[m->initial.count++],
		    RPC_ADDRESS_BYTES, make_str(c->cfg.seeds[i]));
	m->id_loaded = false;
	m->bootstraps = lists_itself(c);
	c->id = m->bootstraps ? derive_identity(c->cfg.rpc_listen) :
				draw_identity();
}

/*
 * Stores the id durably, after the list of initial voters, without which the id
 * of one of them is of no use. Does nothing without automatic membership.
 */
int
store_identity(struct control *c, struct fault *f)
{
	struct membership *m = &c->membership;
	int rc = 0;

	if (!c->cfg.auto_members)
		return 0;
	if (m->bootstraps)
		rc = save_voter_list(c->cfg.data_dir, &m->initial, f);
	return rc == 0 ? save_identity(c->cfg.data_dir, c->id, f) : rc;
}

/*
 * Called before a disk that refused operations is tried again: if it has come
 * back without the list of initial voters, nothing shows any more that this
 * process has never voted.
 */
void
check_resumption(struct control *c)
{
	struct voter_list list;
	struct fault f = {0};

	if (c->membership.resumes &&
	    load_voter_list(c->cfg.data_dir, &list, &f) == ERR_NOT_FOUND)
		c->membership.resumes = false;
}

/*
 * Removes the list of initial voters once the log has data, and the list is
 * obsolete. It must not outlive the log: a process with an empty log and the
 * list counts as one that has never voted.
 */
void
discard_initial_voters(struct control *c)
{
	if (c->cfg.auto_members)
		remove_voter_list(c->cfg.data_dir);
}

/*
 * Opens connections to the seeds, which receive the first requests to join. A
 * process that bootstraps the group also makes them its peers.
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
	}
	for (size_t i = 0; i < m->initial.count && m->bootstraps; i++) {
		if (strcmp(m->initial.address[i], c->cfg.rpc_listen) != 0)
			update_peer(c, derive_identity(m->initial.address[i]),
			    m->initial.address[i]);
	}
	mark_seed_links(c, m->seeds, m->seed_count);
	return 0;
}

/*
 * Replaces the seeds after a reload of the settings; seeds that cannot be
 * opened are logged and skipped. ERR_INVALID: none is usable.
 */
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
	mark_seed_links(c, links, n);
	return 0;
}

/*
 * Requests to join while this process is no voter or has no contact to a
 * leader, and runs the plan, which is empty unless this process is the leader.
 * Runs on the service thread.
 */
void
run_membership(struct control *c, int64_t now)
{
	if (!c->cfg.auto_members)
		return;
	if (is_join_due(c, now))
		send_join(c, now);
	if (now - c->membership.last_plan_ns >= PLAN_INTERVAL_NS) {
		c->membership.last_plan_ns = now;
		run_plan(c, now);
	}
}

/*
 * Handles a request to join. Only the leader records the candidate; another
 * process replies WIRE_UNAVAILABLE with the leader and the members.
 */
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
	merge_message_stamp(c, &a.stamp);
	leads = get_replication_status(c, &st) && st.role == RAFT_LEADER;
	if (leads) {
		pthread_mutex_lock(&c->lock);
		record_candidate(c->membership.candidates, a.sender, a.address,
		    read_mono(&c->cfg.clock));
		pthread_mutex_unlock(&c->lock);
	}
	rc = answer_join(c, leads ? WIRE_OK : WIRE_UNAVAILABLE, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
	unload_wire((xdrproc_t)xdr_wire_join_args, &a);
}

/*
 * Tells whether this process is one of the initial voters.
 */
static bool
lists_itself(const struct control *c)
{
	const struct voter_list *list = &c->membership.initial;

	for (size_t i = 0; i < list->count; i++) {
		if (strcmp(list->address[i], c->cfg.rpc_listen) == 0)
			return true;
	}
	return false;
}

/*
 * Limits the requests to one per JOIN_INTERVAL_NS while this process is no
 * voter or has lost contact to the leader.
 */
static bool
is_join_due(struct control *c, int64_t now)
{
	struct replica_status st;
	int64_t last;

	pthread_mutex_lock(&c->lock);
	last = c->membership.last_join_ns;
	pthread_mutex_unlock(&c->lock);
	if (now - last < JOIN_INTERVAL_NS)
		return false;
	return get_replication_status(c, &st) && !st.failed &&
	       (!st.voter || st.contact_ns < 0 ||
		   st.contact_ns > JOIN_NO_LEADER_NS);
}

/*
 * Returns the leader if the last reply named one, else the next of the seeds
 * and known peers, round robin. NULL: no address is known.
 */
struct rpc_peer *
choose_target(struct control *c)
{
	struct membership *m = &c->membership;
	struct rpc_peer *target = NULL;
	struct peer *leader;
	size_t n, at;

	pthread_mutex_lock(&c->lock);
	leader = m->leader != 0 && m->leader != c->id ?
		     find_control_peer(c, m->leader) :
		     NULL;
	m->leader = 0;
	n = m->seed_count + c->peer_count;
	if (leader != NULL) {
		target = leader->rpc;
	} else if (n > 0) {
		at = m->next_target++ % n;
		target = at < m->seed_count ? m->seeds[at] :
					      c->peers[at - m->seed_count].rpc;
	}
	pthread_mutex_unlock(&c->lock);
	return target;
}

static void
send_join(struct control *c, int64_t now)
{
	struct wire_join_args a = {
	    .stamp = make_message_stamp(c),
	    .sender = c->id,
	    .address = (char *)(uintptr_t)c->cfg.rpc_listen,
	};
	struct rpc_peer *target = choose_target(c);
	struct buf b = {0};

	pthread_mutex_lock(&c->lock);
	c->membership.last_join_ns = now;
	pthread_mutex_unlock(&c->lock);
	if (target != NULL &&
	    encode_wire((xdrproc_t)xdr_wire_join_args, &a, &b) == 0)
		(void)call_rpc(target, GGS_JOIN, view_buf(&b), JOIN_TIMEOUT_MS,
		    finish_join, c);
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
	merge_message_stamp(c, &reply.stamp);
	apply_join_reply(c, &reply);
	unload_wire((xdrproc_t)xdr_wire_join_reply, &reply);
}

/*
 * Stores the addresses of the members, because this process must reply to the
 * leader's messages, which may arrive before the membership does. When another
 * process is named as the leader, the next request goes to it at once.
 */
static void
apply_join_reply(struct control *c, const struct wire_join_reply *reply)
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
		c->membership.last_join_ns = 0; /* no wait */
	pthread_mutex_unlock(&c->lock);
}

/*
 * Starts the next planned change, if any, unless one is in progress.
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
		    c->replica, &change, CHANGE_TIMEOUT_MS, finish_change, c);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		finish_change(c, rc, 0, make_str(""));
	record_event(c->cfg.events, "member", c->cfg.zone, 0, "%s process %llu",
	    change.type == RAFT_ADD_LEARNER ? "adds" :
	    change.type == RAFT_PROMOTE	    ? "promotes" :
					      "removes",
	    (unsigned long long)change.member.id);
}

/*
 * Lets the plan run again, which also repeats a change that failed.
 */
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

/*
 * Encodes the reply to a request to join.
 */
static int
answer_join(struct control *c, wire_status status, struct buf *out)
{
	struct wire_member list[WIRE_MEMBERS_MAX];
	struct wire_join_reply r = {
	    .status = status, .stamp = make_message_stamp(c)};
	struct raft_members m = {0};
	struct replica_status st;

	(void)get_replication_status(c, &st);
	(void)get_replication_members(c, &m);
	r.leader = st.leader;
	r.members.members_len = list_members(&m, list);
	r.members.members_val = list;
	return encode_wire((xdrproc_t)xdr_wire_join_reply, &r, out);
}

/*
 * Fills out with the members for a message and returns their number. Addresses
 * are borrowed from m.
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
 * Marks the peers that are members of the group. The entry of any other peer
 * may be reused for a new one.
 */
void
mark_member_peers(struct control *c, const struct raft_members *m)
{
	pthread_mutex_lock(&c->peers_lock);
	for (size_t i = 0; i < c->peer_count; i++)
		c->peers[i].member = is_member(m, c->peers[i].id);
	pthread_mutex_unlock(&c->peers_lock);
}

static bool
is_member(const struct raft_members *m, uint64_t id)
{
	return find_raft_member(m, id) != NULL;
}
