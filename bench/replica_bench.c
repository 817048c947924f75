/*
 * Commit throughput and latency of a group of three replicas in one process,
 * with real files, for several numbers of outstanding proposals. Prints one
 * JSON line per figure; GGS_COMMIT names the commit in them.
 */
#include <argp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "replica.h"

#define MEMBERS 3
#define OUTSTANDING_MAX 64
#define SAMPLES_MAX 1000000
#define COMMAND_MAX 65536 /* bytes */
#define START_WAIT_MS 5000 /* an election takes at most a few timeouts */
#define PROPOSE_MS 10000 /* time-out of a proposal */

struct bench;

/* One member, and the argument of its transport. */
struct bench_member {
	struct bench *b;
	uint64_t id;
	struct replica *replica;
	char dir[256];
};

/* Makes one proposal at a time; its completion starts the next one. */
struct proposer {
	struct bench *b;
	int64_t sent; /* mono, ns */
};

struct bench {
	struct clock_source clock;
	const char *dir;
	int run_ms;
	size_t command_bytes;
	struct bench_member member[MEMBERS];
	struct replica *leader;
	char command[COMMAND_MAX];
	pthread_mutex_t lock;
	pthread_cond_t all_done;
	int64_t until; /* no proposals from then on; mono, ns */
	size_t active; /* proposers that still run */
	int64_t *samples; /* latencies, ns */
	size_t sample_count;
	size_t failed;
};

static const struct argp_option options[] = {
    {"dir", 'd', "DIR", 0, "parent of the data directories (/tmp)", 0},
    {"run-ms", 't', "MS", 0, "length of each run (3000)", 0},
    {"bytes", 'b', "N", 0, "bytes of a command (200)", 0},
    {0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static int start_members(struct bench *b);
static int wait_for_leader(struct bench *b);
static void stop_members(struct bench *b);
static int run_bench(struct bench *b, size_t outstanding);
static void propose_next(struct proposer *p);
static void handle_result(
    void *arg, int status, uint64_t index, struct str result);
static void send_to_member(
    void *arg, uint64_t to, const struct wire_raft_message *m);
static void apply_command(void *arg, uint64_t index, struct replica_stamp at,
    struct str command, struct buf *result);
static int save_empty(void *arg, struct buf *out);
static int load_empty(void *arg, uint64_t index, struct str data);
static void clear_nothing(void *arg);
static int64_t get_zero_time(void *arg);
static int compare_samples(const void *a, const void *b);
static void print_figure(const struct bench *b, size_t outstanding,
    const char *metric, double value, const char *unit);
static void remove_file_of(void *arg, const char *name);
static void remove_files(const char *dir);

int
main(int argc, char **argv)
{
	static const size_t outstanding[] = {1, 8, 64};
	static struct bench b = {.dir = "/tmp",
	    .run_ms = 3000,
	    .command_bytes = 200,
	    .lock = PTHREAD_MUTEX_INITIALIZER,
	    .all_done = PTHREAD_COND_INITIALIZER};
	struct argp argp = {.options = options,
	    .parser = parse_option,
	    .doc = "Measures commits of a group of three replicas."};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &b) != 0)
		return 1;
	b.clock = get_real_clock();
	b.samples = calloc(SAMPLES_MAX, sizeof(*b.samples));
	if (b.samples == NULL)
		return 1;
	rc = start_members(&b);
	if (rc == 0)
		rc = wait_for_leader(&b);
	for (size_t i = 0; i < 3 && rc == 0; i++)
		rc = run_bench(&b, outstanding[i]);
	stop_members(&b);
	free(b.samples);
	return rc == 0 ? 0 : 1;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct bench *b = state->input;
	int64_t v;

	switch (key) {
	case 'd':
		b->dir = arg;
		return 0;
	case 't':
		if (parse_i64(make_str(arg), 100, 600000, &v) != 0)
			argp_error(state, "run-ms must be 100..600000");
		b->run_ms = (int)v;
		return 0;
	case 'b':
		if (parse_i64(make_str(arg), 1, COMMAND_MAX, &v) != 0)
			argp_error(state, "bytes must be 1..%d", COMMAND_MAX);
		b->command_bytes = (size_t)v;
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

/*
 * Starts the members in new data directories. Returns an error after printing
 * the reason.
 */
static int
start_members(struct bench *b)
{
	struct raft_members boot = {.count = MEMBERS};
	struct fault f = {0};
	int rc = 0;

	for (size_t i = 0; i < MEMBERS; i++) {
		boot.member[i].id = i + 1;
		boot.member[i].voter = true;
	}
	/* Keeps members from sending until all of them are set up. */
	pthread_mutex_lock(&b->lock);
	for (size_t i = 0; i < MEMBERS; i++) {
		struct bench_member *m = &b->member[i];
		struct replica_config cfg = {.clock = b->clock,
		    .id = i + 1,
		    .data_dir = m->dir,
		    .bootstrap = &boot,
		    .machine = {apply_command, save_empty, load_empty,
			clear_nothing, get_zero_time, m},
		    .transport = {send_to_member, NULL, m},
		    .seed = i + 1};

		m->b = b;
		m->id = i + 1;
		snprintf(m->dir, sizeof(m->dir), "%s/ggs-bench-XXXXXX", b->dir);
		if (mkdtemp(m->dir) == NULL) {
			fprintf(
			    stderr, "cannot make a directory in %s\n", b->dir);
			rc = ERR_IO;
			break;
		}
		rc = start_replica(&cfg, &m->replica, &f);
		if (rc != 0) {
			fprintf(stderr, "%s\n", f.text);
			break;
		}
	}
	pthread_mutex_unlock(&b->lock);
	return rc;
}

/*
 * Waits for an election and sets b->leader. Returns ERR_UNAVAILABLE if there is
 * none after START_WAIT_MS.
 */
static int
wait_for_leader(struct bench *b)
{
	for (int i = 0; i < START_WAIT_MS; i++) {
		for (size_t k = 0; k < MEMBERS; k++) {
			b->leader = b->member[k].replica;
			if (is_replica_leader(b->leader))
				return 0;
		}
		usleep(1000);
	}
	fprintf(stderr, "no leader was elected\n");
	return ERR_UNAVAILABLE;
}

/*
 * Stops the members and removes their directories.
 */
static void
stop_members(struct bench *b)
{
	struct replica *r[MEMBERS];

	/* No member may send to one that has been stopped. */
	pthread_mutex_lock(&b->lock);
	for (size_t i = 0; i < MEMBERS; i++) {
		r[i] = b->member[i].replica;
		b->member[i].replica = NULL;
	}
	pthread_mutex_unlock(&b->lock);
	for (size_t i = 0; i < MEMBERS; i++) {
		stop_replica(r[i]);
		if (b->member[i].dir[0] != '\0')
			remove_files(b->member[i].dir);
	}
}

/*
 * Keeps a number of proposals outstanding for run_ms and prints the figures.
 */
static int
run_bench(struct bench *b, size_t outstanding)
{
	static struct proposer proposers[OUTSTANDING_MAX];
	struct wal_counters before = get_replica_status(b->leader).wal, after;
	int64_t start = read_mono(&b->clock);
	size_t n, p50, p99;
	double seconds;

	b->sample_count = 0;
	b->failed = 0;
	b->active = outstanding;
	b->until = start + b->run_ms * NSEC_PER_MSEC;
	for (size_t i = 0; i < outstanding; i++) {
		proposers[i].b = b;
		propose_next(&proposers[i]);
	}
	pthread_mutex_lock(&b->lock);
	while (b->active > 0)
		pthread_cond_wait(&b->all_done, &b->lock);
	pthread_mutex_unlock(&b->lock);
	seconds = (double)(read_mono(&b->clock) - start) / NSEC_PER_SEC;
	after = get_replica_status(b->leader).wal;
	n = b->sample_count;
	if (n == 0 || b->failed > 0) {
		fprintf(stderr, "%zu proposals failed, %zu committed\n",
		    b->failed, n);
		return ERR_UNAVAILABLE;
	}
	p50 = n / 2;
	p99 = n * 99 / 100;
	qsort(b->samples, n, sizeof(*b->samples), compare_samples);
	print_figure(b, outstanding, "commits", (double)n / seconds, "1/s");
	print_figure(
	    b, outstanding, "latency_p50", (double)b->samples[p50] / 1e3, "us");
	print_figure(
	    b, outstanding, "latency_p99", (double)b->samples[p99] / 1e3, "us");
	print_figure(b, outstanding, "commits_per_sync",
	    (double)n / (double)(after.syncs - before.syncs), "1");
	return 0;
}

/*
 * Makes the next proposal, or ends the proposer after the end of the run or
 * when a proposal is not accepted.
 */
static void
propose_next(struct proposer *p)
{
	struct bench *b = p->b;
	bool more;

	p->sent = read_mono(&b->clock);
	more = p->sent < b->until;
	if (more &&
	    propose_replica(b->leader, make_str_n(b->command, b->command_bytes),
		PROPOSE_MS, handle_result, p) == 0)
		return;
	pthread_mutex_lock(&b->lock);
	if (more)
		b->failed++;
	if (--b->active == 0)
		pthread_cond_signal(&b->all_done);
	pthread_mutex_unlock(&b->lock);
}

/*
 * Records the latency of a proposal and makes the next one.
 */
static void
handle_result(void *arg, int status, uint64_t index, struct str result)
{
	struct proposer *p = arg;
	struct bench *b = p->b;
	int64_t took = read_mono(&b->clock) - p->sent;

	(void)index;
	(void)result;
	pthread_mutex_lock(&b->lock);
	if (status != 0)
		b->failed++;
	else if (b->sample_count < SAMPLES_MAX)
		b->samples[b->sample_count++] = took;
	pthread_mutex_unlock(&b->lock);
	propose_next(p);
}

/*
 * Passes a message to another member directly. The replica copies it, which
 * takes the place of the encoding by a real transport.
 */
static void
send_to_member(void *arg, uint64_t to, const struct wire_raft_message *m)
{
	struct bench *b = ((struct bench_member *)arg)->b;

	pthread_mutex_lock(&b->lock);
	if (to >= 1 && to <= MEMBERS && b->member[to - 1].replica != NULL)
		(void)step_replica(b->member[to - 1].replica, m);
	pthread_mutex_unlock(&b->lock);
}

/*
 * Applies nothing: the measurement needs no state.
 */
static void
apply_command(void *arg, uint64_t index, struct replica_stamp at,
    struct str command, struct buf *result)
{
	(void)arg;
	(void)index;
	(void)at;
	(void)command;
	(void)result;
}

/*
 * Saves a snapshot of one byte: the state machine has no state.
 */
static int
save_empty(void *arg, struct buf *out)
{
	(void)arg;
	return append_buf(out, "-", 1);
}

static int
load_empty(void *arg, uint64_t index, struct str data)
{
	(void)arg;
	(void)index;
	(void)data;
	return 0;
}

static void
clear_nothing(void *arg)
{
	(void)arg;
}

static int64_t
get_zero_time(void *arg)
{
	(void)arg;
	return 0;
}

static int
compare_samples(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static void
print_figure(const struct bench *b, size_t outstanding, const char *metric,
    double value, const char *unit)
{
	const char *commit = getenv("GGS_COMMIT");

	printf("{\"experiment\":\"replica\",\"params\":{\"members\":%d,"
	       "\"outstanding\":%zu,\"bytes\":%zu,\"run_ms\":%d},"
	       "\"metric\":\"%s\",\"value\":%.1f,\"unit\":\"%s\","
	       "\"commit\":\"%s\"}\n",
	    MEMBERS, outstanding, b->command_bytes, b->run_ms, metric, value,
	    unit, commit != NULL ? commit : "unknown");
}

/*
 * Removes a data directory and its files.
 */
static void
remove_files(const char *dir)
{
	struct wal_io io = get_system_io();

	(void)io.list_dir(NULL, dir, remove_file_of, (void *)(uintptr_t)dir);
	(void)rmdir(dir);
}

/*
 * The list_dir callback of remove_files; arg is the directory.
 */
static void
remove_file_of(void *arg, const char *name)
{
	char path[600];

	snprintf(path, sizeof(path), "%s/%s", (const char *)arg, name);
	(void)unlink(path);
}
