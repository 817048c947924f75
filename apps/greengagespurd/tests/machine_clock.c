/*
 * A layer below the daemon's clocks that shifts them, as machines do whose time
 * of day is wrong or stepped, or that are suspended. Linked into
 * greengagespurd_machine, whose calls it replaces by symbol. GGS_CLOCK_SWITCH
 * names a file whose words say how; an empty or missing file: not at all.
 *
 *   wall_ms=N: added to the time of day
 *   suspended_ms=N: time that the steady clock has not counted; the time of day
 *     and CLOCK_BOOTTIME have
 *
 * To suspend a process, it is stopped, the word is raised by the length of the
 * stop, and it is continued.
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL
#define SWITCH_BYTES 256
#define READ_INTERVAL_NS (2 * NS_PER_MS) /* between looks at the switch */
/* A clock with an earlier time is the steady one: 2001 for the time of day. */
#define WALL_FROM_S 1000000000LL

static _Atomic int64_t wall_ns, suspended_ns;
static _Atomic int64_t read_at = -READ_INTERVAL_NS;

static int64_t read_kernel(clockid_t id);
static void read_switch(int64_t now);
static int64_t get_shift(clockid_t id, int64_t now);
static int64_t read_shifted(clockid_t id);
static struct timespec make_timespec(int64_t ns);

int
clock_gettime(clockid_t id, struct timespec *out)
{
	long rc = syscall(SYS_clock_gettime, id, out);

	if (rc == 0)
		*out = make_timespec(read_shifted(id));
	return (int)rc;
}

int
gettimeofday(struct timeval *restrict out, void *restrict zone)
{
	int64_t ns = read_shifted(CLOCK_REALTIME);

	(void)zone;
	out->tv_sec = ns / NS_PER_S;
	out->tv_usec = ns % NS_PER_S / 1000;
	return 0;
}

time_t
time(time_t *out)
{
	time_t s = read_shifted(CLOCK_REALTIME) / NS_PER_S;

	if (out != NULL)
		*out = s;
	return s;
}

/*
 * Waits until a time of the shifted clock, which the kernel does not know.
 */
int
pthread_cond_timedwait(pthread_cond_t *restrict cond,
    pthread_mutex_t *restrict mutex, const struct timespec *restrict until)
{
	clockid_t id =
	    until->tv_sec >= WALL_FROM_S ? CLOCK_REALTIME : CLOCK_MONOTONIC;
	struct timespec kernel =
	    make_timespec(until->tv_sec * NS_PER_S + until->tv_nsec -
			  get_shift(id, read_kernel(CLOCK_BOOTTIME)));

	return pthread_cond_clockwait(cond, mutex, id, &kernel);
}

static int64_t
read_kernel(clockid_t id)
{
	struct timespec t = {0};

	(void)syscall(SYS_clock_gettime, id, &t);
	return t.tv_sec * NS_PER_S + t.tv_nsec;
}

/*
 * Reads the switch again when the last look is old. The time of a stop is
 * longer than the interval, so that all threads see the new words after it.
 */
static void
read_switch(int64_t now)
{
	const char *path = getenv("GGS_CLOCK_SWITCH");
	char text[SWITCH_BYTES] = "", *word, *rest = text;
	int64_t wall = 0, suspended = 0;
	ssize_t n = -1;
	int fd = -1;

	if (now - atomic_load(&read_at) < READ_INTERVAL_NS)
		return;
	if (path != NULL)
		fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY, 0);
	if (fd >= 0) {
		n = syscall(SYS_read, fd, text, sizeof(text) - 1);
		(void)syscall(SYS_close, fd);
	}
	text[n > 0 ? n : 0] = '\0';
	while ((word = strtok_r(rest, " \n", &rest)) != NULL) {
		if (strncmp(word, "wall_ms=", 8) == 0)
			wall = atoll(word + 8) * NS_PER_MS;
		if (strncmp(word, "suspended_ms=", 13) == 0)
			suspended = atoll(word + 13) * NS_PER_MS;
	}
	atomic_store(&wall_ns, wall);
	atomic_store(&suspended_ns, suspended);
	atomic_store(&read_at, now);
}

static int64_t
get_shift(clockid_t id, int64_t now)
{
	read_switch(now);
	switch (id) {
	case CLOCK_REALTIME:
	case CLOCK_REALTIME_COARSE:
		return atomic_load(&wall_ns);
	case CLOCK_MONOTONIC:
	case CLOCK_MONOTONIC_COARSE:
	case CLOCK_MONOTONIC_RAW:
		return -atomic_load(&suspended_ns);
	default:
		return 0;
	}
}

/*
 * Reads the clock and its shift at one moment: a stop between the two would let
 * the steady clock step.
 */
static int64_t
read_shifted(clockid_t id)
{
	int64_t ns, shift, before;

	do {
		before = get_shift(id, read_kernel(CLOCK_BOOTTIME));
		ns = read_kernel(id);
		shift = get_shift(id, read_kernel(CLOCK_BOOTTIME));
	} while (shift != before);
	return ns + shift;
}

static struct timespec
make_timespec(int64_t ns)
{
	struct timespec t = {ns / NS_PER_S, ns % NS_PER_S};

	if (t.tv_nsec < 0) {
		t.tv_nsec += NS_PER_S;
		t.tv_sec--;
	}
	return t;
}
