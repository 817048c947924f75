/*
 * Membership: its encoding, the table of peers, and quorums.
 */
#include <string.h>

#include "raft_core.h"

#define MEMBERS_FORMAT 1 /* first byte of an encoded membership */

static uint64_t decode_u64(const char *p);

/*
 * Appends the encoded m to out: format and count (a byte each), then for each
 * member its id (8 bytes, little-endian), voter flag, address length (a byte
 * each) and address.
 */
int
encode_raft_members(const struct raft_members *m, struct buf *out)
{
	unsigned char head[2] = {MEMBERS_FORMAT, (unsigned char)m->count};
	int rc = append_buf(out, head, sizeof(head));

	for (size_t i = 0; i < m->count && rc == 0; i++) {
		const struct raft_member *x = &m->member[i];
		size_t len = strnlen(x->address, RAFT_ADDRESS_BYTES - 1);
		unsigned char fixed[10];

		for (int k = 0; k < 8; k++)
			fixed[k] = (unsigned char)(x->id >> (8 * k));
		fixed[8] = x->voter ? 1 : 0;
		fixed[9] = (unsigned char)len;
		rc = append_buf(out, fixed, sizeof(fixed));
		if (rc == 0)
			rc = append_buf(out, x->address, len);
	}
	return rc;
}

/*
 * Decodes what encode_raft_members() wrote. Returns ERR_CORRUPT for any other
 * bytes, also for a zero or repeated id.
 */
int
decode_raft_members(struct str bytes, struct raft_members *out)
{
	const char *p = bytes.data, *end = bytes.data + bytes.len;
	size_t count, len;

	memset(out, 0, sizeof(*out));
	if (bytes.len < 2 || p[0] != MEMBERS_FORMAT)
		return ERR_CORRUPT;
	count = (unsigned char)p[1];
	if (count > RAFT_MEMBERS_MAX)
		return ERR_CORRUPT;
	p += 2;
	for (size_t i = 0; i < count; i++) {
		struct raft_member *x = &out->member[i];

		if (end - p < 10)
			return ERR_CORRUPT;
		x->id = decode_u64(p);
		x->voter = p[8] != 0;
		len = (unsigned char)p[9];
		p += 10;
		if (x->id == 0 || len >= RAFT_ADDRESS_BYTES ||
		    (size_t)(end - p) < len ||
		    find_raft_member(out, x->id) != NULL)
			return ERR_CORRUPT;
		memcpy(x->address, p, len);
		p += len;
		out->count++;
	}
	return p == end ? 0 : ERR_CORRUPT;
}

const struct raft_member *
find_raft_member(const struct raft_members *m, uint64_t id)
{
	for (size_t i = 0; i < m->count; i++) {
		if (m->member[i].id == id)
			return &m->member[i];
	}
	return NULL;
}

/*
 * Rebuilds the table of peers from r->members. Members that stay keep their
 * progress.
 */
void
rebuild_peers(struct raft *r)
{
	struct peer old[RAFT_MEMBERS_MAX];
	size_t old_count = r->peer_count;

	memcpy(old, r->peers, sizeof(old));
	memset(r->peers, 0, sizeof(r->peers));
	r->peer_count = r->members.count;
	for (size_t i = 0; i < r->members.count; i++) {
		struct peer *p = &r->peers[i];

		p->next = get_log_last(&r->log) + 1;
		for (size_t k = 0; k < old_count; k++) {
			if (old[k].id == r->members.member[i].id)
				*p = old[k];
		}
		p->id = r->members.member[i].id;
		p->voter = r->members.member[i].voter;
	}
}

/*
 * Puts the newest membership in the log into effect, or that of the snapshot
 * when the log has none. Returns ERR_CORRUPT when it does not decode.
 */
int
load_log_members(struct raft *r)
{
	uint64_t i;
	int rc;

	for (i = get_log_last(&r->log); i > r->log.base_index; i--) {
		if (get_log_entry(&r->log, i)->type == RAFT_ENTRY_MEMBERS)
			break;
	}
	if (i <= r->snapshot.index) {
		r->members = r->snapshot.members;
		r->members_index = r->snapshot.index;
	} else {
		rc = decode_raft_members(
		    get_log_entry(&r->log, i)->data, &r->members);
		if (rc != 0)
			return rc;
		r->members_index = i;
	}
	rebuild_peers(r);
	return 0;
}

/*
 * Finds the membership in effect at index, which must not be below the
 * snapshot. Returns ERR_CORRUPT when it does not decode.
 */
int
find_members_at(const struct raft *r, uint64_t index, struct raft_members *out)
{
	for (uint64_t i = index; i > r->snapshot.index; i--) {
		const struct raft_entry *e = get_log_entry(&r->log, i);

		if (e != NULL && e->type == RAFT_ENTRY_MEMBERS)
			return decode_raft_members(e->data, out);
	}
	*out = r->snapshot.members;
	return 0;
}

struct peer *
find_peer(struct raft *r, uint64_t id)
{
	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return &r->peers[i];
	}
	return NULL;
}

bool
is_self_voter(const struct raft *r)
{
	const struct raft_member *m = find_raft_member(&r->members, r->cfg.id);

	return m != NULL && m->voter;
}

/*
 * Returns how many voters make a majority.
 */
size_t
get_quorum_size(const struct raft *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->peer_count; i++)
		n += r->peers[i].voter ? 1 : 0;
	return n / 2 + 1;
}

/*
 * Returns the highest index that is durable on a majority of voters or, with
 * of_rounds, the highest heartbeat round that a majority acknowledged. This
 * member counts with what it has stored and with every round it sent.
 */
uint64_t
get_quorum_value(const struct raft *r, bool of_rounds)
{
	uint64_t values[RAFT_MEMBERS_MAX], v;
	size_t n = 0, at;

	for (size_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (!p->voter)
			continue;
		v = of_rounds ? p->acked_round : p->match;
		if (p->id == r->cfg.id)
			v = of_rounds ? r->round_sent : r->stable;
		for (at = n; at > 0 && values[at - 1] < v; at--)
			values[at] = values[at - 1];
		values[at] = v;
		n++;
	}
	return n > 0 ? values[n / 2] : 0;
}

/*
 * Returns whether a majority of voters answered with vote.
 */
bool
has_quorum_votes(const struct raft *r, enum peer_vote vote)
{
	size_t n = 0;

	for (size_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].voter && r->peers[i].vote == vote)
			n++;
	}
	return n >= get_quorum_size(r);
}

/*
 * Counts the voters that replied within the last election_ticks, and this
 * member.
 */
size_t
count_active_voters(const struct raft *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (p->voter &&
		    (p->id == r->cfg.id ||
			p->ticks_since_contact < r->cfg.election_ticks))
			n++;
	}
	return n;
}

static uint64_t
decode_u64(const char *p)
{
	uint64_t v = 0;

	for (int k = 7; k >= 0; k--)
		v = v << 8 | (unsigned char)p[k];
	return v;
}
