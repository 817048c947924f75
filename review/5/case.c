/*
 * A burst of uploads, each within max-body-bytes, at one node. The node holds
 * all bodies in memory; the platform ends a process above its memory-mb. Exits
 * with 1 if requests on kept connections that were passed on to an upstream end
 * without an answer more than three times.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define UPLOADS 13 /* at once in the burst, 2.6 times BASE_UPLOADS */
#define BASE_UPLOADS 5
#define UPLOAD_BYTES (25 * 1000 * 1000)
#define UPLOAD_RATE 8e6 /* bytes/s of a client */
#define READERS 8
#define MEMORY_MB 260
#define LOST_MAX 3

static const char config[] =
    "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
    "\"path-prefix\",\"kind\",\"timeout-s\",\"target-latency-s\","
    "\"priority\",\"service\",\"max-attempts\",\"weighted-services\"],"
    "\"rows\":[[\"r-read\",\"read.example\",\"/status/\",\"safe\",3,1,0,"
    "\"status\",2,null],[\"r-photos\",\"photos.example\",\"/sets/\","
    "\"upload\",20,15,1,\"photos\",1,null]]},\"services\":{\"columns\":["
    "\"name\",\"health-path\",\"max-connections\",\"protocol\",\"tls\"],"
    "\"rows\":[[\"status\",\"/health\",110,\"h1\",false],[\"photos\","
    "\"/health\",110,\"h1\",false]]},\"limits\":{\"max-header-bytes\":16384,"
    "\"max-body-bytes\":67108864,\"header-timeout-s\":3,"
    "\"idle-timeout-s\":15}}";

static struct machine *entry;
static volatile int stop, lost, served, uploaded;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

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
			"/status/x?w=150&b=300", id, 3000, 0))
			read_reply(fd, &r, 0, sent + 3500);
		sent_on++;
		pthread_mutex_lock(&lock);
		if (r.complete && r.status == 200)
			served++;
		else if (!r.complete && sent_on > 1 && now_ms() < sent + 3000) {
			record("client: %s, request %d of its connection, has "
			       "no answer: the connection was closed after "
			       "%lld ms",
			    id, sent_on, (long long)(now_ms() - sent));
			if (has_run(id))
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

static void *
run_upload(void *arg)
{
	int n = *(int *)arg, fd = dial(entry->ip, OUTBOUND_PORT, 1000, 0);
	struct reply r = {0};
	char id[32];

	snprintf(id, sizeof(id), "upload-%d", n);
	record("client: %s of %d bytes begins", id, UPLOAD_BYTES);
	send_rate = UPLOAD_RATE;
	if (fd >= 0 &&
	    send_request(fd, "POST", "photos.example", "/sets/x?w=300&b=50", id,
		18000, UPLOAD_BYTES))
		read_reply(fd, &r, 0, now_ms() + 18000);
	record("client: %s ends: status %d", id, r.status);
	uploaded += r.status == 200 && r.complete;
	free(r.body);
	if (fd >= 0)
		close(fd);
	return NULL;
}

int
main(void)
{
	pthread_t readers[READERS], uploads[UPLOADS];
	int numbers[READERS > UPLOADS ? READERS : UPLOADS];
	int at_once = has_trouble() ? UPLOADS : BASE_UPLOADS;

	open_mesh("5", 3);
	entry = add_sidecar("portal", 6);
	entry->memory_mb = MEMORY_MB;
	add_sidecar("status", 18);
	add_sidecar("photos", 18);
	start_mesh(config, "read.example", "/status/x?w=1&b=10");
	sleep_ms(1500);
	for (int i = 0; i < READERS || i < UPLOADS; i++)
		numbers[i] = i;
	for (int i = 0; i < READERS; i++)
		pthread_create(&readers[i], NULL, run_reader, &numbers[i]);
	sleep_ms(2000);
	for (int i = 0; i < UPLOADS; i += at_once) {
		int n = UPLOADS - i < at_once ? UPLOADS - i : at_once;

		for (int k = i; k < i + n; k++)
			pthread_create(
			    &uploads[k], NULL, run_upload, &numbers[k]);
		for (int k = i; k < i + n; k++)
			pthread_join(uploads[k], NULL);
	}
	sleep_ms(2000);
	stop = 1;
	for (int i = 0; i < READERS; i++)
		pthread_join(readers[i], NULL);
	if (served == 0)
		finish(CASE_NOT_RUN, "no read was served");
	if (lost > LOST_MAX)
		finish(CASE_BROKEN,
		    "%d requests on kept connections ended without an answer "
		    "as the node %s; %d of %d uploads were served",
		    lost,
		    entry->over_memory ? "exceeded its memory" : "failed",
		    uploaded, UPLOADS);
	finish(CASE_HELD, "%d reads and %d of %d uploads were served, %d lost",
	    served, uploaded, UPLOADS, lost);
}
