/*
 * Base types of all packages: length-counted strings, errors with messages,
 * clock sources and seeded random numbers.
 */
#ifndef BASE_H
#define BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_config.h"

#define FAULT_TEXT_BYTES 320 /* longest error message, with NUL */
#define NSEC_PER_USEC 1000LL
#define NSEC_PER_MSEC 1000000LL
#define NSEC_PER_SEC 1000000000LL

/*
 * Error numbers are negative; zero is success. A function that returns int
 * returns one of these unless its comment says otherwise.
 */
enum err {
	ERR_NONE = 0,
	ERR_INVALID = -1, /* the input breaks a rule; fix the input */
	ERR_NOT_FOUND = -2, /* no such object */
	ERR_CONFLICT = -3, /* a concurrent change won; read again and retry */
	ERR_UNAVAILABLE = -4, /* no quorum or no peer; retry later */
	ERR_TIMEOUT = -5, /* no reply in time; the outcome is unknown */
	ERR_LIMIT = -6, /* a limit is reached; retry later */
	ERR_CORRUPT = -7, /* stored or received data fails its checksum */
	ERR_IO = -8, /* the operating system refused an operation */
	ERR_DENIED = -9, /* authentication failed */
	ERR_MEMORY = -10, /* out of memory */
	ERR_STALE = -11, /* an older version, term or incarnation */
	ERR_CLOSED = -12, /* the object is shutting down */
	ERR_UNKNOWN = -13, /* the operation may or may not have happened */
};

/* A borrowed string; data need not end in NUL. */
struct str {
	const char *data;
	size_t len;
};

/* A growing buffer that owns its memory; data ends in NUL once it is set. */
struct buf {
	char *data;
	size_t len;
	size_t cap;
};

/* An error with a message that names the remedy. */
struct fault {
	enum err kind;
	char text[FAULT_TEXT_BYTES];
};

/* The time source. Tests use a paused clock and advance it. */
struct clock_source {
	int64_t (*read_mono)(void *arg); /* monotonic time, ns */
	int64_t (*read_wall)(void *arg); /* time since the Unix epoch, ns */
	void *arg;
};

/* A paused clock: both readings move only by advance_clock(). */
struct paused_clock {
	int64_t mono_ns;
	int64_t wall_ns;
};

/* Seeded pseudo-random generator; equal seeds give equal sequences. */
struct rng {
	uint64_t state[2];
};

/* Strings */
struct str make_str(const char *s); /* borrows a C string; NULL: empty */
struct str make_str_n(const char *s, size_t len); /* borrows len bytes */
bool is_str_equal(struct str a, struct str b); /* bytewise */
int compare_str(struct str a, struct str b); /* like strcmp */
int copy_str(char *dst, size_t size, struct str s); /* adds NUL; ERR_LIMIT */
int parse_i64(struct str s, int64_t lo, int64_t hi, int64_t *out);
uint64_t hash_str(struct str s, uint64_t seed); /* not cryptographic */

/* Buffers */
int reserve_buf(struct buf *b, size_t more); /* grow by more free bytes */
int reserve_buf_within(struct buf *b, size_t more, size_t max); /* of len */
int append_buf(struct buf *b, const void *data, size_t len);
int append_buf_str(struct buf *b, struct str s);
int append_buf_fmt(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct str view_buf(const struct buf *b); /* valid until b changes */
void unload_buf(struct buf *b); /* free and reset */
void trim_buf(struct buf *b, size_t max); /* free if empty and larger */
size_t get_buf_bytes(void); /* capacities of all buffers; any thread */

/* Errors */
int set_fault(struct fault *f, enum err kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4))); /* returns kind */
const char *get_err_name(int kind); /* "conflict", ... */

/* Time */
struct clock_source get_real_clock(void);
/* Its read_mono counts suspensions of the VM, unlike the real clock's. */
struct clock_source get_boot_clock(void);
struct clock_source get_paused_clock(struct paused_clock *pc);
void advance_clock(struct paused_clock *pc, int64_t ns);
int64_t read_mono(const struct clock_source *c); /* ns */
int64_t read_wall(const struct clock_source *c); /* ns */

/* Random numbers */
void seed_rng(struct rng *r, uint64_t seed);
void seed_rng_random(struct rng *r); /* from the system's entropy */
uint64_t draw_u64(struct rng *r);
uint64_t draw_below(struct rng *r, uint64_t bound); /* 0..bound-1; 0 if 0 */
double draw_unit(struct rng *r); /* [0, 1) */

#endif
