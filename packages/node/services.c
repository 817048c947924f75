/*
 * Services and kinds of work as the node knows them: the serving nodes of each
 * service, parts of split rows, and the budget for retries.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define TOKENS_START 2.0 /* retries before the first calls were counted */
/*
 * Shares of the budget that are used. The windows of the limit slide, other
 * nodes count on their own, and the calls that a repeated run makes count as
 * repeats at the services below it, which have budgets of their own.
 */
#define RATIO_SHARE 0.35
#define SLACK_SHARE 0.3
#define TURNS_MAX 200 /* turns skipped at most when a split is new */

static void want_service(struct node *n, const char *name);
static void refresh_peers(struct node *n, struct service *s);
static struct peer *update_peer_record(
    struct node *n, struct service *s, const struct wire_endpoint *e);
static struct peer *find_peer_record(struct node *n, const char *id);
static int list_peer(struct service *s, struct peer *p);
static void drop_unlisted(struct node *n);
static void reset_turns(
    struct node *n, struct kind_stats *k, const struct row *r);

/*
 * Follows the services that the table names, and their serving nodes.
 */
void
refresh_services(struct node *n)
{
	for (struct service *s = n->services; s != NULL; s = s->next)
		s->wanted = false;
	if (n->table != NULL) {
		for (size_t i = 0; i < n->table->row_count; i++) {
			struct split_part parts[TABLE_SPLIT_MAX];
			int count = list_split(n->table->rows[i], parts);

			want_service(n, n->table->rows[i]->service);
			for (int k = 0; k < count; k++)
				want_service(n, parts[k].service);
		}
	}
	for (struct peer *p = n->peers; p != NULL; p = p->next)
		p->listed = false;
	for (struct service *s = n->services; s != NULL; s = s->next)
		refresh_peers(n, s);
	drop_unlisted(n);
}

void
clear_services(struct node *n)
{
	struct kind_stats *k;
	struct service *s;
	struct peer *p;

	while ((s = n->services) != NULL) {
		n->services = s->next;
		free(s->peers);
		free(s);
	}
	while ((p = n->peers) != NULL) {
		n->peers = p->next;
		cancel_timer(n->reactor, &p->probe);
		free(p);
	}
	while ((k = n->kinds) != NULL) {
		n->kinds = k->next;
		free(k);
	}
}

struct service *
find_node_service(struct node *n, const char *name)
{
	for (struct service *s = n->services; s != NULL; s = s->next) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/*
 * Returns what is known of a kind; NULL when out of memory.
 */
struct kind_stats *
find_kind(struct node *n, const char *kind)
{
	struct kind_stats *k;

	for (k = n->kinds; k != NULL; k = k->next) {
		if (strcmp(k->kind, kind) == 0)
			return k;
	}
	k = calloc(1, sizeof(*k));
	if (k == NULL)
		return NULL;
	(void)copy_str(k->kind, sizeof(k->kind), make_str(kind));
	k->routine_lines.of = k->kind;
	k->next = n->kinds;
	n->kinds = k;
	return k;
}

/*
 * Returns the service for the next call of a row: its own, or the part of the
 * split that is furthest behind its share. Shares hold over any few calls.
 */
const char *
choose_part(struct node *n, struct kind_stats *k, const struct row *r)
{
	struct split_part parts[TABLE_SPLIT_MAX];
	int count = list_split(r, parts), best = 0;
	double total = 0;

	if (count == 0)
		return r->service;
	if (k->turn_split != hash_str(make_str(get_row_text(r, COL_SPLIT)), 0))
		reset_turns(n, k, r);
	for (int i = 0; i < count; i++) {
		k->turns[i].credit += parts[i].share;
		total += parts[i].share;
		if (k->turns[i].credit > k->turns[best].credit)
			best = i;
	}
	k->turns[best].credit -= total;
	return k->turns[best].service;
}

/*
 * Takes one retry from the budget; false when it is used up.
 */
bool
take_retry(struct node *n, struct service *s)
{
	int64_t now = get_reactor_now(n->reactor);
	size_t nodes = 0;
	double most, rate;

	for (const struct peer *p = n->peers; p != NULL; p = p->next)
		nodes += p->listed ? 1 : 0;
	most = TOKENS_START + SLACK_SHARE * n->cfg.retry_slack /
				  (double)(nodes > 0 ? nodes : 1);
	rate = most / (double)n->cfg.retry_window_ns;
	s->tokens += rate * (double)(now - s->tokens_at);
	s->tokens_at = now;
	if (s->tokens > most)
		s->tokens = most;
	if (s->tokens < 1)
		return false;
	s->tokens -= 1;
	return true;
}

/*
 * A new call adds its share of a retry.
 */
void
add_retry_share(struct node *n, struct service *s)
{
	s->tokens += RATIO_SHARE * n->cfg.retry_ratio;
}

static void
want_service(struct node *n, const char *name)
{
	struct service *s = find_node_service(n, name);

	if (s == NULL) {
		s = calloc(1, sizeof(*s));
		if (s == NULL) {
			write_log(LOG_LEVEL_ERR,
			    "out of memory: service %s is not followed", name);
			return;
		}
		(void)copy_str(s->name, sizeof(s->name), make_str(name));
		s->tokens = TOKENS_START;
		s->tokens_at = get_reactor_now(n->reactor);
		s->next = n->services;
		n->services = s;
	}
	s->wanted = true;
}

static void
refresh_peers(struct node *n, struct service *s)
{
	const struct endpoint_set *set;

	s->peer_count = 0;
	if (!s->wanted)
		return;
	set = acquire_endpoints(n->cfg.agent, make_str(s->name));
	if (set == NULL)
		return;
	for (size_t i = 0; i < set->count; i++) {
		struct peer *p = update_peer_record(n, s, &set->endpoints[i]);

		if (p != NULL && list_peer(s, p) != 0)
			write_log(LOG_LEVEL_ERR,
			    "out of memory: node %s is left out", p->id);
	}
	release_endpoints(n->cfg.agent, set);
}

static struct peer *
update_peer_record(
    struct node *n, struct service *s, const struct wire_endpoint *e)
{
	struct peer *p = find_peer_record(n, e->id);

	bool ready = e->state == WIRE_ENDPOINT_READY ||
		     e->state == WIRE_ENDPOINT_SUSPECT;
	bool fresh = p == NULL;

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			return NULL;
		p->node = n;
		(void)copy_str(p->id, sizeof(p->id), make_str(e->id));
		p->next = n->peers;
		n->peers = p;
	}
	if (p->incarnation != e->incarnation ||
	    strcmp(p->address, e->address) != 0 ||
	    strcmp(p->service, s->name) != 0) {
		drop_peer_links(p);
		p->has_load = false;
		p->replaced = false;
		p->failures = 0;
		cancel_timer(n->reactor, &p->probe);
	}
	if (fresh || p->incarnation != e->incarnation || p->usable != ready)
		WRITE_EVENT(LOG_LEVEL_INFO, "peer.changed",
		    LOG_TEXT("node", p->id), LOG_TEXT("service", s->name),
		    LOG_TEXT("address", e->address), LOG_TEXT("zone", e->zone),
		    LOG_TEXT("instance", e->instance),
		    LOG_INT("incarnation", e->incarnation),
		    LOG_INT("seq", e->seq), LOG_INT("slots", e->slots),
		    LOG_BOOL("usable", ready));
	p->incarnation = e->incarnation;
	(void)copy_str(p->address, sizeof(p->address), make_str(e->address));
	(void)copy_str(p->service, sizeof(p->service), make_str(s->name));
	p->local = strcmp(p->id, n->cfg.name) == 0;
	p->same_zone = strcmp(e->zone, n->cfg.zone) == 0;
	p->usable = ready;
	p->slots = e->slots;
	p->listed = true;
	return p;
}

static struct peer *
find_peer_record(struct node *n, const char *id)
{
	for (struct peer *p = n->peers; p != NULL; p = p->next) {
		if (strcmp(p->id, id) == 0)
			return p;
	}
	return NULL;
}

static int
list_peer(struct service *s, struct peer *p)
{
	struct peer **grown =
	    realloc(s->peers, (s->peer_count + 1) * sizeof(struct peer *));

	if (grown == NULL)
		return ERR_MEMORY;
	s->peers = grown;
	s->peers[s->peer_count++] = p;
	return 0;
}

/*
 * Frees the peers that left their sets, once no call is there.
 */
static void
drop_unlisted(struct node *n)
{
	struct peer **at = &n->peers, *p;

	while ((p = *at) != NULL) {
		if (p->listed || p->in_flight > 0) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		WRITE_EVENT(LOG_LEVEL_INFO, "peer.gone",
		    LOG_TEXT("node", p->id), LOG_TEXT("service", p->service),
		    LOG_INT("incarnation", p->incarnation));
		drop_peer_links(p);
		cancel_timer(n->reactor, &p->probe);
		free(p);
	}
}

/*
 * Starts the turns of a split at a random place, so that the first calls of
 * many nodes together keep the shares too.
 */
static void
reset_turns(struct node *n, struct kind_stats *k, const struct row *r)
{
	struct split_part parts[TABLE_SPLIT_MAX];
	uint64_t total = 0;
	int count = list_split(r, parts);

	for (int i = 0; i < count; i++) {
		(void)copy_str(k->turns[i].service, sizeof(k->turns[i].service),
		    make_str(parts[i].service));
		k->turns[i].credit = 0;
		total += (uint64_t)parts[i].share;
	}
	k->turn_count = (size_t)count;
	k->turn_split = hash_str(make_str(get_row_text(r, COL_SPLIT)), 0);
	if (total > TURNS_MAX)
		total = TURNS_MAX;
	for (uint64_t skip = draw_below(&n->rng, total); skip > 0; skip--)
		(void)choose_part(n, k, r);
}
