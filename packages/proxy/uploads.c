/*
 * Calls whose bodies wait for the body memory budget. Their connections are
 * suspended, so that TCP flow control stops the sender and nothing is lost.
 */
#include <stdlib.h>
#include <sys/epoll.h>

#include <ck_pr.h>

#include "call.h"
#include "log.h"

/* How often a waiting call retries its reservation. */
#define RESERVE_RETRY_NS (5 * NSEC_PER_MSEC)

static void start_body_wait(struct loop_task *t);
static void retry_reservation(struct loop_timer *t);
static void handle_disconnect(struct loop_watch *w, uint32_t events);
static void resume_upload(struct call *c);

/*
 * Checks each table version once, with the first call that uses it. Logs a
 * warning when rows exceed the body memory, and an info line when none does any
 * more. Runs on any thread.
 */
void
check_body_memory(struct proxy *p, const struct table *t)
{
	int64_t size = get_budget_size(p->budget);
	uint64_t checked = ck_pr_load_64(&p->body_checked_version);
	const struct row *worst = NULL;
	int over = 0;

	if (checked >= t->version ||
	    !ck_pr_cas_64(&p->body_checked_version, checked, t->version))
		return;
	for (size_t i = 0; i < t->row_count; i++) {
		const struct row *r = t->rows[i];

		if ((int64_t)r->values[COL_BODY_MAX_KB] * 1024 <= size)
			continue;
		over++;
		if (worst == NULL ||
		    r->values[COL_BODY_MAX_KB] > worst->values[COL_BODY_MAX_KB])
			worst = r;
	}
	if (worst != NULL) {
		write_log(LOG_LEVEL_WARNING,
		    "version %llu: %d rows have body_max_kb above "
		    "--body-memory (%lld bytes), up to %d kB in row %s; "
		    "longer bodies are refused as body-memory: raise "
		    "--body-memory or lower body_max_kb",
		    (unsigned long long)t->version, over, (long long)size,
		    worst->values[COL_BODY_MAX_KB], worst->kind);
		record_event(p->cfg.events, "body-memory", worst->kind,
		    t->version, "%d rows above %lld bytes", over,
		    (long long)size);
	} else if (ck_pr_load_8((uint8_t *)&p->body_memory_short)) {
		write_log(LOG_LEVEL_INFO,
		    "version %llu: body_max_kb of every row is within "
		    "--body-memory",
		    (unsigned long long)t->version);
		record_event(p->cfg.events, "body-memory", "", t->version,
		    "every row fits");
	}
	ck_pr_store_8((uint8_t *)&p->body_memory_short, worst != NULL);
}

/*
 * Passes a suspended call to the loop until its body fits into the budget, the
 * deadline passes or the caller disconnects.
 */
void
wait_for_body_memory(struct call *c)
{
	c->waits_for_memory = true;
	ck_pr_inc_int(&c->proxy->bodies_waiting);
	record_event(c->proxy->cfg.events, "body-wait", c->id, 0,
	    "kind %s waits for %zu bytes of body memory", c->kind, c->body_cap);
	c->task.run = start_body_wait;
	post_loop_task(c->proxy->loop, &c->task);
}

/*
 * Frees the body and releases its reservation.
 */
void
release_body(struct call *c)
{
	free(c->body);
	c->body = NULL;
	c->body_len = 0;
	if (c->reserved > 0)
		release_budget(c->proxy->budget, c->reserved);
	c->reserved = 0;
}

/*
 * Starts the wait for body memory on the loop thread and watches for a
 * disconnect of the caller.
 */
static void
start_body_wait(struct loop_task *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, task));
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	c->watch = (struct loop_watch){info->connect_fd, handle_disconnect};
	c->watching = watch_fd(c->proxy->loop, &c->watch, EPOLLRDHUP) == 0;
	c->timer.fire = retry_reservation;
	retry_reservation(&c->timer);
}

/*
 * Timer: reserves the body's memory, or refuses the call when its deadline has
 * passed, the proxy is stopping or no timer can be set.
 */
static void
retry_reservation(struct loop_timer *t)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, timer));
	struct proxy *p = c->proxy;
	int64_t now = get_loop_time(p->loop);

	if (reserve_budget(p->budget, (int64_t)c->body_cap)) {
		c->reserved = (int64_t)c->body_cap;
		resume_upload(c);
	} else if (now >= c->deadline) {
		refuse_early(c, 503, REFUSE_DEADLINE, NULL);
		resume_upload(c);
	} else if (ck_pr_load_8((uint8_t *)&p->stopping)) {
		refuse_early(c, 503, REFUSE_DRAINING, NULL);
		resume_upload(c);
	} else if (set_loop_timer(p->loop, t, now + RESERVE_RETRY_NS) != 0) {
		refuse_early(c, 503, REFUSE_OVERLOAD, NULL);
		resume_upload(c);
	}
}

static void
handle_disconnect(struct loop_watch *w, uint32_t events)
{
	struct call *c =
	    (struct call *)((char *)w - offsetof(struct call, watch));

	(void)events;
	refuse_early(c, 503, REFUSE_NONE, "caller-gone");
	resume_upload(c);
}

/*
 * Ends the wait and returns the call to its listener thread.
 */
static void
resume_upload(struct call *c)
{
	clear_loop_timer(c->proxy->loop, &c->timer);
	if (c->watching)
		unwatch_fd(c->proxy->loop, &c->watch);
	c->watching = false;
	c->waits_for_memory = false;
	ck_pr_dec_int(&c->proxy->bodies_waiting);
	resume_call(c);
}
