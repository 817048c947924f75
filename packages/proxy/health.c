/*
 * Health of the node's own backend server. Checks decide between starting and
 * ready with hysteresis; what the calls themselves show outweighs the report,
 * because health endpoints lag or mislead.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include "call.h"
#include "log.h"

#define HEALTH_INTERVAL_NS (500 * NSEC_PER_MSEC)
#define HEALTH_FIRST_NS (50 * NSEC_PER_MSEC) /* while not ready */
#define HEALTH_TIMEOUT_NS (1 * NSEC_PER_SEC)
#define HEALTH_GOOD_MIN 2 /* good checks in a row to become ready */
#define HEALTH_BAD_MAX 3 /* bad checks in a row to become starting */
#define HEALTH_REFUSED_MAX 3 /* calls in a row that found no connection */

struct health {
	struct proxy *proxy;
	struct loop_timer timer; /* next check, or the end of this one */
	struct transfer *transfer;
	enum wire_endpoint_state state; /* announced */
	bool announced;
	bool checked; /* a first check has ended */
	bool first_bad; /* the first check failed: a cold start */
	int good, bad; /* checks in a row */
	int refused; /* calls in a row without a connection */
	int64_t answered; /* mono ns of the last call with an answer */
	int64_t bad_since; /* mono ns of the first bad check in a row */
};

static void start_check(struct loop_timer *t);
static void finish_check(void *arg, struct transfer *t);
static void expire_check(struct loop_timer *t);
static void judge_check(struct health *h, bool good, bool draining);
static bool is_report(struct str body, const char *state);
static void announce(struct health *h, enum wire_endpoint_state state);

/*
 * Announces the endpoint as starting and begins to check. Nothing to do for a
 * node without a backend server.
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
 * Ends the checks; the loop thread has ended.
 */
void
close_health(struct proxy *p)
{
	if (p->health == NULL)
		return;
	free_transfer(p->health->transfer);
	clear_timer(p->loop, &p->health->timer);
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
 * Takes note of how a call to the backend server ended. Several calls in a row
 * without a connection count as a failed server at once.
 */
void
note_backend_result(struct proxy *p, enum attempt_end end)
{
	struct health *h = p->health;

	if (h == NULL)
		return;
	if (end == ATTEMPT_ANSWERED) {
		h->answered = get_loop_time(p->loop);
		h->refused = 0;
	} else if (end == ATTEMPT_NOT_CONNECTED) {
		h->refused++;
		if (h->refused >= HEALTH_REFUSED_MAX &&
		    h->state == WIRE_ENDPOINT_READY) {
			h->good = 0;
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
	    .connect_ms = CONNECT_MS};

	if (start_transfer(p->transfers, &req, finish_check, h, &h->transfer) !=
	    0)
		h->transfer = NULL;
	t->fire = expire_check;
	(void)set_loop_timer(p->loop, t, now + HEALTH_TIMEOUT_NS);
}

static void
finish_check(void *arg, struct transfer *t)
{
	struct health *h = arg;
	const struct transfer_answer *ans = get_transfer_answer(t);
	bool good = ans->facts.end == ATTEMPT_ANSWERED &&
		    ans->facts.body_ended && ans->facts.status == 200 &&
		    !is_report(ans->body, "starting");
	bool draining = ans->facts.end == ATTEMPT_ANSWERED &&
			is_report(ans->body, "draining");

	free_transfer(t);
	h->transfer = NULL;
	judge_check(h, good, draining);
}

static void
expire_check(struct loop_timer *t)
{
	struct health *h =
	    (struct health *)((char *)t - offsetof(struct health, timer));

	free_transfer(h->transfer);
	h->transfer = NULL;
	judge_check(h, false, false);
}

/*
 * Changes the announced state by the checks in a row. A bad report does not
 * take a server out that has answered calls since the reports turned bad.
 */
static void
judge_check(struct health *h, bool good, bool draining)
{
	struct proxy *p = h->proxy;
	int64_t now = get_loop_time(p->loop);

	if (!h->checked)
		h->first_bad = !good;
	h->checked = true;
	h->good = good ? h->good + 1 : 0;
	if (!good && h->bad == 0)
		h->bad_since = now;
	h->bad = good ? 0 : h->bad + 1;
	if (h->state != WIRE_ENDPOINT_DRAINING && draining) {
		announce(h, WIRE_ENDPOINT_DRAINING);
	} else if (h->state == WIRE_ENDPOINT_STARTING &&
		   h->good >= HEALTH_GOOD_MIN) {
		if (h->first_bad)
			(void)open_admission(p, true);
		h->refused = 0;
		announce(h, WIRE_ENDPOINT_READY);
	} else if (h->state == WIRE_ENDPOINT_READY &&
		   h->bad >= HEALTH_BAD_MAX && h->answered < h->bad_since) {
		h->first_bad = true;
		announce(h, WIRE_ENDPOINT_STARTING);
	} else if (h->state == WIRE_ENDPOINT_DRAINING && good && !draining &&
		   !ck_pr_load_8((uint8_t *)&p->draining)) {
		h->good = 0;
		h->first_bad = true;
		announce(h, WIRE_ENDPOINT_STARTING);
	}
	h->timer.fire = start_check;
	(void)set_loop_timer(p->loop, &h->timer,
	    now + (h->state == WIRE_ENDPOINT_READY ? HEALTH_INTERVAL_NS :
						     HEALTH_FIRST_NS));
}

/*
 * Whether a report names a state: {"state":"draining"}.
 */
static bool
is_report(struct str body, const char *state)
{
	char text[512], want[64];
	size_t n = body.len < sizeof(text) - 1 ? body.len : sizeof(text) - 1;

	if (body.data == NULL)
		return false;
	(void)copy_str(text, sizeof(text), make_str_n(body.data, n));
	snprintf(want, sizeof(want), "\"%s\"", state);
	return strstr(text, "\"state\"") != NULL && strstr(text, want) != NULL;
}

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
		    "the endpoint could not be announced; it is tried again "
		    "with the next change");
}
