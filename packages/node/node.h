/*
 * The data path of a node: takes calls from callers by host and path, chooses a
 * serving node, admits calls to the node's own backend server, and answers each
 * call once. One thread runs all of it.
 */
#ifndef NODE_H
#define NODE_H

#include "agent.h"
#include "base.h"
#include "http.h"

#define NODE_ADDRESS_BYTES 64 /* "IP:port" with NUL */
#define NODE_ID_BYTES 65 /* ids of nodes and backend servers, with NUL */

struct node;

/*
 * Header names of the interface towards callers and backend servers. A NULL
 * name is not used.
 */
struct call_names {
	const char *call_id; /* of a call; the backend server echoes it */
	const char *deadline_ms; /* time that the caller waits */
	const char *expect_instance; /* run only at this instance */
	const char *instance; /* of the backend server that answers */
	const char *not_executed; /* answer: the call was not run */
	const char *seal; /* answer: signature of the backend server */
	const char *caller_service; /* service beside which a call began */
};

/* What a backend server says of itself. */
enum report_state {
	REPORT_READY,
	REPORT_DRAINING, /* takes no new calls, finishes the old ones */
	REPORT_GONE, /* ends soon */
};

struct backend_report {
	char id[NODE_ID_BYTES]; /* instance */
	char service[TABLE_NAME_BYTES]; /* empty: not told */
	char address[NODE_ADDRESS_BYTES]; /* empty: not told */
	enum report_state state;
	int slots; /* calls that it runs at a time; 0: not told */
	int64_t born_ms; /* its start, Unix time; 0: not told */
	uint64_t seq; /* grows with each report of an instance; 0: not told */
};

/* An answer to a request on one of the node's own interfaces. */
struct own_answer {
	int status;
	const char *type; /* of the body; NULL: no body */
	struct buf body;
};

/*
 * Reads requests on the reports listener. read_report returns 0 with a report,
 * ERR_NOT_FOUND for another path, ERR_INVALID with a fault.
 */
struct report_reader {
	int (*read_report)(const struct http_head *head, struct str body,
	    struct backend_report *out, struct fault *f);
	bool (*is_ready_question)(const struct http_head *head);
};

/* Strings are copied by start_node(). */
struct node_config {
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	struct agent *agent; /* outlives the node; on_change: refresh_node() */
	const char *name; /* unique; the endpoint's id */
	const char *zone;
	const char *calls_listen; /* callers */
	const char *links_listen; /* other nodes */
	const char *ready_listen; /* NULL: none */
	const char *reports_listen; /* the backend server's; NULL: none */
	const char *metrics_listen; /* NULL: none */
	const char *service; /* of the backend server; NULL: entry node only */
	const char *backend; /* its address */
	int connections; /* most connections to it; 0: 100 */
	int64_t body_memory; /* bytes of bodies in memory; 0: 64 MiB */
	int64_t link_rate; /* of the machine, bytes a second; 0: not bounded */
	double retry_ratio; /* retries, by calls of a service; 0: 0.2 */
	int retry_slack; /* retries more than that, of all nodes together */
	int64_t retry_window_ns; /* over which both count; 0: 10 s */
	/*
	 * A backend server that said it leaves gets no call after this time;
	 * 0: 2 s.
	 */
	int64_t drain_ns;
	int64_t leave_ns; /* callers notice a stop within this time */
	int64_t stop_ns; /* longest time from a stop request to the end */
	struct call_names names;
	struct report_reader reports;
	uint64_t seed;
};

int start_node(
    const struct node_config *cfg, struct node **out, struct fault *f);
/* Takes up a change of the table or the endpoints; any thread. */
void refresh_node(void *node);
/* Stops taking calls, lets those under way end, and returns when done. */
void drain_node(struct node *n);
void stop_node(struct node *n); /* frees it */

int render_node_status(struct node *n, struct buf *out); /* JSON */

#endif
