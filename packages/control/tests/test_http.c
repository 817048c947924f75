/*
 * The operators' API over HTTP: tokens, status codes, limits and TLS.
 */
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>
#include <time.h>

#include "api.h"
#include "fleet_fixture.h"
#include "tests/metric_page.h"

struct http_case {
	const char *method;
	const char *path;
	const char *token;
	const char *body;
	int want; /* HTTP status code */
	const char *text; /* part of the answer */
};

#define TOKEN "0123456789abcdef"

static const struct http_case http_cases[] = {
    {"GET", "/v1/table", NULL, NULL, 401, "Bearer"},
    {"GET", "/v1/table", "fedcba9876543210", NULL, 401, "denied"},
    {"POST", "/v1/edit", NULL, "{}", 401, "denied"},
    {"GET", "/metrics", NULL, NULL, 401, "denied"},
    {"GET", "/v1/table", TOKEN, NULL, 200, "\"rows\":["},
    {"GET", "/v1/table?format=csv", TOKEN, NULL, 200, "kind,service,"},
    {"GET", "/v1/table?consistency=local", TOKEN, NULL, 200, "\"stale\":false"},
    {"GET", "/v1/history", TOKEN, NULL, 200, "\"author\":\"anna\""},
    {"GET", "/v1/diff?from=0&to=1", TOKEN, NULL, 200, "\"cells\":[{"},
    {"GET", "/v1/diff?from=0", TOKEN, NULL, 400, "invalid"},
    {"GET", "/v1/diff?from=0&to=99", TOKEN, NULL, 404, "not kept"},
    {"GET", "/v1/status", TOKEN, NULL, 200, "\"role\":\"voter\""},
    {"GET", "/v1/endpoints", TOKEN, NULL, 200, "\"endpoints\":["},
    {"GET", "/v1/timeline", TOKEN, NULL, 200, "\"kind\":\"version\""},
    {"GET", "/metrics", TOKEN, NULL, 200, "ggs_control_version 1"},
    {"GET", "/v1/nothing", TOKEN, NULL, 404, "not-found"},
    {"POST", "/v1/table", TOKEN, "", 405, "method"},
    {"POST", "/v1/edit", TOKEN, "no json", 400, "invalid"},
    {"POST", "/v1/edit", TOKEN, "{\"base\":1,\"key\":\"\"}", 400, "key"},
    {"POST", "/v1/edit", TOKEN, "{\"base\":1,\"key\":\"e\"}", 400, "column"},
    {"POST", "/v1/edit", TOKEN,
	"{\"base\":1,\"key\":\"f\",\"row\":\"a\",\"column\":\"rank\","
	"\"value\":\"99\"}",
	400, "rank"},
    {"POST", "/v1/edit", TOKEN,
	"{\"base\":1,\"key\":\"g\",\"row\":\"zz\",\"column\":\"rank\","
	"\"value\":\"9\"}",
	422, "no such row"},
    {"POST", "/v1/import", TOKEN, "{\"base\":1,\"key\":\"h\",\"csv\":\"x\"}",
	400, "error"},
    {"POST", "/v1/import", TOKEN, "{\"base\":0,\"key\":\"i\",\"csv\":\"x\"}",
	409, "read it again"},
    {"POST", "/v1/revert", TOKEN, "{\"base\":1,\"key\":\"j\",\"version\":7}",
	422, "not kept"},
    {"POST", "/v1/check", TOKEN, "{\"csv\":\"kind\\na\"}", 400, "error"},
    {"POST", "/v1/members", TOKEN, "{\"action\":\"x\"}", 400, "invalid"},
};

static const char *const page_prefixes[] = {
    "ggs_control_", "ggs_replica_", "ggs_wal_", "ggs_rpc_", NULL};

/*
 * Guards against requests that are served without a token, wrong status codes,
 * and metrics that the operations page does not list.
 */
START_TEST(operators_api_validates_every_request)
{
	char path[] = "/tmp/ggs-tokens-XXXXXX";
	int fd = mkstemp(path);
	static char large[API_BODY_MAX + 1];
	struct buf answer = {0};
	json_t *o = json_pack(
	    "{s:s,s:i,s:s}", "csv", FLEET_TABLE, "base", 0, "key", "k1");
	char *text = json_dumps(o, 0);

	ck_assert_int_eq(write(fd, "anna " TOKEN "\n", 22), 22);
	close(fd);
	open_fleet(1, 0, path);
	(void)wait_leader();
	ck_assert_int_eq(
	    send_json(0, "POST", "/v1/import", TOKEN, text, NULL), 200);
	for (size_t i = 0; i < sizeof(http_cases) / sizeof(http_cases[0]);
	     i++) {
		const struct http_case *c = &http_cases[i];
		int status = send_http(0, c->method, c->path, c->token, c->body,
		    c->body != NULL ? strlen(c->body) : 0, &answer);

		ck_assert_msg(status == c->want, "%s %s %s: %d %s", c->method,
		    c->path, c->body, status, answer.data);
		ck_assert_msg(strstr(answer.data, c->text) != NULL, "%s %s: %s",
		    c->method, c->path, answer.data);
	}
	ck_assert_int_eq(
	    send_http(0, "GET", "/metrics", TOKEN, NULL, 0, &answer), 200);
	check_metric_page(answer.data, page_prefixes);
	memset(large, ' ', sizeof(large));
	ck_assert_int_eq(send_http(0, "POST", "/v1/edit", TOKEN, large,
			     sizeof(large), &answer),
	    413);
	ck_assert_uint_eq(get_control_version(fleet.members[0].control), 1);
	unload_buf(&answer);
	free(text);
	json_decref(o);
	close_fleet();
	unlink(path);
}
END_TEST

/* Guards against an API without authentication on a non-loopback address. */
START_TEST(api_without_tokens_stays_on_loopback)
{
	struct control_config c = {.id = 1,
	    .rpc_listen = "127.0.0.1:0",
	    .http_listen = "0.0.0.0:0",
	    .peers = {"2=127.0.0.1:9"},
	    .peer_count = 1,
	    .key = make_str(FLEET_KEY),
	    .clock = get_real_clock()};
	struct control *control = NULL;
	struct fault f = {0};

	ck_assert_int_eq(start_control(&c, &control, &f), ERR_DENIED);
	ck_assert_ptr_nonnull(strstr(f.text, "token file"));
	c.http_listen = "127.0.0.1:0";
	ck_assert_msg(start_control(&c, &control, &f) == 0, "%s", f.text);
	stop_control(control);
}
END_TEST

static void
write_file(const char *path, const void *data, size_t len, mode_t mode)
{
	FILE *out = fopen(path, "we");

	ck_assert_ptr_nonnull(out);
	ck_assert_uint_eq(fwrite(data, 1, len, out), len);
	fclose(out);
	ck_assert_int_eq(chmod(path, mode), 0);
}

/* Writes a self-signed certificate and its key. */
static void
make_self_signed_certificate(const char *cert, const char *key)
{
	gnutls_x509_privkey_t k;
	gnutls_x509_crt_t c;
	gnutls_datum_t out = {0};
	time_t now = time(NULL);

	ck_assert_int_eq(gnutls_x509_privkey_init(&k), 0);
	ck_assert_int_eq(
	    gnutls_x509_privkey_generate(k, GNUTLS_PK_ECDSA,
		GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0),
	    0);
	ck_assert_int_eq(gnutls_x509_crt_init(&c), 0);
	gnutls_x509_crt_set_version(c, 3);
	gnutls_x509_crt_set_serial(c, "1", 1);
	gnutls_x509_crt_set_activation_time(c, now - 3600);
	gnutls_x509_crt_set_expiration_time(c, now + 3600);
	gnutls_x509_crt_set_ca_status(c, 1);
	gnutls_x509_crt_set_key(c, k);
	gnutls_x509_crt_set_dn_by_oid(
	    c, GNUTLS_OID_X520_COMMON_NAME, 0, "control", 7);
	ck_assert_int_eq(
	    gnutls_x509_crt_sign2(c, c, k, GNUTLS_DIG_SHA256, 0), 0);
	ck_assert_int_eq(
	    gnutls_x509_crt_export2(c, GNUTLS_X509_FMT_PEM, &out), 0);
	write_file(cert, out.data, out.size, 0644);
	gnutls_free(out.data);
	ck_assert_int_eq(
	    gnutls_x509_privkey_export2(k, GNUTLS_X509_FMT_PEM, &out), 0);
	write_file(key, out.data, out.size, 0600);
	gnutls_free(out.data);
	gnutls_x509_crt_deinit(c);
	gnutls_x509_privkey_deinit(k);
}

/* Sends GET /v1/status over TLS and returns the HTTP status code. */
static int
get_over_tls(size_t i, const char *cert)
{
	static const char request[] =
	    "GET /v1/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	gnutls_certificate_credentials_t trust;
	gnutls_session_t s;
	unsigned int bad = 1;
	char answer[64] = "";
	int fd = connect_http(i), rc;

	gnutls_certificate_allocate_credentials(&trust);
	ck_assert_int_eq(gnutls_certificate_set_x509_trust_file(
			     trust, cert, GNUTLS_X509_FMT_PEM),
	    1);
	gnutls_init(&s, GNUTLS_CLIENT);
	gnutls_set_default_priority(s);
	gnutls_credentials_set(s, GNUTLS_CRD_CERTIFICATE, trust);
	gnutls_transport_set_int(s, fd);
	do
		rc = gnutls_handshake(s);
	while (rc < 0 && gnutls_error_is_fatal(rc) == 0);
	ck_assert_msg(rc == 0, "%s", gnutls_strerror(rc));
	ck_assert_int_eq(gnutls_certificate_verify_peers2(s, &bad), 0);
	ck_assert_uint_eq(bad, 0);
	ck_assert_int_gt(
	    gnutls_record_send(s, request, sizeof(request) - 1), 0);
	ck_assert_int_gt(gnutls_record_recv(s, answer, sizeof(answer) - 1), 12);
	gnutls_deinit(s);
	gnutls_certificate_free_credentials(trust);
	close(fd);
	return atoi(answer + 9);
}

/* Guards against tokens and edits that are sent in plain text. */
START_TEST(tls_listener_refuses_plain_requests)
{
	char cert[64], key[64];
	struct control_config c;
	struct control *other = NULL;
	struct fault f = {0};

	open_fleet(1, 0, NULL);
	stop_member(0);
	snprintf(cert, sizeof(cert), "%s/cert.pem", fleet.root);
	snprintf(key, sizeof(key), "%s/key.pem", fleet.root);
	make_self_signed_certificate(cert, key);
	fleet.tls_cert_file = cert;
	fleet.tls_key_file = key;
	start_member(0);
	ck_assert_int_eq(get_over_tls(0, cert), 200);
	ck_assert_int_ne(
	    send_http(0, "GET", "/v1/status", NULL, "", 0, NULL), 200);
	stop_member(0);

	/* A key file that others can read, or a missing one, is refused. */
	ck_assert_int_eq(chmod(key, 0644), 0);
	c = make_config(0);
	ck_assert_int_eq(start_control(&c, &other, &f), ERR_DENIED);
	c.tls_key_file = NULL;
	ck_assert_int_eq(start_control(&c, &other, &f), ERR_INVALID);
	close_fleet();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http");
	TCase *t = tcase_create("http");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 110);
	tcase_add_test(t, api_without_tokens_stays_on_loopback);
	tcase_add_test(t, operators_api_validates_every_request);
	tcase_add_test(t, tls_listener_refuses_plain_requests);
	suite_add_tcase(suite, t);
	r = srunner_create(suite);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
