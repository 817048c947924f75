/*
 * Leases of tokens to nodes.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "allotment_ledger.h"

#define BUCKETS 4096 /* of each hash table */
/* Nodes that no longer ask are forgotten: their records have expired. */
#define FORGET_NS (60 * NSEC_PER_SEC)
#define SILENCE_CHECK_NS (50 * NSEC_PER_MSEC)
/*
 * A new ledger knows neither leases of the one before it nor the nodes that fall
 * back to their share, until they have asked or their leases are over.
 */
#define WARM_UP_NS (2 * LEDGER_LEASE_NS)
#define WARM_UP_BURST_S 0.25 /* what may gather meanwhile, of the rate */
/*
 * When nodes want more than there is, each gets this much times its share of
 * what is in the bucket, at least one token. Below 1 much would stay unused;
 * high values give it all to the node that asks first.
 */
#define SCARCE_SHARE 4.0
/* Nodes that are short of tokens ask again no sooner, to spare the ledger. */
#define ROOM_MIN_NS (100 * NSEC_PER_MSEC)
#define ROOM_MAX_NS (1000 * NSEC_PER_MSEC)
#define TOLERANCE_USED 0.5 /* share, see widen_limit() */
#define DEMAND_SCARCE 0.9 /* of the rate; above it tokens are shared out */

struct ledger_node {
	struct ledger_node *next; /* in its bucket */
	char name[LEDGER_NAME_BYTES];
	uint64_t run;
	uint64_t seq;
	uint64_t answered;
	int64_t asked_at;
	bool leaving;
};

/* Tokens of an account at a node. */
struct lease {
	struct lease *next; /* in its bucket */
	struct lease *newer, *older; /* in the account's list, by expires_at */
	struct ledger_node *node;
	struct account_state *account;
	uint64_t run;
	uint64_t granted_seq; /* ask that last_grant answered */
	double outstanding; /* granted, not known to be spent */
	double last_grant;
	double demand; /* calls a second */
	int64_t expires_at;
	bool listed;
};

struct account_state {
	struct account_state *next; /* in its bucket */
	char name[LEDGER_NAME_BYTES];
	struct ledger_limit limit;
	double tokens; /* that may be granted; below 0 after a lower limit */
	double outstanding; /* sum of the leases */
	double demand; /* sum of the leases */
	int64_t filled_at;
	struct lease *oldest, *newest;
};

struct ledger {
	int64_t opened_at;
	size_t fleet_nodes, fleet_suspects;
	size_t node_count, account_count;
	size_t heard, silent; /* as of checked_at */
	int64_t checked_at;
	struct ledger_node *nodes[BUCKETS];
	struct account_state *accounts[BUCKETS];
	struct lease *leases[BUCKETS];
};

static struct ledger_node *get_node(struct ledger *l, const char *name);
static struct account_state *get_account(struct ledger *l, const char *name,
    const struct ledger_limit *limit, int64_t now);
static struct lease *get_lease(
    struct ledger *l, struct ledger_node *n, struct account_state *a);
static void check_silence(struct ledger *l, int64_t now);
static double get_free_share(const struct ledger *l, int64_t now);
static void expire_leases(
    struct ledger *l, struct account_state *a, int64_t now);
static void free_lease(struct ledger *l, struct lease *s);
static void fill_bucket(
    const struct ledger *l, struct account_state *a, int64_t now);
static void cap_bucket(
    const struct ledger *l, struct account_state *a, int64_t now);
static void settle_lease(struct lease *s, const struct ledger_ask *ask);
static uint32_t choose_grant(
    const struct account_state *a, const struct ledger_ask *ask);
static int64_t estimate_room(const struct account_state *a);
static void unlist_lease(struct lease *s);
static void list_lease(struct lease *s, int64_t expires_at);
static size_t get_lease_bucket(
    const struct ledger_node *n, const struct account_state *a);

int
open_ledger(int64_t now, struct ledger **out)
{
	struct ledger *l = calloc(1, sizeof(*l));

	*out = l;
	if (l == NULL)
		return ERR_MEMORY;
	l->opened_at = now;
	l->checked_at = now;
	return 0;
}

void
close_ledger(struct ledger *l)
{
	if (l == NULL)
		return;
	for (size_t i = 0; i < BUCKETS; i++) {
		struct ledger_node *n = l->nodes[i], *next_node;
		struct account_state *a = l->accounts[i], *next_account;
		struct lease *s = l->leases[i], *next_lease;

		for (; n != NULL; n = next_node) {
			next_node = n->next;
			free(n);
		}
		for (; a != NULL; a = next_account) {
			next_account = a->next;
			free(a);
		}
		for (; s != NULL; s = next_lease) {
			next_lease = s->next;
			free(s);
		}
	}
	free(l);
}

void
set_ledger_fleet(struct ledger *l, size_t nodes, size_t suspects)
{
	l->fleet_nodes = nodes;
	l->fleet_suspects = suspects;
}

/*
 * An ask that another one of the same run has overtaken is refused: its node
 * ignores the answer.
 */
int
begin_ledger_ask(struct ledger *l, const char *node, uint64_t run, uint64_t seq,
    uint64_t answered, bool leaving, int64_t now, struct ledger_node **out)
{
	struct ledger_node *n;

	if (node[0] == '\0' || strlen(node) >= LEDGER_NAME_BYTES)
		return ERR_LIMIT;
	n = get_node(l, node);
	if (n == NULL)
		return l->node_count >= LEDGER_NODES_MAX ? ERR_LIMIT :
							   ERR_MEMORY;
	if (n->run == run && seq <= n->seq)
		return ERR_STALE;
	/* A clock that was set back gives a new run a lower number. */
	if (n->run > run && now - n->asked_at < LEDGER_LEASE_NS)
		return ERR_STALE;
	n->run = run;
	n->seq = seq;
	n->answered = answered;
	n->leaving = leaving;
	n->asked_at = now;
	check_silence(l, now);
	*out = n;
	return 0;
}

/*
 * Settles what the node spent and gave back, then grants what is there. The
 * whole of what the node holds is leased anew.
 */
int
lease_tokens(struct ledger *l, struct ledger_node *n, const char *account,
    const struct ledger_limit *limit, const struct ledger_ask *ask, int64_t now,
    struct ledger_grant *out)
{
	struct account_state *a;
	struct lease *s;

	*out = (struct ledger_grant){0, 0};
	if (limit->rate <= 0) {
		out->tokens = ask->want;
		return 0;
	}
	if (account[0] == '\0' || strlen(account) >= LEDGER_NAME_BYTES)
		return ERR_LIMIT;
	a = get_account(l, account, limit, now);
	if (a == NULL)
		return ERR_MEMORY;
	expire_leases(l, a, now);
	fill_bucket(l, a, now);
	s = get_lease(l, n, a);
	if (s == NULL)
		return ERR_MEMORY;
	a->limit = *limit;
	settle_lease(s, ask);
	cap_bucket(l, a, now);
	out->tokens = choose_grant(a, ask);
	if (out->tokens < ask->want)
		out->room_ns = estimate_room(a);
	s->last_grant = out->tokens;
	s->granted_seq = n->seq;
	s->outstanding += s->last_grant;
	a->outstanding += s->last_grant;
	a->tokens -= s->last_grant;
	list_lease(s, now + LEDGER_LEASE_NS);
	return 0;
}

/*
 * Half of what is tolerated widens the limit: the overshoot both rate and burst,
 * the slack in halves. The other half is left for two ledgers that overlap and
 * for nodes that fall back to their share.
 */
struct ledger_limit
widen_limit(const struct ledger_limit *limit, const struct ledger_tolerance *t)
{
	double window = (double)t->window_ns / (double)NSEC_PER_SEC;
	struct ledger_limit w = *limit;

	if (limit->rate <= 0)
		return w;
	w.rate *= 1 + TOLERANCE_USED * t->overshoot;
	w.burst *= 1 + TOLERANCE_USED * t->overshoot;
	w.burst += TOLERANCE_USED * t->slack / 2;
	if (window > 0)
		w.rate += TOLERANCE_USED * t->slack / 2 / window;
	return w;
}

size_t
get_ledger_nodes(const struct ledger *l)
{
	return l->fleet_nodes > l->heard ? l->fleet_nodes : l->heard;
}

size_t
count_silent_nodes(const struct ledger *l)
{
	return l->silent;
}

static struct ledger_node *
get_node(struct ledger *l, const char *name)
{
	size_t i = hash_str(make_str(name), 0) % BUCKETS;
	struct ledger_node *n = l->nodes[i];

	while (n != NULL && strcmp(n->name, name) != 0)
		n = n->next;
	if (n != NULL || l->node_count >= LEDGER_NODES_MAX)
		return n;
	n = calloc(1, sizeof(*n));
	if (n == NULL)
		return NULL;
	(void)copy_str(n->name, sizeof(n->name), make_str(name));
	n->next = l->nodes[i];
	l->nodes[i] = n;
	l->node_count++;
	return n;
}

/*
 * A new account has what accrued since the ledger was opened: an earlier one may
 * have granted its burst by then.
 */
static struct account_state *
get_account(struct ledger *l, const char *name,
    const struct ledger_limit *limit, int64_t now)
{
	size_t i = hash_str(make_str(name), 0) % BUCKETS;
	struct account_state *a = l->accounts[i];

	while (a != NULL && strcmp(a->name, name) != 0)
		a = a->next;
	if (a != NULL || l->account_count >= LEDGER_ACCOUNTS_MAX)
		return a;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	(void)copy_str(a->name, sizeof(a->name), make_str(name));
	a->limit = *limit;
	a->filled_at = l->opened_at;
	if (now - a->filled_at > FORGET_NS)
		a->filled_at = now - FORGET_NS;
	a->next = l->accounts[i];
	l->accounts[i] = a;
	l->account_count++;
	return a;
}

static struct lease *
get_lease(struct ledger *l, struct ledger_node *n, struct account_state *a)
{
	size_t i = get_lease_bucket(n, a);
	struct lease *s = l->leases[i];

	while (s != NULL && (s->node != n || s->account != a))
		s = s->next;
	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->node = n;
	s->account = a;
	s->next = l->leases[i];
	l->leases[i] = s;
	return s;
}

/*
 * Counts the nodes whose leases have run out without a word: they fall back to
 * their own share of every rate.
 */
static void
check_silence(struct ledger *l, int64_t now)
{
	if (now - l->checked_at < SILENCE_CHECK_NS && l->heard > 0)
		return;
	l->checked_at = now;
	l->heard = 0;
	l->silent = 0;
	for (size_t i = 0; i < BUCKETS; i++) {
		for (struct ledger_node *n = l->nodes[i]; n != NULL;
		     n = n->next) {
			int64_t age = now - n->asked_at;

			if (n->leaving || age > FORGET_NS)
				continue;
			l->heard++;
			l->silent += age > LEDGER_LEASE_NS;
		}
	}
}

/*
 * Share of each rate that is not left to nodes out of contact.
 */
static double
get_free_share(const struct ledger *l, int64_t now)
{
	double nodes = (double)get_ledger_nodes(l);
	double silent = (double)l->silent;

	if (nodes < 1)
		return 1;
	if (now - l->opened_at < WARM_UP_NS)
		silent = nodes - (double)(l->heard - l->silent);
	else if (silent < (double)l->fleet_suspects)
		silent = (double)l->fleet_suspects;
	return silent < nodes ? (nodes - silent) / nodes : 0;
}

/*
 * What is left of a lease that ran out may have been spent.
 */
static void
expire_leases(struct ledger *l, struct account_state *a, int64_t now)
{
	struct lease *s, *next;

	for (s = a->oldest; s != NULL && s->expires_at <= now; s = next) {
		next = s->newer;
		a->outstanding -= s->outstanding;
		a->demand -= s->demand;
		unlist_lease(s);
		free_lease(l, s);
	}
	if (a->oldest == NULL) {
		/* Ends the rounding errors of the sums. */
		a->outstanding = 0;
		a->demand = 0;
	}
}

static void
free_lease(struct ledger *l, struct lease *s)
{
	struct lease **at = &l->leases[get_lease_bucket(s->node, s->account)];

	while (*at != s)
		at = &(*at)->next;
	*at = s->next;
	free(s);
}

static void
fill_bucket(const struct ledger *l, struct account_state *a, int64_t now)
{
	double passed = (double)(now - a->filled_at) / (double)NSEC_PER_SEC;

	if (passed <= 0)
		return;
	a->filled_at = now;
	a->tokens += a->limit.rate * passed * get_free_share(l, now);
	cap_bucket(l, a, now);
}

/*
 * Leased tokens count towards the burst, as they may all be spent at once. Nodes
 * out of contact gather their part of it by themselves.
 */
static void
cap_bucket(const struct ledger *l, struct account_state *a, int64_t now)
{
	double cap = a->limit.burst * get_free_share(l, now);
	double first = a->limit.rate * WARM_UP_BURST_S;

	if (now - l->opened_at < WARM_UP_NS && cap > first)
		cap = first;
	if (cap < 1)
		cap = 1;
	if (a->tokens > cap - a->outstanding)
		a->tokens = cap - a->outstanding;
}

/*
 * A grant whose answer the node did not get, and never will use, goes back to
 * the bucket. Of what it returns only tokens that it was granted count.
 */
static void
settle_lease(struct lease *s, const struct ledger_ask *ask)
{
	struct account_state *a = s->account;
	const struct ledger_node *n = s->node;
	double back = 0, left = s->outstanding;

	if (s->run == n->run && s->granted_seq > n->answered) {
		back = s->last_grant < left ? s->last_grant : left;
		left -= back;
	}
	s->run = n->run;
	if (left > ask->held)
		back += ask->returned < left - ask->held ? ask->returned :
							   left - ask->held;
	a->tokens += back;
	a->outstanding += ask->held - s->outstanding;
	a->demand += ask->demand - s->demand;
	s->outstanding = ask->held;
	s->demand = ask->demand;
	s->last_grant = 0;
}

/*
 * While nodes want no more than the rate, each gets what it asks. Beyond that
 * each gets of the bucket by its share of the demand.
 */
static uint32_t
choose_grant(const struct account_state *a, const struct ledger_ask *ask)
{
	double grant = a->tokens, share;

	if (grant < 1 || ask->want == 0)
		return 0;
	if (a->demand > a->limit.rate * DEMAND_SCARCE && ask->want > 1) {
		share = SCARCE_SHARE * ask->demand / a->demand;
		if (share < 1)
			grant *= share;
		if (grant < 1)
			grant = 1;
	}
	return grant < ask->want ? (uint32_t)grant : ask->want;
}

/*
 * Time until the bucket has a token for each node that wants one by then.
 */
static int64_t
estimate_room(const struct account_state *a)
{
	double missing = a->tokens < 1 ? 1 - a->tokens : 0;
	int64_t ns =
	    (int64_t)fmin(missing / a->limit.rate * (double)NSEC_PER_SEC,
		(double)ROOM_MAX_NS);

	return ns > ROOM_MIN_NS ? ns : ROOM_MIN_NS;
}

static void
unlist_lease(struct lease *s)
{
	struct account_state *a = s->account;

	if (!s->listed)
		return;
	if (s->older != NULL)
		s->older->newer = s->newer;
	else
		a->oldest = s->newer;
	if (s->newer != NULL)
		s->newer->older = s->older;
	else
		a->newest = s->older;
	s->older = NULL;
	s->newer = NULL;
	s->listed = false;
}

/*
 * Moves the lease to the end of the account's list, which expires last.
 */
static void
list_lease(struct lease *s, int64_t expires_at)
{
	struct account_state *a = s->account;

	unlist_lease(s);
	s->expires_at = expires_at;
	s->older = a->newest;
	if (a->newest != NULL)
		a->newest->newer = s;
	else
		a->oldest = s;
	a->newest = s;
	s->listed = true;
}

static size_t
get_lease_bucket(const struct ledger_node *n, const struct account_state *a)
{
	return hash_str(make_str(n->name), hash_str(make_str(a->name), 1)) %
	       BUCKETS;
}
