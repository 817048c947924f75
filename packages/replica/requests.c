/*
 * Proposals and reads under way, and their completion.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "replica_core.h"

static int reserve_proposal(struct replica *r);
static int append_stamp(struct replica *r);
static void put_i64(char *p, int64_t v);
static void track_proposal(
    struct replica *r, const struct item *it, uint64_t index);
static void end_proposal(const struct pending_proposal *p, int status,
    uint64_t index, struct str result);
static void remove_read(struct replica *r, size_t at, int status);

/*
 * Puts a command into the log, behind the leader's stamp.
 */
void
run_proposal(struct replica *r, struct item *it)
{
	uint64_t index;
	int rc = reserve_proposal(r);

	r->scratch.len = 0;
	if (rc == 0)
		rc = append_stamp(r);
	if (rc == 0)
		rc = append_buf(&r->scratch, it->command.data, it->command.len);
	if (rc == 0)
		rc = propose_raft(r->raft, view_buf(&r->scratch), &index);
	if (rc != 0) {
		it->propose_fn(it->arg, rc == ERR_MEMORY ? ERR_LIMIT : rc, 0,
		    make_str_n(NULL, 0));
		return;
	}
	r->accepted++;
	track_proposal(r, it, index);
}

void
run_change(struct replica *r, struct item *it)
{
	struct fault f = {0};
	uint64_t index;
	int rc = reserve_proposal(r);

	if (rc == 0)
		rc = change_raft_members(r->raft, &it->change, &index, &f);
	if (rc != 0) {
		if (rc != ERR_UNAVAILABLE)
			write_log(LOG_LEVEL_NOTICE,
			    "membership change refused: %s", f.text);
		it->propose_fn(it->arg, rc, 0, make_str(f.text));
		return;
	}
	track_proposal(r, it, index);
}

/*
 * Completes the proposal whose entry was applied. Another entry in its place
 * means that it never takes effect.
 */
void
finish_proposals(
    struct replica *r, uint64_t index, uint64_t term, struct str result)
{
	while (r->proposal_count > 0) {
		struct pending_proposal p = r->proposals[r->proposal_first];

		if (p.index > index)
			return;
		r->proposal_first++;
		r->proposal_count--;
		if (p.index < index)
			end_proposal(&p, ERR_UNKNOWN, 0, make_str_n(NULL, 0));
		else if (p.term != term)
			end_proposal(
			    &p, ERR_UNAVAILABLE, 0, make_str_n(NULL, 0));
		else
			end_proposal(&p, 0, index, result);
	}
}

/*
 * A snapshot stands for the entries up to index; which ones they were is not
 * known.
 */
void
skip_proposals(struct replica *r, uint64_t index)
{
	finish_proposals(r, index + 1, 0, make_str_n(NULL, 0));
}

void
add_read(struct replica *r, struct item *it)
{
	struct pending_read *grown;
	size_t cap;

	if (r->read_count == r->read_cap) {
		cap = r->read_cap != 0 ? r->read_cap * 2 : 64;
		grown = realloc(r->reads, cap * sizeof(*grown));
		if (grown == NULL) {
			it->read_fn(it->arg, ERR_UNAVAILABLE, 0);
			return;
		}
		r->reads = grown;
		r->read_cap = cap;
	}
	r->reads[r->read_count++] = (struct pending_read){.state = READ_WAITING,
	    .deadline = it->deadline,
	    .fn = it->read_fn,
	    .arg = it->arg};
}

/*
 * Asks for one read index for all reads that wait.
 */
void
send_reads(struct replica *r)
{
	uint64_t context = r->next_context;
	bool waiting = false;

	for (size_t i = 0; i < r->read_count && !waiting; i++)
		waiting = r->reads[i].state == READ_WAITING;
	if (!waiting || request_raft_read(r->raft, context) != 0)
		return;
	r->next_context++;
	for (size_t i = 0; i < r->read_count; i++) {
		if (r->reads[i].state != READ_WAITING)
			continue;
		r->reads[i].state = READ_SENT;
		r->reads[i].context = context;
	}
}

/*
 * Notes the answer to a context. Refused reads wait for the next leader, as
 * long as their time allows.
 */
void
note_read(struct replica *r, const struct raft_read *rd)
{
	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read *p = &r->reads[i];

		if (p->state != READ_SENT || p->context != rd->context)
			continue;
		p->state = rd->status == 0 ? READ_CONFIRMED : READ_WAITING;
		p->index = rd->index;
	}
}

void
finish_reads(struct replica *r)
{
	uint64_t applied = get_raft_status(r->raft).applied;
	size_t i = 0;

	while (i < r->read_count) {
		if (r->reads[i].state == READ_CONFIRMED &&
		    r->reads[i].index <= applied)
			remove_read(r, i, 0);
		else
			i++;
	}
}

/*
 * Ends what waits for too long. A proposal in the log may still take effect.
 */
void
expire_requests(struct replica *r, int64_t now)
{
	size_t n = r->proposal_count, first = r->proposal_first, i = 0;

	r->proposal_count = 0;
	for (size_t k = first; k < first + n; k++) {
		struct pending_proposal p = r->proposals[k];

		if (p.deadline <= now)
			end_proposal(&p, ERR_UNKNOWN, 0, make_str_n(NULL, 0));
		else
			r->proposals[first + r->proposal_count++] = p;
	}
	while (i < r->read_count) {
		if (r->reads[i].deadline <= now)
			remove_read(r, i, ERR_UNAVAILABLE);
		else
			i++;
	}
}

/*
 * Ends everything, for a replica that stops or fails.
 */
void
fail_requests(struct replica *r)
{
	expire_requests(r, INT64_MAX);
}

/*
 * Makes room for one more proposal.
 */
static int
reserve_proposal(struct replica *r)
{
	struct pending_proposal *grown;
	size_t cap;

	if (r->proposal_first + r->proposal_count < r->proposal_cap)
		return 0;
	if (r->proposal_first > r->proposal_cap / 2) {
		memmove(r->proposals, r->proposals + r->proposal_first,
		    r->proposal_count * sizeof(*r->proposals));
		r->proposal_first = 0;
		return 0;
	}
	cap = r->proposal_cap != 0 ? r->proposal_cap * 2 : 64;
	grown = realloc(r->proposals, cap * sizeof(*grown));
	if (grown == NULL)
		return ERR_MEMORY;
	r->proposals = grown;
	r->proposal_cap = cap;
	return 0;
}

/*
 * Remembers a proposal. Older ones at its index and after were cut from the log
 * when the leadership was lost in between; another member may still hold and
 * commit them.
 */
static void
track_proposal(struct replica *r, const struct item *it, uint64_t index)
{
	struct pending_proposal *all = r->proposals + r->proposal_first;

	while (r->proposal_count > 0 &&
	       all[r->proposal_count - 1].index >= index) {
		r->proposal_count--;
		end_proposal(&all[r->proposal_count], ERR_UNKNOWN, 0,
		    make_str_n(NULL, 0));
	}
	all[r->proposal_count++] =
	    (struct pending_proposal){index, get_raft_status(r->raft).term,
		it->deadline, it->propose_fn, it->arg};
}

static void
end_proposal(const struct pending_proposal *p, int status, uint64_t index,
    struct str result)
{
	p->fn(p->arg, status, index, result);
}

/*
 * Takes a read out of the list and calls back.
 */
static void
remove_read(struct replica *r, size_t at, int status)
{
	struct pending_read p = r->reads[at];

	r->reads[at] = r->reads[--r->read_count];
	p.fn(p.arg, status, status == 0 ? p.index : 0);
}

/*
 * Appends the two times of struct replica_stamp, little endian.
 */
static int
append_stamp(struct replica *r)
{
	uint64_t term = get_raft_status(r->raft).term;
	int64_t mono = read_mono(&r->cfg.clock);
	char bytes[REPLICA_STAMP_BYTES];

	put_i64(bytes, read_log_time(&r->log_time, term, mono));
	put_i64(bytes + 8, read_wall(&r->cfg.clock));
	return append_buf(&r->scratch, bytes, sizeof(bytes));
}

static void
put_i64(char *p, int64_t v)
{
	for (int i = 0; i < 8; i++)
		p[i] = (char)((uint64_t)v >> (8 * i));
}
