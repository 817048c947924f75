/*
 * Load, spare capacity and slow start of one endpoint, and the X-Ggs-Load
 * header.
 */
#include "endpoint.h"

#include <stdio.h>

/* A returned load older than this is ignored. */
#define LOAD_STALE_NS (2 * NSEC_PER_SEC)
#define WARMUP_START_SHARE 0.1 /* share of capacity at the start */
#define SPILL_LOAD 0.7 /* of the slots; above it calls may queue */

/*
 * Says whether a result counts as a failure of the endpoint: a failed call, no
 * answer, or no connection (not-run without a reason). Refusals with a reason
 * and 4xx answers do not.
 */
bool
is_endpoint_failure(const struct pick_result *r)
{
	switch (r->outcome) {
	case OUTCOME_RAN:
		return false;
	case OUTCOME_FAILED:
		return r->status == 0 || r->status >= 500;
	case OUTCOME_NOT_RUN:
		return r->reason == REFUSE_NONE;
	case OUTCOME_UNKNOWN:
		break;
	}
	return true;
}

/* Says whether the announced state permits picking an endpoint. */
bool
is_pickable(const struct endpoint *e)
{
	return e->used && e->listed &&
	       (e->state == PICKER_READY || e->state == PICKER_SUSPECT);
}

/*
 * Says whether an endpoint can be picked now: announced as usable, not
 * ejected, and no probe in flight.
 */
bool
is_selectable(const struct endpoint *e, int64_t now)
{
	return is_pickable(e) && may_select(&e->ejection, now);
}

/*
 * Says whether an endpoint can probably take another call without queueing it.
 */
bool
has_room(const struct endpoint *e, int64_t now)
{
	return get_load(e, now) < SPILL_LOAD * get_warmup_share(e, now);
}

/*
 * Returns the expected calls per slot. The returned load covers the calls of
 * all entry nodes; the change in this node's own calls since then is added. A
 * stale load is ignored and only this node's calls count. A returned load can
 * only raise the estimate: an endpoint that reports too little load must not
 * attract calls.
 */
double
get_load(const struct endpoint *e, int64_t now)
{
	double own = e->in_flight;
	double all = 0;
	int slots = e->slots;

	if (e->load.known && now - e->load_at <= LOAD_STALE_NS) {
		all = e->load.in_flight + e->load.queued +
		      (e->in_flight - e->in_flight_at_load);
		if (e->load.slots < slots)
			slots = e->load.slots;
	}
	return (own > all ? own : all) / slots;
}

/*
 * Returns the share of its capacity that an endpoint may use during slow start,
 * up to 1.
 */
double
get_warmup_share(const struct endpoint *e, int64_t now)
{
	double age = (double)(now - e->ready_since) / ENDPOINT_WARMUP_NS;

	if (age >= 1)
		return 1;
	return age < 0 ? WARMUP_START_SHARE :
			 WARMUP_START_SHARE + (1 - WARMUP_START_SHARE) * age;
}

/*
 * Parses X-Ggs-Load. Returns ERR_INVALID for anything else, also for negative
 * or overlong numbers, since the value comes from another process.
 */
int
parse_load(struct str value, struct returned_load *out)
{
	char text[64];
	int used = 0;
	struct returned_load l = {.known = true};

	if (copy_str(text, sizeof(text), value) != 0)
		return ERR_INVALID;
	if (sscanf(text, "in_flight=%7d queued=%7d slots=%7d%n", &l.in_flight,
		&l.queued, &l.slots, &used) != 3 ||
	    text[used] != '\0' || l.in_flight < 0 || l.queued < 0 ||
	    l.slots < 1)
		return ERR_INVALID;
	*out = l;
	return 0;
}

/*
 * Renders X-Ggs-Load, NUL-terminated. Returns ERR_LIMIT when size is too small.
 */
int
render_load(const struct returned_load *load, char *out, size_t size)
{
	int n = snprintf(out, size, "in_flight=%d queued=%d slots=%d",
	    load->in_flight, load->queued, load->slots);

	return n < 0 || (size_t)n >= size ? ERR_LIMIT : 0;
}
