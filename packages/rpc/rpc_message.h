/*
 * Encoding, decoding and authentication of the records of one connection. Does
 * no I/O and reads no clock. Internal to the package.
 */
#ifndef RPC_MESSAGE_H
#define RPC_MESSAGE_H

#include "base.h"
#include "rpc.h"

#define RPC_MARK_BYTES 4 /* RFC 5531 record mark */
#define RPC_FLEET_KEY_BYTES 32 /* a fleet key after hashing */
#define RPC_MAC_BYTES 16
#define RPC_CHALLENGE_BYTES 24
#define RPC_NONCE_BYTES 16
#define RPC_HELLO_MAGIC_BYTES 8
#define RPC_SERVER_HELLO_BYTES (RPC_HELLO_MAGIC_BYTES + RPC_CHALLENGE_BYTES)
#define RPC_CLIENT_HELLO_BYTES \
	(RPC_HELLO_MAGIC_BYTES + RPC_NONCE_BYTES + RPC_MAC_BYTES)
#define RPC_PEEK_BYTES 24 /* start of a record that peek_rpc_*() need */
#define RPC_RECORD_MAX (6 * 1024 * 1024) /* longest record, in bytes */

/* Hashed fleet keys, all accepted; the first is used to connect. */
struct rpc_keys {
	unsigned char keys[2][RPC_FLEET_KEY_BYTES];
	int count;
};

/* Keys and counters of one authenticated connection. */
struct rpc_session {
	unsigned char fleet_key[RPC_FLEET_KEY_BYTES]; /* used in the hello */
	unsigned char send_key[RPC_FLEET_KEY_BYTES];
	unsigned char receive_key[RPC_FLEET_KEY_BYTES];
	uint64_t sent_counter; /* of the last message sent */
	uint64_t received_counter; /* of the last message accepted */
};

/* A decoded call or reply. */
struct rpc_message {
	uint32_t xid;
	uint32_t proc; /* calls only */
	int status; /* replies only: as in struct rpc_result */
	struct str body; /* points into the record */
};

/* Keys */
int load_rpc_keys(struct rpc_keys *k, struct str key, struct str next_key);
bool has_rpc_key(const struct rpc_keys *k, const unsigned char *fleet_key);

/* Hellos; the encoders append one record with its mark to out */
int encode_server_hello(const unsigned char *challenge, struct buf *out);
int decode_server_hello(struct str record, unsigned char *challenge);
int encode_client_hello(const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce,
    struct buf *out);
int decode_client_hello(struct str record, const struct rpc_keys *keys,
    const unsigned char *challenge, struct rpc_session *s); /* ERR_DENIED */
void start_client_session(struct rpc_session *s, const unsigned char *fleet_key,
    const unsigned char *challenge, const unsigned char *nonce);

/* Records */
int decode_rpc_mark(const char *mark, size_t max, size_t *len);
int peek_rpc_call(struct str head, uint32_t *proc); /* unverified */
int peek_rpc_reply(struct str head, uint32_t *xid); /* unverified */

/* Messages; the encoders append one record with its mark to out */
int encode_rpc_call(struct rpc_session *s, uint32_t xid, uint32_t proc,
    struct str args, struct buf *out);
int encode_rpc_reply(struct rpc_session *s, uint32_t xid, int status,
    struct str body, struct buf *out);
int decode_rpc_call(
    struct rpc_session *s, char *record, size_t len, struct rpc_message *m);
int decode_rpc_reply(
    struct rpc_session *s, char *record, size_t len, struct rpc_message *m);

#endif
