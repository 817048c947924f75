/*
 * Endpoint sets are immutable; a new one replaces the old one under a short
 * lock. Records are ordered by (incarnation, seq): an older one never replaces
 * a newer one, nor one removed within the last minute.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "agent_sets.h"

#define ENDPOINT_STRINGS 6 /* in struct wire_endpoint */

/* A removed record, or one that the current registry does not list. */
struct tombstone {
	char id[WIRE_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t seq;
	int64_t at; /* monotonic ns of the removal or the change of registry */
};

/* A service of interest and its set. */
struct service_entry {
	char service[TABLE_NAME_BYTES];
	bool pinned; /* never expires */
	int64_t used_at; /* monotonic ns */
	struct endpoint_set *set; /* NULL: not received yet */
	bool foreign; /* the set's version is of another registry */
	struct tombstone *tombstones;
	size_t tombstone_count;
	struct tombstone *retained; /* not listed by the current registry */
	size_t retained_count;
};

/*
 * Any thread may append an entry and read sets, so entries, count, used_at and
 * set need the lock. Only the agent's thread removes entries, replaces sets and
 * uses tombstones and retained records; it may keep an entry without the lock.
 */
struct set_store {
	pthread_mutex_t lock; /* leaf; sets are built outside it */
	struct service_entry *entries[WIRE_INTEREST_MAX];
	int count;
};

static bool is_service_name(struct str name);
static struct service_entry *get_entry(struct set_store *s, int i);
static struct service_entry *find_entry(
    struct set_store *s, struct str service);
static void unref_set(struct endpoint_set *set);
static void free_entry(struct service_entry *e);
static int compare_records(const void *a, const void *b);
static const struct wire_endpoint *find_record(
    const struct endpoint_set *set, const char *id);
static bool is_older(
    const struct wire_endpoint *e, uint64_t incarnation, uint64_t seq);
static bool has_newer_tombstone(
    const struct service_entry *e, const struct wire_endpoint *r);
static void add_tombstone(
    struct service_entry *e, const struct wire_endpoint *r, int64_t now);
static void expire_tombstones(struct service_entry *e, int64_t now);
static void mark_retained(struct service_entry *e,
    const struct endpoint_set *old, const struct wire_endpoint_set *u,
    int64_t now);
static void unmark_retained(
    struct service_entry *e, const struct wire_endpoint_set *u);
static struct endpoint_set *copy_without_retained(struct service_entry *e);
static size_t merge_records(struct service_entry *e,
    const struct wire_endpoint_set *u, const struct wire_endpoint **out,
    int64_t now);
static struct endpoint_set *make_set(const char *service, uint64_t set_version,
    const struct wire_endpoint **records, size_t n);

struct set_store *
open_set_store(void)
{
	struct set_store *s = calloc(1, sizeof(*s));

	if (s != NULL)
		pthread_mutex_init(&s->lock, NULL);
	return s;
}

void
close_set_store(struct set_store *s)
{
	if (s == NULL)
		return;
	for (int i = 0; i < s->count; i++)
		free_entry(s->entries[i]);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

/*
 * Subscribes to the service or renews its use; a pinned one never expires.
 * Returns 1 when it is new, 0 when it is known, ERR_LIMIT when there are
 * already WIRE_INTEREST_MAX services, ERR_INVALID for a bad name or
 * ERR_MEMORY.
 */
int
add_interest(struct set_store *s, struct str service, bool pinned, int64_t now)
{
	struct service_entry *e;
	int rc = 0;

	if (!is_service_name(service))
		return ERR_INVALID;
	pthread_mutex_lock(&s->lock);
	e = find_entry(s, service);
	if (e == NULL && s->count == WIRE_INTEREST_MAX) {
		rc = ERR_LIMIT;
	} else if (e == NULL) {
		e = calloc(1, sizeof(*e));
		rc = e != NULL ? 1 : ERR_MEMORY;
		if (e != NULL) {
			(void)copy_str(e->service, sizeof(e->service), service);
			s->entries[s->count++] = e;
		}
	}
	if (e != NULL) {
		e->pinned = e->pinned || pinned;
		e->used_at = now;
	}
	pthread_mutex_unlock(&s->lock);
	return rc;
}

/*
 * Removes services that were not used for SETS_INTEREST_NS. Sets that are
 * still referenced stay valid.
 */
int
expire_interest(struct set_store *s, int64_t now)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (int i = s->count - 1; i >= 0; i--) {
		struct service_entry *e = s->entries[i];

		if (e->pinned || now - e->used_at < SETS_INTEREST_NS)
			continue;
		s->entries[i] = s->entries[--s->count];
		free_entry(e);
		n++;
	}
	pthread_mutex_unlock(&s->lock);
	return n;
}

/*
 * Lists the services for a watch. Version 0 requests the full set.
 */
int
list_interest(struct set_store *s, struct wire_interest *out, int max)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (; n < s->count && n < max; n++) {
		struct service_entry *e = s->entries[n];

		out[n].service = e->service;
		out[n].set_version =
		    e->set != NULL && !e->foreign ? e->set->set_version : 0;
	}
	pthread_mutex_unlock(&s->lock);
	return n;
}

/*
 * Returns the set with its reference count raised and records the use. Returns
 * NULL when the service is not of interest or its set has not arrived.
 */
const struct endpoint_set *
acquire_set(struct set_store *s, struct str service, int64_t now)
{
	struct endpoint_set *set = NULL;
	struct service_entry *e;

	pthread_mutex_lock(&s->lock);
	e = find_entry(s, service);
	if (e != NULL) {
		e->used_at = now;
		set = e->set;
	}
	if (set != NULL)
		set->refs++;
	pthread_mutex_unlock(&s->lock);
	return set;
}

void
release_set(struct set_store *s, const struct endpoint_set *set)
{
	if (set == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	unref_set((struct endpoint_set *)(uintptr_t)set);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Applies a full set or changes. Versions of different registries cannot be
 * compared; after a change of registry only a full set is accepted. Returns 1
 * when the set changed, 0 when there is nothing newer or the service is not of
 * interest, ERR_CONFLICT for changes without their base, or ERR_MEMORY. Only
 * one thread may call it.
 */
int
apply_set(struct set_store *s, const struct wire_endpoint_set *u, int64_t now)
{
	const struct wire_endpoint **records;
	struct endpoint_set *new_set, *old;
	struct service_entry *e;
	size_t n;

	pthread_mutex_lock(&s->lock);
	e = find_entry(s, make_str(u->service));
	old = e != NULL ? e->set : NULL;
	pthread_mutex_unlock(&s->lock);
	if (e == NULL)
		return 0;
	if (!u->whole && (old == NULL || e->foreign))
		return ERR_CONFLICT;
	if (old != NULL && !e->foreign && u->set_version <= old->set_version)
		return 0;
	records = calloc(
	    (old != NULL ? old->count : 0) + u->endpoints.endpoints_len + 1,
	    sizeof(const void *));
	if (records == NULL)
		return ERR_MEMORY;
	expire_tombstones(e, now);
	n = merge_records(e, u, records, now);
	new_set = make_set(u->service, u->set_version, records, n);
	free(records);
	if (new_set == NULL)
		return ERR_MEMORY;
	if (u->whole && e->foreign && old != NULL)
		mark_retained(e, old, u, now);
	else
		unmark_retained(e, u);
	pthread_mutex_lock(&s->lock);
	e->set = new_set;
	e->foreign = false;
	if (old != NULL)
		unref_set(old);
	pthread_mutex_unlock(&s->lock);
	return 1;
}

/*
 * Removes the endpoints that the current registry has not listed within
 * SETS_RETAIN_NS, and returns the number of changed sets. Only the thread that
 * calls apply_set() may call it.
 */
int
expire_retained(struct set_store *s, int64_t now)
{
	struct service_entry *e;
	int changed = 0;

	for (int i = 0; (e = get_entry(s, i)) != NULL; i++) {
		struct endpoint_set *new_set, *old = e->set;

		if (e->retained_count == 0 ||
		    now - e->retained[0].at < SETS_RETAIN_NS)
			continue;
		new_set = copy_without_retained(e);
		if (new_set == NULL)
			continue;
		e->retained_count = 0;
		pthread_mutex_lock(&s->lock);
		e->set = new_set;
		unref_set(old);
		pthread_mutex_unlock(&s->lock);
		changed++;
	}
	return changed;
}

/*
 * The registry has changed: sets stay in use, but the next watch requests full
 * ones, since their versions mean nothing to the new registry.
 */
void
reset_set_versions(struct set_store *s)
{
	pthread_mutex_lock(&s->lock);
	for (int i = 0; i < s->count; i++)
		s->entries[i]->foreign = true;
	pthread_mutex_unlock(&s->lock);
}

int
render_sets(struct set_store *s, struct buf *out)
{
	int rc = append_buf_fmt(out, "[");

	pthread_mutex_lock(&s->lock);
	for (int i = 0; i < s->count && rc == 0; i++) {
		const struct service_entry *e = s->entries[i];

		rc = append_buf_fmt(out,
		    "%s{\"service\":\"%s\",\"held\":%s,\"set_version\":%llu,"
		    "\"endpoints\":%zu}",
		    i > 0 ? "," : "", e->service,
		    e->set != NULL ? "true" : "false",
		    (unsigned long long)(e->set != NULL ? e->set->set_version :
							  0),
		    e->set != NULL ? e->set->count : 0);
	}
	pthread_mutex_unlock(&s->lock);
	return rc != 0 ? rc : append_buf_fmt(out, "]");
}

/*
 * Accepts the names that table cells allow; JSON need not escape them.
 */
static bool
is_service_name(struct str name)
{
	for (size_t i = 0; i < name.len; i++) {
		char c = name.data[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') &&
		    c != '-')
			return false;
	}
	return name.len > 0 && name.len < TABLE_NAME_BYTES;
}

/*
 * Returns NULL after the last entry. Takes the lock.
 */
static struct service_entry *
get_entry(struct set_store *s, int i)
{
	struct service_entry *e;

	pthread_mutex_lock(&s->lock);
	e = i < s->count ? s->entries[i] : NULL;
	pthread_mutex_unlock(&s->lock);
	return e;
}

/*
 * The caller has the lock.
 */
static struct service_entry *
find_entry(struct set_store *s, struct str service)
{
	for (int i = 0; i < s->count; i++) {
		if (is_str_equal(make_str(s->entries[i]->service), service))
			return s->entries[i];
	}
	return NULL;
}

/*
 * The caller has the lock.
 */
static void
unref_set(struct endpoint_set *set)
{
	if (--set->refs == 0)
		free(set);
}

/*
 * Frees an entry; its set is freed with the last reference.
 */
static void
free_entry(struct service_entry *e)
{
	if (e->set != NULL)
		unref_set(e->set);
	free(e->tombstones);
	free(e->retained);
	free(e);
}

static int
compare_records(const void *a, const void *b)
{
	const struct wire_endpoint *const *x = a, *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/*
 * Binary search by id; NULL when set is NULL or has no such record.
 */
static const struct wire_endpoint *
find_record(const struct endpoint_set *set, const char *id)
{
	size_t lo = 0, hi = set != NULL ? set->count : 0;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		int c = strcmp(set->endpoints[mid].id, id);

		if (c == 0)
			return &set->endpoints[mid];
		if (c < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

static bool
is_older(const struct wire_endpoint *e, uint64_t incarnation, uint64_t seq)
{
	return e->incarnation < incarnation ||
	       (e->incarnation == incarnation && e->seq < seq);
}

/*
 * Returns whether the endpoint was removed with a newer record than r.
 */
static bool
has_newer_tombstone(
    const struct service_entry *e, const struct wire_endpoint *r)
{
	for (size_t i = 0; i < e->tombstone_count; i++) {
		const struct tombstone *t = &e->tombstones[i];

		if (strcmp(t->id, r->id) == 0)
			return is_older(r, t->incarnation, t->seq);
	}
	return false;
}

/*
 * Remembers a removed record. When SETS_TOMBSTONE_MAX are remembered, the
 * oldest is replaced; without memory the record is not remembered.
 */
static void
add_tombstone(
    struct service_entry *e, const struct wire_endpoint *r, int64_t now)
{
	size_t index = 0;
	struct tombstone *t;

	while (index < e->tombstone_count &&
	       strcmp(e->tombstones[index].id, r->id) != 0)
		index++;
	if (index == e->tombstone_count && index < SETS_TOMBSTONE_MAX) {
		t = realloc(e->tombstones, (index + 1) * sizeof(*t));
		if (t == NULL)
			return;
		e->tombstones = t;
		e->tombstone_count++;
	} else if (index == e->tombstone_count) {
		index = 0;
		for (size_t i = 1; i < e->tombstone_count; i++) {
			if (e->tombstones[i].at < e->tombstones[index].at)
				index = i;
		}
	}
	t = &e->tombstones[index];
	(void)copy_str(t->id, sizeof(t->id), make_str(r->id));
	t->incarnation = r->incarnation;
	t->seq = r->seq;
	t->at = now;
}

static void
expire_tombstones(struct service_entry *e, int64_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < e->tombstone_count; i++) {
		if (now - e->tombstones[i].at < SETS_TOMBSTONE_NS)
			e->tombstones[n++] = e->tombstones[i];
	}
	e->tombstone_count = n;
}

/*
 * Fills out with the records of the new set, sorted by id, and returns their
 * number. out needs space for all records of the old set and the update, and
 * points into them.
 */
static size_t
merge_records(struct service_entry *e, const struct wire_endpoint_set *u,
    const struct wire_endpoint **out, int64_t now)
{
	const struct wire_endpoint *known, *r;
	size_t n = 0, kept = 0, update_count = u->endpoints.endpoints_len;
	/* A full set of another registry may lack what its peers know. */
	bool has_base = e->set != NULL && (!u->whole || e->foreign);

	for (size_t i = 0; i < update_count; i++) {
		r = &u->endpoints.endpoints_val[i];
		known = find_record(e->set, r->id);
		if (known != NULL &&
		    is_older(r, known->incarnation, known->seq)) {
			out[n++] = known;
		} else if (r->state == WIRE_ENDPOINT_GONE) {
			add_tombstone(e, r, now);
			out[n++] = r;
		} else if (!has_newer_tombstone(e, r)) {
			out[n++] = r;
		}
	}
	qsort(out, n, sizeof(const void *), compare_records);
	for (size_t i = 0; i < n; i++) {
		if (kept == 0 || strcmp(out[kept - 1]->id, out[i]->id) != 0)
			out[kept++] = out[i];
		else if (is_older(
			     out[kept - 1], out[i]->incarnation, out[i]->seq))
			out[kept - 1] = out[i]; /* listed twice */
	}
	n = kept;
	for (size_t i = 0; has_base && i < e->set->count; i++) {
		known = &e->set->endpoints[i];
		if (bsearch(&known, out, n, sizeof(const void *),
			compare_records) == NULL)
			out[kept++] = known;
	}
	qsort(out, kept, sizeof(const void *), compare_records);
	n = 0;
	for (size_t i = 0; i < kept; i++) {
		if (out[i]->state != WIRE_ENDPOINT_GONE)
			out[n++] = out[i];
	}
	return n;
}

/*
 * Remembers which records of the old set the new registry does not list.
 */
static void
mark_retained(struct service_entry *e, const struct endpoint_set *old,
    const struct wire_endpoint_set *u, int64_t now)
{
	struct tombstone *t =
	    realloc(e->retained, (old->count + 1) * sizeof(*t));
	size_t n = 0, k;

	e->retained_count = 0;
	if (t == NULL)
		return;
	e->retained = t;
	for (size_t i = 0; i < old->count; i++) {
		for (k = 0; k < u->endpoints.endpoints_len; k++) {
			if (strcmp(u->endpoints.endpoints_val[k].id,
				old->endpoints[i].id) == 0)
				break;
		}
		if (k < u->endpoints.endpoints_len)
			continue;
		(void)copy_str(
		    t[n].id, sizeof(t[n].id), make_str(old->endpoints[i].id));
		t[n++].at = now;
	}
	e->retained_count = n;
}

/*
 * The registry has listed these records, so they do not expire.
 */
static void
unmark_retained(struct service_entry *e, const struct wire_endpoint_set *u)
{
	size_t n = 0;

	for (size_t i = 0; i < e->retained_count; i++) {
		size_t k = 0;

		while (k < u->endpoints.endpoints_len &&
		       strcmp(u->endpoints.endpoints_val[k].id,
			   e->retained[i].id) != 0)
			k++;
		if (k == u->endpoints.endpoints_len)
			e->retained[n++] = e->retained[i];
	}
	e->retained_count = n;
}

/*
 * Returns a copy of the set without the retained records, or NULL when out of
 * memory.
 */
static struct endpoint_set *
copy_without_retained(struct service_entry *e)
{
	const struct wire_endpoint **records =
	    calloc(e->set->count + 1, sizeof(const void *));
	struct endpoint_set *new_set;
	size_t n = 0;

	if (records == NULL)
		return NULL;
	for (size_t i = 0; i < e->set->count; i++) {
		const struct wire_endpoint *r = &e->set->endpoints[i];
		size_t k = 0;

		while (k < e->retained_count &&
		       strcmp(e->retained[k].id, r->id) != 0)
			k++;
		if (k == e->retained_count)
			records[n++] = r;
	}
	new_set = make_set(e->set->service, e->set->set_version, records, n);
	free(records);
	return new_set;
}

/*
 * Copies the records and their strings into one block, with one reference.
 * Returns NULL when out of memory.
 */
static struct endpoint_set *
make_set(const char *service, uint64_t set_version,
    const struct wire_endpoint **records, size_t n)
{
	size_t size =
	    sizeof(struct endpoint_set) + n * sizeof(struct wire_endpoint);
	struct endpoint_set *set;
	char *text;

	for (size_t i = 0; i < n; i++)
		size += strlen(records[i]->id) + strlen(records[i]->service) +
			strlen(records[i]->address) + strlen(records[i]->zone) +
			strlen(records[i]->instance) +
			strlen(records[i]->backend) + ENDPOINT_STRINGS;
	set = calloc(1, size);
	if (set == NULL)
		return NULL;
	(void)copy_str(set->service, sizeof(set->service), make_str(service));
	set->set_version = set_version;
	set->count = n;
	set->refs = 1;
	set->endpoints = (struct wire_endpoint *)(set + 1);
	text = (char *)(set->endpoints + n);
	for (size_t i = 0; i < n; i++) {
		struct wire_endpoint *to = &set->endpoints[i];
		char **const fields[ENDPOINT_STRINGS] = {&to->id, &to->service,
		    &to->address, &to->zone, &to->instance, &to->backend};

		*to = *records[i];
		for (size_t k = 0; k < ENDPOINT_STRINGS; k++) {
			size_t len = strlen(*fields[k]) + 1;

			memcpy(text, *fields[k], len);
			*fields[k] = text;
			text += len;
		}
	}
	return set;
}
