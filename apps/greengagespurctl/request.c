/*
 * HTTP requests with libcurl.
 */
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "ctl.h"

#define URL_BYTES 1024
#define ANSWER_MAX_BYTES (64u * 1024 * 1024)

static size_t append_body(char *data, size_t size, size_t count, void *arg);
static struct curl_slist *make_headers(const struct ctl *c, const char *body);
static void set_options(
    struct ctl *c, CURL *h, const char *method, const char *body);

/*
 * Sends one request. Returns 0 for an answer of any HTTP status, and
 * ERR_UNAVAILABLE when there is none; out then has status 0 and the error as
 * its body. The caller frees out with unload_answer().
 */
int
request_address(struct ctl *c, const char *address, const char *method,
    const char *path, const char *body, struct answer *out)
{
	const char *scheme =
	    has_setting(c->settings, "tls-ca") ? "https" : "http";
	struct curl_slist *headers = make_headers(c, body);
	CURL *h = curl_easy_init();
	char url[URL_BYTES];
	CURLcode rc = CURLE_OUT_OF_MEMORY;

	unload_answer(out);
	if (h != NULL) {
		snprintf(url, sizeof(url), "%s://%s%s", scheme, address, path);
		set_options(c, h, method, body);
		curl_easy_setopt(h, CURLOPT_URL, url);
		curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
		curl_easy_setopt(h, CURLOPT_WRITEDATA, &out->body);
		rc = curl_easy_perform(h);
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &out->status);
		curl_easy_cleanup(h);
	}
	curl_slist_free_all(headers);
	if (rc == CURLE_OK)
		return 0;
	out->status = 0;
	out->body.len = 0;
	(void)append_buf_fmt(
	    &out->body, "%s: %s", address, curl_easy_strerror(rc));
	return ERR_UNAVAILABLE;
}

/*
 * Sends the request to one control process after the other until one answers
 * with a status other than 503. Edits carry an idempotency key, so resending
 * them is safe.
 */
int
request_control(struct ctl *c, const char *method, const char *path,
    const char *body, struct answer *out)
{
	int rc = ERR_UNAVAILABLE;

	for (size_t i = 0; i < c->control_count; i++) {
		rc =
		    request_address(c, c->controls[i], method, path, body, out);
		if (rc == 0 && out->status != 503)
			return 0;
	}
	return rc;
}

void
unload_answer(struct answer *a)
{
	unload_buf(&a->body);
	a->status = 0;
}

/*
 * Maps an HTTP status (0: no answer) to an exit status.
 */
enum ctl_exit
get_exit_status(long http_status)
{
	switch (http_status) {
	case 200:
	case 202:
		return CTL_OK;
	case 400:
	case 404:
	case 413:
	case 422:
		return CTL_INVALID;
	case 401:
	case 403:
		return CTL_DENIED;
	case 409:
		return CTL_CONFLICT;
	case 0:
	case 503:
	case 504:
		return CTL_UNAVAILABLE;
	default:
		return CTL_FAILED;
	}
}

/*
 * Callback of libcurl; 0 aborts the transfer.
 */
static size_t
append_body(char *data, size_t size, size_t count, void *arg)
{
	struct buf *b = arg;
	size_t n = size * count;

	if (b->len + n > ANSWER_MAX_BYTES || append_buf(b, data, n) != 0)
		return 0;
	return n;
}

static struct curl_slist *
make_headers(const struct ctl *c, const char *body)
{
	struct curl_slist *list = NULL;
	struct buf line = {0};

	if (body != NULL)
		list =
		    curl_slist_append(list, "Content-Type: application/json");
	if (c->token.len > 0 &&
	    append_buf_fmt(&line, "Authorization: Bearer %s", c->token.data) ==
		0)
		list = curl_slist_append(list, line.data);
	unload_buf(&line);
	return list;
}

static void
set_options(struct ctl *c, CURL *h, const char *method, const char *body)
{
	long timeout = (long)get_setting_number(c->settings, "timeout");

	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, timeout);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	if (has_setting(c->settings, "tls-ca"))
		curl_easy_setopt(
		    h, CURLOPT_CAINFO, get_setting(c->settings, "tls-ca"));
	if (body == NULL)
		return;
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
}
