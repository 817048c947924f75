/*
 * A backend server for tests. The last segment of a request's path selects its
 * behaviour; see the table in fake_server.c.
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include "base.h"

struct fake_server;

struct fake_server *open_fake_server(const char *instance);
void close_fake_server(struct fake_server *s);
const char *get_fake_address(const struct fake_server *s); /* "IP:port" */
int count_fake_runs(struct fake_server *s, const char *id); /* of one call */
int count_fake_requests(struct fake_server *s); /* complete ones */
int count_fake_connections(struct fake_server *s); /* accepted so far */
int count_fake_open(struct fake_server *s); /* open now */
#define FAKE_LARGE_BYTES (24 * 1000 * 1000) /* body of a "large" answer */
/* Whether its "uneven" answers are late; other servers' are not. */
void set_fake_slow(struct fake_server *s, bool slow);
char get_fake_large_byte(size_t at); /* of that body */
/* Header lines of all following 200 answers, each with its line end. */
void set_fake_notices(struct fake_server *s, const char *lines);
/* Copies a header of the last request; "" when it had none. */
void get_fake_header(
    struct fake_server *s, const char *name, char *out, size_t size);
/* Copies the request line of the last request. */
void get_fake_line(struct fake_server *s, char *out, size_t size);
size_t get_fake_body_len(struct fake_server *s);
/* Bytes that an endless answer sent before the node closed it, at most. */
size_t get_fake_endless_bytes(struct fake_server *s);

/* How the connection goes on after a scripted answer. */
enum fake_end {
	FAKE_KEEPS, /* stays open for further requests */
	FAKE_CLOSES, /* is closed in order */
	FAKE_RESETS, /* is reset */
	FAKE_CLOSES_THEN_RESETS, /* is closed in order, and reset after it */
};

/*
 * An answer to the calls whose path ends in "/script". Header lines with the
 * call's id and the signature follow its first line.
 */
struct fake_script {
	struct str answer;
	enum fake_end end;
	/* Answers the head of a long upload; a reset follows after a part of it */
	bool early;
};

void set_fake_script(struct fake_server *s, const struct fake_script *script);
/* Resets all connections, like a server that dropped its idle ones. */
void reset_fake_connections(struct fake_server *s);
/* Resets each open connection when its next bytes arrive. */
void reset_fake_connections_on_use(struct fake_server *s);

#endif
