/*
 * A serving node freezes while clients have several `safe` requests with bodies
 * under way on each connection. Exits with 1 if the entry node, which has no
 * disruption, ends by itself and requests on kept connections that other
 * upstreams run end without an answer more than three times.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define NODES 11 /* as on the sheet; one of them freezes */
#define ROUNDS 40
#define CLIENTS 64
#define DEPTH 4 /* requests that a client sends before the first answer */
#define BODY_BYTES 20000
#define DEADLINE_FIRST_MS 600
#define DEADLINE_SPREAD_MS 160
#define FREEZE_MS 1200
#define READERS 8
#define LOST_MAX 3
#define END_MS 105000

static const char config[] =
    "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
    "\"path-prefix\",\"kind\",\"timeout-s\",\"target-latency-s\","
    "\"priority\",\"service\",\"max-attempts\",\"weighted-services\"],"
    "\"rows\":[[\"r-read\",\"read.example\",\"/status/\",\"safe\",3,1,0,"
    "\"status\",2,null],[\"r-search\",\"search.example\",\"/search/\","
    "\"safe\",3,1,1,\"search\",2,null]]},\"services\":{\"columns\":["
    "\"name\",\"health-path\",\"max-connections\",\"protocol\",\"tls\"],"
    "\"rows\":[[\"status\",\"/health\",110,\"h1\",false],[\"search\","
    "\"/health\",110,\"h1\",false]]},\"limits\":{\"max-header-bytes\":16384,"
    "\"max-body-bytes\":67108864,\"header-timeout-s\":3,"
    "\"idle-timeout-s\":15}}";

static struct machine *entry;
static volatile int stop, lost, served, answered, expired, round_number;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_barrier_t begin;

/* Sends reads on one kept connection, one after another. */
static void *
run_reader(void *arg)
{
	int n = *(int *)arg, fd = -1, sent_on = 0;
	char id[32];

	for (int k = 0; !stop; k++) {
		struct reply r = {0};
		int64_t sent;

		if (fd < 0) {
			fd = dial(entry->ip, OUTBOUND_PORT, 1000, 0);
			sent_on = 0;
		}
		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		snprintf(id, sizeof(id), "read-%d-%d", n, k);
		sent = now_ms();
		if (send_request(fd, "GET", "read.example",
			"/status/x?w=200&b=300", id, 3000, 0))
			read_reply(fd, &r, 0, sent + 3500);
		sent_on++;
		pthread_mutex_lock(&lock);
		if (r.complete && r.status == 200)
			served++;
		else if (!r.complete && sent_on > 1 && now_ms() < sent + 3000 &&
			 has_run(id)) {
			record("client: %s, request %d of its connection, has "
			       "no answer: the connection was closed after "
			       "%lld ms",
			    id, sent_on, (long long)(now_ms() - sent));
			lost++;
		}
		pthread_mutex_unlock(&lock);
		if (!r.complete || !r.keep_alive) {
			close(fd);
			fd = -1;
		}
		free(r.body);
		sleep_ms(10);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Sends DEPTH requests at once; leaves when its deadline has passed. */
static void *
run_client(void *arg)
{
	int n = *(int *)arg,
	    deadline = DEADLINE_FIRST_MS + DEADLINE_SPREAD_MS * n / CLIENTS;
	char id[48];

	for (;;) {
		int64_t sent;
		int fd, got = 0;
		bool ok = true;

		pthread_barrier_wait(&begin);
		if (stop)
			return NULL;
		fd = dial(entry->ip, OUTBOUND_PORT, 500, 0);
		sent = now_ms();
		for (int i = 0; fd >= 0 && ok && i < DEPTH; i++) {
			snprintf(id, sizeof(id), "search-%d-%d-%d",
			    round_number, n, i);
			ok = send_request(fd, "POST", "search.example",
			    "/search/x?w=20&b=300", id, deadline, BODY_BYTES);
		}
		while (fd >= 0 && ok && got < DEPTH) {
			struct reply r;

			read_reply(fd, &r, 0, sent + deadline);
			ok = r.complete && r.keep_alive;
			got += r.complete;
			free(r.body);
		}
		if (fd >= 0)
			close(fd);
		pthread_mutex_lock(&lock);
		answered += got;
		expired += DEPTH - got;
		pthread_mutex_unlock(&lock);
		pthread_barrier_wait(&begin);
	}
}

int
main(void)
{
	pthread_t readers[READERS], clients[CLIENTS];
	int numbers[CLIENTS];
	struct machine *search;
	bool ended = false;

	open_mesh("3", 3);
	entry = add_sidecar("portal", 6);
	add_sidecar("status", 18);
	search = add_sidecar("search", 18);
	for (int i = 0; i < NODES - 3; i++)
		add_sidecar("portal", 6);
	start_mesh(config, "search.example", "/search/x?w=1&b=10");
	sleep_ms(CONTACT_MS + 500);
	pthread_barrier_init(&begin, NULL, CLIENTS + 1);
	for (int i = 0; i < CLIENTS; i++) {
		numbers[i] = i;
		pthread_create(&clients[i], NULL, run_client, &numbers[i]);
	}
	for (int i = 0; i < READERS; i++)
		pthread_create(&readers[i], NULL, run_reader, &numbers[i]);
	sleep_ms(1500);
	for (int i = 0; i < ROUNDS && !ended && now_ms() < END_MS; i++) {
		round_number = i;
		if (has_trouble())
			signal_machine(search, SIGSTOP);
		sleep_ms(50);
		record("%d clients send %d requests each", CLIENTS, DEPTH);
		pthread_barrier_wait(&begin);
		sleep_ms(FREEZE_MS);
		pthread_barrier_wait(&begin);
		if (has_trouble())
			signal_machine(search, SIGCONT);
		ended = wait_end(entry, 700);
	}
	sleep_ms(300);
	stop = 1;
	for (int i = 0; i < READERS; i++)
		pthread_join(readers[i], NULL);
	if (served == 0)
		finish(CASE_NOT_RUN, "no read was served");
	if (ended && lost > LOST_MAX)
		finish(CASE_BROKEN,
		    "the entry node ended by itself in round %d, and %d reads "
		    "that their upstream ran had no answer",
		    round_number + 1, lost);
	finish(CASE_HELD,
	    "%d reads were served, %d lost; %d searches were answered, %d "
	    "reached their deadline",
	    served, lost, answered, expired);
}
