/*
 * The worker pool of a server: queues calls and connection closings. Internal
 * to the package.
 */
#ifndef RPC_WORKERS_H
#define RPC_WORKERS_H

#include "rpc.h"

struct rpc_workers; /* the pool */
struct rpc_tracker; /* the unfinished calls of one connection */

struct rpc_workers *start_rpc_workers(const struct rpc_server_config *cfg);
void stop_rpc_workers(struct rpc_workers *w); /* close trackers first */

struct rpc_tracker *open_rpc_tracker(uint64_t conn, const char *peer);
void close_rpc_tracker(struct rpc_workers *w, struct rpc_tracker *t);

/* Queues a call; args are copied. ERR_MEMORY: nothing was queued. */
int queue_rpc_call(struct rpc_workers *w, struct rpc_tracker *t, uint32_t proc,
    struct str args, struct rpc_reply *reply);

/* Frees a reply that no handler will complete; defined by the server. */
void discard_rpc_reply(struct rpc_reply *reply);

#endif
