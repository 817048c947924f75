/*
 * Counts of one server or client, mirrored in the process's metrics. Internal
 * to the package.
 */
#ifndef RPC_METER_H
#define RPC_METER_H

#include <stdatomic.h>

#include "metric.h"
#include "rpc.h"

#define RPC_CLASS_CONNECT RPC_PROC_MAX /* hellos, in byte counts */
#define RPC_CLASS_OTHER (RPC_PROC_MAX + 1) /* not attributable to a call */
#define RPC_CLASS_MAX (RPC_PROC_MAX + 2)

/* In the order of struct rpc_stats. */
enum rpc_count {
	RPC_COUNT_ACCEPTED,
	RPC_COUNT_OPEN,
	RPC_COUNT_CALLS,
	RPC_COUNT_FULL,
	RPC_COUNT_AUTH,
	RPC_COUNT_REPLAY,
	RPC_COUNT_SIZE,
	RPC_COUNT_FORMAT,
	RPC_COUNT_SLOW,
	RPC_COUNT_REFUSED_CALLS,
	RPC_COUNT_UNMATCHED,
	RPC_COUNT_RETIRED,
	RPC_COUNT_IN,
	RPC_COUNT_OUT,
	RPC_COUNT_MAX
};

struct rpc_meter {
	_Atomic uint64_t counts[RPC_COUNT_MAX];
	metric_id metrics[RPC_COUNT_MAX]; /* negative: none */
	metric_id bytes[2][RPC_CLASS_MAX]; /* in and out by class */
};

void open_rpc_meter(
    struct rpc_meter *m, const char *side, const struct rpc_proc *procs);
void count_rpc(struct rpc_meter *m, enum rpc_count what); /* adds 1 */
void drop_rpc_open(struct rpc_meter *m); /* a connection closed */
void count_rpc_refusal(struct rpc_meter *m, int rc); /* by error number */
void count_rpc_bytes(struct rpc_meter *m, bool out, uint32_t class, size_t n);
struct rpc_stats get_rpc_meter(struct rpc_meter *m);

#endif
