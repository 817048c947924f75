/*
 * Outlier ejection of one endpoint. The picker ensures that enough endpoints
 * stay selectable.
 */
#include "ejection.h"

/*
 * Failures in a row that make an outlier; fewer are common while a process
 * restarts.
 */
#define CONSECUTIVE_FAILURES_MAX 5
#define RATE_GAIN 0.05 /* weight of a result in the failure rate */
#define FAIL_RATE_MAX 0.5 /* above it, an outlier */
#define FAIL_RATE_RESULTS_MIN 20 /* results needed for the rate to count */
#define BACKOFF_FIRST_NS (5 * NSEC_PER_SEC) /* first ejection; then doubles */
#define BACKOFF_MAX_NS (60 * NSEC_PER_SEC)
/* The backoff restarts when the last return is longer ago than this. */
#define BACKOFF_RESET_NS (60 * NSEC_PER_SEC)

/*
 * Adds the result of a call. On probation, a success readmits the endpoint and
 * a failure ejects it again for longer. Results that arrive while it is ejected
 * are ignored: those calls were sent before.
 */
void
add_ejection_result(struct ejection *e, bool failed, int64_t now)
{
	if (is_ejected(e, now))
		return;
	e->consecutive_failures = failed ? e->consecutive_failures + 1 : 0;
	e->fail_rate += RATE_GAIN * ((failed ? 1.0 : 0.0) - e->fail_rate);
	e->result_count++;
	if (failed)
		e->last_failure_at = now;
	if (e->on_probation && e->probe_in_flight) {
		e->probe_in_flight = false;
		if (failed)
			eject(e, now);
		else
			readmit(e, now);
	}
}

/* Ejects an endpoint for the current backoff; afterwards it is on probation. */
void
eject(struct ejection *e, int64_t now)
{
	int64_t wait = BACKOFF_FIRST_NS;

	if (e->ejection_count != 0 && !e->on_probation &&
	    now - e->readmitted_at > BACKOFF_RESET_NS)
		e->ejection_count = 0;
	for (int i = 0; i < e->ejection_count && wait < BACKOFF_MAX_NS; i++)
		wait *= 2;
	e->ejection_count++;
	e->ejected_until =
	    now + (wait < BACKOFF_MAX_NS ? wait : BACKOFF_MAX_NS);
	e->on_probation = true;
	e->probe_in_flight = false;
}

/* Readmits an endpoint and clears its record except for the backoff. */
void
readmit(struct ejection *e, int64_t now)
{
	e->ejected_until = 0;
	e->on_probation = false;
	e->probe_in_flight = false;
	e->consecutive_failures = 0;
	e->fail_rate = 0;
	e->result_count = 0;
	e->readmitted_at = now;
}

/* Records that a call is sent; on probation it is the only one in flight. */
void
start_probe(struct ejection *e)
{
	if (e->on_probation)
		e->probe_in_flight = true;
}

/* Ends a probe without a result, so that another call may be the probe. */
void
cancel_probe(struct ejection *e)
{
	e->probe_in_flight = false;
}

/* Says whether the endpoint is ejected and not yet on probation. */
bool
is_ejected(const struct ejection *e, int64_t now)
{
	return e->on_probation && now < e->ejected_until;
}

/*
 * Says whether a call may be sent: the endpoint is not ejected and no probe is
 * in flight.
 */
bool
may_select(const struct ejection *e, int64_t now)
{
	return !is_ejected(e, now) && !e->probe_in_flight;
}

/*
 * Says whether an endpoint that is not ejected or on probation is an outlier.
 */
bool
is_outlier(const struct ejection *e)
{
	if (e->on_probation)
		return false;
	return e->consecutive_failures >= CONSECUTIVE_FAILURES_MAX ||
	       (e->result_count >= FAIL_RATE_RESULTS_MIN &&
		   e->fail_rate > FAIL_RATE_MAX);
}

/* Says whether a fails more often than b. */
bool
is_worse(const struct ejection *a, const struct ejection *b)
{
	if (a->fail_rate > b->fail_rate)
		return true;
	return a->fail_rate >= b->fail_rate &&
	       a->consecutive_failures > b->consecutive_failures;
}
