/*
 * Outcome of one attempt at a call, derived from what its sender knows, and
 * whether another attempt is permitted.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "base.h"

/* Outcome of a call; the X-Ggs-Outcome header. */
enum call_outcome {
	OUTCOME_RAN, /* ran, and the complete answer has arrived */
	OUTCOME_FAILED, /* ran and failed */
	OUTCOME_NOT_RUN, /* cannot have run */
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
	REFUSE_REASON_COUNT, /* number of reasons that can end a call */
	/* Of an immediate offer: no slot is free. */
	REFUSE_BUSY = REFUSE_REASON_COUNT,
	/* Of a client account, at the entry node */
	REFUSE_KEY, /* no account has the key */
	REFUSE_ALLOTMENT, /* the account is beyond its rate */
};

/* How far the connection of an attempt got. */
enum attempt_end {
	ATTEMPT_NOT_CONNECTED, /* connect refused, unreachable or timed out */
	ATTEMPT_BROKEN, /* connection broken or reset */
	ATTEMPT_TIMEOUT, /* no complete answer in time */
	ATTEMPT_CANCELLED, /* the caller disconnected or another attempt won */
	ATTEMPT_ANSWERED, /* complete status line and headers received */
};

/* What the sender of an attempt knows about it. */
struct attempt_facts {
	enum attempt_end end;
	bool bytes_sent; /* a byte may have been sent; true if in doubt */
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
	bool repeatable; /* column repeat of the row is yes */
};

/* The verdict on an attempt. */
struct attempt_verdict {
	enum call_outcome outcome;
	bool may_retry; /* a second run is impossible or permitted */
	bool close_connection; /* the connection must not be reused */
	int status; /* HTTP status for the caller */
	const char *why; /* one line for logs and the answer */
};

struct attempt_verdict classify_attempt(const struct attempt_facts *f);
const char *get_outcome_name(enum call_outcome o); /* "not-run", ... */
int parse_outcome(struct str name, enum call_outcome *out);
const char *get_refuse_name(enum refuse_reason r); /* "overload", ... */
int parse_refuse_reason(struct str name, enum refuse_reason *out);

#endif
