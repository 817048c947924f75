/*
 * Synchronization of the registry between control processes.
 *
 * Each process sends the records that it owns, those of the nodes attached to
 * it, and the names of the nodes that had contact. A record changes its owner
 * with a newer record or when another process reports contact with the node.
 * An equal record does not move it, because a repair after a digest mismatch
 * may send records of nodes that have moved to another process.
 */
#include <stdlib.h>
#include <string.h>

#include "registry_state.h"

/*
 * A peer's contact with a node is ignored for this long after a contact here:
 * the peer may have sent the message before the node moved to this process.
 */
#define MOVE_GUARD_NS (1 * NSEC_PER_SEC)
#define DIGEST_SEED 0x9e3779b97f4a7c15ULL

static int allocate_sync(
    struct wire_sync_args *out, size_t owned, size_t contacted);
static void append_owned(struct wire_sync_args *out, const struct record *r);
static uint64_t hash_endpoint(const struct wire_endpoint *e);
static uint64_t compute_owned_digest(const struct registry *g, uint64_t owner);
static uint64_t compute_list_digest(const struct wire_sync_args *a);
static bool update_peer_registry(
    struct registry *g, uint64_t id, uint64_t registry_id);
static void disown_records(struct registry *g, uint64_t owner, uint64_t round);
static void apply_owned(struct registry *g, int64_t now, uint64_t sender,
    const struct wire_endpoint *e);
static void apply_contact(
    struct registry *g, int64_t now, uint64_t sender, struct str node);
static void apply_upstream_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e);
static void expire_missing(
    struct registry *g, int64_t now, struct str service, uint64_t round);

/*
 * Pops at most WIRE_SET_MAX queued changes of each kind. Messages that are lost
 * are repaired by comparing digests. Free out with unload_sync().
 */
bool
pop_sync(struct registry *g, struct wire_sync_args *out)
{
	struct record_queue *changes = &g->changed_records,
			    *contacts = &g->contacted_records;
	size_t owned =
	    changes->count < WIRE_SET_MAX ? changes->count : WIRE_SET_MAX;
	size_t contacted =
	    contacts->count < WIRE_SET_MAX ? contacts->count : WIRE_SET_MAX;

	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	if (owned + contacted == 0 || allocate_sync(out, owned, contacted) != 0)
		return false;
	for (size_t i = 0; i < owned; i++) {
		changes->items[i]->change_queued = false;
		if (changes->items[i]->owner == g->self)
			append_owned(out, changes->items[i]);
	}
	for (size_t i = 0; i < contacted; i++) {
		contacts->items[i]->contact_queued = false;
		if (contacts->items[i]->owner == g->self)
			out->heard.heard_val[out->heard.heard_len++] =
			    contacts->items[i]->e.id;
	}
	changes->count -= owned;
	contacts->count -= contacted;
	memmove(changes->items, changes->items + owned,
	    changes->count * sizeof(struct record *));
	memmove(contacts->items, contacts->items + contacted,
	    contacts->count * sizeof(struct record *));
	return true;
}

/*
 * Fills in the digest of all owned records, for a peer to compare.
 */
void
fill_sync_digest(struct registry *g, struct wire_sync_args *out)
{
	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	out->digest_only = TRUE;
	out->digest = compute_owned_digest(g, g->self);
}

/*
 * Lists at most WIRE_SET_MAX owned records, skipping the first at. A list that
 * contains all of them carries their digest, which marks it as complete. Out
 * of memory the list is empty. Free out with unload_sync().
 */
size_t
fill_sync_all(struct registry *g, size_t at, struct wire_sync_args *out)
{
	size_t n = 0, skipped = 0;
	struct hash_link *l = get_first_link(&g->records);

	*out = (struct wire_sync_args){
	    .sender = g->self, .registry_id = g->registry_id};
	if (allocate_sync(out, WIRE_SET_MAX, 0) != 0)
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
		append_owned(out, r);
		n++;
	}
	if (at == 0)
		out->digest = compute_list_digest(out);
	return 0;
}

/*
 * Frees the arrays of an outgoing message; the strings belong to the records.
 */
void
unload_sync(struct wire_sync_args *a)
{
	free(a->owned.owned_val);
	free(a->heard.heard_val);
	*a = (struct wire_sync_args){0};
}

/*
 * Applies a digest, or a list of records and contacts. A complete list also
 * disowns the sender's records that it does not contain. Returns ERR_INVALID
 * for a bad sender.
 */
int
apply_sync(struct registry *g, int64_t now, const struct wire_sync_args *a,
    bool *resend)
{
	*resend = false;
	if (a->sender == 0 || a->sender == g->self ||
	    a->sender == REGISTRY_UPSTREAM)
		return ERR_INVALID;
	if (update_peer_registry(g, a->sender, a->registry_id))
		disown_records(g, a->sender, 0);
	if (a->digest_only) {
		*resend = compute_owned_digest(g, a->sender) != a->digest;
		return 0;
	}
	g->list_round++;
	for (unsigned int i = 0; i < a->owned.owned_len; i++)
		apply_owned(g, now, a->sender, &a->owned.owned_val[i]);
	for (unsigned int i = 0; i < a->heard.heard_len; i++)
		apply_contact(
		    g, now, a->sender, make_str(a->heard.heard_val[i]));
	if (a->digest != 0 && a->digest == compute_list_digest(a))
		disown_records(g, a->sender, g->list_round);
	return 0;
}

/*
 * Applies a set of the voter that this relay follows. The voter's leases apply
 * to these records; nodes attached to this relay keep a lease here.
 */
int
apply_upstream(
    struct registry *g, int64_t now, const struct wire_endpoint_set *s)
{
	g->list_round++;
	for (unsigned int i = 0; i < s->endpoints.endpoints_len; i++)
		apply_upstream_record(g, now, &s->endpoints.endpoints_val[i]);
	if (s->whole)
		expire_missing(g, now, make_str(s->service), g->list_round);
	return 0;
}

/*
 * Allocates the arrays of an outgoing message. Returns ERR_MEMORY.
 */
static int
allocate_sync(struct wire_sync_args *out, size_t owned, size_t contacted)
{
	out->owned.owned_val = calloc(owned + 1, sizeof(struct wire_endpoint));
	out->heard.heard_val = calloc(contacted + 1, sizeof(wire_name));
	if (out->owned.owned_val != NULL && out->heard.heard_val != NULL)
		return 0;
	unload_sync(out);
	return ERR_MEMORY;
}

/*
 * Appends a record to a message. Expired records are sent as GONE; the suspect
 * state is local and not sent.
 */
static void
append_owned(struct wire_sync_args *out, const struct record *r)
{
	struct wire_endpoint *e = &out->owned.owned_val[out->owned.owned_len];

	*e = r->e;
	if (r->liveness == LIVENESS_EXPIRED)
		e->state = WIRE_ENDPOINT_GONE;
	out->owned.owned_len++;
}

static uint64_t
hash_endpoint(const struct wire_endpoint *e)
{
	uint64_t v[2] = {e->incarnation, e->seq};

	return hash_str(make_str_n((const char *)v, sizeof(v)),
	    hash_str(make_str(e->id), DIGEST_SEED));
}

/*
 * Computes the digest of an owner's records; never 0, which means no digest.
 * Independent of the order, and without GONE records, which the processes
 * remove at different times.
 */
static uint64_t
compute_owned_digest(const struct registry *g, uint64_t owner)
{
	uint64_t d = DIGEST_SEED;

	for (const struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		const struct record *r = (const struct record *)l;

		if (r->service != NULL && r->owner == owner &&
		    get_effective_state(r) != WIRE_ENDPOINT_GONE)
			d ^= hash_endpoint(&r->e);
	}
	return d != 0 ? d : 1;
}

/*
 * The digest of the records in a message, as compute_owned_digest() has it.
 */
static uint64_t
compute_list_digest(const struct wire_sync_args *a)
{
	uint64_t d = DIGEST_SEED;

	for (unsigned int i = 0; i < a->owned.owned_len; i++) {
		if (a->owned.owned_val[i].state != WIRE_ENDPOINT_GONE)
			d ^= hash_endpoint(&a->owned.owned_val[i]);
	}
	return d != 0 ? d : 1;
}

/*
 * Stores the peer's registry id. Returns true when it differs from the known
 * one: the peer has restarted and lost its records.
 */
static bool
update_peer_registry(struct registry *g, uint64_t id, uint64_t registry_id)
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
 * Removes the ownership of a process's records that were not in the list of
 * this round; 0: of all its records. They remain in their sets until another
 * process has contact with the node or the lease ends.
 */
static void
disown_records(struct registry *g, uint64_t owner, uint64_t round)
{
	for (struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		struct record *r = (struct record *)l;

		if (r->owner == owner &&
		    (round == 0 || r->listed_round != round))
			r->owner = 0;
	}
}

/*
 * Applies a peer's record. A newer one replaces the stored record; an equal one
 * only refreshes it if the sender, no process or the upstream owns it.
 */
static void
apply_owned(struct registry *g, int64_t now, uint64_t sender,
    const struct wire_endpoint *e)
{
	struct record *r;
	int order;

	if (!is_valid_endpoint(e))
		return;
	r = find_record(g, make_str(e->id));
	order = r != NULL ? compare_announcements(e, &r->e) : 1;
	if (order > 0) {
		(void)put_record(g, now, sender, e);
		r = find_record(g, make_str(e->id));
	} else if (order == 0 && r->service == NULL) {
		/* Only a contact restores a tombstone, see apply_contact(). */
		if (e->state != WIRE_ENDPOINT_GONE)
			r->e.state = e->state;
	} else if (order == 0 && (r->owner == sender || r->owner == 0 ||
				     r->owner == REGISTRY_UPSTREAM)) {
		r->owner = sender;
		if (e->state == WIRE_ENDPOINT_GONE) {
			expire_record(g, r, now);
		} else {
			r->last_contact_ns = now;
			restore_record(g, r, now, e->state);
		}
	}
	if (r != NULL)
		r->listed_round = g->list_round;
}

/*
 * Applies a peer's contact with a node: the peer owns the record and the lease
 * is renewed. A tombstone becomes a live record again unless it is GONE.
 */
static void
apply_contact(struct registry *g, int64_t now, uint64_t sender, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL)
		return;
	if (r->service == NULL) {
		if (r->e.state != WIRE_ENDPOINT_GONE)
			(void)put_record(g, now, sender, &r->e);
		return;
	}
	if (r->owner == g->self && !r->disconnected &&
	    now - r->last_contact_ns < MOVE_GUARD_NS)
		return;
	r->owner = sender;
	r->last_contact_ns = now;
	r->disconnected = false;
	set_liveness(g, r, now, LIVENESS_OK);
}

/*
 * Applies a record of the voter. Equal records of attached nodes are skipped.
 */
static void
apply_upstream_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e)
{
	struct record *r;
	int order;

	if (!is_valid_endpoint(e))
		return;
	r = find_record(g, make_str(e->id));
	order = r != NULL ? compare_announcements(e, &r->e) : 1;
	if (order > 0) {
		(void)put_record(g, now, REGISTRY_UPSTREAM, e);
	} else if (order == 0 && r->service == NULL) {
		if (e->state != WIRE_ENDPOINT_GONE)
			(void)put_record(g, now, REGISTRY_UPSTREAM, e);
	} else if (order == 0 && r->owner != g->self) {
		r->owner = REGISTRY_UPSTREAM;
		r->last_contact_ns = now;
		if (e->state == WIRE_ENDPOINT_GONE)
			set_liveness(g, r, now, LIVENESS_EXPIRED);
		else
			restore_record(g, r, now, e->state);
	}
	r = find_record(g, make_str(e->id));
	if (r != NULL)
		r->listed_round = g->list_round;
}

/*
 * Expires the upstream records of a service that a full set does not contain.
 */
static void
expire_missing(
    struct registry *g, int64_t now, struct str service, uint64_t round)
{
	for (struct hash_link *l = get_first_link(&g->records); l != NULL;
	     l = get_next_link(&g->records, l)) {
		struct record *r = (struct record *)l;

		if (r->service != NULL && r->owner == REGISTRY_UPSTREAM &&
		    r->listed_round != round &&
		    is_str_equal(make_str(r->service->name), service))
			set_liveness(g, r, now, LIVENESS_EXPIRED);
	}
}
