/*
 * Formats and state of the log, shared by the source files of the package. All
 * numbers on disk are little-endian.
 */
#ifndef WAL_CORE_H
#define WAL_CORE_H

#include "wal.h"

#define RECORD_MAGIC 0x57534747u /* "GGSW" */
#define RECORD_HEADER_BYTES 32
#define RECORD_BATCH_BYTES (8 * 1024 * 1024) /* entry bytes of a record */
#define ENTRY_HEADER_BYTES 16
#define BATCH_HEADER_BYTES 12
#define RESET_BYTES 16
#define SEGMENT_INFO_BYTES 20
#define WAL_FORMAT 1
#define SECTOR_BYTES 512 /* a disk writes a sector whole or not at all */

enum record_type {
	RECORD_SEGMENT = 1, /* first of a segment: format, member, number */
	RECORD_BATCH = 2, /* entries, written and synced together */
	RECORD_RESET = 3, /* the log restarts after a snapshot */
};

enum record_result {
	RECORD_OK = 0,
	RECORD_END = 1, /* nothing after the last record */
	RECORD_TORN = 2, /* written in part when the power failed */
	RECORD_BAD = 3, /* damaged */
};

struct record {
	enum record_type type;
	uint64_t seq; /* grows by one over all segments */
	struct str payload;
	size_t size; /* with its header */
};

struct segment {
	uint64_t number;
	uint64_t max_last; /* highest index in it or before; 0 reset */
};

struct wal {
	char dir[WAL_PATH_BYTES];
	uint64_t id;
	size_t segment_bytes;
	struct wal_io io;
	struct wal_counters counters;
	bool failed;

	struct raft_hard_state hard;
	uint64_t snapshot_index;
	struct raft_stored stored; /* owns its memory */
	size_t stored_cap;
	uint64_t base; /* index before stored.entries while replaying */
	bool replaying; /* a batch or reset was read */

	struct segment *segments;
	size_t segment_count;
	size_t segment_cap;
	int lock; /* handle of the locked file, -1 none */
	int fd; /* last segment, -1 none */
	off_t end; /* where its next record goes */
	off_t last_record; /* where its last record starts */
	uint64_t next_seq;
	uint64_t max_last;
};

/* Records */
void put_u32(char *p, uint32_t v);
void put_u64(char *p, uint64_t v);
uint32_t get_u32(const char *p);
uint64_t get_u64(const char *p);
uint64_t hash_bytes(const char *p, size_t len, uint64_t seed);
int append_record(struct buf *b, enum record_type type, uint64_t seq,
    uint64_t segment, struct str payload);
enum record_result decode_record(struct str file, size_t at, uint64_t segment,
    uint64_t seq, struct record *out);

/* Files of the directory */
int fail_wal(struct wal *w, struct fault *f, const char *op, const char *name,
    int rc); /* for good; returns ERR_IO */
int damage_wal(struct fault *f, const char *name, const char *what);
int make_path(const struct wal *w, const char *name, char *path);
int read_whole_file(
    struct wal *w, const char *name, struct buf *out, struct fault *f);
int write_at(struct wal *w, int fd, struct str bytes, off_t at);
int replace_file(struct wal *w, const char *name, struct str a, struct str b,
    struct fault *f); /* temporary file, sync, rename, sync folder */
int remove_wal_file(struct wal *w, const char *name, struct fault *f);
void name_segment(uint64_t number, char *name);
void name_snapshot(uint64_t index, char *name);

/* Hard state and snapshot files */
int lock_wal(struct wal *w, struct fault *f); /* against other processes */
int load_hard_state(struct wal *w, struct fault *f); /* ERR_NOT_FOUND */
int save_hard_state(
    struct wal *w, struct raft_hard_state hard, struct fault *f);
int load_snapshot_file(struct wal *w, uint64_t index, struct fault *f);
int save_snapshot_file(
    struct wal *w, const struct raft_snapshot *s, struct fault *f);

/* Log */
int scan_dir(struct wal *w, uint64_t *snapshot, bool *has_snapshot,
    struct fault *f); /* finds segments, removes temporary files */
int replay_log(struct wal *w, struct fault *f);
int open_segment(struct wal *w, uint64_t number, struct fault *f); /* new */
int add_segment(struct wal *w, uint64_t number, uint64_t max_last);
int write_record(struct wal *w, enum record_type type, struct str payload,
    struct fault *f); /* and sync */
int write_reset(struct wal *w, uint64_t index, uint64_t term, struct fault *f);

#endif
