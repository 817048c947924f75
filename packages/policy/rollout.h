/*
 * A roll-out: how many calls the new version of a service's backend servers
 * gets, and what becomes of it. Pure. The load that it answers: a new version
 * that fails or slows down at once, later, under load or for one row only,
 * while both versions have slow or shedding moments of their own.
 *
 * In the trial a small share of the calls goes to the new version. It is judged
 * against the old one over the same rows and the same time. Late in the time
 * that the operator gave, all calls move; when nothing runs at the old version
 * any more, the roll-out is complete.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "base.h"

#define ROLLOUT_BUCKETS 24 /* of a latency histogram; two double the time */
#define ROLLOUT_ROWS_MAX 32 /* rows of a service that are judged */
#define ROLLOUT_DURATION_MIN_MS 6000 /* less is too short to judge */
#define ROLLOUT_DURATION_MAX_MS (24 * 3600 * 1000)
#define ROLLOUT_VERSION_BYTES 33 /* of a backend server, with NUL */

enum rollout_phase {
	ROLLOUT_TRIAL, /* a share of the calls goes to the new version */
	ROLLOUT_MOVED, /* all calls; the old version ends what it runs */
	ROLLOUT_COMPLETED, /* the old version may stop */
	ROLLOUT_ROLLED_BACK, /* the new version gets no calls */
};

/* What was seen of the calls of one row at one version. */
struct rollout_counts {
	uint64_t answers; /* complete ones, and calls without an answer */
	uint64_t failed; /* among answers */
	uint64_t latency[ROLLOUT_BUCKETS]; /* of answers that did not fail */
};

/* One row, since the order and in the recent past. */
struct rollout_row {
	struct rollout_counts old_all, new_all;
	struct rollout_counts old_recent, new_recent;
};

/* Of one call's choice of a version. */
enum rollout_side {
	ROLLOUT_ANY,
	ROLLOUT_OLD,
	ROLLOUT_NEW,
	ROLLOUT_PREFER_NEW, /* the old version only without a new server */
};

struct rollout_facts {
	enum rollout_phase phase;
	int64_t elapsed_ns; /* since the order */
	int64_t duration_ns; /* that the operator gave */
	int64_t moved_ns; /* since the phase MOVED began */
	uint64_t old_running; /* calls queued for or running at old servers */
	bool old_told; /* each old server's node knows that calls have moved */
	const struct rollout_row *rows;
	size_t row_count;
};

/*
 * Returns the phase that follows, or the present one. reason: in words, for
 * logs and operators.
 */
enum rollout_phase decide_rollout(
    const struct rollout_facts *f, const char **reason);

/*
 * Share of the calls that the new version gets during the trial, 0 to 1, at a
 * time since the node learned of the roll-out. share_max: what the operators
 * allow a bad version of all calls until the deadline.
 */
double get_trial_share(double share_max, int64_t since_ns, int64_t warmup_ns);

/*
 * Credit of a node for calls to the new version: add_trial_call() counts a call
 * that reaches the service; with 1 or more, the next may go to the new version,
 * which costs 1.
 */
double add_trial_call(double credit, double share);

/*
 * Which version a call may use. in_touch: the node has heard of the phase
 * within the last moments. Without that it sends nothing to the new version
 * during a trial, as it may have been rolled back.
 */
enum rollout_side choose_rollout_side(
    enum rollout_phase phase, double credit, bool in_touch);

/* Bucket of an answer's latency, ns. */
int get_rollout_bucket(int64_t latency_ns);

const char *get_rollout_phase_name(enum rollout_phase p); /* "running", ... */

#endif
