/*
 * Callers that leave while the node ends many calls at once: of a serving node
 * that has become silent, and of one whose link is lost.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_fixture.h"
#include "relay.h"

#define PIPELINED 4 /* calls on one connection */
#define CLIENTS 8
#define BYSTANDERS 130 /* more events than a reactor takes in one round */
#define SILENT_MS 700 /* after it a link counts as unresponsive */

static struct fixture fixture;
static struct relay *relay;

/* The only node of "svc" is behind a relay; node 2 is the entry node. */
static void
open_nodes(void)
{
	open_fixture(&fixture, 3);
	relay = open_relay(fixture.links[1]);
	clear_fake_endpoints(fixture.agent, "svc");
	add_fake_endpoint(fixture.agent, "svc", "node-1",
	    get_relay_address(relay), 4, WIRE_ENDPOINT_READY);
	set_fixture_table(&fixture, 2,
	    "slow,svc,1,10,0,100,15000,20000,1000,0,10,0,yes,0,64,30,"
	    "test.example,/slow/,,4,1000,20000\n");
	usleep(100000);
}

static void
close_nodes(void)
{
	if (relay != NULL)
		close_relay(relay);
	close_fixture(&fixture);
}

static void
send_bytes(int fd, struct str bytes)
{
	size_t at = 0;

	while (at < bytes.len) {
		ssize_t n =
		    send(fd, bytes.data + at, bytes.len - at, MSG_NOSIGNAL);

		ck_assert_int_gt(n, 0);
		at += (size_t)n;
	}
}

/* Sends calls of body bytes each on one connection, without waiting. */
static int
send_pipelined(const char *path, int calls, size_t body)
{
	int fd = connect_test_client(fixture.calls[2]);
	struct buf b = {0};

	ck_assert_int_ge(fd, 0);
	for (int i = 0; i < calls; i++)
		append_buf_fmt(&b,
		    "POST %s HTTP/1.1\r\nHost: test.example\r\n"
		    "Call-Id: call-%d\r\nContent-Length: %zu\r\n\r\n%*s",
		    path, i, body, (int)body, "");
	send_bytes(fd, view_buf(&b));
	unload_buf(&b);
	return fd;
}

/* Leaves by a reset, so that the next write to the connection fails. */
static void
reset_client(int fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static void
open_bystanders(int *fds)
{
	for (int i = 0; i < BYSTANDERS; i++) {
		fds[i] = connect_test_client(fixture.calls[2]);
		ck_assert_int_ge(fds[i], 0);
	}
	usleep(50000);
}

static void
check_entry_serves(void)
{
	struct test_reply reply;

	send_test_call(
	    fixture.ready[2], "GET", "/ready", "q", "", make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
}

struct leave_case {
	const char *what;
	const char *path;
	size_t body; /* above 16 KB it waits for a grant */
	bool lost; /* the silent link is lost, too */
};

static const struct leave_case leave_cases[] = {
    {"silent, bodies not sent", "/slow/silent", 20000, false},
    {"silent, may move to another node", "/read/silent", 10, false},
    {"silent, then lost", "/slow/silent", 10, true},
    {"silent, then lost, bodies not sent", "/slow/silent", 20000, true},
};

/*
 * Guards against using requests, or the link itself, after they were freed
 * because the write of another request's answer found its caller gone: the
 * crash of review/3. The callers' resets reach the node only after the round
 * that ends the calls, since other events come first.
 */
START_TEST(callers_leave_while_their_calls_are_ended)
{
	const struct leave_case *c = &leave_cases[_i];
	int client[CLIENTS], other[BYSTANDERS], hold;

	open_bystanders(other);
	for (int i = 0; i < CLIENTS; i++)
		client[i] = send_pipelined(c->path, PIPELINED, c->body);
	usleep(100000);
	set_relay_paused(relay, true);
	for (int i = 0; i < CLIENTS; i++) {
		int more = send_pipelined(c->path, PIPELINED, c->body);

		reset_client(client[i]);
		client[i] = more;
	}
	if (c->lost)
		usleep((SILENT_MS + 100) * 1000);
	else
		usleep(300000);
	hold = hold_fixture_node(&fixture, 2);
	if (c->lost) {
		set_relay_paused(relay, false);
		close_relay(relay);
		relay = NULL;
	}
	for (int i = 0; i < BYSTANDERS; i++)
		send_bytes(other[i], make_str("G"));
	for (int i = 0; i < CLIENTS; i++)
		reset_client(client[i]);
	usleep(SILENT_MS * 1000);
	release_fixture_node(hold);
	usleep(200000);
	check_entry_serves();
	for (int i = 0; i < BYSTANDERS; i++)
		close(other[i]);
}
END_TEST

#define MANY_CONNECTIONS 30
#define MANY_PIPELINED 12

/*
 * Guards against calls beyond a bound that stay on a silent link until their
 * deadline: only the first 256 were taken off it.
 */
START_TEST(all_calls_leave_a_silent_link)
{
	int client[MANY_CONNECTIONS];
	struct test_reply reply;

	send_test_call(fixture.calls[2], "GET", "/slow/ok", "first", "",
	    make_str(""), &reply);
	ck_assert_int_eq(reply.status, 200);
	unload_reply(&reply);
	set_relay_paused(relay, true);
	for (int i = 0; i < MANY_CONNECTIONS; i++)
		client[i] =
		    send_pipelined("/slow/silent", MANY_PIPELINED, 20000);
	for (int i = 0; i < MANY_CONNECTIONS; i++) {
		struct buf in = {0};
		int answers = 0;

		while (answers < MANY_PIPELINED) {
			char bytes[4096];
			ssize_t n = recv(client[i], bytes, sizeof(bytes), 0);

			ck_assert_msg(
			    n > 0, "%d answers of connection %d", answers, i);
			append_buf(&in, bytes, (size_t)n);
			answers = 0;
			for (const char *p = in.data;
			     (p = strstr(p, "HTTP/1.1 503")) != NULL; p++)
				answers++;
		}
		unload_buf(&in);
		close(client[i]);
	}
	check_entry_serves();
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("callers leave");
	TCase *t = tcase_create("callers leave");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, open_nodes, close_nodes);
	tcase_add_loop_test(t, callers_leave_while_their_calls_are_ended, 0,
	    sizeof(leave_cases) / sizeof(leave_cases[0]));
	tcase_add_test(t, all_calls_leave_a_silent_link);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
