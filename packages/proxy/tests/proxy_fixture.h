/*
 * Test fixture: serving nodes with fake backend servers and an optional entry
 * node on loopback, all with the same fake agent.
 */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

#include "fake_agent.h"
#include "fake_backend.h"
#include "proxy.h"

#define PROXY_FIXTURE_NODES 3

#define TABLE_HEAD                                                            \
	"kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms," \
	"queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,"     \
	"drain_s\n"

struct proxy_fixture {
	struct agent *agent;
	struct event_log *events;
	struct proxy *nodes[PROXY_FIXTURE_NODES]; /* serving nodes */
	struct fake_backend *backends[PROXY_FIXTURE_NODES];
	int count;
	struct proxy *entry; /* NULL: callers use nodes[0] */
	int port; /* port that callers use */
};

struct proxy_fixture_config {
	int nodes; /* serving nodes */
	bool entry; /* callers use a separate entry node */
	int slots; /* of each backend server; 0: 8 */
	int64_t body_memory; /* bytes; 0: the default */
	const char *table; /* NULL: the rows below */
};

/*
 * Rows: "read" (no retries), "again" (2 retries), "hedged", "pay" (must not be
 * repeated, 2 retries), "slow" (queue of 1, drain of 1 s), "big" (large body),
 * "lost" (service without endpoints).
 */
void open_proxy_fixture(
    struct proxy_fixture *fx, const struct proxy_fixture_config *cfg);
void close_proxy_fixture(struct proxy_fixture *fx);
void call_proxy_fixture(struct proxy_fixture *fx, const char *kind,
    const char *more, struct fake_reply *out); /* more: header lines */
bool has_event(struct proxy_fixture *fx, const char *kind);
int64_t get_count(const char *name); /* value of a metric */
int64_t wait_count(const char *name, int64_t want); /* waits up to 2 s */

#endif
