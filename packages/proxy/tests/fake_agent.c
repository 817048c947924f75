/*
 * The test double of the agent. Its own thread answers claims, so that answers
 * arrive on another thread than the requests, as with the real agent.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fake_agent.h"

#define FAKE_TABLES 16
#define FAKE_ENDPOINTS 1024
#define FAKE_SETS 8
#define FAKE_CLAIMS 512
#define FAKE_LEAVINGS 64

struct fake_claim {
	char key[WIRE_KEY_MAX + 1];
	unsigned char id[WIRE_CLAIM_ID_BYTES];
	enum wire_claim_state state;
	int http_status;
	char answer[WIRE_ANSWER_MAX];
	size_t answer_len;
	bool answer_whole;
};

struct fake_answer {
	struct fake_answer *next;
	claim_fn fn;
	void *arg;
	struct claim_result result;
	char text[WIRE_ANSWER_MAX];
	bool delayed; /* waits for release_fake_claims() */
	int64_t due; /* mono ns */
};

struct fake_set {
	struct endpoint_set set;
	struct wire_endpoint endpoints[FAKE_ENDPOINTS];
	char ids[FAKE_ENDPOINTS][WIRE_NAME_MAX + 1];
	char instances[FAKE_ENDPOINTS][WIRE_NAME_MAX + 1];
	char addresses[FAKE_ENDPOINTS][WIRE_NAME_MAX + 1];
	struct fake_set *older; /* kept, because readers may reference it */
};

struct agent {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	pthread_t thread;
	bool stop;
	struct table *tables[FAKE_TABLES];
	int table_count;
	int table_refs; /* acquired and not released */
	bool detached; /* no control process answers */
	bool has_table; /* false: the last table is cleared */
	struct fake_set *sets[FAKE_SETS];
	int set_count;
	uint64_t next_set_version;
	struct fake_claim claims[FAKE_CLAIMS];
	int claim_count;
	uint64_t opens; /* claim open requests */
	unsigned int calls_left; /* that asks for allotments get */
	uint64_t asks;
	enum fake_claim_mode mode;
	bool release_delayed;
	struct fake_answer *answers;
	int state; /* announced endpoint state; -1: none */
	struct rollout_view rollouts;
	struct buf report; /* the last one of any node */
	enum fake_leavings_mode leavings_mode;
	char leavings[FAKE_LEAVINGS][WIRE_NAME_MAX + 1]; /* instances */
	int64_t born_until_ms[FAKE_LEAVINGS];
	size_t leaving_count;
	uint64_t leaving_requests;
};

static void *answer_claims(void *arg);
static struct fake_answer *pop_due_answer(struct agent *a);
static void run_claim(
    struct agent *a, const struct claim_request *req, struct fake_answer *ans);
static struct fake_claim *find_claim(struct agent *a, struct str key);
static struct fake_set *find_set(struct agent *a, const char *service);
static void replace_set(struct agent *a, struct fake_set *old,
    const char *service, struct fake_set **out);
static int64_t read_time(void);

struct agent *
open_fake_agent(void)
{
	struct agent *a = calloc(1, sizeof(*a));

	pthread_mutex_init(&a->lock, NULL);
	pthread_cond_init(&a->wake, NULL);
	a->state = -1;
	pthread_create(&a->thread, NULL, answer_claims, a);
	return a;
}

void
close_fake_agent(struct agent *a)
{
	struct fake_set *s, *older;

	pthread_mutex_lock(&a->lock);
	a->stop = true;
	pthread_cond_broadcast(&a->wake);
	pthread_mutex_unlock(&a->lock);
	pthread_join(a->thread, NULL);
	for (int i = 0; i < a->table_count; i++)
		unload_table(a->tables[i]);
	for (int i = 0; i < a->set_count; i++) {
		for (s = a->sets[i]; s != NULL; s = older) {
			older = s->older;
			free(s);
		}
	}
	unload_buf(&a->report);
	free(a);
}

void
set_fake_table(struct agent *a, const char *csv, uint64_t version)
{
	struct fault f = {0};
	struct table *t = NULL;

	if (load_table_csv(make_str(csv), version, &t, &f) != 0) {
		fprintf(stderr, "test table: %s\n", f.text);
		abort();
	}
	pthread_mutex_lock(&a->lock);
	a->tables[a->table_count++] = t;
	a->has_table = true;
	pthread_mutex_unlock(&a->lock);
}

void
clear_fake_table(struct agent *a)
{
	pthread_mutex_lock(&a->lock);
	a->has_table = false;
	pthread_mutex_unlock(&a->lock);
}

void
set_fake_attached(struct agent *a, bool attached)
{
	pthread_mutex_lock(&a->lock);
	a->detached = !attached;
	pthread_mutex_unlock(&a->lock);
}

bool
is_agent_attached(struct agent *a)
{
	bool attached;

	pthread_mutex_lock(&a->lock);
	attached = !a->detached;
	pthread_mutex_unlock(&a->lock);
	return attached;
}

void
clear_fake_endpoints(struct agent *a, const char *service)
{
	struct fake_set *s;

	pthread_mutex_lock(&a->lock);
	replace_set(a, find_set(a, service), service, &s);
	s->set.count = 0;
	pthread_mutex_unlock(&a->lock);
}

void
add_fake_endpoint(struct agent *a, const char *service, const char *id,
    const char *address, int slots, enum wire_endpoint_state state)
{
	struct fake_set *s;
	size_t n;

	pthread_mutex_lock(&a->lock);
	replace_set(a, find_set(a, service), service, &s);
	n = s->set.count++;
	snprintf(s->ids[n], sizeof(s->ids[n]), "%s", id);
	snprintf(s->addresses[n], sizeof(s->addresses[n]), "%s", address);
	s->endpoints[n] = (struct wire_endpoint){.id = s->ids[n],
	    .incarnation = 1,
	    .seq = 1,
	    .service = s->set.service,
	    .address = s->addresses[n],
	    .zone = (char *)"z1",
	    .slots = slots,
	    .state = state};
	pthread_mutex_unlock(&a->lock);
}

void
set_fake_instance(
    struct agent *a, const char *service, const char *id, const char *instance)
{
	struct fake_set *s;

	pthread_mutex_lock(&a->lock);
	replace_set(a, find_set(a, service), service, &s);
	for (size_t i = 0; i < s->set.count; i++) {
		if (strcmp(s->ids[i], id) != 0)
			continue;
		snprintf(
		    s->instances[i], sizeof(s->instances[i]), "%s", instance);
		s->endpoints[i].instance = s->instances[i];
	}
	pthread_mutex_unlock(&a->lock);
}

void
set_fake_rollout(struct agent *a, const char *service, const char *target,
    uint64_t number, int phase)
{
	struct agent_rollout *r = &a->rollouts.items[0];

	pthread_mutex_lock(&a->lock);
	snprintf(r->service, sizeof(r->service), "%s", service);
	snprintf(r->target, sizeof(r->target), "%s", target);
	r->number = number;
	r->phase = phase;
	a->rollouts.count = number != 0;
	a->rollouts.change++;
	pthread_mutex_unlock(&a->lock);
}

void
set_fake_contact(struct agent *a, int64_t contact)
{
	pthread_mutex_lock(&a->lock);
	a->rollouts.received_at = contact;
	pthread_mutex_unlock(&a->lock);
}

void
take_fake_report(struct agent *a, struct buf *out)
{
	pthread_mutex_lock(&a->lock);
	*out = a->report;
	a->report = (struct buf){0};
	pthread_mutex_unlock(&a->lock);
}

void
get_agent_rollouts(struct agent *a, struct rollout_view *out)
{
	pthread_mutex_lock(&a->lock);
	*out = a->rollouts;
	pthread_mutex_unlock(&a->lock);
}

int64_t
get_rollout_contact(struct agent *a)
{
	int64_t at;

	pthread_mutex_lock(&a->lock);
	at = a->rollouts.received_at;
	pthread_mutex_unlock(&a->lock);
	return at;
}

void
report_rollouts(struct agent *a, struct buf *report)
{
	pthread_mutex_lock(&a->lock);
	unload_buf(&a->report);
	a->report = *report;
	pthread_mutex_unlock(&a->lock);
	*report = (struct buf){0};
}

void
set_fake_claims(struct agent *a, enum fake_claim_mode mode)
{
	pthread_mutex_lock(&a->lock);
	a->mode = mode;
	a->release_delayed = false;
	pthread_mutex_unlock(&a->lock);
}

void
release_fake_claims(struct agent *a)
{
	pthread_mutex_lock(&a->lock);
	a->release_delayed = true;
	pthread_cond_broadcast(&a->wake);
	pthread_mutex_unlock(&a->lock);
}

void
hold_fake_key(struct agent *a, const char *key)
{
	struct fake_claim *c;

	pthread_mutex_lock(&a->lock);
	c = &a->claims[a->claim_count++];
	snprintf(c->key, sizeof(c->key), "%s", key);
	c->state = WIRE_CLAIM_OPEN;
	memset(c->id, 0xff, sizeof(c->id));
	pthread_mutex_unlock(&a->lock);
}

int
get_fake_claim(struct agent *a, const char *key)
{
	struct fake_claim *c;
	int state = -1;

	pthread_mutex_lock(&a->lock);
	c = find_claim(a, make_str(key));
	if (c != NULL)
		state = (int)c->state;
	pthread_mutex_unlock(&a->lock);
	return state;
}

int
count_fake_table_refs(struct agent *a)
{
	int n;

	pthread_mutex_lock(&a->lock);
	n = a->table_refs;
	pthread_mutex_unlock(&a->lock);
	return n;
}

int
get_fake_state(struct agent *a)
{
	int n;

	pthread_mutex_lock(&a->lock);
	n = a->state;
	pthread_mutex_unlock(&a->lock);
	return n;
}

uint64_t
count_fake_opens(struct agent *a)
{
	uint64_t n;

	pthread_mutex_lock(&a->lock);
	n = a->opens;
	pthread_mutex_unlock(&a->lock);
	return n;
}

const struct table *
acquire_table(struct agent *a)
{
	const struct table *t = NULL;

	pthread_mutex_lock(&a->lock);
	if (a->has_table) {
		t = a->tables[a->table_count - 1];
		a->table_refs++;
	}
	pthread_mutex_unlock(&a->lock);
	return t;
}

void
release_table(struct agent *a, const struct table *t)
{
	(void)t;
	pthread_mutex_lock(&a->lock);
	a->table_refs--;
	pthread_mutex_unlock(&a->lock);
}

const struct endpoint_set *
acquire_endpoints(struct agent *a, struct str service)
{
	char name[TABLE_NAME_BYTES];
	struct fake_set *s;

	(void)copy_str(name, sizeof(name), service);
	pthread_mutex_lock(&a->lock);
	s = find_set(a, name);
	if (s != NULL)
		s->set.refs++;
	pthread_mutex_unlock(&a->lock);
	return s != NULL ? &s->set : NULL;
}

void
release_endpoints(struct agent *a, const struct endpoint_set *s)
{
	pthread_mutex_lock(&a->lock);
	((struct endpoint_set *)s)->refs--;
	pthread_mutex_unlock(&a->lock);
}

int
announce_endpoint(struct agent *a, const struct wire_endpoint *self)
{
	pthread_mutex_lock(&a->lock);
	a->state = (int)self->state;
	pthread_mutex_unlock(&a->lock);
	return 0;
}

int
render_agent_status(struct agent *a, struct buf *out)
{
	(void)a;
	return append_buf_str(out, make_str("{\"fake\":true}"));
}

/*
 * Grants up to the calls that a test has set with grant_fake_calls(), over all
 * nodes of this agent.
 */
int
request_allotment(struct agent *a, const struct wire_allotment_args *args,
    int timeout_ms, allotment_fn fn, void *arg)
{
	wire_allotment_grant grants[WIRE_ALLOTMENTS_MAX] = {0};
	struct wire_allotment_reply r = {.leader = "", .nodes = 2};
	unsigned int left;

	(void)timeout_ms;
	pthread_mutex_lock(&a->lock);
	left = a->calls_left;
	r.grants.grants_len = args->asks.asks_len;
	r.grants.grants_val = grants;
	for (unsigned int i = 0; i < args->asks.asks_len; i++) {
		unsigned int want = args->asks.asks_val[i].want;

		grants[i].tokens = want < left ? want : left;
		grants[i].room_ms = want > left ? 500 : 0;
		left =
		    left - grants[i].tokens + args->asks.asks_val[i].returned;
	}
	a->calls_left = left;
	a->asks++;
	pthread_mutex_unlock(&a->lock);
	fn(arg, 0, &r);
	return 0;
}

void
cancel_allotment(struct agent *a)
{
	(void)a;
}

/*
 * Keeps the leavings of the only node that reports any.
 */
int
request_leavings(struct agent *a, const struct wire_leaving *items,
    size_t count, int timeout_ms, leavings_fn fn, void *arg)
{
	struct wire_leaving kept[WIRE_LEAVINGS_MAX];
	enum fake_leavings_mode mode;
	size_t n = 0;

	(void)timeout_ms;
	pthread_mutex_lock(&a->lock);
	mode = a->leavings_mode;
	a->leaving_requests++;
	for (size_t i = 0; i < count && mode == FAKE_LEAVINGS_KEPT; i++) {
		size_t at = 0;

		while (at < a->leaving_count &&
		       strcmp(a->leavings[at], items[i].instance) != 0)
			at++;
		a->leaving_count += at == a->leaving_count;
		snprintf(a->leavings[at], sizeof(a->leavings[at]), "%s",
		    items[i].instance);
		if (items[i].born_until_ms > a->born_until_ms[at])
			a->born_until_ms[at] = items[i].born_until_ms;
	}
	for (size_t i = 0; i < a->leaving_count && n < WIRE_LEAVINGS_MAX; i++)
		kept[n++] =
		    (struct wire_leaving){a->leavings[i], a->born_until_ms[i]};
	pthread_mutex_unlock(&a->lock);
	if (mode == FAKE_LEAVINGS_KEPT)
		fn(arg, 0, kept, n);
	else
		fn(arg,
		    mode == FAKE_LEAVINGS_OLD ? ERR_NOT_FOUND : ERR_UNAVAILABLE,
		    NULL, 0);
	return 0;
}

void
cancel_leavings(struct agent *a)
{
	(void)a;
}

void
set_fake_leavings(struct agent *a, enum fake_leavings_mode mode)
{
	pthread_mutex_lock(&a->lock);
	a->leavings_mode = mode;
	pthread_mutex_unlock(&a->lock);
}

uint64_t
count_fake_leaving_requests(struct agent *a)
{
	uint64_t n;

	pthread_mutex_lock(&a->lock);
	n = a->leaving_requests;
	pthread_mutex_unlock(&a->lock);
	return n;
}

void
grant_fake_calls(struct agent *a, unsigned int calls)
{
	pthread_mutex_lock(&a->lock);
	a->calls_left = calls;
	pthread_mutex_unlock(&a->lock);
}

uint64_t
count_fake_asks(struct agent *a)
{
	uint64_t n;

	pthread_mutex_lock(&a->lock);
	n = a->asks;
	pthread_mutex_unlock(&a->lock);
	return n;
}

int
request_claim(
    struct agent *a, const struct claim_request *req, claim_fn fn, void *arg)
{
	struct fake_answer *ans = calloc(1, sizeof(*ans)), **at;

	ans->fn = fn;
	ans->arg = arg;
	ans->due = read_time();
	pthread_mutex_lock(&a->lock);
	if (req->state == WIRE_CLAIM_OPEN)
		a->opens++;
	switch (req->state == WIRE_CLAIM_OPEN ? a->mode : FAKE_CLAIM_NORMAL) {
	case FAKE_CLAIM_NORMAL:
		run_claim(a, req, ans);
		break;
	case FAKE_CLAIM_LOST:
		run_claim(a, req, ans);
		ans->result.status = ERR_TIMEOUT;
		ans->due += req->timeout_ms * NSEC_PER_MSEC;
		break;
	case FAKE_CLAIM_DELAYED:
		run_claim(a, req, ans);
		ans->delayed = true;
		break;
	case FAKE_CLAIM_NO_QUORUM:
		ans->result.status = ERR_UNAVAILABLE;
		break;
	case FAKE_CLAIM_FULL:
		ans->result.status = ERR_LIMIT;
		break;
	}
	for (at = &a->answers; *at != NULL; at = &(*at)->next)
		;
	*at = ans;
	pthread_cond_broadcast(&a->wake);
	pthread_mutex_unlock(&a->lock);
	return 0;
}

/*
 * The thread that sends answers. When the agent closes, it first sends all that
 * are left, delayed ones included.
 */
static void *
answer_claims(void *arg)
{
	struct agent *a = arg;
	struct fake_answer *ans;
	struct timespec until;

	pthread_mutex_lock(&a->lock);
	while (!a->stop || a->answers != NULL) {
		if (a->stop)
			a->release_delayed = true;
		ans = pop_due_answer(a);
		if (ans == NULL) {
			clock_gettime(CLOCK_REALTIME, &until);
			until.tv_nsec += 2 * NSEC_PER_MSEC;
			if (until.tv_nsec >= NSEC_PER_SEC) {
				until.tv_nsec -= NSEC_PER_SEC;
				until.tv_sec++;
			}
			pthread_cond_timedwait(&a->wake, &a->lock, &until);
			continue;
		}
		pthread_mutex_unlock(&a->lock);
		ans->fn(ans->arg, &ans->result);
		free(ans);
		pthread_mutex_lock(&a->lock);
	}
	pthread_mutex_unlock(&a->lock);
	return NULL;
}

/*
 * Removes and returns the first answer that may be sent now, or NULL.
 */
static struct fake_answer *
pop_due_answer(struct agent *a)
{
	struct fake_answer **at, *ans;
	int64_t now = read_time();

	for (at = &a->answers; *at != NULL; at = &(*at)->next) {
		ans = *at;
		if ((ans->delayed && !a->release_delayed) || ans->due > now)
			continue;
		*at = ans->next;
		return ans;
	}
	return NULL;
}

/*
 * Applies a request to the claim store. A claim holds its key, open or closed,
 * unless it was closed as not run: then the next open gets the key.
 */
static void
run_claim(
    struct agent *a, const struct claim_request *req, struct fake_answer *ans)
{
	struct fake_claim *c = find_claim(a, req->key);
	bool own =
	    c != NULL && memcmp(c->id, req->claim_id, sizeof(c->id)) == 0;

	if (req->state == WIRE_CLAIM_OPEN) {
		if (c != NULL && !own && c->state != WIRE_CLAIM_NOT_RUN) {
			ans->result.status = ERR_CONFLICT;
			ans->result.state = c->state;
			ans->result.http_status = c->http_status;
			memcpy(ans->text, c->answer, c->answer_len);
			ans->result.answer =
			    make_str_n(ans->text, c->answer_len);
			ans->result.answer_whole = c->answer_whole;
			return;
		}
		if (c == NULL)
			c = &a->claims[a->claim_count++];
		(void)copy_str(c->key, sizeof(c->key), req->key);
		memcpy(c->id, req->claim_id, sizeof(c->id));
		c->state = WIRE_CLAIM_OPEN;
		return;
	}
	if (!own) {
		ans->result.status = ERR_CONFLICT;
		return;
	}
	c->state = req->state;
	c->http_status = req->http_status;
	c->answer_len = req->answer.len;
	if (req->answer.len > 0)
		memcpy(c->answer, req->answer.data, req->answer.len);
	c->answer_whole = req->answer_whole;
}

static struct fake_claim *
find_claim(struct agent *a, struct str key)
{
	for (int i = 0; i < a->claim_count; i++) {
		if (is_str_equal(make_str(a->claims[i].key), key))
			return &a->claims[i];
	}
	return NULL;
}

static struct fake_set *
find_set(struct agent *a, const char *service)
{
	for (int i = 0; i < a->set_count; i++) {
		if (strcmp(a->sets[i]->set.service, service) == 0)
			return a->sets[i];
	}
	return NULL;
}

/*
 * Replaces old, which may be NULL, by a copy that the caller may change,
 * because readers expect sets to be immutable. The caller has the lock.
 */
static void
replace_set(struct agent *a, struct fake_set *old, const char *service,
    struct fake_set **out)
{
	struct fake_set *s = calloc(1, sizeof(*s));
	int i;

	snprintf(s->set.service, sizeof(s->set.service), "%s", service);
	if (old != NULL) {
		memcpy(s->ids, old->ids, sizeof(s->ids));
		memcpy(s->addresses, old->addresses, sizeof(s->addresses));
		memcpy(s->instances, old->instances, sizeof(s->instances));
		memcpy(s->endpoints, old->endpoints, sizeof(s->endpoints));
		s->set.count = old->set.count;
		for (i = 0; i < FAKE_ENDPOINTS; i++) {
			s->endpoints[i].id = s->ids[i];
			s->endpoints[i].address = s->addresses[i];
			if (s->endpoints[i].instance != NULL)
				s->endpoints[i].instance = s->instances[i];
			s->endpoints[i].service = s->set.service;
		}
	}
	s->set.endpoints = s->endpoints;
	s->set.set_version = ++a->next_set_version;
	s->older = old;
	for (i = 0; i < a->set_count && a->sets[i] != old; i++)
		;
	if (i == a->set_count)
		a->set_count++;
	a->sets[i] = s;
	*out = s;
}

static int64_t
read_time(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}
