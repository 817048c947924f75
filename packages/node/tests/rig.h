/*
 * Nodes of one test program on loopback, each with a fake backend server, over
 * one fake agent, and a caller.
 */
#ifndef RIG_H
#define RIG_H

#include <check.h>

#include "fake_agent.h"
#include "fake_server.h"
#include "node.h"

#define RIG_NODES 3

/*
 * Rows by path: /read/ may repeat and has two attempts, /once/ may repeat and
 * has one, /pay/ must not repeat, /split/ goes to "svc" and "other" by 3:1.
 * Their service is "svc". The last node serves "other".
 */
struct rig {
	struct agent *agent;
	struct node *nodes[RIG_NODES];
	struct fake_server *servers[RIG_NODES];
	char calls[RIG_NODES][32]; /* addresses */
	char links[RIG_NODES][32];
	char ready[RIG_NODES][32];
	char reports[RIG_NODES][32];
	char metrics[RIG_NODES][32];
	int count;
	int64_t stop_ns;
};

struct rig_reply {
	bool closed; /* without a whole answer */
	int status;
	char head[4096];
	struct buf body;
};

void open_rig(struct rig *r, int nodes); /* ready to take calls */
void close_rig(struct rig *r);
void start_rig_node(struct rig *r, int i);
void stop_rig_node(struct rig *r, int i);
void set_rig_table(struct rig *r, uint64_t version, const char *more_rows);
/* Tells node i that its server is in a state: "ready", "leaving" or "gone". */
int report_rig(struct rig *r, int i, const char *instance, const char *state,
    int seq, int born);

/* Sends one request on a new connection and reads the answer. */
void call_rig(const char *address, const char *method, const char *path,
    const char *id, const char *more, struct str body, struct rig_reply *out);
int64_t read_rig_now(void); /* mono ns */
void unload_reply(struct rig_reply *r);
/* Opens a connection, to send bytes by hand. */
int connect_rig(const char *address);
void read_rig_reply(int fd, struct rig_reply *out); /* one answer */
bool has_header(const struct rig_reply *r, const char *line);

#endif
