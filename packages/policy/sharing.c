/*
 * First-come-first-served, strict priority, weighted fair, floors and marginal
 * gain.
 */
#include "sharing.h"

#define URGENT_SPARE 1.0 /* slots beyond the floor of a more urgent row */

static int choose_first_come(const struct sharing_view *v);
static int choose_strict(const struct sharing_view *v);
static int choose_fair(const struct sharing_view *v);
static int choose_floors(const struct sharing_view *v);
static int choose_gain(const struct sharing_view *v);
static void charge_nothing(struct sharing_view *v, struct lane *l);
static void charge_fair(struct sharing_view *v, struct lane *l);
static bool is_more_urgent(const struct lane *a, const struct lane *b);
static bool may_borrow(const struct sharing_view *v, const struct lane *l);

static const struct sharing_policy policies[ADMISSION_POLICY_COUNT] = {
    [ADMISSION_FCFS] = {"fcfs", false, false, false, choose_first_come,
	charge_nothing},
    [ADMISSION_STRICT] = {"strict", true, true, false, choose_strict,
	charge_nothing},
    [ADMISSION_FAIR] = {"fair", true, true, false, choose_fair, charge_fair},
    [ADMISSION_FLOORS] = {"floors", true, true, true, choose_floors,
	charge_nothing},
    [ADMISSION_GAIN] = {"gain", true, true, true, choose_gain, charge_nothing},
};

/* Returns the functions of a policy. */
const struct sharing_policy *
get_sharing_policy(enum admission_policy_id id)
{
	return &policies[id];
}

/*
 * Says whether limit_pct stops a row: it holds that many slots and calls of
 * other rows wait.
 */
bool
is_lane_capped(const struct sharing_view *v, const struct lane *l)
{
	return l->in_flight >= get_limit_slots(l, v->limit) &&
	       v->waiting > l->waiting;
}

/* The call that arrived first, of whatever row. */
static int
choose_first_come(const struct sharing_view *v)
{
	int best = -1;
	uint64_t seq = UINT64_MAX;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct admission_call *c = get_first_call(&v->lanes[i]);

		if (is_lane_ready(&v->lanes[i]) && c->seq < seq) {
			best = (int)i;
			seq = c->seq;
		}
	}
	return best;
}

/* The most urgent row below its limit. */
static int
choose_strict(const struct sharing_view *v)
{
	int best = -1;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct lane *l = &v->lanes[i];

		if (!is_lane_ready(l) || is_lane_capped(v, l))
			continue;
		if (best < 0 || is_more_urgent(l, &v->lanes[best]))
			best = (int)i;
	}
	return best;
}

/* The row that received the least slot time for its weight. */
static int
choose_fair(const struct sharing_view *v)
{
	int best = -1;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct lane *l = &v->lanes[i];

		if (!is_lane_ready(l) || is_lane_capped(v, l))
			continue;
		if (best < 0 || l->vtime < v->lanes[best].vtime)
			best = (int)i;
	}
	return best;
}

/*
 * Rows that are owed their floor come first, the most urgent of them before the
 * others. What is left goes by rank to rows that may borrow.
 */
static int
choose_floors(const struct sharing_view *v)
{
	int best = -1;
	bool best_owed = false;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct lane *l = &v->lanes[i];
		bool owed;

		if (!is_lane_ready(l))
			continue;
		owed = is_owed_floor(l, v->limit);
		if (best_owed && !owed)
			continue;
		if (!owed && (is_lane_capped(v, l) || !may_borrow(v, l)))
			continue;
		if (best < 0 || (owed && !best_owed) ||
		    is_more_urgent(l, &v->lanes[best])) {
			best = (int)i;
			best_owed = owed;
		}
	}
	return best;
}

/*
 * The row whose next slot is worth most: weight per slot-second, reduced by the
 * slots that the row held recently.
 */
static int
choose_gain(const struct sharing_view *v)
{
	int best = -1;
	double best_gain = 0;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct lane *l = &v->lanes[i];
		double held, gain;

		if (!is_lane_ready(l) || is_lane_capped(v, l))
			continue;
		held = l->held > l->in_flight ? l->held : l->in_flight;
		gain = l->weight / (l->service_ns + 1e6) / (1 + held);
		if (best < 0 || gain > best_gain) {
			best = (int)i;
			best_gain = gain;
		}
	}
	return best;
}

/* For policies that keep no account. */
static void
charge_nothing(struct sharing_view *v, struct lane *l)
{
	(void)v;
	(void)l;
}

/*
 * Charges the expected slot time over the weight. A row that was idle starts at
 * the present virtual time, so that it saves up nothing.
 */
static void
charge_fair(struct sharing_view *v, struct lane *l)
{
	if (l->vtime < v->vtime)
		l->vtime = v->vtime;
	v->vtime = l->vtime;
	l->vtime += (l->service_ns + 1e6) / l->weight;
}

/* Order between the first calls of two rows: rank, deadline, weight. */
static bool
is_more_urgent(const struct lane *a, const struct lane *b)
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
 * Says whether a row may take a slot beyond its floor. Slots of an unused floor
 * are lent only to rows whose slow calls end within the owner's target less its
 * own service time; from other rows they are held back, with one slot more for
 * an owner of higher rank, whose bursts go beyond its floor. One slot is always
 * lent, so that a row without a floor is never locked out of an idle server.
 */
static bool
may_borrow(const struct sharing_view *v, const struct lane *l)
{
	double held_back = 0;
	double high = get_service_high(l);
	int free_after = v->limit - v->in_flight - 1;

	for (size_t i = 0; i < v->lane_count; i++) {
		const struct lane *o = &v->lanes[i];
		double unused = get_floor_slots(o, v->limit) - o->in_flight;

		if (o->rank < l->rank && o->floor_pct != 0)
			unused += URGENT_SPARE;

		if (o == l || !o->used || o->retired || unused <= 0)
			continue;
		if (high > (double)o->target_ns - get_service_high(o))
			held_back += unused;
	}
	if (held_back > v->limit - 1)
		held_back = v->limit - 1;
	return free_after + 1e-9 >= held_back;
}
