/*
 * Counters of connections, calls, refusals and, by procedure, of bytes.
 */
#include <stdio.h>
#include <string.h>

#include "rpc_meter.h"

_Static_assert(sizeof(struct rpc_stats) == RPC_COUNT_MAX * sizeof(uint64_t),
    "struct rpc_stats and enum rpc_count differ");

static const char *const count_names[RPC_COUNT_MAX] = {
    [RPC_COUNT_ACCEPTED] = "connections",
    [RPC_COUNT_CALLS] = "calls",
    [RPC_COUNT_REFUSED_FULL] = "refused_full",
    [RPC_COUNT_REFUSED_AUTH] = "refused_auth",
    [RPC_COUNT_REFUSED_REPLAY] = "refused_replay",
    [RPC_COUNT_REFUSED_SIZE] = "refused_size",
    [RPC_COUNT_REFUSED_FORMAT] = "refused_format",
    [RPC_COUNT_REFUSED_SLOW] = "refused_slow",
    [RPC_COUNT_REFUSED_CALLS] = "refused_calls",
    [RPC_COUNT_UNMATCHED] = "unmatched_replies",
    [RPC_COUNT_RETIRED] = "retired_keys",
};

static const char *get_class_name(const struct rpc_proc *procs, uint32_t class);

/*
 * Zeroes the counts and registers the metrics of a side ("server" or "client").
 * All servers of a process add to the same metrics, as do all clients.
 */
void
init_rpc_meter(
    struct rpc_meter *m, const char *side, const struct rpc_proc *procs)
{
	static const char *const dirs[2] = {"in", "out"};
	char name[METRIC_NAME_BYTES];

	memset(m, 0, sizeof(*m));
	for (int i = 0; i < RPC_COUNT_MAX; i++) {
		m->metrics[i] = ERR_NOT_FOUND;
		if (count_names[i] == NULL)
			continue;
		snprintf(name, sizeof(name), "ggs_rpc_%s_total{side=\"%s\"}",
		    count_names[i], side);
		m->metrics[i] = register_metric(
		    METRIC_COUNTER, name, "RPC connections and calls.");
	}
	for (uint32_t c = 0; c < RPC_CLASS_MAX * 2; c++) {
		const char *class = get_class_name(procs, c / 2);

		m->bytes[c % 2][c / 2] = ERR_NOT_FOUND;
		if (class == NULL)
			continue;
		snprintf(name, sizeof(name),
		    "ggs_rpc_bytes_total{side=\"%s\",dir=\"%s\",class=\"%s\"}",
		    side, dirs[c % 2], class);
		m->bytes[c % 2][c / 2] = register_metric(METRIC_COUNTER, name,
		    "Control traffic with framing, without TCP headers.");
	}
}

/*
 * Adds 1 to a count and to its metric, if any. Callable from any thread.
 */
void
increment_rpc_count(struct rpc_meter *m, enum rpc_count count)
{
	atomic_fetch_add_explicit(&m->counts[count], 1, memory_order_relaxed);
	count_metric(m->metrics[count], 1);
}

void
decrement_rpc_open(struct rpc_meter *m)
{
	atomic_fetch_sub_explicit(
	    &m->counts[RPC_COUNT_OPEN], 1, memory_order_relaxed);
}

/*
 * Counts a connection that is closed because its input was refused with error
 * rc. Other errors, such as ERR_CLOSED, are not counted.
 */
void
count_rpc_refusal(struct rpc_meter *m, int rc)
{
	switch (rc) {
	case ERR_DENIED:
		increment_rpc_count(m, RPC_COUNT_REFUSED_AUTH);
		break;
	case ERR_STALE:
		increment_rpc_count(m, RPC_COUNT_REFUSED_REPLAY);
		break;
	case ERR_LIMIT:
		increment_rpc_count(m, RPC_COUNT_REFUSED_SIZE);
		break;
	case ERR_CORRUPT:
		increment_rpc_count(m, RPC_COUNT_REFUSED_FORMAT);
		break;
	case ERR_TIMEOUT:
		increment_rpc_count(m, RPC_COUNT_REFUSED_SLOW);
		break;
	default:
		break;
	}
}

/*
 * Adds n bytes to the total and to the metric of class, or of RPC_CLASS_OTHER
 * when class has none.
 */
void
count_rpc_bytes(struct rpc_meter *m, bool out, uint32_t class, size_t n)
{
	if (class >= RPC_CLASS_MAX || m->bytes[out][class] < 0)
		class = RPC_CLASS_OTHER;
	atomic_fetch_add_explicit(
	    &m->counts[out ? RPC_COUNT_BYTES_OUT : RPC_COUNT_BYTES_IN], n,
	    memory_order_relaxed);
	count_metric(m->bytes[out][class], n);
}

struct rpc_stats
get_rpc_meter_stats(struct rpc_meter *m)
{
	uint64_t counts[RPC_COUNT_MAX];
	struct rpc_stats stats;

	for (int i = 0; i < RPC_COUNT_MAX; i++)
		counts[i] =
		    atomic_load_explicit(&m->counts[i], memory_order_relaxed);
	memcpy(&stats, counts, sizeof(stats));
	return stats;
}

static const char *
get_class_name(const struct rpc_proc *procs, uint32_t class)
{
	if (class == RPC_CLASS_CONNECT)
		return "connect";
	return class == RPC_CLASS_OTHER ? "other" : procs[class].name;
}
