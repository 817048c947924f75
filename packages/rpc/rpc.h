/*
 * ONC RPC (RFC 5531) over TCP between the processes of the system: many calls
 * in flight on a connection, replies that a handler may hold and complete
 * later, messages authenticated with the fleet key, limits, and fault hooks
 * for tests.
 *
 * Connection set-up: the server sends a hello with a random challenge; the
 * client answers with a hello that carries its own random nonce and a keyed
 * hash of both. Each message then carries a counter and a keyed hash under a
 * key that is derived from fleet key, challenge, nonce and direction.
 */
#ifndef RPC_H
#define RPC_H

#include "base.h"

#define RPC_KEY_MIN_BYTES 16 /* shortest fleet key */
#define RPC_KEY_MAX_BYTES 256 /* longest fleet key */
#define RPC_PROC_MAX 16 /* procedure numbers are below this */
#define RPC_ADDRESS_BYTES 64 /* "IP:port", IPv6 as "[IP]:port", with NUL */
#define RPC_CALL_OVERHEAD 68 /* bytes of a call besides its arguments */
#define RPC_REPLY_OVERHEAD 52 /* bytes of a reply besides its body */

/*
 * One procedure. Procedure 0 (ping) needs no entry: the server answers it
 * itself.
 */
struct rpc_proc {
	const char *name; /* class in metrics, such as "watch"; NULL: none */
	size_t max_args; /* bytes of encoded arguments, at most */
	size_t max_reply; /* bytes of the encoded reply, at most */
};

/* The procedures of wire.x by number (RPC_PROC_MAX entries). */
const struct rpc_proc *get_ggs_procs(void);

/* Fault hooks, for tests */

enum rpc_fault_kind {
	RPC_FAULT_PASS = 0,
	RPC_FAULT_DROP, /* the message is lost; the connection stays */
	RPC_FAULT_DELAY, /* sent after delay_ms; later messages may overtake */
	RPC_FAULT_DUPLICATE, /* sent twice as two valid messages */
	RPC_FAULT_REPLAY, /* the same bytes are sent twice */
	RPC_FAULT_BREAK, /* the connection is closed instead */
};

struct rpc_fault {
	enum rpc_fault_kind kind;
	int delay_ms;
};

/* A message that is about to be sent. */
struct rpc_message_info {
	uint64_t conn; /* number of the connection within its owner, from 1 */
	uint32_t proc;
	uint32_t xid;
	bool is_reply;
	const char *peer; /* address of the other side */
};

/*
 * Called on the I/O thread before every message is sent; NULL members pass.
 * A one-way black hole is an on_send that always drops.
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
	uint64_t conn; /* never reused within a server */
	const char *peer; /* "IP:port"; valid during the handler */
	uint32_t proc;
	struct str args; /* encoded arguments; valid during the handler */
};

/*
 * Runs on a worker thread and must lead to exactly one complete_rpc() of
 * reply, at once or later, from any thread. Calls of one connection may run at
 * the same time and in any order.
 */
typedef void (*rpc_handler)(
    void *arg, const struct rpc_request *req, struct rpc_reply *reply);

/*
 * Runs on a worker thread, once, after a connection closed and its last
 * handler returned. Replies still held for it must still be completed; that
 * has no further effect.
 */
typedef void (*rpc_close_fn)(void *arg, uint64_t conn);

/* Zero means the default in the comment. */
struct rpc_server_config {
	struct clock_source clock; /* zeroed: the real clock */
	const char *address; /* "IP:port"; port 0 picks a free one */
	struct str key; /* accepted fleet key, RPC_KEY_MIN_BYTES or more */
	struct str next_key; /* also accepted; empty: none */
	const struct rpc_proc *procs; /* get_ggs_procs() */
	rpc_handler handler;
	rpc_close_fn on_close; /* may be NULL */
	void *arg; /* of both functions */
	int workers; /* threads that run handlers; 2 */
	int max_connections; /* 2048; further ones are closed at once */
	int max_unanswered; /* calls a connection; 256; more are refused */
	int partial_ms; /* a message must arrive within; 5000 */
	int stall_ms; /* unread output older than this closes; 10000 */
	int idle_ms; /* no message and no unanswered call; 45000 */
	size_t max_output; /* unread output bytes a connection; 4 MiB */
	const struct rpc_fault_hooks *hooks; /* may be NULL */
};

/* Why a server or client closed connections, as counts. */
struct rpc_stats {
	uint64_t accepted; /* connections accepted or opened */
	uint64_t open; /* connections open now */
	uint64_t calls; /* calls delivered to handlers, or sent */
	uint64_t refused_full; /* closed: too many connections */
	uint64_t refused_auth; /* closed: wrong key or changed message */
	uint64_t refused_replay; /* closed: counter not above the last one */
	uint64_t refused_size; /* closed: over the limit of the procedure */
	uint64_t refused_format; /* closed: malformed */
	uint64_t refused_slow; /* closed: slow sender or reader, or idle */
	uint64_t refused_calls; /* calls over max_unanswered (not closed) */
	uint64_t unmatched; /* replies without a waiting call: late, doubled */
	uint64_t retired; /* closed: its key is no longer accepted */
	uint64_t bytes_in; /* with framing and hellos */
	uint64_t bytes_out;
};

int start_rpc_server(const struct rpc_server_config *cfg,
    struct rpc_server **out, struct fault *f);
void stop_rpc_server(struct rpc_server *s); /* closes, waits for handlers */
const char *get_rpc_server_address(const struct rpc_server *s); /* "IP:port" */
int set_rpc_server_keys(struct rpc_server *s, struct str key,
    struct str next_key); /* closes connections of other keys */
struct rpc_stats get_rpc_server_stats(struct rpc_server *s);
void close_rpc_connection(struct rpc_server *s, uint64_t conn);
void wake_rpc_server(struct rpc_server *s); /* after moving a paused clock */

/*
 * Completes a call exactly once and frees reply; body is copied. status 0
 * sends body. ERR_NOT_FOUND and ERR_INVALID reach the client as such; any
 * other status reaches it as ERR_LIMIT. A status other than 0 promises that
 * the call had no effect.
 */
void complete_rpc(struct rpc_reply *reply, int status, struct str body);

/* Client */

struct rpc_client; /* one I/O thread with any number of peers */
struct rpc_peer; /* one address, with at most one connection */

/* Zero means the default in the comment. */
struct rpc_client_config {
	struct clock_source clock; /* zeroed: the real clock */
	struct str key; /* fleet key that new connections use */
	const struct rpc_proc *procs; /* get_ggs_procs() */
	int connect_ms; /* until the server's hello has arrived; 1000 */
	int open_ms; /* until its system takes the connection; connect_ms */
	int silent_ms; /* see call_rpc(); 1000 */
	int idle_ms; /* closes a connection without calls; 30000 */
	int max_in_flight; /* calls a peer; 1024; more: ERR_LIMIT */
	size_t max_output; /* unsent bytes a peer; 8 MiB; more: ERR_LIMIT */
	const struct rpc_fault_hooks *hooks; /* may be NULL */
};

/*
 * Outcome of a call:
 *   0                the call ran; body holds the reply
 *   ERR_UNAVAILABLE  certainly not run: not handed to the connection whole
 *   ERR_TIMEOUT      unknown: sent, and no reply came in time or the
 *                    connection broke
 *   ERR_LIMIT        certainly not run: a limit here or at the server
 *   ERR_NOT_FOUND    certainly not run: no such procedure
 *   ERR_INVALID      certainly not run: arguments refused
 *   ERR_CLOSED       certainly not run: the client is closing
 */
struct rpc_result {
	int status;
	struct str body; /* valid during the callback */
};

/* Runs once, on the client's I/O thread; must not block. */
typedef void (*rpc_done_fn)(void *arg, const struct rpc_result *result);

int open_rpc_client(const struct rpc_client_config *cfg,
    struct rpc_client **out, struct fault *f);
void close_rpc_client(struct rpc_client *c); /* fails all calls; frees peers */
int set_rpc_client_keys(struct rpc_client *c, struct str key,
    struct str next_key); /* closes connections of other keys */
struct rpc_stats get_rpc_client_stats(struct rpc_client *c);
void wake_rpc_client(struct rpc_client *c); /* after moving a paused clock */

/* A peer lives until close_rpc_client(). */
int open_rpc_peer(struct rpc_client *c, const char *address,
    struct rpc_peer **out, struct fault *f);
void reset_rpc_peer(struct rpc_peer *p); /* closes the connection */

/*
 * Sends a call without blocking, connecting first when needed; args are
 * copied. Returns an error, without running fn, when the call could not be
 * queued. When a call times out and nothing at all arrived on the connection
 * since it was sent and for silent_ms, the connection is closed and all its
 * calls fail; otherwise only this call fails.
 */
int call_rpc(struct rpc_peer *p, uint32_t proc, struct str args, int timeout_ms,
    rpc_done_fn fn, void *arg);

/*
 * Blocking form: appends the reply to body and returns the status of struct
 * rpc_result. Not for callbacks (ERR_INVALID there).
 */
int call_rpc_wait(struct rpc_peer *p, uint32_t proc, struct str args,
    int timeout_ms, struct buf *body);

#endif
