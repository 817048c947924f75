/*
 * The listener for callers and other nodes. Its threads read requests and
 * write answers; a connection is suspended while its call is on the loop.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "call.h"

#define FRONTEND_THREADS 2
#define FRONTEND_CONNECTIONS_MAX 4096
#define FRONTEND_IDLE_S 30 /* idle timeout of a connection */
#define FRONTEND_HEADERS_MAX (32 * 1024) /* bytes for each request */
/* Bytes of a refused request's body that are read so that it gets an answer. */
#define FRONTEND_DISCARD_MAX (64UL * 1024 * 1024)

static void *open_call(void *cls, const char *uri, struct MHD_Connection *conn);
static enum MHD_Result handle_request(void *cls, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static enum MHD_Result receive_body(
    struct call *c, const char *data, size_t *size);
static enum MHD_Result append_body(
    struct call *c, const char *data, size_t *size);
static enum MHD_Result send_answer(struct call *c);
static void add_headers(struct MHD_Response *r, struct call *c);
static void add_answer_headers(struct MHD_Response *r, struct str head);
static void close_call(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code);

/*
 * Starts the listener's threads. Returns ERR_INVALID, ERR_IO or ERR_LIMIT.
 */
int
open_frontend(struct proxy *p, struct fault *f)
{
	int fd;
	int rc = open_listener(p->listen, &fd, &p->port, f);

	if (rc != 0)
		return rc;
	p->frontend = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
					   MHD_ALLOW_SUSPEND_RESUME |
					   MHD_USE_ITC,
	    0, NULL, NULL, handle_request, p, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)FRONTEND_THREADS,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)FRONTEND_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)FRONTEND_IDLE_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)FRONTEND_HEADERS_MAX,
	    MHD_OPTION_URI_LOG_CALLBACK, open_call, p,
	    MHD_OPTION_NOTIFY_COMPLETED, close_call, p, MHD_OPTION_END);
	if (p->frontend != NULL)
		return 0;
	close(fd);
	return set_fault(f, ERR_LIMIT,
	    "the listener on %s did not start: raise the limits on threads "
	    "and open files",
	    p->listen);
}

/*
 * Sets the answer of a call that is refused before it reaches the pipeline. The
 * rest of its body is read and discarded, so that the caller gets the answer.
 * Runs on the listener thread, or on the loop thread while c is suspended.
 */
void
refuse_early(struct call *c, int status, enum refuse_reason reason,
    const char *reason_text)
{
	release_body(c);
	c->refused = true;
	c->ended = true;
	c->outcome = OUTCOME_NOT_RUN;
	c->status = status;
	c->answer = make_refusal(reason, reason_text, status);
}

/*
 * Suspends a call's connection, to be resumed by the loop. The listener must
 * not stop while a connection is suspended, so a stopping proxy suspends none.
 */
bool
suspend_call(struct call *c)
{
	struct proxy *p = c->proxy;

	ck_pr_inc_int(&p->suspended);
	ck_pr_fence_memory();
	if (ck_pr_load_8((uint8_t *)&p->stopping)) {
		ck_pr_dec_int(&p->suspended);
		return false;
	}
	MHD_suspend_connection(c->conn);
	return true;
}

/*
 * Returns a call to its listener thread, which may already have freed c when
 * this function returns.
 */
void
resume_call(struct call *c)
{
	struct proxy *p = c->proxy;

	MHD_resume_connection(c->conn);
	ck_pr_dec_int(&p->suspended);
}

/*
 * Called when the request line is complete; the returned call becomes the
 * request's state. Keeps the target as sent, because the unescaped path of the
 * later callbacks cannot be forwarded unchanged.
 */
static void *
open_call(void *cls, const char *uri, struct MHD_Connection *conn)
{
	struct call *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return NULL;
	c->proxy = cls;
	c->conn = conn;
	c->target = strdup(uri);
	if (c->target == NULL) {
		free(c);
		return NULL;
	}
	return c;
}

/*
 * Called with the headers, with each piece of the body, when the body is
 * complete, and again after the connection is resumed.
 */
static enum MHD_Result
handle_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct call *c = *state;

	(void)cls;
	(void)conn;
	(void)url;
	(void)version;
	if (c == NULL)
		return MHD_NO;
	if (!c->begun) {
		c->begun = true;
		ck_pr_inc_int(&c->proxy->active);
		snprintf(c->method, sizeof(c->method), "%s", method);
		read_request(c);
		return MHD_YES;
	}
	if (*size > 0)
		return receive_body(c, data, size);
	if (c->ended)
		return send_answer(c);
	if (!suspend_call(c)) {
		refuse_early(c, 503, REFUSE_DRAINING, NULL);
		return send_answer(c);
	}
	c->task.run = start_call;
	post_loop_task(c->proxy->loop, &c->task);
	return MHD_YES;
}

/*
 * Receives a piece of the body. While the body does not fit into the memory
 * budget, the connection is suspended and the piece is not consumed.
 */
static enum MHD_Result
receive_body(struct call *c, const char *data, size_t *size)
{
	struct budget *b = c->proxy->budget;

	if (!c->refused && read_mono(&c->proxy->cfg.clock) >= c->deadline)
		refuse_early(c, 503, REFUSE_DEADLINE, NULL);
	if (c->refused) {
		c->discarded += *size;
		*size = 0;
		return c->discarded <= FRONTEND_DISCARD_MAX ? MHD_YES : MHD_NO;
	}
	if (c->body != NULL)
		return append_body(c, data, size);
	if (c->reserved == 0) {
		if (!reserve_budget(b, (int64_t)c->body_cap)) {
			if (suspend_call(c))
				wait_for_body_memory(c);
			else
				refuse_early(c, 503, REFUSE_DRAINING, NULL);
			return MHD_YES;
		}
		c->reserved = (int64_t)c->body_cap;
	}
	c->body = malloc(c->body_cap);
	if (c->body == NULL) {
		refuse_early(c, 503, REFUSE_OVERLOAD, NULL);
		return MHD_YES;
	}
	return append_body(c, data, size);
}

/*
 * Appends a piece of the body. Only a body without a declared length can exceed
 * its row's limit or the memory budget here.
 */
static enum MHD_Result
append_body(struct call *c, const char *data, size_t *size)
{
	if (c->body_len + *size > c->body_cap) {
		if (c->body_len + *size >
		    (size_t)c->row->values[COL_BODY_MAX_KB] * 1024)
			refuse_early(c, 413, REFUSE_NONE, "body-limit");
		else
			refuse_early(c, 503, REFUSE_BODY_MEMORY, NULL);
		return MHD_YES;
	}
	memcpy(c->body + c->body_len, data, *size);
	c->body_len += *size;
	*size = 0;
	return MHD_YES;
}

/*
 * Queues the answer. The response takes over the body's memory.
 */
static enum MHD_Result
send_answer(struct call *c)
{
	struct MHD_Response *r =
	    MHD_create_response_from_buffer(c->answer.body_len,
		c->answer.body_len > 0 ? c->answer.body : (void *)"",
		c->answer.body_len > 0 ? MHD_RESPMEM_MUST_FREE :
					 MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rc;

	if (r == NULL)
		return MHD_NO;
	if (c->answer.body_len > 0)
		c->answer.body = NULL;
	add_headers(r, c);
	rc = MHD_queue_response(c->conn, (unsigned int)c->status, r);
	MHD_destroy_response(r);
	return rc;
}

/*
 * Adds the headers of the peer's answer and the X-Ggs- headers.
 */
static void
add_headers(struct MHD_Response *r, struct call *c)
{
	char text[CALL_REASON_BYTES];

	add_answer_headers(r, view_buf(&c->answer.head));
	MHD_add_response_header(
	    r, "X-Ggs-Outcome", get_outcome_name(c->outcome));
	MHD_add_response_header(r, "X-Ggs-Call-Id", c->id);
	if (c->answer.reason != REFUSE_NONE)
		MHD_add_response_header(
		    r, "X-Ggs-Reason", get_refuse_name(c->answer.reason));
	else if (c->answer.reason_text[0] != '\0')
		MHD_add_response_header(
		    r, "X-Ggs-Reason", c->answer.reason_text);
	if (c->table != NULL) {
		snprintf(text, sizeof(text), "%llu",
		    (unsigned long long)c->table->version);
		MHD_add_response_header(r, "X-Ggs-Version", text);
	}
	if (c->answer.chain_budget >= 0) {
		snprintf(text, sizeof(text), "%d", c->answer.chain_budget);
		MHD_add_response_header(r, "X-Ggs-Retry-Budget", text);
	}
	if (c->answer.load.known &&
	    render_load(&c->answer.load, text, sizeof(text)) == 0)
		MHD_add_response_header(r, "X-Ggs-Load", text);
	if (c->outcome == OUTCOME_NOT_RUN && c->answer.retry_after_ns > 0) {
		snprintf(text, sizeof(text), "%lld",
		    (long long)((c->answer.retry_after_ns + NSEC_PER_SEC - 1) /
				NSEC_PER_SEC));
		MHD_add_response_header(r, "Retry-After", text);
	}
	if (ck_pr_load_8((uint8_t *)&c->proxy->draining))
		MHD_add_response_header(r, "Connection", "close");
}

/*
 * Adds the headers in head: "Name: value" lines, each ended by CR LF. Lines too
 * long for the buffers are skipped.
 */
static void
add_answer_headers(struct MHD_Response *r, struct str head)
{
	char name[256], value[8192];
	const char *at = head.data, *end = head.data + head.len;

	while (at < end) {
		const char *eol = memchr(at, '\r', (size_t)(end - at));
		const char *colon;

		if (eol == NULL)
			return;
		colon = memchr(at, ':', (size_t)(eol - at));
		if (colon != NULL &&
		    copy_str(name, sizeof(name),
			make_str_n(at, (size_t)(colon - at))) == 0 &&
		    copy_str(value, sizeof(value),
			make_str_n(colon + 2, (size_t)(eol - colon - 2))) == 0)
			MHD_add_response_header(r, name, value);
		at = eol + 2;
	}
}

/*
 * Called when the answer is sent or the connection ends before that. Counts and
 * frees the call and wakes drain_proxy().
 */
static void
close_call(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct call *c = *state;
	struct proxy *p = cls;

	(void)conn;
	(void)code;
	if (c == NULL)
		return;
	*state = NULL;
	release_body(c);
	if (c->begun && !c->ended) {
		c->outcome = OUTCOME_NOT_RUN;
		c->ended = true;
	}
	if (c->begun)
		count_end(c);
	if (c->table != NULL)
		release_table(p->cfg.agent, c->table);
	unload_result(&c->answer);
	unload_buf(&c->head);
	free(c->target);
	if (c->begun) {
		ck_pr_dec_int(&p->active);
		if (ck_pr_load_8((uint8_t *)&p->draining)) {
			pthread_mutex_lock(&p->lock);
			pthread_cond_broadcast(&p->idle);
			pthread_mutex_unlock(&p->lock);
		}
	}
	free(c);
}
