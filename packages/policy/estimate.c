/*
 * Estimates of how long a call waits for a slot and for its body, and whether
 * it can meet its deadline and its target.
 */
#include "estimate.h"

#include "deadline.h"

#define RETRY_AFTER_MIN_NS (50 * NSEC_PER_MSEC)
#define RETRY_AFTER_MAX_NS (30 * NSEC_PER_SEC)
#define RETRY_AFTER_DRAIN_NS NSEC_PER_SEC /* other nodes serve the service */
/*
 * Late calls may wait if a slot was free for them within this time. In a longer
 * overload they would only wait and be refused in the end.
 */
#define FREE_SLOT_WINDOW_NS (250 * NSEC_PER_MSEC)
/*
 * A link that cannot carry all bodies serves most calls when long bodies are
 * refused first. The wait for the link is therefore multiplied by 1 + this
 * weight times the size of the body over the mean of its row.
 */
#define LONG_BODY_WEIGHT 3.0
#define LATE_RETRY_MIN_NS (20 * NSEC_PER_MSEC)

static double estimate_wait_ahead(const struct admission *a,
    const struct row_queue *q, const struct admission_call *c);
static double get_body_ratio(
    const struct row_queue *q, const struct admission_call *c);

/* Says whether a call that starts now would probably miss its deadline. */
bool
is_too_late_to_start(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now)
{
	return !can_meet_deadline(now, c->deadline, get_start_need_ns(a, q));
}

/*
 * Returns the time in ns that must be left until the deadline for a call to be
 * started: a mean service time, or half of it for a late call, which may still
 * be in time if it is short. 0 under policies that do not shed.
 */
int64_t
get_start_need_ns(const struct admission *a, const struct row_queue *q)
{
	int64_t need =
	    a->policy->sheds ? (int64_t)get_base_queue(a, q)->service_ns : 0;

	return q->base_queue >= 0 ? need / 2 : need;
}

/*
 * Says whether a new call would probably miss its deadline. Policies that do
 * not shed only check that it has not passed. The wait counts only when the
 * next waiting call of the queue has an earlier deadline or the same one.
 */
bool
misses_deadline(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now)
{
	double wait = 0;

	if (now >= c->deadline)
		return true;
	if (!a->policy->sheds)
		return false;
	if (!has_rate_room(&a->rate) ||
	    (q->waiting != 0 && c->deadline >= get_first_call(q)->deadline))
		wait = estimate_wait(a, q);
	return (double)(c->deadline - now) < wait + q->service_ns;
}

/*
 * Estimates how long a new call of a row waits, in ns: the work of all calls
 * that go before it over all slots, or the work of its own row over the slots
 * of its floor, whichever is shorter; at least until the rate limit admits it.
 * Later arrivals are left out, so the estimate errs towards queueing.
 */
double
estimate_wait(const struct admission *a, const struct row_queue *q)
{
	double floor_slots = get_floor_slots(q, a->view.limit);
	double own = (double)q->waiting * get_base_queue(a, q)->service_ns;
	double ahead = 0, calls = 0, urgent_per_s = 0, rate_wait;

	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *o = &a->view.queues[i];

		if (!o->used || o->rank > q->rank || o->link_blocked)
			continue;
		urgent_per_s += o->rank < q->rank ? o->started_per_s : 0;
		ahead += (double)o->waiting * get_base_queue(a, o)->service_ns;
		calls += (double)o->waiting;
	}
	ahead /= a->view.limit;
	if (floor_slots > 0 && own / floor_slots < ahead)
		ahead = own / floor_slots;
	rate_wait = get_rate_wait_ns(&a->rate, calls, urgent_per_s);
	return ahead > rate_wait ? ahead : rate_wait;
}

/*
 * Returns the queue whose estimates apply to the calls of q: the base queue of
 * a late queue, else q itself.
 */
const struct row_queue *
get_base_queue(const struct admission *a, const struct row_queue *q)
{
	return q->base_queue >= 0 ? &a->view.queues[q->base_queue] : q;
}

/*
 * Says whether a new call would probably miss its target. Only calls that go
 * before it count, and none while a slot is free.
 */
bool
misses_target(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now)
{
	double need = TARGET_SERVICE_FACTOR * q->service_ns;

	need += estimate_body_wait(a, q, c) *
		(1 + LONG_BODY_WEIGHT * get_body_ratio(q, c));
	if (a->view.in_flight < a->view.limit && has_rate_room(&a->rate))
		return (double)(c->target - now) < need;
	return (double)(c->target - now) < estimate_wait_ahead(a, q, c) + need;
}

/*
 * Estimates the time in ns until the body of a new call has been received,
 * after the outstanding bodies and those of calls that go before it.
 */
double
estimate_body_wait(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c)
{
	int64_t bytes = c->body_bytes;

	if (c->body_bytes == 0 || a->inflow.rate == 0)
		return 0;
	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *o = &a->view.queues[i];

		if (!o->used || o->base_queue >= 0 || o->rank > q->rank)
			continue;
		for (size_t k = 0; k < o->waiting; k++) {
			if (o->rank < q->rank ||
			    o->heap[k]->sort_key <= c->sort_key)
				bytes += o->heap[k]->body_bytes;
		}
	}
	return get_inflow_wait_ns(&a->inflow, bytes);
}

/*
 * Returns the retry delay in ns for a call that was refused because it would
 * miss its target. It is short enough that the call can still meet its target,
 * since the call then goes before those that arrived after it.
 */
int64_t
get_late_retry_after(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c, int64_t now)
{
	double wait = estimate_wait_ahead(a, q, c) / 2;
	double spare = (double)(c->target - now) - 2 * q->service_ns;

	/*
	 * Soon after, it would meet the same wave of load, and be refused for
	 * good after its last try. So it returns when the wave may have passed.
	 */
	if (q->patient)
		return (c->deadline - now) / 3;
	if (wait > spare)
		wait = spare;
	return wait > (double)LATE_RETRY_MIN_NS ? (int64_t)wait :
						  LATE_RETRY_MIN_NS;
}

/*
 * Returns the time in ns after which another attempt at this server may
 * succeed; 0: unknown.
 */
int64_t
get_retry_after(const struct admission *a, const struct row_queue *q,
    enum refuse_reason reason)
{
	int64_t ns;

	if (reason == REFUSE_DRAINING)
		return RETRY_AFTER_DRAIN_NS;
	if (q == NULL)
		return 0;
	ns = (int64_t)estimate_wait(a, q);
	if (ns < RETRY_AFTER_MIN_NS)
		return RETRY_AFTER_MIN_NS;
	return ns > RETRY_AFTER_MAX_NS ? RETRY_AFTER_MAX_NS : ns;
}

/*
 * Returns the time in ns to transfer all outstanding bodies and those of
 * waiting calls.
 */
int64_t
get_body_wait(const struct admission *a)
{
	int64_t bytes = 0;

	if (a->inflow.rate == 0)
		return 0;
	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *q = &a->view.queues[i];

		for (size_t k = 0; k < q->waiting; k++)
			bytes += q->heap[k]->body_bytes;
	}
	return (int64_t)get_inflow_wait_ns(&a->inflow, bytes);
}

/*
 * Says whether a slot was free for a late call recently, so that late calls may
 * wait.
 */
bool
may_queue_late(const struct admission *a, int64_t now)
{
	return now - a->free_slot_at <= FREE_SLOT_WINDOW_NS;
}

/*
 * Estimates the wait in ns behind the calls of more urgent rows and the calls
 * of the same row that have an earlier target.
 */
static double
estimate_wait_ahead(const struct admission *a, const struct row_queue *q,
    const struct admission_call *c)
{
	double ahead = q->service_ns / 2; /* until a slot comes free */
	double calls = 0, urgent_per_s = 0, rate_wait;

	for (size_t i = 0; i < a->view.queue_count; i++) {
		const struct row_queue *o = &a->view.queues[i];

		if (!o->used || o->base_queue >= 0 || o->rank > q->rank)
			continue;
		urgent_per_s += o->rank < q->rank ? o->started_per_s : 0;
		for (size_t k = 0; k < o->waiting; k++) {
			if (o->rank < q->rank ||
			    o->heap[k]->sort_key <= c->sort_key) {
				ahead += o->service_ns;
				calls++;
			}
		}
	}
	ahead /= a->view.limit;
	rate_wait = get_rate_wait_ns(&a->rate, calls, urgent_per_s);
	return ahead > rate_wait ? ahead : rate_wait;
}

/* Returns the size of a call's body over the mean body size of its row. */
static double
get_body_ratio(const struct row_queue *q, const struct admission_call *c)
{
	return q->body_bytes > 0 ? (double)c->body_bytes / q->body_bytes : 0;
}
