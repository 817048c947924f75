/*
 * Reading the log at start.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wal_core.h"

#define TORN_NONE 0
#define TORN_CUT 1 /* the last segment goes on after its last record */
#define TORN_SEGMENT 2 /* the segment holds nothing; it was just created */

/* What a look at the directory finds. */
struct dir_scan {
	struct wal *w;
	struct buf temps; /* names of unfinished files, each with a NUL */
	uint64_t snapshot;
	bool has_snapshot;
	int rc;
};

static void note_file(void *arg, const char *name);
static int replay_segment(struct wal *w, size_t at, int *torn, struct fault *f);
static int replay_record(
    struct wal *w, const struct record *rec, const char *name, struct fault *f);
static int replay_batch(struct wal *w, struct str p);
static int push_entry(struct wal *w, const struct raft_entry *e);
static void drop_entries(struct wal *w, uint64_t first);
static int fit_snapshot(struct wal *w, bool *reset, struct fault *f);
static int continue_segment(struct wal *w, int torn, struct fault *f);
static int compare_segments(const void *a, const void *b);

/*
 * Lists segments in order and the newest snapshot, and removes files that were
 * not finished.
 */
int
scan_dir(struct wal *w, uint64_t *snapshot, bool *has_snapshot, struct fault *f)
{
	struct dir_scan d = {.w = w};
	int rc = w->io.list_dir(w->io.arg, w->dir, note_file, &d);

	if (rc != 0)
		rc = fail_wal(w, f, "list", "", rc);
	else
		rc = d.rc;
	for (size_t at = 0; rc == 0 && at < d.temps.len;
	     at += strlen(d.temps.data + at) + 1)
		rc = remove_wal_file(w, d.temps.data + at, f);
	unload_buf(&d.temps);
	if (w->segment_count > 0)
		qsort(w->segments, w->segment_count, sizeof(*w->segments),
		    compare_segments);
	*snapshot = d.snapshot;
	*has_snapshot = d.has_snapshot;
	return rc;
}

/*
 * Reads all segments into w->stored, which already holds the snapshot, and
 * opens the last one for more. Its last record is written once more: if the
 * process ended after a failed sync, the record may exist in memory only.
 */
int
replay_log(struct wal *w, struct fault *f)
{
	bool reset = false;
	int torn = TORN_NONE, rc = 0;

	w->base = w->stored.snapshot.index;
	w->next_seq = 0;
	for (size_t i = 0; i < w->segment_count && rc == 0; i++) {
		if (i > 0 &&
		    w->segments[i].number != w->segments[i - 1].number + 1)
			return damage_wal(f, w->dir, "a segment is missing");
		rc = replay_segment(w, i, &torn, f);
	}
	if (rc != 0)
		return rc;
	rc = fit_snapshot(w, &reset, f);
	if (rc != 0)
		return rc;
	rc = continue_segment(w, torn, f);
	if (rc == 0 && reset)
		rc = write_reset(
		    w, w->stored.snapshot.index, w->stored.snapshot.term, f);
	return rc;
}

static void
note_file(void *arg, const char *name)
{
	struct dir_scan *d = arg;
	size_t len = strlen(name);
	unsigned long long v;

	if (d->rc != 0)
		return;
	if (len > 4 && strcmp(name + len - 4, ".tmp") == 0) {
		d->rc = append_buf(&d->temps, name, len + 1);
	} else if (sscanf(name, "log-%16llx", &v) == 1) {
		d->rc = add_segment(d->w, v, 0);
	} else if (sscanf(name, "snapshot-%16llx", &v) == 1) {
		if (!d->has_snapshot || v > d->snapshot)
			d->snapshot = v;
		d->has_snapshot = true;
	}
}

static int
replay_segment(struct wal *w, size_t at, int *torn, struct fault *f)
{
	bool last = at + 1 == w->segment_count;
	uint64_t number = w->segments[at].number;
	enum record_result res;
	char name[WAL_PATH_BYTES];
	struct record rec;
	struct buf b = {0};
	size_t pos = 0;
	int rc;

	name_segment(number, name);
	rc = read_whole_file(w, name, &b, f);
	/* The first segment that is left tells where the numbers go on. */
	if (rc == 0 && w->next_seq == 0 && b.len >= RECORD_HEADER_BYTES)
		w->next_seq = get_u64(b.data + 16);
	w->last_record = 0;
	while (rc == 0) {
		res =
		    decode_record(view_buf(&b), pos, number, w->next_seq, &rec);
		if (res == RECORD_END && pos > 0)
			break;
		if (res == RECORD_TORN && last) {
			*torn = pos > 0 ? TORN_CUT : TORN_SEGMENT;
			w->counters.torn_records++;
			break;
		}
		if (res == RECORD_END && last) {
			*torn = TORN_SEGMENT;
			break;
		}
		if (res != RECORD_OK ||
		    (pos == 0) != (rec.type == RECORD_SEGMENT)) {
			rc = damage_wal(f, name, "checksum");
			break;
		}
		rc = replay_record(w, &rec, name, f);
		w->last_record = (off_t)pos;
		pos += rec.size;
		w->next_seq++;
	}
	w->end = (off_t)pos;
	w->segments[at].max_last = w->max_last;
	unload_buf(&b);
	return rc;
}

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
		drop_entries(w, 0);
		w->base = get_u64(p.data);
		w->max_last = 0;
		w->replaying = true;
		rc = 0;
		break;
	}
	if (rc == ERR_CORRUPT)
		return damage_wal(f, name, "the records do not fit together");
	return rc;
}

/*
 * Adds the entries of one batch; they replace those at and after its first.
 */
static int
replay_batch(struct wal *w, struct str p)
{
	uint64_t first, last = w->base + w->stored.entry_count;
	size_t at = BATCH_HEADER_BYTES;
	uint32_t count;
	int rc;

	if (p.len < BATCH_HEADER_BYTES)
		return ERR_CORRUPT;
	first = get_u64(p.data);
	count = get_u32(p.data + 8);
	if (first == 0)
		return ERR_CORRUPT;
	if (!w->replaying || first <= w->base) {
		/*
		 * Segments before this one are gone: the snapshot includes
		 * what they held, or a reset follows. fit_snapshot() checks
		 * that what is left leads up to the snapshot.
		 */
		drop_entries(w, 0);
		w->base = first - 1;
		last = w->base;
	}
	w->replaying = true;
	if (first > last + 1)
		return ERR_CORRUPT;
	drop_entries(w, first);
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
	last = w->base + w->stored.entry_count;
	if (last > w->max_last)
		w->max_last = last;
	return at == p.len ? 0 : ERR_CORRUPT;
}

static int
push_entry(struct wal *w, const struct raft_entry *e)
{
	struct raft_entry *all =
	    (struct raft_entry *)(uintptr_t)w->stored.entries;
	struct raft_entry *grown;
	char *copy = malloc(e->data.len + 1);
	size_t cap;

	if (copy == NULL)
		return ERR_MEMORY;
	if (w->stored.entry_count == w->stored_cap) {
		cap = w->stored_cap != 0 ? w->stored_cap * 2 : 256;
		grown = realloc(all, cap * sizeof(*all));
		if (grown == NULL) {
			free(copy);
			return ERR_MEMORY;
		}
		all = grown;
		w->stored.entries = grown;
		w->stored_cap = cap;
	}
	memcpy(copy, e->data.data, e->data.len);
	all[w->stored.entry_count] = *e;
	all[w->stored.entry_count].data.data = copy;
	w->stored.entry_count++;
	return 0;
}

static void
drop_entries(struct wal *w, uint64_t first)
{
	while (w->stored.entry_count > 0 &&
	       w->base + w->stored.entry_count >= first) {
		w->stored.entry_count--;
		free((char *)(uintptr_t)w->stored.entries[w->stored.entry_count]
			 .data.data);
	}
}

/*
 * Drops the entries that the snapshot includes. When the process ended between
 * the snapshot of a leader and the reset of the log, the log does not lead up
 * to the snapshot and is reset now.
 */
static int
fit_snapshot(struct wal *w, bool *reset, struct fault *f)
{
	struct raft_entry *all =
	    (struct raft_entry *)(uintptr_t)w->stored.entries;
	uint64_t index = w->stored.snapshot.index;
	uint64_t last = w->base + w->stored.entry_count;
	size_t n;

	if (w->base > index)
		return damage_wal(
		    f, w->dir, "the log starts after the newest snapshot");
	if (w->base == index)
		return 0;
	if (last < index ||
	    all[index - w->base - 1].term != w->stored.snapshot.term) {
		drop_entries(w, 0);
		w->base = index;
		*reset = true;
		return 0;
	}
	n = (size_t)(index - w->base);
	for (size_t i = 0; i < n; i++)
		free((char *)(uintptr_t)all[i].data.data);
	memmove(all, all + n, (w->stored.entry_count - n) * sizeof(*all));
	w->stored.entry_count -= n;
	w->base = index;
	return 0;
}

/*
 * Opens the last segment where its last whole record ends, or a new one.
 */
static int
continue_segment(struct wal *w, int torn, struct fault *f)
{
	char name[WAL_PATH_BYTES], path[WAL_PATH_BYTES];
	size_t whole = w->segment_count - (torn == TORN_SEGMENT ? 1 : 0);
	struct buf b = {0};
	struct str tail;
	int rc;

	if (whole == 0 && (w->hard.term > 0 || w->stored.snapshot.index > 0))
		return damage_wal(f, w->dir, "the log is missing");
	if (torn == TORN_SEGMENT) {
		name_segment(w->segments[whole].number, name);
		w->segment_count = whole;
		rc = remove_wal_file(w, name, f);
		if (rc != 0)
			return rc;
	}
	if (whole == 0 || torn == TORN_SEGMENT)
		return open_segment(
		    w, whole == 0 ? 1 : w->segments[whole - 1].number + 1, f);
	name_segment(w->segments[w->segment_count - 1].number, name);
	rc = read_whole_file(w, name, &b, f);
	if (rc == 0)
		rc = make_path(w, name, path);
	if (rc != 0) {
		unload_buf(&b);
		return rc;
	}
	w->fd = w->io.open_file(w->io.arg, path, O_RDWR);
	rc = w->fd < 0 ? w->fd : 0;
	if (rc == 0 && torn == TORN_CUT)
		rc = w->io.truncate_file(w->io.arg, w->fd, w->end);
	tail = make_str_n(
	    b.data + w->last_record, (size_t)(w->end - w->last_record));
	if (rc == 0)
		rc = write_at(w, w->fd, tail, w->last_record);
	if (rc == 0)
		rc = w->io.sync_file(w->io.arg, w->fd);
	unload_buf(&b);
	w->counters.syncs++;
	return rc != 0 ? fail_wal(w, f, "recover", name, rc) : 0;
}

static int
compare_segments(const void *a, const void *b)
{
	const struct segment *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}
