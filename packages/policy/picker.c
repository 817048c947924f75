/*
 * Choice of an endpoint. The state of an endpoint is one entry of an array; the
 * entry of an endpoint that left the set is kept until its last call has ended.
 */
#include "picker.h"

#include <stdlib.h>
#include <string.h>

#include "endpoint.h"

#define LATENCY_GAIN 0.2 /* weight of a sample in the mean latency */
/* Below it, differences are noise. */
#define LATENCY_FLOOR_NS (100 * NSEC_PER_USEC)
/* A latency or a failure older than this does not count. */
#define STALE_NS (10 * NSEC_PER_SEC)
#define FAILURE_WEIGHT 4.0 /* score factor is 1 + this * fail_rate */

/* Classes of endpoints; the pick is from the lowest class that has one. */
#define CLASS_PROBE 0 /* on probation, due for a probe */
#define CLASS_SAME_ZONE 1 /* same zone, with spare capacity */
#define CLASS_READY 2
#define CLASS_SUSPECT 3
#define CLASS_NONE 4

struct picker {
	char zone[ENDPOINT_NAME_BYTES];
	struct rng rng;
	/* Never move, as pick.id points into them. */
	struct endpoint **endpoints;
	size_t count;
	uint32_t next_generation;
	bool has_set; /* a non-empty set was announced before */
};

/* Candidates of one class, which differ only in their score. */
struct candidates {
	int class; /* lowest wins */
	size_t count;
	size_t first, second; /* indices of two, drawn uniformly */
};

static void update_endpoint(struct picker *p, struct endpoint *e,
    const struct picker_endpoint *from, int64_t now);
static struct endpoint *find_endpoint(
    const struct picker *p, const struct picker_endpoint *from);
static struct endpoint *add_endpoint(struct picker *p);
static struct endpoint *get_endpoint(
    const struct picker *p, struct pick_ref ref);
static bool is_tried(const struct picker *p, size_t i,
    const struct pick_ref *tried, size_t tried_count);
static void refresh_ejections(struct picker *p, int64_t now);
static struct endpoint *find_ejection_target(
    const struct picker *p, bool readmit);
static int classify_endpoint(
    const struct endpoint *e, bool first_try, int64_t now);
static void collect_candidates(struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now, struct candidates *out);
static double get_score(
    const struct picker *p, const struct endpoint *e, int64_t now);

/*
 * Creates a picker without endpoints. The caller frees it with
 * destroy_picker(). Returns ERR_LIMIT for a zone name that is too long, or
 * ERR_MEMORY.
 */
int
create_picker(const struct picker_config *cfg, struct picker **out)
{
	struct picker *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return ERR_MEMORY;
	if (copy_str(p->zone, sizeof(p->zone), cfg->zone) != 0) {
		free(p);
		return ERR_LIMIT;
	}
	seed_rng(&p->rng, cfg->seed);
	p->next_generation = 1;
	*out = p;
	return 0;
}

/*
 * Frees a picker. Picks that are still in flight must not be ended afterwards.
 */
void
destroy_picker(struct picker *p)
{
	if (p == NULL)
		return;
	for (size_t i = 0; i < p->count; i++)
		free(p->endpoints[i]);
	free(p->endpoints);
	free(p);
}

/*
 * Replaces the set. An endpoint that stays keeps its latency, ejection and
 * calls in flight. A new incarnation is a new endpoint and gets a slow start,
 * since its backend server was restarted. Endpoints of the first set get none:
 * this node has started, not they. Returns ERR_LIMIT, with the set unchanged,
 * or ERR_MEMORY, with the set replaced in part.
 */
int
set_picker_endpoints(struct picker *p, const struct picker_endpoint *eps,
    size_t count, int64_t now)
{
	for (size_t i = 0; i < count; i++) {
		if (eps[i].id.len >= ENDPOINT_NAME_BYTES ||
		    eps[i].address.len >= ENDPOINT_NAME_BYTES)
			return ERR_LIMIT;
	}
	for (size_t i = 0; i < p->count; i++)
		p->endpoints[i]->listed = false;
	for (size_t i = 0; i < count; i++) {
		struct endpoint *e = find_endpoint(p, &eps[i]);

		if (e == NULL)
			e = add_endpoint(p);
		if (e == NULL)
			return ERR_MEMORY;
		update_endpoint(p, e, &eps[i], now);
	}
	for (size_t i = 0; i < p->count; i++) {
		struct endpoint *e = p->endpoints[i];

		if (!e->listed && e->in_flight == 0)
			e->used = false;
	}
	p->has_set = p->has_set || count != 0;
	return 0;
}

/*
 * Picks the better of two endpoints drawn from the best class: due for a probe,
 * then in the same availability zone with spare capacity, then in any zone,
 * then SUSPECT ones. Endpoints in tried are picked only if there is no other.
 * An endpoint on probation gets one call at a time.
 */
int
pick_endpoint(struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now, struct pick *out)
{
	struct candidates c = {0};
	struct endpoint *e;
	size_t i;

	refresh_ejections(p, now);
	collect_candidates(p, tried, tried_count, now, &c);
	if (c.count == 0 && tried_count != 0)
		collect_candidates(p, NULL, 0, now, &c);
	if (c.count == 0)
		return ERR_NOT_FOUND;
	i = c.first;
	if (c.count > 1) {
		double x = get_score(p, p->endpoints[c.first], now);
		double y = get_score(p, p->endpoints[c.second], now);

		/* Equal scores are common when idle; choose at random. */
		if (y < x || (!(x < y) && draw_below(&p->rng, 2) == 1))
			i = c.second;
	}
	e = p->endpoints[i];
	e->in_flight++;
	start_probe(&e->ejection);
	out->ref = (struct pick_ref){(uint32_t)i, e->generation};
	out->id = e->id;
	out->address = e->address;
	out->same_zone = e->same_zone;
	out->tried_before = is_tried(p, i, tried, tried_count);
	return 0;
}

/*
 * Ends a pick. A refusal as draining sets the state at once, since the
 * announcement may still be in transit. Returns ERR_NOT_FOUND for a pick that
 * was already ended.
 */
int
end_pick(struct picker *p, struct pick_ref ref,
    const struct pick_result *result, int64_t now)
{
	struct endpoint *e = get_endpoint(p, ref);
	bool failed;

	if (e == NULL || e->in_flight == 0)
		return ERR_NOT_FOUND;
	e->in_flight--;
	if (result->cancelled) {
		cancel_probe(&e->ejection);
		return 0;
	}
	if (result->load.known) {
		e->load = result->load;
		e->load_at = now;
		e->in_flight_at_load = e->in_flight;
	}
	if (result->outcome == OUTCOME_NOT_RUN &&
	    result->reason == REFUSE_DRAINING)
		e->state = PICKER_DRAINING;
	failed = is_endpoint_failure(result);
	if (result->outcome == OUTCOME_RAN && result->latency_ns > 0) {
		double ns = (double)result->latency_ns;

		e->latency_ns =
		    e->latency_ns <= 0 ?
			ns :
			e->latency_ns + LATENCY_GAIN * (ns - e->latency_ns);
	}
	add_ejection_result(&e->ejection, failed, now);
	if (is_outlier(&e->ejection))
		refresh_ejections(p, now);
	return 0;
}

/* Says whether an endpoint that is not in tried can be picked now. */
bool
has_other_endpoint(const struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now)
{
	for (size_t i = 0; i < p->count; i++) {
		if (is_selectable(p->endpoints[i], now) &&
		    !is_tried(p, i, tried, tried_count))
			return true;
	}
	return false;
}

/* Returns the counts for metrics. */
struct picker_counts
get_picker_counts(const struct picker *p, int64_t now)
{
	struct picker_counts n = {0};

	for (size_t i = 0; i < p->count; i++) {
		const struct endpoint *e = p->endpoints[i];

		if (!e->used)
			continue;
		n.in_flight += e->in_flight;
		if (!is_pickable(e))
			continue;
		n.listed++;
		if (is_selectable(e, now))
			n.selectable++;
		if (is_ejected(&e->ejection, now))
			n.ejected++;
	}
	return n;
}

/* Returns the mean latency in ns over the endpoints that have one; 0: none. */
int64_t
get_mean_latency(const struct picker *p)
{
	double sum = 0;
	int n = 0;

	for (size_t i = 0; i < p->count; i++) {
		if (p->endpoints[i]->used && p->endpoints[i]->latency_ns > 0) {
			sum += p->endpoints[i]->latency_ns;
			n++;
		}
	}
	return n != 0 ? (int64_t)(sum / n) : 0;
}

/*
 * Updates an endpoint from its announcement. The address changes only while no
 * call is in flight, since picks point to it.
 */
static void
update_endpoint(struct picker *p, struct endpoint *e,
    const struct picker_endpoint *from, int64_t now)
{
	if (e->generation == 0) {
		e->generation = p->next_generation++;
		if (p->next_generation == 0) /* 0 is no generation */
			p->next_generation = 1;
		e->incarnation = from->incarnation;
		(void)copy_str(e->id, sizeof(e->id), from->id);
	}
	if (e->in_flight == 0 || e->address[0] == '\0')
		(void)copy_str(e->address, sizeof(e->address), from->address);
	e->same_zone = is_str_equal(from->zone, make_str(p->zone));
	e->slots = from->slots < 1 ? 1 : from->slots;
	e->listed = true;
	if (e->state == PICKER_STARTING && from->state == PICKER_READY)
		e->ready_since = p->has_set ? now : now - ENDPOINT_WARMUP_NS;
	e->state = from->state;
}

/* Finds the entry of an endpoint with the same id and incarnation, or NULL. */
static struct endpoint *
find_endpoint(const struct picker *p, const struct picker_endpoint *from)
{
	for (size_t i = 0; i < p->count; i++) {
		struct endpoint *e = p->endpoints[i];

		if (e->used && e->incarnation == from->incarnation &&
		    is_str_equal(make_str(e->id), from->id))
			return e;
	}
	return NULL;
}

/* Returns an unused entry, or NULL when out of memory. */
static struct endpoint *
add_endpoint(struct picker *p)
{
	struct endpoint *e = NULL;

	for (size_t i = 0; i < p->count && e == NULL; i++) {
		if (!p->endpoints[i]->used)
			e = p->endpoints[i];
	}
	if (e == NULL) {
		struct endpoint **all = realloc(
		    p->endpoints, (p->count + 1) * sizeof(struct endpoint *));

		if (all == NULL)
			return NULL;
		p->endpoints = all;
		e = malloc(sizeof(*e));
		if (e == NULL)
			return NULL;
		all[p->count++] = e;
	}
	memset(e, 0, sizeof(*e));
	e->used = true;
	return e;
}

/* Returns the endpoint of a reference, or NULL when its entry was reused. */
static struct endpoint *
get_endpoint(const struct picker *p, struct pick_ref ref)
{
	struct endpoint *e;

	if (ref.generation == 0 || ref.index >= p->count)
		return NULL;
	e = p->endpoints[ref.index];
	return e->used && e->generation == ref.generation ? e : NULL;
}

/* Says whether the endpoint at index i is in a list of tried ones. */
static bool
is_tried(const struct picker *p, size_t i, const struct pick_ref *tried,
    size_t tried_count)
{
	for (size_t k = 0; k < tried_count; k++) {
		if (tried[k].index == i &&
		    tried[k].generation == p->endpoints[i]->generation)
			return true;
	}
	return false;
}

/*
 * Ejects outliers, worst first, while at least half of the listed endpoints are
 * neither ejected nor on probation: more failures than that have a common
 * cause, and half of a service is better than none. When endpoints left the set
 * and too many are ejected, the least bad are readmitted.
 */
static void
refresh_ejections(struct picker *p, int64_t now)
{
	int listed = 0, ejected = 0;

	for (size_t i = 0; i < p->count; i++) {
		const struct endpoint *e = p->endpoints[i];

		if (is_pickable(e)) {
			listed++;
			ejected += e->ejection.on_probation ? 1 : 0;
		}
	}
	for (; ejected < listed / 2; ejected++) {
		struct endpoint *e = find_ejection_target(p, false);

		if (e == NULL)
			return;
		eject(&e->ejection, now);
	}
	for (; ejected > listed / 2; ejected--)
		readmit(&find_ejection_target(p, true)->ejection, now);
}

/*
 * Returns the endpoint to readmit next, the least bad one that is ejected or on
 * probation, or the one to eject next, the worst outlier. NULL when there is
 * none.
 */
static struct endpoint *
find_ejection_target(const struct picker *p, bool readmit)
{
	struct endpoint *found = NULL;

	for (size_t i = 0; i < p->count; i++) {
		struct endpoint *e = p->endpoints[i];
		bool fits = readmit ? e->ejection.on_probation :
				      is_outlier(&e->ejection);

		if (!is_pickable(e) || !fits)
			continue;
		if (found == NULL ||
		    is_worse(&e->ejection, &found->ejection) != readmit)
			found = e;
	}
	return found;
}

/*
 * Returns the class of an endpoint; lower is better. Only a first attempt is
 * used as a probe, so that a retry elsewhere remains possible. When the own
 * zone has no spare capacity, all zones are equal.
 */
static int
classify_endpoint(const struct endpoint *e, bool first_try, int64_t now)
{
	if (e->ejection.on_probation)
		return first_try ? CLASS_PROBE : CLASS_SUSPECT;
	if (e->state == PICKER_SUSPECT)
		return CLASS_SUSPECT;
	if (e->same_zone && has_room(e, now))
		return CLASS_SAME_ZONE;
	return CLASS_READY;
}

/* Finds the best class and draws two of its endpoints (reservoir sampling). */
static void
collect_candidates(struct picker *p, const struct pick_ref *tried,
    size_t tried_count, int64_t now, struct candidates *out)
{
	out->class = CLASS_NONE;
	out->count = 0;
	for (size_t i = 0; i < p->count; i++) {
		struct endpoint *e = p->endpoints[i];
		size_t at;
		int class;

		if (!is_selectable(e, now) ||
		    is_tried(p, i, tried, tried_count))
			continue;
		class = classify_endpoint(e, tried_count == 0, now);
		if (class > out->class)
			continue;
		if (class < out->class) {
			out->class = class;
			out->count = 0;
		}
		at = draw_below(&p->rng, ++out->count);
		if (out->count <= 2) {
			if (out->count == 1)
				out->first = i;
			else
				out->second = i;
		} else if (at < 2) {
			if (at == 0)
				out->first = i;
			else
				out->second = i;
		}
	}
}

/*
 * Returns the score of an endpoint; lower is better: its load with the new call
 * over its share of slow start, times its latency. The latency is increased by
 * the failure rate, because failed calls are often fast. Without a recent
 * measurement the mean latency of all endpoints counts, since under light load
 * an endpoint that was slow once would otherwise never be picked again. As
 * latency_at is never set, this applies to all endpoints once the monotonic
 * clock is past STALE_NS.
 */
static double
get_score(const struct picker *p, const struct endpoint *e, int64_t now)
{
	double latency = e->latency_ns;
	double failures = e->ejection.fail_rate;

	if (latency <= 0 || now - e->latency_at > STALE_NS)
		latency = (double)get_mean_latency(p);
	if (latency < LATENCY_FLOOR_NS)
		latency = LATENCY_FLOOR_NS;
	if (now - e->ejection.last_failure_at > STALE_NS)
		failures = 0;
	latency *= 1 + FAILURE_WEIGHT * failures;
	return (get_load(e, now) + 1.0 / e->slots) * latency /
	       get_warmup_share(e, now);
}
