/*
 * The write-ahead log of one Raft member: segments of checksummed records, the
 * hard state (term and vote) and the newest snapshot, in one directory.
 */
#ifndef WAL_H
#define WAL_H

#include <sys/types.h>

#include "base.h"
#include "raft.h"

#define WAL_SEGMENT_BYTES (16 * 1024 * 1024) /* size at which a segment ends */
#define WAL_RECORD_MAX (64 * 1024 * 1024) /* payload bytes of one record */
#define WAL_PATH_BYTES 512 /* longest path, with NUL */

/*
 * File operations. Each returns a negative errno on failure. Tests replace
 * them to inject I/O errors and power cuts.
 */
struct wal_io {
	int (*make_dir)(void *arg, const char *path); /* 0 if it exists */
	/* Calls fn for each name that does not start with a dot. */
	int (*list_dir)(void *arg, const char *path,
	    void (*fn)(void *fn_arg, const char *name), void *fn_arg);
	/*
	 * Creates the file if needed and locks it until the returned handle is
	 * closed; -EWOULDBLOCK if another process has locked it.
	 */
	int (*lock_file)(void *arg, const char *path);
	int (*open_file)(void *arg, const char *path, int flags); /* a handle */
	int (*close_file)(void *arg, int fd);
	/* Both may transfer fewer bytes; reading returns 0 at the end. */
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
	const char *dir; /* created if missing */
	uint64_t id; /* Raft id of the member that owns the directory */
	size_t segment_bytes; /* 0: WAL_SEGMENT_BYTES */
	const struct wal_io *io; /* NULL: get_system_io() */
};

struct wal_counters {
	uint64_t torn_records; /* cut off when the log was opened */
	uint64_t appends; /* records written */
	uint64_t append_bytes;
	uint64_t syncs;
	uint64_t segments; /* current number of segment files */
	uint64_t snapshots; /* saved since the log was opened */
};

struct wal;

int open_wal(const struct wal_config *cfg, struct wal **out, struct fault *f);
void close_wal(struct wal *w);

/*
 * Both are durable on return. Once the log has failed, every later call returns
 * ERR_IO; closing and opening it again ends that.
 */
int store_wal(struct wal *w, const struct raft_store *s, struct fault *f);
int save_wal_snapshot(
    struct wal *w, const struct raft_snapshot *s, struct fault *f);

/* State and entries as read by open_wal(), until unload_wal_stored(). */
const struct raft_stored *get_wal_stored(const struct wal *w);
void unload_wal_stored(struct wal *w); /* frees them */
bool is_wal_empty(const struct wal *w); /* nothing was ever stored */
bool has_wal_failed(const struct wal *w); /* until it is opened again */
/* Writes and removes a small file in the directory. ERR_IO or ERR_LIMIT. */
int probe_wal_disk(const struct wal_config *cfg, struct fault *f);
struct wal_counters get_wal_counters(const struct wal *w);
struct wal_io get_system_io(void); /* operations on real files */

#endif
