/*
 * The procedures of wire.x with their limits: 4 MiB between control processes
 * and for replies to nodes, 64 KiB for requests from nodes.
 */
#include "rpc.h"
#include "wire.h"

#define NODE_REQUEST_MAX (64 * 1024)
#define JOIN_REPLY_MAX 4096 /* the members of a group */
#define STATUS_REPLY_MAX 1024 /* fixed-size replies of a few numbers */

static const struct rpc_proc ggs_procs[RPC_PROC_MAX] = {
    [GGS_PING] = {"ping", 0, 0},
    [GGS_RAFT_STEP] = {"raft-step", WIRE_MESSAGE_MAX, 0},
    [GGS_READ_INDEX] = {"read-index", 0, STATUS_REPLY_MAX},
    [GGS_PROPOSE] = {"propose", WIRE_MESSAGE_MAX, WIRE_MESSAGE_MAX},
    [GGS_ENDPOINT_SYNC] = {"endpoint-sync", WIRE_MESSAGE_MAX, STATUS_REPLY_MAX},
    [GGS_WATCH] = {"watch", NODE_REQUEST_MAX, WIRE_MESSAGE_MAX},
    [GGS_PULL] = {"pull", NODE_REQUEST_MAX, WIRE_MESSAGE_MAX},
    [GGS_CLAIM] = {"claim", NODE_REQUEST_MAX, NODE_REQUEST_MAX},
    [GGS_JOIN] = {"join", STATUS_REPLY_MAX, JOIN_REPLY_MAX},
    [GGS_GROUP] = {"group", STATUS_REPLY_MAX, STATUS_REPLY_MAX},
};

const struct rpc_proc *
get_ggs_procs(void)
{
	return ggs_procs;
}
