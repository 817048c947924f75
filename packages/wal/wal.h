/*
 * The durable log of one member: segments of checksummed records, the hard
 * state and the newest snapshot, in one directory.
 */
#ifndef WAL_H
#define WAL_H

#include <sys/types.h>

#include "base.h"
#include "raft.h"

#define WAL_SEGMENT_BYTES (16 * 1024 * 1024) /* a segment this long ends */
#define WAL_RECORD_MAX (64 * 1024 * 1024) /* payload bytes of a record */
#define WAL_PATH_BYTES 512 /* a path with its NUL */

/*
 * File operations. Each returns a negative errno on failure. Tests replace
 * them to inject faults.
 */
struct wal_io {
	int (*make_dir)(void *arg, const char *path); /* 0 if it exists */
	int (*list_dir)(void *arg, const char *path,
	    void (*fn)(void *fn_arg, const char *name), void *fn_arg);
	/* Creates and locks a file until its handle is closed. */
	int (*lock_file)(void *arg, const char *path);
	int (*open_file)(void *arg, const char *path, int flags); /* handle */
	int (*close_file)(void *arg, int fd);
	ssize_t (*read_file)(
	    void *arg, int fd, void *data, size_t len, off_t at);
	ssize_t (*write_file)(
	    void *arg, int fd, const void *data, size_t len, off_t at);
	int (*truncate_file)(void *arg, int fd, off_t len);
	int (*sync_file)(void *arg, int fd);
	int (*rename_file)(void *arg, const char *from, const char *to);
	int (*remove_file)(void *arg, const char *path);
	int (*sync_dir)(void *arg, const char *path);
	void *arg;
};

struct wal_config {
	const char *dir; /* created when missing */
	uint64_t id; /* member that owns the directory */
	size_t segment_bytes; /* 0: WAL_SEGMENT_BYTES */
	const struct wal_io *io; /* NULL: the system's files */
};

struct wal_counters {
	uint64_t torn_records; /* cut when the log was opened */
	uint64_t appends;
	uint64_t append_bytes;
	uint64_t syncs;
	uint64_t segments; /* present now */
	uint64_t snapshots; /* written */
};

struct wal;

int open_wal(const struct wal_config *cfg, struct wal **out, struct fault *f);
void close_wal(struct wal *w);

/* Durable on return. After a failure every later call returns ERR_IO. */
int store_wal(struct wal *w, const struct raft_store *s, struct fault *f);
int save_wal_snapshot(
    struct wal *w, const struct raft_snapshot *s, struct fault *f);

const struct raft_stored *get_wal_stored(const struct wal *w); /* at open */
void unload_wal_stored(struct wal *w); /* frees what get_wal_stored() gave */
bool is_wal_empty(const struct wal *w); /* nothing was ever stored */
bool is_wal_failed(const struct wal *w);
struct wal_counters get_wal_counters(const struct wal *w);
struct wal_io get_system_io(void);

#endif
