/*
 * Decisions of the watch service: verdicts, table updates, endpoint sets, rate
 * limit and node reports.
 */
#include "nodes.h"
#include "state_fixture.h"
#include "watch.h"

enum {
	NONE = 0,
	DELTA = 1,
	FULL = 2
}; /* as in enum wire_table_form */

struct verdict_case {
	uint64_t version; /* of the control process */
	bool stale;
	bool starting;
	bool confirmed;
	bool timed_out;
	uint64_t known_version; /* of the node */
	uint64_t refused; /* version */
	bool newer_set; /* the node has none */
	enum watch_verdict want;
};

static const struct watch_controls no_controls;

static const struct verdict_case verdict_cases[] = {
    {5, false, false, false, false, 5, 0, false, WATCH_PENDING},
    {5, false, false, false, true, 5, 0, false, WATCH_REPLY}, /* heartbeat */
    {6, false, false, false, false, 5, 0, false, WATCH_REPLY},
    {5, false, false, false, false, 5, 0, true, WATCH_REPLY},
    /* the process is behind the node: never send an older table */
    {4, false, false, false, false, 5, 0, false, WATCH_PENDING},
    /* a refused version is not sent again, the next one is */
    {6, false, false, false, false, 5, 6, false, WATCH_PENDING},
    {7, false, false, false, false, 5, 6, false, WATCH_REPLY},
    /* without contact to a leader: stale, whatever the local version */
    {6, true, false, false, false, 5, 0, true, WATCH_STALE},
    {5, true, false, false, false, 5, 0, false, WATCH_STALE},
    {5, true, false, true, true, 0, 0, true, WATCH_STALE},
    /* the group starts: pending until its first leader is elected */
    {5, true, true, false, false, 0, 0, false, WATCH_PENDING},
    {5, true, true, false, false, 5, 0, true, WATCH_PENDING},
    {5, true, true, false, true, 0, 0, false, WATCH_STALE},
    /* a node without a table waits for a confirmed read */
    {5, false, false, false, false, 0, 0, true, WATCH_NEEDS_READ},
    {5, false, false, false, true, 0, 0, true, WATCH_NEEDS_READ},
    {5, false, false, true, false, 0, 0, false, WATCH_REPLY},
    /* no table has been accepted yet */
    {0, false, false, true, false, 0, 0, false, WATCH_PENDING},
    {0, false, false, true, true, 0, 0, false, WATCH_REPLY},
};

/*
 * Guards against an older table for a node, above all for a node without a
 * table whose control process has no contact to a leader, and against a watch
 * that stays pending too long.
 */
START_TEST(verdicts_depend_on_version_and_contact)
{
	const struct verdict_case *c = &verdict_cases[_i];
	struct registry *g = NULL;
	struct wire_interest interest = {
	    (char *)(uintptr_t) "svc", c->newer_set ? 0 : 1};
	struct wire_watch_args a = {.held_version = c->known_version,
	    .refused_version = c->refused,
	    .registry_id = 77};
	struct watch_view v = {.version = c->version,
	    .stale = c->stale,
	    .starting = c->starting,
	    .confirmed = c->confirmed,
	    .timed_out = c->timed_out};

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	v.registry = g;
	a.interest.interest_len = 1;
	a.interest.interest_val = &interest;
	ck_assert_int_eq(decide_watch(&v, &a), c->want);
	close_registry(g);
}
END_TEST

struct set_case {
	const char *what;
	uint64_t known; /* set version of the node; 0: none */
	bool sets_due, timed_out;
	enum watch_verdict want;
};

/* The set has version 3. */
static const struct set_case set_cases[] = {
    {"a node without the set", 0, false, false, WATCH_REPLY},
    {"a change that is not due", 2, false, false, WATCH_PENDING},
    {"a change that is due", 2, true, false, WATCH_REPLY},
    {"a heartbeat carries the change", 2, false, true, WATCH_REPLY},
    {"no change", 3, true, false, WATCH_PENDING},
};

static void
announce(struct registry *g, const char *id, uint64_t seq, int slots)
{
	struct wire_endpoint e = {.id = (char *)(uintptr_t)id,
	    .incarnation = 1,
	    .seq = seq,
	    .service = (char *)(uintptr_t) "svc",
	    .address = (char *)(uintptr_t) "127.0.0.1:1",
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .slots = slots,
	    .state = WIRE_ENDPOINT_READY};

	ck_assert_int_eq(announce_endpoint_record(g, 1, &e), REGISTRY_CHANGED);
}

/*
 * Pattern: 295 nodes announce themselves within a second. Guards against one
 * reply to each node for each of them, which grows with the square of the
 * fleet, and against a new node that waits for its first set.
 */
START_TEST(set_changes_wait_until_they_are_due)
{
	const struct set_case *c = &set_cases[_i];
	struct registry *g = NULL;
	struct wire_interest interest = {(char *)(uintptr_t) "svc", c->known};
	struct wire_watch_args a = {.held_version = 5, .registry_id = 77};
	struct watch_view v = {
	    .version = 5, .sets_due = c->sets_due, .timed_out = c->timed_out};

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	announce(g, "n1", 1, 4);
	announce(g, "n1", 2, 5);
	ck_assert_uint_eq(get_set_version(g, make_str("svc")), 3);
	v.registry = g;
	a.interest.interest_len = 1;
	a.interest.interest_val = &interest;
	ck_assert_msg(decide_watch(&v, &a) == c->want, "%s", c->what);
	close_registry(g);
}
END_TEST

struct interval_case {
	size_t watches;
	int64_t want_ms;
};

static const struct interval_case interval_cases[] = {
    {0, 0}, {3, 24}, /* below one tick: sent with the next */
    {60, 480}, {540, 1000}, /* 9,200 nodes at 17 control processes */
};

/*
 * Guards against replies for changes of sets that take more than 130 a second
 * of a control process, and against changes that wait for over a second.
 */
START_TEST(set_interval_grows_with_the_watches)
{
	const struct interval_case *c = &interval_cases[_i];

	ck_assert_int_eq(
	    get_set_interval(c->watches), c->want_ms * NSEC_PER_MSEC);
}
END_TEST

/* Opens a state with many rows, so that a delta is shorter than the table. */
static struct state *
open_many_rows(void)
{
	struct state *s = open_sample();
	struct buf csv = {0};
	struct command_result r;

	(void)append_buf_str(&csv, make_str(HEADER));
	for (int i = 0; i < 100; i++)
		(void)append_buf_fmt(&csv,
		    "row%03d,s%03d,1,10,5,100,100,1000,100,1,10,0,yes,0,64,"
		    "30\n",
		    i, i);
	r = apply_import(s, "anna", "", 0, csv.data);
	ck_assert_int_eq(r.status, 0);
	unload_command_result(&r);
	unload_buf(&csv);
	return s;
}

static void
edit_row(struct state *s, int row, const char *value)
{
	char name[16];
	struct command_result r;

	snprintf(name, sizeof(name), "row%03d", row);
	r = apply_edit(
	    s, "anna", "", s->table->version, name, COL_WEIGHT, value);
	ck_assert_int_eq(r.status, 0);
	unload_command_result(&r);
}

/* Applies a reply as a node does and checks the digest. */
static struct table *
apply_reply(const struct table *base, struct str bytes, int form)
{
	struct wire_watch_reply r = {0};
	struct table *t = NULL;
	struct cell_list l = {0};
	struct fault f;
	struct str body;

	ck_assert_int_eq(
	    decode_wire((xdrproc_t)xdr_wire_watch_reply, bytes, &r), 0);
	ck_assert_int_eq(r.table.form, form);
	body = make_str_n(r.table.body.body_val, r.table.body.body_len);
	if (form == FULL) {
		ck_assert_int_eq(
		    load_table_csv(body, r.table.table_version, &t, &f), 0);
	} else if (form == DELTA) {
		ck_assert_uint_eq(r.table.base, base->version);
		ck_assert_int_eq(decode_cells(body, &l, &f), 0);
		ck_assert_int_eq(
		    apply_cells(base, &l, r.table.table_version, &t, &f), 0);
		unload_cells(&l);
	}
	if (t != NULL)
		ck_assert_uint_eq(t->digest, r.table.digest);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	return t;
}

struct form_case {
	uint64_t known_version;
	int want;
};

/* The process is at version 41, after an import and 40 edits. */
static const struct form_case form_cases[] = {
    {0, FULL}, {1, DELTA}, {20, DELTA}, {40, DELTA}, {41, NONE}, {42, NONE}};

/*
 * Guards against an update that does not produce the table in force, and
 * against wasted bytes: any number of missed changes takes one delta, which is
 * encoded once for all nodes with the same base.
 */
START_TEST(updates_produce_the_current_table)
{
	struct state *s = open_many_rows();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct registry *g = NULL;
	struct wire_hlc stamp = {1, 2};

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	for (int i = 0; i < 40; i++)
		edit_row(s, i % 30, i < 30 ? "20" : "30");
	for (size_t i = 0; i < sizeof(form_cases) / sizeof(form_cases[0]);
	     i++) {
		const struct form_case *c = &form_cases[i];
		struct wire_watch_args a = {.held_version = c->known_version};
		struct table *known = NULL, *next;
		struct buf first = {0}, again = {0};
		struct fault f;
		uint64_t encoded;

		if (c->known_version > 0 && c->known_version <= 41)
			ck_assert_int_eq(rebuild_table(&s->history, s->table,
					     c->known_version, &known, &f),
			    0);
		ck_assert_int_eq(encode_watch_reply(cache, s, g, &no_controls,
				     &a, &stamp, &first),
		    0);
		encoded = cache->encoded;
		ck_assert_int_eq(encode_watch_reply(cache, s, g, &no_controls,
				     &a, &stamp, &again),
		    0);
		ck_assert(is_str_equal(view_buf(&first), view_buf(&again)));
		if (c->want != NONE)
			ck_assert_uint_eq(cache->encoded, encoded);
		next = apply_reply(known, view_buf(&first), c->want);
		if (next != NULL)
			ck_assert_uint_eq(next->digest, s->table->digest);
		if (c->want == DELTA)
			ck_assert_uint_lt(first.len, 1500);
		unload_table(known);
		unload_table(next);
		unload_buf(&first);
		unload_buf(&again);
	}
	/* A later version must not be answered from the cache. */
	struct wire_watch_args a = {.held_version = 41};
	struct buf reply = {0};
	struct table *known = NULL, *next;
	struct fault f;

	edit_row(s, 99, "44");
	ck_assert_int_eq(
	    rebuild_table(&s->history, s->table, 41, &known, &f), 0);
	ck_assert_int_eq(
	    encode_watch_reply(cache, s, g, &no_controls, &a, &stamp, &reply),
	    0);
	ck_assert_uint_lt(reply.len, 400);
	next = apply_reply(known, view_buf(&reply), DELTA);
	ck_assert_uint_eq(next->digest, s->table->digest);
	unload_table(known);
	unload_table(next);
	unload_buf(&reply);
	clear_cache(cache);
	free(cache);
	close_registry(g);
	close_state(s);
}
END_TEST

/*
 * Pattern: a large table for hundreds of nodes with thin links. Guards against
 * a packed reply that differs from the plain one, that is packed again for each
 * node, or that is kept although its inputs changed.
 */
START_TEST(packed_replies_equal_plain_ones)
{
	struct state *s = open_many_rows();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct registry *g = NULL;
	struct wire_interest interest = {(char *)(uintptr_t) "svc", 0};
	struct wire_watch_args a = {.registry_id = 77};
	struct wire_hlc stamp = {1, 2};
	struct buf plain = {0}, packed = {0}, again = {0}, out = {0};
	uint64_t encoded;

	a.interest.interest_len = 1;
	a.interest.interest_val = &interest;
	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	announce(g, "n1", 1, 4);
	ck_assert_int_eq(
	    encode_watch_reply(cache, s, g, &no_controls, &a, &stamp, &plain),
	    0);
	ck_assert_int_eq(
	    encode_packed_reply(cache, s, g, &no_controls, &a, &stamp, &packed),
	    0);
	ck_assert_uint_lt(packed.len * WATCH_PACKED_RATIO, plain.len);
	ck_assert_int_eq(unpack_wire(view_buf(&packed), &out), 0);
	ck_assert(is_str_equal(view_buf(&out), view_buf(&plain)));
	encoded = cache->encoded;
	ck_assert_int_eq(
	    encode_packed_reply(cache, s, g, &no_controls, &a, &stamp, &again),
	    0);
	ck_assert(is_str_equal(view_buf(&again), view_buf(&packed)));
	ck_assert_uint_eq(cache->encoded, encoded);
	for (int i = 0; i < 3; i++) {
		plain.len = again.len = out.len = 0;
		if (i == 0)
			announce(g, "n1", 2, 5);
		else if (i == 1)
			edit_row(s, 3, "20");
		else
			interest.set_version = 3;
		ck_assert_int_eq(encode_watch_reply(cache, s, g, &no_controls,
				     &a, &stamp, &plain),
		    0);
		ck_assert_int_eq(encode_packed_reply(cache, s, g, &no_controls,
				     &a, &stamp, &again),
		    0);
		ck_assert_int_eq(unpack_wire(view_buf(&again), &out), 0);
		ck_assert(is_str_equal(view_buf(&out), view_buf(&plain)));
	}
	unload_buf(&plain);
	unload_buf(&packed);
	unload_buf(&again);
	unload_buf(&out);
	clear_cache(cache);
	free(cache);
	close_registry(g);
	close_state(s);
}
END_TEST

struct outdated_case {
	uint64_t incarnation; /* announced; that of the known record is 10 */
	int retry_ms;
	enum watch_verdict verdict;
};

static const struct outdated_case outdated_cases[] = {
    {9, WIRE_RETRY_ANNOUNCE, WATCH_REPLY},
    {10, 0, WATCH_PENDING},
    {11, 0, WATCH_PENDING},
};

/*
 * Pattern: the time of day of a machine is set back, and its node is started
 * again. Guards against a control process that refuses the endpoint of the new
 * run without a word, and against the same reply for other nodes.
 */
START_TEST(node_outdated_by_an_earlier_run_learns_it_at_once)
{
	const struct outdated_case *c = &outdated_cases[_i];
	struct state *s = open_sample();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct registry *g = NULL;
	struct wire_endpoint self = {.id = (char *)(uintptr_t) "n1",
	    .incarnation = 10,
	    .seq = 1,
	    .service = (char *)(uintptr_t) "svc",
	    .address = (char *)(uintptr_t) "127.0.0.1:1",
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .slots = 4,
	    .state = WIRE_ENDPOINT_READY};
	struct wire_watch_args a = {.held_version = s->table->version,
	    .held_digest = s->table->digest,
	    .registry_id = 77,
	    .self = &self};
	struct watch_view v = {.version = s->table->version, .confirmed = true};
	struct wire_hlc stamp = {1, 2};

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	ck_assert_int_eq(
	    announce_endpoint_record(g, 1, &self), REGISTRY_CHANGED);
	self.incarnation = c->incarnation;
	v.registry = g;
	ck_assert_int_eq(decide_watch(&v, &a), c->verdict);
	for (int packed = 0; packed < 2; packed++) {
		struct wire_watch_reply r = {0};
		struct buf b = {0}, plain = {0};

		ck_assert_int_eq(packed ? encode_packed_reply(cache, s, g,
					      &no_controls, &a, &stamp, &b) :
					  encode_watch_reply(cache, s, g,
					      &no_controls, &a, &stamp, &plain),
		    0);
		if (packed)
			ck_assert_int_eq(unpack_wire(view_buf(&b), &plain), 0);
		ck_assert_int_eq(decode_wire((xdrproc_t)xdr_wire_watch_reply,
				     view_buf(&plain), &r),
		    0);
		ck_assert_int_eq(r.status, WIRE_OK);
		ck_assert_int_eq(r.retry_ms, c->retry_ms);
		ck_assert_int_ge(r.stamp.wall_ns, c->retry_ms != 0 ? 10 : 1);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		unload_buf(&plain);
		unload_buf(&b);
	}
	clear_cache(cache);
	free(cache);
	close_registry(g);
	close_state(s);
}
END_TEST

/*
 * Guards against a delta that is longer than the table, or that needs a version
 * no longer in the history.
 */
START_TEST(full_table_when_it_is_shorter_or_history_is_removed)
{
	struct state *s = open_many_rows();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct watch_update *u = NULL;

	ck_assert_int_eq(find_update(cache, s, 0, &u), 0);
	ck_assert_int_eq(u->form, FULL);
	struct command_result r =
	    apply_import(s, "anna", "", 1, SAMPLE); /* three rows */

	ck_assert_int_eq(r.status, 0);
	unload_command_result(&r);
	ck_assert_int_eq(find_update(cache, s, 1, &u), 0);
	ck_assert_int_eq(u->form, FULL);
	ck_assert_uint_eq(get_update_tokens(u, false), 1);
	for (int i = 0; i < HISTORY_MAX; i++) {
		r = apply_edit(s, "anna", "", s->table->version, "a", COL_RANK,
		    i % 2 == 0 ? "5" : "6");
		unload_command_result(&r);
	}
	ck_assert_int_eq(find_update(cache, s, 2, &u), 0);
	ck_assert_int_eq(u->form, DELTA);
	ck_assert_uint_eq(get_update_tokens(u, true), 0);
	ck_assert_int_eq(find_update(cache, s, 1, &u), 0);
	ck_assert_int_eq(u->form, FULL);
	clear_cache(cache);
	free(cache);
	close_state(s);
}
END_TEST

/*
 * Guards against a reply with unchanged sets, without a changed set, or with
 * sets of another service.
 */
START_TEST(replies_carry_the_newer_sets_only)
{
	struct state *s = open_sample();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct registry *g = NULL;
	struct wire_hlc stamp = {1, 2};
	struct wire_endpoint e = {.id = (char *)(uintptr_t) "n",
	    .incarnation = 1,
	    .service = (char *)(uintptr_t) "one",
	    .address = (char *)(uintptr_t) "127.0.0.1:1",
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .state = WIRE_ENDPOINT_READY};
	struct wire_interest interest[2] = {
	    {(char *)(uintptr_t) "one", 0}, {(char *)(uintptr_t) "none", 0}};
	struct wire_watch_args a = {.registry_id = 77};
	static const unsigned int want[] = {2, 0, 1, 2};

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	a.interest.interest_len = 2;
	a.interest.interest_val = interest;
	(void)announce_endpoint_record(g, 0, &e);
	for (int i = 0; i < 4; i++) {
		struct wire_watch_reply r = {0};
		struct buf b = {0};

		if (i == 2) {
			e.seq = 9;
			(void)announce_endpoint_record(g, 0, &e);
		}
		if (i == 3)
			a.registry_id = 1; /* sets of another process */
		ck_assert_int_eq(encode_watch_reply(
				     cache, s, g, &no_controls, &a, &stamp, &b),
		    0);
		ck_assert_int_eq(decode_wire((xdrproc_t)xdr_wire_watch_reply,
				     view_buf(&b), &r),
		    0);
		ck_assert_uint_eq(r.sets.sets_len, want[i]);
		ck_assert_uint_eq(r.registry_id, 77);
		for (unsigned int k = 0; k < r.sets.sets_len; k++) {
			const struct wire_endpoint_set *set =
			    &r.sets.sets_val[k];
			bool one = strcmp(set->service, "one") == 0;

			ck_assert_uint_eq(set->endpoints.endpoints_len, one);
			ck_assert_int_eq(set->whole, i != 2);
			interest[one ? 0 : 1].set_version = set->set_version;
		}
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		unload_buf(&b);
	}
	free(cache);
	close_registry(g);
	close_state(s);
}
END_TEST

/*
 * Guards against a reply above the message limit, as for the first PULL of a
 * relay, which requests the sets of all services.
 */
START_TEST(oversized_sets_follow_in_later_replies)
{
	enum {
		SERVICES = 240,
		EACH = 40
	};
	struct state *s = open_sample();
	struct watch_cache *cache = calloc(1, sizeof(*cache));
	struct registry *g = NULL;
	struct wire_hlc stamp = {1, 2};
	static struct wire_interest interest[SERVICES];
	static char names[SERVICES][16];
	struct wire_watch_args a = {.registry_id = 77};
	size_t got = 0;
	int replies = 0;

	ck_assert_int_eq(open_registry(1, 77, &g), 0);
	for (int i = 0; i < SERVICES; i++) {
		snprintf(names[i], sizeof(names[i]), "service-%03d", i);
		interest[i] = (struct wire_interest){names[i], 0};
		for (int k = 0; k < EACH; k++) {
			char id[40];
			struct wire_endpoint e = {.id = id,
			    .incarnation = 1,
			    .service = names[i],
			    .address = (char *)(uintptr_t) "127.100.100.1:9000",
			    .zone = (char *)(uintptr_t) "milano-a-north",
			    .instance = (char *)(uintptr_t) "",
			    .backend = (char *)(uintptr_t) "",
			    .state = WIRE_ENDPOINT_READY};

			snprintf(id, sizeof(id), "region-one-node-%d-%d", i, k);
			ck_assert_int_eq(announce_endpoint_record(g, 0, &e),
			    REGISTRY_CHANGED);
		}
	}
	a.interest.interest_len = SERVICES;
	a.interest.interest_val = interest;
	while (got < SERVICES * EACH && replies < 10) {
		struct wire_watch_reply r = {0};
		struct buf b = {0};

		ck_assert_int_eq(encode_watch_reply(
				     cache, s, g, &no_controls, &a, &stamp, &b),
		    0);
		ck_assert_int_eq(decode_wire((xdrproc_t)xdr_wire_watch_reply,
				     view_buf(&b), &r),
		    0);
		for (unsigned int k = 0; k < r.sets.sets_len; k++) {
			int i = atoi(r.sets.sets_val[k].service + 8);

			interest[i].set_version =
			    r.sets.sets_val[k].set_version;
			got += r.sets.sets_val[k].endpoints.endpoints_len;
		}
		replies++;
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		unload_buf(&b);
	}
	ck_assert_uint_eq(got, SERVICES * EACH);
	ck_assert_int_ge(replies, 2);
	free(cache);
	close_registry(g);
	close_state(s);
}
END_TEST

/*
 * Guards against a reconnect storm that uses up the bandwidth, and against
 * retry delays that make all nodes return at the same time.
 */
START_TEST(token_bucket_spreads_a_reconnect_storm)
{
	enum {
		RATE = 100,
		NODES = 1000
	};
	struct token_bucket b;
	int64_t now = 5 * NSEC_PER_SEC;
	int64_t next[NODES];
	int served = 0, second_served[40] = {0}, tries = 0;
	struct rng r;

	seed_rng(&r, 4);
	open_bucket(&b, RATE, now);
	for (int i = 0; i < NODES; i++)
		next[i] = now;
	for (int64_t t = 0; t < 40 * 1000; t += 10) {
		for (int i = 0; i < NODES; i++) {
			int64_t at = now + t * NSEC_PER_MSEC;
			int retry;

			if (next[i] < 0 || next[i] > at)
				continue;
			retry = consume_tokens(&b, 1, at);
			tries++;
			if (retry == 0) {
				served++;
				second_served[t / 1000]++;
				next[i] = -1;
			} else {
				ck_assert_int_le(retry, WATCH_RETRY_MAX_MS);
				next[i] = at + NSEC_PER_MSEC *
						   (int64_t)draw_below(
						       &r, (uint64_t)retry + 1);
			}
		}
	}
	ck_assert_int_eq(served, NODES);
	/* In any period a bucket serves at most its capacity plus its rate. */
	for (int i = 0, sum = 0; i < 40; i++) {
		sum += second_served[i];
		ck_assert_int_le(sum, RATE * (i + 2));
	}
	ck_assert_int_lt(tries, 10 * NODES);
	/* A table larger than the bucket is served when the bucket is full. */
	ck_assert_int_eq(
	    consume_tokens(&b, 10 * RATE, now + 100 * NSEC_PER_SEC), 0);
	ck_assert_int_gt(consume_tokens(&b, 1, now + 100 * NSEC_PER_SEC), 0);
}
END_TEST

/* Guards against a status without a refusal or a disconnected node. */
START_TEST(latest_node_report_is_kept)
{
	struct node_list l = {0};
	struct wire_watch_args a = {.node = (char *)(uintptr_t) "n1",
	    .zone = (char *)(uintptr_t) "z",
	    .held_version = 4,
	    .refused_reason = (char *)(uintptr_t) ""};
	struct node_report *n;

	ck_assert(record_node_report(&l, &a, 7, 1, 100));
	ck_assert(!record_node_report(&l, &a, 7, 2, 200));
	a.refused_version = 5;
	a.refused_reason = (char *)(uintptr_t) "floor";
	ck_assert(record_node_report(&l, &a, 8, 3, 300));
	ck_assert_ptr_null(pop_closed_node(&l, 7)); /* it moved to conn 8 */
	n = pop_closed_node(&l, 8);
	ck_assert_ptr_nonnull(n);
	ck_assert_ptr_null(pop_closed_node(&l, 8));
	ck_assert_int_eq(n->version_wall_ns, 100);
	ck_assert_uint_eq(n->refused_version, 5);
	ck_assert_str_eq(n->refused_reason, "floor");
	expire_nodes(&l, 3 + NODES_KEEP_NS - 1);
	ck_assert_uint_eq(l.index.count, 1);
	expire_nodes(&l, 3 + NODES_KEEP_NS);
	ck_assert_uint_eq(l.index.count, 0);
	clear_nodes(&l);
}
END_TEST

struct interest_case {
	uint64_t digest; /* of the request that omits the list */
	uint64_t conn;
	int want_rc;
};

static const struct interest_case interest_cases[] = {
    {77, 7, 0},
    {78, 7, ERR_NOT_FOUND}, /* another list */
    {77, 8, ERR_NOT_FOUND}, /* another connection */
    {0, 7, ERR_NOT_FOUND},
};

/*
 * Guards against a node that is served by an outdated interest list: a request
 * may omit the list only on the same connection with the same digest.
 */
START_TEST(omitted_interest_is_restored_by_digest)
{
	const struct interest_case *c = &interest_cases[_i];
	struct node_list l = {0};
	wire_interest list[2] = {{strdup("s1"), 5}, {strdup("s2"), 6}};
	struct wire_watch_args a = {.node = (char *)(uintptr_t) "n1",
	    .zone = (char *)(uintptr_t) "z",
	    .refused_reason = (char *)(uintptr_t) "",
	    .interest_digest = 77};

	a.interest.interest_val = list;
	a.interest.interest_len = 2;
	ck_assert(record_node_report(&l, &a, 7, 1, 100));
	ck_assert_int_eq(restore_interest(&l, &a, 7), 0);
	a.interest.interest_val = NULL;
	a.interest.interest_len = 0;
	a.interest_same = true;
	a.interest_digest = c->digest;
	ck_assert_int_eq(restore_interest(&l, &a, c->conn), c->want_rc);
	ck_assert_uint_eq(a.interest.interest_len, c->want_rc == 0 ? 2 : 0);
	if (c->want_rc == 0) {
		ck_assert_str_eq(a.interest.interest_val[1].service, "s2");
		ck_assert_uint_eq(a.interest.interest_val[1].set_version, 6);
		free(a.interest.interest_val[0].service);
		free(a.interest.interest_val[1].service);
		free(a.interest.interest_val);
	}
	free(list[0].service);
	free(list[1].service);
	clear_nodes(&l);
}
END_TEST

int
main(void)
{
	TCase *t = tcase_create("watch");

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, verdicts_depend_on_version_and_contact, 0,
	    sizeof(verdict_cases) / sizeof(verdict_cases[0]));
	tcase_add_loop_test(t, set_changes_wait_until_they_are_due, 0,
	    sizeof(set_cases) / sizeof(set_cases[0]));
	tcase_add_loop_test(t, set_interval_grows_with_the_watches, 0,
	    sizeof(interval_cases) / sizeof(interval_cases[0]));
	tcase_add_test(t, updates_produce_the_current_table);
	tcase_add_test(t, packed_replies_equal_plain_ones);
	tcase_add_loop_test(t,
	    node_outdated_by_an_earlier_run_learns_it_at_once, 0,
	    sizeof(outdated_cases) / sizeof(outdated_cases[0]));
	tcase_add_test(t, full_table_when_it_is_shorter_or_history_is_removed);
	tcase_add_test(t, replies_carry_the_newer_sets_only);
	tcase_add_test(t, oversized_sets_follow_in_later_replies);
	tcase_add_test(t, token_bucket_spreads_a_reconnect_storm);
	tcase_add_test(t, latest_node_report_is_kept);
	tcase_add_loop_test(t, omitted_interest_is_restored_by_digest, 0,
	    sizeof(interest_cases) / sizeof(interest_cases[0]));
	return run_suite("watch", t);
}
