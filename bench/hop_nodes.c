/*
 * Two nodes without a control process, to measure the data path: a serving node
 * beside a backend server, and an entry node that forwards calls to it.
 *
 * usage: hop_nodes BACKEND SERVING ENTRY SLOTS (addresses as IP:port)
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake_agent.h"
#include "proxy.h"

/* One row, without retries, hedges and claims. */
static const char table[] =
    "kind,service,rank,weight,floor_pct,limit_pct,target_ms,deadline_ms,"
    "queue_max,retries,retry_pct,hedge_ms,repeat,keep_s,body_max_kb,drain_s\n"
    "read,svc,3,10,0,100,500,20000,1000,0,0,0,yes,0,1024,5\n";

static struct proxy *start_node(struct agent *a, const char *name,
    const char *listen, const char *backend, int slots);

int
main(int argc, char **argv)
{
	struct proxy *serving, *entry;
	struct agent *a;
	sigset_t set;
	int sig, slots;

	if (argc != 5) {
		fprintf(
		    stderr, "usage: hop_nodes BACKEND SERVING ENTRY SLOTS\n");
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	slots = (int)strtol(argv[4], NULL, 10);
	a = open_fake_agent();
	set_fake_table(a, table, 1);
	clear_fake_endpoints(a, "svc");
	add_fake_endpoint(
	    a, "svc", "serving", argv[2], slots, WIRE_ENDPOINT_READY);
	serving = start_node(a, "serving", argv[2], argv[1], slots);
	entry = start_node(a, "entry", argv[3], NULL, 0);
	sigwait(&set, &sig);
	stop_proxy(entry);
	stop_proxy(serving);
	close_fake_agent(a);
	return 0;
}

/*
 * Starts a node; without a backend address it is an entry node. Exits the
 * program if the node cannot start.
 */
static struct proxy *
start_node(struct agent *a, const char *name, const char *listen,
    const char *backend, int slots)
{
	struct proxy_config cfg = {.clock = get_real_clock(),
	    .agent = a,
	    .node = name,
	    .zone = "z1",
	    .listen = listen,
	    .seed = 1};
	struct proxy *p = NULL;
	struct fault f;

	if (backend != NULL) {
		cfg.backend.service = "svc";
		cfg.backend.address = backend;
		cfg.backend.slots = slots;
	}
	if (start_proxy(&cfg, &p, &f) != 0) {
		fprintf(stderr, "hop_nodes: %s\n", f.text);
		exit(1);
	}
	return p;
}
