/*
 * Split reference counts. The word "current" contains the slot in force and
 * the number of its acquisitions, so that finding the table and counting the
 * reference are one atomic step. When a slot is replaced, its acquisitions are
 * subtracted from its releases; the operation that brings the balance to zero
 * frees the table.
 */
#include <stdlib.h>

#include <ck_pr.h>

#include "agent_hold.h"

#define SLOT_SHIFT 48 /* 2^48 acquisitions per version last for decades */
#define COUNT_MASK ((1ULL << SLOT_SHIFT) - 1)

#ifdef __SANITIZE_THREAD__
/* The thread sanitizer does not see the fences in ck's assembly. */
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define ORDER_ACQUIRE(p) __tsan_acquire(p)
#define ORDER_RELEASE(p) __tsan_release(p)
#else
#define ORDER_ACQUIRE(p) ck_pr_fence_acquire()
#define ORDER_RELEASE(p) ck_pr_fence_release()
#endif

static void adjust_balance(struct pin_slot *s, uint64_t change);
static struct pin_slot *find_slot(struct table_pins *h, const struct table *t);

struct table_pins *
open_table_pins(void)
{
	return calloc(1, sizeof(struct table_pins));
}

void
close_table_pins(struct table_pins *h)
{
	if (h == NULL)
		return;
	for (int i = 0; i < PIN_SLOTS; i++)
		unload_table(h->slots[i].table);
	free(h);
}

/*
 * Puts t in force and takes it over. Returns ERR_LIMIT, with t still the
 * caller's, when too many older versions are referenced.
 */
int
publish_table(struct table_pins *h, struct table *t)
{
	uint64_t old, i = 1;

	while (i < PIN_SLOTS && ck_pr_load_ptr(&h->slots[i].table) != NULL)
		i++;
	if (i == PIN_SLOTS)
		return ERR_LIMIT;
	ORDER_ACQUIRE(&h->slots[i]);
	ck_pr_store_64(&h->slots[i].balance, 0);
	ck_pr_store_ptr(&h->slots[i].table, t);
	ORDER_RELEASE(&h->current);
	old = ck_pr_fas_64(&h->current, i << SLOT_SHIFT);
	ORDER_ACQUIRE(&h->current);
	if (old >> SLOT_SHIFT != 0)
		adjust_balance(&h->slots[old >> SLOT_SHIFT],
		    (uint64_t)0 - (old & COUNT_MASK));
	return 0;
}

/*
 * Adding 1 to "current" counts the acquisition and returns the slot.
 */
const struct table *
pin_table(struct table_pins *h)
{
	uint64_t word = ck_pr_faa_64(&h->current, 1);

	ORDER_ACQUIRE(&h->current);
	return ck_pr_load_ptr(&h->slots[word >> SLOT_SHIFT].table);
}

void
unpin_table(struct table_pins *h, const struct table *t)
{
	if (t != NULL)
		adjust_balance(find_slot(h, t), 1);
}

const struct table *
peek_table(struct table_pins *h)
{
	return ck_pr_load_ptr(
	    &h->slots[ck_pr_load_64(&h->current) >> SLOT_SHIFT].table);
}

int
count_pinned_versions(struct table_pins *h)
{
	int n = 0;

	for (int i = 1; i < PIN_SLOTS; i++)
		n += ck_pr_load_ptr(&h->slots[i].table) != NULL;
	return n;
}

/*
 * Adds change to the slot's balance and frees the table at zero. The balance
 * counts releases while the slot is in force, and is negative while a replaced
 * slot still has references.
 */
static void
adjust_balance(struct pin_slot *s, uint64_t change)
{
	struct table *t = ck_pr_load_ptr(&s->table);

	ORDER_RELEASE(&s->balance);
	if (ck_pr_faa_64(&s->balance, change) + change != 0)
		return;
	ORDER_ACQUIRE(&s->balance);
	ORDER_RELEASE(s);
	ck_pr_store_ptr(&s->table, NULL);
	unload_table(t);
}

/*
 * Searches from the slot in force downward. A referenced table cannot leave
 * its slot, and no other slot can contain the same table.
 */
static struct pin_slot *
find_slot(struct table_pins *h, const struct table *t)
{
	uint64_t i = ck_pr_load_64(&h->current) >> SLOT_SHIFT;

	while (ck_pr_load_ptr(&h->slots[i].table) != t)
		i = i > 0 ? i - 1 : PIN_SLOTS - 1;
	return &h->slots[i];
}
