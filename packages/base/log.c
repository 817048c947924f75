/*
 * Log lines on standard error in the form that syslog collectors read:
 * "<severity>time name[pid]: message".
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base.h"

#define LOG_FACILITY_DAEMON (3 << 3) /* syslog facility number, shifted */
#define LOG_NAME_BYTES 64

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static char log_name[LOG_NAME_BYTES] = "greengagespur";
static enum log_level log_max_level = LOG_LEVEL_INFO;

void
set_log_name(const char *name)
{
	pthread_mutex_lock(&log_lock);
	snprintf(log_name, sizeof(log_name), "%s", name);
	pthread_mutex_unlock(&log_lock);
}

/*
 * Lines less severe than level are dropped.
 */
void
set_log_level(enum log_level level)
{
	pthread_mutex_lock(&log_lock);
	log_max_level = level;
	pthread_mutex_unlock(&log_lock);
}

/*
 * Writes one line with a single write call, cut to GGS_LOG_LINE_BYTES. Control
 * characters in the message become '?', so that a line stays a line.
 */
void
write_log(enum log_level level, const char *fmt, ...)
{
	char line[GGS_LOG_LINE_BYTES], stamp[32];
	struct timespec ts;
	struct tm tm;
	va_list ap;
	size_t at, n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	pthread_mutex_lock(&log_lock);
	if (level > log_max_level) {
		pthread_mutex_unlock(&log_lock);
		return;
	}
	at = (size_t)snprintf(line, sizeof(line),
	    "<%d>%s.%03ldZ %s[%d]: ", LOG_FACILITY_DAEMON | (int)level, stamp,
	    ts.tv_nsec / 1000000, log_name, (int)getpid());
	va_start(ap, fmt);
	vsnprintf(line + at, sizeof(line) - at - 1, fmt, ap);
	va_end(ap);
	n = strlen(line);
	for (size_t i = at; i < n; i++) {
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	}
	line[n++] = '\n';
	if (write(STDERR_FILENO, line, n) < 0) {
		/* nowhere left to report a failing standard error */
	}
	pthread_mutex_unlock(&log_lock);
}
