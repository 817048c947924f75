/*
 * Wallets of a node.
 */
#include <math.h>

#include "allotment_wallet.h"

#define COUNT_NS NSEC_PER_SEC /* time constant of demand and supply */
/*
 * Held for the calls until the next answer, beyond their expected number: calls
 * arrive unevenly.
 */
#define AHEAD_FACTOR 1.25
#define AHEAD_NS (WALLET_ASK_NS + 100 * NSEC_PER_MSEC)
/* A single call is no sign of more: less is not asked for ahead. */
#define AHEAD_MIN_PER_S 1.0
#define RETURN_FACTOR 2.0 /* of what is needed; more is returned */
#define RETRY_MIN_NS (50 * NSEC_PER_MSEC)
#define RETRY_MAX_NS (2 * NSEC_PER_SEC)
#define RETRY_LOST_NS \
	(400 * NSEC_PER_MSEC) /* an election takes about as long */
/* Of calls in time; above it late calls are refused. */
#define LATE_REFUSED_PER_S 0.25
#define ROUNDING_TOKENS 1e-6

static void decay_counts(struct wallet *w, int64_t now);
static void expire_tokens(struct wallet *w, int64_t now);
static bool spend_share(
    struct wallet *w, const struct wallet_ledger *l, int64_t now);
static int64_t get_retry_after(
    const struct wallet *w, const struct wallet_ledger *l, int64_t now);
static double get_ahead(const struct wallet *w);

/*
 * After a lower limit the wallet keeps its part of the tokens: the sum over all
 * nodes is then no more than the lower burst.
 */
void
set_wallet_limit(struct wallet *w, const struct ledger_limit *limit)
{
	double old = w->limit.rate + w->limit.burst;
	double fresh = limit->rate + limit->burst;

	if (old > fresh && limit->rate > 0) {
		w->tokens = (uint32_t)(w->tokens * fresh / old);
		w->share *= fresh / old;
	}
	if (limit->rate != w->limit.rate || limit->burst != w->limit.burst)
		w->room_at = 0;
	w->limit = *limit;
}

void
count_wallet_call(struct wallet *w, int64_t now)
{
	decay_counts(w, now);
	w->demand += (double)NSEC_PER_SEC / (double)COUNT_NS;
	w->used_at = now;
}

/*
 * Without tokens a call waits for the ledger, unless that has just said that
 * there are none. While calls in time are refused, late ones get no token: their
 * answers are worth less, and callers that come back after a refusal are late. Without the ledger the node has its own part of the rate, from
 * the end of its lease on, which the ledger leaves to it from then.
 */
enum wallet_draw
draw_wallet(struct wallet *w, const struct wallet_ledger *l, int64_t now,
    bool late, int64_t *retry_after)
{
	if (w->limit.rate <= 0)
		return WALLET_GRANTED;
	decay_counts(w, now);
	expire_tokens(w, now);
	if (late && w->refused > LATE_REFUSED_PER_S) {
		*retry_after = get_retry_after(w, l, now);
		return WALLET_REFUSED;
	}
	if (w->tokens > 0) {
		w->tokens--;
		return WALLET_GRANTED;
	}
	if (!l->lost && now >= w->room_at)
		return WALLET_ASK;
	if (l->lost && spend_share(w, l, now))
		return WALLET_GRANTED;
	if (!late)
		w->refused += (double)NSEC_PER_SEC / (double)COUNT_NS;
	*retry_after = get_retry_after(w, l, now);
	return WALLET_REFUSED;
}

/*
 * A token of a lease that has run out since is not used again: expire_tokens()
 * comes before the next draw.
 */
void
return_wallet_token(struct wallet *w)
{
	if (w->limit.rate > 0)
		w->tokens++;
}

bool
fill_wallet_ask(struct wallet *w, int64_t now, struct ledger_ask *out)
{
	double ahead;

	w->asked = 0;
	*out = (struct ledger_ask){0};
	if (w->limit.rate <= 0)
		return false;
	decay_counts(w, now);
	expire_tokens(w, now);
	ahead = is_wallet_idle(w, now) ? 0 : get_ahead(w);
	if (w->tokens > RETURN_FACTOR * ahead + 1 ||
	    (w->tokens > 0 && is_wallet_idle(w, now))) {
		out->returned = w->tokens - (uint32_t)ahead;
		w->tokens -= out->returned;
	}
	out->held = w->tokens;
	out->demand = w->demand;
	ahead += w->waiting;
	if (ahead > w->tokens && now >= w->room_at)
		out->want = (uint32_t)ahead - w->tokens;
	w->asked = out->want;
	return out->want > 0 || out->held > 0 || out->returned > 0;
}

/*
 * The lease runs from the sending of the ask, so that it ends before the ledger
 * takes it as ended. All tokens that the wallet holds are leased anew with it.
 */
void
apply_wallet_grant(struct wallet *w, const struct ledger_grant *g,
    int64_t sent_at, int64_t now)
{
	expire_tokens(w, now);
	w->share = 0;
	decay_counts(w, now);
	w->supply += g->tokens * (double)NSEC_PER_SEC / (double)COUNT_NS;
	w->room_at = g->tokens < w->asked ? now + g->room_ns : 0;
	w->asked = 0;
	if (sent_at + LEDGER_LEASE_NS <= now)
		return;
	w->tokens += g->tokens;
	w->expires_at = sent_at + LEDGER_LEASE_NS;
}

bool
is_wallet_idle(const struct wallet *w, int64_t now)
{
	return w->waiting == 0 && now - w->used_at > WALLET_IDLE_NS;
}

int64_t
get_wallet_ask_time(const struct wallet *w, int64_t asked_at, int64_t now)
{
	int64_t at = asked_at + WALLET_ASK_NS;

	if (w->limit.rate <= 0)
		return INT64_MAX;
	if (w->waiting > 0)
		return now;
	/* Short of tokens: as soon as there is room, or half are spent. */
	if (w->tokens < get_ahead(w) / 2 && w->room_at < at)
		at = w->room_at > now ? w->room_at : now;
	return at;
}

static void
decay_counts(struct wallet *w, int64_t now)
{
	double keep = exp((double)(w->counted_at - now) / (double)COUNT_NS);

	if (now <= w->counted_at)
		return;
	w->counted_at = now;
	w->demand *= keep;
	w->refused *= keep;
	w->supply *= keep;
}

static void
expire_tokens(struct wallet *w, int64_t now)
{
	if (now >= w->expires_at)
		w->tokens = 0;
}

/*
 * The node's part of the rate fills from the end of its lease.
 */
static bool
spend_share(struct wallet *w, const struct wallet_ledger *l, int64_t now)
{
	double nodes = (double)l->nodes, cap;

	if (!l->member || l->nodes == 0 || now < l->leased_until)
		return false;
	cap = w->limit.burst > nodes ? w->limit.burst / nodes : 1;
	if (w->share_at < l->leased_until) {
		w->share_at = l->leased_until;
		w->share = 0;
	}
	w->share += w->limit.rate / nodes * (double)(now - w->share_at) /
		    (double)NSEC_PER_SEC;
	w->share_at = now;
	if (w->share > cap)
		w->share = cap;
	if (w->share < 1 - ROUNDING_TOKENS)
		return false;
	w->share -= 1;
	return true;
}

/*
 * Those that were refused before come back too: the time grows by what they take
 * of the node's supply.
 */
static int64_t
get_retry_after(
    const struct wallet *w, const struct wallet_ledger *l, int64_t now)
{
	double supply = w->limit.rate / (double)(l->nodes > 0 ? l->nodes : 1);
	int64_t ns;

	if (supply < w->supply)
		supply = w->supply;
	ns = (int64_t)fmin(
	    w->refused / supply * (double)NSEC_PER_SEC, (double)RETRY_MAX_NS);
	if (w->room_at > now)
		ns += w->room_at - now;
	if (l->lost && ns < RETRY_LOST_NS)
		return RETRY_LOST_NS;
	if (ns < RETRY_MIN_NS)
		return RETRY_MIN_NS;
	return ns < RETRY_MAX_NS ? ns : RETRY_MAX_NS;
}

/*
 * Tokens for the calls until the next answer.
 */
static double
get_ahead(const struct wallet *w)
{
	double demand = w->demand - AHEAD_MIN_PER_S;

	if (demand <= 0)
		return 0;
	return floor(
	    demand * AHEAD_FACTOR * (double)AHEAD_NS / (double)NSEC_PER_SEC);
}
