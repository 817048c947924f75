/*
 * A relay follows one voter with PULL calls: watches whose interest is all
 * services. For a PULL with wait_ms 0 the voter confirms a read first, so after
 * its reply the relay's table is at least as new as any version that was
 * accepted before the PULL.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "service.h"

#define PULL_TIMEOUT_MS (SERVICE_PULL_WAIT_MS + SERVICE_READ_TIMEOUT_MS)
#define UPSTREAM_RETRY_NS (200 * NSEC_PER_MSEC) /* longest retry delay */

static bool send_pull(struct control *c, bool confirmed);
static int make_interest(struct control *c, struct wire_watch_args *a);
static void add_interest(
    struct control *c, struct wire_watch_args *a, const char *service);
static uint64_t get_upstream_set_version(
    const struct upstream *u, struct str service);
static void set_upstream_set_version(
    struct upstream *u, const struct wire_endpoint_set *s);
static void finish_pull(void *arg, const struct rpc_result *r);
static int apply_pull(struct control *c, const struct wire_watch_reply *r);
static int apply_table(struct control *c, const struct wire_table_update *t);
static void change_upstream(struct control *c, int64_t now);

/*
 * Sends the next PULL unless one is in flight or the retry delay has not
 * passed.
 */
void
run_relay(struct control *c, int64_t now)
{
	struct upstream *u = &c->upstream;

	if (u->in_flight || now < u->retry_ns || c->peer_count == 0)
		return;
	if (!send_pull(c, c->reads.in_flight))
		change_upstream(c, now);
}

/*
 * Starts a PULL that confirms a read, or leaves it to the next PULL when one is
 * in flight. Returns false when no PULL can be sent.
 */
bool
start_confirmed_pull(struct control *c)
{
	if (c->peer_count == 0)
		return false;
	if (c->upstream.in_flight)
		return true;
	return send_pull(c, true);
}

/*
 * Sends a PULL to the upstream voter; confirmed requests a confirmed read.
 */
static bool
send_pull(struct control *c, bool confirmed)
{
	struct upstream *u = &c->upstream;
	char name[32];
	static char empty[1];
	struct wire_watch_args a = {
	    .stamp = make_message_stamp(c),
	    .node = name,
	    .zone = empty,
	    .held_version = c->state->table->version,
	    .held_digest = c->state->table->digest,
	    .refused_reason = empty,
	    .registry_id = u->registry_id,
	    .wait_ms = confirmed ? 0 : SERVICE_PULL_WAIT_MS,
	};
	struct buf b = {0};
	int rc;

	snprintf(name, sizeof(name), "relay-%llu", (unsigned long long)c->id);
	rc = make_interest(c, &a);
	if (rc == 0)
		rc = encode_wire((xdrproc_t)xdr_wire_watch_args, &a, &b);
	if (rc == 0)
		rc = call_rpc(c->peers[u->peer_index].rpc, GGS_PULL,
		    view_buf(&b), PULL_TIMEOUT_MS, finish_pull, c);
	unload_buf(&b);
	free(a.interest.interest_val);
	if (rc != 0)
		return false;
	u->in_flight = true;
	u->confirms_read = confirmed;
	return true;
}

/*
 * Lists the services of the table and those in the interest of pending watches,
 * up to WIRE_INTEREST_MAX. The strings are borrowed; the caller frees the list.
 */
static int
make_interest(struct control *c, struct wire_watch_args *a)
{
	struct table *t = c->state->table;

	a->interest.interest_val =
	    calloc(WIRE_INTEREST_MAX, sizeof(struct wire_interest));
	if (a->interest.interest_val == NULL)
		return ERR_MEMORY;
	for (size_t i = 0; i < t->row_count; i++)
		add_interest(c, a, t->rows[i]->service);
	for (struct pending_watch *w = c->pending_watches; w != NULL;
	     w = w->next) {
		for (unsigned int i = 0; i < w->args.interest.interest_len; i++)
			add_interest(
			    c, a, w->args.interest.interest_val[i].service);
	}
	return 0;
}

static void
add_interest(struct control *c, struct wire_watch_args *a, const char *service)
{
	unsigned int n = a->interest.interest_len;

	for (unsigned int i = 0; i < n; i++) {
		if (strcmp(a->interest.interest_val[i].service, service) == 0)
			return;
	}
	if (n == WIRE_INTEREST_MAX)
		return;
	a->interest.interest_val[n] =
	    (struct wire_interest){(char *)(uintptr_t)service,
		get_upstream_set_version(&c->upstream, make_str(service))};
	a->interest.interest_len++;
}

static uint64_t
get_upstream_set_version(const struct upstream *u, struct str service)
{
	for (size_t i = 0; i < u->set_count; i++) {
		if (is_str_equal(service, make_str(u->sets[i].service)))
			return u->sets[i].set_version;
	}
	return 0;
}

static void
set_upstream_set_version(struct upstream *u, const struct wire_endpoint_set *s)
{
	size_t i = 0;

	while (i < u->set_count && strcmp(u->sets[i].service, s->service) != 0)
		i++;
	if (i == WIRE_INTEREST_MAX)
		i = 0; /* the replaced set is pulled in full again */
	if (i >= u->set_count)
		u->set_count = i + 1;
	snprintf(
	    u->sets[i].service, sizeof(u->sets[i].service), "%s", s->service);
	u->sets[i].set_version = s->set_version;
}

/*
 * Handles the reply to a PULL, finishes the read round that it confirms and
 * sends the next PULL. Any error but LIMIT makes the relay follow another
 * voter; LIMIT delays the next PULL by a random part of retry_ms.
 */
static void
finish_pull(void *arg, const struct rpc_result *r)
{
	struct wire_watch_reply reply = {0};
	struct control *c = arg;
	struct upstream *u = &c->upstream;
	int64_t now = read_mono(&c->cfg.clock);
	int rc = r->status;

	if (rc == 0)
		rc = decode_wire(
		    (xdrproc_t)xdr_wire_watch_reply, r->body, &reply);
	pthread_mutex_lock(&c->lock);
	u->in_flight = false;
	if (rc == 0) {
		merge_message_stamp(c, &reply.stamp);
		rc = reply.status == WIRE_OK ? apply_pull(c, &reply) :
					       -(int)reply.status;
		if (reply.status == WIRE_LIMIT)
			u->retry_ns =
			    now +
			    NSEC_PER_MSEC * (int64_t)draw_below(&c->rng,
						(uint64_t)reply.retry_ms + 1);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &reply);
	}
	if (rc == 0)
		u->contact_ns = now;
	else if (rc != ERR_LIMIT)
		change_upstream(c, now);
	if (u->confirms_read && c->reads.in_flight)
		finish_read_round(c, rc == 0);
	u->confirms_read = false;
	if (!c->stopping) {
		run_relay(c, now);
		serve_watches(c, now);
	}
	pthread_cond_broadcast(&c->wake);
	pthread_mutex_unlock(&c->lock);
}

/*
 * Applies the sets and the table of a reply. Returns ERR_STALE when the voter
 * has an older table than the relay.
 */
static int
apply_pull(struct control *c, const struct wire_watch_reply *r)
{
	struct upstream *u = &c->upstream;
	int64_t now = read_mono(&c->cfg.clock);
	int rc = 0;

	if (r->registry_id != u->registry_id)
		u->set_count = 0;
	u->registry_id = r->registry_id;
	for (unsigned int i = 0; i < r->sets.sets_len; i++) {
		(void)apply_upstream(c->registry, now, &r->sets.sets_val[i]);
		set_upstream_set_version(u, &r->sets.sets_val[i]);
	}
	if (r->table.form != WIRE_TABLE_NONE)
		rc = apply_table(c, &r->table);
	/* A voter with an older table than the relay cannot confirm a read. */
	if (rc == 0 && r->table.table_version < c->state->table->version)
		rc = ERR_STALE;
	return rc;
}

/*
 * Validates a table update in the same way as a node and puts it in force.
 * Returns ERR_STALE for a delta to another base, ERR_CORRUPT for a wrong
 * digest, or an error of the table.
 */
static int
apply_table(struct control *c, const struct wire_table_update *t)
{
	struct str body = make_str_n(t->body.body_val, t->body.body_len);
	struct cell_list l = {0};
	struct table *next = NULL;
	struct fault f = {0};
	int rc = 0;

	if (t->table_version <= c->state->table->version)
		return 0;
	if (t->form == WIRE_TABLE_WHOLE) {
		rc = load_table_csv(body, t->table_version, &next, &f);
	} else if (t->base != c->state->table->version) {
		rc = ERR_STALE;
	} else {
		rc = decode_cells(body, &l, &f);
		if (rc == 0)
			rc = apply_cells(
			    c->state->table, &l, t->table_version, &next, &f);
		unload_cells(&l);
	}
	if (rc == 0 && next->digest != t->digest) {
		unload_table(next);
		rc = ERR_CORRUPT;
	}
	if (rc == 0)
		rc = adopt_table(c->state, next);
	if (rc == 0) {
		set_metric(c->metrics.version, (int64_t)t->table_version);
		record_version_time(&c->version_times, t->table_version,
		    read_mono(&c->cfg.clock));
		record_event(c->cfg.events, "version", "relay",
		    t->table_version, "pulled");
	} else {
		write_log(LOG_LEVEL_WARNING,
		    "refused version %llu of voter %llu: %s %s",
		    (unsigned long long)t->table_version,
		    (unsigned long long)c->peers[c->upstream.peer_index].id,
		    get_err_name(rc), f.text);
	}
	return rc;
}

/*
 * Follows the next voter, round robin, after a random delay of up to
 * UPSTREAM_RETRY_NS.
 */
static void
change_upstream(struct control *c, int64_t now)
{
	struct upstream *u = &c->upstream;

	if (c->peer_count > 0)
		u->peer_index = (u->peer_index + 1) % c->peer_count;
	u->retry_ns = now + (int64_t)draw_below(&c->rng, UPSTREAM_RETRY_NS);
}
