/*
 * Expected loss of each option, in units of one call's value, and the choice of
 * the option with the lowest loss.
 */
#include <math.h>

#include "placement.h"

/* A load report loses weight linearly up to this age. */
#define REPORT_LIFETIME_NS NSEC_PER_SEC
#define SAME_ZONE_RTT_NS (300 * NSEC_PER_USEC) /* round trip within the zone */
#define CROSS_ZONE_RTT_NS (3 * NSEC_PER_MSEC) /* round trip between zones */
/* Service time when no option has reported one. */
#define DEFAULT_SERVICE_NS (100 * NSEC_PER_MSEC)
/*
 * Traffic between zones costs money. In units of a call's value, a call of a
 * few KB costs the first, and its body the second for each
 * CROSS_ZONE_BODY_BYTES.
 */
#define CROSS_ZONE_COST 0.03
#define CROSS_ZONE_BODY_COST 1.0
#define CROSS_ZONE_BODY_BYTES 60000.0
/* Loss added for an option that failed recently. */
#define AVOIDED_COST 4.0
/*
 * A call that waits also delays the calls behind it, so a wait counts several
 * times: the marginal cost of a queue whose length grows with the calls sent to
 * it.
 */
#define WAIT_WEIGHT 4.0
#define DELAY_COST 0.05 /* of an answer just before the deadline */
/* Largest random part; spreads calls over equal options. */
#define NOISE_COST 0.01
/*
 * Service times are taken as lognormal: the standard deviation of the
 * logarithm, and the logarithm of the mean less the mean of the logarithm.
 */
#define SERVICE_LOG_DEVIATION 0.8
#define SERVICE_LOG_SHIFT 0.32
/*
 * Scale at which the logistic function is closest to the normal distribution.
 */
#define LOGISTIC_SCALE 1.7

static double get_loss(const struct placement_option *o,
    const struct placement_call *call, double service, struct rng *r);
static double get_late_probability(double time_left, double service);
static double estimate_calls(const struct placement_option *o);
static double estimate_queue_wait(
    const struct placement_option *o, double service);
static double get_mean_service(
    const struct placement_option *options, size_t count);

/* Chooses the usable, untried option with the lowest expected loss. */
int
choose_placement(const struct placement_option *options, size_t count,
    const struct placement_call *call, struct rng *r)
{
	double mean_service = get_mean_service(options, count), least = 0;
	double kind_service = call->kind_service_ns > 0 ?
				  (double)call->kind_service_ns :
				  mean_service;
	int best = ERR_NOT_FOUND;

	for (size_t i = 0; i < count; i++) {
		const struct placement_option *o = &options[i];
		double service = kind_service, loss;

		if (!o->usable || o->tried)
			continue;
		/*
		 * Scales the kind's mean by the server's speed, as the mix of
		 * kinds is similar at all servers.
		 */
		if (o->service_ns > 0 && mean_service > 0)
			service =
			    kind_service * (double)o->service_ns / mean_service;
		loss = get_loss(o, call, service, r);
		if (best >= 0 && loss >= least)
			continue;
		best = (int)i;
		least = loss;
	}
	return best;
}

/*
 * Returns the expected loss of sending a call to an option. service is the
 * expected service time there in ns. r adds a small random part.
 */
static double
get_loss(const struct placement_option *o, const struct placement_call *call,
    double service, struct rng *r)
{
	double wait = WAIT_WEIGHT * estimate_queue_wait(o, service) +
		      (o->same_zone ? SAME_ZONE_RTT_NS : CROSS_ZONE_RTT_NS);
	double target = call->target_left > 0 ? (double)call->target_left : 0;
	double time_left =
	    call->deadline_left > 0 ? (double)call->deadline_left : 1;
	double late, loss;

	if (call->body_len + call->answer_len > 0 &&
	    o->report_age < REPORT_LIFETIME_NS)
		wait += (double)o->body_wait_ns;
	/*
	 * Once the target cannot be met, what counts is an answer before the
	 * deadline.
	 */
	late = target > wait ?
		   get_late_probability(target - wait, service) :
		   1 + get_late_probability(time_left - wait, service);
	loss = late + DELAY_COST * (wait + service) / time_left;
	loss += o->failed_share + NOISE_COST * draw_unit(r);
	if (o->avoided)
		loss += AVOIDED_COST;
	if (o->same_zone)
		return loss;
	return loss + CROSS_ZONE_COST +
	       CROSS_ZONE_BODY_COST *
		   (double)(call->body_len + call->answer_len) /
		   CROSS_ZONE_BODY_BYTES;
}

/*
 * Returns the probability that a service time with mean service exceeds
 * time_left; both in ns.
 */
static double
get_late_probability(double time_left, double service)
{
	double z;

	if (time_left <= 0)
		return 1;
	z = (log(time_left / service) + SERVICE_LOG_SHIFT) /
	    SERVICE_LOG_DEVIATION;
	return 1 / (1 + exp(LOGISTIC_SCALE * z));
}

/*
 * Estimates the calls at an option. Calls of other nodes lose weight as the
 * report ages; the number of this node's own calls is always exact.
 */
static double
estimate_calls(const struct placement_option *o)
{
	double others, fresh;

	if (!o->reported || o->report_age >= REPORT_LIFETIME_NS)
		return o->own;
	others = o->in_flight + o->queued - o->own_at_report;
	fresh = 1.0 - (double)o->report_age / REPORT_LIFETIME_NS;
	return o->own + (others > 0 ? others * fresh : 0);
}

/*
 * Estimates the wait for a slot in ns: the calls ahead that exceed the slots,
 * over the rate at which slots become free. The higher the utilization, the
 * slower a server counts, by up to 0.2 of a service time.
 */
static double
estimate_queue_wait(const struct placement_option *o, double service)
{
	double slots = o->slots > 0 ? o->slots : 1;
	double known = estimate_calls(o);
	double ahead = known + 1 - slots;
	double utilization = known / slots;

	return (ahead > 0 ? ahead * service / slots : 0) +
	       0.2 * service *
		   (utilization < 1 ? utilization * utilization : 1);
}

/*
 * Returns the mean service time in ns over the options that reported one, or a
 * default.
 */
static double
get_mean_service(const struct placement_option *options, size_t count)
{
	double sum = 0, n = 0;

	for (size_t i = 0; i < count; i++) {
		if (options[i].service_ns == 0)
			continue;
		sum += (double)options[i].service_ns;
		n++;
	}
	return n > 0 ? sum / n : (double)DEFAULT_SERVICE_NS;
}
