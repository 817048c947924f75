/*
 * A node that has started does not know whether its backend server said before
 * that it leaves. It opens links to a few nodes, which return the last notice of
 * its server with their first message, and uses a server that is older than
 * itself only after that.
 */
#include "log.h"
#include "node_state.h"

#define ASKED_PEERS_MAX 8 /* any node that sent calls here knows the notice */
/* From the first table on; a link opens or fails within 200 ms. */
#define ASK_NS (300 * NSEC_PER_MSEC)

static void ask_peers(struct node *n);
static void end_ask(struct node *n);
static void time_out_ask(struct timer *t);

/*
 * Opens the links once the node has its first table and the endpoint sets that
 * it names. Called after each refresh of them.
 */
void
ask_for_notices(struct node *n)
{
	if (n->ask_state == NOTICE_ASK_ENDED || n->table == NULL)
		return;
	if (n->ask_state == NOTICE_ASK_WAITS) {
		n->ask_state = NOTICE_ASK_LISTS;
		set_timer(n->reactor, &n->ask_timer,
		    get_reactor_now(n->reactor) + ASK_NS, time_out_ask);
	}
	if (n->ask_state == NOTICE_ASK_LISTS && has_endpoint_sets(n)) {
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
			if ((i >= start) != (round == 0) || p->local ||
			    !p->listed || !p->usable)
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
