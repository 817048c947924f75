/*
 * The backend server beside the node and its connections, shared by backend.c
 * and backend_conn.c only.
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
	struct backend_conn *next; /* in the list of idle or busy ones */
	enum conn_state state;
	struct watch watch;
	struct timer timer; /* opening, or idle for too long */
	struct http_reader reader;
	struct job *job; /* of the call that runs */
	char id[CALL_ID_BYTES]; /* of the call */
	struct buf out;
	size_t out_at;
	size_t sent_body_at; /* bytes of out that are head */
	bool reused; /* it carried calls before this one */
	bool spoilt; /* closes after the present call */
	int strays;
	int64_t idle_since;
	int64_t started; /* mono ns; the call was sent; 0: not yet */
	struct buf head; /* header lines of the answer */
};

/* What is known of the backend server. */
struct backend {
	struct node *node;
	bool reported;
	char instance[NODE_ID_BYTES];
	char address[NODE_ADDRESS_BYTES];
	int64_t born_ms;
	uint64_t seq;
	enum report_state state;
	int slots;
	bool announced;
	enum wire_endpoint_state announced_state;
	struct backend_conn *idle; /* last used first */
	struct backend_conn *busy;
	int conn_count;
	int connect_failures; /* in a row */
	struct timer down_timer;
	bool down; /* it does not take connections */
};

/* backend.c: the server does not take connections */
void note_connect_failure(struct node *n);

/* backend_conn.c */
void close_conns(struct backend_conn *list);

#endif
