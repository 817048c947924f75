/*
 * Start and stop of a replica, its thread, and the queries.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "replica_core.h"

#define APPEND_BYTES (256 * 1024) /* and one more entry fit into a message */
#define APPEND_WINDOW 32 /* unacknowledged APPENDs per member */
#define UNCOMMITTED_BYTES (8 * 1024 * 1024) /* more proposals are refused */
#define TRAILING_BYTES (1024 * 1024) /* kept in the log below a snapshot */

static int open_raft_core(
    struct replica *r, const struct raft_stored *stored, struct fault *f);
static void unload_replica(struct replica *r);
static void *run_replica(void *arg);
static void wait_for_work(struct replica *r);

/*
 * Opens the log, loads the newest snapshot into the state machine and starts
 * the thread; the caller ends it with stop_replica(). cfg->bootstrap is used
 * only with an empty data directory. A member that joins has none; its
 * transport must be able to reply to the others before update_members reports
 * their addresses.
 */
int
start_replica(
    const struct replica_config *cfg, struct replica **out, struct fault *f)
{
	struct replica *r = calloc(1, sizeof(*r));
	pthread_condattr_t attr;
	int rc;

	if (r == NULL)
		return set_fault(f, ERR_MEMORY, "out of memory");
	r->cfg = *cfg;
	r->inbox_tail = &r->inbox;
	r->last_contact_ns = -1;
	r->last_tick_ns = read_mono(&cfg->clock);
	r->last_round_ns = r->last_tick_ns;
	if (r->cfg.snapshot_bytes == 0)
		r->cfg.snapshot_bytes = REPLICA_SNAPSHOT_BYTES;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->wake, &attr);
	pthread_condattr_destroy(&attr);
	rc = load_replica(r, f);
	r->cfg.bootstrap = NULL;
	if (rc == 0 && !cfg->manual) {
		if (pthread_create(&r->thread, NULL, run_replica, r) == 0)
			r->has_thread = true;
		else
			rc = set_fault(f, ERR_LIMIT,
			    "the replica thread cannot start; raise the "
			    "thread limit");
	}
	if (rc != 0) {
		unload_replica(r);
		return rc;
	}
	*out = r;
	return 0;
}

/*
 * Stops the thread and frees r, which may be NULL. Pending proposals that are
 * in the log end with ERR_UNKNOWN, all other requests with ERR_UNAVAILABLE.
 */
void
stop_replica(struct replica *r)
{
	struct inbox_item *it, *next;

	if (r == NULL)
		return;
	pthread_mutex_lock(&r->lock);
	r->stopping = true;
	pthread_cond_signal(&r->wake);
	pthread_mutex_unlock(&r->lock);
	if (r->has_thread)
		pthread_join(r->thread, NULL);
	for (it = r->inbox; it != NULL; it = next) {
		next = it->next;
		reject_item(it, ERR_UNAVAILABLE);
	}
	fail_requests(r);
	unload_replica(r);
}

/*
 * A contact that the replica's thread has published since the clock was read is
 * of age 0; a negative age means that there was none.
 */
struct replica_status
get_replica_status(struct replica *r)
{
	int64_t now = read_mono(&r->cfg.clock);
	struct replica_status s;

	pthread_mutex_lock(&r->lock);
	s = r->status;
	s.contact_ns = -1;
	if (r->last_contact_ns >= 0)
		s.contact_ns =
		    now > r->last_contact_ns ? now - r->last_contact_ns : 0;
	s.round_ns = now - r->last_round_ns;
	pthread_mutex_unlock(&r->lock);
	return s;
}

void
get_replica_members(struct replica *r, struct raft_members *out)
{
	pthread_mutex_lock(&r->lock);
	*out = r->members;
	pthread_mutex_unlock(&r->lock);
}

size_t
get_replica_progress(
    struct replica *r, struct replica_progress out[RAFT_MEMBERS_MAX])
{
	size_t n;

	pthread_mutex_lock(&r->lock);
	n = r->progress_count;
	memcpy(out, r->progress, n * sizeof(*out));
	pthread_mutex_unlock(&r->lock);
	return n;
}

bool
is_replica_leader(struct replica *r)
{
	return get_replica_status(r).role == RAFT_LEADER;
}

bool
is_replica_failed(struct replica *r)
{
	return get_replica_status(r).failed;
}

bool
is_replica_unrecoverable(struct replica *r, struct fault *f)
{
	bool unrecoverable;

	pthread_mutex_lock(&r->lock);
	unrecoverable = r->unrecoverable;
	if (unrecoverable)
		*f = r->unrecoverable_fault;
	pthread_mutex_unlock(&r->lock);
	return unrecoverable;
}

/*
 * Opens the log and the core, clears the state machine and loads the snapshot.
 * Returns ERR_NOT_FOUND for an empty data directory with cfg.need_data,
 * ERR_CORRUPT when the snapshot does not load, or an error of log or core; f
 * has the reason.
 */
int
load_replica(struct replica *r, struct fault *f)
{
	struct wal_config wcfg = {.dir = r->cfg.data_dir,
	    .id = r->cfg.id,
	    .segment_bytes = r->cfg.segment_bytes,
	    .io = r->cfg.io};
	struct raft_stored stored;
	struct raft_snapshot first = {0};
	struct rng rng;
	int rc;

	rc = open_wal(&wcfg, &r->wal, f);
	if (rc != 0)
		return rc;
	if (is_wal_empty(r->wal) && r->cfg.need_data)
		return set_fault(f, ERR_NOT_FOUND,
		    "the data directory %s is empty", r->cfg.data_dir);
	stored = *get_wal_stored(r->wal);
	if (is_wal_empty(r->wal) && r->cfg.bootstrap != NULL) {
		first.members = *r->cfg.bootstrap;
		rc = save_wal_snapshot(r->wal, &first, f);
		if (rc != 0)
			return rc;
		stored.snapshot.members = first.members;
		r->has_stored = true;
	}
	/* A delayed reply to an earlier run must not match a context. */
	seed_rng_random(&rng);
	r->next_context = r->cfg.manual ?
			      (uint64_t)read_wall(&r->cfg.clock) << 8 :
			      draw_u64(&rng);
	r->has_stored = r->has_stored || !is_wal_empty(r->wal);
	rc = open_raft_core(r, &stored, f);
	unload_wal_stored(r->wal);
	if (rc != 0)
		return rc;
	r->cfg.machine.clear(r->cfg.machine.arg);
	process_output(r);
	if (r->failed)
		return set_fault(f, r->failure.kind, "%s", r->failure.text);
	publish_status(r, r->last_tick_ns);
	return 0;
}

/*
 * Opens the consensus core with the limits of this package.
 */
static int
open_raft_core(
    struct replica *r, const struct raft_stored *stored, struct fault *f)
{
	struct raft_config cfg = {.id = r->cfg.id,
	    .seed = r->cfg.seed,
	    .heartbeat_ticks = REPLICA_HEARTBEAT_MS / REPLICA_TICK_MS,
	    .election_ticks = REPLICA_ELECTION_MS / REPLICA_TICK_MS,
	    .append_bytes = APPEND_BYTES,
	    .append_entries = WIRE_ENTRIES_MAX,
	    .append_window = APPEND_WINDOW,
	    .chunk_bytes = WIRE_SNAPSHOT_CHUNK,
	    .uncommitted_bytes = UNCOMMITTED_BYTES,
	    .trailing_bytes = TRAILING_BYTES};

	return open_raft(&cfg, stored, &r->raft, f);
}

static void
unload_replica(struct replica *r)
{
	close_raft(r->raft);
	close_wal(r->wal);
	unload_buf(&r->scratch);
	unload_buf(&r->result);
	free(r->proposals);
	free(r->reads);
	pthread_cond_destroy(&r->wake);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

/*
 * Body of the replica's thread; returns after stop_replica() was called.
 */
static void *
run_replica(void *arg)
{
	struct replica *r = arg;
	bool stop = false;

	while (!stop) {
		wait_for_work(r);
		run_replica_work(r);
		pthread_mutex_lock(&r->lock);
		stop = r->stopping;
		pthread_mutex_unlock(&r->lock);
	}
	return NULL;
}

/*
 * Waits until the inbox has an item, the next tick is due or the replica stops.
 */
static void
wait_for_work(struct replica *r)
{
	struct timespec until;
	int64_t left = r->last_tick_ns + TICK_NS - read_mono(&r->cfg.clock);

	if (left < 0)
		left = 0;
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += left;
	while (until.tv_nsec >= NSEC_PER_SEC) {
		until.tv_nsec -= NSEC_PER_SEC;
		until.tv_sec++;
	}
	pthread_mutex_lock(&r->lock);
	if (r->inbox_count == 0 && !r->stopping)
		pthread_cond_timedwait(&r->wake, &r->lock, &until);
	pthread_mutex_unlock(&r->lock);
}
