/*
 * Records, hellos and messages. Messages have RFC 5531 call and reply headers,
 * encoded by libtirpc. A call carries its counter in the credentials and its
 * keyed hash in the verifier; a reply has no credentials and carries both in
 * the verifier. The hash covers the whole record, with zeros in place of the
 * hash itself.
 */
#include <string.h>

#include <sodium.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

#include "rpc_message.h"
#include "wire.h"

#define FLEET_FLAVOR 0x47475331 /* "GGS1": flavor of credentials and verifier */
#define COUNTER_BYTES 8
#define CALL_HEADER_BYTES (RPC_CALL_OVERHEAD - RPC_MARK_BYTES)
#define REPLY_HEADER_BYTES (RPC_REPLY_OVERHEAD - RPC_MARK_BYTES)
#define CALL_COUNTER_OFFSET 32 /* offsets in a record, after its mark */
#define CALL_MAC_OFFSET 48
#define REPLY_COUNTER_OFFSET 20
#define REPLY_MAC_OFFSET 28
#define CALL_PROC_OFFSET 20
#define LAST_FRAGMENT 0x80000000u
#define COUNTER_MAX UINT64_MAX

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
static void sign_record(
    const unsigned char *key, char *record, size_t len, size_t mac_offset);
static int verify_record(const unsigned char *key, char *record, size_t len,
    size_t mac_offset, size_t counter_offset, uint64_t *last_counter);
static int encode_status(int status);
static int decode_stat(int stat);

/*
 * Hashes keys of RPC_KEY_MIN_BYTES to RPC_KEY_MAX_BYTES to a fixed length;
 * next_key may be empty. Returns ERR_INVALID for a key of another length and
 * ERR_IO when libsodium cannot start; k is unchanged then.
 */
int
load_rpc_keys(struct rpc_keys *k, struct str key, struct str next_key)
{
	const struct str in[2] = {key, next_key};
	struct rpc_keys loaded = {0};

	if (sodium_init() < 0)
		return ERR_IO;
	for (int i = 0; i < 2; i++) {
		if (i == 1 && in[i].len == 0)
			break;
		if (in[i].len < RPC_KEY_MIN_BYTES ||
		    in[i].len > RPC_KEY_MAX_BYTES)
			return ERR_INVALID;
		crypto_generichash(loaded.keys[i], RPC_FLEET_KEY_BYTES,
		    (const unsigned char *)in[i].data, in[i].len, NULL, 0);
		loaded.count++;
	}
	*k = loaded;
	return 0;
}

/*
 * Compares a hashed key with each accepted one, in constant time.
 */
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
 * Encodes the client's first record, which proves possession of a fleet key, so
 * that a server buffers no messages of a peer without one.
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
 * side of the session: the client's keys, swapped. Returns ERR_CORRUPT for a
 * malformed hello and ERR_DENIED when it matches no key.
 */
int
decode_client_hello(struct str record, const struct rpc_keys *keys,
    const unsigned char *challenge, struct rpc_session *s)
{
	const unsigned char *nonce, *expected;
	unsigned char mac[RPC_MAC_BYTES];

	if (record.len != RPC_CLIENT_HELLO_BYTES ||
	    memcmp(record.data, client_magic, sizeof(client_magic)) != 0)
		return ERR_CORRUPT;
	nonce = (const unsigned char *)record.data + sizeof(client_magic);
	expected = nonce + RPC_NONCE_BYTES;
	for (int i = 0; i < keys->count; i++) {
		hash_hello(keys->keys[i], challenge, nonce, mac);
		if (sodium_memcmp(mac, expected, sizeof(mac)) != 0)
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
 * Derives the keys of both directions for the client's side of a connection.
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
 * Decodes a record mark of RPC_MARK_BYTES. The protocol uses no records of
 * several fragments. Returns ERR_CORRUPT for a fragment or an empty record and
 * ERR_LIMIT for a record of more than max bytes.
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
 * Reads the procedure from the first RPC_PEEK_BYTES of a call, so that its size
 * can be limited before the record is complete. Returns ERR_CORRUPT when it is
 * no call and ERR_NOT_FOUND for a procedure of RPC_PROC_MAX or above.
 */
int
peek_rpc_call(struct str head, uint32_t *proc)
{
	if (head.len < RPC_PEEK_BYTES || load_u32(head.data + 4) != CALL)
		return ERR_CORRUPT;
	*proc = load_u32(head.data + CALL_PROC_OFFSET);
	return *proc < RPC_PROC_MAX ? 0 : ERR_NOT_FOUND;
}

/*
 * Reads the xid from the first RPC_PEEK_BYTES of a reply. Returns ERR_CORRUPT
 * when it is no reply.
 */
int
peek_rpc_reply(struct str head, uint32_t *xid)
{
	if (head.len < RPC_PEEK_BYTES || load_u32(head.data + 4) != REPLY)
		return ERR_CORRUPT;
	*xid = load_u32(head.data);
	return 0;
}

/*
 * Encodes and signs a call with the next counter. Returns ERR_INVALID when the
 * header has an unexpected size and ERR_MEMORY; the counter then stays.
 */
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

	store_u64(counter, s->sent_counter + 1);
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
	s->sent_counter++;
	sign_record(s->send_key, out->data + at + RPC_MARK_BYTES,
	    sizeof(head) + args.len, CALL_MAC_OFFSET);
	return 0;
}

/*
 * Encodes and signs a reply with the next counter; body is omitted when status
 * is not 0. Errors are those of encode_rpc_call().
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
	store_u64(verf, s->sent_counter + 1);
	m.rm_xid = xid;
	m.rm_direction = REPLY;
	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf =
	    (struct opaque_auth){FLEET_FLAVOR, verf, sizeof(verf)};
	m.acpted_rply.ar_stat = (enum accept_stat)encode_status(status);
	m.acpted_rply.ar_results.proc = skip_results;
	xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
	if (!xdr_replymsg(&x, &m) || xdr_getpos(&x) != sizeof(head))
		return ERR_INVALID;
	rc = append_record(out, head, sizeof(head), body);
	if (rc != 0)
		return rc;
	s->sent_counter++;
	sign_record(s->send_key, out->data + at + RPC_MARK_BYTES,
	    sizeof(head) + body.len, REPLY_MAC_OFFSET);
	return 0;
}

/*
 * Parses the header of a call, which has a fixed length and bounded cost, and
 * then checks hash and counter. Zeroes the hash in record; m->body points into
 * record. Returns ERR_CORRUPT (malformed), ERR_DENIED (wrong key or changed
 * bytes) or ERR_STALE (unexpected counter).
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
	return verify_record(s->receive_key, record, len, CALL_MAC_OFFSET,
	    CALL_COUNTER_OFFSET, &s->received_counter);
}

/*
 * Decodes a reply like decode_rpc_call(), with the same errors. Kinds of reply
 * that the server never sends (denied, program mismatch) are malformed.
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
	m->status = decode_stat(msg.acpted_rply.ar_stat);
	m->body =
	    make_str_n(record + REPLY_HEADER_BYTES, len - REPLY_HEADER_BYTES);
	return verify_record(s->receive_key, record, len, REPLY_MAC_OFFSET,
	    REPLY_COUNTER_OFFSET, &s->received_counter);
}

/*
 * Encodes and decodes nothing: results are copied separately from the header.
 */
static bool_t
skip_results(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

/*
 * Loads and stores of big-endian numbers.
 */
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
 * Appends a record mark, head and body. Returns ERR_MEMORY, with out unchanged.
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

/*
 * Computes the keyed hash of a client hello, of RPC_MAC_BYTES.
 */
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

/*
 * Derives the key of one direction ("call" or "reply") of a connection.
 */
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
 * Stores the keyed hash of a record at mac_offset, where it must have zeros.
 */
static void
sign_record(
    const unsigned char *key, char *record, size_t len, size_t mac_offset)
{
	unsigned char mac[RPC_MAC_BYTES];

	crypto_generichash(mac, sizeof(mac), (const unsigned char *)record, len,
	    key, RPC_FLEET_KEY_BYTES);
	memcpy(record + mac_offset, mac, sizeof(mac));
}

/*
 * Checks the keyed hash of a record, zeroing it, and that the counter is the
 * next one. TCP keeps the order, so any other counter indicates a replay.
 * Returns ERR_DENIED or ERR_STALE.
 */
static int
verify_record(const unsigned char *key, char *record, size_t len,
    size_t mac_offset, size_t counter_offset, uint64_t *last_counter)
{
	unsigned char mac[RPC_MAC_BYTES], expected[RPC_MAC_BYTES];

	memcpy(expected, record + mac_offset, sizeof(expected));
	memset(record + mac_offset, 0, sizeof(expected));
	crypto_generichash(mac, sizeof(mac), (const unsigned char *)record, len,
	    key, RPC_FLEET_KEY_BYTES);
	if (sodium_memcmp(mac, expected, sizeof(mac)) != 0)
		return ERR_DENIED;
	if (*last_counter == COUNTER_MAX ||
	    load_u64(record + counter_offset) != *last_counter + 1)
		return ERR_STALE;
	(*last_counter)++;
	return 0;
}

/*
 * Converts a status to the accept_stat of RFC 5531; errors without a
 * counterpart become SYSTEM_ERR.
 */
static int
encode_status(int status)
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

/*
 * Converts an accept_stat to a status; errors without a counterpart become
 * ERR_LIMIT.
 */
static int
decode_stat(int stat)
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
