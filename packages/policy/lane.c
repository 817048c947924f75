/*
 * The queue of one row at one backend server: heap of waiting calls, service
 * time estimates and the floor's credit.
 */
#include "lane.h"

#include <stdlib.h>
#include <string.h>

/*
 * Share of the target that a call may spend here; the rest is for the hop, the
 * claim and the error of the estimate.
 */
#define QUEUE_TARGET_SHARE 0.9
#define SERVICE_GAIN (1.0 / 16) /* weight of a sample in the recent mean */
/*
 * Weight of a sample in the baseline, normally and while calls are slow. The
 * second is small, so that only a lasting change becomes the new baseline.
 */
#define BASELINE_GAIN (1.0 / 64)
#define BASELINE_SLOW_GAIN (1.0 / 1024)
/* Recent mean over baseline above which calls count as slow. */
#define SLOW_RATIO 1.6
/* Mean deviations by which a slow call exceeds the mean. */
#define SLOW_DEVIATIONS 2.0
/* Time constant of mean_in_flight and started_per_s */
#define IN_FLIGHT_MEAN_NS 1e9
/* Slots; lower bound of mean_in_flight in an estimate of the wait. */
#define IN_FLIGHT_MEAN_MIN 0.1
#define SERVICE_GUESS_DIVISOR 10 /* a target is typically ten service times */
#define FLOOR_MARGIN 1.01 /* without it a row ends one call short */
/* Bound of a row's credit: this many slow calls on each slot. */
#define CREDIT_CALLS_MAX 4.0
#define HEAP_FIRST_CAP 16
/* A row is patient if its deadline is this many targets away or more. */
#define PATIENT_TARGETS 3

static bool is_before(const struct row_queue *q, const struct admission_call *a,
    const struct admission_call *b);
static void place_call(struct row_queue *q, struct admission_call *c, size_t i);
static void sift_up(struct row_queue *q, size_t i);
static void sift_down(struct row_queue *q, size_t i);

/* Sets the queue's cells from a table row; calls and estimates stay. */
void
set_queue_row(struct row_queue *q, const struct row *r, bool by_deadline)
{
	if (!q->used)
		q->late_queue = q->base_queue = -1;
	q->used = true;
	q->retired = false;
	(void)copy_str(q->kind, sizeof(q->kind), make_str(r->kind));
	q->rank = q->urgent	   ? 0 :
		  q->own_rank != 0 ? q->own_rank :
				     r->values[COL_RANK];
	q->weight = r->values[COL_WEIGHT];
	/* The floor belongs to the calls of the row's own rank. */
	q->floor_pct = q->own_rank != 0 ? 0 : r->values[COL_FLOOR_PCT];
	q->limit_pct = r->values[COL_LIMIT_PCT];
	q->queue_max = r->values[COL_QUEUE_MAX];
	q->target_ns = r->values[COL_TARGET_MS] * NSEC_PER_MSEC;
	q->patient = r->values[COL_TARGET_MS] > 0 &&
		     r->values[COL_DEADLINE_MS] >=
			 PATIENT_TARGETS * r->values[COL_TARGET_MS];
	q->by_deadline = by_deadline;
}

/* Frees the heap and marks the queue as unused. */
void
clear_queue(struct row_queue *q)
{
	free(q->heap);
	unload_account_shares(&q->shares);
	memset(q, 0, sizeof(*q));
}

/*
 * Adds a waiting call; a sort_key of 0 is set to its deadline. Returns
 * ERR_MEMORY when the heap cannot grow.
 */
int
push_call(struct row_queue *q, struct admission_call *c)
{
	if (q->waiting == q->heap_cap) {
		size_t cap =
		    q->heap_cap != 0 ? 2 * q->heap_cap : HEAP_FIRST_CAP;
		struct admission_call **heap =
		    realloc(q->heap, cap * sizeof(struct admission_call *));

		if (heap == NULL)
			return ERR_MEMORY;
		q->heap = heap;
		q->heap_cap = cap;
	}
	if (c->sort_key == 0)
		c->sort_key = c->deadline;
	q->delayed += c->share_delay_ns > 0;
	place_call(q, c, q->waiting++);
	sift_up(q, c->heap_index);
	return 0;
}

/* Removes a waiting call from any position of the heap. */
void
remove_call(struct row_queue *q, struct admission_call *c)
{
	size_t i = c->heap_index;
	struct admission_call *last = q->heap[--q->waiting];

	q->delayed -= c->share_delay_ns > 0;
	if (q->waiting == 0)
		q->overflowed = false;
	if (last == c)
		return;
	place_call(q, last, i);
	sift_up(q, i);
	sift_down(q, last->heap_index);
}

/* Restores the heap after calls were removed directly from its array. */
void
rebuild_heap(struct row_queue *q)
{
	for (size_t i = 0; i < q->waiting; i++)
		q->heap[i]->heap_index = i;
	for (size_t i = q->waiting / 2; i-- > 0;)
		sift_down(q, i);
}

/* Returns the call to start next, or NULL. */
struct admission_call *
get_first_call(const struct row_queue *q)
{
	return q->waiting != 0 ? q->heap[0] : NULL;
}

/*
 * Adds a measured service time in ns. The recent mean adapts quickly and the
 * baseline slowly, while calls are slow hardly at all, so that the baseline
 * still shows a growth of latency.
 */
void
add_service_sample(struct row_queue *q, double service_ns)
{
	double gain, baseline_gain, diff;

	q->sample_count++;
	gain = 1.0 / (double)q->sample_count;
	baseline_gain = gain;
	if (gain < SERVICE_GAIN)
		gain = SERVICE_GAIN;
	if (baseline_gain < BASELINE_GAIN) {
		bool slow = q->service_ns > SLOW_RATIO * q->baseline_ns;

		baseline_gain = slow ? BASELINE_SLOW_GAIN : BASELINE_GAIN;
	}
	diff = service_ns - q->service_ns;
	q->deviation_ns += gain * ((diff < 0 ? -diff : diff) - q->deviation_ns);
	if (q->sample_count == 1)
		q->deviation_ns = service_ns / 2;
	q->service_ns += gain * diff;
	q->baseline_ns += baseline_gain * (service_ns - q->baseline_ns);
}

/*
 * Returns the service time in ns that few calls of the row exceed, derived from
 * the target before the first sample.
 */
double
get_slow_service_ns(const struct row_queue *q)
{
	if (q->sample_count == 0)
		return (double)q->target_ns / SERVICE_GUESS_DIVISOR;
	return q->service_ns + SLOW_DEVIATIONS * q->deviation_ns;
}

/* Returns the row's floor in slots, which may be a fraction. */
double
get_floor_slots(const struct row_queue *q, int limit)
{
	return q->floor_pct * limit / 100.0;
}

/*
 * Returns limit_pct in slots, rounded down so that the share is never exceeded,
 * but at least one slot and at least the whole slots of the floor.
 */
int
get_limit_slots(const struct row_queue *q, int limit)
{
	int n = q->limit_pct * limit / 100;
	int whole = (int)get_floor_slots(q, limit);

	if (n < whole)
		n = whole;
	return n < 1 ? 1 : n;
}

void
add_started_call(struct row_queue *q)
{
	q->started_per_s += NSEC_PER_SEC / IN_FLIGHT_MEAN_NS;
}

/*
 * Advances the floor's credit and the mean of slots in use by dt ns.
 *
 * A row with work earns its floor in slot-time and is charged for the slots it
 * uses. So a floor that is a fraction of a slot, or that had to wait for a free
 * slot, is kept on average over time. Slots more than one above the floor are
 * borrowed and not charged, debt is bounded by one slow call, and an idle row
 * saves no credit. Credit is bounded so that a row that was kept below its
 * floor for long (by a lowered limit) does not crowd out the others afterwards.
 */
void
accrue_queue(struct row_queue *q, int limit, double dt)
{
	double floor_slots = get_floor_slots(q, limit);
	int charged_max = (int)floor_slots + 1;
	int charged = q->in_flight < charged_max ? q->in_flight : charged_max;
	double debt_max = (charged_max - floor_slots) * get_slow_service_ns(q);
	double credit_max =
	    CREDIT_CALLS_MAX * charged_max * get_slow_service_ns(q);
	double alpha = dt / (IN_FLIGHT_MEAN_NS + dt);

	q->mean_in_flight += alpha * (q->in_flight - q->mean_in_flight);
	q->started_per_s -= alpha * q->started_per_s;
	if (q->floor_pct == 0)
		return;
	q->floor_credit += (FLOOR_MARGIN * floor_slots - charged) * dt;
	if (q->floor_credit < -debt_max)
		q->floor_credit = -debt_max;
	if (q->floor_credit > credit_max)
		q->floor_credit = credit_max;
	if (q->waiting == 0 && q->floor_credit > 0)
		q->floor_credit = 0;
}

/*
 * Says whether the row is owed a slot of its floor: the whole slots at any
 * time, and one more while it has credit (see accrue_queue()).
 */
bool
is_owed_floor(const struct row_queue *q, int limit)
{
	double floor_slots = get_floor_slots(q, limit);
	int whole = (int)floor_slots;

	if (q->floor_pct == 0)
		return false;
	if (q->in_flight < whole)
		return true;
	if (q->in_flight > whole)
		return false;
	return floor_slots > whole ? q->floor_credit >= 0 : q->floor_credit > 0;
}

/*
 * Says whether a new call should be refused because the row is in lasting
 * overload. A burst may use the whole queue. Once the queue has overflowed,
 * keeping it full would only make every answer late, so until it has been empty
 * it is kept as short as the target allows at the row's recent rate of service.
 */
bool
is_overloaded(const struct row_queue *q)
{
	double target = (double)q->target_ns;
	double bound = target * QUEUE_TARGET_SHARE - get_slow_service_ns(q);
	double rate = q->mean_in_flight > IN_FLIGHT_MEAN_MIN ?
			  q->mean_in_flight :
			  IN_FLIGHT_MEAN_MIN;

	if (!q->overflowed)
		return false;
	if (bound < target / 2)
		bound = target / 2;
	return (double)q->waiting * q->service_ns / rate > bound;
}

/* Says whether a goes before b in the heap; arrival breaks ties. */
static bool
is_before(const struct row_queue *q, const struct admission_call *a,
    const struct admission_call *b)
{
	if (q->by_deadline && a->sort_key != b->sort_key)
		return a->sort_key < b->sort_key;
	return a->seq < b->seq;
}

/* Stores a call at position i of the heap. */
static void
place_call(struct row_queue *q, struct admission_call *c, size_t i)
{
	q->heap[i] = c;
	c->heap_index = i;
}

/* Moves the call at i up until the heap is in order. */
static void
sift_up(struct row_queue *q, size_t i)
{
	struct admission_call *c = q->heap[i];

	while (i > 0 && is_before(q, c, q->heap[(i - 1) / 2])) {
		place_call(q, q->heap[(i - 1) / 2], i);
		i = (i - 1) / 2;
	}
	place_call(q, c, i);
}

/* Moves the call at i down until the heap is in order. */
static void
sift_down(struct row_queue *q, size_t i)
{
	struct admission_call *c = q->heap[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= q->waiting)
			break;
		if (child + 1 < q->waiting &&
		    is_before(q, q->heap[child + 1], q->heap[child]))
			child++;
		if (!is_before(q, q->heap[child], c))
			break;
		place_call(q, q->heap[child], i);
		i = child;
	}
	place_call(q, c, i);
}

/*
 * Says whether a call waits and its body, if any, need not wait for the link.
 */
bool
has_startable_call(const struct row_queue *q)
{
	return q->waiting != 0 && !q->link_blocked;
}
