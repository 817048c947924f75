/*
 * Statistics of one server or client, also added to the metrics of the process.
 * Internal to the package.
 */
#ifndef RPC_METER_H
#define RPC_METER_H

#include <stdatomic.h>

#include "metric.h"
#include "rpc.h"

/* Classes of byte counts: the procedure numbers and these. */
#define RPC_CLASS_CONNECT RPC_PROC_MAX /* hellos */
#define RPC_CLASS_OTHER (RPC_PROC_MAX + 1) /* unknown procedure or call */
#define RPC_CLASS_MAX (RPC_PROC_MAX + 2)

/* Index of each member of struct rpc_stats, in the same order. */
enum rpc_count {
	RPC_COUNT_ACCEPTED,
	RPC_COUNT_OPEN,
	RPC_COUNT_CALLS,
	RPC_COUNT_REFUSED_FULL,
	RPC_COUNT_REFUSED_AUTH,
	RPC_COUNT_REFUSED_REPLAY,
	RPC_COUNT_REFUSED_SIZE,
	RPC_COUNT_REFUSED_FORMAT,
	RPC_COUNT_REFUSED_SLOW,
	RPC_COUNT_REFUSED_CALLS,
	RPC_COUNT_UNMATCHED,
	RPC_COUNT_RETIRED,
	RPC_COUNT_BYTES_IN,
	RPC_COUNT_BYTES_OUT,
	RPC_COUNT_MAX
};

struct rpc_meter {
	_Atomic uint64_t counts[RPC_COUNT_MAX];
	metric_id metrics[RPC_COUNT_MAX]; /* negative: no metric */
	metric_id bytes[2][RPC_CLASS_MAX]; /* received and sent, by class */
};

void init_rpc_meter(
    struct rpc_meter *m, const char *side, const struct rpc_proc *procs);
void increment_rpc_count(struct rpc_meter *m, enum rpc_count count);
void decrement_rpc_open(struct rpc_meter *m); /* a connection closed */
void count_rpc_refusal(struct rpc_meter *m, int rc); /* by error number */
void count_rpc_bytes(struct rpc_meter *m, bool out, uint32_t class, size_t n);
struct rpc_stats get_rpc_meter_stats(struct rpc_meter *m);

#endif
