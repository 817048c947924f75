/*
 * Records, leases and set versions.
 */
#include <stdlib.h>
#include <string.h>

#include "registry_state.h"

static struct service *find_service(
    const struct registry *g, struct str name, uint64_t hash);
static struct service *open_service(struct registry *g, struct str name);
static bool match_record(const struct hash_link *l, const void *key);
static bool match_service(const struct hash_link *l, const void *key);
static int copy_endpoint(
    struct wire_endpoint *dst, const struct wire_endpoint *src);
static int bind_service(
    struct registry *g, struct record *r, struct str service);
static void leave_service(struct registry *g, struct record *r);
static void forget_record(struct registry *g, struct record *r);
static void drop_tombstone(struct registry *g);
static void remove_tombstone(struct registry *g, struct record *r);
static void drop_queued(struct record_queue *q, const struct record *r);
static bool may_expire(struct service *s, int64_t now);
static bool is_silent(
    const struct registry *g, const struct record *r, int64_t now);
static void free_record(struct record *r);

int
open_registry(uint64_t self, uint64_t registry_id, struct registry **out)
{
	struct registry *g = calloc(1, sizeof(*g));

	if (g == NULL)
		return ERR_MEMORY;
	g->self = self;
	g->registry_id = registry_id;
	g->counter = 1;
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
	free(g->heard_records.items);
	free(g);
}

int
announce_endpoint_record(
    struct registry *g, int64_t now, const struct wire_endpoint *e)
{
	struct record *r;
	int rc;

	if (!is_valid_endpoint(e))
		return ERR_INVALID;
	r = find_record(g, make_str(e->id));
	if (r != NULL && compare_age(e, &r->e) < 0)
		return ERR_STALE;
	if (r != NULL && r->service != NULL && compare_age(e, &r->e) == 0) {
		if (r->owner != g->self)
			restore_record(g, r, now, e->state);
		hear_node(g, now, make_str(e->id));
		return REGISTRY_SAME;
	}
	rc = put_record(g, now, g->self, e);
	if (rc != 0)
		return rc;
	r = find_record(g, make_str(e->id));
	rc = queue_record(&g->changed_records, r, &r->record_queued);
	if (rc == 0)
		rc = queue_record(&g->heard_records, r, &r->heard_queued);
	return rc != 0 ? rc : REGISTRY_CHANGED;
}

/*
 * Renews the lease of a node that is attached here, and takes over its record
 * from the control process that it was attached to before.
 */
void
hear_node(struct registry *g, int64_t now, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL || r->service == NULL)
		return;
	r->heard_ns = now;
	r->closed = false;
	if (r->owner != g->self || r->life == LIFE_EXPIRED)
		(void)queue_record(&g->changed_records, r, &r->record_queued);
	r->owner = g->self;
	(void)queue_record(&g->heard_records, r, &r->heard_queued);
	set_life(g, r, now, LIFE_OK);
}

/*
 * The connection of an attached node closed. Has no effect when the node is
 * attached elsewhere by now.
 */
void
close_node(struct registry *g, int64_t now, struct str node)
{
	struct record *r = find_record(g, node);

	if (r == NULL || r->service == NULL || r->owner != g->self || r->closed)
		return;
	r->closed = true;
	r->closed_ns = now;
}

void
tick_registry(struct registry *g, int64_t now, bool quorum_contact)
{
	struct hash_link *l, *next;

	if (quorum_contact && !g->contact)
		g->contact_since = now;
	g->contact = quorum_contact;
	if (!quorum_contact)
		return;
	for (l = get_first_link(&g->records); l != NULL; l = next) {
		struct record *r = (struct record *)l;

		next = get_next_link(&g->records, l);
		if (r->service == NULL)
			continue;
		if (get_state_in_effect(r) == WIRE_ENDPOINT_GONE) {
			if (now - r->gone_ns >= REGISTRY_GONE_NS)
				forget_record(g, r);
		} else if (is_silent(g, r, now)) {
			expire_record(g, r, now);
		}
	}
}

uint64_t
get_registry_id(const struct registry *g)
{
	return g->registry_id;
}

/*
 * Returns the version of a service's set; 1 for a service without records, so
 * that an empty set can be held too.
 */
uint64_t
get_set_version(const struct registry *g, struct str service)
{
	const struct service *s =
	    find_service(g, service, hash_str(service, 0));

	return s != NULL ? s->set_version : 1;
}

uint64_t
get_newest_version(const struct registry *g)
{
	return g->counter;
}

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
	out->whole =
	    since == 0 || since > now || (s != NULL && since < s->purged);
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
		enum wire_endpoint_state state = get_state_in_effect(r);
		struct wire_endpoint *e;

		if (out->whole ? state == WIRE_ENDPOINT_GONE :
				 r->changed <= since)
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
	    &r->e, get_state_in_effect(r), r->owner, r->heard_ns};
	return true;
}

struct record *
find_record(const struct registry *g, struct str id)
{
	return (struct record *)find_link(
	    &g->records, hash_str(id, 0), match_record, &id);
}

/*
 * Orders announcements of one node by incarnation, then by sequence.
 */
int
compare_age(const struct wire_endpoint *a, const struct wire_endpoint *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

enum wire_endpoint_state
get_state_in_effect(const struct record *r)
{
	if (r->e.state == WIRE_ENDPOINT_GONE || r->life == LIFE_EXPIRED)
		return WIRE_ENDPOINT_GONE;
	return r->life == LIFE_SUSPECT ? WIRE_ENDPOINT_SUSPECT : r->e.state;
}

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
 * Names are printed in JSON and logs, so they hold printable ASCII only.
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
 * Adds a record, or replaces one that the caller found to be older; a
 * tombstone comes back to life.
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
	r->heard_ns = now;
	r->closed = false;
	r->life = LIFE_OK;
	rc = bind_service(g, r, make_str(r->e.service));
	if (rc == 0)
		touch_record(g, r, now);
	return rc;
}

/*
 * Gives the record's set a new version.
 */
void
touch_record(struct registry *g, struct record *r, int64_t now)
{
	r->changed = ++g->counter;
	r->service->set_version = r->changed;
	if (get_state_in_effect(r) == WIRE_ENDPOINT_GONE)
		r->gone_ns = now;
}

void
set_life(
    struct registry *g, struct record *r, int64_t now, enum record_life life)
{
	enum wire_endpoint_state before = get_state_in_effect(r);

	r->life = life;
	if (get_state_in_effect(r) != before)
		touch_record(g, r, now);
}

/*
 * Lists a record again in the state that its node announced. The state is
 * stored anew because a record that was expired when this process first saw
 * it came in as GONE.
 */
void
restore_record(struct registry *g, struct record *r, int64_t now,
    enum wire_endpoint_state state)
{
	enum wire_endpoint_state before = get_state_in_effect(r);

	r->e.state = state;
	r->life = LIFE_OK;
	if (get_state_in_effect(r) != before)
		touch_record(g, r, now);
}

/*
 * Expires a silent record, or marks it suspect when too many of its service
 * expired within the last minute: mass silence is more likely a fault of the
 * network than of that many backend servers.
 */
void
expire_record(struct registry *g, struct record *r, int64_t now)
{
	if (r->life == LIFE_EXPIRED)
		return;
	if (!may_expire(r->service, now)) {
		set_life(g, r, now, LIFE_SUSPECT);
		return;
	}
	set_life(g, r, now, LIFE_EXPIRED);
	if (r->owner == g->self)
		(void)queue_record(&g->changed_records, r, &r->record_queued);
}

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

static struct service *
open_service(struct registry *g, struct str name)
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
 * Puts the record into the list of its service, out of that of another one.
 */
static int
bind_service(struct registry *g, struct record *r, struct str service)
{
	struct service *s = open_service(g, service);

	if (s == r->service && s != NULL)
		return 0;
	if (r->service != NULL)
		leave_service(g, r);
	if (s == NULL) {
		forget_record(g, r);
		return ERR_MEMORY;
	}
	r->service = s;
	r->next = s->first;
	s->first = r;
	return 0;
}

/*
 * Takes the record out of its service's list. Nodes that hold an older version
 * of the set get it whole, because the removal is no longer listed.
 */
static void
leave_service(struct registry *g, struct record *r)
{
	struct record **p = &r->service->first;

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	if (get_state_in_effect(r) != WIRE_ENDPOINT_GONE ||
	    r->service->purged < r->changed) {
		r->service->purged = ++g->counter;
		r->service->set_version = g->counter;
	}
	r->service = NULL;
	r->next = NULL;
}

/*
 * Turns a record into a tombstone. It keeps the incarnation, so that a late
 * announcement of an earlier one cannot bring the node back.
 */
static void
forget_record(struct registry *g, struct record *r)
{
	drop_queued(&g->changed_records, r);
	drop_queued(&g->heard_records, r);
	r->record_queued = false;
	r->heard_queued = false;
	if (r->service != NULL) {
		/* A GONE record is not in a whole set: no new version. */
		struct service *s = r->service;
		uint64_t version = s->set_version, purged = s->purged;

		leave_service(g, r);
		s->set_version = version;
		s->purged = purged > r->changed ? purged : r->changed;
	}
	g->live_count--;
	if (g->newest_tombstone != NULL)
		g->newest_tombstone->next = r;
	else
		g->oldest_tombstone = r;
	g->newest_tombstone = r;
	g->tombstone_count++;
	if (g->tombstone_count > REGISTRY_TOMBSTONES_MAX)
		drop_tombstone(g);
}

static void
drop_tombstone(struct registry *g)
{
	struct record *r = g->oldest_tombstone;

	remove_tombstone(g, r);
	remove_link(&g->records, &r->link);
	free_record(r);
}

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
drop_queued(struct record_queue *q, const struct record *r)
{
	size_t n = 0;

	for (size_t i = 0; i < q->count; i++) {
		if (q->items[i] != r)
			q->items[n++] = q->items[i];
	}
	q->count = n;
}

/*
 * Counts an expiry if the service's share for the last minute allows it: 30%
 * of the records it had, and always one.
 */
static bool
may_expire(struct service *s, int64_t now)
{
	int64_t second = now / NSEC_PER_SEC;
	unsigned int recent = 0, live = 0, limit;

	for (int i = 0; i < REGISTRY_WINDOW_S; i++) {
		if (s->expired[i].second > second - REGISTRY_WINDOW_S)
			recent += s->expired[i].count;
	}
	for (const struct record *r = s->first; r != NULL; r = r->next) {
		if (get_state_in_effect(r) != WIRE_ENDPOINT_GONE)
			live++;
	}
	limit = (live + recent) * REGISTRY_EXPIRE_PCT / 100;
	if (limit == 0)
		limit = 1;
	if (recent >= limit)
		return false;
	int i = (int)(second % REGISTRY_WINDOW_S);

	if (s->expired[i].second != second) {
		s->expired[i].second = second;
		s->expired[i].count = 0;
	}
	s->expired[i].count++;
	return true;
}

static bool
is_silent(const struct registry *g, const struct record *r, int64_t now)
{
	int64_t heard = r->heard_ns, limit = REGISTRY_LEASE_NS;

	if (r->owner == REGISTRY_UPSTREAM)
		return false;
	if (r->owner == g->self && r->closed) {
		heard = r->closed_ns;
		limit = REGISTRY_CLOSED_NS;
	}
	if (heard < g->contact_since)
		heard = g->contact_since;
	return now - heard >= limit;
}

static void
free_record(struct record *r)
{
	unload_wire((xdrproc_t)xdr_wire_endpoint, &r->e);
	free(r);
}
