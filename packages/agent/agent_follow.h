/*
 * Which control process to watch, and when: the decisions of the watch loop.
 * Pure; times are monotonic ns. Internal to the package.
 */
#ifndef AGENT_FOLLOW_H
#define AGENT_FOLLOW_H

#include "agent.h"

#define FOLLOW_JITTER_MS 2000 /* first reconnect delay, full jitter */
#define FOLLOW_JITTER_MAX_MS 15000 /* the delay doubles up to this */
#define FOLLOW_BATCH_MS 20 /* changes that arrive together share a watch */
#define FOLLOW_SPACING_MS 100 /* between two watches that changes cause */
#define FOLLOW_EMPTY_MS 1000 /* after an early reply without news */
#define FOLLOW_LIMIT_MAX 3 /* limit answers in a row before moving on */

enum follow_action {
	FOLLOW_WAIT, /* nothing to do before until */
	FOLLOW_SEND, /* send a watch to control */
	FOLLOW_ABANDON, /* overdue: close the connection to control */
};

struct follow_step {
	enum follow_action action;
	int control; /* index in the configuration */
	int64_t until; /* of FOLLOW_WAIT */
};

/* Times of the watch loop, in ms. */
struct follow_timing {
	int overdue_ms;
	int jitter_ms; /* first reconnect delay, full jitter */
	int jitter_max_ms; /* the delay doubles up to this */
};

struct follow {
	struct follow_timing timing;
	int order[AGENT_SLOTS];
	int count;
	int at; /* index in order of the current control process */
	bool watching; /* a watch is unanswered */
	bool attached; /* the current control process answered a watch */
	bool changed; /* the node has something to tell */
	bool leaving; /* and tells it without delay */
	int64_t changed_at;
	int64_t sent_at; /* newest watch */
	int64_t waiting_since; /* oldest moment without any answer */
	int64_t next_at; /* no watch before */
	unsigned int failures; /* in a row */
	unsigned int limits; /* limit answers in a row */
	struct rng rng;
};

/* near[i] tells that control i is in the node's own availability zone. */
void start_follow(
    struct follow *f, int count, const bool *near, uint64_t seed, int64_t now);
/* Replaces the list of control processes; the current one stays if listed. */
void update_follow(struct follow *f, const int *list, int count);
struct follow_step get_follow_step(const struct follow *f, int64_t now);
int get_follow_control(const struct follow *f); /* current one */
bool is_follow_attached(const struct follow *f);

void note_follow_sent(struct follow *f, int64_t now);
void note_follow_changed(struct follow *f, int64_t now);
void note_follow_leaving(struct follow *f); /* the last change */
void note_follow_reply(struct follow *f, bool newest, bool news, int64_t now);
void note_follow_limit(struct follow *f, int retry_ms, int64_t now);
void note_follow_failure(struct follow *f, int64_t now); /* or stale */

#endif
