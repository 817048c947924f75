/*
 * The memory budget of buffered request bodies. All functions may run on any
 * thread.
 */
#include <pthread.h>
#include <stdlib.h>

#include "budget.h"

struct budget {
	pthread_mutex_t lock; /* leaf lock */
	int64_t size; /* bytes */
	int64_t used;
	int64_t used_large; /* by large bodies */
};

static bool is_large(int64_t bytes);

int
open_budget(int64_t bytes, struct budget **out)
{
	struct budget *b = calloc(1, sizeof(*b));

	if (b == NULL)
		return ERR_MEMORY;
	pthread_mutex_init(&b->lock, NULL);
	b->size = bytes;
	*out = b;
	return 0;
}

void
close_budget(struct budget *b)
{
	if (b == NULL)
		return;
	pthread_mutex_destroy(&b->lock);
	free(b);
}

/*
 * Reserves bytes. Large bodies leave a part of the budget to small ones, so
 * that slow uploads do not delay short urgent calls. A single large body may
 * use that part too, since it might not fit otherwise.
 */
bool
reserve_budget(struct budget *b, int64_t bytes)
{
	int64_t reserve = b->size / BUDGET_RESERVE_DIVISOR;
	bool fits;

	pthread_mutex_lock(&b->lock);
	fits = b->used + bytes <= b->size;
	if (is_large(bytes) && b->used_large > 0)
		fits = fits && b->used_large + bytes <= b->size - reserve;
	if (fits) {
		b->used += bytes;
		if (is_large(bytes))
			b->used_large += bytes;
	}
	pthread_mutex_unlock(&b->lock);
	return fits;
}

/*
 * Releases a reservation; bytes must equal the number reserved.
 */
void
release_budget(struct budget *b, int64_t bytes)
{
	pthread_mutex_lock(&b->lock);
	b->used -= bytes;
	if (is_large(bytes))
		b->used_large -= bytes;
	pthread_mutex_unlock(&b->lock);
}

int64_t
get_budget_used(struct budget *b)
{
	int64_t n;

	pthread_mutex_lock(&b->lock);
	n = b->used;
	pthread_mutex_unlock(&b->lock);
	return n;
}

int64_t
get_budget_size(const struct budget *b)
{
	return b->size;
}

static bool
is_large(int64_t bytes)
{
	return bytes > BUDGET_SMALL_BYTES;
}
