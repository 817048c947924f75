/*
 * Sends watches and handles their replies.
 */
#include <stdlib.h>
#include <string.h>

#include "agent_core.h"
#include "agent_table.h"
#include "log.h"

#define RPC_SLACK_MS 1000 /* the watch is overdue before its RPC times out */

/* What a reply means for the watch plan. */
enum reply_effect {
	REPLY_NO_NEWS,
	REPLY_NEWS, /* something changed, or a retry is due at once */
	REPLY_FAILED, /* move on to another control process */
};

static void send_watch(struct agent *a, int control, int64_t now);
static void start_retry(struct agent *a);
static bool is_retry_exhausted(const struct agent *a);
static bool should_move_on(const struct agent *a, int control);
static void advance_retry(struct agent *a, int64_t now);
static void fix_incarnation(struct agent *a);
static uint64_t fill_self(struct agent *a, struct wire_endpoint *out,
    struct own_endpoint *copy, int *wait_ms);
static int decode_reply(
    const struct agent_watch *w, struct str body, struct wire_watch_reply *out);
static void handle_watch_rpc(void *arg, const struct rpc_result *result);
static void fail_watch(struct agent *a, int control, int64_t now);
static void handle_reply(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t received_at, int64_t now);
static enum reply_effect apply_table_update(struct agent *a,
    const struct agent_watch *w, const struct wire_table_update *u,
    int64_t received_at);
static bool switch_table(struct agent *a, struct table *t, int64_t received_at);
static enum reply_effect refuse_table(struct agent *a, int control,
    const struct wire_table_update *u, const struct fault *f);
static bool apply_sets(
    struct agent *a, const struct wire_watch_reply *r, int64_t now);
static void confirm_self(struct agent *a, uint64_t seq);
static void raise_incarnation(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t now);
static uint64_t digest_interest(
    uint64_t registry_id, const struct wire_interest *list, int count);
static void publish_watch_status(struct agent *a);

/*
 * Does what the watch plan decides and lowers *until to the time of its next
 * step.
 */
void
step_agent_watch(struct agent *a, int64_t now, int64_t *until)
{
	struct watch_step s;

	record_watch_input(&a->watch_plan,
	    get_rpc_partial_input(a->peers[get_watch_control(&a->watch_plan)]));
	for (;;) {
		s = get_watch_step(&a->watch_plan, now);
		if (s.action == WATCH_WAIT)
			break;
		if (s.action == WATCH_ABANDON) {
			count_metric(a->metrics.overdue, 1);
			record_event(a->events, "watch-overdue",
			    a->controls[s.control], 0, "%d ms without a reply",
			    a->watch_plan.timing.overdue_ms);
			fail_watch(a, s.control, now);
		} else {
			send_watch(a, s.control, now);
		}
	}
	publish_watch_status(a);
	if (s.until < *until)
		*until = s.until;
}

/*
 * Handles the outcome of a watch and frees the watch. Replies to replaced
 * watches are used as far as their content is newer; failures of replaced
 * watches are ignored, since the newest watch shares their connection.
 */
void
handle_watch_outcome(struct agent *a, struct agent_outcome *o, int64_t now)
{
	struct wire_watch_reply r = {0};
	struct agent_watch *w = o->watch;
	bool newest = w->number == a->last_watch && a->watch_plan.watching;
	int rc = o->status;

	if (rc == ERR_NOT_FOUND && w->packed) {
		/* An older build: ask it for plain replies from now on. */
		a->plain_mask |= 1ULL << w->control;
		if (newest)
			send_watch(a, w->control, now);
		free(w);
		return;
	}
	if (rc == 0)
		rc = decode_reply(w, view_buf(&o->body), &r);
	if (rc == 0) {
		if (a->events != NULL)
			merge_hlc(a->events,
			    (struct hlc){r.stamp.wall_ns, r.stamp.count});
		a->replied = true;
		handle_reply(a, w, &r, o->received_at, now);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	} else if (newest) {
		fail_watch(a, w->control, now);
	}
	free(w);
}

/*
 * Sends a watch with the node's versions, interest and, when it changed, its
 * own endpoint. A watch that cannot be sent fails at once.
 */
static void
send_watch(struct agent *a, int control, int64_t now)
{
	struct wire_interest interest[WIRE_INTEREST_MAX];
	const struct table *current = peek_table(a->table_pins);
	struct agent_watch *w = calloc(1, sizeof(*w));
	struct wire_watch_args args = {0};
	struct wire_endpoint self;
	struct own_endpoint copy;
	struct buf body = {0};
	int n, rc = ERR_MEMORY;

	record_watch_sent(&a->watch_plan, now);
	fix_incarnation(a);
	if (a->refused_by & 1u << control)
		a->retry = AGENT_RETRY_NONE;
	if (w == NULL)
		goto fail;
	w->agent = a;
	w->number = ++a->last_watch;
	w->control = control;
	w->packed = (a->plain_mask & 1ULL << control) == 0;
	w->held_version = current != NULL ? current->version : 0;
	w->news_count = a->news_count;
	n = list_interest(a->sets, interest, WIRE_INTEREST_MAX);
	if (a->events != NULL) {
		struct hlc stamp = stamp_hlc(a->events);

		args.stamp = (struct wire_hlc){stamp.wall_ns, stamp.count};
	}
	args.node = a->node;
	args.zone = a->zone;
	if (current != NULL && a->retry != AGENT_RETRY_FULL) {
		args.held_version = current->version;
		args.held_digest = current->digest;
	}
	args.switch_ms = a->switch_ms;
	if (a->retry != AGENT_RETRY_FULL)
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
	args.controls_digest = a->discovers ? a->controls_digest : 0;
	w->self_seq = fill_self(a, &self, &copy, &args.wait_ms);
	w->incarnation = a->incarnation;
	args.self = w->self_seq != 0 ? &self : NULL;
	advance_retry(a, now);
	rc = encode_wire((xdrproc_t)xdr_wire_watch_args, &args, &body);
	if (rc == 0)
		rc = call_rpc(a->peers[control],
		    w->packed ? GGS_WATCH_PACKED : GGS_WATCH, view_buf(&body),
		    a->watch_plan.timing.overdue_ms + RPC_SLACK_MS,
		    handle_watch_rpc, w);
fail:
	unload_buf(&body);
	if (rc != 0) {
		free(w);
		fail_watch(a, control, now);
	}
}

/*
 * Prepares another request for a refused version: from the next control
 * process, or from one that was busy.
 */
static void
start_retry(struct agent *a)
{
	a->retry = a->refused_version != 0 && !is_retry_exhausted(a) ?
		       AGENT_RETRY_REPORT :
		       AGENT_RETRY_NONE;
}

static bool
is_retry_exhausted(const struct agent *a)
{
	int n = __builtin_popcount(a->refused_by);

	return n >= AGENT_REFUSALS_MAX || n >= a->watch_plan.count;
}

/*
 * Returns whether this control process has only a refused version, which
 * others may have undamaged.
 */
static bool
should_move_on(const struct agent *a, int control)
{
	return (a->refused_by & 1u << control) != 0 && !is_retry_exhausted(a);
}

/*
 * A control process withholds a version that the node reports as refused, so
 * the report is followed by one more watch that does not name it.
 */
static void
advance_retry(struct agent *a, int64_t now)
{
	if (a->retry == AGENT_RETRY_REPORT) {
		a->retry = AGENT_RETRY_FULL;
		record_node_change(&a->watch_plan, now);
	} else {
		a->retry = AGENT_RETRY_NONE;
	}
}

/*
 * Fixes the incarnation when the endpoint is announced for the first time, above
 * the stamps of the replies so far: the last run may have been started by a later
 * time of day, and a control process without its record accepts any. The stamp
 * of the watch is above the incarnation, and so are those of all who learn of it.
 */
static void
fix_incarnation(struct agent *a)
{
	struct hlc h;
	bool announced;

	pthread_mutex_lock(&a->lock);
	announced = a->self.announced;
	pthread_mutex_unlock(&a->lock);
	if (!announced || !a->replied || a->announced_once)
		return;
	a->announced_once = true;
	h = stamp_hlc(a->events);
	if (h.wall_ns < 0 || h.wall_ns == INT64_MAX ||
	    (uint64_t)h.wall_ns < a->incarnation)
		return;
	a->incarnation = (uint64_t)h.wall_ns + 1;
	merge_hlc(a->events, (struct hlc){h.wall_ns + 1, 0});
}

/*
 * Fills out with the node's endpoint when the control process has not
 * confirmed it; copy backs the strings. Returns its seq, or 0 when there is
 * nothing to send. For a leaving node *wait_ms becomes 0.
 */
static uint64_t
fill_self(struct agent *a, struct wire_endpoint *out, struct own_endpoint *copy,
    int *wait_ms)
{
	pthread_mutex_lock(&a->lock);
	*copy = a->self;
	if (a->leaving)
		*wait_ms = 0;
	pthread_mutex_unlock(&a->lock);
	if (!copy->announced || !a->replied || copy->seq == a->confirmed_seq)
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

/*
 * Decodes the reply to a watch; unload_wire() frees it. Returns the errors of
 * unpack_wire() and decode_wire().
 */
static int
decode_reply(
    const struct agent_watch *w, struct str body, struct wire_watch_reply *out)
{
	struct buf plain = {0};
	int rc = 0;

	if (w->packed) {
		rc = unpack_wire(body, &plain);
		body = view_buf(&plain);
	}
	if (rc == 0)
		rc = decode_wire((xdrproc_t)xdr_wire_watch_reply, body, out);
	unload_buf(&plain);
	return rc;
}

/*
 * Runs on the RPC client's thread and queues the outcome for the agent's
 * thread.
 */
static void
handle_watch_rpc(void *arg, const struct rpc_result *result)
{
	struct agent_watch *w = arg;
	struct agent_outcome *o = calloc(1, sizeof(*o));

	/* Without memory the watch becomes overdue and is sent again. */
	if (o == NULL) {
		free(w);
		return;
	}
	o->watch = w;
	o->status = result->status;
	o->received_at = read_mono(&w->agent->clock);
	if (o->status == 0 && append_buf_str(&o->body, result->body) != 0)
		o->status = ERR_MEMORY;
	post_agent_outcome(o, w->agent);
}

/*
 * Moves on to the next control process. The connection is closed, so that no
 * reply to an older watch arrives on it, and the node's endpoint is sent to
 * the next control process.
 */
static void
fail_watch(struct agent *a, int control, int64_t now)
{
	count_metric(a->metrics.failures, 1);
	if (is_watch_attached(&a->watch_plan))
		record_event(a->events, "watch-lost", a->controls[control], 0,
		    "moving on to another control process");
	reset_rpc_peer(a->peers[control]);
	handle_watch_failure(&a->watch_plan, now);
	a->confirmed_seq = 0;
	start_retry(a);
}

/*
 * Applies a decoded reply. A table is accepted from any control process; sets
 * and the confirmation of the endpoint count only from the current one. A watch
 * that was sent before the latest news may be answered with the same again; the
 * next one follows at once, as it asks for something else.
 */
static void
handle_reply(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t received_at, int64_t now)
{
	bool newest = w->number == a->last_watch && a->watch_plan.watching;
	bool current = w->control == get_watch_control(&a->watch_plan);
	bool outdated = w->news_count != a->news_count, news;
	enum reply_effect effect;

	if (r->status == WIRE_LIMIT && newest) {
		count_metric(a->metrics.limits, 1);
		handle_watch_limit(&a->watch_plan, r->retry_ms, now);
		start_retry(a);
		if (!is_watch_attached(&a->watch_plan) &&
		    get_watch_control(&a->watch_plan) != w->control)
			a->confirmed_seq = 0;
		return;
	}
	a->interest_control = r->status == WIRE_OK ? w->control : -1;
	a->interest_digest = w->interest_digest;
	if (r->status == WIRE_NOT_FOUND && newest) {
		/* The connection is new and has no interest list yet. */
		handle_watch_reply(&a->watch_plan, true, true, now);
		return;
	}
	if (r->status != WIRE_OK) {
		if (newest)
			fail_watch(a, w->control, now);
		return;
	}
	/* Endpoints first, so that a new route finds its set. */
	news = current && apply_sets(a, r, now);
	effect = apply_table_update(a, w, &r->table, received_at);
	a->news_count += news || effect == REPLY_NEWS;
	if ((news || effect == REPLY_NEWS) && a->on_change != NULL)
		a->on_change(a->on_change_arg);
	if (a->discovers)
		update_controls(a, r);
	if (current && w->self_seq != 0 && r->retry_ms == WIRE_RETRY_ANNOUNCE)
		raise_incarnation(a, w, r, now);
	else if (current && w->self_seq != 0)
		confirm_self(a, w->self_seq);
	if (effect == REPLY_NO_NEWS && !news && should_move_on(a, w->control))
		effect = REPLY_FAILED;
	if (effect == REPLY_FAILED && newest)
		fail_watch(a, w->control, now);
	else if (current)
		handle_watch_reply(&a->watch_plan, newest,
		    news || effect == REPLY_NEWS || outdated, now);
}

/*
 * Checks the update completely and switches to it. A control process that
 * offers less than the node had reported in its watch is behind, and the node
 * moves on.
 */
static enum reply_effect
apply_table_update(struct agent *a, const struct agent_watch *w,
    const struct wire_table_update *u, int64_t received_at)
{
	const struct table *current = peek_table(a->table_pins);
	struct fault f = {0};
	struct table *t;
	int rc = check_table_update(current, u, &t, &f);

	switch (rc) {
	case 0:
		if (t == NULL)
			return REPLY_NO_NEWS;
		return switch_table(a, t, received_at) ? REPLY_NEWS :
							 REPLY_NO_NEWS;
	case ERR_STALE:
		count_metric(a->metrics.ignored, 1);
		return u->table_version < w->held_version ? REPLY_FAILED :
							    REPLY_NO_NEWS;
	case ERR_CONFLICT:
		count_metric(a->metrics.ignored, 1);
		return u->base != w->held_version ? REPLY_FAILED :
						    REPLY_NO_NEWS;
	case ERR_MEMORY:
		return REPLY_FAILED;
	default:
		return refuse_table(a, w->control, u, &f);
	}
}

/*
 * Puts t in force, or frees it. Returns false, with the version left for a
 * later watch, when calls still reference too many older versions.
 */
static bool
switch_table(struct agent *a, struct table *t, int64_t received_at)
{
	uint64_t version = t->version;

	if (publish_table(a->table_pins, t) != 0) {
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
 * Records a version that must not be used, for the next watch. The fault may
 * be in the base or in one control process: after a bad delta the same one must
 * send the full table, after a bad full table another one, up to
 * AGENT_REFUSALS_MAX. Then the node waits for the next version.
 */
static enum reply_effect
refuse_table(struct agent *a, int control, const struct wire_table_update *u,
    const struct fault *f)
{
	count_metric(a->metrics.refused, 1);
	if (u->table_version != a->refused_version) {
		write_log(LOG_LEVEL_ERR, "table version %llu refused: %s",
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
	return is_retry_exhausted(a) ? REPLY_NO_NEWS : REPLY_FAILED;
}

/*
 * Applies the endpoint sets of a reply. Returns whether one changed.
 */
static bool
apply_sets(struct agent *a, const struct wire_watch_reply *r, int64_t now)
{
	bool registry_changed = r->registry_id != a->registry_id, news = false;

	if (registry_changed)
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
 * Records that the control process has the endpoint's record; stop_agent() may
 * wait for the last one.
 */
static void
confirm_self(struct agent *a, uint64_t seq)
{
	if (seq > a->confirmed_seq)
		a->confirmed_seq = seq;
	pthread_mutex_lock(&a->lock);
	if (a->leaving && a->self.seq == seq) {
		a->gone_confirmed = true;
		pthread_cond_broadcast(&a->stop_progress);
	}
	pthread_mutex_unlock(&a->lock);
}

/*
 * Announces the endpoint again, above the record of an earlier run: the time of
 * day was set back since, and a control process would refuse it for that long.
 */
static void
raise_incarnation(struct agent *a, const struct agent_watch *w,
    const struct wire_watch_reply *r, int64_t now)
{
	if (w->incarnation != a->incarnation || r->stamp.wall_ns < 0 ||
	    r->stamp.wall_ns == INT64_MAX ||
	    (uint64_t)r->stamp.wall_ns < a->incarnation)
		return;
	WRITE_EVENT(LOG_LEVEL_NOTICE, "endpoint.outdated",
	    LOG_INT("incarnation", a->incarnation),
	    LOG_INT("known", r->stamp.wall_ns));
	a->incarnation = (uint64_t)r->stamp.wall_ns + 1;
	merge_hlc(a->events, (struct hlc){r->stamp.wall_ns + 1, 0});
	a->confirmed_seq = 0;
	record_node_change(&a->watch_plan, now);
}

/*
 * Copies the state for render_agent_status() and is_agent_attached().
 */
static void
publish_watch_status(struct agent *a)
{
	const struct table *current = peek_table(a->table_pins);

	pthread_mutex_lock(&a->lock);
	a->status_control = get_watch_control(&a->watch_plan);
	a->status_attached = is_watch_attached(&a->watch_plan);
	a->status_watching = a->watch_plan.watching;
	a->status_version = current != NULL ? current->version : 0;
	a->status_refused = a->refused_version;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Returns the digest of an interest list, never 0. A control process keeps the
 * last full list of a connection, so a watch with the same list omits it.
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
