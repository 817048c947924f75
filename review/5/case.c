/*
 * SIGTERM of a node while requests that it has read wait for a slot of their
 * upstream. Exits with 1 if a connection ends without an answer although its
 * request was never passed on to an upstream.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"

#define CLIENTS 10
#define WORK_MS 1500
#define SLOTS 2
#define DEADLINE_MS 12000
#define TERM_AFTER_MS 300 /* after the requests were sent */
#define GRACE_MS 6000
#define LOSS_SLACK_MS 200

static const char config[] =
    "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
    "\"path-prefix\",\"kind\",\"timeout-s\",\"target-latency-s\","
    "\"priority\",\"service\",\"max-attempts\",\"weighted-services\"],"
    "\"rows\":[[\"r-report\",\"report.example\",\"/reports/\",\"unsafe\",12,"
    "10,0,\"report\",2,null]]},\"services\":{\"columns\":[\"name\","
    "\"health-path\",\"max-connections\",\"protocol\",\"tls\"],"
    "\"rows\":[[\"report\",\"/health\",110,\"h1\",false]]},"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
    "\"header-timeout-s\":3,\"idle-timeout-s\":15}}";

struct client {
	struct machine *entry;
	char id[32];
	int64_t sent, ended;
	struct reply r;
};

static void *
run_client(void *arg)
{
	struct client *c = arg;
	int fd = dial(c->entry->ip, OUTBOUND_PORT, 1000, 0);

	c->sent = now_ms();
	if (fd >= 0 &&
	    send_request(fd, "POST", "report.example", "/reports/x?w=1500&b=100",
		c->id, DEADLINE_MS, 200)) {
		record("client: %s sent", c->id);
		read_reply(fd, &c->r, 0, c->sent + DEADLINE_MS);
	}
	c->ended = now_ms();
	record("client: %s ends after %.2f s: status %d%s", c->id,
	    (double)(c->ended - c->sent) / 1000, c->r.status,
	    c->r.complete ? "" : ", connection closed without an answer");
	if (fd >= 0)
		close(fd);
	return NULL;
}

int
main(void)
{
	struct client clients[CLIENTS];
	pthread_t threads[CLIENTS];
	struct machine *entry;
	int broken = 0, served = 0;
	int64_t term = 0;

	open_mesh("5", 3);
	entry = add_sidecar("portal", 6);
	add_sidecar("report", SLOTS);
	start_mesh(config, "report.example", "/reports/x?w=1&b=10");
	sleep_ms(CONTACT_MS + 500);
	for (int i = 0; i < CLIENTS; i++) {
		clients[i] = (struct client){.entry = entry};
		snprintf(clients[i].id, sizeof(clients[i].id), "report-%d", i);
		pthread_create(&threads[i], NULL, run_client, &clients[i]);
	}
	if (has_trouble()) {
		sleep_ms(TERM_AFTER_MS);
		term = now_ms();
		signal_machine(entry, SIGTERM);
		if (!wait_end(entry, GRACE_MS)) {
			signal_machine(entry, SIGKILL);
			wait_end(entry, 2000);
		}
	}
	for (int i = 0; i < CLIENTS; i++) {
		struct client *c = &clients[i];

		pthread_join(threads[i], NULL);
		served += c->r.status == 200 && c->r.complete;
		if (!c->r.complete && !has_run(c->id) &&
		    c->ended > c->sent + LOSS_SLACK_MS &&
		    c->ended < c->sent + DEADLINE_MS &&
		    (!has_trouble() || c->ended < term + GRACE_MS + 1000))
			broken++;
	}
	if (broken > 0)
		finish(CASE_BROKEN,
		    "%d of %d requests that were read and never passed on ended "
		    "without an answer",
		    broken, CLIENTS);
	finish(CASE_HELD, "%d of %d requests were served, no connection ended "
	    "without an answer", served, CLIENTS);
}
