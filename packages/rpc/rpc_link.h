/*
 * The part of a connection that client and server share: stream, session, fault
 * hooks and byte counts. Used by one thread. Internal to the package.
 */
#ifndef RPC_LINK_H
#define RPC_LINK_H

#include "rpc.h"
#include "rpc_message.h"
#include "rpc_meter.h"
#include "rpc_stream.h"

struct rpc_delayed; /* a message that a fault hook delays */

/* A message to send. */
struct rpc_outgoing {
	bool is_reply;
	uint32_t xid;
	uint32_t proc;
	int status; /* replies only */
	struct str body; /* encoded arguments or result */
};

struct rpc_link {
	struct rpc_stream stream;
	struct rpc_session session;
	bool handshake_done; /* the hellos are exchanged */
	uint64_t conn_id;
	char peer[RPC_ADDRESS_BYTES];
	const struct rpc_fault_hooks *hooks;
	struct rpc_meter *meter;
	struct rpc_delayed *delayed; /* unordered list */
};

void open_rpc_link(struct rpc_link *l, int fd, uint64_t conn_id,
    const char *peer, const struct rpc_fault_hooks *hooks,
    struct rpc_meter *meter, int64_t now);
void close_rpc_link(struct rpc_link *l);
int send_rpc_message(struct rpc_link *l, const struct rpc_outgoing *m,
    int64_t now); /* buffers it; ERR_CLOSED: a hook breaks the connection */
int send_rpc_delayed(struct rpc_link *l, int64_t now); /* if due */
int64_t get_rpc_delayed_due(const struct rpc_link *l); /* INT64_MAX: none */

#endif
