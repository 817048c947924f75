/*
 * Replay of the log at start.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wal_core.h"

/* State of the end of the last segment */
#define TORN_NONE 0
#define TORN_TAIL 1 /* a torn record follows the last complete one */
#define TORN_EMPTY_SEGMENT 2 /* no complete record: crash at its creation */

/* Files found in the directory. */
struct dir_listing {
	struct wal *w;
	struct buf temp_names; /* of unfinished files, each with a NUL */
	struct buf old_snapshots; /* their indexes, uint64_t */
	uint64_t snapshot; /* index of the newest */
	bool has_snapshot;
	int rc;
};

static size_t count_obsolete_segments(const struct wal *w);
static int remove_obsolete_segments(
    struct wal *w, size_t count, struct fault *f);
static void classify_file(void *arg, const char *name);
static int replay_segment(struct wal *w, size_t at, int *torn, struct fault *f);
static int replay_record(
    struct wal *w, const struct record *rec, const char *name, struct fault *f);
static int replay_batch(struct wal *w, struct str p);
static int push_entry(struct wal *w, const struct raft_entry *e);
static void truncate_entries(struct wal *w, uint64_t first);
static int trim_log_to_snapshot(struct wal *w, bool *reset, struct fault *f);
static int continue_segment(struct wal *w, int torn, struct fault *f);
static int compare_segments(const void *a, const void *b);

/*
 * Lists the segments by number, finds the index of the newest snapshot and
 * removes temporary files that an interrupted replace_file() left. Returns
 * ERR_IO or ERR_MEMORY.
 */
int
scan_dir(struct wal *w, uint64_t *snapshot, bool *has_snapshot,
    struct buf *old_snapshots, struct fault *f)
{
	struct dir_listing d = {.w = w};
	int rc = w->io.list_dir(w->io.arg, w->dir, classify_file, &d);

	if (rc != 0)
		rc = fail_wal(w, f, "list", "", rc);
	else
		rc = d.rc;
	for (size_t at = 0; rc == 0 && at < d.temp_names.len;
	     at += strlen(d.temp_names.data + at) + 1)
		rc = remove_wal_file(w, d.temp_names.data + at, f);
	unload_buf(&d.temp_names);
	if (w->segment_count > 0)
		qsort(w->segments, w->segment_count, sizeof(*w->segments),
		    compare_segments);
	*snapshot = d.snapshot;
	*has_snapshot = d.has_snapshot;
	*old_snapshots = d.old_snapshots;
	return rc;
}

/*
 * Reads all segments into w->stored, which already has the snapshot, and opens
 * the last one, written anew, for appending. Returns ERR_CORRUPT, ERR_IO or
 * ERR_MEMORY.
 */
int
replay_log(struct wal *w, struct fault *f)
{
	bool reset = false;
	size_t obsolete = count_obsolete_segments(w);
	int torn = TORN_NONE, rc = 0;

	w->base_index = w->stored.snapshot.index;
	w->next_seq = 0;
	for (size_t i = obsolete; i < w->segment_count && rc == 0; i++)
		rc = replay_segment(w, i, &torn, f);
	if (rc == 0)
		rc = trim_log_to_snapshot(w, &reset, f);
	if (rc == 0)
		rc = remove_obsolete_segments(w, obsolete, f);
	if (rc != 0)
		return rc;
	rc = continue_segment(w, torn, f);
	if (rc == 0 && reset)
		rc = write_reset(
		    w, w->stored.snapshot.index, w->stored.snapshot.term, f);
	return rc;
}

/*
 * Returns the number of segments before a gap in their numbers. Segments that a
 * snapshot covers are removed without a sync of the directory, so after a power
 * cut an older one may be back where a newer one is not. If the snapshot does
 * not cover the gap, trim_log_to_snapshot() finds that entries are missing.
 */
static size_t
count_obsolete_segments(const struct wal *w)
{
	size_t first = w->segment_count;

	while (first > 1 && w->segments[first - 2].number + 1 ==
				w->segments[first - 1].number)
		first--;
	return first > 1 ? first - 1 : 0;
}

/*
 * Removes the first count segments. Returns ERR_IO.
 */
static int
remove_obsolete_segments(struct wal *w, size_t count, struct fault *f)
{
	char name[WAL_PATH_BYTES];
	int rc = 0;

	if (count == 0)
		return 0; /* the list may be empty, and without memory */
	for (size_t i = 0; i < count && rc == 0; i++) {
		format_segment_name(w->segments[i].number, name);
		rc = remove_wal_file(w, name, f);
	}
	memmove(w->segments, w->segments + count,
	    (w->segment_count - count) * sizeof(*w->segments));
	w->segment_count -= count;
	return rc;
}

/*
 * Adds one file of the directory to the listing arg; other names are ignored.
 */
static void
classify_file(void *arg, const char *name)
{
	struct dir_listing *d = arg;
	size_t len = strlen(name);
	unsigned long long v;

	if (d->rc != 0)
		return;
	if (len > 4 && strcmp(name + len - 4, ".tmp") == 0) {
		d->rc = append_buf(&d->temp_names, name, len + 1);
	} else if (sscanf(name, "log-%16llx", &v) == 1) {
		d->rc = add_segment(d->w, v, 0);
	} else if (sscanf(name, "snapshot-%16llx", &v) == 1) {
		uint64_t index = v, old = index;

		if (!d->has_snapshot || index > d->snapshot) {
			old = d->snapshot;
			d->snapshot = index;
		}
		if (d->has_snapshot)
			d->rc =
			    append_buf(&d->old_snapshots, &old, sizeof(old));
		d->has_snapshot = true;
	}
}

/*
 * Replays the records of segment at. A torn end is accepted in the last segment
 * only and reported in *torn. Sets segment_end and last_record.
 */
static int
replay_segment(struct wal *w, size_t at, int *torn, struct fault *f)
{
	bool last = at + 1 == w->segment_count;
	uint64_t number = w->segments[at].number;
	enum record_result result;
	char name[WAL_PATH_BYTES];
	struct record rec;
	struct buf b = {0};
	size_t pos = 0;
	int rc;

	format_segment_name(number, name);
	rc = read_whole_file(w, name, &b, f);
	/* The oldest segment gives the first sequence number. */
	if (rc == 0 && w->next_seq == 0 && b.len >= RECORD_HEADER_BYTES)
		w->next_seq = get_u64(b.data + 16);
	w->last_record = 0;
	while (rc == 0) {
		result =
		    decode_record(view_buf(&b), pos, number, w->next_seq, &rec);
		if (result == RECORD_END && pos > 0)
			break;
		if (result == RECORD_TORN && last) {
			*torn = pos > 0 ? TORN_TAIL : TORN_EMPTY_SEGMENT;
			w->counters.torn_records++;
			break;
		}
		if (result == RECORD_END && last) {
			*torn = TORN_EMPTY_SEGMENT;
			break;
		}
		if (result != RECORD_OK ||
		    (pos == 0) != (rec.type == RECORD_SEGMENT)) {
			rc = set_damage_fault(f, name, "checksum");
			break;
		}
		rc = replay_record(w, &rec, name, f);
		w->last_record = (off_t)pos;
		pos += rec.size;
		w->next_seq++;
	}
	w->segment_end = (off_t)pos;
	w->segments[at].max_index = w->max_index;
	unload_buf(&b);
	return rc;
}

/*
 * Applies one record to w->stored; name is the segment's file, for the fault.
 */
static int
replay_record(
    struct wal *w, const struct record *rec, const char *name, struct fault *f)
{
	struct str p = rec->payload;
	int rc = ERR_CORRUPT;

	switch (rec->type) {
	case RECORD_SEGMENT:
		if (p.len == SEGMENT_INFO_BYTES &&
		    get_u32(p.data) == WAL_FORMAT &&
		    get_u64(p.data + 4) == w->id)
			rc = 0;
		break;
	case RECORD_BATCH:
		rc = replay_batch(w, p);
		break;
	case RECORD_RESET:
		if (p.len != RESET_BYTES)
			break;
		truncate_entries(w, 0);
		w->base_index = get_u64(p.data);
		w->max_index = 0;
		w->has_base = true;
		rc = 0;
		break;
	}
	if (rc == ERR_CORRUPT)
		return set_damage_fault(
		    f, name, "malformed record or gap in the log");
	return rc;
}

/*
 * Adds copies of the entries of one batch. They replace the entries with the
 * index of the first one and above. Returns ERR_CORRUPT or ERR_MEMORY.
 */
static int
replay_batch(struct wal *w, struct str p)
{
	uint64_t first, last = w->base_index + w->stored.entry_count;
	size_t at = BATCH_HEADER_BYTES;
	uint32_t count;
	int rc;

	if (p.len < BATCH_HEADER_BYTES)
		return ERR_CORRUPT;
	first = get_u64(p.data);
	count = get_u32(p.data + 8);
	if (first == 0)
		return ERR_CORRUPT;
	if (!w->has_base || first <= w->base_index) {
		/*
		 * The segments with the entries before this batch were
		 * removed: the snapshot includes these entries, or a reset
		 * record follows. trim_log_to_snapshot() checks that the
		 * remaining entries reach the snapshot without a gap.
		 */
		truncate_entries(w, 0);
		w->base_index = first - 1;
		last = w->base_index;
	}
	w->has_base = true;
	if (first > last + 1)
		return ERR_CORRUPT;
	truncate_entries(w, first);
	for (uint32_t i = 0; i < count; i++) {
		struct raft_entry e;

		if (p.len - at < ENTRY_HEADER_BYTES)
			return ERR_CORRUPT;
		e.term = get_u64(p.data + at);
		e.type = (enum raft_entry_type)get_u32(p.data + at + 8);
		e.data.len = get_u32(p.data + at + 12);
		at += ENTRY_HEADER_BYTES;
		if (p.len - at < e.data.len || e.type > RAFT_ENTRY_EMPTY)
			return ERR_CORRUPT;
		e.data.data = p.data + at;
		at += e.data.len;
		rc = push_entry(w, &e);
		if (rc != 0)
			return rc;
	}
	last = w->base_index + w->stored.entry_count;
	if (last > w->max_index)
		w->max_index = last;
	return at == p.len ? 0 : ERR_CORRUPT;
}

/*
 * Appends a copy of the entry, data included, to w->stored.
 */
static int
push_entry(struct wal *w, const struct raft_entry *e)
{
	struct raft_entry *entries =
	    (struct raft_entry *)(uintptr_t)w->stored.entries;
	struct raft_entry *grown;
	char *copy = malloc(e->data.len + 1);
	size_t cap;

	if (copy == NULL)
		return ERR_MEMORY;
	if (w->stored.entry_count == w->entry_cap) {
		cap = w->entry_cap != 0 ? w->entry_cap * 2 : 256;
		grown = realloc(entries, cap * sizeof(*entries));
		if (grown == NULL) {
			free(copy);
			return ERR_MEMORY;
		}
		entries = grown;
		w->stored.entries = grown;
		w->entry_cap = cap;
	}
	memcpy(copy, e->data.data, e->data.len);
	entries[w->stored.entry_count] = *e;
	entries[w->stored.entry_count].data.data = copy;
	w->stored.entry_count++;
	return 0;
}

/*
 * Frees the stored entries from index first on.
 */
static void
truncate_entries(struct wal *w, uint64_t first)
{
	while (w->stored.entry_count > 0 &&
	       w->base_index + w->stored.entry_count >= first) {
		w->stored.entry_count--;
		free((char *)(uintptr_t)w->stored.entries[w->stored.entry_count]
			 .data.data);
	}
}

/*
 * Drops the entries that the snapshot includes. If the process ended after
 * saving a leader's snapshot but before resetting the log, the log has no entry
 * with the snapshot's index and term: all entries are dropped, and *reset tells
 * the caller to write a reset record. Returns ERR_CORRUPT when entries between
 * the snapshot and the log are missing.
 */
static int
trim_log_to_snapshot(struct wal *w, bool *reset, struct fault *f)
{
	struct raft_entry *entries =
	    (struct raft_entry *)(uintptr_t)w->stored.entries;
	uint64_t index = w->stored.snapshot.index;
	uint64_t last = w->base_index + w->stored.entry_count;
	size_t n;

	if (w->base_index > index)
		return set_damage_fault(
		    f, w->dir, "the log starts after the newest snapshot");
	if (w->base_index == index)
		return 0;
	if (last < index || entries[index - w->base_index - 1].term !=
				w->stored.snapshot.term) {
		truncate_entries(w, 0);
		w->base_index = index;
		*reset = true;
		return 0;
	}
	n = (size_t)(index - w->base_index);
	for (size_t i = 0; i < n; i++)
		free((char *)(uintptr_t)entries[i].data.data);
	memmove(entries, entries + n,
	    (w->stored.entry_count - n) * sizeof(*entries));
	w->stored.entry_count -= n;
	w->base_index = index;
	return 0;
}

/*
 * Writes the last segment anew, up to its last complete record, and opens it for
 * appending. Creates a segment when there is none or the last one has no
 * complete record.
 */
static int
continue_segment(struct wal *w, int torn, struct fault *f)
{
	char name[WAL_PATH_BYTES], path[WAL_PATH_BYTES];
	size_t intact_count =
	    w->segment_count - (torn == TORN_EMPTY_SEGMENT ? 1 : 0);
	struct buf b = {0};
	int rc;

	if (intact_count == 0 &&
	    (w->hard.term > 0 || w->stored.snapshot.index > 0))
		return set_damage_fault(f, w->dir, "the log is missing");
	if (torn == TORN_EMPTY_SEGMENT) {
		format_segment_name(w->segments[intact_count].number, name);
		w->segment_count = intact_count;
		rc = remove_wal_file(w, name, f);
		if (rc != 0)
			return rc;
	}
	if (intact_count == 0 || torn == TORN_EMPTY_SEGMENT)
		return open_segment(w,
		    intact_count == 0 ?
			1 :
			w->segments[intact_count - 1].number + 1,
		    f);
	format_segment_name(w->segments[w->segment_count - 1].number, name);
	rc = read_whole_file(w, name, &b, f);
	if (rc == 0 && b.len < (size_t)w->segment_end)
		rc = set_damage_fault(f, name, "it has become shorter");
	if (rc == 0)
		rc = replace_file(w, name,
		    make_str_n(b.data, (size_t)w->segment_end),
		    make_str_n(NULL, 0), f);
	if (rc == 0)
		rc = make_path(w, name, path);
	unload_buf(&b);
	if (rc != 0)
		return rc;
	w->segment_fd = w->io.open_file(w->io.arg, path, O_RDWR);
	return w->segment_fd < 0 ? fail_wal(w, f, "open", name, w->segment_fd) :
				   0;
}

static int
compare_segments(const void *a, const void *b)
{
	const struct segment *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}
