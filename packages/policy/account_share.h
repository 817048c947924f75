/*
 * Order between the client accounts in the queue of one row at one backend
 * server. Pure: the caller passes the monotonic time and serializes access.
 *
 * Answers this load: one to three accounts send 7 to 12 times their usual for
 * several seconds, and their calls fill the queues in which those of all others
 * wait. A call of an account that has used more than its share recently waits
 * as if it had come when its share covers it, so the calls of the others go
 * first, and the late ones are refused out of its own. Only started and waiting
 * calls count as use, so a refused account is served again as soon as its use
 * has faded to its share. Slots that nobody else asks for stay open to it.
 */
#ifndef ACCOUNT_SHARE_H
#define ACCOUNT_SHARE_H

#include "base.h"

/* Recent use of one account. */
struct account_use {
	uint64_t account; /* hash of its name */
	int share; /* weight among the accounts, 1 or more */
	double started; /* calls, decayed */
	int waiting; /* calls */
};

/* All accounts with recent use; zero-initialized at first. */
struct account_shares {
	struct account_use *uses;
	size_t count, cap;
	double started; /* sum over the accounts */
	int waiting; /* likewise */
	int64_t at; /* mono ns; of the last decay */
};

void unload_account_shares(struct account_shares *s);
/*
 * Time in ns by which a new call of the account is ahead of the account's
 * share: the call is ordered as if it had come that much later. 0 within it.
 */
int64_t get_share_delay(
    struct account_shares *s, uint64_t account, int share, int64_t now);
/* A call begins or ends to wait, or starts. Account 0 is not counted. */
void add_waiting_use(
    struct account_shares *s, uint64_t account, int share, int64_t now);
void remove_waiting_use(struct account_shares *s, uint64_t account);
void add_started_use(struct account_shares *s, uint64_t account, int64_t now);

#endif
