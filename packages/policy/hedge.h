/*
 * Hedged sends: a second send of a call that may repeat, to another serving
 * node, while the first is still without an answer. For servers that have room
 * but whose answers have a long tail: a few servers are slow, and a few calls
 * take many times as long as the others. Pure: the caller passes the time.
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "base.h"

#define ANSWER_BUCKETS 56

/* Recent times from the send of a row's calls to their answers. */
struct answer_times {
	float counts[ANSWER_BUCKETS];
	float total;
};

/* Hedges that a row may send now; each call adds its share of one. */
struct hedge_budget {
	double tokens;
};

/* Why a hedge is not sent. */
enum hedge_refusal {
	HEDGE_ALLOWED,
	HEDGE_ATTEMPTS, /* the row's attempts would be exceeded */
	HEDGE_SHARE, /* the row's share of hedges is used up */
	HEDGE_ROOM, /* the service is short of free slots */
	HEDGE_SERVER, /* no other server has a free slot */
	HEDGE_LATE, /* it could not answer before the deadline */
	HEDGE_OVERDUE, /* the process was suspended meanwhile */
	HEDGE_BUDGET, /* the service's retry budget, or the account's rate */
	HEDGE_REFUSAL_COUNT
};

/* A call whose planned time for a hedge has come. */
struct hedge_input {
	int64_t now; /* mono ns */
	int64_t planned_at; /* mono ns; of plan_hedge() */
	int64_t deadline; /* mono ns */
	int64_t typical_ns; /* median time until an answer */
	int arrivals; /* at backend servers, the send under way included */
	int attempts_max; /* of the row */
	int slots; /* of all servers with a recent load report */
	int calls; /* running or waiting there */
	bool has_server; /* an untried one has a free slot */
};

/* Answer times */
void add_answer_time(struct answer_times *t, int64_t ns);
/* ns; 0: too few recent answers. share: of the answers, 0 to 1. */
int64_t get_answer_quantile(const struct answer_times *t, double share);

/* Budget; share: most hedges per call, 0 to 1 */
void add_hedge_tokens(struct hedge_budget *b, double share);

/* Decisions */
/*
 * Mono ns at which to look at the call again; 0: no hedge. started_at: of the
 * first send.
 */
int64_t plan_hedge(const struct answer_times *t, double share,
    int64_t started_at, int64_t target_at, int64_t deadline);
/* Spends a token if it allows the hedge. */
enum hedge_refusal decide_hedged_send(
    const struct hedge_input *in, struct hedge_budget *b);
const char *get_hedge_refusal_name(enum hedge_refusal r);

#endif
