/*
 * Routing of a complete request: finds its row, sets its deadlines and starts
 * the first attempt. Also the answers that the node gives without a backend
 * server.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

#define CALLER_TIMEOUT_MAX_NS (600 * NSEC_PER_SEC) /* longer: invalid */
/*
 * A longer time-out than this many times the row's deadline is not of a caller
 * that retries. Were it taken for the longest of its kind, all other callers
 * would count as late.
 */
#define CALLER_TIMEOUT_FACTOR 8
#define RETRY_AFTER_MIN_NS (20 * NSEC_PER_MSEC)
/* A starting control group has a leader and endpoints within this time. */
#define RETRY_AFTER_UNREADY_NS (500 * NSEC_PER_MSEC)

static struct str get_host(struct request *q, char *text, size_t size);
static int copy_policy(struct request *q, const struct row *r);
static double get_hedge_share(const struct node *n, const struct row *r);
static void set_deadlines(struct request *q);
static int64_t parse_caller_timeout(struct request *q);
static int copy_head(struct request *q);
static bool is_call_id(const struct node *n, struct str name);
static bool is_own_header(const struct node *n, struct str name);
static int append_retry_after(struct buf *b, int64_t ns);

/*
 * Handles a complete request of a caller: offers it to a serving node, or
 * refuses it when it has no row.
 */
void
route_call(struct node *n, struct request *q)
{
	const struct account *account;
	const struct row *r;

	begin_call(n, q);
	if (n->table == NULL) {
		refuse_request(q, 503, REFUSE_NO_TABLE, 0);
		return;
	}
	r = find_call_row(n, q);
	if (r == NULL) {
		refuse_request(q, 404, REFUSE_UNKNOWN_KIND, 0);
		return;
	}
	if (!identify_account(q, r, &account)) {
		refuse_key(q);
		return;
	}
	if (copy_policy(q, r) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for a call");
		refuse_request(q, 503, REFUSE_OVERLOAD, 0);
		return;
	}
	set_call_account(q, account);
	if (copy_head(q) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for a call");
		refuse_request(q, 503, REFUSE_OVERLOAD, 0);
		return;
	}
	set_deadlines(q);
	add_trace(q, TRACE_ROUTED, q->service->name, (int)q->policy.version,
	    (int)((q->deadline - q->arrived) / NSEC_PER_MSEC),
	    (int)((q->target_at - q->arrived) / NSEC_PER_MSEC));
	add_retry_tokens(n, q->service);
	add_hedge_tokens(&q->stats->hedge_budget, q->policy.hedge_share);
	set_timer(n->reactor, &q->timer, q->deadline, expire_request);
	if (admit_by_allotment(q))
		start_next_attempt(q);
}

/*
 * Counts a call whose head is complete and sets its id.
 */
void
begin_call(struct node *n, struct request *q)
{
	q->counted = true;
	n->requests++;
	n->last_call_at = get_reactor_now(n->reactor);
	count_metric(n->metrics.calls_total, 1);
	if (n->cfg.names.call_id != NULL)
		q->id = find_http_header(&q->reader.head, n->cfg.names.call_id);
}

/*
 * A call that must not repeat may not run ahead: a caller sends all requests
 * behind an answer that closes the connection again, of whatever kind.
 */
bool
may_run_ahead(struct node *n, struct request *q)
{
	const struct row *r = n->table != NULL ? find_call_row(n, q) : NULL;

	return r == NULL || r->repeatable;
}

int
get_request_rank(struct request *q)
{
	struct node *n = q->node;
	const struct row *r = n->table != NULL ? find_call_row(n, q) : NULL;

	return r != NULL ? r->values[COL_RANK] : MEMORY_RANK_UNKNOWN;
}

/*
 * Cancels and frees a call whose caller has disconnected. A call that may not
 * repeat and may be running is left to finish, so that its work is not cut off
 * half done; its answer is dropped.
 */
void
handle_caller_hangup(struct request *q)
{
	struct node *n = q->node;

	add_trace(q, TRACE_DISCONNECTED, "",
	    (int)((get_reactor_now(n->reactor) - q->arrived) / NSEC_PER_MSEC),
	    0, 0);
	count_metric(n->metrics.cancelled_total, 1);
	if (!q->policy.repeatable && may_be_running(q))
		return;
	if (may_be_running(q)) {
		q->may_have_run = true;
		record_version_leave(q);
	}
	cancel_hedge(q);
	if (q->attempt.active)
		cancel_request_attempt(q);
	log_request(q, 0, "left");
	free_request(q);
}

/*
 * Answers with an error status of the node itself and frees the request. 503
 * and 429 promise that the call has not run and never will; their Retry-After is
 * retry_after ns, or RETRY_AFTER_UNREADY_NS when the table or the endpoints are
 * missing.
 */
void
refuse_request(struct request *q, int status, enum refuse_reason reason,
    int64_t retry_after)
{
	struct buf head = {0};
	int rc = 0;

	leave_allotment_queue(q);
	q->state = REQUEST_DONE;
	q->reason = reason;
	if (q->stats != NULL)
		record_failed_try(
		    &q->stats->tries, get_reactor_now(q->node->reactor));
	cancel_timer(q->node->reactor, &q->timer);
	cancel_hedge(q);
	count_metric(status == 503 || status == 429 ?
			 q->node->metrics.refused_total :
			 q->node->metrics.failed_total,
	    1);
	if (q->id.len > 0)
		rc = append_http_header(
		    &head, q->node->cfg.names.call_id, q->id);
	if (rc == 0 && (status == 503 || status == 429))
		rc = append_retry_after(&head,
		    reason == REFUSE_NO_TABLE || reason == REFUSE_NO_ENDPOINT ?
			RETRY_AFTER_UNREADY_NS :
			retry_after);
	if (rc == 0 && status == 401 && q->node->cfg.names.key_scheme != NULL)
		rc = append_http_header(&head, "WWW-Authenticate",
		    make_str(q->node->cfg.names.key_scheme));
	if (rc != 0)
		head.len = 0;
	log_request(q, status, get_refuse_name(reason));
	send_answer(q, status, view_buf(&head), make_str(""));
	unload_buf(&head);
}

/*
 * Returns the row for the request's host and path (without the query); NULL
 * when there is none.
 */
const struct row *
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
 * Returns the Host header in lower case without its port; text, of size bytes,
 * holds it. Empty when it does not fit.
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
 * Copies the row's cells, so that a new table does not change a call in flight,
 * and chooses the service. Returns ERR_MEMORY.
 */
static int
copy_policy(struct request *q, const struct row *r)
{
	struct call_policy *p = &q->policy;
	struct node *n = q->node;

	memcpy(p->kind, r->kind, sizeof(p->kind));
	p->rank = r->values[COL_RANK];
	p->repeatable = r->repeatable;
	p->attempts_max = r->values[COL_RETRIES] + 1;
	p->target_ns = r->values[COL_TARGET_MS] * NSEC_PER_MSEC;
	p->deadline_ns = r->values[COL_DEADLINE_MS] * NSEC_PER_MSEC;
	p->version = n->table->version;
	p->hedge_share = get_hedge_share(n, r);
	q->stats = get_kind_stats(n, r->kind);
	if (q->stats == NULL)
		return ERR_MEMORY;
	q->service = find_node_service(n, choose_split_service(n, q->stats, r));
	return q->service != NULL ? 0 : ERR_MEMORY;
}

/*
 * Returns the most hedged sends per call of a row: its own share, or else that
 * of the settings.
 */
static double
get_hedge_share(const struct node *n, const struct row *r)
{
	if (!r->repeatable)
		return 0;
	return r->values[COL_HEDGE_PCT] >= 0 ?
		   r->values[COL_HEDGE_PCT] / 100.0 :
		   n->cfg.hedge_share;
}

/*
 * Sets the deadline and the target time. A caller that comes back after a
 * refusal sends a shorter time-out than on its first try. The difference is time
 * that it has already waited, so the target is that much earlier.
 */
static void
set_deadlines(struct request *q)
{
	int64_t timeout = parse_caller_timeout(q), elapsed = 0;
	int64_t deadline = q->policy.deadline_ns;

	if (timeout > 0) {
		if (timeout <= CALLER_TIMEOUT_FACTOR * deadline)
			add_caller_timeout(
			    &q->stats->tries, timeout, q->arrived);
		elapsed = estimate_elapsed(&q->stats->tries, timeout);
		if (timeout < deadline)
			deadline = timeout;
	}
	if (deadline > q->stats->longest_deadline_ns)
		q->stats->longest_deadline_ns = deadline;
	q->deadline = q->arrived + deadline;
	q->target_at = q->arrived + q->policy.target_ns - elapsed;
	if (q->target_at > q->deadline)
		q->target_at = q->deadline;
}

/*
 * Returns the caller's time-out in ns, at least 1; 0 when it sent none or an
 * invalid one.
 */
static int64_t
parse_caller_timeout(struct request *q)
{
	const char *name = q->node->cfg.names.deadline_ms;
	struct str v = name != NULL ? find_http_header(&q->reader.head, name) :
				      make_str("");
	char id[LOG_ID_BYTES];
	int64_t ms;

	if (v.len == 0)
		return 0;
	if (parse_i64(v, 0, CALLER_TIMEOUT_MAX_NS / NSEC_PER_MSEC, &ms) != 0) {
		write_log(LOG_LEVEL_NOTICE,
		    "call %s: deadline '%.*s' is not a number of ms; using "
		    "the row's deadline",
		    format_log_id(id, q->id), v.len > 20 ? 20 : (int)v.len,
		    v.data);
		return 0;
	}
	return ms > 0 ? ms * NSEC_PER_MSEC : 1;
}

/*
 * Collects the header lines that are passed on, and names the account. Left out
 * are hop-by-hop headers, the key, and headers that the node sets itself, so
 * that a caller cannot forge them.
 */
static int
copy_head(struct request *q)
{
	const struct http_head *h = &q->reader.head;
	int rc = 0;

	for (size_t i = 0; i < h->header_count && rc == 0; i++) {
		struct str name = h->headers[i].name;

		if ((is_hop_by_hop_header(h, name) &&
			!is_call_id(q->node, name)) ||
		    is_http_name_equal(name, "content-length") ||
		    is_http_name_equal(name, "expect") ||
		    is_own_header(q->node, name))
			continue;
		rc = append_buf_str(&q->head, name);
		if (rc == 0)
			rc = append_buf(&q->head, ": ", 2);
		if (rc == 0)
			rc = append_buf_str(&q->head, h->headers[i].value);
		if (rc == 0)
			rc = append_buf(&q->head, "\r\n", 2);
	}
	if (rc == 0 && q->policy.account[0] != '\0' &&
	    q->node->cfg.names.account != NULL)
		rc = append_http_header(&q->head, q->node->cfg.names.account,
		    make_str(q->policy.account));
	return rc;
}

/*
 * The id is passed on even where Connection names it: without it no answer could
 * be told to be the one to this call.
 */
static bool
is_call_id(const struct node *n, struct str name)
{
	return n->cfg.names.call_id != NULL &&
	       is_http_name_equal(name, n->cfg.names.call_id);
}

/*
 * Says whether the node keeps this header of a request or sets it itself. The
 * header of keys is the client's and the backend server's own matter in a table
 * without accounts.
 */
static bool
is_own_header(const struct node *n, struct str name)
{
	const struct call_names *names = &n->cfg.names;
	const char *const own[] = {names->deadline_ms, names->expect_instance,
	    names->caller_service, names->account,
	    has_accounts(n->table) ? names->key : NULL};

	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
		if (own[i] != NULL && is_http_name_equal(name, own[i]))
			return true;
	}
	return false;
}

/*
 * Appends a Retry-After header in seconds with a fraction, at least
 * RETRY_AFTER_MIN_NS, so that a caller may return before a full second.
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
