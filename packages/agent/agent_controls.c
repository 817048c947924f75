/*
 * The control processes that the agent knows: those of the settings and the
 * members of the group, which control processes tell.
 */
#include <string.h>

#include "agent_core.h"
#include "log.h"

static int find_control(const struct agent *a, const char *address);
static int take_slot(struct agent *a);
static void list_controls(struct agent *a);

/*
 * Finds or makes the slot of an address. Returns ERR_LIMIT when all slots hold
 * members or seeds, ERR_INVALID for a bad address.
 */
int
add_control(struct agent *a, const char *address)
{
	struct rpc_peer *p = NULL;
	int slot = find_control(a, address), rc;
	struct fault f;

	if (slot >= 0)
		return slot;
	slot = take_slot(a);
	if (slot < 0)
		return slot;
	rc = open_rpc_peer(a->client, address, &p, &f);
	if (rc != 0)
		return rc;
	a->peers[slot] = p;
	(void)copy_str(
	    a->controls[slot], sizeof(a->controls[slot]), make_str(address));
	if (slot == a->control_count)
		a->control_count++;
	return slot;
}

/*
 * Takes the members of the group from a reply. The seeds stay, behind them, for
 * the time when no member answers.
 */
void
take_controls(struct agent *a, const struct wire_watch_reply *r)
{
	uint64_t learnt = 0;

	if (r->controls_digest == 0 || r->controls_digest == a->controls_digest)
		return;
	for (unsigned int i = 0; i < r->controls.controls_len; i++) {
		int slot = add_control(a, r->controls.controls_val[i].address);

		if (slot >= 0)
			learnt |= 1ULL << slot;
		else
			write_log(LOG_LEVEL_WARNING,
			    "control process %s is left out: %s",
			    r->controls.controls_val[i].address,
			    get_err_name(slot));
	}
	if (learnt == 0)
		return;
	a->learnt = learnt;
	a->controls_digest = r->controls_digest;
	list_controls(a);
}

/*
 * Adds the addresses of add_agent_controls().
 */
void
take_asked_controls(struct agent *a)
{
	char asked[AGENT_CONTROL_MAX][RPC_ADDRESS_BYTES];
	uint64_t seeds = 0;
	size_t n;

	pthread_mutex_lock(&a->lock);
	n = a->asked_control_count;
	memcpy(asked, a->asked_controls, sizeof(asked));
	a->asked_control_count = 0;
	pthread_mutex_unlock(&a->lock);
	if (n == 0)
		return;
	for (size_t i = 0; i < n; i++) {
		int slot = add_control(a, asked[i]);

		if (slot >= 0)
			seeds |= 1ULL << slot;
	}
	if (seeds == 0)
		return;
	a->seeds = seeds;
	list_controls(a);
}

static int
find_control(const struct agent *a, const char *address)
{
	for (int i = 0; i < a->control_count; i++) {
		if (strcmp(a->controls[i], address) == 0)
			return i;
	}
	return ERR_NOT_FOUND;
}

/*
 * Returns a slot that is free or that neither a member nor a seed needs.
 */
static int
take_slot(struct agent *a)
{
	int current = get_follow_control(&a->follow);

	if (a->control_count < AGENT_SLOTS)
		return a->control_count;
	for (int i = 0; i < AGENT_SLOTS; i++) {
		if (i != current && ((a->seeds | a->learnt) & 1ULL << i) == 0)
			return i;
	}
	return ERR_LIMIT;
}

static void
list_controls(struct agent *a)
{
	int list[AGENT_SLOTS], n = 0;

	for (int i = 0; i < a->control_count; i++) {
		if (((a->seeds | a->learnt) & 1ULL << i) != 0)
			list[n++] = i;
	}
	update_follow(&a->follow, list, n);
}
