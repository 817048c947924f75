/*
 * Conversion of the core's messages to wire messages and back. The wire has no
 * types for forwarded reads and leadership transfer: they are sent as
 * heartbeats or heartbeat replies that the hint marks.
 */
#include "replica_core.h"

#define HEARTBEAT_HINT_READ 1 /* RAFT_READ or RAFT_READ_REPLY */
#define HEARTBEAT_HINT_CAMPAIGN 2 /* RAFT_CAMPAIGN */

static int import_type(const struct wire_raft_message *w,
    enum raft_message_type *type, uint64_t *hint);

/*
 * Fills w from m. Entries and snapshot bytes are not copied; the membership is
 * encoded into r->scratch. w is valid until either changes.
 */
void
export_raft_message(struct replica *r, const struct raft_message *m,
    struct wire_raft_message *w)
{
	*w = (struct wire_raft_message){0};
	w->type = (wire_raft_type)m->type;
	w->hint = m->hint;
	if (m->type == RAFT_READ || m->type == RAFT_CAMPAIGN) {
		w->type = WIRE_RAFT_HEARTBEAT;
		w->hint = m->type == RAFT_READ ? HEARTBEAT_HINT_READ :
						 HEARTBEAT_HINT_CAMPAIGN;
	} else if (m->type == RAFT_READ_REPLY) {
		w->type = WIRE_RAFT_HEARTBEAT_REPLY;
		w->hint = HEARTBEAT_HINT_READ;
	}
	w->from = m->from;
	w->to = m->to;
	w->term = m->term;
	w->log_index = m->log_index;
	w->log_term = m->log_term;
	w->commit = m->commit;
	w->context = m->context;
	w->reject = m->reject;
	for (size_t i = 0; i < m->entry_count; i++) {
		struct wire_raft_entry *e = &r->entries[i];

		e->term = m->entries[i].term;
		e->type = (u_int)m->entries[i].type;
		e->data.data_len = (u_int)m->entries[i].data.len;
		e->data.data_val = (char *)(uintptr_t)m->entries[i].data.data;
	}
	w->entries.entries_len = (u_int)m->entry_count;
	w->entries.entries_val = r->entries;
	w->snapshot_offset = m->snapshot_offset;
	w->snapshot_size = m->snapshot_size;
	w->snapshot.snapshot_len = (u_int)m->snapshot.len;
	w->snapshot.snapshot_val = (char *)(uintptr_t)m->snapshot.data;
	if (m->type != RAFT_SNAPSHOT)
		return;
	r->scratch.len = 0;
	if (encode_raft_members(&m->members, &r->scratch) != 0)
		return;
	w->members.members_len = (u_int)r->scratch.len;
	w->members.members_val = r->scratch.data;
}

/*
 * Fills m from w; entries has room for WIRE_ENTRIES_MAX. Entries and snapshot
 * bytes are not copied. Returns ERR_INVALID for a message that no replica
 * sends.
 */
int
import_raft_message(const struct wire_raft_message *w, struct raft_message *m,
    struct raft_entry *entries)
{
	*m = (struct raft_message){0};
	if (import_type(w, &m->type, &m->hint) != 0 ||
	    w->entries.entries_len > WIRE_ENTRIES_MAX)
		return ERR_INVALID;
	m->from = w->from;
	m->to = w->to;
	m->term = w->term;
	m->log_index = w->log_index;
	m->log_term = w->log_term;
	m->commit = w->commit;
	m->context = w->context;
	m->reject = w->reject != 0;
	for (u_int i = 0; i < w->entries.entries_len; i++) {
		const struct wire_raft_entry *e = &w->entries.entries_val[i];

		if (e->type > RAFT_ENTRY_EMPTY)
			return ERR_INVALID;
		entries[i].term = e->term;
		entries[i].type = (enum raft_entry_type)e->type;
		entries[i].data =
		    make_str_n(e->data.data_val, e->data.data_len);
	}
	m->entry_count = w->entries.entries_len;
	m->entries = entries;
	m->snapshot_offset = w->snapshot_offset;
	m->snapshot_size = w->snapshot_size;
	m->snapshot =
	    make_str_n(w->snapshot.snapshot_val, w->snapshot.snapshot_len);
	if (m->type != RAFT_SNAPSHOT)
		return 0;
	if (decode_raft_members(
		make_str_n(w->members.members_val, w->members.members_len),
		&m->members) != 0)
		return ERR_INVALID;
	return 0;
}

/*
 * Maps the type and hint of w to a type of the core. Returns ERR_INVALID for an
 * unknown type.
 */
static int
import_type(const struct wire_raft_message *w, enum raft_message_type *type,
    uint64_t *hint)
{
	*hint = w->hint;
	if ((int)w->type < 0 || w->type > WIRE_RAFT_HEARTBEAT_REPLY)
		return ERR_INVALID;
	*type = (enum raft_message_type)w->type;
	if (w->type == WIRE_RAFT_HEARTBEAT && w->hint == HEARTBEAT_HINT_READ)
		*type = RAFT_READ;
	else if (w->type == WIRE_RAFT_HEARTBEAT &&
		 w->hint == HEARTBEAT_HINT_CAMPAIGN)
		*type = RAFT_CAMPAIGN;
	else if (w->type == WIRE_RAFT_HEARTBEAT_REPLY &&
		 w->hint == HEARTBEAT_HINT_READ)
		*type = RAFT_READ_REPLY;
	return 0;
}
