/*
 * ONC RPC (RFC 5531) over TCP between the processes of the system: multiplexed
 * calls, replies that a handler may complete later from any thread, messages
 * authenticated with the fleet key, size and time limits, and fault injection
 * hooks for tests.
 *
 * Handshake: the server sends a hello with a random challenge; the client
 * answers with a hello that carries its own random nonce and a keyed hash of
 * both. Each message then carries a counter and a keyed hash under a key that
 * is derived from fleet key, challenge, nonce and direction.
 */
#ifndef RPC_H
#define RPC_H

#include "base.h"

#define RPC_KEY_MIN_BYTES 16 /* shortest fleet key */
#define RPC_KEY_MAX_BYTES 256 /* longest fleet key */
#define RPC_PROC_MAX 16 /* exclusive bound of procedure numbers */
#define RPC_ADDRESS_BYTES 64 /* "IP:port", IPv6 as "[IP]:port", with NUL */
#define RPC_CALL_OVERHEAD 68 /* bytes of a call without its arguments */
#define RPC_REPLY_OVERHEAD 52 /* bytes of a reply without its body */

/*
 * Metrics class and size limits of a procedure. A received message over its
 * limit closes the connection, and so does an oversized reply of a handler.
 * The server answers procedure 0 (ping) itself, without a handler.
 */
struct rpc_proc {
	const char *name; /* metrics class; NULL: no such procedure */
	size_t max_args; /* bytes of encoded arguments */
	size_t max_reply; /* bytes of the encoded reply */
};

/* The procedures of wire.x, indexed by number (RPC_PROC_MAX entries). */
const struct rpc_proc *get_ggs_procs(void);

/* Fault hooks, for tests */

enum rpc_fault_kind {
	RPC_FAULT_PASS = 0,
	RPC_FAULT_DROP, /* discards the message; the connection stays open */
	RPC_FAULT_DELAY, /* sends after delay_ms, possibly out of order */
	RPC_FAULT_DUPLICATE, /* sends two valid messages */
	RPC_FAULT_REPLAY, /* sends the same bytes twice */
	RPC_FAULT_BREAK, /* closes the connection instead of sending */
};

struct rpc_fault {
	enum rpc_fault_kind kind;
	int delay_ms;
};

/* A message that is about to be sent. */
struct rpc_message_info {
	uint64_t conn; /* connection ID within its server or client, from 1 */
	uint32_t proc;
	uint32_t xid;
	bool is_reply;
	const char *peer; /* remote address */
};

/*
 * Called on the I/O thread before every message or connection attempt; a NULL
 * hook injects no fault. An on_send that always drops simulates a one-way
 * network partition.
 */
struct rpc_fault_hooks {
	struct rpc_fault (*on_send)(
	    void *arg, const struct rpc_message_info *info);
	bool (*on_connect)(void *arg, const char *address); /* false: fails */
	void *arg;
};

/* Server */

struct rpc_server;
struct rpc_reply; /* one unanswered call */

struct rpc_request {
	uint64_t conn; /* connection ID, never reused within a server */
	const char *peer; /* "IP:port"; valid during the handler */
	uint32_t proc;
	struct str args; /* encoded arguments; valid during the handler */
};

/*
 * Handles a call on a worker thread. Every reply must be passed to
 * complete_rpc() exactly once, by the handler or later from any thread. Calls
 * of one connection may run concurrently and in any order.
 */
typedef void (*rpc_handler)(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply);

/*
 * Runs once on a worker thread, after a connection is closed and its last
 * handler has returned. Pending replies of the connection must still be passed
 * to complete_rpc(), which discards them.
 */
typedef void (*rpc_close_fn)(void *arg, uint64_t conn);

/* A limit of zero selects the default given in its comment. */
struct rpc_server_config {
	struct clock_source clock; /* zeroed: the real clock */
	const char *address; /* "IP:port"; port 0: any free port */
	struct str key; /* accepted fleet key, RPC_KEY_MIN_BYTES or more */
	struct str next_key; /* also accepted; empty: none */
	const struct rpc_proc *procs; /* get_ggs_procs() */
	rpc_handler handler;
	rpc_close_fn on_close; /* may be NULL */
	void *arg; /* passed to handler and on_close */
	int workers; /* handler threads; 2 */
	int max_connections; /* 2048; more are closed on accept */
	int max_unanswered; /* calls per connection; 256; more are refused */
	int partial_ms; /* limit to receive a hello or message; 5000 */
	int stall_ms; /* limit without progress of pending output; 10000 */
	int idle_ms; /* limit without input or unanswered calls; 45000 */
	size_t max_output; /* unsent bytes per connection; 4 MiB; more closes */
	const struct rpc_fault_hooks *hooks; /* may be NULL */
};

/* Totals since the start of a server or client, except open. */
struct rpc_stats {
	uint64_t accepted; /* connections accepted, or attempted by a client */
	uint64_t open; /* connections open now */
	uint64_t calls; /* calls delivered to handlers, or sent */
	uint64_t refused_full; /* connection limit, no descriptors or memory */
	uint64_t refused_auth; /* closed: wrong key or changed message */
	uint64_t refused_replay; /* closed: unexpected message counter */
	uint64_t refused_size; /* closed: message over its size limit */
	uint64_t refused_format; /* closed: malformed message */
	uint64_t refused_slow; /* closed: slow sender or reader, or idle */
	uint64_t refused_calls; /* calls over max_unanswered (not closed) */
	uint64_t unmatched; /* replies without a call: timed out, duplicate */
	uint64_t retired; /* closed: fleet key no longer accepted */
	uint64_t bytes_in; /* including record marks and hellos */
	uint64_t bytes_out;
};

int start_rpc_server(const struct rpc_server_config *cfg,
    struct rpc_server **out, struct fault *f);
void stop_rpc_server(struct rpc_server *s); /* waits for handlers */
const char *get_rpc_server_address(const struct rpc_server *s); /* "IP:port" */
int set_rpc_server_keys(struct rpc_server *s, struct str key,
    struct str next_key); /* closes connections with other keys */
struct rpc_stats get_rpc_server_stats(struct rpc_server *s);
void close_rpc_connection(struct rpc_server *s, uint64_t conn);
void wake_rpc_server(struct rpc_server *s); /* after moving a test clock */

/*
 * Sends the reply of a call and frees reply; body is copied, and sent only with
 * status 0. The client receives ERR_NOT_FOUND and ERR_INVALID unchanged and any
 * other error as ERR_LIMIT. An error status promises that the call had no
 * effect.
 */
void complete_rpc(struct rpc_reply *reply, int status, struct str body);

/* Client */

struct rpc_client; /* one I/O thread that serves any number of peers */
struct rpc_peer; /* one address, with at most one connection */

/* A limit of zero selects the default given in its comment. */
struct rpc_client_config {
	struct clock_source clock; /* zeroed: the real clock */
	struct str key; /* fleet key of new connections */
	const struct rpc_proc *procs; /* get_ggs_procs() */
	int connect_ms; /* limit until the server's hello arrives; 1000 */
	int tcp_connect_ms; /* limit of the TCP handshake; connect_ms */
	int unresponsive_ms; /* without input; see call_rpc(); 1000 */
	int idle_ms; /* closes a connection without calls in flight; 30000 */
	int max_in_flight; /* calls per peer; 1024; more: ERR_LIMIT */
	size_t max_output; /* queued bytes per peer; 8 MiB; more: ERR_LIMIT */
	const struct rpc_fault_hooks *hooks; /* may be NULL */
};

/*
 * Outcome of a call:
 *   0                executed; body holds the reply
 *   ERR_UNAVAILABLE  not executed: not completely written to the connection
 *   ERR_TIMEOUT      may have run: sent, but no reply arrived in time or the
 *                    connection was lost
 *   ERR_LIMIT        not executed: over a limit of the client or the server
 *   ERR_NOT_FOUND    not executed: no such procedure
 *   ERR_INVALID      not executed: arguments refused
 *   ERR_CLOSED       not executed: the client is closing
 */
struct rpc_result {
	int status;
	struct str body; /* valid during the callback */
};

/* Runs once per call, on the client's I/O thread; must not block. */
typedef void (*rpc_done_fn)(void *arg, const struct rpc_result *result);

int open_rpc_client(const struct rpc_client_config *cfg,
    struct rpc_client **out, struct fault *f);
void close_rpc_client(struct rpc_client *c); /* fails calls, frees peers */
int set_rpc_client_keys(struct rpc_client *c, struct str key,
    struct str next_key); /* closes connections with other keys */
struct rpc_stats get_rpc_client_stats(struct rpc_client *c);
void wake_rpc_client(struct rpc_client *c); /* after moving a test clock */

/* close_rpc_client() frees the peer. */
int open_rpc_peer(struct rpc_client *c, const char *address,
    struct rpc_peer **out, struct fault *f);
void reset_rpc_peer(struct rpc_peer *p); /* closes the connection */
/* Closes the connection; later ones go to the address. ERR_INVALID. */
int move_rpc_peer(struct rpc_peer *p, const char *address, struct fault *f);
/* Time of the last input of an incomplete reply, mono ns; 0: none. Any thread */
int64_t get_rpc_partial_input(struct rpc_peer *p);

/*
 * Sends a call without blocking, connecting first if necessary; args are
 * copied. When the call cannot be queued, returns ERR_INVALID, ERR_LIMIT,
 * ERR_MEMORY or ERR_CLOSED and never runs fn. A call that times out fails
 * alone, unless the connection is unresponsive: without any input since the
 * call was sent and for unresponsive_ms. Then it is closed and all its calls
 * fail.
 */
int call_rpc(struct rpc_peer *p, uint32_t proc, struct str args, int timeout_ms,
    rpc_done_fn fn, void *arg);

/*
 * Blocking variant: appends the reply to body, which may be NULL, and returns
 * the status of struct rpc_result or the error of call_rpc(). ERR_INVALID in a
 * callback, which would wait for its own thread.
 */
int call_rpc_wait(struct rpc_peer *p, uint32_t proc, struct str args,
    int timeout_ms, struct buf *body);

#endif
