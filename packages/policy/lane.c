/*
 * Rows of one backend server: heaps of waiting calls, estimates, floors.
 */
#include "lane.h"

#include <stdlib.h>
#include <string.h>

/* Of the target; the rest is for the hop, the claim and the estimate's error. */
#define QUEUE_SHARE 0.9
#define SERVICE_GAIN (1.0 / 16) /* of the recent mean */
#define USUAL_GAIN (1.0 / 64) /* of the long mean, under good conditions */
#define USUAL_DRIFT (1.0 / 1024) /* while slow: a lasting change is accepted */
#define USUAL_GROWTH 1.6 /* ratio above which a sample is slow */
#define SPREAD_FACTOR 2.0 /* mean deviations above the mean: a slow call */
#define HELD_NS 1e9 /* memory of what a row held */
#define HELD_MIN 0.1 /* slots; least rate in an estimate of the wait */
#define GUESS_DIVISOR 10 /* targets usually leave ten service times */
#define FLOOR_MARGIN 1.01 /* without it the share ends a call short */
#define CREDIT_CALLS 4.0 /* slow calls on each slot that credit can cover */
#define HEAP_FIRST 16

static bool is_before(const struct lane *l, const struct admission_call *a,
    const struct admission_call *b);
static void place_call(struct lane *l, struct admission_call *c, size_t i);
static void sift_up(struct lane *l, size_t i);
static void sift_down(struct lane *l, size_t i);

/* Takes over the cells of a row; calls and estimates stay. */
void
load_lane(struct lane *l, const struct row *r, bool by_deadline)
{
	if (!l->used)
		l->late = l->main = -1;
	l->used = true;
	l->retired = false;
	(void)copy_str(l->kind, sizeof(l->kind), make_str(r->kind));
	l->rank = l->urgent ? 0 : r->values[COL_RANK];
	l->weight = r->values[COL_WEIGHT];
	l->floor_pct = r->values[COL_FLOOR_PCT];
	l->limit_pct = r->values[COL_LIMIT_PCT];
	l->queue_max = r->values[COL_QUEUE_MAX];
	l->target_ns = r->values[COL_TARGET_MS] * NSEC_PER_MSEC;
	l->by_deadline = by_deadline;
}

/* Frees what a lane owns and marks it as unused. */
void
unload_lane(struct lane *l)
{
	free(l->heap);
	memset(l, 0, sizeof(*l));
}

/* Adds a waiting call. Returns ERR_MEMORY when the heap cannot grow. */
int
push_call(struct lane *l, struct admission_call *c)
{
	if (l->waiting == l->heap_cap) {
		size_t cap = l->heap_cap != 0 ? 2 * l->heap_cap : HEAP_FIRST;
		struct admission_call **heap =
		    realloc(l->heap, cap * sizeof(struct admission_call *));

		if (heap == NULL)
			return ERR_MEMORY;
		l->heap = heap;
		l->heap_cap = cap;
	}
	if (c->order == 0)
		c->order = c->deadline;
	place_call(l, c, l->waiting++);
	sift_up(l, c->heap_index);
	return 0;
}

/* Removes a waiting call, wherever it stands. */
void
remove_call(struct lane *l, struct admission_call *c)
{
	size_t i = c->heap_index;
	struct admission_call *last = l->heap[--l->waiting];

	if (l->waiting == 0)
		l->overflowed = false;
	if (last == c)
		return;
	place_call(l, last, i);
	sift_up(l, i);
	sift_down(l, last->heap_index);
}

/* Restores the order of the heap after calls were taken out of its array. */
void
rebuild_heap(struct lane *l)
{
	for (size_t i = 0; i < l->waiting; i++)
		l->heap[i]->heap_index = i;
	for (size_t i = l->waiting / 2; i-- > 0;)
		sift_down(l, i);
}

/* Returns the call to start next, or NULL. */
struct admission_call *
get_first_call(const struct lane *l)
{
	return l->waiting != 0 ? l->heap[0] : NULL;
}

/*
 * Adds a measured service time in ns. The recent mean follows quickly. The
 * usual time follows slowly, and while calls are slow almost not at all, so
 * that growth of latency stays visible against it.
 */
void
add_service_sample(struct lane *l, double service_ns)
{
	double gain, usual_gain, diff;

	l->served++;
	gain = 1.0 / (double)l->served;
	usual_gain = gain;
	if (gain < SERVICE_GAIN)
		gain = SERVICE_GAIN;
	if (usual_gain < USUAL_GAIN) {
		bool slow = l->service_ns > USUAL_GROWTH * l->usual_ns;

		usual_gain = slow ? USUAL_DRIFT : USUAL_GAIN;
	}
	diff = service_ns - l->service_ns;
	l->spread_ns += gain * ((diff < 0 ? -diff : diff) - l->spread_ns);
	if (l->served == 1)
		l->spread_ns = service_ns / 2;
	l->service_ns += gain * diff;
	l->usual_ns += usual_gain * (service_ns - l->usual_ns);
}

/*
 * Returns the service time in ns that few calls of the row exceed. Before the
 * first sample it is guessed from the target.
 */
double
get_service_high(const struct lane *l)
{
	if (l->served == 0)
		return (double)l->target_ns / GUESS_DIVISOR;
	return l->service_ns + SPREAD_FACTOR * l->spread_ns;
}

/* Returns the slots of the row's floor, with their fraction. */
double
get_floor_slots(const struct lane *l, int limit)
{
	return l->floor_pct * limit / 100.0;
}

/*
 * Returns the slots of limit_pct, rounded down so that the share is never
 * exceeded, but at least one and at least the floor's whole slots.
 */
int
get_limit_slots(const struct lane *l, int limit)
{
	int n = l->limit_pct * limit / 100;
	int whole = (int)get_floor_slots(l, limit);

	if (n < whole)
		n = whole;
	return n < 1 ? 1 : n;
}

/*
 * Moves credit and the mean of held slots over dt ns.
 *
 * A row with work earns its floor in slot-time and pays for the slots it holds,
 * so that a floor that is a fraction of a slot, or that waited for a slot to
 * come free, is kept in time-average. Slots held beyond the floor by more than
 * one are borrowed and cost nothing, debt is bounded by one slow call, and an
 * idle row saves nothing. Credit is bounded so that a row kept short for long
 * (by a cut limit) does not push the others out when it ends.
 */
void
accrue_lane(struct lane *l, int limit, double dt)
{
	double floor_slots = get_floor_slots(l, limit);
	int most = (int)floor_slots + 1;
	int paid = l->in_flight < most ? l->in_flight : most;
	double debt = (most - floor_slots) * get_service_high(l);
	double credit = CREDIT_CALLS * most * get_service_high(l);
	double alpha = dt / (HELD_NS + dt);

	l->held += alpha * (l->in_flight - l->held);
	if (l->floor_pct == 0)
		return;
	l->credit += (FLOOR_MARGIN * floor_slots - paid) * dt;
	if (l->credit < -debt)
		l->credit = -debt;
	if (l->credit > credit)
		l->credit = credit;
	if (l->waiting == 0 && l->credit > 0)
		l->credit = 0;
}

/*
 * See accrue_lane(). A row is owed the whole slots of its floor at once, and
 * one more while it has credit.
 */
bool
is_owed_floor(const struct lane *l, int limit)
{
	double floor_slots = get_floor_slots(l, limit);
	int whole = (int)floor_slots;

	if (l->floor_pct == 0)
		return false;
	if (l->in_flight < whole)
		return true;
	if (l->in_flight > whole)
		return false;
	return floor_slots > whole ? l->credit >= 0 : l->credit > 0;
}

/*
 * Says whether a new call should be refused because the row is in lasting
 * overload. A surge may use all of the queue. Once it has overflowed, a full
 * queue would only make every answer late, so until it has been empty it is
 * kept as short as the target allows at the rate at which the row has recently
 * been served.
 */
bool
is_overloaded(const struct lane *l)
{
	double target = (double)l->target_ns;
	double bound = target * QUEUE_SHARE - get_service_high(l);
	double rate = l->held > HELD_MIN ? l->held : HELD_MIN;

	if (!l->overflowed)
		return false;
	if (bound < target / 2)
		bound = target / 2;
	return (double)l->waiting * l->service_ns / rate > bound;
}

/* Order of the heap; arrival breaks ties. */
static bool
is_before(const struct lane *l, const struct admission_call *a,
    const struct admission_call *b)
{
	if (l->by_deadline && a->order != b->order)
		return a->order < b->order;
	return a->seq < b->seq;
}

/* Puts a call into a place of the heap. */
static void
place_call(struct lane *l, struct admission_call *c, size_t i)
{
	l->heap[i] = c;
	c->heap_index = i;
}

/* Moves the call at i up to its place. */
static void
sift_up(struct lane *l, size_t i)
{
	struct admission_call *c = l->heap[i];

	while (i > 0 && is_before(l, c, l->heap[(i - 1) / 2])) {
		place_call(l, l->heap[(i - 1) / 2], i);
		i = (i - 1) / 2;
	}
	place_call(l, c, i);
}

/* Moves the call at i down to its place. */
static void
sift_down(struct lane *l, size_t i)
{
	struct admission_call *c = l->heap[i];

	for (;;) {
		size_t kid = 2 * i + 1;

		if (kid >= l->waiting)
			break;
		if (kid + 1 < l->waiting &&
		    is_before(l, l->heap[kid + 1], l->heap[kid]))
			kid++;
		if (!is_before(l, l->heap[kid], c))
			break;
		place_call(l, l->heap[kid], i);
		i = kid;
	}
	place_call(l, c, i);
}

bool
is_lane_ready(const struct lane *l)
{
	return l->waiting != 0 && !l->held_by_link;
}
