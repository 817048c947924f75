/*
 * The inbox: other threads put copies of messages and requests into it, the
 * replica's thread handles them.
 */
#include <stdlib.h>
#include <string.h>

#include "replica_core.h"

static struct inbox_item *make_item(
    struct replica *r, enum item_kind kind, size_t extra, int timeout_ms);

/*
 * Queues a copy of an incoming message. Returns ERR_INVALID for a message that
 * no replica sends (or without memory), ERR_LIMIT when the inbox is full,
 * ERR_UNAVAILABLE when the replica has failed, ERR_CLOSED when it stops.
 */
int
step_replica(struct replica *r, const struct wire_raft_message *m)
{
	struct inbox_item *it;

	if (m->to != r->cfg.id)
		return ERR_INVALID;
	it = make_message_item(m);
	if (it == NULL)
		return ERR_INVALID;
	return push_item(r, it);
}

/*
 * Proposes a command for the log. ERR_UNAVAILABLE in the callback means that
 * this member is not the leader (get_replica_status() names it) or is handing
 * leadership over.
 */
int
propose_replica(struct replica *r, struct str command, int timeout_ms,
    replica_propose_fn fn, void *arg)
{
	struct inbox_item *it;

	if (command.len > REPLICA_COMMAND_MAX)
		return ERR_INVALID;
	it = make_item(r, ITEM_PROPOSE, command.len, timeout_ms);
	if (it == NULL)
		return ERR_MEMORY;
	if (command.len > 0)
		memcpy(it + 1, command.data, command.len);
	it->command = make_str_n((char *)(it + 1), command.len);
	it->propose_fn = fn;
	it->arg = arg;
	return push_item(r, it);
}

/*
 * Requests a read index, on any member, that a quorum confirms after this call.
 */
int
request_replica_read(
    struct replica *r, int timeout_ms, replica_read_fn fn, void *arg)
{
	struct inbox_item *it = make_item(r, ITEM_READ, 0, timeout_ms);

	if (it == NULL)
		return ERR_MEMORY;
	it->read_fn = fn;
	it->arg = arg;
	return push_item(r, it);
}

/*
 * Proposes a change of one member. Besides the results of a proposal, the
 * callback may get ERR_CONFLICT (another change is in progress, or this one is
 * not safe now: retry later), ERR_NOT_FOUND or, when the group is full,
 * ERR_LIMIT.
 */
int
change_replica_members(struct replica *r, const struct raft_change *change,
    int timeout_ms, replica_propose_fn fn, void *arg)
{
	struct inbox_item *it = make_item(r, ITEM_CHANGE, 0, timeout_ms);

	if (it == NULL)
		return ERR_MEMORY;
	it->change = *change;
	it->propose_fn = fn;
	it->arg = arg;
	return push_item(r, it);
}

int
transfer_replica_leadership(struct replica *r)
{
	struct inbox_item *it = make_item(r, ITEM_TRANSFER, 0, 0);

	return it != NULL ? push_item(r, it) : ERR_MEMORY;
}

/*
 * Puts an item into the inbox or, on an error, frees it. Messages may be
 * dropped, so a quarter of the inbox is reserved for requests.
 */
int
push_item(struct replica *r, struct inbox_item *it)
{
	size_t limit = REPLICA_INBOX_MAX;
	int rc = 0;

	if (it->kind == ITEM_MESSAGE)
		limit -= REPLICA_INBOX_MAX / 4;
	pthread_mutex_lock(&r->lock);
	if (r->stopping)
		rc = ERR_CLOSED;
	else if (r->status.failed)
		rc = ERR_UNAVAILABLE;
	else if (r->inbox_count >= limit)
		rc = ERR_LIMIT;
	if (rc == ERR_LIMIT && it->kind == ITEM_MESSAGE)
		r->status.dropped++;
	if (rc == 0) {
		it->next = NULL;
		*r->inbox_tail = it;
		r->inbox_tail = &it->next;
		if (r->inbox_count++ == 0)
			pthread_cond_signal(&r->wake);
	}
	pthread_mutex_unlock(&r->lock);
	if (rc != 0)
		free(it);
	return rc;
}

/*
 * Copies a message with all its bytes into one allocation. Returns NULL without
 * memory or for an invalid message.
 */
struct inbox_item *
make_message_item(const struct wire_raft_message *m)
{
	size_t n = m->entries.entries_len, bytes = m->snapshot.snapshot_len;
	struct raft_entry *entries;
	struct inbox_item *it;
	char *p;

	if (n > WIRE_ENTRIES_MAX)
		return NULL;
	for (size_t i = 0; i < n; i++)
		bytes += m->entries.entries_val[i].data.data_len;
	it = calloc(1, sizeof(*it) + n * sizeof(*entries) + bytes);
	if (it == NULL)
		return NULL;
	entries = (struct raft_entry *)(it + 1);
	it->kind = ITEM_MESSAGE;
	if (import_raft_message(m, &it->message, entries) != 0) {
		free(it);
		return NULL;
	}
	p = (char *)(entries + n);
	for (size_t i = 0; i < n; i++) {
		if (entries[i].data.len > 0)
			memcpy(p, entries[i].data.data, entries[i].data.len);
		entries[i].data.data = p;
		p += entries[i].data.len;
	}
	if (it->message.snapshot.len > 0)
		memcpy(p, it->message.snapshot.data, it->message.snapshot.len);
	it->message.snapshot.data = p;
	return it;
}

/*
 * Fails the request of an item that will not run, and frees the item.
 */
void
reject_item(struct inbox_item *it, int status)
{
	if (it->kind == ITEM_PROPOSE || it->kind == ITEM_CHANGE)
		it->propose_fn(it->arg, status, 0, make_str_n(NULL, 0));
	else if (it->kind == ITEM_READ)
		it->read_fn(it->arg, ERR_UNAVAILABLE, 0);
	free(it);
}

/*
 * Handles one item on the replica's thread and frees it.
 */
void
handle_item(struct replica *r, struct inbox_item *it)
{
	int rc;

	if (r->failed) {
		reject_item(it, ERR_UNAVAILABLE);
		return;
	}
	switch (it->kind) {
	case ITEM_MESSAGE:
		rc = step_raft(r->raft, &it->message);
		if (rc == ERR_CORRUPT)
			fail_replica(r, ERR_CORRUPT,
			    "a leader tried to replace a committed entry; "
			    "check that no two members have the same id");
		break;
	case ITEM_PROPOSE:
		handle_proposal(r, it);
		break;
	case ITEM_READ:
		add_read(r, it);
		break;
	case ITEM_CHANGE:
		handle_change(r, it);
		break;
	case ITEM_TRANSFER:
		transfer_raft_leadership(r->raft, 0);
		break;
	}
	free(it);
}

/*
 * Allocates an item with extra bytes after it. Returns NULL without memory.
 */
static struct inbox_item *
make_item(struct replica *r, enum item_kind kind, size_t extra, int timeout_ms)
{
	struct inbox_item *it = calloc(1, sizeof(*it) + extra);

	if (it == NULL)
		return NULL;
	it->kind = kind;
	it->deadline_ns = read_mono(&r->cfg.clock) + timeout_ms * NSEC_PER_MSEC;
	return it;
}
