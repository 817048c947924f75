/*
 * Start and stop of a control process.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "api.h"
#include "service.h"

#define SERVER_WORKERS 4
#define SERVER_CONNECTIONS_MAX 4096 /* all nodes of a region of design size */

static int copy_config_strings(
    struct control *c, const struct control_config *cfg, struct fault *f);
static const char *copy_string(struct control *c, const char *text);
static int check_auto_members(
    const struct control_config *cfg, struct fault *f);
static int check_config(const struct control_config *cfg, struct fault *f);
static int init_locks(struct control *c);
static int start_components(struct control *c, struct fault *f);
static int start_client(struct control *c, struct fault *f);
static int start_server(struct control *c, struct fault *f);
static void handle_request(
    void *arg, const struct rpc_request *q, struct rpc_reply *reply);
static void handle_connection_close(void *arg, uint64_t conn);
static void free_control(struct control *c);

int
start_control(
    const struct control_config *cfg, struct control **out, struct fault *f)
{
	struct control *c;
	int rc = check_config(cfg, f);

	if (rc != 0)
		return rc;
	if (sodium_init() < 0)
		return set_fault(f, ERR_IO,
		    "cannot read random numbers from the system; check "
		    "/dev/urandom");
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	if (init_locks(c) != 0) {
		free(c);
		return set_fault(f, ERR_MEMORY, "out of memory");
	}
	rc = copy_config_strings(c, cfg, f);
	if (rc == 0)
		rc = open_membership(c, f);
	if (rc == 0)
		rc = start_components(c, f);
	if (rc != 0) {
		stop_control(c);
		return rc;
	}
	record_event(c->cfg.events, "start", c->cfg.zone, 0,
	    "control process %llu, %s", (unsigned long long)c->id,
	    is_relay(c) ? "relay" : "voter");
	*out = c;
	return 0;
}

/*
 * Stops the replica and resets the connections first: both fail their pending
 * calls, so that the handlers of both listeners return. The client is closed
 * last because a handler may use it until then.
 */
void
stop_control(struct control *c)
{
	if (c == NULL)
		return;
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_cond_broadcast(&c->wake);
	pthread_mutex_unlock(&c->lock);
	if (c->thread_started)
		pthread_join(c->thread, NULL);
	stop_replication(c);
	for (size_t i = 0; i < c->peer_count; i++)
		reset_rpc_peer(c->peers[i].rpc);
	stop_http(c);
	if (c->server != NULL)
		stop_rpc_server(c->server);
	if (c->client != NULL)
		close_rpc_client(c->client);
	free_control(c);
}

uint64_t
get_control_version(struct control *c)
{
	uint64_t v;

	pthread_mutex_lock(&c->lock);
	v = c->state->table->version;
	pthread_mutex_unlock(&c->lock);
	return v;
}

bool
is_control_leader(struct control *c)
{
	struct replica_status st;

	return get_replication_status(c, &st) && st.role == RAFT_LEADER;
}

/*
 * Tells whether the process has to end, for example a voter that may neither
 * bootstrap nor join a group, or one that has lost its data. Copies the reason
 * to f.
 */
bool
has_control_failed(struct control *c, struct fault *f)
{
	bool failed = false;

	pthread_rwlock_rdlock(&c->replica_guard);
	if (c->replica != NULL)
		failed = is_replica_unrecoverable(c->replica, f) &&
			 !is_replaceable(c, f);
	pthread_rwlock_unlock(&c->replica_guard);
	if (failed)
		return true;

	pthread_mutex_lock(&c->lock);
	failed = c->bootstrap.failed;
	if (failed)
		*f = c->bootstrap.fault;
	pthread_mutex_unlock(&c->lock);
	return failed;
}

/*
 * Appends the status as JSON. Returns 0 or ERR_MEMORY.
 */
int
render_control_status(struct control *c, struct buf *out)
{
	json_t *o = make_status_json(c);
	char *text = o != NULL ? json_dumps(o, JSON_COMPACT) : NULL;
	int rc =
	    text != NULL ? append_buf_str(out, make_str(text)) : ERR_MEMORY;

	free(text);
	json_decref(o);
	return rc;
}

/*
 * Tells whether the table may be outdated: on a voter without contact to a
 * quorum, on a relay without a successful reply of its voter, for
 * WATCH_STALE_NS or since the start; or on a voter whose disk has blocked the
 * replica for WATCH_BLOCKED_NS, while the others go on.
 */
bool
is_control_stale(struct control *c)
{
	struct replica_status st;

	if (is_relay(c))
		return c->upstream.contact_ns < 0 ||
		       read_mono(&c->cfg.clock) - c->upstream.contact_ns >
			   WATCH_STALE_NS;
	return !get_replication_status(c, &st) || st.failed ||
	       st.contact_ns < 0 || st.contact_ns > WATCH_STALE_NS ||
	       st.round_ns > WATCH_BLOCKED_NS;
}

/*
 * Tells whether this process knows that it cannot serve a read or a command: it
 * has had no contact to a quorum for SERVICE_QUORUM_LOST_NS or its storage has
 * failed. The age of the contact also grows while a disk blocks the replica's
 * thread.
 */
bool
is_quorum_lost(struct control *c)
{
	struct replica_status st;
	int64_t age;

	if (is_relay(c))
		return is_control_stale(c) &&
		       read_mono(&c->cfg.clock) - c->started_ns >
			   WATCH_STALE_NS;
	if (get_replication_status(c, &st) && st.failed)
		return true;
	age = st.contact_ns >= 0 ? st.contact_ns :
				   read_mono(&c->cfg.clock) - c->started_ns;
	return age > SERVICE_QUORUM_LOST_NS;
}

/*
 * Tells whether a voter has had no contact to a leader since its start. False
 * for a process that has not joined yet: its group may have a leader already.
 */
bool
is_control_starting(struct control *c)
{
	struct replica_status st;

	return !is_relay(c) && get_replication_status(c, &st) && !st.failed &&
	       st.voter && st.contact_ns < 0;
}

bool
is_relay(const struct control *c)
{
	return c->cfg.data_dir == NULL;
}

struct wire_hlc
make_message_stamp(struct control *c)
{
	struct hlc h = stamp_hlc(c->cfg.events);

	return (struct wire_hlc){h.wall_ns, h.count};
}

void
merge_message_stamp(struct control *c, const struct wire_hlc *h)
{
	merge_hlc(c->cfg.events, (struct hlc){h->wall_ns, h->count});
}

static int
check_config(const struct control_config *cfg, struct fault *f)
{
	if (cfg->auto_members)
		return check_auto_members(cfg, f);
	if (cfg->id == 0)
		return set_fault(f, ERR_INVALID,
		    "a control process needs an id of 1 or more");
	if (cfg->rpc_listen == NULL || cfg->http_listen == NULL)
		return set_fault(f, ERR_INVALID,
		    "a control process needs an address for rpc and one for "
		    "HTTP");
	if (cfg->data_dir == NULL && cfg->peer_count == 0)
		return set_fault(f, ERR_INVALID,
		    "a relay needs the voters as peers; a voter needs a data "
		    "folder");
	if ((cfg->tls_cert_file == NULL) != (cfg->tls_key_file == NULL))
		return set_fault(f, ERR_INVALID,
		    "TLS needs a certificate and its key; set both files");
	return 0;
}

static int
check_auto_members(const struct control_config *cfg, struct fault *f)
{
	if (cfg->id != 0 || cfg->peer_count != 0 || cfg->relay_count != 0)
		return set_fault(f, ERR_INVALID,
		    "a group that manages its members takes seeds instead of "
		    "an id, peers and relays");
	if (cfg->data_dir == NULL || cfg->seed_count == 0 ||
	    cfg->voters_wanted % 2 == 0 ||
	    cfg->voters_wanted > CONTROL_PEER_MAX)
		return set_fault(f, ERR_INVALID,
		    "a group that manages its members needs a data folder, a "
		    "seed and an odd number of voters up to %d",
		    CONTROL_PEER_MAX);
	if (cfg->rpc_listen == NULL || cfg->http_listen == NULL)
		return set_fault(f, ERR_INVALID,
		    "a control process needs an address for rpc and one for "
		    "HTTP");
	return 0;
}

/*
 * Copies the configuration and those of its strings that are used after the
 * start; free_control() frees them. Returns ERR_MEMORY.
 */
static int
copy_config_strings(
    struct control *c, const struct control_config *cfg, struct fault *f)
{
	c->cfg = *cfg;
	c->id = cfg->id;
	c->cfg.zone = copy_string(c, cfg->zone != NULL ? cfg->zone : "");
	c->cfg.rpc_listen = copy_string(c, cfg->rpc_listen);
	c->cfg.http_listen = copy_string(c, cfg->http_listen);
	c->cfg.data_dir = copy_string(c, cfg->data_dir);
	c->cfg.token_file = copy_string(c, cfg->token_file);
	c->cfg.tls_cert_file = copy_string(c, cfg->tls_cert_file);
	c->cfg.tls_key_file = copy_string(c, cfg->tls_key_file);
	for (size_t i = 0; i < cfg->peer_count; i++)
		c->cfg.peers[i] = strdup(cfg->peers[i]);
	for (size_t i = 0; i < cfg->relay_count; i++)
		c->cfg.relays[i] = strdup(cfg->relays[i]);
	for (size_t i = 0; i < cfg->seed_count; i++)
		c->cfg.seeds[i] = strdup(cfg->seeds[i]);
	for (size_t i = 0; i < c->owned_string_count; i++) {
		if (c->owned_strings[i] == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
	}
	for (size_t i = 0; i < cfg->peer_count; i++) {
		if (c->cfg.peers[i] == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
	}
	for (size_t i = 0; i < cfg->seed_count; i++) {
		if (c->cfg.seeds[i] == NULL)
			return set_fault(f, ERR_MEMORY, "out of memory");
	}
	seed_rng(&c->rng, cfg->seed + cfg->id);
	c->upstream.contact_ns = -1;
	c->started_ns = read_mono(&cfg->clock);
	return 0;
}

/*
 * Copies a string, which is freed with the process. NULL stays NULL.
 */
static const char *
copy_string(struct control *c, const char *text)
{
	if (text == NULL)
		return NULL;
	c->owned_strings[c->owned_string_count] = strdup(text);
	return c->owned_strings[c->owned_string_count++];
}

static int
init_locks(struct control *c)
{
	pthread_condattr_t attr;

	if (pthread_mutex_init(&c->lock, NULL) != 0 ||
	    pthread_mutex_init(&c->peers_lock, NULL) != 0 ||
	    pthread_mutex_init(&c->http_lock, NULL) != 0 ||
	    pthread_rwlock_init(&c->replica_guard, NULL) != 0 ||
	    pthread_condattr_init(&attr) != 0)
		return ERR_MEMORY;
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	if (pthread_cond_init(&c->wake, &attr) != 0)
		return ERR_MEMORY;
	pthread_condattr_destroy(&attr);
	return 0;
}

/*
 * Starts the components in order of use; the listeners and the service thread
 * come last. On error the caller stops those that were started.
 */
static int
start_components(struct control *c, struct fault *f)
{
	int64_t wall = read_wall(&c->cfg.clock);
	int rc = open_state(CLAIMS_MAX, &c->state);

	if (rc == 0)
		rc = open_registry(c->id, (uint64_t)wall, &c->registry);
	if (rc == 0)
		rc = open_rollouts(c);
	if (rc != 0)
		return set_fault(f, rc, "out of memory");
	open_bucket(&c->bucket, c->cfg.snapshot_rate, read_mono(&c->cfg.clock));
	open_control_metrics(&c->metrics);
	if (c->cfg.token_file != NULL)
		rc = load_tokens(c->cfg.token_file, &c->tokens, f);
	if (rc == 0)
		rc = start_client(c, f);
	if (rc == 0)
		rc = c->cfg.auto_members ? open_seeds(c, f) : open_peers(c, f);
	if (rc == 0 && !is_relay(c))
		rc = open_bootstrap(c, f);
	if (rc == 0)
		rc = start_server(c, f);
	if (rc == 0)
		rc = start_http(c, f);
	if (rc != 0)
		return rc;
	c->thread_started = true; /* the thread reads it */
	if (pthread_create(&c->thread, NULL, run_service, c) == 0)
		return 0;
	c->thread_started = false;
	return set_fault(
	    f, ERR_LIMIT, "cannot start a thread; raise the process limit");
}

static int
start_client(struct control *c, struct fault *f)
{
	struct rpc_client_config r = {
	    .clock = c->cfg.clock,
	    .key = c->cfg.key,
	    .procs = get_ggs_procs(),
	    .unresponsive_ms = SERVICE_UNRESPONSIVE_MS,
	    .tcp_connect_ms = c->cfg.tcp_connect_ms,
	    .hooks = c->cfg.hooks,
	};

	return open_rpc_client(&r, &c->client, f);
}

static int
start_server(struct control *c, struct fault *f)
{
	struct rpc_server_config r = {
	    .clock = c->cfg.clock,
	    .address = c->cfg.rpc_listen,
	    .key = c->cfg.key,
	    .next_key = c->cfg.next_key,
	    .procs = get_ggs_procs(),
	    .handler = handle_request,
	    .on_close = handle_connection_close,
	    .arg = c,
	    .workers = SERVER_WORKERS,
	    .max_connections = SERVER_CONNECTIONS_MAX,
	    .hooks = c->cfg.hooks,
	};

	return start_rpc_server(&r, &c->server, f);
}

static void
handle_request(void *arg, const struct rpc_request *q, struct rpc_reply *reply)
{
	struct control *c = arg;

	switch (q->proc) {
	case GGS_RAFT_STEP:
		handle_raft_step(c, q, reply);
		break;
	case GGS_READ_INDEX:
		handle_read_index(c, reply);
		break;
	case GGS_PROPOSE:
		handle_propose(c, q, reply);
		break;
	case GGS_ENDPOINT_SYNC:
		handle_sync(c, q, reply);
		break;
	case GGS_WATCH:
	case GGS_WATCH_PACKED:
	case GGS_PULL:
		handle_watch(c, q, reply);
		break;
	case GGS_CLAIM:
		handle_claim(c, q, reply);
		break;
	case GGS_LEAVINGS:
		handle_leavings(c, q, reply);
		break;
	case GGS_GROUP:
		handle_group(c, q, reply);
		break;
	case GGS_ALLOTMENT:
		handle_allotment(c, q, reply);
		break;
	case GGS_JOIN:
		handle_join(c, q, reply);
		break;
	case GGS_ROLLOUTS:
	case GGS_ROLLOUT_REPORT:
		handle_rollouts(c, q, reply);
		break;
	default:
		complete_rpc(reply, ERR_NOT_FOUND, make_str(""));
	}
}

static void
handle_connection_close(void *arg, uint64_t conn)
{
	drop_connection(arg, conn);
}

static void
free_control(struct control *c)
{
	unload_tokens(c->tokens);
	clear_cache(&c->cache);
	clear_nodes(&c->nodes);
	close_ledger(c->allotments.ledger);
	close_registry(c->registry);
	close_rollouts(c);
	close_state(c->state);
	for (size_t i = 0; i < c->owned_string_count; i++)
		free(c->owned_strings[i]);
	for (size_t i = 0; i < c->cfg.peer_count; i++)
		free((char *)(uintptr_t)c->cfg.peers[i]);
	for (size_t i = 0; i < c->cfg.relay_count; i++)
		free((char *)(uintptr_t)c->cfg.relays[i]);
	for (size_t i = 0; i < c->cfg.seed_count; i++)
		free((char *)(uintptr_t)c->cfg.seeds[i]);
	pthread_mutex_destroy(&c->lock);
	pthread_mutex_destroy(&c->peers_lock);
	pthread_mutex_destroy(&c->http_lock);
	pthread_rwlock_destroy(&c->replica_guard);
	pthread_cond_destroy(&c->wake);
	free(c);
}
