/*
 * The replica of a voter, with its state machine and transport, and the rounds
 * of confirmed reads.
 */
#include <stdlib.h>
#include <string.h>

#include "identity.h"
#include "log.h"
#include "service.h"

/* A READ_INDEX call that waits for its confirmation. */
struct pending_read_call {
	struct rpc_reply *reply;
	struct control *control;
};

static bool list_seed_voters(struct control *c, struct raft_members *out);
static void apply_entry(void *arg, uint64_t index, struct replica_stamp at,
    struct str bytes, struct buf *result);
static int save_state_machine(void *arg, struct buf *out);
static int load_state_machine(void *arg, uint64_t index, struct str data);
static void clear_state_machine(void *arg);
static int64_t get_state_machine_time(void *arg);
static void send_raft(
    void *arg, uint64_t to, const struct wire_raft_message *m);
static void update_members(void *arg, const struct raft_members *m);
static void ignore_reply(void *arg, const struct rpc_result *r);
static void handle_read_round_result(void *arg, int status, uint64_t index);
static int64_t get_elapsed_ns(
    const struct timespec *from, const struct timespec *to);
static void answer_read(void *arg, int status, uint64_t index);
static void report_torn_records(struct control *c);
static void publish_version(struct control *c, uint64_t before);

/*
 * Starts the replica of a voter. With an empty data folder it returns
 * ERR_NOT_FOUND if need_data is set; otherwise an initial voter bootstraps the
 * group, and any other process joins when the group adds it.
 */
int
start_replication(struct control *c, bool need_data, struct fault *f)
{
	struct raft_members initial_voters = {0};
	struct replica_config r = {
	    .need_data = need_data,
	    .clock = c->cfg.clock,
	    .id = c->id,
	    .data_dir = c->cfg.data_dir,
	    .machine = {apply_entry, save_state_machine, load_state_machine,
		clear_state_machine, get_state_machine_time, c},
	    .transport = {send_raft, update_members, c},
	    .seed = c->cfg.seed,
	};
	struct replica *started = NULL;
	int rc;

	if (find_initial_voters(c, &initial_voters))
		r.bootstrap = &initial_voters;
	rc = start_replica(&r, &started, f);
	if (rc != 0)
		return rc;
	pthread_rwlock_wrlock(&c->replica_guard);
	c->replica = started;
	pthread_rwlock_unlock(&c->replica_guard);
	report_torn_records(c);
	return 0;
}

/*
 * Stops the replica, if any, which fails its pending calls.
 */
void
stop_replication(struct control *c)
{
	struct replica *r;

	pthread_rwlock_wrlock(&c->replica_guard);
	r = c->replica;
	c->replica = NULL;
	pthread_rwlock_unlock(&c->replica_guard);
	if (r != NULL)
		stop_replica(r);
}

bool
get_replication_status(struct control *c, struct replica_status *out)
{
	bool present;

	memset(out, 0, sizeof(*out));
	out->contact_ns = -1;
	pthread_rwlock_rdlock(&c->replica_guard);
	present = c->replica != NULL;
	if (present)
		*out = get_replica_status(c->replica);
	pthread_rwlock_unlock(&c->replica_guard);
	return present;
}

int
get_replication_members(struct control *c, struct raft_members *out)
{
	int rc = ERR_UNAVAILABLE;

	out->count = 0;
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL) {
		get_replica_members(c->replica, out);
		rc = 0;
	}
	pthread_rwlock_unlock(&c->replica_guard);
	return rc;
}

/*
 * Proposes a command to the local replica. fn runs once unless an error is
 * returned; ERR_UNAVAILABLE without a replica.
 */
int
propose_locally(struct control *c, struct str bytes, int timeout_ms,
    replica_propose_fn fn, void *arg)
{
	int rc = ERR_UNAVAILABLE;

	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		rc = propose_replica(c->replica, bytes, timeout_ms, fn, arg);
	pthread_rwlock_unlock(&c->replica_guard);
	return rc;
}

/*
 * Handles a consensus message, which gets an empty reply. Before the replica
 * has started it only shows that a group exists.
 */
void
handle_raft_step(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_raft_message m = {0};
	int rc = decode_wire((xdrproc_t)xdr_wire_raft_message, q->args, &m);
	bool present;

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	pthread_rwlock_rdlock(&c->replica_guard);
	present = c->replica != NULL;
	if (present)
		(void)step_replica(c->replica, &m);
	pthread_rwlock_unlock(&c->replica_guard);
	if (!present)
		handle_group_message(c, m.from);
	unload_wire((xdrproc_t)xdr_wire_raft_message, &m);
	complete_rpc(reply, 0, make_str(""));
}

/*
 * Replies with a read index that a quorum has confirmed, or UNAVAILABLE: at once
 * without a quorum, otherwise after SERVICE_READ_TIMEOUT_MS.
 */
void
handle_read_index(struct control *c, struct rpc_reply *reply)
{
	struct pending_read_call *call = calloc(1, sizeof(*call));
	bool lost = is_quorum_lost(c);
	int rc = ERR_UNAVAILABLE;

	if (call == NULL) {
		complete_rpc(reply, ERR_LIMIT, make_str(""));
		return;
	}
	*call = (struct pending_read_call){reply, c};
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL && !lost)
		rc = request_replica_read(
		    c->replica, SERVICE_READ_TIMEOUT_MS, answer_read, call);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		answer_read(call, rc, 0);
}

/*
 * Returns the round that confirms a read requested now: the next one to start,
 * since the round in progress may have begun before the request.
 */
uint64_t
get_next_read_round(struct control *c)
{
	return c->reads.started + 1;
}

/*
 * Starts the next round unless one is in progress. A relay confirms it by a
 * PULL, a voter by its replica.
 */
void
begin_read_round(struct control *c)
{
	int rc = ERR_UNAVAILABLE;

	if (c->reads.in_flight || c->stopping)
		return;
	c->reads.started++;
	c->reads.in_flight = true;
	if (is_relay(c)) {
		if (!start_confirmed_pull(c))
			finish_read_round(c, false);
		return;
	}
	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		rc = request_replica_read(c->replica, SERVICE_READ_TIMEOUT_MS,
		    handle_read_round_result, c);
	pthread_rwlock_unlock(&c->replica_guard);
	if (rc != 0)
		finish_read_round(c, false);
}

/*
 * Ends the round in progress and wakes those who wait for it.
 */
void
finish_read_round(struct control *c, bool confirmed)
{
	if (confirmed)
		c->reads.confirmed = c->reads.started;
	else
		c->reads.failed = c->reads.started;
	c->reads.in_flight = false;
	pthread_cond_broadcast(&c->wake);
}

/*
 * Empties the state, which the replica builds again from its log. Reads that
 * were confirmed before do not hold for it. The lock is held.
 */
void
reset_control_state(struct control *c)
{
	reset_state(c->state);
	c->reads.confirmed = 0;
	c->reads.failed = c->reads.started;
	pthread_cond_broadcast(&c->wake);
}

/*
 * Waits until a read requested now is confirmed, and returns 0 with the lock
 * held, so that nothing can happen to the state before it is read. Returns
 * ERR_UNAVAILABLE, without the lock, when its round fails, as soon as the
 * quorum is known to be lost, or after timeout_ms.
 */
int
lock_confirmed_state(struct control *c, int timeout_ms)
{
	struct timespec start, step;
	uint64_t round;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &start);
	pthread_mutex_lock(&c->lock);
	round = get_next_read_round(c);
	while (rc == 0 && c->reads.confirmed < round) {
		clock_gettime(CLOCK_MONOTONIC, &step);
		if (is_quorum_lost(c)) {
			count_metric(c->metrics.no_quorum, 1);
			rc = ERR_UNAVAILABLE;
			break;
		}
		if (c->stopping || c->reads.failed >= round ||
		    get_elapsed_ns(&start, &step) >=
			timeout_ms * NSEC_PER_MSEC) {
			rc = ERR_UNAVAILABLE;
			break;
		}
		begin_read_round(c);
		if (c->reads.confirmed >= round || c->reads.failed >= round)
			continue;
		step.tv_nsec += SERVICE_WAIT_STEP_NS;
		if (step.tv_nsec >= NSEC_PER_SEC) {
			step.tv_nsec -= NSEC_PER_SEC;
			step.tv_sec++;
		}
		(void)pthread_cond_timedwait(&c->wake, &c->lock, &step);
	}
	if (rc != 0)
		pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * Lists the initial voters, which bootstrap the group; false when this process
 * is not among them.
 */
bool
find_initial_voters(struct control *c, struct raft_members *out)
{
	bool found = false;

	if (c->cfg.auto_members)
		return list_seed_voters(c, out);

	for (size_t i = 0; i < c->cfg.peer_count; i++) {
		struct raft_member *m = &out->member[out->count];
		char *end;

		m->id = strtoull(c->cfg.peers[i], &end, 10);
		m->voter = true;
		(void)copy_str(
		    m->address, sizeof(m->address), make_str(end + 1));
		out->count++;
		if (m->id == c->id)
			found = true;
	}
	return found;
}

/*
 * Lists the seeds of the first start of a fleet, which bootstrap the group;
 * false when this process does not bootstrap.
 */
static bool
list_seed_voters(struct control *c, struct raft_members *out)
{
	const struct voter_list *list = &c->membership.initial;

	if (!c->membership.bootstraps)
		return false;
	for (size_t i = 0; i < list->count; i++) {
		struct raft_member *m = &out->member[out->count++];

		m->id = derive_identity(list->address[i]);
		m->voter = true;
		(void)copy_str(
		    m->address, sizeof(m->address), make_str(list->address[i]));
	}
	return true;
}

/*
 * Applies a committed command and appends its result. Runs on the replica's
 * thread.
 */
static void
apply_entry(void *arg, uint64_t index, struct replica_stamp at,
    struct str bytes, struct buf *result)
{
	struct control *c = arg;
	uint64_t before;

	(void)index;
	pthread_mutex_lock(&c->lock);
	before = c->state->table->version;
	apply_state(c->state, at.log_ns, at.wall_ns, bytes, result);
	publish_version(c, before);
	publish_rollouts(c);
	pthread_mutex_unlock(&c->lock);
}

static int
save_state_machine(void *arg, struct buf *out)
{
	struct control *c = arg;
	int rc;

	pthread_mutex_lock(&c->lock);
	rc = save_state(c->state, out);
	pthread_mutex_unlock(&c->lock);
	return rc;
}

static int
load_state_machine(void *arg, uint64_t index, struct str data)
{
	struct control *c = arg;
	struct fault f = {0};
	uint64_t before;
	int rc;

	(void)index;
	pthread_mutex_lock(&c->lock);
	before = c->state->table->version;
	rc = load_state(c->state, data, &f);
	if (rc == 0) {
		publish_version(c, before);
		publish_rollouts(c);
	} else {
		reset_control_state(c);
		write_log(LOG_LEVEL_ERR, "%s", f.text);
	}
	pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * The replica applies its log again. Until it has, nodes get no table, since
 * this process has no contact to a quorum, and none that is older than theirs.
 */
static void
clear_state_machine(void *arg)
{
	struct control *c = arg;

	pthread_mutex_lock(&c->lock);
	reset_control_state(c);
	pthread_mutex_unlock(&c->lock);
}

/*
 * Returns the log time that the state machine has reached, in ns.
 */
static int64_t
get_state_machine_time(void *arg)
{
	struct control *c = arg;
	int64_t ns;

	pthread_mutex_lock(&c->lock);
	ns = c->state->log_ns;
	pthread_mutex_unlock(&c->lock);
	return ns;
}

/*
 * Sends a consensus message to a member. Lost messages are not reported: the
 * consensus sends again.
 */
static void
send_raft(void *arg, uint64_t to, const struct wire_raft_message *m)
{
	struct control *c = arg;
	struct peer *p = find_control_peer(c, to);
	struct buf b = {0};
	int rc;

	if (p == NULL)
		return;
	rc = encode_wire((xdrproc_t)xdr_wire_raft_message, m, &b);
	if (rc == 0)
		(void)call_rpc(p->rpc, GGS_RAFT_STEP, view_buf(&b),
		    SERVICE_STEP_TIMEOUT_MS, ignore_reply, NULL);
	else
		write_log(LOG_LEVEL_ERR,
		    "cannot encode a message of type %d to member %llu: %s",
		    (int)m->type, (unsigned long long)to, get_err_name(rc));
	unload_buf(&b);
}

static void
update_members(void *arg, const struct raft_members *m)
{
	struct control *c = arg;

	for (size_t i = 0; i < m->count; i++) {
		if (m->member[i].id != c->id)
			update_peer(c, m->member[i].id, m->member[i].address);
	}
	if (c->cfg.auto_members)
		mark_member_peers(c, m);
}

static void
ignore_reply(void *arg, const struct rpc_result *r)
{
	(void)arg;
	(void)r;
}

static void
handle_read_round_result(void *arg, int status, uint64_t index)
{
	struct control *c = arg;

	(void)index;
	pthread_mutex_lock(&c->lock);
	finish_read_round(c, status == 0);
	pthread_mutex_unlock(&c->lock);
}

static int64_t
get_elapsed_ns(const struct timespec *from, const struct timespec *to)
{
	return (int64_t)(to->tv_sec - from->tv_sec) * NSEC_PER_SEC +
	       to->tv_nsec - from->tv_nsec;
}

static void
answer_read(void *arg, int status, uint64_t index)
{
	struct pending_read_call *call = arg;
	struct wire_read_reply r = {
	    .status = status == 0 ? WIRE_OK : WIRE_UNAVAILABLE, .index = index};
	struct buf b = {0};
	int rc = encode_wire((xdrproc_t)xdr_wire_read_reply, &r, &b);

	complete_rpc(call->reply, rc, view_buf(&b));
	unload_buf(&b);
	free(call);
}

/*
 * Reports torn records that were cut from the end of the log; the other voters
 * send these entries again.
 */
static void
report_torn_records(struct control *c)
{
	struct replica_status st;

	(void)get_replication_status(c, &st);
	if (st.wal.torn_records == 0)
		return;
	write_log(LOG_LEVEL_WARNING,
	    "%llu torn records were cut from the end of the log in %s; the "
	    "other voters send the missing entries",
	    (unsigned long long)st.wal.torn_records, c->cfg.data_dir);
	record_event(c->cfg.events, "torn", c->cfg.zone, 0,
	    "%llu records cut off", (unsigned long long)st.wal.torn_records);
}

/*
 * Records the version in force if it differs from the one before, and wakes the
 * service thread to answer watches. The lock is held.
 */
static void
publish_version(struct control *c, uint64_t before)
{
	const struct stored_version *v;
	uint64_t now = c->state->table->version;

	if (now == before)
		return;
	v = find_version(&c->state->history, now);
	record_event(c->cfg.events, "version", v != NULL ? v->author : "", now,
	    "accepted, %u cells", v != NULL ? v->cell_count : 0);
	set_metric(c->metrics.version, (int64_t)now);
	record_version_time(&c->version_times, now, read_mono(&c->cfg.clock));
	pthread_cond_broadcast(&c->wake);
}
