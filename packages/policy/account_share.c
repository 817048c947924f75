/*
 * Recent use by account, and the delay of calls beyond an account's share.
 */
#include "account_share.h"

#include <math.h>
#include <stdlib.h>

/*
 * Time constant of the decay. Floods last several seconds, the random swings of
 * an account's usual load are shorter.
 */
#define USE_DECAY_NS (2.0 * NSEC_PER_SEC)
/* An account with less use is forgotten: 6 s after its last call. */
#define USE_FORGOTTEN 0.05
/*
 * An account may use this much more than its share before its calls are
 * delayed: usual loads follow the shares only roughly.
 */
#define SHARE_SLACK 1.5
/* Calls beyond that which a small account may send in a row. */
#define SHARE_BURST_CALLS 3.0
#define DELAY_MAX_NS (10 * NSEC_PER_SEC) /* longer than any target */
#define USES_MAX 1024 /* accounts; further ones are not delayed */

static void decay_uses(struct account_shares *s, int64_t now);
static struct account_use *find_use(
    const struct account_shares *s, uint64_t account);
static struct account_use *open_use(
    struct account_shares *s, uint64_t account, int share);

void
unload_account_shares(struct account_shares *s)
{
	free(s->uses);
	*s = (struct account_shares){0};
}

/*
 * The share counts among the accounts with recent use, this one included, so
 * an account that is alone is never delayed.
 */
int64_t
get_share_delay(
    struct account_shares *s, uint64_t account, int share, int64_t now)
{
	const struct account_use *u;
	double shares = 0, used = 0, part, excess, delay;

	decay_uses(s, now);
	if (account == 0)
		return 0;
	if (share < 1)
		share = 1;
	for (size_t i = 0; i < s->count; i++) {
		if (s->uses[i].account != account)
			shares += s->uses[i].share;
	}
	u = find_use(s, account);
	if (u != NULL)
		used = u->started + u->waiting;
	if (shares <= 0)
		return 0;
	part = share / (shares + share);
	excess = used + 1 - SHARE_BURST_CALLS -
		 SHARE_SLACK * part * (s->started + s->waiting + 1);
	if (excess <= 0)
		return 0;
	/* The time in which the account's share of all starts covers it. */
	delay = excess * USE_DECAY_NS / (part * (s->started + 1));
	return delay < (double)DELAY_MAX_NS ? (int64_t)delay : DELAY_MAX_NS;
}

void
add_waiting_use(
    struct account_shares *s, uint64_t account, int share, int64_t now)
{
	struct account_use *u;

	decay_uses(s, now);
	u = open_use(s, account, share);
	if (u == NULL)
		return;
	u->waiting++;
	s->waiting++;
}

void
remove_waiting_use(struct account_shares *s, uint64_t account)
{
	struct account_use *u = find_use(s, account);

	if (u == NULL || u->waiting == 0)
		return;
	u->waiting--;
	s->waiting--;
}

void
add_started_use(struct account_shares *s, uint64_t account, int64_t now)
{
	struct account_use *u;

	decay_uses(s, now);
	u = find_use(s, account);
	if (u == NULL)
		return;
	u->started++;
	s->started++;
}

/*
 * Lets the use of all accounts fade and drops those without any.
 */
static void
decay_uses(struct account_shares *s, int64_t now)
{
	double keep;

	if (now <= s->at)
		return;
	keep = exp(-(double)(now - s->at) / USE_DECAY_NS);
	s->at = now;
	s->started = 0;
	for (size_t i = s->count; i-- > 0;) {
		struct account_use *u = &s->uses[i];

		u->started *= keep;
		if (u->started < USE_FORGOTTEN && u->waiting == 0) {
			*u = s->uses[--s->count];
			continue;
		}
		s->started += u->started;
	}
}

static struct account_use *
find_use(const struct account_shares *s, uint64_t account)
{
	for (size_t i = 0; i < s->count; i++) {
		if (s->uses[i].account == account)
			return &s->uses[i];
	}
	return NULL;
}

/*
 * Returns the use of an account and adds it if necessary; NULL for account 0,
 * beyond USES_MAX and when out of memory: the account is then not delayed.
 */
static struct account_use *
open_use(struct account_shares *s, uint64_t account, int share)
{
	struct account_use *u = find_use(s, account);

	if (u == NULL && account != 0 && s->count < USES_MAX) {
		if (s->count == s->cap) {
			size_t cap = s->cap != 0 ? 2 * s->cap : 16;

			u = realloc(s->uses, cap * sizeof(*u));
			if (u == NULL)
				return NULL;
			s->uses = u;
			s->cap = cap;
		}
		u = &s->uses[s->count++];
		*u = (struct account_use){.account = account};
	}
	if (u != NULL)
		u->share = share > 0 ? share : 1;
	return u;
}
