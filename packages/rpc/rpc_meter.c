/*
 * Counters of connections, refusals and bytes by procedure class.
 */
#include <stdio.h>
#include <string.h>

#include "rpc_meter.h"

_Static_assert(sizeof(struct rpc_stats) == RPC_COUNT_MAX * sizeof(uint64_t),
    "struct rpc_stats and enum rpc_count differ");

static const char *const count_names[RPC_COUNT_MAX] = {
    [RPC_COUNT_ACCEPTED] = "connections",
    [RPC_COUNT_CALLS] = "calls",
    [RPC_COUNT_FULL] = "refused_full",
    [RPC_COUNT_AUTH] = "refused_auth",
    [RPC_COUNT_REPLAY] = "refused_replay",
    [RPC_COUNT_SIZE] = "refused_size",
    [RPC_COUNT_FORMAT] = "refused_format",
    [RPC_COUNT_SLOW] = "refused_slow",
    [RPC_COUNT_REFUSED_CALLS] = "refused_calls",
    [RPC_COUNT_UNMATCHED] = "unmatched_replies",
    [RPC_COUNT_RETIRED] = "retired_keys",
};

static const char *get_class_name(const struct rpc_proc *procs, uint32_t class);

/*
 * Registers the metrics of a side ("server" or "client"). All servers of a
 * process share theirs; the counts of m are its own.
 */
void
open_rpc_meter(
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

void
count_rpc(struct rpc_meter *m, enum rpc_count what)
{
	atomic_fetch_add_explicit(&m->counts[what], 1, memory_order_relaxed);
	count_metric(m->metrics[what], 1);
}

void
drop_rpc_open(struct rpc_meter *m)
{
	atomic_fetch_sub_explicit(
	    &m->counts[RPC_COUNT_OPEN], 1, memory_order_relaxed);
}

/*
 * Counts the closing of a connection whose record was refused with rc.
 */
void
count_rpc_refusal(struct rpc_meter *m, int rc)
{
	switch (rc) {
	case ERR_DENIED:
		count_rpc(m, RPC_COUNT_AUTH);
		break;
	case ERR_STALE:
		count_rpc(m, RPC_COUNT_REPLAY);
		break;
	case ERR_LIMIT:
		count_rpc(m, RPC_COUNT_SIZE);
		break;
	case ERR_CORRUPT:
		count_rpc(m, RPC_COUNT_FORMAT);
		break;
	case ERR_TIMEOUT:
		count_rpc(m, RPC_COUNT_SLOW);
		break;
	default:
		break;
	}
}

void
count_rpc_bytes(struct rpc_meter *m, bool out, uint32_t class, size_t n)
{
	if (class >= RPC_CLASS_MAX || m->bytes[out][class] < 0)
		class = RPC_CLASS_OTHER;
	atomic_fetch_add_explicit(
	    &m->counts[out ? RPC_COUNT_OUT : RPC_COUNT_IN], n,
	    memory_order_relaxed);
	count_metric(m->bytes[out][class], n);
}

struct rpc_stats
get_rpc_meter(struct rpc_meter *m)
{
	uint64_t v[RPC_COUNT_MAX];
	struct rpc_stats s;

	for (int i = 0; i < RPC_COUNT_MAX; i++)
		v[i] =
		    atomic_load_explicit(&m->counts[i], memory_order_relaxed);
	memcpy(&s, v, sizeof(s));
	return s;
}

static const char *
get_class_name(const struct rpc_proc *procs, uint32_t class)
{
	if (class == RPC_CLASS_CONNECT)
		return "connect";
	return class == RPC_CLASS_OTHER ? "other" : procs[class].name;
}
