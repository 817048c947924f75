/*
 * Leavings of the backend server, kept by the control group. A node has no disk
 * and may end at any moment, so it acknowledges a leaving only when a quorum of
 * the group has it, and a started node uses a server that is older than itself
 * only when it has read what its earlier process acknowledged.
 */
#include <string.h>

#include "backend_state.h"
#include "log.h"

/* A sender waits for an acknowledgement for 1 s. */
#define ACK_WAIT_NS (800 * NSEC_PER_MSEC)
#define REQUEST_TIMEOUT_MS 700
#define RETRY_FIRST_NS (50 * NSEC_PER_MSEC) /* doubles up to the next */
#define RETRY_MAX_NS (800 * NSEC_PER_MSEC)

static void send_leavings(struct node *n);
static void take_answer(
    void *arg, int status, const struct wire_leaving *items, size_t count);
static void post_failure(struct node *n, int status);
static void apply_answer(struct task *t);
static void adopt_answer(struct node *n);
static void mark_recorded(struct node *n, bool kept);
static bool has_unrecorded(const struct node *n);
static void set_retry_timer(struct node *n);
static void run_retry(struct timer *t);
static void end_waits(struct node *n, bool recorded);
static void time_out_reports(struct timer *t);

void
open_leavings(struct node *n)
{
	struct node_leavings *s = &n->leavings;

	pthread_mutex_init(&s->lock, NULL);
	s->waiting_tail = &s->waiting;
	s->retry_ns = RETRY_FIRST_NS;
}

/*
 * The thread of the node has ended, or never started.
 */
void
close_leavings(struct node *n)
{
	struct node_leavings *s = &n->leavings;

	cancel_leavings(n->cfg.agent);
	cancel_timer(n->reactor, &s->retry_timer);
	cancel_timer(n->reactor, &s->wait_timer);
	pthread_mutex_destroy(&s->lock);
}

/*
 * Reads what an earlier process of this node has acknowledged, once there is a
 * table: a control process without a quorum has neither.
 */
void
read_leavings(struct node *n)
{
	if (n->backend != NULL && n->table != NULL && !n->leavings.known)
		send_leavings(n);
}

/*
 * Has new leavings recorded. They are kept here whether or not that succeeds.
 */
void
record_leavings(struct node *n)
{
	if (has_unrecorded(n))
		send_leavings(n);
}

/*
 * Says whether the leavings have been read, or need not be since the server has
 * been started after this node. start_ms: of the server, Unix ms.
 */
bool
are_leavings_known(const struct node *n, int64_t start_ms)
{
	return n->leavings.known ||
	       start_ms > n->started_wall_ns / NSEC_PER_MSEC;
}

/*
 * Lets the report of a leaving wait until the leaving has been recorded, for
 * ACK_WAIT_NS at most. Returns false if it need not wait.
 */
bool
wait_for_record(struct request *q)
{
	struct node *n = q->node;
	struct node_leavings *s = &n->leavings;

	if (!has_unrecorded(n))
		return false;
	q->state = REQUEST_REPORTING;
	q->wait_until = q->complete + ACK_WAIT_NS;
	q->next_waiting = NULL;
	*s->waiting_tail = q;
	s->waiting_tail = &q->next_waiting;
	if (s->waiting == q)
		set_timer(n->reactor, &s->wait_timer, q->wait_until,
		    time_out_reports);
	return true;
}

/*
 * Takes a request that is answered or freed out of the list, if it waits.
 */
void
leave_record_queue(struct request *q)
{
	struct node_leavings *s = &q->node->leavings;
	struct request **at = &s->waiting;

	if (q->state != REQUEST_REPORTING)
		return;
	while (*at != NULL && *at != q)
		at = &(*at)->next_waiting;
	if (*at == NULL)
		return;
	*at = q->next_waiting;
	if (*at == NULL)
		s->waiting_tail = at;
}

/*
 * Sends the leavings that are not recorded yet; without any the request reads.
 */
static void
send_leavings(struct node *n)
{
	struct node_leavings *s = &n->leavings;
	int64_t now = get_reactor_now(n->reactor);
	struct wire_leaving items[LEAVINGS_MAX];
	int rc;

	if (s->asking)
		return;
	s->asking = true;
	cancel_timer(n->reactor, &s->retry_timer);
	s->sent_count = 0;
	for (size_t i = 0; i < LEAVINGS_MAX; i++) {
		struct leaving *l = &n->backend->leavings[i];

		if (l->recorded || !is_leaving_kept(l, now))
			continue;
		s->sent[s->sent_count] = *l;
		items[s->sent_count++] =
		    (struct wire_leaving){l->instance, l->born_until_ms};
	}
	rc = request_leavings(n->cfg.agent, items, s->sent_count,
	    REQUEST_TIMEOUT_MS, take_answer, n);
	if (rc != 0)
		post_failure(n, rc);
}

/*
 * Runs on the agent's thread and hands the answer to the node's.
 */
static void
take_answer(
    void *arg, int status, const struct wire_leaving *items, size_t count)
{
	struct node *n = arg;
	struct node_leavings *s = &n->leavings;

	pthread_mutex_lock(&s->lock);
	s->answer_status = status;
	s->answer_count = 0;
	for (size_t i = 0; i < count && i < LEAVINGS_MAX; i++) {
		struct leaving *l = &s->answer[s->answer_count];

		if (copy_str(l->instance, sizeof(l->instance),
			make_str(items[i].instance)) != 0)
			continue;
		l->born_until_ms = items[i].born_until_ms;
		s->answer_count++;
	}
	pthread_mutex_unlock(&s->lock);
	post_task(n->reactor, &s->answer_task, apply_answer);
}

static void
post_failure(struct node *n, int status)
{
	take_answer(n, status, NULL, 0);
}

/*
 * A control group of an earlier build keeps no leavings; this node then
 * acknowledges them as its own earlier build did.
 */
static void
apply_answer(struct task *t)
{
	struct node *n = (struct node *)((char *)t - offsetof(struct node,
							 leavings.answer_task));
	struct node_leavings *s = &n->leavings;
	int status;

	pthread_mutex_lock(&s->lock);
	status = s->answer_status;
	pthread_mutex_unlock(&s->lock);
	s->asking = false;
	if (status != 0 && status != ERR_NOT_FOUND) {
		set_retry_timer(n);
		return;
	}
	if (status == ERR_NOT_FOUND)
		write_log(LOG_LEVEL_WARNING,
		    "the control processes keep no leavings of backend "
		    "servers; upgrade them, a restart of this node forgets "
		    "what it has acknowledged");
	s->retry_ns = RETRY_FIRST_NS;
	mark_recorded(n, status == 0);
	if (!s->known)
		adopt_answer(n);
	if (has_unrecorded(n))
		send_leavings(n);
	else
		end_waits(n, true);
}

/*
 * Takes over what an earlier process of this node has acknowledged.
 */
static void
adopt_answer(struct node *n)
{
	struct node_leavings *s = &n->leavings;
	struct leaving kept[LEAVINGS_MAX];
	size_t count;

	pthread_mutex_lock(&s->lock);
	count = s->answer_count;
	memcpy(kept, s->answer, sizeof(kept));
	pthread_mutex_unlock(&s->lock);
	s->known = true;
	WRITE_EVENT(
	    LOG_LEVEL_INFO, "leavings.read", LOG_INT("count", (int64_t)count));
	for (size_t i = 0; i < count; i++)
		adopt_leaving(n, kept[i].instance, kept[i].born_until_ms, true);
	refresh_backend_state(n);
}

/*
 * Marks the leavings that were sent, so that their reports are acknowledged;
 * kept: the control group has them. One that has been extended since then stays
 * unrecorded.
 */
static void
mark_recorded(struct node *n, bool kept)
{
	const struct node_leavings *s = &n->leavings;

	for (size_t i = 0; i < s->sent_count; i++) {
		struct leaving *l =
		    find_leaving(n->backend, s->sent[i].instance);

		if (l == NULL || l->born_until_ms > s->sent[i].born_until_ms)
			continue;
		l->recorded = true;
		if (kept)
			WRITE_EVENT(LOG_LEVEL_INFO, "leaving.recorded",
			    LOG_TEXT("instance", l->instance),
			    LOG_INT("born_until_ms", l->born_until_ms));
	}
}

static bool
has_unrecorded(const struct node *n)
{
	int64_t now = get_reactor_now(n->reactor);

	for (size_t i = 0; n->backend != NULL && i < LEAVINGS_MAX; i++) {
		const struct leaving *l = &n->backend->leavings[i];

		if (!l->recorded && is_leaving_kept(l, now))
			return true;
	}
	return false;
}

static void
set_retry_timer(struct node *n)
{
	struct node_leavings *s = &n->leavings;
	int64_t half = s->retry_ns / 2;

	set_timer(n->reactor, &s->retry_timer,
	    get_reactor_now(n->reactor) + half +
		(int64_t)draw_below(&n->rng, (uint64_t)half),
	    run_retry);
	s->retry_ns =
	    2 * s->retry_ns < RETRY_MAX_NS ? 2 * s->retry_ns : RETRY_MAX_NS;
}

static void
run_retry(struct timer *t)
{
	struct node *n = (struct node *)((char *)t - offsetof(struct node,
							 leavings.retry_timer));

	read_leavings(n);
	record_leavings(n);
}

/*
 * Answers the reports that wait, all of them or those whose time is over.
 */
static void
end_waits(struct node *n, bool recorded)
{
	struct node_leavings *s = &n->leavings;
	int64_t now = get_reactor_now(n->reactor);
	struct request *q;

	while ((q = s->waiting) != NULL && (recorded || q->wait_until <= now)) {
		leave_record_queue(q);
		finish_report(q, recorded);
	}
	if (s->waiting != NULL)
		set_timer(n->reactor, &s->wait_timer, s->waiting->wait_until,
		    time_out_reports);
	else
		cancel_timer(n->reactor, &s->wait_timer);
}

static void
time_out_reports(struct timer *t)
{
	end_waits((struct node *)((char *)t -
				  offsetof(struct node, leavings.wait_timer)),
	    false);
}
