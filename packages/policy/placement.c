/*
 * The expected cost of each option, in ns, and the least of them.
 */
#include "placement.h"

#define REPORT_NS NSEC_PER_SEC /* a load report counts less with its age */
#define NEAR_NS (300 * NSEC_PER_USEC) /* there and back in the zone */
#define FAR_NS (3 * NSEC_PER_MSEC) /* there and back between zones */
/* Bytes between zones are paid; leaving the zone costs a share of the target. */
#define FAR_SHARE 0.08
#define FAR_BODY_SHARE 0.9 /* for a body of FAR_BODY_BYTES */
#define FAR_BODY_BYTES 60000.0
#define FAILED_SHARE 2.0 /* targets that a certain failure costs */
#define AVOID_SHARE 4.0 /* targets that an option to be avoided costs */
#define USUAL_NS (100 * NSEC_PER_MSEC) /* a run at a node nothing is known of */
#define NOISE_SHARE 0.15 /* of a run; spreads calls over equal options */

static double get_cost(const struct placement_option *o,
    const struct placement_call *call, int64_t usual, struct rng *r);
static double get_known_calls(const struct placement_option *o);
static double get_wait(const struct placement_option *o, double service);
static int64_t get_usual(const struct placement_option *options, size_t count);

int
choose_placement(const struct placement_option *options, size_t count,
    const struct placement_call *call, struct rng *r)
{
	int64_t usual = get_usual(options, count);
	int best = ERR_NOT_FOUND;
	double least = 0;

	for (size_t i = 0; i < count; i++) {
		double cost;

		if (!options[i].usable || options[i].tried)
			continue;
		cost = get_cost(&options[i], call, usual, r);
		if (best >= 0 && cost >= least)
			continue;
		best = (int)i;
		least = cost;
	}
	return best;
}

int64_t
estimate_placement_wait(const struct placement_option *o)
{
	return (int64_t)get_wait(
	    o, o->service_ns > 0 ? (double)o->service_ns : USUAL_NS);
}

static double
get_cost(const struct placement_option *o, const struct placement_call *call,
    int64_t usual, struct rng *r)
{
	double target = call->target_left > 0 ? (double)call->target_left : 0;
	double service = o->service_ns > 0 ? (double)o->service_ns : usual;
	double cost = get_wait(o, service) + service;

	cost += NOISE_SHARE * service * draw_unit(r);
	cost += FAILED_SHARE * target * o->failed;
	if (o->avoided)
		cost += AVOID_SHARE * (target + (double)USUAL_NS);
	if (o->same_zone)
		return cost + NEAR_NS;
	cost += FAR_NS + FAR_SHARE * target;
	return cost + FAR_BODY_SHARE * target * (double)call->body_len /
			  FAR_BODY_BYTES;
}

/*
 * Calls of other nodes are forgotten as the report ages; calls of this node
 * are always known.
 */
static double
get_known_calls(const struct placement_option *o)
{
	double others, fresh;

	if (!o->reported || o->report_age >= REPORT_NS)
		return o->own;
	others = o->in_flight + o->queued - o->own_at_report;
	fresh = 1.0 - (double)o->report_age / REPORT_NS;
	return o->own + (others > 0 ? others * fresh : 0);
}

/*
 * The calls ahead beyond the slots, over the rate at which slots come free. A
 * server that is nearly full counts as a little slower.
 */
static double
get_wait(const struct placement_option *o, double service)
{
	double slots = o->slots > 0 ? o->slots : 1;
	double known = get_known_calls(o);
	double ahead = known + 1 - slots;
	double full = known / slots;

	return (ahead > 0 ? ahead * service / slots : 0) +
	       0.2 * service * (full < 1 ? full * full : 1);
}

/*
 * The mean run of the options that are known.
 */
static int64_t
get_usual(const struct placement_option *options, size_t count)
{
	int64_t sum = 0, n = 0;

	for (size_t i = 0; i < count; i++) {
		if (options[i].service_ns == 0)
			continue;
		sum += options[i].service_ns;
		n++;
	}
	return n > 0 ? sum / n : USUAL_NS;
}
