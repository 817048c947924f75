/*
 * The serving side: a job waits for a slot of the node's backend server, runs
 * there, and reports its outcome to its owner.
 */
#include <stdlib.h>
#include <string.h>

#include "node_state.h"

/*
 * Queued calls of a leaving backend server are refused after this share of
 * drain_ns. The rest is left for the bodies of granted calls, which may still
 * be in transit.
 */
#define LEAVING_WAIT_SHARE 0.25
#define BODY_WAIT_NS (1 * NSEC_PER_SEC) /* time-out of a granted call's body */
#define FAILED_SHARE_GAIN 0.05 /* of the recent share of failed calls */
#define SERVICE_GAIN 0.1 /* of the recent mean service time */
/*
 * Load reports tell the speed of the backend server as the time that it takes
 * for a call that takes this time on average over all servers. The plain mean of
 * its service times would depend on the kinds that it happens to serve, so that
 * servers of short calls looked fast and drew long ones.
 */
#define LOAD_SERVICE_US 100000
/* Longest sample of the slowness; a few calls take many times the mean. */
#define SLOWNESS_SAMPLE_MAX 3.0

static void apply_rate_to_load(
    const struct admission_load *a, int64_t service_ns, struct hop_load *l);
static int find_row_queue_index(
    struct node *n, const struct job_spec *spec, bool internal);
static bool is_internal_call(struct node *n, const struct job_spec *spec);
static void apply_decision(struct task *t);
static void apply_changes(
    struct node *n, const struct admission_changes *changes);
static void grant_job(struct job *j);
static void send_job(struct job *j);
static void time_out_job(struct timer *t);
static void run_admission_timer(struct timer *t);
static void end_leaving_wait(struct timer *t);
static void arm_admission(struct node *n);
static void end_job(
    struct job *j, enum call_outcome outcome, int64_t service_ns);
static void free_job(struct job *j);
static void clear_spec(struct job *j);
static void update_load_means(struct node *n, bool failed, int64_t service_ns);
static void update_slowness(const struct job *j, int64_t service_ns);

/*
 * Offers a call to admission; *out is valid until its last event or
 * cancel_job(). An internal call is useful until its deadline, others until
 * their target time. Returns ERR_UNAVAILABLE if no backend server accepts
 * calls, ERR_MEMORY.
 */
int
start_job(struct node *n, const struct job_spec *spec,
    const struct job_events *events, void *owner, struct job **out)
{
	struct admission_changes changes = {0};
	int64_t now = get_reactor_now(n->reactor);
	struct admit_verdict v;
	struct job *j;
	bool internal;
	int queue_index;

	if (n->admission == NULL || n->state != HOP_STATE_READY ||
	    is_server_closed(n))
		return ERR_UNAVAILABLE;
	internal = is_internal_call(n, spec);
	queue_index = find_row_queue_index(n, spec, internal);
	j = queue_index >= 0 ? calloc(1, sizeof(*j)) : NULL;
	if (j == NULL)
		return ERR_MEMORY;
	j->node = n;
	j->spec = *spec;
	j->events = events;
	j->owner = owner;
	j->offered_at = now;
	j->admission.token = j;
	j->admission.deadline = spec->deadline;
	j->admission.no_wait = !spec->may_wait;
	if (spec->account.len > 0) {
		j->admission.account = hash_str(spec->account, 0) | 1;
		j->admission.share = spec->share;
	}
	j->admission.body_bytes =
	    spec->body.data == NULL ? (int64_t)spec->body_len : 0;
	j->admission.target = internal		  ? spec->deadline :
			      spec->target_at > 0 ? spec->target_at :
						    1;
	j->next = n->jobs;
	j->prev = &n->jobs;
	if (j->next != NULL)
		j->next->prev = &j->next;
	n->jobs = j;
	n->job_count++;
	*out = j;
	v = offer_call(n->admission, &j->admission, queue_index, now, &changes);
	if (v.action != ADMIT_QUEUED) {
		j->refused = v.action == ADMIT_REFUSED;
		j->reason = v.reason;
		j->retry_after = v.retry_after_ns;
		defer_task(n->reactor, &j->task, apply_decision);
	}
	apply_changes(n, &changes);
	arm_admission(n);
	return 0;
}

/*
 * Reports to admission that bytes of a granted call's body have arrived.
 */
void
record_job_body(struct job *j, size_t bytes)
{
	struct admission_changes changes = {0};
	struct node *n = j->node;

	record_body_bytes(n->admission, &j->admission, (int64_t)bytes,
	    get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

/*
 * Passes the complete body of a granted call, which is sent now. Ignored in any
 * other state.
 */
void
provide_job_body(struct job *j, struct str body)
{
	if (j->state != JOB_GRANTED)
		return;
	j->spec.body = body;
	send_job(j);
}

/*
 * Detaches the job from its owner and ends it, unless it was sent and may not
 * repeat: then it runs to its end without an owner.
 */
void
cancel_job(struct job *j)
{
	struct admission_changes changes = {0};
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);

	j->events = NULL;
	j->owner = NULL;
	if (j->state == JOB_RUNNING && j->sent && !j->spec.repeatable &&
	    keep_call_body(j) == 0) {
		log_job(j, "left-running", "", 0, 0);
		clear_spec(j); /* the connection has copied the call */
		return;
	}
	log_job(j, "cancelled", "", 0, 0);
	if (j->state == JOB_RUNNING) {
		abort_backend_call(n, j);
		end_job(j, OUTCOME_FAILED, 0);
		return;
	}
	if (j->admission.state == CALL_WAITING) {
		(void)cancel_call(n->admission, &j->admission, now, &changes);
		free_job(j);
		apply_changes(n, &changes);
		arm_admission(n);
		return;
	}
	end_job(j, OUTCOME_FAILED, 0);
}

/*
 * Drops references to the strings of an owner that frees them.
 */
static void
clear_spec(struct job *j)
{
	j->spec.kind = j->spec.id = make_str("");
	j->spec.method = j->spec.target = j->spec.head = make_str("");
	j->spec.caller_service = j->spec.body = make_str("");
	j->spec.account = make_str("");
}

bool
is_job_sent(const struct job *j)
{
	return j->sent;
}

/*
 * Starts the time for which a leaving backend server still gets queued calls.
 * Those left at its end are refused, so that another node can run them in time.
 */
void
start_leaving_timer(struct node *n)
{
	set_timer(n->reactor, &n->leaving_timer,
	    get_reactor_now(n->reactor) +
		(int64_t)(LEAVING_WAIT_SHARE * (double)n->cfg.drain_ns),
	    end_leaving_wait);
}

/*
 * Refuses the calls that wait for a slot, so that other nodes can run them.
 */
void
refuse_queued_jobs(struct node *n)
{
	struct admission_changes changes = {0};

	refuse_waiting_calls(
	    n->admission, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
}

/*
 * Applies the rows of the current table to admission.
 */
void
refresh_admission(struct node *n)
{
	struct admission_changes changes = {0};

	if (n->admission == NULL || n->table == NULL)
		return;
	refresh_admission_rows(
	    n->admission, n->table, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

/*
 * Sets the calls per second that the backend server accepts.
 */
void
set_serving_rate(struct node *n, double per_s)
{
	struct admission_changes changes = {0};

	set_admission_rate(
	    n->admission, per_s, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

/*
 * Frees all jobs without events, and admission. For the end of the node.
 */
void
free_jobs(struct node *n)
{
	struct job *j, *next;

	for (j = n->jobs; j != NULL; j = next) {
		next = j->next;
		if (j->conn != NULL)
			abort_backend_call(n, j);
		free_job(j);
	}
	cancel_timer(n->reactor, &n->admission_timer);
	cancel_timer(n->reactor, &n->leaving_timer);
	destroy_admission(n->admission);
	n->admission = NULL;
}

/*
 * Returns this node's state and load as published to entry nodes. Without a
 * backend server only the state is set, the rest is 0.
 */
struct hop_load
get_own_load(struct node *n)
{
	struct hop_load l = {.state = (int)n->state};
	struct admission_load a;
	int64_t now = get_reactor_now(n->reactor);

	if (n->serving_ended && n->state == HOP_STATE_READY)
		l.state = HOP_STATE_LEAVING;
	if (n->long_answer_bytes > 0)
		l.body_wait_us = (unsigned int)(get_outflow_wait_ns(&n->outflow,
						    n->long_answer_bytes, now) /
						NSEC_PER_USEC);
	if (n->admission == NULL)
		return l;
	a = get_admission_load(n->admission, now);
	l.in_flight = a.in_flight;
	l.queued = a.queued;
	l.limit = a.limit;
	l.service_us = (unsigned int)(n->slowness * LOAD_SERVICE_US);
	l.failed_ppm = (unsigned int)(n->failed_share * 1e6);
	if (a.body_wait_ns / NSEC_PER_USEC > l.body_wait_us)
		l.body_wait_us = (unsigned int)(a.body_wait_ns / NSEC_PER_USEC);
	if (a.rate_per_s > 0)
		apply_rate_to_load(&a, n->service_ns, &l);
	return l;
}

/*
 * Reports the slots that a limited rate keeps busy instead of all of them, all
 * in use while it admits no call, so that entry nodes choose other nodes.
 */
static void
apply_rate_to_load(
    const struct admission_load *a, int64_t service_ns, struct hop_load *l)
{
	double busy =
	    a->rate_per_s * (double)service_ns / (double)NSEC_PER_SEC + 1;

	if (busy < l->limit)
		l->limit = (int)busy;
	if (a->rate_wait_ns > 0 && l->in_flight < l->limit)
		l->in_flight = l->limit;
}

/*
 * Ends a job with an answer of the backend server; a status of 500 and above
 * counts as failed.
 */
void
finish_job(struct job *j, const struct job_answer *a)
{
	const struct job_events *events = j->events;
	void *owner = j->owner;
	struct node *n = j->node;
	bool failed = a->status >= 500;
	int64_t service = a->service_ns;

	count_metric(n->metrics.served_total, 1);
	update_load_means(n, failed, service);
	if (!failed)
		update_slowness(j, service);
	observe_metric(n->metrics.run_us, (uint64_t)(service / NSEC_PER_USEC));
	log_job(j, "answered", "", a->status, service);
	if (events != NULL)
		events->answered(owner, a);
	end_job(j, failed ? OUTCOME_FAILED : OUTCOME_RAN, service);
}

/*
 * Ends a job without an answer. Unless not_sent, the call may have run.
 */
void
fail_job(struct job *j, enum attempt_end cause, bool not_sent)
{
	const struct job_events *events = j->events;
	void *owner = j->owner;

	if (!not_sent)
		update_load_means(j->node, true, 0);
	log_job(j, "failed", get_attempt_end_name(cause), 0, 0);
	end_job(j, OUTCOME_UNKNOWN, 0);
	if (events != NULL)
		events->failed(owner, cause, not_sent);
}

/*
 * Ends a job that the backend server refused to run.
 */
void
reject_job(struct job *j)
{
	const struct job_events *events = j->events;
	void *owner = j->owner;
	struct node *n = j->node;

	update_load_means(n, true, 0);
	log_job(j, "rejected", "", 0, 0);
	end_job(j, OUTCOME_NOT_RUN, 0);
	if (events != NULL)
		events->refused(owner, REFUSE_OVERLOAD, 0, true);
}

/*
 * Returns the index of the row's queue in admission; negative on an error. For
 * a row that this node's table does not have yet, one is made from the values
 * in the offer and defaults.
 */
static int
find_row_queue_index(struct node *n, const struct job_spec *spec, bool internal)
{
	const struct row *r =
	    n->table != NULL ? find_row(n->table, spec->kind) : NULL;
	struct row fallback = {0};
	int rank = 0; /* of the account; 0: the row's */

	if (r != NULL && spec->account.len > 0 && spec->rank > 0 &&
	    spec->rank != r->values[COL_RANK])
		rank = spec->rank;
	if (r != NULL)
		return open_account_row(n->admission, r, rank, internal);
	(void)copy_str(fallback.kind, sizeof(fallback.kind), spec->kind);
	fallback.repeatable = spec->repeatable;
	fallback.values[COL_RANK] = spec->rank;
	fallback.values[COL_WEIGHT] = 1;
	fallback.values[COL_LIMIT_PCT] = 100;
	fallback.values[COL_QUEUE_MAX] = 1000;
	fallback.values[COL_TARGET_MS] =
	    (int32_t)((spec->target_at - get_reactor_now(n->reactor)) /
		      NSEC_PER_MSEC);
	return open_admission_row(n->admission, &fallback, internal);
}

/*
 * Says whether calls of this kind come from backend servers, and counts the
 * origin of this one. The caller of an internal call occupies a slot of its own
 * service meanwhile, so internal calls go first and stay useful until their
 * deadline.
 */
static bool
is_internal_call(struct node *n, const struct job_spec *spec)
{
	char kind[TABLE_NAME_BYTES];
	struct kind_stats *k;

	if (spec->caller_service.len == 0 ||
	    copy_str(kind, sizeof(kind), spec->kind) != 0)
		return false;
	k = get_kind_stats(n, kind);
	if (k == NULL)
		return false;
	count_origin(&n->origins, &k->origin, spec->caller_service);
	return is_internal_kind(&k->origin);
}

/*
 * Applies admission's decision at the end of the reactor's round: grants the
 * job or refuses and frees it.
 */
static void
apply_decision(struct task *t)
{
	struct job *j = (struct job *)((char *)t - offsetof(struct job, task));
	const struct job_events *events = j->events;
	enum refuse_reason reason = j->reason;
	int64_t retry_after = j->retry_after;
	void *owner = j->owner;

	if (!j->refused) {
		if (j->state == JOB_WAITING)
			grant_job(j);
		return;
	}
	if (reason == REFUSE_BUSY) {
		count_metric(j->node->metrics.busy_total, 1);
	} else {
		count_metric(j->node->metrics.shed_total, 1);
		log_job(j, "refused", get_refuse_name(reason), 0, 0);
	}
	free_job(j);
	if (events != NULL)
		events->refused(owner, reason, retry_after, false);
}

/*
 * Schedules the grants and refusals that admission decided on. They are applied
 * at the end of the reactor's round, since their events may change admission
 * again.
 */
static void
apply_changes(struct node *n, const struct admission_changes *changes)
{
	struct admission_call *c, *next;

	for (c = changes->run; c != NULL; c = next) {
		struct job *j = c->token;

		next = c->next;
		j->refused = false;
		defer_task(n->reactor, &j->task, apply_decision);
	}
	for (c = changes->refused; c != NULL; c = next) {
		struct job *j = c->token;

		next = c->next;
		j->refused = true;
		j->reason = c->reason;
		j->retry_after = c->retry_after_ns;
		defer_task(n->reactor, &j->task, apply_decision);
	}
}

/*
 * The job has a slot: sends the call, or waits up to BODY_WAIT_NS for its body.
 */
static void
grant_job(struct job *j)
{
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);

	j->state = JOB_GRANTED;
	j->granted_at = now;
	observe_metric(n->metrics.queue_us,
	    (uint64_t)((now - j->offered_at) / NSEC_PER_USEC));
	if (j->spec.body.data != NULL) {
		send_job(j);
		return;
	}
	set_timer(n->reactor, &j->timer, now + BODY_WAIT_NS, time_out_job);
	if (j->events != NULL)
		j->events->granted(j->owner);
}

/*
 * Sends the call on a backend connection. Fails the job when that is impossible
 * or the deadline has passed.
 */
static void
send_job(struct job *j)
{
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);

	if (now >= j->spec.deadline) {
		fail_job(j, ATTEMPT_TIMEOUT, true);
		return;
	}
	j->state = JOB_RUNNING;
	set_timer(n->reactor, &j->timer, j->spec.deadline, time_out_job);
	if (start_backend_call(n, j) != 0)
		fail_job(j, ATTEMPT_NOT_CONNECTED, true);
}

/*
 * The body did not arrive in time, or the deadline has passed.
 */
static void
time_out_job(struct timer *t)
{
	struct job *j = (struct job *)((char *)t - offsetof(struct job, timer));
	bool sent = j->sent;

	if (j->state == JOB_RUNNING)
		abort_backend_call(j->node, j);
	fail_job(j, ATTEMPT_TIMEOUT, !sent);
}

static void
run_admission_timer(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, admission_timer));
	struct admission_changes changes = {0};

	expire_calls(n->admission, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

/*
 * Refuses the calls that are still queued for a leaving backend server.
 */
static void
end_leaving_wait(struct timer *t)
{
	refuse_queued_jobs(
	    (struct node *)((char *)t - offsetof(struct node, leaving_timer)));
}

/*
 * Sets the timer to the next time at which admission has something to do.
 */
static void
arm_admission(struct node *n)
{
	int64_t at;

	if (n->admission == NULL)
		return;
	at = get_admission_wakeup(n->admission, get_reactor_now(n->reactor));
	if (at == INT64_MAX)
		cancel_timer(n->reactor, &n->admission_timer);
	else
		set_timer(
		    n->reactor, &n->admission_timer, at, run_admission_timer);
}

/*
 * Frees the job and its slot, which admission gives to queued calls.
 */
static void
end_job(struct job *j, enum call_outcome outcome, int64_t service_ns)
{
	struct admission_changes changes = {0};
	struct node *n = j->node;

	if (j->admission.state == CALL_RUNNING)
		finish_call(n->admission, &j->admission, outcome, service_ns,
		    get_reactor_now(n->reactor), &changes);
	free_job(j);
	apply_changes(n, &changes);
	arm_admission(n);
}

static void
free_job(struct job *j)
{
	struct node *n = j->node;

	*j->prev = j->next;
	if (j->next != NULL)
		j->next->prev = j->prev;
	cancel_timer(n->reactor, &j->timer);
	cancel_task(n->reactor, &j->task);
	n->job_count--;
	free(j);
}

/*
 * Updates the recent share of failed calls and, if service_ns is above 0, the
 * recent mean service time.
 */
static void
update_load_means(struct node *n, bool failed, int64_t service_ns)
{
	n->failed_share +=
	    FAILED_SHARE_GAIN * ((failed ? 1 : 0) - n->failed_share);
	if (service_ns <= 0)
		return;
	if (n->service_ns == 0)
		n->service_ns = service_ns;
	n->service_ns +=
	    (int64_t)(SERVICE_GAIN * (double)(service_ns - n->service_ns));
}

/*
 * Updates how slow the backend server is lately: its service times over the mean
 * that this node has seen, as an entry node, for the same kind at all servers.
 * Kinds that it has not seen do not count.
 */
static void
update_slowness(const struct job *j, int64_t service_ns)
{
	struct node *n = j->node;
	char kind[TABLE_NAME_BYTES];
	struct kind_stats *k;
	double ratio;

	if (copy_str(kind, sizeof(kind), j->spec.kind) != 0)
		return;
	k = get_kind_stats(n, kind);
	if (k == NULL || k->kind_service_ns <= 0)
		return;
	ratio = (double)service_ns / (double)k->kind_service_ns;
	if (ratio > SLOWNESS_SAMPLE_MAX)
		ratio = SLOWNESS_SAMPLE_MAX;
	if (n->slowness <= 0)
		n->slowness = 1;
	n->slowness += SERVICE_GAIN * (ratio - n->slowness);
}
