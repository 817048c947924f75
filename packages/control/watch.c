/*
 * Decisions and encoded replies of the watch service.
 */
#include <stdlib.h>
#include <string.h>

#include "watch.h"

/* What a node lacks of its endpoint sets. */
enum set_news {
	SETS_SAME,
	SETS_CHANGED,
	SETS_MISSING, /* it has none of some service, or of another registry */
};

static enum set_news find_set_news(
    const struct registry *g, const struct wire_watch_args *a);
static bool has_newer_set(
    const struct registry *g, const struct wire_watch_args *a);
static uint64_t get_outdating_incarnation(
    const struct registry *g, const struct wire_watch_args *a);
static uint64_t digest_reply_inputs(const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a);
static uint64_t hash_number(uint64_t number, uint64_t seed);
static uint64_t get_known_set_version(const struct registry *g,
    const struct wire_watch_args *a, const struct wire_interest *i);
static int render_full_table(struct watch_cache *c, const struct state *s);
static int fill_update(struct watch_cache *c, const struct state *s,
    uint64_t base, struct watch_update *u);
static int make_delta(const struct state *s, uint64_t base, struct buf *out);
static void fill_table(const struct state *s, const struct watch_update *u,
    struct wire_table_update *out);
static int fill_sets(const struct registry *g, const struct wire_watch_args *a,
    size_t used, struct wire_watch_reply *r);
static void unload_sets(struct wire_watch_reply *r);

/*
 * Decides whether a watch is answered now. Changes of sets wait until they are
 * due; a node without a set gets it at once. While the whole group starts, a
 * watch stays pending until its timeout: the first leader is elected soon, and
 * a refused node would reconnect only after its delay.
 */
enum watch_verdict
decide_watch(const struct watch_view *v, const struct wire_watch_args *a)
{
	if (v->stale && v->starting && !v->timed_out)
		return WATCH_PENDING;
	if (v->stale)
		return WATCH_STALE;
	if (a->held_version == 0 && !v->confirmed)
		return WATCH_NEEDS_READ;
	if (v->timed_out || needs_table(v->version, a) ||
	    get_outdating_incarnation(v->registry, a) != 0)
		return WATCH_REPLY;
	switch (find_set_news(v->registry, a)) {
	case SETS_MISSING:
		return WATCH_REPLY;
	case SETS_CHANGED:
		return v->sets_due ? WATCH_REPLY : WATCH_PENDING;
	case SETS_SAME:
		break;
	}
	return WATCH_PENDING;
}

int64_t
get_set_interval(size_t pending_watches)
{
	int64_t interval = (int64_t)pending_watches * WATCH_SET_SPACING_NS;

	return interval < WATCH_SET_INTERVAL_MAX_NS ? interval :
						      WATCH_SET_INTERVAL_MAX_NS;
}

/*
 * Tells whether the node gets the table in force. A version that the node
 * refused is not sent again; the node waits for the next one.
 */
bool
needs_table(uint64_t version, const struct wire_watch_args *a)
{
	return version > a->held_version && version != a->refused_version;
}

void
open_bucket(struct token_bucket *b, uint32_t rate, int64_t now)
{
	b->rate = rate != 0 ? rate : WATCH_TOKEN_RATE;
	b->refilled_ns = now;
	b->tokens = b->rate;
	b->retry_backlog = 0;
}

/*
 * Consumes count tokens. The retry delay grows with the tokens of the requests
 * refused before, so that these retry at the rate at which they can be served.
 * A full bucket serves a request of any size.
 */
int
consume_tokens(struct token_bucket *b, uint32_t count, int64_t now)
{
	double add = (double)(now - b->refilled_ns) / NSEC_PER_SEC * b->rate;
	double need = count < b->rate ? count : b->rate;
	double ms;

	if (add > 0) {
		b->refilled_ns = now;
		b->tokens += add;
		b->retry_backlog -= add;
	}
	if (b->tokens > b->rate)
		b->tokens = b->rate;
	if (b->retry_backlog < 0)
		b->retry_backlog = 0;
	if (b->tokens >= need) {
		b->tokens -= need;
		return 0;
	}
	b->retry_backlog += need;
	ms = (b->retry_backlog + need - b->tokens) * 1000.0 / b->rate;
	if (ms > WATCH_RETRY_MAX_MS)
		ms = WATCH_RETRY_MAX_MS;
	return ms < 1 ? 1 : (int)ms;
}

/*
 * Returns the cached update from base to the table in force, or builds it in
 * place of the one that was built longest ago. A new version clears the cache.
 */
int
find_update(struct watch_cache *c, const struct state *s, uint64_t base,
    struct watch_update **out)
{
	struct watch_update *u;
	int rc;

	if (c->version != s->table->version)
		clear_cache(c);
	c->version = s->table->version;
	for (size_t i = 0; i < WATCH_CACHE_MAX; i++) {
		u = &c->updates[i];
		if (u->used && u->base == base) {
			*out = u;
			return 0;
		}
	}
	u = &c->updates[c->next_evicted];
	c->next_evicted = (c->next_evicted + 1) % WATCH_CACHE_MAX;
	unload_buf(&u->body);
	unload_buf(&u->reply);
	*u = (struct watch_update){.base = base};
	rc = fill_update(c, s, base, u);
	if (rc != 0)
		return rc;
	u->used = true;
	*out = u;
	return 0;
}

void
clear_cache(struct watch_cache *c)
{
	for (size_t i = 0; i < WATCH_CACHE_MAX; i++) {
		unload_buf(&c->updates[i].body);
		unload_buf(&c->updates[i].reply);
		c->updates[i].used = false;
	}
	for (size_t i = 0; i < WATCH_PACKED_MAX; i++) {
		unload_buf(&c->packed[i].reply);
		c->packed[i].key = 0;
	}
	unload_buf(&c->full_table);
	c->next_evicted = c->next_packed = 0;
}

/*
 * A reply with neither sets nor control processes is the same for all nodes
 * with one base version (shareable): it is encoded once and cached, with the
 * stamp of the first one. A reply to a node that has to announce itself again
 * is never shared.
 */
int
encode_watch_reply(struct watch_cache *c, const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a, const struct wire_hlc *stamp,
    struct buf *out)
{
	struct wire_watch_reply r = {.status = WIRE_OK, .stamp = *stamp};
	struct watch_update *u = NULL;
	bool sends_controls = controls->digest != 0 &&
			      a->controls_digest != 0 &&
			      controls->digest != a->controls_digest;
	uint64_t newer = get_outdating_incarnation(g, a);
	bool shareable = !sends_controls && !has_newer_set(g, a) && newer == 0;
	int rc = 0;

	if (newer != 0) {
		r.retry_ms = WIRE_RETRY_ANNOUNCE;
		if (r.stamp.wall_ns < (int64_t)newer)
			r.stamp = (struct wire_hlc){(int64_t)newer, 0};
	}
	r.registry_id = get_registry_id(g);
	r.table.table_version = s->table->version;
	r.table.digest = s->table->digest;
	if (needs_table(s->table->version, a))
		rc = find_update(c, s, a->held_version, &u);
	if (rc != 0)
		return rc;
	if (shareable && u != NULL && u->reply.len > 0)
		return append_buf_str(out, view_buf(&u->reply));
	if (u != NULL)
		fill_table(s, u, &r.table);
	if (sends_controls) {
		r.controls_digest = controls->digest;
		r.controls.controls_val = controls->members;
		r.controls.controls_len = controls->count;
	}
	if (!shareable)
		rc = fill_sets(g, a, r.table.body.body_len, &r);
	if (rc == 0 && shareable && u != NULL) {
		rc =
		    encode_wire((xdrproc_t)xdr_wire_watch_reply, &r, &u->reply);
		if (rc == 0)
			rc = append_buf_str(out, view_buf(&u->reply));
		c->encoded++;
	} else if (rc == 0) {
		rc = encode_wire((xdrproc_t)xdr_wire_watch_reply, &r, out);
		c->encoded++;
	}
	unload_sets(&r);
	return rc;
}

/*
 * Nodes that have the same versions get the same bytes, packed once and kept,
 * with the stamp of the first one.
 */
int
encode_packed_reply(struct watch_cache *c, const struct state *s,
    const struct registry *g, const struct watch_controls *controls,
    const struct wire_watch_args *a, const struct wire_hlc *stamp,
    struct buf *out)
{
	uint64_t key = digest_reply_inputs(s, g, controls, a);
	struct packed_reply *p;
	struct buf plain = {0};
	int rc;

	if (get_outdating_incarnation(g, a) != 0) {
		rc = encode_watch_reply(c, s, g, controls, a, stamp, &plain);
		if (rc == 0)
			rc = pack_wire(view_buf(&plain), out);
		unload_buf(&plain);
		return rc;
	}
	for (size_t i = 0; i < WATCH_PACKED_MAX; i++) {
		if (c->packed[i].key == key)
			return append_buf_str(
			    out, view_buf(&c->packed[i].reply));
	}
	rc = encode_watch_reply(c, s, g, controls, a, stamp, &plain);
	/* Encoding may have cleared the cache for a new table version. */
	p = &c->packed[c->next_packed];
	c->next_packed = (c->next_packed + 1) % WATCH_PACKED_MAX;
	p->key = 0;
	p->reply.len = 0;
	if (rc == 0)
		rc = pack_wire(view_buf(&plain), &p->reply);
	unload_buf(&plain);
	if (rc != 0)
		return rc;
	p->key = key;
	return append_buf_str(out, view_buf(&p->reply));
}

int
encode_watch_refusal(wire_status status, int retry_ms,
    const struct wire_hlc *stamp, struct buf *out)
{
	struct wire_watch_reply r = {
	    .status = status, .stamp = *stamp, .retry_ms = retry_ms};

	return encode_wire((xdrproc_t)xdr_wire_watch_reply, &r, out);
}

/*
 * Returns the tokens that an update costs: none for a delta, else one plus one
 * for every WATCH_TOKEN_BYTES.
 */
uint32_t
get_update_tokens(const struct watch_update *u, bool packed)
{
	size_t token_bytes =
	    packed ? WATCH_TOKEN_BYTES * WATCH_PACKED_RATIO : WATCH_TOKEN_BYTES;

	if (u->form != WIRE_TABLE_WHOLE)
		return 0;
	return (uint32_t)(1 + u->body.len / token_bytes);
}

static enum set_news
find_set_news(const struct registry *g, const struct wire_watch_args *a)
{
	enum set_news news = SETS_SAME;

	for (unsigned int k = 0; k < a->interest.interest_len; k++) {
		const struct wire_interest *i = &a->interest.interest_val[k];
		uint64_t known = get_known_set_version(g, a, i);

		if (get_set_version(g, make_str(i->service)) == known)
			continue;
		if (known == 0)
			return SETS_MISSING;
		news = SETS_CHANGED;
	}
	return news;
}

static bool
has_newer_set(const struct registry *g, const struct wire_watch_args *a)
{
	return find_set_news(g, a) != SETS_SAME;
}

/*
 * Returns the incarnation of a record that outdates the announced one; 0: none.
 */
static uint64_t
get_outdating_incarnation(
    const struct registry *g, const struct wire_watch_args *a)
{
	return a->self != NULL ? get_newer_incarnation(g, a->self) : 0;
}

/*
 * Returns a digest, never 0, of everything that a reply depends on but its
 * stamp: the table and the base of its update, the sets and the versions of
 * them that the node has, and the control processes.
 */
static uint64_t
digest_reply_inputs(const struct state *s, const struct registry *g,
    const struct watch_controls *controls, const struct wire_watch_args *a)
{
	uint64_t h = hash_number(s->table->digest, s->table->version);

	h = hash_number(
	    needs_table(s->table->version, a) ? a->held_version + 1 : 0, h);
	h = hash_number(
	    a->controls_digest != 0 && controls->digest != a->controls_digest ?
		controls->digest :
		0,
	    h);
	h = hash_number(get_registry_id(g), h);
	h = hash_number(get_newest_version(g), h);
	for (unsigned int k = 0; k < a->interest.interest_len; k++) {
		const struct wire_interest *i = &a->interest.interest_val[k];

		h = hash_str(make_str(i->service), h);
		h = hash_number(get_known_set_version(g, a, i), h);
	}
	return h != 0 ? h : 1;
}

static uint64_t
hash_number(uint64_t number, uint64_t seed)
{
	return hash_str(
	    make_str_n((const char *)&number, sizeof(number)), seed);
}

/*
 * Returns the set version that the node has, or 0 when the version belongs to
 * the registry of another process or of an earlier run.
 */
static uint64_t
get_known_set_version(const struct registry *g, const struct wire_watch_args *a,
    const struct wire_interest *i)
{
	return a->registry_id == get_registry_id(g) ? i->set_version : 0;
}

/*
 * Builds the body: a delta when the history covers base and the delta is
 * shorter than the full table, else the full table.
 */
static int
fill_update(struct watch_cache *c, const struct state *s, uint64_t base,
    struct watch_update *u)
{
	struct buf delta = {0};
	bool covered = base != 0 && covers_version(&s->history, s->table, base);
	int rc = covered ? make_delta(s, base, &delta) : 0;

	if (rc == 0 && (!covered || delta.len >= get_csv_length_min(s->table)))
		rc = render_full_table(c, s);
	if (rc != 0) {
		unload_buf(&delta);
		return rc;
	}
	if (covered &&
	    (c->full_table.len == 0 || delta.len < c->full_table.len)) {
		u->form = WIRE_TABLE_DELTA;
		u->body = delta;
		return 0;
	}
	unload_buf(&delta);
	rc = render_full_table(c, s);
	if (rc != 0)
		return rc;
	u->form = WIRE_TABLE_WHOLE;
	return append_buf_str(&u->body, view_buf(&c->full_table));
}

/*
 * Renders the table in force unless that has been done for its version.
 */
static int
render_full_table(struct watch_cache *c, const struct state *s)
{
	if (c->full_table.len > 0)
		return 0;
	return render_table_csv(s->table, &c->full_table);
}

/*
 * Appends the cells that differ between the base and the table in force.
 */
static int
make_delta(const struct state *s, uint64_t base, struct buf *out)
{
	struct cell_list l = {0};
	struct table *old = NULL;
	struct fault f = {0};
	int rc = rebuild_table(&s->history, s->table, base, &old, &f);

	if (rc == 0)
		rc = diff_tables(old, s->table, &l);
	if (rc == 0)
		rc = encode_cells(&l, out);
	unload_cells(&l);
	unload_table(old);
	return rc;
}

static void
fill_table(const struct state *s, const struct watch_update *u,
    struct wire_table_update *out)
{
	out->table_version = s->table->version;
	out->digest = s->table->digest;
	out->base = u->form == WIRE_TABLE_DELTA ? u->base : 0;
	out->form = u->form;
	out->body.body_val = u->body.data;
	out->body.body_len = (unsigned int)u->body.len;
}

/*
 * Adds the sets that changed. Sets that do not fit are omitted; the node gets
 * them with its next watch, which still names its old version of them. used is
 * the size of the table update in bytes.
 */
static int
fill_sets(const struct registry *g, const struct wire_watch_args *a,
    size_t used, struct wire_watch_reply *r)
{
	size_t n = a->interest.interest_len;
	int rc = 0;

	r->sets.sets_val = calloc(n, sizeof(struct wire_endpoint_set));
	if (r->sets.sets_val == NULL)
		return ERR_MEMORY;
	for (size_t k = 0; k < n && rc == 0; k++) {
		const struct wire_interest *i = &a->interest.interest_val[k];
		struct str service = make_str(i->service);
		uint64_t known = get_known_set_version(g, a, i);
		struct wire_endpoint_set *set =
		    &r->sets.sets_val[r->sets.sets_len];

		if (get_set_version(g, service) == known)
			continue;
		rc = list_endpoints(g, service, known, set);
		r->sets.sets_len++;
		used += xdr_sizeof((xdrproc_t)xdr_wire_endpoint_set, set);
		if (used > WATCH_REPLY_BYTES) {
			r->sets.sets_len--;
			free(set->endpoints.endpoints_val);
			break;
		}
	}
	return rc;
}

static void
unload_sets(struct wire_watch_reply *r)
{
	for (unsigned int k = 0; k < r->sets.sets_len; k++)
		free(r->sets.sets_val[k].endpoints.endpoints_val);
	free(r->sets.sets_val);
}
