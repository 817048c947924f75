/*
 * A control process: the replicated table, the claims, the endpoint registry,
 * the watch service of the nodes and the HTTP API of the operators.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "base.h"
#include "event.h"

#define CONTROL_PEER_MAX 17 /* control processes of one fleet */

struct control;
struct rpc_fault_hooks;

/* Strings are copied; a NULL or empty one means not set. */
struct control_config {
	/*
	 * This process; 1 or higher, never used again. With auto_members it is
	 * 0: the process keeps an id of its own in its data folder.
	 */
	uint64_t id;
	/*
	 * The group manages its members by itself: a process finds it through
	 * the seeds, joins, and takes the place of a voter that is gone. peers
	 * stays empty.
	 */
	bool auto_members;
	bool first_start; /* of the whole fleet: seeds with no data found */
	size_t voters_wanted; /* odd; with auto_members */
	const char *seeds[CONTROL_PEER_MAX]; /* "IP:port", self may be one */
	size_t seed_count;
	/* "id=IP:port" of the founding voters, this one included; a voter
	 * that is not among them joins when it is added as a member. */
	const char *peers[CONTROL_PEER_MAX];
	size_t peer_count;
	const char *relays[CONTROL_PEER_MAX]; /* "id=IP:port" of the relays */
	size_t relay_count;
	const char *zone; /* availability zone */
	const char *rpc_listen; /* "IP:port" */
	const char *http_listen; /* "IP:port" */
	const char *data_dir; /* voter; NULL: relay */
	struct str key; /* fleet key in use */
	struct str next_key; /* also accepted; empty: none */
	const char *token_file; /* operators; NULL: loopback listener only */
	const char *tls_cert_file; /* PEM; NULL: plain HTTP */
	const char *tls_key_file; /* PEM, mode 0600 or stricter */
	struct clock_source clock;
	struct event_log *events; /* may be NULL */
	uint64_t seed; /* of jitter and election timeouts */
	const struct rpc_fault_hooks *hooks; /* of the transport; tests only */
	uint32_t snapshot_rate; /* tables of 16 KB a second; 0: 1000 */
};

int start_control(const struct control_config *cfg, struct control **out,
    struct fault *f); /* listens before it returns */
void stop_control(struct control *c); /* closes connections, joins threads */

uint64_t get_control_version(struct control *c); /* table held; 0: none */
bool is_control_leader(struct control *c);
bool has_control_failed(struct control *c, struct fault *f); /* must end */
int render_control_status(struct control *c, struct buf *out); /* JSON */

#endif
