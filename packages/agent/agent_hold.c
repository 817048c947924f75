/*
 * Split reference counts. The word "current" names the slot in force and
 * counts its acquisitions, so that reading the pointer and counting the holder
 * are one atomic step. A replaced slot's count is settled against its
 * releases; whoever brings the balance to zero frees the table.
 */
#include <stdlib.h>

#include <ck_pr.h>

#include "agent_hold.h"

#define SLOT_SHIFT 48 /* 2^48 acquisitions a version: decades */
#define COUNT_MASK ((1ULL << SLOT_SHIFT) - 1)

#ifdef __SANITIZE_THREAD__
/* The thread sanitizer does not see the order that ck's assembly makes. */
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define ORDER_ACQUIRE(p) __tsan_acquire(p)
#define ORDER_RELEASE(p) __tsan_release(p)
#else
#define ORDER_ACQUIRE(p) ck_pr_fence_acquire()
#define ORDER_RELEASE(p) ck_pr_fence_release()
#endif

static void settle_slot(struct hold_slot *s, uint64_t change);
static struct hold_slot *find_slot(struct hold *h, const struct table *t);

struct hold *
open_hold(void)
{
	return calloc(1, sizeof(struct hold));
}

void
close_hold(struct hold *h)
{
	if (h == NULL)
		return;
	for (int i = 0; i < HOLD_SLOTS; i++)
		unload_table(h->slots[i].table);
	free(h);
}

/*
 * Switches to t. Returns ERR_LIMIT, with t still the caller's, when too many
 * older versions are held.
 */
int
publish_hold(struct hold *h, struct table *t)
{
	uint64_t old, i = 1;

	while (i < HOLD_SLOTS && ck_pr_load_ptr(&h->slots[i].table) != NULL)
		i++;
	if (i == HOLD_SLOTS)
		return ERR_LIMIT;
	ORDER_ACQUIRE(&h->slots[i]);
	ck_pr_store_64(&h->slots[i].balance, 0);
	ck_pr_store_ptr(&h->slots[i].table, t);
	ORDER_RELEASE(&h->current);
	old = ck_pr_fas_64(&h->current, i << SLOT_SHIFT);
	ORDER_ACQUIRE(&h->current);
	if (old >> SLOT_SHIFT != 0)
		settle_slot(&h->slots[old >> SLOT_SHIFT],
		    (uint64_t)0 - (old & COUNT_MASK));
	return 0;
}

const struct table *
acquire_hold(struct hold *h)
{
	uint64_t word = ck_pr_faa_64(&h->current, 1);

	ORDER_ACQUIRE(&h->current);
	return ck_pr_load_ptr(&h->slots[word >> SLOT_SHIFT].table);
}

void
release_hold(struct hold *h, const struct table *t)
{
	if (t != NULL)
		settle_slot(find_slot(h, t), 1);
}

const struct table *
peek_hold(struct hold *h)
{
	return ck_pr_load_ptr(
	    &h->slots[ck_pr_load_64(&h->current) >> SLOT_SHIFT].table);
}

int
count_hold(struct hold *h)
{
	int n = 0;

	for (int i = 1; i < HOLD_SLOTS; i++)
		n += ck_pr_load_ptr(&h->slots[i].table) != NULL;
	return n;
}

/*
 * Adds change to the slot's balance. The balance is positive while the slot is
 * in force and negative while a replaced one still has holders.
 */
static void
settle_slot(struct hold_slot *s, uint64_t change)
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
 * The slot of a held table cannot change, and no other slot can name the same
 * table. The one in force is tried first.
 */
static struct hold_slot *
find_slot(struct hold *h, const struct table *t)
{
	uint64_t i = ck_pr_load_64(&h->current) >> SLOT_SHIFT;

	while (ck_pr_load_ptr(&h->slots[i].table) != t)
		i = i > 0 ? i - 1 : HOLD_SLOTS - 1;
	return &h->slots[i];
}
