/*
 * Estimates: how long a call waits for a slot and for its body, and whether it
 * can end in time.
 */
#include "estimate.h"

#include "deadline.h"

#define RETRY_AFTER_MIN_NS (50 * NSEC_PER_MSEC)
#define RETRY_AFTER_MAX_NS (30 * NSEC_PER_SEC)
#define RETRY_AFTER_DRAIN_NS NSEC_PER_SEC /* others serve the service */
/*
 * Late calls may wait while slots were free for them within this time; in a
 * longer overload they would only be held for nothing.
 */
#define SLACK_NS (250 * NSEC_PER_MSEC)
/*
 * A link that cannot carry all bodies serves most calls when the long ones are
 * refused first: the wait for the link counts this many times more for a body
 * of the mean size of its row, and in proportion to its size.
 */
#define LONG_BODY_COST 3.0
#define TARGET_RETRY_MIN_NS (20 * NSEC_PER_MSEC)

static double estimate_ahead(const struct admission *a, const struct lane *l,
    const struct admission_call *c);
static double get_body_ratio(
    const struct lane *l, const struct admission_call *c);

/* Says whether a call that starts now ends too late. */
bool
is_late(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now)
{
	return !can_meet_deadline(now, c->deadline, get_least_run(a, l));
}

/*
 * Returns the time that a call must have left to be started, in ns. A late call
 * may still be answered by a run that is short.
 */
int64_t
get_least_run(const struct admission *a, const struct lane *l)
{
	int64_t need =
	    a->policy->sheds ? (int64_t)get_main(a, l)->service_ns : 0;

	return l->main >= 0 ? need / 2 : need;
}

/* Says whether a new call cannot end by its deadline, by the estimate. */
bool
is_hopeless(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now)
{
	double wait = 0;

	if (now >= c->deadline)
		return true;
	if (!a->policy->sheds)
		return false;
	if (l->waiting != 0 && c->deadline >= get_first_call(l)->deadline)
		wait = estimate_wait(a, l);
	return (double)(c->deadline - now) < wait + l->service_ns;
}

/*
 * Estimates how long a new call of a row waits, in ns: the work that goes
 * before it over all slots, or the work of its own row over the slots of its
 * floor, whichever is shorter. It leaves out later arrivals, so it errs towards
 * queueing.
 */
double
estimate_wait(const struct admission *a, const struct lane *l)
{
	double floor_slots = get_floor_slots(l, a->view.limit);
	double own = (double)l->waiting * get_main(a, l)->service_ns;
	double ahead = 0;

	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *o = &a->view.lanes[i];

		if (o->used && o->rank <= l->rank && !o->held_by_link)
			ahead +=
			    (double)o->waiting * get_main(a, o)->service_ns;
	}
	ahead /= a->view.limit;
	if (floor_slots > 0 && own / floor_slots < ahead)
		return own / floor_slots;
	return ahead;
}

/* Returns the lane whose estimates count for the calls of l. */
const struct lane *
get_main(const struct admission *a, const struct lane *l)
{
	return l->main >= 0 ? &a->view.lanes[l->main] : l;
}

/*
 * Says whether a new call would probably be answered late. Only the calls that
 * go before it count.
 */
bool
misses_target(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now)
{
	double need = TARGET_NEED * l->service_ns;

	need += estimate_body_wait(a, l, c) *
		(1 + LONG_BODY_COST * get_body_ratio(l, c));
	if (a->view.in_flight < a->view.limit)
		return (double)(c->target - now) < need;
	return (double)(c->target - now) < estimate_ahead(a, l, c) + need;
}

/*
 * Estimates the time until the body of a new call has come, behind those that
 * are due and those of calls that go before it, in ns.
 */
double
estimate_body_wait(const struct admission *a, const struct lane *l,
    const struct admission_call *c)
{
	int64_t bytes = c->body_bytes;

	if (c->body_bytes == 0 || a->inflow.rate == 0)
		return 0;
	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *o = &a->view.lanes[i];

		if (!o->used || o->main >= 0 || o->rank > l->rank)
			continue;
		for (size_t k = 0; k < o->waiting; k++) {
			if (o->rank < l->rank || o->heap[k]->order <= c->order)
				bytes += o->heap[k]->body_bytes;
		}
	}
	return get_inflow_ns(&a->inflow, bytes);
}

/*
 * Returns when a refused call should come back: soon enough that it can still
 * be in time, since then it goes before those that came after it.
 */
int64_t
get_late_retry(const struct admission *a, const struct lane *l,
    const struct admission_call *c, int64_t now)
{
	double wait = estimate_ahead(a, l, c) / 2;
	double spare = (double)(c->target - now) - 2 * l->service_ns;

	if (wait > spare)
		wait = spare;
	return wait > (double)TARGET_RETRY_MIN_NS ? (int64_t)wait :
						    TARGET_RETRY_MIN_NS;
}

/* Returns when another attempt here may succeed, in ns. */
int64_t
get_retry_after(
    const struct admission *a, const struct lane *l, enum refuse_reason reason)
{
	int64_t ns;

	if (reason == REFUSE_DRAINING)
		return RETRY_AFTER_DRAIN_NS;
	if (l == NULL)
		return 0;
	ns = (int64_t)estimate_wait(a, l);
	if (ns < RETRY_AFTER_MIN_NS)
		return RETRY_AFTER_MIN_NS;
	return ns > RETRY_AFTER_MAX_NS ? RETRY_AFTER_MAX_NS : ns;
}

/* Returns the time for all bodies that are due or wait, in ns. */
int64_t
get_body_wait(const struct admission *a)
{
	int64_t bytes = 0;

	if (a->inflow.rate == 0)
		return 0;
	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *l = &a->view.lanes[i];

		for (size_t k = 0; k < l->waiting; k++)
			bytes += l->heap[k]->body_bytes;
	}
	return (int64_t)get_inflow_ns(&a->inflow, bytes);
}

bool
may_wait_late(const struct admission *a, int64_t now)
{
	return now - a->slack_at <= SLACK_NS;
}

/*
 * Estimates the wait behind the calls of more urgent rows and the calls of its
 * row with an earlier target, in ns.
 */
static double
estimate_ahead(const struct admission *a, const struct lane *l,
    const struct admission_call *c)
{
	double ahead = l->service_ns / 2; /* until the first slot comes free */

	for (size_t i = 0; i < a->view.lane_count; i++) {
		const struct lane *o = &a->view.lanes[i];

		if (!o->used || o->main >= 0 || o->rank > l->rank)
			continue;
		for (size_t k = 0; k < o->waiting; k++) {
			if (o->rank < l->rank || o->heap[k]->order <= c->order)
				ahead += o->service_ns;
		}
	}
	return ahead / a->view.limit;
}

/* Returns the size of a call's body over the mean of its row. */
static double
get_body_ratio(const struct lane *l, const struct admission_call *c)
{
	return l->body_bytes > 0 ? (double)c->body_bytes / l->body_bytes : 0;
}
