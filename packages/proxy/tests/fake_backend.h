/*
 * A scripted backend server on a loopback port, with one thread for each
 * connection, and blocking HTTP calls for tests.
 */
#ifndef FAKE_BACKEND_H
#define FAKE_BACKEND_H

#include "base.h"

enum fake_mode {
	FAKE_OK, /* answers 200 with "ran:" and the call id */
	FAKE_TRUNCATED, /* fewer body bytes than Content-Length, then close */
	FAKE_OVER_LONG, /* more body bytes than Content-Length */
	FAKE_WRONG_ID, /* answers with the call id of another call */
	FAKE_CLOSE_BEFORE, /* closes before it reads the request */
	FAKE_CLOSE_AFTER, /* runs the call, then closes without an answer */
	FAKE_CLOSE_IN_HEADERS, /* closes in the middle of the headers */
	FAKE_CLOSE_IN_CHUNKS, /* closes between two chunks */
	FAKE_NO_LENGTH, /* neither Content-Length nor chunks, then close */
	FAKE_SHED, /* 503 with X-Ggs-Outcome: not-run */
	FAKE_FALSE_NOT_RUN, /* runs the call, answers 200 with not-run */
	FAKE_FAIL, /* runs the call, answers 500 */
	FAKE_NOT_FOUND, /* runs the call, answers 404 */
	FAKE_BLOCKED, /* runs and answers when the test releases it */
	FAKE_TWICE, /* answers twice; the second belongs to no request */
	FAKE_TEXT, /* runs the call, sends what set_fake_text() says */
};

struct fake_backend;

struct fake_backend *open_fake_backend(void);
void close_fake_backend(struct fake_backend *b);
const char *get_fake_address(const struct fake_backend *b);
void set_fake_mode(struct fake_backend *b, enum fake_mode mode, int times);
/* The mode of all calls after those of set_fake_mode(). */
void set_fake_later_mode(struct fake_backend *b, enum fake_mode mode);
/*
 * The bytes of FAKE_TEXT; a line with the call id is added after the first one.
 * closes: the connection is closed after them.
 */
void set_fake_text(struct fake_backend *b, const char *text, bool closes);
void set_fake_health(struct fake_backend *b, const char *body, int status);
void release_fake_blocked(struct fake_backend *b);
int count_fake_runs(struct fake_backend *b); /* calls that ran */
int count_fake_arrivals(struct fake_backend *b); /* complete requests read */
int count_fake_disconnects(struct fake_backend *b); /* while blocked */
int count_fake_connections(struct fake_backend *b); /* accepted so far */
int get_fake_depth(struct fake_backend *b); /* last X-Ggs-Depth */

/* One blocking HTTP request; headers are lines ended by "\n". */
struct fake_request {
	int port;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	size_t body_len;
};

struct fake_reply {
	int status; /* 0: the connection ended within the headers */
	char outcome[16];
	char reason[64];
	char call_id[80];
	char load[64];
	char body[4096];
	size_t body_len;
	bool complete; /* the body has its declared length */
};

void call_fake(const struct fake_request *req, struct fake_reply *out);
int connect_fake(int port); /* returns a socket */
void send_fake(int fd, const char *text, size_t len);
void read_fake_reply(int fd, struct fake_reply *out);
/* Polls until is_done(arg); false: not within 30 s. */
bool wait_fake(bool (*is_done)(void *arg), void *arg);

#endif
