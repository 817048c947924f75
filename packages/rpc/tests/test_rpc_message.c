/*
 * Encoding and decoding of records, hellos and messages: what a decoder must
 * accept and refuse.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "rpc_message.h"
#include "rpc_stream.h"
#include "wire.h"

#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 200000
#define FUZZ_RECORD_MAX 512 /* bytes; longest record of the fuzz test */

static const char key_a[] = "fleet key a, 32 bytes of anything";
static const char key_b[] = "fleet key b, 32 bytes of anything";
static const char key_c[] = "fleet key c, 32 bytes of anything";

/* Both sides of a connection after the handshake. */
struct session_pair {
	struct rpc_session client;
	struct rpc_session server;
};

/* Exchanges hellos; the server accepts key1 and key2. Returns its verdict. */
static int
connect_pair(struct session_pair *p, const char *client_key, const char *key1,
    const char *key2)
{
	unsigned char challenge[RPC_CHALLENGE_BYTES], seen[RPC_CHALLENGE_BYTES];
	unsigned char nonce[RPC_NONCE_BYTES];
	struct rpc_keys own, accepted;
	struct buf out = {0};
	int rc;

	memset(challenge, 7, sizeof(challenge));
	memset(nonce, 9, sizeof(nonce));
	ck_assert_int_eq(
	    load_rpc_keys(&own, make_str(client_key), (struct str){NULL, 0}),
	    0);
	ck_assert_int_eq(
	    load_rpc_keys(&accepted, make_str(key1), make_str(key2)), 0);
	ck_assert_int_eq(encode_server_hello(challenge, &out), 0);
	ck_assert_int_eq(
	    decode_server_hello(
		make_str_n(out.data + RPC_MARK_BYTES, out.len - RPC_MARK_BYTES),
		seen),
	    0);
	out.len = 0;
	ck_assert_int_eq(
	    encode_client_hello(own.keys[0], seen, nonce, &out), 0);
	start_client_session(&p->client, own.keys[0], seen, nonce);
	rc = decode_client_hello(
	    make_str_n(out.data + RPC_MARK_BYTES, out.len - RPC_MARK_BYTES),
	    &accepted, challenge, &p->server);
	unload_buf(&out);
	return rc;
}

struct key_case {
	const char *client, *key1, *key2;
	int want;
};

static const struct key_case key_cases[] = {
    {key_a, key_a, NULL, 0},
    {key_a, key_b, key_a, 0},
    {key_b, key_b, key_a, 0},
    {key_a, key_b, NULL, ERR_DENIED},
    {key_c, key_a, key_b, ERR_DENIED},
};

/* Guards against a key rotation that refuses the old or the new key. */
START_TEST(only_accepted_keys_pass_the_hello)
{
	const struct key_case *c = &key_cases[_i];
	struct session_pair p;

	ck_assert_int_eq(
	    connect_pair(&p, c->client, c->key1, c->key2), c->want);
}
END_TEST

/* Guards against headers of another size than the overhead constants. */
START_TEST(message_round_trip_keeps_content_and_size)
{
	struct rpc_message m;
	struct buf out = {0};
	struct session_pair p;

	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	for (uint32_t i = 0; i < 3; i++) {
		out.len = 0;
		ck_assert_int_eq(encode_rpc_call(&p.client, 40 + i, 5,
				     make_str("ask"), &out),
		    0);
		ck_assert_uint_eq(out.len, RPC_CALL_OVERHEAD + 3);
		ck_assert_int_eq(
		    decode_rpc_call(&p.server, out.data + 4, out.len - 4, &m),
		    0);
		ck_assert_uint_eq(m.xid, 40 + i);
		ck_assert_uint_eq(m.proc, 5);
		ck_assert(is_str_equal(m.body, make_str("ask")));
		out.len = 0;
		ck_assert_int_eq(encode_rpc_reply(&p.server, m.xid, 0,
				     make_str("reply"), &out),
		    0);
		ck_assert_uint_eq(out.len, RPC_REPLY_OVERHEAD + 5);
		ck_assert_int_eq(
		    decode_rpc_reply(&p.client, out.data + 4, out.len - 4, &m),
		    0);
		ck_assert_uint_eq(m.xid, 40 + i);
		ck_assert(is_str_equal(m.body, make_str("reply")));
	}
	unload_buf(&out);
}
END_TEST

struct status_case {
	int sent, want;
};

static const struct status_case status_cases[] = {
    {0, 0},
    {ERR_NOT_FOUND, ERR_NOT_FOUND},
    {ERR_INVALID, ERR_INVALID},
    {ERR_LIMIT, ERR_LIMIT},
    {ERR_UNAVAILABLE, ERR_LIMIT},
};

/* Guards against a refusal that is decoded as a success or with a body. */
START_TEST(reply_status_survives_encoding)
{
	const struct status_case *c = &status_cases[_i];
	struct rpc_message m;
	struct buf out = {0};
	struct session_pair p;

	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	ck_assert_int_eq(
	    encode_rpc_reply(&p.server, 1, c->sent, make_str("b"), &out), 0);
	ck_assert_int_eq(
	    decode_rpc_reply(&p.client, out.data + 4, out.len - 4, &m), 0);
	ck_assert_int_eq(m.status, c->want);
	ck_assert_uint_eq(m.body.len, c->want == 0 ? 1 : 0);
	unload_buf(&out);
}
END_TEST

enum damage {
	TRUNCATED_HEADER,
	TRUNCATED_BODY,
	EXTENDED_BODY,
	FLIP_XID,
	FLIP_PROC,
	FLIP_BODY,
	FLIP_MAC,
	FLIP_COUNTER,
	WRONG_PROGRAM,
	WRONG_RPC_VERSION,
	WRONG_FLAVOR,
	LONG_CREDENTIAL,
	REPLY_AS_CALL,
	WRONG_KEY,
	REPLAYED_COUNTER,
	SKIPPED_COUNTER,
};

struct damage_case {
	const char *name;
	enum damage damage;
	int want;
};

static const struct damage_case damage_cases[] = {
    {"truncated header", TRUNCATED_HEADER, ERR_CORRUPT},
    {"truncated body", TRUNCATED_BODY, ERR_DENIED},
    {"extended body", EXTENDED_BODY, ERR_DENIED},
    {"changed xid", FLIP_XID, ERR_DENIED},
    {"changed procedure", FLIP_PROC, ERR_DENIED},
    {"changed body", FLIP_BODY, ERR_DENIED},
    {"changed hash", FLIP_MAC, ERR_DENIED},
    {"changed counter", FLIP_COUNTER, ERR_DENIED},
    {"other program", WRONG_PROGRAM, ERR_CORRUPT},
    {"other RPC version", WRONG_RPC_VERSION, ERR_CORRUPT},
    {"other flavor", WRONG_FLAVOR, ERR_CORRUPT},
    {"credential too long", LONG_CREDENTIAL, ERR_CORRUPT},
    {"reply sent as call", REPLY_AS_CALL, ERR_CORRUPT},
    {"other connection's key", WRONG_KEY, ERR_DENIED},
    {"replayed", REPLAYED_COUNTER, ERR_STALE},
    {"counter skipped", SKIPPED_COUNTER, ERR_STALE},
};

/* Damages the encoded call in out, or the session of its receiver. */
static void
damage_record(struct session_pair *p, enum damage d, struct buf *out)
{
	static const struct {
		size_t at;
		char xor ;
	} flips[] = {
	    [FLIP_XID] = {0, 1},
	    [FLIP_PROC] = {23, 1},
	    [FLIP_BODY] = {65, 1},
	    [FLIP_MAC] = {50, 1},
	    [FLIP_COUNTER] = {39, 3},
	    [WRONG_PROGRAM] = {15, 1},
	    [WRONG_RPC_VERSION] = {11, 1},
	    [WRONG_FLAVOR] = {27, 1},
	    [LONG_CREDENTIAL] = {28, 1},
	};
	struct rpc_message m;
	struct buf copy = {0};

	switch (d) {
	case TRUNCATED_HEADER:
		out->len = 4 + 40;
		break;
	case TRUNCATED_BODY:
		out->len--;
		break;
	case EXTENDED_BODY:
		ck_assert_int_eq(append_buf(out, "x", 1), 0);
		break;
	case REPLY_AS_CALL:
		out->len = 0;
		ck_assert_int_eq(encode_rpc_reply(&p->client, 1, 0,
				     make_str("0123456789abcdefghij"), out),
		    0);
		break;
	case WRONG_KEY:
		p->server.receive_key[0] ^= 1;
		break;
	case REPLAYED_COUNTER:
		ck_assert_int_eq(append_buf_str(&copy, view_buf(out)), 0);
		ck_assert_int_eq(decode_rpc_call(&p->server, copy.data + 4,
				     copy.len - 4, &m),
		    0);
		unload_buf(&copy);
		break;
	case SKIPPED_COUNTER:
		out->len = 0;
		ck_assert_int_eq(
		    encode_rpc_call(&p->client, 2, 5, make_str("next"), out),
		    0);
		break;
	default:
		out->data[4 + flips[d].at] ^= flips[d].xor ;
		break;
	}
}

/* Guards against accepting a message that differs from what the peer sent. */
START_TEST(damaged_call_is_refused)
{
	const struct damage_case *c = &damage_cases[_i];
	struct rpc_message m;
	struct buf out = {0};
	struct session_pair p;

	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	ck_assert_int_eq(
	    encode_rpc_call(&p.client, 1, 5, make_str("body"), &out), 0);
	damage_record(&p, c->damage, &out);
	ck_assert_msg(decode_rpc_call(
			  &p.server, out.data + 4, out.len - 4, &m) == c->want,
	    "%s", c->name);
	unload_buf(&out);
}
END_TEST

/* Guards against accepting one's own message, reflected, as a reply. */
START_TEST(reflected_message_is_refused)
{
	struct rpc_message m;
	struct buf out = {0};
	struct session_pair p;

	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	ck_assert_int_eq(
	    encode_rpc_reply(&p.client, 1, 0, make_str("own"), &out), 0);
	ck_assert_int_eq(
	    decode_rpc_reply(&p.client, out.data + 4, out.len - 4, &m),
	    ERR_DENIED);
	unload_buf(&out);
}
END_TEST

struct key_length_case {
	size_t len;
	int want;
};

static const struct key_length_case key_length_cases[] = {
    {0, ERR_INVALID},
    {RPC_KEY_MIN_BYTES - 1, ERR_INVALID},
    {RPC_KEY_MIN_BYTES, 0},
    {RPC_KEY_MAX_BYTES, 0},
    {RPC_KEY_MAX_BYTES + 1, ERR_INVALID},
};

/* Guards against using an empty or truncated key file as a key. */
START_TEST(key_length_is_checked)
{
	const struct key_length_case *c = &key_length_cases[_i];
	char key[RPC_KEY_MAX_BYTES + 1] = {0};
	struct rpc_keys k;

	ck_assert_int_eq(
	    load_rpc_keys(&k, make_str_n(key, c->len), (struct str){NULL, 0}),
	    c->want);
}
END_TEST

/* An rpc_limit_fn with one limit for all calls. */
static int
limit_head(void *arg, struct str head, size_t *max)
{
	uint32_t proc;

	(void)arg;
	*max = FUZZ_RECORD_MAX;
	return peek_rpc_call(head, &proc) == ERR_CORRUPT ? ERR_CORRUPT : 0;
}

/*
 * Passes input in two parts, split at cut, through the stream and the decoder.
 * Returns the number of messages accepted.
 */
static int
feed_records(struct rpc_session *s, struct str in, size_t cut)
{
	struct rpc_stream st;
	struct rpc_message m;
	char *record;
	size_t len;
	int count = 0, rc = 0;

	open_rpc_stream(&st, -1, 1);
	for (int part = 0; part < 2 && rc >= 0; part++) {
		struct str piece = part == 0 ?
				       make_str_n(in.data, cut) :
				       make_str_n(in.data + cut, in.len - cut);

		ck_assert_int_eq(append_buf_str(&st.in, piece), 0);
		while ((rc = pop_rpc_record(&st, FUZZ_RECORD_MAX, limit_head,
			    NULL, &record, &len)) == 1) {
			if (decode_rpc_call(s, record, len, &m) != 0) {
				rc = ERR_DENIED;
				break;
			}
			count++;
		}
		compact_rpc_stream(&st, count > 0, 2);
	}
	close_rpc_stream(&st);
	return count;
}

/*
 * Guards against a mutated byte stream that is accepted, crashes the decoder
 * or is read beyond its end (with the address sanitizer). The decoder must
 * refuse the first record that differs from what was sent.
 */
START_TEST(mutated_stream_is_refused)
{
	struct buf good = {0}, bad = {0};
	size_t first, ends[3];
	struct session_pair p;
	struct rng r;

	seed_rng(&r, FUZZ_SEED);
	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(
		    encode_rpc_call(&p.client, (uint32_t)i, 5,
			make_str_n("0123456789", (size_t)i * 3), &good),
		    0);
		ends[i] = good.len;
	}
	ck_assert_int_eq(
	    feed_records(&(struct rpc_session){0}, view_buf(&good), 10), 0);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		struct rpc_session s = p.server;
		int want = 0, n = 1 + (int)draw_below(&r, 4);

		bad.len = 0;
		ck_assert_int_eq(append_buf_str(&bad, view_buf(&good)), 0);
		first = draw_below(&r, bad.len);
		for (int k = 0; k < n; k++) {
			size_t at = first + draw_below(&r, bad.len - first);

			bad.data[k == 0 ? first : at] ^=
			    (char)(1 + draw_below(&r, 255));
		}
		while (want < 3 && memcmp(bad.data, good.data, ends[want]) == 0)
			want++;
		if (draw_below(&r, 4) == 0) {
			bad.len = draw_below(&r, bad.len);
			while (want > 0 && ends[want - 1] > bad.len)
				want--;
		}
		ck_assert_int_eq(feed_records(&s, view_buf(&bad),
				     draw_below(&r, bad.len + 1)),
		    want);
	}
	unload_buf(&good);
	unload_buf(&bad);
}
END_TEST

/* Guards against a sender that extends its time limit byte by byte. */
START_TEST(partial_record_time_starts_at_first_byte)
{
	struct rpc_stream st;
	struct buf out = {0};
	struct session_pair p;
	char *record;
	size_t len;

	ck_assert_int_eq(connect_pair(&p, key_a, key_a, NULL), 0);
	ck_assert_int_eq(
	    encode_rpc_call(&p.client, 1, 5, make_str("body"), &out), 0);
	open_rpc_stream(&st, -1, 1);
	for (size_t i = 0; i < out.len; i++) {
		int rc;

		ck_assert_int_eq(append_buf(&st.in, out.data + i, 1), 0);
		rc = pop_rpc_record(
		    &st, FUZZ_RECORD_MAX, limit_head, NULL, &record, &len);
		ck_assert_int_eq(rc, i + 1 == out.len);
		compact_rpc_stream(&st, rc > 0, 10 + (int64_t)i);
		ck_assert_int_eq(st.partial_since, rc > 0 ? 0 : 10);
	}
	close_rpc_stream(&st);
	unload_buf(&out);
}
END_TEST

#define ARRAY_SIZE(a) (int)(sizeof(a) / sizeof((a)[0]))

int
main(void)
{
	Suite *s = suite_create("rpc_message");
	TCase *t = tcase_create("messages");
	SRunner *run;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(
	    t, only_accepted_keys_pass_the_hello, 0, ARRAY_SIZE(key_cases));
	tcase_add_test(t, message_round_trip_keeps_content_and_size);
	tcase_add_loop_test(
	    t, reply_status_survives_encoding, 0, ARRAY_SIZE(status_cases));
	tcase_add_loop_test(
	    t, damaged_call_is_refused, 0, ARRAY_SIZE(damage_cases));
	tcase_add_test(t, reflected_message_is_refused);
	tcase_add_loop_test(
	    t, key_length_is_checked, 0, ARRAY_SIZE(key_length_cases));
	tcase_add_test(t, partial_record_time_starts_at_first_byte);
	tcase_add_test(t, mutated_stream_is_refused);
	suite_add_tcase(s, t);
	run = srunner_create(s);
	srunner_run_all(run, CK_ENV);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
