/*
 * State machine of claims:
 *
 *   none    -- open -->            OPEN     granted
 *   OPEN    -- open, same id -->   OPEN     granted again (reply was lost)
 *   OPEN    -- close, same id -->  RAN, FAILED or NOT_RUN
 *   NOT_RUN -- open, new id -->    OPEN     granted
 *   none    -- close -->           RAN, FAILED or NOT_RUN, so that a delayed
 *                                  open of the same id is not granted
 *
 * Any other request is a conflict; its result shows the claim of the key.
 */
#include <stdlib.h>
#include <string.h>

#include "claims.h"

/* A claim is found by its table row and its idempotency key. */
struct claim_key {
	struct str kind;
	struct str key;
};

static void open_claim(struct claims *s, int64_t now_ns,
    const struct command *c, struct claim *entry, struct command_result *r);
static void close_claim(struct claims *s, int64_t now_ns,
    const struct command *c, struct claim *entry, struct command_result *r);
static struct claim *add_claim(struct claims *s, const struct command *c);
static int reassign_claim(
    struct claims *s, struct claim *entry, const struct command *c);
static int retire_id(struct claim *entry, const char *id);
static bool is_retired(const struct claim *entry, const char *id);
static bool is_same_id(
    const struct claim *entry, const struct command_claim *q);
static int store_answer(
    struct claims *s, struct claim *entry, const struct command_claim *q);
static void discard_answer(struct claims *s, struct claim *entry);
static int64_t get_expiry(int64_t now_ns, unsigned int keep_s);
static void set_claim_result(
    const struct claim *entry, int status, struct command_result *r);
static struct claim *look_up_claim(const struct claims *s, struct claim_key k);
static bool match_claim(const struct hash_link *l, const void *key);
static void remove_claim(struct claims *s, struct claim *entry);
static void sweep_claims(struct claims *s, int64_t now_ns);
static int compare_claims(const void *a, const void *b);

/*
 * A full store is swept first; ERR_LIMIT when no retention has ended, because
 * evicting a claim would let its call run again.
 */
void
apply_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	struct claim_key k = {make_str(q->kind), make_str(c->key)};
	struct claim *entry;

	if (q->state < WIRE_CLAIM_OPEN || q->state > WIRE_CLAIM_NOT_RUN ||
	    k.kind.len == 0 || k.key.len == 0) {
		r->status = ERR_INVALID;
		return;
	}
	if (now_ns - s->swept_ns >= CLAIMS_SWEEP_NS)
		sweep_claims(s, now_ns);
	entry = look_up_claim(s, k);
	if (entry != NULL && entry->stored.expires_ns <= now_ns) {
		remove_claim(s, entry);
		entry = NULL;
	}
	if (entry == NULL && s->index.count >= s->max)
		sweep_claims(s, now_ns);
	if (entry == NULL && s->index.count >= s->max) {
		r->status = ERR_LIMIT;
		return;
	}
	if (q->state == WIRE_CLAIM_OPEN)
		open_claim(s, now_ns, c, entry, r);
	else
		close_claim(s, now_ns, c, entry, r);
}

const struct claim *
find_claim(const struct claims *s, struct str kind, struct str key)
{
	return look_up_claim(s, (struct claim_key){kind, key});
}

/*
 * Adds a stored claim and takes ownership of its memory, also on error. Returns
 * ERR_MEMORY.
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
 * Appends a snapshot record for every claim, sorted by kind and key, so that
 * equal states have equal snapshots. Returns ERR_MEMORY.
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
		remove_claim(s, (struct claim *)l);
	}
	unload_index(&s->index);
	s->answer_bytes = 0;
	s->swept_ns = 0;
}

/*
 * Grants the claim to the id of the command, or fails with ERR_CONFLICT. entry
 * is the claim of the key; NULL: none.
 */
static void
open_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct claim *entry, struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	int rc = 0;

	if (entry == NULL) {
		entry = add_claim(s, c);
		rc = entry != NULL ? 0 : ERR_MEMORY;
	} else if (entry->stored.state == WIRE_CLAIM_OPEN &&
		   is_same_id(entry, q)) {
		set_claim_result(entry, 0, r);
		return;
	} else if (entry->stored.state == WIRE_CLAIM_NOT_RUN &&
		   !is_same_id(entry, q) && !is_retired(entry, q->claim_id)) {
		rc = reassign_claim(s, entry, c);
	} else {
		rc = ERR_CONFLICT;
	}
	if (rc == 0) {
		entry->stored.state = WIRE_CLAIM_OPEN;
		entry->stored.expires_ns = get_expiry(now_ns, q->keep_s);
	}
	if (entry != NULL)
		set_claim_result(entry, rc, r);
	r->status = rc;
}

/*
 * Only the first close of an id takes effect; a repeated one succeeds, a
 * different one is a conflict. A close as NOT_RUN by an id that does not own
 * the claim is acknowledged, and the id is retired.
 */
static void
close_claim(struct claims *s, int64_t now_ns, const struct command *c,
    struct claim *entry, struct command_result *r)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	int rc = 0;

	if (entry == NULL) {
		entry = add_claim(s, c);
		if (entry == NULL) {
			r->status = ERR_MEMORY;
			return;
		}
	} else if (!is_same_id(entry, q)) {
		if (q->state == WIRE_CLAIM_NOT_RUN)
			rc = retire_id(entry, q->claim_id);
		else
			rc = ERR_CONFLICT;
		set_claim_result(entry, rc, r);
		return;
	} else if (entry->stored.state != WIRE_CLAIM_OPEN) {
		if ((int)entry->stored.state != q->state)
			rc = ERR_CONFLICT;
		set_claim_result(entry, rc, r);
		return;
	}
	entry->stored.state = q->state;
	entry->stored.http_status = q->http_status;
	entry->stored.expires_ns = get_expiry(now_ns, q->keep_s);
	rc = store_answer(s, entry, q);
	set_claim_result(entry, rc, r);
}

/*
 * Adds a claim for the command's key; the caller sets its state. NULL: out of
 * memory.
 */
static struct claim *
add_claim(struct claims *s, const struct command *c)
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
	return look_up_claim(
	    s, (struct claim_key){make_str(q->kind), make_str(c->key)});
}

/*
 * Reassigns a claim that was closed as NOT_RUN to the id of the command. The
 * former id is retired and the stored response freed. Returns ERR_MEMORY.
 */
static int
reassign_claim(struct claims *s, struct claim *entry, const struct command *c)
{
	const struct command_claim *q = &c->body.command_body_u.claim;
	char *node = strdup(q->node);
	int rc = node != NULL ? retire_id(entry, entry->stored.claim_id) :
				ERR_MEMORY;

	if (rc != 0) {
		free(node);
		return rc;
	}
	discard_answer(s, entry);
	entry->stored.http_status = 0;
	free(entry->stored.node);
	entry->stored.node = node;
	entry->stored.incarnation = q->incarnation;
	memcpy(entry->stored.claim_id, q->claim_id,
	    sizeof(entry->stored.claim_id));
	return 0;
}

/*
 * Remembers an id that was closed as NOT_RUN: a delayed open with this id must
 * not be granted, since the call that sent it has ended. When the list is full,
 * the oldest id is dropped. Returns ERR_MEMORY.
 */
static int
retire_id(struct claim *entry, const char *id)
{
	struct stored_claim *c = &entry->stored;
	unsigned int n = c->retired.retired_len;
	struct stored_claim_id *ids;

	if (is_retired(entry, id))
		return 0;
	/* The array of a loaded claim is only as long as needed. */
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
is_retired(const struct claim *entry, const char *id)
{
	for (unsigned int i = 0; i < entry->stored.retired.retired_len; i++) {
		if (memcmp(entry->stored.retired.retired_val[i].id, id,
			COMMAND_CLAIM_ID_BYTES) == 0)
			return true;
	}
	return false;
}

static bool
is_same_id(const struct claim *entry, const struct command_claim *q)
{
	return memcmp(entry->stored.claim_id, q->claim_id,
		   sizeof(q->claim_id)) == 0;
}

/*
 * Stores the response for resends. If all responses together would exceed
 * CLAIMS_ANSWER_BYTES it is not stored and answer_whole stays false; the claim
 * itself remains. Returns ERR_MEMORY.
 */
static int
store_answer(
    struct claims *s, struct claim *entry, const struct command_claim *q)
{
	size_t len = q->answer.answer_len;
	char *copy = NULL;

	discard_answer(s, entry);
	if (s->answer_bytes + len > CLAIMS_ANSWER_BYTES)
		return 0;
	if (len > 0) {
		copy = malloc(len);
		if (copy == NULL)
			return ERR_MEMORY;
		memcpy(copy, q->answer.answer_val, len);
	}
	entry->stored.answer.answer_val = copy;
	entry->stored.answer.answer_len = (unsigned int)len;
	entry->stored.answer_whole = q->answer_whole;
	s->answer_bytes += len;
	return 0;
}

static void
discard_answer(struct claims *s, struct claim *entry)
{
	s->answer_bytes -= entry->stored.answer.answer_len;
	free(entry->stored.answer.answer_val);
	entry->stored.answer.answer_val = NULL;
	entry->stored.answer.answer_len = 0;
	entry->stored.answer_whole = FALSE;
}

/*
 * Returns the log time at which the retention ends, keep_s within its bounds.
 */
static int64_t
get_expiry(int64_t now_ns, unsigned int keep_s)
{
	if (keep_s < CLAIM_KEEP_MIN_S)
		keep_s = CLAIM_KEEP_MIN_S;
	if (keep_s > CLAIM_KEEP_MAX_S)
		keep_s = CLAIM_KEEP_MAX_S;
	return now_ns + (int64_t)keep_s * NSEC_PER_SEC;
}

/*
 * Fills the result from the claim; the strings remain the claim's.
 */
static void
set_claim_result(
    const struct claim *entry, int status, struct command_result *r)
{
	r->status = status;
	r->claim_state = entry->stored.state;
	r->holder = entry->stored.node;
	r->http_status = entry->stored.http_status;
	r->answer.answer_val = entry->stored.answer.answer_val;
	r->answer.answer_len = entry->stored.answer.answer_len;
	r->answer_whole = entry->stored.answer_whole;
}

static struct claim *
look_up_claim(const struct claims *s, struct claim_key k)
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
remove_claim(struct claims *s, struct claim *entry)
{
	s->answer_bytes -= entry->stored.answer.answer_len;
	remove_link(&s->index, &entry->link);
	unload_wire((xdrproc_t)xdr_stored_claim, &entry->stored);
	free(entry);
}

/*
 * Removes the claims whose retention has ended.
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
			remove_claim(s, c);
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
