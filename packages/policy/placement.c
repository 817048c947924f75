/*
 * The expected loss of each option, as a share of a call's worth, and the least
 * of them.
 */
#include <math.h>

#include "placement.h"

#define REPORT_NS NSEC_PER_SEC /* a load report counts less with its age */
#define NEAR_NS (300 * NSEC_PER_USEC) /* there and back in the zone */
#define FAR_NS (3 * NSEC_PER_MSEC) /* there and back between zones */
#define USUAL_NS (100 * NSEC_PER_MSEC) /* a run of which nothing is known */
/*
 * Bytes between zones are paid for. These shares of a call's worth are the
 * price of a call of a few KB, and of one whose body has FAR_BODY_BYTES.
 */
#define FAR_SHARE 0.03
#define FAR_BODY_SHARE 1.0
#define FAR_BODY_BYTES 60000.0
#define AVOID_SHARE 4.0 /* loss that an option to be avoided counts as */
/*
 * A call that waits makes the next ones wait as long, so its wait counts twice:
 * the marginal cost of a queue whose length grows with the calls sent there.
 */
#define WAIT_COST 4.0
#define DELAY_SHARE 0.05 /* loss of an answer that takes the whole target */
#define NOISE_SHARE 0.01 /* spreads calls over equal options */
/* Run times are skewed: the logarithm's deviation, and its shift for a mean. */
#define RUN_SPREAD 0.8
#define RUN_SHIFT 0.32
#define LOGISTIC 1.7 /* the logistic curve that is nearest to the normal one */

static double get_loss(const struct placement_option *o,
    const struct placement_call *call, double run, struct rng *r);
static double get_late_share(double left, double run);
static double get_known_calls(const struct placement_option *o);
static double get_wait(const struct placement_option *o, double run);
static double get_usual(const struct placement_option *options, size_t count);

int
choose_placement(const struct placement_option *options, size_t count,
    const struct placement_call *call, struct rng *r)
{
	double usual = get_usual(options, count), least = 0;
	double mean = call->run_ns > 0 ? (double)call->run_ns : usual;
	int best = ERR_NOT_FOUND;

	for (size_t i = 0; i < count; i++) {
		const struct placement_option *o = &options[i];
		double run = mean, loss;

		if (!o->usable || o->tried)
			continue;
		/* The mix of kinds is much the same at all of them. */
		if (o->service_ns > 0 && usual > 0)
			run = mean * (double)o->service_ns / usual;
		loss = get_loss(o, call, run, r);
		if (best >= 0 && loss >= least)
			continue;
		best = (int)i;
		least = loss;
	}
	return best;
}

static double
get_loss(const struct placement_option *o, const struct placement_call *call,
    double run, struct rng *r)
{
	double wait =
	    WAIT_COST * get_wait(o, run) + (o->same_zone ? NEAR_NS : FAR_NS);
	double target = call->target_left > 0 ? (double)call->target_left : 0;
	double left = call->deadline_left > 0 ? (double)call->deadline_left : 1;
	double late, loss;

	if (call->body_len > 0 && o->report_age < REPORT_NS)
		wait += (double)o->body_wait_ns;
	/* Once late, only an answer before the deadline is worth something. */
	late = target > wait ? get_late_share(target - wait, run) :
			       1 + get_late_share(left - wait, run);
	loss = late + DELAY_SHARE * (wait + run) / left;
	loss += o->failed + NOISE_SHARE * draw_unit(r);
	if (o->avoided)
		loss += AVOID_SHARE;
	if (o->same_zone)
		return loss;
	return loss + FAR_SHARE +
	       FAR_BODY_SHARE * (double)call->body_len / FAR_BODY_BYTES;
}

/*
 * The share of runs with that mean that take longer than left.
 */
static double
get_late_share(double left, double run)
{
	double z;

	if (left <= 0)
		return 1;
	z = (log(left / run) + RUN_SHIFT) / RUN_SPREAD;
	return 1 / (1 + exp(LOGISTIC * z));
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
get_wait(const struct placement_option *o, double run)
{
	double slots = o->slots > 0 ? o->slots : 1;
	double known = get_known_calls(o);
	double ahead = known + 1 - slots;
	double full = known / slots;

	return (ahead > 0 ? ahead * run / slots : 0) +
	       0.2 * run * (full < 1 ? full * full : 1);
}

/*
 * The mean run of the options that are known.
 */
static double
get_usual(const struct placement_option *options, size_t count)
{
	double sum = 0, n = 0;

	for (size_t i = 0; i < count; i++) {
		if (options[i].service_ns == 0)
			continue;
		sum += (double)options[i].service_ns;
		n++;
	}
	return n > 0 ? sum / n : (double)USUAL_NS;
}
