/*
 * Size limits of the procedures of wire.x: WIRE_MESSAGE_MAX between
 * control processes and for replies to nodes, 64 KiB for requests from nodes
 * and for the replies to claims.
 */
#include "rpc.h"
#include "rpc_message.h"
#include "wire.h"

_Static_assert(WIRE_MESSAGE_MAX + RPC_CALL_OVERHEAD <= RPC_RECORD_MAX,
    "every message fits into a record");

#define NODE_MESSAGE_MAX (64 * 1024) /* bytes, as are the others */
#define JOIN_REPLY_MAX 4096 /* lists the members of a group */
#define SMALL_MESSAGE_MAX 1024 /* a few short fields */

static const struct rpc_proc ggs_procs[RPC_PROC_MAX] = {
    [GGS_PING] = {"ping", 0, 0},
    [GGS_RAFT_STEP] = {"raft-step", WIRE_MESSAGE_MAX, 0},
    [GGS_READ_INDEX] = {"read-index", 0, SMALL_MESSAGE_MAX},
    [GGS_PROPOSE] = {"propose", WIRE_MESSAGE_MAX, WIRE_MESSAGE_MAX},
    [GGS_ENDPOINT_SYNC] = {"endpoint-sync", WIRE_MESSAGE_MAX,
	SMALL_MESSAGE_MAX},
    [GGS_WATCH] = {"watch", NODE_MESSAGE_MAX, WIRE_MESSAGE_MAX},
    [GGS_PULL] = {"pull", NODE_MESSAGE_MAX, WIRE_MESSAGE_MAX},
    [GGS_LEAVINGS] = {"leavings", NODE_MESSAGE_MAX, NODE_MESSAGE_MAX},
    [GGS_CLAIM] = {"claim", NODE_MESSAGE_MAX, NODE_MESSAGE_MAX},
    [GGS_JOIN] = {"join", SMALL_MESSAGE_MAX, JOIN_REPLY_MAX},
    [GGS_WATCH_PACKED] = {"watch-packed", NODE_MESSAGE_MAX, WIRE_MESSAGE_MAX},
    [GGS_ROLLOUTS] = {"rollouts", NODE_MESSAGE_MAX, NODE_MESSAGE_MAX},
    [GGS_ROLLOUT_REPORT] = {"rollout-report", NODE_MESSAGE_MAX,
	NODE_MESSAGE_MAX},
    [GGS_ALLOTMENT] = {"allotment", NODE_MESSAGE_MAX, NODE_MESSAGE_MAX},
    [GGS_GROUP] = {"group", SMALL_MESSAGE_MAX, SMALL_MESSAGE_MAX},
};

const struct rpc_proc *
get_ggs_procs(void)
{
	return ggs_procs;
}
