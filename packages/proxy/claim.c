/*
 * Claims of calls that run at most once. A claim object exists until its last
 * request is answered, even when the attempt that opened it has ended. Loop
 * thread, except for receive_claim_result().
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <ck_pr.h>
#include <sodium.h>

#include "call.h"

#define CLAIM_OPEN_TIMEOUT_MS 2000 /* at most the call's time left */
#define CLAIM_CLOSE_TIMEOUT_MS 5000
#define CLAIM_RETRY_NS (250 * NSEC_PER_MSEC) /* between closes; doubles */
#define CLAIM_RETRY_MAX_NS (10 * NSEC_PER_SEC)

struct claim {
	struct proxy *proxy;
	struct claim *next, **prev; /* in the proxy's list */
	struct attempt *owner; /* NULL: no attempt waits */
	struct loop_task task;
	struct loop_timer timer; /* next attempt to close */
	int64_t retry_delay_ns; /* of a close */
	bool closing; /* a close is requested or will be retried */
	enum wire_claim_state state;
	unsigned char id[WIRE_CLAIM_ID_BYTES];
	char kind[TABLE_NAME_BYTES];
	char key[CALL_KEY_BYTES];
	uint32_t keep_s; /* retention of the record */
	int http_status;
	struct buf answer;
	bool answer_whole; /* false: too long to store */
	struct claim_result result; /* the last answer */
	struct buf result_answer; /* storage of result.answer */
};

static int send_claim(struct claim *cl, int timeout_ms);
static void receive_claim_result(void *arg, const struct claim_result *result);
static void handle_claim_result(struct loop_task *t);
static void retry_close(struct loop_timer *t);
static void send_close(struct claim *cl);
static void store_answer(struct claim *cl, const struct result *r);
static void free_claim(struct claim *cl);

/*
 * Requests the claim of an attempt; the answer goes to continue_serve().
 * Returns ERR_MEMORY or an error of request_claim().
 */
int
open_claim(struct attempt *a, struct claim **out)
{
	struct call *c = a->call;
	struct claim *cl = calloc(1, sizeof(*cl));
	int64_t left_ms =
	    get_time_left(get_loop_time(c->proxy->loop), c->deadline) /
	    NSEC_PER_MSEC;
	int rc;

	if (cl == NULL)
		return ERR_MEMORY;
	cl->proxy = c->proxy;
	cl->next = c->proxy->claims;
	cl->prev = &c->proxy->claims;
	if (cl->next != NULL)
		cl->next->prev = &cl->next;
	c->proxy->claims = cl;
	cl->owner = a;
	cl->state = WIRE_CLAIM_OPEN;
	cl->keep_s = (uint32_t)c->row->values[COL_KEEP_S];
	randombytes_buf(cl->id, sizeof(cl->id));
	(void)copy_str(cl->kind, sizeof(cl->kind), make_str(c->kind));
	(void)copy_str(cl->key, sizeof(cl->key), make_str(c->key));
	rc = send_claim(cl, left_ms < CLAIM_OPEN_TIMEOUT_MS ?
				(int)left_ms :
				CLAIM_OPEN_TIMEOUT_MS);
	if (rc != 0) {
		free_claim(cl);
		return rc;
	}
	*out = cl;
	return 0;
}

/*
 * Closes a granted claim in the background and takes over cl. WIRE_CLAIM_OPEN
 * leaves the claim open, because the outcome of the call is unknown. r is only
 * read.
 */
void
close_claim(
    struct claim *cl, enum wire_claim_state state, const struct result *r)
{
	cl->owner = NULL;
	if (state == WIRE_CLAIM_OPEN) {
		record_event(cl->proxy->cfg.events, "claim-unknown", cl->key, 0,
		    "kind %s: left open, resends are not run", cl->kind);
		free_claim(cl);
		return;
	}
	cl->state = state;
	cl->closing = true;
	cl->retry_delay_ns = CLAIM_RETRY_NS;
	cl->timer.fire = retry_close;
	cl->http_status = r->verdict.status;
	if (state != WIRE_CLAIM_NOT_RUN)
		store_answer(cl, r);
	send_close(cl);
}

/*
 * Detaches a claim from its attempt, which no longer waits. If the claim is
 * granted later, it is closed as not run.
 */
void
detach_claim(struct claim *cl)
{
	cl->owner = NULL;
}

/*
 * Frees the claims whose close waits for its next attempt. Their records at the
 * control processes stay open until the retention ends. No request may be in
 * flight.
 */
void
unload_claims(struct proxy *p)
{
	struct claim *next;

	for (struct claim *cl = p->claims; cl != NULL; cl = next) {
		next = cl->next;
		free_claim(cl);
	}
}

/*
 * Sends the claim's current state to the control processes. Returns an error of
 * request_claim().
 */
static int
send_claim(struct claim *cl, int timeout_ms)
{
	struct claim_request req = {.kind = make_str(cl->kind),
	    .key = make_str(cl->key),
	    .state = cl->state,
	    .keep_s = cl->keep_s,
	    .http_status = cl->http_status,
	    .answer = view_buf(&cl->answer),
	    .answer_whole = cl->answer_whole,
	    .timeout_ms = timeout_ms};
	int rc;

	memcpy(req.claim_id, cl->id, sizeof(req.claim_id));
	ck_pr_inc_int(&cl->proxy->claims_open);
	rc =
	    request_claim(cl->proxy->cfg.agent, &req, receive_claim_result, cl);
	if (rc != 0)
		ck_pr_dec_int(&cl->proxy->claims_open);
	return rc;
}

/*
 * Runs on a thread of the agent: copies the answer and posts it to the loop.
 */
static void
receive_claim_result(void *arg, const struct claim_result *result)
{
	struct claim *cl = arg;
	struct proxy *p = cl->proxy;

	cl->result = *result;
	cl->result_answer.len = 0;
	if (append_buf_str(&cl->result_answer, result->answer) != 0)
		cl->result.answer_whole = false;
	cl->result.answer = (struct str){0};
	cl->task.run = handle_claim_result;
	post_loop_task(p->loop, &cl->task);
}

/*
 * Handles the answer to an open or to a close. A close that was not confirmed
 * is retried, unless the claim is not found or is another run's, or the proxy
 * is stopping.
 */
static void
handle_claim_result(struct loop_task *t)
{
	struct claim *cl =
	    (struct claim *)((char *)t - offsetof(struct claim, task));
	struct proxy *p = cl->proxy;
	struct attempt *a = cl->owner;
	struct result none = {0};
	bool granted = cl->result.status == 0;

	ck_pr_dec_int(&p->claims_open);
	cl->result.answer = view_buf(&cl->result_answer);
	if (cl->closing) {
		if (granted || ck_pr_load_8((uint8_t *)&p->stopping) ||
		    cl->result.status == ERR_CONFLICT ||
		    cl->result.status == ERR_NOT_FOUND) {
			free_claim(cl);
			return;
		}
		if (set_loop_timer(p->loop, &cl->timer,
			get_loop_time(p->loop) + cl->retry_delay_ns) != 0)
			send_close(cl);
		return;
	}
	if (a == NULL) {
		if (granted)
			close_claim(cl, WIRE_CLAIM_NOT_RUN, &none);
		else
			free_claim(cl);
		return;
	}
	if (!granted)
		cl->owner = NULL;
	continue_serve(a, &cl->result);
	if (!granted)
		free_claim(cl);
}

static void
retry_close(struct loop_timer *t)
{
	struct claim *cl =
	    (struct claim *)((char *)t - offsetof(struct claim, timer));

	cl->retry_delay_ns *= 2;
	if (cl->retry_delay_ns > CLAIM_RETRY_MAX_NS)
		cl->retry_delay_ns = CLAIM_RETRY_MAX_NS;
	send_close(cl);
}

/*
 * Sends a close. One that the agent does not accept is retried, unless the
 * proxy is stopping.
 */
static void
send_close(struct claim *cl)
{
	struct proxy *p = cl->proxy;

	if (send_claim(cl, CLAIM_CLOSE_TIMEOUT_MS) == 0)
		return;
	if (ck_pr_load_8((uint8_t *)&p->stopping) ||
	    set_loop_timer(p->loop, &cl->timer,
		get_loop_time(p->loop) + cl->retry_delay_ns) != 0)
		free_claim(cl);
}

/*
 * Copies the answer to the claim: the content type, a newline and the body. An
 * answer above WIRE_ANSWER_MAX bytes is not stored.
 */
static void
store_answer(struct claim *cl, const struct result *r)
{
	static const char name[] = "Content-Type: ";
	const char *at =
	    r->head.len > 0 ? strcasestr(r->head.data, name) : NULL;

	if (at != NULL) {
		at += strlen(name);
		(void)append_buf(&cl->answer, at, strcspn(at, "\r"));
	}
	(void)append_buf(&cl->answer, "\n", 1);
	if (cl->answer.len + r->body_len > WIRE_ANSWER_MAX) {
		cl->answer.len = 0;
		return;
	}
	cl->answer_whole = append_buf(&cl->answer, r->body, r->body_len) == 0;
}

static void
free_claim(struct claim *cl)
{
	clear_loop_timer(cl->proxy->loop, &cl->timer);
	*cl->prev = cl->next;
	if (cl->next != NULL)
		cl->next->prev = cl->prev;
	unload_buf(&cl->answer);
	unload_buf(&cl->result_answer);
	free(cl);
}
