/*
 * Retry and hedge decisions.
 *
 * With a local budget alone, every level retries the failure that it receives,
 * and a failing leaf at depth d gets up to (1 + retry_pct / 100)^d attempts per
 * call. With the chain budget only the level above the failure spends its local
 * budget, and its answer tells the levels above not to retry.
 */
#include "retry.h"

#define TOKENS_START 3.0 /* lets a row with few calls retry from the start */
#define TOKENS_MAX 10.0 /* most retries of one burst */
/* Keeps attempts within 1.2 per call, hedges and retries included. */
#define HEDGE_TOKENS 2.0
/* Upper bound of the first delay; doubles with each attempt. */
#define JITTER_FIRST_NS (10 * NSEC_PER_MSEC)
#define JITTER_MAX_NS NSEC_PER_SEC

static const char *const refusal_names[] = {
    [RETRY_ALLOWED] = "allowed",
    [RETRY_NOT_SAFE] = "not-safe",
    [RETRY_COUNT] = "count",
    [RETRY_CHAIN] = "chain",
    [RETRY_BUDGET] = "budget",
    [RETRY_DEADLINE] = "deadline",
};

static enum retry_refusal find_refusal(
    const struct retry_input *in, const struct retry_budget *b);
static int64_t get_min_delay(const struct retry_input *in);
static int64_t draw_delay(const struct retry_input *in, struct rng *r,
    int64_t min_delay, int64_t now);

/* Initializes a row's retry budget at an entry node. */
void
start_retry_budget(struct retry_budget *b)
{
	b->tokens = TOKENS_START;
}

/* Adds the tokens of a new call, by column retry_pct, up to TOKENS_MAX. */
void
credit_retry_budget(struct retry_budget *b, const struct row *row)
{
	b->tokens += row->values[COL_RETRY_PCT] / 100.0;
	if (b->tokens > TOKENS_MAX)
		b->tokens = TOKENS_MAX;
}

/*
 * Returns the chain budget of a call at this level: the row's retries at the
 * first level, below it the value from the level above, but never more than the
 * row's retries.
 */
int
start_chain_budget(const struct row *row, int header)
{
	int row_retries = row->values[COL_RETRIES];

	if (header == RETRY_BUDGET_ABSENT || header > row_retries)
		return row_retries;
	return header < 0 ? 0 : header;
}

/*
 * Returns the chain budget left after an attempt that carried sent. Serving
 * nodes always answer with the header, so an answer without it counts as budget
 * 0. Without an answer no level below can have reported the failure, so this
 * level may retry.
 */
int
get_chain_budget_after(int sent, bool answered, int header)
{
	if (!answered)
		return sent;
	if (header == RETRY_BUDGET_ABSENT || header < 0)
		return 0;
	return header < sent ? header : sent;
}

/*
 * Decides on another attempt and takes a token when it allows one. Otherwise
 * the failure is passed up with chain budget 0, regardless of the reason.
 */
struct retry_decision
decide_retry(const struct retry_input *in, struct retry_budget *b,
    struct rng *r, int64_t now)
{
	struct retry_decision d = {.refusal = find_refusal(in, b)};
	int64_t min_delay = get_min_delay(in);

	if (d.refusal == RETRY_ALLOWED &&
	    now + min_delay + in->mean_latency_ns >= in->deadline)
		d.refusal = RETRY_DEADLINE;
	if (d.refusal != RETRY_ALLOWED)
		return d;
	b->tokens -= 1;
	d.retry = true;
	d.delay_ns = draw_delay(in, r, min_delay, now);
	d.chain_budget = in->chain_budget - 1;
	return d;
}

/*
 * Decides on a hedge and takes HEDGE_TOKENS when it allows one. Only the first
 * level of a chain hedges: a slow leaf delays every level above it, and each of
 * them would send a second attempt.
 */
bool
decide_hedge(const struct retry_input *in, struct retry_budget *b,
    int64_t elapsed_ns, int64_t now)
{
	const struct row *row = in->row;
	int64_t after = row->values[COL_HEDGE_MS] * NSEC_PER_MSEC;

	if (after == 0 || !row->repeatable || !in->first_level ||
	    in->chain_budget < 1 || in->attempts != 1 ||
	    !in->has_other_endpoint || elapsed_ns < after)
		return false;
	if (row->values[COL_RETRY_PCT] == 0 || b->tokens < HEDGE_TOKENS)
		return false;
	if (now + in->mean_latency_ns >= in->deadline)
		return false;
	b->tokens -= HEDGE_TOKENS;
	return true;
}

/* Returns the name of a refusal, as used in counters. */
const char *
get_retry_refusal_name(enum retry_refusal r)
{
	return refusal_names[r];
}

/* Returns the first rule that forbids a retry, except the deadline. */
static enum retry_refusal
find_refusal(const struct retry_input *in, const struct retry_budget *b)
{
	bool not_run = in->verdict.outcome == OUTCOME_NOT_RUN;

	if (!in->verdict.may_retry || (!not_run && !in->row->repeatable))
		return RETRY_NOT_SAFE;
	if (in->attempts > in->row->values[COL_RETRIES])
		return RETRY_COUNT;
	if (in->chain_budget < 1)
		return RETRY_CHAIN;
	if (in->row->values[COL_RETRY_PCT] == 0 || b->tokens < 1)
		return RETRY_BUDGET;
	return RETRY_ALLOWED;
}

/*
 * Returns the shortest delay in ns. Retry-After applies to the endpoint that
 * sent it, so it counts only when the retry must go to the same endpoint.
 */
static int64_t
get_min_delay(const struct retry_input *in)
{
	return in->has_other_endpoint ? 0 : in->retry_after_ns;
}

/*
 * Draws the delay in ns uniformly above the shortest one (full jitter), up to a
 * bound that doubles with each attempt and leaves time for the attempt itself.
 */
static int64_t
draw_delay(
    const struct retry_input *in, struct rng *r, int64_t min_delay, int64_t now)
{
	int64_t time_left =
	    in->deadline - now - min_delay - in->mean_latency_ns;
	int64_t max_jitter = JITTER_FIRST_NS;

	for (int i = 1; i < in->attempts && max_jitter < JITTER_MAX_NS; i++)
		max_jitter *= 2;
	if (max_jitter > JITTER_MAX_NS)
		max_jitter = JITTER_MAX_NS;
	if (max_jitter > time_left)
		max_jitter = time_left;
	return min_delay + (int64_t)draw_below(r, (uint64_t)max_jitter);
}
