/*
 * State of a caller's connection, shared by caller.c (the socket) and
 * pipeline.c (the order of its requests and answers).
 */
#ifndef CALLER_STATE_H
#define CALLER_STATE_H

#include "node_state.h"

/* A connection of a caller. */
struct caller {
	struct node *node;
	struct caller *next, **prev; /* in the node's list */
	request_fn handle;
	struct watch watch;
	struct timer timer; /* read, write, idle or linger time-out */
	struct request *first, **tail; /* requests in the order of arrival */
	int depth; /* requests in the list */
	struct buf input; /* bytes read beyond the last request */
	int64_t input_at; /* mono ns; when input was read */
	struct buf out;
	size_t out_sent;
	bool input_ended; /* no further request is read */
	bool closing; /* the answer in out is the last one */
	bool lingering; /* answered; discards input until the caller closes */
	bool busy; /* progress_caller() is running */
	bool closed; /* its requests are ended at the end of the round */
};

/* pipeline.c */
void append_pipeline(struct caller *c, struct request *q);
void remove_pipeline(struct caller *c, struct request *q);
/* The request whose bytes are being read; NULL: none */
struct request *get_reading(const struct caller *c);
bool has_unanswered(const struct caller *c); /* complete, not answered */
bool may_read_request(const struct caller *c);
/* Starts the request, or keeps it until those before it are answered. */
void start_in_order(struct caller *c, struct request *q);
bool start_held_request(struct caller *c); /* false: none can start */
/* Keeps the answer of a request; ERR_MEMORY. */
int keep_answer(
    struct request *q, int status, struct str head, struct str body);
int collect_answers(struct caller *c); /* into out; ERR_MEMORY */

#endif
