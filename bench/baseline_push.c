/*
 * The baseline for table distribution: one process sends the full table
 * directly to every node on each change. The nodes are sockets of the same
 * process; a few threads read them and check the digest.
 *
 * usage: baseline_push NODES ROWS CHANGES
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "table.h"

#define NODES_MAX 2000
#define CHANGES_MAX 10000
#define READERS 4 /* threads */
#define RECV_TIMEOUT_S 10 /* a reader fails after this time without data */

/* A thread that reads the nodes first, first + step, ... */
struct reader {
	pthread_t thread;
	int first;
	int step;
	int failures;
};

static int out_fds[NODES_MAX]; /* of the sending side */
static int in_fds[NODES_MAX]; /* of the nodes */
static int node_count;
static size_t message_bytes;
static uint64_t digest; /* of the table that is sent */

static int parse_count(const char *text, int max);
static int connect_nodes(void);
static int make_csv(int rows, int weight, struct buf *out);
static int push_change(const struct buf *csv, int64_t *ns);
static void *run_reader(void *arg);
static int receive_table(int fd, char *data);
static void print_result(
    int rows, const char *metric, double value, const char *unit);
static int compare_i64(const void *a, const void *b);

int
main(int argc, char **argv)
{
	int rows, changes, median, rc = 0;
	static int64_t ns[CHANGES_MAX];

	if (argc != 4) {
		fprintf(stderr, "usage: baseline_push NODES ROWS CHANGES\n");
		return 2;
	}
	node_count = parse_count(argv[1], NODES_MAX);
	rows = parse_count(argv[2], TABLE_MAX_ROWS);
	changes = parse_count(argv[3], CHANGES_MAX);
	if (node_count == 0 || rows == 0 || changes == 0 ||
	    connect_nodes() != 0) {
		fprintf(stderr, "baseline_push: cannot start: an argument is "
				"out of range, or a socket cannot be opened\n");
		return 1;
	}
	for (int i = 0; i < changes && rc == 0; i++) {
		struct buf csv = {0};

		rc = make_csv(rows, 1 + i % 1000, &csv);
		if (rc == 0)
			rc = push_change(&csv, &ns[i]);
		unload_buf(&csv);
	}
	if (rc != 0) {
		fprintf(stderr, "baseline_push: %s\n", get_err_name(rc));
		return 1;
	}
	median = (changes - 1) / 2;
	qsort(ns, (size_t)changes, sizeof(*ns), compare_i64);
	print_result(rows, "convergence_p50", (double)ns[median] / 1e6, "ms");
	print_result(
	    rows, "convergence_max", (double)ns[changes - 1] / 1e6, "ms");
	print_result(rows, "change_bytes_node", (double)message_bytes, "B");
	return 0;
}

/*
 * Returns a number from 1 to max, or 0 if the text is not one.
 */
static int
parse_count(const char *text, int max)
{
	int64_t v;

	return parse_i64(make_str(text), 1, max, &v) == 0 ? (int)v : 0;
}

/*
 * Connects the nodes over loopback TCP.
 */
static int
connect_nodes(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	struct timeval timeout = {RECV_TIMEOUT_S, 0};
	socklen_t len = sizeof(at);
	int one = 1, listener = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (listener < 0 ||
	    bind(listener, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(listener, 128) != 0 ||
	    getsockname(listener, (struct sockaddr *)&at, &len) != 0)
		return ERR_IO;
	for (int i = 0; i < node_count; i++) {
		in_fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (in_fds[i] < 0 ||
		    connect(in_fds[i], (struct sockaddr *)&at, sizeof(at)) != 0)
			return ERR_IO;
		out_fds[i] = accept(listener, NULL, NULL);
		if (out_fds[i] < 0)
			return ERR_IO;
		setsockopt(
		    out_fds[i], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		setsockopt(in_fds[i], SOL_SOCKET, SO_RCVTIMEO, &timeout,
		    sizeof(timeout));
	}
	close(listener);
	return 0;
}

/*
 * Makes a table with that many rows, four to a service, as CSV, and sets the
 * digest. The weight makes each change different.
 */
static int
make_csv(int rows, int weight, struct buf *out)
{
	struct table *t = make_empty_table(), *next = NULL;
	struct cell_list cells = {0};
	char kind[TABLE_NAME_BYTES], value[TABLE_CELL_BYTES];
	int rc = 0;

	for (int i = 0; i < rows && rc == 0; i++) {
		snprintf(kind, sizeof(kind), "kind-%d", i);
		snprintf(value, sizeof(value), "service-%d", i / 4);
		rc = append_cell(
		    &cells, make_str(kind), COL_KIND, make_str(kind));
		if (rc == 0)
			rc = append_cell(&cells, make_str(kind), COL_SERVICE,
			    make_str(value));
	}
	snprintf(value, sizeof(value), "%d", weight);
	if (rc == 0)
		rc = append_cell(
		    &cells, make_str("kind-0"), COL_WEIGHT, make_str(value));
	if (rc == 0)
		rc = apply_cells(t, &cells, 1, &next, NULL);
	if (rc == 0)
		rc = render_table_csv(next, out);
	if (rc == 0)
		digest = next->digest;
	unload_cells(&cells);
	unload_table(t);
	unload_table(next);
	return rc;
}

/*
 * Sends one change to all nodes and waits until each of them has checked it. ns
 * gets the time from the first byte to the last check.
 */
static int
push_change(const struct buf *csv, int64_t *ns)
{
	struct clock_source clock = get_real_clock();
	struct reader readers[READERS];
	int64_t start = read_mono(&clock);
	int failures = 0;

	message_bytes = csv->len;
	for (int i = 0; i < READERS; i++) {
		readers[i] = (struct reader){.first = i, .step = READERS};
		if (pthread_create(
			&readers[i].thread, NULL, run_reader, &readers[i]) != 0)
			return ERR_IO;
	}
	for (int i = 0; i < node_count; i++) {
		for (size_t at = 0; at < csv->len;) {
			ssize_t n = send(out_fds[i], csv->data + at,
			    csv->len - at, MSG_NOSIGNAL);

			if (n <= 0)
				return ERR_IO;
			at += (size_t)n;
		}
	}
	for (int i = 0; i < READERS; i++) {
		pthread_join(readers[i].thread, NULL);
		failures += readers[i].failures;
	}
	*ns = read_mono(&clock) - start;
	return failures == 0 ? 0 : ERR_CORRUPT;
}

static void *
run_reader(void *arg)
{
	struct reader *r = arg;
	char *data = malloc(message_bytes);

	for (int i = r->first; i < node_count; i += r->step)
		r->failures +=
		    data == NULL || receive_table(in_fds[i], data) != 0;
	free(data);
	return NULL;
}

/*
 * Receives one table on a socket, loads it and compares the digest. data has
 * room for message_bytes.
 */
static int
receive_table(int fd, char *data)
{
	struct table *t = NULL;
	int rc;

	for (size_t at = 0; at < message_bytes;) {
		ssize_t n = recv(fd, data + at, message_bytes - at, 0);

		if (n <= 0)
			return ERR_IO;
		at += (size_t)n;
	}
	rc = load_table_csv(make_str_n(data, message_bytes), 1, &t, NULL);
	if (rc == 0 && t->digest != digest)
		rc = ERR_CORRUPT;
	unload_table(t);
	return rc;
}

static void
print_result(int rows, const char *metric, double value, const char *unit)
{
	const char *commit = getenv("GGS_COMMIT");

	printf("{\"experiment\":\"baseline_push\",\"params\":{\"nodes\":%d,"
	       "\"rows\":%d},\"metric\":\"%s\",\"value\":%.3f,\"unit\":\"%s\","
	       "\"commit\":\"%s\"}\n",
	    node_count, rows, metric, value, unit,
	    commit != NULL ? commit : "unknown");
}

static int
compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}
