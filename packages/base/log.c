/*
 * Lines are formatted by the thread that writes them and put into a ring, which
 * a thread of its own empties.
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
#define RING_BYTES (128 * 1024) /* lines that wait for a slow reader */
#define WRITE_BYTES (16 * 1024) /* handed to the system at a time */
#define GATHER_MS 10 /* after the first line, so that lines share a write */
#define FLUSH_MS 250 /* longest wait for a reader when the writer stops */
#define PIPE_CHUNK 4096 /* a pipe that polls as writable takes them at once */

struct line {
	char text[GGS_LOG_LINE_BYTES];
	size_t len;
	bool cut; /* a field did not fit and was left out */
};

struct writer {
	bool running;
	bool stopping;
	bool closed; /* nobody reads fd any more */
	int fd;
	pthread_t thread;
	char *ring;
	size_t head, len; /* first byte and number of bytes that wait */
	uint64_t dropped; /* lines, since the start */
	uint64_t told; /* of these, already reported in a line */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of all below */
static pthread_cond_t wake = PTHREAD_COND_INITIALIZER;
static char process_name[LOG_NAME_BYTES] = "greengagespur";
static enum log_level most = LOG_LEVEL_INFO;
static struct writer writer = {.fd = -1};

static void start_line(struct line *l, enum log_level level, const char *event);
static void end_line(struct line *l);
static void add_field(struct line *l, const struct log_field *f);
static void add_text(struct line *l, struct str text);
static void add_bytes(struct line *l, const char *bytes, size_t len);
static void put_line(const char *line, size_t len);
static void report_dropped(void);
static void copy_in(const char *bytes, size_t len);
static void *run_writer(void *arg);
static size_t take_out(char *bytes, size_t size);
static bool write_out(const char *bytes, size_t len);
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
	most = level;
	pthread_mutex_unlock(&lock);
}

/*
 * A field that would make the line longer than GGS_LOG_LINE_BYTES is left out,
 * and the line says so.
 */
void
write_event(enum log_level level, const char *event,
    const struct log_field *fields, size_t count)
{
	struct line l;
	bool wanted;

	pthread_mutex_lock(&lock);
	wanted = level <= most;
	if (wanted)
		start_line(&l, level, event);
	pthread_mutex_unlock(&lock);
	if (!wanted)
		return;
	for (size_t i = 0; i < count; i++)
		add_field(&l, &fields[i]);
	end_line(&l);
	pthread_mutex_lock(&lock);
	if (writer.running)
		put_line(l.text, l.len);
	else if (write(STDERR_FILENO, l.text, l.len) < 0) {
		/* Nowhere is left to report a failing standard error. */
	}
	pthread_mutex_unlock(&lock);
}

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
	/* Signals are for the main thread. */
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
 * Under the lock, which guards the name.
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

static void
end_line(struct line *l)
{
	static const char mark[] = ",\"cut\":true", suffix[] = "}\n";

	if (l->cut) {
		memcpy(l->text + l->len, mark, strlen(mark));
		l->len += strlen(mark);
	}
	memcpy(l->text + l->len, suffix, strlen(suffix));
	l->len += strlen(suffix);
}

static void
add_field(struct line *l, const struct log_field *f)
{
	size_t before = l->len;
	bool cut = l->cut;
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
		l->len = before;
	l->cut = l->cut || cut;
}

/*
 * Bytes that JSON does not take as they are become '?', so that a line stays a
 * line whatever a caller sent.
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

static void
add_bytes(struct line *l, const char *bytes, size_t len)
{
	/* Room for the mark of a cut line and its end. */
	if (l->len + len > sizeof(l->text) - 16) {
		l->cut = true;
		return;
	}
	memcpy(l->text + l->len, bytes, len);
	l->len += len;
}

/*
 * Under the lock. A line that does not fit is counted; the count goes out
 * before the next line that fits.
 */
static void
put_line(const char *line, size_t len)
{
	if (writer.dropped > writer.told)
		report_dropped();
	if (writer.closed || writer.dropped > writer.told ||
	    writer.len + len > RING_BYTES) {
		writer.dropped++;
		return;
	}
	copy_in(line, len);
	pthread_cond_signal(&wake);
}

static void
report_dropped(void)
{
	struct line l;
	uint64_t n = writer.dropped - writer.told;

	/* Half empty, so that the report is not the only line that fits. */
	if (writer.len > RING_BYTES / 2)
		return;
	start_line(&l, LOG_LEVEL_WARNING, "log.dropped");
	add_field(&l, &LOG_INT("lines", n));
	end_line(&l);
	copy_in(l.text, l.len);
	writer.told += n;
}

static void
copy_in(const char *bytes, size_t len)
{
	size_t at = (writer.head + writer.len) % RING_BYTES;
	size_t first = RING_BYTES - at < len ? RING_BYTES - at : len;

	memcpy(writer.ring + at, bytes, first);
	memcpy(writer.ring, bytes + first, len - first);
	writer.len += len;
}

static void *
run_writer(void *arg)
{
	struct timespec gather = {0, GATHER_MS * NSEC_PER_MSEC};
	char bytes[WRITE_BYTES];
	bool open = true, stopping;
	size_t n;

	(void)arg;
	do {
		pthread_mutex_lock(&lock);
		while (writer.len == 0 && !writer.stopping)
			pthread_cond_wait(&wake, &lock);
		stopping = writer.stopping;
		pthread_mutex_unlock(&lock);
		if (!stopping)
			nanosleep(&gather, NULL);
		while (open && (n = take_out(bytes, sizeof(bytes))) > 0)
			open = write_out(bytes, n);
	} while (open && !stopping);
	pthread_mutex_lock(&lock);
	writer.closed = true;
	writer.len = 0;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static size_t
take_out(char *bytes, size_t size)
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
 * Waits for a slow reader as long as the process runs, and FLUSH_MS when it
 * stops. Returns false when nothing more can be written.
 */
static bool
write_out(const char *bytes, size_t len)
{
	int waited = 0;

	while (len > 0) {
		struct pollfd p = {.fd = writer.fd, .events = POLLOUT};
		ssize_t n;
		bool stopping;

		pthread_mutex_lock(&lock);
		stopping = writer.stopping;
		pthread_mutex_unlock(&lock);
		if (poll(&p, 1, GATHER_MS) == 0) {
			waited += GATHER_MS;
			if (stopping && waited >= FLUSH_MS)
				return false;
			continue;
		}
		n = write(
		    writer.fd, bytes, len < PIPE_CHUNK ? len : PIPE_CHUNK);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return false;
		if (n > 0) {
			bytes += n;
			len -= (size_t)n;
		}
	}
	return true;
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
