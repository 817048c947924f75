/*
 * Retry and hedge decisions at the entry node, the retry budgets and the chain
 * budget (X-Ggs-Retry-Budget).
 *
 * The chain budget is the number of retries that a whole chain of calls may
 * still make. Requests carry it to the next level. A serving node that refuses
 * a call answers with the value it received. An entry node that answers with a
 * failure has used or given up the budget and answers with 0; a serving node
 * passes that 0 on when a call with the same call id failed through its own
 * node.
 */
#ifndef RETRY_H
#define RETRY_H

#include "outcome.h"
#include "table.h"

#define RETRY_BUDGET_ABSENT (-1) /* no X-Ggs-Retry-Budget header */

/* Token bucket of one row; each call adds retry_pct / 100 tokens. */
struct retry_budget {
	double tokens;
};

/* Input of a decision after an attempt without success, or for a hedge. */
struct retry_input {
	const struct row *row;
	struct attempt_verdict verdict;
	int attempts; /* made so far, hedges included */
	int chain_budget; /* retries that the chain may still make */
	bool first_level; /* came without X-Ggs-Retry-Budget */
	bool has_other_endpoint; /* one that has not been tried */
	int64_t retry_after_ns; /* from the answer; 0: none */
	int64_t mean_latency_ns; /* mean latency of an attempt; 0: unknown */
	int64_t deadline; /* mono ns */
};

/* Why no retry is made. */
enum retry_refusal {
	RETRY_ALLOWED,
	RETRY_NOT_SAFE, /* the call may have run and is not repeatable */
	RETRY_COUNT, /* column retries is reached */
	RETRY_CHAIN, /* the chain budget is exhausted */
	RETRY_BUDGET, /* the row's retry budget is exhausted */
	RETRY_DEADLINE, /* not enough time is left */
};

struct retry_decision {
	bool retry;
	enum retry_refusal refusal;
	int64_t delay_ns; /* before the next attempt */
	int chain_budget; /* for the next attempt's request header */
};

void start_retry_budget(struct retry_budget *b);
void credit_retry_budget(struct retry_budget *b, const struct row *row);
/* Chain budget of an arriving call: the header's, at most the row's retries. */
int start_chain_budget(const struct row *row, int header);
/*
 * Chain budget left after an attempt that carried sent; header: the answer's.
 */
int get_chain_budget_after(int sent, bool answered, int header);
/* Takes a token when it allows a retry. */
struct retry_decision decide_retry(const struct retry_input *in,
    struct retry_budget *b, struct rng *r, int64_t now);
/*
 * Whether to hedge, that is send a second attempt of a repeatable call, when
 * elapsed_ns have passed without an answer. Takes tokens when it allows one.
 * The request of a hedge carries chain budget 0.
 */
bool decide_hedge(const struct retry_input *in, struct retry_budget *b,
    int64_t elapsed_ns, int64_t now);
const char *get_retry_refusal_name(enum retry_refusal r);

#endif
