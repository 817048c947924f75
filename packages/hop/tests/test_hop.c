/*
 * Links between nodes: frames split over several reads, invalid frames, peers
 * that stop responding or reading.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hop.h"

#define MS NSEC_PER_MSEC
#define FRAMES_MAX 64

/* Callbacks that the owner of the link received. */
struct recorded {
	size_t frames;
	enum hop_type type[FRAMES_MAX];
	uint32_t stream[FRAMES_MAX];
	char payload[FRAMES_MAX][64];
	int close_count;
	char why[64];
	int unresponsive_count;
	int drained_count;
};

static struct reactor *reactor;
static struct hop_link *link_under_test;
static struct recorded recorded;
static int peer; /* the other end, a plain socket */

static void
record_frame(void *arg, const struct hop_frame *f)
{
	struct recorded *s = arg;

	ck_assert_uint_lt(s->frames, FRAMES_MAX);
	s->type[s->frames] = f->type;
	s->stream[s->frames] = f->stream;
	(void)copy_str(
	    s->payload[s->frames], sizeof(s->payload[0]), f->payload);
	s->frames++;
}

static void
record_close(void *arg, const char *why)
{
	struct recorded *s = arg;

	s->close_count++;
	(void)copy_str(s->why, sizeof(s->why), make_str(why));
}

static void
record_unresponsive(void *arg)
{
	((struct recorded *)arg)->unresponsive_count++;
}

static void
record_drained(void *arg)
{
	((struct recorded *)arg)->drained_count++;
}

static const struct hop_events events = {
    record_frame, record_close, record_unresponsive, record_drained};

static void
open_link_pair(void)
{
	struct clock_source clock = get_real_clock();
	int fd[2];

	memset(&recorded, 0, sizeof(recorded));
	ck_assert_int_eq(open_reactor(&clock, &reactor), 0);
	ck_assert_int_eq(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), 0);
	ck_assert_int_eq(
	    accept_hop(reactor, fd[0], &events, &recorded, &link_under_test),
	    0);
	peer = fd[1];
}

static void
close_link_pair(void)
{
	close_hop(link_under_test);
	run_reactor_round(reactor, 0);
	close_reactor(reactor);
	close(peer);
}

static void
run_for(int64_t ns)
{
	int64_t end = get_reactor_now(reactor) + ns;

	do
		run_reactor_round(reactor, 5);
	while (get_reactor_now(reactor) < end);
}

/* Writes a frame to out and returns its length in bytes. */
static size_t
make_frame(char *out, uint32_t type, uint32_t stream, const char *text)
{
	struct str payload = make_str(text);
	uint32_t head[3] = {
	    htonl((uint32_t)payload.len), htonl(type), htonl(stream)};

	memcpy(out, head, sizeof(head));
	if (payload.len > 0)
		memcpy(out + sizeof(head), payload.data, payload.len);
	return sizeof(head) + payload.len;
}

/* Guards against frames that are lost or merged when a read ends inside one. */
START_TEST(frames_are_reassembled_from_any_read_sizes)
{
	char bytes[256];
	size_t len = 0, step = (size_t)_i + 1;

	len += make_frame(bytes + len, HOP_OFFER, 7, "first");
	len += make_frame(bytes + len, HOP_CANCEL, 8, "");
	len += make_frame(bytes + len, HOP_BODY, 9, "third, a longer one");
	for (size_t at = 0; at < len; at += step) {
		size_t n = len - at < step ? len - at : step;

		ck_assert_int_eq(send(peer, bytes + at, n, 0), (ssize_t)n);
		run_reactor_round(reactor, 0);
	}
	run_reactor_round(reactor, 0);
	ck_assert_uint_eq(recorded.frames, 3);
	ck_assert_int_eq(recorded.type[0], HOP_OFFER);
	ck_assert_uint_eq(recorded.stream[0], 7);
	ck_assert_str_eq(recorded.payload[0], "first");
	ck_assert_int_eq(recorded.type[1], HOP_CANCEL);
	ck_assert_str_eq(recorded.payload[1], "");
	ck_assert_str_eq(recorded.payload[2], "third, a longer one");
	ck_assert_int_eq(recorded.close_count, 0);
}
END_TEST

struct invalid_head_case {
	uint32_t head[3]; /* length, type, stream */
	const char *want_why;
};

static const struct invalid_head_case invalid_head_cases[] = {
    {{0, 0, 1}, "damaged frame"},
    {{0, HOP_TYPE_END, 1}, "damaged frame"},
    {{0, 0x48545450, 1}, "damaged frame"},
    {{HOP_PAYLOAD_MAX + 1, HOP_BODY, 1}, "damaged frame"},
    {{UINT32_MAX, HOP_BODY, 1}, "damaged frame"},
};

/* Guards against an invalid frame header that is accepted. */
START_TEST(invalid_frame_closes_the_link)
{
	const struct invalid_head_case *c = &invalid_head_cases[_i];
	uint32_t head[3];

	for (int i = 0; i < 3; i++)
		head[i] = htonl(c->head[i]);
	ck_assert_int_eq(send(peer, head, sizeof(head), 0), sizeof(head));
	run_reactor_round(reactor, 0);
	ck_assert_int_eq(recorded.close_count, 1);
	ck_assert_str_eq(recorded.why, c->want_why);
	ck_assert_uint_eq(recorded.frames, 0);
}
END_TEST

struct bound_case {
	size_t target, head; /* bytes */
	bool sent;
};

static const struct bound_case bound_cases[] = {
    {1, 1, true},
    {HOP_TARGET_MAX, HOP_HEAD_MAX, true},
    {HOP_TARGET_MAX + 1, 1, false},
    {1, HOP_HEAD_MAX + 1, false},
};

/*
 * Guards against a message beyond its bounds that is sent as an empty one, with
 * its body.
 */
START_TEST(message_beyond_its_bounds_is_not_sent)
{
	static char bytes[HOP_HEAD_MAX + 1], sink[65536];
	const struct bound_case *c = &bound_cases[_i];
	static char none[1];
	struct hop_offer o = {.service = none,
	    .kind = none,
	    .method = none,
	    .caller_service = none};
	size_t got = 0;
	ssize_t n;

	o.target.target_val = o.head.head_val = bytes;
	o.target.target_len = (unsigned int)c->target;
	o.head.head_len = (unsigned int)c->head;
	send_hop(link_under_test, HOP_OFFER, 1, (xdrproc_t)xdr_hop_offer, &o,
	    make_str("body"));
	for (int i = 0; i < 200; i++) {
		run_reactor_round(reactor, 1);
		while ((n = recv(peer, sink, sizeof(sink), 0)) > 0)
			got += (size_t)n;
	}
	ck_assert_int_eq(recorded.close_count, 0);
	if (c->sent)
		ck_assert_uint_gt(got, c->target + c->head);
	else
		ck_assert_uint_eq(got, 0);
}
END_TEST

/* Guards against reads beyond the end of a truncated message. */
START_TEST(truncated_messages_are_rejected)
{
	struct hop_load load = {.state = HOP_STATE_READY, .limit = 3}, got;
	char bytes[256];
	struct str rest;
	XDR x;
	size_t len;

	xdrmem_create(&x, bytes, sizeof(bytes), XDR_ENCODE);
	ck_assert(xdr_hop_load(&x, &load));
	len = xdr_getpos(&x);
	xdr_destroy(&x);
	for (size_t n = 0; n < len; n++) {
		memset(&got, 0, sizeof(got));
		ck_assert_int_eq(decode_hop_message(make_str_n(bytes, n),
				     (xdrproc_t)xdr_hop_load, &got, &rest),
		    ERR_CORRUPT);
	}
	memset(&got, 0, sizeof(got));
	ck_assert_int_eq(decode_hop_message(make_str_n(bytes, len + 2),
			     (xdrproc_t)xdr_hop_load, &got, &rest),
	    0);
	ck_assert_int_eq(got.limit, 3);
	ck_assert_uint_eq(rest.len, 2);
}
END_TEST

/*
 * Guards against an unresponsive peer that goes unnoticed, an idle link that
 * is reported as unresponsive, and repeated reports of the same outage.
 */
START_TEST(unresponsive_peer_is_reported_once_while_busy)
{
	char bytes[64];
	uint32_t head[3];
	size_t len;

	run_for(HOP_UNRESPONSIVE_NS + 200 * MS);
	ck_assert_int_eq(recorded.unresponsive_count, 0);
	set_hop_busy(link_under_test, true);
	run_for(HOP_PING_NS + 150 * MS);
	ck_assert_int_eq(recv(peer, head, sizeof(head), 0), sizeof(head));
	ck_assert_uint_eq(ntohl(head[1]), HOP_PING);
	ck_assert_int_eq(recorded.unresponsive_count, 0);
	run_for(HOP_UNRESPONSIVE_NS);
	ck_assert_int_eq(recorded.unresponsive_count, 1);
	ck_assert(is_hop_unresponsive(link_under_test));
	run_for(HOP_UNRESPONSIVE_NS);
	ck_assert_int_eq(recorded.unresponsive_count, 1);
	len = make_frame(bytes, HOP_PONG, 0, "");
	ck_assert_int_eq(send(peer, bytes, len, 0), (ssize_t)len);
	run_reactor_round(reactor, 5);
	ck_assert(!is_hop_unresponsive(link_under_test));
	ck_assert_uint_eq(recorded.frames, 0);
}
END_TEST

/* Guards against unanswered pings, which make a node look unresponsive. */
START_TEST(pings_are_answered)
{
	char bytes[64];
	uint32_t head[3];
	size_t len = make_frame(bytes, HOP_PING, 0, "");

	ck_assert_int_eq(send(peer, bytes, len, 0), (ssize_t)len);
	run_for(20 * MS);
	ck_assert_int_eq(recv(peer, head, sizeof(head), 0), sizeof(head));
	ck_assert_uint_eq(ntohl(head[1]), HOP_PONG);
}
END_TEST

/* Guards against output to a slow reader that is lost or never resumed. */
START_TEST(output_resumes_when_the_peer_reads)
{
	static char piece[HOP_BODY_CHUNK_BYTES], sink[HOP_BODY_CHUNK_BYTES];
	size_t want = 64 * (sizeof(piece) + 12), got = 0;

	for (int i = 0; i < 64; i++)
		send_hop(link_under_test, HOP_BODY, 1, NULL, NULL,
		    make_str_n(piece, sizeof(piece)));
	run_for(20 * MS);
	ck_assert_uint_gt(get_hop_unsent(link_under_test), 0);
	ck_assert_int_eq(recorded.drained_count, 0);
	for (int i = 0; i < 2000 && got < want; i++) {
		ssize_t n = recv(peer, sink, sizeof(sink), 0);

		got += n > 0 ? (size_t)n : 0;
		run_reactor_round(reactor, 1);
	}
	ck_assert_uint_eq(got, want);
	ck_assert_uint_eq(get_hop_unsent(link_under_test), 0);
	ck_assert_int_eq(recorded.drained_count, 1);
}
END_TEST

/* Guards against a closed connection that goes unnoticed. */
START_TEST(closed_peer_is_reported)
{
	shutdown(peer, SHUT_RDWR);
	run_for(20 * MS);
	ck_assert_int_eq(recorded.close_count, 1);
}
END_TEST

struct address_case {
	const char *text;
	int want_rc;
};

static const struct address_case address_cases[] = {
    {"127.0.0.1:80", 0},
    {"127.0.0.1", ERR_INVALID},
    {"127.0.0.1:", ERR_INVALID},
    {"127.0.0.1:70000", ERR_INVALID},
    {"127.0.0.1:x", ERR_INVALID},
    {"host.example:80", ERR_INVALID},
    {"1234567890.1234567890:80", ERR_INVALID},
    {"", ERR_INVALID},
};

/* Guards against an invalid address that is used as a different one. */
START_TEST(addresses_are_checked)
{
	struct sockaddr_storage sa;
	socklen_t len;

	ck_assert_int_eq(parse_hop_address(address_cases[_i].text, &sa, &len),
	    address_cases[_i].want_rc);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("hop");
	TCase *t = tcase_create("hop");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_link_pair, close_link_pair);
	tcase_set_timeout(t, 20);
	tcase_add_loop_test(
	    t, frames_are_reassembled_from_any_read_sizes, 0, 40);
	tcase_add_loop_test(t, invalid_frame_closes_the_link, 0,
	    (int)(sizeof(invalid_head_cases) / sizeof(invalid_head_cases[0])));
	tcase_add_loop_test(t, message_beyond_its_bounds_is_not_sent, 0,
	    sizeof(bound_cases) / sizeof(bound_cases[0]));
	tcase_add_test(t, truncated_messages_are_rejected);
	tcase_add_test(t, unresponsive_peer_is_reported_once_while_busy);
	tcase_add_test(t, pings_are_answered);
	tcase_add_test(t, output_resumes_when_the_peer_reads);
	tcase_add_test(t, closed_peer_is_reported);
	tcase_add_loop_test(t, addresses_are_checked, 0,
	    (int)(sizeof(address_cases) / sizeof(address_cases[0])));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
