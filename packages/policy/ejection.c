/*
 * Outlier ejection of one endpoint. The picker keeps enough of them selectable.
 */
#include "ejection.h"

#define FAILURES_IN_A_ROW 5 /* fewer are common while a process restarts */
#define RATE_GAIN 0.05 /* of the mean failure rate */
#define RATE_LIMIT 0.5 /* mean failure rate of an outlier */
#define RATE_RESULTS 20 /* results before the rate counts */
#define BACKOFF_NS (5 * NSEC_PER_SEC) /* first ejection; doubles */
#define BACKOFF_MAX_NS (60 * NSEC_PER_SEC)
#define FORGET_NS (60 * NSEC_PER_SEC) /* good for as long: backoff restarts */

/*
 * Adds the result of a call. On probation a success brings the endpoint back
 * and a failure ejects it again for longer. Results of calls that were in
 * flight at the ejection change nothing.
 */
void
add_ejection_result(struct ejection *e, bool bad, int64_t now)
{
	if (is_ejected(e, now))
		return;
	e->failures = bad ? e->failures + 1 : 0;
	e->fail_rate += RATE_GAIN * ((bad ? 1.0 : 0.0) - e->fail_rate);
	e->results++;
	if (bad)
		e->last_bad = now;
	if (e->on_probation && e->probing) {
		e->probing = false;
		if (bad)
			eject(e, now);
		else
			readmit(e, now);
	}
}

/* Ejects an endpoint; it comes back on probation. */
void
eject(struct ejection *e, int64_t now)
{
	int64_t wait = BACKOFF_NS;

	if (e->times != 0 && !e->on_probation &&
	    now - e->good_since > FORGET_NS)
		e->times = 0;
	for (int i = 0; i < e->times && wait < BACKOFF_MAX_NS; i++)
		wait *= 2;
	e->times++;
	e->until = now + (wait < BACKOFF_MAX_NS ? wait : BACKOFF_MAX_NS);
	e->on_probation = true;
	e->probing = false;
}

/* Brings an endpoint back with a clean record, but for the backoff. */
void
readmit(struct ejection *e, int64_t now)
{
	e->until = 0;
	e->on_probation = false;
	e->probing = false;
	e->failures = 0;
	e->fail_rate = 0;
	e->results = 0;
	e->good_since = now;
}

/* Notes that a call is sent; on probation it is the only one. */
void
start_probe(struct ejection *e)
{
	if (e->on_probation)
		e->probing = true;
}

/* A cancelled probe tells nothing; another call may probe. */
void
cancel_probe(struct ejection *e)
{
	e->probing = false;
}

/* Says whether the endpoint is out of the choice. */
bool
is_ejected(const struct ejection *e, int64_t now)
{
	return e->on_probation && now < e->until;
}

/* Says whether a call may be sent: not ejected and no probe in flight. */
bool
may_select(const struct ejection *e, int64_t now)
{
	return !is_ejected(e, now) && !e->probing;
}

/* Says whether an endpoint in the choice is an outlier. */
bool
deserves_ejection(const struct ejection *e)
{
	if (e->on_probation)
		return false;
	return e->failures >= FAILURES_IN_A_ROW ||
	       (e->results >= RATE_RESULTS && e->fail_rate > RATE_LIMIT);
}

/* Says whether a fails more than b. */
bool
is_worse(const struct ejection *a, const struct ejection *b)
{
	if (a->fail_rate > b->fail_rate)
		return true;
	return a->fail_rate >= b->fail_rate && a->failures > b->failures;
}
