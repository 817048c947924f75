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
	struct listener *listener;
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
	bool stopped; /* not read now; counted in node.stopped_callers */
	int rank; /* of the request being read; MEMORY_RANK_UNKNOWN */
	int64_t progress_at; /* mono ns; bytes were last received or sent */
};

/* caller_memory.c */
/*
 * Makes others give way until the connection may take more bytes within level,
 * a share of the budget; false: it has to give way itself.
 */
bool make_room(struct caller *c, size_t more, size_t level);
bool make_input_room(struct caller *c, size_t more); /* by its request */
size_t get_input_growth(const struct caller *c, size_t len);
struct memory_holder describe_holder(const struct caller *c);
void set_caller_stopped(struct caller *c, bool stopped);
void free_caller_buffers(struct caller *c); /* of a closed connection */

/* caller.c */
void yield_caller(struct caller *c); /* refuses its request or closes it */

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
