/*
 * The data path of a node: accepts calls from callers and from other nodes,
 * picks an endpoint, admits calls to the node's own backend server and answers
 * each call exactly once with ran, failed, not-run or unknown.
 */
#ifndef PROXY_H
#define PROXY_H

#include "agent.h"
#include "base.h"
#include "event.h"

#define PROXY_ADDRESS_BYTES 64 /* "IP:port" with NUL */
#define PROXY_BODY_MEMORY_DEFAULT (64LL * 1024 * 1024) /* bytes */

struct proxy;

/* The node's own backend server; without a service there is none. */
struct proxy_backend {
	const char *service; /* NULL or "": the node is an entry node only */
	const char *address; /* IP:port */
	int slots; /* calls that it runs concurrently */
	int connections; /* maximum to each peer, nodes included; 0: 100 */
	const char *health_path; /* NULL: "/health" */
};

/* Strings are copied by start_proxy(). */
struct proxy_config {
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	struct agent *agent; /* outlives the proxy */
	const char *node; /* node name, the endpoint's id */
	const char *zone;
	const char *listen; /* IP:port for callers and other nodes */
	const char *admin_listen; /* IP:port; NULL: no admin listener */
	struct proxy_backend backend;
	int64_t body_memory; /* bytes of buffered request bodies; 0: default */
	int drain_s; /* maximum wait of drain_proxy(); 0: largest of the rows */
	uint64_t seed; /* of picks and retry jitter; 0: random */
};

/* Binds the listeners and starts the threads. */
int start_proxy(
    const struct proxy_config *cfg, struct proxy **out, struct fault *f);

/*
 * Announces draining, refuses new calls as not run and waits until the accepted
 * calls have ended; ERR_TIMEOUT when some outlast the largest drain_s.
 */
int drain_proxy(struct proxy *p);

/* Cancels all calls, closes the listeners and frees p; p may be NULL. */
void stop_proxy(struct proxy *p);

/* Whether a shutdown was requested by POST /drain on the admin listener. */
bool is_proxy_drain_requested(const struct proxy *p);

/* The port bound for calls or for admin, for tests that listen on port 0. */
int get_proxy_port(const struct proxy *p, bool admin);

/* Appends the state as a JSON object that includes the agent's status. */
int render_proxy_status(struct proxy *p, struct buf *out);

/* Appends the current table as CSV; nothing without a table. */
int render_proxy_table(struct proxy *p, struct buf *out);

#endif
