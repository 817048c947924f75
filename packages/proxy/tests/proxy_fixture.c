/*
 * The test fixture of nodes on loopback.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "metric.h"
#include "proxy_fixture.h"

static const char default_table[] =
    TABLE_HEAD "read,svc,3,10,0,100,500,60000,100,0,50,0,yes,0,64,5\n"
	       "again,svc,3,10,0,100,500,60000,100,2,50,0,yes,0,64,5\n"
	       "hedged,svc,3,10,0,100,50,60000,100,1,50,20,yes,0,64,5\n"
	       "pay,svc,1,10,0,100,500,60000,100,2,50,0,no,60,64,5\n"
	       "slow,svc,5,10,0,100,500,60000,1,0,0,0,yes,0,64,1\n"
	       "big,svc,5,10,0,100,500,60000,100,0,0,0,yes,0,1024,5\n"
	       "lost,nowhere,5,10,0,100,500,60000,100,0,0,0,yes,0,64,5\n";

static struct proxy *open_node(
    struct proxy_fixture *fx, const struct proxy_fixture_config *cfg, int i);
static bool is_ready(void *arg);

void
open_proxy_fixture(
    struct proxy_fixture *fx, const struct proxy_fixture_config *cfg)
{
	char address[32], id[16];

	*fx = (struct proxy_fixture){0};
	set_log_level(LOG_LEVEL_ERR);
	fx->agent = open_fake_agent();
	fx->events = open_event_log(get_real_clock(), "test", 4096);
	set_fake_table(
	    fx->agent, cfg->table != NULL ? cfg->table : default_table, 1);
	clear_fake_endpoints(fx->agent, "svc");
	for (int i = 0; i < cfg->nodes; i++) {
		fx->backends[i] = open_fake_backend();
		fx->nodes[i] = open_node(fx, cfg, i);
		snprintf(id, sizeof(id), "n%d", i);
		snprintf(address, sizeof(address), "127.0.0.1:%d",
		    get_proxy_port(fx->nodes[i], false));
		add_fake_endpoint(fx->agent, "svc", id, address,
		    cfg->slots != 0 ? cfg->slots : 8, WIRE_ENDPOINT_READY);
		fx->count++;
	}
	if (cfg->entry)
		fx->entry = open_node(fx, cfg, -1);
	fx->port =
	    get_proxy_port(fx->entry != NULL ? fx->entry : fx->nodes[0], false);
	if (cfg->nodes > 0 && !wait_fake(is_ready, fx))
		abort();
}

void
close_proxy_fixture(struct proxy_fixture *fx)
{
	for (int i = 0; i < fx->count; i++)
		release_fake_blocked(fx->backends[i]);
	stop_proxy(fx->entry);
	for (int i = 0; i < fx->count; i++)
		stop_proxy(fx->nodes[i]);
	for (int i = 0; i < fx->count; i++)
		close_fake_backend(fx->backends[i]);
	close_fake_agent(fx->agent);
	close_event_log(fx->events);
}

void
call_proxy_fixture(struct proxy_fixture *fx, const char *kind, const char *more,
    struct fake_reply *out)
{
	char headers[512];
	struct fake_request req = {.port = fx->port,
	    .headers = headers,
	    .body = "hello",
	    .body_len = 5};

	snprintf(headers, sizeof(headers), "X-Ggs-Kind: %s\n%s", kind,
	    more != NULL ? more : "");
	call_fake(&req, out);
}

bool
has_event(struct proxy_fixture *fx, const char *kind)
{
	struct buf b = {0};
	char want[64];
	bool found;

	snprintf(want, sizeof(want), "\"kind\":\"%s\"", kind);
	(void)render_events(fx->events, &b);
	found = b.data != NULL && strstr(b.data, want) != NULL;
	unload_buf(&b);
	return found;
}

/*
 * Waits until the count reaches want and returns the last value read. A call is
 * counted when its answer is sent, which may be just after the caller has read
 * it.
 */
int64_t
wait_count(const char *name, int64_t want)
{
	for (int i = 0; i < 200 && get_count(name) < want; i++)
		usleep(10000);
	return get_count(name);
}

int64_t
get_count(const char *name)
{
	return get_metric(register_metric(METRIC_COUNTER, name, "test"));
}

/*
 * Starts serving node i, or the entry node when i is negative.
 */
static struct proxy *
open_node(
    struct proxy_fixture *fx, const struct proxy_fixture_config *cfg, int i)
{
	char id[16];
	struct proxy_config pc = {.clock = get_real_clock(),
	    .events = fx->events,
	    .agent = fx->agent,
	    .node = i < 0 ? "entry" : id,
	    .zone = "z1",
	    .listen = "127.0.0.1:0",
	    .admin_listen = "127.0.0.1:0",
	    .body_memory = cfg->body_memory,
	    .seed = 42};
	struct proxy *p = NULL;
	struct fault f = {0};

	snprintf(id, sizeof(id), "n%d", i);
	if (i >= 0) {
		pc.backend.service = "svc";
		pc.backend.address = get_fake_address(fx->backends[i]);
		pc.backend.slots = cfg->slots != 0 ? cfg->slots : 8;
	}
	if (start_proxy(&pc, &p, &f) != 0) {
		fprintf(stderr, "%s\n", f.text);
		abort();
	}
	return p;
}

static bool
is_ready(void *arg)
{
	struct proxy_fixture *fx = arg;

	return get_fake_state(fx->agent) == WIRE_ENDPOINT_READY;
}
