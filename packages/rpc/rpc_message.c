/*
 * Records, hellos and messages. The headers are RFC 5531 call and reply
 * headers, encoded by libtirpc. A call carries its counter in the credentials
 * and its keyed hash in the verifier; a reply has no credentials and carries
 * both in the verifier. The hash covers the whole record with the hash's own
 * bytes zeroed.
 */
#include <string.h>

#include <sodium.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

#include "rpc_message.h"
#include "wire.h"

#define FLEET_FLAVOR 0x47475331 /* "GGS1", of credentials and verifier */
#define COUNTER_BYTES 8
#define CALL_HEADER_BYTES (RPC_CALL_OVERHEAD - RPC_MARK_BYTES)
#define REPLY_HEADER_BYTES (RPC_REPLY_OVERHEAD - RPC_MARK_BYTES)
#define CALL_COUNTER_AT 32 /* offset of the counter in a call */
#define CALL_MAC_AT 48 /* offset of the hash in a call */
#define REPLY_COUNTER_AT 20
#define REPLY_MAC_AT 28
#define PROC_AT 20 /* offset of the procedure in a call */
#define LAST_FRAGMENT 0x80000000u
#define SEQUENCE_MAX UINT64_MAX

static const char server_magic[RPC_HELLO_MAGIC_BYTES] = "GGSRPCs1";
static const char client_magic[RPC_HELLO_MAGIC_BYTES] = "GGSRPCc1";

static bool_t skip_results(XDR *x, ...);
static uint32_t load_u32(const char *p);
static void store_u32(char *p, uint32_t v);
static uint64_t load_u64(const char *p);
static void store_u64(char *p, uint64_t v);
static int append_record(
    struct buf *out, const char *head, size_t head_len, struct str body);
static void hash_hello(const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce,
    unsigned char *mac);
static void derive_key(const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce,
    const char *direction, unsigned char *key);
static void seal_record(
    const unsigned char *key, char *record, size_t len, size_t mac_at);
static int open_record(const unsigned char *key, char *record, size_t len,
    size_t mac_at, size_t counter_at, uint64_t *received);
static int status_to_stat(int status);
static int stat_to_status(int stat);

/*
 * Hashes the keys, of RPC_KEY_MIN_BYTES to RPC_KEY_MAX_BYTES, to their fixed
 * length; next_key may be empty. Returns ERR_INVALID, with k unchanged, for a
 * key of another length.
 */
int
load_rpc_keys(struct rpc_keys *k, struct str key, struct str next_key)
{
	const struct str in[2] = {key, next_key};
	struct rpc_keys made = {0};

	if (sodium_init() < 0)
		return ERR_IO;
	for (int i = 0; i < 2; i++) {
		if (i == 1 && in[i].len == 0)
			break;
		if (in[i].len < RPC_KEY_MIN_BYTES ||
		    in[i].len > RPC_KEY_MAX_BYTES)
			return ERR_INVALID;
		crypto_generichash(made.keys[i], RPC_FLEET_KEY_BYTES,
		    (const unsigned char *)in[i].data, in[i].len, NULL, 0);
		made.count++;
	}
	*k = made;
	return 0;
}

bool
has_rpc_key(const struct rpc_keys *k, const unsigned char *fleet_key)
{
	for (int i = 0; i < k->count; i++) {
		if (sodium_memcmp(k->keys[i], fleet_key, RPC_FLEET_KEY_BYTES) ==
		    0)
			return true;
	}
	return false;
}

int
encode_server_hello(const unsigned char *challenge, struct buf *out)
{
	return append_record(out, server_magic, sizeof(server_magic),
	    make_str_n((const char *)challenge, RPC_CHALLENGE_BYTES));
}

int
decode_server_hello(struct str record, unsigned char *challenge)
{
	if (record.len != RPC_SERVER_HELLO_BYTES ||
	    memcmp(record.data, server_magic, sizeof(server_magic)) != 0)
		return ERR_CORRUPT;
	memcpy(
	    challenge, record.data + sizeof(server_magic), RPC_CHALLENGE_BYTES);
	return 0;
}

/*
 * The client proves with its first record that it holds a fleet key, so that
 * a server buffers no message for a peer without one.
 */
int
encode_client_hello(const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce, struct buf *out)
{
	char body[RPC_NONCE_BYTES + RPC_MAC_BYTES];

	memcpy(body, nonce, RPC_NONCE_BYTES);
	hash_hello(fleet_key, challenge, nonce,
	    (unsigned char *)body + RPC_NONCE_BYTES);
	return append_record(out, client_magic, sizeof(client_magic),
	    make_str_n(body, sizeof(body)));
}

/*
 * Checks a client's hello against each accepted key and starts the server's
 * side of the session. Returns ERR_CORRUPT for a malformed hello and
 * ERR_DENIED when no key fits.
 */
int
decode_client_hello(struct str record, const struct rpc_keys *keys,
    const unsigned char *challenge, struct rpc_session *s)
{
	const unsigned char *nonce, *want;
	unsigned char mac[RPC_MAC_BYTES];

	if (record.len != RPC_CLIENT_HELLO_BYTES ||
	    memcmp(record.data, client_magic, sizeof(client_magic)) != 0)
		return ERR_CORRUPT;
	nonce = (const unsigned char *)record.data + sizeof(client_magic);
	want = nonce + RPC_NONCE_BYTES;
	for (int i = 0; i < keys->count; i++) {
		hash_hello(keys->keys[i], challenge, nonce, mac);
		if (sodium_memcmp(mac, want, sizeof(mac)) != 0)
			continue;
		start_client_session(s, keys->keys[i], challenge, nonce);
		for (size_t b = 0; b < RPC_FLEET_KEY_BYTES; b++) {
			unsigned char t = s->send_key[b];

			s->send_key[b] = s->receive_key[b];
			s->receive_key[b] = t;
		}
		return 0;
	}
	return ERR_DENIED;
}

/*
 * Derives the two keys of the connection as the client uses them.
 */
void
start_client_session(struct rpc_session *s, const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce)
{
	*s = (struct rpc_session){0};
	memcpy(s->fleet_key, fleet_key, RPC_FLEET_KEY_BYTES);
	derive_key(fleet_key, challenge, nonce, "call", s->send_key);
	derive_key(fleet_key, challenge, nonce, "reply", s->receive_key);
}

/*
 * Reads a record mark of RPC_MARK_BYTES. Records of several fragments are not
 * part of the protocol. Returns ERR_CORRUPT for a fragment and ERR_LIMIT for a
 * record of more than max bytes.
 */
int
decode_rpc_mark(const char *mark, size_t max, size_t *len)
{
	uint32_t v = load_u32(mark);

	if ((v & LAST_FRAGMENT) == 0)
		return ERR_CORRUPT;
	*len = v & ~LAST_FRAGMENT;
	if (*len > max)
		return ERR_LIMIT;
	return *len == 0 ? ERR_CORRUPT : 0;
}

/*
 * Reads the procedure from the first RPC_PEEK_BYTES of a call, before the
 * record is complete, so that its size can be limited.
 */
int
peek_rpc_call(struct str head, uint32_t *proc)
{
	if (head.len < RPC_PEEK_BYTES || load_u32(head.data + 4) != CALL)
		return ERR_CORRUPT;
	*proc = load_u32(head.data + PROC_AT);
	return *proc < RPC_PROC_MAX ? 0 : ERR_NOT_FOUND;
}

int
peek_rpc_reply(struct str head, uint32_t *xid)
{
	if (head.len < RPC_PEEK_BYTES || load_u32(head.data + 4) != REPLY)
		return ERR_CORRUPT;
	*xid = load_u32(head.data);
	return 0;
}

int
encode_rpc_call(struct rpc_session *s, uint32_t xid, uint32_t proc,
    struct str args, struct buf *out)
{
	char head[CALL_HEADER_BYTES], counter[COUNTER_BYTES];
	char mac[RPC_MAC_BYTES] = {0};
	struct rpc_msg m = {0};
	size_t at = out->len;
	XDR x;
	int rc;

	store_u64(counter, s->sent + 1);
	m.rm_xid = xid;
	m.rm_direction = CALL;
	m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	m.rm_call.cb_prog = GGS_PROGRAM;
	m.rm_call.cb_vers = GGS_V1;
	m.rm_call.cb_proc = proc;
	m.rm_call.cb_cred =
	    (struct opaque_auth){FLEET_FLAVOR, counter, sizeof(counter)};
	m.rm_call.cb_verf =
	    (struct opaque_auth){FLEET_FLAVOR, mac, sizeof(mac)};
	xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
	if (!xdr_callmsg(&x, &m) || xdr_getpos(&x) != sizeof(head))
		return ERR_INVALID;
	rc = append_record(out, head, sizeof(head), args);
	if (rc != 0)
		return rc;
	s->sent++;
	seal_record(s->send_key, out->data + at + RPC_MARK_BYTES,
	    sizeof(head) + args.len, CALL_MAC_AT);
	return 0;
}

/*
 * Encodes a reply; body is left out when status is not 0.
 */
int
encode_rpc_reply(struct rpc_session *s, uint32_t xid, int status,
    struct str body, struct buf *out)
{
	char head[REPLY_HEADER_BYTES];
	char verf[COUNTER_BYTES + RPC_MAC_BYTES] = {0};
	struct rpc_msg m = {0};
	size_t at = out->len;
	XDR x;
	int rc;

	if (status != 0)
		body = (struct str){NULL, 0};
	store_u64(verf, s->sent + 1);
	m.rm_xid = xid;
	m.rm_direction = REPLY;
	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf =
	    (struct opaque_auth){FLEET_FLAVOR, verf, sizeof(verf)};
	m.acpted_rply.ar_stat = (enum accept_stat)status_to_stat(status);
	m.acpted_rply.ar_results.proc = skip_results;
	xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
	if (!xdr_replymsg(&x, &m) || xdr_getpos(&x) != sizeof(head))
		return ERR_INVALID;
	rc = append_record(out, head, sizeof(head), body);
	if (rc != 0)
		return rc;
	s->sent++;
	seal_record(s->send_key, out->data + at + RPC_MARK_BYTES,
	    sizeof(head) + body.len, REPLY_MAC_AT);
	return 0;
}

/*
 * Decodes a call record and checks hash and counter, in this order: the header
 * is parsed first, since it has a fixed form and bounded cost. record is
 * changed (its hash is zeroed). Returns ERR_CORRUPT (malformed), ERR_DENIED
 * (wrong key or changed bytes) or ERR_STALE (replayed).
 */
int
decode_rpc_call(
    struct rpc_session *s, char *record, size_t len, struct rpc_message *m)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	bool ok;
	XDR x;

	if (len < CALL_HEADER_BYTES)
		return ERR_CORRUPT;
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, record, CALL_HEADER_BYTES, XDR_DECODE);
	ok = xdr_callmsg(&x, &msg) && xdr_getpos(&x) == CALL_HEADER_BYTES;
	if (!ok || msg.rm_call.cb_cred.oa_flavor != FLEET_FLAVOR ||
	    msg.rm_call.cb_cred.oa_length != COUNTER_BYTES ||
	    msg.rm_call.cb_verf.oa_flavor != FLEET_FLAVOR ||
	    msg.rm_call.cb_verf.oa_length != RPC_MAC_BYTES ||
	    msg.rm_call.cb_prog != GGS_PROGRAM || msg.rm_call.cb_vers != GGS_V1)
		return ERR_CORRUPT;
	m->xid = msg.rm_xid;
	m->proc = msg.rm_call.cb_proc;
	m->status = 0;
	m->body =
	    make_str_n(record + CALL_HEADER_BYTES, len - CALL_HEADER_BYTES);
	return open_record(s->receive_key, record, len, CALL_MAC_AT,
	    CALL_COUNTER_AT, &s->received);
}

/*
 * Decodes a reply record; errors as decode_rpc_call(). A reply of a form that
 * the server never sends (denied, program mismatch) is malformed.
 */
int
decode_rpc_reply(
    struct rpc_session *s, char *record, size_t len, struct rpc_message *m)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	bool ok;
	XDR x;

	if (len < REPLY_HEADER_BYTES)
		return ERR_CORRUPT;
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = skip_results;
	xdrmem_create(&x, record, REPLY_HEADER_BYTES, XDR_DECODE);
	ok = load_u32(record + 4) == REPLY &&
	     load_u32(record + 8) == MSG_ACCEPTED && xdr_replymsg(&x, &msg) &&
	     xdr_getpos(&x) == REPLY_HEADER_BYTES;
	if (!ok || msg.acpted_rply.ar_verf.oa_flavor != FLEET_FLAVOR ||
	    msg.acpted_rply.ar_verf.oa_length != COUNTER_BYTES + RPC_MAC_BYTES)
		return ERR_CORRUPT;
	m->xid = msg.rm_xid;
	m->proc = 0;
	m->status = stat_to_status(msg.acpted_rply.ar_stat);
	m->body =
	    make_str_n(record + REPLY_HEADER_BYTES, len - REPLY_HEADER_BYTES);
	return open_record(s->receive_key, record, len, REPLY_MAC_AT,
	    REPLY_COUNTER_AT, &s->received);
}

/*
 * Stands for the results of a reply, which are copied apart from the header.
 */
static bool_t
skip_results(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

static uint32_t
load_u32(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	       (uint32_t)u[2] << 8 | u[3];
}

static void
store_u32(char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (char)(v >> (24 - 8 * i));
}

static uint64_t
load_u64(const char *p)
{
	return (uint64_t)load_u32(p) << 32 | load_u32(p + 4);
}

static void
store_u64(char *p, uint64_t v)
{
	store_u32(p, (uint32_t)(v >> 32));
	store_u32(p + 4, (uint32_t)v);
}

/*
 * Appends a record mark, head and body; out is unchanged on ERR_MEMORY.
 */
static int
append_record(
    struct buf *out, const char *head, size_t head_len, struct str body)
{
	char mark[RPC_MARK_BYTES];
	size_t at = out->len;
	int rc;

	store_u32(mark, LAST_FRAGMENT | (uint32_t)(head_len + body.len));
	rc = append_buf(out, mark, sizeof(mark));
	if (rc == 0)
		rc = append_buf(out, head, head_len);
	if (rc == 0)
		rc = append_buf_str(out, body);
	if (rc != 0)
		out->len = at;
	return rc;
}

static void
hash_hello(const unsigned char *fleet_key, const unsigned char *challenge,
    const unsigned char *nonce, unsigned char *mac)
{
	crypto_generichash_state st;

	crypto_generichash_init(
	    &st, fleet_key, RPC_FLEET_KEY_BYTES, RPC_MAC_BYTES);
	crypto_generichash_update(
	    &st, (const unsigned char *)client_magic, sizeof(client_magic));
	crypto_generichash_update(&st, challenge, RPC_CHALLENGE_BYTES);
	crypto_generichash_update(&st, nonce, RPC_NONCE_BYTES);
	crypto_generichash_final(&st, mac, RPC_MAC_BYTES);
}

static void
derive_key(const unsigned char *fleet_key, const unsigned char *challenge,
    const unsigned char *nonce, const char *direction, unsigned char *key)
{
	crypto_generichash_state st;

	crypto_generichash_init(
	    &st, fleet_key, RPC_FLEET_KEY_BYTES, RPC_FLEET_KEY_BYTES);
	crypto_generichash_update(
	    &st, (const unsigned char *)direction, strlen(direction));
	crypto_generichash_update(&st, challenge, RPC_CHALLENGE_BYTES);
	crypto_generichash_update(&st, nonce, RPC_NONCE_BYTES);
	crypto_generichash_final(&st, key, RPC_FLEET_KEY_BYTES);
}

/*
 * Writes the keyed hash of the record into its zeroed place.
 */
static void
seal_record(const unsigned char *key, char *record, size_t len, size_t mac_at)
{
	unsigned char mac[RPC_MAC_BYTES];

	crypto_generichash(mac, sizeof(mac), (const unsigned char *)record, len,
	    key, RPC_FLEET_KEY_BYTES);
	memcpy(record + mac_at, mac, sizeof(mac));
}

/*
 * Checks the keyed hash of a record, zeroing its place, and then that the
 * counter follows the last one. TCP keeps the order, so any other counter is
 * a replay.
 */
static int
open_record(const unsigned char *key, char *record, size_t len, size_t mac_at,
    size_t counter_at, uint64_t *received)
{
	unsigned char mac[RPC_MAC_BYTES], want[RPC_MAC_BYTES];

	memcpy(want, record + mac_at, sizeof(want));
	memset(record + mac_at, 0, sizeof(want));
	crypto_generichash(mac, sizeof(mac), (const unsigned char *)record, len,
	    key, RPC_FLEET_KEY_BYTES);
	if (sodium_memcmp(mac, want, sizeof(mac)) != 0)
		return ERR_DENIED;
	if (*received == SEQUENCE_MAX ||
	    load_u64(record + counter_at) != *received + 1)
		return ERR_STALE;
	(*received)++;
	return 0;
}

static int
status_to_stat(int status)
{
	switch (status) {
	case 0:
		return SUCCESS;
	case ERR_NOT_FOUND:
		return PROC_UNAVAIL;
	case ERR_INVALID:
		return GARBAGE_ARGS;
	default:
		return SYSTEM_ERR;
	}
}

static int
stat_to_status(int stat)
{
	switch (stat) {
	case SUCCESS:
		return 0;
	case PROC_UNAVAIL:
		return ERR_NOT_FOUND;
	case GARBAGE_ARGS:
		return ERR_INVALID;
	default:
		return ERR_LIMIT;
	}
}
