/*
 * Retry and hedge decisions.
 *
 * With a local budget alone, a failing leaf at depth d would see up to
 * (1 + retry_pct / 100)^d calls, since every level retries the failure it sees.
 * With the chain budget only the level above the failure spends its local
 * budget, and the answer tells the levels above to leave it.
 */
#include "retry.h"

#define TOKENS_START 3.0 /* lets a row with few calls retry early on */
#define TOKENS_MAX 10.0 /* most retries of one burst */
#define HEDGE_TOKENS 2.0 /* keeps hedges and retries within 1.2 calls a call */
#define JITTER_FIRST_NS (10 * NSEC_PER_MSEC) /* widest first delay; doubles */
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
static int64_t get_least_delay(const struct retry_input *in);
static int64_t draw_delay(
    const struct retry_input *in, struct rng *r, int64_t least, int64_t now);

/* Starts a row's budget at an entry node. */
void
start_retry_budget(struct retry_budget *b)
{
	b->tokens = TOKENS_START;
}

/* Adds a first attempt's share of a retry: column retry_pct. */
void
add_retry_budget_call(struct retry_budget *b, const struct row *row)
{
	b->tokens += row->values[COL_RETRY_PCT] / 100.0;
	if (b->tokens > TOKENS_MAX)
		b->tokens = TOKENS_MAX;
}

/*
 * Returns the chain budget of a call at this level: at the first level the
 * row's retries, below that what the level above passed on, and never more than
 * the row's retries.
 */
int
start_chain_budget(const struct row *row, int header)
{
	int own = row->values[COL_RETRIES];

	if (header == RETRY_BUDGET_ABSENT || header > own)
		return own;
	return header < 0 ? 0 : header;
}

/*
 * Returns what is left of the chain budget after an attempt that carried sent.
 * Serving nodes always answer with the header, so an answer without it is taken
 * as spent. When no answer came, nobody below can have judged the failure in an
 * answer, so this level does.
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
 * Decides on another attempt and takes a token when it allows one. When it does
 * not, the failure goes up with chain budget 0, whatever the reason.
 */
struct retry_decision
decide_retry(const struct retry_input *in, struct retry_budget *b,
    struct rng *r, int64_t now)
{
	struct retry_decision d = {.refusal = find_refusal(in, b)};
	int64_t least = get_least_delay(in);

	if (d.refusal == RETRY_ALLOWED &&
	    now + least + in->usual_ns >= in->deadline)
		d.refusal = RETRY_DEADLINE;
	if (d.refusal != RETRY_ALLOWED)
		return d;
	b->tokens -= 1;
	d.retry = true;
	d.delay_ns = draw_delay(in, r, least, now);
	d.chain_budget = in->chain_budget - 1;
	return d;
}

/*
 * Only the first level of a chain hedges: a slow leaf delays every level above
 * it, and each would send a second attempt.
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
	if (now + in->usual_ns >= in->deadline)
		return false;
	b->tokens -= HEDGE_TOKENS;
	return true;
}

/* Returns the name of a refusal for counters. */
const char *
get_retry_refusal_name(enum retry_refusal r)
{
	return refusal_names[r];
}

/* Finds the first rule that forbids a retry, but for the deadline. */
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
 * Returns the shortest delay. Retry-After speaks of the endpoint that sent it,
 * so it counts only when the retry must go there again.
 */
static int64_t
get_least_delay(const struct retry_input *in)
{
	return in->has_other_endpoint ? 0 : in->retry_after_ns;
}

/*
 * Draws the delay uniformly above the shortest one (full jitter), up to a bound
 * that doubles with each attempt and leaves time for the attempt itself.
 */
static int64_t
draw_delay(
    const struct retry_input *in, struct rng *r, int64_t least, int64_t now)
{
	int64_t room = in->deadline - now - least - in->usual_ns;
	int64_t most = JITTER_FIRST_NS;

	for (int i = 1; i < in->attempts && most < JITTER_MAX_NS; i++)
		most *= 2;
	if (most > JITTER_MAX_NS)
		most = JITTER_MAX_NS;
	if (most > room)
		most = room;
	return least + (int64_t)draw_below(r, (uint64_t)most);
}
