/*
 * State machine of claims:
 *
 *   none    -- open -->            OPEN     granted
 *   OPEN    -- open, same id -->   OPEN     granted again (lost answer)
 *   OPEN    -- close, same id -->  RAN, FAILED or NOT_RUN
 *   NOT_RUN -- open, new id -->    OPEN     granted
 *   none    -- close -->           as closed, so that a late open of the
 *                                  same id is not granted
 *
 * All else is a conflict that shows the claim which holds the key.
 */
#include <stdlib.h>
#include <string.h>

#include "claims.h"

struct claim_key {
	struct str kind;
	struct str key;
};

static void open_claim(struct claims *s, int64_t now_ns,
    const struct command *c, struct claim *held, struct command_result *r);
static void close_claim(struct claims *s, int64_t now_ns,
    const struct command *c, struct claim *held, struct command_result *r);
static struct claim *make_claim(struct claims *s, const struct command *c);
static int take_over_claim(
    struct claims *s, struct claim *held, const struct command *c);
static int retire_id(struct claim *held, const char *id);
static bool is_retired(const struct claim *held, const char *id);
static bool is_same_id(const struct claim *held, const struct command_claim *q);
static int store_answer(
    struct claims *s, struct claim *held, const struct command_claim *q);
static void drop_answer(struct claims *s, struct claim *held);
static int64_t get_expiry(int64_t now_ns, unsigned int keep_s);
static void show_claim(
    const struct claim *held, int status, struct command_result *r);
static struct claim *find_key(const struct claims *s, struct claim_key k);
static bool match_claim(const struct hash_link *l, const void *key);
static void drop_claim(struct claims *s, struct claim *held);
static void sweep_claims(struct claims *s, int64_t now_ns);
static int compare_claims(const void *a, const void *b);

void
apply_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	struct claim_key k = {make_str(q->kind), make_str(c->key)};
	struct claim *held;

	if (q->state < WIRE_CLAIM_OPEN || q->state > WIRE_CLAIM_NOT_RUN ||
	    k.kind.len == 0 || k.key.len == 0) {
		r->status = ERR_INVALID;
		return;
	}
	if (now_ns - s->swept_ns >= CLAIMS_SWEEP_NS)
		sweep_claims(s, now_ns);
	held = find_key(s, k);
	if (held != NULL && held->stored.expires_ns <= now_ns) {
		drop_claim(s, held);
		held = NULL;
	}
	if (held == NULL && s->index.count >= s->max)
		sweep_claims(s, now_ns);
	if (held == NULL && s->index.count >= s->max) {
		r->status = ERR_LIMIT;
		return;
	}
	if (q->state == WIRE_CLAIM_OPEN)
		open_claim(s, now_ns, c, held, r);
	else
		close_claim(s, now_ns, c, held, r);
}

const struct claim *
find_claim(const struct claims *s, struct str kind, struct str key)
{
	return find_key(s, (struct claim_key){kind, key});
}

/*
 * Adds a stored claim and takes over its memory, also on error.
 */
int
load_claim(struct claims *s, struct stored_claim *c)
{
	struct claim_key k = {make_str(c->kind), make_str(c->key)};
	struct claim *n = calloc(1, sizeof(*n));
	int rc = n != NULL ? insert_link(&s->index, &n->link,
				 hash_str(k.key, hash_str(k.kind, 0))) :
			     ERR_MEMORY;

	if (rc != 0) {
		free(n);
		unload_wire((xdrproc_t)xdr_stored_claim, c);
		return rc;
	}
	n->stored = *c;
	s->answer_bytes += c->answer.answer_len;
	return 0;
}

/*
 * Appends a record of every claim, in the order of kind and key, so that equal
 * states give equal bytes.
 */
int
save_claims(const struct claims *s, struct buf *out)
{
	const struct claim **all;
	size_t n = 0;
	int rc = 0;

	if (s->index.count == 0)
		return 0;
	all = calloc(s->index.count, sizeof(struct claim *));
	if (all == NULL)
		return ERR_MEMORY;
	for (struct hash_link *l = get_first_link(&s->index); l != NULL;
	     l = get_next_link(&s->index, l))
		all[n++] = (const struct claim *)l;
	qsort(all, n, sizeof(struct claim *), compare_claims);
	for (size_t i = 0; i < n && rc == 0; i++)
		rc = append_stored(out, STORED_CLAIM,
		    (xdrproc_t)xdr_stored_claim, &all[i]->stored);
	free(all);
	return rc;
}

void
clear_claims(struct claims *s)
{
	struct hash_link *l = get_first_link(&s->index), *next;

	for (; l != NULL; l = next) {
		next = get_next_link(&s->index, l);
		drop_claim(s, (struct claim *)l);
	}
	unload_index(&s->index);
	s->answer_bytes = 0;
	s->swept_ns = 0;
}

static void
open_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct claim *held, struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	int rc = 0;

	if (held == NULL) {
		held = make_claim(s, c);
		rc = held != NULL ? 0 : ERR_MEMORY;
	} else if (held->stored.state == WIRE_CLAIM_OPEN &&
		   is_same_id(held, q)) {
		show_claim(held, 0, r);
		return;
	} else if (held->stored.state == WIRE_CLAIM_NOT_RUN &&
		   !is_same_id(held, q) && !is_retired(held, q->claim_id)) {
		rc = take_over_claim(s, held, c);
	} else {
		rc = ERR_CONFLICT;
	}
	if (rc == 0) {
		held->stored.state = WIRE_CLAIM_OPEN;
		held->stored.expires_ns = get_expiry(now_ns, q->keep_s);
	}
	if (held != NULL)
		show_claim(held, rc, r);
	r->status = rc;
}

/*
 * The first close of an id counts. A close as not run of an id that does not
 * hold the key is acknowledged and remembered.
 */
static void
close_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct claim *held, struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	int rc = 0;

	if (held == NULL) {
		held = make_claim(s, c);
		if (held == NULL) {
			r->status = ERR_MEMORY;
			return;
		}
	} else if (!is_same_id(held, q)) {
		if (q->state == WIRE_CLAIM_NOT_RUN)
			rc = retire_id(held, q->claim_id);
		else
			rc = ERR_CONFLICT;
		show_claim(held, rc, r);
		return;
	} else if (held->stored.state != WIRE_CLAIM_OPEN) {
		if ((int)held->stored.state != q->state)
			rc = ERR_CONFLICT;
		show_claim(held, rc, r);
		return;
	}
	held->stored.state = q->state;
	held->stored.http_status = q->http_status;
	held->stored.expires_ns = get_expiry(now_ns, q->keep_s);
	rc = store_answer(s, held, q);
	show_claim(held, rc, r);
}

static struct claim *
make_claim(struct claims *s, const struct command *c)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	struct stored_claim n = {.incarnation = q->incarnation};

	n.kind = strdup(q->kind);
	n.key = strdup(c->key);
	n.node = strdup(q->node);
	memcpy(n.claim_id, q->claim_id, sizeof(n.claim_id));
	if (n.kind == NULL || n.key == NULL || n.node == NULL) {
		unload_wire((xdrproc_t)xdr_stored_claim, &n);
		return NULL;
	}
	if (load_claim(s, &n) != 0)
		return NULL;
	return find_key(
	    s, (struct claim_key){make_str(q->kind), make_str(c->key)});
}

/*
 * Gives a claim that did not run to another id.
 */
static int
take_over_claim(struct claims *s, struct claim *held, const struct command *c)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	char *node = strdup(q->node);
	int rc =
	    node != NULL ? retire_id(held, held->stored.claim_id) : ERR_MEMORY;

	if (rc != 0) {
		free(node);
		return rc;
	}
	drop_answer(s, held);
	held->stored.http_status = 0;
	free(held->stored.node);
	held->stored.node = node;
	held->stored.incarnation = q->incarnation;
	memcpy(
	    held->stored.claim_id, q->claim_id, sizeof(held->stored.claim_id));
	return 0;
}

/*
 * Remembers an id that was closed as not run; a request of it that arrives
 * later must not open the claim for nobody. The oldest id goes first.
 */
static int
retire_id(struct claim *held, const char *id)
{
	struct stored_claim *c = &held->stored;
	unsigned int n = c->retired.retired_len;
	struct stored_claim_id *ids;

	if (is_retired(held, id))
		return 0;
	/* A loaded claim holds an array that is only as long as needed. */
	ids = realloc(c->retired.retired_val,
	    COMMAND_RETIRED_MAX * sizeof(*c->retired.retired_val));
	if (ids == NULL)
		return ERR_MEMORY;
	c->retired.retired_val = ids;
	if (n == COMMAND_RETIRED_MAX) {
		memmove(c->retired.retired_val, c->retired.retired_val + 1,
		    (n - 1) * sizeof(*c->retired.retired_val));
		n--;
	}
	memcpy(c->retired.retired_val[n].id, id, COMMAND_CLAIM_ID_BYTES);
	c->retired.retired_len = n + 1;
	return 0;
}

static bool
is_retired(const struct claim *held, const char *id)
{
	for (unsigned int i = 0; i < held->stored.retired.retired_len; i++) {
		if (memcmp(held->stored.retired.retired_val[i].id, id,
			COMMAND_CLAIM_ID_BYTES) == 0)
			return true;
	}
	return false;
}

static bool
is_same_id(const struct claim *held, const struct command_claim *q)
{
	return memcmp(held->stored.claim_id, q->claim_id,
		   sizeof(q->claim_id)) == 0;
}

/*
 * Keeps the response for resends. Beyond the bound of all responses it is
 * dropped and marked as not whole; the claim itself stays.
 */
static int
store_answer(
    struct claims *s, struct claim *held, const struct command_claim *q)
{
	size_t len = q->answer.answer_len;
	char *copy = NULL;

	drop_answer(s, held);
	if (s->answer_bytes + len > CLAIMS_ANSWER_BYTES)
		return 0;
	if (len > 0) {
		copy = malloc(len);
		if (copy == NULL)
			return ERR_MEMORY;
		memcpy(copy, q->answer.answer_val, len);
	}
	held->stored.answer.answer_val = copy;
	held->stored.answer.answer_len = (unsigned int)len;
	held->stored.answer_whole = q->answer_whole;
	s->answer_bytes += len;
	return 0;
}

static void
drop_answer(struct claims *s, struct claim *held)
{
	s->answer_bytes -= held->stored.answer.answer_len;
	free(held->stored.answer.answer_val);
	held->stored.answer.answer_val = NULL;
	held->stored.answer.answer_len = 0;
	held->stored.answer_whole = FALSE;
}

static int64_t
get_expiry(int64_t now_ns, unsigned int keep_s)
{
	if (keep_s < CLAIM_KEEP_MIN_S)
		keep_s = CLAIM_KEEP_MIN_S;
	if (keep_s > CLAIM_KEEP_MAX_S)
		keep_s = CLAIM_KEEP_MAX_S;
	return now_ns + (int64_t)keep_s * NSEC_PER_SEC;
}

static void
show_claim(const struct claim *held, int status, struct command_result *r)
{
	r->status = status;
	r->claim_state = held->stored.state;
	r->holder = held->stored.node;
	r->http_status = held->stored.http_status;
	r->answer.answer_val = held->stored.answer.answer_val;
	r->answer.answer_len = held->stored.answer.answer_len;
	r->answer_whole = held->stored.answer_whole;
}

static struct claim *
find_key(const struct claims *s, struct claim_key k)
{
	return (struct claim *)find_link(
	    &s->index, hash_str(k.key, hash_str(k.kind, 0)), match_claim, &k);
}

static bool
match_claim(const struct hash_link *l, const void *key)
{
	const struct claim *c = (const struct claim *)l;
	const struct claim_key *k = key;

	return is_str_equal(make_str(c->stored.key), k->key) &&
	       is_str_equal(make_str(c->stored.kind), k->kind);
}

static void
drop_claim(struct claims *s, struct claim *held)
{
	s->answer_bytes -= held->stored.answer.answer_len;
	remove_link(&s->index, &held->link);
	unload_wire((xdrproc_t)xdr_stored_claim, &held->stored);
	free(held);
}

/*
 * Drops the claims whose retention has ended.
 */
static void
sweep_claims(struct claims *s, int64_t now_ns)
{
	struct hash_link *l = get_first_link(&s->index), *next;

	s->swept_ns = now_ns;
	for (; l != NULL; l = next) {
		struct claim *c = (struct claim *)l;

		next = get_next_link(&s->index, l);
		if (c->stored.expires_ns <= now_ns)
			drop_claim(s, c);
	}
}

static int
compare_claims(const void *a, const void *b)
{
	const struct claim *x = *(const struct claim *const *)a;
	const struct claim *y = *(const struct claim *const *)b;
	int c = strcmp(x->stored.kind, y->stored.kind);

	return c != 0 ? c : strcmp(x->stored.key, y->stored.key);
}
