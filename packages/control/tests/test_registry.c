/*
 * The endpoint registry: order of records, leases, expiry limits, sets and
 * synchronization.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "registry.h"

#define SEC NSEC_PER_SEC
#define READY WIRE_ENDPOINT_READY
#define DRAINING WIRE_ENDPOINT_DRAINING
#define SUSPECT WIRE_ENDPOINT_SUSPECT
#define GONE WIRE_ENDPOINT_GONE
#define ABSENT 99 /* no record */

static struct wire_endpoint
make_endpoint(const char *id, uint64_t incarnation, uint64_t seq,
    enum wire_endpoint_state state)
{
	return (struct wire_endpoint){
	    .id = (char *)(uintptr_t)id,
	    .incarnation = incarnation,
	    .seq = seq,
	    .service = (char *)(uintptr_t) "svc",
	    .address = (char *)(uintptr_t) "127.0.0.1:9000",
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .slots = 4,
	    .state = state,
	};
}

static struct registry *
open_one(uint64_t self)
{
	struct registry *g = NULL;

	ck_assert_int_eq(open_registry(self, self * 100, &g), 0);
	return g;
}

static int
announce(struct registry *g, int64_t now, const char *id, uint64_t incarnation,
    uint64_t seq, enum wire_endpoint_state state)
{
	struct wire_endpoint e = make_endpoint(id, incarnation, seq, state);

	return announce_endpoint_record(g, now, &e);
}

static int
get_state(struct registry *g, const char *id, uint64_t *owner)
{
	struct registry_record r;
	const void *at = NULL;

	while (next_record(g, &at, &r)) {
		if (strcmp(r.endpoint->id, id) != 0)
			continue;
		if (owner != NULL)
			*owner = r.owner;
		return (int)r.state;
	}
	return ABSENT;
}

/* Sends the queued changes of one registry to another. */
static void
pass_sync(struct registry *from, struct registry *to, int64_t now)
{
	struct wire_sync_args a;
	bool resend;

	while (take_sync(from, &a)) {
		if (to != NULL)
			ck_assert_int_eq(apply_sync(to, now, &a, &resend), 0);
		unload_sync(&a);
	}
}

/* Compares digests and repairs; returns whether they differed. */
static bool
pass_digest(struct registry *from, struct registry *to, int64_t now)
{
	struct wire_sync_args a;
	bool resend, again;
	size_t at = 0;

	give_sync_digest(from, &a);
	ck_assert_int_eq(apply_sync(to, now, &a, &resend), 0);
	if (!resend)
		return false;
	do {
		at = give_sync_all(from, at, &a);
		ck_assert_int_eq(apply_sync(to, now, &a, &again), 0);
		unload_sync(&a);
	} while (at != 0);
	return true;
}

struct order_case {
	uint64_t incarnation, seq;
	enum wire_endpoint_state state;
	int want;
	enum wire_endpoint_state after;
};

/* Announcements of one node in the order of their arrival. */
static const struct order_case order_cases[] = {
    {20, 5, READY, REGISTRY_CHANGED, READY},
    {20, 5, READY, REGISTRY_SAME, READY}, /* doubled */
    {20, 4, DRAINING, ERR_STALE, READY}, /* crossed */
    {10, 9, GONE, ERR_STALE, READY}, /* late, of the earlier incarnation */
    {20, 6, DRAINING, REGISTRY_CHANGED, DRAINING},
    {20, 5, READY, ERR_STALE, DRAINING},
    {20, 7, GONE, REGISTRY_CHANGED, GONE},
    {20, 6, DRAINING, ERR_STALE, GONE},
    {30, 1, READY, REGISTRY_CHANGED, READY},
    {20, 8, GONE, ERR_STALE, READY},
};

/* Guards against an older announcement that replaces a newer one. */
START_TEST(records_are_ordered_by_incarnation_and_seq)
{
	struct registry *g = open_one(1);
	uint64_t version = 1;

	for (size_t i = 0; i < sizeof(order_cases) / sizeof(order_cases[0]);
	     i++) {
		const struct order_case *c = &order_cases[i];
		uint64_t now;

		ck_assert_int_eq(
		    announce(g, SEC, "n", c->incarnation, c->seq, c->state),
		    c->want);
		ck_assert_int_eq(get_state(g, "n", NULL), c->after);
		now = get_set_version(g, make_str("svc"));
		ck_assert_int_eq(now > version, c->want == REGISTRY_CHANGED);
		version = now;
	}
	close_registry(g);
}
END_TEST

/*
 * Guards against divergence when records of several nodes arrive crossed and
 * doubled over two control processes: the newest must win on all.
 */
START_TEST(crossed_and_doubled_records_converge)
{
	enum {
		NODES = 5,
		SENT = 400
	};
	struct registry *g[3] = {open_one(1), open_one(2), open_one(3)};
	struct rng r;
	uint64_t newest[NODES] = {0};
	char id[16];

	seed_rng(&r, 5);
	for (int i = 0; i < SENT; i++) {
		int n = (int)draw_below(&r, NODES);
		uint64_t inc = 1 + draw_below(&r, 10);
		uint64_t seq = draw_below(&r, 10);

		/* One announcement has one content everywhere. */
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g[draw_below(&r, 3)], SEC, id, inc, seq,
		    (inc + seq) % 2 == 0 ? READY : DRAINING);
		if (inc * 100 + seq > newest[n])
			newest[n] = inc * 100 + seq;
		if (draw_below(&r, 4) == 0) {
			size_t a = draw_below(&r, 3), b = draw_below(&r, 3);

			/* to one peer, and lost on the way to the other */
			pass_sync(g[a], a != b ? g[b] : NULL, SEC);
		}
	}
	for (int round = 0; round < 3; round++) {
		for (int a = 0; a < 3; a++) {
			for (int b = 0; b < 3; b++) {
				if (a != b)
					pass_digest(
					    g[a], g[b], (2 + round) * SEC);
			}
		}
	}
	for (int n = 0; n < NODES; n++) {
		enum wire_endpoint_state want =
		    (newest[n] / 100 + newest[n] % 100) % 2 == 0 ? READY :
								   DRAINING;

		snprintf(id, sizeof(id), "n%d", n);
		for (int a = 0; a < 3; a++)
			ck_assert_int_eq(get_state(g[a], id, NULL), want);
	}
	for (int a = 0; a < 3; a++)
		close_registry(g[a]);
}
END_TEST

enum lease_kind {
	SILENT,
	CLOSED,
	HEARD,
	CUT_OFF,
	RETURNED
};

struct lease_case {
	enum lease_kind kind;
	int64_t at_s;
	int want;
};

static const struct lease_case lease_cases[] = {
    {SILENT, 29, READY},
    {SILENT, 30, GONE},
    {CLOSED, 4, READY},
    {CLOSED, 5, GONE},
    {HEARD, 39, READY}, /* heard at 10 s */
    {HEARD, 40, GONE},
    {CUT_OFF, 500, READY}, /* no quorum contact: nothing expires */
    {RETURNED, 129, READY}, /* contact again at 100 s: a new lease */
    {RETURNED, 130, GONE},
};

/* Guards against eviction too early, too late or while partitioned. */
START_TEST(leases_end_on_time)
{
	const struct lease_case *c = &lease_cases[_i];
	struct registry *g = open_one(1);

	tick_registry(g, 0, true);
	(void)announce(g, 0, "n", 1, 1, READY);
	if (c->kind == CLOSED)
		close_node(g, 0, make_str("n"));
	for (int64_t s = 0; s <= c->at_s; s++) {
		bool contact = c->kind == CUT_OFF ? s == 0 : true;

		if (c->kind == RETURNED && s > 0 && s < 100)
			contact = false;
		if (c->kind == HEARD && s == 10)
			hear_node(g, s * SEC, make_str("n"));
		if (s == 0 && c->kind == CLOSED)
			continue;
		tick_registry(g, s * SEC, contact);
	}
	ck_assert_int_eq(get_state(g, "n", NULL), c->want);
	close_registry(g);
}
END_TEST

struct mass_case {
	int nodes;
	int silent;
	int gone; /* wanted after the first expiry */
	int gone_later; /* wanted after a minute more */
};

static const struct mass_case mass_cases[] = {
    {1, 1, 1, 1},
    {2, 2, 1, 2},
    {3, 3, 1, 2},
    {10, 2, 2, 2},
    {10, 10, 3, 5},
    {100, 100, 30, 51},
    {100, 30, 30, 30},
};

/* Guards against evicting a service because of a fault of the network. */
START_TEST(mass_silence_expires_at_most_a_share)
{
	const struct mass_case *c = &mass_cases[_i];
	struct registry *g = open_one(1);
	char id[16];

	tick_registry(g, 0, true);
	for (int n = 0; n < c->nodes; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g, 0, id, 1, 1, READY);
	}
	for (int64_t s = 1; s <= 91; s++) {
		int count[5] = {0};

		for (int n = c->silent; n < c->nodes; n++) {
			snprintf(id, sizeof(id), "n%d", n);
			hear_node(g, s * SEC, make_str(id));
		}
		tick_registry(g, s * SEC, true);
		for (int n = 0; n < c->nodes; n++) {
			snprintf(id, sizeof(id), "n%d", n);
			count[get_state(g, id, NULL)]++;
		}
		if (s < 30)
			ck_assert_int_eq(count[READY], c->nodes);
		else if (s < 90)
			ck_assert_int_eq(count[GONE], c->gone);
		else if (s == 91)
			ck_assert_int_eq(count[GONE], c->gone_later);
		if (s >= 30)
			ck_assert_int_eq(
			    count[SUSPECT], c->silent - count[GONE]);
	}
	/* A node that is heard again is listed at once. */
	for (int n = 0; n < c->silent; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		hear_node(g, 92 * SEC, make_str(id));
		ck_assert_int_eq(get_state(g, id, NULL), READY);
	}
	close_registry(g);
}
END_TEST

/*
 * Guards against the limit being applied by each control process alone, which
 * would let three of them evict almost a whole service.
 */
START_TEST(expiries_of_peers_count_for_the_limit)
{
	struct registry *g[3] = {open_one(1), open_one(2), open_one(3)};
	char id[16];
	int gone = 0;

	for (int a = 0; a < 3; a++)
		tick_registry(g[a], 0, true);
	for (int n = 0; n < 30; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g[n % 3], 0, id, 1, 1, READY);
	}
	for (int a = 0; a < 3; a++) {
		pass_digest(g[a], g[(a + 1) % 3], 0);
		pass_digest(g[a], g[(a + 2) % 3], 0);
	}
	for (int n = 0; n < 30; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		close_node(g[n % 3], SEC, make_str(id));
	}
	for (int a = 0; a < 3; a++) {
		struct wire_sync_args m;
		bool resend;

		tick_registry(g[a], 7 * SEC, true);
		while (take_sync(g[a], &m)) {
			for (int b = 0; b < 3; b++) {
				if (b != a)
					apply_sync(g[b], 7 * SEC, &m, &resend);
			}
			unload_sync(&m);
		}
	}
	for (int n = 0; n < 30; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		gone += get_state(g[0], id, NULL) == GONE;
	}
	ck_assert_int_eq(gone, 9);
	for (int a = 0; a < 3; a++)
		close_registry(g[a]);
}
END_TEST

/*
 * Guards against a late announcement that brings a forgotten node back, and
 * against a node that cannot come back itself.
 */
START_TEST(forgotten_records_bar_older_incarnations)
{
	struct registry *g = open_one(1), *peer = open_one(2);
	struct wire_sync_args a;
	bool resend;

	tick_registry(g, 0, true);
	(void)announce(peer, 0, "n", 10, 3, READY);
	pass_sync(peer, g, 0);
	(void)announce(g, 0, "n", 20, 1, READY);
	(void)announce(g, 0, "gone", 20, 2, GONE);
	tick_registry(g, 30 * SEC, true);
	ck_assert_int_eq(get_state(g, "n", NULL), GONE);
	tick_registry(g, 30 * SEC + REGISTRY_GONE_NS, true);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);
	ck_assert_int_eq(get_state(g, "gone", NULL), ABSENT);

	ck_assert_int_eq(announce(g, 400 * SEC, "n", 10, 4, READY), ERR_STALE);
	ck_assert_int_eq(
	    announce(g, 400 * SEC, "gone", 20, 1, READY), ERR_STALE);
	(void)give_sync_all(peer, 0, &a);
	ck_assert_int_eq(apply_sync(g, 400 * SEC, &a, &resend), 0);
	unload_sync(&a);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);

	/* The silent node was only cut off: it returns unchanged. */
	ck_assert_int_eq(
	    announce(g, 401 * SEC, "n", 20, 1, READY), REGISTRY_CHANGED);
	ck_assert_int_eq(get_state(g, "n", NULL), READY);
	close_registry(g);
	close_registry(peer);
}
END_TEST

/* Guards against a move between control processes that ends in expiry. */
START_TEST(a_moved_node_belongs_to_its_new_process)
{
	struct registry *a = open_one(1), *b = open_one(2), *c = open_one(3);
	struct wire_sync_args m, late;
	uint64_t owner = 0;
	bool resend;

	tick_registry(a, 0, true);
	tick_registry(c, 0, true);
	(void)announce(a, 0, "n", 1, 1, READY);
	pass_sync(a, b, 0);
	pass_digest(a, c, 0);
	ck_assert_int_eq(get_state(b, "n", &owner), READY);
	ck_assert_uint_eq(owner, 1);

	(void)give_sync_all(a, 0, &late);

	/* It attaches to b with the same record, then its old connection ends. */
	ck_assert_int_eq(announce(b, 3 * SEC, "n", 1, 1, READY), REGISTRY_SAME);
	ck_assert(take_sync(b, &m));
	ck_assert_int_eq(apply_sync(a, 3 * SEC, &m, &resend), 0);
	ck_assert_int_eq(apply_sync(c, 3 * SEC, &m, &resend), 0);
	unload_sync(&m);
	close_node(a, 3 * SEC, make_str("n"));
	tick_registry(a, 20 * SEC, true);
	ck_assert_int_eq(get_state(a, "n", &owner), READY);
	ck_assert_uint_eq(owner, 2);

	/* A list that the old owner sent before does not move it back. */
	ck_assert_int_eq(apply_sync(c, 20 * SEC, &late, &resend), 0);
	unload_sync(&late);
	(void)get_state(c, "n", &owner);
	ck_assert_uint_eq(owner, 2);

	/* The new owner expires it; the others follow, then it is heard. */
	tick_registry(b, 3 * SEC, true);
	close_node(b, 21 * SEC, make_str("n"));
	tick_registry(b, 26 * SEC, true);
	ck_assert_int_eq(get_state(b, "n", NULL), GONE);
	ck_assert(take_sync(b, &m));
	ck_assert_int_eq(apply_sync(c, 26 * SEC, &m, &resend), 0);
	unload_sync(&m);
	ck_assert_int_eq(get_state(c, "n", NULL), GONE);
	hear_node(b, 27 * SEC, make_str("n"));
	pass_sync(b, c, 27 * SEC);
	ck_assert_int_eq(get_state(c, "n", NULL), READY);
	close_registry(a);
	close_registry(b);
	close_registry(c);
}
END_TEST

/* Guards against losses that last: the digest must find and repair them. */
START_TEST(digest_repairs_lost_changes)
{
	struct registry *a = open_one(1), *b = open_one(2);
	uint64_t owner = 7;
	char id[16];

	for (int n = 0; n < 5000; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(a, 0, id, 1, 1, READY);
	}
	pass_sync(a, NULL, 0);
	ck_assert(pass_digest(a, b, SEC));
	ck_assert(!pass_digest(a, b, SEC));
	ck_assert_int_eq(get_state(b, "n4999", NULL), READY);
	(void)announce(a, 0, "n7", 1, 2, DRAINING);
	(void)announce(a, 0, "n8", 1, 2, GONE);
	pass_sync(a, NULL, 0);
	ck_assert(pass_digest(a, b, SEC));
	ck_assert(!pass_digest(a, b, SEC));
	ck_assert_int_eq(get_state(b, "n7", NULL), DRAINING);
	ck_assert_int_eq(get_state(b, "n8", NULL), GONE);
	close_registry(a);

	/* A process that restarted owns nothing; its records keep a lease. */
	ck_assert_int_eq(open_registry(1, 101, &a), 0);
	ck_assert(!pass_digest(a, b, 2 * SEC));
	ck_assert_int_eq(get_state(b, "n7", &owner), DRAINING);
	ck_assert_uint_eq(owner, 0);

	/* So does one that lost a record without a restart. */
	(void)announce(a, 2 * SEC, "n1", 1, 1, READY);
	pass_sync(a, b, 2 * SEC);
	(void)announce(b, 4 * SEC, "n1", 1, 1, READY);
	pass_sync(b, a, 4 * SEC);
	ck_assert(!pass_digest(a, b, 4 * SEC));
	(void)get_state(b, "n1", &owner);
	ck_assert_uint_eq(owner, 2);
	close_registry(a);
	close_registry(b);
}
END_TEST

/*
 * Guards against an endless repair: a record that left its owner unnoticed
 * must not keep the digests apart.
 */
START_TEST(complete_list_disowns_what_it_lacks)
{
	struct registry *a = open_one(1), *b = open_one(2), *c = open_one(3);
	uint64_t owner = 7;

	(void)announce(a, 0, "n", 1, 1, READY);
	(void)announce(a, 0, "m", 1, 1, READY);
	pass_sync(a, b, 0);
	pass_digest(a, c, 0);
	(void)announce(b, 2 * SEC, "n", 1, 1, READY);
	pass_sync(b, a, 2 * SEC); /* lost on the way to c */
	ck_assert(pass_digest(a, c, 3 * SEC));
	ck_assert(!pass_digest(a, c, 3 * SEC));
	ck_assert_int_eq(get_state(c, "n", &owner), READY);
	ck_assert_uint_eq(owner, 0);
	(void)get_state(c, "m", &owner);
	ck_assert_uint_eq(owner, 1);
	ck_assert(pass_digest(b, c, 3 * SEC));
	(void)get_state(c, "n", &owner);
	ck_assert_uint_eq(owner, 2);
	close_registry(a);
	close_registry(b);
	close_registry(c);
}
END_TEST

/* Guards against a node that keeps an endpoint whose record is forgotten. */
START_TEST(forgotten_records_leave_older_sets)
{
	struct registry *g = open_one(1);
	struct wire_endpoint_set s;
	uint64_t held;

	tick_registry(g, 0, true);
	(void)announce(g, 0, "n", 1, 1, READY);
	held = get_set_version(g, make_str("svc"));
	(void)announce(g, 0, "n", 1, 2, GONE);
	tick_registry(g, REGISTRY_GONE_NS, true);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);
	ck_assert_uint_gt(get_set_version(g, make_str("svc")), held);
	ck_assert_int_eq(list_endpoints(g, make_str("svc"), held, &s), 0);
	ck_assert(s.whole);
	ck_assert_uint_eq(s.endpoints.endpoints_len, 0);
	free(s.endpoints.endpoints_val);
	close_registry(g);
}
END_TEST

/* A set as a node keeps it. */
struct held_set {
	uint64_t version;
	int states[64]; /* by number of the node; ABSENT */
};

static void
update_held(struct held_set *h, const struct registry *g)
{
	struct wire_endpoint_set s;

	ck_assert_int_eq(list_endpoints(g, make_str("svc"), h->version, &s), 0);
	if (s.whole) {
		for (int n = 0; n < 64; n++)
			h->states[n] = ABSENT;
	}
	for (unsigned int i = 0; i < s.endpoints.endpoints_len; i++) {
		const struct wire_endpoint *e = &s.endpoints.endpoints_val[i];
		int n = atoi(e->id + 1);

		h->states[n] = e->state == GONE ? ABSENT : (int)e->state;
	}
	ck_assert_uint_ge(s.set_version, h->version);
	h->version = s.set_version;
	free(s.endpoints.endpoints_val);
}

/*
 * Guards against changes that a node never learns: sets kept by changes since
 * a version must equal the registry after any sequence.
 */
START_TEST(changes_since_a_version_give_the_set)
{
	struct registry *g = open_one(1);
	struct held_set held[4];
	struct rng r;
	uint64_t seq = 0;
	int64_t now = 0;

	seed_rng(&r, 9);
	for (int i = 0; i < 4; i++) {
		held[i].version = 0;
		for (int n = 0; n < 64; n++)
			held[i].states[n] = ABSENT;
	}
	tick_registry(g, 0, true);
	for (int i = 0; i < 6000; i++) {
		char id[16];
		struct wire_endpoint e;

		snprintf(id, sizeof(id), "n%u", (unsigned)draw_below(&r, 64));
		e = make_endpoint(
		    id, 1, ++seq, (enum wire_endpoint_state)draw_below(&r, 4));
		if (draw_below(&r, 8) == 0)
			e.service = (char *)(uintptr_t) "other";
		if (draw_below(&r, 3) == 0)
			(void)announce_endpoint_record(g, now, &e);
		else
			hear_node(g, now, make_str(id));
		now += (int64_t)draw_below(&r, 3) * SEC;
		tick_registry(g, now, true);
		update_held(&held[0], g);
		if (draw_below(&r, 50) == 0)
			update_held(&held[1], g);
		if (draw_below(&r, 2000) == 0)
			update_held(&held[2], g);
	}
	for (int i = 0; i < 4; i++)
		update_held(&held[i], g);
	for (int i = 0; i < 3; i++)
		ck_assert_mem_eq(
		    held[i].states, held[3].states, sizeof(held[i].states));
	close_registry(g);
}
END_TEST

/* Guards against a relay that keeps what its voter no longer lists. */
START_TEST(relay_follows_its_voter)
{
	struct registry *voter = open_one(1), *relay = open_one(9);
	struct wire_endpoint_set s;
	uint64_t held = 0;

	tick_registry(voter, 0, true);
	tick_registry(relay, 0, true);
	(void)announce(voter, 0, "v", 1, 1, READY);
	(void)announce(voter, 0, "w", 1, 1, READY);
	(void)announce(relay, 0, "r", 1, 1, READY);
	pass_sync(relay, voter, 0);
	for (int64_t t = 1; t <= 40; t++) {
		hear_node(voter, t * SEC, make_str("w"));
		hear_node(relay, t * SEC, make_str("r"));
		pass_sync(relay, voter, t * SEC);
		tick_registry(voter, t * SEC, true);
		tick_registry(relay, t * SEC, true);
		ck_assert_int_eq(
		    list_endpoints(voter, make_str("svc"), held, &s), 0);
		ck_assert_int_eq(apply_upstream(relay, t * SEC, &s), 0);
		held = s.set_version;
		free(s.endpoints.endpoints_val);
		ck_assert_int_eq(get_state(relay, "v", NULL),
		    t < 30 ? (int)READY : (int)GONE);
		ck_assert_int_eq(get_state(relay, "w", NULL), READY);
		ck_assert_int_eq(get_state(relay, "r", NULL), READY);
	}
	/* Another voter that lists neither: a whole set removes them. */
	struct registry *fresh = open_one(2);

	ck_assert_int_eq(list_endpoints(fresh, make_str("svc"), 0, &s), 0);
	ck_assert_int_eq(apply_upstream(relay, 41 * SEC, &s), 0);
	free(s.endpoints.endpoints_val);
	ck_assert_int_eq(get_state(relay, "w", NULL), GONE);
	ck_assert_int_eq(get_state(relay, "r", NULL), READY);
	/* The node that the voter expired attaches here with its old record. */
	ck_assert_int_ge(announce(relay, 42 * SEC, "v", 1, 1, READY), 0);
	ck_assert_int_eq(get_state(relay, "v", NULL), READY);
	close_registry(voter);
	close_registry(relay);
	close_registry(fresh);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("registry");
	TCase *t = tcase_create("registry");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, records_are_ordered_by_incarnation_and_seq);
	tcase_add_test(t, crossed_and_doubled_records_converge);
	tcase_add_loop_test(t, leases_end_on_time, 0,
	    sizeof(lease_cases) / sizeof(lease_cases[0]));
	tcase_add_loop_test(t, mass_silence_expires_at_most_a_share, 0,
	    sizeof(mass_cases) / sizeof(mass_cases[0]));
	tcase_add_test(t, expiries_of_peers_count_for_the_limit);
	tcase_add_test(t, forgotten_records_bar_older_incarnations);
	tcase_add_test(t, a_moved_node_belongs_to_its_new_process);
	tcase_add_test(t, digest_repairs_lost_changes);
	tcase_add_test(t, complete_list_disowns_what_it_lacks);
	tcase_add_test(t, forgotten_records_leave_older_sets);
	tcase_add_test(t, changes_since_a_version_give_the_set);
	tcase_add_test(t, relay_follows_its_voter);
	suite_add_tcase(suite, t);
	r = srunner_create(suite);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
