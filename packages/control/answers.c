/*
 * A list of answers in order of time, with an index by author and key.
 */
#include <stdlib.h>
#include <string.h>

#include "answers.h"
#include "wire.h"

struct answer_key {
	struct str author;
	struct str key;
};

static uint64_t hash_key(struct answer_key k);
static bool match_answer(const struct hash_link *l, const void *key);
static void evict_oldest(struct answers *a);

const struct stored_answer *
find_answer(const struct answers *a, struct str author, struct str key)
{
	struct answer_key k = {author, key};
	struct hash_link *l =
	    find_link(&a->index, hash_key(k), match_answer, &k);

	return l != NULL ? &((struct answer *)l)->stored : NULL;
}

/*
 * Stores the result of a change under its key. Evicts the oldest answer when
 * there are more than ANSWERS_MAX. Returns ERR_MEMORY.
 */
int
append_answer(struct answers *a, struct str author, struct str key,
    uint64_t fingerprint, int64_t now_ns, struct str result)
{
	struct stored_answer s = {
	    .fingerprint = fingerprint, .time_ns = now_ns};

	s.author = strndup(author.data, author.len);
	s.key = strndup(key.data, key.len);
	s.result.result_val = malloc(result.len + 1);
	if (s.author == NULL || s.key == NULL || s.result.result_val == NULL) {
		unload_wire((xdrproc_t)xdr_stored_answer, &s);
		return ERR_MEMORY;
	}
	memcpy(s.result.result_val, result.data, result.len);
	s.result.result_len = (unsigned int)result.len;
	return load_answer(a, &s);
}

/*
 * Appends a stored answer and takes ownership of its memory, also on error.
 * Returns ERR_MEMORY.
 */
int
load_answer(struct answers *a, struct stored_answer *s)
{
	struct answer *n = calloc(1, sizeof(*n));
	struct answer_key k = {make_str(s->author), make_str(s->key)};
	int rc = n != NULL ? insert_link(&a->index, &n->link, hash_key(k)) :
			     ERR_MEMORY;

	if (rc != 0) {
		free(n);
		unload_wire((xdrproc_t)xdr_stored_answer, s);
		return rc;
	}
	n->stored = *s;
	if (a->newest != NULL)
		a->newest->newer = n;
	else
		a->oldest = n;
	a->newest = n;
	while (a->index.count > ANSWERS_MAX)
		evict_oldest(a);
	return 0;
}

/*
 * Removes the answers older than ANSWERS_KEEP_NS; now_ns is log time.
 */
void
expire_answers(struct answers *a, int64_t now_ns)
{
	while (a->oldest != NULL &&
	       a->oldest->stored.time_ns + ANSWERS_KEEP_NS <= now_ns)
		evict_oldest(a);
}

void
clear_answers(struct answers *a)
{
	while (a->oldest != NULL)
		evict_oldest(a);
	unload_index(&a->index);
}

static uint64_t
hash_key(struct answer_key k)
{
	return hash_str(k.key, hash_str(k.author, 0));
}

static bool
match_answer(const struct hash_link *l, const void *key)
{
	const struct answer *a = (const struct answer *)l;
	const struct answer_key *k = key;

	return is_str_equal(make_str(a->stored.key), k->key) &&
	       is_str_equal(make_str(a->stored.author), k->author);
}

static void
evict_oldest(struct answers *a)
{
	struct answer *n = a->oldest;

	a->oldest = n->newer;
	if (a->oldest == NULL)
		a->newest = NULL;
	remove_link(&a->index, &n->link);
	unload_wire((xdrproc_t)xdr_stored_answer, &n->stored);
	free(n);
}
