/*
 * Submits commands to the leader. Every command may be sent again, because
 * edits carry an idempotency key and claims an id; so an attempt with an
 * unknown outcome is retried until the deadline of the command, and one that a
 * stalled leader holds is repeated at the next leader. Without a quorum,
 * commands end at once.
 */
#include <stdlib.h>
#include <string.h>

#include "service.h"

#define ATTEMPTS_MAX 4 /* of one command in flight, at different leaders */

/* A PROPOSE or CLAIM call that waits for the outcome of its command. */
struct pending_call {
	struct control *control;
	struct rpc_reply *reply;
};

static void run_submission(struct submission *s, int64_t now, bool lost);
static uint64_t find_other_leader(const struct submission *s);
static void try_submission(struct submission *s, int64_t now);
static bool answer_if_current(
    struct control *c, struct str bytes, struct buf *result);
static void forward_submission(struct submission *s, int remaining_ms);
static struct peer *choose_leader(struct control *c);
static void finish_proposal(
    void *arg, int status, uint64_t index, struct str result);
static void finish_forward(void *arg, const struct rpc_result *r);
static void handle_attempt_result(
    struct submission *s, int status, struct str result);
static int get_unfinished_status(const struct submission *s);
static bool unlink_submission(struct submission *s);
static void free_submission(struct submission *s);
static void answer_proposal(
    void *arg, int status, uint64_t index, struct str result);
static void send_proposal_reply(struct control *c, struct rpc_reply *reply,
    int status, uint64_t index, struct str result);
static void answer_claim(void *arg, int status, struct str result);
static void send_claim_reply(struct control *c, struct rpc_reply *reply,
    int status, const struct command_result *r);
static int encode_claim(const struct wire_claim_args *a, struct buf *out);

/*
 * Queues a copy of a command and makes the first attempt. Unless an error is
 * returned, fn runs exactly once: with status 0 and the encoded result,
 * ERR_INVALID, ERR_UNAVAILABLE (not applied) or ERR_UNKNOWN (may still be
 * applied). Returns ERR_LIMIT for a command that no log entry holds, and
 * ERR_UNAVAILABLE when the quorum is known to be lost.
 */
int
submit_command(struct control *c, struct str bytes, int timeout_ms,
    submit_fn fn, void *arg)
{
	struct submission *s;
	int64_t now = read_mono(&c->cfg.clock);

	if (bytes.len > REPLICA_COMMAND_MAX)
		return ERR_LIMIT;
	if (is_quorum_lost(c)) {
		count_metric(c->metrics.no_quorum, 1);
		return ERR_UNAVAILABLE;
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return ERR_MEMORY;
	s->control = c;
	s->fn = fn;
	s->arg = arg;
	s->deadline_ns = now + (int64_t)timeout_ms * NSEC_PER_MSEC;
	s->attempts = 1;
	if (append_buf_str(&s->command, bytes) != 0) {
		free(s);
		return ERR_MEMORY;
	}
	pthread_mutex_lock(&c->lock);
	if (c->stopping) {
		pthread_mutex_unlock(&c->lock);
		unload_buf(&s->command);
		free(s);
		return ERR_UNAVAILABLE;
	}
	s->next = c->submissions;
	c->submissions = s;
	pthread_mutex_unlock(&c->lock);
	count_metric(c->metrics.commands, 1);
	try_submission(s, now);
	return 0;
}

/*
 * Ends the submissions past their deadline, or all when the quorum is lost or
 * the process stops, and makes the attempts that are due. When the process
 * stops, submissions in flight are left alone: the attempt ends soon and may
 * have succeeded.
 */
void
run_submissions(struct control *c, int64_t now)
{
	bool lost = is_quorum_lost(c);
	struct submission *s, *next;

	/* Those that are held stay listed; new ones are put before them. */
	pthread_mutex_lock(&c->lock);
	for (s = c->submissions; s != NULL; s = s->next)
		s->held = true;
	s = c->submissions;
	pthread_mutex_unlock(&c->lock);
	for (; s != NULL; s = next) {
		bool done;

		run_submission(s, now, lost);
		pthread_mutex_lock(&c->lock);
		next = s->next;
		s->held = false;
		done = unlink_submission(s);
		pthread_mutex_unlock(&c->lock);
		if (done)
			free_submission(s);
	}
}

/*
 * Handles a PROPOSE of another control process. Only the leader proposes the
 * command; the others refuse it and name the leader they know.
 */
void
handle_propose(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_propose_args a = {0};
	struct pending_call *w;
	struct buf early_result = {0};
	struct replica_status st;
	struct str bytes;
	bool answered = false;
	int rc = decode_wire((xdrproc_t)xdr_wire_propose_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &a.stamp);
	bytes = make_str_n(a.command.command_val, a.command.command_len);
	rc = get_replication_status(c, &st) && st.role == RAFT_LEADER ?
		 0 :
		 ERR_UNAVAILABLE;
	if (rc == 0)
		answered = answer_if_current(c, bytes, &early_result);
	if (rc != 0 || answered) {
		send_proposal_reply(c, reply, rc, 0, view_buf(&early_result));
	} else {
		w = calloc(1, sizeof(*w));
		rc = w == NULL ? ERR_LIMIT : 0;
		if (w != NULL) {
			*w = (struct pending_call){c, reply};
			rc = propose_locally(c, bytes,
			    clamp_command_wait(a.wait_ms), answer_proposal, w);
		}
		if (rc != 0) {
			free(w);
			send_proposal_reply(c, reply, rc, 0, make_str(""));
		}
	}
	unload_buf(&early_result);
	unload_wire((xdrproc_t)xdr_wire_propose_args, &a);
}

/*
 * Handles a CLAIM of a node.
 */
void
handle_claim(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_claim_args a = {0};
	struct pending_call *w;
	struct buf bytes = {0};
	int rc = decode_wire((xdrproc_t)xdr_wire_claim_args, q->args, &a);

	if (rc != 0) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &a.stamp);
	count_metric(c->metrics.claims, 1);
	rc = encode_claim(&a, &bytes);
	w = rc == 0 ? calloc(1, sizeof(*w)) : NULL;
	if (rc == 0 && w == NULL)
		rc = ERR_LIMIT;
	if (rc == 0) {
		*w = (struct pending_call){c, reply};
		rc = submit_command(c, view_buf(&bytes),
		    clamp_command_wait(a.wait_ms), answer_claim, w);
	}
	if (rc != 0) {
		free(w);
		send_claim_reply(c, reply, rc, NULL);
	}
	unload_buf(&bytes);
	unload_wire((xdrproc_t)xdr_wire_claim_args, &a);
}

/*
 * Ends one submission or makes an attempt, if that is due; it is held.
 */
static void
run_submission(struct submission *s, int64_t now, bool lost)
{
	struct control *c = s->control;
	bool ends, tries;
	int status;

	pthread_mutex_lock(&c->lock);
	ends = !s->ended && (now >= s->deadline_ns || lost ||
				(c->stopping && s->attempts == 0));
	status = get_unfinished_status(s);
	s->ended = s->ended || ends;
	tries = !s->ended && (s->attempts == 0 ? now >= s->retry_ns :
						 find_other_leader(s) != 0);
	s->attempts += tries ? 1 : 0;
	pthread_mutex_unlock(&c->lock);
	if (ends && lost)
		count_metric(c->metrics.no_quorum, 1);
	if (ends)
		s->fn(s->arg, status, make_str(""));
	if (tries) {
		count_metric(c->metrics.retries, 1);
		try_submission(s, now);
	}
}

/*
 * Returns the leader that took over while an earlier one holds the command, or
 * 0. The earlier one may be stalled by its disk and answer late. Lock held.
 */
static uint64_t
find_other_leader(const struct submission *s)
{
	struct replica_status st;

	if (s->attempts >= ATTEMPTS_MAX || s->target == 0 ||
	    !get_replication_status(s->control, &st))
		return 0;
	return st.leader != s->target ? st.leader : 0;
}

/*
 * Makes one attempt: proposes the command on the leader, else forwards it. The
 * caller has counted the attempt.
 */
static void
try_submission(struct submission *s, int64_t now)
{
	struct control *c = s->control;
	int remaining_ms = (int)((s->deadline_ns - now) / NSEC_PER_MSEC);
	struct replica_status st;
	struct buf early_result = {0};
	bool answered, local;
	int rc;

	if (remaining_ms < 1)
		remaining_ms = 1;
	local = get_replication_status(c, &st) && st.role == RAFT_LEADER;
	pthread_mutex_lock(&c->lock);
	s->target = st.leader;
	pthread_mutex_unlock(&c->lock);
	if (!local) {
		forward_submission(s, remaining_ms);
		return;
	}
	answered = answer_if_current(c, view_buf(&s->command), &early_result);
	if (answered) {
		handle_attempt_result(s, 0, view_buf(&early_result));
	} else {
		rc = propose_locally(
		    c, view_buf(&s->command), remaining_ms, finish_proposal, s);
		if (rc != 0)
			handle_attempt_result(s, ERR_UNAVAILABLE, make_str(""));
	}
	unload_buf(&early_result);
}

/*
 * Answers a command early on a leader whose state has all earlier commands. The
 * status is read under the lock: a replica that fails shows that in its status
 * before it empties the state.
 */
static bool
answer_if_current(struct control *c, struct str bytes, struct buf *result)
{
	struct replica_status st;
	bool answered;

	pthread_mutex_lock(&c->lock);
	answered = get_replication_status(c, &st) && st.current &&
		   answer_early(c->state, bytes, result);
	pthread_mutex_unlock(&c->lock);
	return answered;
}

/*
 * Sends the command to the presumed leader. Without one the attempt fails with
 * ERR_UNAVAILABLE.
 */
static void
forward_submission(struct submission *s, int remaining_ms)
{
	struct control *c = s->control;
	struct peer *p = choose_leader(c);
	struct wire_propose_args a = {
	    .stamp = make_message_stamp(c), .wait_ms = remaining_ms};
	struct buf b = {0};
	int rc = p != NULL ? 0 : ERR_UNAVAILABLE;

	a.command.command_val = s->command.data;
	a.command.command_len = (unsigned int)s->command.len;
	if (rc == 0)
		rc = encode_wire((xdrproc_t)xdr_wire_propose_args, &a, &b);
	if (rc == 0)
		rc = call_rpc(p->rpc, GGS_PROPOSE, view_buf(&b), remaining_ms,
		    finish_forward, s);
	unload_buf(&b);
	if (rc != 0)
		handle_attempt_result(s, ERR_UNAVAILABLE, make_str(""));
}

/*
 * Returns the peer of the leader, or NULL. A relay that does not know the
 * leader chooses a random voter, which names the leader in its reply.
 */
static struct peer *
choose_leader(struct control *c)
{
	struct replica_status st;
	struct peer *p = NULL;

	if (get_replication_status(c, &st))
		return st.leader != 0 && st.leader != c->id ?
			   find_control_peer(c, st.leader) :
			   NULL;
	pthread_mutex_lock(&c->lock);
	if (c->leader_hint != 0)
		p = find_control_peer(c, c->leader_hint);
	if (p == NULL && c->peer_count > 0)
		p = &c->peers[draw_below(&c->rng, c->peer_count)];
	pthread_mutex_unlock(&c->lock);
	return p;
}

static void
finish_proposal(void *arg, int status, uint64_t index, struct str result)
{
	(void)index;
	handle_attempt_result(arg, status, result);
}

/*
 * Handles the reply to a forwarded command. A timeout or a malformed reply
 * leaves the outcome unknown.
 */
static void
finish_forward(void *arg, const struct rpc_result *r)
{
	struct submission *s = arg;
	struct control *c = s->control;
	struct wire_propose_reply reply = {0};
	int status = r->status == ERR_TIMEOUT ? ERR_UNKNOWN : r->status;

	if (status == 0 && decode_wire((xdrproc_t)xdr_wire_propose_reply,
			       r->body, &reply) != 0)
		status = ERR_UNKNOWN;
	pthread_mutex_lock(&c->lock);
	c->leader_hint = status == 0 ? reply.leader : 0;
	pthread_mutex_unlock(&c->lock);
	if (status != 0) {
		handle_attempt_result(s, status, make_str(""));
		return;
	}
	merge_message_stamp(c, &reply.stamp);
	handle_attempt_result(s, -(int)reply.status,
	    make_str_n(reply.result.result_val, reply.result.result_len));
	unload_wire((xdrproc_t)xdr_wire_propose_reply, &reply);
}

/*
 * Counts an attempt as ended. A final outcome (0, ERR_INVALID) ends the
 * submission, and so does any other when the process stops; otherwise the
 * service thread goes on.
 */
static void
handle_attempt_result(struct submission *s, int status, struct str result)
{
	bool final = status == 0 || status == ERR_INVALID, ends, done;
	struct control *c = s->control;
	submit_fn fn = s->fn;
	void *arg = s->arg;

	pthread_mutex_lock(&c->lock);
	s->attempts--;
	if (status == ERR_UNKNOWN || status == ERR_TIMEOUT)
		s->may_have_applied = true;
	s->retry_ns = read_mono(&c->cfg.clock) + SERVICE_RETRY_NS;
	ends = !s->ended && (final || (c->stopping && s->attempts == 0));
	if (!final)
		status = get_unfinished_status(s);
	s->ended = s->ended || ends;
	done = unlink_submission(s);
	pthread_mutex_unlock(&c->lock);
	if (ends)
		fn(arg, status, final ? result : make_str(""));
	if (done)
		free_submission(s);
}

/*
 * Returns how a submission without a result ends. Lock held.
 */
static int
get_unfinished_status(const struct submission *s)
{
	return s->may_have_applied || s->attempts > 0 ? ERR_UNKNOWN :
							ERR_UNAVAILABLE;
}

/*
 * Takes an ended submission off the list when nothing refers to it any more.
 * Returns whether it did; the caller frees it. Lock held.
 */
static bool
unlink_submission(struct submission *s)
{
	struct submission **p = &s->control->submissions;

	if (!s->ended || s->attempts > 0 || s->held)
		return false;
	while (*p != s)
		p = &(*p)->next;
	*p = s->next;
	return true;
}

static void
free_submission(struct submission *s)
{
	unload_buf(&s->command);
	free(s);
}

static void
answer_proposal(void *arg, int status, uint64_t index, struct str result)
{
	struct pending_call *w = arg;

	send_proposal_reply(w->control, w->reply, status, index, result);
	free(w);
}

static void
send_proposal_reply(struct control *c, struct rpc_reply *reply, int status,
    uint64_t index, struct str result)
{
	struct wire_propose_reply r = {.index = index};
	struct replica_status st;
	struct buf b = {0};
	int rc;

	/* May run on the replica's thread, where reading its status is safe. */
	if (get_replication_status(c, &st))
		r.leader = st.leader;
	r.status = get_wire_status(status);
	r.stamp = make_message_stamp(c);
	r.result.result_val = (char *)(uintptr_t)result.data;
	r.result.result_len = (unsigned int)result.len;
	rc = encode_wire((xdrproc_t)xdr_wire_propose_reply, &r, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
}

static void
answer_claim(void *arg, int status, struct str result)
{
	struct pending_call *w = arg;
	struct command_result r = {0};

	if (status == 0 && decode_command_result(result, &r) != 0)
		status = ERR_UNKNOWN;
	send_claim_reply(w->control, w->reply, status, status == 0 ? &r : NULL);
	if (status == 0)
		unload_command_result(&r);
	free(w);
}

/*
 * Sends the result of a claim; r NULL: the command failed with status.
 */
static void
send_claim_reply(struct control *c, struct rpc_reply *reply, int status,
    const struct command_result *r)
{
	static char empty[1];
	struct wire_claim_reply w = {
	    .holder = empty, .stamp = make_message_stamp(c)};
	struct buf b = {0};
	int rc;

	w.status = get_wire_status(status);
	if (r != NULL) {
		w.status = get_wire_status(r->status);
		w.state = (wire_claim_state)r->claim_state;
		w.holder = r->holder;
		w.http_status = r->http_status;
		w.answer.answer_val = r->answer.answer_val;
		w.answer.answer_len = r->answer.answer_len;
		w.answer_whole = r->answer_whole;
	}
	rc = encode_wire((xdrproc_t)xdr_wire_claim_reply, &w, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
}

/*
 * Encodes the command of a CLAIM. Returns ERR_INVALID if the kind is too long.
 */
static int
encode_claim(const struct wire_claim_args *a, struct buf *out)
{
	static char empty[1];
	struct command m = {.author = empty, .key = a->key};
	struct command_claim *q = &m.body.command_body_u.claim;

	if (strlen(a->kind) > COMMAND_NAME_MAX)
		return ERR_INVALID;
	m.body.type = COMMAND_CLAIM;
	q->kind = a->kind;
	q->node = a->node;
	memcpy(q->claim_id, a->claim_id, sizeof(q->claim_id));
	q->incarnation = a->incarnation;
	q->state = (int)a->state;
	q->keep_s = a->keep_s;
	q->http_status = a->http_status;
	q->answer.answer_val = a->answer.answer_val;
	q->answer.answer_len = a->answer.answer_len;
	q->answer_whole = a->answer_whole;
	return encode_command(&m, out);
}

/*
 * Limits the timeout that a caller requested, in ms.
 */
int
clamp_command_wait(int wait_ms)
{
	if (wait_ms < 1)
		return 1;
	return wait_ms < SERVICE_COMMAND_WAIT_MAX_MS ?
		   wait_ms :
		   SERVICE_COMMAND_WAIT_MAX_MS;
}

/*
 * Errors without a wire form are local and transient, such as out of memory;
 * they are sent as UNAVAILABLE.
 */
wire_status
get_wire_status(int status)
{
	switch (status) {
	case ERR_NONE:
	case ERR_INVALID:
	case ERR_NOT_FOUND:
	case ERR_CONFLICT:
	case ERR_UNAVAILABLE:
	case ERR_TIMEOUT:
	case ERR_LIMIT:
	case ERR_DENIED:
	case ERR_STALE:
	case ERR_UNKNOWN:
		return (wire_status)-status;
	default:
		return WIRE_UNAVAILABLE;
	}
}
