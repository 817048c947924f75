/*
 * Allotments of accounts at an entry node: a call of an account with a rate
 * needs a token for each backend server that it is sent to. The wallets decide;
 * here are the calls that wait, and the asks to the ledger.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define ASK_TIMEOUT_MS 400
#define ASK_AGAIN_NS (100 * NSEC_PER_MSEC) /* after an ask without an answer */
#define ASK_GAP_NS (5 * NSEC_PER_MSEC) /* between two asks; gathers calls */
/*
 * An answer takes a few ms, up to 80 ms where a VM has used up its share of the
 * processor. A call refused later than this has lost much.
 */
#define WAIT_NS (150 * NSEC_PER_MSEC)
#define RETRY_AFTER_NS (200 * NSEC_PER_MSEC) /* without an answer in time */

/* The wallet of an account. */
struct node_wallet {
	struct node_wallet *next;
	char account[TABLE_NAME_BYTES];
	struct wallet wallet;
};

static struct node_wallet *get_wallet(struct node *n, const char *account);
static struct ledger_limit find_limit(
    const struct node *n, const char *account);
static void wait_for_token(struct request *q, struct node_wallet *w);
static void leave_queue(struct request *q);
static void serve_waiting(struct node *n, bool answered);
static bool is_late(const struct request *q);
static void refuse_call(struct request *q, int64_t retry_after);
static void end_wait(struct timer *t);
static void schedule_ask(struct node *n);
static void set_ask_timer(struct node *n, int64_t at, int64_t now);
static void run_ask(struct timer *t);
static void send_ask(struct node *n, int64_t now);
static bool is_active(const struct node *n, int64_t now);
static void take_answer(
    void *arg, int status, const struct wire_allotment_reply *reply);
static void apply_answer(struct task *t);
static int64_t get_boot_time(const struct node *n);

void
open_allotments(struct node *n)
{
	struct node_allotments *s = &n->allotments;

	pthread_mutex_init(&s->lock, NULL);
	s->waiting_tail = &s->waiting;
	s->run = (uint64_t)read_wall(&n->cfg.clock);
}

/*
 * The thread of the node has ended, or never started.
 */
void
close_allotments(struct node *n)
{
	struct node_allotments *s = &n->allotments;
	struct node_wallet *w;

	cancel_allotment(n->cfg.agent);
	cancel_timer(n->reactor, &s->ask_timer);
	cancel_timer(n->reactor, &s->wait_timer);
	while ((w = s->wallets) != NULL) {
		s->wallets = w->next;
		free(w);
	}
	pthread_mutex_destroy(&s->lock);
}

/*
 * Takes over the limits of a new table.
 */
void
refresh_allotments(struct node *n)
{
	for (struct node_wallet *w = n->allotments.wallets; w != NULL;
	     w = w->next) {
		struct ledger_limit limit = find_limit(n, w->account);

		set_wallet_limit(&w->wallet, &limit);
	}
}

/*
 * Decides on a new call, before its first attempt. Returns false if the call
 * waits for a token, and then starts later, or if it was refused.
 */
bool
admit_by_allotment(struct request *q)
{
	struct node *n = q->node;
	struct node_wallet *w;
	int64_t retry_after = 0, now;

	if (q->policy.account[0] == '\0' ||
	    find_limit(n, q->policy.account).rate <= 0)
		return true;
	w = get_wallet(n, q->policy.account);
	if (w == NULL) {
		write_log(LOG_LEVEL_ERR, "out of memory for an account");
		refuse_request(q, 503, REFUSE_OVERLOAD, 0);
		return false;
	}
	now = get_boot_time(n);
	count_wallet_call(&w->wallet, now);
	switch (draw_wallet(
	    &w->wallet, &n->allotments.known, now, is_late(q), &retry_after)) {
	case WALLET_GRANTED:
		q->wallet = w;
		set_ask_timer(n,
		    get_wallet_ask_time(
			&w->wallet, n->allotments.asked_at, now),
		    now);
		return true;
	case WALLET_ASK:
		wait_for_token(q, w);
		return false;
	default:
		refuse_call(q, retry_after);
		return false;
	}
}

/*
 * Draws a token for another backend server, without waiting.
 */
bool
draw_retry_allotment(struct request *q)
{
	struct node *n = q->node;
	int64_t retry_after;

	return q->wallet == NULL ||
	       draw_wallet(&q->wallet->wallet, &n->allotments.known,
		   get_boot_time(n), is_late(q),
		   &retry_after) == WALLET_GRANTED;
}

bool
is_asking_tokens(const struct node *n)
{
	return n->allotments.asking && !n->allotments.known.lost;
}

/*
 * Gives the token of draw_retry_allotment() back.
 */
void
return_retry_allotment(struct request *q)
{
	if (q->wallet != NULL)
		return_wallet_token(&q->wallet->wallet);
}

/*
 * Takes an answered or a freed call out of the queue.
 */
void
leave_allotment_queue(struct request *q)
{
	if (q->waits_for_token)
		leave_queue(q);
}

/*
 * Gives back the token of a call that no backend server has run.
 */
void
return_allotment(struct request *q)
{
	leave_allotment_queue(q);
	if (q->wallet != NULL && !q->ran && !q->may_have_run)
		return_wallet_token(&q->wallet->wallet);
	q->wallet = NULL;
}

/*
 * Tells the ledger that the node asks no more, so that its share of the rates
 * is not kept for it.
 */
void
leave_allotments(struct node *n)
{
	struct node_allotments *s = &n->allotments;

	s->leaving = true;
	cancel_timer(n->reactor, &s->ask_timer);
	if (s->known.member)
		send_ask(n, get_boot_time(n));
}

/*
 * Returns the wallet of an account, which is created on its first call.
 */
static struct node_wallet *
get_wallet(struct node *n, const char *account)
{
	struct node_wallet **at = &n->allotments.wallets, *w;
	struct ledger_limit limit;

	/* The wallet used last comes first: most calls are of few accounts. */
	for (; (w = *at) != NULL; at = &w->next) {
		if (strcmp(w->account, account) == 0)
			break;
	}
	if (w != NULL) {
		*at = w->next;
	} else {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			return NULL;
		(void)copy_str(
		    w->account, sizeof(w->account), make_str(account));
		limit = find_limit(n, account);
		set_wallet_limit(&w->wallet, &limit);
	}
	w->next = n->allotments.wallets;
	n->allotments.wallets = w;
	return w;
}

static struct ledger_limit
find_limit(const struct node *n, const char *account)
{
	const struct account *a =
	    n->table != NULL ? find_account(n->table, make_str(account)) : NULL;

	if (a == NULL)
		return (struct ledger_limit){0, 0};
	return (struct ledger_limit){a->rate_per_s, a->burst};
}

static void
wait_for_token(struct request *q, struct node_wallet *w)
{
	struct node *n = q->node;
	struct node_allotments *s = &n->allotments;

	q->wanted = w;
	q->waits_for_token = true;
	q->wait_until = get_reactor_now(n->reactor) + WAIT_NS;
	q->next_waiting = NULL;
	*s->waiting_tail = q;
	s->waiting_tail = &q->next_waiting;
	w->wallet.waiting++;
	if (s->waiting == q)
		set_timer(n->reactor, &s->wait_timer, q->wait_until, end_wait);
	schedule_ask(n);
}

static void
leave_queue(struct request *q)
{
	struct node_allotments *s = &q->node->allotments;
	struct request **at = &s->waiting;

	while (*at != q)
		at = &(*at)->next_waiting;
	*at = q->next_waiting;
	if (s->waiting_tail == &q->next_waiting)
		s->waiting_tail = at;
	q->waits_for_token = false;
	q->wanted->wallet.waiting--;
}

/*
 * Decides anew on each waiting call, in the order of arrival. Those that need
 * another ask wait on until their time is over.
 */
static void
serve_waiting(struct node *n, bool answered)
{
	struct node_allotments *s = &n->allotments;
	int64_t now = get_reactor_now(n->reactor), boot = get_boot_time(n);
	struct request **at = &s->waiting, *q;

	while ((q = *at) != NULL) {
		struct node_wallet *w = q->wanted;
		int64_t retry_after = RETRY_AFTER_NS;
		enum wallet_draw d = WALLET_ASK;

		if (answered || now >= q->wait_until)
			d = draw_wallet(&w->wallet, &s->known, boot, is_late(q),
			    &retry_after);
		if (d == WALLET_ASK && now < q->wait_until) {
			at = &q->next_waiting;
			continue;
		}
		leave_queue(q);
		if (d == WALLET_GRANTED) {
			q->wallet = w;
			start_next_attempt(q);
		} else {
			refuse_call(q, retry_after);
		}
		/* Either may have ended other calls. */
		at = &s->waiting;
	}
	if (s->waiting != NULL)
		set_timer(n->reactor, &s->wait_timer, s->waiting->wait_until,
		    end_wait);
}

/*
 * Says whether the answer would come after the target time.
 */
static bool
is_late(const struct request *q)
{
	return get_reactor_now(q->node->reactor) + q->stats->kind_service_ns >
	       q->target_at;
}

static void
refuse_call(struct request *q, int64_t retry_after)
{
	refuse_request(q, 429, REFUSE_ALLOTMENT, retry_after);
}

static void
end_wait(struct timer *t)
{
	struct node *n =
	    (struct node *)((char *)t -
			    offsetof(struct node, allotments.wait_timer));

	serve_waiting(n, false);
}

/*
 * Sets the time of the next ask by all wallets.
 */
static void
schedule_ask(struct node *n)
{
	struct node_allotments *s = &n->allotments;
	int64_t now = get_boot_time(n), at = INT64_MAX;

	if (s->asking)
		return;
	for (const struct node_wallet *w = s->wallets; w != NULL; w = w->next) {
		int64_t t = get_wallet_ask_time(&w->wallet, s->asked_at, now);

		if (t < at && !is_wallet_idle(&w->wallet, now))
			at = t;
	}
	/* A member asks on, at last to leave. */
	if (s->known.member && at > s->asked_at + WALLET_ASK_NS)
		at = s->asked_at + WALLET_ASK_NS;
	if (s->leaving)
		return;
	if (s->known.lost && at < s->asked_at + ASK_AGAIN_NS)
		at = s->asked_at + ASK_AGAIN_NS;
	if (at != INT64_MAX)
		set_ask_timer(n, at, now);
}

/*
 * Lets the next ask be made at a time, or earlier if that is set already.
 */
static void
set_ask_timer(struct node *n, int64_t at, int64_t now)
{
	struct node_allotments *s = &n->allotments;
	int64_t mono = get_reactor_now(n->reactor);

	if (s->asking || at == INT64_MAX)
		return;
	if (at < s->asked_at + ASK_GAP_NS)
		at = s->asked_at + ASK_GAP_NS;
	if (s->known.lost && at < s->asked_at + ASK_AGAIN_NS)
		at = s->asked_at + ASK_AGAIN_NS;
	mono += at > now ? at - now : 0;
	if (s->ask_timer.heap_index == 0 || s->ask_timer.due_ns > mono)
		set_timer(n->reactor, &s->ask_timer, mono, run_ask);
}

static void
run_ask(struct timer *t)
{
	struct node *n = (struct node *)((char *)t - offsetof(struct node,
							 allotments.ask_timer));

	send_ask(n, get_boot_time(n));
}

/*
 * Asks for all accounts in one message. The wallets are numbered in the order of
 * the message, for its answer.
 */
static void
send_ask(struct node *n, int64_t now)
{
	struct node_allotments *s = &n->allotments;
	struct wire_allotment_ask asks[NODE_ASKS_MAX];
	struct wire_allotment_args args = {.run = s->run};
	unsigned int count = 0;

	if (s->asking)
		return;
	s->asked_at = now;
	s->asking_to_leave = s->leaving || !is_active(n, now);
	for (struct node_wallet *w = s->wallets;
	     w != NULL && count < NODE_ASKS_MAX; w = w->next) {
		struct ledger_ask a;

		if (!fill_wallet_ask(&w->wallet, now, &a))
			continue;
		s->asked[count] = w;
		asks[count++] =
		    (struct wire_allotment_ask){.account = w->account,
			.held = a.held,
			.returned = a.returned,
			.want = a.want,
			.demand_milli = (unsigned int)(a.demand * 1000)};
	}
	s->asked_count = count;
	args.seq = ++s->seq;
	args.answered = s->answered;
	args.leaving = s->asking_to_leave;
	args.asks.asks_len = count;
	args.asks.asks_val = asks;
	s->asking = true;
	count_metric(n->metrics.allotment_asks_total, 1);
	if (request_allotment(
		n->cfg.agent, &args, ASK_TIMEOUT_MS, take_answer, n) != 0) {
		pthread_mutex_lock(&s->lock);
		s->answer_status = ERR_UNAVAILABLE;
		pthread_mutex_unlock(&s->lock);
		post_task(n->reactor, &s->answer_task, apply_answer);
	}
}

/*
 * Says whether an account with a rate had a call of late.
 */
static bool
is_active(const struct node *n, int64_t now)
{
	for (const struct node_wallet *w = n->allotments.wallets; w != NULL;
	     w = w->next) {
		if (w->wallet.limit.rate > 0 &&
		    !is_wallet_idle(&w->wallet, now))
			return true;
	}
	return false;
}

/*
 * Runs on the agent's thread and hands the answer to the node's.
 */
static void
take_answer(void *arg, int status, const struct wire_allotment_reply *reply)
{
	struct node *n = arg;
	struct node_allotments *s = &n->allotments;

	pthread_mutex_lock(&s->lock);
	s->answer_status = status;
	s->answer_count = 0;
	if (status == 0) {
		s->answer_nodes = reply->nodes;
		s->answer_count = reply->grants.grants_len < NODE_ASKS_MAX ?
				      reply->grants.grants_len :
				      NODE_ASKS_MAX;
		for (size_t i = 0; i < s->answer_count; i++) {
			const wire_allotment_grant *g =
			    &reply->grants.grants_val[i];

			s->answer[i] = (struct ledger_grant){
			    g->tokens, g->room_ms * NSEC_PER_MSEC};
		}
	}
	pthread_mutex_unlock(&s->lock);
	post_task(n->reactor, &s->answer_task, apply_answer);
}

static void
apply_answer(struct task *t)
{
	struct node *n =
	    (struct node *)((char *)t -
			    offsetof(struct node, allotments.answer_task));
	struct node_allotments *s = &n->allotments;
	int64_t now = get_boot_time(n);
	bool was_lost = s->known.lost;

	pthread_mutex_lock(&s->lock);
	s->asking = false;
	s->known.lost = s->answer_status != 0;
	if (s->answer_status == 0) {
		s->answered = s->seq;
		s->known.nodes = s->answer_nodes;
		s->known.member = !s->asking_to_leave;
		s->known.leased_until = s->asked_at + LEDGER_LEASE_NS;
		for (size_t i = 0; i < s->answer_count && i < s->asked_count;
		     i++)
			apply_wallet_grant(&s->asked[i]->wallet, &s->answer[i],
			    s->asked_at, now);
	}
	pthread_mutex_unlock(&s->lock);
	if (s->known.lost != was_lost)
		WRITE_EVENT(LOG_LEVEL_NOTICE,
		    was_lost ? "allotments.regained" : "allotments.lost",
		    LOG_INT("nodes", s->known.nodes),
		    LOG_BOOL("member", s->known.member));
	if (s->known.lost)
		count_metric(n->metrics.allotment_lost_total, 1);
	serve_waiting(n, true);
	schedule_ask(n);
}

/*
 * Time that counts suspensions, ns: a node that wakes has no leases left.
 */
static int64_t
get_boot_time(const struct node *n)
{
	return read_mono(&n->cfg.boot_clock);
}
