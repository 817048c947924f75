/*
 * The serving nodes of each service, the split of rows between services, the
 * retry budget of each service, and the statistics of each kind.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define TOKENS_INITIAL 2.0 /* retries available before the first call */
/*
 * Shares of the configured retry limits that a node uses. Less than 1, because
 * the limits apply to sliding windows, other nodes count separately, and calls
 * made by a retried call count as retries at the services below, which have
 * budgets of their own.
 */
#define RETRY_RATIO_SHARE 0.35
#define RETRY_SLACK_SHARE 0.3
#define SPLIT_SKIPS_MAX 200 /* rounds skipped when a split is new */

static void require_service(struct node *n, const char *name);
static void refresh_peers(struct node *n, struct service *s);
static struct peer *update_peer_record(
    struct node *n, struct service *s, const struct wire_endpoint *e);
static struct peer *find_peer_record(struct node *n, const char *id);
static void update_peer_version(
    struct node *n, struct peer *p, const char *instance);
static int add_service_peer(struct service *s, struct peer *p);
static void remove_unlisted_peers(struct node *n);
static void reset_split(
    struct node *n, struct kind_stats *k, const struct row *r);

/*
 * Updates services and peers from the current table and endpoint sets.
 */
void
refresh_services(struct node *n)
{
	for (struct service *s = n->services; s != NULL; s = s->next)
		s->in_table = false;
	if (n->table != NULL) {
		for (size_t i = 0; i < n->table->row_count; i++) {
			struct split_part parts[TABLE_SPLIT_MAX];
			int count = parse_split(n->table->rows[i], parts);

			require_service(n, n->table->rows[i]->service);
			for (int k = 0; k < count; k++)
				require_service(n, parts[k].service);
		}
	}
	for (struct peer *p = n->peers; p != NULL; p = p->next)
		p->listed = false;
	for (struct service *s = n->services; s != NULL; s = s->next)
		refresh_peers(n, s);
	remove_unlisted_peers(n);
}

/*
 * Frees services, peers and kinds; links to the peers are closed before.
 */
void
clear_services(struct node *n)
{
	struct kind_stats *k;
	struct service *s;
	struct peer *p;

	while ((s = n->services) != NULL) {
		n->services = s->next;
		free(s->peers);
		clear_rollout(s);
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
 * Returns the statistics of a kind, which are created on first use; NULL when
 * out of memory.
 */
struct kind_stats *
get_kind_stats(struct node *n, const char *kind)
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
	k->ok_lines.scope = k->kind;
	k->next = n->kinds;
	n->kinds = k;
	return k;
}

/*
 * Returns the service for the next call of a row: the row's own, or by smooth
 * weighted round robin one of its split, so that the shares hold over any few
 * calls.
 */
const char *
choose_split_service(struct node *n, struct kind_stats *k, const struct row *r)
{
	struct split_part parts[TABLE_SPLIT_MAX];
	int count = parse_split(r, parts), best = 0;
	double total = 0;

	if (count == 0)
		return r->service;
	if (k->split_hash != hash_str(make_str(get_row_text(r, COL_SPLIT)), 0))
		reset_split(n, k, r);
	for (int i = 0; i < count; i++) {
		k->shares[i].credit += parts[i].share;
		total += parts[i].share;
		if (k->shares[i].credit > k->shares[best].credit)
			best = i;
	}
	k->shares[best].credit -= total;
	return k->shares[best].service;
}

/*
 * Spends one retry of the service's budget; false when it is exhausted. The
 * budget is refilled over retry_window_ns up to this node's part of the slack.
 */
bool
spend_retry_token(struct node *n, struct service *s)
{
	int64_t now = get_reactor_now(n->reactor);
	size_t nodes = 0;
	double tokens_max, refill_rate;

	for (const struct peer *p = n->peers; p != NULL; p = p->next)
		nodes += p->listed ? 1 : 0;
	tokens_max = TOKENS_INITIAL + RETRY_SLACK_SHARE * n->cfg.retry_slack /
					  (double)(nodes > 0 ? nodes : 1);
	refill_rate = tokens_max / (double)n->cfg.retry_window_ns;
	s->tokens += refill_rate * (double)(now - s->tokens_at);
	s->tokens_at = now;
	if (s->tokens > tokens_max)
		s->tokens = tokens_max;
	if (s->tokens < 1)
		return false;
	s->tokens -= 1;
	return true;
}

/*
 * Adds a new call's fraction of a retry to the service's budget.
 */
void
add_retry_tokens(struct node *n, struct service *s)
{
	s->tokens += RETRY_RATIO_SHARE * n->cfg.retry_ratio;
}

/*
 * Marks a service as named by the table; creates it if necessary.
 */
static void
require_service(struct node *n, const char *name)
{
	struct service *s = find_node_service(n, name);

	if (s == NULL) {
		s = calloc(1, sizeof(*s));
		if (s == NULL) {
			write_log(LOG_LEVEL_ERR,
			    "out of memory: service %s gets no calls", name);
			return;
		}
		(void)copy_str(s->name, sizeof(s->name), make_str(name));
		s->tokens = TOKENS_INITIAL;
		s->tokens_at = get_reactor_now(n->reactor);
		s->next = n->services;
		n->services = s;
	}
	s->in_table = true;
}

/*
 * Rebuilds the list of a service's peers from its current endpoint set.
 */
static void
refresh_peers(struct node *n, struct service *s)
{
	const struct endpoint_set *set;
	uint64_t first = UINT64_MAX;

	s->peer_count = 0;
	s->base_version[0] = '\0';
	if (!s->in_table)
		return;
	set = acquire_endpoints(n->cfg.agent, make_str(s->name));
	s->has_set = set != NULL;
	if (set == NULL)
		return;
	for (size_t i = 0; i < set->count; i++) {
		struct peer *p = update_peer_record(n, s, &set->endpoints[i]);

		if (p != NULL && add_service_peer(s, p) != 0)
			write_log(LOG_LEVEL_ERR,
			    "out of memory: node %s gets no calls", p->id);
		if (p == NULL || p->version[0] == '\0' ||
		    p->incarnation >= first)
			continue;
		first = p->incarnation;
		(void)copy_str(s->base_version, sizeof(s->base_version),
		    make_str(p->version));
	}
	release_endpoints(n->cfg.agent, set);
}

/*
 * Creates or updates the peer of an endpoint. A new incarnation, address or
 * service drops its links and what was known of its load. Returns NULL when out
 * of memory.
 */
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
		retire_peer_links(p);
		p->has_load = false;
		p->address_reused = false;
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
	if (n->cfg.trial_share > 0)
		update_peer_version(n, p, e->instance);
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

/*
 * Takes the version from the instance, which is followed by a space and it. A
 * server that was listed anew or with another version starts cold.
 */
static void
update_peer_version(struct node *n, struct peer *p, const char *instance)
{
	const char *space = instance != NULL ? strchr(instance, ' ') : NULL;
	const char *version = space != NULL ? space + 1 : "";

	if (p->version_at != 0 && strcmp(p->version, version) == 0)
		return;
	(void)copy_str(p->version, sizeof(p->version), make_str(version));
	p->version_at = get_reactor_now(n->reactor);
	confirm_rollouts(n);
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
add_service_peer(struct service *s, struct peer *p)
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
 * Frees peers that are in no endpoint set any more and have no call in flight.
 */
static void
remove_unlisted_peers(struct node *n)
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
		retire_peer_links(p);
		cancel_timer(n->reactor, &p->probe);
		free(p);
	}
}

/*
 * Starts the round robin of a split at a random position, so that the first
 * calls of many nodes together also keep the shares.
 */
static void
reset_split(struct node *n, struct kind_stats *k, const struct row *r)
{
	struct split_part parts[TABLE_SPLIT_MAX];
	uint64_t total = 0;
	int count = parse_split(r, parts);

	for (int i = 0; i < count; i++) {
		(void)copy_str(k->shares[i].service,
		    sizeof(k->shares[i].service), make_str(parts[i].service));
		k->shares[i].credit = 0;
		total += (uint64_t)parts[i].share;
	}
	k->share_count = (size_t)count;
	k->split_hash = hash_str(make_str(get_row_text(r, COL_SPLIT)), 0);
	if (total > SPLIT_SKIPS_MAX)
		total = SPLIT_SKIPS_MAX;
	for (uint64_t skip = draw_below(&n->rng, total); skip > 0; skip--)
		(void)choose_split_service(n, k, r);
}
