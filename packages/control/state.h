/*
 * The replicated state machine: the table, its history, the results of recent
 * changes, the claims, the roll-outs and the leavings. Retentions are measured in log time: the greatest
 * log_ns of the applied commands, which never advances faster than real time.
 * Wall time is for display only. Takes no locks and does no I/O.
 */
#ifndef STATE_H
#define STATE_H

#include "answers.h"
#include "claims.h"
#include "edits.h"
#include "leavings.h"
#include "rollouts.h"

#define STATE_FORMAT 2 /* of snapshots */

struct state {
	struct table *table; /* current; version 0 before the first change */
	struct buf source; /* text that the table was read from; may be empty */
	struct history history;
	struct answers answers;
	struct claims claims;
	struct rollout_list rollouts;
	struct leaving_list leavings; /* acknowledged by nodes */
	int64_t log_ns; /* log time */
};

int open_state(size_t claims_max, struct state **out); /* ERR_MEMORY */
void close_state(struct state *s);
void reset_state(struct state *s); /* as open_state() left it */

/*
 * Applies a committed command with the leader's time stamps and appends the
 * encoded command_result. Aborts the process when out of memory: a replica that
 * skipped a committed command would diverge from the others.
 */
void apply_state(struct state *s, int64_t log_ns, int64_t wall_ns,
    struct str bytes, struct buf *result);

/*
 * Appends the result and returns true when a command need not be replicated:
 * it is malformed, invalid or was answered before. Changes no state.
 */
bool answer_early(const struct state *s, struct str bytes, struct buf *result);

int adopt_table(
    struct state *s, struct table *next); /* on a relay; owns next */

int save_state(const struct state *s, struct buf *out);
int load_state(
    struct state *s, struct str data, struct fault *f); /* replaces all */

#endif
