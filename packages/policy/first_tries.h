/*
 * Tells calls that come back after a refusal from first tries, by the time-out
 * that the caller sends. Time-outs of first tries differ between callers, by 15%
 * on some deployments; with a deadline of seven targets that is a whole target,
 * and a first try that is taken for a late one is refused or waits behind all
 * others. Pure.
 */
#ifndef FIRST_TRIES_H
#define FIRST_TRIES_H

#include "base.h"

/* Time-outs of one kind of call at one entry node; zero: none seen. */
struct first_tries {
	int64_t longest; /* ns */
	int64_t shortest; /* ns; of calls that were certainly first tries */
	int64_t failed_at; /* mono ns; when a caller could last come back */
	bool failed; /* failed_at is set */
};

/* Changes */
void add_caller_timeout(struct first_tries *f, int64_t timeout, int64_t now);
void record_failed_try(struct first_tries *f, int64_t now); /* not a success */

/* Time in ns since the first try of a call with this time-out; 0: it is one. */
int64_t estimate_elapsed(const struct first_tries *f, int64_t timeout);

#endif
