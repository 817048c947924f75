/*
 * A small deployment on loopback addresses for the cases of this folder: starts
 * the programs of the deploy file as separate processes, and has stand-ins for
 * the platform, the operator, upstreams and clients.
 */
#ifndef MESH_H
#define MESH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MESH_MACHINES_MAX 16
#define CONTROL_PORT 8620
#define INBOUND_PORT 8624
#define READY_PORT 8625
#define APP_PORT 8628
#define OUTBOUND_PORT 8629
#define CONTACT_MS 3000 /* contact-s of the settings */

/* Exit codes of a case. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

/* A machine with one process of the system; the upstream is optional. */
struct machine {
	char name[64];
	char ip[32];
	char service[32]; /* "": a core machine */
	pid_t pid; /* 0: not running */
	int memory_mb; /* the platform ends the process above it; 0: no limit */
	bool over_memory; /* the platform has ended it */
	int starts;
	struct upstream *upstream;
};

/* What a request asks of the upstream is in its query: w (ms), b (bytes). */
struct upstream {
	struct machine *machine;
	char id[32];
	int slots;
	int queue_max; /* requests that wait for a slot; more are rejected */
	int64_t born_ms;
	int seq;
	int running, waiting;
	bool draining;
};

/* A response as a client sees it. */
struct reply {
	int status; /* 0: none */
	bool complete; /* the whole message has arrived */
	bool sealed;
	bool keep_alive;
	size_t body_len; /* bytes that arrived */
	size_t want_len; /* Content-Length */
	char id[64]; /* X-Request-Id */
	char *body; /* the first bytes, NUL at the end */
};

struct mesh {
	char dir[256]; /* temporary */
	char net[24]; /* "127.a.b" */
	struct machine machines[MESH_MACHINES_MAX];
	int machine_count;
	int cores;
	bool first_start;
	const char *bounds; /* JSON members */
	int link_mbps;
};

extern struct mesh mesh;
/* Bytes/s of a body that send_request() sends in this thread; 0: unlimited */
extern _Thread_local double send_rate;

/* Time in ms since the case began. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
bool has_trouble(void); /* TROUBLE is not 0 */
/* Appends a line with the time to record.txt. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Says whether an upstream has begun to run the request. */
bool has_run(const char *id);
/* Ends all processes, writes the verdict and exits. */
void finish(int code, const char *fmt, ...)
    __attribute__((noreturn, format(printf, 2, 3)));

void open_mesh(const char *name, int cores);
struct machine *add_sidecar(const char *service, int slots);
void start_machine(struct machine *m);
void signal_machine(struct machine *m, int sig);
/* Waits until the process has ended; false after ms. */
bool wait_end(struct machine *m, int64_t ms);
/* Starts all machines and waits until the nodes are ready with body in force. */
void start_mesh(const char *body, const char *probe_host, const char *probe);
bool is_ready(struct machine *m);
/* Sends a configuration to a core machine; 0: no answer. */
int put_config(struct machine *m, const char *base, const char *body);
/* Reads the configuration of a core machine; its version, or -1. */
int get_config(struct machine *m, size_t *len);

int dial(const char *ip, int port, int timeout_ms, int receive_buffer);
bool send_all(int fd, const void *data, size_t len);
bool send_request(int fd, const char *method, const char *host,
    const char *path, const char *id, int deadline_ms, size_t body_len);
/* Reads one response at rate bytes/s (0: unlimited) until end_ms. */
void read_reply(int fd, struct reply *out, double rate, int64_t end_ms);

#endif
