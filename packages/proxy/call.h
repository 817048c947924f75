/*
 * Objects of the call pipeline that the modules of this package share. A call
 * is owned by its listener thread until the body is complete, then by the loop
 * thread, and by the listener thread again once the answer is set.
 */
#ifndef CALL_H
#define CALL_H

#include <microhttpd.h>
#include <pthread.h>

#include "budget.h"
#include "loop.h"
#include "policy.h"
#include "proxy.h"
#include "rows.h"
#include "transfer.h"

#define CALL_ID_BYTES 65 /* X-Ggs-Call-Id with NUL */
#define CALL_KEY_BYTES (WIRE_KEY_MAX + 1) /* Idempotency-Key with NUL */
#define CALL_METHOD_BYTES 16
#define CALL_REASON_BYTES 48 /* X-Ggs-Reason with NUL */
#define CALL_ATTEMPTS_MAX 7 /* first attempt, 5 retries, 1 hedge */
#define CALL_DEPTH_MAX 32 /* a longer chain counts as a routing loop */
/* Part of a deadline that is reserved for the return over one hop. */
#define CALL_HOP_MARGIN_NS (1 * NSEC_PER_MSEC)
#define CONNECT_TIMEOUT_MS 500 /* to open a connection */

struct call;
struct claim;
struct service;

/* How an attempt ended, with the answer when there is one. */
struct result {
	struct attempt_verdict verdict;
	enum refuse_reason reason;
	/* X-Ggs-Reason when reason is REFUSE_NONE */
	char reason_text[CALL_REASON_BYTES];
	int64_t retry_after_ns;
	bool answered; /* a complete answer came from a peer */
	int chain_budget; /* from the answer; else RETRY_BUDGET_ABSENT */
	struct returned_load load;
	struct buf head; /* headers of the answer */
	char *body;
	size_t body_len;
};

enum serve_state {
	SERVE_IDLE,
	SERVE_CLAIMING, /* the claim request is in flight */
	SERVE_KEY_HELD, /* an earlier run holds the key; retries the claim */
	SERVE_QUEUED, /* waits for a slot */
	SERVE_RUNNING, /* dispatched to the backend server */
};

/* An attempt at this node's own backend server. */
struct serve {
	enum serve_state state;
	struct admission_call admission;
	struct claim *claim; /* requested or granted */
	struct loop_timer timer; /* next claim request for a held key */
	int64_t key_wait_until; /* mono ns; 0: the key was not held so far */
	int64_t offered; /* mono ns */
	int64_t dispatched; /* mono ns */
};

/* One attempt of a call at one endpoint. */
struct attempt {
	struct call *call;
	struct attempt *next_ended; /* in the proxy's ended_attempts */
	bool active; /* in flight, or ended but not yet handled */
	bool picked; /* end_pick() is due for ref */
	bool local; /* at this node's own backend server */
	bool hedge;
	bool end_queued; /* is in ended_attempts */
	struct pick_ref ref;
	int chain_budget_sent; /* X-Ggs-Retry-Budget of the request */
	int64_t started; /* mono ns */
	struct transfer *transfer;
	struct serve serve;
	struct result result;
};

struct call {
	struct proxy *proxy;
	struct MHD_Connection *conn;
	struct call *next, **prev; /* in the proxy's list, loop thread */
	struct loop_task task;

	/* The request */
	char *target;
	char method[CALL_METHOD_BYTES];
	char kind[TABLE_NAME_BYTES];
	char id[CALL_ID_BYTES];
	char key[CALL_KEY_BYTES];
	struct buf head; /* end-to-end headers, each ended by NUL */
	char *body;
	size_t body_len, body_cap;
	int64_t reserved; /* bytes of the body memory budget */
	bool hop; /* sent by an entry node to be served here */
	int depth;
	int chain_budget_header; /* X-Ggs-Retry-Budget */
	int64_t arrived; /* mono ns */
	int64_t deadline; /* mono ns */
	const struct table *table; /* referenced to the end of the call */
	const struct row *row; /* NULL: no table or unknown kind */
	struct row_state *stats;

	/* The listener's state */
	bool begun; /* the headers are read */
	bool refused; /* the answer is set; the rest of the body is discarded */
	bool waits_for_memory;
	size_t discarded; /* body bytes */

	/* The loop's state */
	struct loop_watch watch; /* the caller's connection */
	bool watching;
	struct loop_timer timer; /* deadline */
	struct loop_timer next_step; /* retry, hedge or endpoint check */
	void (*run_next_step)(struct call *c);
	struct service *service;
	int64_t completed; /* mono ns; the request was complete */
	int64_t external_ns; /* queues, claims, retry delays, peers */
	int64_t endpoints_wait_until; /* mono ns; for a missing endpoint set */
	int chain_budget;
	int attempt_count;
	int retry_count;
	bool may_have_run; /* at an earlier attempt */
	bool hedged;
	bool in_grace_period; /* past deadline, waits for serving node */
	struct attempt attempts[CALL_ATTEMPTS_MAX];

	/* The answer */
	bool ended;
	int status;
	enum call_outcome outcome;
	struct result answer;
};

/* The proxy and its parts. */
struct proxy {
	struct proxy_config cfg; /* strings below */
	char node[WIRE_NAME_MAX + 1];
	char zone[WIRE_NAME_MAX + 1];
	char listen[PROXY_ADDRESS_BYTES];
	char admin_listen[PROXY_ADDRESS_BYTES];
	char service[TABLE_NAME_BYTES];
	char backend[PROXY_ADDRESS_BYTES];
	char health_path[128];
	struct loop *loop;
	struct transfer_pool *transfers;
	struct budget *budget;
	struct MHD_Daemon *frontend;
	struct MHD_Daemon *admin;
	int port, admin_port;

	/* Any thread, atomic */
	bool draining;
	bool drain_requested;
	bool stopping;
	int active; /* calls that have begun and are not answered yet */
	int suspended; /* connections that the loop has to resume */
	int bodies_waiting; /* of these, calls that wait for body memory */
	int claims_open; /* claim requests in flight */
	uint64_t body_checked_version; /* by check_body_memory() */
	uint64_t accounts_version; /* last one logged by refuse_accounts() */
	bool body_memory_short; /* for some row of that version */
	uint64_t id_count;
	uint64_t id_seed;

	/* drain_proxy() and run_on_loop() wait for idle */
	pthread_mutex_t lock;
	pthread_cond_t idle;

	/* Loop thread only */
	struct rng rng;
	struct call *calls;
	struct call *waiting_calls; /* not in use */
	struct attempt *ended_attempts, **ended_tail;
	struct service *services;
	struct admission *admission; /* NULL: no backend server */
	uint64_t admission_version;
	struct loop_timer admission_timer;
	struct health *health;
	struct claim *claims;
	int64_t drain_started; /* mono ns; 0: not draining */
};

/* frontend.c */
int open_frontend(struct proxy *p, struct fault *f);
bool suspend_call(struct call *c); /* false: the proxy is stopping */
void resume_call(struct call *c); /* loop thread */
void refuse_early(struct call *c, int status, enum refuse_reason reason,
    const char *reason_text); /* sets the answer */

/* listener.c */
int open_listener(const char *address, int *fd, int *port, struct fault *f);

/* request.c */
void read_request(struct call *c); /* headers, row, limits */
void count_end(struct call *c); /* counts an ended call */

/* uploads.c */
/* Logs rows whose body_max_kb exceeds the node's body memory. */
void check_body_memory(struct proxy *p, const struct table *t);
void wait_for_body_memory(struct call *c); /* listener thread; c is suspended */
void release_body(struct call *c); /* any thread */

/* entry.c */
void start_call(struct loop_task *t); /* the request is complete */
void end_attempt(struct attempt *a); /* result is set; handled later */
bool process_ended_attempts(void *arg);
void cancel_calls(struct proxy *p); /* at once */
void apply_drain_limits(struct proxy *p); /* drain_s of each call's row */
void answer_call(struct call *c, struct result *r);
struct result make_refusal(
    enum refuse_reason reason, const char *reason_text, int status);
void unload_result(struct result *r);

/* serve.c */
int open_admission(struct proxy *p, bool cold);
void start_serve(struct attempt *a);
void stop_serve(struct attempt *a, enum attempt_end end); /* sets result */
void update_admission(struct proxy *p);
void update_admission_timer(struct proxy *p);
void continue_serve(struct attempt *a, const struct claim_result *r);

/* message.c */
struct curl_slist *make_headers(
    const struct call *c, bool hop, int chain_budget, int64_t now);
void consume_answer(struct result *r, struct transfer *t, bool repeatable,
    bool hop, enum attempt_end end);

/* claim.c */
int open_claim(struct attempt *a, struct claim **out);
void close_claim(struct claim *cl, enum wire_claim_state state,
    const struct result *r); /* takes over cl */
void detach_claim(struct claim *cl); /* the attempt no longer waits */
void unload_claims(struct proxy *p);

/* services.c */
struct service *find_service(struct proxy *p, const char *name);
int refresh_service(struct proxy *p, struct service *s, int64_t now);
struct picker *get_service_picker(const struct service *s);
void unload_services(struct proxy *p);
int render_services(struct proxy *p, struct buf *out);

/* health.c */
int open_health(struct proxy *p);
void close_health(struct proxy *p);
void announce_drain(struct proxy *p);
void record_backend_result(struct proxy *p, enum attempt_end end);
const char *get_health_name(const struct proxy *p); /* announced state */

/* admin.c */
int open_admin(struct proxy *p, struct fault *f);

#endif
