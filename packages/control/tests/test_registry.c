/*
 * The endpoint registry: ordering of records, leases, expiry limits, sets and
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
open_test_registry(uint64_t self)
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

/* Sends the queued changes to another registry; NULL: they are lost. */
static void
transfer_sync(struct registry *from, struct registry *to, int64_t now)
{
	struct wire_sync_args a;
	bool resend;

	while (pop_sync(from, &a)) {
		if (to != NULL)
			ck_assert_int_eq(apply_sync(to, now, &a, &resend), 0);
		unload_sync(&a);
	}
}

/* Compares digests and repairs a mismatch; returns whether there was one. */
static bool
exchange_digest(struct registry *from, struct registry *to, int64_t now)
{
	struct wire_sync_args a;
	bool resend, again;
	size_t at = 0;

	fill_sync_digest(from, &a);
	ck_assert_int_eq(apply_sync(to, now, &a, &resend), 0);
	if (!resend)
		return false;
	do {
		at = fill_sync_all(from, at, &a);
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

/* Announcements of one node in order of arrival. */
static const struct order_case order_cases[] = {
    {20, 5, READY, REGISTRY_CHANGED, READY},
    {20, 5, READY, REGISTRY_UNCHANGED, READY}, /* duplicate */
    {20, 4, DRAINING, ERR_STALE, READY}, /* reordered */
    {10, 9, GONE, ERR_STALE, READY}, /* delayed, of an earlier incarnation */
    {20, 6, DRAINING, REGISTRY_CHANGED, DRAINING},
    {20, 5, READY, ERR_STALE, DRAINING},
    {20, 7, GONE, REGISTRY_CHANGED, GONE},
    {20, 6, DRAINING, ERR_STALE, GONE},
    {30, 1, READY, REGISTRY_CHANGED, READY},
    {20, 8, GONE, ERR_STALE, READY},
};

/* Guards against a delayed older announcement that replaces a newer one. */
START_TEST(records_are_ordered_by_incarnation_and_seq)
{
	struct registry *g = open_test_registry(1);
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
 * Guards against control processes that diverge when the records of several
 * nodes arrive reordered, duplicated or not at all: after the repair by digest
 * the newest record must win on all of them.
 */
START_TEST(reordered_and_duplicated_records_converge)
{
	enum {
		NODES = 5,
		SENT = 400
	};
	struct registry *g[3] = {open_test_registry(1), open_test_registry(2),
	    open_test_registry(3)};
	struct rng r;
	uint64_t newest[NODES] = {0};
	char id[16];

	seed_rng(&r, 5);
	for (int i = 0; i < SENT; i++) {
		int n = (int)draw_below(&r, NODES);
		uint64_t inc = 1 + draw_below(&r, 10);
		uint64_t seq = draw_below(&r, 10);

		/* The state follows from incarnation and sequence. */
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g[draw_below(&r, 3)], SEC, id, inc, seq,
		    (inc + seq) % 2 == 0 ? READY : DRAINING);
		if (inc * 100 + seq > newest[n])
			newest[n] = inc * 100 + seq;
		if (draw_below(&r, 4) == 0) {
			size_t a = draw_below(&r, 3), b = draw_below(&r, 3);

			/* to one peer only; with a == b to none */
			transfer_sync(g[a], a != b ? g[b] : NULL, SEC);
		}
	}
	for (int round = 0; round < 3; round++) {
		for (int a = 0; a < 3; a++) {
			for (int b = 0; b < 3; b++) {
				if (a != b)
					exchange_digest(
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
	NO_CONTACT,
	DISCONNECTED,
	CONTACTED,
	PARTITIONED,
	RECONNECTED
};

struct lease_case {
	enum lease_kind kind;
	int64_t at_s;
	int want;
};

static const struct lease_case lease_cases[] = {
    {NO_CONTACT, 29, READY},
    {NO_CONTACT, 30, GONE},
    {DISCONNECTED, 4, READY},
    {DISCONNECTED, 5, GONE},
    {CONTACTED, 39, READY}, /* contact at 10 s */
    {CONTACTED, 40, GONE},
    {PARTITIONED, 500, READY}, /* without quorum contact nothing expires */
    {RECONNECTED, 129, READY}, /* contact returns at 100 s: leases restart */
    {RECONNECTED, 130, GONE},
};

/* Guards against expiry that is too early, too late or during a partition. */
START_TEST(leases_end_on_time)
{
	const struct lease_case *c = &lease_cases[_i];
	struct registry *g = open_test_registry(1);

	tick_registry(g, 0, true);
	(void)announce(g, 0, "n", 1, 1, READY);
	if (c->kind == DISCONNECTED)
		record_node_disconnect(g, 0, make_str("n"));
	for (int64_t s = 0; s <= c->at_s; s++) {
		bool contact = c->kind == PARTITIONED ? s == 0 : true;

		if (c->kind == RECONNECTED && s > 0 && s < 100)
			contact = false;
		if (c->kind == CONTACTED && s == 10)
			record_node_contact(g, s * SEC, make_str("n"));
		if (s == 0 && c->kind == DISCONNECTED)
			continue;
		tick_registry(g, s * SEC, contact);
	}
	ck_assert_int_eq(get_state(g, "n", NULL), c->want);
	close_registry(g);
}
END_TEST

struct mass_case {
	int nodes;
	int unresponsive;
	int gone; /* expected after the first expiry */
	int gone_later; /* expected a minute later */
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

/* Guards against expiring most of a service because of a network fault. */
START_TEST(mass_timeout_expires_a_limited_share)
{
	const struct mass_case *c = &mass_cases[_i];
	struct registry *g = open_test_registry(1);
	char id[16];

	tick_registry(g, 0, true);
	for (int n = 0; n < c->nodes; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g, 0, id, 1, 1, READY);
	}
	for (int64_t s = 1; s <= 91; s++) {
		int count[5] = {0};

		for (int n = c->unresponsive; n < c->nodes; n++) {
			snprintf(id, sizeof(id), "n%d", n);
			record_node_contact(g, s * SEC, make_str(id));
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
			    count[SUSPECT], c->unresponsive - count[GONE]);
	}
	/* A node is listed again with its next contact. */
	for (int n = 0; n < c->unresponsive; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		record_node_contact(g, 92 * SEC, make_str(id));
		ck_assert_int_eq(get_state(g, id, NULL), READY);
	}
	close_registry(g);
}
END_TEST

/*
 * Guards against an expiry limit that counts only the expiries of one process:
 * three control processes would then expire almost a whole service.
 */
START_TEST(expiries_on_peers_count_towards_the_limit)
{
	struct registry *g[3] = {open_test_registry(1), open_test_registry(2),
	    open_test_registry(3)};
	char id[16];
	int gone = 0;

	for (int a = 0; a < 3; a++)
		tick_registry(g[a], 0, true);
	for (int n = 0; n < 30; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(g[n % 3], 0, id, 1, 1, READY);
	}
	for (int a = 0; a < 3; a++) {
		exchange_digest(g[a], g[(a + 1) % 3], 0);
		exchange_digest(g[a], g[(a + 2) % 3], 0);
	}
	for (int n = 0; n < 30; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		record_node_disconnect(g[n % 3], SEC, make_str(id));
	}
	for (int a = 0; a < 3; a++) {
		struct wire_sync_args m;
		bool resend;

		tick_registry(g[a], 7 * SEC, true);
		while (pop_sync(g[a], &m)) {
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
 * Guards against a delayed older announcement that restores a removed node, and
 * against a removed node that cannot return with its own announcement.
 */
START_TEST(tombstones_reject_older_incarnations)
{
	struct registry *g = open_test_registry(1),
			*peer = open_test_registry(2);
	struct wire_sync_args a;
	bool resend;

	tick_registry(g, 0, true);
	(void)announce(peer, 0, "n", 10, 3, READY);
	transfer_sync(peer, g, 0);
	(void)announce(g, 0, "n", 20, 1, READY);
	(void)announce(g, 0, "gone", 20, 2, GONE);
	tick_registry(g, 30 * SEC, true);
	ck_assert_int_eq(get_state(g, "n", NULL), GONE);
	tick_registry(g, 30 * SEC + REGISTRY_GONE_KEEP_NS, true);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);
	ck_assert_int_eq(get_state(g, "gone", NULL), ABSENT);

	ck_assert_int_eq(announce(g, 400 * SEC, "n", 10, 4, READY), ERR_STALE);
	ck_assert_int_eq(
	    announce(g, 400 * SEC, "gone", 20, 1, READY), ERR_STALE);
	(void)fill_sync_all(peer, 0, &a);
	ck_assert_int_eq(apply_sync(g, 400 * SEC, &a, &resend), 0);
	unload_sync(&a);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);

	/* The expired node was only partitioned: its own record restores it. */
	ck_assert_int_eq(
	    announce(g, 401 * SEC, "n", 20, 1, READY), REGISTRY_CHANGED);
	ck_assert_int_eq(get_state(g, "n", NULL), READY);
	close_registry(g);
	close_registry(peer);
}
END_TEST

/*
 * Guards against a node that expires after it moved to another control process,
 * because the old owner still counts its closed connection or lease.
 */
START_TEST(moved_node_belongs_to_its_new_process)
{
	struct registry *a = open_test_registry(1), *b = open_test_registry(2),
			*c = open_test_registry(3);
	struct wire_sync_args m, delayed;
	uint64_t owner = 0;
	bool resend;

	tick_registry(a, 0, true);
	tick_registry(c, 0, true);
	(void)announce(a, 0, "n", 1, 1, READY);
	transfer_sync(a, b, 0);
	exchange_digest(a, c, 0);
	ck_assert_int_eq(get_state(b, "n", &owner), READY);
	ck_assert_uint_eq(owner, 1);

	(void)fill_sync_all(a, 0, &delayed);

	/* It attaches to b with the same record; its old connection closes. */
	ck_assert_int_eq(
	    announce(b, 3 * SEC, "n", 1, 1, READY), REGISTRY_UNCHANGED);
	ck_assert(pop_sync(b, &m));
	ck_assert_int_eq(apply_sync(a, 3 * SEC, &m, &resend), 0);
	ck_assert_int_eq(apply_sync(c, 3 * SEC, &m, &resend), 0);
	unload_sync(&m);
	record_node_disconnect(a, 3 * SEC, make_str("n"));
	tick_registry(a, 20 * SEC, true);
	ck_assert_int_eq(get_state(a, "n", &owner), READY);
	ck_assert_uint_eq(owner, 2);

	/* A delayed list of the old owner does not move it back. */
	ck_assert_int_eq(apply_sync(c, 20 * SEC, &delayed, &resend), 0);
	unload_sync(&delayed);
	(void)get_state(c, "n", &owner);
	ck_assert_uint_eq(owner, 2);

	/* The owner expires it, the others follow; a contact restores it. */
	tick_registry(b, 3 * SEC, true);
	record_node_disconnect(b, 21 * SEC, make_str("n"));
	tick_registry(b, 26 * SEC, true);
	ck_assert_int_eq(get_state(b, "n", NULL), GONE);
	ck_assert(pop_sync(b, &m));
	ck_assert_int_eq(apply_sync(c, 26 * SEC, &m, &resend), 0);
	unload_sync(&m);
	ck_assert_int_eq(get_state(c, "n", NULL), GONE);
	record_node_contact(b, 27 * SEC, make_str("n"));
	transfer_sync(b, c, 27 * SEC);
	ck_assert_int_eq(get_state(c, "n", NULL), READY);
	close_registry(a);
	close_registry(b);
	close_registry(c);
}
END_TEST

/*
 * Guards against lost messages that leave registries different for good: the
 * digest must detect and repair it.
 */
START_TEST(digest_repairs_lost_changes)
{
	struct registry *a = open_test_registry(1), *b = open_test_registry(2);
	uint64_t owner = 7;
	char id[16];

	for (int n = 0; n < 5000; n++) {
		snprintf(id, sizeof(id), "n%d", n);
		(void)announce(a, 0, id, 1, 1, READY);
	}
	transfer_sync(a, NULL, 0);
	ck_assert(exchange_digest(a, b, SEC));
	ck_assert(!exchange_digest(a, b, SEC));
	ck_assert_int_eq(get_state(b, "n4999", NULL), READY);
	(void)announce(a, 0, "n7", 1, 2, DRAINING);
	(void)announce(a, 0, "n8", 1, 2, GONE);
	transfer_sync(a, NULL, 0);
	ck_assert(exchange_digest(a, b, SEC));
	ck_assert(!exchange_digest(a, b, SEC));
	ck_assert_int_eq(get_state(b, "n7", NULL), DRAINING);
	ck_assert_int_eq(get_state(b, "n8", NULL), GONE);
	close_registry(a);

	/* A restarted process owns nothing; its records keep their lease. */
	ck_assert_int_eq(open_registry(1, 101, &a), 0);
	ck_assert(!exchange_digest(a, b, 2 * SEC));
	ck_assert_int_eq(get_state(b, "n7", &owner), DRAINING);
	ck_assert_uint_eq(owner, 0);

	/* A node that moves to b without a restart of a belongs to b. */
	(void)announce(a, 2 * SEC, "n1", 1, 1, READY);
	transfer_sync(a, b, 2 * SEC);
	(void)announce(b, 4 * SEC, "n1", 1, 1, READY);
	transfer_sync(b, a, 4 * SEC);
	ck_assert(!exchange_digest(a, b, 4 * SEC));
	(void)get_state(b, "n1", &owner);
	ck_assert_uint_eq(owner, 2);
	close_registry(a);
	close_registry(b);
}
END_TEST

/*
 * Guards against an endless repair: c misses that a record moved from a to b,
 * and its digest of a's records would never match.
 */
START_TEST(complete_list_disowns_unlisted_records)
{
	struct registry *a = open_test_registry(1), *b = open_test_registry(2),
			*c = open_test_registry(3);
	uint64_t owner = 7;

	(void)announce(a, 0, "n", 1, 1, READY);
	(void)announce(a, 0, "m", 1, 1, READY);
	transfer_sync(a, b, 0);
	exchange_digest(a, c, 0);
	(void)announce(b, 2 * SEC, "n", 1, 1, READY);
	transfer_sync(b, a, 2 * SEC); /* not received by c */
	ck_assert(exchange_digest(a, c, 3 * SEC));
	ck_assert(!exchange_digest(a, c, 3 * SEC));
	ck_assert_int_eq(get_state(c, "n", &owner), READY);
	ck_assert_uint_eq(owner, 0);
	(void)get_state(c, "m", &owner);
	ck_assert_uint_eq(owner, 1);
	ck_assert(exchange_digest(b, c, 3 * SEC));
	(void)get_state(c, "n", &owner);
	ck_assert_uint_eq(owner, 2);
	close_registry(a);
	close_registry(b);
	close_registry(c);
}
END_TEST

/*
 * Guards against a node that keeps an endpoint because its record was removed
 * before the node had read the change to GONE.
 */
START_TEST(removed_records_leave_older_sets)
{
	struct registry *g = open_test_registry(1);
	struct wire_endpoint_set s;
	uint64_t known;

	tick_registry(g, 0, true);
	(void)announce(g, 0, "n", 1, 1, READY);
	known = get_set_version(g, make_str("svc"));
	(void)announce(g, 0, "n", 1, 2, GONE);
	tick_registry(g, REGISTRY_GONE_KEEP_NS, true);
	ck_assert_int_eq(get_state(g, "n", NULL), ABSENT);
	ck_assert_uint_gt(get_set_version(g, make_str("svc")), known);
	ck_assert_int_eq(list_endpoints(g, make_str("svc"), known, &s), 0);
	ck_assert(s.whole);
	ck_assert_uint_eq(s.endpoints.endpoints_len, 0);
	free(s.endpoints.endpoints_val);
	close_registry(g);
}
END_TEST

/* A node's copy of a set. */
struct node_set {
	uint64_t version;
	int states[64]; /* by node number; ABSENT: not in the set */
};

static void
update_node_set(struct node_set *h, const struct registry *g)
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
 * Guards against changes that never reach a node: copies that are updated with
 * deltas, often or rarely, must equal a full set after random changes.
 */
START_TEST(changes_since_a_version_rebuild_the_set)
{
	struct registry *g = open_test_registry(1);
	struct node_set sets[4];
	struct rng r;
	uint64_t seq = 0;
	int64_t now = 0;

	seed_rng(&r, 9);
	for (int i = 0; i < 4; i++) {
		sets[i].version = 0;
		for (int n = 0; n < 64; n++)
			sets[i].states[n] = ABSENT;
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
			record_node_contact(g, now, make_str(id));
		now += (int64_t)draw_below(&r, 3) * SEC;
		tick_registry(g, now, true);
		update_node_set(&sets[0], g);
		if (draw_below(&r, 50) == 0)
			update_node_set(&sets[1], g);
		if (draw_below(&r, 2000) == 0)
			update_node_set(&sets[2], g);
	}
	for (int i = 0; i < 4; i++)
		update_node_set(&sets[i], g);
	for (int i = 0; i < 3; i++)
		ck_assert_mem_eq(
		    sets[i].states, sets[3].states, sizeof(sets[i].states));
	close_registry(g);
}
END_TEST

/* Guards against a relay that keeps endpoints its voter no longer lists. */
START_TEST(relay_follows_its_voter)
{
	struct registry *voter = open_test_registry(1),
			*relay = open_test_registry(9);
	struct wire_endpoint_set s;
	uint64_t known = 0;

	tick_registry(voter, 0, true);
	tick_registry(relay, 0, true);
	(void)announce(voter, 0, "v", 1, 1, READY);
	(void)announce(voter, 0, "w", 1, 1, READY);
	(void)announce(relay, 0, "r", 1, 1, READY);
	transfer_sync(relay, voter, 0);
	for (int64_t t = 1; t <= 40; t++) {
		record_node_contact(voter, t * SEC, make_str("w"));
		record_node_contact(relay, t * SEC, make_str("r"));
		transfer_sync(relay, voter, t * SEC);
		tick_registry(voter, t * SEC, true);
		tick_registry(relay, t * SEC, true);
		ck_assert_int_eq(
		    list_endpoints(voter, make_str("svc"), known, &s), 0);
		ck_assert_int_eq(apply_upstream(relay, t * SEC, &s), 0);
		known = s.set_version;
		free(s.endpoints.endpoints_val);
		ck_assert_int_eq(get_state(relay, "v", NULL),
		    t < 30 ? (int)READY : (int)GONE);
		ck_assert_int_eq(get_state(relay, "w", NULL), READY);
		ck_assert_int_eq(get_state(relay, "r", NULL), READY);
	}
	/* The full set of another voter without these nodes removes them. */
	struct registry *fresh = open_test_registry(2);

	ck_assert_int_eq(list_endpoints(fresh, make_str("svc"), 0, &s), 0);
	ck_assert_int_eq(apply_upstream(relay, 41 * SEC, &s), 0);
	free(s.endpoints.endpoints_val);
	ck_assert_int_eq(get_state(relay, "w", NULL), GONE);
	ck_assert_int_eq(get_state(relay, "r", NULL), READY);
	/* A node that the voter expired attaches here with its old record. */
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
	tcase_add_test(t, reordered_and_duplicated_records_converge);
	tcase_add_loop_test(t, leases_end_on_time, 0,
	    sizeof(lease_cases) / sizeof(lease_cases[0]));
	tcase_add_loop_test(t, mass_timeout_expires_a_limited_share, 0,
	    sizeof(mass_cases) / sizeof(mass_cases[0]));
	tcase_add_test(t, expiries_on_peers_count_towards_the_limit);
	tcase_add_test(t, tombstones_reject_older_incarnations);
	tcase_add_test(t, moved_node_belongs_to_its_new_process);
	tcase_add_test(t, digest_repairs_lost_changes);
	tcase_add_test(t, complete_list_disowns_unlisted_records);
	tcase_add_test(t, removed_records_leave_older_sets);
	tcase_add_test(t, changes_since_a_version_rebuild_the_set);
	tcase_add_test(t, relay_follows_its_voter);
	suite_add_tcase(suite, t);
	r = srunner_create(suite);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
