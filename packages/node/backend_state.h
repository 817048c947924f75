/*
 * State of the node's backend server and of the connections to it; included by
 * backend.c and backend_conn.c only.
 */
#ifndef BACKEND_STATE_H
#define BACKEND_STATE_H

#include "node_state.h"

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
	char id[CALL_ID_BYTES]; /* call id */
	struct buf out;
	size_t out_sent;
	size_t sent_body_at; /* unused */
	bool reused; /* has carried earlier calls */
	bool close_after_use; /* not reusable after the current call */
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
	char address[NODE_ADDRESS_BYTES];
	int64_t start_ms;
	uint64_t seq;
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
};

/* backend.c */
void record_backend_connect_failure(struct node *n);

/* backend_conn.c */
void close_conns(struct backend_conn *list);

#endif
