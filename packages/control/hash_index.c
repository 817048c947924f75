/*
 * Chained hash table that doubles when it has one link per slot.
 */
#include <stdlib.h>

#include "hash_index.h"

#define INITIAL_SLOTS 64

static int grow_index(struct hash_index *x);
static struct hash_link *find_from_slot(const struct hash_index *x, size_t i);

int
insert_link(struct hash_index *x, struct hash_link *l, uint64_t hash)
{
	struct hash_link **slot;
	int rc = x->count >= x->slot_count ? grow_index(x) : 0;

	if (rc != 0)
		return rc;
	slot = &x->slots[hash & (x->slot_count - 1)];
	l->hash = hash;
	l->next = *slot;
	*slot = l;
	x->count++;
	return 0;
}

/*
 * Removes a link if it is present. Its next and hash stay valid, so that an
 * iteration can continue from it.
 */
void
remove_link(struct hash_index *x, struct hash_link *l)
{
	struct hash_link **p = &x->slots[l->hash & (x->slot_count - 1)];

	while (*p != NULL && *p != l)
		p = &(*p)->next;
	if (*p == NULL)
		return;
	*p = l->next;
	x->count--;
}

struct hash_link *
find_link(const struct hash_index *x, uint64_t hash, hash_match_fn match,
    const void *key)
{
	struct hash_link *l;

	if (x->slot_count == 0)
		return NULL;
	for (l = x->slots[hash & (x->slot_count - 1)]; l != NULL; l = l->next) {
		if (l->hash == hash && match(l, key))
			return l;
	}
	return NULL;
}

struct hash_link *
get_first_link(const struct hash_index *x)
{
	return find_from_slot(x, 0);
}

struct hash_link *
get_next_link(const struct hash_index *x, const struct hash_link *l)
{
	if (l->next != NULL)
		return l->next;
	return find_from_slot(x, (l->hash & (x->slot_count - 1)) + 1);
}

void
unload_index(struct hash_index *x)
{
	free(x->slots);
	*x = (struct hash_index){0};
}

/*
 * Doubles the slots and moves the links. On ERR_MEMORY the index is unchanged.
 */
static int
grow_index(struct hash_index *x)
{
	size_t new_count =
	    x->slot_count != 0 ? x->slot_count * 2 : INITIAL_SLOTS;
	struct hash_link **slots =
	    calloc(new_count, sizeof(struct hash_link *));

	if (slots == NULL)
		return ERR_MEMORY;
	for (size_t i = 0; i < x->slot_count; i++) {
		struct hash_link *l = x->slots[i], *next;

		for (; l != NULL; l = next) {
			next = l->next;
			l->next = slots[l->hash & (new_count - 1)];
			slots[l->hash & (new_count - 1)] = l;
		}
	}
	free(x->slots);
	x->slots = slots;
	x->slot_count = new_count;
	return 0;
}

static struct hash_link *
find_from_slot(const struct hash_index *x, size_t i)
{
	for (; i < x->slot_count; i++) {
		if (x->slots[i] != NULL)
			return x->slots[i];
	}
	return NULL;
}
