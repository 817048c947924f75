/*
 * A control process: the replicated table, the claims, the endpoint registry,
 * the watch service of the nodes and the HTTP API of the operators.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "allotment_ledger.h"
#include "base.h"
#include "event.h"

#define CONTROL_PEER_MAX 17 /* control processes of one fleet */
#define CONTROL_VERSION_BYTES 33 /* of a backend server, with NUL */
#define CONTROL_REASON_BYTES 321 /* of a roll-out, with NUL */

struct control;
struct rpc_fault_hooks;
struct table;

/* An HTTP request on the operators' listener. */
struct control_request {
	const char *method;
	const char *path;
	struct str body;
	/* Returns the value of a header, or NULL. */
	const char *(*get_header)(void *arg, const char *name);
	void *arg; /* of get_header */
};

struct control_answer {
	int status; /* HTTP status code */
	const char *type; /* Content-Type */
	struct buf body; /* freed by the listener */
};

/*
 * Serves requests of an additional API on the operators' listener. Returns
 * false for a request that does not belong to it.
 */
typedef bool (*control_api_fn)(struct control *c,
    const struct control_request *q, struct control_answer *a);

/* Strings are not used after start_control(); NULL means not set. */
struct control_config {
	/*
	 * Id of this process: 1 or higher, never reused for another one. 0
	 * with auto_members: the id is then stored in the data folder.
	 */
	uint64_t id;
	/*
	 * The group manages its members by itself: a process finds it through
	 * the seeds, joins, and replaces a voter that has failed. peers stays
	 * empty.
	 */
	bool auto_members;
	bool first_start; /* of the fleet: seeds without data bootstrap it */
	size_t voters_wanted; /* odd; with auto_members */
	const char *seeds[CONTROL_PEER_MAX]; /* "IP:port"; may include self */
	size_t seed_count;
	/* "id=IP:port" of the voters that bootstrap the group, this process
	 * included; any other voter joins when it is added as a member. */
	const char *peers[CONTROL_PEER_MAX];
	size_t peer_count;
	const char *relays[CONTROL_PEER_MAX]; /* "id=IP:port" of the relays */
	size_t relay_count;
	const char *zone; /* availability zone */
	const char *rpc_listen; /* "IP:port" */
	const char *http_listen; /* "IP:port" */
	const char *data_dir; /* of a voter; NULL: this process is a relay */
	struct str key; /* fleet key in use */
	struct str next_key; /* also accepted; empty: none */
	const char *token_file; /* operators; NULL: loopback listener only */
	const char *metrics_listen; /* "IP:port", metrics only; or NULL */
	int tcp_connect_ms; /* connect timeout to a peer; 0: default of rpc.h */
	bool allow_unauthenticated; /* any client is an operator */
	control_api_fn api; /* tried before the built-in API; may be NULL */
	const char *tls_cert_file; /* PEM; NULL: plain HTTP */
	const char *tls_key_file; /* PEM, mode 0600 or stricter */
	int64_t memory; /* of the VM, bytes; 0: unlimited */
	int64_t descriptors; /* of the process; 0: unlimited */
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	uint64_t seed; /* of jitter and election timeouts */
	const struct rpc_fault_hooks *hooks; /* fault injection; tests only */
	bool rollouts; /* operators may start roll-outs */
	struct ledger_tolerance tolerance; /* beyond rates of accounts */
	uint32_t snapshot_rate; /* full tables of 16 KB per second; 0: 1000 */
};

/*
 * Listens on all its addresses before it returns. On error nothing is left
 * running, and f names the remedy.
 */
int start_control(
    const struct control_config *cfg, struct control **out, struct fault *f);
void stop_control(struct control *c); /* closes connections, joins threads */

/* Replaces the seeds after a change of the settings. */
int set_control_seeds(
    struct control *c, const char *const *seeds, size_t count);

/*
 * Replaces the full table, based on version base. The operator chose the
 * number of the new version; source is the text that the table was parsed
 * from, which read_control_source() returns. Waits for the quorum. Returns 0,
 * also for a replacement that was accepted before; ERR_CONFLICT when another
 * version is in force, ERR_INVALID, ERR_UNAVAILABLE (not applied) or
 * ERR_UNKNOWN (may still be applied).
 */
int replace_control_table(struct control *c, uint64_t base,
    const struct table *t, struct str source, struct fault *f);
/*
 * Appends the source text of the table in force after a confirmed read.
 * Returns ERR_UNAVAILABLE without contact to a quorum, ERR_NOT_FOUND when the
 * table has no source text.
 */
int read_control_source(struct control *c, struct buf *out, uint64_t *version);

/* The newest roll-out of a service. */
struct control_rollout {
	const char *state; /* "running", "completed", "rolled_back" */
	char target[CONTROL_VERSION_BYTES]; /* version that it moves to */
	double duration_s; /* that the operator gave */
	char reason[CONTROL_REASON_BYTES]; /* of the state; may be empty */
};

/*
 * Orders to move a service to another version of its backend servers within
 * duration_s. Waits for the quorum. Returns 0, also for an order that is in
 * force; ERR_INVALID, ERR_NOT_FOUND (no such service), ERR_CONFLICT (another
 * roll-out of it runs), ERR_LIMIT, ERR_UNAVAILABLE (not applied) or ERR_UNKNOWN
 * (may still be applied). f names the remedy.
 */
int start_control_rollout(struct control *c, const char *service,
    const char *target, double duration_s, struct fault *f);
/* After a confirmed read. ERR_UNAVAILABLE; ERR_NOT_FOUND: there was none. */
int read_control_rollout(
    struct control *c, const char *service, struct control_rollout *out);

uint64_t get_control_version(struct control *c); /* local table; 0: none */
bool is_control_leader(struct control *c);
/* True when the process must end; f then gives the reason. */
bool has_control_failed(struct control *c, struct fault *f);
int render_control_status(struct control *c, struct buf *out); /* JSON */

#endif
