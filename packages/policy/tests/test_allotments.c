/*
 * Wallets of many nodes against one ledger, without a network: no window may
 * hold more sent calls than the limit allows, and little may be refused below
 * the limit, while accounts flood, limits change, nodes freeze or are cut off
 * and the ledger is lost.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "allotment_wallet.h"

#define MS NSEC_PER_MSEC
#define START (1000 * NSEC_PER_SEC)
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SEEDS 5
#define NODES_MAX 100
#define DAY_MS 30000
#define WINDOW_MS 5000 /* the users' rule on allotments counts in any 5 s */
#define STEP_MS 5
#define TRIP_MS 5 /* an ask, and its answer as long */
#define LOST_MS 400 /* then an ask without an answer has failed */
#define WAIT_MS 60 /* a call waits no longer for an answer */
#define OVERSHOOT 0.1
#define SLACK 20

enum harm {
	HARM_NONE,
	HARM_CUT,
	HARM_FREEZE,
	HARM_LEADER,
	HARM_ANSWERS
};

/* One account on all nodes. */
struct history {
	const char *name;
	int nodes;
	double rate, burst; /* of the limit */
	double asked; /* calls a second of all nodes together */
	double flood; /* factor, from 10 s to 17 s */
	double limit_then, limit_last; /* rate from 12 s and 20 s; 0: same */
	enum harm harm; /* from 8 s to 14 s */
	int harmed; /* nodes */
	double use_min; /* share of what is within the limit that is served */
};

static const struct history histories[] = {
    {"usual load", 82, 160, 160, 100, 1, 0, 0, HARM_NONE, 0, 0.99},
    {"large account floods", 82, 860, 860, 540, 8, 0, 0, HARM_NONE, 0, 0.93},
    {"small account floods", 82, 4, 4, 2.5, 12, 0, 0, HARM_NONE, 0, 0.85},
    {"every call at another node", 82, 35, 35, 20, 1, 0, 0, HARM_NONE, 0, 0.99},
    {"tiny account", 82, 2, 2, 1, 1, 0, 0, HARM_NONE, 0, 0.95},
    {"limit far below the load, then up", 82, 160, 160, 100, 1, 10, 160,
	HARM_NONE, 0, 0.9},
    {"limit down during a flood", 82, 300, 300, 180, 6, 60, 300, HARM_NONE, 0,
	0.9},
    {"leader lost during a flood", 82, 300, 300, 180, 10, 0, 0, HARM_LEADER, 0,
	0.7},
    {"some nodes cut off", 82, 300, 300, 180, 6, 0, 0, HARM_CUT, 20, 0.75},
    {"most nodes cut off", 82, 300, 300, 180, 6, 0, 0, HARM_CUT, 70, 0.7},
    {"nodes frozen", 82, 300, 300, 180, 6, 0, 0, HARM_FREEZE, 40, 0.75},
    {"answers lost", 30, 300, 300, 180, 6, 0, 0, HARM_ANSWERS, 10, 0.8},
};

struct model_node {
	char name[16];
	struct wallet wallet;
	struct wallet_ledger known;
	uint64_t seq, answered;
	bool asking, arrived, replied, dropped;
	int64_t asked_at;
	struct ledger_ask ask;
	struct ledger_grant grant;
	int waiting;
	int64_t wait_until; /* of the first of them */
};

struct model {
	const struct history *h;
	struct ledger *ledger;
	struct model_node nodes[NODES_MAX];
	struct rng rng;
	struct ledger_limit limit;
	int sent[DAY_MS / STEP_MS];
	int asked[DAY_MS / STEP_MS];
	long asks;
};

static bool
is_harmed(const struct model *m, int i, int64_t ms)
{
	return ms >= 8000 && ms < 14000 && i < m->h->harmed;
}

static void
settle_waiting(struct model *m, struct model_node *n, int64_t now, int step)
{
	int64_t retry;

	while (n->waiting > 0) {
		enum wallet_draw d =
		    draw_wallet(&n->wallet, &n->known, now, false, &retry);

		if (d == WALLET_ASK && now < n->wait_until)
			return;
		m->sent[step] += d == WALLET_GRANTED;
		n->waiting--;
		n->wallet.waiting--;
	}
}

static void
add_call(struct model *m, struct model_node *n, int64_t now, int step)
{
	int64_t retry = 0;
	enum wallet_draw d;

	m->asked[step]++;
	count_wallet_call(&n->wallet, now);
	d = draw_wallet(&n->wallet, &n->known, now, false, &retry);
	if (d == WALLET_REFUSED)
		ck_assert_int_gt(retry, 0);
	m->sent[step] += d == WALLET_GRANTED;
	if (d != WALLET_ASK)
		return;
	if (n->waiting++ == 0)
		n->wait_until = now + WAIT_MS * MS;
	n->wallet.waiting++;
}

static void
run_ask(struct model *m, struct model_node *n, int64_t now, bool cut, int step)
{
	if (n->asking && !n->arrived && !cut && m->ledger != NULL &&
	    now - n->asked_at >= TRIP_MS * MS) {
		struct ledger_limit limit = widen_limit(
		    &m->limit, &(struct ledger_tolerance){
				   WINDOW_MS * MS, OVERSHOOT, SLACK});
		struct ledger_node *ln;

		n->arrived = true;
		ck_assert_int_eq(begin_ledger_ask(m->ledger, n->name, 1, n->seq,
				     n->answered, false, now, &ln),
		    0);
		ck_assert_int_eq(lease_tokens(m->ledger, ln, "account", &limit,
				     &n->ask, now, &n->grant),
		    0);
		n->replied = !n->dropped;
	}
	if (n->asking && n->replied && !cut &&
	    now - n->asked_at >= 2 * TRIP_MS * MS) {
		n->asking = false;
		n->answered = n->seq;
		n->known.lost = false;
		n->known.member = true;
		n->known.nodes = (size_t)m->h->nodes;
		n->known.leased_until = n->asked_at + LEDGER_LEASE_NS;
		apply_wallet_grant(&n->wallet, &n->grant, n->asked_at, now);
		settle_waiting(m, n, now, step);
	} else if (n->asking && now - n->asked_at >= LOST_MS * MS) {
		n->asking = false;
		n->known.lost = true;
	}
	if (!n->asking &&
	    now >= get_wallet_ask_time(&n->wallet, n->asked_at, now)) {
		m->asks++;
		n->seq++;
		n->asking = true;
		n->arrived = false;
		n->replied = false;
		n->dropped =
		    m->h->harm == HARM_ANSWERS && draw_below(&m->rng, 3) == 0;
		(void)fill_wallet_ask(&n->wallet, now, &n->ask);
		n->asked_at = now;
	}
	if (n->waiting > 0 && now >= n->wait_until)
		settle_waiting(m, n, now, step);
}

static void
run_step(struct model *m, int step)
{
	const struct history *h = m->h;
	int64_t ms = (int64_t)step * STEP_MS, now = START + ms * MS;
	bool flood = ms >= 10000 && ms < 17000;
	double rate = h->asked * (flood ? h->flood : 1) * STEP_MS / 1000;

	m->limit.rate =
	    h->limit_then > 0 && ms >= 12000 ? h->limit_then : h->rate;
	if (h->limit_last > 0 && ms >= 20000)
		m->limit.rate = h->limit_last;
	m->limit.burst = m->limit.rate / h->rate * h->burst;
	if (h->harm == HARM_LEADER && ms == 12000) {
		close_ledger(m->ledger);
		m->ledger = NULL;
	}
	if (m->ledger == NULL && ms == 13000)
		ck_assert_int_eq(open_ledger(now, &m->ledger), 0);
	if (m->ledger != NULL)
		set_ledger_fleet(m->ledger, (size_t)h->nodes, 0);
	for (; rate > 0; rate -= 1) {
		int i = (int)draw_below(&m->rng, (uint64_t)h->nodes);

		if (draw_unit(&m->rng) >= rate)
			break;
		if (h->harm != HARM_FREEZE || !is_harmed(m, i, ms))
			add_call(m, &m->nodes[i], now, step);
	}
	for (int i = 0; i < h->nodes; i++) {
		struct model_node *n = &m->nodes[i];

		set_wallet_limit(&n->wallet, &m->limit);
		if (h->harm != HARM_FREEZE || !is_harmed(m, i, ms))
			run_ask(m, n, now,
			    h->harm == HARM_CUT && is_harmed(m, i, ms), step);
	}
}

/*
 * The users' rule; a lower limit binds one window after it is in force.
 */
static void
check_windows(const struct model *m)
{
	int steps = WINDOW_MS / STEP_MS, sum = 0;

	for (int i = 0; i < DAY_MS / STEP_MS; i++) {
		const struct history *h = m->h;
		int64_t ms = (int64_t)(i + 1) * STEP_MS;
		double rate = h->rate;
		double bound;

		sum += m->sent[i] - (i >= steps ? m->sent[i - steps] : 0);
		if (h->limit_then > 0 && ms >= 12000 + WINDOW_MS)
			rate = h->limit_then;
		if (h->limit_last > 0 && ms >= 20000)
			rate = rate > h->limit_last ? rate : h->limit_last;
		bound = rate * WINDOW_MS / 1000 + rate / h->rate * h->burst;
		ck_assert_msg(sum <= bound * (1 + OVERSHOOT) + SLACK,
		    "%s: %d sent in the window to %lld ms, limit %.0f", h->name,
		    sum, (long long)ms, bound);
	}
}

/*
 * Share of what a token bucket of the limit would have let through.
 */
static double
get_use(const struct model *m)
{
	const struct history *h = m->h;
	double tokens = h->burst, owed = 0;
	int sent = 0;

	for (int i = 0; i < DAY_MS / STEP_MS; i++) {
		int64_t ms = (int64_t)i * STEP_MS;
		double rate = h->rate, burst, part;

		if (h->limit_then > 0 && ms >= 12000)
			rate = h->limit_then;
		if (h->limit_last > 0 && ms >= 20000)
			rate = h->limit_last;
		burst = rate / h->rate * h->burst;
		tokens += rate * STEP_MS / 1000;
		tokens = tokens < burst ? tokens : burst;
		part = m->asked[i] < tokens ? m->asked[i] : tokens;
		tokens -= part;
		owed += part;
		sent += m->sent[i];
	}
	return sent / owed;
}

START_TEST(histories_keep_the_limit)
{
	const struct history *h = &histories[(size_t)_i % COUNT(histories)];
	struct model *m = calloc(1, sizeof(*m));
	double use;

	ck_assert_ptr_nonnull(m);
	m->h = h;
	seed_rng(&m->rng, (uint64_t)_i / COUNT(histories));
	ck_assert_int_eq(open_ledger(START - 10 * NSEC_PER_SEC, &m->ledger), 0);
	for (int i = 0; i < h->nodes; i++)
		snprintf(m->nodes[i].name, sizeof(m->nodes[i].name), "n%d", i);
	for (int i = 0; i < DAY_MS / STEP_MS; i++)
		run_step(m, i);
	use = get_use(m);
	printf("%s: use %.3f, asks %.0f/s\n", h->name, use,
	    (double)m->asks * 1000 / DAY_MS);
	check_windows(m);
	ck_assert_msg(
	    use >= h->use_min, "%s: %.3f of the limit is used", h->name, use);
	close_ledger(m->ledger);
	free(m);
}
END_TEST

START_TEST(frozen_node_spends_no_old_lease)
{
	struct wallet w = {0};
	struct wallet_ledger l = {.nodes = 82, .member = true};
	struct ledger_grant g = {50, 0};
	int64_t retry;

	set_wallet_limit(&w, &(struct ledger_limit){100, 100});
	w.asked = 50;
	apply_wallet_grant(&w, &g, START, START + 5 * MS);
	ck_assert_int_eq(draw_wallet(&w, &l, START + 1199 * MS, false, &retry),
	    WALLET_GRANTED);
	ck_assert_int_eq(
	    draw_wallet(&w, &l, START + 1200 * MS, false, &retry), WALLET_ASK);
	/* The answer to an ask from before a suspension brings nothing. */
	apply_wallet_grant(&w, &g, START, START + 9000 * MS);
	ck_assert_int_eq(
	    draw_wallet(&w, &l, START + 9000 * MS, false, &retry), WALLET_ASK);
}
END_TEST

START_TEST(lower_limit_cuts_wallet)
{
	struct wallet w = {0};
	struct ledger_grant g = {50, 0};

	set_wallet_limit(&w, &(struct ledger_limit){100, 100});
	w.asked = 50;
	apply_wallet_grant(&w, &g, START, START + 5 * MS);
	set_wallet_limit(&w, &(struct ledger_limit){10, 10});
	ck_assert_uint_eq(w.tokens, 5);
	set_wallet_limit(&w, &(struct ledger_limit){0, 0});
	ck_assert_int_eq(draw_wallet(&w, &(struct wallet_ledger){.lost = true},
			     START, false, &(int64_t){0}),
	    WALLET_GRANTED);
}
END_TEST

START_TEST(ledger_takes_back_lost_grant_once)
{
	struct ledger_limit limit = {10, 10};
	struct ledger_ask ask = {.want = 10, .demand = 1};
	struct ledger_grant g;
	struct ledger_node *n;
	struct ledger *l;
	int64_t now = START;

	ck_assert_int_eq(open_ledger(now - 10 * NSEC_PER_SEC, &l), 0);
	ck_assert_int_eq(begin_ledger_ask(l, "a", 1, 1, 0, false, now, &n), 0);
	ck_assert_int_eq(lease_tokens(l, n, "x", &limit, &ask, now, &g), 0);
	ck_assert_uint_eq(g.tokens, 10);
	/* The same ask again is overtaken. */
	ck_assert_int_eq(
	    begin_ledger_ask(l, "a", 1, 1, 0, false, now, &n), ERR_STALE);
	ck_assert_int_eq(begin_ledger_ask(l, "a", 1, 2, 0, false, now, &n), 0);
	ck_assert_int_eq(lease_tokens(l, n, "x", &limit, &ask, now, &g), 0);
	ck_assert_uint_eq(g.tokens, 10);
	/* That answer arrived: its tokens are spent, or returned as told. */
	ask.returned = 40;
	ck_assert_int_eq(begin_ledger_ask(l, "a", 1, 3, 2, false, now, &n), 0);
	ck_assert_int_eq(lease_tokens(l, n, "x", &limit, &ask, now, &g), 0);
	ck_assert_uint_eq(g.tokens, 10);
	ask.returned = 0;
	ck_assert_int_eq(begin_ledger_ask(l, "a", 1, 4, 3, false, now, &n), 0);
	ck_assert_int_eq(lease_tokens(l, n, "x", &limit, &ask, now, &g), 0);
	ck_assert_uint_eq(g.tokens, 0);
	ck_assert_int_gt(g.room_ns, 0);
	close_ledger(l);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("allotments");
	TCase *t = tcase_create("allotments");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, histories_keep_the_limit, 0, SEEDS * COUNT(histories));
	tcase_add_test(t, frozen_node_spends_no_old_lease);
	tcase_add_test(t, lower_limit_cuts_wallet);
	tcase_add_test(t, ledger_takes_back_lost_grant_once);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
