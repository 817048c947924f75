/*
 * A call from its arrival to its answer: the row it follows, its times, and the
 * answers that the node gives itself.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define PATIENCE_MAX_NS (600 * NSEC_PER_SEC) /* longer waits are not believed */
#define RETRY_AFTER_MIN_NS (20 * NSEC_PER_MSEC)
/* A group that starts has a leader and endpoints within this time. */
#define RETRY_UNREADY_NS (500 * NSEC_PER_MSEC)

static const struct row *find_call_row(struct node *n, struct request *q);
static struct str get_host(struct request *q, char *text, size_t size);
static int take_terms(struct request *q, const struct row *r);
static void take_times(struct request *q);
static int64_t read_patience(struct request *q);
static int copy_head(struct request *q);
static bool is_own_header(const struct call_names *names, struct str name);
static int append_retry_after(struct buf *b, int64_t ns);

/*
 * A whole request has arrived.
 */
void
take_call(struct node *n, struct request *q)
{
	const struct row *r;

	q->placed = true;
	n->requests++;
	n->last_call = get_reactor_now(n->reactor);
	count_metric(n->metrics.calls_total, 1);
	(void)copy_str(q->id, sizeof(q->id),
	    n->cfg.names.call_id != NULL ?
		find_http_header(&q->reader.head, n->cfg.names.call_id) :
		make_str(""));
	if (n->table == NULL) {
		refuse_request(q, 503, REFUSE_NO_TABLE, 0);
		return;
	}
	r = find_call_row(n, q);
	if (r == NULL) {
		refuse_request(q, 404, REFUSE_UNKNOWN_KIND, 0);
		return;
	}
	if (take_terms(q, r) != 0 || copy_head(q) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for a call");
		refuse_request(q, 503, REFUSE_OVERLOAD, 0);
		return;
	}
	take_times(q);
	add_note(q, NOTE_ROUTED, q->service->name, (int)q->terms.version,
	    (int)((q->deadline - q->arrived) / NSEC_PER_MSEC),
	    (int)((q->target_at - q->arrived) / NSEC_PER_MSEC));
	add_retry_share(n, q->service);
	set_timer(n->reactor, &q->timer, q->deadline, expire_request);
	try_request(q);
}

/*
 * The caller hung up. A call that may not repeat and may be running is left to
 * end, so that its work is not cut in the middle; its answer is dropped.
 */
void
abandon_request(struct request *q)
{
	struct node *n = q->node;

	add_note(q, NOTE_CALLER_LEFT, "",
	    (int)((get_reactor_now(n->reactor) - q->arrived) / NSEC_PER_MSEC),
	    0, 0);
	count_metric(n->metrics.cancelled_total, 1);
	if (!q->terms.repeatable && may_be_running(q))
		return;
	if (q->attempt.active)
		stop_attempt(q);
	log_request(q, 0, "left");
	free_request(q);
}

/*
 * Answers without a backend server. 503 promises that the call has not run and
 * never will.
 */
void
refuse_request(struct request *q, int status, enum refuse_reason reason,
    int64_t retry_after)
{
	struct buf head = {0};
	int rc = 0;

	q->state = REQUEST_DONE;
	q->reason = reason;
	cancel_timer(q->node->reactor, &q->timer);
	count_metric(status == 503 ? q->node->metrics.refused_total :
				     q->node->metrics.failed_total,
	    1);
	if (q->id[0] != '\0' && q->node->cfg.names.call_id != NULL)
		rc = append_http_header(
		    &head, q->node->cfg.names.call_id, make_str(q->id));
	if (rc == 0 && status == 503)
		rc = append_retry_after(&head,
		    reason == REFUSE_NO_TABLE || reason == REFUSE_NO_ENDPOINT ?
			RETRY_UNREADY_NS :
			retry_after);
	if (rc != 0)
		head.len = 0;
	log_request(q, status, get_refuse_name(reason));
	send_answer(q, status, view_buf(&head), make_str(""));
	unload_buf(&head);
}

static const struct row *
find_call_row(struct node *n, struct request *q)
{
	struct str target = q->reader.head.target;
	char host[TABLE_CELL_BYTES];
	const char *end;

	if (target.len == 0 || target.data[0] != '/')
		return NULL;
	end = memchr(target.data, '?', target.len);
	if (end != NULL)
		target.len = (size_t)(end - target.data);
	return find_route(n->table, get_host(q, host, sizeof(host)), target);
}

/*
 * Returns the host in lower case without its port.
 */
static struct str
get_host(struct request *q, char *text, size_t size)
{
	struct str h = find_http_header(&q->reader.head, "host");
	const char *colon = h.len > 0 ? memchr(h.data, ':', h.len) : NULL;

	if (colon != NULL)
		h.len = (size_t)(colon - h.data);
	if (copy_str(text, size, h) != 0)
		return make_str_n(NULL, 0);
	for (size_t i = 0; i < h.len; i++) {
		if (text[i] >= 'A' && text[i] <= 'Z')
			text[i] = (char)(text[i] - 'A' + 'a');
	}
	return make_str_n(text, h.len);
}

/*
 * Copies the cells, so that a later table does not change a call under way.
 */
static int
take_terms(struct request *q, const struct row *r)
{
	struct call_terms *t = &q->terms;
	struct node *n = q->node;

	memcpy(t->kind, r->kind, sizeof(t->kind));
	t->rank = r->values[COL_RANK];
	t->repeatable = r->repeatable;
	t->attempts = r->values[COL_RETRIES] + 1;
	t->target_ns = r->values[COL_TARGET_MS] * NSEC_PER_MSEC;
	t->deadline_ns = r->values[COL_DEADLINE_MS] * NSEC_PER_MSEC;
	t->version = n->table->version;
	q->stats = find_kind(n, r->kind);
	if (q->stats == NULL)
		return ERR_MEMORY;
	q->service = find_node_service(n, choose_part(n, q->stats, r));
	return q->service != NULL ? 0 : ERR_MEMORY;
}

/*
 * Works out until when an answer is in time. A caller that comes back after a
 * refusal has less patience left than one that comes first; the difference is
 * time that has passed for it already.
 */
static void
take_times(struct request *q)
{
	int64_t patience = read_patience(q), passed = 0;
	int64_t deadline = q->terms.deadline_ns;

	if (patience > 0) {
		if (patience > q->stats->patience_ns)
			q->stats->patience_ns = patience;
		passed = q->stats->patience_ns - patience;
		if (patience < deadline)
			deadline = patience;
	}
	if (deadline > q->stats->longest_ns)
		q->stats->longest_ns = deadline;
	q->deadline = q->arrived + deadline;
	q->target_at = q->arrived + q->terms.target_ns - passed;
	if (q->target_at > q->deadline)
		q->target_at = q->deadline;
}

/*
 * Returns the time that the caller waits, in ns; 0 when it does not say.
 */
static int64_t
read_patience(struct request *q)
{
	const char *name = q->node->cfg.names.deadline_ms;
	struct str v = name != NULL ? find_http_header(&q->reader.head, name) :
				      make_str("");
	int64_t ms;

	if (v.len == 0)
		return 0;
	if (parse_i64(v, 0, PATIENCE_MAX_NS / NSEC_PER_MSEC, &ms) != 0) {
		write_log(LOG_LEVEL_NOTICE,
		    "call %s: its deadline '%.*s' is no number of ms; the "
		    "row's holds",
		    q->id, v.len > 20 ? 20 : (int)v.len, v.data);
		return 0;
	}
	return ms > 0 ? ms * NSEC_PER_MSEC : 1;
}

/*
 * Collects the header lines that are passed on. The node sets its own headers
 * anew, whatever the caller sent.
 */
static int
copy_head(struct request *q)
{
	const struct http_head *h = &q->reader.head;
	int rc = 0;

	for (size_t i = 0; i < h->header_count && rc == 0; i++) {
		struct str name = h->headers[i].name;

		if (is_http_hop_header(h, name) ||
		    is_http_name(name, "content-length") ||
		    is_http_name(name, "expect") ||
		    is_own_header(&q->node->cfg.names, name))
			continue;
		rc = append_buf_str(&q->head, name);
		if (rc == 0)
			rc = append_buf(&q->head, ": ", 2);
		if (rc == 0)
			rc = append_buf_str(&q->head, h->headers[i].value);
		if (rc == 0)
			rc = append_buf(&q->head, "\r\n", 2);
	}
	return rc;
}

static bool
is_own_header(const struct call_names *names, struct str name)
{
	const char *const own[] = {
	    names->deadline_ms, names->expect_instance, names->caller_service};

	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
		if (own[i] != NULL && is_http_name(name, own[i]))
			return true;
	}
	return false;
}

/*
 * Seconds with a fraction, so that a caller can come back soon.
 */
static int
append_retry_after(struct buf *b, int64_t ns)
{
	if (ns < RETRY_AFTER_MIN_NS)
		ns = RETRY_AFTER_MIN_NS;
	return append_buf_fmt(b, "Retry-After: %lld.%03lld\r\n",
	    (long long)(ns / NSEC_PER_SEC),
	    (long long)(ns % NSEC_PER_SEC / NSEC_PER_MSEC));
}
