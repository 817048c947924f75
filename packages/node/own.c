/*
 * The node's own answers: whether it is ready, the backend server's reports and
 * the metrics.
 */
#include <string.h>

#include "log.h"
#include "node_state.h"

static void answer_own(struct request *q, const struct own_answer *a);
static bool is_ready(const struct node *n);

/*
 * A node that has no table yet, or that ends, takes no new callers.
 */
void
answer_ready(struct node *n, struct request *q)
{
	struct own_answer a = {.status = 404};

	if (n->cfg.reports.is_ready_question == NULL ||
	    n->cfg.reports.is_ready_question(&q->reader.head))
		a.status = is_ready(n) ? 200 : 503;
	answer_own(q, &a);
}

/*
 * The answer to a report promises that no new call is sent once a server said
 * that it leaves. This node alone sends calls to its server, so the promise
 * holds when the report is taken up.
 */
void
answer_report(struct node *n, struct request *q)
{
	struct backend_report r = {0};
	struct own_answer a = {.status = 200};
	struct fault f = {0};
	int rc = ERR_NOT_FOUND;

	if (n->cfg.reports.read_report != NULL)
		rc = n->cfg.reports.read_report(
		    &q->reader.head, view_buf(&q->reader.body), &r, &f);
	if (rc == 0 && r.service[0] != '\0' && n->cfg.service != NULL &&
	    strcmp(r.service, n->cfg.service) != 0)
		rc = set_fault(&f, ERR_INVALID,
		    "service '%s' is not '%s', which this node serves",
		    r.service, n->cfg.service);
	if (rc == 0) {
		take_report(n, &r);
		a.type = "application/json";
		if (append_buf_str(&a.body, make_str("{}")) != 0)
			write_log(LOG_LEVEL_ERR, "out of memory for an answer");
	} else if (rc == ERR_NOT_FOUND) {
		a.status = 404;
	} else {
		WRITE_EVENT(LOG_LEVEL_NOTICE, "report.refused",
		    LOG_TEXT("instance", r.id), LOG_TEXT("reason", f.text));
		a.status = 400;
	}
	answer_own(q, &a);
	unload_buf(&a.body);
}

void
answer_metrics(struct node *n, struct request *q)
{
	struct own_answer a = {
	    .status = 200, .type = "text/plain; version=0.0.4"};

	refresh_node_metrics(n);
	if (render_metrics(&a.body) != 0) {
		write_log(LOG_LEVEL_ERR, "out of memory for metrics");
		a.status = 503;
	}
	answer_own(q, &a);
	unload_buf(&a.body);
}

static void
answer_own(struct request *q, const struct own_answer *a)
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
