/*
 * One HTTP exchange with a backend server or another node, over curl's pool of
 * keep-alive connections. The request is sent at most once.
 */
#ifndef TRANSFER_H
#define TRANSFER_H

#include "loop.h"
#include "policy.h"

#define TRANSFER_BODY_MAX (16LL * 1024 * 1024) /* bytes of an answer's body */
#define TRANSFER_HEAD_MAX (64 * 1024) /* bytes of an answer's headers */

struct transfer;
struct transfer_pool;

typedef void (*transfer_fn)(void *arg, struct transfer *t);

/* What to send. Strings and body stay valid until the transfer is freed. */
struct transfer_request {
	const char *address; /* "IP:port" */
	const char *target; /* path with query, as received */
	const char *method;
	struct curl_slist *headers; /* freed with the transfer */
	const char *body;
	size_t body_len;
	const char *call_id; /* the answer must carry it */
	bool new_connection; /* do not reuse a connection */
	int connect_ms; /* timeout of opening a connection */
};

/* The answer, valid until the transfer is freed. */
struct transfer_answer {
	struct attempt_facts facts; /* repeatable is set by the caller */
	enum refuse_reason reason; /* of a refusal; REFUSE_NONE if unknown */
	int64_t retry_after_ns;
	int chain_budget; /* X-Ggs-Retry-Budget */
	struct returned_load load;
	bool reused; /* sent on a reused connection */
	struct str reason_text; /* X-Ggs-Reason as sent */
	struct str head; /* end-to-end headers, "Name: value\r\n" lines */
	struct str body;
};

int open_transfers(
    struct loop *l, int connections_per_peer, struct transfer_pool **out);
void close_transfers(struct transfer_pool *p);

/* fn is called from the loop, never within start_transfer(). */
int start_transfer(struct transfer_pool *p, const struct transfer_request *req,
    transfer_fn fn, void *arg, struct transfer **out);
/* Frees t; a transfer in flight is cancelled and its connection closed. */
void free_transfer(struct transfer *t);
bool is_transfer_sent(const struct transfer *t); /* a byte may have been sent */
const struct transfer_answer *get_transfer_answer(struct transfer *t);
char *detach_transfer_body(struct transfer *t); /* freed by the caller */

void end_transfer(CURL *easy, CURLcode code); /* the loop's hook */
bool is_hop_header(struct str name); /* is not passed on */

#endif
