/*
 * Outcome of one attempt at a call, judged from what its sender knows, and
 * whether another attempt is permitted.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "base.h"

/* What became of a call; the X-Ggs-Outcome header. */
enum call_outcome {
	OUTCOME_RAN, /* ran and the whole answer is here */
	OUTCOME_FAILED, /* ran and failed */
	OUTCOME_NOT_RUN, /* no byte can have had an effect */
	OUTCOME_UNKNOWN, /* may have run */
};

/* Why a call was refused as not run; the X-Ggs-Reason header. */
enum refuse_reason {
	REFUSE_NONE,
	REFUSE_OVERLOAD,
	REFUSE_DEADLINE,
	REFUSE_DRAINING,
	REFUSE_NO_ENDPOINT,
	REFUSE_NO_TABLE,
	REFUSE_NO_QUORUM,
	REFUSE_UNKNOWN_KIND,
	REFUSE_BODY_MEMORY, /* body above the node's --body-memory */
	REFUSE_REASON_COUNT, /* of those that can end a call */
	/* Of an offer that may not wait: nothing is free at once. */
	REFUSE_BUSY = REFUSE_REASON_COUNT,
};

/* How far the connection of an attempt got. */
enum attempt_end {
	ATTEMPT_NOT_CONNECTED, /* refused, unreachable or timed out opening */
	ATTEMPT_BROKEN, /* the connection broke or was reset */
	ATTEMPT_TIMEOUT, /* no complete answer in time */
	ATTEMPT_CANCELLED, /* the caller went away or a hedge won */
	ATTEMPT_ANSWERED, /* a complete status line and headers came */
};

/* What the sender of an attempt knows about it. */
struct attempt_facts {
	enum attempt_end end;
	bool bytes_sent; /* a byte may have left; true when not sure */
	int status; /* HTTP status; 0: none */
	bool has_outcome; /* X-Ggs-Outcome was present and known */
	enum call_outcome outcome; /* its value */
	bool has_call_id; /* X-Ggs-Call-Id was present */
	bool call_id_matches;
	bool call_id_required; /* the peer always echoes the id */
	bool has_length; /* Content-Length was present */
	int64_t length; /* its value */
	int64_t received; /* body bytes received */
	bool body_ended; /* the message ended cleanly */
	bool repeatable; /* column repeat is yes */
};

/* The verdict on an attempt. */
struct attempt_verdict {
	enum call_outcome outcome;
	bool may_retry; /* another attempt cannot run the work twice or may */
	bool close_connection; /* do not reuse it */
	int status; /* HTTP status to answer the caller with */
	const char *why; /* one line for logs and the answer */
};

struct attempt_verdict classify_attempt(const struct attempt_facts *f);
const char *get_outcome_name(enum call_outcome o); /* "not-run", ... */
int parse_outcome(struct str name, enum call_outcome *out);
const char *get_refuse_name(enum refuse_reason r); /* "overload", ... */
int parse_refuse_reason(struct str name, enum refuse_reason *out);

#endif
