/*
 * A small deployment of the project's processes on loopback addresses, with
 * stand-ins for its clients, upstreams and operator. Every machine has an
 * address of its own in 127.0.0.0/8 and the ports of the pages' example.
 */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MACHINES_MAX 16
#define CONTROL_PORT 8620
#define READY_PORT 8625
#define APP_PORT 8628
#define OUTBOUND_PORT 8629
#define TEXT_BYTES 256
#define RUNS_MAX 65536

enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

struct machine {
	char ip[48];
	char name[64];
	char zone[16];
	const char *service; /* NULL: a core machine */
	char settings[TEXT_BYTES], data[TEXT_BYTES], log[TEXT_BYTES];
	pid_t pid; /* 0: no process */
};

struct deployment {
	char dir[TEXT_BYTES / 2];
	const char *daemon;
	struct machine machines[MACHINES_MAX]; /* cores first */
	size_t count, cores;
	bool first_start;
	bool has_tenants; /* the contracts of tenants are in force */
};

struct answer {
	int status; /* -1: no complete answer */
	char text[1024]; /* start of the body */
};

/* A request that an upstream has run. */
struct run {
	double at; /* s since the start of the case */
	char id[64];
	char target[64];
	char tenant[64]; /* X-Tenant; "": without */
	char key[64]; /* Authorization; "": without */
};

/* An upstream of the platform: one request at a time on a connection. */
struct upstream {
	const struct machine *machine;
	char id[64];
	const char *service;
	int64_t born_ms;
	int sequence; /* of the last ping */
	int work_ms;
	bool beats; /* sends pings */
	bool drains; /* its pings say so */
	bool serves;
	int listen_fd;
	pthread_t server, beater;
	pthread_mutex_t lock;
	struct run *runs;
	size_t run_count;
};

bool has_trouble(void); /* false with TROUBLE=0 */
double get_time(void); /* s since open_record() */
int64_t get_wall_ms(void);
void sleep_until(double at); /* s since open_record() */

/* Opens record.txt and limits the time of the case. */
void open_record(const char *path, int limit_s);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/*
 * services: of the nodes. All machines are in one zone. Ends the case as not run
 * on an error.
 */
void open_deployment(struct deployment *d, const char *daemon, size_t cores,
    const char *const *services, size_t nodes);
void start_machine(struct deployment *d, struct machine *m);
void start_all(struct deployment *d);
void kill_machine(struct machine *m); /* SIGKILL, waits for its end */
/* SIGTERM, then SIGKILL after the grace; waits for its end. */
void terminate_machine(struct machine *m, double grace_s);
/* Spreads core machines and nodes over three zones, in turn. */
void spread_over_zones(struct deployment *d);
void close_deployment(struct deployment *d);
void end_case(struct deployment *d, int code); /* does not return */

/* head: request line and header lines without Host and Content-Length */
struct answer send_http(const char *ip, int port, const char *head,
    const char *body, int timeout_ms);
/* Sends the first configuration until it is accepted. */
void send_first_configuration(struct deployment *d, const char *text);

void start_upstream(
    struct upstream *u, const struct machine *m, const char *id, int work_ms);
void stop_upstream(struct upstream *u); /* it exits: no more connections */
/* Writes the body of a ping; sequence: of this ping */
void write_ping(const struct upstream *u, int sequence, char *out, size_t size);
struct answer send_ping(const char *ip, const char *id, const char *what,
    const char *body); /* what: heartbeat or deregister */

#endif
