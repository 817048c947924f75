/*
 * Decides what to do next for one claim request: send, wait, report or finish.
 * No side effects; times are monotonic ns. Internal to the package.
 */
#ifndef AGENT_CLAIM_PLAN_H
#define AGENT_CLAIM_PLAN_H

#include "base.h"
#include "wire.h"

#define CLAIM_ATTEMPT_MAX_MS 2500 /* of an attempt; controls wait up to 2 s */
#define CLAIM_ATTEMPT_MIN_MS 500 /* shorter attempts only at the deadline */
#define CLAIM_TIME_LEFT_MIN_MS 20 /* with less time left no attempt is made */
#define CLAIM_RETRY_MS 50 /* first retry of a waiting caller, full jitter */
#define CLAIM_RETRY_MAX_MS 500 /* many callers retry when the quorum is lost */
#define CLAIM_BACKOFF_MS 500 /* first background delay, full jitter */
#define CLAIM_BACKOFF_MAX_MS 15000
#define CLAIM_CLOSING_MIN_S 60 /* background closing lasts at least this long */

enum claim_phase {
	CLAIM_REQUESTING, /* the caller waits */
	CLAIM_CLOSING, /* in the background */
	CLAIM_ENDED,
};

enum claim_action {
	CLAIM_WAIT, /* do nothing before until */
	CLAIM_SEND, /* send it, with timeout_ms, to the next control process */
	CLAIM_REPORT, /* the caller timed out: ERR_UNAVAILABLE or ERR_UNKNOWN */
	CLAIM_FINISH, /* nothing is left to do */
};

/* An answer to one attempt. */
struct claim_answer {
	int status; /* 0 granted or closed; an error number */
	bool no_effect; /* the attempt had no effect */
	bool final; /* a retry would not change it */
};

struct claim_step {
	enum claim_action action;
	int64_t until; /* of CLAIM_WAIT */
	int timeout_ms; /* of CLAIM_SEND */
};

struct claim_plan {
	enum claim_phase phase;
	bool opening; /* the caller opens a claim; else it closes one */
	bool in_flight;
	bool may_be_open; /* an attempt without an answer may have opened it */
	int64_t deadline; /* of the caller */
	int64_t next_attempt_at;
	int64_t give_up_at; /* retention has ended: nothing is left to close */
	unsigned int failures; /* in a row */
};

void start_claim_plan(struct claim_plan *p, bool opening, int timeout_ms,
    uint32_t keep_s, int64_t now);
struct claim_step get_claim_step(const struct claim_plan *p, int64_t now);
struct claim_answer classify_claim_answer(int rpc_status, int answer);
enum wire_claim_state get_claim_state(
    const struct claim_plan *p, enum wire_claim_state requested);

void record_claim_sent(struct claim_plan *p);

/* Returns true when *status must be reported to the caller now. */
bool handle_claim_answer(struct claim_plan *p, struct claim_answer answer,
    struct rng *rng, int64_t now, int *status);
int handle_claim_timeout(struct claim_plan *p, int64_t now); /* its status */

#endif
