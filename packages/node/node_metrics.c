/*
 * Metrics of a node. Counters are updated on events, gauges when the metrics
 * are requested.
 */
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "node_state.h"

/* Kinds with fewer calls have no latency histogram, which takes 4 KB. */
#define HISTOGRAM_CALLS 100

struct metric_spec {
	size_t offset; /* in struct node_metrics */
	enum metric_kind kind;
	const char *name;
	const char *help;
};

#define SPEC(field, kind, help)                             \
	{                                                   \
		offsetof(struct node_metrics, field), kind, \
		    "ggs_node_" #field, help                \
	}

static const struct metric_spec specs[] = {
    SPEC(calls_total, METRIC_COUNTER, "Calls of callers."),
    SPEC(
	answers_total, METRIC_COUNTER, "Answers of backend servers passed on."),
    SPEC(refused_total, METRIC_COUNTER, "Calls refused as not run."),
    SPEC(failed_total, METRIC_COUNTER,
	"Calls that ended without an answer and may have run."),
    SPEC(retries_total, METRIC_COUNTER,
	"Calls sent to another backend server after one had them."),
    SPEC(hedges_total, METRIC_COUNTER,
	"Second sends of calls whose answer was slow."),
    SPEC(hedges_won_total, METRIC_COUNTER,
	"Second sends whose answer went to the caller."),
    SPEC(hedges_cancelled_total, METRIC_COUNTER,
	"Second sends that ended because of the first one's answer."),
    SPEC(cancelled_total, METRIC_COUNTER, "Calls whose caller hung up."),
    SPEC(served_total, METRIC_COUNTER, "Calls that the backend server ran."),
    SPEC(shed_total, METRIC_COUNTER, "Calls that admission refused."),
    SPEC(busy_total, METRIC_COUNTER,
	"Offers for a free slot that found none here."),
    SPEC(backend_connects_total, METRIC_COUNTER,
	"Connections opened to the backend server."),
    SPEC(links_total, METRIC_COUNTER, "Connections opened to other nodes."),
    SPEC(avoided_total, METRIC_COUNTER,
	"Failures after which a serving node was avoided for a while."),
    SPEC(rollout_offers_total, METRIC_COUNTER,
	"Offers to servers of the new version in the trial of a roll-out."),
    SPEC(rollout_failed_total, METRIC_COUNTER,
	"Failed answers of servers of the new version in roll-outs."),
    SPEC(latency_us, METRIC_HISTOGRAM, "Time from request to answer, us."),
    SPEC(queue_us, METRIC_HISTOGRAM, "Time that calls waited for a slot, us."),
    SPEC(run_us, METRIC_HISTOGRAM, "Time that runs took, us."),
    SPEC(table_version, METRIC_GAUGE, "Table version in force; 0: none."),
    SPEC(requests, METRIC_GAUGE, "Calls of callers under way."),
    SPEC(runs, METRIC_GAUGE, "Calls at this node's backend server."),
    SPEC(queued, METRIC_GAUGE, "Calls that wait for a slot."),
    SPEC(in_flight, METRIC_GAUGE, "Calls that hold a slot."),
    SPEC(slots, METRIC_GAUGE, "Slots in use at most."),
    SPEC(backend_connections, METRIC_GAUGE,
	"Connections to the backend server."),
    SPEC(backend_state, METRIC_GAUGE, "0 down, 1 ready, 2 leaving."),
    SPEC(mean_run_us, METRIC_GAUGE, "Recent mean of a run, us."),
    SPEC(body_wait_us, METRIC_GAUGE,
	"Time that the link needs for bodies due or waiting, us."),
    SPEC(failed_ppm, METRIC_GAUGE, "Recent share of failed runs, ppm."),
    SPEC(peers, METRIC_GAUGE, "Serving nodes known."),
    SPEC(peers_usable, METRIC_GAUGE, "Serving nodes that take calls."),
    SPEC(peers_avoided, METRIC_GAUGE, "Serving nodes avoided now."),
    SPEC(body_bytes, METRIC_GAUGE, "Bytes of request bodies in memory."),
    SPEC(pipelined_total, METRIC_COUNTER,
	"Calls read before earlier ones of their connection were answered."),
    SPEC(unread_closes_total, METRIC_COUNTER,
	"Connections closed with requests behind the last answer."),
    SPEC(memory_bytes, METRIC_GAUGE,
	"Bytes of all buffers and connections, with their unused capacity."),
    SPEC(memory_limit, METRIC_GAUGE,
	"Most bytes that they may take; 0: unlimited."),
    SPEC(yields_total, METRIC_COUNTER,
	"Callers' connections refused or closed to free memory."),
    SPEC(accept_closes_total, METRIC_COUNTER,
	"Callers' connections closed or not accepted for lack of "
	"descriptors."),
    SPEC(kept_bytes, METRIC_GAUGE,
	"Bytes of answers that wait for earlier ones of their connection."),
    SPEC(key_refusals_total, METRIC_COUNTER,
	"Calls refused because no account holds their key."),
    SPEC(rate_limit_milli, METRIC_GAUGE,
	"Calls that the backend server accepts in 1,000 s; -1: no limit."),
    SPEC(long_answers_total, METRIC_COUNTER,
	"Long answers sent to other nodes in pieces."),
    SPEC(long_answer_bytes, METRIC_GAUGE,
	"Bytes of long answers that wait for the link."),
    SPEC(allotment_asks_total, METRIC_COUNTER,
	"Asks to the leader for allotments of accounts."),
    SPEC(leavings_refused_total, METRIC_COUNTER,
	"Reports of a leaving refused because it was not recorded in time."),
    SPEC(allotment_lost_total, METRIC_COUNTER,
	"Asks for allotments without an answer in time."),
    SPEC(log_dropped_lines, METRIC_GAUGE,
	"Log lines that found no room since the start."),
};

static const char *get_end_label(
    const struct request *q, int status, bool late);
static void count_labelled(
    const char *name, const char *label, const char *value, const char *help);

/*
 * Registers the metrics with the process.
 */
void
open_node_metrics(struct node_metrics *m)
{
	for (size_t i = 0; i < sizeof(specs) / sizeof(specs[0]); i++)
		*(metric_id *)((char *)m + specs[i].offset) = register_metric(
		    specs[i].kind, specs[i].name, specs[i].help);
}

/*
 * Counts the end of a call by its kind, rank and outcome, and a refusal by its
 * reason. status 0: the caller had disconnected.
 */
void
count_call_end(struct request *q, int status)
{
	int64_t now = get_reactor_now(q->node->reactor);
	char name[METRIC_NAME_BYTES];

	if (status == 503 || q->reason == REFUSE_ALLOTMENT)
		count_labelled("ggs_node_refusals_total", "reason",
		    get_refuse_name(q->reason),
		    "Calls refused as not run, by reason.");
	if (q->stats == NULL)
		return;
	if (snprintf(name, sizeof(name),
		"ggs_node_kind_calls_total{kind=\"%s\",rank=\"%d\","
		"outcome=\"%s\"}",
		q->policy.kind, q->policy.rank,
		get_end_label(q, status, now > q->target_at)) <
	    (int)sizeof(name))
		count_metric(register_metric(METRIC_COUNTER, name,
				 "Calls by kind, rank and outcome."),
		    1);
	if (++q->stats->calls < HISTOGRAM_CALLS)
		return;
	if (q->stats->calls == HISTOGRAM_CALLS &&
	    snprintf(name, sizeof(name),
		"ggs_node_kind_latency_us{kind=\"%s\"}",
		q->policy.kind) < (int)sizeof(name))
		q->stats->latency_us = register_metric(METRIC_HISTOGRAM, name,
		    "Time from request to end, us, of kinds with many calls.");
	if (q->stats->latency_us > 0)
		observe_metric(q->stats->latency_us,
		    (uint64_t)((now - q->arrived) / NSEC_PER_USEC));
}

/*
 * Counts a planned hedge that was not sent, by its reason.
 */
void
count_kept_hedge(enum hedge_refusal r)
{
	count_labelled("ggs_node_hedges_kept_total", "reason",
	    get_hedge_refusal_name(r),
	    "Second sends that were planned and not made, by reason.");
}

/*
 * Sets the gauges from the current state.
 */
void
refresh_node_metrics(struct node *n)
{
	struct node_metrics *m = &n->metrics;
	struct hop_load l = get_own_load(n);
	int peers = 0, usable = 0, avoided = 0;
	char name[METRIC_NAME_BYTES];

	for (const struct peer *p = n->peers; p != NULL; p = p->next) {
		peers++;
		usable += p->usable ? 1 : 0;
		avoided += p->failures > 0 ? 1 : 0;
	}
	set_metric(m->requests, n->requests);
	set_metric(m->runs, n->job_count);
	set_metric(m->queued, l.queued);
	set_metric(m->in_flight, l.in_flight);
	set_metric(m->slots, l.limit);
	set_metric(m->backend_connections, count_backend_connections(n));
	set_metric(m->backend_state, (int64_t)l.state);
	set_metric(m->mean_run_us, n->service_ns / NSEC_PER_USEC);
	set_metric(m->failed_ppm, l.failed_ppm);
	set_metric(m->body_wait_us, l.body_wait_us);
	set_metric(m->rate_limit_milli,
	    get_backend_rate(n) < 0 ? -1 :
				      (int64_t)(get_backend_rate(n) * 1e3));
	set_metric(m->long_answer_bytes, (int64_t)n->long_answer_bytes);
	set_metric(m->peers, peers);
	set_metric(m->peers_usable, usable);
	set_metric(m->peers_avoided, avoided);
	set_metric(m->kept_bytes, (int64_t)n->kept_bytes);
	set_metric(m->memory_bytes, (int64_t)get_used_memory(n));
	set_metric(m->memory_limit, (int64_t)n->budget.limit);
	set_metric(m->body_bytes, (int64_t)n->body_bytes);
	set_metric(m->log_dropped_lines, (int64_t)count_dropped_lines());
	for (const struct service *s = n->services; s != NULL; s = s->next) {
		if (snprintf(name, sizeof(name),
			"ggs_node_retry_tokens{service=\"%s\"}",
			s->name) < (int)sizeof(name))
			set_metric(register_metric(METRIC_GAUGE, name,
				       "Retries that this node may make now."),
			    (int64_t)s->tokens);
	}
}

/*
 * Returns the outcome label of a call; status 0: the caller had disconnected.
 */
static const char *
get_end_label(const struct request *q, int status, bool late)
{
	if (status == 0)
		return "left";
	if (status == 503 || q->reason == REFUSE_ALLOTMENT)
		return "refused";
	if (q->may_have_run && status >= 500)
		return "unknown";
	if (status >= 500)
		return "backend-failed";
	return late ? "late" : "answered";
}

static void
count_labelled(
    const char *name, const char *label, const char *value, const char *help)
{
	char full[METRIC_NAME_BYTES];

	if (snprintf(full, sizeof(full), "%s{%s=\"%s\"}", name, label, value) <
	    (int)sizeof(full))
		count_metric(register_metric(METRIC_COUNTER, full, help), 1);
}
