/*
 * State of the node's backend server and of the connections to it; included by
 * backend.c, backend_conn.c, leavings.c, notice.c and report_order.c only.
 */
#ifndef BACKEND_STATE_H
#define BACKEND_STATE_H

#include "node_state.h"

#define NO_RATE_LIMIT (-1.0)

enum conn_state {
	CONN_OPENING,
	CONN_BUSY,
	CONN_IDLE,
};

/* A connection to the backend server. */
struct backend_conn {
	struct node *node;
	struct backend_conn *next; /* in backend.idle or backend.busy */
	enum conn_state state;
	struct watch watch;
	struct timer timer; /* connect time-out or idle time-out */
	struct http_reader reader;
	struct job *job; /* whose call is being sent or run; NULL: none */
	struct buf id; /* of the call; empty: it has none */
	struct buf out; /* head, and a short body */
	size_t out_sent;
	struct str body; /* of the job: what is left to send of a long body */
	bool reused; /* has carried earlier calls */
	uint64_t run; /* of the backend server when the call was sent */
	bool close_after_use; /* not reusable after the current call */
	bool reset; /* while the call was sent; no close ends its answer */
	int unexpected_answers; /* to other calls, discarded during this one */
	int interim_answers; /* with status below 200, of this call */
	int64_t idle_since; /* mono ns */
	int64_t sent_at; /* mono ns; start of sending the call; 0: not yet */
	struct buf head; /* header lines of the answer to pass on */
};

/* The backend server, by its reports and its connections. */
struct backend {
	struct node *node;
	bool reported; /* at least one report has been accepted */
	char instance[NODE_ID_BYTES];
	char version[NODE_VERSION_BYTES];
	char address[NODE_ADDRESS_BYTES];
	int64_t start_ms;
	uint64_t seq;
	int64_t reported_at; /* mono ns; last accepted report */
	struct earlier_birth {
		int64_t start_ms; /* 0: none */
		uint64_t seq; /* of the first report */
		int64_t reported_at; /* mono ns; first report */
	} earlier; /* that has reported since the last accepted report */
	struct leaving leavings[LEAVINGS_MAX];
	enum report_state state;
	int slots;
	bool announced; /* to the control processes */
	enum wire_endpoint_state announced_state;
	struct backend_conn *idle; /* most recently used first */
	struct backend_conn *busy; /* opening or running a call */
	int conn_count;
	int connect_failures; /* in a row */
	struct timer down_timer;
	bool down; /* does not accept connections */
	uint64_t run; /* counts the starts of the backend server */
	double rate_per_s; /* limit that it names, or NO_RATE_LIMIT */
	bool bad_notice; /* a notice could not be read, which was logged */
	bool answered; /* an answer of this run told what it says now */
	struct buf notice; /* struct hop_notice as sent last; may be empty */
	double sent_rate; /* in notice */
	int64_t notice_at; /* mono ns; when it was sent */
	struct returned_notice {
		char instance[NODE_ID_BYTES];
		int64_t start_ms;
		double rate_per_s; /* or NO_RATE_LIMIT */
		bool leaving;
	} returned; /* by entry nodes, before the server's first report */
};

/* backend.c */
void record_backend_connect_failure(struct node *n);
void mark_backend_leaving(struct node *n); /* it said so in an answer */

/* report_order.c */
bool is_stale_report(
    struct backend *b, const struct backend_report *r, int64_t now);
/*
 * Of a report that will be acknowledged; wall_ms: the time of day, Unix ms.
 * Returns whether a leaving was not known yet.
 */
bool record_reported_leaving(struct backend *b, const struct backend_report *r,
    int64_t now, int64_t wall_ms);
/* The instance leaves; it was started at born_until_ms or before. */
bool record_leaving(struct backend *b, const char *instance,
    int64_t born_until_ms, int64_t now);
bool is_from_leaving(
    const struct backend *b, const struct backend_report *r, int64_t now);
bool is_leaving_kept(const struct leaving *l, int64_t now); /* not forgotten */
struct leaving *find_leaving(
    struct backend *b, const char *instance); /* NULL */
bool has_leavings(const struct backend *b, int64_t now);

/* notice.c */
/* An earlier process has acknowledged it; recorded: the control group has it. */
void adopt_leaving(
    struct node *n, const char *instance, int64_t born_until_ms, bool recorded);
void apply_answer_notices(
    struct node *n, const struct http_head *h, bool sealed);
void update_notice(struct node *n); /* encodes what entry nodes get */
void start_notices(struct node *n); /* the server has started anew */

/* backend_conn.c */
void close_conns(struct backend_conn *list);

#endif
