/*
 * The agent's state and the functions that its modules share. Internal to the
 * package.
 *
 * One thread owns the watch, the claims and the table; callers reach it through
 * the members under lock. Lock order: agent lock < rpc < metric and event.
 */
#ifndef AGENT_CORE_H
#define AGENT_CORE_H

#include <pthread.h>

#include "agent.h"
#include "agent_claim.h"
#include "agent_follow.h"
#include "agent_hold.h"
#include "agent_sets.h"
#include "metric.h"
#include "rpc.h"

#define AGENT_REFUSALS_MAX 3 /* control processes tried for one version */
#define AGENT_CLAIMS_MAX 4096 /* claims unfinished, with those in background */

/* How the agent recovers from a refused version, watch by watch. */
enum agent_retry {
	AGENT_RETRY_NONE,
	AGENT_RETRY_REPORT, /* the next watch reports the refusal */
	AGENT_RETRY_WHOLE, /* the one after it asks for the whole table */
};

/* A claim under way. */
struct agent_claim {
	struct agent_claim *next;
	struct agent *agent;
	struct claim_plan plan;
	claim_fn fn; /* NULL once it ran */
	void *arg;
	unsigned int attempts;
	char kind[WIRE_NAME_MAX + 1];
	char key[WIRE_KEY_MAX + 1];
	unsigned char claim_id[WIRE_CLAIM_ID_BYTES];
	enum wire_claim_state state; /* as asked for */
	uint32_t keep_s;
	int http_status;
	int timeout_ms;
	char answer[WIRE_ANSWER_MAX];
	size_t answer_len;
	bool answer_whole;
};

/* A watch under way, or its outcome. */
struct agent_watch {
	struct agent *agent;
	uint64_t number; /* of the agent's watches, from 1 */
	int control;
	uint64_t held_version; /* at the time of sending */
	uint64_t self_seq; /* of the own record sent; 0: none */
	uint64_t interest_digest; /* of the interest, sent or left out */
};

/* The outcome of an RPC, handed to the agent's thread. */
struct agent_event {
	struct agent_event *next;
	struct agent_watch *watch; /* either a watch */
	struct agent_claim *claim; /* or a claim */
	int status;
	struct buf body;
	int64_t received_at;
};

/* The node's own endpoint. */
struct agent_self {
	bool announced;
	char id[WIRE_NAME_MAX + 1];
	char service[WIRE_NAME_MAX + 1];
	char address[WIRE_NAME_MAX + 1];
	char zone[WIRE_NAME_MAX + 1];
	char instance[WIRE_NAME_MAX + 1];
	char backend[WIRE_NAME_MAX + 1];
	uint64_t seq;
	int slots;
	enum wire_endpoint_state state;
};

struct agent_metrics {
	metric_id switches, refused, ignored, failures, overdue, limits;
	metric_id claims, claim_failures, closing, version;
};

struct agent {
	struct clock_source clock;
	struct event_log *events;
	char node[WIRE_NAME_MAX + 1];
	char zone[WIRE_NAME_MAX + 1];
	char controls[AGENT_SLOTS][RPC_ADDRESS_BYTES];
	int control_count; /* slots in use */
	uint64_t seeds; /* bit i: control i was told by the settings */
	uint64_t learnt; /* bit i: control i is a member of the group */
	uint64_t incarnation;
	struct rpc_client *client;
	struct rpc_peer *peers[AGENT_SLOTS];
	bool learns; /* the members of the group */
	uint64_t controls_digest; /* of the members learnt; 1: none */
	int heartbeat_ms;
	void (*on_change)(void *arg);
	void *on_change_arg;
	struct hold *hold;
	struct set_store *sets;
	struct agent_metrics metrics;
	pthread_t thread;

	/* Of the agent's thread */
	struct follow follow;
	struct rng rng;
	uint64_t last_watch; /* number of the newest watch */
	uint64_t registry_id; /* that the set versions belong to */
	uint64_t interest_digest; /* of the list that interest_control has */
	int interest_control; /* -1: none */
	uint64_t refused_version;
	char refused_reason[WIRE_TEXT_MAX + 1];
	uint32_t refused_by; /* bit i: control i sent refused_version whole */
	enum agent_retry retry;
	uint32_t switch_ms;
	uint64_t self_confirmed; /* seq that this control process has seen */
	struct agent_claim *claims;
	int64_t next_expiry;

	pthread_mutex_t lock; /* of the members below */
	pthread_cond_t ready; /* work for the agent's thread */
	pthread_cond_t quiet; /* for stop_agent(): progress */
	struct agent_event *done;
	struct agent_event **done_tail;
	struct agent_claim *asked;
	struct agent_claim **asked_tail;
	int claim_count; /* asked and under way */
	struct agent_self self;
	bool changed; /* interest or own endpoint */
	char asked_controls[AGENT_CONTROL_MAX][RPC_ADDRESS_BYTES];
	size_t asked_control_count; /* to be added */
	bool woken;
	bool stopping;
	bool leaving; /* stop_agent() announced GONE */
	bool left; /* GONE is confirmed */
	/* For render_agent_status() */
	int shown_control; /* negative: none */
	bool shown_attached;
	bool shown_watching; /* a watch is unanswered */
	uint64_t shown_version, shown_refused;
	int shown_closing;
};

/* agent.c */
void post_agent_event(struct agent_event *e, struct agent *a);

/* agent_watch.c: on the agent's thread */
void step_agent_watch(struct agent *a, int64_t now, int64_t *until);
void take_agent_watch(struct agent *a, struct agent_event *e, int64_t now);

/* agent_controls.c: on the agent's thread, or before it starts */
int add_control(struct agent *a, const char *address); /* slot, or an error */
void take_controls(struct agent *a, const struct wire_watch_reply *r);
void take_asked_controls(struct agent *a);

/* agent_claims.c: on the agent's thread */
void start_agent_claim(struct agent *a, struct agent_claim *c, int64_t now);
void step_agent_claims(struct agent *a, int64_t now, int64_t *until);
void take_agent_claim(struct agent *a, struct agent_event *e, int64_t now);
void end_agent_claims(struct agent *a, int64_t now); /* reports the rest */

#endif
