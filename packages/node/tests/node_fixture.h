/*
 * Nodes of one test program on loopback, each with a fake backend server, over
 * one fake agent, and a client that sends calls to them.
 */
#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include <check.h>

#include "fake_agent.h"
#include "fake_server.h"
#include "node.h"

#define FIXTURE_NODES 3

/*
 * Rows by path: /read/ may repeat and has two attempts, /once/ may repeat and
 * has one, /pay/ must not repeat, /split/ goes to "svc" and "other" by 3:1.
 * Their service is "svc". The last node serves "other".
 */
struct fixture {
	struct agent *agent;
	struct node *nodes[FIXTURE_NODES];
	struct fake_server *servers[FIXTURE_NODES];
	char calls[FIXTURE_NODES][32]; /* listen addresses, "IP:port" */
	char links[FIXTURE_NODES][32];
	char ready[FIXTURE_NODES][32];
	char reports[FIXTURE_NODES][32];
	char metrics[FIXTURE_NODES][32];
	int count;
	int64_t stop_ns;
	double trial_share; /* of roll-outs; 0: none */
	double hedge_share; /* of nodes that are started */
	int64_t link_rate; /* bytes per second; 0: unlimited */
	double retry_ratio; /* 0: ample, with slack */
};

struct test_reply {
	bool closed; /* before the answer was complete */
	int status;
	char head[4096];
	struct buf body;
};

void open_fixture(struct fixture *r, int nodes); /* ready for calls */
/* The same with nodes that may take stop_ns to stop, else 3 s. */
void open_fixture_with_stop(struct fixture *r, int nodes, int64_t stop_ns);
/* The same with roll-outs. */
void open_fixture_with_trial(struct fixture *r, int nodes, double share);
/* The same with hedged sends. */
void open_fixture_with_hedges(struct fixture *r, int nodes, double share);
/* The same with a budget of retries per call of a service, without slack. */
void open_fixture_with_budget(struct fixture *r, int nodes, double ratio);
/* The same with nodes on links of this speed, bytes per second. */
void open_fixture_with_link(struct fixture *r, int nodes, int64_t link_rate);
/* Node 0 has the only server of "svc"; the other two are entry nodes. */
void open_fixture_with_one_server(struct fixture *r);
void close_fixture(struct fixture *r);
void start_fixture_node(struct fixture *r, int i);
void stop_fixture_node(struct fixture *r, int i);
void set_fixture_table(
    struct fixture *r, uint64_t version, const char *more_rows);
/*
 * Sends node i a report of its server, whose state is "ready", "leaving" or
 * "gone". Returns the HTTP status of the answer.
 */
int send_report(struct fixture *r, int i, const char *instance,
    const char *state, int seq, int64_t start_ms);

/* Sends a call of "svc" to node entry; returns the status. */
int send_read_call(struct fixture *r, int entry);
int count_fixture_runs(struct fixture *r, const char *id); /* of one call */
/*
 * Holds the reactor of node i inside a callback, so that what happens meanwhile
 * meets it in one round; release_fixture_node() lets it go on.
 */
int hold_fixture_node(struct fixture *r, int i);
void release_fixture_node(int hold);

/* Sends one request on a new connection and reads the answer. */
void send_test_call(const char *address, const char *method, const char *path,
    const char *id, const char *more, struct str body, struct test_reply *out);
int64_t read_test_clock(void); /* mono ns */
void unload_reply(struct test_reply *r);
/* Opens a connection, to send bytes by hand. */
int connect_test_client(const char *address);
void read_test_reply(int fd, struct test_reply *out); /* one answer */
bool has_header(const struct test_reply *r, const char *line);

#endif
