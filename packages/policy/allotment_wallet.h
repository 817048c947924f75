/*
 * The wallet of an account at one node: tokens that the ledger has leased to the
 * node, and what the node may spend while it can't reach the ledger. Answers the
 * loads "one account sends many times its usual", "the node is cut off" and "the
 * node was frozen and wakes". Pure: the caller passes a time that counts
 * suspensions, so that a node that wakes spends no lease that has run out.
 */
#ifndef ALLOTMENT_WALLET_H
#define ALLOTMENT_WALLET_H

#include "allotment_ledger.h"

#define WALLET_ASK_NS (400 * NSEC_PER_MSEC) /* between asks, without need */
#define WALLET_IDLE_NS (5 * NSEC_PER_SEC) /* without a call: returns all */

/* What a node knows of the ledger; the same for all its wallets. */
struct wallet_ledger {
	size_t nodes; /* of the fleet; 0: not known */
	bool member; /* the ledger counts the node, in touch or not */
	bool lost; /* the last ask failed */
	int64_t leased_until; /* of the last answered ask */
};

/* All zero, then set_wallet_limit(). */
struct wallet {
	struct ledger_limit limit;
	uint32_t tokens;
	int64_t expires_at; /* of the tokens */
	double demand; /* calls a second, recent */
	double refused; /* of these, refused */
	double supply; /* tokens a second, recently granted */
	int64_t counted_at; /* the three above */
	int64_t used_at; /* last call */
	int64_t room_at; /* the ledger has nothing before */
	double share; /* tokens of the node's own, while the ledger is lost */
	int64_t share_at; /* share is filled up to then */
	uint32_t waiting; /* calls that wait for the next answer */
	uint32_t asked; /* tokens wanted by the ask under way */
};

enum wallet_draw {
	WALLET_GRANTED, /* the call may be sent once */
	WALLET_ASK, /* wait for the answer of the next ask */
	WALLET_REFUSED,
};

/* Commands */

/* A lower limit cuts what the wallet holds at once. */
void set_wallet_limit(struct wallet *w, const struct ledger_limit *limit);
void count_wallet_call(struct wallet *w, int64_t now); /* once a call */
/*
 * late: the call's answer can't be in time any more. retry_after: ns, set with
 * WALLET_REFUSED.
 */
enum wallet_draw draw_wallet(struct wallet *w, const struct wallet_ledger *l,
    int64_t now, bool late, int64_t *retry_after);
void return_wallet_token(struct wallet *w); /* the call was not sent */
/* Fills the ask; false: the ledger need not hear of this account. */
bool fill_wallet_ask(struct wallet *w, int64_t now, struct ledger_ask *out);
/* sent_at: of the ask that is answered. */
void apply_wallet_grant(struct wallet *w, const struct ledger_grant *g,
    int64_t sent_at, int64_t now);

/* Queries */
bool is_wallet_idle(const struct wallet *w, int64_t now);
/* Latest time of the next ask; INT64_MAX: none needed. */
int64_t get_wallet_ask_time(
    const struct wallet *w, int64_t asked_at, int64_t now);

#endif
