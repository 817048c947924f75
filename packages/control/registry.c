/*
 * Records of the serving nodes, their leases, and the versions of the sets.
 */
#include <stdlib.h>
#include <string.h>

#include "registry_state.h"

static struct service *find_service(
    const struct registry *g, struct str name, uint64_t hash);
static struct service *ensure_service(struct registry *g, struct str name);
static bool match_record(const struct hash_link *l, const void *key);
static bool match_service(const struct hash_link *l, const void *key);
static int copy_endpoint(
    struct wire_endpoint *dst, const struct wire_endpoint *src);
static int bind_service(
    struct registry *g, struct record *r, struct str service);
static void unbind_service(struct registry *g, struct record *r);
static void make_tombstone(struct registry *g, struct record *r);
static void evict_oldest_tombstone(struct registry *g);
static void remove_tombstone(struct registry *g, struct record *r);
static void remove_queued(struct record_queue *q, const struct record *r);
static bool allow_expiry(struct service *s, int64_t now);
static bool is_lease_over(
    const struct registry *g, const struct record *r, int64_t now);
static void free_record(struct record *r);

/*
 * Opens an empty registry. self is the id of this control process; registry_id
 * must differ after each restart, so that peers and nodes notice that the
 * records are lost. Returns ERR_MEMORY.
 */
int
open_registry(uint64_t self, uint64_t registry_id, struct registry **out)
{
	struct registry *g = calloc(1, sizeof(*g));

	if (g == NULL)
		return ERR_MEMORY;
	g->self = self;
	g->registry_id = registry_id;
	g->newest_version = 1;
	*out = g;
	return 0;
}

void
close_registry(struct registry *g)
{
	struct hash_link *l, *next;

	if (g == NULL)
		return;
	for (l = get_first_link(&g->records); l != NULL; l = next) {
		next = get_next_link(&g->records, l);
		free_record((struct record *)l);
	}
	for (l = get_first_link(&g->services); l != NULL; l = next) {
		next = get_next_link(&g->services, l);
		free(l);
	}
	unload_index(&g->records);
	unload_index(&g->services);
	free(g->changed_records.items);
	free(g->contacted_records.items);
	free(g);
}

/*
 * Stores a newer record. A repeated one only renews the lease, and moves the
 * node here when another process owned it.
 */
int
announce_endpoint_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e)
{
	struct record *r;
	int rc;

	if (!is_valid_endpoint(e))
		return ERR_INVALID;
	r = find_record(g, make_str(e->id));
	if (r != NULL && compare_announcements(e, &r->e) < 0)
		return ERR_STALE;
	if (r != NULL && r->service != NULL &&
	    compare_announcements(e, &r->e) == 0) {
		if (r->owner != g->self)
			restore_record(g, r, now, e->state);
		record_node_contact(g, now, make_str(e->id));
		return REGISTRY_UNCHANGED;
	}
	rc = put_record(g, now, g->self, e);
	if (rc != 0)
		return rc;
	r = find_record(g, make_str(e->id));
	rc = queue_record(&g->changed_records, r, &r->change_queued);
	if (rc == 0)
		rc = queue_record(&g->contacted_records, r, &r->contact_queued);
	return rc != 0 ? rc : REGISTRY_CHANGED;
}

/*
 * Renews the lease of a node that is attached to this process. Takes over the
 * ownership of its record from the process that it was attached to before.
 */
void
record_node_contact(struct registry *g, int64_t now, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL || r->service == NULL)
		return;
	r->last_contact_ns = now;
	r->disconnected = false;
	if (r->owner != g->self || r->liveness == LIVENESS_EXPIRED)
		(void)queue_record(&g->changed_records, r, &r->change_queued);
	r->owner = g->self;
	(void)queue_record(&g->contacted_records, r, &r->contact_queued);
	set_liveness(g, r, now, LIVENESS_OK);
}

/*
 * Handles the close of a node's connection: the lease becomes
 * REGISTRY_CLOSED_LEASE_NS. No effect when another process owns the record.
 */
void
record_node_disconnect(struct registry *g, int64_t now, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL || r->service == NULL || r->owner != g->self ||
	    r->disconnected)
		return;
	r->disconnected = true;
	r->disconnected_ns = now;
}

void
tick_registry(struct registry *g, int64_t now, bool quorum_contact)
{
	struct hash_link *l, *next;

	if (quorum_contact && !g->quorum_contact)
		g->quorum_contact_since = now;
	g->quorum_contact = quorum_contact;
	if (!quorum_contact)
		return;
	for (l = get_first_link(&g->records); l != NULL; l = next) {
		struct record *r = (struct record *)l;

		next = get_next_link(&g->records, l);
		if (r->service == NULL)
			continue;
		if (get_effective_state(r) == WIRE_ENDPOINT_GONE) {
			if (now - r->gone_ns >= REGISTRY_GONE_KEEP_NS)
				make_tombstone(g, r);
		} else if (is_lease_over(g, r, now)) {
			expire_record(g, r, now);
		}
	}
}

/*
 * The incarnation is a time of day, so that of the next run is lower when it was
 * set back in between, and all records of that run are refused.
 */
uint64_t
get_newer_incarnation(const struct registry *g, const struct wire_endpoint *e)
{
	const struct record *r = find_record(g, make_str(e->id));

	return r != NULL && r->e.incarnation > e->incarnation &&
		       r->e.incarnation < INT64_MAX ?
		   r->e.incarnation :
		   0;
}

uint64_t
get_registry_id(const struct registry *g)
{
	return g->registry_id;
}

/*
 * Returns the version of a service's set; 1 for an unknown service, since 0
 * means that a node has no set yet.
 */
uint64_t
get_set_version(const struct registry *g, struct str service)
{
	const struct service *s =
	    find_service(g, service, hash_str(service, 0));

	return s != NULL ? s->set_version : 1;
}

/*
 * Returns the newest version of all sets; every change of a set raises it.
 */
uint64_t
get_newest_version(const struct registry *g)
{
	return g->newest_version;
}

/*
 * A full set omits GONE records; a delta includes them as removals. Lists at
 * most WIRE_SET_MAX endpoints. Returns ERR_MEMORY.
 */
int
list_endpoints(const struct registry *g, struct str service, uint64_t since,
    struct wire_endpoint_set *out)
{
	const struct service *s =
	    find_service(g, service, hash_str(service, 0));
	uint64_t now = s != NULL ? s->set_version : 1;
	size_t n = 0;

	out->service = (char *)(uintptr_t)service.data;
	out->set_version = now;
	out->whole = since == 0 || since > now ||
		     (s != NULL && since < s->purged_version);
	out->endpoints.endpoints_len = 0;
	out->endpoints.endpoints_val = NULL;
	if (s == NULL)
		return 0;
	for (const struct record *r = s->first; r != NULL; r = r->next)
		n++;
	if (n == 0)
		return 0;
	out->endpoints.endpoints_val = calloc(n, sizeof(struct wire_endpoint));
	if (out->endpoints.endpoints_val == NULL)
		return ERR_MEMORY;
	for (const struct record *r = s->first; r != NULL; r = r->next) {
		enum wire_endpoint_state state = get_effective_state(r);
		struct wire_endpoint *e;

		if (out->whole ? state == WIRE_ENDPOINT_GONE :
				 r->changed_version <= since)
			continue;
		if (out->endpoints.endpoints_len == WIRE_SET_MAX)
			break;
		e = &out->endpoints.endpoints_val[out->endpoints.endpoints_len];
		*e = r->e;
		e->state = state;
		out->endpoints.endpoints_len++;
	}
	return 0;
}

bool
next_record(
    const struct registry *g, const void **at, struct registry_record *out)
{
	const struct hash_link *l = *at;

	do {
		l = l == NULL ? get_first_link(&g->records) :
				get_next_link(&g->records, l);
		*at = l;
	} while (l != NULL && ((const struct record *)l)->service == NULL);
	if (l == NULL)
		return false;
	const struct record *r = (const struct record *)l;

	*out = (struct registry_record){
	    &r->e, get_effective_state(r), r->owner, r->last_contact_ns};
	return true;
}

/*
 * Returns a node's record or tombstone; NULL: none.
 */
struct record *
find_record(const struct registry *g, struct str id)
{
	return (struct record *)find_link(
	    &g->records, hash_str(id, 0), match_record, &id);
}

/*
 * Compares two announcements of one node by incarnation, then by sequence;
 * negative when a is older.
 */
int
compare_announcements(
    const struct wire_endpoint *a, const struct wire_endpoint *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

/*
 * Returns the state that nodes see: the announced one while the lease lasts,
 * then GONE, or SUSPECT if the expiry limit of the service is reached.
 */
enum wire_endpoint_state
get_effective_state(const struct record *r)
{
	if (r->e.state == WIRE_ENDPOINT_GONE || r->liveness == LIVENESS_EXPIRED)
		return WIRE_ENDPOINT_GONE;
	return r->liveness == LIVENESS_SUSPECT ? WIRE_ENDPOINT_SUSPECT :
						 r->e.state;
}

/*
 * Checks a record from the wire: required names present, service name within
 * the table's limit, state and slots in range.
 */
bool
is_valid_endpoint(const struct wire_endpoint *e)
{
	return e->id != NULL && e->id[0] != '\0' && e->service != NULL &&
	       e->service[0] != '\0' && strlen(e->service) < TABLE_NAME_BYTES &&
	       e->address != NULL && e->address[0] != '\0' && e->zone != NULL &&
	       e->instance != NULL && e->backend != NULL && e->slots >= 0 &&
	       e->state <= WIRE_ENDPOINT_SUSPECT;
}

/*
 * Names are printed in JSON and logs, so only printable ASCII without spaces is
 * allowed.
 */
bool
is_plain_name(const char *s)
{
	if (s == NULL || s[0] == '\0')
		return false;
	for (; *s != '\0'; s++) {
		if (*s <= ' ' || *s > '~')
			return false;
	}
	return true;
}

/*
 * Adds a record, or replaces one that the caller found to be older. A tombstone
 * becomes a live record again. Copies e. Returns ERR_LIMIT or ERR_MEMORY.
 */
int
put_record(struct registry *g, int64_t now, uint64_t owner,
    const struct wire_endpoint *e)
{
	struct str id = make_str(e->id);
	struct record *r = find_record(g, id);
	struct wire_endpoint copy;
	int rc = 0;

	if (r == NULL || r->service == NULL) {
		if (g->live_count >= REGISTRY_RECORDS_MAX)
			return ERR_LIMIT;
	}
	rc = copy_endpoint(&copy, e);
	if (rc != 0)
		return rc;
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		rc = r != NULL ?
			 insert_link(&g->records, &r->link, hash_str(id, 0)) :
			 ERR_MEMORY;
		if (rc != 0) {
			free(r);
			unload_wire((xdrproc_t)xdr_wire_endpoint, &copy);
			return rc;
		}
		g->live_count++;
	} else if (r->service == NULL) {
		remove_tombstone(g, r);
		g->live_count++;
	}
	unload_wire((xdrproc_t)xdr_wire_endpoint, &r->e);
	r->e = copy;
	r->owner = owner;
	r->last_contact_ns = now;
	r->disconnected = false;
	r->liveness = LIVENESS_OK;
	rc = bind_service(g, r, make_str(r->e.service));
	if (rc == 0)
		mark_record_changed(g, r, now);
	return rc;
}

/*
 * Marks a record as changed: it and its set get a new version.
 */
void
mark_record_changed(struct registry *g, struct record *r, int64_t now)
{
	r->changed_version = ++g->newest_version;
	r->service->set_version = r->changed_version;
	if (get_effective_state(r) == WIRE_ENDPOINT_GONE)
		r->gone_ns = now;
}

/*
 * Sets the liveness; the set gets a new version if the effective state changes.
 */
void
set_liveness(struct registry *g, struct record *r, int64_t now,
    enum record_liveness liveness)
{
	enum wire_endpoint_state before = get_effective_state(r);

	r->liveness = liveness;
	if (get_effective_state(r) != before)
		mark_record_changed(g, r, now);
}

/*
 * Restores a record to the state that its node announced. The state is stored
 * again, because a record that had already expired on its owner was first
 * received as GONE.
 */
void
restore_record(struct registry *g, struct record *r, int64_t now,
    enum wire_endpoint_state state)
{
	enum wire_endpoint_state before = get_effective_state(r);

	r->e.state = state;
	r->liveness = LIVENESS_OK;
	if (get_effective_state(r) != before)
		mark_record_changed(g, r, now);
}

/*
 * Expires a record whose lease is over, or marks it suspect when too many of
 * its service expired within the last minute: that is more likely a fault of
 * the network than of that many backend servers.
 */
void
expire_record(struct registry *g, struct record *r, int64_t now)
{
	if (r->liveness == LIVENESS_EXPIRED)
		return;
	if (!allow_expiry(r->service, now)) {
		set_liveness(g, r, now, LIVENESS_SUSPECT);
		return;
	}
	set_liveness(g, r, now, LIVENESS_EXPIRED);
	if (r->owner == g->self)
		(void)queue_record(&g->changed_records, r, &r->change_queued);
}

/*
 * Queues a record to be sent to the peers unless *queued is set already.
 * Returns ERR_MEMORY.
 */
int
queue_record(struct record_queue *q, struct record *r, bool *queued)
{
	if (*queued)
		return 0;
	if (q->count == q->cap) {
		size_t cap = q->cap != 0 ? q->cap * 2 : 64;
		struct record **items =
		    realloc(q->items, cap * sizeof(struct record *));

		if (items == NULL)
			return ERR_MEMORY;
		q->items = items;
		q->cap = cap;
	}
	q->items[q->count++] = r;
	*queued = true;
	return 0;
}

static struct service *
find_service(const struct registry *g, struct str name, uint64_t hash)
{
	return (struct service *)find_link(
	    &g->services, hash, match_service, &name);
}

/*
 * Returns the service, adding it if necessary; NULL: out of memory.
 */
static struct service *
ensure_service(struct registry *g, struct str name)
{
	uint64_t hash = hash_str(name, 0);
	struct service *s = find_service(g, name, hash);

	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->set_version = 1;
	if (copy_str(s->name, sizeof(s->name), name) != 0 ||
	    insert_link(&g->services, &s->link, hash) != 0) {
		free(s);
		return NULL;
	}
	return s;
}

static bool
match_record(const struct hash_link *l, const void *key)
{
	return is_str_equal(make_str(((const struct record *)l)->e.id),
	    *(const struct str *)key);
}

static bool
match_service(const struct hash_link *l, const void *key)
{
	return is_str_equal(make_str(((const struct service *)l)->name),
	    *(const struct str *)key);
}

/*
 * Copies an endpoint and its strings; free the copy with unload_wire().
 */
static int
copy_endpoint(struct wire_endpoint *dst, const struct wire_endpoint *src)
{
	*dst = *src;
	dst->id = strdup(src->id);
	dst->service = strdup(src->service);
	dst->address = strdup(src->address);
	dst->zone = strdup(src->zone);
	dst->instance = strdup(src->instance);
	dst->backend = strdup(src->backend);
	if (dst->id != NULL && dst->service != NULL && dst->address != NULL &&
	    dst->zone != NULL && dst->instance != NULL && dst->backend != NULL)
		return 0;
	unload_wire((xdrproc_t)xdr_wire_endpoint, dst);
	return ERR_MEMORY;
}

/*
 * Moves the record to the list of a service. Out of memory it becomes a
 * tombstone and ERR_MEMORY is returned.
 */
static int
bind_service(struct registry *g, struct record *r, struct str service)
{
	struct service *s = ensure_service(g, service);

	if (s == r->service && s != NULL)
		return 0;
	if (r->service != NULL)
		unbind_service(g, r);
	if (s == NULL) {
		make_tombstone(g, r);
		return ERR_MEMORY;
	}
	r->service = s;
	r->next = s->first;
	s->first = r;
	return 0;
}

/*
 * Removes the record from the list of its service. A delta can no longer show
 * the removal, so nodes that have an older version get the full set.
 */
static void
unbind_service(struct registry *g, struct record *r)
{
	struct record **p = &r->service->first;

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	if (get_effective_state(r) != WIRE_ENDPOINT_GONE ||
	    r->service->purged_version < r->changed_version) {
		r->service->purged_version = ++g->newest_version;
		r->service->set_version = g->newest_version;
	}
	r->service = NULL;
	r->next = NULL;
}

/*
 * Turns a record into a tombstone, which keeps id, incarnation and sequence so
 * that a delayed older announcement cannot bring the node back.
 */
static void
make_tombstone(struct registry *g, struct record *r)
{
	remove_queued(&g->changed_records, r);
	remove_queued(&g->contacted_records, r);
	r->change_queued = false;
	r->contact_queued = false;
	if (r->service != NULL) {
		/* A full set has no GONE records: no new version. */
		struct service *s = r->service;
		uint64_t version = s->set_version, purged = s->purged_version;

		unbind_service(g, r);
		s->set_version = version;
		s->purged_version =
		    purged > r->changed_version ? purged : r->changed_version;
	}
	g->live_count--;
	if (g->newest_tombstone != NULL)
		g->newest_tombstone->next = r;
	else
		g->oldest_tombstone = r;
	g->newest_tombstone = r;
	g->tombstone_count++;
	if (g->tombstone_count > REGISTRY_TOMBSTONES_MAX)
		evict_oldest_tombstone(g);
}

static void
evict_oldest_tombstone(struct registry *g)
{
	struct record *r = g->oldest_tombstone;

	remove_tombstone(g, r);
	remove_link(&g->records, &r->link);
	free_record(r);
}

/*
 * Unlinks a tombstone from the list; linear in the number of tombstones.
 */
static void
remove_tombstone(struct registry *g, struct record *r)
{
	struct record *before = NULL, *t = g->oldest_tombstone;

	for (; t != r; t = t->next)
		before = t;
	if (before != NULL)
		before->next = r->next;
	else
		g->oldest_tombstone = r->next;
	if (g->newest_tombstone == r)
		g->newest_tombstone = before;
	r->next = NULL;
	g->tombstone_count--;
}

static void
remove_queued(struct record_queue *q, const struct record *r)
{
	size_t n = 0;

	for (size_t i = 0; i < q->count; i++) {
		if (q->items[i] != r)
			q->items[n++] = q->items[i];
	}
	q->count = n;
}

/*
 * Counts an expiry and returns true if the service's limit allows it: within a
 * minute 30% of its live records and those just expired, and at least one.
 */
static bool
allow_expiry(struct service *s, int64_t now)
{
	int64_t second = now / NSEC_PER_SEC;
	unsigned int recent = 0, live = 0, limit;

	for (int i = 0; i < REGISTRY_EXPIRE_WINDOW_S; i++) {
		if (s->expired[i].second > second - REGISTRY_EXPIRE_WINDOW_S)
			recent += s->expired[i].count;
	}
	for (const struct record *r = s->first; r != NULL; r = r->next) {
		if (get_effective_state(r) != WIRE_ENDPOINT_GONE)
			live++;
	}
	limit = (live + recent) * REGISTRY_EXPIRE_PCT / 100;
	if (limit == 0)
		limit = 1;
	if (recent >= limit)
		return false;
	int i = (int)(second % REGISTRY_EXPIRE_WINDOW_S);

	if (s->expired[i].second != second) {
		s->expired[i].second = second;
		s->expired[i].count = 0;
	}
	s->expired[i].count++;
	return true;
}

/*
 * Upstream records have no lease here: the voter decides about them. After the
 * contact to a quorum returns, every lease lasts its full length again.
 */
static bool
is_lease_over(const struct registry *g, const struct record *r, int64_t now)
{
	int64_t last_contact = r->last_contact_ns, lease = REGISTRY_LEASE_NS;

	if (r->owner == REGISTRY_UPSTREAM)
		return false;
	if (r->owner == g->self && r->disconnected) {
		last_contact = r->disconnected_ns;
		lease = REGISTRY_CLOSED_LEASE_NS;
	}
	if (last_contact < g->quorum_contact_since)
		last_contact = g->quorum_contact_since;
	return now - last_contact >= lease;
}

static void
free_record(struct record *r)
{
	unload_wire((xdrproc_t)xdr_wire_endpoint, &r->e);
	free(r);
}
