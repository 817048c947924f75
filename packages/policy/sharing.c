/*
 * Scheduling policies: first come first served, strict priority, weighted fair,
 * floors and marginal gain.
 */
#include "sharing.h"

/* Slots that stay reserved beyond the floor of a row of higher rank. */
#define URGENT_SPARE_SLOTS 1.0

static int choose_first_come(const struct scheduler_view *v);
static int choose_strict(const struct scheduler_view *v);
static int choose_fair(const struct scheduler_view *v);
static int choose_floors(const struct scheduler_view *v);
static int choose_gain(const struct scheduler_view *v);
static void charge_nothing(struct scheduler_view *v, struct row_queue *q);
static void charge_fair(struct scheduler_view *v, struct row_queue *q);
static bool is_more_urgent(
    const struct row_queue *a, const struct row_queue *b);
static bool may_borrow(
    const struct scheduler_view *v, const struct row_queue *q);

static const struct slot_scheduler schedulers[ADMISSION_POLICY_COUNT] = {
    [ADMISSION_FCFS] = {"fcfs", false, false, false, choose_first_come,
	charge_nothing},
    [ADMISSION_STRICT] = {"strict", true, true, false, choose_strict,
	charge_nothing},
    [ADMISSION_FAIR] = {"fair", true, true, false, choose_fair, charge_fair},
    [ADMISSION_FLOORS] = {"floors", true, true, true, choose_floors,
	charge_nothing},
    [ADMISSION_GAIN] = {"gain", true, true, true, choose_gain, charge_nothing},
};

/* Returns the static functions and flags of a policy. */
const struct slot_scheduler *
get_slot_scheduler(enum admission_policy_id id)
{
	return &schedulers[id];
}

/*
 * Says whether limit_pct stops a row: it uses that many slots and calls of
 * other rows wait.
 */
bool
is_queue_capped(const struct scheduler_view *v, const struct row_queue *q)
{
	return q->in_flight >= get_limit_slots(q, v->limit) &&
	       v->waiting > q->waiting;
}

/* Chooses the call that arrived first, regardless of its row. */
static int
choose_first_come(const struct scheduler_view *v)
{
	int best = -1;
	uint64_t seq = UINT64_MAX;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct admission_call *c = get_first_call(&v->queues[i]);

		if (has_startable_call(&v->queues[i]) && c->seq < seq) {
			best = (int)i;
			seq = c->seq;
		}
	}
	return best;
}

/* Chooses the most urgent row below its limit. */
static int
choose_strict(const struct scheduler_view *v)
{
	int best = -1;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct row_queue *q = &v->queues[i];

		if (!has_startable_call(q) || is_queue_capped(v, q))
			continue;
		if (best < 0 || is_more_urgent(q, &v->queues[best]))
			best = (int)i;
	}
	return best;
}

/* Chooses the row that has received the least slot time for its weight. */
static int
choose_fair(const struct scheduler_view *v)
{
	int best = -1;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct row_queue *q = &v->queues[i];

		if (!has_startable_call(q) || is_queue_capped(v, q))
			continue;
		if (best < 0 || q->vtime < v->queues[best].vtime)
			best = (int)i;
	}
	return best;
}

/*
 * Chooses among rows that are owed their floor first, by urgency. The remaining
 * slots go by urgency to rows that may borrow.
 */
static int
choose_floors(const struct scheduler_view *v)
{
	int best = -1;
	bool best_owed = false;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct row_queue *q = &v->queues[i];
		bool owed;

		if (!has_startable_call(q))
			continue;
		owed = is_owed_floor(q, v->limit);
		if (best_owed && !owed)
			continue;
		if (!owed && (is_queue_capped(v, q) || !may_borrow(v, q)))
			continue;
		if (best < 0 || (owed && !best_owed) ||
		    is_more_urgent(q, &v->queues[best])) {
			best = (int)i;
			best_owed = owed;
		}
	}
	return best;
}

/*
 * Chooses the row whose next slot gains most: weight per slot-second, divided
 * by the slots that the row used recently. The 1 ms (1e6 ns) added to the
 * service time keeps the gain finite for a row without samples.
 */
static int
choose_gain(const struct scheduler_view *v)
{
	int best = -1;
	double best_gain = 0;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct row_queue *q = &v->queues[i];
		double occupied, gain;

		if (!has_startable_call(q) || is_queue_capped(v, q))
			continue;
		occupied = q->mean_in_flight > q->in_flight ?
			       q->mean_in_flight :
			       q->in_flight;
		gain = q->weight / (q->service_ns + 1e6) / (1 + occupied);
		if (best < 0 || gain > best_gain) {
			best = (int)i;
			best_gain = gain;
		}
	}
	return best;
}

/* Used by policies that keep no account of slot time. */
static void
charge_nothing(struct scheduler_view *v, struct row_queue *q)
{
	(void)v;
	(void)q;
}

/*
 * Charges the expected slot time over the weight. A row that was idle starts at
 * the current virtual time, so that idle time earns no credit.
 */
static void
charge_fair(struct scheduler_view *v, struct row_queue *q)
{
	if (q->vtime < v->vtime)
		q->vtime = v->vtime;
	v->vtime = q->vtime;
	q->vtime += (q->service_ns + 1e6) / q->weight;
}

/*
 * Says whether the first call of a is more urgent than that of b: by rank, then
 * deadline, then weight.
 */
static bool
is_more_urgent(const struct row_queue *a, const struct row_queue *b)
{
	int64_t x = get_first_call(a)->deadline;
	int64_t y = get_first_call(b)->deadline;

	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (x != y)
		return x < y;
	return a->weight > b->weight;
}

/*
 * Says whether a row may take a slot beyond its floor. Unused floor slots are
 * lent only to rows whose slow calls end within the owner's target less the
 * owner's own service time; for other rows they stay reserved, with one slot
 * more for an owner of higher rank, whose bursts exceed its floor. One slot is
 * always lent, so that a row without a floor can always use an idle server.
 */
static bool
may_borrow(const struct scheduler_view *v, const struct row_queue *q)
{
	double reserved = 0;
	double slow_ns = get_slow_service_ns(q);
	int free_after = v->limit - v->in_flight - 1;

	for (size_t i = 0; i < v->queue_count; i++) {
		const struct row_queue *o = &v->queues[i];
		double unused = get_floor_slots(o, v->limit) - o->in_flight;

		if (o->rank < q->rank && o->floor_pct != 0)
			unused += URGENT_SPARE_SLOTS;

		if (o == q || !o->used || o->retired || unused <= 0)
			continue;
		if (slow_ns > (double)o->target_ns - get_slow_service_ns(o))
			reserved += unused;
	}
	if (reserved > v->limit - 1)
		reserved = v->limit - 1;
	return free_after + 1e-9 >= reserved;
}
