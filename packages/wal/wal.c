/*
 * The write-ahead log: opening, appending and compaction.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wal_core.h"

#define PROBE_NAME "probe"
#define PROBE_BYTES (16 * 1024)

static int load_wal(struct wal *w, struct fault *f);
static int store_entries(
    struct wal *w, const struct raft_store *s, struct fault *f);
static int load_files(
    struct wal *w, struct buf *old_snapshots, struct fault *f);
static int discard_empty_log(struct wal *w, struct fault *f);
static int remove_old_snapshot(struct wal *w, uint64_t index, struct fault *f);
static int remove_old_segments(struct wal *w, struct fault *f);

/*
 * Opens the directory and reads hard state, snapshot and log. A torn last
 * record is cut off. Returns ERR_CORRUPT for any other damage, ERR_INVALID when
 * the directory belongs to another member, ERR_CONFLICT when another process
 * uses it, ERR_DENIED when it cannot be created there, ERR_IO when a file
 * operation fails, ERR_LIMIT when the path is too long and ERR_MEMORY. The caller closes *out with close_wal().
 */
int
open_wal(const struct wal_config *cfg, struct wal **out, struct fault *f)
{
	struct wal *w = calloc(1, sizeof(*w));
	int rc;

	if (w == NULL)
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory");
	w->segment_fd = -1;
	w->lock_fd = -1;
	w->id = cfg->id;
	w->segment_bytes =
	    cfg->segment_bytes != 0 ? cfg->segment_bytes : WAL_SEGMENT_BYTES;
	w->io = cfg->io != NULL ? *cfg->io : get_system_io();
	rc = copy_str(w->dir, sizeof(w->dir), make_str(cfg->dir));
	if (rc != 0)
		rc = set_fault(f, ERR_LIMIT,
		    "the path of the data directory is too long; use a "
		    "shorter one");
	if (rc == 0)
		rc = load_wal(w, f);
	if (rc != 0) {
		close_wal(w);
		if (rc == ERR_MEMORY)
			set_fault(f, ERR_MEMORY,
			    "out of memory; give the process more memory");
		return rc;
	}
	w->stored.hard = w->hard;
	*out = w;
	return 0;
}

void
close_wal(struct wal *w)
{
	if (w == NULL)
		return;
	if (w->segment_fd >= 0)
		w->io.close_file(w->io.arg, w->segment_fd);
	if (w->lock_fd >= 0)
		w->io.close_file(w->io.arg, w->lock_fd);
	unload_wal_stored(w);
	free(w->segments);
	free(w);
}

/*
 * Writes and syncs one unit of storage work of the Raft core, in the order hard
 * state, snapshot, entries. After a crash in between, only the first of them
 * may be on disk. Returns ERR_IO, or ERR_MEMORY when out of memory.
 */
int
store_wal(struct wal *w, const struct raft_store *s, struct fault *f)
{
	int rc = 0;

	if (w->failed)
		return set_fault(
		    f, ERR_IO, "the log has failed; open it again");
	if (s->has_hard)
		rc = save_hard_state(w, s->hard, f);
	if (rc == 0 && s->snapshot != NULL) {
		uint64_t old_snapshot = w->snapshot_index;

		rc = save_snapshot_file(w, s->snapshot, f);
		if (rc == 0)
			rc = write_reset(
			    w, s->snapshot->index, s->snapshot->term, f);
		if (rc == 0) {
			w->snapshot_index = s->snapshot->index;
			w->counters.snapshots++;
			rc = remove_old_snapshot(w, old_snapshot, f);
		}
		if (rc == 0)
			rc = remove_old_segments(w, f);
	}
	if (rc == 0 && s->entry_count > 0)
		rc = store_entries(w, s, f);
	return rc;
}

/*
 * Saves a snapshot of this member's own state machine, then removes the
 * previous snapshot and the segments that the new one covers. The log keeps the
 * entries after the snapshot. Returns ERR_IO or ERR_MEMORY.
 */
int
save_wal_snapshot(struct wal *w, const struct raft_snapshot *s, struct fault *f)
{
	uint64_t old_snapshot = w->snapshot_index;
	int rc = save_snapshot_file(w, s, f);

	if (rc != 0)
		return rc;
	w->snapshot_index = s->index;
	w->counters.snapshots++;
	rc = remove_old_snapshot(w, old_snapshot, f);
	return rc == 0 ? remove_old_segments(w, f) : rc;
}

const struct raft_stored *
get_wal_stored(const struct wal *w)
{
	return &w->stored;
}

void
unload_wal_stored(struct wal *w)
{
	for (size_t i = 0; i < w->stored.entry_count; i++)
		free((char *)(uintptr_t)w->stored.entries[i].data.data);
	free((void *)(uintptr_t)w->stored.entries);
	free((char *)(uintptr_t)w->stored.snapshot.data.data);
	w->stored = (struct raft_stored){0};
	w->entry_cap = 0;
}

/*
 * Returns whether the directory has never stored a term, an entry, a snapshot
 * or the members of a bootstrap.
 */
bool
is_wal_empty(const struct wal *w)
{
	return w->hard.term == 0 && w->max_index == 0 &&
	       w->snapshot_index == 0 && w->stored.snapshot.members.count == 0;
}

bool
has_wal_failed(const struct wal *w)
{
	return w->failed;
}

/*
 * Tells whether the disk works again before everything is read and written anew
 * by open_wal().
 */
int
probe_wal_disk(const struct wal_config *cfg, struct fault *f)
{
	static const char zeros[PROBE_BYTES];
	struct wal w = {.lock_fd = -1, .segment_fd = -1};
	int rc = copy_str(w.dir, sizeof(w.dir), make_str(cfg->dir));

	if (rc != 0)
		return rc;
	w.io = cfg->io != NULL ? *cfg->io : get_system_io();
	rc = replace_file(&w, PROBE_NAME, make_str_n(zeros, sizeof(zeros)),
	    make_str_n(NULL, 0), f);
	return rc == 0 ? remove_wal_file(&w, PROBE_NAME, f) : rc;
}

struct wal_counters
get_wal_counters(const struct wal *w)
{
	struct wal_counters c = w->counters;

	c.segments = w->segment_count;
	return c;
}

/*
 * Appends a segment to the list in memory. Returns ERR_MEMORY when out of
 * memory.
 */
int
add_segment(struct wal *w, uint64_t number, uint64_t max_index)
{
	struct segment *grown;
	size_t cap;

	if (w->segment_count == w->segment_cap) {
		cap = w->segment_cap != 0 ? w->segment_cap * 2 : 16;
		grown = realloc(w->segments, cap * sizeof(*grown));
		if (grown == NULL)
			return ERR_MEMORY;
		w->segments = grown;
		w->segment_cap = cap;
	}
	w->segments[w->segment_count++] = (struct segment){number, max_index};
	return 0;
}

/*
 * Creates a segment and makes it the one that records are appended to. Its
 * first record and its directory entry are synced before any other record is
 * written. Returns ERR_IO, ERR_LIMIT or ERR_MEMORY.
 */
int
open_segment(struct wal *w, uint64_t number, struct fault *f)
{
	char name[WAL_PATH_BYTES], path[WAL_PATH_BYTES];
	char payload[SEGMENT_INFO_BYTES];
	int rc;

	format_segment_name(number, name);
	rc = make_path(w, name, path);
	if (rc == 0)
		rc = add_segment(w, number, w->max_index);
	if (rc != 0)
		return rc;
	if (w->segment_fd >= 0)
		w->io.close_file(w->io.arg, w->segment_fd);
	w->segment_fd =
	    w->io.open_file(w->io.arg, path, O_RDWR | O_CREAT | O_TRUNC);
	if (w->segment_fd < 0)
		return fail_wal(w, f, "create", name, w->segment_fd);
	w->segment_end = 0;
	if (w->next_seq == 0)
		w->next_seq = 1;
	put_u32(payload, WAL_FORMAT);
	put_u64(payload + 4, w->id);
	put_u64(payload + 12, number);
	rc = write_record(
	    w, RECORD_SEGMENT, make_str_n(payload, sizeof(payload)), f);
	if (rc != 0)
		return rc;
	rc = w->io.sync_dir(w->io.arg, w->dir);
	return rc != 0 ? fail_wal(w, f, "sync", w->dir, rc) : 0;
}

/*
 * Appends one record to the last segment and syncs it. At most one record is
 * not yet synced, so only the last record can be torn. After an error, ERR_IO
 * or ERR_MEMORY, the log has to be opened again.
 */
int
write_record(
    struct wal *w, enum record_type type, struct str payload, struct fault *f)
{
	struct segment *s = &w->segments[w->segment_count - 1];
	char name[WAL_PATH_BYTES];
	struct buf b = {0};
	int rc;

	rc = append_record(&b, type, w->next_seq, s->number, payload);
	if (rc != 0) {
		unload_buf(&b);
		w->failed = true;
		return set_fault(f, ERR_MEMORY,
		    "out of memory; give the process more memory and "
		    "restart it");
	}
	format_segment_name(s->number, name);
	rc = write_at(w, w->segment_fd, view_buf(&b), w->segment_end);
	if (rc != 0) {
		unload_buf(&b);
		return fail_wal(w, f, "write", name, rc);
	}
	rc = w->io.sync_file(w->io.arg, w->segment_fd);
	w->counters.syncs++;
	w->counters.appends++;
	w->counters.append_bytes += b.len;
	w->last_record = w->segment_end;
	w->segment_end += (off_t)b.len;
	w->next_seq++;
	unload_buf(&b);
	return rc != 0 ? fail_wal(w, f, "sync", name, rc) : 0;
}

/*
 * Writes a reset record: the log starts again after the snapshot of index and
 * term. Returns ERR_IO or ERR_MEMORY.
 */
int
write_reset(struct wal *w, uint64_t index, uint64_t term, struct fault *f)
{
	char payload[RESET_BYTES];
	int rc;

	put_u64(payload, index);
	put_u64(payload + 8, term);
	rc = write_record(
	    w, RECORD_RESET, make_str_n(payload, sizeof(payload)), f);
	if (rc != 0)
		return rc;
	/* Earlier entries are obsolete; their segments can be removed. */
	w->max_index = 0;
	for (size_t i = 0; i < w->segment_count; i++)
		w->segments[i].max_index = 0;
	return 0;
}

/*
 * Creates and locks the directory and reads its files. A new directory gets an
 * initial hard state; one with a log or a snapshot but without a hard state is
 * damaged.
 *
 * A sync may have failed before, here or in an earlier process, and what it
 * covered may be in the page cache only: the hard state, the newest snapshot,
 * the last segment, or one of their names. Each is written anew to a new file,
 * which is synced, before anything depends on it; to read it back is no proof.
 * Older segments were synced before the next one was created. Returns the errors
 * of open_wal().
 *
 * A log of another member that has never stored a term or a snapshot is empty,
 * since the term of an entry is stored before it. It is given to this member: a
 * process that was killed so early may have chosen another id since.
 */
static int
load_files(struct wal *w, struct buf *old_snapshots, struct fault *f)
{
	bool has_snapshot, is_new = false;
	uint64_t snapshot_index;
	int rc;

	rc = w->io.make_dir(w->io.arg, w->dir);
	if (rc == -EACCES || rc == -ENOENT || rc == -ENOTDIR)
		return set_fault(f, ERR_DENIED,
		    "cannot create the data folder %s: %s; check the parent "
		    "folder and its mode",
		    w->dir, strerror(-rc));
	if (rc != 0)
		return fail_wal(w, f, "create", "", rc);
	rc = lock_wal(w, f);
	if (rc == 0)
		rc = scan_dir(
		    w, &snapshot_index, &has_snapshot, old_snapshots, f);
	if (rc != 0)
		return rc;
	rc = load_hard_state(w, f);
	if (rc == ERR_INVALID && w->hard.term == 0 && !has_snapshot)
		rc = discard_empty_log(w, f);
	if (rc == ERR_NOT_FOUND) {
		if (w->segment_count > 0 || has_snapshot)
			return set_damage_fault(f, w->dir,
			    "the file with term and vote is missing");
		is_new = true;
		rc = save_hard_state(w, (struct raft_hard_state){0}, f);
	}
	if (rc == 0 && has_snapshot)
		rc = load_snapshot_file(w, snapshot_index, f);
	if (rc == ERR_NOT_FOUND)
		rc = set_damage_fault(f, w->dir, "a snapshot is missing");
	if (rc == 0 && !is_new)
		rc = save_hard_state(w, w->hard, f);
	if (rc == 0 && has_snapshot)
		rc = save_snapshot_file(w, &w->stored.snapshot, f);
	return rc == 0 ? replay_log(w, f) : rc;
}

/*
 * Removes the segments of an empty log. Their removal is made durable before
 * the hard state names this member, because after a power cut a segment of
 * another member beside it would count as damage. Returns ERR_NOT_FOUND, as for
 * a new directory, or ERR_IO.
 */
static int
discard_empty_log(struct wal *w, struct fault *f)
{
	char name[WAL_PATH_BYTES];
	int rc = 0;

	w->hard = (struct raft_hard_state){0};
	for (size_t i = 0; i < w->segment_count && rc == 0; i++) {
		format_segment_name(w->segments[i].number, name);
		rc = remove_wal_file(w, name, f);
	}
	if (rc != 0)
		return rc;
	w->segment_count = 0;
	rc = w->io.sync_dir(w->io.arg, w->dir);
	return rc != 0 ? fail_wal(w, f, "sync", w->dir, rc) : ERR_NOT_FOUND;
}

/*
 * Loads the files, then removes those that the newest snapshot covers: an
 * earlier run may have ended, or failed, before it removed them, and a power
 * loss may have brought them back. Returns the errors of open_wal().
 */
static int
load_wal(struct wal *w, struct fault *f)
{
	struct buf old_snapshots = {0};
	int rc = load_files(w, &old_snapshots, f);
	uint64_t index;

	w->snapshot_index = w->stored.snapshot.index;
	for (size_t at = 0; rc == 0 && at < old_snapshots.len;
	     at += sizeof(index)) {
		memcpy(&index, old_snapshots.data + at, sizeof(index));
		rc = remove_old_snapshot(w, index, f);
	}
	if (rc == 0)
		rc = remove_old_segments(w, f);
	unload_buf(&old_snapshots);
	return rc;
}

/*
 * Writes the entries as one batch record, or as several when they exceed
 * RECORD_BATCH_BYTES. Starts a new segment when the last one is full.
 */
static int
store_entries(struct wal *w, const struct raft_store *s, struct fault *f)
{
	size_t i = 0, count;
	int rc = 0;

	while (i < s->entry_count && rc == 0) {
		char head[ENTRY_HEADER_BYTES];
		struct buf b = {0};

		if (w->segment_end >= (off_t)w->segment_bytes) {
			rc = open_segment(
			    w, w->segments[w->segment_count - 1].number + 1, f);
			if (rc != 0)
				return rc;
		}
		put_u64(head, s->first + i);
		put_u32(head + 8, 0);
		rc = append_buf(&b, head, BATCH_HEADER_BYTES);
		for (count = 0; i < s->entry_count && rc == 0 &&
				b.len < RECORD_BATCH_BYTES;
		     count++, i++) {
			const struct raft_entry *e = &s->entries[i];

			put_u64(head, e->term);
			put_u32(head + 8, (uint32_t)e->type);
			put_u32(head + 12, (uint32_t)e->data.len);
			rc = append_buf(&b, head, sizeof(head));
			if (rc == 0)
				rc = append_buf(&b, e->data.data, e->data.len);
		}
		if (rc == 0) {
			put_u32(b.data + 8, (uint32_t)count);
			rc = write_record(w, RECORD_BATCH, view_buf(&b), f);
		} else {
			w->failed = true;
			set_fault(f, ERR_MEMORY,
			    "out of memory; give the process more memory and "
			    "restart it");
		}
		unload_buf(&b);
		if (s->first + i - 1 > w->max_index)
			w->max_index = s->first + i - 1;
		w->segments[w->segment_count - 1].max_index = w->max_index;
	}
	return rc;
}

/*
 * Removes the snapshot of that index, unless it is the newest. A missing file is
 * no error. Returns ERR_IO or ERR_LIMIT.
 */
static int
remove_old_snapshot(struct wal *w, uint64_t index, struct fault *f)
{
	char name[WAL_PATH_BYTES], path[WAL_PATH_BYTES];
	int rc;

	if (index == w->snapshot_index)
		return 0;
	format_snapshot_name(index, name);
	rc = make_path(w, name, path);
	if (rc != 0)
		return rc;
	rc = w->io.remove_file(w->io.arg, path);
	return rc != 0 && rc != -ENOENT ? fail_wal(w, f, "remove", name, rc) :
					  0;
}

/*
 * Removes the segments whose entries snapshot_index covers, the oldest first, so
 * that the remaining ones have no gap. The last segment always stays. Returns
 * ERR_IO or ERR_LIMIT.
 */
static int
remove_old_segments(struct wal *w, struct fault *f)
{
	char name[WAL_PATH_BYTES];
	size_t removed = 0;
	int rc = 0;

	while (removed + 1 < w->segment_count && rc == 0 &&
	       w->segments[removed].max_index <= w->snapshot_index) {
		format_segment_name(w->segments[removed].number, name);
		rc = remove_wal_file(w, name, f);
		removed++;
	}
	memmove(w->segments, w->segments + removed,
	    (w->segment_count - removed) * sizeof(*w->segments));
	w->segment_count -= removed;
	return rc;
}
