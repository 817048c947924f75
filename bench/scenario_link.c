/*
 * Links: TCP forwarders that can stall, delay, limit, blackhole, cut or break
 * the connections that they carry. One thread polls all sockets; the lock
 * protects all state of this file.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <lauxlib.h>

#include "scenario.h"

#define CONNECTIONS_MAX 8192 /* forwarded connections */
#define CHUNK_BYTES 65536 /* most bytes of one read */
#define POLL_MS 2 /* delayed chunks are sent up to this much later */
#define BACKLOG 256
/*
 * As on Ethernet. With the 64 KB segments of loopback, a receiver with a small
 * buffer keeps its window closed, and the sender probes it for seconds.
 */
#define SEGMENT_BYTES 1448
#define FILLERS 2 /* connections that fill the queue of a cut link */
#define PIPES_MAX 256 /* shared bandwidths */
#define LIMITED_CHUNK_BYTES 4096 /* of a read on a link with pipes or loss */
#define LIMITED_KEPT_BYTES 65536 /* kept for a direction of such a link */
#define RETRANSMIT_NS (200 * NSEC_PER_MSEC) /* of the kernel, for a lost tail */
#define RETRANSMITS_MAX 5 /* of one chunk */

/* Bytes that were read and are to be sent at due_ns. */
struct chunk {
	struct chunk *next;
	int64_t due_ns; /* mono */
	size_t len;
	size_t sent;
	char data[];
};

/* One direction of a forwarded connection. */
struct stream {
	struct chunk *first;
	struct chunk **last; /* where the next chunk is linked */
	bool ended; /* the side that is read has closed */
	size_t kept; /* bytes read and not sent */
	int64_t resume_ns; /* mono; nothing is read or sent before */
};

/* A bandwidth that several links share. */
struct pipe {
	int64_t bytes_per_s;
	int64_t free_ns; /* mono; when the bytes so far have passed */
};

/* A forwarded connection: one socket for each side. */
struct connection {
	int fds[2]; /* 0: the side that connected, 1: the target */
	struct stream streams[2]; /* by the side that is read */
	int link; /* id */
	bool blackholed; /* forwards nothing more */
};

struct link {
	int fd; /* listening socket */
	struct sockaddr_in target;
	enum link_mode modes[2]; /* by the side that is read */
	int64_t held_ns[2]; /* mono; start of the present mode */
	int64_t delay_ns;
	int pipes[2][2]; /* by the side that is read; 0: none */
	int loss_permille; /* of chunks, which come after retransmissions */
	int fillers[FILLERS]; /* sockets while cut */
	bool cut; /* new connections get no answer */
	bool refuse;
	struct link_bytes bytes;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_t thread;
static bool running;
static struct link links[SCENARIO_LINK_MAX];
static int link_count;
static struct connection *connections[CONNECTIONS_MAX];
static int connection_count;
static struct pipe pipes[PIPES_MAX];
static int pipe_count = 1; /* id 0 stands for none */
static uint64_t random_state = 1;

static void *run_links(void *arg);
static int fill_polls(struct pollfd *polls);
static void accept_connection(int id);
static void forward_connection(
    struct connection *conn, const struct pollfd *polls);
static bool read_side(struct connection *conn, int side);
static bool write_side(struct connection *conn, int side, int64_t now);
static void close_connection(int at);
static void unload_stream(struct stream *s);
static bool is_limited(const struct link *k);
static int64_t compute_due(struct link *k, int side, size_t len);
static void set_mode(int id, int side, enum link_mode mode, bool late);
static uint32_t draw_random(uint32_t below);
static void set_segments(int fd);
static int parse_address(const char *text, struct sockaddr_in *out);
static int64_t get_mono_ns(void);
static int lua_open(lua_State *l);
static int lua_set(lua_State *l);
static int lua_refuse(lua_State *l);
static int lua_silence(lua_State *l);
static int lua_break(lua_State *l);
static int lua_bytes(lua_State *l);
static int lua_pipe(lua_State *l);
static int lua_set_pipe(lua_State *l);
static int lua_through(lua_State *l);
static int lua_loss(lua_State *l);
static int lua_reset(lua_State *l);
static int lua_cut(lua_State *l);

int
start_links(void)
{
	running = true;
	return pthread_create(&thread, NULL, run_links, NULL) == 0 ? 0 : ERR_IO;
}

void
stop_links(void)
{
	pthread_mutex_lock(&lock);
	running = false;
	pthread_mutex_unlock(&lock);
	pthread_join(thread, NULL);
	while (connection_count > 0)
		close_connection(connection_count - 1);
	for (int i = 0; i < link_count; i++)
		close(links[i].fd);
}

/*
 * Listens on one address and forwards connections to another, both "IP:port".
 * Returns the id of the link, ERR_INVALID for a malformed address, ERR_IO if
 * the address cannot be listened on, or ERR_LIMIT for too many links.
 */
int
open_link(const char *listen_at, const char *target)
{
	struct sockaddr_in at;
	struct link *k;
	int one = 1, fd, id;

	if (parse_address(listen_at, &at) != 0)
		return ERR_INVALID;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	set_segments(fd);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		close(fd);
		return ERR_IO;
	}
	pthread_mutex_lock(&lock);
	id = link_count < SCENARIO_LINK_MAX ? link_count : ERR_LIMIT;
	if (id >= 0) {
		k = &links[id];
		memset(k, 0, sizeof(*k));
		k->fd = fd;
		if (parse_address(target, &k->target) != 0)
			id = ERR_INVALID;
		else
			link_count++;
	}
	pthread_mutex_unlock(&lock);
	if (id < 0)
		close(fd);
	return id;
}

/*
 * With late, a connection of a direction that passes again goes on after up to
 * as long as it was stalled, as after the growing pauses between
 * retransmissions.
 */
void
set_link(int id, enum link_mode forward, enum link_mode back, int delay_ms,
    bool late)
{
	pthread_mutex_lock(&lock);
	set_mode(id, 0, forward, late);
	set_mode(id, 1, back, late);
	links[id].delay_ns = delay_ms * NSEC_PER_MSEC;
	pthread_mutex_unlock(&lock);
}

/*
 * Adds a bandwidth for set_link_pipes(). Returns its id or ERR_LIMIT.
 */
int
add_link_pipe(int64_t bits_per_s)
{
	int id;

	pthread_mutex_lock(&lock);
	id = pipe_count < PIPES_MAX ? pipe_count++ : ERR_LIMIT;
	if (id > 0)
		pipes[id] = (struct pipe){bits_per_s / 8, 0};
	pthread_mutex_unlock(&lock);
	return id;
}

void
set_link_pipe(int id, int64_t bits_per_s)
{
	pthread_mutex_lock(&lock);
	pipes[id].bytes_per_s = bits_per_s / 8;
	pthread_mutex_unlock(&lock);
}

/*
 * Leads the two directions of a link through two bandwidths each, of the machine
 * that sends and of the one that receives.
 */
void
set_link_pipes(int id, const int forward[2], const int back[2])
{
	int bytes = LIMITED_KEPT_BYTES;

	pthread_mutex_lock(&lock);
	memcpy(links[id].pipes[0], forward, sizeof(links[id].pipes[0]));
	memcpy(links[id].pipes[1], back, sizeof(links[id].pipes[1]));
	/* Accepted sockets inherit it; a long queue would hide the limit. */
	setsockopt(links[id].fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	pthread_mutex_unlock(&lock);
}

/*
 * Loses a share of the chunks: they come after one or more retransmissions, and
 * nothing overtakes them.
 */
void
set_link_loss(int id, int permille)
{
	pthread_mutex_lock(&lock);
	links[id].loss_permille = permille;
	pthread_mutex_unlock(&lock);
}

/*
 * Leaves new connections without an answer, as behind a partition: the queue of
 * the listening socket is full. The kernel of the side that connects tries again
 * after 1, 3 and 7 s.
 */
void
cut_link(int id, bool cut)
{
	struct link *k = &links[id];
	struct sockaddr_in at;
	socklen_t len = sizeof(at);
	int fd;

	pthread_mutex_lock(&lock);
	if (cut && !k->cut) {
		listen(k->fd, 0);
		getsockname(k->fd, (struct sockaddr *)&at, &len);
		for (int i = 0; i < FILLERS; i++) {
			k->fillers[i] = socket(AF_INET,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			(void)connect(
			    k->fillers[i], (struct sockaddr *)&at, sizeof(at));
		}
	}
	if (!cut && k->cut) {
		for (int i = 0; i < FILLERS; i++)
			close(k->fillers[i]);
		while ((fd = accept4(k->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
			close(fd);
		listen(k->fd, BACKLOG);
	}
	k->cut = cut;
	pthread_mutex_unlock(&lock);
}

void
set_link_refuse(int id, bool refuse)
{
	pthread_mutex_lock(&lock);
	links[id].refuse = refuse;
	pthread_mutex_unlock(&lock);
}

/*
 * Stops forwarding on the open connections of a link for good, without closing
 * them. New connections are not affected.
 */
void
blackhole_link(int id)
{
	pthread_mutex_lock(&lock);
	for (int i = 0; i < connection_count; i++) {
		if (connections[i]->link == id)
			connections[i]->blackholed = true;
	}
	pthread_mutex_unlock(&lock);
}

/*
 * Closes the open connections of a link, with reset by a TCP reset at both ends.
 */
void
close_link_connections(int id, bool reset)
{
	struct linger none = {1, 0};

	pthread_mutex_lock(&lock);
	for (int i = connection_count - 1; i >= 0; i--) {
		if (connections[i]->link != id)
			continue;
		for (int side = 0; side < 2 && reset; side++)
			setsockopt(connections[i]->fds[side], SOL_SOCKET,
			    SO_LINGER, &none, sizeof(none));
		close_connection(i);
	}
	pthread_mutex_unlock(&lock);
}

struct link_bytes
get_link_bytes(int id)
{
	struct link_bytes b;

	pthread_mutex_lock(&lock);
	b = links[id].bytes;
	pthread_mutex_unlock(&lock);
	return b;
}

/*
 * link.open(listen, target) returns an id; link.set(id, forward, back,
 * delay_ms, late) takes the modes "pass" and "hold"; link.refuse(id, bool),
 * link.cut(id, bool), link.silence(id), link.break_now(id), link.reset(id),
 * link.loss(id, permille); link.pipe(bits_per_s) returns the id of a bandwidth,
 * link.set_pipe(pipe, bits_per_s) changes it, link.through(id, forward_1,
 * forward_2, back_1, back_2) takes two for each direction; link.bytes(id)
 * returns the bytes forward and back.
 */
void
load_link_library(lua_State *l)
{
	static const luaL_Reg functions[] = {
	    {"open", lua_open},
	    {"set", lua_set},
	    {"refuse", lua_refuse},
	    {"silence", lua_silence},
	    {"break_now", lua_break},
	    {"bytes", lua_bytes},
	    {"pipe", lua_pipe},
	    {"set_pipe", lua_set_pipe},
	    {"through", lua_through},
	    {"loss", lua_loss},
	    {"reset", lua_reset},
	    {"cut", lua_cut},
	    {NULL, NULL},
	};

	luaL_newlib(l, functions);
	lua_setglobal(l, "link");
}

/*
 * The thread of the links. Polls without the lock; if connections were closed
 * meanwhile, the results no longer match the list and are skipped.
 */
static void *
run_links(void *arg)
{
	static struct pollfd polls[SCENARIO_LINK_MAX + 2 * CONNECTIONS_MAX];
	int n, polled_links, polled_connections;

	(void)arg;
	for (;;) {
		pthread_mutex_lock(&lock);
		if (!running) {
			pthread_mutex_unlock(&lock);
			return NULL;
		}
		n = fill_polls(polls);
		polled_links = link_count;
		polled_connections = connection_count;
		pthread_mutex_unlock(&lock);
		poll(polls, (nfds_t)n, POLL_MS);
		pthread_mutex_lock(&lock);
		if (connection_count == polled_connections) {
			for (int i = 0; i < polled_connections; i++)
				forward_connection(connections[i],
				    &polls[polled_links + 2 * i]);
			for (int i = connection_count - 1; i >= 0; i--) {
				if (connections[i]->fds[0] < 0)
					close_connection(i);
			}
		}
		for (int i = 0; i < polled_links; i++) {
			if (polls[i].revents & POLLIN)
				accept_connection(i);
		}
		pthread_mutex_unlock(&lock);
	}
}

/*
 * Fills the poll list: first the listening sockets, then two sockets of each
 * connection. Stalled directions are not polled for input. Returns the number
 * of entries.
 */
static int
fill_polls(struct pollfd *polls)
{
	int64_t now = get_mono_ns();
	int n = 0;

	for (int i = 0; i < link_count; i++)
		polls[n++] = (struct pollfd){
		    links[i].fd, (short)(links[i].cut ? 0 : POLLIN), 0};
	for (int i = 0; i < connection_count; i++) {
		for (int side = 0; side < 2; side++) {
			const struct connection *conn = connections[i];
			const struct stream *s = &conn->streams[side];
			bool stalled =
			    conn->blackholed ||
			    links[conn->link].modes[side] == LINK_STALL ||
			    s->ended || now < s->resume_ns ||
			    (is_limited(&links[conn->link]) &&
				s->kept >= LIMITED_KEPT_BYTES);

			polls[n++] = (struct pollfd){
			    conn->fds[side], (short)(stalled ? 0 : POLLIN), 0};
		}
	}
	return n;
}

/*
 * Accepts a connection to a link and connects to the target; closes it if the
 * link refuses connections or the target is not reachable.
 */
static void
accept_connection(int id)
{
	struct link *k = &links[id];
	struct connection *conn;
	int one = 1, in, out;

	in = accept4(k->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (in < 0)
		return;
	out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	set_segments(out);
	conn = calloc(1, sizeof(*conn));
	if (k->refuse || connection_count == CONNECTIONS_MAX || conn == NULL ||
	    out < 0 ||
	    connect(out, (struct sockaddr *)&k->target, sizeof(k->target)) !=
		0) {
		close(in);
		if (out >= 0)
			close(out);
		free(conn);
		return;
	}
	fcntl(out, F_SETFL, O_NONBLOCK);
	setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->fds[0] = in;
	conn->fds[1] = out;
	conn->link = id;
	for (int side = 0; side < 2; side++)
		conn->streams[side].last = &conn->streams[side].first;
	connections[connection_count++] = conn;
}

/*
 * Moves bytes in both directions. A connection that has ended gets fds[0] = -1
 * and is removed by the caller.
 */
static void
forward_connection(struct connection *conn, const struct pollfd *polls)
{
	int64_t now = get_mono_ns();
	bool alive = true;

	for (int side = 0; side < 2 && alive; side++) {
		if (conn->blackholed || now < conn->streams[side].resume_ns)
			continue;
		if (links[conn->link].modes[side] == LINK_STALL)
			continue;
		if (polls[side].revents & (POLLIN | POLLHUP | POLLERR))
			alive = read_side(conn, side);
		if (alive)
			alive = write_side(conn, side, now);
	}
	if (alive)
		return;
	close(conn->fds[0]);
	close(conn->fds[1]);
	conn->fds[0] = conn->fds[1] = -1;
}

/*
 * Reads one chunk from a side into its stream. Returns false if the connection
 * must be closed.
 */
static bool
read_side(struct connection *conn, int side)
{
	struct stream *s = &conn->streams[side];
	struct link *k = &links[conn->link];
	size_t size = is_limited(k) ? LIMITED_CHUNK_BYTES : CHUNK_BYTES;
	struct chunk *c;
	ssize_t n;

	if (s->ended || (is_limited(k) && s->kept >= LIMITED_KEPT_BYTES))
		return true;
	c = malloc(sizeof(*c) + size);
	if (c == NULL)
		return false;
	n = read(conn->fds[side], c->data, size);
	if (n <= 0) {
		free(c);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		s->ended = n == 0;
		return n == 0;
	}
	c->next = NULL;
	c->due_ns = compute_due(k, side, (size_t)n);
	c->len = (size_t)n;
	s->kept += (size_t)n;
	c->sent = 0;
	*s->last = c;
	s->last = &c->next;
	if (side == 0)
		k->bytes.forward += (uint64_t)n;
	else
		k->bytes.back += (uint64_t)n;
	return true;
}

/*
 * Sends the due chunks of a side to the other one. Returns false if the
 * connection must be closed: after an error, or after the last chunk of a side
 * that closed.
 */
static bool
write_side(struct connection *conn, int side, int64_t now)
{
	struct stream *s = &conn->streams[side];
	int to = conn->fds[1 - side];
	struct chunk *c;
	ssize_t n;

	while ((c = s->first) != NULL && c->due_ns <= now) {
		n = send(to, c->data + c->sent, c->len - c->sent, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		c->sent += (size_t)n;
		s->kept -= (size_t)n;
		if (c->sent < c->len)
			return true;
		s->first = c->next;
		if (s->first == NULL)
			s->last = &s->first;
		free(c);
	}
	return !(s->ended && s->first == NULL);
}

/*
 * Closes and frees the connection at an index of the list; the last one takes
 * its place.
 */
static void
close_connection(int at)
{
	struct connection *conn = connections[at];

	if (conn->fds[0] >= 0) {
		close(conn->fds[0]);
		close(conn->fds[1]);
	}
	unload_stream(&conn->streams[0]);
	unload_stream(&conn->streams[1]);
	free(conn);
	connections[at] = connections[--connection_count];
}

static void
unload_stream(struct stream *s)
{
	struct chunk *c;

	while ((c = s->first) != NULL) {
		s->first = c->next;
		free(c);
	}
}

static void
set_segments(int fd)
{
	int bytes = SEGMENT_BYTES;

	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &bytes, sizeof(bytes));
}

static bool
is_limited(const struct link *k)
{
	return k->loss_permille > 0 || k->pipes[0][0] + k->pipes[0][1] > 0;
}

/*
 * Returns when bytes that were read now are to be sent: after the bandwidths and
 * the delay of the link, and later if they are lost.
 */
static int64_t
compute_due(struct link *k, int side, size_t len)
{
	int64_t now = get_mono_ns(), due = now, wait = RETRANSMIT_NS;

	for (int i = 0; i < 2; i++) {
		struct pipe *p = &pipes[k->pipes[side][i]];

		if (k->pipes[side][i] == 0)
			continue;
		if (p->free_ns < now)
			p->free_ns = now;
		p->free_ns += (int64_t)len * NSEC_PER_SEC / p->bytes_per_s;
		if (p->free_ns > due)
			due = p->free_ns;
	}
	for (int i = 0; i < RETRANSMITS_MAX &&
			draw_random(1000) < (uint32_t)k->loss_permille;
	     i++, wait *= 2)
		due += wait;
	return due + k->delay_ns;
}

static void
set_mode(int id, int side, enum link_mode mode, bool late)
{
	struct link *k = &links[id];
	int64_t now = get_mono_ns(), held;

	if (mode == k->modes[side])
		return;
	held = k->modes[side] == LINK_STALL ? now - k->held_ns[side] : 0;
	k->held_ns[side] = now;
	k->modes[side] = mode;
	for (int i = 0; i < connection_count && late; i++) {
		if (connections[i]->link == id)
			connections[i]->streams[side].resume_ns =
			    now + held * draw_random(1000) / 1000;
	}
}

/*
 * The generator is xorshift64; the lock protects its state.
 */
static uint32_t
draw_random(uint32_t below)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (uint32_t)(random_state >> 32) % below;
}

/*
 * Parses "IP:port". Returns ERR_INVALID if it is malformed.
 */
static int
parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	int64_t port;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (colon == NULL ||
	    copy_str(ip, sizeof(ip),
		make_str_n(text, (size_t)(colon - text))) != 0 ||
	    parse_i64(make_str(colon + 1), 0, 65535, &port) != 0 ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return ERR_INVALID;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

static int64_t
get_mono_ns(void)
{
	struct clock_source c = get_real_clock();

	return read_mono(&c);
}

static int
lua_open(lua_State *l)
{
	int id = open_link(luaL_checkstring(l, 1), luaL_checkstring(l, 2));

	if (id < 0)
		return luaL_error(l, "link.open %s: %s", lua_tostring(l, 1),
		    get_err_name(id));
	lua_pushinteger(l, id);
	return 1;
}

static int
lua_set(lua_State *l)
{
	static const char *const names[] = {"pass", "hold", NULL};

	set_link((int)luaL_checkinteger(l, 1),
	    (enum link_mode)luaL_checkoption(l, 2, NULL, names),
	    (enum link_mode)luaL_checkoption(l, 3, NULL, names),
	    (int)luaL_optinteger(l, 4, 0), lua_toboolean(l, 5));
	return 0;
}

static int
lua_pipe(lua_State *l)
{
	int id = add_link_pipe(luaL_checkinteger(l, 1));

	if (id < 0)
		return luaL_error(l, "link.pipe: %s", get_err_name(id));
	lua_pushinteger(l, id);
	return 1;
}

static int
lua_set_pipe(lua_State *l)
{
	set_link_pipe((int)luaL_checkinteger(l, 1), luaL_checkinteger(l, 2));
	return 0;
}

static int
lua_through(lua_State *l)
{
	int at[4];

	for (int i = 0; i < 4; i++)
		at[i] = (int)luaL_checkinteger(l, 2 + i);
	set_link_pipes((int)luaL_checkinteger(l, 1), at, at + 2);
	return 0;
}

static int
lua_loss(lua_State *l)
{
	set_link_loss(
	    (int)luaL_checkinteger(l, 1), (int)luaL_checkinteger(l, 2));
	return 0;
}

static int
lua_reset(lua_State *l)
{
	close_link_connections((int)luaL_checkinteger(l, 1), true);
	return 0;
}

static int
lua_cut(lua_State *l)
{
	cut_link((int)luaL_checkinteger(l, 1), lua_toboolean(l, 2));
	return 0;
}

static int
lua_refuse(lua_State *l)
{
	set_link_refuse((int)luaL_checkinteger(l, 1), lua_toboolean(l, 2));
	return 0;
}

static int
lua_silence(lua_State *l)
{
	blackhole_link((int)luaL_checkinteger(l, 1));
	return 0;
}

static int
lua_break(lua_State *l)
{
	close_link_connections((int)luaL_checkinteger(l, 1), false);
	return 0;
}

static int
lua_bytes(lua_State *l)
{
	struct link_bytes b = get_link_bytes((int)luaL_checkinteger(l, 1));

	lua_pushinteger(l, (lua_Integer)b.forward);
	lua_pushinteger(l, (lua_Integer)b.back);
	return 2;
}
