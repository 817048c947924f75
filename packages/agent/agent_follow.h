/*
 * Decides which control process the agent follows and when it sends the next
 * watch. No side effects; times are monotonic ns. Internal to the package.
 */
#ifndef AGENT_FOLLOW_H
#define AGENT_FOLLOW_H

#include "agent.h"

#define WATCH_RECONNECT_MS 2000 /* first reconnect delay, full jitter */
#define WATCH_RECONNECT_MAX_MS 15000 /* the delay doubles up to this */
#define WATCH_BATCH_MS 20 /* changes that arrive together share a watch */
#define WATCH_SPACING_MS 100 /* between two watches caused by changes */
#define WATCH_EMPTY_SPACING_MS 1000 /* after an early reply without news */
#define WATCH_LIMIT_ANSWERS_MAX 3 /* WIRE_LIMIT in a row before moving on */

enum watch_action {
	WATCH_WAIT, /* do nothing before until */
	WATCH_SEND, /* send a watch to control */
	WATCH_ABANDON, /* overdue: close the connection to control */
};

struct watch_step {
	enum watch_action action;
	int control; /* slot of the control process in struct agent */
	int64_t until; /* of WATCH_WAIT */
};

/* Timeouts and delays in ms. */
struct watch_timing {
	int overdue_ms;
	int first_delay_ms; /* first reconnect delay, full jitter */
	int delay_max_ms; /* the delay doubles up to this */
};

struct watch_plan {
	struct watch_timing timing;
	int order[AGENT_KNOWN_CONTROLS_MAX]; /* controls to try, by slot */
	int count; /* of order */
	int current; /* index in order of the current control process */
	bool watching; /* a watch is unanswered */
	bool attached; /* the current control process answered a watch */
	bool changed; /* the node has a change to send */
	bool leaving; /* the change is sent without delay */
	int64_t changed_at; /* first change that is not sent */
	int64_t sent_at; /* newest watch */
	int64_t no_reply_since; /* the overdue time counts from here */
	int64_t next_watch_at; /* no watch before */
	unsigned int failures; /* in a row */
	unsigned int limit_answers; /* in a row */
	struct rng rng;
};

/* same_zone[i]: control i is in the node's own availability zone. */
void start_watch_plan(struct watch_plan *p, int count, const bool *same_zone,
    uint64_t seed, int64_t now);
/* Replaces the list of control processes; the current one stays if listed. */
void set_watch_controls(struct watch_plan *p, const int *list, int count);
struct watch_step get_watch_step(const struct watch_plan *p, int64_t now);
int get_watch_control(const struct watch_plan *p); /* current one */
bool is_watch_attached(const struct watch_plan *p);

void record_watch_sent(struct watch_plan *p, int64_t now);
/* A part of a reply arrived then; 0: none is being received. */
void record_watch_input(struct watch_plan *p, int64_t received_at);
void record_node_change(struct watch_plan *p, int64_t now);
void record_node_leaving(struct watch_plan *p); /* the last change */
void handle_watch_reply(
    struct watch_plan *p, bool newest, bool news, int64_t now);
void handle_watch_limit(struct watch_plan *p, int retry_ms, int64_t now);
/* Also for a stale or overdue control process. */
void handle_watch_failure(struct watch_plan *p, int64_t now);

#endif
