/*
 * Pending proposals and reads, and their completion.
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "replica_core.h"

static int reserve_proposal(struct replica *r);
static int append_stamp(struct replica *r);
static void put_i64(char *p, int64_t v);
static void track_proposal(
    struct replica *r, const struct inbox_item *it, uint64_t index);
static void complete_proposal(const struct pending_proposal *p, int status,
    uint64_t index, struct str result);
static void complete_read(struct replica *r, size_t at, int status);

/*
 * Proposes a command, with the leader's stamp before it.
 */
void
handle_proposal(struct replica *r, struct inbox_item *it)
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
	r->accepted_proposals++;
	track_proposal(r, it, index);
}

/*
 * Proposes a membership change. The callback gets the reason of a refusal as
 * its result.
 */
void
handle_change(struct replica *r, struct inbox_item *it)
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
 * Completes the proposal at index, whose entry was applied. If that entry is of
 * another term, the proposal never takes effect (ERR_UNAVAILABLE). Proposals
 * before index end with ERR_UNKNOWN.
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
			complete_proposal(
			    &p, ERR_UNKNOWN, 0, make_str_n(NULL, 0));
		else if (p.term != term)
			complete_proposal(
			    &p, ERR_UNAVAILABLE, 0, make_str_n(NULL, 0));
		else
			complete_proposal(&p, 0, index, result);
	}
}

/*
 * Ends the proposals up to index with ERR_UNKNOWN after a snapshot was loaded:
 * which entries it includes is not known. One at index + 1 followed a replaced
 * entry, so it never takes effect.
 */
void
fail_skipped_proposals(struct replica *r, uint64_t index)
{
	finish_proposals(r, index + 1, 0, make_str_n(NULL, 0));
}

/*
 * Adds a read that waits for a leader. Without memory it fails.
 */
void
add_read(struct replica *r, struct inbox_item *it)
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
	    .deadline_ns = it->deadline_ns,
	    .fn = it->read_fn,
	    .arg = it->arg};
}

/*
 * Requests one read index for all waiting reads.
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
 * Handles the core's result for a context. Failed reads wait for the next
 * leader until their deadline.
 */
void
handle_read_result(struct replica *r, const struct raft_read *rd)
{
	for (size_t i = 0; i < r->read_count; i++) {
		struct pending_read *p = &r->reads[i];

		if (p->state != READ_SENT || p->context != rd->context)
			continue;
		p->state = rd->status == 0 ? READ_CONFIRMED : READ_WAITING;
		p->index = rd->index;
	}
}

/*
 * Completes the confirmed reads whose index is applied.
 */
void
finish_reads(struct replica *r)
{
	uint64_t applied = get_raft_status(r->raft).applied;
	size_t i = 0;

	while (i < r->read_count) {
		if (r->reads[i].state == READ_CONFIRMED &&
		    r->reads[i].index <= applied)
			complete_read(r, i, 0);
		else
			i++;
	}
}

/*
 * Ends the requests whose deadline has passed. A proposal in the log may still
 * take effect, so it ends with ERR_UNKNOWN.
 */
void
expire_requests(struct replica *r, int64_t now)
{
	size_t n = r->proposal_count, first = r->proposal_first, i = 0;

	r->proposal_count = 0;
	for (size_t k = first; k < first + n; k++) {
		struct pending_proposal p = r->proposals[k];

		if (p.deadline_ns <= now)
			complete_proposal(
			    &p, ERR_UNKNOWN, 0, make_str_n(NULL, 0));
		else
			r->proposals[first + r->proposal_count++] = p;
	}
	while (i < r->read_count) {
		if (r->reads[i].deadline_ns <= now)
			complete_read(r, i, ERR_UNAVAILABLE);
		else
			i++;
	}
}

/*
 * Ends all pending requests, for a replica that stops or fails.
 */
void
fail_requests(struct replica *r)
{
	expire_requests(r, INT64_MAX);
}

/*
 * Makes room for one more pending proposal. Returns ERR_MEMORY.
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
 * Adds a pending proposal. Older ones at its index and after were truncated
 * from the log when the leadership was lost in between; another member may
 * still have and commit them, so they end with ERR_UNKNOWN.
 */
static void
track_proposal(struct replica *r, const struct inbox_item *it, uint64_t index)
{
	struct pending_proposal *all = r->proposals + r->proposal_first;

	while (r->proposal_count > 0 &&
	       all[r->proposal_count - 1].index >= index) {
		r->proposal_count--;
		complete_proposal(&all[r->proposal_count], ERR_UNKNOWN, 0,
		    make_str_n(NULL, 0));
	}
	all[r->proposal_count++] =
	    (struct pending_proposal){index, get_raft_status(r->raft).term,
		it->deadline_ns, it->propose_fn, it->arg};
}

static void
complete_proposal(const struct pending_proposal *p, int status, uint64_t index,
    struct str result)
{
	p->fn(p->arg, status, index, result);
}

/*
 * Removes a read from the list and calls back.
 */
static void
complete_read(struct replica *r, size_t at, int status)
{
	struct pending_read p = r->reads[at];

	r->reads[at] = r->reads[--r->read_count];
	p.fn(p.arg, status, status == 0 ? p.index : 0);
}

/*
 * Appends the two times of struct replica_stamp, little-endian, to r->scratch.
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
