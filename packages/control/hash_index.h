/*
 * Intrusive hash table: the links are members of the indexed objects.
 */
#ifndef HASH_INDEX_H
#define HASH_INDEX_H

#include "base.h"

/* Must be the first member, since a link is cast to its object. */
struct hash_link {
	struct hash_link *next;
	uint64_t hash;
};

struct hash_index {
	struct hash_link **slots;
	size_t slot_count; /* zero or a power of two */
	size_t count;
};

typedef bool (*hash_match_fn)(const struct hash_link *l, const void *key);

int insert_link(
    struct hash_index *x, struct hash_link *l, uint64_t hash); /* ERR_MEMORY */
void remove_link(struct hash_index *x, struct hash_link *l);
struct hash_link *find_link(const struct hash_index *x, uint64_t hash,
    hash_match_fn match, const void *key); /* NULL: none */

/* Visits all links; the current one may be removed. NULL: the end. */
struct hash_link *get_first_link(const struct hash_index *x);
struct hash_link *get_next_link(
    const struct hash_index *x, const struct hash_link *l);

void unload_index(struct hash_index *x); /* frees the slots only */

#endif
