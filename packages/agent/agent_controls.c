/*
 * The control processes that the agent knows: the seeds of the settings and
 * the members of the group, which control processes list in their replies.
 */
#include <string.h>

#include "agent_core.h"
#include "log.h"

static int find_control(const struct agent *a, const char *address);
static int find_free_slot(struct agent *a);
static void update_watched_controls(struct agent *a);

/*
 * Returns the slot of an address, which is added when it is new. Returns
 * ERR_LIMIT when all slots are in use by members, seeds or the watched control
 * process, and ERR_INVALID for a bad address.
 */
int
add_control(struct agent *a, const char *address)
{
	struct rpc_peer *p = NULL;
	int slot = find_control(a, address), rc;
	struct fault f;

	if (slot >= 0)
		return slot;
	slot = find_free_slot(a);
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
 * Replaces the members with those listed in a reply. The seeds stay in the
 * list of control processes for the time when no member answers.
 */
void
update_controls(struct agent *a, const struct wire_watch_reply *r)
{
	uint64_t members = 0;

	if (r->controls_digest == 0 || r->controls_digest == a->controls_digest)
		return;
	for (unsigned int i = 0; i < r->controls.controls_len; i++) {
		int slot = add_control(a, r->controls.controls_val[i].address);

		if (slot >= 0)
			members |= 1ULL << slot;
		else
			write_log(LOG_LEVEL_WARNING,
			    "cannot add control process %s: %s",
			    r->controls.controls_val[i].address,
			    get_err_name(slot));
	}
	if (members == 0)
		return;
	a->member_mask = members;
	a->controls_digest = r->controls_digest;
	update_watched_controls(a);
}

/*
 * Replaces the seeds with the valid addresses of set_agent_seeds().
 */
void
add_new_controls(struct agent *a)
{
	char addresses[AGENT_CONTROL_MAX][RPC_ADDRESS_BYTES];
	uint64_t seeds = 0;
	size_t n;

	pthread_mutex_lock(&a->lock);
	n = a->new_control_count;
	memcpy(addresses, a->new_controls, sizeof(addresses));
	a->new_control_count = 0;
	pthread_mutex_unlock(&a->lock);
	if (n == 0)
		return;
	for (size_t i = 0; i < n; i++) {
		int slot = add_control(a, addresses[i]);

		if (slot >= 0)
			seeds |= 1ULL << slot;
	}
	if (seeds == 0)
		return;
	a->seed_mask = seeds;
	update_watched_controls(a);
}

/*
 * Returns the slot of an address or ERR_NOT_FOUND.
 */
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
 * Returns a slot that is free or that no member, seed or watch needs, or
 * ERR_LIMIT.
 */
static int
find_free_slot(struct agent *a)
{
	int current = get_watch_control(&a->watch_plan);

	if (a->control_count < AGENT_KNOWN_CONTROLS_MAX)
		return a->control_count;
	for (int i = 0; i < AGENT_KNOWN_CONTROLS_MAX; i++) {
		if (i != current &&
		    ((a->seed_mask | a->member_mask) & 1ULL << i) == 0)
			return i;
	}
	return ERR_LIMIT;
}

/*
 * Passes the seeds and members to the watch plan.
 */
static void
update_watched_controls(struct agent *a)
{
	int list[AGENT_KNOWN_CONTROLS_MAX], n = 0;

	for (int i = 0; i < a->control_count; i++) {
		if (((a->seed_mask | a->member_mask) & 1ULL << i) != 0)
			list[n++] = i;
	}
	set_watch_controls(&a->watch_plan, list, n);
}
