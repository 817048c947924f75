/*
 * Endpoint sets are immutable and replaced whole under a short lock. Records
 * are ordered by (incarnation, seq): an older one never replaces a newer one,
 * nor one removed within the last minute.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "agent_sets.h"

#define SET_TEXTS 6 /* texts of an endpoint */

struct tombstone {
	char id[WIRE_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t seq;
	int64_t at;
};

struct entry {
	char service[TABLE_NAME_BYTES];
	bool pinned;
	int64_t used_at;
	struct endpoint_set *set; /* NULL: not held */
	bool foreign; /* the set's version is of another registry */
	struct tombstone *tombstones;
	size_t tombstone_count;
	struct tombstone *retained; /* not named by the present registry */
	size_t retained_count;
};

struct set_store {
	pthread_mutex_t lock; /* leaf; sets are built outside it */
	struct entry *entries[WIRE_INTEREST_MAX];
	int count;
};

static bool is_service_name(struct str name);
static struct entry *find_entry(struct set_store *s, struct str service);
static void unref_set(struct endpoint_set *set);
static void free_entry(struct entry *e);
static int compare_records(const void *a, const void *b);
static const struct wire_endpoint *find_record(
    const struct endpoint_set *set, const char *id);
static bool is_older(
    const struct wire_endpoint *e, uint64_t incarnation, uint64_t seq);
static bool is_buried(const struct entry *e, const struct wire_endpoint *r);
static void bury_record(
    struct entry *e, const struct wire_endpoint *r, int64_t now);
static void drop_tombstones(struct entry *e, int64_t now);
static void retain_records(struct entry *e, const struct endpoint_set *old,
    const struct wire_endpoint_set *u, int64_t now);
static void forget_retained(struct entry *e, const struct wire_endpoint_set *u);
static struct endpoint_set *drop_retained(struct entry *e);
static size_t merge_records(struct entry *e, const struct wire_endpoint_set *u,
    const struct wire_endpoint **out, int64_t now);
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
 * Notes that the service is wanted; a pinned one never expires. Returns 1 when
 * it was not followed before, ERR_LIMIT when WIRE_INTEREST_MAX are followed
 * and ERR_INVALID for a bad name.
 */
int
add_interest(struct set_store *s, struct str service, bool pinned, int64_t now)
{
	struct entry *e;
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
 * Forgets services that nobody used for SETS_INTEREST_NS. Sets still held stay
 * valid.
 */
int
expire_interest(struct set_store *s, int64_t now)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (int i = s->count - 1; i >= 0; i--) {
		struct entry *e = s->entries[i];

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
 * Lists the services for a watch. Version 0 asks for the whole set.
 */
int
list_interest(struct set_store *s, struct wire_interest *out, int max)
{
	int n = 0;

	pthread_mutex_lock(&s->lock);
	for (; n < s->count && n < max; n++) {
		struct entry *e = s->entries[n];

		out[n].service = e->service;
		out[n].set_version =
		    e->set != NULL && !e->foreign ? e->set->set_version : 0;
	}
	pthread_mutex_unlock(&s->lock);
	return n;
}

/*
 * Returns the set with its count raised and notes the use; NULL when the
 * service is not followed or its set has not arrived.
 */
const struct endpoint_set *
acquire_set(struct set_store *s, struct str service, int64_t now)
{
	struct endpoint_set *set = NULL;
	struct entry *e;

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
 * Applies a set or its changes. When the versions cannot be compared, only a
 * whole set counts. Returns 1 when the set changed, 0 when there was nothing newer or the
 * service is not followed, ERR_CONFLICT for changes without their base and
 * ERR_MEMORY.
 */
int
apply_set(struct set_store *s, const struct wire_endpoint_set *u, int64_t now)
{
	const struct wire_endpoint **records;
	struct endpoint_set *made, *old;
	struct entry *e;
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
	drop_tombstones(e, now);
	n = merge_records(e, u, records, now);
	made = make_set(u->service, u->set_version, records, n);
	free(records);
	if (made == NULL)
		return ERR_MEMORY;
	if (u->whole && e->foreign && old != NULL)
		retain_records(e, old, u, now);
	else
		forget_retained(e, u);
	pthread_mutex_lock(&s->lock);
	e->set = made;
	e->foreign = false;
	if (old != NULL)
		unref_set(old);
	pthread_mutex_unlock(&s->lock);
	return 1;
}

/*
 * Removes the endpoints that the present registry has not named within
 * SETS_RETAIN_NS. Called by the thread that applies changes.
 */
int
expire_retained(struct set_store *s, int64_t now)
{
	int changed = 0;

	for (int i = 0; i < s->count; i++) {
		struct entry *e = s->entries[i];
		struct endpoint_set *made, *old = e->set;

		if (e->retained_count == 0 ||
		    now - e->retained[0].at < SETS_RETAIN_NS)
			continue;
		made = drop_retained(e);
		if (made == NULL)
			continue;
		e->retained_count = 0;
		pthread_mutex_lock(&s->lock);
		e->set = made;
		unref_set(old);
		pthread_mutex_unlock(&s->lock);
		changed++;
	}
	return changed;
}

/*
 * Sets stay in use, but their versions say nothing to the new registry.
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
		const struct entry *e = s->entries[i];

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
 * Names have the form that table cells allow, which JSON need not escape.
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

static struct entry *
find_entry(struct set_store *s, struct str service)
{
	for (int i = 0; i < s->count; i++) {
		if (is_str_equal(make_str(s->entries[i]->service), service))
			return s->entries[i];
	}
	return NULL;
}

static void
unref_set(struct endpoint_set *set)
{
	if (--set->refs == 0)
		free(set);
}

static void
free_entry(struct entry *e)
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

static bool
is_buried(const struct entry *e, const struct wire_endpoint *r)
{
	for (size_t i = 0; i < e->tombstone_count; i++) {
		const struct tombstone *t = &e->tombstones[i];

		if (strcmp(t->id, r->id) == 0)
			return is_older(r, t->incarnation, t->seq);
	}
	return false;
}

/*
 * Remembers a removed record; when the table is full, the oldest one makes
 * room.
 */
static void
bury_record(struct entry *e, const struct wire_endpoint *r, int64_t now)
{
	size_t at = 0;
	struct tombstone *t;

	while (
	    at < e->tombstone_count && strcmp(e->tombstones[at].id, r->id) != 0)
		at++;
	if (at == e->tombstone_count && at < SETS_TOMBSTONE_MAX) {
		t = realloc(e->tombstones, (at + 1) * sizeof(*t));
		if (t == NULL)
			return;
		e->tombstones = t;
		e->tombstone_count++;
	} else if (at == e->tombstone_count) {
		at = 0;
		for (size_t i = 1; i < e->tombstone_count; i++) {
			if (e->tombstones[i].at < e->tombstones[at].at)
				at = i;
		}
	}
	t = &e->tombstones[at];
	(void)copy_str(t->id, sizeof(t->id), make_str(r->id));
	t->incarnation = r->incarnation;
	t->seq = r->seq;
	t->at = now;
}

static void
drop_tombstones(struct entry *e, int64_t now)
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
 * number. out points into the old set and the update.
 */
static size_t
merge_records(struct entry *e, const struct wire_endpoint_set *u,
    const struct wire_endpoint **out, int64_t now)
{
	const struct wire_endpoint *held, *r;
	size_t n = 0, kept = 0, fresh = u->endpoints.endpoints_len;
	/* A whole set of another registry may lack what its peers know. */
	bool has_base = e->set != NULL && (!u->whole || e->foreign);

	for (size_t i = 0; i < fresh; i++) {
		r = &u->endpoints.endpoints_val[i];
		held = find_record(e->set, r->id);
		if (held != NULL && is_older(r, held->incarnation, held->seq)) {
			out[n++] = held;
		} else if (r->state == WIRE_ENDPOINT_GONE) {
			bury_record(e, r, now);
			out[n++] = r;
		} else if (!is_buried(e, r)) {
			out[n++] = r;
		}
	}
	qsort(out, n, sizeof(const void *), compare_records);
	for (size_t i = 0; i < n; i++) {
		if (kept == 0 || strcmp(out[kept - 1]->id, out[i]->id) != 0)
			out[kept++] = out[i];
		else if (is_older(
			     out[kept - 1], out[i]->incarnation, out[i]->seq))
			out[kept - 1] = out[i]; /* named twice */
	}
	n = kept;
	for (size_t i = 0; has_base && i < e->set->count; i++) {
		held = &e->set->endpoints[i];
		if (bsearch(&held, out, n, sizeof(const void *),
			compare_records) == NULL)
			out[kept++] = held;
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
 * Notes which records of the old set the new registry does not name.
 */
static void
retain_records(struct entry *e, const struct endpoint_set *old,
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
 * The registry has named these records, so they stay.
 */
static void
forget_retained(struct entry *e, const struct wire_endpoint_set *u)
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
drop_retained(struct entry *e)
{
	const struct wire_endpoint **records =
	    calloc(e->set->count + 1, sizeof(const void *));
	struct endpoint_set *made;
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
	made = make_set(e->set->service, e->set->set_version, records, n);
	free(records);
	return made;
}

/*
 * Copies the records and their strings into one block.
 */
static struct endpoint_set *
make_set(const char *service, uint64_t set_version,
    const struct wire_endpoint **records, size_t n)
{
	size_t size =
	    sizeof(struct endpoint_set) + n * sizeof(struct wire_endpoint);
	struct endpoint_set *set;
	char *at;

	for (size_t i = 0; i < n; i++)
		size += strlen(records[i]->id) + strlen(records[i]->service) +
			strlen(records[i]->address) + strlen(records[i]->zone) +
			strlen(records[i]->instance) +
			strlen(records[i]->backend) + SET_TEXTS;
	set = calloc(1, size);
	if (set == NULL)
		return NULL;
	(void)copy_str(set->service, sizeof(set->service), make_str(service));
	set->set_version = set_version;
	set->count = n;
	set->refs = 1;
	set->endpoints = (struct wire_endpoint *)(set + 1);
	at = (char *)(set->endpoints + n);
	for (size_t i = 0; i < n; i++) {
		struct wire_endpoint *to = &set->endpoints[i];
		char **const fields[SET_TEXTS] = {&to->id, &to->service,
		    &to->address, &to->zone, &to->instance, &to->backend};

		*to = *records[i];
		for (size_t k = 0; k < SET_TEXTS; k++) {
			size_t len = strlen(*fields[k]) + 1;

			memcpy(at, *fields[k], len);
			*fields[k] = at;
			at += len;
		}
	}
	return set;
}
