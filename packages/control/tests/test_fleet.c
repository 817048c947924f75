/*
 * Control processes on loopback: edits through any of them, isolated leaders,
 * restarts, watches, claims and relays.
 */
#include <signal.h>
#include <sys/resource.h>

#include "api.h"
#include "fleet_fixture.h"
#include "service.h"

/* A process without contact to its quorum refuses at once. */
#define TRY_INTERVAL_MS 50
#define TRIES_MAX (FLEET_WAIT_S * 1000 / TRY_INTERVAL_MS)

/* Sends a change, again while the answer is 503; returns the version. */
static json_int_t
change(size_t i, const char *path, const char *text, int want)
{
	json_int_t version = -1;
	json_t *o = NULL;
	int status = 503;

	for (int k = 0; k < TRIES_MAX && status == 503; k++) {
		json_decref(o);
		o = NULL;
		if (k > 0)
			sleep_ms(TRY_INTERVAL_MS);
		status = send_json(i, "POST", path, NULL, text, &o);
	}
	ck_assert_msg(status == want, "%s: %d %s", text, status,
	    json_string_value(json_object_get(o, "text")));
	version = get_int(o, "version");
	json_decref(o);
	return version;
}

static json_int_t
import_table(size_t i, json_int_t base, const char *key)
{
	json_t *o = json_pack(
	    "{s:s,s:I,s:s}", "csv", FLEET_TABLE, "base", base, "key", key);
	char *text = json_dumps(o, 0);
	json_int_t v = change(i, "/v1/import", text, 200);

	free(text);
	json_decref(o);
	return v;
}

static json_int_t
edit(size_t i, const char *row, const char *value, json_int_t base,
    const char *key, int want)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"row\":\"%s\",\"column\":\"rank\",\"value\":\"%s\","
	    "\"base\":%lld,\"key\":\"%s\"}",
	    row, value, (long long)base, key);
	return change(i, "/v1/edit", text, want);
}

/* Returns the version of a linearizable read, sent again while it gets 503. */
static json_int_t
read_version(size_t i)
{
	json_int_t version;
	json_t *o = NULL;
	int status = 503;

	for (int k = 0; k < TRIES_MAX && status == 503; k++) {
		json_decref(o);
		o = NULL;
		if (k > 0)
			sleep_ms(TRY_INTERVAL_MS);
		status = send_json(i, "GET", "/v1/table", NULL, NULL, &o);
	}
	ck_assert_int_eq(status, 200);
	version = get_int(o, "version");
	json_decref(o);
	return version;
}

/*
 * Guards against lost, duplicated and reverted versions with edits through
 * followers, an isolated leader, and a restart of all processes from disk.
 */
START_TEST(versions_survive_an_isolated_leader_and_a_restart)
{
	size_t leader, follower, other;
	json_t *o = NULL;
	int status = 0;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	follower = (leader + 1) % 3;
	other = (leader + 2) % 3;
	ck_assert_int_eq(import_table(follower, 0, "k1"), 1);
	ck_assert_int_eq(edit(other, "a", "4", 1, "k2", 200), 2);
	ck_assert_int_eq(edit(follower, "a", "4", 1, "k2", 200), 2);
	ck_assert_int_eq(edit(leader, "a", "5", 1, "k3", 409), 2);
	for (size_t i = 0; i < 3; i++)
		ck_assert_int_eq(read_version(i), 2);

	atomic_store(&fleet.members[leader].partition, PARTITION_ALL);
	ck_assert_int_eq(edit(follower, "b", "7", 2, "k4", 200), 3);
	ck_assert_int_eq(read_version(other), 3);
	for (int i = 0; i < FLEET_WAIT_S * 5 && status != 503; i++) {
		json_decref(o);
		o = NULL;
		status = send_json(leader, "GET", "/v1/table", NULL, NULL, &o);
		ck_assert(status == 503 || get_int(o, "version") >= 3);
	}
	ck_assert_int_eq(status, 503);
	ck_assert(json_is_true(json_object_get(o, "stale")));
	ck_assert(json_is_true(json_object_get(o, "retriable")));
	json_decref(o);
	status = send_json(leader, "POST", "/v1/edit", NULL,
	    "{\"row\":\"c\",\"column\":\"rank\",\"value\":\"8\",\"base\":2,"
	    "\"key\":\"k5\"}",
	    &o);
	ck_assert_int_eq(status, 503);
	ck_assert(json_is_true(json_object_get(o, "retriable")));
	ck_assert_ptr_nonnull(
	    strstr(json_string_value(json_object_get(o, "text")),
		"may still take effect: resend it with the same key"));
	json_decref(o);
	atomic_store(&fleet.members[leader].partition, PARTITION_NONE);
	wait_version(leader, 3);
	ck_assert_int_eq(edit(leader, "c", "8", 2, "k5", 200), 4);

	for (size_t i = 0; i < 3; i++)
		stop_member(i);
	for (size_t i = 0; i < 3; i++)
		start_member(i);
	for (size_t i = 0; i < 3; i++)
		ck_assert_int_eq(read_version(i), 4);
	ck_assert_int_eq(edit(other, "b", "7", 2, "k4", 200), 3);
	ck_assert_int_eq(edit(other, "b", "9", 4, "k6", 200), 5);
	ck_assert_int_eq(read_version(leader), 5);
	close_fleet();
}
END_TEST

/*
 * Guards against a configuration near the longest that the API accepts that a
 * log entry, a message or a restart loses.
 */
START_TEST(longest_text_survives_a_restart)
{
	struct buf text = {0}, back = {0};
	struct fault f = {0};
	uint64_t version = 0;
	int rc = ERR_UNAVAILABLE;

	open_fleet(3, 0, NULL);
	for (int i = 0; text.len < API_BODY_MAX - 64; i++)
		ck_assert_int_eq(
		    append_buf_fmt(&text, "[\"row\",%d],%*d\n", i, 30, i), 0);
	for (uint64_t v = 1; v <= 3; v++) {
		struct table *t = NULL;

		text.data[0] = (char)('0' + v);
		ck_assert_int_eq(
		    load_table_csv(make_str(FLEET_TABLE), v, &t, &f), 0);
		rc = ERR_UNAVAILABLE;
		for (int i = 0; i < 5 && rc != 0; i++)
			rc = replace_control_table(
			    fleet.members[(wait_leader() + v) % 3].control,
			    v - 1, t, view_buf(&text), &f);
		ck_assert_msg(rc == 0, "version %d: %s", (int)v, f.text);
		unload_table(t);
	}
	for (size_t i = 0; i < 3; i++)
		stop_member(i);
	for (size_t i = 0; i < 3; i++)
		start_member(i);
	(void)wait_leader();
	for (size_t i = 0; i < 3; i++) {
		back.len = 0;
		for (int k = 0; k < 5 && back.len == 0; k++)
			(void)read_control_source(
			    fleet.members[i].control, &back, &version);
		ck_assert_uint_eq(version, 3);
		ck_assert(is_str_equal(view_buf(&back), view_buf(&text)));
	}
	unload_buf(&text);
	unload_buf(&back);
	close_fleet();
}
END_TEST

static void *
send_pending_edit(void *arg)
{
	int *status = arg;

	*status = send_json(0, "POST", "/v1/edit", NULL,
	    "{\"row\":\"a\",\"column\":\"rank\",\"value\":\"4\","
	    "\"base\":1,\"key\":\"p\"}",
	    NULL);
	return NULL;
}

static size_t
count_submissions(struct control *c)
{
	size_t n = 0;

	pthread_mutex_lock(&c->lock);
	for (const struct submission *s = c->submissions; s != NULL;
	     s = s->next)
		n++;
	pthread_mutex_unlock(&c->lock);
	return n;
}

/*
 * Guards against a stop that closes the connections of operators' requests that
 * it has read, without an answer.
 */
START_TEST(stop_answers_pending_orders)
{
	pthread_t t[8];
	int status[8] = {0};

	open_fleet(3, 0, NULL);
	(void)wait_leader();
	ck_assert_int_eq(import_table(0, 0, "k1"), 1);
	/* Time stands, so that the orders stay pending. */
	pause_fleet_clock();
	stop_member(1);
	stop_member(2);
	for (size_t i = 0; i < 8; i++)
		ck_assert_int_eq(
		    pthread_create(&t[i], NULL, send_pending_edit, &status[i]),
		    0);
	for (int i = 0;
	     i < 400 && count_submissions(fleet.members[0].control) < 8; i++)
		sleep_ms(5);
	ck_assert_uint_eq(count_submissions(fleet.members[0].control), 8);
	stop_member(0);
	for (size_t i = 0; i < 8; i++) {
		pthread_join(t[i], NULL);
		ck_assert_int_eq(status[i], 503);
	}
	close_fleet();
}
END_TEST

/* A request that another thread sends. */
static struct sender {
	size_t to;
	const char *text;
	int *status;
} fleet_sender;

static void *
send_fleet_text(void *arg)
{
	(void)arg;
	*fleet_sender.status = send_json(
	    fleet_sender.to, "POST", "/v1/edit", NULL, fleet_sender.text, NULL);
	return NULL;
}

static void
record_status(void *arg, int status, struct str result)
{
	(void)result;
	atomic_store((atomic_int *)arg, status);
}

/*
 * Guards against operators who get silence from a process that has lost contact
 * to its quorum: a command that waits ends when that is known, and from then on
 * commands and reads are refused without another try.
 */
START_TEST(lost_quorum_is_answered_at_once)
{
	const int forever_ms = 3600 * 1000;
	size_t isolated;
	struct control *c;
	atomic_int status = 1;
	uint64_t rounds;

	open_fleet(3, 0, NULL);
	isolated = (wait_leader() + 1) % 3;
	ck_assert_int_eq(import_table(isolated, 0, "k1"), 1);
	c = fleet.members[isolated].control;
	atomic_store(&fleet.members[isolated].partition, PARTITION_ALL);
	ck_assert_int_eq(submit_command(c, make_str("any"), forever_ms,
			     record_status, &status),
	    0);
	for (int i = 0; i < FLEET_WAIT_S * 100 && atomic_load(&status) == 1;
	     i++)
		sleep_ms(10);
	ck_assert_int_eq(atomic_load(&status), ERR_UNKNOWN);
	ck_assert(is_quorum_lost(c));
	ck_assert_int_eq(submit_command(c, make_str("any"), forever_ms,
			     record_status, &status),
	    ERR_UNAVAILABLE);
	pthread_mutex_lock(&c->lock);
	rounds = c->reads.started;
	pthread_mutex_unlock(&c->lock);
	ck_assert_int_eq(lock_confirmed_state(c, forever_ms), ERR_UNAVAILABLE);
	pthread_mutex_lock(&c->lock);
	ck_assert_uint_eq(c->reads.started, rounds);
	pthread_mutex_unlock(&c->lock);
	atomic_store(&fleet.members[isolated].partition, PARTITION_NONE);
	ck_assert_int_eq(edit(isolated, "a", "4", 1, "k2", 200), 2);
	close_fleet();
}
END_TEST

/*
 * Guards against a change that waits for a leader that is stalled, for example
 * by its disk, until its time-out, although another process leads: it has to be
 * sent to that one as well.
 */
START_TEST(change_goes_to_the_next_leader)
{
	const char *text = "{\"row\":\"a\",\"column\":\"rank\","
			   "\"value\":\"4\",\"base\":1,\"key\":\"p\"}";
	size_t leader, other, next;
	int status = 0;
	pthread_t t;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	ck_assert_int_eq(import_table(leader, 0, "k1"), 1);
	other = (leader + 1) % 3;
	atomic_store(&fleet.members[leader].partition, PARTITION_COMMANDS);
	fleet_sender = (struct sender){other, text, &status};
	ck_assert_int_eq(pthread_create(&t, NULL, send_fleet_text, NULL), 0);
	while (count_submissions(fleet.members[other].control) == 0)
		sleep_ms(5);
	(void)transfer_replica_leadership(
	    fleet.members[leader].control->replica);
	next = wait_leader(); /* the partitioned one does not count */
	pthread_join(t, NULL);
	ck_assert_int_eq(status, 200);
	ck_assert_int_eq(read_version(next), 2);
	close_fleet();
}
END_TEST

/*
 * Guards against a control process that can reach no new member after it has
 * known SERVICE_LINKS_MAX addresses, until it is started again.
 */
START_TEST(replaced_members_do_not_use_up_the_connections)
{
	struct rpc_peer *rpc = NULL, *kept;
	struct control *c;
	char address[48];
	struct fault f;
	struct peer *p;

	open_fleet(2, 0, NULL);
	(void)wait_leader();
	c = fleet.members[0].control;
	kept = find_control_peer(c, 2)->rpc;
	for (int i = 0; i < 3 * SERVICE_LINKS_MAX; i++) {
		snprintf(address, sizeof(address), "127.9.%d.%d:7401", i / 250,
		    1 + i % 250);
		ck_assert_msg(
		    open_link(c, address, &rpc, &f) == 0, "%s", f.text);
		ck_assert_ptr_ne(rpc, kept);
	}
	/* A connection that had another address reaches the member. */
	ck_assert_int_eq(
	    move_rpc_peer(rpc, fleet.members[1].rpc_address, &f), 0);
	p = find_control_peer(c, 2);
	pthread_mutex_lock(&c->peers_lock);
	p->rpc = rpc;
	pthread_mutex_unlock(&c->peers_lock);
	ck_assert_int_eq(import_table(0, 0, "k1"), 1);
	ck_assert_int_eq(edit(1, "a", "4", 1, "k2", 200), 2);
	close_fleet();
}
END_TEST

#define RESET_WAIT_MS 10000 /* of the read */

/* Whether the state is emptied between a confirmed read and its answer. */
struct reset_case {
	bool resets;
	int want;
};

static const struct reset_case reset_cases[] = {
    {false, 0},
    {true, ERR_UNAVAILABLE},
};

/* A read that waits, and the version that it saw. */
struct waiting_read {
	struct control *control;
	atomic_bool starts, done;
	int status;
	uint64_t version;
};

static void *
read_version_in_thread(void *arg)
{
	struct waiting_read *w = arg;

	atomic_store(&w->starts, true);
	w->status = lock_confirmed_state(w->control, RESET_WAIT_MS);
	if (w->status == 0) {
		w->version = w->control->state->table->version;
		pthread_mutex_unlock(&w->control->lock);
	}
	atomic_store(&w->done, true);
	return NULL;
}

/*
 * Guards against a read that was confirmed, but whose thread runs only after a
 * disk was refused and the replica has emptied the state to build it again: it
 * would answer an older version than one that was acknowledged, or none.
 */
START_TEST(reset_state_is_not_read_as_confirmed)
{
	const struct reset_case *rc = &reset_cases[_i];
	struct waiting_read w = {.version = 0};
	struct control *c;
	bool idle = false;
	pthread_t t;

	open_fleet(1, 0, NULL);
	ck_assert_int_eq(import_table(wait_leader(), 0, "k1"), 1);
	c = w.control = fleet.members[0].control;
	/* No round ends but by this test. */
	while (!idle) {
		pthread_mutex_lock(&c->lock);
		idle = !c->reads.in_flight;
		c->reads.in_flight = true;
		pthread_mutex_unlock(&c->lock);
	}
	ck_assert_int_eq(
	    pthread_create(&t, NULL, read_version_in_thread, &w), 0);
	while (!atomic_load(&w.starts))
		sleep_ms(1);
	sleep_ms(200); /* so that the read waits for its round */
	do {
		pthread_mutex_lock(&c->lock);
		c->reads.started++;
		finish_read_round(c, true);
		c->reads.in_flight = true;
		if (rc->resets)
			reset_control_state(c);
		pthread_mutex_unlock(&c->lock);
		sleep_ms(10);
	} while (!rc->resets && !atomic_load(&w.done));
	pthread_join(t, NULL);
	ck_assert_int_eq(w.status, rc->want);
	ck_assert_uint_eq(w.version, rc->want == 0 ? 1 : 0);
	close_fleet();
}
END_TEST

#define MEMBER_THREADS 3
#define MEMBER_IDS 15 /* entries of peers that the fleet of two leaves free */

/* Threads that learn the same new members, as from a reply and from the log. */
struct member_news {
	struct control *control;
	pthread_barrier_t *barrier;
	bool moves; /* each member has moved since the last time */
};

static const bool member_cases[] = {false, true};

static void *
learn_members(void *arg)
{
	struct member_news *n = arg;
	char address[48];

	for (int round = 0; round < (n->moves ? 2 : 1); round++) {
		for (int i = 0; i < MEMBER_IDS; i++) {
			snprintf(address, sizeof(address), "127.9.%d.%d:7401",
			    round, 1 + i);
			pthread_barrier_wait(n->barrier);
			update_peer(n->control, 100 + (uint64_t)i, address);
		}
	}
	return NULL;
}

/*
 * Guards against a member that gets two entries and two connections because two
 * threads learn of it at once: they use up the table of peers, and a later
 * address reaches only one of them.
 */
START_TEST(members_learned_by_two_threads_get_one_entry)
{
	struct member_news n = {.moves = member_cases[_i]};
	pthread_t threads[MEMBER_THREADS];
	pthread_barrier_t barrier;
	struct control *c;

	open_fleet(2, 0, NULL);
	(void)wait_leader();
	c = n.control = fleet.members[0].control;
	n.barrier = &barrier;
	pthread_barrier_init(&barrier, NULL, MEMBER_THREADS);
	for (int i = 0; i < MEMBER_THREADS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, learn_members, &n), 0);
	for (int i = 0; i < MEMBER_THREADS; i++)
		pthread_join(threads[i], NULL);
	for (uint64_t id = 100; id < 100 + MEMBER_IDS; id++) {
		size_t entries = 0, links = 0;

		for (size_t k = 0; k < c->peer_count; k++)
			entries += c->peers[k].id == id;
		for (size_t k = 0; k < c->link_count; k++)
			links += strcmp(c->links[k].address,
				     find_control_peer(c, id)->address) == 0;
		ck_assert_uint_eq(entries, 1);
		ck_assert_uint_eq(links, 1);
	}
	pthread_barrier_destroy(&barrier);
	close_fleet();
}
END_TEST

/*
 * Limits the size of the files that this program may write; a write beyond it
 * is refused, as on a full disk. RLIM_INFINITY ends that.
 */
static void
limit_files(rlim_t bytes)
{
	struct rlimit r;

	signal(SIGXFSZ, SIG_IGN);
	ck_assert_int_eq(getrlimit(RLIMIT_FSIZE, &r), 0);
	r.rlim_cur = bytes;
	ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &r), 0);
}

/*
 * Guards against a process that ends, and counts as ended with the platform,
 * because its disk refuses writes when it starts: it waits and starts then.
 */
START_TEST(start_waits_for_a_disk_that_refuses_writes)
{
	struct replica_status st;
	struct control *c;
	struct fault f;

	limit_files(0);
	open_fleet(1, 0, NULL);
	c = fleet.members[0].control;
	sleep_ms(1500);
	ck_assert(!has_control_failed(c, &f));
	ck_assert(!get_replication_status(c, &st));
	ck_assert_int_eq(
	    send_json(0, "GET", "/v1/table", NULL, NULL, NULL), 503);
	limit_files(RLIM_INFINITY);
	(void)wait_leader();
	ck_assert_int_eq(import_table(0, 0, "k1"), 1);
	close_fleet();
}
END_TEST

/*
 * Guards against a process that goes on without its group after its disk was
 * replaced by an empty one: it has to end, so that a new one joins.
 */
START_TEST(process_ends_when_its_disk_is_empty)
{
	char kept[80];
	struct control *c;
	struct fault f = {0};

	open_fleet(1, 0, NULL);
	(void)wait_leader();
	ck_assert_int_eq(import_table(0, 0, "k1"), 1);
	c = fleet.members[0].control;
	limit_files(0);
	(void)send_json(0, "POST", "/v1/edit", NULL,
	    "{\"row\":\"a\",\"column\":\"rank\",\"value\":\"4\","
	    "\"base\":1,\"key\":\"p\"}",
	    NULL);
	ck_assert(!has_control_failed(c, &f));
	snprintf(kept, sizeof(kept), "%s.kept", fleet.members[0].dir);
	ck_assert_int_eq(rename(fleet.members[0].dir, kept), 0);
	ck_assert_int_eq(mkdir(fleet.members[0].dir, 0700), 0);
	limit_files(RLIM_INFINITY);
	for (int i = 0; i < FLEET_WAIT_S * 100 && !has_control_failed(c, &f);
	     i++)
		sleep_ms(10);
	ck_assert(has_control_failed(c, &f));
	ck_assert_int_eq(f.kind, ERR_NOT_FOUND);
	ck_assert_ptr_nonnull(strstr(f.text, "is empty"));
	close_fleet();
}
END_TEST

/*
 * Guards against an older table for a node: an isolated process must not serve
 * a node without a table, and pending watches must be answered both when
 * contact to the leader is lost and after an edit.
 */
START_TEST(watches_report_new_versions_and_lost_contact)
{
	struct wire_watch_args a;
	struct wire_watch_reply r;
	struct rpc_peer *n[3];
	size_t isolated, leader;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	ck_assert_int_eq(import_table(leader, 0, "k1"), 1);
	for (size_t i = 0; i < 3; i++) {
		n[i] = open_node(i);
		a = make_watch("n", 0, 10000);
		r = send_watch_until_fresh(n[i], &a);
		ck_assert_int_eq(r.status, WIRE_OK);
		ck_assert_int_eq(r.table.form, WIRE_TABLE_WHOLE);
		ck_assert_uint_eq(r.table.table_version, 1);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	}
	ck_assert_int_eq(edit(leader, "a", "4", 1, "k2", 200), 2);
	for (size_t i = 0; i < 3; i++) {
		a = make_watch("n", 1, 10000);
		r = send_watch_until_fresh(n[i], &a);
		ck_assert_uint_eq(r.table.table_version, 2);
		ck_assert_int_eq(r.table.form, WIRE_TABLE_DELTA);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	}
	isolated = (leader + 1) % 3;
	atomic_store(&fleet.members[isolated].partition, PARTITION_ALL);
	ck_assert_int_eq(edit(leader, "a", "5", 2, "k3", 200), 3);
	a = make_watch("new", 0, 10000);
	r = send_watch(n[isolated], &a);
	ck_assert_int_eq(r.status, WIRE_STALE);
	ck_assert_int_eq(r.table.form, WIRE_TABLE_NONE);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	a = make_watch("n", 2, 10000);
	r = send_watch(n[isolated], &a);
	ck_assert_int_eq(r.status, WIRE_STALE);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	r = send_watch_until_fresh(n[leader], &a);
	ck_assert_uint_eq(r.table.table_version, 3);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	close_fleet();
}
END_TEST

/*
 * Guards against a second claim of the same key that is granted by another
 * process or a new leader, so that the call would run twice.
 */
START_TEST(claims_are_exclusive_across_processes)
{
	struct wire_claim_reply r;
	struct rpc_peer *n[3];
	size_t leader;

	open_fleet(3, 0, NULL);
	leader = wait_leader();
	for (size_t i = 0; i < 3; i++)
		n[i] = open_node(i);
	for (size_t i = 0; i < 3; i++) { /* resent: the answer was lost */
		r = send_claim(n[i], "pay-1", 'x', WIRE_CLAIM_OPEN, "");
		ck_assert_int_eq(r.status, WIRE_OK);
		unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
	}
	for (size_t i = 0; i < 3; i++) {
		r = send_claim(n[i], "pay-1", (char)i, WIRE_CLAIM_OPEN, "");
		ck_assert_int_eq(r.status, WIRE_CONFLICT);
		ck_assert_int_eq(r.state, WIRE_CLAIM_OPEN);
		unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
	}
	r = send_claim(n[0], "pay-1", 'x', WIRE_CLAIM_RAN, "paid");
	ck_assert_int_eq(r.status, WIRE_OK);
	unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
	atomic_store(&fleet.members[leader].partition, PARTITION_ALL);
	r = send_claim_until_known(
	    n[(leader + 1) % 3], "pay-1", 'y', WIRE_CLAIM_OPEN, "");
	ck_assert_int_eq(r.status, WIRE_CONFLICT);
	ck_assert_int_eq(r.state, WIRE_CLAIM_RAN);
	ck_assert_uint_eq(r.answer.answer_len, 4);
	unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
	/* Without a quorum no claim is granted. */
	r = send_claim(n[leader], "pay-2", 'z', WIRE_CLAIM_OPEN, "");
	ck_assert(r.status == WIRE_UNKNOWN || r.status == WIRE_UNAVAILABLE);
	unload_wire((xdrproc_t)xdr_wire_claim_reply, &r);
	close_fleet();
}
END_TEST

static struct wire_endpoint
make_endpoint(const char *id, uint64_t seq, enum wire_endpoint_state state)
{
	return (struct wire_endpoint){
	    .id = (char *)(uintptr_t)id,
	    .incarnation = 1,
	    .seq = seq,
	    .service = (char *)(uintptr_t) "svc",
	    .address = (char *)(uintptr_t) "127.0.0.1:9",
	    .zone = (char *)(uintptr_t) "z",
	    .instance = (char *)(uintptr_t) "",
	    .backend = (char *)(uintptr_t) "",
	    .slots = 1,
	    .state = state,
	};
}

/*
 * Watches a service until its only endpoint has the state. A removed endpoint
 * is missing from a full set and listed as GONE in a set of changes.
 */
static void
wait_endpoint(struct rpc_peer *p, enum wire_endpoint_state want)
{
	struct wire_interest interest = {(char *)(uintptr_t) "svc", 0};
	struct wire_watch_args a = make_watch("viewer", 1, 1000);

	a.interest.interest_len = 1;
	a.interest.interest_val = &interest;
	for (int i = 0; i < FLEET_WAIT_S; i++) {
		struct wire_watch_reply r = send_watch_until_fresh(p, &a);
		bool found = false;

		for (unsigned int k = 0; k < r.sets.sets_len; k++) {
			const struct wire_endpoint_set *s = &r.sets.sets_val[k];

			interest.set_version = s->set_version;
			found |= want == WIRE_ENDPOINT_GONE && s->whole &&
				 s->endpoints.endpoints_len == 0;
			for (unsigned int e = 0; e < s->endpoints.endpoints_len;
			     e++)
				found |=
				    s->endpoints.endpoints_val[e].state == want;
		}
		a.registry_id = r.registry_id;
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		if (found)
			return;
	}
	ck_abort_msg("no endpoint in state %d", (int)want);
}

/*
 * Stops the digests of anti-entropy, which would repair changes that were not
 * sent.
 */
static void
suppress_digests(void)
{
	for (size_t i = 0; i < fleet.count; i++) {
		struct control *c = fleet.members[i].control;

		pthread_mutex_lock(&c->lock);
		c->last_digest_ns = INT64_MAX / 2;
		pthread_mutex_unlock(&c->lock);
	}
}

/*
 * Guards against endpoints that are known only to the process they attached to,
 * and against one that stays listed after its connection was closed.
 */
START_TEST(endpoints_reach_every_process)
{
	struct wire_endpoint e = make_endpoint("n", 1, WIRE_ENDPOINT_READY);
	struct wire_watch_args a;
	struct wire_watch_reply r;
	struct rpc_peer *n[4];

	open_fleet(3, 1, NULL);
	ck_assert_int_eq(import_table(wait_leader(), 0, "k1"), 1);
	for (size_t i = 0; i < 4; i++) {
		wait_version(i, 1);
		n[i] = open_node(i);
	}
	suppress_digests();
	a = make_watch("n", 1, 0);
	a.self = &e;
	r = send_watch_until_fresh(n[3], &a); /* attached to the relay */
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	for (size_t i = 0; i < 4; i++)
		wait_endpoint(n[i], WIRE_ENDPOINT_READY);
	e = make_endpoint("n", 2, WIRE_ENDPOINT_DRAINING);
	r = send_watch_until_fresh(n[0], &a); /* moved to a voter */
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	for (size_t i = 0; i < 4; i++)
		wait_endpoint(n[i], WIRE_ENDPOINT_DRAINING);
	reset_rpc_peer(n[0]); /* without a GONE record */
	for (size_t i = 1; i < 4; i++)
		wait_endpoint(n[i], WIRE_ENDPOINT_GONE);
	close_fleet();
}
END_TEST

/*
 * Guards against a relay that serves an older table or does not forward
 * changes.
 */
START_TEST(relay_serves_and_forwards)
{
	struct wire_watch_args a = make_watch("n", 0, 10000);
	struct wire_watch_reply r;
	struct rpc_peer *n;

	open_fleet(3, 1, NULL);
	(void)wait_leader();
	ck_assert_int_eq(import_table(3, 0, "k1"), 1);
	n = open_node(3);
	r = send_watch_until_fresh(n, &a);
	ck_assert_int_eq(r.status, WIRE_OK);
	ck_assert_uint_eq(r.table.table_version, 1);
	ck_assert_int_eq(r.table.form, WIRE_TABLE_WHOLE);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	ck_assert_int_eq(edit(0, "a", "4", 1, "k2", 200), 2);
	ck_assert_int_eq(read_version(3), 2);
	a = make_watch("n", 1, 10000);
	r = send_watch_until_fresh(n, &a);
	ck_assert_uint_eq(r.table.table_version, 2);
	ck_assert_int_eq(r.table.form, WIRE_TABLE_DELTA);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);

	atomic_store(&fleet.members[3].partition, PARTITION_ALL);
	a = make_watch("new", 0, 10000);
	r = send_watch(n, &a);
	ck_assert_int_eq(r.status, WIRE_STALE);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	a = make_watch("n", 2, 10000);
	r = send_watch(n, &a);
	ck_assert_int_eq(r.status, WIRE_STALE);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	ck_assert_int_eq(edit(0, "a", "6", 2, "k3", 200), 3);
	atomic_store(&fleet.members[3].partition, PARTITION_NONE);
	wait_version(3, 3);
	a = make_watch("n", 2, 10000);
	r = send_watch_until_fresh(n, &a);
	ck_assert_uint_eq(r.table.table_version, 3);
	unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
	close_fleet();
}
END_TEST

/*
 * Guards against a relay that trusts an isolated voter: until the voter detects
 * the partition it still answers PULL calls, but it must not confirm a read.
 */
START_TEST(relay_of_an_isolated_voter_serves_no_older_table)
{
	struct wire_watch_args a = make_watch("new", 0, 1000);
	struct control *relay;
	struct rpc_peer *n;
	size_t voter, other;

	open_fleet(3, 1, NULL);
	(void)wait_leader();
	ck_assert_int_eq(import_table(3, 0, "k1"), 1);
	n = open_node(3);
	wait_version(3, 1);
	relay = fleet.members[3].control;
	pthread_mutex_lock(&relay->lock);
	voter = relay->peers[relay->upstream.peer_index].id - 1;
	pthread_mutex_unlock(&relay->lock);
	other = (voter + 1) % 3;
	atomic_store(&fleet.members[voter].partition, PARTITION_VOTERS);
	ck_assert_int_eq(edit(other, "a", "4", 1, "k2", 200), 2);
	for (int i = 0; i < 10; i++) {
		struct wire_watch_reply r = send_watch(n, &a);

		ck_assert(r.status == WIRE_STALE || r.table.table_version == 2);
		ck_assert(
		    r.status == WIRE_OK || r.table.form == WIRE_TABLE_NONE);
		unload_wire((xdrproc_t)xdr_wire_watch_reply, &r);
		sleep_ms(50);
	}
	close_fleet();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("control");
	TCase *t = tcase_create("control");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 110);
	tcase_add_test(t, longest_text_survives_a_restart);
	tcase_add_test(t, stop_answers_pending_orders);
	tcase_add_test(t, lost_quorum_is_answered_at_once);
	tcase_add_test(t, change_goes_to_the_next_leader);
	tcase_add_test(t, replaced_members_do_not_use_up_the_connections);
	tcase_add_loop_test(t, reset_state_is_not_read_as_confirmed, 0,
	    (int)(sizeof(reset_cases) / sizeof(reset_cases[0])));
	tcase_add_loop_test(t, members_learned_by_two_threads_get_one_entry, 0,
	    (int)(sizeof(member_cases) / sizeof(member_cases[0])));
	tcase_add_test(t, start_waits_for_a_disk_that_refuses_writes);
	tcase_add_test(t, process_ends_when_its_disk_is_empty);
	tcase_add_test(t, watches_report_new_versions_and_lost_contact);
	tcase_add_test(t, claims_are_exclusive_across_processes);
	tcase_add_test(t, endpoints_reach_every_process);
	tcase_add_test(t, relay_serves_and_forwards);
	tcase_add_test(t, relay_of_an_isolated_voter_serves_no_older_table);
	tcase_add_test(t, versions_survive_an_isolated_leader_and_a_restart);
	suite_add_tcase(suite, t);
	r = srunner_create(suite);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
