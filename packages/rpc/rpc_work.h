/*
 * The worker pool of a server: queues calls and connection closings. Internal
 * to the package.
 */
#ifndef RPC_WORK_H
#define RPC_WORK_H

#include "rpc.h"

struct rpc_work; /* the pool */
struct rpc_tracker; /* the running calls of one connection */

struct rpc_work *open_rpc_work(const struct rpc_server_config *cfg);
void close_rpc_work(struct rpc_work *w); /* after all trackers are closed */

struct rpc_tracker *open_rpc_tracker(uint64_t conn, const char *peer);
void close_rpc_tracker(struct rpc_work *w, struct rpc_tracker *t);

/* Queues a call; args are copied. ERR_MEMORY: nothing was queued. */
int push_rpc_work(struct rpc_work *w, struct rpc_tracker *t, uint32_t proc,
    struct str args, struct rpc_reply *reply);

/* Frees a reply that no handler will complete; defined by the server. */
void discard_rpc_reply(struct rpc_reply *reply);

#endif
