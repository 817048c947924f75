/*
 * Clock sources: the system clocks, and a paused clock that tests advance.
 */
#include <time.h>

#include "base.h"

static int64_t read_system(clockid_t id);
static int64_t read_real_mono(void *arg);
static int64_t read_real_boot(void *arg);
static int64_t read_real_wall(void *arg);
static int64_t read_paused_mono(void *arg);
static int64_t read_paused_wall(void *arg);

struct clock_source
get_real_clock(void)
{
	return (struct clock_source){read_real_mono, read_real_wall, NULL};
}

struct clock_source
get_boot_clock(void)
{
	return (struct clock_source){read_real_boot, read_real_wall, NULL};
}

/*
 * Returns a source that reads pc, which must outlive it.
 */
struct clock_source
get_paused_clock(struct paused_clock *pc)
{
	return (struct clock_source){read_paused_mono, read_paused_wall, pc};
}

/*
 * Moves both readings of a paused clock forward by ns nanoseconds.
 */
void
advance_clock(struct paused_clock *pc, int64_t ns)
{
	pc->mono_ns += ns;
	pc->wall_ns += ns;
}

int64_t
read_mono(const struct clock_source *c)
{
	return c->read_mono(c->arg);
}

int64_t
read_wall(const struct clock_source *c)
{
	return c->read_wall(c->arg);
}

/*
 * Reads a system clock, in ns.
 */
static int64_t
read_system(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * NSEC_PER_SEC + ts.tv_nsec;
}

static int64_t
read_real_mono(void *arg)
{
	(void)arg;
	return read_system(CLOCK_MONOTONIC);
}

static int64_t
read_real_boot(void *arg)
{
	(void)arg;
	return read_system(CLOCK_BOOTTIME);
}

static int64_t
read_real_wall(void *arg)
{
	(void)arg;
	return read_system(CLOCK_REALTIME);
}

static int64_t
read_paused_mono(void *arg)
{
	return ((const struct paused_clock *)arg)->mono_ns;
}

static int64_t
read_paused_wall(void *arg)
{
	return ((const struct paused_clock *)arg)->wall_ns;
}
