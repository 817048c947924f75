/*
 * Roll-outs at a control process: the list for nodes (long polls), their
 * reports, which go on to the leader, the leader's decisions, and the operators'
 * orders.
 *
 * Reports are not replicated: a node counts from the time that it learned of a
 * roll-out and sends its whole counts again and again, so a new leader has them
 * a moment later. Decisions are replicated.
 */
#include <stdlib.h>
#include <string.h>

#include "api.h"
#include "log.h"
#include "service.h"

#define PENDING_MAX 4096 /* polls; more get the list at once */
#define POLL_WAIT_MAX_MS 10000
#define FORWARD_TIMEOUT_MS 1000 /* of a report to the leader */
#define JUDGE_NS (100 * NSEC_PER_MSEC) /* between looks at a roll-out */
#define STEP_RETRY_NS (500 * NSEC_PER_MSEC) /* between attempts of a decision */
#define SAMPLE_NS (500 * NSEC_PER_MSEC)
#define SAMPLES_MAX 7 /* the recent past: 3 s */
#define SILENT_NS (2 * NSEC_PER_SEC) /* then a node's last report is outdated */
#define REPORTS_MAX 8192 /* nodes, and their earlier runs */
#define STEPS_MAX 8 /* decisions of one look */
#define ORDER_TIMEOUT_MS 3000 /* wait for a quorum */

/* A node's poll of the list. */
struct pending_poll {
	struct pending_poll *next;
	struct rpc_reply *reply;
	uint64_t held; /* change of the node's list */
	uint64_t read_round; /* that confirms the list; 0: none needed */
	int64_t deadline_ns;
};

/* The newest report of one run of a node. */
struct node_counts {
	struct node_counts *next;
	struct wire_rollouts_args args;
	int64_t received_ns;
};

/* Sums over the reports of all nodes. */
struct rollout_sums {
	struct rollout_counts before[ROLLOUT_ROWS_MAX];
	struct rollout_counts after[ROLLOUT_ROWS_MAX];
};

/* A running roll-out, as this process follows it. */
struct trial {
	uint64_t number; /* of the order; 0: not used */
	int64_t seen_ns; /* first seen here, mono */
	int64_t moved_ns; /* all calls have moved; 0: not yet */
	int64_t led_ns; /* first judged here as the leader; 0: never */
	int64_t judge_ns, step_ns, sample_ns; /* next ones */
	char rows[ROLLOUT_ROWS_MAX][WIRE_NAME_MAX + 1];
	size_t row_count;
	struct rollout_sums samples[SAMPLES_MAX]; /* ring */
	size_t sample_count;
};

struct rollout_desk {
	struct pending_poll *pending;
	size_t pending_count;
	struct node_counts *reports;
	size_t report_count;
	struct trial *trials[ROLLOUTS_MAX];
	uint64_t logged; /* change of the list that was logged */
};

/* A decision that is due. */
struct due_step {
	uint64_t number;
	enum rollout_phase phase;
	const char *reason;
};

static void keep_report(
    struct rollout_desk *d, struct wire_rollouts_args *a, int64_t now);
static void forward_report(struct control *c, struct str args);
static void ignore_reply(void *arg, const struct rpc_result *r);
static void ignore_result(void *arg, int status, struct str result);
static bool serve_poll(
    struct control *c, const struct pending_poll *p, bool stale, int64_t now);
static void send_list(
    struct control *c, struct rpc_reply *reply, wire_status status);
static bool judge_rollout(struct control *c, const struct rollout *r,
    struct trial *t, int64_t now, struct due_step *out);
static struct trial *get_trial(
    struct rollout_desk *d, const struct rollout *r, int64_t now);
static void drop_ended_trials(struct control *c);
static void sum_reports(const struct rollout_desk *d, const struct rollout *r,
    struct trial *t, int64_t now, struct rollout_sums *sums,
    struct rollout_facts *f);
static void add_report(const struct wire_rollout_counts *w, struct trial *t,
    struct rollout_sums *sums);
static struct rollout_counts subtract_counts(
    const struct rollout_counts *a, const struct rollout_counts *b);
static void submit_step(struct control *c, const struct due_step *s);
static int decode_order_result(struct str bytes, struct fault *f);

int
open_rollouts(struct control *c)
{
	c->rollouts = calloc(1, sizeof(*c->rollouts));
	return c->rollouts != NULL ? 0 : ERR_MEMORY;
}

/*
 * Frees what is left after the threads have ended.
 */
void
close_rollouts(struct control *c)
{
	struct rollout_desk *d = c->rollouts;
	struct node_counts *n;

	if (d == NULL)
		return;
	while ((n = d->reports) != NULL) {
		d->reports = n->next;
		unload_wire((xdrproc_t)xdr_wire_rollouts_args, &n->args);
		free(n);
	}
	for (size_t i = 0; i < ROLLOUTS_MAX; i++)
		free(d->trials[i]);
	free(d);
	c->rollouts = NULL;
}

/*
 * Handles a node's poll or report. The leader keeps the counts of a report,
 * another process passes it on once. A poll with another list than the present
 * one, and each report, is answered at once.
 */
void
handle_rollouts(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_rollouts_args a = {0};
	int64_t now = read_mono(&c->cfg.clock);
	bool leads = is_control_leader(c), stale, report;
	struct pending_poll poll = {.reply = reply}, *p;

	if (decode_wire((xdrproc_t)xdr_wire_rollouts_args, q->args, &a) != 0 ||
	    !is_plain_name(a.node)) {
		unload_wire((xdrproc_t)xdr_wire_rollouts_args, &a);
		complete_rpc(reply, ERR_INVALID, make_str(""));
		return;
	}
	merge_message_stamp(c, &a.stamp);
	report = a.seq != 0;
	poll.held = a.held;
	poll.deadline_ns = now;
	if (!report && a.wait_ms > 0)
		poll.deadline_ns +=
		    NSEC_PER_MSEC * (a.wait_ms < POLL_WAIT_MAX_MS ?
					    a.wait_ms :
					    POLL_WAIT_MAX_MS);
	if (report && !leads && q->proc == GGS_ROLLOUTS)
		forward_report(c, q->args);
	stale = is_control_stale(c) || is_relay(c);
	pthread_mutex_lock(&c->lock);
	if (report && leads)
		keep_report(c->rollouts, &a, now);
	/* A node that knows no list must not get one from the past. */
	if (poll.held == 0 && !stale && q->proc == GGS_ROLLOUTS)
		poll.read_round = get_next_read_round(c);
	if (poll.read_round != 0)
		begin_read_round(c);
	p = calloc(1, sizeof(*p));
	if (c->stopping || p == NULL ||
	    c->rollouts->pending_count >= PENDING_MAX) {
		send_list(c, reply, WIRE_UNAVAILABLE);
		free(p);
	} else if (serve_poll(c, &poll, stale, now)) {
		free(p);
	} else {
		*p = poll;
		p->next = c->rollouts->pending;
		c->rollouts->pending = p;
		c->rollouts->pending_count++;
	}
	pthread_mutex_unlock(&c->lock);
	unload_wire((xdrproc_t)xdr_wire_rollouts_args, &a);
}

/*
 * Answers the polls for which the list is another one or whose time has come.
 */
void
serve_rollouts(struct control *c, int64_t now)
{
	bool stale = is_control_stale(c) || is_relay(c), needs_read = false;
	struct pending_poll **at = &c->rollouts->pending, *p;

	while ((p = *at) != NULL) {
		if (!c->stopping && !serve_poll(c, p, stale, now)) {
			needs_read |= p->read_round > c->reads.confirmed;
			at = &p->next;
			continue;
		}
		if (c->stopping)
			send_list(c, p->reply, WIRE_UNAVAILABLE);
		*at = p->next;
		c->rollouts->pending_count--;
		free(p);
	}
	if (needs_read)
		begin_read_round(c);
}

/*
 * Logs what the list has newly, and wakes the polls. The lock is held.
 */
void
publish_rollouts(struct control *c)
{
	struct rollout_list *l = &c->state->rollouts;

	if (c->rollouts == NULL || c->rollouts->logged == l->change)
		return;
	for (size_t i = 0; i < l->count; i++) {
		const struct rollout *r = &l->items[i];

		if (r->change <= c->rollouts->logged)
			continue;
		WRITE_EVENT(LOG_LEVEL_NOTICE, "rollout.phase",
		    LOG_TEXT("service", r->service),
		    LOG_TEXT("target", r->target), LOG_INT("number", r->number),
		    LOG_TEXT("phase", r->phase == ROLLOUT_MOVED ?
					  "moved" :
					  get_rollout_phase_name(r->phase)),
		    LOG_TEXT("reason", r->reason));
		record_event(c->cfg.events, "rollout", r->service, r->number,
		    "%s: %s %s", r->target, get_rollout_phase_name(r->phase),
		    r->reason);
	}
	c->rollouts->logged = l->change;
	pthread_cond_broadcast(&c->wake);
}

/*
 * Follows the running roll-outs; the leader decides about them. Takes the lock.
 */
void
run_rollouts(struct control *c, int64_t now)
{
	struct due_step due[STEPS_MAX];
	size_t count = 0;
	bool leads = is_control_leader(c);
	struct rollout_list *l;

	pthread_mutex_lock(&c->lock);
	l = &c->state->rollouts;
	drop_ended_trials(c);
	for (size_t i = 0; i < l->count && count < STEPS_MAX; i++) {
		struct rollout *r = &l->items[i];
		struct trial *t;

		if (!is_rollout_running(r))
			continue;
		t = get_trial(c->rollouts, r, now);
		if (t == NULL)
			continue;
		if (!leads) {
			t->led_ns = 0;
			t->sample_count = 0;
		} else if (judge_rollout(c, r, t, now, &due[count])) {
			count++;
		}
	}
	set_metric(c->metrics.rollouts, has_running_rollout(l));
	pthread_mutex_unlock(&c->lock);
	for (size_t i = 0; i < count; i++)
		submit_step(c, &due[i]);
}

int
start_control_rollout(struct control *c, const char *service,
    const char *target, double duration_s, struct fault *f)
{
	struct command m = {
	    .author = (char *)(uintptr_t) "", .key = (char *)(uintptr_t) ""};
	struct command_rollout *o = &m.body.command_body_u.rollout;
	struct buf bytes = {0}, result = {0};
	int rc;

	if (!c->cfg.rollouts)
		return set_fault(f, ERR_INVALID,
		    "roll-outs are not configured; set the share of calls that "
		    "a new version may get");
	if (strlen(service) > COMMAND_NAME_MAX || service[0] == '\0' ||
	    strlen(target) >= ROLLOUT_VERSION_BYTES || !is_plain_name(target) ||
	    !(duration_s >= 0) || duration_s * 1000 < ROLLOUT_DURATION_MIN_MS ||
	    duration_s * 1000 > ROLLOUT_DURATION_MAX_MS)
		return set_fault(f, ERR_INVALID,
		    "name a service, a version of 1 to %d bytes without "
		    "spaces, and a duration of %d s to %d h",
		    ROLLOUT_VERSION_BYTES - 1, ROLLOUT_DURATION_MIN_MS / 1000,
		    ROLLOUT_DURATION_MAX_MS / 3600000);
	m.body.type = COMMAND_ROLLOUT;
	o->service = (char *)(uintptr_t)service;
	o->target = (char *)(uintptr_t)target;
	o->duration_ms = (unsigned int)(duration_s * 1000);
	rc = encode_command(&m, &bytes);
	if (rc == 0)
		rc = wait_command(
		    c, view_buf(&bytes), ORDER_TIMEOUT_MS, &result);
	if (rc == 0)
		rc = decode_order_result(view_buf(&result), f);
	else
		(void)set_fault(f, (enum err)rc,
		    rc == ERR_UNKNOWN ?
			"no quorum answered in time; the order may still "
			"take effect: send it again" :
			"there is no contact to a quorum; send the order "
			"again, to another control process");
	unload_buf(&bytes);
	unload_buf(&result);
	return rc;
}

int
read_control_rollout(
    struct control *c, const char *service, struct control_rollout *out)
{
	int rc = lock_confirmed_state(c, SERVICE_READ_TIMEOUT_MS);
	const struct rollout *r;

	memset(out, 0, sizeof(*out));
	if (rc != 0)
		return rc;
	r = find_rollout(&c->state->rollouts, service);
	rc = r != NULL ? 0 : ERR_NOT_FOUND;
	if (r != NULL) {
		out->state = get_rollout_phase_name(r->phase);
		out->duration_s = r->duration_ms / 1000.0;
		(void)copy_str(
		    out->target, sizeof(out->target), make_str(r->target));
		(void)copy_str(
		    out->reason, sizeof(out->reason), make_str(r->reason));
	}
	pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * Takes over the arguments of a report, unless a later one of the same run of
 * the node is known.
 */
static void
keep_report(struct rollout_desk *d, struct wire_rollouts_args *a, int64_t now)
{
	struct node_counts *n = d->reports;

	while (n != NULL && (n->args.incarnation != a->incarnation ||
				strcmp(n->args.node, a->node) != 0))
		n = n->next;
	if (n == NULL) {
		if (d->report_count >= REPORTS_MAX)
			return;
		n = calloc(1, sizeof(*n));
		if (n == NULL)
			return;
		n->next = d->reports;
		d->reports = n;
		d->report_count++;
	} else if (a->seq <= n->args.seq) {
		return;
	} else {
		unload_wire((xdrproc_t)xdr_wire_rollouts_args, &n->args);
	}
	n->args = *a;
	n->received_ns = now;
	memset(a, 0, sizeof(*a));
}

/*
 * A report that is lost is followed by the next one, which has all of it.
 */
static void
forward_report(struct control *c, struct str args)
{
	struct replica_status st;
	struct peer *p = NULL;

	if (get_replication_status(c, &st) && st.leader != 0 &&
	    st.leader != c->id)
		p = find_control_peer(c, st.leader);
	if (p != NULL)
		(void)call_rpc(p->rpc, GGS_ROLLOUT_REPORT, args,
		    FORWARD_TIMEOUT_MS, ignore_reply, NULL);
}

static void
ignore_reply(void *arg, const struct rpc_result *r)
{
	(void)arg;
	(void)r;
}

static void
ignore_result(void *arg, int status, struct str result)
{
	(void)arg;
	(void)status;
	(void)result;
}

/*
 * Answers a poll if it is time to. Lock held.
 */
static bool
serve_poll(
    struct control *c, const struct pending_poll *p, bool stale, int64_t now)
{
	if (stale || (p->read_round > c->reads.confirmed &&
			 c->reads.failed >= p->read_round)) {
		send_list(c, p->reply, WIRE_STALE);
		return true;
	}
	if (p->read_round > c->reads.confirmed)
		return false;
	if (p->held == c->state->rollouts.change && now < p->deadline_ns)
		return false;
	send_list(c, p->reply, WIRE_OK);
	return true;
}

/*
 * Sends the list, with status OK, or a refusal. Lock held.
 */
static void
send_list(struct control *c, struct rpc_reply *reply, wire_status status)
{
	const struct rollout_list *l = &c->state->rollouts;
	struct wire_rollouts_reply r = {
	    .status = status, .stamp = make_message_stamp(c)};
	struct wire_rollout items[ROLLOUTS_MAX];
	struct buf b = {0};
	int rc;

	for (size_t i = 0; i < l->count && status == WIRE_OK; i++)
		items[i] = (struct wire_rollout){
		    .service = (char *)(uintptr_t)l->items[i].service,
		    .target = (char *)(uintptr_t)l->items[i].target,
		    .number = l->items[i].number,
		    .phase = (int)l->items[i].phase,
		    .change = l->items[i].change,
		};
	if (status == WIRE_OK) {
		r.change = l->change;
		r.rollouts.rollouts_len = (unsigned int)l->count;
		r.rollouts.rollouts_val = items;
	}
	rc = encode_wire((xdrproc_t)xdr_wire_rollouts_reply, &r, &b);
	complete_rpc(reply, rc, view_buf(&b));
	unload_buf(&b);
}

/*
 * Decides about a roll-out as the leader. Returns whether a step is due.
 */
static bool
judge_rollout(struct control *c, const struct rollout *r, struct trial *t,
    int64_t now, struct due_step *out)
{
	struct rollout_row rows[ROLLOUT_ROWS_MAX];
	const struct rollout_sums *old;
	struct rollout_sums sums;
	struct rollout_facts f = {.phase = r->phase,
	    .elapsed_ns = now - t->seen_ns,
	    .duration_ns = (int64_t)r->duration_ms * NSEC_PER_MSEC,
	    .old_told = true,
	    .rows = rows};
	enum rollout_phase next;

	if (now < t->judge_ns)
		return false;
	t->judge_ns = now + JUDGE_NS;
	if (t->led_ns == 0)
		t->led_ns = now;
	if (t->moved_ns == 0 && r->phase == ROLLOUT_MOVED)
		t->moved_ns = now;
	/* A new leader waits for the reports before it calls a move done. */
	if (t->moved_ns != 0)
		f.moved_ns =
		    now - (t->moved_ns > t->led_ns ? t->moved_ns : t->led_ns);
	sum_reports(c->rollouts, r, t, now, &sums, &f);
	old = t->sample_count == 0 ?
		  &sums :
		  &t->samples[t->sample_count < SAMPLES_MAX ?
				  0 :
				  t->sample_count % SAMPLES_MAX];
	for (size_t i = 0; i < t->row_count; i++) {
		rows[i].old_all = sums.before[i];
		rows[i].new_all = sums.after[i];
		rows[i].old_recent =
		    subtract_counts(&sums.before[i], &old->before[i]);
		rows[i].new_recent =
		    subtract_counts(&sums.after[i], &old->after[i]);
	}
	f.row_count = t->row_count;
	if (now >= t->sample_ns) {
		t->sample_ns = now + SAMPLE_NS;
		t->samples[t->sample_count++ % SAMPLES_MAX] = sums;
	}
	next = decide_rollout(&f, &out->reason);
	if (next == r->phase || now < t->step_ns)
		return false;
	t->step_ns = now + STEP_RETRY_NS;
	out->number = r->number;
	out->phase = next;
	return true;
}

/*
 * Returns the trial of a running roll-out, which begins when it is first seen;
 * NULL when out of memory.
 */
static struct trial *
get_trial(struct rollout_desk *d, const struct rollout *r, int64_t now)
{
	struct trial **unused = NULL;

	for (size_t i = 0; i < ROLLOUTS_MAX; i++) {
		if (d->trials[i] == NULL)
			unused = unused != NULL ? unused : &d->trials[i];
		else if (d->trials[i]->number == r->number)
			return d->trials[i];
	}
	if (unused == NULL)
		return NULL;
	*unused = calloc(1, sizeof(**unused));
	if (*unused != NULL) {
		(*unused)->number = r->number;
		(*unused)->seen_ns = now;
	}
	return *unused;
}

/*
 * Frees the trials that have ended, and the reports when nothing runs.
 */
static void
drop_ended_trials(struct control *c)
{
	const struct rollout_list *l = &c->state->rollouts;
	struct rollout_desk *d = c->rollouts;
	struct node_counts *n;

	for (size_t i = 0; i < ROLLOUTS_MAX; i++) {
		bool runs = false;

		if (d->trials[i] == NULL)
			continue;
		for (size_t k = 0; k < l->count; k++)
			runs |= l->items[k].number == d->trials[i]->number &&
				is_rollout_running(&l->items[k]);
		if (runs)
			continue;
		free(d->trials[i]);
		d->trials[i] = NULL;
	}
	if (has_running_rollout(l))
		return;
	while ((n = d->reports) != NULL) {
		d->reports = n->next;
		unload_wire((xdrproc_t)xdr_wire_rollouts_args, &n->args);
		free(n);
	}
	d->report_count = 0;
}

/*
 * Sums up what nodes have reported about a roll-out, and how long ago the first
 * of them learned of it: after a restart of all control processes, only nodes
 * know that.
 */
static void
sum_reports(const struct rollout_desk *d, const struct rollout *r,
    struct trial *t, int64_t now, struct rollout_sums *sums,
    struct rollout_facts *f)
{
	memset(sums, 0, sizeof(*sums));
	for (const struct node_counts *n = d->reports; n != NULL; n = n->next) {
		const struct wire_rollouts_args *a = &n->args;

		for (unsigned int i = 0; i < a->ages.ages_len; i++) {
			const struct wire_rollout_age *age =
			    &a->ages.ages_val[i];
			int64_t ns = (int64_t)age->age_ms * NSEC_PER_MSEC +
				     now - n->received_ns;

			if (age->number == r->number && ns > f->elapsed_ns)
				f->elapsed_ns = ns;
		}
		for (unsigned int i = 0; i < a->counts.counts_len; i++) {
			if (a->counts.counts_val[i].number == r->number)
				add_report(&a->counts.counts_val[i], t, sums);
		}
		if (now - n->received_ns > SILENT_NS ||
		    a->server_version[0] == '\0' ||
		    strcmp(a->service, r->service) != 0 ||
		    strcmp(a->server_version, r->target) == 0)
			continue;
		f->old_running += a->running;
		f->old_told = f->old_told && a->held >= r->change;
	}
}

static void
add_report(const struct wire_rollout_counts *w, struct trial *t,
    struct rollout_sums *sums)
{
	struct rollout_counts *sum;
	size_t i = 0;

	while (i < t->row_count && strcmp(t->rows[i], w->row) != 0)
		i++;
	if (i == ROLLOUT_ROWS_MAX)
		return;
	if (i == t->row_count)
		(void)copy_str(t->rows[t->row_count++], WIRE_NAME_MAX + 1,
		    make_str(w->row));
	sum = w->target ? &sums->after[i] : &sums->before[i];
	sum->answers += w->answers;
	sum->failed += w->failed;
	for (unsigned int k = 0;
	     k < w->latency.latency_len && k < ROLLOUT_BUCKETS; k++)
		sum->latency[k] += w->latency.latency_val[k];
}

/*
 * Returns a - b; 0 where b is greater.
 */
static struct rollout_counts
subtract_counts(const struct rollout_counts *a, const struct rollout_counts *b)
{
	struct rollout_counts out = {0};

	out.answers = a->answers > b->answers ? a->answers - b->answers : 0;
	out.failed = a->failed > b->failed ? a->failed - b->failed : 0;
	for (int i = 0; i < ROLLOUT_BUCKETS; i++)
		out.latency[i] = a->latency[i] > b->latency[i] ?
				     a->latency[i] - b->latency[i] :
				     0;
	return out;
}

/*
 * A step whose outcome is unknown is decided again; phases only advance.
 */
static void
submit_step(struct control *c, const struct due_step *s)
{
	struct command m = {
	    .author = (char *)(uintptr_t) "", .key = (char *)(uintptr_t) ""};
	struct command_rollout_step *o = &m.body.command_body_u.rollout_step;
	struct buf bytes = {0};

	m.body.type = COMMAND_ROLLOUT_STEP;
	o->number = s->number;
	o->phase = (int)s->phase;
	o->reason = (char *)(uintptr_t)s->reason;
	if (encode_command(&m, &bytes) == 0)
		(void)submit_command(
		    c, view_buf(&bytes), ORDER_TIMEOUT_MS, ignore_result, NULL);
	unload_buf(&bytes);
}

static int
decode_order_result(struct str bytes, struct fault *f)
{
	struct command_result r;
	int rc = decode_command_result(bytes, &r);

	if (rc != 0)
		return set_fault(f, ERR_UNKNOWN,
		    "the result is damaged; send the order again");
	rc = r.status;
	if (rc != 0)
		(void)set_fault(f, (enum err)rc, "%s", r.text);
	unload_command_result(&r);
	return rc;
}
