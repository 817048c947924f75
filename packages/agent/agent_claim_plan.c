/*
 * A claim request as a state machine. An open that may have taken effect but
 * was not reported as granted is closed as not run until a control process
 * confirms it.
 */
#include "agent_claim_plan.h"

#define MS(n) ((n)*NSEC_PER_MSEC)

static bool needs_no_close(struct claim_answer answer);
static void back_off(struct claim_plan *p, int64_t first_ms, int64_t max_ms,
    struct rng *rng, int64_t now);
static void start_closing(struct claim_plan *p, int64_t now);

/*
 * Closing in the background is given up keep_s, and at least
 * CLAIM_CLOSING_MIN_S, after the caller's deadline.
 */
void
start_claim_plan(struct claim_plan *p, bool opening, int timeout_ms,
    uint32_t keep_s, int64_t now)
{
	uint32_t keep =
	    keep_s > CLAIM_CLOSING_MIN_S ? keep_s : CLAIM_CLOSING_MIN_S;

	*p = (struct claim_plan){
	    .opening = opening,
	    .deadline = now + MS((int64_t)timeout_ms),
	    .next_attempt_at = now,
	    .give_up_at = now + MS((int64_t)timeout_ms) + keep * NSEC_PER_SEC,
	};
}

/*
 * An attempt gets two thirds of the time left, so that an unresponsive control
 * process leaves time for another one.
 */
struct claim_step
get_claim_step(const struct claim_plan *p, int64_t now)
{
	int64_t left_ms = (p->deadline - now) / NSEC_PER_MSEC;
	struct claim_step s = {CLAIM_WAIT, INT64_MAX, CLAIM_ATTEMPT_MAX_MS};

	if (p->phase == CLAIM_ENDED) {
		s.action = CLAIM_FINISH;
		return s;
	}
	if (p->in_flight)
		return s;
	if (p->phase == CLAIM_CLOSING && now >= p->give_up_at) {
		s.action = CLAIM_FINISH;
		return s;
	}
	if (p->phase == CLAIM_REQUESTING) {
		if (left_ms < CLAIM_TIME_LEFT_MIN_MS) {
			s.action = CLAIM_REPORT;
			return s;
		}
		s.timeout_ms = (int)(left_ms * 2 / 3);
		if (s.timeout_ms < CLAIM_ATTEMPT_MIN_MS)
			s.timeout_ms = CLAIM_ATTEMPT_MIN_MS;
		if (s.timeout_ms > CLAIM_ATTEMPT_MAX_MS)
			s.timeout_ms = CLAIM_ATTEMPT_MAX_MS;
		if (s.timeout_ms > left_ms)
			s.timeout_ms = (int)left_ms;
	}
	if (now >= p->next_attempt_at)
		s.action = CLAIM_SEND;
	else
		s.until = p->next_attempt_at;
	if (p->phase == CLAIM_REQUESTING && s.until > p->deadline)
		s.until = p->deadline;
	return s;
}

/*
 * Combines the outcome of the RPC with the status in its reply. "No quorum"
 * does not rule out an effect: the leader may have stored the claim before it
 * lost the quorum.
 */
struct claim_answer
classify_claim_answer(int rpc_status, int answer)
{
	if (rpc_status != 0)
		return (struct claim_answer){
		    rpc_status, rpc_status != ERR_TIMEOUT, false};
	switch (answer) {
	case WIRE_OK:
		return (struct claim_answer){0, false, true};
	case WIRE_CONFLICT:
	case WIRE_INVALID:
	case WIRE_NOT_FOUND:
	case WIRE_DENIED:
	case WIRE_LIMIT:
		return (struct claim_answer){-answer, true, true};
	case WIRE_STALE:
		return (struct claim_answer){ERR_STALE, true, false};
	default:
		return (struct claim_answer){-answer, false, false};
	}
}

/*
 * Returns the state to send: the requested one, or NOT_RUN for an open that is
 * being closed in the background.
 */
enum wire_claim_state
get_claim_state(const struct claim_plan *p, enum wire_claim_state requested)
{
	return p->opening && p->phase == CLAIM_CLOSING ? WIRE_CLAIM_NOT_RUN :
							 requested;
}

void
record_claim_sent(struct claim_plan *p)
{
	p->in_flight = true;
}

/*
 * Ends the request, starts closing in the background or schedules a retry.
 * Returns true, with *status set, when the caller must get its result now.
 */
bool
handle_claim_answer(struct claim_plan *p, struct claim_answer answer,
    struct rng *rng, int64_t now, int *status)
{
	p->in_flight = false;
	if (p->phase == CLAIM_CLOSING) {
		if (needs_no_close(answer))
			p->phase = CLAIM_ENDED;
		else
			back_off(p, CLAIM_BACKOFF_MS, CLAIM_BACKOFF_MAX_MS, rng,
			    now);
		return false;
	}
	if (answer.final) {
		*status = answer.status;
		p->phase = CLAIM_ENDED;
		if (p->opening ? answer.status != 0 && p->may_be_open :
				 !needs_no_close(answer))
			start_closing(p, now);
		return true;
	}
	p->may_be_open = p->may_be_open || !answer.no_effect;
	back_off(p, CLAIM_RETRY_MS, CLAIM_RETRY_MAX_MS, rng, now);
	if (p->deadline - now >= MS(CLAIM_TIME_LEFT_MIN_MS))
		return false;
	*status = handle_claim_timeout(p, now);
	return true;
}

/*
 * Ends the caller's wait without an answer and returns the status to report.
 * An open was not granted, so the call does not run; a close continues in the
 * background.
 */
int
handle_claim_timeout(struct claim_plan *p, int64_t now)
{
	if (!p->opening) {
		start_closing(p, now);
		return ERR_UNKNOWN;
	}
	if (p->may_be_open)
		start_closing(p, now);
	else
		p->phase = CLAIM_ENDED;
	return ERR_UNAVAILABLE;
}

/*
 * Returns whether the claim needs no later close: it was closed, or the answer
 * shows that it is not open.
 */
static bool
needs_no_close(struct claim_answer answer)
{
	return answer.final && answer.status != ERR_LIMIT &&
	       answer.status != ERR_DENIED;
}

/*
 * Schedules the next attempt after a delay of full jitter. Its bound starts at
 * first_ms and doubles with every failure up to max_ms.
 */
static void
back_off(struct claim_plan *p, int64_t first_ms, int64_t max_ms,
    struct rng *rng, int64_t now)
{
	int64_t bound = first_ms;

	for (unsigned int i = 0; i < p->failures && bound < max_ms; i++)
		bound *= 2;
	if (bound > max_ms)
		bound = max_ms;
	p->failures++;
	p->next_attempt_at =
	    now + (int64_t)draw_below(rng, (uint64_t)MS(bound) + 1);
}

/*
 * Continues in the background; the first attempt is due at once.
 */
static void
start_closing(struct claim_plan *p, int64_t now)
{
	p->phase = CLAIM_CLOSING;
	p->failures = 0;
	p->next_attempt_at = now;
}
