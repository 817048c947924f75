/*
 * Requests that the node answers itself: readiness checks, the backend server's
 * reports and metrics.
 */
#include <string.h>

#include "log.h"
#include "node_state.h"

static void send_local_answer(struct request *q, const struct local_answer *a);
static bool is_ready(const struct node *n);

/*
 * Answers 200, or 503 while the node has no table yet or is stopping, and 404
 * for a path that is not the readiness check.
 */
void
answer_ready(struct node *n, struct request *q)
{
	struct local_answer a = {.status = 404};

	if (n->cfg.reports.is_readiness_check == NULL ||
	    n->cfg.reports.is_readiness_check(&q->reader.head))
		a.status = is_ready(n) ? 200 : 503;
	send_local_answer(q, &a);
}

/*
 * Applies a report of the backend server. Answering a report of a leaving
 * server with 200 promises that no new call is admitted for it. Only this node
 * sends calls to that server, so the promise holds once the report is applied,
 * and beyond the end of this process once the control group has recorded it.
 */
void
answer_report(struct node *n, struct request *q)
{
	struct backend_report report = {0};
	struct local_answer a = {.status = 200};
	struct fault f = {0};
	int rc = ERR_NOT_FOUND;

	if (n->cfg.reports.read_report != NULL)
		rc = n->cfg.reports.read_report(
		    &q->reader.head, view_buf(&q->reader.body), &report, &f);
	if (rc == 0 && report.service[0] != '\0' && n->cfg.service != NULL &&
	    strcmp(report.service, n->cfg.service) != 0)
		rc = set_fault(&f, ERR_INVALID,
		    "service '%s' is not '%s', which this node serves",
		    report.service, n->cfg.service);
	if (rc == 0) {
		apply_backend_report(n, &report);
		if (report.state == REPORT_READY || !wait_for_record(q))
			finish_report(q, true);
		return;
	} else if (rc == ERR_NOT_FOUND) {
		a.status = 404;
	} else {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "report.refused",
		    LOG_TEXT("instance", report.id),
		    LOG_TEXT("reason", f.text));
		a.status = 400;
	}
	send_local_answer(q, &a);
	unload_buf(&a.body);
}

/*
 * Acknowledges a report. One of a leaving that could not be recorded in time is
 * refused, so that its sender does not rely on it; no call goes to that server
 * all the same, and the sender's next report finds it recorded.
 */
void
finish_report(struct request *q, bool recorded)
{
	struct local_answer a = {.status = 503};

	if (recorded) {
		a.status = 200;
		a.type = "application/json";
		if (append_buf_str(&a.body, make_str("{}")) != 0)
			write_log(LOG_LEVEL_ERR, "out of memory for an answer");
	} else {
		count_metric(q->node->metrics.leavings_refused_total, 1);
		WRITE_EVENT(LOG_LEVEL_WARNING, "leaving.unrecorded",
		    LOG_TEXT("instance", get_backend_instance(q->node)));
	}
	send_local_answer(q, &a);
	unload_buf(&a.body);
}

/*
 * Answers with all metrics in the Prometheus text format.
 */
void
answer_metrics(struct node *n, struct request *q)
{
	struct local_answer a = {
	    .status = 200, .type = "text/plain; version=0.0.4"};

	refresh_node_metrics(n);
	if (render_metrics(&a.body) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for metrics");
		a.status = 503;
	}
	send_local_answer(q, &a);
	unload_buf(&a.body);
}

static void
send_local_answer(struct request *q, const struct local_answer *a)
{
	struct buf head = {0};

	q->state = REQUEST_DONE;
	if (a->type != NULL &&
	    append_http_header(&head, "Content-Type", make_str(a->type)) != 0)
		head.len = 0;
	send_answer(q, a->status, view_buf(&head), view_buf(&a->body));
	unload_buf(&head);
}

static bool
is_ready(const struct node *n)
{
	return n->table != NULL && n->leaving_at == 0;
}
