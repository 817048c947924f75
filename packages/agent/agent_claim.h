/*
 * What to do next for one claim request: send, wait, report, close. Pure;
 * times are monotonic ns. Internal to the package.
 */
#ifndef AGENT_CLAIM_H
#define AGENT_CLAIM_H

#include "base.h"
#include "wire.h"

#define CLAIM_ATTEMPT_MAX_MS 2500 /* one attempt; a control waits up to 2 s */
#define CLAIM_ATTEMPT_MIN_MS 500 /* shorter attempts only at the deadline */
#define CLAIM_LAST_MS 20 /* with less time left no attempt is made */
#define CLAIM_RETRY_MS 50 /* first retry of a waiting caller, full jitter */
#define CLAIM_RETRY_MAX_MS 500 /* many callers retry when the quorum is lost */
#define CLAIM_BACKOFF_MS 500 /* first background delay, full jitter */
#define CLAIM_BACKOFF_MAX_MS 15000
#define CLAIM_KEEP_MIN_S 60 /* background closing lasts at least this long */

enum claim_phase {
	CLAIM_ASKING, /* the caller waits */
	CLAIM_CLOSING, /* in the background */
	CLAIM_ENDED,
};

enum claim_action {
	CLAIM_WAIT, /* nothing before until */
	CLAIM_SEND, /* send it, with timeout_ms, to the next control process */
	CLAIM_REPORT, /* the time is up: report ERR_UNAVAILABLE or unknown */
	CLAIM_FINISH, /* nothing is left to do */
};

/* An answer to one attempt. */
struct claim_answer {
	int status; /* 0 granted or closed; an error number */
	bool certain; /* the attempt had no effect */
	bool final; /* asking again would not change it */
};

struct claim_step {
	enum claim_action action;
	int64_t until; /* of CLAIM_WAIT */
	int timeout_ms; /* of CLAIM_SEND */
};

struct claim_plan {
	enum claim_phase phase;
	bool opening; /* the caller opens; else it closes */
	bool in_flight;
	bool maybe_open; /* some attempt may have opened it */
	int64_t deadline; /* of the caller */
	int64_t next_at;
	int64_t give_up_at; /* retention has ended: nothing is left to close */
	unsigned int failures;
};

void start_claim_plan(struct claim_plan *p, bool opening, int timeout_ms,
    uint32_t keep_s, int64_t now);
struct claim_step get_claim_step(const struct claim_plan *p, int64_t now);
struct claim_answer classify_claim_answer(int rpc_status, int answer);
enum wire_claim_state get_claim_state(
    const struct claim_plan *p, enum wire_claim_state asked);

void note_claim_sent(struct claim_plan *p);

/* Returns true when the caller must be told status now. */
bool note_claim_answer(struct claim_plan *p, struct claim_answer answer,
    struct rng *rng, int64_t now, int *status);
int note_claim_report(struct claim_plan *p, int64_t now); /* its status */

#endif
