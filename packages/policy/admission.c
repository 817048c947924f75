/*
 * Admission of calls at one backend server, from the offer to the end of the
 * call. sharing.c decides which row gets a slot, limiter.c how many
 * slots are in use, and estimate.c computes expected waits.
 */
#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "estimate.h"

/* Wake-up interval while calls wait for reserved slots. */
#define RESERVED_POLL_NS (10 * NSEC_PER_MSEC)
#define LATE_RANK_OFFSET 100 /* added to the rank; behind all rows */
/* Wake-up interval while late calls wait. */
#define LATE_POLL_NS (25 * NSEC_PER_MSEC)
#define LATE_WAIT_SHARE 0.25 /* longest wait of a late call, of the target */
/* The same in a patient row, of the time that is left to the call. */
#define LATE_PATIENCE_SHARE 0.7
/* Share of the slots that late calls get over a wave of load, at least. */
#define LATE_SLOT_SHARE 0.25
#define BODY_GAIN 0.02 /* weight of a new body in the row's mean size */

static void accrue_queues(struct admission *a, int64_t now);
static void dispatch_calls(
    struct admission *a, int64_t now, struct admission_changes *out);
static bool may_start_call(const struct admission *a);
static void mark_blocked_queues(struct admission *a, int64_t now);
static void start_call(struct admission *a, struct row_queue *q,
    struct admission_call *c, int64_t now, struct admission_changes *out);
static bool may_use_idle_slot(
    const struct admission *a, const struct admission_call *c, int64_t now);
static void refuse_queued_call(struct admission *a, struct row_queue *q,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out);
static void list_refused_call(const struct admission *a,
    const struct row_queue *q, struct admission_call *c,
    enum refuse_reason reason, struct admission_changes *out);
static void expire_late_calls(struct admission *a, struct row_queue *q,
    int64_t now, struct admission_changes *out);
static void expire_queue(struct admission *a, struct row_queue *q, int64_t now,
    struct admission_changes *out);
static struct admit_verdict refuse_offer(
    struct admission *a, struct admission_call *c, enum refuse_reason reason);
static int create_late_queue(struct admission *a, int row);
static void update_mean_body(
    struct row_queue *q, const struct admission_call *c);
static void refuse_beyond_rate(struct admission *a, struct row_queue *q,
    int64_t now, struct admission_changes *out);
static bool fits_late_queue(const struct admission *a,
    const struct row_queue *q, const struct admission_call *c, int64_t now);
static int64_t get_late_wait_max(
    const struct row_queue *q, const struct admission_call *c);
static void demote_call(struct admission *a, struct row_queue *q,
    struct admission_call *c, int64_t now, struct admission_changes *out);
static struct admit_verdict refuse_late_offer(
    struct admission *a, struct admission_call *c, int64_t now);
static int find_queue(const struct admission *a, struct str kind, int own_rank);
static struct account_shares *get_shares(
    struct admission *a, const struct row_queue *q);
static int queue_call(struct admission *a, struct row_queue *q,
    struct admission_call *c, int64_t now);
static void unqueue_call(
    struct admission *a, struct row_queue *q, struct admission_call *c);
static struct admission_call *find_overflow_call(
    const struct row_queue *q, struct admission_call *c);
static void expire_delayed_calls(struct admission *a, struct row_queue *q,
    int64_t now, struct admission_changes *out);
static bool would_be_late(
    const struct row_queue *q, const struct admission_call *c, int64_t now);
static int64_t get_expiry(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c);
static int add_queue(struct admission *a, int *out);
static void reap_queue(struct admission *a, struct row_queue *q);
static void append_call(struct admission_call **list, struct admission_call *c);
static bool remove_from_list(
    struct admission_call **list, struct admission_call *c);

/*
 * Creates the admission of a backend server, without rows. The caller frees it
 * with destroy_admission(). Returns ERR_MEMORY.
 */
int
create_admission(
    const struct admission_config *cfg, int64_t now, struct admission **out)
{
	struct admission *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return ERR_MEMORY;
	a->policy = get_slot_scheduler(cfg->policy);
	a->fixed_limit = cfg->fixed_limit || !a->policy->bounded;
	a->accrued_at = now;
	a->inflow.rate = cfg->link_rate;
	start_limiter(&a->limiter, cfg->slots, cfg->cold, now);
	*out = a;
	return 0;
}

/*
 * Frees the admission. Remaining calls, which belong to the caller, are dropped
 * without being ended.
 */
void
destroy_admission(struct admission *a)
{
	if (a == NULL)
		return;
	for (size_t i = 0; i < a->view.queue_count; i++)
		clear_queue(&a->view.queues[i]);
	free(a->view.queues);
	free(a);
}

/*
 * Switches to the rows of a service in a table; t may be freed afterwards.
 * Waiting calls are scheduled by the new cells at once. Rows that are no longer
 * in the table take no new calls; their waiting and running calls finish under
 * the old cells. On ERR_MEMORY the former rows stay in force.
 */
int
set_admission_table(struct admission *a, const struct table *t,
    struct str service, int64_t now, struct admission_changes *out)
{
	struct row_queue *queues;
	int i;

	accrue_queues(a, now);
	for (size_t n = 0; n < t->row_count; n++) {
		if (is_str_equal(make_str(t->rows[n]->service), service) &&
		    find_queue(a, make_str(t->rows[n]->kind), 0) < 0) {
			if (add_queue(a, &i) != 0)
				return ERR_MEMORY;
			queues = a->view.queues;
			set_queue_row(
			    &queues[i], t->rows[n], a->policy->by_deadline);
		}
	}
	queues = a->view.queues;
	for (size_t n = 0; n < a->view.queue_count; n++)
		queues[n].retired = queues[n].used;
	for (size_t n = 0; n < t->row_count; n++) {
		if (!is_str_equal(make_str(t->rows[n]->service), service))
			continue;
		i = find_queue(a, make_str(t->rows[n]->kind), 0);
		set_queue_row(&queues[i], t->rows[n], a->policy->by_deadline);
	}
	for (size_t n = 0; n < a->view.queue_count; n++)
		reap_queue(a, &queues[n]);
	dispatch_calls(a, now, out);
	return 0;
}

/*
 * Returns the queue of a row and creates it and its late queue on first use. A
 * row that is retired or whose urgency changed is set up again from r.
 */
int
open_admission_row(struct admission *a, const struct row *r, bool urgent)
{
	return open_account_row(a, r, 0, urgent);
}

/*
 * Calls of accounts whose rank differs from the row's have a queue of their
 * own, at most one for each rank.
 */
int
open_account_row(
    struct admission *a, const struct row *r, int rank, bool urgent)
{
	int i = find_queue(a, make_str(r->kind), rank);

	if (i >= 0 && !a->view.queues[i].retired &&
	    a->view.queues[i].urgent == urgent)
		return i;
	if (i < 0 && add_queue(a, &i) != 0)
		return ERR_MEMORY;
	a->view.queues[i].urgent = urgent;
	a->view.queues[i].own_rank = rank;
	set_queue_row(&a->view.queues[i], r, a->policy->by_deadline);
	if (a->view.queues[i].late_queue < 0 && create_late_queue(a, i) != 0)
		return ERR_MEMORY;
	return i;
}

/*
 * Applies the cells of a new table to the open rows. Rows that left the table
 * are retired and freed once they have no calls; open_admission_row() opens
 * them again.
 */
void
refresh_admission_rows(struct admission *a, const struct table *t, int64_t now,
    struct admission_changes *out)
{
	accrue_queues(a, now);
	for (size_t i = 0; i < a->view.queue_count; i++) {
		struct row_queue *q = &a->view.queues[i];
		const struct row *r =
		    q->used ? find_row(t, make_str(q->kind)) : NULL;

		if (!q->used || q->base_queue >= 0)
			continue;
		if (r != NULL)
			set_queue_row(q, r, a->policy->by_deadline);
		else
			q->retired = true;
		if (q->late_queue >= 0)
			a->view.queues[q->late_queue].retired = q->retired;
		reap_queue(a, q);
	}
	dispatch_calls(a, now, out);
}

/* Returns the index of a row in the current table, or ERR_NOT_FOUND. */
int
find_admission_row(const struct admission *a, struct str kind)
{
	int i = find_queue(a, kind, 0);

	if (i < 0 || a->view.queues[i].retired)
		return ERR_NOT_FOUND;
	return i;
}

/*
 * Offers a call of a row. The verdict is final unless the call is queued; then
 * a later operation lists it in its changes as run or refused. A call that the
 * current estimate expects to miss its deadline is refused at once.
 */
struct admit_verdict
offer_call(struct admission *a, struct admission_call *c, int row, int64_t now,
    struct admission_changes *out)
{
	struct admit_verdict v = {.action = ADMIT_RUN};
	struct row_queue *q;

	c->arrived = now;
	c->seq = a->next_seq++;
	c->queue = -1;
	c->next = NULL;
	if (a->draining)
		return refuse_offer(a, c, REFUSE_DRAINING);
	if (row < 0 || (size_t)row >= a->view.queue_count ||
	    !a->view.queues[row].used || a->view.queues[row].retired)
		return refuse_offer(a, c, REFUSE_UNKNOWN_KIND);
	accrue_queues(a, now);
	if (a->rate.active)
		dispatch_calls(a, now, out); /* those before the new call */
	q = &a->view.queues[row];
	update_mean_body(q, c);
	c->queue = row;
	if (c->target == 0 && misses_deadline(a, q, c, now)) {
		q->overflowed = q->waiting != 0;
		return refuse_offer(a, c, REFUSE_DEADLINE);
	}
	if (c->target == 0 && a->policy->sheds && is_overloaded(q))
		return refuse_offer(a, c, REFUSE_OVERLOAD);
	if (c->target != 0 && now >= c->deadline)
		return refuse_offer(a, c, REFUSE_DEADLINE);
	c->share_delay_ns =
	    get_share_delay(&q->shares, c->account, c->share, now);
	c->sort_key =
	    (c->target != 0 ? c->target : c->deadline) + c->share_delay_ns;
	if (c->target != 0 && misses_target(a, q, c, now)) {
		if (!fits_late_queue(a, q, c, now))
			return refuse_late_offer(a, c, now);
		c->sort_key = c->deadline + c->share_delay_ns;
		c->queue = q->late_queue;
		c->late_since = now;
		q = &a->view.queues[q->late_queue];
	}
	if (queue_call(a, q, c, now) != 0)
		return refuse_offer(a, c, REFUSE_OVERLOAD);
	c->state = CALL_WAITING;
	a->view.waiting++;
	dispatch_calls(a, now, out);
	if (c->state == CALL_RUNNING) {
		(void)remove_from_list(&out->run, c);
		return v;
	}
	if (c->state == CALL_WAITING && c->no_wait)
		refuse_queued_call(a, q, c, REFUSE_BUSY, out);
	if (c->state == CALL_WAITING && a->policy->bounded &&
	    q->waiting > (size_t)q->queue_max) {
		refuse_queued_call(
		    a, q, find_overflow_call(q, c), REFUSE_OVERLOAD, out);
		q->overflowed = q->waiting != 0;
	}
	if (c->state == CALL_ENDED) {
		(void)remove_from_list(&out->refused, c);
		return (struct admit_verdict){.action = ADMIT_REFUSED,
		    .reason = c->reason,
		    .retry_after_ns = c->retry_after_ns};
	}
	v.action = ADMIT_QUEUED;
	return v;
}

/*
 * A row is full when its own queue is full; waiting calls of other rows do not
 * count, since they may wait for reserved slots while slots are free. A refusal
 * counts as an overflow of the queue, as in offer_call().
 */
struct admit_verdict
check_offer(struct admission *a, int row, int64_t deadline, int64_t now)
{
	struct admit_verdict v = {.action = ADMIT_QUEUED};
	struct admission_call c = {.deadline = deadline};
	struct row_queue *q;
	bool full;

	if (row < 0 || (size_t)row >= a->view.queue_count)
		return v;
	q = &a->view.queues[row];
	full = a->policy->bounded && q->waiting >= (size_t)q->queue_max &&
	       (q->waiting > 0 ||
		   a->view.in_flight >= get_limit(&a->limiter, now));
	if (misses_deadline(a, q, &c, now))
		v.reason = REFUSE_DEADLINE;
	else if (full || (a->policy->sheds && is_overloaded(q)))
		v.reason = REFUSE_OVERLOAD;
	else
		return v;
	v.action = ADMIT_REFUSED;
	q->overflowed = q->overflowed || q->waiting != 0;
	return v;
}

/*
 * Ends a running call and starts waiting ones in its place. service_ns is the
 * time from dispatch to the answer; 0: not measured. NOT_RUN means that the
 * backend server shed the call: its time is no sample of the row's service
 * time, but the limit is lowered.
 */
void
finish_call(struct admission *a, struct admission_call *c,
    enum call_outcome outcome, int64_t service_ns, int64_t now,
    struct admission_changes *out)
{
	struct row_queue *q = &a->view.queues[c->queue];

	if (c->state != CALL_RUNNING)
		return;
	accrue_queues(a, now);
	if (outcome == OUTCOME_NOT_RUN) {
		add_limiter_shed(&a->limiter, a->view.in_flight, now);
	} else if (service_ns > 0) {
		struct row_queue *base =
		    (struct row_queue *)(uintptr_t)get_base_queue(a, q);

		add_service_sample(base, (double)service_ns);
		add_limiter_sample(
		    &a->limiter, (double)service_ns / base->baseline_ns, now);
	}
	c->state = CALL_ENDED;
	remove_inflow(&a->inflow, c->body_bytes, now);
	c->body_bytes = 0;
	q->in_flight--;
	a->view.in_flight--;
	reap_queue(a, q);
	dispatch_calls(a, now, out);
}

/*
 * Counts received bytes of a running call's body and starts calls whose bodies
 * the link now has room for.
 */
void
record_body_bytes(struct admission *a, struct admission_call *c, int64_t bytes,
    int64_t now, struct admission_changes *out)
{
	if (c->state != CALL_RUNNING || a->inflow.rate == 0)
		return;
	if (bytes > c->body_bytes)
		bytes = c->body_bytes;
	c->body_bytes -= bytes;
	remove_inflow(&a->inflow, bytes, now);
	accrue_queues(a, now);
	dispatch_calls(a, now, out);
}

/*
 * Withdraws a waiting call, which has then not run. Returns ERR_INVALID when
 * the call is not waiting; a running call ends only in finish_call().
 */
int
cancel_call(struct admission *a, struct admission_call *c, int64_t now,
    struct admission_changes *out)
{
	struct row_queue *q;

	if (c->state != CALL_WAITING)
		return ERR_INVALID;
	q = &a->view.queues[c->queue];
	accrue_queues(a, now);
	unqueue_call(a, q, c);
	a->view.waiting--;
	c->state = CALL_ENDED;
	reap_queue(a, q);
	dispatch_calls(a, now, out);
	return 0;
}

/*
 * Refuses waiting calls that can no longer meet their deadline and starts calls
 * that waited for reserved slots or for the link. Called at
 * get_admission_wakeup().
 */
void
expire_calls(struct admission *a, int64_t now, struct admission_changes *out)
{
	accrue_queues(a, now);
	/* Late queues last: base queues move calls to them. */
	for (int late = 0; late < 2; late++) {
		for (size_t i = 0; i < a->view.queue_count; i++) {
			struct row_queue *q = &a->view.queues[i];

			if (q->used && (q->base_queue >= 0) == (late == 1))
				expire_queue(a, q, now, out);
		}
	}
	for (size_t i = 0; i < a->view.queue_count; i++)
		reap_queue(a, &a->view.queues[i]);
	dispatch_calls(a, now, out);
}

/*
 * Sets the number of slots that the backend server announces. Running calls
 * above it finish normally.
 */
void
set_admission_slots(
    struct admission *a, int slots, int64_t now, struct admission_changes *out)
{
	accrue_queues(a, now);
	set_limiter_slots(&a->limiter, slots, now);
	dispatch_calls(a, now, out);
}

/*
 * Sets the rate at which the backend server accepts calls, per second; negative
 * ends the limit. Calls beyond it wait as for a slot or are refused, those that
 * wait already at once if the new rate does not reach them in time.
 */
void
set_admission_rate(struct admission *a, double per_s, int64_t now,
    struct admission_changes *out)
{
	accrue_queues(a, now);
	if (per_s < 0)
		clear_rate_limit(&a->rate);
	else
		set_rate_limit(&a->rate, per_s, now);
	for (size_t i = 0; i < a->view.queue_count && a->rate.active; i++)
		refuse_beyond_rate(a, &a->view.queues[i], now, out);
	dispatch_calls(a, now, out);
}

/*
 * Counts a call that is sent a second time in the slot that it has.
 */
void
record_resent_call(struct admission *a, int64_t now)
{
	refill_rate_limit(&a->rate, now);
	consume_rate_limit(&a->rate);
}

/*
 * Refuses every waiting call and every later offer as draining, so that entry
 * nodes send them elsewhere. Running calls end in finish_call().
 */
void
drain_admission(struct admission *a, int64_t now, struct admission_changes *out)
{
	a->draining = true;
	refuse_waiting_calls(a, now, out);
}

/* Refuses every waiting call as draining, but still admits later offers. */
void
refuse_waiting_calls(
    struct admission *a, int64_t now, struct admission_changes *out)
{
	accrue_queues(a, now);
	for (size_t i = 0; i < a->view.queue_count; i++) {
		struct row_queue *q = &a->view.queues[i];

		while (q->waiting != 0)
			refuse_queued_call(
			    a, q, get_first_call(q), REFUSE_DRAINING, out);
		reap_queue(a, q);
	}
}

/* Returns the counts for metrics and X-Ggs-Load. */
struct admission_load
get_admission_load(const struct admission *a, int64_t now)
{
	struct rate_limit rate = a->rate;

	refill_rate_limit(&rate, now);
	return (struct admission_load){.in_flight = a->view.in_flight,
	    .queued = (int)a->view.waiting,
	    .slots = a->limiter.slots,
	    .limit =
		a->fixed_limit ? a->limiter.slots : get_limit(&a->limiter, now),
	    .body_wait_ns = get_body_wait(a),
	    .rate_per_s = rate.active ? rate.per_s : 0,
	    .rate_wait_ns = (int64_t)get_rate_wait_ns(&rate, 0, 0)};
}

/* Returns the running calls of a row. */
int
get_row_in_flight(const struct admission *a, int row)
{
	return a->view.queues[row].in_flight;
}

/* Returns the waiting calls of a row. */
int
get_row_queued(const struct admission *a, int row)
{
	return (int)a->view.queues[row].waiting;
}

/* Returns the recent mean service time of a row in ns, 0 when unknown. */
int64_t
get_row_service_ns(const struct admission *a, int row)
{
	return (int64_t)a->view.queues[row].service_ns;
}

/*
 * Returns the monotonic time in ns at which expire_calls() should run next;
 * INT64_MAX: never. While calls wait although slots are free (reserved for
 * floors, or a limit that grows), that is one poll interval from now; while
 * they wait for the rate limit, the time at which it admits the next one.
 */
int64_t
get_admission_wakeup(const struct admission *a, int64_t now)
{
	struct admission_load load = get_admission_load(a, now);
	int64_t at = INT64_MAX;

	if (a->view.waiting == 0)
		return at;
	for (size_t i = 0; i < a->view.queue_count; i++) {
		if (a->view.queues[i].base_queue >= 0 &&
		    a->view.queues[i].waiting > 0)
			at = now + LATE_POLL_NS;
	}
	if (load.rate_wait_ns > 0 && load.in_flight < load.limit) {
		int64_t admitted = now + load.rate_wait_ns + NSEC_PER_USEC;

		at = admitted < at ? admitted : at;
	} else if (load.in_flight < load.limit || load.limit < load.slots ||
		   !a->policy->by_deadline) {
		at = now + RESERVED_POLL_NS;
	}
	/* Ordered by arrival, finding the next expiry takes a full scan. */
	if (!a->policy->by_deadline)
		return at;
	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *q = &a->view.queues[i];
		size_t checked = q->delayed > 0 ? q->waiting :
				 q->waiting > 0 ? 1 :
						  0;

		for (size_t k = 0; k < checked; k++) {
			int64_t expiry = get_expiry(a, q, q->heap[k]);

			at = expiry < at ? expiry : at;
		}
	}
	return at < now ? now : at;
}

/*
 * Returns the first ns at which a waiting call is too late to start or, in a
 * base queue, belongs to the late calls.
 */
static int64_t
get_expiry(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c)
{
	int64_t at = c->deadline - get_start_need_ns(a, q) + 1;
	int64_t need = (int64_t)(TARGET_SERVICE_FACTOR * q->service_ns);

	if (c->target != 0 && q->late_queue >= 0 && c->target - need + 1 < at)
		at = c->target - need + 1;
	return at;
}

/* Returns the name of a policy for settings and reports. */
const char *
get_policy_name(enum admission_policy_id id)
{
	return get_slot_scheduler(id)->name;
}

/* Updates the limit and advances the time-weighted state of all rows to now. */
static void
accrue_queues(struct admission *a, int64_t now)
{
	double dt = (double)(now - a->accrued_at);

	refill_rate_limit(&a->rate, now);
	a->view.limit = get_admission_load(a, now).limit;
	if (dt <= 0)
		return;
	a->accrued_at = now;
	for (size_t i = 0; i < a->view.queue_count; i++) {
		if (a->view.queues[i].used)
			accrue_queue(&a->view.queues[i], a->view.limit, dt);
	}
}

/*
 * Starts waiting calls while slots are free and the rate limit allows it, in
 * the policy's order.
 */
static void
dispatch_calls(struct admission *a, int64_t now, struct admission_changes *out)
{
	a->view.limit = get_admission_load(a, now).limit;
	refill_rate_limit(&a->rate, now);
	while (a->view.waiting != 0 && may_start_call(a)) {
		struct row_queue *q;
		int i;

		mark_blocked_queues(a, now);
		i = a->policy->choose_queue(&a->view);
		if (i < 0)
			return;
		q = &a->view.queues[i];
		if (q->base_queue >= 0)
			a->free_slot_at = now;
		start_call(a, q, get_first_call(q), now, out);
	}
	if (may_start_call(a))
		a->free_slot_at = now;
}

static bool
may_start_call(const struct admission *a)
{
	return a->view.in_flight < a->view.limit && has_rate_room(&a->rate);
}

/* Marks the rows whose next call has a body that the link has no room for. */
static void
mark_blocked_queues(struct admission *a, int64_t now)
{
	bool room = has_inflow_room(&a->inflow, now);

	for (size_t i = 0; i < a->view.queue_count; i++) {
		struct row_queue *q = &a->view.queues[i];

		q->link_blocked = !room && q->waiting != 0 &&
				  get_first_call(q)->body_bytes > 0;
	}
}

/*
 * Starts one waiting call. A call that would miss its deadline is refused, and
 * one that would miss its target moves to the late queue.
 */
static void
start_call(struct admission *a, struct row_queue *q, struct admission_call *c,
    int64_t now, struct admission_changes *out)
{
	if (is_too_late_to_start(a, q, c, now) &&
	    !may_use_idle_slot(a, c, now)) {
		refuse_queued_call(a, q, c, REFUSE_DEADLINE, out);
		return;
	}
	if (would_be_late(q, c, now)) {
		demote_call(a, q, c, now, out);
		return;
	}
	unqueue_call(a, q, c);
	add_started_use(get_shares(a, q), c->account, now);
	a->view.waiting--;
	q->in_flight++;
	a->view.in_flight++;
	add_inflow(&a->inflow, c->body_bytes, now);
	consume_rate_limit(&a->rate);
	add_started_call(q);
	c->state = CALL_RUNNING;
	c->started = now;
	a->policy->charge_queue(&a->view, q);
	append_call(&out->run, c);
}

/* Says whether a call of a base queue would probably miss its target. */
static bool
would_be_late(
    const struct row_queue *q, const struct admission_call *c, int64_t now)
{
	return q->late_queue >= 0 && c->target != 0 &&
	       now + (int64_t)(TARGET_SERVICE_FACTOR * q->service_ns) >
		   c->target;
}

/*
 * Says whether a call may run although it will probably miss its deadline: it
 * has a target and no other call waits for the free slot. Otherwise a service
 * time estimate that grew too long while the server was slow would never be
 * corrected by another sample.
 */
static bool
may_use_idle_slot(
    const struct admission *a, const struct admission_call *c, int64_t now)
{
	return c->target != 0 && a->view.waiting == 1 && now < c->deadline;
}

/* Removes a waiting call from its queue and lists it as refused. */
static void
refuse_queued_call(struct admission *a, struct row_queue *q,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out)
{
	unqueue_call(a, q, c);
	a->view.waiting--;
	list_refused_call(a, q, c, reason, out);
}

/*
 * Lists a call that is no longer in a heap as refused. The list has no
 * particular order.
 */
static void
list_refused_call(const struct admission *a, const struct row_queue *q,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out)
{
	c->state = CALL_ENDED;
	c->reason = reason;
	c->retry_after_ns = get_retry_after(a, q, reason);
	c->next = out->refused;
	out->refused = c;
}

/*
 * Refuses late calls that have waited for LATE_WAIT_SHARE of the target, or all
 * of them when no slot was free for late calls recently: such a call would only
 * wait and be refused in the end.
 */
static void
expire_late_calls(struct admission *a, struct row_queue *q, int64_t now,
    struct admission_changes *out)
{
	const struct row_queue *base = get_base_queue(a, q);
	bool refuse_all = !base->patient && !may_queue_late(a, now);

	for (size_t i = q->waiting; i > 0; i--) {
		struct admission_call *c = q->heap[i - 1];

		if (refuse_all ||
		    now - c->late_since >= get_late_wait_max(base, c)) {
			refuse_queued_call(a, q, c, REFUSE_OVERLOAD, out);
			if (base->patient)
				c->retry_after_ns =
				    get_late_retry_after(a, base, c, now);
		}
		if (i > q->waiting + 1)
			i = q->waiting + 1;
	}
}

/*
 * Refuses the calls of a queue that can no longer meet their deadline and moves
 * those that would miss their target to the late queue. In a heap ordered by
 * deadline they are on top; in a heap ordered by arrival all calls are scanned.
 */
static void
expire_queue(struct admission *a, struct row_queue *q, int64_t now,
    struct admission_changes *out)
{
	size_t kept = 0, count = q->waiting;

	if (q->base_queue >= 0)
		expire_late_calls(a, q, now, out);
	if (q->by_deadline) {
		while (q->waiting != 0 &&
		       is_too_late_to_start(a, q, q->heap[0], now))
			refuse_queued_call(
			    a, q, q->heap[0], REFUSE_DEADLINE, out);
		while (q->waiting != 0 && would_be_late(q, q->heap[0], now))
			demote_call(a, q, q->heap[0], now, out);
		if (q->delayed > 0 && q->base_queue < 0)
			expire_delayed_calls(a, q, now, out);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct admission_call *c = q->heap[i];

		if (!is_too_late_to_start(a, q, c, now)) {
			q->heap[kept++] = c;
			continue;
		}
		remove_waiting_use(get_shares(a, q), c->account);
		q->delayed -= c->share_delay_ns > 0;
		list_refused_call(a, q, c, REFUSE_DEADLINE, out);
	}
	a->view.waiting -= count - kept;
	q->waiting = kept;
	if (kept != count)
		rebuild_heap(q);
}

/*
 * Does the same for the calls beyond the share of their account, which need not
 * be on top of the heap when they expire.
 */
static void
expire_delayed_calls(struct admission *a, struct row_queue *q, int64_t now,
    struct admission_changes *out)
{
	for (size_t i = q->waiting; i > 0; i--) {
		struct admission_call *c = q->heap[i - 1];

		if (c->share_delay_ns == 0)
			continue;
		if (is_too_late_to_start(a, q, c, now))
			refuse_queued_call(a, q, c, REFUSE_DEADLINE, out);
		else if (would_be_late(q, c, now))
			demote_call(a, q, c, now, out);
		if (i > q->waiting + 1)
			i = q->waiting + 1;
	}
}

/*
 * Returns the call to refuse in a full queue: the last one of those beyond the
 * share of their account, else the new one.
 */
static struct admission_call *
find_overflow_call(const struct row_queue *q, struct admission_call *c)
{
	struct admission_call *last = c;

	for (size_t i = 0; i < q->waiting && q->delayed > 0; i++) {
		struct admission_call *o = q->heap[i];

		if (o->share_delay_ns == 0)
			continue;
		if (last->share_delay_ns == 0 || o->sort_key > last->sort_key ||
		    (o->sort_key == last->sort_key && o->seq > last->seq))
			last = o;
	}
	return last;
}

/* Returns the use by account of the row to which the queue belongs. */
static struct account_shares *
get_shares(struct admission *a, const struct row_queue *q)
{
	size_t base = q->base_queue >= 0 ? (size_t)q->base_queue :
					   (size_t)(q - a->view.queues);

	return &a->view.queues[base].shares;
}

/* Adds a call to a queue and to the use of its account. */
static int
queue_call(struct admission *a, struct row_queue *q, struct admission_call *c,
    int64_t now)
{
	int rc = push_call(q, c);

	if (rc == 0)
		add_waiting_use(get_shares(a, q), c->account, c->share, now);
	return rc;
}

static void
unqueue_call(struct admission *a, struct row_queue *q, struct admission_call *c)
{
	remove_call(q, c);
	remove_waiting_use(get_shares(a, q), c->account);
}

/* Ends an offered call as refused and returns the verdict. */
static struct admit_verdict
refuse_offer(
    struct admission *a, struct admission_call *c, enum refuse_reason reason)
{
	const struct row_queue *q =
	    c->queue < 0 ? NULL : &a->view.queues[c->queue];

	c->state = CALL_ENDED;
	c->reason = reason;
	c->retry_after_ns = get_retry_after(a, q, reason);
	return (struct admit_verdict){.action = ADMIT_REFUSED,
	    .reason = reason,
	    .retry_after_ns = c->retry_after_ns};
}

/* Creates the queue for the late calls of a row. Returns ERR_MEMORY. */
static int
create_late_queue(struct admission *a, int row)
{
	struct row_queue *q;
	int i;

	if (add_queue(a, &i) != 0)
		return ERR_MEMORY;
	q = &a->view.queues[i];
	q->used = true;
	q->rank = a->view.queues[row].rank + LATE_RANK_OFFSET;
	q->weight = a->view.queues[row].weight;
	q->limit_pct = 100;
	q->queue_max = a->view.queues[row].queue_max;
	q->target_ns = a->view.queues[row].target_ns;
	q->by_deadline = a->policy->by_deadline;
	q->late_queue = -1;
	q->base_queue = row;
	a->view.queues[row].late_queue = i;
	return 0;
}

/*
 * Adds a call's body to the mean body size of its row; calls without a body do
 * not count.
 */
static void
update_mean_body(struct row_queue *q, const struct admission_call *c)
{
	if (c->body_bytes == 0)
		return;
	if (q->body_bytes <= 0)
		q->body_bytes = (double)c->body_bytes;
	q->body_bytes += BODY_GAIN * ((double)c->body_bytes - q->body_bytes);
}

/*
 * Refuses the waiting calls of a base queue that the rate limit would not admit
 * in time for their target. Those that go before a call count even if they are
 * refused, too.
 */
static void
refuse_beyond_rate(struct admission *a, struct row_queue *q, int64_t now,
    struct admission_changes *out)
{
	if (!q->used || q->base_queue >= 0)
		return;
	for (size_t i = q->waiting; i > 0; i--) {
		struct admission_call *c = q->heap[i - 1];

		if (c->target != 0 && misses_target(a, q, c, now))
			refuse_queued_call(a, q, c, REFUSE_OVERLOAD, out);
		if (i > q->waiting + 1)
			i = q->waiting + 1;
	}
}

/*
 * Says whether a call that will be late may wait. In a patient row a call that
 * comes back after a refusal and is late already may, while the late calls before
 * it will probably have started in most of the time that is left to it: at the
 * pace of the last second, or at a small share of the slots, which come free when
 * the load falls again. A call that has its tries left is refused instead.
 */
static bool
fits_late_queue(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now)
{
	const struct row_queue *late = &a->view.queues[q->late_queue];
	double per_s, wait_s;

	if (may_queue_late(a, now) &&
	    estimate_wait(a, late) + estimate_body_wait(a, q, c) <=
		LATE_WAIT_SHARE * (double)q->target_ns)
		return true;
	if (!q->patient || c->target > now || q->service_ns <= 0)
		return false;
	per_s = late->started_per_s + LATE_SLOT_SHARE * a->view.limit *
					  (double)NSEC_PER_SEC / q->service_ns;
	wait_s = (double)(late->waiting + 1) / per_s;
	return wait_s * (double)NSEC_PER_SEC +
		   TARGET_SERVICE_FACTOR * q->service_ns <
	       LATE_PATIENCE_SHARE * (double)(c->deadline - now);
}

/*
 * Returns how long a late call waits before it is refused, ns. q is the base
 * queue.
 */
static int64_t
get_late_wait_max(const struct row_queue *q, const struct admission_call *c)
{
	if (!q->patient)
		return (int64_t)(LATE_WAIT_SHARE * (double)q->target_ns);
	return (int64_t)(LATE_PATIENCE_SHARE *
			 (double)(c->deadline - c->late_since));
}

/*
 * Moves a waiting call to the late queue, behind all calls that can still meet
 * their target. In an overload it is refused.
 */
static void
demote_call(struct admission *a, struct row_queue *q, struct admission_call *c,
    int64_t now, struct admission_changes *out)
{
	struct row_queue *late = &a->view.queues[q->late_queue];

	if (!may_queue_late(a, now) && !fits_late_queue(a, q, c, now)) {
		refuse_queued_call(a, q, c, REFUSE_OVERLOAD, out);
		if (q->patient)
			c->retry_after_ns = get_late_retry_after(a, q, c, now);
		return;
	}
	unqueue_call(a, q, c);
	c->sort_key = c->deadline + c->share_delay_ns;
	c->queue = q->late_queue;
	c->late_since = now;
	if (queue_call(a, late, c, now) == 0)
		return;
	a->view.waiting--;
	list_refused_call(a, late, c, REFUSE_OVERLOAD, out);
}

/*
 * Refuses a call that would miss its target, with a retry delay that leaves
 * time to meet it.
 */
static struct admit_verdict
refuse_late_offer(struct admission *a, struct admission_call *c, int64_t now)
{
	struct admit_verdict v = refuse_offer(a, c, REFUSE_OVERLOAD);

	v.retry_after_ns =
	    get_late_retry_after(a, &a->view.queues[c->queue], c, now);
	c->retry_after_ns = v.retry_after_ns;
	return v;
}

/* Returns the queue of a kind and rank, current or retired, or -1. */
static int
find_queue(const struct admission *a, struct str kind, int own_rank)
{
	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *q = &a->view.queues[i];

		if (q->used && q->own_rank == own_rank &&
		    is_str_equal(make_str(q->kind), kind))
			return (int)i;
	}
	return -1;
}

/*
 * Finds or allocates an unused queue and sets its index. Allocation moves the
 * array. Returns ERR_MEMORY.
 */
static int
add_queue(struct admission *a, int *out)
{
	size_t n = a->view.queue_count;
	struct row_queue *queues;

	for (size_t i = 0; i < n; i++) {
		if (!a->view.queues[i].used) {
			*out = (int)i;
			return 0;
		}
	}
	queues = realloc(a->view.queues, (n + 1) * sizeof(*queues));
	if (queues == NULL)
		return ERR_MEMORY;
	memset(&queues[n], 0, sizeof(queues[n]));
	a->view.queues = queues;
	a->view.queue_count = n + 1;
	*out = (int)n;
	return 0;
}

/* Frees a retired row's queue and late queue once their last call has ended. */
static void
reap_queue(struct admission *a, struct row_queue *q)
{
	struct row_queue *late =
	    q->late_queue >= 0 ? &a->view.queues[q->late_queue] : NULL;

	if (!q->used || !q->retired || q->waiting != 0 || q->in_flight != 0 ||
	    q->base_queue >= 0)
		return;
	if (late != NULL && (late->waiting != 0 || late->in_flight != 0))
		return;
	if (late != NULL)
		clear_queue(late);
	clear_queue(q);
}

/* Appends a call to a list of changes. */
static void
append_call(struct admission_call **list, struct admission_call *c)
{
	while (*list != NULL)
		list = &(*list)->next;
	c->next = NULL;
	*list = c;
}

/* Removes a call from a list of changes; false when it is not in the list. */
static bool
remove_from_list(struct admission_call **list, struct admission_call *c)
{
	for (; *list != NULL; list = &(*list)->next) {
		if (*list == c) {
			*list = c->next;
			c->next = NULL;
			return true;
		}
	}
	return false;
}
