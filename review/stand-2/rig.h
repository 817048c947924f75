/*
 * A small deployment on loopback addresses: the processes of the project, an
 * operator, upstreams that report to their node, and clients. Every machine has
 * an address of its own in 127.0.0.0/8, and the ports are the same on all.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MACHINES_MAX 16
#define RIG_TEXT 128

/* Ports of each machine */
enum {
	PORT_CONTROL = 8620,
	PORT_INBOUND = 8624,
	PORT_READY = 8625,
	PORT_APP = 8628,
	PORT_OUTBOUND = 8629,
	PORT_INTERNAL = 7600,
};

struct machine {
	char name[RIG_TEXT];
	char ip[32];
	char service[RIG_TEXT]; /* empty: a core machine */
	char settings[RIG_TEXT * 2]; /* path of the settings file */
	char log[RIG_TEXT * 2];
	char data[RIG_TEXT * 2];
	pid_t pid; /* 0: does not run */
};

struct rig {
	struct machine core[RIG_MACHINES_MAX], side[RIG_MACHINES_MAX];
	int cores, sides;
	int losses; /* fault-tolerance: machines */
	char folder[RIG_TEXT]; /* temporary */
	bool bootstrap; /* of the next settings files */
};

/* An answer to a request of rig_call(). */
struct reply {
	int status; /* 0: no complete answer */
	bool framed; /* complete by its own length */
	char *head; /* with NUL; owned */
	char *body; /* owned */
	size_t body_len;
};

extern const char *program; /* path of greengagespurd */

/* Whether TROUBLE is not 0. */
bool has_trouble(void);
int64_t now_ms(void); /* monotonic */
void sleep_ms(int ms);
/* Writes a line to record.txt and to standard output, with the time. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends the script as a case that cannot run (exit status 2). */
void give_up(const char *fmt, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/* Ends all processes, removes the folder and exits with the status. */
void finish(int status) __attribute__((noreturn));

void open_rig(int cores, const char *const *services, int sides, int losses);
extern struct rig rig;
void start_machine(struct machine *m);
void stop_machine(struct machine *m, int sig); /* waits for its end */
/* Forks a stand-in, which finish() ends; returns its id. */
pid_t start_child(void (*run)(void *arg), void *arg);
void end_child(pid_t pid); /* SIGKILL */

int open_tcp(const char *ip, int port, int timeout_ms); /* -1: failed */
int listen_tcp(const char *ip, int port);
bool send_all(int fd, const void *bytes, size_t len);
/* Sends a request on a new connection and reads the answer to its end. */
struct reply call_http(const char *ip, int port, const char *head,
    const void *body, size_t len, int timeout_ms);
struct reply read_reply(int fd, int timeout_ms);
void free_reply(struct reply *r);
/* Value of a header; false: there is none. */
bool get_header(const char *head, const char *name, char *out, size_t size);
/* Reads a head up to its empty line, with what follows; -1: closed. */
ssize_t read_head(int fd, char *out, size_t size, size_t *head_len);

/* Sends a configuration until it is acknowledged; gives up after a time. */
void replace_config(const char *base, const char *config);
/* Reports once to the node of a machine; true: acknowledged. */
bool report_upstream(const struct machine *m, const char *id, int64_t born,
    int sequence, const char *state, int slots);
void wait_ready(const struct machine *m, int timeout_ms);

#endif
