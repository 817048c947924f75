/*
 * A node that has started does not know whether its backend server said before
 * that it leaves. It opens links to a few nodes, which return the last notice of
 * its server with their first message, and uses a server that is older than
 * itself only after that.
 */
#include "log.h"
#include "node_state.h"

#define ASKED_PEERS_MAX 8 /* any node that sent calls here knows the notice */
#define ASKED_PEERS_MIN 2 /* fewer are known: waits for all endpoint sets */
/* From the first table on; a link opens or fails within 200 ms. */
#define ASK_NS (300 * NSEC_PER_MSEC)

static void request_own_set(struct node *n);
static size_t count_askable(const struct node *n);
static bool is_askable(const struct peer *p);
static void ask_peers(struct node *n);
static void end_ask(struct node *n);
static void time_out_ask(struct timer *t);

/*
 * Opens the links once the node has its first table and knows enough nodes, or
 * has all endpoint sets that the table names. Called after each refresh of them.
 */
void
ask_for_notices(struct node *n)
{
	if (n->ask_state == NOTICE_ASK_ENDED)
		return;
	if (n->table == NULL) {
		request_own_set(n);
		return;
	}
	if (n->ask_state == NOTICE_ASK_WAITS) {
		n->ask_state = NOTICE_ASK_LISTS;
		set_timer(n->reactor, &n->ask_timer,
		    get_reactor_now(n->reactor) + ASK_NS, time_out_ask);
	}
	if (n->ask_state == NOTICE_ASK_LISTS &&
	    (count_askable(n) >= ASKED_PEERS_MIN || has_endpoint_sets(n))) {
		n->ask_state = NOTICE_ASK_SENT;
		ask_peers(n);
		continue_notice_ask(n);
	}
}

/*
 * Ends the ask when all links have opened or failed. Called after each.
 */
void
continue_notice_ask(struct node *n)
{
	if (n->ask_state != NOTICE_ASK_SENT)
		return;
	for (const struct peer_link *l = n->links; l != NULL; l = l->next) {
		if (!l->handshake_done && !l->retired)
			return;
	}
	end_ask(n);
}

/*
 * Says whether other nodes have been asked, or need not be since the server has
 * been started after this node. start_ms: of the server, Unix ms.
 */
bool
are_notices_known(const struct node *n, int64_t start_ms)
{
	return n->ask_state == NOTICE_ASK_ENDED ||
	       start_ms > n->started_wall_ns / NSEC_PER_MSEC;
}

/*
 * Subscribes to the nodes of the own service, so that they arrive together with
 * the first table.
 */
static void
request_own_set(struct node *n)
{
	const struct endpoint_set *set;

	if (n->cfg.service == NULL)
		return;
	set = acquire_endpoints(n->cfg.agent, make_str(n->cfg.service));
	if (set != NULL)
		release_endpoints(n->cfg.agent, set);
}

static size_t
count_askable(const struct node *n)
{
	size_t count = 0;

	for (const struct peer *p = n->peers; p != NULL; p = p->next)
		count += is_askable(p) ? 1 : 0;
	return count;
}

static bool
is_askable(const struct peer *p)
{
	return p->listed && p->usable && !p->local;
}

/*
 * Opens links to some of the listed nodes, from a random one on.
 */
static void
ask_peers(struct node *n)
{
	size_t count = 0, start, i = 0;
	int asked = 0;

	for (const struct peer *p = n->peers; p != NULL; p = p->next)
		count++;
	start = draw_below(&n->rng, count);
	for (int round = 0; round < 2; round++) {
		i = 0;
		for (struct peer *p = n->peers; p != NULL; p = p->next, i++) {
			if ((i >= start) != (round == 0) || !is_askable(p))
				continue;
			if (asked++ == ASKED_PEERS_MAX)
				return;
			open_peer(p);
		}
	}
}

static void
end_ask(struct node *n)
{
	n->ask_state = NOTICE_ASK_ENDED;
	cancel_timer(n->reactor, &n->ask_timer);
	refresh_backend_state(n);
}

/* A node that does not answer must not keep the server unused. */
static void
time_out_ask(struct timer *t)
{
	end_ask((struct node *)((char *)t - offsetof(struct node, ask_timer)));
}
