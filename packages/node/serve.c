/*
 * The serving side: calls wait for a slot of the backend server beside the
 * node, run there, and tell their owner how they ended.
 */
#include <stdlib.h>
#include <string.h>

#include "node_state.h"

/*
 * Share of the time in which a leaving backend server still takes calls, after
 * which those that wait are refused: the bodies of granted ones may still come.
 */
#define LEAVING_WAIT_SHARE 0.25
#define BODY_WAIT_NS (1 * NSEC_PER_SEC) /* longest wait for a granted body */
#define FAILED_GAIN 0.05 /* of the recent share of failed runs */
#define SERVICE_GAIN 0.1 /* of the recent mean of a run */

static int find_lane_index(
    struct node *n, const struct job_spec *spec, bool inner);
static bool is_inner_call(struct node *n, const struct job_spec *spec);
static void run_outcome(struct task *t);
static void apply_changes(
    struct node *n, const struct admission_changes *changes);
static void grant_job(struct job *j);
static void send_job(struct job *j);
static void time_out_job(struct timer *t);
static void wake_admission(struct timer *t);
static void end_leaving_wait(struct timer *t);
static void arm_admission(struct node *n);
static void end_job(
    struct job *j, enum call_outcome outcome, int64_t service_ns);
static void free_job(struct job *j);
static void forget_spec(struct job *j);
static void note_run(struct node *n, bool failed, int64_t service_ns);

/*
 * Offers a call to admission. Returns ERR_UNAVAILABLE without a backend server
 * that takes calls, ERR_MEMORY.
 */
int
start_job(struct node *n, const struct job_spec *spec,
    const struct job_events *events, void *owner, struct job **out)
{
	struct admission_changes changes = {0};
	int64_t now = get_reactor_now(n->reactor);
	struct admit_verdict v;
	struct job *j;
	bool inner;
	int lane;

	if (n->admission == NULL || n->state != HOP_STATE_READY)
		return ERR_UNAVAILABLE;
	inner = is_inner_call(n, spec);
	lane = find_lane_index(n, spec, inner);
	j = lane >= 0 ? calloc(1, sizeof(*j)) : NULL;
	if (j == NULL)
		return ERR_MEMORY;
	j->node = n;
	j->spec = *spec;
	j->events = events;
	j->owner = owner;
	j->offered = now;
	j->admission.token = j;
	j->admission.deadline = spec->deadline;
	j->admission.no_wait = !spec->may_wait;
	j->admission.body_bytes =
	    spec->body.data == NULL ? (int64_t)spec->body_len : 0;
	j->admission.target = inner		  ? spec->deadline :
			      spec->target_at > 0 ? spec->target_at :
						    1;
	j->next = n->jobs;
	j->prev = &n->jobs;
	if (j->next != NULL)
		j->next->prev = &j->next;
	n->jobs = j;
	n->job_count++;
	*out = j;
	v = offer_call(n->admission, &j->admission, lane, now, &changes);
	if (v.action != ADMIT_QUEUED) {
		j->refused = v.action == ADMIT_REFUSED;
		j->reason = v.reason;
		j->retry_after = v.retry_after_ns;
		defer_task(n->reactor, &j->task, run_outcome);
	}
	apply_changes(n, &changes);
	arm_admission(n);
	return 0;
}

/*
 * A part of the body of a granted call came.
 */
void
note_body(struct job *j, size_t bytes)
{
	struct admission_changes changes = {0};
	struct node *n = j->node;

	note_body_bytes(n->admission, &j->admission, (int64_t)bytes,
	    get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

void
give_body(struct job *j, struct str body)
{
	if (j->state != JOB_GRANTED)
		return;
	j->spec.body = body;
	send_job(j);
}

void
cancel_job(struct job *j)
{
	struct admission_changes changes = {0};
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);

	j->events = NULL;
	j->owner = NULL;
	if (j->state == JOB_RUNNING && j->sent && !j->spec.repeatable) {
		log_job(j, "left-running", "", 0, 0);
		forget_spec(j); /* the connection has its own copy */
		return;
	}
	log_job(j, "cancelled", "", 0, 0);
	if (j->state == JOB_RUNNING) {
		abort_at_backend(n, j);
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
 * The strings are the owner's, which is gone.
 */
static void
forget_spec(struct job *j)
{
	j->spec.kind = j->spec.id = make_str("");
	j->spec.method = j->spec.target = j->spec.head = make_str("");
	j->spec.caller_service = j->spec.body = make_str("");
}

bool
is_job_sent(const struct job *j)
{
	return j->sent;
}

/*
 * The backend server takes calls for some time yet. Calls that could wait for
 * longer are refused in time, so that another node runs them.
 */
void
limit_leaving(struct node *n)
{
	set_timer(n->reactor, &n->leaving_timer,
	    get_reactor_now(n->reactor) +
		(int64_t)(LEAVING_WAIT_SHARE * (double)n->cfg.drain_ns),
	    end_leaving_wait);
}

/*
 * Takes over the cells of the table in force.
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

void
drop_jobs(struct node *n)
{
	struct job *j, *next;

	for (j = n->jobs; j != NULL; j = next) {
		next = j->next;
		if (j->conn != NULL)
			abort_at_backend(n, j);
		free_job(j);
	}
	cancel_timer(n->reactor, &n->admission_timer);
	cancel_timer(n->reactor, &n->leaving_timer);
	destroy_admission(n->admission);
	n->admission = NULL;
}

struct hop_load
get_own_load(struct node *n)
{
	struct hop_load l = {.state = (int)n->state};
	struct admission_load a;

	if (n->serve_ended && n->state == HOP_STATE_READY)
		l.state = HOP_STATE_LEAVING;
	if (n->admission == NULL)
		return l;
	a = get_admission_load(n->admission, get_reactor_now(n->reactor));
	l.in_flight = a.in_flight;
	l.queued = a.queued;
	l.limit = a.limit;
	l.service_us = (unsigned int)(n->service_ns / NSEC_PER_USEC);
	l.failed_ppm = (unsigned int)(n->failed_share * 1e6);
	l.body_wait_us = (unsigned int)(a.body_wait_ns / NSEC_PER_USEC);
	return l;
}

/*
 * The backend server answered, well or with a failure of its own.
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
	note_run(n, failed, service);
	observe_metric(n->metrics.run_us, (uint64_t)(service / NSEC_PER_USEC));
	log_job(j, "answered", "", a->status, service);
	if (events != NULL)
		events->answered(owner, a);
	end_job(j, failed ? OUTCOME_FAILED : OUTCOME_RAN, service);
}

void
fail_job(struct job *j, enum attempt_end cause, bool not_sent)
{
	const struct job_events *events = j->events;
	void *owner = j->owner;

	if (!not_sent)
		note_run(j->node, true, 0);
	log_job(j, "failed", get_end_name(cause), 0, 0);
	end_job(j, OUTCOME_UNKNOWN, 0);
	if (events != NULL)
		events->failed(owner, cause, not_sent);
}

void
reject_job(struct job *j)
{
	const struct job_events *events = j->events;
	void *owner = j->owner;
	struct node *n = j->node;

	note_run(n, true, 0);
	log_job(j, "rejected", "", 0, 0);
	end_job(j, OUTCOME_NOT_RUN, 0);
	if (events != NULL)
		events->refused(owner, REFUSE_OVERLOAD, 0, true);
}

/*
 * Returns the index of the row's lane. A row that this node's table does not
 * have yet is served by what the entry node says of it.
 */
static int
find_lane_index(struct node *n, const struct job_spec *spec, bool inner)
{
	const struct row *r =
	    n->table != NULL ? find_row(n->table, spec->kind) : NULL;
	struct row made = {0};

	if (r != NULL)
		return open_admission_row(n->admission, r, inner);
	(void)copy_str(made.kind, sizeof(made.kind), spec->kind);
	made.repeatable = spec->repeatable;
	made.values[COL_RANK] = spec->rank;
	made.values[COL_WEIGHT] = 1;
	made.values[COL_LIMIT_PCT] = 100;
	made.values[COL_QUEUE_MAX] = 1000;
	made.values[COL_TARGET_MS] =
	    (int32_t)((spec->target_at - get_reactor_now(n->reactor)) /
		      NSEC_PER_MSEC);
	return open_admission_row(n->admission, &made, inner);
}

/*
 * Says whether calls of this kind are made by backend servers. Such a call
 * holds up a run that has a slot elsewhere, so it goes first, and it is of use
 * until its deadline.
 */
static bool
is_inner_call(struct node *n, const struct job_spec *spec)
{
	char kind[TABLE_NAME_BYTES];
	struct kind_stats *k;

	if (spec->caller_service.len == 0 ||
	    copy_str(kind, sizeof(kind), spec->kind) != 0)
		return false;
	k = find_kind(n, kind);
	if (k == NULL)
		return false;
	count_origin(&n->origins, &k->origin, spec->caller_service);
	return is_inner_kind(&k->origin);
}

/*
 * Admission decided at once.
 */
static void
run_outcome(struct task *t)
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
 * Grants and refuses the calls whose turn came. Each is handled at the end of
 * the round, since its events may change admission again.
 */
static void
apply_changes(struct node *n, const struct admission_changes *changes)
{
	struct admission_call *c, *next;

	for (c = changes->run; c != NULL; c = next) {
		struct job *j = c->token;

		next = c->next;
		j->refused = false;
		defer_task(n->reactor, &j->task, run_outcome);
	}
	for (c = changes->refused; c != NULL; c = next) {
		struct job *j = c->token;

		next = c->next;
		j->refused = true;
		j->reason = c->reason;
		j->retry_after = c->retry_after_ns;
		defer_task(n->reactor, &j->task, run_outcome);
	}
}

static void
grant_job(struct job *j)
{
	struct node *n = j->node;
	int64_t now = get_reactor_now(n->reactor);

	j->state = JOB_GRANTED;
	j->started = now;
	observe_metric(n->metrics.queue_us,
	    (uint64_t)((now - j->offered) / NSEC_PER_USEC));
	if (j->spec.body.data != NULL) {
		send_job(j);
		return;
	}
	set_timer(n->reactor, &j->timer, now + BODY_WAIT_NS, time_out_job);
	if (j->events != NULL)
		j->events->granted(j->owner);
}

/*
 * Hands the call to a connection of the backend server.
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
	if (run_at_backend(n, j) != 0)
		fail_job(j, ATTEMPT_NOT_CONNECTED, true);
}

/*
 * The body did not come, or the call's time is over.
 */
static void
time_out_job(struct timer *t)
{
	struct job *j = (struct job *)((char *)t - offsetof(struct job, timer));
	bool sent = j->sent;

	if (j->state == JOB_RUNNING)
		abort_at_backend(j->node, j);
	fail_job(j, ATTEMPT_TIMEOUT, !sent);
}

static void
wake_admission(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, admission_timer));
	struct admission_changes changes = {0};

	expire_calls(n->admission, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
	arm_admission(n);
}

static void
end_leaving_wait(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t - offsetof(struct node, leaving_timer));
	struct admission_changes changes = {0};

	refuse_waiting(n->admission, get_reactor_now(n->reactor), &changes);
	apply_changes(n, &changes);
}

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
		set_timer(n->reactor, &n->admission_timer, at, wake_admission);
}

/*
 * Frees the job's slot and starts others in its place.
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
	note_idle(n);
	free(j);
}

static void
note_run(struct node *n, bool failed, int64_t service_ns)
{
	n->failed_share += FAILED_GAIN * ((failed ? 1 : 0) - n->failed_share);
	if (service_ns <= 0)
		return;
	if (n->service_ns == 0)
		n->service_ns = service_ns;
	n->service_ns +=
	    (int64_t)(SERVICE_GAIN * (double)(service_ns - n->service_ns));
}
