/*
 * The start of a voter whose data folder is empty. Such a process may be new,
 * or it may have lost its disk and with it its votes and acknowledged entries.
 * It asks the other processes which of both holds before its replica starts.
 */
#include <stdlib.h>

#include "log.h"
#include "service.h"

#define ASK_NS (200 * NSEC_PER_MSEC) /* between questions to the peers */

/* A question that waits until the membership is confirmed. */
struct group_call {
	struct control *control;
	struct rpc_reply *reply;
	uint64_t sender;
};

static int start_joining(struct control *c, struct fault *f);
static void ask_peers(struct control *c, int64_t now);
static void finish_ask(void *arg, const struct rpc_result *r);
static void judge_reply(
    struct control *c, uint64_t peer, const struct wire_group_reply *r);
static void refuse_start(struct control *c, uint64_t peer);
static bool is_start_safe(struct control *c);
static void start_empty(struct control *c);
static void note_seen(struct control *c, uint64_t id);
static bool is_seen(const struct founding *s, uint64_t id);
static void answer_confirmed(void *arg, int status, uint64_t index);
static void answer_group(
    struct control *c, struct rpc_reply *reply, int status, uint64_t sender);

/*
 * Starts the replica at once when it has data, or when this process is the
 * only founder. Otherwise the service thread starts it after the peers have
 * answered.
 */
int
open_founding(struct control *c, struct fault *f)
{
	struct raft_members founders = {0};
	struct founding *s = &c->founding;
	int rc;

	s->founder = find_founders(c, &founders);
	rc = start_replication(c, !s->founder || founders.count > 1, f);
	if (rc != ERR_NOT_FOUND)
		return rc;
	if (c->cfg.auto_members && !s->founder)
		return start_joining(c, f);
	s->pending = true;
	record_event(c->cfg.events, "founding", c->cfg.zone, 0,
	    "the data folder is empty; asking %zu processes for a group",
	    c->peer_count);
	write_log(LOG_LEVEL_NOTICE,
	    "the data folder is empty; asking the other processes whether a "
	    "group exists");
	return 0;
}

/*
 * Starts a replica without members, which the leader of a group adds. An id
 * whose log is gone may have voted, so it is given up.
 */
static int
start_joining(struct control *c, struct fault *f)
{
	int rc = c->membership.restarted ? choose_identity(c, f) : 0;

	return rc == 0 ? start_replication(c, false, f) : rc;
}

/*
 * Asks until the replica may start or the start is refused.
 */
void
run_founding(struct control *c, int64_t now)
{
	struct founding *s = &c->founding;
	bool start = false;

	pthread_mutex_lock(&c->lock);
	if (s->pending && !s->failed && !c->stopping) {
		start = is_start_safe(c);
		if (!start && now >= s->ask_ns)
			ask_peers(c, now);
	}
	pthread_mutex_unlock(&c->lock);
	if (start)
		start_empty(c);
}

/*
 * A consensus message that arrives before the replica started comes from a
 * group. A founder that has not seen its sender without one is too late to
 * found; this also tells one whose --peers are all gone.
 */
void
note_group_message(struct control *c, uint64_t from)
{
	struct founding *s = &c->founding;

	pthread_mutex_lock(&c->lock);
	if (s->pending && !s->failed && s->founder && !is_seen(s, from))
		refuse_start(c, from);
	pthread_mutex_unlock(&c->lock);
}

/*
 * Answers whether this process is in a group. A question of a founder notes
 * that the sender is in none: once it has founded one, this process knows that
 * both belong to the same start. A process that joins needs to know that it is
 * no voter, which only a confirmed membership tells.
 */
void
handle_group(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_group_args a = {0};
	struct group_call *call;
	int rc = decode_wire((xdrproc_t)xdr_wire_group_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message(c, &a.stamp);
	if (a.founder) {
		pthread_mutex_lock(&c->lock);
		if (c->founding.pending)
			note_seen(c, a.sender);
		pthread_mutex_unlock(&c->lock);
		answer_group(c, reply, 0, a.sender);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (call == NULL) {
		complete_rpc(reply, ERR_LIMIT, make_str(""));
		return;
	}
	*call = (struct group_call){c, reply, a.sender};
	rc = ERR_UNAVAILABLE;
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		rc = read_replica(
		    c->replica, SERVICE_READ_MS, answer_confirmed, call);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		answer_confirmed(call, rc, 0);
}

static void
ask_peers(struct control *c, int64_t now)
{
	struct wire_group_args a = {
	    .stamp = stamp_message(c),
	    .sender = c->id,
	    .founder = c->founding.founder,
	};
	struct buf b = {0};

	c->founding.ask_ns = now + ASK_NS;
	if (encode_wire((xdrproc_t)xdr_wire_group_args, &a, &b) == 0) {
		for (size_t i = 0; i < c->peer_count; i++)
			(void)call_rpc(c->peers[i].rpc, GGS_GROUP, view_buf(&b),
			    SERVICE_SYNC_MS, finish_ask, &c->peers[i]);
	}
	unload_buf(&b);
}

static void
finish_ask(void *arg, const struct rpc_result *r)
{
	struct wire_group_reply reply = {0};
	struct peer *p = arg;
	struct control *c = p->control;

	if (r->status != 0 ||
	    decode_wire((xdrproc_t)xdr_wire_group_reply, r->body, &reply) != 0)
		return;
	merge_message(c, &reply.stamp);
	if (reply.status == WIRE_OK) {
		pthread_mutex_lock(&c->lock);
		if (c->founding.pending && !c->founding.failed)
			judge_reply(c, p->id, &reply);
		pthread_cond_broadcast(&c->wake);
		pthread_mutex_unlock(&c->lock);
	}
	unload_wire((xdrproc_t)xdr_wire_group_reply, &reply);
}

/*
 * A founder that was seen without a group during the life of this process has
 * founded it in the same start, with this process as a member that has not
 * voted yet. Any other group is older than this process.
 */
static void
judge_reply(struct control *c, uint64_t peer, const struct wire_group_reply *r)
{
	struct founding *s = &c->founding;

	if (s->founder && !r->exists)
		note_seen(c, peer);
	else if (s->founder && !is_seen(s, peer))
		refuse_start(c, peer);
	else if (!s->founder && r->exists && r->voter)
		refuse_start(c, peer);
	else if (!s->founder && r->exists)
		s->joins = true;
}

static void
refuse_start(struct control *c, uint64_t peer)
{
	struct founding *s = &c->founding;

	s->failed = true;
	(void)set_fault(&s->fault, ERR_CONFLICT,
	    "the data folder is empty, but process %llu is in a group that "
	    "knows process %llu as a voter; its votes are lost, so start it "
	    "under a new id that --peers does not list, then 'member add', "
	    "'promote' the new id and 'remove' %llu with greengagespurctl",
	    (unsigned long long)peer, (unsigned long long)c->id,
	    (unsigned long long)c->id);
	record_event(c->cfg.events, "refused", c->cfg.zone, 0,
	    "process %llu is in a group", (unsigned long long)peer);
}

/*
 * A founder starts when it has seen all the others without a group, so that
 * none of them can hold an older one.
 */
static bool
is_start_safe(struct control *c)
{
	struct raft_members founders = {0};

	if (!c->founding.founder)
		return c->founding.joins;
	(void)find_founders(c, &founders);
	for (size_t i = 0; i < founders.count; i++) {
		if (founders.member[i].id != c->id &&
		    !is_seen(&c->founding, founders.member[i].id))
			return false;
	}
	return true;
}

static void
start_empty(struct control *c)
{
	struct fault f = {0};
	int rc = start_replication(c, false, &f);

	pthread_mutex_lock(&c->lock);
	c->founding.pending = false;
	c->founding.failed = rc != 0;
	c->founding.fault = f;
	pthread_mutex_unlock(&c->lock);
	record_event(c->cfg.events, "founded", c->cfg.zone, 0, "%s",
	    c->founding.founder ? "founds the group" : "joins the group");
}

static void
note_seen(struct control *c, uint64_t id)
{
	struct founding *s = &c->founding;

	if (!is_seen(s, id) && s->seen_count < CONTROL_PEER_MAX)
		s->seen[s->seen_count++] = id;
}

static bool
is_seen(const struct founding *s, uint64_t id)
{
	for (size_t i = 0; i < s->seen_count; i++) {
		if (s->seen[i] == id)
			return true;
	}
	return false;
}

static void
answer_confirmed(void *arg, int status, uint64_t index)
{
	struct group_call *call = arg;

	(void)index;
	answer_group(call->control, call->reply, status, call->sender);
	free(call);
}

static void
answer_group(
    struct control *c, struct rpc_reply *reply, int status, uint64_t sender)
{
	struct wire_group_reply r = {
	    .status = status == 0 && !is_relay(c) ? WIRE_OK : WIRE_UNAVAILABLE,
	    .stamp = stamp_message(c),
	};
	struct raft_members m = {0};
	struct buf b = {0};
	int rc;

	(void)get_replication_members(c, &m);
	r.exists = m.count > 0;
	for (size_t i = 0; i < m.count; i++) {
		if (m.member[i].id == sender)
			r.voter = m.member[i].voter;
	}
	rc = encode_wire((xdrproc_t)xdr_wire_group_reply, &r, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
}
