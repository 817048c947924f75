/*
 * Synchronization of the registry between control processes.
 *
 * Each process sends the records of the nodes attached to it and the names of
 * the nodes it heard. A record goes over to another owner with a newer record
 * or when the other process heard the node; a list alone does not move it,
 * because a repair by digest may send records of nodes that have left.
 */
#include <stdlib.h>
#include <string.h>

#include "registry_state.h"

/*
 * A name that a peer heard is ignored for this long after the node was heard
 * here: the message may have been sent before the node moved.
 */
#define MOVE_GUARD_NS (1 * NSEC_PER_SEC)
#define DIGEST_SEED 0x9e3779b97f4a7c15ULL

static int reserve_sync(struct wire_sync_args *out, size_t owned, size_t heard);
static void put_owned(struct wire_sync_args *out, const struct record *r);
static uint64_t mix_digest(const struct wire_endpoint *e);
static uint64_t compute_owned_digest(const struct registry *g, uint64_t owner);
static uint64_t compute_list_digest(const struct wire_sync_args *a);
static bool note_peer(struct registry *g, uint64_t id, uint64_t registry_id);
static void disown_records(struct registry *g, uint64_t owner, uint64_t mark);
static void apply_owned(struct registry *g, int64_t now, uint64_t sender,
    const struct wire_endpoint *e);
static void apply_heard(
    struct registry *g, int64_t now, uint64_t sender, struct str node);
static void apply_upstream_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e);
static void drop_missing(
    struct registry *g, int64_t now, struct str service, uint64_t mark);

/*
 * Takes the queued changes, at most WIRE_SET_MAX of each kind. What a peer
 * misses is repaired by digest.
 */
bool
take_sync(struct registry *g, struct wire_sync_args *out)
{
	struct record_queue *c = &g->changed_records, *h = &g->heard_records;
	size_t owned = c->count < WIRE_SET_MAX ? c->count : WIRE_SET_MAX;
	size_t heard = h->count < WIRE_SET_MAX ? h->count : WIRE_SET_MAX;

	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	if (owned + heard == 0 || reserve_sync(out, owned, heard) != 0)
		return false;
	for (size_t i = 0; i < owned; i++) {
		c->items[i]->record_queued = false;
		if (c->items[i]->owner == g->self)
			put_owned(out, c->items[i]);
	}
	for (size_t i = 0; i < heard; i++) {
		h->items[i]->heard_queued = false;
		if (h->items[i]->owner == g->self)
			out->heard.heard_val[out->heard.heard_len++] =
			    h->items[i]->e.id;
	}
	c->count -= owned;
	h->count -= heard;
	memmove(c->items, c->items + owned, c->count * sizeof(struct record *));
	memmove(h->items, h->items + heard, h->count * sizeof(struct record *));
	return true;
}

void
give_sync_digest(struct registry *g, struct wire_sync_args *out)
{
	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	out->digest_only = TRUE;
	out->digest = compute_owned_digest(g, g->self);
}

/*
 * Lists owned records. A list that holds all of them carries their digest,
 * which tells the receiver that it is complete.
 */
size_t
give_sync_all(struct registry *g, size_t at, struct wire_sync_args *out)
{
	size_t n = 0, skipped = 0;
	struct hash_link *l = get_first_link(&g->records);

	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	if (reserve_sync(out, WIRE_SET_MAX, 0) != 0)
		return 0;
	for (; l != NULL; l = get_next_link(&g->records, l)) {
		struct record *r = (struct record *)l;

		if (r->service == NULL || r->owner != g->self)
			continue;
		if (skipped < at) {
			skipped++;
			continue;
		}
		if (n == WIRE_SET_MAX)
			return at + n;
		put_owned(out, r);
		n++;
	}
	if (at == 0)
		out->digest = compute_list_digest(out);
	return 0;
}

/*
 * Frees the arrays of an outgoing message; its strings belong to the records.
 */
void
unload_sync(struct wire_sync_args *a)
{
	free(a->owned.owned_val);
	free(a->heard.heard_val);
	*a = (struct wire_sync_args){0};
}

int
apply_sync(struct registry *g, int64_t now, const struct wire_sync_args *a,
    bool *resend)
{
	*resend = false;
	if (a->sender == 0 || a->sender == g->self ||
	    a->sender == REGISTRY_UPSTREAM)
		return ERR_INVALID;
	if (note_peer(g, a->sender, a->registry_id))
		disown_records(g, a->sender, 0);
	if (a->digest_only) {
		*resend = compute_owned_digest(g, a->sender) != a->digest;
		return 0;
	}
	g->marks++;
	for (unsigned int i = 0; i < a->owned.owned_len; i++)
		apply_owned(g, now, a->sender, &a->owned.owned_val[i]);
	for (unsigned int i = 0; i < a->heard.heard_len; i++)
		apply_heard(g, now, a->sender, make_str(a->heard.heard_val[i]));
	if (a->digest != 0 && a->digest == compute_list_digest(a))
		disown_records(g, a->sender, g->marks);
	return 0;
}

/*
 * Takes over a set of the voter that this relay follows. The voter's lease
 * decides about its records; nodes attached to this relay keep their own.
 */
int
apply_upstream(
    struct registry *g, int64_t now, const struct wire_endpoint_set *s)
{
	g->marks++;
	for (unsigned int i = 0; i < s->endpoints.endpoints_len; i++)
		apply_upstream_record(g, now, &s->endpoints.endpoints_val[i]);
	if (s->whole)
		drop_missing(g, now, make_str(s->service), g->marks);
	return 0;
}

static int
reserve_sync(struct wire_sync_args *out, size_t owned, size_t heard)
{
	out->owned.owned_val = calloc(owned + 1, sizeof(struct wire_endpoint));
	out->heard.heard_val = calloc(heard + 1, sizeof(wire_name));
	if (out->owned.owned_val != NULL && out->heard.heard_val != NULL)
		return 0;
	unload_sync(out);
	return ERR_MEMORY;
}

/*
 * Adds a record to a message. Expiry is sent as GONE; suspicion stays local.
 */
static void
put_owned(struct wire_sync_args *out, const struct record *r)
{
	struct wire_endpoint *e = &out->owned.owned_val[out->owned.owned_len];

	*e = r->e;
	if (r->life == LIFE_EXPIRED)
		e->state = WIRE_ENDPOINT_GONE;
	out->owned.owned_len++;
}

static uint64_t
mix_digest(const struct wire_endpoint *e)
{
	uint64_t v[2] = {e->incarnation, e->seq};

	return hash_str(make_str_n((const char *)v, sizeof(v)),
	    hash_str(make_str(e->id), DIGEST_SEED));
}

/*
 * The digest does not depend on the order of the records and leaves out those
 * in state GONE, which the processes forget at different times.
 */
static uint64_t
compute_owned_digest(const struct registry *g, uint64_t owner)
{
	uint64_t d = DIGEST_SEED;

	for (const struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		const struct record *r = (const struct record *)l;

		if (r->service != NULL && r->owner == owner &&
		    get_state_in_effect(r) != WIRE_ENDPOINT_GONE)
			d ^= mix_digest(&r->e);
	}
	return d != 0 ? d : 1;
}

static uint64_t
compute_list_digest(const struct wire_sync_args *a)
{
	uint64_t d = DIGEST_SEED;

	for (unsigned int i = 0; i < a->owned.owned_len; i++) {
		if (a->owned.owned_val[i].state != WIRE_ENDPOINT_GONE)
			d ^= mix_digest(&a->owned.owned_val[i]);
	}
	return d != 0 ? d : 1;
}

/*
 * Returns true when the peer is known with another registry: it restarted and
 * has lost its records.
 */
static bool
note_peer(struct registry *g, uint64_t id, uint64_t registry_id)
{
	for (size_t i = 0; i < g->peer_count; i++) {
		if (g->peers[i].id != id)
			continue;
		if (g->peers[i].registry_id == registry_id)
			return false;
		g->peers[i].registry_id = registry_id;
		return true;
	}
	if (g->peer_count < REGISTRY_PEERS_MAX)
		g->peers[g->peer_count++] =
		    (struct registry_peer){id, registry_id};
	return false;
}

/*
 * Takes the records that lack the mark from an owner. They stay listed until
 * another process hears the node or the lease ends.
 */
static void
disown_records(struct registry *g, uint64_t owner, uint64_t mark)
{
	for (struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		struct record *r = (struct record *)l;

		if (r->owner == owner && (mark == 0 || r->mark != mark))
			r->owner = 0;
	}
}

static void
apply_owned(struct registry *g, int64_t now, uint64_t sender,
    const struct wire_endpoint *e)
{
	struct record *r;
	int order;

	if (!is_valid_endpoint(e))
		return;
	r = find_record(g, make_str(e->id));
	order = r != NULL ? compare_age(e, &r->e) : 1;
	if (order > 0) {
		(void)put_record(g, now, sender, e);
		r = find_record(g, make_str(e->id));
	} else if (order == 0 && r->service == NULL) {
		/* Only a node that was heard comes back, see apply_heard(). */
		if (e->state != WIRE_ENDPOINT_GONE)
			r->e.state = e->state;
	} else if (order == 0 && (r->owner == sender || r->owner == 0 ||
				     r->owner == REGISTRY_UPSTREAM)) {
		r->owner = sender;
		if (e->state == WIRE_ENDPOINT_GONE) {
			expire_record(g, r, now);
		} else {
			r->heard_ns = now;
			restore_record(g, r, now, e->state);
		}
	}
	if (r != NULL)
		r->mark = g->marks;
}

static void
apply_heard(struct registry *g, int64_t now, uint64_t sender, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL)
		return;
	if (r->service == NULL) {
		if (r->e.state != WIRE_ENDPOINT_GONE)
			(void)put_record(g, now, sender, &r->e);
		return;
	}
	if (r->owner == g->self && !r->closed &&
	    now - r->heard_ns < MOVE_GUARD_NS)
		return;
	r->owner = sender;
	r->heard_ns = now;
	r->closed = false;
	set_life(g, r, now, LIFE_OK);
}

static void
apply_upstream_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e)
{
	struct record *r;
	int order;

	if (!is_valid_endpoint(e))
		return;
	r = find_record(g, make_str(e->id));
	order = r != NULL ? compare_age(e, &r->e) : 1;
	if (order > 0) {
		(void)put_record(g, now, REGISTRY_UPSTREAM, e);
	} else if (order == 0 && r->service == NULL) {
		if (e->state != WIRE_ENDPOINT_GONE)
			(void)put_record(g, now, REGISTRY_UPSTREAM, e);
	} else if (order == 0 && r->owner != g->self) {
		r->owner = REGISTRY_UPSTREAM;
		r->heard_ns = now;
		if (e->state == WIRE_ENDPOINT_GONE)
			set_life(g, r, now, LIFE_EXPIRED);
		else
			restore_record(g, r, now, e->state);
	}
	r = find_record(g, make_str(e->id));
	if (r != NULL)
		r->mark = g->marks;
}

/*
 * Removes upstream records of a service that a whole set no longer lists.
 */
static void
drop_missing(struct registry *g, int64_t now, struct str service, uint64_t mark)
{
	for (struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		struct record *r = (struct record *)l;

		if (r->service != NULL && r->owner == REGISTRY_UPSTREAM &&
		    r->mark != mark &&
		    is_str_equal(make_str(r->service->name), service))
			set_life(g, r, now, LIFE_EXPIRED);
	}
}
