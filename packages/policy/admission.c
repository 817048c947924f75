/*
 * Admission: the life of a call at one backend server. Which row gets a slot is
 * decided in sharing.c, how many slots there are in limiter.c.
 */
#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "estimate.h"

#define POLL_NS (10 * NSEC_PER_MSEC) /* wake-up while slots are held back */
#define LATE_RANK 100 /* late calls come behind all rows */
#define LATE_POLL_NS (25 * NSEC_PER_MSEC) /* looks at waiting late calls */
#define LATE_WAIT_SHARE 0.25 /* of the target: longest wait of a late call */
#define BODY_GAIN 0.02 /* of the recent mean of a row's bodies */

static void accrue(struct admission *a, int64_t now);
static void pump(
    struct admission *a, int64_t now, struct admission_changes *out);
static void hold_bodies(struct admission *a, int64_t now);
static void start_call(struct admission *a, struct lane *l,
    struct admission_call *c, int64_t now, struct admission_changes *out);
static bool may_try(
    const struct admission *a, const struct admission_call *c, int64_t now);
static void drop_waiting(struct admission *a, struct lane *l,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out);
static void end_refused(const struct admission *a, const struct lane *l,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out);
static void drop_long_late(struct admission *a, struct lane *l, int64_t now,
    struct admission_changes *out);
static void expire_lane(struct admission *a, struct lane *l, int64_t now,
    struct admission_changes *out);
static struct admit_verdict refuse_offer(
    struct admission *a, struct admission_call *c, enum refuse_reason reason);
static int open_late_lane(struct admission *a, int row);
static void note_body_size(struct lane *l, const struct admission_call *c);
static void demote_call(struct admission *a, struct lane *l,
    struct admission_call *c, int64_t now, struct admission_changes *out);
static struct admit_verdict refuse_late(
    struct admission *a, struct admission_call *c, int64_t now);
static int find_lane(const struct admission *a, struct str kind);
static int add_lane(struct admission *a, int *out);
static void reap_lane(struct admission *a, struct lane *l);
static void append_call(struct admission_call **list, struct admission_call *c);
static bool remove_listed(
    struct admission_call **list, struct admission_call *c);

/* Creates the admission of a backend server; it has no rows yet. */
int
create_admission(
    const struct admission_config *cfg, int64_t now, struct admission **out)
{
	struct admission *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return ERR_MEMORY;
	a->policy = get_sharing_policy(cfg->policy);
	a->fixed_limit = cfg->fixed_limit || !a->policy->bounded;
	a->accrued_at = now;
	a->inflow.rate = cfg->link_rate;
	start_limiter(&a->limiter, cfg->slots, cfg->cold, now);
	*out = a;
	return 0;
}

/* Frees the module's memory. Calls still known to it are forgotten. */
void
destroy_admission(struct admission *a)
{
	if (a == NULL)
		return;
	for (size_t i = 0; i < a->view.lane_count; i++)
		unload_lane(&a->view.lanes[i]);
	free(a->view.lanes);
	free(a);
}

/*
 * Switches to the rows of a service in a table, of which nothing is kept.
 * Waiting calls are shared out by the new cells at once. Rows that left the
 * table take no new calls; their waiting and running calls finish under the
 * cells they had. Returns ERR_MEMORY with the former rows in force.
 */
int
set_admission_table(struct admission *a, const struct table *t,
    struct str service, int64_t now, struct admission_changes *out)
{
	struct lane *lanes;
	int i;

	accrue(a, now);
	for (size_t n = 0; n < t->row_count; n++) {
		if (is_str_equal(make_str(t->rows[n]->service), service) &&
		    find_lane(a, make_str(t->rows[n]->kind)) < 0) {
			if (add_lane(a, &i) != 0)
				return ERR_MEMORY;
			lanes = a->view.lanes;
			load_lane(
			    &lanes[i], t->rows[n], a->policy->by_deadline);
		}
	}
	lanes = a->view.lanes;
	for (size_t n = 0; n < a->view.lane_count; n++)
		lanes[n].retired = lanes[n].used;
	for (size_t n = 0; n < t->row_count; n++) {
		if (!is_str_equal(make_str(t->rows[n]->service), service))
			continue;
		i = find_lane(a, make_str(t->rows[n]->kind));
		load_lane(&lanes[i], t->rows[n], a->policy->by_deadline);
	}
	for (size_t n = 0; n < a->view.lane_count; n++)
		reap_lane(a, &lanes[n]);
	pump(a, now, out);
	return 0;
}

int
open_admission_row(struct admission *a, const struct row *r, bool urgent)
{
	int i = find_lane(a, make_str(r->kind));

	if (i >= 0 && !a->view.lanes[i].retired &&
	    a->view.lanes[i].urgent == urgent)
		return i;
	if (i < 0 && add_lane(a, &i) != 0)
		return ERR_MEMORY;
	a->view.lanes[i].urgent = urgent;
	load_lane(&a->view.lanes[i], r, a->policy->by_deadline);
	if (a->view.lanes[i].late < 0 && open_late_lane(a, i) != 0)
		return ERR_MEMORY;
	return i;
}

/*
 * Rows without calls are given up; they come back with their next call.
 */
void
refresh_admission_rows(struct admission *a, const struct table *t, int64_t now,
    struct admission_changes *out)
{
	accrue(a, now);
	for (size_t i = 0; i < a->view.lane_count; i++) {
		struct lane *l = &a->view.lanes[i];
		const struct row *r =
		    l->used ? find_row(t, make_str(l->kind)) : NULL;

		if (!l->used || l->main >= 0)
			continue;
		if (r != NULL)
			load_lane(l, r, a->policy->by_deadline);
		else
			l->retired = true;
		if (l->late >= 0)
			a->view.lanes[l->late].retired = l->retired;
		reap_lane(a, l);
	}
	pump(a, now, out);
}

/* Returns the index of a row in the present table, or ERR_NOT_FOUND. */
int
find_admission_row(const struct admission *a, struct str kind)
{
	int i = find_lane(a, kind);

	if (i < 0 || a->view.lanes[i].retired)
		return ERR_NOT_FOUND;
	return i;
}

/*
 * Offers a call of a row. The verdict is final for this call unless it says
 * queued; then a later operation lists the call as run or refused. A call whose
 * deadline cannot be met by the present estimate is refused at once.
 */
struct admit_verdict
offer_call(struct admission *a, struct admission_call *c, int row, int64_t now,
    struct admission_changes *out)
{
	struct admit_verdict v = {.action = ADMIT_RUN};
	struct lane *l;

	c->arrived = now;
	c->seq = a->next_seq++;
	c->lane = -1;
	c->next = NULL;
	if (a->draining)
		return refuse_offer(a, c, REFUSE_DRAINING);
	if (row < 0 || (size_t)row >= a->view.lane_count ||
	    !a->view.lanes[row].used || a->view.lanes[row].retired)
		return refuse_offer(a, c, REFUSE_UNKNOWN_KIND);
	accrue(a, now);
	l = &a->view.lanes[row];
	note_body_size(l, c);
	c->lane = row;
	if (c->target == 0 && is_hopeless(a, l, c, now)) {
		l->overflowed = l->waiting != 0;
		return refuse_offer(a, c, REFUSE_DEADLINE);
	}
	if (c->target == 0 && a->policy->sheds && is_overloaded(l))
		return refuse_offer(a, c, REFUSE_OVERLOAD);
	if (c->target != 0 && now >= c->deadline)
		return refuse_offer(a, c, REFUSE_DEADLINE);
	c->order = c->target != 0 ? c->target : c->deadline;
	if (c->target != 0 && misses_target(a, l, c, now)) {
		if (!may_wait_late(a, now) ||
		    estimate_wait(a, &a->view.lanes[l->late]) +
			    estimate_body_wait(a, l, c) >
			LATE_WAIT_SHARE * (double)l->target_ns)
			return refuse_late(a, c, now);
		c->order = c->deadline;
		c->lane = l->late;
		c->late_since = now;
		l = &a->view.lanes[l->late];
	}
	if (push_call(l, c) != 0)
		return refuse_offer(a, c, REFUSE_OVERLOAD);
	c->state = CALL_WAITING;
	a->view.waiting++;
	pump(a, now, out);
	if (c->state == CALL_RUNNING) {
		(void)remove_listed(&out->run, c);
		return v;
	}
	if (c->state == CALL_WAITING && c->no_wait)
		drop_waiting(a, l, c, REFUSE_BUSY, out);
	if (c->state == CALL_WAITING && a->policy->bounded &&
	    l->waiting > (size_t)l->queue_max) {
		drop_waiting(a, l, c, REFUSE_OVERLOAD, out);
		l->overflowed = l->waiting != 0;
	}
	if (c->state == CALL_ENDED) {
		(void)remove_listed(&out->refused, c);
		return (struct admit_verdict){.action = ADMIT_REFUSED,
		    .reason = c->reason,
		    .retry_after_ns = c->retry_after_ns};
	}
	v.action = ADMIT_QUEUED;
	return v;
}

/*
 * Calls of other rows that wait do not fill a row: they may be held back beside
 * free slots. A refusal counts as an overflow, as one in offer_call() does.
 */
struct admit_verdict
check_offer(struct admission *a, int row, int64_t deadline, int64_t now)
{
	struct admit_verdict v = {.action = ADMIT_QUEUED};
	struct admission_call c = {.deadline = deadline};
	struct lane *l;
	bool full;

	if (row < 0 || (size_t)row >= a->view.lane_count)
		return v;
	l = &a->view.lanes[row];
	full = a->policy->bounded && l->waiting >= (size_t)l->queue_max &&
	       (l->waiting > 0 ||
		   a->view.in_flight >= get_limit(&a->limiter, now));
	if (is_hopeless(a, l, &c, now))
		v.reason = REFUSE_DEADLINE;
	else if (full || (a->policy->sheds && is_overloaded(l)))
		v.reason = REFUSE_OVERLOAD;
	else
		return v;
	v.action = ADMIT_REFUSED;
	l->overflowed = l->overflowed || l->waiting != 0;
	return v;
}

/*
 * Ends a running call and starts others in its place. service_ns is the time
 * from dispatch to the answer. NOT_RUN says that the backend server shed the
 * call: its time tells nothing about the row, but the limit falls.
 */
void
finish_call(struct admission *a, struct admission_call *c,
    enum call_outcome outcome, int64_t service_ns, int64_t now,
    struct admission_changes *out)
{
	struct lane *l = &a->view.lanes[c->lane];

	if (c->state != CALL_RUNNING)
		return;
	accrue(a, now);
	if (outcome == OUTCOME_NOT_RUN) {
		add_limiter_shed(&a->limiter, a->view.in_flight, now);
	} else if (service_ns > 0) {
		struct lane *m = (struct lane *)(uintptr_t)get_main(a, l);

		add_service_sample(m, (double)service_ns);
		add_limiter_sample(
		    &a->limiter, (double)service_ns / m->usual_ns, now);
	}
	c->state = CALL_ENDED;
	take_inflow(&a->inflow, c->body_bytes, now);
	c->body_bytes = 0;
	l->in_flight--;
	a->view.in_flight--;
	reap_lane(a, l);
	pump(a, now, out);
}

void
note_body_bytes(struct admission *a, struct admission_call *c, int64_t bytes,
    int64_t now, struct admission_changes *out)
{
	if (c->state != CALL_RUNNING || a->inflow.rate == 0)
		return;
	if (bytes > c->body_bytes)
		bytes = c->body_bytes;
	c->body_bytes -= bytes;
	take_inflow(&a->inflow, bytes, now);
	accrue(a, now);
	pump(a, now, out);
}

/*
 * Takes back a waiting call, which then counts as not run. Returns ERR_INVALID
 * when the call does not wait; a running call ends by finish_call() only.
 */
int
cancel_call(struct admission *a, struct admission_call *c, int64_t now,
    struct admission_changes *out)
{
	struct lane *l;

	if (c->state != CALL_WAITING)
		return ERR_INVALID;
	l = &a->view.lanes[c->lane];
	accrue(a, now);
	remove_call(l, c);
	a->view.waiting--;
	c->state = CALL_ENDED;
	reap_lane(a, l);
	pump(a, now, out);
	return 0;
}

/*
 * Refuses the waiting calls that can no longer meet their deadline and starts
 * calls whose slots were held back. Called at get_admission_wakeup().
 */
void
expire_calls(struct admission *a, int64_t now, struct admission_changes *out)
{
	accrue(a, now);
	/* Late lanes last: the others move calls there. */
	for (int late = 0; late < 2; late++) {
		for (size_t i = 0; i < a->view.lane_count; i++) {
			struct lane *l = &a->view.lanes[i];

			if (l->used && (l->main >= 0) == (late == 1))
				expire_lane(a, l, now, out);
		}
	}
	for (size_t i = 0; i < a->view.lane_count; i++)
		reap_lane(a, &a->view.lanes[i]);
	pump(a, now, out);
}

/* Takes over a new announced number of slots; running calls go on. */
void
set_admission_slots(
    struct admission *a, int slots, int64_t now, struct admission_changes *out)
{
	accrue(a, now);
	set_limiter_slots(&a->limiter, slots, now);
	pump(a, now, out);
}

/*
 * Refuses every waiting call and every later offer as draining, so that entry
 * nodes send them elsewhere. Running calls end by finish_call().
 */
void
drain_admission(struct admission *a, int64_t now, struct admission_changes *out)
{
	a->draining = true;
	refuse_waiting(a, now, out);
}

void
refuse_waiting(struct admission *a, int64_t now, struct admission_changes *out)
{
	accrue(a, now);
	for (size_t i = 0; i < a->view.lane_count; i++) {
		struct lane *l = &a->view.lanes[i];

		while (l->waiting != 0)
			drop_waiting(
			    a, l, get_first_call(l), REFUSE_DRAINING, out);
		reap_lane(a, l);
	}
}

/* Returns the counts for metrics and X-Ggs-Load. */
struct admission_load
get_admission_load(const struct admission *a, int64_t now)
{
	return (struct admission_load){.in_flight = a->view.in_flight,
	    .queued = (int)a->view.waiting,
	    .slots = a->limiter.slots,
	    .limit =
		a->fixed_limit ? a->limiter.slots : get_limit(&a->limiter, now),
	    .body_wait_ns = get_body_wait(a)};
}

/* Returns the running calls of a row. */
int
get_row_in_flight(const struct admission *a, int row)
{
	return a->view.lanes[row].in_flight;
}

/* Returns the waiting calls of a row. */
int
get_row_queued(const struct admission *a, int row)
{
	return (int)a->view.lanes[row].waiting;
}

/* Returns the recent mean service time of a row in ns, 0 when unknown. */
int64_t
get_row_service_ns(const struct admission *a, int row)
{
	return (int64_t)a->view.lanes[row].service_ns;
}

/*
 * Returns the time of the next expiry. While calls wait beside free slots
 * (held back for floors, or a limit that grows) the next look is soon.
 */
int64_t
get_admission_wakeup(const struct admission *a, int64_t now)
{
	struct admission_load load = get_admission_load(a, now);
	int64_t at = INT64_MAX;

	if (a->view.waiting == 0)
		return at;
	for (size_t i = 0; i < a->view.lane_count; i++) {
		if (a->view.lanes[i].main >= 0 && a->view.lanes[i].waiting > 0)
			at = now + LATE_POLL_NS;
	}
	if (load.in_flight < load.limit || load.limit < load.slots ||
	    !a->policy->by_deadline)
		at = now + POLL_NS;
	if (!a->policy->by_deadline) /* a look at all calls is costly */
		return at;
	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *l = &a->view.lanes[i];
		const struct admission_call *c = get_first_call(l);
		int64_t need = get_least_run(a, l);

		/* The first ns at which the call is too late. */
		if (c != NULL && c->deadline - need + 1 < at)
			at = c->deadline - need + 1;
		need = (int64_t)(TARGET_NEED * l->service_ns);
		if (c != NULL && c->target != 0 && l->late >= 0 &&
		    c->target - need + 1 < at)
			at = c->target - need + 1;
	}
	return at < now ? now : at;
}

/* Returns the name of a policy for settings and reports. */
const char *
get_policy_name(enum admission_policy_id id)
{
	return get_sharing_policy(id)->name;
}

/* Moves the time-weighted state of all rows to now and refreshes the limit. */
static void
accrue(struct admission *a, int64_t now)
{
	double dt = (double)(now - a->accrued_at);

	a->view.limit = get_admission_load(a, now).limit;
	if (dt <= 0)
		return;
	a->accrued_at = now;
	for (size_t i = 0; i < a->view.lane_count; i++) {
		if (a->view.lanes[i].used)
			accrue_lane(&a->view.lanes[i], a->view.limit, dt);
	}
}

/* Starts waiting calls while slots are free. */
static void
pump(struct admission *a, int64_t now, struct admission_changes *out)
{
	a->view.limit = get_admission_load(a, now).limit;
	while (a->view.waiting != 0 && a->view.in_flight < a->view.limit) {
		struct lane *l;
		int i;

		hold_bodies(a, now);
		i = a->policy->choose_lane(&a->view);
		if (i < 0)
			return;
		l = &a->view.lanes[i];
		if (l->main >= 0)
			a->slack_at = now;
		start_call(a, l, get_first_call(l), now, out);
	}
	if (a->view.in_flight < a->view.limit)
		a->slack_at = now;
}

/* Holds back the rows whose next call has a body that the link has no room for. */
static void
hold_bodies(struct admission *a, int64_t now)
{
	bool room = has_inflow_room(&a->inflow, now);

	for (size_t i = 0; i < a->view.lane_count; i++) {
		struct lane *l = &a->view.lanes[i];

		l->held_by_link = !room && l->waiting != 0 &&
				  get_first_call(l)->body_bytes > 0;
	}
}

/* Starts one waiting call, or refuses it when it is too late for it. */
static void
start_call(struct admission *a, struct lane *l, struct admission_call *c,
    int64_t now, struct admission_changes *out)
{
	if (is_late(a, l, c, now) && !may_try(a, c, now)) {
		drop_waiting(a, l, c, REFUSE_DEADLINE, out);
		return;
	}
	if (l->late >= 0 && c->target != 0 &&
	    now + (int64_t)(TARGET_NEED * l->service_ns) > c->target) {
		demote_call(a, l, c, now, out);
		return;
	}
	remove_call(l, c);
	a->view.waiting--;
	l->in_flight++;
	a->view.in_flight++;
	add_inflow(&a->inflow, c->body_bytes, now);
	c->state = CALL_RUNNING;
	c->started = now;
	a->policy->charge_lane(&a->view, l);
	append_call(&out->run, c);
}

/*
 * A free slot that no other call waits for is used although the call will
 * probably end late. An estimate that grew too long while the server was in
 * trouble would otherwise never be corrected by another run.
 */
static bool
may_try(const struct admission *a, const struct admission_call *c, int64_t now)
{
	return c->target != 0 && a->view.waiting == 1 && now < c->deadline;
}

/* Refuses a waiting call. */
static void
drop_waiting(struct admission *a, struct lane *l, struct admission_call *c,
    enum refuse_reason reason, struct admission_changes *out)
{
	remove_call(l, c);
	a->view.waiting--;
	end_refused(a, l, c, reason, out);
}

/* Lists a call that has left its heap as refused; the order is of no use. */
static void
end_refused(const struct admission *a, const struct lane *l,
    struct admission_call *c, enum refuse_reason reason,
    struct admission_changes *out)
{
	c->state = CALL_ENDED;
	c->reason = reason;
	c->retry_after_ns = get_retry_after(a, l, reason);
	c->next = out->refused;
	out->refused = c;
}

/*
 * Refuses the late calls that waited long enough, or all of them in a lasting
 * overload: holding a call that is not served in the end helps nobody.
 */
static void
drop_long_late(struct admission *a, struct lane *l, int64_t now,
    struct admission_changes *out)
{
	int64_t longest = (int64_t)(LATE_WAIT_SHARE * (double)l->target_ns);
	bool none = !may_wait_late(a, now);

	for (size_t i = l->waiting; i > 0; i--) {
		struct admission_call *c = l->heap[i - 1];

		if (none || now - c->late_since >= longest)
			drop_waiting(a, l, c, REFUSE_OVERLOAD, out);
		if (i > l->waiting + 1)
			i = l->waiting + 1;
	}
}

/*
 * Refuses the calls of a row that cannot end in time. In a heap by deadline they are on top; in a
 * heap by arrival they may be anywhere, so all calls are looked at.
 */
static void
expire_lane(struct admission *a, struct lane *l, int64_t now,
    struct admission_changes *out)
{
	size_t kept = 0, count = l->waiting;

	if (l->main >= 0)
		drop_long_late(a, l, now, out);
	if (l->by_deadline) {
		while (l->waiting != 0 && is_late(a, l, l->heap[0], now))
			drop_waiting(a, l, l->heap[0], REFUSE_DEADLINE, out);
		while (l->waiting != 0 && l->late >= 0 &&
		       l->heap[0]->target != 0 &&
		       now + (int64_t)(TARGET_NEED * l->service_ns) >
			   l->heap[0]->target)
			demote_call(a, l, l->heap[0], now, out);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct admission_call *c = l->heap[i];

		if (is_late(a, l, c, now))
			end_refused(a, l, c, REFUSE_DEADLINE, out);
		else
			l->heap[kept++] = c;
	}
	a->view.waiting -= count - kept;
	l->waiting = kept;
	if (kept != count)
		rebuild_heap(l);
}

/* Ends an offered call as refused. */
static struct admit_verdict
refuse_offer(
    struct admission *a, struct admission_call *c, enum refuse_reason reason)
{
	const struct lane *l = c->lane < 0 ? NULL : &a->view.lanes[c->lane];

	c->state = CALL_ENDED;
	c->reason = reason;
	c->retry_after_ns = get_retry_after(a, l, reason);
	return (struct admit_verdict){.action = ADMIT_REFUSED,
	    .reason = reason,
	    .retry_after_ns = c->retry_after_ns};
}

/*
 * Makes the lane of a row's late calls.
 */
static int
open_late_lane(struct admission *a, int row)
{
	struct lane *l;
	int i;

	if (add_lane(a, &i) != 0)
		return ERR_MEMORY;
	l = &a->view.lanes[i];
	l->used = true;
	l->rank = a->view.lanes[row].rank + LATE_RANK;
	l->weight = a->view.lanes[row].weight;
	l->limit_pct = 100;
	l->queue_max = a->view.lanes[row].queue_max;
	l->target_ns = a->view.lanes[row].target_ns;
	l->by_deadline = a->policy->by_deadline;
	l->late = -1;
	l->main = row;
	a->view.lanes[row].late = i;
	return 0;
}

static void
note_body_size(struct lane *l, const struct admission_call *c)
{
	if (c->body_bytes == 0)
		return;
	if (l->body_bytes <= 0)
		l->body_bytes = (double)c->body_bytes;
	l->body_bytes += BODY_GAIN * ((double)c->body_bytes - l->body_bytes);
}

/*
 * Moves a waiting call behind all that can still be in time, or refuses it in
 * an overload.
 */
static void
demote_call(struct admission *a, struct lane *l, struct admission_call *c,
    int64_t now, struct admission_changes *out)
{
	struct lane *late = &a->view.lanes[l->late];

	if (!may_wait_late(a, now)) {
		drop_waiting(a, l, c, REFUSE_OVERLOAD, out);
		return;
	}
	remove_call(l, c);
	c->order = c->deadline;
	c->lane = l->late;
	c->late_since = now;
	if (push_call(late, c) == 0)
		return;
	a->view.waiting--;
	end_refused(a, late, c, REFUSE_OVERLOAD, out);
}

static struct admit_verdict
refuse_late(struct admission *a, struct admission_call *c, int64_t now)
{
	struct admit_verdict v = refuse_offer(a, c, REFUSE_OVERLOAD);

	v.retry_after_ns = get_late_retry(a, &a->view.lanes[c->lane], c, now);
	c->retry_after_ns = v.retry_after_ns;
	return v;
}

/* Returns the lane of a kind, current or retired, or -1. */
static int
find_lane(const struct admission *a, struct str kind)
{
	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *l = &a->view.lanes[i];

		if (l->used && is_str_equal(make_str(l->kind), kind))
			return (int)i;
	}
	return -1;
}

/* Finds or makes room for a lane. */
static int
add_lane(struct admission *a, int *out)
{
	size_t n = a->view.lane_count;
	struct lane *lanes;

	for (size_t i = 0; i < n; i++) {
		if (!a->view.lanes[i].used) {
			*out = (int)i;
			return 0;
		}
	}
	lanes = realloc(a->view.lanes, (n + 1) * sizeof(*lanes));
	if (lanes == NULL)
		return ERR_MEMORY;
	memset(&lanes[n], 0, sizeof(lanes[n]));
	a->view.lanes = lanes;
	a->view.lane_count = n + 1;
	*out = (int)n;
	return 0;
}

/* Frees a lane that left the table, once its last call has ended. */
static void
reap_lane(struct admission *a, struct lane *l)
{
	struct lane *late = l->late >= 0 ? &a->view.lanes[l->late] : NULL;

	if (!l->used || !l->retired || l->waiting != 0 || l->in_flight != 0 ||
	    l->main >= 0)
		return;
	if (late != NULL && (late->waiting != 0 || late->in_flight != 0))
		return;
	if (late != NULL)
		unload_lane(late);
	unload_lane(l);
}

/* Appends to a list of changes. */
static void
append_call(struct admission_call **list, struct admission_call *c)
{
	while (*list != NULL)
		list = &(*list)->next;
	c->next = NULL;
	*list = c;
}

/* Removes from a list of changes; false when it is not there. */
static bool
remove_listed(struct admission_call **list, struct admission_call *c)
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
