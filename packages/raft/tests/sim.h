/*
 * A group of cores in one process with a simulated network and simulated disks,
 * and invariants that are checked after every step. Included by the tests.
 */
#ifndef SIM_H
#define SIM_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "raft.h"

#define SIM_NODES 6 /* ids 1 to 5; 0 is not used */
#define SIM_TERMS_MAX 4096
#define SIM_LOG_MAX 8192
#define SIM_READS_MAX 4096
#define SIM_SNAPSHOT_BYTES 300 /* several chunks */
#define SIM_ELECTION_TICKS 4
#define SIM_HEARTBEAT_TICKS 1

/* What survives a crash of a node. */
struct sim_disk {
	struct raft_hard_state hard;
	struct raft_snapshot snapshot;
	struct raft_entry *entries;
	size_t count;
};

/* Storage work that is popped and not carried out yet; owns copies. */
struct sim_store {
	bool used;
	struct raft_store s;
	struct raft_snapshot snapshot;
};

struct sim_node {
	struct raft *core; /* NULL while crashed */
	struct sim_disk disk;
	struct sim_store pending;
	uint64_t applied;
	uint64_t hash; /* over all applied entries */
	uint64_t checked_commit; /* see check_commit() */
	int starts; /* of the node, so far */
};

struct sim_read {
	uint64_t min_index; /* highest commit of any node at the request */
	bool used;
};

struct sim {
	struct sim_node node[SIM_NODES];
	struct rng rng;
	struct raft_message *net;
	size_t net_count, net_cap;
	bool blocked[SIM_NODES][SIM_NODES]; /* messages from, to are lost */
	uint64_t leader_of[SIM_TERMS_MAX]; /* by term; 0: none yet */
	int leader_start[SIM_TERMS_MAX]; /* which start of that node */
	uint64_t committed; /* highest commit index of any node */
	uint64_t commit_term[SIM_LOG_MAX]; /* of the entry; 0: unknown */
	uint64_t commit_leader_term[SIM_LOG_MAX]; /* that committed it */
	uint64_t commit_hash[SIM_LOG_MAX]; /* of the entry */
	uint64_t state_hash[SIM_LOG_MAX]; /* after applying it; 0: not yet */
	struct sim_read reads[SIM_READS_MAX];
	uint64_t next_read, reads_done;
	uint64_t next_value;
	uint64_t snapshots_loaded;
	uint64_t elections;
	size_t append_entries; /* raft_config of the nodes started next */
	char failure[256]; /* the first violated invariant, or empty */
};

static void run_node_output(struct sim *s, uint64_t n);

/*
 * Records a violated invariant; only the first one is kept.
 */
__attribute__((format(printf, 2, 3))) static void
fail_sim(struct sim *s, const char *fmt, ...)
{
	va_list ap;

	if (s->failure[0] != '\0')
		return;
	va_start(ap, fmt);
	vsnprintf(s->failure, sizeof(s->failure), fmt, ap);
	va_end(ap);
}

static struct str
dup_str(struct str s)
{
	char *p = malloc(s.len + 1);

	if (p == NULL)
		abort();
	if (s.len > 0)
		memcpy(p, s.data, s.len);
	return (struct str){p, s.len};
}

static struct raft_entry *
dup_entries(const struct raft_entry *e, size_t n)
{
	struct raft_entry *out = calloc(n + 1, sizeof(*out));

	if (out == NULL)
		abort();
	for (size_t i = 0; i < n; i++) {
		out[i] = e[i];
		out[i].data = dup_str(e[i].data);
	}
	return out;
}

static void
free_entries(struct raft_entry *e, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free((char *)(uintptr_t)e[i].data.data);
	free(e);
}

static void
free_message(struct raft_message *m)
{
	free_entries(
	    (struct raft_entry *)(uintptr_t)m->entries, m->entry_count);
	free((char *)(uintptr_t)m->snapshot.data);
}

static struct raft_message
dup_message(const struct raft_message *m)
{
	struct raft_message c = *m;

	c.entries = dup_entries(m->entries, m->entry_count);
	c.snapshot = dup_str(m->snapshot);
	return c;
}

static uint64_t
hash_entry(const struct raft_entry *e)
{
	return hash_str(e->data, e->term * 8 + (uint64_t)e->type);
}

/*
 * Starts the core of node n from its disk.
 */
static void
start_node(struct sim *s, uint64_t n)
{
	struct sim_node *x = &s->node[n];
	struct raft_config cfg = {.id = n,
	    .seed = draw_u64(&s->rng),
	    .heartbeat_ticks = SIM_HEARTBEAT_TICKS,
	    .election_ticks = SIM_ELECTION_TICKS,
	    .append_bytes = 256,
	    .append_entries = s->append_entries,
	    .append_window = 4,
	    .chunk_bytes = 128,
	    .uncommitted_bytes = 1 << 20,
	    .trailing_bytes = 100};
	struct raft_stored st = {
	    x->disk.hard, x->disk.snapshot, x->disk.count, x->disk.entries};

	x->applied = 0;
	x->hash = 0;
	x->checked_commit = 0;
	x->starts++;
	if (open_raft(&cfg, &st, &x->core, NULL) != 0)
		fail_sim(s, "node %d does not start", (int)n);
	else
		run_node_output(s, n);
}

static void
free_store(struct sim_store *p)
{
	if (!p->used)
		return;
	free_entries(
	    (struct raft_entry *)(uintptr_t)p->s.entries, p->s.entry_count);
	free((char *)(uintptr_t)p->snapshot.data.data);
	memset(p, 0, sizeof(*p));
}

static void
truncate_disk(struct sim_disk *d, size_t count)
{
	while (d->count > count)
		free((char *)(uintptr_t)d->entries[--d->count].data.data);
}

static void
drop_disk_prefix(struct sim_disk *d, size_t n)
{
	if (n > d->count)
		n = d->count;
	for (size_t i = 0; i < n; i++)
		free((char *)(uintptr_t)d->entries[i].data.data);
	memmove(
	    d->entries, d->entries + n, (d->count - n) * sizeof(*d->entries));
	d->count -= n;
}

/*
 * Carries out the first stages of the pending storage work: 1 the hard state, 2
 * also the snapshot, 3 also the entries. A crash may stop it after any stage.
 */
static void
write_disk(struct sim *s, struct sim_node *x, int stages)
{
	struct sim_store *p = &x->pending;
	struct sim_disk *d = &x->disk;
	size_t keep;

	if (stages >= 1 && p->s.has_hard)
		d->hard = p->s.hard;
	if (stages >= 2 && p->s.snapshot != NULL) {
		free((char *)(uintptr_t)d->snapshot.data.data);
		d->snapshot = p->snapshot;
		d->snapshot.data = dup_str(p->snapshot.data);
		truncate_disk(d, 0);
	}
	if (stages < 3 || p->s.entry_count == 0)
		return;
	keep = (size_t)(p->s.first - d->snapshot.index - 1);
	if (keep > d->count) {
		fail_sim(s, "stored entries leave a gap");
		return;
	}
	truncate_disk(d, keep);
	d->entries = realloc(
	    d->entries, (d->count + p->s.entry_count) * sizeof(*d->entries));
	if (d->entries == NULL)
		abort();
	for (size_t i = 0; i < p->s.entry_count; i++) {
		d->entries[d->count] = p->s.entries[i];
		d->entries[d->count++].data = dup_str(p->s.entries[i].data);
	}
}

/*
 * Carries out the pending storage work of node n and reports it to the core.
 */
static void
finish_store(struct sim *s, uint64_t n)
{
	struct sim_node *x = &s->node[n];
	uint64_t seq = x->pending.s.seq;

	if (x->core == NULL || !x->pending.used)
		return;
	write_disk(s, x, 3);
	free_store(&x->pending);
	if (complete_raft_store(x->core, seq) != 0)
		fail_sim(s, "node %d rejects a storage completion", (int)n);
	run_node_output(s, n);
}

/*
 * Ends the core of node n after the given stages of its pending storage work;
 * the disk stays.
 */
static void
crash_node(struct sim *s, uint64_t n, int stages)
{
	struct sim_node *x = &s->node[n];

	if (x->core == NULL)
		return;
	if (x->pending.used)
		write_disk(s, x, stages);
	free_store(&x->pending);
	close_raft(x->core);
	x->core = NULL;
}

/*
 * Applies a step to node n's state, a hash over all entries, and checks that
 * all nodes apply the same sequence.
 */
static void
apply_node(struct sim *s, uint64_t n, const struct raft_apply *a)
{
	struct sim_node *x = &s->node[n];

	if (a->snapshot != NULL) {
		memcpy(&x->hash, a->snapshot->data.data, sizeof(x->hash));
		s->snapshots_loaded++;
	} else {
		if (a->index != x->applied + 1)
			fail_sim(s, "node %d skips an entry", (int)n);
		x->hash = x->hash * 1099511628211ULL + hash_entry(&a->entry);
	}
	x->applied = a->index;
	if (s->state_hash[a->index] == 0)
		s->state_hash[a->index] = x->hash;
	if (s->state_hash[a->index] != x->hash)
		fail_sim(s, "node %d applies a different sequence at %llu",
		    (int)n, (unsigned long long)a->index);
}

/*
 * Checks the entries that node n newly commits against those that any node
 * committed before at the same indexes.
 */
static void
check_commit(struct sim *s, uint64_t n)
{
	struct sim_node *x = &s->node[n];
	struct raft_status st = get_raft_status(x->core);

	for (uint64_t i = x->checked_commit + 1; i <= st.commit; i++) {
		uint64_t term = get_raft_term_at(x->core, i);

		if (s->commit_leader_term[i] == 0)
			s->commit_leader_term[i] = st.term;
		if (term == 0)
			continue; /* covered by a snapshot */
		if (s->commit_term[i] == 0)
			s->commit_term[i] = term;
		else if (s->commit_term[i] != term)
			fail_sim(s, "node %d commits a different entry at %llu",
			    (int)n, (unsigned long long)i);
	}
	x->checked_commit = st.commit;
	if (st.commit > s->committed)
		s->committed = st.commit;
}

/*
 * Checks that a term has one leader, which does not lead it again after a
 * restart, with other entries, and that a leader has all entries that
 * leaders of lower terms have committed. One that is elected late, when there
 * is a higher term already, cannot have what that term commits, and commits
 * nothing itself.
 */
static void
check_leader(struct sim *s, uint64_t n)
{
	struct raft_status st = get_raft_status(s->node[n].core);

	if (st.role != RAFT_LEADER)
		return;
	if (s->leader_of[st.term % SIM_TERMS_MAX] == n) {
		if (s->leader_start[st.term % SIM_TERMS_MAX] !=
		    s->node[n].starts)
			fail_sim(s, "node %d leads term %llu again", (int)n,
			    (unsigned long long)st.term);
		return;
	}
	if (s->leader_of[st.term % SIM_TERMS_MAX] != 0)
		fail_sim(
		    s, "two leaders in term %llu", (unsigned long long)st.term);
	s->leader_of[st.term % SIM_TERMS_MAX] = n;
	s->leader_start[st.term % SIM_TERMS_MAX] = s->node[n].starts;
	s->elections++;
	for (uint64_t i = st.snapshot + 1; i <= s->committed; i++) {
		if (s->commit_leader_term[i] == 0 ||
		    s->commit_leader_term[i] >= st.term)
			continue;
		if (st.last < i)
			fail_sim(
			    s, "leader %d lacks committed entries", (int)n);
		if (s->commit_term[i] != 0 &&
		    get_raft_term_at(s->node[n].core, i) != s->commit_term[i])
			fail_sim(s, "leader %d lost committed entry %llu",
			    (int)n, (unsigned long long)i);
	}
}

/*
 * Checks log matching on the disks: two logs with an entry of equal index and
 * term are equal up to it.
 */
static void
check_logs(struct sim *s)
{
	for (int a = 1; a < SIM_NODES; a++) {
		for (int b = a + 1; b < SIM_NODES; b++) {
			const struct sim_disk *x = &s->node[a].disk;
			const struct sim_disk *y = &s->node[b].disk;
			uint64_t i = x->snapshot.index + x->count;
			uint64_t low = x->snapshot.index > y->snapshot.index ?
					   x->snapshot.index :
					   y->snapshot.index;
			bool matched = false;

			if (i > y->snapshot.index + y->count)
				i = y->snapshot.index + y->count;
			for (; i > low; i--) {
				const struct raft_entry *e, *g;

				e = &x->entries[i - x->snapshot.index - 1];
				g = &y->entries[i - y->snapshot.index - 1];
				if (e->term == g->term)
					matched = true;
				if (matched && hash_entry(e) != hash_entry(g))
					fail_sim(
					    s, "logs %d and %d differ", a, b);
			}
		}
	}
}

/*
 * Puts a copy of m into the network, unless its path is blocked.
 */
static void
send_net(struct sim *s, const struct raft_message *m)
{
	if (m->to >= SIM_NODES || s->blocked[m->from][m->to])
		return;
	if (s->net_count == s->net_cap) {
		s->net_cap = s->net_cap != 0 ? s->net_cap * 2 : 64;
		s->net = realloc(s->net, s->net_cap * sizeof(*s->net));
		if (s->net == NULL)
			abort();
	}
	s->net[s->net_count++] = dup_message(m);
}

/*
 * Carries out all output of node n, except that storage work stays pending
 * until finish_store().
 */
static void
run_node_output(struct sim *s, uint64_t n)
{
	struct sim_node *x = &s->node[n];
	struct raft_message m;
	struct raft_store st;
	struct raft_apply a;
	struct raft_read rd;

	check_leader(s, n);
	check_commit(s, n);
	while (pop_raft_message(x->core, &m))
		send_net(s, &m);
	if (!x->pending.used && pop_raft_store(x->core, &st)) {
		x->pending.used = true;
		x->pending.s = st;
		x->pending.s.entries = dup_entries(st.entries, st.entry_count);
		if (st.snapshot != NULL) {
			x->pending.snapshot = *st.snapshot;
			x->pending.snapshot.data = dup_str(st.snapshot->data);
		}
	}
	while (pop_raft_apply(x->core, &a))
		apply_node(s, n, &a);
	while (pop_raft_read(x->core, &rd)) {
		struct sim_read *r = &s->reads[rd.context % SIM_READS_MAX];

		if (rd.status != 0)
			continue;
		if (!r->used)
			fail_sim(s, "a read finished twice");
		r->used = false;
		s->reads_done++;
		if (rd.index < r->min_index)
			fail_sim(s,
			    "node %d read at %llu, but %llu was committed",
			    (int)n, (unsigned long long)rd.index,
			    (unsigned long long)r->min_index);
	}
}

/*
 * Delivers the message at position at; with duplicate, it stays in the network
 * to be delivered again.
 */
static void
deliver_message(struct sim *s, size_t at, bool duplicate)
{
	struct raft_message m = s->net[at];
	int rc;

	if (duplicate) {
		m = dup_message(&m);
	} else {
		memmove(&s->net[at], &s->net[at + 1],
		    (s->net_count - at - 1) * sizeof(m));
		s->net_count--;
	}
	if (s->node[m.to].core != NULL && !s->blocked[m.from][m.to]) {
		rc = step_raft(s->node[m.to].core, &m);
		if (rc != 0)
			fail_sim(s, "node %d returns %s for type %d from %d",
			    (int)m.to, get_err_name(rc), (int)m.type,
			    (int)m.from);
		run_node_output(s, m.to);
	}
	free_message(&m);
}

static void
drop_message(struct sim *s, size_t at)
{
	free_message(&s->net[at]);
	memmove(&s->net[at], &s->net[at + 1],
	    (s->net_count - at - 1) * sizeof(s->net[0]));
	s->net_count--;
}

static void
tick_node(struct sim *s, uint64_t n)
{
	if (s->node[n].core == NULL)
		return;
	if (tick_raft(s->node[n].core) != 0)
		fail_sim(s, "node %d fails a tick", (int)n);
	run_node_output(s, n);
}

/*
 * Proposes a new value at node n and sets *index if that is the leader. Returns
 * the error of propose_raft(), ERR_CLOSED on a crashed node.
 */
static int
propose_node(struct sim *s, uint64_t n, uint64_t *index)
{
	char text[32];
	int rc, len;

	if (s->node[n].core == NULL)
		return ERR_CLOSED;
	len = snprintf(text, sizeof(text), "value %llu",
	    (unsigned long long)s->next_value++);
	rc =
	    propose_raft(s->node[n].core, make_str_n(text, (size_t)len), index);
	run_node_output(s, n);
	return rc;
}

/*
 * Requests a read index at node n; run_node_output() checks its result.
 */
static int
read_node(struct sim *s, uint64_t n)
{
	uint64_t ctx = s->next_read;
	int rc;

	if (s->node[n].core == NULL)
		return ERR_CLOSED;
	s->reads[ctx % SIM_READS_MAX] = (struct sim_read){s->committed, true};
	rc = request_raft_read(s->node[n].core, ctx);
	if (rc == 0)
		s->next_read++;
	run_node_output(s, n);
	return rc;
}

/*
 * Takes a snapshot on node n and compacts its disk as the core's log.
 */
static void
compact_node(struct sim *s, uint64_t n)
{
	struct sim_node *x = &s->node[n];
	char data[SIM_SNAPSHOT_BYTES];
	const struct raft_snapshot *snap;
	size_t drop_count;

	if (x->core == NULL || x->applied == 0)
		return;
	memset(data, 's', sizeof(data));
	memcpy(data, &x->hash, sizeof(x->hash));
	if (compact_raft(x->core, x->applied, make_str_n(data, sizeof(data))) !=
	    0)
		return;
	snap = get_raft_snapshot(x->core);
	drop_count = (size_t)(snap->index - x->disk.snapshot.index);
	drop_disk_prefix(&x->disk, drop_count);
	free((char *)(uintptr_t)x->disk.snapshot.data.data);
	x->disk.snapshot = *snap;
	x->disk.snapshot.data = dup_str(snap->data);
	run_node_output(s, n);
}

/*
 * Proposes a membership change at node n. Returns the error of
 * change_raft_members(), ERR_CLOSED on a crashed node.
 */
static int
change_node(struct sim *s, uint64_t n, enum raft_change_type type, uint64_t id)
{
	struct raft_change c = {type, {.id = id}};
	uint64_t index;
	int rc;

	if (s->node[n].core == NULL)
		return ERR_CLOSED;
	rc = change_raft_members(s->node[n].core, &c, &index, NULL);
	run_node_output(s, n);
	return rc;
}

/*
 * Opens a group in which the nodes 1 to voters are running voters.
 */
static struct sim *
open_sim(uint64_t seed, uint64_t voters)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct raft_members m = {0};

	if (s == NULL)
		abort();
	seed_rng(&s->rng, seed);
	s->next_read = 1;
	s->append_entries = 8;
	for (uint64_t n = 1; n <= voters; n++) {
		m.member[m.count].id = n;
		m.member[m.count++].voter = true;
	}
	for (uint64_t n = 1; n < SIM_NODES; n++) {
		if (n <= voters)
			s->node[n].disk.snapshot.members = m;
	}
	for (uint64_t n = 1; n <= voters; n++)
		start_node(s, n);
	return s;
}

static void
close_sim(struct sim *s)
{
	for (uint64_t n = 1; n < SIM_NODES; n++) {
		crash_node(s, n, 0);
		truncate_disk(&s->node[n].disk, 0);
		free(s->node[n].disk.entries);
		free((char *)(uintptr_t)s->node[n].disk.snapshot.data.data);
	}
	while (s->net_count > 0)
		drop_message(s, s->net_count - 1);
	free(s->net);
	free(s);
}

/*
 * Delivers messages and carries out storage work until none is left.
 */
static void
settle_sim(struct sim *s)
{
	bool more = true;

	for (int round = 0; more && round < 1000; round++) {
		more = s->net_count > 0;
		while (s->net_count > 0 && s->failure[0] == '\0')
			deliver_message(s, 0, false);
		for (uint64_t n = 1; n < SIM_NODES; n++) {
			more = more || s->node[n].pending.used;
			finish_store(s, n);
		}
	}
}

/*
 * Runs all nodes for a number of ticks, without faults of network or disks.
 */
static void
run_sim(struct sim *s, int ticks)
{
	for (int t = 0; t < ticks && s->failure[0] == '\0'; t++) {
		for (uint64_t n = 1; n < SIM_NODES; n++)
			tick_node(s, n);
		settle_sim(s);
	}
}

/*
 * Returns the leader of the highest term, 0 when there is none.
 */
static uint64_t
find_leader(const struct sim *s)
{
	uint64_t best = 0, term = 0;

	for (uint64_t n = 1; n < SIM_NODES; n++) {
		struct raft_status st;

		if (s->node[n].core == NULL)
			continue;
		st = get_raft_status(s->node[n].core);
		if (st.role == RAFT_LEADER && st.term >= term) {
			best = n;
			term = st.term;
		}
	}
	return best;
}

/*
 * Sets whether messages to node n (in) and from it (out) are lost.
 */
static void
block_node(struct sim *s, uint64_t n, bool in, bool out)
{
	for (uint64_t k = 1; k < SIM_NODES; k++) {
		s->blocked[k][n] = in;
		s->blocked[n][k] = out;
	}
}

static void
heal_sim(struct sim *s)
{
	memset(s->blocked, 0, sizeof(s->blocked));
}

/*
 * Ends all faults, then checks that the group commits again and that all its
 * members apply the new entry.
 */
static void
check_recovery(struct sim *s)
{
	const struct raft_members *m;
	uint64_t lead, index = 0;

	heal_sim(s);
	for (uint64_t n = 1; n < SIM_NODES; n++) {
		bool known = s->node[n].disk.hard.term != 0 ||
			     s->node[n].disk.snapshot.members.count != 0;

		if (s->node[n].core == NULL && known)
			start_node(s, n);
	}
	run_sim(s, 30 * SIM_ELECTION_TICKS);
	lead = find_leader(s);
	if (lead == 0) {
		fail_sim(s, "no leader after the faults ended");
		return;
	}
	if (propose_node(s, lead, &index) != 0)
		fail_sim(
		    s, "the leader refuses a proposal after the faults ended");
	run_sim(s, 5 * SIM_ELECTION_TICKS);
	m = get_raft_members(s->node[lead].core);
	for (size_t i = 0; i < m->count; i++) {
		uint64_t id = m->member[i].id;

		if (s->node[id].core != NULL && s->node[id].applied < index)
			fail_sim(s, "member %d does not catch up", (int)id);
	}
	check_logs(s);
}

#endif
