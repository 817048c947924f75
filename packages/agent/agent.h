/*
 * The node's client of the control processes: keeps the table and the endpoint
 * sets up to date, announces the node's own endpoint, opens and closes claims.
 */
#ifndef AGENT_H
#define AGENT_H

#include "base.h"
#include "event.h"
#include "table.h"
#include "wire.h"

#define AGENT_CONTROL_MAX 17 /* configured control processes */
#define AGENT_KNOWN_CONTROLS_MAX 32 /* with the group's members */
#define AGENT_HEARTBEAT_MS 10000 /* longest wait of a watch */
#define AGENT_OVERDUE_MS 12000 /* then an unanswered watch is overdue */
#define AGENT_ROLLOUTS_MAX WIRE_ROLLOUTS_MAX
#define AGENT_VERSION_BYTES 33 /* of a backend server, with NUL */
#define AGENT_STALE_MS 2000 /* no leader contact: control is stale */

struct agent;
struct rpc_fault_hooks; /* rpc.h */

struct agent_config {
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	const char *node; /* node name */
	const char *zone;
	const char *controls[AGENT_CONTROL_MAX]; /* "IP:port" */
	const char *control_zones[AGENT_CONTROL_MAX]; /* NULL: not known */
	size_t control_count;
	struct str key; /* fleet key in use */
	struct str next_key; /* also accepted; empty: none */
	const char *interest[WIRE_INTEREST_MAX]; /* subscribed to at start */
	size_t interest_count;
	uint64_t seed; /* of the order of control processes and of jitter */
	int connect_ms; /* timeout, handshake included; 0: default of rpc.h */
	int tcp_connect_ms; /* timeout of connect() alone; 0: connect_ms */
	bool discover_controls; /* also use the members of the group */
	int heartbeat_ms; /* longest wait of a watch; 0: AGENT_HEARTBEAT_MS */
	int overdue_ms; /* longest wait for a reply; 0: AGENT_OVERDUE_MS */
	int reconnect_ms; /* first delay, full jitter; 0: default */
	int reconnect_max_ms; /* the delay doubles up to this; 0: default */
	bool rollouts; /* ask for roll-outs and report what is seen of them */
	/* Runs on the agent's thread after a change of what it holds. */
	void (*on_change)(void *arg);
	void *on_change_arg;
	const struct rpc_fault_hooks *hooks; /* tests; may be NULL */
};

/* The endpoints of one service; immutable and reference-counted. */
struct endpoint_set {
	char service[TABLE_NAME_BYTES];
	uint64_t set_version;
	size_t count;
	struct wire_endpoint *endpoints; /* sorted by id */
	int refs; /* used only by the agent */
};

/* The outcome of a claim request. */
struct claim_result {
	int status; /* 0: granted or closed; ERR_CONFLICT: key is taken; ... */
	enum wire_claim_state state; /* of the claim that holds the key */
	int http_status;
	struct str answer; /* valid during the callback */
	bool answer_whole; /* answer is complete */
};

typedef void (*claim_fn)(void *arg, const struct claim_result *result);

/*
 * A claim to open or close. Strings are copied. Every open needs a new
 * claim_id, since an open that is not granted may be closed as not run at any
 * later time.
 */
struct claim_request {
	struct str kind;
	struct str key;
	unsigned char claim_id[WIRE_CLAIM_ID_BYTES];
	enum wire_claim_state state; /* WIRE_CLAIM_OPEN opens, others close */
	uint32_t keep_s; /* retention of the claim */
	int http_status; /* of the answer to store */
	struct str answer;
	bool answer_whole; /* answer is complete */
	int timeout_ms; /* until fn runs at the latest */
};

/* Replaces the seed addresses, which serve when no member answers. */
int set_agent_seeds(
    struct agent *a, const char *const *addresses, size_t count);

int start_agent(
    const struct agent_config *cfg, struct agent **out, struct fault *f);
void stop_agent(struct agent *a); /* announces GONE if connected, then ends */

/* The table in force; NULL before the first one. Its version only rises. */
const struct table *acquire_table(struct agent *a);
void release_table(struct agent *a, const struct table *t);

/*
 * The endpoints of a service; NULL when they have not arrived. The first
 * request for a service adds it to the interest.
 */
const struct endpoint_set *acquire_endpoints(
    struct agent *a, struct str service);
void release_endpoints(struct agent *a, const struct endpoint_set *s);

/* The newest roll-out of a service. */
struct agent_rollout {
	char service[TABLE_NAME_BYTES];
	char target[AGENT_VERSION_BYTES]; /* version that it moves to */
	uint64_t number; /* of the order */
	int phase; /* enum rollout_phase */
};

/* The list of roll-outs, one a service. */
struct rollout_view {
	uint64_t change; /* counts the changes of the list */
	int64_t received_at; /* mono ns; last answer; 0: none yet */
	struct agent_rollout items[AGENT_ROLLOUTS_MAX];
	size_t count;
};

void get_agent_rollouts(struct agent *a, struct rollout_view *out);
int64_t get_rollout_contact(struct agent *a); /* received_at of the list */
/* Sends an encoded wire_rollouts_args once; takes over the bytes. */
void report_rollouts(struct agent *a, struct buf *report);

/* Announces this node's endpoint; the agent sets incarnation and seq. */
int announce_endpoint(struct agent *a, const struct wire_endpoint *self);

/*
 * Sends a claim request without blocking. fn runs exactly once, on the agent's
 * thread or in stop_agent(); it does not run when an error is returned:
 * ERR_LIMIT when too many claims are unfinished, ERR_INVALID for a bad name or
 * length, ERR_CLOSED, ERR_MEMORY. An open without an answer in time is reported
 * as ERR_UNAVAILABLE and closed as not run in the background until a control
 * process confirms it. A close without an answer in time is reported as
 * ERR_UNKNOWN and continues in the background.
 */
int request_claim(
    struct agent *a, const struct claim_request *req, claim_fn fn, void *arg);

/*
 * The answer to an ask for allotments, on the agent's thread. reply is NULL
 * unless status is 0.
 */
typedef void (*allotment_fn)(
    void *arg, int status, const struct wire_allotment_reply *reply);

/*
 * Sends an ask to the leader of the control group, without blocking; the agent
 * sets args->node. fn runs at most once, after timeout_ms at the latest, with 0
 * or ERR_UNAVAILABLE. Returns ERR_LIMIT while another ask is under way, ERR_CLOSED,
 * or the errors of encode_wire(), without running fn.
 */
int request_allotment(struct agent *a, const struct wire_allotment_args *args,
    int timeout_ms, allotment_fn fn, void *arg);
/* fn of an ask under way does not run after it returns. */
void cancel_allotment(struct agent *a);

/*
 * The answer to a request of leavings, on the agent's thread: those that the
 * control group keeps for this node, unless status is an error.
 */
typedef void (*leavings_fn)(
    void *arg, int status, const struct wire_leaving *items, size_t count);

/*
 * Adds leavings to those that the control group keeps for this node, or only
 * reads them if count is 0; does not block. The strings are copied. fn runs at
 * most once, after timeout_ms at the latest, with 0 (a quorum has them),
 * ERR_UNAVAILABLE, or ERR_NOT_FOUND if the control processes are of a build
 * that keeps none. Returns ERR_LIMIT while another request is under way,
 * ERR_CLOSED, or the errors of encode_wire(), without running fn.
 */
int request_leavings(struct agent *a, const struct wire_leaving *items,
    size_t count, int timeout_ms, leavings_fn fn, void *arg);
/* fn of a request under way does not run after it returns. */
void cancel_leavings(struct agent *a);

/* Replaces the fleet keys; see rpc.h. ERR_INVALID for a bad key. */
int set_agent_keys(struct agent *a, struct str key, struct str next_key);

/* Makes the agent read its clock again, after a test moved a paused one. */
void wake_agent(struct agent *a);

/* Returns whether the current control process has answered a watch. */
bool is_agent_attached(struct agent *a);

/* Appends the state as a JSON object, for the node's admin listener. */
int render_agent_status(struct agent *a, struct buf *out);

#endif
