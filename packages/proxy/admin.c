/*
 * The admin listener: metrics, events, status, table and drain.
 */
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "call.h"

#define ADMIN_CONNECTIONS_MAX 64
#define ADMIN_IDLE_S 10 /* idle timeout of a connection */
#define ADMIN_HEADERS_MAX (16 * 1024) /* bytes for each request */

struct admin_page {
	const char *method;
	const char *path;
	const char *type;
	int (*render)(struct proxy *p, struct buf *out);
};

static int render_metric_page(struct proxy *p, struct buf *out);
static int render_event_page(struct proxy *p, struct buf *out);
static int request_drain(struct proxy *p, struct buf *out);
static enum MHD_Result handle_admin(void *cls, struct MHD_Connection *conn,
    const char *url, const char *method, const char *version, const char *data,
    size_t *size, void **state);
static enum MHD_Result send_page(
    struct MHD_Connection *conn, int status, const char *type, struct buf *out);

static const struct admin_page pages[] = {
    {"GET", "/metrics", "text/plain; version=0.0.4", render_metric_page},
    {"GET", "/events", "application/x-ndjson", render_event_page},
    {"GET", "/status", "application/json", render_proxy_status},
    {"GET", "/table", "text/csv", render_proxy_table},
    {"POST", "/drain", "application/json", request_drain},
};

/*
 * Starts the admin listener. Returns ERR_INVALID, ERR_IO or ERR_LIMIT.
 */
int
open_admin(struct proxy *p, struct fault *f)
{
	int fd;
	int rc = open_listener(p->admin_listen, &fd, &p->admin_port, f);

	if (rc != 0)
		return rc;
	p->admin = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC,
	    0, NULL, NULL, handle_admin, p, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)ADMIN_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)ADMIN_IDLE_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)ADMIN_HEADERS_MAX,
	    MHD_OPTION_END);
	if (p->admin != NULL)
		return 0;
	close(fd);
	return set_fault(f, ERR_LIMIT,
	    "the admin listener on %s did not start: raise the limits on "
	    "threads and open files",
	    p->admin_listen);
}

static int
render_metric_page(struct proxy *p, struct buf *out)
{
	(void)p;
	return render_metrics(out);
}

static int
render_event_page(struct proxy *p, struct buf *out)
{
	return p->cfg.events != NULL ? render_events(p->cfg.events, out) : 0;
}

/*
 * Only sets a flag; the main program polls it and shuts down.
 */
static int
request_drain(struct proxy *p, struct buf *out)
{
	ck_pr_store_8((uint8_t *)&p->drain_requested, true);
	return append_buf_str(out, make_str("{\"draining\":true}\n"));
}

/*
 * Called with the headers, with each piece of the body and at the end of the
 * request, which is answered by the matching page.
 */
static enum MHD_Result
handle_admin(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	static char headers_seen;
	struct buf out = {0};

	(void)version;
	(void)data;
	if (*state == NULL) {
		*state = &headers_seen;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0; /* request bodies are ignored */
		return MHD_YES;
	}
	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		const struct admin_page *pg = &pages[i];

		if (strcmp(pg->path, url) != 0)
			continue;
		if (strcmp(pg->method, method) != 0)
			return send_page(conn, 405, "text/plain", &out);
		if (pg->render(cls, &out) != 0)
			return send_page(conn, 500, "text/plain", &out);
		return send_page(conn, 200, pg->type, &out);
	}
	return send_page(conn, 404, "text/plain", &out);
}

/*
 * Sends a page and frees its buffer.
 */
static enum MHD_Result
send_page(
    struct MHD_Connection *conn, int status, const char *type, struct buf *out)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(out->len,
	    out->len > 0 ? out->data : (void *)"", MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	unload_buf(out);
	if (r == NULL)
		return MHD_NO;
	MHD_add_response_header(r, "Content-Type", type);
	rc = MHD_queue_response(conn, (unsigned int)status, r);
	MHD_destroy_response(r);
	return rc;
}
