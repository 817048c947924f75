/*
 * The roll-outs of services in the replicated state: orders of operators and
 * decisions of the leader. One service has one roll-out, the newest.
 */
#ifndef ROLLOUTS_H
#define ROLLOUTS_H

#include "command.h"
#include "rollout.h"
#include "table.h"

#define ROLLOUTS_MAX 64 /* more services than that: the oldest end is dropped */

struct rollout {
	char service[TABLE_NAME_BYTES];
	char target[ROLLOUT_VERSION_BYTES]; /* version */
	uint64_t number; /* of the order */
	uint64_t change; /* of the list, that began the phase */
	enum rollout_phase phase;
	uint32_t duration_ms;
	int64_t started_ns; /* log time of the order */
	char reason[COMMAND_TEXT_MAX + 1]; /* of the phase; empty: none */
};

struct rollout_list {
	struct rollout items[ROLLOUTS_MAX];
	size_t count;
	uint64_t change; /* counts the orders and phases */
};

/*
 * Applies an order. Status 0: accepted, or the same as the one in force;
 * ERR_CONFLICT: another roll-out of the service runs; ERR_NOT_FOUND: the table
 * has no such service; ERR_INVALID; ERR_LIMIT. text is static.
 */
int apply_rollout(struct rollout_list *l, const struct table *t, int64_t log_ns,
    const struct command_rollout *c, const char **text);
/* Applies a decision; one that is outdated has no effect. */
void apply_rollout_step(
    struct rollout_list *l, const struct command_rollout_step *c);

struct rollout *find_rollout(struct rollout_list *l, const char *service);
bool is_rollout_running(const struct rollout *r);
bool has_running_rollout(const struct rollout_list *l);

int save_rollouts(const struct rollout_list *l, struct buf *out);
int load_rollout(struct rollout_list *l, struct str body); /* ERR_CORRUPT */

#endif
