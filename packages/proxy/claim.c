/*
 * Claims of calls that run at most once. A claim object lives until its last
 * request is answered, also when the attempt that opened it is gone.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <ck_pr.h>
#include <sodium.h>

#include "call.h"

#define CLAIM_WAIT_MS 2000 /* longest wait for a claim's answer */
#define CLAIM_CLOSE_MS 5000 /* the same for closing one */
#define CLAIM_AGAIN_NS (250 * NSEC_PER_MSEC) /* first pause between closes */
#define CLAIM_AGAIN_MAX_NS (10 * NSEC_PER_SEC)

struct claim {
	struct proxy *proxy;
	struct claim *next, **prev; /* in the proxy's list */
	struct attempt *owner; /* NULL: nobody waits */
	struct loop_task task;
	struct loop_timer timer; /* next try of a close */
	int64_t pause_ns;
	bool closing;
	enum wire_claim_state state;
	unsigned char id[WIRE_CLAIM_ID_BYTES];
	char kind[TABLE_NAME_BYTES];
	char key[CALL_KEY_BYTES];
	uint32_t keep_s;
	int http_status;
	struct buf answer;
	bool answer_whole;
	struct claim_result result; /* the last answer */
	struct buf result_answer;
};

static int send_claim(struct claim *cl, int timeout_ms);
static void take_result(void *arg, const struct claim_result *result);
static void handle_result(struct loop_task *t);
static void close_again(struct loop_timer *t);
static void send_close(struct claim *cl);
static void keep_answer(struct claim *cl, const struct result *r);
static void free_claim(struct claim *cl);

/*
 * Asks for the claim of an attempt; continue_serve() gets the answer. Returns
 * ERR_MEMORY or what the agent returns.
 */
int
open_claim(struct attempt *a, struct claim **out)
{
	struct call *c = a->call;
	struct claim *cl = calloc(1, sizeof(*cl));
	int64_t left =
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
	rc = send_claim(cl, left < CLAIM_WAIT_MS ? (int)left : CLAIM_WAIT_MS);
	if (rc != 0) {
		free_claim(cl);
		return rc;
	}
	*out = cl;
	return 0;
}

/*
 * Closes a granted claim in the background and gives cl up. WIRE_CLAIM_OPEN
 * leaves it open: what became of the call is unknown.
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
	cl->pause_ns = CLAIM_AGAIN_NS;
	cl->timer.fire = close_again;
	cl->http_status = r->verdict.status;
	if (state != WIRE_CLAIM_NOT_RUN)
		keep_answer(cl, r);
	send_close(cl);
}

/*
 * The attempt no longer waits for the claim. When it is granted later, it is
 * closed as not run.
 */
void
forget_claim(struct claim *cl)
{
	cl->owner = NULL;
}

/*
 * Frees the claims whose close waits for its next try. Their control record
 * stays open until its retention ends. No request may be in flight.
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
	rc = request_claim(cl->proxy->cfg.agent, &req, take_result, cl);
	if (rc != 0)
		ck_pr_dec_int(&cl->proxy->claims_open);
	return rc;
}

/*
 * Runs on a thread of the agent: copies the answer and hands it to the loop.
 */
static void
take_result(void *arg, const struct claim_result *result)
{
	struct claim *cl = arg;
	struct proxy *p = cl->proxy;

	cl->result = *result;
	cl->result_answer.len = 0;
	if (append_buf_str(&cl->result_answer, result->answer) != 0)
		cl->result.answer_whole = false;
	cl->result.answer = (struct str){0};
	cl->task.run = handle_result;
	post_loop_task(p->loop, &cl->task);
}

static void
handle_result(struct loop_task *t)
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
			get_loop_time(p->loop) + cl->pause_ns) != 0)
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
close_again(struct loop_timer *t)
{
	struct claim *cl =
	    (struct claim *)((char *)t - offsetof(struct claim, timer));

	cl->pause_ns *= 2;
	if (cl->pause_ns > CLAIM_AGAIN_MAX_NS)
		cl->pause_ns = CLAIM_AGAIN_MAX_NS;
	send_close(cl);
}

/*
 * Sends a close; one that the agent does not take is tried again.
 */
static void
send_close(struct claim *cl)
{
	struct proxy *p = cl->proxy;

	if (send_claim(cl, CLAIM_CLOSE_MS) == 0)
		return;
	if (ck_pr_load_8((uint8_t *)&p->stopping) ||
	    set_loop_timer(p->loop, &cl->timer,
		get_loop_time(p->loop) + cl->pause_ns) != 0)
		free_claim(cl);
}

/*
 * Stores the content type, a newline and the body when they fit.
 */
static void
keep_answer(struct claim *cl, const struct result *r)
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
	clear_timer(cl->proxy->loop, &cl->timer);
	*cl->prev = cl->next;
	if (cl->next != NULL)
		cl->next->prev = cl->prev;
	unload_buf(&cl->answer);
	unload_buf(&cl->result_answer);
	free(cl);
}
