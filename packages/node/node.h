/*
 * The data path of a node: routes callers' requests by host and path, chooses a
 * serving node, admits calls to the node's own backend server, and answers each
 * call exactly once. A single thread runs all of it.
 */
#ifndef NODE_H
#define NODE_H

#include "agent.h"
#include "base.h"
#include "http.h"

#define NODE_ADDRESS_BYTES 64 /* "IP:port" with NUL */
#define NODE_VERSION_BYTES 33 /* of a backend server, with NUL */
#define NODE_ID_BYTES 65 /* ids of nodes and backend servers, with NUL */

struct node;

/*
 * Header names used with callers and backend servers. A header whose name is
 * NULL is neither read nor sent.
 */
struct call_names {
	const char *call_id; /* the backend server echoes it */
	const char *deadline_ms; /* caller timeout */
	const char *expect_instance; /* instance that may run the call */
	const char *instance; /* id of the answering backend server */
	const char *not_executed; /* in an answer: the call has not run */
	const char *seal; /* in an answer: the backend server's signature */
	const char *caller_service; /* service whose node sends the call */
	const char *key; /* of the client's account, as "SCHEME KEY" */
	const char *key_scheme; /* such as Bearer */
	const char *account; /* its name, for the backend server */
	const char *rate_limit; /* in an answer: calls per second it accepts */
	const char *leaving; /* in an answer: "1" while the server leaves */
};

/* State that a backend server reports about itself. */
enum report_state {
	REPORT_READY,
	REPORT_DRAINING, /* finishes running calls, takes no new ones */
	REPORT_GONE, /* is about to exit */
};

struct backend_report {
	char id[NODE_ID_BYTES]; /* instance id */
	char service[TABLE_NAME_BYTES]; /* empty: not reported */
	char address[NODE_ADDRESS_BYTES]; /* empty: not reported */
	char version[NODE_VERSION_BYTES]; /* empty: not reported */
	enum report_state state;
	int slots; /* concurrent calls; 0: not reported */
	int64_t start_ms; /* start time, Unix ms; 0: not reported */
	uint64_t seq; /* increases with each report; 0: not reported */
};

/* An answer that the node itself gives: readiness, reports, metrics. */
struct local_answer {
	int status;
	const char *type; /* of the body; NULL: no body */
	struct buf body;
};

/*
 * Parses requests of the reports and readiness listeners. read_report returns
 * 0 and fills out, ERR_NOT_FOUND for a path that is not a report, or
 * ERR_INVALID and sets the fault. Without is_readiness_check every path of the
 * readiness listener is answered.
 */
struct report_reader {
	int (*read_report)(const struct http_head *head, struct str body,
	    struct backend_report *out, struct fault *f);
	bool (*is_readiness_check)(const struct http_head *head);
};

/* start_node() copies the strings. */
struct node_config {
	struct clock_source clock;
	/* Counts suspensions, see get_boot_clock(); zeroed: clock */
	struct clock_source boot_clock;
	struct event_log *events; /* may be NULL */
	/* Outlives the node; its on_change callback is refresh_node(). */
	struct agent *agent;
	const char *name; /* unique; also the endpoint id */
	const char *zone;
	const char *calls_listen; /* for callers */
	const char *links_listen; /* for other nodes */
	const char *ready_listen; /* NULL: none */
	const char *reports_listen; /* for the backend server; NULL: none */
	const char *metrics_listen; /* NULL: none */
	const char *service; /* of the backend server; NULL: entry node only */
	const char *backend; /* its address */
	int connections; /* maximum to the backend server; 0: 100 */
	int64_t memory; /* of the VM, bytes; 0: unlimited */
	int64_t descriptors; /* of the process; 0: unlimited */
	int64_t link_rate; /* of the VM's link, bytes/s; 0: unlimited */
	double retry_ratio; /* retries per call of a service; 0: 0.2 */
	int retry_slack; /* additional retries of all nodes together */
	double hedge_share; /* hedged sends per repeatable call; 0: none */
	int64_t retry_window_ns; /* window of both limits; 0: 10 s */
	/*
	 * Time for which a backend server still accepts calls after it
	 * reported that it is leaving; 0: 2 s.
	 */
	int64_t drain_ns;
	int64_t leave_ns; /* callers notice a stop within it; 0: 2 s */
	int64_t stop_ns; /* longest stop, from request to exit; 0: 30 s */
	/*
	 * Of the calls to a service, the share that a bad new version may get
	 * during a roll-out; 0: roll-outs are ignored, and so are versions.
	 */
	double trial_share;
	int64_t rollback_ns; /* to end the calls to a bad version; 0: 5 s */
	struct call_names names;
	struct report_reader reports;
	uint64_t seed;
};

int start_node(
    const struct node_config *cfg, struct node **out, struct fault *f);
/* Applies a changed table or endpoint set; may be called by any thread. */
void refresh_node(void *node);
/* Stops accepting calls and returns when those in flight have ended. */
void drain_node(struct node *n);
void stop_node(struct node *n); /* frees it */

int render_node_status(struct node *n, struct buf *out); /* JSON; ERR_MEMORY */

#endif
