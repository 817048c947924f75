/*
 * Structured logging. The calling thread formats a line and queues it in a ring
 * buffer; a dedicated writer thread drains the ring.
 */
#include "log.h"

#include <errno.h>
#include <math.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_NAME_BYTES 64
#define LOG_ID_START 64 /* bytes of an id before its hash */
#define RING_BYTES (128 * 1024) /* buffers lines while the reader is slow */
#define BATCH_BYTES (16 * 1024) /* drained from the ring at a time */
#define BATCH_DELAY_MS 10 /* lets several lines share one write */
#define RETRY_DELAY_MS 250 /* after a write that failed */
#define FLUSH_TIMEOUT_MS 250 /* for a blocked reader when the writer stops */
#define PIPE_CHUNK_BYTES 4096 /* one write to a writable pipe never blocks */

struct line {
	char text[GGS_LOG_LINE_BYTES];
	size_t len;
	bool cut; /* a field did not fit and was omitted */
};

struct writer {
	bool running;
	bool stopping;
	bool closed; /* the writer thread has ended; drop lines */
	int fd;
	pthread_t thread;
	char *ring;
	size_t head, len; /* offset and number of queued bytes */
	uint64_t dropped; /* lines, since process start */
	uint64_t reported; /* of these, counted in a log.dropped line */
};

/* What the writer thread has written. */
struct output {
	bool in_line; /* the last line has no end yet */
	bool cuts_line; /* and will not get the rest of it */
	bool skips_line; /* the next batch begins with the rest of a lost one */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* guards the rest */
static pthread_cond_t wake = PTHREAD_COND_INITIALIZER;
static char process_name[LOG_NAME_BYTES] = "greengagespur";
static enum log_level max_level = LOG_LEVEL_INFO;
static struct writer writer = {.fd = -1};

static void start_line(struct line *l, enum log_level level, const char *event);
static void end_line(struct line *l);
static void add_field(struct line *l, const struct log_field *f);
static void add_text(struct line *l, struct str text);
static void add_bytes(struct line *l, const char *bytes, size_t len);
static void enqueue_line(const char *line, size_t len);
static void report_dropped(void);
static void push_ring(const char *bytes, size_t len);
static void *run_writer(void *arg);
static size_t pop_ring(char *bytes, size_t size);
static bool write_batch(struct output *out, const char *bytes, size_t len);
static size_t write_bytes(const char *bytes, size_t len);
static const char *get_level_name(enum log_level level);

void
set_log_name(const char *name)
{
	pthread_mutex_lock(&lock);
	snprintf(process_name, sizeof(process_name), "%s", name);
	pthread_mutex_unlock(&lock);
}

void
set_log_level(enum log_level level)
{
	pthread_mutex_lock(&lock);
	max_level = level;
	pthread_mutex_unlock(&lock);
}

/*
 * Omits a field that would make the line longer than GGS_LOG_LINE_BYTES, and
 * marks the line with "cut". Writes to standard error while no writer runs.
 */
void
write_event(enum log_level level, const char *event,
    const struct log_field *fields, size_t count)
{
	struct line l;
	bool enabled;

	pthread_mutex_lock(&lock);
	enabled = level <= max_level;
	if (enabled)
		start_line(&l, level, event);
	pthread_mutex_unlock(&lock);
	if (!enabled)
		return;
	for (size_t i = 0; i < count; i++)
		add_field(&l, &fields[i]);
	end_line(&l);
	pthread_mutex_lock(&lock);
	if (writer.running)
		enqueue_line(l.text, l.len);
	else if (write(STDERR_FILENO, l.text, l.len) < 0) {
		/* A failing standard error cannot be reported. */
	}
	pthread_mutex_unlock(&lock);
}

/*
 * Two ids that differ anywhere get different texts, so that the lines of their
 * calls are not mixed up.
 */
const char *
format_log_id(char *out, struct str id)
{
	size_t n = 0; /* bytes at the start that a line can hold */

	while (n < id.len && n < LOG_ID_BYTES && id.data[n] >= ' ' &&
	       id.data[n] < 0x7f)
		n++;
	if (n == id.len && copy_str(out, LOG_ID_BYTES, id) == 0)
		return out;
	snprintf(out, LOG_ID_BYTES, "%.*s~%016llx",
	    (int)(n < LOG_ID_START ? n : LOG_ID_START), id.data,
	    (unsigned long long)hash_str(id, 0));
	return out;
}

/*
 * Truncates text to half of GGS_LOG_LINE_BYTES.
 */
void
write_log(enum log_level level, const char *fmt, ...)
{
	char text[GGS_LOG_LINE_BYTES / 2];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	WRITE_EVENT(level, "message", LOG_TEXT("text", text));
}

/*
 * Returns ERR_MEMORY or ERR_IO (no thread); lines then go to standard error.
 */
int
start_log_writer(int fd)
{
	sigset_t all, before;
	int rc;

	writer.ring = malloc(RING_BYTES);
	if (writer.ring == NULL)
		return ERR_MEMORY;
	writer.fd = fd;
	writer.head = writer.len = 0;
	writer.stopping = writer.closed = false;
	/* The main thread handles all signals. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	rc = pthread_create(&writer.thread, NULL, run_writer, NULL);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	if (rc != 0) {
		free(writer.ring);
		writer.ring = NULL;
		return ERR_IO;
	}
	pthread_mutex_lock(&lock);
	writer.running = true;
	pthread_mutex_unlock(&lock);
	return 0;
}

/*
 * Flushes the queued lines and joins the writer thread. Waits for a slow reader
 * for at most FLUSH_TIMEOUT_MS per batch.
 */
void
stop_log_writer(void)
{
	pthread_mutex_lock(&lock);
	if (!writer.running) {
		pthread_mutex_unlock(&lock);
		return;
	}
	writer.running = false;
	writer.stopping = true;
	pthread_cond_signal(&wake);
	pthread_mutex_unlock(&lock);
	pthread_join(writer.thread, NULL);
	free(writer.ring);
	writer.ring = NULL;
}

uint64_t
count_dropped_lines(void)
{
	uint64_t n;

	pthread_mutex_lock(&lock);
	n = writer.dropped;
	pthread_mutex_unlock(&lock);
	return n;
}

/*
 * Starts the JSON object with the common fields. Call with the lock held.
 */
static void
start_line(struct line *l, enum log_level level, const char *event)
{
	struct timespec ts;
	char stamp[32];
	struct tm tm;
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(l->text, sizeof(l->text),
	    "{\"time\":\"%s.%06ldZ\",\"level\":\"%s\",\"process\":\"%s\","
	    "\"pid\":%d,\"event\":\"%s\"",
	    stamp, (long)(ts.tv_nsec / NSEC_PER_USEC), get_level_name(level),
	    process_name, (int)getpid(), event);
	l->len = n > 0 ? (size_t)n : 0;
	l->cut = false;
}

/*
 * Closes the JSON object and the line; add_bytes() has left room for this.
 */
static void
end_line(struct line *l)
{
	static const char cut_field[] = ",\"cut\":true", suffix[] = "}\n";

	if (l->cut) {
		memcpy(l->text + l->len, cut_field, strlen(cut_field));
		l->len += strlen(cut_field);
	}
	memcpy(l->text + l->len, suffix, strlen(suffix));
	l->len += strlen(suffix);
}

/*
 * Adds a field as a whole, or omits it and marks the line as cut. Writes 0 for
 * a real number that is not finite.
 */
static void
add_field(struct line *l, const struct log_field *f)
{
	size_t start = l->len;
	bool was_cut = l->cut;
	char number[40];

	l->cut = false;
	add_bytes(l, ",\"", 2);
	add_bytes(l, f->name, strlen(f->name));
	add_bytes(l, "\":", 2);
	switch (f->type) {
	case LOG_TYPE_TEXT:
		add_text(l, f->text);
		break;
	case LOG_TYPE_BOOL:
		add_bytes(l, f->number != 0 ? "true" : "false",
		    f->number != 0 ? 4 : 5);
		break;
	case LOG_TYPE_INT:
		snprintf(number, sizeof(number), "%lld", (long long)f->number);
		add_bytes(l, number, strlen(number));
		break;
	case LOG_TYPE_REAL:
		snprintf(number, sizeof(number), "%.6g",
		    isfinite(f->real) ? f->real : 0);
		add_bytes(l, number, strlen(number));
		break;
	}
	if (l->cut)
		l->len = start;
	l->cut = l->cut || was_cut;
}

/*
 * Adds a JSON string. Replaces control and non-ASCII bytes by '?', so that a
 * value sent by a caller cannot break the line or forge another one.
 */
static void
add_text(struct line *l, struct str text)
{
	add_bytes(l, "\"", 1);
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if (c == '"' || c == '\\')
			add_bytes(l, "\\", 1);
		if (c < ' ' || c >= 0x7f)
			c = '?';
		add_bytes(l, (const char *)&c, 1);
	}
	add_bytes(l, "\"", 1);
}

/*
 * Appends bytes, or marks the line as cut when they do not fit.
 */
static void
add_bytes(struct line *l, const char *bytes, size_t len)
{
	/* Leave room for the "cut" field and the end of the line. */
	if (l->len + len > sizeof(l->text) - 16) {
		l->cut = true;
		return;
	}
	memcpy(l->text + l->len, bytes, len);
	l->len += len;
}

/*
 * Queues a line for the writer thread. Counts a line that does not fit as
 * dropped; the count is logged before the next line that fits. Call with the
 * lock held.
 */
static void
enqueue_line(const char *line, size_t len)
{
	if (writer.dropped > writer.reported)
		report_dropped();
	if (writer.closed || writer.dropped > writer.reported ||
	    writer.len + len > RING_BYTES) {
		writer.dropped++;
		return;
	}
	push_ring(line, len);
	pthread_cond_signal(&wake);
}

/*
 * Queues a log.dropped line with the number of lines not yet reported. Call
 * with the lock held.
 */
static void
report_dropped(void)
{
	struct line l;
	uint64_t n = writer.dropped - writer.reported;

	/* Wait until half the ring is free, so that more lines fit. */
	if (writer.len > RING_BYTES / 2)
		return;
	start_line(&l, LOG_LEVEL_WARNING, "log.dropped");
	add_field(&l, &LOG_INT("lines", n));
	end_line(&l);
	push_ring(l.text, l.len);
	writer.reported += n;
}

/*
 * Appends bytes to the ring, which must have room. Call with the lock held.
 */
static void
push_ring(const char *bytes, size_t len)
{
	size_t at = (writer.head + writer.len) % RING_BYTES;
	size_t first = RING_BYTES - at < len ? RING_BYTES - at : len;

	memcpy(writer.ring + at, bytes, first);
	memcpy(writer.ring, bytes + first, len - first);
	writer.len += len;
}

/*
 * Body of the writer thread: drains the ring until the writer is stopped. Lines
 * that cannot be written, for instance to a full disk or a closed pipe, are
 * counted as dropped.
 */
static void *
run_writer(void *arg)
{
	struct timespec batch_delay = {0, BATCH_DELAY_MS * NSEC_PER_MSEC};
	struct timespec retry_delay = {0, RETRY_DELAY_MS * NSEC_PER_MSEC};
	struct output out = {0};
	char batch[BATCH_BYTES];
	bool stopping, written = true;
	size_t n;

	(void)arg;
	do {
		pthread_mutex_lock(&lock);
		while (writer.len == 0 && !writer.stopping)
			pthread_cond_wait(&wake, &lock);
		stopping = writer.stopping;
		pthread_mutex_unlock(&lock);
		if (!stopping)
			nanosleep(written ? &batch_delay : &retry_delay, NULL);
		written = true;
		while (written && (n = pop_ring(batch, sizeof(batch))) > 0)
			written = write_batch(&out, batch, n);
	} while (!stopping);
	pthread_mutex_lock(&lock);
	writer.closed = true;
	writer.len = 0;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/*
 * Writes one batch, and before it the end of a line that an earlier one left
 * unfinished. Counts the lines that could not be written. A line that goes on in
 * the next batch is left out there. Returns whether all was written.
 */
static bool
write_batch(struct output *out, const char *bytes, size_t len)
{
	const char *end;
	uint64_t lines = 0;
	size_t done;

	if (out->skips_line) {
		end = memchr(bytes, '\n', len);
		if (end == NULL)
			return true;
		len -= (size_t)(end + 1 - bytes);
		bytes = end + 1;
		out->skips_line = false;
	}
	if (len == 0)
		return true;
	if (out->cuts_line && write_bytes("\n", 1) == 1)
		out->cuts_line = false;
	done = out->cuts_line ? 0 : write_bytes(bytes, len);
	if (done > 0)
		out->in_line = bytes[done - 1] != '\n';
	if (done == len)
		return true;
	out->cuts_line = out->in_line;
	for (size_t i = done; i < len; i++)
		lines += bytes[i] == '\n';
	out->skips_line = bytes[len - 1] != '\n';
	pthread_mutex_lock(&lock);
	writer.dropped += lines + out->skips_line;
	pthread_mutex_unlock(&lock);
	return false;
}

/*
 * Moves up to size bytes out of the ring. Returns their number.
 */
static size_t
pop_ring(char *bytes, size_t size)
{
	size_t n, first;

	pthread_mutex_lock(&lock);
	n = writer.len < size ? writer.len : size;
	first = RING_BYTES - writer.head < n ? RING_BYTES - writer.head : n;
	memcpy(bytes, writer.ring + writer.head, first);
	memcpy(bytes + first, writer.ring, n - first);
	writer.head = (writer.head + n) % RING_BYTES;
	writer.len -= n;
	pthread_mutex_unlock(&lock);
	return n;
}

/*
 * Writes bytes and returns how many. Waits for a slow reader without limit while
 * the process runs; once the writer stops, gives up after FLUSH_TIMEOUT_MS of
 * waiting. Gives up, too, when a write fails.
 */
static size_t
write_bytes(const char *bytes, size_t len)
{
	size_t done = 0;
	int waited = 0;

	while (done < len) {
		struct pollfd p = {.fd = writer.fd, .events = POLLOUT};
		size_t rest = len - done;
		ssize_t n;
		bool stopping;

		pthread_mutex_lock(&lock);
		stopping = writer.stopping;
		pthread_mutex_unlock(&lock);
		if (poll(&p, 1, BATCH_DELAY_MS) == 0) {
			waited += BATCH_DELAY_MS;
			if (stopping && waited >= FLUSH_TIMEOUT_MS)
				break;
			continue;
		}
		n = write(writer.fd, bytes + done,
		    rest < PIPE_CHUNK_BYTES ? rest : PIPE_CHUNK_BYTES);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			break;
		if (n > 0)
			done += (size_t)n;
	}
	return done;
}

static const char *
get_level_name(enum log_level level)
{
	switch (level) {
	case LOG_LEVEL_ERR:
		return "error";
	case LOG_LEVEL_WARNING:
		return "warning";
	case LOG_LEVEL_NOTICE:
		return "notice";
	case LOG_LEVEL_INFO:
		return "info";
	case LOG_LEVEL_DEBUG:
		break;
	}
	return "debug";
}
