/*
 * The agent's state and the functions that its modules share. Internal to the
 * package.
 *
 * One thread owns the watch, the claims and the table; other threads reach it
 * through the members under lock. Lock order: ask, agent, RPC, then metrics and
 * events.
 */
#ifndef AGENT_CORE_H
#define AGENT_CORE_H

#include <pthread.h>

#include "agent.h"
#include "agent_claim_plan.h"
#include "agent_follow.h"
#include "agent_hold.h"
#include "agent_sets.h"
#include "metric.h"
#include "rpc.h"

#define AGENT_REFUSALS_MAX 3 /* control processes tried for one version */
#define AGENT_CLAIMS_MAX 4096 /* unfinished claims, also in the background */

/* What the next watch does about a refused version. */
enum agent_retry {
	AGENT_RETRY_NONE,
	AGENT_RETRY_REPORT, /* reports the refusal */
	AGENT_RETRY_FULL, /* after the report: requests the full table */
};

/* An unfinished claim; owned by the agent's thread. */
struct agent_claim {
	struct agent_claim *next;
	struct agent *agent;
	struct claim_plan plan;
	claim_fn fn; /* NULL after it ran */
	void *arg;
	unsigned int attempts; /* sent; selects the next control process */
	char kind[WIRE_NAME_MAX + 1];
	char key[WIRE_KEY_MAX + 1];
	unsigned char claim_id[WIRE_CLAIM_ID_BYTES];
	enum wire_claim_state state; /* requested by the caller */
	uint32_t keep_s;
	int http_status;
	int timeout_ms;
	char answer[WIRE_ANSWER_MAX];
	size_t answer_len;
	bool answer_whole; /* answer is complete */
};

/* A watch in flight, or its outcome. */
struct agent_watch {
	struct agent *agent;
	uint64_t number; /* counts the agent's watches from 1 */
	int control; /* slot of the control process */
	uint64_t held_version; /* table version reported in it; 0: none */
	uint64_t news_count; /* of the agent when it was sent */
	uint64_t self_seq; /* of the node's record sent; 0: none */
	uint64_t incarnation; /* of that record */
	uint64_t interest_digest; /* of the interest, sent or omitted */
	bool packed; /* the reply is a wire_packed */
};

/* An ask for allotments that is under way. */
struct agent_ask {
	struct agent *agent;
	struct buf body;
	int64_t deadline; /* mono ns */
	int attempts; /* sent */
	int control; /* slot that it was sent to */
	allotment_fn fn; /* under ask_lock; NULL: cancelled */
	void *arg;
};

/* A request of leavings that is under way. */
struct agent_leavings {
	struct agent *agent;
	struct buf body;
	int64_t deadline; /* mono ns */
	int attempts; /* sent */
	int first; /* index of the first one's control process in the order */
	bool unsupported; /* by each control process that has answered */
	leavings_fn fn; /* under ask_lock; NULL: cancelled */
	void *arg;
};

/* The outcome of an RPC, queued for the agent's thread. */
struct agent_outcome {
	struct agent_outcome *next;
	struct agent_watch *watch; /* of the four, the others are NULL */
	struct agent_claim *claim;
	struct agent_ask *ask;
	struct agent_leavings *leavings;
	int status; /* of struct rpc_result */
	struct buf body;
	int64_t received_at; /* monotonic ns; of a watch */
};

/* The node's own endpoint. */
struct own_endpoint {
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

/* The list of roll-outs; see agent_rollouts.c. */
struct agent_rollouts {
	bool enabled;
	/* Under the agent's lock */
	struct rollout_view view;
	struct buf report; /* to be sent; empty: none */
	bool polling; /* a poll is in flight */
	bool changed; /* the view has, and on_change was not called yet */
	int64_t next_poll_ns;
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
	char controls[AGENT_KNOWN_CONTROLS_MAX][RPC_ADDRESS_BYTES];
	int control_count; /* slots in use */
	uint64_t seed_mask; /* bit i: control i is a configured seed */
	uint64_t member_mask; /* bit i: control i is a member of the group */
	uint64_t plain_mask; /* bit i: control i cannot pack its replies */
	/*
	 * Time of the first announcement, wall clock ns, or a later one that
	 * control processes know of: the time of day may be set back before a
	 * restart.
	 */
	uint64_t incarnation;
	bool
	    replied; /* a control process has; the endpoint is sent from then */
	bool announced_once; /* incarnation is fixed unless it is outdated */
	struct rpc_client *client;
	struct rpc_peer *peers[AGENT_KNOWN_CONTROLS_MAX];
	bool discovers; /* also uses the members of the group */
	uint64_t controls_digest; /* of the members discovered; 1: none */
	int heartbeat_ms; /* longest wait of a watch */
	void (*on_change)(void *arg);
	void *on_change_arg;
	struct table_pins *table_pins;
	struct set_store *sets;
	struct agent_metrics metrics;
	pthread_t thread;

	/* Used only by the agent's thread */
	struct watch_plan watch_plan;
	struct rng rng;
	uint64_t last_watch; /* number of the newest watch */
	uint64_t news_count; /* replies that brought something */
	uint64_t registry_id; /* that the set versions belong to */
	uint64_t interest_digest; /* of the interest list last accepted */
	int interest_control; /* slot of the control that has it; -1: none */
	uint64_t refused_version; /* 0: none */
	char refused_reason[WIRE_TEXT_MAX + 1];
	uint32_t refused_by; /* bit i: control i sent it as a full table */
	enum agent_retry retry;
	uint32_t switch_ms; /* from receipt to in force, newest version */
	uint64_t confirmed_seq; /* endpoint record that this control has */
	struct agent_claim *claims;
	int64_t next_expiry; /* of interest, monotonic ns */
	int leader; /* slot of the leader that answers asks; -1: unknown */

	pthread_mutex_t ask_lock; /* taken first; held while fn runs */

	pthread_mutex_t lock; /* protects the members below */
	pthread_cond_t work_ready; /* wakes the agent's thread */
	pthread_cond_t stop_progress; /* wakes stop_agent() */
	struct agent_outcome *outcomes; /* not handled yet */
	struct agent_outcome **outcomes_tail;
	struct agent_claim *new_claims; /* not started yet */
	struct agent_claim **new_claims_tail;
	int claim_count; /* new and started ones */
	struct agent_ask *ask; /* under way; NULL: none */
	bool ask_is_new; /* not sent yet */
	struct agent_leavings *leavings; /* under way; NULL: none */
	bool leavings_are_new; /* not sent yet */
	struct own_endpoint self;
	struct agent_rollouts rollouts;
	bool changed; /* interest or own endpoint */
	char new_controls[AGENT_CONTROL_MAX][RPC_ADDRESS_BYTES];
	size_t new_control_count; /* addresses to add; 0: none */
	bool woken; /* run the next steps at once */
	bool stopping; /* the thread ends */
	bool leaving; /* stop_agent() has begun */
	bool gone_confirmed; /* a control process has the GONE record */
	/* For render_agent_status() and is_agent_attached() */
	int status_control; /* slot of the current control process */
	bool status_attached;
	bool status_watching; /* a watch is unanswered */
	uint64_t status_version, status_refused; /* 0: none */
	int status_closing; /* claims */
};

/* agent.c */
void post_agent_outcome(struct agent_outcome *o, struct agent *a);

/* agent_watch.c: on the agent's thread */
void step_agent_watch(struct agent *a, int64_t now, int64_t *until);
void handle_watch_outcome(
    struct agent *a, struct agent_outcome *o, int64_t now);

/* agent_controls.c: on the agent's thread, or before it starts */
int add_control(struct agent *a, const char *address); /* slot or error */
void update_controls(struct agent *a, const struct wire_watch_reply *r);
void add_new_controls(struct agent *a);

/* agent_rollouts.c: on the agent's thread */
void step_agent_rollouts(struct agent *a, int64_t now, int64_t *until);

/* agent_claims.c: on the agent's thread */
void start_agent_claim(struct agent *a, struct agent_claim *c, int64_t now);
void step_agent_claims(struct agent *a, int64_t now, int64_t *until);
void handle_claim_outcome(
    struct agent *a, struct agent_outcome *o, int64_t now);
void end_agent_claims(struct agent *a, int64_t now); /* reports the rest */

/* agent_allotments.c: on the agent's thread */
void start_agent_ask(struct agent *a, int64_t now); /* a new one, if any */
void handle_ask_outcome(struct agent *a, struct agent_outcome *o, int64_t now);
void free_agent_ask(struct agent *a); /* without running its function */

/* agent_leavings.c: on the agent's thread */
void start_agent_leavings(struct agent *a, int64_t now); /* new ones, if any */
void handle_leavings_outcome(
    struct agent *a, struct agent_outcome *o, int64_t now);
void free_agent_leavings(struct agent *a); /* without running its function */

#endif
