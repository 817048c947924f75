/*
 * A group of replicas without threads, with a paused clock, files in memory and
 * a simulated network that carries encoded messages. Included by the tests.
 */
#ifndef GROUP_H
#define GROUP_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica.h"

#include "../../wal/tests/mem_io.h"

#define GROUP_MAX 6 /* ids 1 to 5; 0 is not used */
#define GROUP_VALUES 4096

struct group;

/* One member: its disk, its state machine and its replica. */
struct member {
	struct group *g;
	uint64_t id;
	struct replica *r; /* NULL: not running */
	struct mem_disk disk;
	struct wal_io io;
	struct buf state; /* one 8-byte value per applied command */
	int64_t last_wall; /* wall time of the last command, ns */
	int64_t log_ns; /* latest log time applied */
	int64_t mono_offset, wall_offset; /* ns, to the group's clock */
	bool stalled; /* its thread does not run */
	struct raft_members members; /* as last reported to the transport */
	enum err load_error; /* of load_values(); 0: it loads */
	bool save_fails; /* save_values() returns an error */
	/* Runs once, in the next read of the clock, after the time is taken. */
	void (*on_clock)(struct member *m);
};

/* An encoded message in the network. */
struct packet {
	uint64_t from, to;
	struct buf bytes;
};

struct group {
	struct member member[GROUP_MAX];
	struct paused_clock pc;
	struct rng rng;
	struct packet *net;
	size_t net_count, net_cap;
	bool blocked[GROUP_MAX][GROUP_MAX]; /* messages from, to are lost */
	struct raft_members bootstrap;
	size_t snapshot_bytes; /* replica_config of members started next */
	size_t snapshot_padding; /* bytes added to each snapshot */
	int chaos_faults; /* of disks; 0: none, 1: writes, 2: any operation */
	uint64_t next_value;
	uint64_t acked_index; /* highest index reported to a proposer */
	size_t acked_count; /* proposals reported as applied */
	char failure[200]; /* the first failed check, or empty */
};

/* Result of one proposal or read. */
struct outcome {
	struct group *g;
	bool done;
	int callbacks;
	int status;
	uint64_t index;
	uint64_t value;
	uint64_t result;
	uint64_t min_index; /* read: acked_index at the request */
	size_t min_applied; /* read: acked_count at the request */
	struct member *member;
};

/*
 * Records a failed check; only the first one is kept.
 */
static void
fail_group(struct group *g, const char *text)
{
	if (g->failure[0] == '\0')
		snprintf(g->failure, sizeof(g->failure), "%s", text);
}

static void
apply_value(void *arg, uint64_t index, struct replica_stamp at,
    struct str command, struct buf *result)
{
	struct member *m = arg;

	(void)index;
	m->last_wall = at.wall_ns;
	if (at.log_ns > m->log_ns)
		m->log_ns = at.log_ns;
	if (append_buf(&m->state, command.data, 8) != 0 ||
	    append_buf(result, command.data, 8) != 0)
		abort();
}

/*
 * Saves the number of bytes of the state, the log time, the state and padding.
 */
static int
save_values(void *arg, struct buf *out)
{
	struct member *m = arg;
	uint64_t len = m->state.len;
	int rc = append_buf(out, &len, sizeof(len));

	if (rc == 0)
		rc = append_buf(out, &m->log_ns, sizeof(m->log_ns));
	if (rc == 0)
		rc = append_buf(out, m->state.data, m->state.len);
	if (rc == 0 && m->save_fails)
		rc = ERR_LIMIT;
	for (size_t i = 0; i < m->g->snapshot_padding / 64 && rc == 0; i++)
		rc = append_buf_fmt(out, "%-64d", (int)i);
	return rc;
}

static void
clear_values(void *arg)
{
	struct member *m = arg;

	m->state.len = 0;
	m->log_ns = 0;
}

static int
load_values(void *arg, uint64_t index, struct str data)
{
	struct member *m = arg;
	uint64_t len;

	(void)index;
	if (m->load_error != 0)
		return (int)m->load_error;
	if (data.len < sizeof(len) + sizeof(m->log_ns))
		return ERR_CORRUPT;
	memcpy(&len, data.data, sizeof(len));
	memcpy(&m->log_ns, data.data + sizeof(len), sizeof(m->log_ns));
	m->state.len = 0;
	return append_buf(&m->state,
	    data.data + sizeof(len) + sizeof(m->log_ns), (size_t)len);
}

static int64_t
get_member_log_time(void *arg)
{
	return ((struct member *)arg)->log_ns;
}

static void
send_packet(void *arg, uint64_t to, const struct wire_raft_message *w)
{
	struct member *m = arg;
	struct group *g = m->g;
	struct packet *p;

	if (to >= GROUP_MAX || g->blocked[m->id][to])
		return;
	if (g->net_count == g->net_cap) {
		g->net_cap = g->net_cap != 0 ? g->net_cap * 2 : 64;
		g->net = realloc(g->net, g->net_cap * sizeof(*g->net));
		if (g->net == NULL)
			abort();
	}
	p = &g->net[g->net_count++];
	memset(p, 0, sizeof(*p));
	p->from = m->id;
	p->to = to;
	if (encode_wire((xdrproc_t)xdr_wire_raft_message, w, &p->bytes) != 0)
		fail_group(g, "a message does not encode");
}

/*
 * Keeps the membership that the replica reports to its transport.
 */
static void
record_members(void *arg, const struct raft_members *members)
{
	((struct member *)arg)->members = *members;
}

static int64_t
read_member_mono(void *arg)
{
	struct member *m = arg;
	int64_t now = m->g->pc.mono_ns + m->mono_offset;
	void (*fn)(struct member * m) = m->on_clock;

	m->on_clock = NULL;
	if (fn != NULL)
		fn(m);
	return now;
}

static int64_t
read_member_wall(void *arg)
{
	const struct member *m = arg;

	return m->g->pc.wall_ns + m->wall_offset;
}

/*
 * Starts the replica of a member on its disk. Members 1 to 3 bootstrap, the
 * others join.
 */
static int
start_member(struct group *g, uint64_t id, struct fault *f)
{
	struct member *m = &g->member[id];
	struct replica_config cfg = {
	    .clock = {read_member_mono, read_member_wall, m},
	    .id = id,
	    .data_dir = "/data",
	    .bootstrap = id <= 3 ? &g->bootstrap : NULL,
	    .machine = {apply_value, save_values, load_values, clear_values,
		get_member_log_time, m},
	    .transport = {send_packet, record_members, m},
	    .seed = draw_u64(&g->rng),
	    .snapshot_bytes = g->snapshot_bytes,
	    .segment_bytes = 4096,
	    .manual = true};

	m->g = g;
	m->id = id;
	m->io = get_mem_io(&m->disk);
	m->state.len = 0;
	m->log_ns = 0;
	cfg.io = &m->io;
	return start_replica(&cfg, &m->r, f);
}

/*
 * Stops a member; with crash, its disk loses what was not synced.
 */
static void
stop_member(struct group *g, uint64_t id, bool crash)
{
	struct member *m = &g->member[id];

	if (m->r != NULL)
		stop_replica(m->r);
	m->r = NULL;
	if (crash)
		cut_power(&m->disk, &g->rng);
}

/*
 * Opens a group in which the members 1 to voters are running voters.
 */
static struct group *
open_group(uint64_t seed, uint64_t voters)
{
	struct group *g = calloc(1, sizeof(*g));

	if (g == NULL)
		abort();
	seed_rng(&g->rng, seed);
	g->pc = (struct paused_clock){NSEC_PER_SEC, 1000 * NSEC_PER_SEC};
	g->snapshot_bytes = 1 << 20;
	for (uint64_t id = 1; id <= voters; id++) {
		struct raft_member *x =
		    &g->bootstrap.member[g->bootstrap.count++];

		x->id = id;
		x->voter = true;
		snprintf(
		    x->address, sizeof(x->address), "127.0.0.%d:1", (int)id);
	}
	for (uint64_t id = 1; id <= voters; id++) {
		if (start_member(g, id, NULL) != 0)
			fail_group(g, "a member does not start");
	}
	return g;
}

static void
drop_packet(struct group *g, size_t at)
{
	unload_buf(&g->net[at].bytes);
	memmove(&g->net[at], &g->net[at + 1],
	    (g->net_count - at - 1) * sizeof(g->net[0]));
	g->net_count--;
}

static void
close_group(struct group *g)
{
	for (uint64_t id = 1; id < GROUP_MAX; id++) {
		stop_member(g, id, false);
		unload_mem_disk(&g->member[id].disk);
		unload_buf(&g->member[id].state);
	}
	while (g->net_count > 0)
		drop_packet(g, g->net_count - 1);
	free(g->net);
	free(g);
}

/*
 * Delivers the message at position at; with duplicate, it stays in the network
 * to be delivered again.
 */
static void
deliver_packet(struct group *g, size_t at, bool duplicate)
{
	struct wire_raft_message w = {0};
	struct packet *p = &g->net[at];
	struct replica *r = g->member[p->to].r;

	if (decode_wire((xdrproc_t)xdr_wire_raft_message, view_buf(&p->bytes),
		&w) != 0) {
		fail_group(g, "a message does not decode");
		return;
	}
	if (r != NULL && !g->blocked[p->from][p->to])
		(void)step_replica(r, &w);
	unload_wire((xdrproc_t)xdr_wire_raft_message, &w);
	if (!duplicate)
		drop_packet(g, at);
}

/*
 * Runs all members that are not stalled until no message is in flight.
 */
static void
settle_group(struct group *g)
{
	for (int i = 0; i < 400; i++) {
		for (uint64_t id = 1; id < GROUP_MAX; id++) {
			if (g->member[id].r != NULL && !g->member[id].stalled)
				run_replica_work(g->member[id].r);
		}
		if (g->net_count == 0)
			return;
		for (size_t n = g->net_count; n > 0; n--)
			deliver_packet(g, 0, false);
	}
}

/*
 * Advances the clock by ms in steps of a tick and runs the members after each.
 */
static void
run_group(struct group *g, int ms)
{
	for (; ms > 0; ms -= REPLICA_TICK_MS) {
		advance_clock(&g->pc, REPLICA_TICK_MS * NSEC_PER_MSEC);
		settle_group(g);
	}
}

/*
 * Returns the leader of the highest term, 0 when there is none.
 */
static uint64_t
find_group_leader(struct group *g)
{
	uint64_t best = 0, term = 0;

	for (uint64_t id = 1; id < GROUP_MAX; id++) {
		struct replica_status s;

		if (g->member[id].r == NULL)
			continue;
		s = get_replica_status(g->member[id].r);
		if (s.role == RAFT_LEADER && s.term >= term) {
			best = id;
			term = s.term;
		}
	}
	return best;
}

/*
 * Sets whether messages to a member (in) and from it (out) are lost.
 */
static void
block_member(struct group *g, uint64_t id, bool in, bool out)
{
	for (uint64_t k = 1; k < GROUP_MAX; k++) {
		g->blocked[k][id] = in;
		g->blocked[id][k] = out;
	}
}

static void
record_proposal_outcome(
    void *arg, int status, uint64_t index, struct str result)
{
	struct outcome *o = arg;

	o->done = true;
	o->callbacks++;
	o->status = status;
	o->index = index;
	if (status == 0 && result.len == sizeof(o->result))
		memcpy(&o->result, result.data, result.len);
	if (status == 0 && index > o->g->acked_index)
		o->g->acked_index = index;
	o->g->acked_count += status == 0 ? 1 : 0;
}

/*
 * Checks that a read is not stale and that its index is applied.
 */
static void
record_read_outcome(void *arg, int status, uint64_t index)
{
	struct outcome *o = arg;

	o->done = true;
	o->callbacks++;
	o->status = status;
	o->index = index;
	if (status == 0 && index < o->min_index)
		fail_group(o->g, "a stale read");
	if (status == 0 && o->member->state.len / 8 < o->min_applied)
		fail_group(
		    o->g, "a read finished before its index was applied");
}

/*
 * Proposes a new value at a member. *o must stay valid until the callback.
 */
static int
propose_value(struct group *g, uint64_t id, struct outcome *o)
{
	memset(o, 0, sizeof(*o));
	o->g = g;
	o->value = ++g->next_value;
	return propose_replica(g->member[id].r,
	    make_str_n((const char *)&o->value, sizeof(o->value)), 2000,
	    record_proposal_outcome, o);
}

static inline int
read_value(struct group *g, uint64_t id, struct outcome *o)
{
	memset(o, 0, sizeof(*o));
	o->g = g;
	o->min_index = g->acked_index;
	o->min_applied = g->acked_count;
	o->member = &g->member[id];
	return request_replica_read(
	    g->member[id].r, 1000, record_read_outcome, o);
}

static inline int
change_group(struct group *g, uint64_t id, enum raft_change_type type,
    uint64_t member, struct outcome *o)
{
	struct raft_change c = {type, {.id = member, .address = "127.0.0.9:1"}};

	memset(o, 0, sizeof(*o));
	o->g = g;
	return change_replica_members(
	    g->member[id].r, &c, 2000, record_proposal_outcome, o);
}

/*
 * Returns whether a member has applied a value.
 */
static inline bool
has_value(const struct member *m, uint64_t value)
{
	for (size_t i = 0; i + 8 <= m->state.len; i += 8) {
		if (memcmp(m->state.data + i, &value, 8) == 0)
			return true;
	}
	return false;
}

#endif
