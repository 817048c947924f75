/*
 * Start of a voter. While its disk refuses operations, the process runs without
 * a replica and tries again, so that its other work goes on and the platform
 * counts no end.
 *
 * The data folder may be empty. Such a process is either new or has lost its
 * disk, and with it its votes and acknowledged log entries. It must not vote
 * under its old id then, so it asks the other processes for an existing group
 * before its replica starts.
 */
#include <stdlib.h>

#include "identity.h"
#include "log.h"
#include "service.h"

#define QUERY_INTERVAL_NS (200 * NSEC_PER_MSEC) /* between group queries */
#define DAMAGED_TIMEOUT_MS 1000 /* of a query of a process with damaged data */
/* Between tries to open the data folder; doubles up to the second one. */
#define OPEN_DELAY_NS (250 * NSEC_PER_MSEC)
#define OPEN_DELAY_MAX_NS NSEC_PER_SEC

/* A group query whose reply waits for a confirmed read of the membership. */
struct group_query {
	struct control *control;
	struct rpc_reply *reply;
	uint64_t sender;
};

static int open_storage(struct control *c, struct fault *f);
static void retry_open(struct control *c, int64_t now);
static void delay_open(struct control *c, int64_t now);
static int check_identity(struct control *c, struct fault *f);
static void begin_replacement(struct control *c, const struct fault *f);
static void check_replica_data(struct control *c);
static void run_replacement(struct control *c, int64_t now);
static void finish_group_query(void *arg, const struct rpc_result *r);
static int start_joining(struct control *c, struct fault *f);
static void query_peers(struct control *c, int64_t now);
static void finish_query(void *arg, const struct rpc_result *r);
static void evaluate_reply(
    struct control *c, uint64_t peer, const struct wire_group_reply *r);
static void refuse_start(struct control *c, uint64_t peer);
static bool is_start_safe(struct control *c);
static void start_empty(struct control *c);
static void add_seen(struct control *c, uint64_t id);
static bool is_seen(const struct bootstrap *s, uint64_t id);
static void answer_confirmed(void *arg, int status, uint64_t index);
static void answer_group(
    struct control *c, struct rpc_reply *reply, int status, uint64_t sender);

/*
 * Opens the data folder; while its disk refuses that, the service thread tries
 * again.
 */
int
open_bootstrap(struct control *c, struct fault *f)
{
	int rc = open_storage(c, f);

	if (rc != ERR_IO)
		return rc;
	delay_open(c, read_mono(&c->cfg.clock));
	WRITE_EVENT(
	    LOG_LEVEL_ERR, "storage.waiting", LOG_TEXT("reason", f->text));
	return 0;
}

/*
 * Starts the replica at once if it has data or this process is the only initial
 * voter; a process that joins by automatic membership starts empty. Otherwise
 * the service thread starts the replica after the peers have replied. The id is
 * stored anew first, since the sync of an earlier process may have failed.
 */
static int
open_storage(struct control *c, struct fault *f)
{
	struct raft_members initial_voters = {0};
	struct bootstrap *s = &c->bootstrap;
	int rc = check_identity(c, f);

	if (rc == 0)
		rc = store_identity(c, f);
	if (rc == 0) {
		s->founder = find_initial_voters(c, &initial_voters);
		rc = start_replication(
		    c, !s->founder || initial_voters.count > 1, f);
	}
	if (rc == 0)
		discard_initial_voters(c);
	if (rc != 0 && is_replaceable(c, f)) {
		begin_replacement(c, f);
		return 0;
	}
	if (rc != ERR_NOT_FOUND || c->membership.id_error != 0)
		return rc;
	if (c->cfg.auto_members && !s->founder)
		return start_joining(c, f);
	pthread_mutex_lock(&c->lock);
	s->pending = true;
	pthread_mutex_unlock(&c->lock);
	record_event(c->cfg.events, "founding", c->cfg.zone, 0,
	    "the data folder is empty; asking %zu processes for a group",
	    c->peer_count);
	write_log(LOG_LEVEL_NOTICE,
	    "the data folder is empty; asking the other processes whether a "
	    "group exists");
	return 0;
}

/*
 * Returns 0, ERR_CORRUPT when the stored id is damaged, or ERR_IO while it
 * cannot be read. Once it can, other threads use the temporary one, so only a
 * new process can take it: ERR_NOT_FOUND.
 */
static int
check_identity(struct control *c, struct fault *f)
{
	struct voter_list list;
	uint64_t id = 0;
	int rc;

	if (c->membership.id_error == 0)
		return 0;
	rc = load_identity(c->cfg.data_dir, &id, f);
	if (rc != ERR_IO && rc != ERR_CORRUPT &&
	    load_voter_list(c->cfg.data_dir, &list, f) == ERR_IO)
		rc = ERR_IO;
	if (rc == ERR_IO || rc == ERR_CORRUPT)
		return rc;
	return set_fault(f, ERR_NOT_FOUND,
	    "the id of this process can be read again; the process has to "
	    "start again, to use it");
}

/*
 * The data cannot be used. It is left as it is until a group is known to have a
 * quorum without this process, which does not vote meanwhile: if more members
 * have lost their data than the group bears, an operator may need these files.
 */
static void
begin_replacement(struct control *c, const struct fault *f)
{
	struct bootstrap *s = &c->bootstrap;

	WRITE_EVENT(LOG_LEVEL_ERR, "storage.damaged", LOG_INT("member", c->id),
	    LOG_TEXT("reason", f->text));
	pthread_mutex_lock(&c->lock);
	s->damaged = true;
	s->damage = *f;
	pthread_mutex_unlock(&c->lock);
}

/*
 * Tells whether a process that cannot go on for this reason joins as a new
 * member: its data is damaged, or its id and its log are those of two members.
 */
bool
is_replaceable(const struct control *c, const struct fault *f)
{
	return c->cfg.auto_members &&
	       (f->kind == ERR_CORRUPT || f->kind == ERR_INVALID);
}

/*
 * The data may also be damaged when a disk works again, without a restart.
 */
static void
check_replica_data(struct control *c)
{
	struct fault f = {0};
	bool damaged = false;

	if (c->bootstrap.damaged)
		return;
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		damaged = is_replica_unrecoverable(c->replica, &f) &&
			  is_replaceable(c, &f);
	pthread_rwlock_unlock(&c->replica_guard);
	if (damaged)
		begin_replacement(c, &f);
}

/*
 * Asks the known processes in turn for a group that confirms a read. Then sets
 * the files aside and ends the process; the next one joins under a new id.
 */
static void
run_replacement(struct control *c, int64_t now)
{
	struct wire_group_args a = {
	    .stamp = make_message_stamp(c),
	    .sender = c->id,
	};
	struct bootstrap *s = &c->bootstrap;
	struct rpc_peer *target;
	struct fault f = {0};
	struct buf b = {0};
	bool may_replace;

	if (!s->damaged || s->failed || now < s->next_query_ns)
		return;
	s->next_query_ns = now + QUERY_INTERVAL_NS;
	pthread_mutex_lock(&c->lock);
	may_replace = s->may_replace;
	pthread_mutex_unlock(&c->lock);
	if (may_replace && set_data_aside(c->cfg.data_dir, &f) == 0) {
		pthread_mutex_lock(&c->lock);
		s->failed = true;
		(void)set_fault(&s->fault, ERR_CORRUPT,
		    "%s; the files are kept as damaged.*, and the process has "
		    "to start again, to join under a new id",
		    s->damage.text);
		pthread_mutex_unlock(&c->lock);
		return;
	}
	target = choose_target(c);
	if (target != NULL &&
	    encode_wire((xdrproc_t)xdr_wire_group_args, &a, &b) == 0)
		(void)call_rpc(target, GGS_GROUP, view_buf(&b),
		    DAMAGED_TIMEOUT_MS, finish_group_query, c);
	unload_buf(&b);
}

/*
 * A reply without an error comes after a read that a quorum has confirmed.
 */
static void
finish_group_query(void *arg, const struct rpc_result *r)
{
	struct wire_group_reply reply = {0};
	struct control *c = arg;

	if (r->status != 0 ||
	    decode_wire((xdrproc_t)xdr_wire_group_reply, r->body, &reply) != 0)
		return;
	merge_message_stamp(c, &reply.stamp);
	if (reply.status == WIRE_OK && reply.exists) {
		pthread_mutex_lock(&c->lock);
		c->bootstrap.may_replace = true;
		pthread_mutex_unlock(&c->lock);
	}
	unload_wire((xdrproc_t)xdr_wire_group_reply, &reply);
}

/*
 * Tries to open the data folder again when that is due. Another error than
 * ERR_IO ends the process. Runs on the service thread.
 */
static void
retry_open(struct control *c, int64_t now)
{
	struct bootstrap *s = &c->bootstrap;
	struct fault f = {0};
	int rc;

	if (!s->waits_for_disk || now < s->next_open_ns)
		return;
	check_resumption(c);
	rc = open_storage(c, &f);
	if (rc == ERR_IO) {
		delay_open(c, now);
		return;
	}
	if (rc == 0 && !s->damaged)
		WRITE_EVENT(LOG_LEVEL_NOTICE, "storage.opened",
		    LOG_INT("member", c->id));
	pthread_mutex_lock(&c->lock);
	s->waits_for_disk = false;
	s->failed = rc != 0;
	s->fault = f;
	pthread_mutex_unlock(&c->lock);
}

static void
delay_open(struct control *c, int64_t now)
{
	struct bootstrap *s = &c->bootstrap;

	s->open_delay_ns =
	    s->open_delay_ns == 0 ? OPEN_DELAY_NS : 2 * s->open_delay_ns;
	if (s->open_delay_ns > OPEN_DELAY_MAX_NS)
		s->open_delay_ns = OPEN_DELAY_MAX_NS;
	s->next_open_ns = now + s->open_delay_ns;
	pthread_mutex_lock(&c->lock);
	s->waits_for_disk = true;
	pthread_mutex_unlock(&c->lock);
}

/*
 * Starts a replica without members; the leader of a group adds it. If the log
 * of a stored id is missing, the id may have voted, so a new one is chosen;
 * once other threads use the id, only a new process can do that.
 */
static int
start_joining(struct control *c, struct fault *f)
{
	int rc = 0;

	if (c->membership.id_loaded && c->thread_started)
		return set_fault(f, ERR_NOT_FOUND,
		    "the log of member %llu is missing; the process has to "
		    "start again, to join under a new id",
		    (unsigned long long)c->id);
	if (c->membership.id_loaded) {
		choose_identity(c);
		rc = store_identity(c, f);
	}
	return rc == 0 ? start_replication(c, false, f) : rc;
}

/*
 * Opens a data folder whose disk has refused it when that is due. With an empty
 * one, queries the peers every QUERY_INTERVAL_NS until the replica may start or
 * the start is refused. Runs on the service thread.
 */
void
run_bootstrap(struct control *c, int64_t now)
{
	struct bootstrap *s = &c->bootstrap;
	bool start = false;

	retry_open(c, now);
	check_replica_data(c);
	run_replacement(c, now);
	pthread_mutex_lock(&c->lock);
	if (s->pending && !s->failed && !c->stopping) {
		start = is_start_safe(c);
		if (!start && now >= s->next_query_ns)
			query_peers(c, now);
	}
	pthread_mutex_unlock(&c->lock);
	if (start)
		start_empty(c);
}

/*
 * Handles a consensus message that arrives before the replica has started: its
 * sender is in a group. If an initial voter has not seen the sender without a
 * group, that group is older and the start is refused. This also detects the
 * case that no process of --peers exists any more.
 */
void
handle_group_message(struct control *c, uint64_t from)
{
	struct bootstrap *s = &c->bootstrap;

	pthread_mutex_lock(&c->lock);
	if (s->pending && !s->failed && s->founder && !is_seen(s, from) &&
	    !c->membership.resumes)
		refuse_start(c, from);
	pthread_mutex_unlock(&c->lock);
}

/*
 * Replies whether this process is in a group. A query of an initial voter shows
 * that the sender has no group yet; if it reports one later, the group was
 * bootstrapped in the same start. The query of a joining process asks whether
 * it is a voter, so its reply waits for a confirmed read.
 */
void
handle_group(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_group_args a = {0};
	struct group_query *query;
	int rc = decode_wire((xdrproc_t)xdr_wire_group_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &a.stamp);
	if (a.founder) {
		pthread_mutex_lock(&c->lock);
		if (c->bootstrap.pending || c->bootstrap.waits_for_disk)
			add_seen(c, a.sender);
		pthread_mutex_unlock(&c->lock);
		answer_group(c, reply, 0, a.sender);
		return;
	}
	query = calloc(1, sizeof(*query));
	if (query == NULL) {
		complete_rpc(reply, ERR_LIMIT, make_str(""));
		return;
	}
	*query = (struct group_query){c, reply, a.sender};
	rc = ERR_UNAVAILABLE;
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		rc = request_replica_read(c->replica, SERVICE_READ_TIMEOUT_MS,
		    answer_confirmed, query);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		answer_confirmed(query, rc, 0);
}

/*
 * Sends a GROUP request to every peer. Lock held.
 */
static void
query_peers(struct control *c, int64_t now)
{
	struct wire_group_args a = {
	    .stamp = make_message_stamp(c),
	    .sender = c->id,
	    .founder = c->bootstrap.founder,
	};
	struct buf b = {0};

	c->bootstrap.next_query_ns = now + QUERY_INTERVAL_NS;
	if (encode_wire((xdrproc_t)xdr_wire_group_args, &a, &b) == 0) {
		for (size_t i = 0; i < c->peer_count; i++)
			(void)call_rpc(c->peers[i].rpc, GGS_GROUP, view_buf(&b),
			    SERVICE_SYNC_TIMEOUT_MS, finish_query,
			    &c->peers[i]);
	}
	unload_buf(&b);
}

/*
 * Evaluates the reply of a peer unless the start is already decided. A peer
 * that fails to reply is queried again by run_bootstrap().
 */
static void
finish_query(void *arg, const struct rpc_result *r)
{
	struct wire_group_reply reply = {0};
	struct peer *p = arg;
	struct control *c = p->control;

	if (r->status != 0 ||
	    decode_wire((xdrproc_t)xdr_wire_group_reply, r->body, &reply) != 0)
		return;
	merge_message_stamp(c, &reply.stamp);
	if (reply.status == WIRE_OK) {
		pthread_mutex_lock(&c->lock);
		if (c->bootstrap.pending && !c->bootstrap.failed)
			evaluate_reply(c, p->id, &reply);
		pthread_cond_broadcast(&c->wake);
		pthread_mutex_unlock(&c->lock);
	}
	unload_wire((xdrproc_t)xdr_wire_group_reply, &reply);
}

/*
 * An initial voter that was seen without a group since this process started and
 * now has one bootstrapped it in the same start, with this process as a member
 * that has not voted yet. Any other group is older than this process, which
 * then refuses to start, unless the data folder shows that it is this group that
 * an earlier process was about to bootstrap, and that its disk was not lost. A
 * joining process must not be a voter of the group.
 */
static void
evaluate_reply(
    struct control *c, uint64_t peer, const struct wire_group_reply *r)
{
	struct bootstrap *s = &c->bootstrap;

	if (s->founder && !r->exists)
		add_seen(c, peer);
	else if (s->founder && c->membership.resumes)
		add_seen(c, peer);
	else if (s->founder && !is_seen(s, peer))
		refuse_start(c, peer);
	else if (!s->founder && r->exists && r->voter)
		refuse_start(c, peer);
	else if (!s->founder && r->exists)
		s->may_join = true;
}

/*
 * Stores the fault with which the control process ends. Lock held.
 */
static void
refuse_start(struct control *c, uint64_t peer)
{
	struct bootstrap *s = &c->bootstrap;

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
 * An initial voter may start after it has seen all the others without a group,
 * which excludes an older one. A joining process may start once a group has
 * confirmed that it is no voter. Lock held.
 */
static bool
is_start_safe(struct control *c)
{
	struct raft_members initial_voters = {0};

	if (!c->bootstrap.founder)
		return c->bootstrap.may_join;
	(void)find_initial_voters(c, &initial_voters);
	for (size_t i = 0; i < initial_voters.count; i++) {
		if (initial_voters.member[i].id != c->id &&
		    !is_seen(&c->bootstrap, initial_voters.member[i].id))
			return false;
	}
	return true;
}

/*
 * Starts the replica with an empty log. Takes the lock.
 */
static void
start_empty(struct control *c)
{
	struct fault f = {0};
	int rc = start_replication(c, false, &f);

	if (rc == 0)
		discard_initial_voters(c);
	pthread_mutex_lock(&c->lock);
	c->bootstrap.pending = false;
	c->bootstrap.failed = rc != 0;
	c->bootstrap.fault = f;
	pthread_mutex_unlock(&c->lock);
	record_event(c->cfg.events, "founded", c->cfg.zone, 0, "%s",
	    c->bootstrap.founder ? "founds the group" : "joins the group");
}

static void
add_seen(struct control *c, uint64_t id)
{
	struct bootstrap *s = &c->bootstrap;

	if (!is_seen(s, id) && s->seen_count < CONTROL_PEER_MAX)
		s->seen[s->seen_count++] = id;
}

static bool
is_seen(const struct bootstrap *s, uint64_t id)
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
	struct group_query *query = arg;

	(void)index;
	answer_group(query->control, query->reply, status, query->sender);
	free(query);
}

/*
 * Sends the reply to a group query. A relay, or a failed read, gives
 * WIRE_UNAVAILABLE.
 */
static void
answer_group(
    struct control *c, struct rpc_reply *reply, int status, uint64_t sender)
{
	struct wire_group_reply r = {
	    .status = status == 0 && !is_relay(c) ? WIRE_OK : WIRE_UNAVAILABLE,
	    .stamp = make_message_stamp(c),
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
