/*
 * File formats and state of the log, shared by the source files of the
 * package. All numbers on disk are little-endian.
 */
#ifndef WAL_CORE_H
#define WAL_CORE_H

#include "wal.h"

#define RECORD_MAGIC 0x57534747u /* "GGSW" */
#define RECORD_HEADER_BYTES 32
/* A batch record takes no further entry once it has this many bytes. */
#define RECORD_BATCH_BYTES (8 * 1024 * 1024)
#define ENTRY_HEADER_BYTES 16 /* term, type, data length */
#define BATCH_HEADER_BYTES 12 /* index of the first entry, entry count */
#define RESET_BYTES 16 /* index and term of the snapshot */
#define SEGMENT_INFO_BYTES 20 /* format, member id, segment number */
#define WAL_FORMAT 1
#define SECTOR_BYTES 512 /* written completely or not at all by a disk */

enum record_type {
	RECORD_SEGMENT = 1, /* first record of a segment */
	RECORD_BATCH = 2, /* consecutive log entries */
	RECORD_RESET = 3, /* discards all entries; the log follows a snapshot */
};

enum record_result {
	RECORD_OK = 0,
	RECORD_END = 1, /* end of the file */
	RECORD_TORN = 2, /* last record, partly written at a power cut */
	RECORD_CORRUPT = 3, /* damaged in any other way */
};

struct record {
	enum record_type type;
	uint64_t seq; /* sequence number, consecutive across segments */
	struct str payload; /* points into the segment's bytes */
	size_t size; /* bytes of header, payload and end byte */
};

struct segment {
	uint64_t number;
	/* Highest entry index up to its end since a reset; 0: none. */
	uint64_t max_index;
};

struct wal {
	char dir[WAL_PATH_BYTES];
	uint64_t id; /* Raft id of the member */
	size_t segment_bytes; /* size at which a segment ends */
	struct wal_io io;
	struct wal_counters counters;
	bool failed; /* no further writes, see fail_wal() */

	struct raft_hard_state hard;
	uint64_t snapshot_index; /* newest snapshot, set once opened */
	struct raft_stored stored; /* as read at start; owns its memory */
	size_t entry_cap;
	uint64_t base_index; /* index before stored.entries, during replay */
	bool has_base; /* base_index comes from a batch or reset record */

	struct segment *segments; /* by number */
	size_t segment_count;
	size_t segment_cap;
	int lock_fd; /* handle of the lock file; -1: none */
	int segment_fd; /* last segment; -1: none */
	off_t segment_end; /* offset of its next record */
	off_t last_record; /* offset of its last record */
	uint64_t next_seq; /* sequence number of the next record */
	uint64_t max_index; /* highest entry index since the last reset */
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
    int rc); /* until it is opened again; returns ERR_IO */
int set_damage_fault(struct fault *f, const char *name, const char *reason);
int make_path(const struct wal *w, const char *name,
    char *path); /* path: WAL_PATH_BYTES; ERR_LIMIT */
int read_whole_file(
    struct wal *w, const char *name, struct buf *out, struct fault *f);
int write_at(struct wal *w, int fd, struct str bytes, off_t at);
int replace_file(struct wal *w, const char *name, struct str a, struct str b,
    struct fault *f); /* temporary file, sync, rename, sync directory */
int remove_wal_file(struct wal *w, const char *name, struct fault *f);
/* Both write up to WAL_PATH_BYTES to name. */
void format_segment_name(uint64_t number, char *name);
void format_snapshot_name(uint64_t index, char *name);

/* Hard state and snapshot files */
int lock_wal(struct wal *w, struct fault *f); /* ERR_CONFLICT: in use */
int load_hard_state(struct wal *w, struct fault *f); /* ERR_NOT_FOUND: none */
int save_hard_state(
    struct wal *w, struct raft_hard_state hard, struct fault *f);
int load_snapshot_file(struct wal *w, uint64_t index, struct fault *f);
int save_snapshot_file(
    struct wal *w, const struct raft_snapshot *s, struct fault *f);

/* Log */
/*
 * Lists the segments and removes temporary files. old_snapshots gets the index
 * of each snapshot file but the newest, as uint64_t; the caller unloads it.
 */
int scan_dir(struct wal *w, uint64_t *snapshot, bool *has_snapshot,
    struct buf *old_snapshots, struct fault *f);
int replay_log(struct wal *w, struct fault *f);
int open_segment(struct wal *w, uint64_t number, struct fault *f); /* creates */
int add_segment(struct wal *w, uint64_t number, uint64_t max_index);
int write_record(struct wal *w, enum record_type type, struct str payload,
    struct fault *f); /* synced on return */
int write_reset(struct wal *w, uint64_t index, uint64_t term, struct fault *f);

#endif
