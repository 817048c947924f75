/*
 * Measures the rpc package on loopback: calls per second and latency for
 * several numbers of calls in flight, and the cost of idle long-poll
 * connections. The server runs in a forked process, so that its CPU time and
 * memory can be read on their own. Prints JSON lines; GGS_COMMIT names the
 * commit in them.
 *
 * usage: rpc_bench [SECONDS [CONNECTIONS [IDLE_SECONDS]]]
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "rpc.h"
#include "wire.h"

#define ARGS_BYTES 100 /* about the size of a watch without endpoints */
#define HEARTBEAT_MS 10000 /* a pending watch is answered after this */
#define IN_FLIGHT_MAX 256 /* calls */
#define SAMPLES_MAX 4000000
#define PENDING_MAX 16384

static const char key[] = "a fleet key for the measurement";
static const char args_bytes[ARGS_BYTES];

/* A long poll that waits for its reply. */
struct pending_call {
	struct rpc_reply *reply;
	int64_t due; /* mono ns */
};

/* The pending watches of the server: a ring in order of arrival. */
struct bench_server {
	pthread_mutex_t lock;
	struct pending_call pending[PENDING_MAX];
	size_t first, count;
};

/* CPU time and memory of the server process. */
struct usage {
	int64_t cpu_us;
	int64_t rss_kb;
};

/* Makes one call at a time; its completion starts the next one. */
struct call_loop {
	struct bench *bench;
	struct rpc_peer *peer;
	int64_t started; /* of the current call, mono ns */
};

struct bench {
	struct clock_source clock;
	atomic_bool running;
	atomic_int active; /* call loops that still run */
	atomic_int failed;
	uint32_t proc;
	uint32_t *latencies_ns; /* written by the client's thread */
	size_t sample_count;
	struct call_loop *loops;
};

static int fork_server(int *control, char *address, size_t size);
static void run_server(int control);
static void handle_call(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply);
static void complete_due_watches(struct bench_server *s, int64_t now);
static struct usage read_usage(void);
static struct usage request_usage(int control);
static void start_next_call(struct call_loop *c);
static void handle_call_result(void *arg, const struct rpc_result *result);
static int measure_calls(const char *address, int in_flight, int seconds);
static int measure_idle(
    const char *address, int control, int connections, int seconds);
static uint32_t get_sample(const struct bench *b, size_t percent);
static int compare_ns(const void *a, const void *b);
static void print_value(const char *experiment, const char *params,
    const char *metric, double value, const char *unit);
static void sleep_ms(int64_t ms);

int
main(int argc, char **argv)
{
	static const int in_flight_counts[] = {1, 16, IN_FLIGHT_MAX};
	int64_t seconds = 3, connections = 1000, idle = 30;
	char address[RPC_ADDRESS_BYTES];
	int control, pid, rc = 0;

	if ((argc > 1 && parse_i64(make_str(argv[1]), 1, 600, &seconds) != 0) ||
	    (argc > 2 &&
		parse_i64(make_str(argv[2]), 1, 4000, &connections) != 0) ||
	    (argc > 3 && parse_i64(make_str(argv[3]), 1, 600, &idle) != 0)) {
		fputs("usage: rpc_bench [SECONDS [CONNECTIONS "
		      "[IDLE_SECONDS]]]\n",
		    stderr);
		return 2;
	}
	pid = fork_server(&control, address, sizeof(address));
	if (pid < 0) {
		fputs("rpc_bench: cannot start the server\n", stderr);
		return 1;
	}
	for (size_t i = 0;
	     i < sizeof(in_flight_counts) / sizeof(in_flight_counts[0]); i++)
		rc |= measure_calls(address, in_flight_counts[i], (int)seconds);
	rc |= measure_idle(address, control, (int)connections, (int)idle);
	close(control);
	waitpid(pid, NULL, 0);
	return rc != 0;
}

/*
 * Forks the server process, before this one has threads. control gets a socket:
 * for each byte written to it, one struct usage can be read; closing it ends
 * the server. Returns the process id or ERR_IO.
 */
static int
fork_server(int *control, char *address, size_t size)
{
	int pair[2], pid;
	ssize_t n;

	if (socketpair(AF_UNIX, SOCK_STREAM, 0, pair) != 0)
		return ERR_IO;
	pid = fork();
	if (pid == 0) {
		close(pair[0]);
		run_server(pair[1]);
		_exit(0);
	}
	close(pair[1]);
	*control = pair[0];
	n = pid > 0 ? read(pair[0], address, size - 1) : 0;
	if (n <= 0)
		return ERR_IO;
	address[n] = '\0';
	return pid;
}

/*
 * Runs the server until control is closed. Sends its address first, then the
 * usage on request, and completes due watches every 50 ms.
 */
static void
run_server(int control)
{
	static struct bench_server s = {.lock = PTHREAD_MUTEX_INITIALIZER};
	struct rpc_server_config cfg = {.address = "127.0.0.1:0",
	    .key = make_str(key),
	    .handler = handle_call,
	    .arg = &s,
	    .max_connections = 8192,
	    .max_unanswered = 1024};
	struct timeval tick = {.tv_usec = 50000};
	struct clock_source clock = get_real_clock();
	struct rpc_server *server;
	struct usage u;
	struct fault f;
	const char *address;
	char byte;
	ssize_t n;

	if (start_rpc_server(&cfg, &server, &f) != 0) {
		fprintf(stderr, "rpc_bench: %s\n", f.text);
		return;
	}
	address = get_rpc_server_address(server);
	if (write(control, address, strlen(address)) < 0)
		return;
	(void)setsockopt(control, SOL_SOCKET, SO_RCVTIMEO, &tick, sizeof(tick));
	while ((n = read(control, &byte, 1)) != 0) {
		complete_due_watches(&s, read_mono(&clock));
		u = read_usage();
		if (n > 0 && write(control, &u, sizeof(u)) < 0)
			break;
	}
	stop_rpc_server(server);
}

/*
 * Keeps a WATCH pending for the heartbeat interval and echoes everything else.
 */
static void
handle_call(void *arg, const struct rpc_request *req, struct rpc_reply *reply)
{
	struct clock_source clock = get_real_clock();
	struct bench_server *s = arg;
	bool pending = false;

	if (req->proc == GGS_WATCH) {
		pthread_mutex_lock(&s->lock);
		if (s->count < PENDING_MAX) {
			s->pending[(s->first + s->count) % PENDING_MAX] =
			    (struct pending_call){
				reply, read_mono(&clock) +
					   HEARTBEAT_MS * NSEC_PER_MSEC};
			s->count++;
			pending = true;
		}
		pthread_mutex_unlock(&s->lock);
	}
	if (!pending)
		complete_rpc(reply, 0, req->args);
}

/*
 * Completes the pending watches that have waited for the heartbeat interval.
 */
static void
complete_due_watches(struct bench_server *s, int64_t now)
{
	struct rpc_reply *reply;

	for (;;) {
		reply = NULL;
		pthread_mutex_lock(&s->lock);
		if (s->count > 0 && s->pending[s->first].due <= now) {
			reply = s->pending[s->first].reply;
			s->first = (s->first + 1) % PENDING_MAX;
			s->count--;
		}
		pthread_mutex_unlock(&s->lock);
		if (reply == NULL)
			return;
		complete_rpc(
		    reply, 0, make_str_n(args_bytes, sizeof(args_bytes)));
	}
}

static struct usage
read_usage(void)
{
	struct usage u = {0};
	struct rusage r;
	long pages = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f != NULL) {
		if (fscanf(f, "%*d %ld", &pages) != 1)
			pages = 0;
		fclose(f);
	}
	getrusage(RUSAGE_SELF, &r);
	u.rss_kb = pages * (sysconf(_SC_PAGESIZE) / 1024);
	u.cpu_us = (r.ru_utime.tv_sec + r.ru_stime.tv_sec) * 1000000LL +
		   r.ru_utime.tv_usec + r.ru_stime.tv_usec;
	return u;
}

/*
 * Requests the usage of the server process.
 */
static struct usage
request_usage(int control)
{
	struct usage u = {0};

	if (write(control, "u", 1) != 1 ||
	    read(control, &u, sizeof(u)) != (ssize_t)sizeof(u))
		fputs("rpc_bench: the server does not reply\n", stderr);
	return u;
}

/*
 * Starts the next call of a loop; the loop ends if it cannot be started.
 */
static void
start_next_call(struct call_loop *c)
{
	struct bench *b = c->bench;

	c->started = read_mono(&b->clock);
	if (call_rpc(c->peer, b->proc,
		make_str_n(args_bytes, sizeof(args_bytes)), 30000,
		handle_call_result, c) != 0) {
		atomic_fetch_add(&b->failed, 1);
		atomic_fetch_sub(&b->active, 1);
	}
}

/*
 * Records the latency of a call and starts the next one while the measurement
 * runs.
 */
static void
handle_call_result(void *arg, const struct rpc_result *result)
{
	struct call_loop *c = arg;
	struct bench *b = c->bench;

	if (result->status != 0 && atomic_load(&b->running))
		atomic_fetch_add(&b->failed, 1);
	if (b->latencies_ns != NULL && b->sample_count < SAMPLES_MAX)
		b->latencies_ns[b->sample_count++] =
		    (uint32_t)(read_mono(&b->clock) - c->started);
	if (result->status == 0 && atomic_load(&b->running))
		start_next_call(c);
	else
		atomic_fetch_sub(&b->active, 1);
}

/*
 * Keeps in_flight calls in flight on one connection for the given time. Returns
 * ERR_IO if a call failed.
 */
static int
measure_calls(const char *address, int in_flight, int seconds)
{
	struct bench b = {.clock = get_real_clock(), .proc = GGS_PROPOSE};
	struct rpc_client_config cfg = {.key = make_str(key)};
	struct call_loop loops[IN_FLIGHT_MAX];
	struct rpc_client *client;
	struct rpc_peer *peer;
	int64_t start, took;
	struct fault f;
	char params[64];

	if (open_rpc_client(&cfg, &client, &f) != 0 ||
	    open_rpc_peer(client, address, &peer, &f) != 0)
		return ERR_IO;
	b.latencies_ns = malloc(SAMPLES_MAX * sizeof(*b.latencies_ns));
	if (b.latencies_ns == NULL)
		return ERR_MEMORY;
	atomic_store(&b.running, true);
	atomic_store(&b.active, in_flight);
	start = read_mono(&b.clock);
	for (int i = 0; i < in_flight; i++) {
		loops[i] = (struct call_loop){&b, peer, 0};
		start_next_call(&loops[i]);
	}
	sleep_ms(seconds * 1000);
	atomic_store(&b.running, false);
	while (atomic_load(&b.active) > 0)
		sleep_ms(1);
	took = read_mono(&b.clock) - start;
	close_rpc_client(client);
	snprintf(params, sizeof(params), "in_flight=%d bytes=%d", in_flight,
	    ARGS_BYTES);
	qsort(b.latencies_ns, b.sample_count, sizeof(*b.latencies_ns),
	    compare_ns);
	print_value("rpc_calls", params, "calls",
	    (double)b.sample_count * NSEC_PER_SEC / (double)took, "1/s");
	print_value("rpc_calls", params, "p50",
	    (double)get_sample(&b, 50) / 1000, "us");
	print_value("rpc_calls", params, "p99",
	    (double)get_sample(&b, 99) / 1000, "us");
	print_value(
	    "rpc_calls", params, "failed", (double)atomic_load(&b.failed), "1");
	free(b.latencies_ns);
	return atomic_load(&b.failed) != 0 ? ERR_IO : 0;
}

/*
 * Opens connections with one long poll each, which is answered and renewed
 * every heartbeat interval, and reads the CPU time and memory of the server
 * process. Returns ERR_IO if a connection or call failed.
 */
static int
measure_idle(const char *address, int control, int connections, int seconds)
{
	struct bench b = {.clock = get_real_clock(), .proc = GGS_WATCH};
	struct rpc_client_config cfg = {
	    .key = make_str(key), .connect_ms = 10000};
	struct usage before = request_usage(control), connected, after;
	struct rpc_client *client;
	struct rpc_stats st;
	struct fault f;
	char params[64];
	int rc = 0;

	if (open_rpc_client(&cfg, &client, &f) != 0)
		return ERR_IO;
	b.loops = calloc((size_t)connections, sizeof(*b.loops));
	if (b.loops == NULL)
		return ERR_MEMORY;
	atomic_store(&b.running, true);
	atomic_store(&b.active, connections);
	for (int i = 0; i < connections && rc == 0; i++) {
		b.loops[i].bench = &b;
		rc = open_rpc_peer(client, address, &b.loops[i].peer, &f);
		if (rc == 0)
			start_next_call(&b.loops[i]);
	}
	sleep_ms(3000);
	connected = request_usage(control);
	st = get_rpc_client_stats(client);
	sleep_ms(seconds * 1000);
	after = request_usage(control);
	snprintf(params, sizeof(params), "connections=%d heartbeat_ms=%d",
	    connections, HEARTBEAT_MS);
	print_value("rpc_idle", params, "open", (double)st.open, "1");
	print_value(
	    "rpc_idle", params, "failed", (double)atomic_load(&b.failed), "1");
	print_value("rpc_idle", params, "cpu",
	    (double)(after.cpu_us - connected.cpu_us) / (seconds * 10000.0),
	    "%");
	print_value("rpc_idle", params, "rss", (double)after.rss_kb, "KB");
	print_value("rpc_idle", params, "rss_per_connection",
	    (double)(after.rss_kb - before.rss_kb) / connections, "KB");
	st = get_rpc_client_stats(client);
	print_value("rpc_idle", params, "bytes_per_connection",
	    (double)(st.bytes_in + st.bytes_out) / connections, "B");
	atomic_store(&b.running, false);
	close_rpc_client(client);
	free(b.loops);
	return rc != 0 || atomic_load(&b.failed) != 0 ? ERR_IO : 0;
}

/*
 * Returns a percentile of the sorted latencies, in ns; 0 without samples.
 */
static uint32_t
get_sample(const struct bench *b, size_t percent)
{
	size_t i = b->sample_count * percent / 100;

	return b->sample_count > 0 ? b->latencies_ns[i] : 0;
}

static int
compare_ns(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void
print_value(const char *experiment, const char *params, const char *metric,
    double value, const char *unit)
{
	const char *commit = getenv("GGS_COMMIT");
	json_t *j = json_pack("{s:s,s:s,s:s,s:f,s:s,s:s}", "experiment",
	    experiment, "params", params, "metric", metric, "value", value,
	    "unit", unit, "commit", commit != NULL ? commit : "unknown");
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;

	if (text != NULL)
		puts(text);
	fflush(stdout);
	free(text);
	json_decref(j);
}

static void
sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * NSEC_PER_MSEC};

	nanosleep(&ts, NULL);
}
