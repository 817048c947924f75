/*
 * A control process: the replicated table, the claims, the endpoint registry,
 * the watch service of the nodes and the HTTP API of the operators.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "base.h"
#include "event.h"

#define CONTROL_PEER_MAX 17 /* control processes of one fleet */

struct control;
struct rpc_fault_hooks;
struct table;

/* A request on the operators' listener. */
struct control_request {
	const char *method;
	const char *path;
	struct str body;
	const char *(*get_header)(void *arg, const char *name); /* or NULL */
	void *arg;
};

struct control_answer {
	int status; /* of HTTP */
	const char *type; /* of the body */
	struct buf body;
};

/* Another form of the operators' API; false: not one of its requests. */
typedef bool (*control_api_fn)(struct control *c,
    const struct control_request *q, struct control_answer *a);

/* Strings are copied; a NULL or empty one means not set. */
struct control_config {
	/*
	 * This process; 1 or higher, never used again. With auto_members it is
	 * 0: the process keeps an id of its own in its data folder.
	 */
	uint64_t id;
	/*
	 * The group manages its members by itself: a process finds it through
	 * the seeds, joins, and takes the place of a voter that is gone. peers
	 * stays empty.
	 */
	bool auto_members;
	bool first_start; /* of the whole fleet: seeds with no data found */
	size_t voters_wanted; /* odd; with auto_members */
	const char *seeds[CONTROL_PEER_MAX]; /* "IP:port", self may be one */
	size_t seed_count;
	/* "id=IP:port" of the founding voters, this one included; a voter
	 * that is not among them joins when it is added as a member. */
	const char *peers[CONTROL_PEER_MAX];
	size_t peer_count;
	const char *relays[CONTROL_PEER_MAX]; /* "id=IP:port" of the relays */
	size_t relay_count;
	const char *zone; /* availability zone */
	const char *rpc_listen; /* "IP:port" */
	const char *http_listen; /* "IP:port" */
	const char *data_dir; /* voter; NULL: relay */
	struct str key; /* fleet key in use */
	struct str next_key; /* also accepted; empty: none */
	const char *token_file; /* operators; NULL: loopback listener only */
	const char *metrics_listen; /* IP:port for metrics alone, or NULL */
	int open_ms; /* until a peer takes a connection; 0: default of rpc.h */
	bool open_api; /* everybody who reaches the listener is an operator */
	control_api_fn api; /* asked before the own API; may be NULL */
	const char *tls_cert_file; /* PEM; NULL: plain HTTP */
	const char *tls_key_file; /* PEM, mode 0600 or stricter */
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	uint64_t seed; /* of jitter and election timeouts */
	const struct rpc_fault_hooks *hooks; /* of the transport; tests only */
	uint32_t snapshot_rate; /* tables of 16 KB a second; 0: 1000 */
};

int start_control(const struct control_config *cfg, struct control **out,
    struct fault *f); /* listens before it returns */
void stop_control(struct control *c); /* closes connections, joins threads */

/* Takes other seeds, from settings that changed. */
int set_control_seeds(
    struct control *c, const char *const *seeds, size_t count);

/*
 * Replaces the whole table on top of a version. The table has the number that
 * the operator chose; source is the text that it was read from, given back by
 * read_control_source(). Waits for the quorum. Returns 0 also for a replacement
 * that was accepted before; ERR_CONFLICT when another version is in force,
 * ERR_INVALID, ERR_UNAVAILABLE (it takes no effect) or ERR_UNKNOWN.
 */
int replace_control_table(struct control *c, uint64_t base,
    const struct table *t, struct str source, struct fault *f);
/*
 * Appends the text of the table in force after a confirmed read. Returns
 * ERR_UNAVAILABLE without contact to a quorum, ERR_NOT_FOUND without a text.
 */
int read_control_source(struct control *c, struct buf *out, uint64_t *version);

uint64_t get_control_version(struct control *c); /* table held; 0: none */
bool is_control_leader(struct control *c);
bool has_control_failed(struct control *c, struct fault *f); /* must end */
int render_control_status(struct control *c, struct buf *out); /* JSON */

#endif
