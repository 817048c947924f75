/*
 * Sending watches and taking their replies.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"
#include "agent_table.h"
#include "log.h"

#define SLACK_MS 1000 /* the agent gives up first, then the RPC */

/* What a reply meant for the watch loop. */
enum reply_effect {
	REPLY_EMPTY,
	REPLY_NEWS,
	REPLY_FAILED, /* go to another control process */
};

static void send_watch(struct agent *a, int control, int64_t now);
static void start_retry(struct agent *a);
static bool is_retry_over(const struct agent *a);
static bool is_worth_moving(const struct agent *a, int control);
static void step_retry(struct agent *a, int64_t now);
static uint64_t fill_self(struct agent *a, struct wire_endpoint *out,
    struct agent_self *copy, int *wait_ms);
static void end_watch_rpc(void *arg, const struct rpc_result *result);
static void fail_watch(struct agent *a, int control, int64_t now);
static void take_reply(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t received_at, int64_t now);
static enum reply_effect take_table(struct agent *a,
    const struct agent_watch *w, const struct wire_table_update *u,
    int64_t received_at);
static bool switch_table(struct agent *a, struct table *t, int64_t received_at);
static enum reply_effect refuse_table(struct agent *a, int control,
    const struct wire_table_update *u, const struct fault *f);
static bool take_sets(
    struct agent *a, const struct wire_watch_reply *r, int64_t now);
static void confirm_self(struct agent *a, uint64_t seq);
static uint64_t digest_interest(
    uint64_t registry_id, const struct wire_interest *list, int count);
static void show_watch(struct agent *a);

/*
 * Does what the watch loop decides; lowers *until to its next moment.
 */
void
step_agent_watch(struct agent *a, int64_t now, int64_t *until)
{
	struct follow_step s;

	for (;;) {
		s = get_follow_step(&a->follow, now);
		if (s.action == FOLLOW_WAIT)
			break;
		if (s.action == FOLLOW_ABANDON) {
			count_metric(a->metrics.overdue, 1);
			record_event(a->events, "watch-overdue",
			    a->controls[s.control], 0, "%d ms without a reply",
			    a->follow.timing.overdue_ms);
			fail_watch(a, s.control, now);
		} else {
			send_watch(a, s.control, now);
		}
	}
	show_watch(a);
	if (s.until < *until)
		*until = s.until;
}

/*
 * Takes the outcome of a watch. Replies to replaced watches count as well, as
 * far as their content is newer; their failures do not, since the newest watch
 * shares their connection.
 */
void
take_agent_watch(struct agent *a, struct agent_event *e, int64_t now)
{
	struct wire_watch_reply r = {0};
	struct agent_watch *w = e->watch;
	bool newest = w->number == a->last_watch && a->follow.watching;
	int rc = e->status;

	if (rc == 0)
		rc = decode_wire(
		    (xdrproc_t)xdr_wire_watch_reply, view_buf(&e->body), &r);
	if (rc == 0) {
		if (a->events != NULL)
			merge_hlc(a->events,
			    (struct hlc){r.stamp.wall_ns, r.stamp.count});
		take_reply(a, w, &r, e->received_at, now);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	} else if (newest) {
		fail_watch(a, w->control, now);
	}
	free(w);
}

static void
send_watch(struct agent *a, int control, int64_t now)
{
	struct wire_interest interest[WIRE_INTEREST_MAX];
	const struct table *held = peek_hold(a->hold);
	struct agent_watch *w = calloc(1, sizeof(*w));
	struct wire_watch_args args = {0};
	struct wire_endpoint self;
	struct agent_self copy;
	struct buf body = {0};
	int n, rc = ERR_MEMORY;

	note_follow_sent(&a->follow, now);
	if (a->refused_by & 1u << control)
		a->retry = AGENT_RETRY_NONE;
	if (w == NULL)
		goto fail;
	w->agent = a;
	w->number = ++a->last_watch;
	w->control = control;
	w->held_version = held != NULL ? held->version : 0;
	n = list_interest(a->sets, interest, WIRE_INTEREST_MAX);
	if (a->events != NULL) {
		struct hlc stamp = stamp_hlc(a->events);

		args.stamp = (struct wire_hlc){stamp.wall_ns, stamp.count};
	}
	args.node = a->node;
	args.zone = a->zone;
	if (held != NULL && a->retry != AGENT_RETRY_WHOLE) {
		args.held_version = held->version;
		args.held_digest = held->digest;
	}
	args.switch_ms = a->switch_ms;
	if (a->retry != AGENT_RETRY_WHOLE)
		args.refused_version = a->refused_version;
	args.refused_reason = a->refused_reason;
	args.registry_id = a->registry_id;
	w->interest_digest = digest_interest(a->registry_id, interest, n);
	args.interest_digest = w->interest_digest;
	args.interest_same = a->interest_control == control &&
			     a->interest_digest == w->interest_digest;
	args.interest.interest_len = args.interest_same ? 0 : (unsigned int)n;
	args.interest.interest_val = interest;
	args.wait_ms = a->heartbeat_ms;
	args.controls_digest = a->learns ? a->controls_digest : 0;
	w->self_seq = fill_self(a, &self, &copy, &args.wait_ms);
	args.self = w->self_seq != 0 ? &self : NULL;
	step_retry(a, now);
	rc = encode_wire((xdrproc_t)xdr_wire_watch_args, &args, &body);
	if (rc == 0)
		rc = call_rpc(a->peers[control], GGS_WATCH, view_buf(&body),
		    a->follow.timing.overdue_ms + SLACK_MS, end_watch_rpc, w);
fail:
	unload_buf(&body);
	if (rc != 0) {
		free(w);
		fail_watch(a, control, now);
	}
}

/*
 * Asks for a refused version again: from the next control process, or from one
 * that was busy.
 */
static void
start_retry(struct agent *a)
{
	a->retry = a->refused_version != 0 && !is_retry_over(a) ?
		       AGENT_RETRY_REPORT :
		       AGENT_RETRY_NONE;
}

static bool
is_retry_over(const struct agent *a)
{
	int n = __builtin_popcount(a->refused_by);

	return n >= AGENT_REFUSALS_MAX || n >= a->follow.count;
}

/*
 * Tells that this control process has nothing but a refused version, which
 * others may have undamaged.
 */
static bool
is_worth_moving(const struct agent *a, int control)
{
	return (a->refused_by & 1u << control) != 0 && !is_retry_over(a);
}

/*
 * A control process withholds a version that the node reports as refused. So
 * the report is followed by one more watch that does not name it.
 */
static void
step_retry(struct agent *a, int64_t now)
{
	if (a->retry == AGENT_RETRY_REPORT) {
		a->retry = AGENT_RETRY_WHOLE;
		note_follow_changed(&a->follow, now);
	} else {
		a->retry = AGENT_RETRY_NONE;
	}
}

/*
 * Gives the own record when the control process has not confirmed it; copy
 * holds its strings. Returns its seq or 0. A leaving node does not wait.
 */
static uint64_t
fill_self(struct agent *a, struct wire_endpoint *out, struct agent_self *copy,
    int *wait_ms)
{
	pthread_mutex_lock(&a->lock);
	*copy = a->self;
	if (a->leaving)
		*wait_ms = 0;
	pthread_mutex_unlock(&a->lock);
	if (!copy->announced || copy->seq == a->self_confirmed)
		return 0;
	*out = (struct wire_endpoint){
	    .id = copy->id,
	    .incarnation = a->incarnation,
	    .seq = copy->seq,
	    .service = copy->service,
	    .address = copy->address,
	    .zone = copy->zone,
	    .instance = copy->instance,
	    .backend = copy->backend,
	    .slots = copy->slots,
	    .state = copy->state,
	};
	return copy->seq;
}

static void
end_watch_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_watch *w = arg;
	struct agent_event *e = calloc(1, sizeof(*e));

	/* Without memory the watch becomes overdue, which recovers. */
	if (e == NULL) {
		free(w);
		return;
	}
	e->watch = w;
	e->status = result->status;
	e->received_at = read_mono(&w->agent->clock);
	if (e->status == 0 && append_buf_str(&e->body, result->body) != 0)
		e->status = ERR_MEMORY;
	post_agent_event(e, w->agent);
}

/*
 * Leaves the control process: the connection is closed, so that no reply to an
 * older watch arrives on it, and the own record is sent to the next one.
 */
static void
fail_watch(struct agent *a, int control, int64_t now)
{
	count_metric(a->metrics.failures, 1);
	if (is_follow_attached(&a->follow))
		record_event(a->events, "watch-lost", a->controls[control], 0,
		    "moving on to another control process");
	reset_rpc_peer(a->peers[control]);
	note_follow_failure(&a->follow, now);
	a->self_confirmed = 0;
	start_retry(a);
}

static void
take_reply(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t received_at, int64_t now)
{
	bool newest = w->number == a->last_watch && a->follow.watching;
	bool current = w->control == get_follow_control(&a->follow);
	enum reply_effect effect;
	bool news;

	if (r->status == WIRE_LIMIT && newest) {
		count_metric(a->metrics.limits, 1);
		note_follow_limit(&a->follow, r->retry_ms, now);
		start_retry(a);
		if (!is_follow_attached(&a->follow) &&
		    get_follow_control(&a->follow) != w->control)
			a->self_confirmed = 0;
		return;
	}
	a->interest_control = r->status == WIRE_OK ? w->control : -1;
	a->interest_digest = w->interest_digest;
	if (r->status == WIRE_NOT_FOUND && newest) {
		/* A new connection has not seen the interest yet. */
		note_follow_reply(&a->follow, true, true, now);
		return;
	}
	if (r->status != WIRE_OK) {
		if (newest)
			fail_watch(a, w->control, now);
		return;
	}
	/* Endpoints first: a route is used only when its set is there. */
	news = current && take_sets(a, r, now);
	effect = take_table(a, w, &r->table, received_at);
	if ((news || effect == REPLY_NEWS) && a->on_change != NULL)
		a->on_change(a->on_change_arg);
	if (a->learns)
		take_controls(a, r);
	if (current && w->self_seq != 0)
		confirm_self(a, w->self_seq);
	if (effect == REPLY_EMPTY && !news && is_worth_moving(a, w->control))
		effect = REPLY_FAILED;
	if (effect == REPLY_FAILED && newest)
		fail_watch(a, w->control, now);
	else if (current)
		note_follow_reply(
		    &a->follow, newest, news || effect == REPLY_NEWS, now);
}

/*
 * Checks the update whole and switches to it. A control process that offers
 * less than the node told it to hold is behind and is left.
 */
static enum reply_effect
take_table(struct agent *a, const struct agent_watch *w,
    const struct wire_table_update *u, int64_t received_at)
{
	const struct table *held = peek_hold(a->hold);
	struct fault f = {0};
	struct table *t;
	int rc = check_table_update(held, u, &t, &f);

	switch (rc) {
	case 0:
		if (t == NULL)
			return REPLY_EMPTY;
		return switch_table(a, t, received_at) ? REPLY_NEWS :
							 REPLY_EMPTY;
	case ERR_STALE:
		count_metric(a->metrics.ignored, 1);
		return u->table_version < w->held_version ? REPLY_FAILED :
							    REPLY_EMPTY;
	case ERR_CONFLICT:
		count_metric(a->metrics.ignored, 1);
		return u->base != w->held_version ? REPLY_FAILED : REPLY_EMPTY;
	case ERR_MEMORY:
		return REPLY_FAILED;
	default:
		return refuse_table(a, w->control, u, &f);
	}
}

/*
 * Puts t in force. Returns false, with the version left for a later watch,
 * when calls still hold too many older versions.
 */
static bool
switch_table(struct agent *a, struct table *t, int64_t received_at)
{
	uint64_t version = t->version;

	if (publish_hold(a->hold, t) != 0) {
		unload_table(t);
		count_metric(a->metrics.ignored, 1);
		return false;
	}
	a->switch_ms =
	    (uint32_t)((read_mono(&a->clock) - received_at) / NSEC_PER_MSEC);
	if (version >= a->refused_version) {
		a->refused_version = 0;
		a->refused_by = 0;
		a->retry = AGENT_RETRY_NONE;
		a->refused_reason[0] = '\0';
	}
	count_metric(a->metrics.switches, 1);
	set_metric(a->metrics.version, (int64_t)version);
	record_event(a->events, "switch", a->node, version,
	    "in force %u ms after receipt", a->switch_ms);
	return true;
}

/*
 * Notes a version that must not be used, for the next watch. The fault may be
 * that of the base or of one control process: after a bad delta the same one is
 * asked for the whole table, after a bad whole table another one, up to
 * AGENT_REFUSALS_MAX. Then the node waits for the next version.
 */
static enum reply_effect
refuse_table(struct agent *a, int control, const struct wire_table_update *u,
    const struct fault *f)
{
	count_metric(a->metrics.refused, 1);
	if (u->table_version != a->refused_version) {
		write_log(LOG_LEVEL_ERR, "version %llu refused: %s",
		    (unsigned long long)u->table_version, f->text);
		record_event(a->events, "refuse", a->node, u->table_version,
		    "%s", f->text);
		a->refused_by = 0;
	}
	a->refused_version = u->table_version;
	(void)copy_str(
	    a->refused_reason, sizeof(a->refused_reason), make_str(f->text));
	if (u->form == WIRE_TABLE_DELTA) {
		start_retry(a);
		return REPLY_NEWS;
	}
	a->refused_by |= 1u << control;
	return is_retry_over(a) ? REPLY_EMPTY : REPLY_FAILED;
}

/*
 * Applies the endpoint sets. Returns whether one changed.
 */
static bool
take_sets(struct agent *a, const struct wire_watch_reply *r, int64_t now)
{
	bool other = r->registry_id != a->registry_id, news = false;

	if (other)
		reset_set_versions(a->sets);
	a->registry_id = r->registry_id;
	for (unsigned int i = 0; i < r->sets.sets_len; i++) {
		int rc = apply_set(a->sets, &r->sets.sets_val[i], now);

		if (rc < 0)
			count_metric(a->metrics.ignored, 1);
		news = news || rc > 0;
	}
	return news;
}

/*
 * Remembers that the control process has the record. stop_agent() may wait for
 * the last one.
 */
static void
confirm_self(struct agent *a, uint64_t seq)
{
	if (seq > a->self_confirmed)
		a->self_confirmed = seq;
	pthread_mutex_lock(&a->lock);
	if (a->leaving && a->self.seq == seq) {
		a->left = true;
		pthread_cond_broadcast(&a->quiet);
	}
	pthread_mutex_unlock(&a->lock);
}

static void
show_watch(struct agent *a)
{
	const struct table *held = peek_hold(a->hold);

	pthread_mutex_lock(&a->lock);
	a->shown_control = get_follow_control(&a->follow);
	a->shown_attached = is_follow_attached(&a->follow);
	a->shown_watching = a->follow.watching;
	a->shown_version = held != NULL ? held->version : 0;
	a->shown_refused = a->refused_version;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Digest of an interest list. A control process keeps the list last sent whole
 * on a connection, so that a watch with the same one leaves it out.
 */
static uint64_t
digest_interest(
    uint64_t registry_id, const struct wire_interest *list, int count)
{
	uint64_t h = registry_id;

	for (int i = 0; i < count; i++) {
		h = hash_str(make_str(list[i].service), h);
		h = hash_str(make_str_n((const char *)&list[i].set_version,
				 sizeof(list[i].set_version)),
		    h);
	}
	return h != 0 ? h : 1;
}
