/*
 * LEAVINGS calls: a node adds what it is about to acknowledge to its backend
 * server, through the log, or reads what an earlier process of it has added. A
 * voter answers a read from its own state once a quorum has confirmed that it
 * is current, which needs no disk; a relay, which has none of this state, sends
 * it through the log as well.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "service.h"

/* A call that waits for its command or for its read round. */
struct pending_leavings {
	struct pending_leavings *next;
	struct control *control;
	struct rpc_reply *reply;
	char node[WIRE_NAME_MAX + 1];
	uint64_t read_round;
	int64_t deadline_ns;
};

static int submit_leavings(struct control *c,
    const struct wire_leavings_args *a, struct pending_leavings *w);
static int wait_for_read(struct control *c, struct pending_leavings *w);
static void answer_command(void *arg, int status, struct str result);
static void answer_list(struct pending_leavings *w, int status,
    const struct command_leaving *items, unsigned int count);

void
handle_leavings(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct wire_leavings_args a = {0};
	struct pending_leavings *w;
	int rc = decode_wire((xdrproc_t)xdr_wire_leavings_args, q->args, &a);

	w = rc == 0 && is_plain_name(a.node) ? calloc(1, sizeof(*w)) : NULL;
	if (w == NULL) {
		complete_rpc(reply, ERR_INVALID, make_str(""));
		if (rc == 0)
			unload_wire((xdrproc_t)xdr_wire_leavings_args, &a);
		return;
	}
	merge_message_stamp(c, &a.stamp);
	w->control = c;
	w->reply = reply;
	w->deadline_ns = read_mono(&c->cfg.clock) +
			 clamp_command_wait(a.wait_ms) * NSEC_PER_MSEC;
	(void)copy_str(w->node, sizeof(w->node), make_str(a.node));
	if (a.leavings.leavings_len > 0 || is_relay(c))
		rc = submit_leavings(c, &a, w);
	else
		rc = wait_for_read(c, w);
	if (rc != 0)
		answer_list(w, rc, NULL, 0);
	unload_wire((xdrproc_t)xdr_wire_leavings_args, &a);
}

/*
 * Answers the reads whose round has ended or whose deadline has passed; all of
 * them when the process stops. The lock is held.
 */
void
serve_leavings(struct control *c, int64_t now)
{
	struct command_leaving items[COMMAND_LEAVINGS_MAX];
	struct pending_leavings **at = &c->pending_leavings, *w;
	bool lost = is_quorum_lost(c), needs_read = false;

	while ((w = *at) != NULL) {
		bool confirmed = c->reads.confirmed >= w->read_round;

		if (!confirmed && !lost && !c->stopping &&
		    c->reads.failed < w->read_round && now < w->deadline_ns) {
			needs_read = true;
			at = &w->next;
			continue;
		}
		*at = w->next;
		if (confirmed)
			answer_list(w, 0, items,
			    list_leavings(&c->state->leavings, w->node, items));
		else
			answer_list(w, ERR_UNAVAILABLE, NULL, 0);
	}
	if (needs_read)
		begin_read_round(c);
}

static int
submit_leavings(struct control *c, const struct wire_leavings_args *a,
    struct pending_leavings *w)
{
	static char empty[1];
	struct command_leaving items[WIRE_LEAVINGS_MAX];
	struct command m = {.author = empty, .key = empty};
	struct command_leavings *l = &m.body.command_body_u.leavings;
	struct buf bytes = {0};
	int rc;

	m.body.type = COMMAND_LEAVINGS;
	l->node = w->node;
	l->items.items_len = a->leavings.leavings_len;
	l->items.items_val = items;
	for (unsigned int i = 0; i < a->leavings.leavings_len; i++)
		items[i] = (struct command_leaving){
		    a->leavings.leavings_val[i].instance,
		    a->leavings.leavings_val[i].born_until_ms};
	rc = encode_command(&m, &bytes);
	if (rc == 0)
		rc = submit_command(c, view_buf(&bytes),
		    clamp_command_wait(a->wait_ms), answer_command, w);
	unload_buf(&bytes);
	return rc;
}

static int
wait_for_read(struct control *c, struct pending_leavings *w)
{
	int rc = 0;

	pthread_mutex_lock(&c->lock);
	if (c->stopping) {
		rc = ERR_UNAVAILABLE;
	} else {
		w->read_round = get_next_read_round(c);
		w->next = c->pending_leavings;
		c->pending_leavings = w;
		begin_read_round(c);
		serve_leavings(c, read_mono(&c->cfg.clock));
	}
	pthread_mutex_unlock(&c->lock);
	return rc;
}

/*
 * ERR_INVALID from the leader means that it is of an earlier build, which does
 * not know the command.
 */
static void
answer_command(void *arg, int status, struct str result)
{
	struct pending_leavings *w = arg;
	struct command_leavings l = {0};
	struct command_result r = {0};

	if (status == 0 && decode_command_result(result, &r) != 0)
		status = ERR_UNKNOWN;
	else if (status == 0)
		status = r.status;
	if (status == 0 &&
	    decode_wire((xdrproc_t)xdr_command_leavings,
		make_str_n(r.answer.answer_val, r.answer.answer_len), &l) != 0)
		status = ERR_UNKNOWN;
	answer_list(w, status, l.items.items_val, l.items.items_len);
	unload_wire((xdrproc_t)xdr_command_leavings, &l);
	unload_command_result(&r);
}

/*
 * Completes a call and frees it.
 */
static void
answer_list(struct pending_leavings *w, int status,
    const struct command_leaving *items, unsigned int count)
{
	struct wire_leaving out[WIRE_LEAVINGS_MAX];
	struct wire_leavings_reply r = {.status = get_wire_status(status),
	    .stamp = make_message_stamp(w->control)};
	struct buf b = {0};
	int rc;

	for (unsigned int i = 0; i < count; i++)
		out[i] = (struct wire_leaving){
		    items[i].instance, items[i].born_until_ms};
	r.leavings.leavings_len = count;
	r.leavings.leavings_val = out;
	rc = encode_wire((xdrproc_t)xdr_wire_leavings_reply, &r, &b);
	complete_rpc(w->reply, rc, view_buf(&b));
	unload_buf(&b);
	free(w);
}
