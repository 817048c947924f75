/*
 * Health of the node's own backend server. Periodic checks decide between
 * starting and ready with hysteresis. The results of calls override the
 * reported health, because health endpoints lag or report a wrong state. Loop
 * thread only, except for close_health().
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include "call.h"
#include "log.h"

#define HEALTH_INTERVAL_NS (500 * NSEC_PER_MSEC)
#define HEALTH_FAST_INTERVAL_NS (50 * NSEC_PER_MSEC) /* while not ready */
#define HEALTH_CHECK_TIMEOUT_NS (1 * NSEC_PER_SEC)
#define HEALTH_PASSED_MIN 2 /* checks in a row to become ready */
#define HEALTH_FAILED_MAX 3 /* checks in a row to become starting */
#define HEALTH_CONNECT_FAILURES_MAX 3 /* calls in a row */

struct health {
	struct proxy *proxy;
	struct loop_timer timer; /* next check, or timeout of the current one */
	struct transfer *transfer; /* of the current check */
	enum wire_endpoint_state state; /* as announced */
	bool announced;
	bool checked; /* the first check has ended */
	bool cold_start; /* was not ready before: begin with few slots */
	int passed_checks, failed_checks; /* consecutive */
	int connect_failures; /* consecutive calls without a connection */
	int64_t last_answer; /* mono ns; last answer to a call */
	int64_t failing_since; /* mono ns; first of failed_checks */
};

static void start_check(struct loop_timer *t);
static void finish_check(void *arg, struct transfer *t);
static void expire_check(struct loop_timer *t);
static void evaluate_check(struct health *h, bool passed, bool draining);
static bool reports_state(struct str body, const char *state);
static void announce(struct health *h, enum wire_endpoint_state state);

/*
 * Announces the endpoint as starting and starts the checks. Does nothing on a
 * node without a backend server. Returns ERR_MEMORY.
 */
int
open_health(struct proxy *p)
{
	struct health *h;

	if (p->admission == NULL)
		return 0;
	h = calloc(1, sizeof(*h));
	if (h == NULL)
		return ERR_MEMORY;
	h->proxy = p;
	h->timer.fire = start_check;
	p->health = h;
	announce(h, WIRE_ENDPOINT_STARTING);
	return set_loop_timer(p->loop, &h->timer, get_loop_time(p->loop));
}

/*
 * Stops the checks. The loop thread must have ended.
 */
void
close_health(struct proxy *p)
{
	if (p->health == NULL)
		return;
	free_transfer(p->health->transfer);
	clear_loop_timer(p->loop, &p->health->timer);
	free(p->health);
	p->health = NULL;
}

void
announce_drain(struct proxy *p)
{
	if (p->health != NULL)
		announce(p->health, WIRE_ENDPOINT_DRAINING);
}

/*
 * Records how a call to the backend server ended. HEALTH_CONNECT_FAILURES_MAX
 * consecutive calls without a connection take the server out of service at
 * once.
 */
void
record_backend_result(struct proxy *p, enum attempt_end end)
{
	struct health *h = p->health;

	if (h == NULL)
		return;
	if (end == ATTEMPT_ANSWERED) {
		h->last_answer = get_loop_time(p->loop);
		h->connect_failures = 0;
	} else if (end == ATTEMPT_NOT_CONNECTED) {
		h->connect_failures++;
		if (h->connect_failures >= HEALTH_CONNECT_FAILURES_MAX &&
		    h->state == WIRE_ENDPOINT_READY) {
			h->passed_checks = 0;
			announce(h, WIRE_ENDPOINT_STARTING);
		}
	}
}

const char *
get_health_name(const struct proxy *p)
{
	static const char *const names[] = {
	    "starting", "ready", "draining", "gone", "suspect"};

	return p->health != NULL ? names[p->health->state] : "none";
}

static void
start_check(struct loop_timer *t)
{
	struct health *h =
	    (struct health *)((char *)t - offsetof(struct health, timer));
	struct proxy *p = h->proxy;
	int64_t now = get_loop_time(p->loop);
	struct transfer_request req = {.address = p->backend,
	    .target = p->health_path,
	    .method = "GET",
	    .call_id = "health",
	    .connect_ms = CONNECT_TIMEOUT_MS};

	if (start_transfer(p->transfers, &req, finish_check, h, &h->transfer) !=
	    0)
		h->transfer = NULL;
	t->fire = expire_check;
	(void)set_loop_timer(p->loop, t, now + HEALTH_CHECK_TIMEOUT_NS);
}

static void
finish_check(void *arg, struct transfer *t)
{
	struct health *h = arg;
	const struct transfer_answer *ans = get_transfer_answer(t);
	bool passed = ans->facts.end == ATTEMPT_ANSWERED &&
		      ans->facts.body_ended && ans->facts.status == 200 &&
		      !reports_state(ans->body, "starting");
	bool draining = ans->facts.end == ATTEMPT_ANSWERED &&
			reports_state(ans->body, "draining");

	free_transfer(t);
	h->transfer = NULL;
	evaluate_check(h, passed, draining);
}

static void
expire_check(struct loop_timer *t)
{
	struct health *h =
	    (struct health *)((char *)t - offsetof(struct health, timer));

	free_transfer(h->transfer);
	h->transfer = NULL;
	evaluate_check(h, false, false);
}

/*
 * Records the result of a check, changes the announced state if needed and
 * schedules the next check. Failed checks do not take a server out of
 * service that has answered calls since the first of them.
 */
static void
evaluate_check(struct health *h, bool passed, bool draining)
{
	struct proxy *p = h->proxy;
	int64_t now = get_loop_time(p->loop);

	if (!h->checked)
		h->cold_start = !passed;
	h->checked = true;
	h->passed_checks = passed ? h->passed_checks + 1 : 0;
	if (!passed && h->failed_checks == 0)
		h->failing_since = now;
	h->failed_checks = passed ? 0 : h->failed_checks + 1;
	if (h->state != WIRE_ENDPOINT_DRAINING && draining) {
		announce(h, WIRE_ENDPOINT_DRAINING);
	} else if (h->state == WIRE_ENDPOINT_STARTING &&
		   h->passed_checks >= HEALTH_PASSED_MIN) {
		if (h->cold_start)
			(void)open_admission(p, true);
		h->connect_failures = 0;
		announce(h, WIRE_ENDPOINT_READY);
	} else if (h->state == WIRE_ENDPOINT_READY &&
		   h->failed_checks >= HEALTH_FAILED_MAX &&
		   h->last_answer < h->failing_since) {
		h->cold_start = true;
		announce(h, WIRE_ENDPOINT_STARTING);
	} else if (h->state == WIRE_ENDPOINT_DRAINING && passed && !draining &&
		   !ck_pr_load_8((uint8_t *)&p->draining)) {
		h->passed_checks = 0;
		h->cold_start = true;
		announce(h, WIRE_ENDPOINT_STARTING);
	}
	h->timer.fire = start_check;
	(void)set_loop_timer(p->loop, &h->timer,
	    now + (h->state == WIRE_ENDPOINT_READY ? HEALTH_INTERVAL_NS :
						     HEALTH_FAST_INTERVAL_NS));
}

/*
 * Whether the body of a health check reports a state, as in
 * {"state":"draining"}.
 */
static bool
reports_state(struct str body, const char *state)
{
	char text[512], quoted[64];
	size_t n = body.len < sizeof(text) - 1 ? body.len : sizeof(text) - 1;

	if (body.data == NULL)
		return false;
	(void)copy_str(text, sizeof(text), make_str_n(body.data, n));
	snprintf(quoted, sizeof(quoted), "\"%s\"", state);
	return strstr(text, "\"state\"") != NULL &&
	       strstr(text, quoted) != NULL;
}

/*
 * Announces a change of the endpoint's state. A draining node announces only
 * draining.
 */
static void
announce(struct health *h, enum wire_endpoint_state state)
{
	struct proxy *p = h->proxy;
	char address[PROXY_ADDRESS_BYTES], empty[1] = "";
	const char *colon = strrchr(p->listen, ':');
	struct wire_endpoint self = {.id = p->node,
	    .service = p->service,
	    .address = address,
	    .zone = p->zone,
	    .instance = empty,
	    .backend = empty,
	    .slots = p->cfg.backend.slots,
	    .state = state};

	if (h->announced && h->state == state)
		return;
	if (ck_pr_load_8((uint8_t *)&p->draining) &&
	    state != WIRE_ENDPOINT_DRAINING)
		return;
	snprintf(address, sizeof(address), "%.*s:%d", (int)(colon - p->listen),
	    p->listen, p->port);
	h->state = state;
	h->announced = true;
	record_event(p->cfg.events, "endpoint", p->node, 0, "announced as %s",
	    get_health_name(p));
	write_log(LOG_LEVEL_NOTICE, "backend server %s of service %s is %s",
	    p->backend, p->service, get_health_name(p));
	if (announce_endpoint(p->cfg.agent, &self) != 0)
		write_log(LOG_LEVEL_ERR,
		    "the endpoint could not be announced; this is retried "
		    "at the next change of its state");
}
