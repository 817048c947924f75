/*
 * An upstream has deregistered and serves on for some seconds, as the pages
 * allow. All processes of the system are killed just after the acknowledgement
 * and start again; then a ping arrives that the upstream had sent before. The
 * acknowledgement must still bind.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define SERVICE "huvo11a"
#define DOWN_S 1.2 /* of all processes */
#define DRAIN_S 2.0
#define CONTACT_S 3.0
#define LATE_S 3.0 /* of the ping, since it was sent */
#define SERVES_ON_S 16.0 /* after the acknowledgement */

static const char configuration[] =
    "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
    "\"path-prefix\",\"kind\",\"timeout-s\",\"target-latency-s\","
    "\"priority\",\"service\",\"max-attempts\",\"weighted-services\"],"
    "\"rows\":[[\"r-orders\",\"shop.example\",\"/orders/\",\"unsafe\",1.5,"
    "0.8,1,\"" SERVICE "\",2,null]]},"
    "\"services\":{\"columns\":[\"name\",\"health-path\","
    "\"max-connections\",\"protocol\",\"tls\"],\"rows\":[[\"" SERVICE
    "\",\"/health\",110,\"h1\",false],[\"wuno96b\",\"/health\",110,\"h1\","
    "false]]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
    "67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}}";

struct order {
	double sent_at;
	int status;
};

static struct deployment d;
static struct upstream ups[4];
static struct order orders[65536];
static int order_count, stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Sends orders to one node until the end. */
static void *
run_client(void *arg)
{
	const struct machine *m = arg;
	char head[TEXT_BYTES];

	while (!stopping) {
		struct answer a;
		int id;

		pthread_mutex_lock(&lock);
		id = order_count++;
		orders[id].sent_at = get_time();
		pthread_mutex_unlock(&lock);
		snprintf(head, sizeof(head),
		    "POST /orders/%d HTTP/1.1\r\nX-Request-Id: %016x\r\n"
		    "X-Deadline-Ms: 1200\r\n",
		    id, id);
		a = send_http(m->ip, OUTBOUND_PORT, head, "one order", 2000);
		orders[id].status = a.status;
		record("client: %016x at %s: %d %.*s", id, m->name, a.status,
		    (int)strcspn(a.text, "\n"), a.text);
		sleep_until(get_time() + 0.05);
	}
	return NULL;
}

/* Counts the answers of a status to orders that were sent from a time on. */
static int
count_answers(int status, double from)
{
	int n = 0;

	for (int i = 0; i < order_count; i++)
		n += orders[i].status == status && orders[i].sent_at >= from;
	return n;
}

int
main(int argc, char **argv)
{
	static const char *const services[] = {
	    SERVICE, SERVICE, SERVICE, "wuno96b"};
	double sent_at, acked_at, back_at, in_touch_at;
	char late[512], body[128];
	pthread_t clients[4];
	struct upstream *u = &ups[0];
	struct answer a;
	int broken = 0;

	if (argc != 3)
		return CASE_NOT_RUN;
	open_record(argv[1], 110);
	open_deployment(&d, argv[2], 3, services, 4);
	start_all(&d);
	send_first_configuration(&d, configuration);
	for (size_t i = 0; i < 4; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%08zx", 0x7f3a91c0 + i);
		start_upstream(&ups[i], &d.machines[d.cores + i], id, 20);
		record("upstream %s of %s at %s", id, ups[i].service,
		    ups[i].machine->name);
	}
	sleep_until(get_time() + 4);
	for (size_t i = 0; i < 4; i++)
		pthread_create(&clients[i], NULL, run_client,
		    &d.machines[d.cores + i]);
	sleep_until(get_time() + 2);
	if (count_answers(200, 0) == 0) {
		record("not run: no order is served in calm");
		end_case(&d, CASE_NOT_RUN);
	}
	u->beats = false;
	sleep_until(get_time() + 1.2);
	write_ping(u, ++u->sequence, late, sizeof(late));
	sent_at = get_time();
	record("upstream: %s sends a ping with sequence %d, which is late",
	    u->id, u->sequence);
	snprintf(body, sizeof(body), "{\"sequence\":%d,\"born\":%lld}",
	    ++u->sequence, (long long)u->born_ms);
	a = send_ping(u->machine->ip, u->id, "deregister", body);
	acked_at = get_time();
	record("upstream: %s deregisters: %d", u->id, a.status);
	if (a.status != 200)
		end_case(&d, CASE_NOT_RUN);
	if (has_trouble()) {
		record("all processes of the system are killed");
		for (size_t i = 0; i < d.count; i++)
			kill_machine(&d.machines[i]);
		sleep_until(acked_at + DOWN_S);
		start_all(&d);
		record("all processes of the system are started");
	}
	back_at = get_time();
	do {
		sleep_until(get_time() < sent_at + LATE_S ? sent_at + LATE_S :
							    get_time() + 0.2);
		a = send_ping(u->machine->ip, u->id, "heartbeat", late);
		record("the late ping of %s arrives %.1f s after it was sent: "
		       "%d",
		    u->id, get_time() - sent_at, a.status);
	} while (a.status != 200 && get_time() < sent_at + LATE_S + 2);
	sleep_until(acked_at + SERVES_ON_S);
	record("upstream: %s exits", u->id);
	stop_upstream(u);
	sleep_until(get_time() + 2);
	stopping = 1;
	for (size_t i = 0; i < 4; i++)
		pthread_join(clients[i], NULL);

	/* The final fault took most of the core: in touch twice contact-s later. */
	in_touch_at = back_at + 2 * CONTACT_S + 0.5;
	for (size_t i = 0; i < u->run_count; i++) {
		const struct run *r = &u->runs[i];
		long id = strtol(r->id, NULL, 16);

		broken += r->at > acked_at + DRAIN_S &&
			  orders[id].sent_at >= in_touch_at;
	}
	record("orders sent by machines in touch: %d answered 200; %s, which "
	       "had deregistered, ran %d of them later than drain-s",
	    count_answers(200, in_touch_at), u->id, broken);
	record("orders sent from 1 s before its exit on: %d answered 502, %d "
	       "without an answer",
	    count_answers(502, acked_at + SERVES_ON_S - 1),
	    count_answers(-1, acked_at + SERVES_ON_S - 1));
	end_case(&d, broken > 0 ? CASE_BROKEN : CASE_HELD);
}
