/*
 * Pipelined requests of a caller's connection. Requests that may repeat are
 * started as soon as they have been read; their answers are kept until those of
 * the requests before them have been sent (RFC 9112, 9.3.2).
 */
#include <string.h>

#include "caller_state.h"

/* Requests of one connection that are read before the first is answered. */
#define PIPELINE_DEPTH_MAX 16
/* Kept answers of one connection and of the process; above, reading stops. */
#define PIPELINE_CONNECTION_BYTES_MAX (256 * 1024)
#define PIPELINE_PROCESS_BYTES_MAX (8 * 1024 * 1024)
/* Answers from this size on become the output without a copy. */
#define LONG_ANSWER_BYTES (64 * 1024)
#define ANSWER_END_BYTES 64 /* for the end of the head, added at last */

static int append_answer(struct caller *c, struct request *q);
static int move_answer(struct caller *c, struct request *q);
static bool is_last_answer(const struct caller *c, const struct request *q);
static size_t count_kept_bytes(const struct caller *c);

void
append_pipeline(struct caller *c, struct request *q)
{
	if (c->first == NULL)
		c->tail = &c->first;
	*c->tail = q;
	c->tail = &q->next_request;
	c->depth++;
	if (c->depth > 1)
		count_metric(c->node->metrics.pipelined_total, 1);
}

void
remove_pipeline(struct caller *c, struct request *q)
{
	struct request **p = &c->first;

	while (*p != q)
		p = &(*p)->next_request;
	*p = q->next_request;
	if (*p == NULL)
		c->tail = p;
	c->depth--;
}

struct request *
get_reading(const struct caller *c)
{
	for (struct request *q = c->first; q != NULL; q = q->next_request) {
		if (q->state == REQUEST_READING)
			return q;
	}
	return NULL;
}

bool
has_unanswered(const struct caller *c)
{
	return c->first != NULL && c->first->state != REQUEST_READING;
}

/*
 * Says whether bytes of a further request, or more bytes of the one being read,
 * may be parsed now. A request that must not repeat is not followed by others
 * while it is held: were the connection closed by an answer before it, the
 * caller would take it for unread and send it again. A stopping node reads no
 * further requests behind unanswered ones, so that the connection ends.
 */
bool
may_read_request(const struct caller *c)
{
	const struct node *n = c->node;

	if (c->input_ended || c->closing)
		return false;
	if (c->depth == 0 || get_reading(c) != NULL)
		return true;
	if (c->handle != route_call || n->leaving_at != 0 ||
	    c->depth >= PIPELINE_DEPTH_MAX || c->out.len > c->out_sent ||
	    n->kept_bytes > PIPELINE_PROCESS_BYTES_MAX ||
	    !has_memory(n, 0, n->budget.common))
		return false;
	for (const struct request *q = c->first; q != NULL;
	     q = q->next_request) {
		if (q->state == REQUEST_HELD)
			return false;
	}
	return count_kept_bytes(c) <= PIPELINE_CONNECTION_BYTES_MAX;
}

void
start_in_order(struct caller *c, struct request *q)
{
	if (q != c->first && !may_run_ahead(c->node, q)) {
		q->state = REQUEST_HELD;
		return;
	}
	q->state = REQUEST_RUNNING;
	c->handle(c->node, q);
}

bool
start_held_request(struct caller *c)
{
	struct request *q = c->first;

	if (q == NULL || q->state != REQUEST_HELD)
		return false;
	q->state = REQUEST_RUNNING;
	c->handle(c->node, q);
	return true;
}

/*
 * The answer stays with its request until it is its turn. head: complete header
 * lines.
 */
int
keep_answer(struct request *q, int status, struct str head, struct str body)
{
	bool bare = is_http_name_equal(q->reader.head.method, "HEAD");
	bool framed = status >= 200 && status != 204 && status != 304;
	int rc = append_buf_fmt(
	    &q->answer, "HTTP/1.1 %d %s\r\n", status, get_http_reason(status));

	if (rc == 0)
		rc = append_buf_str(&q->answer, head);
	if (rc == 0 && framed)
		rc = append_buf_fmt(
		    &q->answer, "Content-Length: %zu\r\n", body.len);
	q->answer_head_len = q->answer.len;
	if (rc == 0 && !bare)
		rc = reserve_buf_within(&q->answer, body.len + ANSWER_END_BYTES,
		    q->answer.len + body.len + ANSWER_END_BYTES);
	if (rc == 0 && !bare)
		rc = append_buf_str(&q->answer, body);
	q->state = REQUEST_DONE;
	q->node->kept_bytes += q->answer.len;
	return rc;
}

/*
 * Moves the answers at the front of the list to the output and frees their
 * requests, until one is not answered yet or the connection is to be closed.
 */
int
collect_answers(struct caller *c)
{
	struct request *q;

	while (
	    !c->closing && (q = c->first) != NULL && q->state == REQUEST_DONE) {
		int rc = append_answer(c, q);

		if (rc != 0)
			return rc;
		free_request(q);
	}
	return 0;
}

static int
append_answer(struct caller *c, struct request *q)
{
	struct str all = view_buf(&q->answer);
	int rc;

	c->closing = is_last_answer(c, q);
	if (c->out.len == 0 && all.len > LONG_ANSWER_BYTES)
		return move_answer(c, q);
	rc = append_buf(&c->out, all.data, q->answer_head_len);
	if (rc == 0 && c->closing)
		rc = append_buf_str(&c->out, make_str("Connection: close\r\n"));
	if (rc == 0)
		rc = append_buf(&c->out, "\r\n", 2);
	if (rc == 0)
		rc = append_buf(&c->out, all.data + q->answer_head_len,
		    all.len - q->answer_head_len);
	return rc;
}

/*
 * Makes an answer the output, with the end of its head put in, so that a long
 * one is held once.
 */
static int
move_answer(struct caller *c, struct request *q)
{
	struct str end =
	    make_str(c->closing ? "Connection: close\r\n\r\n" : "\r\n");
	struct buf *a = &q->answer, empty = c->out;
	char *at;
	int rc = reserve_buf(a, end.len);

	if (rc != 0)
		return rc;
	q->node->kept_bytes -= a->len;
	at = a->data + q->answer_head_len;
	memmove(at + end.len, at, a->len - q->answer_head_len);
	memcpy(at, end.data, end.len);
	a->len += end.len;
	a->data[a->len] = '\0';
	c->out = *a;
	*a = empty;
	return 0;
}

/*
 * The connection ends after this answer if no more input is read or the node is
 * stopping. Complete requests behind it are answered first.
 */
static bool
is_last_answer(const struct caller *c, const struct request *q)
{
	const struct request *next = q->next_request;

	if (next != NULL && next->state != REQUEST_READING)
		return false;
	return c->input_ended || c->node->leaving_at != 0;
}

static size_t
count_kept_bytes(const struct caller *c)
{
	size_t n = 0;

	for (const struct request *q = c->first; q != NULL; q = q->next_request)
		n += q->answer.len;
	return n;
}
