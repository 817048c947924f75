/*
 * Inside of a running control process, shared by its source files only.
 *
 * Lock order: service lock < replica_guard < locks of replica and rpc <
 * metric and event. The replica and the rpc client run callbacks without locks
 * of theirs, so callbacks may take the service lock.
 */
#ifndef SERVICE_H
#define SERVICE_H

#include <pthread.h>
#include <stdatomic.h>

#include "control.h"
#include "membership_plan.h"
#include "metric.h"
#include "nodes.h"
#include "replica.h"
#include "rpc.h"
#include "watch.h"

#define SERVICE_TICK_MS 50 /* batches of endpoint changes */
#define SERVICE_DIGEST_NS (5 * NSEC_PER_SEC) /* anti-entropy */
#define SERVICE_LEASE_TICK_NS (500 * NSEC_PER_MSEC)
#define SERVICE_READ_MS 2000 /* longest wait for a confirmed read */
#define SERVICE_SYNC_MS 2000 /* longest wait for a peer */
/*
 * Receipt of a consensus message. A connection that is silent for longer is
 * closed, before followers miss the leader for a second.
 */
#define SERVICE_STEP_MS 700
#define SERVICE_SILENT_MS 500 /* silence that closes a connection */
#define SERVICE_RETRY_NS \
	(50 * NSEC_PER_MSEC) /* between attempts of a command */
#define SERVICE_WAIT_MAX_MS 30000 /* longest hold of a watch */
#define SERVICE_COMMAND_MAX_MS 10000 /* longest wait of a command */
#define SERVICE_LINKS_MAX 128 /* addresses of control processes met */
#define SERVICE_PULL_MS 500 /* heartbeat of a relay's PULL */

/* Another control process. */
struct peer {
	_Atomic(uint64_t) id;
	char address[RPC_ADDRESS_BYTES]; /* under peers_lock */
	_Atomic(struct rpc_peer *) rpc;
	atomic_bool member; /* of the group, as far as it is known */
	atomic_bool resend; /* its digest differs: send all owned records */
	atomic_size_t resend_at; /* position of the next part */
	struct control *control;
};

/* A connection to an address, kept until the process ends. */
struct link {
	char address[RPC_ADDRESS_BYTES];
	struct rpc_peer *rpc;
};

/* Membership that the group manages by itself. */
struct membership {
	size_t voters_wanted;
	bool restarted; /* the data folder holds an id */
	bool founds;
	struct rpc_peer *seeds[CONTROL_PEER_MAX];
	size_t seed_count;
	struct candidate candidates[MEMBERSHIP_CANDIDATES_MAX];
	bool changing; /* a change is under way */
	uint64_t leader; /* as an answer named it; 0: not known */
	size_t next_target; /* of the next request to join */
	int64_t plan_ns;
	int64_t join_ns;
};

/* A watch or pull that waits for its reply. */
struct held_watch {
	struct held_watch *next;
	struct rpc_reply *reply;
	struct wire_watch_args args;
	uint64_t conn;
	int64_t due_ns;
	uint64_t read; /* read round that confirms it; 0: none needed */
	bool sync_read; /* a PULL that asks for a confirmed state at once */
};

/*
 * Confirmed reads in rounds: a request that arrives during a round waits for
 * the next one, so any number of nodes share one quorum round trip.
 */
struct read_rounds {
	uint64_t started;
	uint64_t confirmed; /* newest confirmed round */
	uint64_t failed; /* newest failed round */
	bool busy;
};

typedef void (*submit_fn)(void *arg, int status, struct str result);

/* A command on its way to the leader. */
struct submission {
	struct submission *next;
	struct control *control;
	struct buf command;
	int64_t deadline_ns;
	int64_t retry_ns; /* next attempt */
	bool in_flight;
	bool maybe; /* an attempt may have taken effect */
	submit_fn fn;
	void *arg;
};

/* A voter with an empty data folder, until it founds, joins or is refused. */
struct founding {
	bool pending; /* the replica is not started */
	bool founder; /* listed among the founders of the settings */
	bool joins; /* a group confirmed that this process is no voter of it */
	bool failed; /* the process must end; fault tells why */
	struct fault fault;
	int64_t ask_ns; /* next question to the peers */
	/* Ids of founders seen without a group since this process started. */
	uint64_t seen[CONTROL_PEER_MAX];
	size_t seen_count;
};

/* What a relay knows about the voter that it follows. */
struct upstream {
	size_t peer; /* position in peers */
	bool busy;
	bool reading; /* the pull in flight confirms a read */
	int64_t retry_ns;
	int64_t contact_ns; /* last good reply; -1: none */
	uint64_t registry_id;
	struct upstream_set {
		char service[WIRE_NAME_MAX + 1];
		uint64_t set_version;
	} sets[WIRE_INTEREST_MAX];
	size_t set_count;
};

struct control_metrics {
	metric_id version;
	metric_id watches;
	metric_id held;
	metric_id stale;
	metric_id limited;
	metric_id whole;
	metric_id delta;
	metric_id encoded;
	metric_id refused;
	metric_id digest_mismatch;
	metric_id commands;
	metric_id retries;
	metric_id claims;
	metric_id resends;
	/* Of the replica and its log, as of the last question */
	metric_id role, has_leader, term, commit, applied, last, snapshot;
	metric_id voter, failed, contact_ms, dropped;
	metric_id syncs, append_bytes, segments, snapshots, torn;
};

struct operator_tokens;

struct control {
	struct control_config cfg; /* strings point into the fields below */
	char *texts[8];
	size_t text_count;
	uint64_t id;
	struct rng rng;
	struct control_metrics metrics;

	pthread_mutex_t lock; /* service lock: all down to the next lock */
	pthread_cond_t wake; /* service thread, and readers of rounds */
	bool stopping;
	struct state *state;
	struct registry *registry;
	struct node_list nodes;
	struct watch_cache cache;
	struct token_bucket bucket;
	struct held_watch *held;
	size_t held_count;
	struct read_rounds reads;
	struct submission *submissions;
	struct upstream upstream;
	struct founding founding;
	struct membership membership;
	uint64_t leader_hint; /* relay: leader that a voter named */
	int64_t tick_ns; /* last of each kind */
	int64_t digest_ns;
	int64_t lease_ns;

	pthread_rwlock_t replica_guard; /* held while replica is in use */
	struct replica *replica; /* NULL: relay, or stopped */

	pthread_mutex_t peers_lock; /* leaf */
	struct peer peers[CONTROL_PEER_MAX];
	atomic_size_t peer_count; /* changed under peers_lock */
	struct link links[SERVICE_LINKS_MAX];
	size_t link_count;

	struct rpc_server *server;
	struct rpc_client *client;
	struct operator_tokens *tokens; /* NULL: no authentication */
	struct MHD_Daemon *http;
	struct MHD_Daemon *metrics_http; /* NULL: none */
	pthread_t thread;
	bool thread_started;
};

/* control.c */
bool is_control_stale(struct control *c); /* no contact to a leader */
bool is_control_starting(struct control *c); /* none since its start */
struct wire_hlc stamp_message(struct control *c);
void merge_message(struct control *c, const struct wire_hlc *h);
bool is_relay(const struct control *c);

/* service.c */
void *run_service(void *arg); /* body of the service thread */
void wake_service(struct control *c);

/* replication.c: the replica, and confirmed reads */
int start_replication(struct control *c, bool need_data, struct fault *f);
void stop_replication(struct control *c);
bool get_replication(struct control *c, struct replica_status *out);
int get_replication_members(struct control *c, struct raft_members *out);
int propose_locally(struct control *c, struct str bytes, int timeout_ms,
    replica_propose_fn fn, void *arg);
void handle_raft_step(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
void handle_read_index(struct control *c, struct rpc_reply *reply);
bool find_founders(struct control *c, struct raft_members *out);
uint64_t join_read(struct control *c); /* round to wait for; lock held */
void run_reads(struct control *c); /* starts a round when wanted; lock held */
void finish_read(struct control *c, bool confirmed); /* lock held */
int wait_read(struct control *c, int timeout_ms); /* takes the lock */

/* founding.c: a voter whose data folder is empty */
int open_founding(struct control *c, struct fault *f);
void run_founding(struct control *c, int64_t now); /* takes the lock */
void note_group_message(struct control *c, uint64_t from); /* takes the lock */
void handle_group(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);

/* control_metrics.c */
void open_control_metrics(struct control_metrics *m);
void refresh_control_metrics(struct control *c); /* gauges */

/* membership.c */
int open_membership(struct control *c, struct fault *f); /* finds the id */
int choose_identity(struct control *c, struct fault *f); /* a new id */
int open_seeds(struct control *c, struct fault *f);
void run_membership(struct control *c, int64_t now); /* takes the lock */
void handle_join(
    struct control *c, const struct rpc_request *q, struct rpc_reply *reply);
unsigned int list_members(const struct raft_members *m,
    struct wire_member *out); /* WIRE_MEMBERS_MAX; returns the number */
void note_membership(struct control *c, const struct raft_members *m);

/* peers.c */
/* The connection to an address; one for all ids that have had it. */
int open_link(struct control *c, const char *address, struct rpc_peer **out,
    struct fault *f);
int open_peers(struct control *c, struct fault *f);
void update_peer(struct control *c, uint64_t id, const char *address);
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

/* watches.c */
void handle_watch(struct control *c, const struct rpc_request *q,
    struct rpc_reply *reply, bool pull);
void serve_watches(struct control *c, int64_t now); /* lock held */
void drop_connection(struct control *c, uint64_t conn); /* takes the lock */
void drop_watches(struct control *c); /* lock held; answers all */

/* relay.c */
void run_relay(struct control *c, int64_t now); /* lock held */
bool pull_confirmed(struct control *c); /* lock held; starts a read */

/* http.c and tokens.c */
int start_http(struct control *c, struct fault *f);
void stop_http(struct control *c);
int load_tokens(
    const char *path, struct operator_tokens **out, struct fault *f);
void unload_tokens(struct operator_tokens *t);
/* Name of the operator with that token, or NULL; constant time a token. */
const char *find_operator(const struct operator_tokens *t, struct str token);

#endif
