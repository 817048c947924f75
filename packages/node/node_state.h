/*
 * State of a node and the functions that its modules share. Only the reactor's
 * thread uses it; other threads post refresh and drain, and wait for drained.
 */
#ifndef NODE_STATE_H
#define NODE_STATE_H

#include <pthread.h>

#include "allotment_wallet.h"
#include "first_tries.h"
#include "hedge.h"
#include "hop.h"
#include "memory_budget.h"
#include "metric.h"
#include "node.h"
#include "origins.h"
#include "outflow.h"
#include "placement.h"
#include "policy.h"
#include "reactor.h"
#include "rollout.h"

#define NODE_LISTENERS_MAX 5
#define NODE_STREAM_SLOTS 64 /* buckets of a link's hash table of calls */
#define REQUEST_TRIED_MAX 12 /* serving nodes that a call is offered to */
#define REQUEST_BUSY_MAX 5 /* serving nodes found without a free slot */
#define REQUEST_TRACE_MAX 24 /* trace events kept for a call */
#define NODE_ASKS_MAX 256 /* accounts in one ask for allotments */
#define LEAVINGS_MAX WIRE_LEAVINGS_MAX /* remembered; the oldest goes */

struct caller;
struct request;
struct job;
struct long_answer; /* long_answers.c */
struct peer;
struct peer_link;
struct service;
struct kind_stats;
struct node_wallet; /* allotment.c */

/* Handles a complete request that arrived on a listener. */
typedef void (*request_fn)(struct node *n, struct request *q);

struct listener {
	struct node *node;
	struct watch watch;
	request_fn handle; /* NULL: links of other nodes */
	int open; /* callers' connections */
	int open_max; /* links: those without a handshake; 0: unlimited */
	struct timer pause; /* while no descriptor is left */
};

/* Trace events of a call, for its log lines. */
enum trace_kind {
	TRACE_ROUTED, /* text: service, a: version, b: left ms, c: target ms */
	TRACE_OFFERED, /* text: peer, a: in flight, b: queued, c: age ms */
	TRACE_GRANTED, /* text: peer, a: ms since the offer */
	TRACE_REFUSED, /* text: peer, a: reason, b: retry ms, c: arrived */
	TRACE_FAILED, /* text: peer, a: cause, b: not sent */
	TRACE_ANSWERED, /* text: peer, a: status, b: service time us */
	TRACE_UNRESPONSIVE, /* text: peer */
	TRACE_HEDGED, /* text: peer, a: ms since the first send */
	TRACE_NO_RETRY, /* text: reason, a: arrivals */
	TRACE_DISCONNECTED, /* a: ms since arrival */
	TRACE_EXPIRED, /* a: ms since arrival */
};

struct trace_event {
	int64_t at; /* mono ns */
	enum trace_kind kind;
	int32_t a, b, c; /* as listed at enum trace_kind */
	char text[24];
};

/* Copy of the row's cells that apply to a call, made on its arrival. */
struct call_policy {
	char kind[TABLE_NAME_BYTES];
	int rank;
	bool repeatable;
	int attempts_max; /* at backend servers */
	int64_t target_ns; /* after the arrival */
	int64_t deadline_ns; /* after the arrival */
	uint64_t version; /* of the table */
	char account[TABLE_NAME_BYTES]; /* of the client; empty: none */
	int share; /* weight of the account among others; 0: none */
	double hedge_share; /* most hedged sends per call; 0: none */
};

/* An offer of a call to one serving node. */
struct attempt {
	bool active;
	bool immediate; /* must not be queued */
	struct peer *peer;
	struct peer_link *link; /* NULL: local */
	uint32_t stream;
	struct request *next_stream; /* in the link's hash table */
	struct job *job; /* NULL: remote */
	int64_t started_at; /* mono ns */
	bool body_sent; /* from then on the call may run */
	bool granted; /* the serving node has granted a slot */
	size_t body_queued; /* bytes of the body handed to the link */
	struct request *next_upload; /* in the link's queue */
	bool uploading; /* in the link's queue of uploads */
};

enum request_state {
	REQUEST_READING,
	REQUEST_HELD, /* complete; starts after the answers before it */
	REQUEST_RUNNING, /* complete; an attempt is active or is started next */
	REQUEST_REPORTING, /* waits for the record of what it reports */
	REQUEST_DONE, /* its answer waits for those before it */
};

/* A caller's request, from its first byte to its answer. */
struct request {
	struct node *node;
	struct caller *caller; /* NULL: left; see has_caller() */
	struct request *next_request; /* of the caller's connection */
	enum request_state state;
	struct http_reader reader;
	int64_t arrived; /* mono ns; first byte */
	int64_t complete; /* mono ns; last byte */

	struct call_policy policy;
	struct service *service;
	enum rollout_side side; /* version that it may use now */
	bool trial_counted; /* in the service's credit */
	struct kind_stats *stats;
	struct str id; /* in the reader's head; empty: the caller sent none */
	struct buf head; /* header lines that are passed on */
	struct buf parts; /* of a long answer, as far as it has arrived */
	uint64_t parts_total; /* bytes of its complete body; 0: no part yet */
	int64_t target_at; /* mono ns; a later answer counts as late */
	int64_t deadline; /* mono ns */
	struct timer timer; /* deadline */
	struct attempt attempt; /* the current or the last one */
	const struct peer *tried[REQUEST_TRIED_MAX];
	size_t tried_count;
	const struct peer *busy_peers[REQUEST_BUSY_MAX];
	int busy_count;
	int offers; /* to serving nodes, those that count for OFFERS_MAX */
	/* Of an account with a rate */
	struct node_wallet *wallet; /* that its token is of; NULL: none */
	struct node_wallet *wanted; /* that it waits for a token of */
	struct request *next_waiting;
	int64_t wait_until; /* mono ns */
	bool waits_for_token;
	bool ran; /* a backend server has answered it as run */
	int arrivals; /* attempts that reached a backend server, or may have */
	bool may_have_run; /* an attempt ended with an unknown outcome */
	enum refuse_reason reason; /* of the last refusal */
	int64_t retry_after; /* ns; longest that a refusal asked for */
	struct job_answer *fallback; /* owned; failed answer during a retry */
	struct request *hedge; /* owned; second send under way; NULL: none */
	struct request *primary; /* of a hedge: the caller's request */
	struct timer hedge_timer; /* planned time of the hedge */
	int64_t hedge_at; /* mono ns; the same */
	bool counted; /* in node.requests */
	struct buf answer; /* until it is sent: head without its end, body */
	size_t answer_head_len; /* bytes of answer */
	struct trace_event trace[REQUEST_TRACE_MAX];
	size_t trace_count;
};

/* A complete answer of a backend server. */
struct job_answer {
	int status;
	struct str head; /* header lines that are passed on */
	struct str body;
	bool sealed; /* has the backend server's signature */
	int64_t service_ns; /* time that the backend server took */
};

/*
 * Callbacks of a job's owner. Exactly one of answered, refused and failed is
 * called, as the last one, unless the job is cancelled. retry_after is in ns;
 * arrived: the backend server itself refused; not_sent: the call has certainly
 * not run.
 */
struct job_events {
	void (*granted)(void *owner); /* the body may be sent */
	void (*answered)(void *owner, const struct job_answer *a);
	void (*refused)(void *owner, enum refuse_reason reason,
	    int64_t retry_after, bool arrived);
	void (*failed)(void *owner, enum attempt_end cause, bool not_sent);
};

/*
 * A call that is offered to the serving node. The owner keeps the strings until
 * the job ends or is cancelled.
 */
struct job_spec {
	struct str kind;
	struct str id; /* empty: the caller sent none */
	struct str method;
	struct str target;
	struct str head;
	struct str caller_service;
	struct str account; /* of the client; empty: none */
	int share; /* weight of the account among others; 0: none */
	int rank;
	bool repeatable;
	bool may_wait; /* false: refused as busy instead of queued */
	int64_t target_at; /* mono ns */
	int64_t deadline; /* mono ns */
	size_t body_len;
	struct str body; /* data NULL: provided after granted() */
};

enum job_state {
	JOB_WAITING, /* for a slot, or for admission's decision to be applied */
	JOB_GRANTED, /* has a slot, waits for its body */
	JOB_RUNNING, /* handed to a backend connection */
	JOB_ENDED,
};

struct backend_conn; /* backend_conn.c */

/* A call that is queued for or running at this node's backend server. */
struct job {
	struct node *node;
	struct job *next, **prev; /* in the node's list */
	enum job_state state;
	struct admission_call admission;
	struct job_spec spec;
	const struct job_events *events; /* NULL: cancelled by its owner */
	void *owner;
	struct task task; /* applies the decision of admission */
	bool refused; /* by admission */
	enum refuse_reason reason;
	int64_t retry_after; /* ns */
	struct timer timer; /* deadline, or time-out of the body */
	int64_t offered_at; /* mono ns */
	int64_t granted_at; /* mono ns; 0: has no slot yet */
	struct backend_conn *conn; /* while running */
	bool sent; /* bytes may have reached the backend server */
	bool resent; /* after the server had closed an idle connection */
};

/* A serving node as this entry node sees it. */
struct peer {
	struct peer *next; /* in the node's list */
	struct node *node;
	char id[NODE_ID_BYTES];
	char address[NODE_ADDRESS_BYTES];
	char service[TABLE_NAME_BYTES];
	uint64_t incarnation;
	bool local;
	bool same_zone;
	bool listed; /* in the current endpoint set */
	bool usable; /* its announced state allows calls */
	int slots; /* announced */
	struct peer_link *link; /* for new calls; NULL: none */
	bool has_load;
	struct hop_load load; /* last load report */
	int64_t load_at; /* mono ns */
	int in_flight_at_load; /* in_flight when the report arrived */
	int in_flight; /* calls of this node */
	bool address_reused; /* another node answers at its address */
	int failures; /* since the last load report; above 0: avoided */
	char version[NODE_VERSION_BYTES]; /* of its server; empty: unknown */
	int64_t version_at; /* mono ns; first listed with it */
	struct timer probe; /* opens a link without a call after failures */
};

/* A connection to a serving node. */
struct peer_link {
	bool handshake_done; /* WELCOME has arrived: offers may be sent */
	struct peer_link *next; /* in the node's list */
	struct peer *peer; /* NULL: the peer was removed */
	struct node *node;
	struct hop_link *hop;
	struct timer timer; /* handshake time-out */
	struct request *streams[NODE_STREAM_SLOTS]; /* calls by stream number */
	size_t stream_count;
	uint32_t last_stream; /* number of the newest stream */
	bool retired; /* takes no new calls; closed after its last one */
	struct request *uploads; /* bodies being sent, round robin */
	struct request **uploads_tail;
};

/* A service of the table: its serving nodes and its retry budget. */
struct service {
	struct service *next;
	char name[TABLE_NAME_BYTES];
	struct peer **peers;
	size_t peer_count;
	double tokens; /* retry budget: retries that are left */
	int64_t tokens_at; /* mono ns; last refill */
	bool in_table; /* named by the current table */
	bool has_set; /* its endpoint set has arrived */
	/* Version of the server that started first; used without a roll-out */
	char base_version[NODE_VERSION_BYTES];
	struct service_rollout {
		uint64_t number; /* of the order; 0: none */
		char target[NODE_VERSION_BYTES];
		enum rollout_phase phase;
		int64_t learned_at; /* mono ns; of the order */
		int64_t phase_at; /* mono ns; of the phase */
		/* Run of this node's server when calls moved; 0: none */
		uint64_t closed_run;
		double credit; /* calls that may go to the target version */
		struct row_counts *rows; /* what was seen since then */
	} rollout;
};

/* Answers to calls of one kind, by version, during a roll-out. */
struct row_counts {
	struct row_counts *next;
	char kind[TABLE_NAME_BYTES];
	struct rollout_counts before, after;
};

/* Limits the calls that are logged per time window. */
struct log_budget {
	const char *scope; /* which calls, for calls.omitted */
	int64_t window; /* number of the current one since the clock's zero */
	int written, omitted; /* calls of the current window */
};

/* Estimates and counts of a kind of call at this node. */
struct kind_stats {
	struct kind_stats *next;
	char kind[TABLE_NAME_BYTES];
	struct first_tries tries; /* time-outs of callers */
	int64_t longest_deadline_ns; /* after the arrival; longest one seen */
	int64_t kind_service_ns; /* recent mean service time; 0: unknown */
	double answer_bytes; /* recent mean length of answers */
	struct split_share {
		char service[TABLE_NAME_BYTES];
		double credit; /* of the weighted round robin */
	} shares[TABLE_SPLIT_MAX];
	size_t share_count;
	uint64_t split_hash; /* of the split cell; 0: none */
	struct origin_counts origin; /* of calls that this node serves */
	struct answer_times answer_times; /* of calls that it sent */
	struct hedge_budget hedge_budget;
	struct log_budget ok_lines;
	uint64_t calls; /* of callers, ended */
	metric_id latency_us; /* histogram; 0: none */
};

struct backend; /* backend.c */
struct known_notice; /* notice_memory.c */
struct inbound_link; /* inbound.c */

/* Wallets of the accounts with a rate, and asks for their tokens. */
struct node_allotments {
	struct node_wallet *wallets;
	struct wallet_ledger known;
	uint64_t run; /* tells this run's asks from an earlier one's */
	uint64_t seq, answered; /* of the last ask, of the last answered one */
	bool asking; /* an ask is under way */
	bool asking_to_leave;
	bool leaving; /* the node is stopping */
	int64_t asked_at; /* boot ns */
	struct node_wallet *asked[NODE_ASKS_MAX]; /* by the ask under way */
	size_t asked_count;
	struct timer ask_timer;
	struct request *waiting, **waiting_tail; /* by their time of arrival */
	struct timer wait_timer;
	struct task answer_task; /* posted by the agent */

	pthread_mutex_t lock; /* protects the answer */
	int answer_status;
	size_t answer_nodes; /* of the fleet */
	size_t answer_count;
	struct ledger_grant answer[NODE_ASKS_MAX];
};

/* An instance that leaves or has left, as acknowledged or returned. */
struct leaving {
	char instance[NODE_ID_BYTES]; /* empty: unused */
	int64_t born_until_ms; /* Unix ms; its latest start, at most */
	int64_t at; /* mono ns; of the last word of it */
	bool recorded; /* the control group has it */
};

/* What the control group keeps of them, and reports that wait for it. */
struct node_leavings {
	bool known; /* those of earlier processes have been read */
	bool asking; /* a request is under way */
	struct leaving sent[LEAVINGS_MAX]; /* in it */
	size_t sent_count;
	struct timer retry_timer;
	int64_t retry_ns; /* next delay */
	struct request *waiting, **waiting_tail; /* by their time of arrival */
	struct timer wait_timer;
	struct task answer_task; /* posted by the agent */

	pthread_mutex_t lock; /* protects the answer */
	int answer_status;
	struct leaving answer[LEAVINGS_MAX];
	size_t answer_count;
};

struct node_metrics {
	metric_id calls_total, answers_total, refused_total, failed_total;
	metric_id retries_total, cancelled_total, served_total, shed_total;
	metric_id busy_total, body_wait_us;
	metric_id backend_connects_total, links_total, avoided_total;
	metric_id latency_us, queue_us, run_us;
	metric_id table_version, requests, runs, queued, in_flight, slots;
	metric_id backend_connections, backend_state, mean_run_us, failed_ppm;
	metric_id peers, peers_usable, peers_avoided, body_bytes;
	metric_id pipelined_total, unread_closes_total, kept_bytes;
	metric_id rollout_offers_total, rollout_failed_total;
	metric_id log_dropped_lines, rate_limit_milli;
	metric_id hedges_total, hedges_won_total, hedges_cancelled_total;
	metric_id memory_bytes, memory_limit, yields_total;
	metric_id accept_closes_total;
	metric_id long_answers_total, long_answer_bytes;
	metric_id key_refusals_total;
	metric_id allotment_asks_total, allotment_lost_total;
	metric_id leavings_refused_total;
};

struct node {
	struct node_config cfg;
	char *strings[16]; /* owned copies that cfg points to */
	size_t string_count;
	struct reactor *reactor;
	pthread_t thread;
	struct rng rng;
	struct node_metrics metrics;
	struct listener listeners[NODE_LISTENERS_MAX];
	size_t listener_count;
	struct task refresh; /* posted by refresh_node() */

	const struct table *table; /* referenced; NULL before the first */
	int64_t idle_ns; /* limits of callers' connections, from the table */
	int64_t head_ns;
	size_t head_max, body_max;

	struct memory_budget budget;
	size_t object_bytes; /* of requests and connections, without buffers */
	int stopped_callers; /* connections that are not read now */
	bool memory_short; /* trimmed when little memory is in use again */
	struct timer memory_timer;
	struct caller *callers;
	struct caller *closed_callers; /* their calls are ended next */
	struct task end_callers;
	int requests; /* callers' calls in flight */
	int64_t last_call_at; /* mono ns; arrival of the newest call */
	size_t body_bytes; /* of request bodies in memory */
	size_t kept_bytes; /* of answers that wait for earlier ones */
	struct service *services;
	struct peer *peers;
	struct peer_link *links;
	struct kind_stats *kinds;
	struct node_allotments allotments;
	struct node_leavings leavings;

	struct admission *admission; /* NULL: no backend server */
	struct timer admission_timer;
	struct timer leaving_timer; /* then queued calls are refused */
	struct job *jobs;
	int job_count;
	struct backend *backend;
	struct inbound_link *inbound;
	struct outflow outflow; /* of this machine's link */
	struct long_answer *long_answers; /* being sent, oldest first */
	size_t long_answer_bytes; /* of their bodies, not sent yet */
	struct timer outflow_timer;
	struct known_notice *known_notices; /* of other nodes' servers */
	size_t known_notice_count;
	int64_t started_wall_ns; /* start of this process, Unix ns */
	enum hop_state state; /* as a serving node */
	int64_t service_ns; /* recent mean service time; 0: unknown */
	/* Recent service times over those of all servers; 0: unknown */
	double slowness;
	double failed_share; /* recent share of failed calls, 0 to 1 */
	struct origins origins; /* of the calls that it serves */
	struct log_budget failed_lines, late_lines; /* of callers' calls */
	struct log_budget failed_job_lines, ok_job_lines; /* of served calls */

	/* Roll-outs */
	struct timer rollout_timer; /* next report */
	bool rollout_reports; /* the timer is set */
	uint64_t rollout_change; /* of the list in force; 0: none */
	uint64_t rollout_seq; /* of the last report */

	/* Stop */
	struct task drain; /* posted by drain_node() */
	struct timer leave_timer;
	int64_t leaving_at; /* mono ns; 0: not leaving */
	bool serving_ended; /* other nodes' calls are refused */
	pthread_mutex_t lock; /* protects drained */
	pthread_cond_t drained_cond;
	bool drained; /* lock; drain_node() may return */
};

/* stop.c */
void begin_node_stop(struct task *t); /* node.drain */
bool may_end_before_stop(const struct node *n, int64_t service_ns);

/* listen.c */
int add_listener(
    struct node *n, const char *address, request_fn handle, struct fault *f);
int bind_listener(const char *address, int *fd, struct fault *f);
void accept_pending_callers(struct node *n);
void close_listeners(struct node *n);
/* Returns the next connection, or -1; finds a descriptor if none is left. */
int accept_connection(struct listener *l);

/* caller_memory.c */
size_t get_used_memory(const struct node *n); /* bytes of all connections */
/* Whether level, a share of the budget, has room; nothing gives way. */
bool has_memory(const struct node *n, size_t more, size_t level);
void watch_memory(struct node *n); /* after memory was drawn */

/* caller.c */
void accept_callers(struct watch *w, uint32_t events);
/* Closes the connection that needs its descriptor least; l NULL: of all. */
bool free_caller_descriptor(struct node *n, const struct listener *l);
void close_callers(struct node *n);
void close_idle_callers(struct node *n); /* those without a request */
bool has_busy_callers(const struct node *n);
/* Returns a request of a connected caller that matches; NULL: none. */
struct request *find_request(
    const struct node *n, bool (*match)(const struct request *q));
/* Sends an answer and frees the request. head: complete header lines. */
void send_answer(
    struct request *q, int status, struct str head, struct str body);
void free_request(struct request *q);
bool has_caller(const struct request *q); /* that is still connected */

/* request.c */
void route_call(struct node *n, struct request *q); /* complete request */
void begin_call(struct node *n, struct request *q); /* counts it */
const struct row *find_call_row(
    struct node *n, struct request *q); /* or NULL */
/* Whether the request may start before earlier ones are answered. */
bool may_run_ahead(struct node *n, struct request *q);
/* Rank of the row of a request whose head is complete. */
int get_request_rank(struct request *q);
void handle_caller_hangup(struct request *q);
void refuse_request(struct request *q, int status, enum refuse_reason reason,
    int64_t retry_after);

/* client_key.c */
bool identify_account(struct request *q, const struct row *r,
    const struct account **out); /* false: refuse_key() */
void refuse_key(struct request *q);
bool refuse_head(struct node *n, struct request *q); /* true: answered */
void set_call_account(struct request *q, const struct account *a); /* or NULL */

/* attempt.c */
void start_next_attempt(struct request *q);
void cancel_request_attempt(struct request *q);
bool may_be_running(const struct request *q);
void handle_attempt_refusal(struct request *q, enum refuse_reason reason,
    int64_t retry_after, bool arrived);
void handle_attempt_answer(struct request *q, const struct job_answer *a);
/* False: the account or the retry budget allows no other send. */
bool spend_repeat(struct request *q);
/* For calls on an unresponsive link */
bool reserve_request_move(struct request *q);
void move_request(struct request *q);
void handle_attempt_failure(
    struct request *q, enum attempt_end cause, bool not_sent);
int offer_attempt(struct request *q, struct peer *p, bool immediate);
/* Returns the best untried serving node with a free slot, or NULL. */
struct peer *choose_hedge_peer(struct request *q);
/* Delivers the answer; the request is freed. */
void finish_request(struct request *q, const struct job_answer *a);
/* A hedge ended without a good answer; a: its failed answer, or NULL. */
void end_hedge_failure(struct request *q, const struct job_answer *a);
void expire_request(struct timer *t);
void end_stopped_request(struct request *q); /* the node is stopping */

/* allotment.c */
void open_allotments(struct node *n);
void close_allotments(struct node *n);
void refresh_allotments(struct node *n); /* a new table */
bool admit_by_allotment(struct request *q); /* false: waits or was refused */
bool draw_retry_allotment(struct request *q); /* for another server */
void return_retry_allotment(struct request *q); /* it is not sent */
void leave_allotment_queue(struct request *q);
void return_allotment(struct request *q); /* the call ends */
/* An ask is under way, without whose end the node cannot say that it leaves. */
bool is_asking_tokens(const struct node *n);
void leave_allotments(struct node *n); /* the node is stopping */
/* hedge.c */
void plan_request_hedge(struct request *q); /* its first send has begun */
void cancel_hedge(struct request *q);
void handle_hedge_answer(struct request *h, const struct job_answer *a);
void handle_hedge_end(struct request *h, bool arrived, bool may_have_run);

/* services.c */
void refresh_services(struct node *n);
/* Whether the endpoint set of each service of the table has arrived. */
void clear_services(struct node *n);
struct service *find_node_service(struct node *n, const char *name);
struct kind_stats *get_kind_stats(struct node *n, const char *kind);
const char *choose_split_service(
    struct node *n, struct kind_stats *k, const struct row *r);
bool spend_retry_token(struct node *n, struct service *s);
void add_retry_tokens(struct node *n, struct service *s); /* per new call */

/* rollouts.c */
void apply_rollouts(struct node *n); /* the agent's list, after services */
void clear_rollout(struct service *s);
void confirm_rollouts(struct node *n); /* a server with a new version */
/* The node's server has a version that gets no calls (any more). */
bool is_server_closed(struct node *n);
/* Sets the version that the call's next attempt may use. */
bool is_service_rolling_out(const struct service *s);
void choose_call_version(struct request *q);
/* The call may use the other version after all; false: it may not. */
bool relax_call_version(struct request *q);
/* A second send of the call does not go to a version on trial. */
void use_settled_version(struct request *q);
bool is_version_allowed(const struct request *q, const struct peer *p);
void count_version_offer(struct request *q, const struct peer *p);
/* Of the current attempt. service_ns: 0 without an answer */
void record_version_answer(struct request *q, bool failed, int64_t service_ns);
/* The answer is not waited for any longer, while the attempt may run. */
void record_version_leave(struct request *q);

/* links.c */
int offer_remote(struct request *q, struct peer *p);
void open_peer(struct peer *p); /* opens a link, if there is none */
void cancel_remote(struct request *q);
void update_peer_load(struct peer *p, const struct hop_load *load);
void close_links(struct node *n);
void retire_peer_links(struct peer *p);

/* serve.c */
/* Calls no event before it returns. */
int start_job(struct node *n, const struct job_spec *spec,
    const struct job_events *events, void *owner, struct job **out);
bool is_job_sent(const struct job *j); /* it may be running */
void record_job_body(struct job *j, size_t bytes);
void provide_job_body(struct job *j, struct str body); /* after granted() */
/* The owner drops the job. One that was sent and may not repeat runs on. */
void cancel_job(struct job *j);
void refuse_queued_jobs(struct node *n); /* those that wait for a slot */
void start_leaving_timer(struct node *n); /* the backend server is leaving */
void refresh_admission(struct node *n);
void set_serving_rate(struct node *n, double per_s); /* negative: unlimited */
void free_jobs(struct node *n);
struct hop_load get_own_load(struct node *n);
/* Outcomes from the backend connection */
void finish_job(struct job *j, const struct job_answer *a);
void fail_job(struct job *j, enum attempt_end cause, bool not_sent);
void reject_job(struct job *j); /* the backend server refused to run it */

/* backend.c */
int open_backend(struct node *n);
void close_backend(struct node *n);
int start_backend_call(struct node *n, struct job *j);
void abort_backend_call(struct node *n, struct job *j);
/* Before the owner of the job's body frees it; ERR_MEMORY. */
int keep_call_body(struct job *j);
void apply_backend_report(struct node *n, const struct backend_report *r);
void refresh_backend_state(struct node *n); /* of its use by entry nodes */
int get_backend_slots(const struct node *n);
int count_backend_connections(const struct node *n);
const char *get_backend_instance(const struct node *n);
uint64_t get_backend_run(const struct node *n); /* 0: no backend server */
const char *get_backend_version(const struct node *n); /* "": unknown */
double get_backend_rate(const struct node *n); /* negative: unlimited */

/* notice.c */
/* Encoded notices of this node's server, sent to entry nodes; may be empty */
struct str get_own_notice(const struct node *n);
/* Handles notices that another node returned. */
void adopt_notice(struct node *n, struct str message);

/* leavings.c */
void open_leavings(struct node *n);
void close_leavings(struct node *n);
void read_leavings(struct node *n); /* after a table was applied */
void record_leavings(struct node *n); /* after one became known */
bool are_leavings_known(const struct node *n, int64_t start_ms);
bool wait_for_record(struct request *q); /* of a leaving; false: no need */
void leave_record_queue(struct request *q);

/* notice_memory.c */
void remember_notice(struct node *n, const char *node, struct str message);
struct str get_known_notice(const struct node *n, const char *node);
void clear_known_notices(struct node *n);

/* inbound.c */
void accept_links(struct watch *w, uint32_t events);
void broadcast_load(struct node *n); /* to all entry nodes */
void close_inbound(struct node *n);
bool has_unsent_inbound(const struct node *n);

/* long_answers.c */
int start_long_answer(struct node *n, struct hop_link *hop, uint32_t stream,
    const struct job_answer *from, const struct job_spec *spec,
    void (*ended)(void *owner), void *owner, struct long_answer **out);
void cancel_long_answer(struct long_answer *a);
void send_long_answers(struct node *n);
void clear_long_answers(struct node *n);

/* local_api.c */
void answer_ready(struct node *n, struct request *q);
void answer_report(struct node *n, struct request *q);
void finish_report(struct request *q, bool recorded); /* of a leaving */
void answer_metrics(struct node *n, struct request *q);

/* node_metrics.c */
void open_node_metrics(struct node_metrics *m);
void count_call_end(struct request *q, int status);
void count_kept_hedge(enum hedge_refusal r);
void refresh_node_metrics(struct node *n); /* gauges */

/* call_log.c */
void add_trace(struct request *q, enum trace_kind kind, const char *text, int a,
    int b, int c);
void log_request(struct request *q, int status, const char *outcome);
const char *get_attempt_end_name(enum attempt_end cause);
void log_job(const struct job *j, const char *outcome, const char *reason,
    int status, int64_t service_ns);

#endif
