/*
 * Internals of a control process, shared by its source files only.
 *
 * Lock order: service lock < replica_guard < peers_lock < locks of replica and
 * rpc < metric and event. The replica and the rpc client run callbacks without
 * holding their own locks, so callbacks may take the service lock.
 */
#ifndef SERVICE_H
#define SERVICE_H

#include <pthread.h>
#include <stdatomic.h>

#include "allotment_ledger.h"
#include "control.h"
#include "identity.h"
#include "lag.h"
#include "membership_plan.h"
#include "memory_budget.h"
#include "metric.h"
#include "nodes.h"
#include "replica.h"
#include "rpc.h"
#include "watch.h"

#define SERVICE_TICK_MS 50 /* interval of batches of endpoint changes */
#define SERVICE_DIGEST_NS (5 * NSEC_PER_SEC) /* interval of anti-entropy */
#define SERVICE_LEASE_TICK_NS (500 * NSEC_PER_MSEC)
#define SERVICE_READ_TIMEOUT_MS 2000 /* timeout of a confirmed read */
#define SERVICE_SYNC_TIMEOUT_MS 2000 /* of a SYNC or GROUP call to a peer */
/*
 * Timeout of a consensus message. When it expires on a connection that is
 * unresponsive (see below), the connection is closed, so that followers miss
 * the leader for less than a second.
 */
#define SERVICE_STEP_TIMEOUT_MS 700
#define SERVICE_UNRESPONSIVE_MS 500 /* without input; see call_rpc() */
#define SERVICE_RETRY_NS \
	(50 * NSEC_PER_MSEC) /* between attempts of a command */
/*
 * Without contact to a quorum for this long, reads and commands are refused at
 * once. An election takes less; operators leave a call without an answer after
 * 1 s.
 */
#define SERVICE_QUORUM_LOST_NS (900 * NSEC_PER_MSEC)
#define SERVICE_WAIT_STEP_NS \
	(50 * NSEC_PER_MSEC) /* between looks at it while a read waits */
#define SERVICE_WATCH_WAIT_MAX_MS 30000 /* longest time a watch is pending */
#define SERVICE_COMMAND_WAIT_MAX_MS 10000 /* longest wait for a command */
#define SERVICE_LINKS_MAX 128 /* addresses of control processes at a time */
#define SERVICE_PULL_WAIT_MS 500 /* heartbeat interval of a relay's PULL */

/* Another control process. */
struct peer {
	_Atomic(uint64_t) id;
	char address[RPC_ADDRESS_BYTES]; /* under peers_lock */
	_Atomic(struct rpc_peer *) rpc;
	atomic_bool member; /* in the latest known membership of the group */
	atomic_bool resend; /* its digest differs: send all owned records */
	atomic_size_t resend_position; /* registry position of the next part */
	struct control *control;
};

/* The connection to an address. */
struct link {
	char address[RPC_ADDRESS_BYTES];
	struct rpc_peer *rpc;
	uint64_t order; /* in which the links got their addresses */
	bool seed;
};

/* Membership that the group manages by itself. */
struct membership {
	size_t voters_wanted;
	bool id_loaded; /* the data folder contains an id */
	int id_error; /* ERR_IO or ERR_CORRUPT: the id is a temporary one */
	bool bootstraps; /* this process bootstraps the group */
	bool resumes; /* an earlier process was about to, with this disk */
	struct voter_list initial; /* the voters, if it bootstraps */
	struct rpc_peer *seeds[CONTROL_PEER_MAX];
	size_t seed_count;
	struct candidate candidates[MEMBERSHIP_CANDIDATES_MAX];
	bool changing; /* a membership change is in progress */
	uint64_t leader; /* named by the last JOIN reply; 0: unknown */
	size_t next_target; /* of the next JOIN request, round robin */
	int64_t last_plan_ns; /* last run of the plan */
	int64_t last_join_ns; /* last JOIN request */
};

/* A WATCH or PULL call whose reply is pending (long poll). */
struct pending_watch {
	struct pending_watch *next;
	struct rpc_reply *reply;
	struct wire_watch_args args;
	uint64_t conn;
	int64_t deadline_ns; /* answered by then, with or without a change */
	uint64_t read_round; /* round that confirms it; 0: none needed */
	bool wants_confirmed_read; /* a PULL with wait_ms 0 */
	bool packed; /* the reply is a wire_packed */
};

/*
 * Confirmed (linearizable) reads run in rounds: a request that arrives during
 * a round waits for the next one, so any number of nodes share one round trip
 * to the quorum.
 */
struct read_rounds {
	uint64_t started; /* newest round started */
	uint64_t confirmed; /* newest confirmed round; 0 after a reset */
	uint64_t failed; /* newest failed round */
	bool in_flight;
};

/* Receives the outcome of a command; see submit_command(). */
typedef void (*submit_fn)(void *arg, int status, struct str result);

/*
 * A command that is sent to the leader until it succeeds or times out. Listed
 * and allocated until it has ended and no attempt is in flight.
 */
struct submission {
	struct submission *next;
	struct control *control;
	struct buf command;
	int64_t deadline_ns;
	int64_t retry_ns; /* next attempt */
	int attempts; /* in flight */
	uint64_t target; /* leader of the last attempt; 0: none yet */
	bool held; /* by the service thread */
	bool ended; /* fn was or is being called */
	bool may_have_applied; /* an attempt has an unknown outcome */
	submit_fn fn;
	void *arg;
};

/*
 * Start of a voter whose disk refuses operations, or with an empty data folder:
 * bootstrap, join or refusal.
 */
struct bootstrap {
	bool pending; /* the replica is not started yet */
	bool founder; /* the settings list it among the initial voters */
	bool may_join; /* a group confirmed that this is none of its voters */
	bool failed; /* the process must end for the reason in fault */
	struct fault fault;
	int64_t next_query_ns; /* next GROUP request to the peers */
	bool waits_for_disk; /* the data folder could not be opened */
	bool damaged; /* its data cannot be used; reason in damage */
	bool may_replace; /* a group has a quorum without this process */
	struct fault damage;
	int64_t next_open_ns;
	int64_t open_delay_ns;
	/* Initial voters that reported no group since this start. */
	uint64_t seen[CONTROL_PEER_MAX];
	size_t seen_count;
};

/* A relay's connection to the voter that it follows. */
struct upstream {
	size_t peer_index; /* of the voter, in peers */
	bool in_flight; /* a PULL is in flight */
	bool confirms_read; /* the PULL in flight confirms a read round */
	int64_t retry_ns; /* next PULL not before this time */
	_Atomic(int64_t) contact_ns; /* last successful reply; -1: none */
	uint64_t registry_id; /* that the set versions below refer to */
	struct upstream_set {
		char service[WIRE_NAME_MAX + 1];
		uint64_t set_version;
	} sets[WIRE_INTEREST_MAX];
	size_t set_count;
};

/* The leases of the accounts' rates to nodes. */
struct allotments {
	struct ledger *ledger; /* of the leader, if an account has a rate */
	uint64_t term; /* of the group, in which it was opened */
	uint64_t table_version; /* that has_rates is of */
	bool has_rates; /* an account has a rate */
	int64_t counted_ns; /* last count of the fleet's nodes; 0: none */
};

/* The ids of the metrics that control_metrics.c registers. */
struct control_metrics {
	metric_id version;
	metric_id watches;
	metric_id pending_watches;
	metric_id stale;
	metric_id limited;
	metric_id full;
	metric_id delta;
	metric_id encoded;
	metric_id refused;
	metric_id digest_mismatch;
	metric_id commands;
	metric_id retries;
	metric_id no_quorum;
	metric_id http_ended;
	metric_id claims;
	metric_id resends;
	metric_id allotment_asks;
	metric_id allotment_tokens;
	metric_id allotment_silent;
	metric_id lag_us; /* histogram */
	metric_id nodes_behind;
	metric_id rollouts;
	/* Gauges of the replica and its log, set on each scrape */
	metric_id role, has_leader, term, commit, applied, last, snapshot;
	metric_id snapshot_errors;
	metric_id voter, failed, contact_ms, dropped;
	metric_id syncs, append_bytes, segments, snapshots, torn;
};

struct operator_tokens;
struct rollout_desk; /* rollout_service.c */
struct pending_leavings; /* leaving_service.c */

struct control {
	struct control_config cfg; /* strings used after the start are copies */
	char *owned_strings[8]; /* of cfg, without peers, relays and seeds */
	size_t owned_string_count;
	uint64_t id;
	struct rng rng;
	struct control_metrics metrics;

	pthread_mutex_t lock; /* service lock: fields down to replica_guard */
	pthread_cond_t wake; /* service thread, and waiters for read rounds */
	bool stopping;
	struct state *state;
	struct registry *registry;
	struct node_list nodes;
	struct version_times version_times;
	struct watch_cache cache;
	struct token_bucket bucket;
	struct allotments allotments;
	struct pending_watch *pending_watches;
	size_t pending_watch_count;
	bool sets_due; /* serve_watches() sends changes of sets */
	int64_t next_sets_ns; /* when it does so next */
	struct read_rounds reads;
	struct submission *submissions;
	struct pending_leavings *pending_leavings; /* reads */
	struct rollout_desk *rollouts;
	struct upstream upstream;
	struct bootstrap bootstrap;
	struct membership membership;
	uint64_t leader_hint; /* relay: leader named by a voter; 0: unknown */
	int64_t started_ns; /* monotonic clock */
	bool quorum_lost; /* as last written to the log */
	int64_t last_tick_ns;
	int64_t last_digest_ns;
	int64_t last_lease_ns;

	pthread_rwlock_t replica_guard; /* locked while replica is in use */
	struct replica *replica; /* NULL: relay, or stopped */

	pthread_mutex_t peers_lock; /* takes only that of the rpc client */
	struct peer peers[CONTROL_PEER_MAX];
	atomic_size_t peer_count; /* changed under peers_lock */
	struct link links[SERVICE_LINKS_MAX];
	size_t link_count;
	uint64_t link_order; /* of the next address */

	struct rpc_server *server;
	struct rpc_client *client;
	struct operator_tokens *tokens; /* NULL: no authentication */
	struct MHD_Daemon *http;
	struct MHD_Daemon *metrics_http; /* NULL: none */
	atomic_size_t http_serving; /* requests read and not answered */
	struct memory_budget http_budget; /* of operators' bodies */
	pthread_mutex_t http_lock; /* innermost; protects the next three */
	struct http_request *http_requests;
	struct http_peer *http_peers; /* connections of operators */
	size_t http_bytes; /* capacities of bodies */
	pthread_t thread;
	bool thread_started;
};

/* control.c */
bool is_control_stale(struct control *c); /* no contact to a leader */
bool is_control_starting(struct control *c); /* no contact since start */
bool is_quorum_lost(struct control *c); /* refuse reads and commands at once */
struct wire_hlc make_message_stamp(struct control *c); /* for a new message */
void merge_message_stamp(struct control *c, const struct wire_hlc *h);
bool is_relay(const struct control *c);

/* service.c */
void *run_service(void *arg); /* body of the service thread */
void wake_service(struct control *c);

/* replication.c: the replica, and confirmed reads */
int start_replication(struct control *c, bool need_data, struct fault *f);
void stop_replication(struct control *c);
/* False without a replica; out is then empty. */
bool get_replication_status(struct control *c, struct replica_status *out);
/* ERR_UNAVAILABLE without a replica. */
int get_replication_members(struct control *c, struct raft_members *out);
int propose_locally(struct control *c, struct str bytes, int timeout_ms,
    replica_propose_fn fn, void *arg);
void handle_raft_step(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void handle_read_index(struct control *c, struct rpc_reply *reply);
bool find_initial_voters(struct control *c, struct raft_members *out);
uint64_t get_next_read_round(struct control *c); /* lock held */
void begin_read_round(struct control *c); /* lock held */
void finish_read_round(struct control *c, bool confirmed); /* lock held */
void reset_control_state(struct control *c); /* lock held */
/* Waits for a confirmed read; 0: the lock is held, else it is not. */
int lock_confirmed_state(struct control *c, int timeout_ms);

/* bootstrap.c: start of a voter whose data folder is empty */
int open_bootstrap(struct control *c, struct fault *f);
void run_bootstrap(struct control *c, int64_t now); /* takes the lock */
void handle_group_message(
    struct control *c, uint64_t from); /* takes the lock */
void handle_group(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);

/* control_metrics.c */
void open_control_metrics(struct control_metrics *m);
void refresh_control_metrics(struct control *c); /* gauges */

/* membership.c */
int open_membership(struct control *c, struct fault *f); /* sets c->id */
void choose_identity(struct control *c); /* sets a new id */
bool is_replaceable(const struct control *c, const struct fault *f);
struct rpc_peer *choose_target(struct control *c);
int store_identity(struct control *c, struct fault *f); /* ERR_IO */
void check_resumption(struct control *c); /* clears membership.resumes */
void discard_initial_voters(struct control *c);
int open_seeds(struct control *c, struct fault *f);
void run_membership(struct control *c, int64_t now); /* takes the lock */
void handle_join(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
unsigned int list_members(const struct raft_members *m,
    struct wire_member *out); /* WIRE_MEMBERS_MAX; returns the count */
void mark_member_peers(struct control *c, const struct raft_members *m);

/* peers.c */
/* Returns the connection to an address; all ids with that address share it. */
int open_link(struct control *c, const char *address, struct rpc_peer **out,
    struct fault *f);
/* The links of the seeds keep their addresses; no other one does. */
void mark_seed_links(
    struct control *c, struct rpc_peer *const *seeds, size_t count);
int open_peers(struct control *c, struct fault *f);
void update_peer(struct control *c, uint64_t id, const char *address);
/* NULL: none. A peer's entry lasts as long as c, but may get another id. */
struct peer *find_control_peer(struct control *c, uint64_t id);
void sync_peers(struct control *c, int64_t now); /* lock held */
void handle_sync(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);

/* submit.c: commands to the leader */
int submit_command(struct control *c, struct str bytes, int timeout_ms,
    submit_fn fn, void *arg); /* fn runs once, without locks */
void run_submissions(struct control *c, int64_t now); /* takes the lock */
void handle_propose(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void handle_claim(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
int clamp_command_wait(int wait_ms); /* ms, as a caller requested */
wire_status get_wire_status(int status); /* of an error number */

/* leaving_service.c */
void handle_leavings(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void serve_leavings(struct control *c, int64_t now); /* lock held */

/* watches.c */
void handle_watch(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void serve_watches(struct control *c, int64_t now); /* lock held */
void drop_connection(struct control *c, uint64_t conn); /* takes the lock */
void drop_watches(struct control *c); /* lock held; answers all */
int64_t count_late_nodes(struct control *c, int64_t now); /* lock held */

/* rollout_service.c */
int open_rollouts(struct control *c); /* ERR_MEMORY */
void close_rollouts(struct control *c);
void handle_rollouts(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void serve_rollouts(struct control *c, int64_t now); /* lock held */
void publish_rollouts(struct control *c); /* lock held; after a command */
void run_rollouts(struct control *c, int64_t now); /* takes the lock */
/* allotments.c */
void run_allotments(struct control *c, int64_t now); /* lock held */
void handle_allotment(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);

/* relay.c */
void run_relay(struct control *c, int64_t now); /* lock held */
bool start_confirmed_pull(struct control *c); /* lock held */

/* http.c and tokens.c */
int start_http(struct control *c, struct fault *f);
void stop_http(struct control *c);
int load_tokens(
    const char *path, struct operator_tokens **out, struct fault *f);
void unload_tokens(struct operator_tokens *t);
/* Returns the name of the operator with that token, or NULL. Constant time. */
const char *find_operator(const struct operator_tokens *t, struct str token);

#endif
