/*
 * A disk in memory for tests, as a struct wal_io. At a simulated power cut,
 * bytes that were not synced may be lost completely or in part. Any operation
 * can be made to fail.
 */
#ifndef MEM_IO_H
#define MEM_IO_H

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

#include "wal.h"

#define MEM_FILES 64 /* files of a disk */
#define MEM_NAME_BYTES 64 /* longest file name, with NUL */

enum mem_fault {
	MEM_FAULT_NONE = 0,
	MEM_FAULT_ONCE = 1, /* operation fault_at fails */
	MEM_FAULT_CRASH = 2, /* it and all later operations fail */
	MEM_FAULT_FULL = 3, /* writes fail with ENOSPC from fault_at on */
	MEM_FAULT_SYNC = 4, /* syncs fail from fault_at on */
	MEM_FAULT_NAMES = 5, /* no new, renamed or removed files from then on */
};

/* A file: its bytes and name now and as of the last sync. */
struct mem_file {
	char name[MEM_NAME_BYTES]; /* empty: removed from the directory */
	char synced_name[MEM_NAME_BYTES];
	struct buf now;
	struct buf synced;
	struct buf dirty; /* 1 for each byte written since the last sync */
	bool name_dirty; /* its name changed since the last sync */
	bool sync_failed; /* until its content is replaced */
	bool used;
};

struct mem_disk {
	struct mem_file file[MEM_FILES];
	enum mem_fault fault;
	uint64_t fault_at; /* number of the failing operation, from 1 */
	uint64_t ops; /* operations since the last power cut */
	uint64_t syncs_after_failure; /* of a file whose sync had failed */
};

/*
 * Returns the last component of a path.
 */
static const char *
get_mem_file_name(const char *path)
{
	const char *p = strrchr(path, '/');

	return p != NULL ? p + 1 : path;
}

/*
 * Counts an operation and returns the errno, negative, that the configured
 * fault gives it, or 0.
 */
static int
count_mem_op(struct mem_disk *d, bool writes, bool syncs, bool names)
{
	d->ops++;
	if (d->fault == MEM_FAULT_NONE || d->ops < d->fault_at)
		return 0;
	if (d->fault == MEM_FAULT_ONCE)
		return d->ops == d->fault_at ? -EIO : 0;
	if (d->fault == MEM_FAULT_CRASH)
		return -EIO;
	if (d->fault == MEM_FAULT_FULL)
		return writes ? -ENOSPC : 0;
	if (d->fault == MEM_FAULT_NAMES)
		return names ? -EROFS : 0;
	return syncs ? -EIO : 0;
}

static struct mem_file *
find_mem_file(struct mem_disk *d, const char *name)
{
	for (int i = 0; i < MEM_FILES; i++) {
		if (d->file[i].used && strcmp(d->file[i].name, name) == 0)
			return &d->file[i];
	}
	return NULL;
}

/*
 * Replaces the content of b by a copy of s.
 */
static void
copy_to_mem_buf(struct buf *b, struct str s)
{
	struct buf copy = {0};

	if (append_buf(&copy, s.data, s.len) != 0)
		abort();
	unload_buf(b);
	*b = copy;
}

static void
unload_mem_file(struct mem_file *f)
{
	unload_buf(&f->now);
	unload_buf(&f->synced);
	unload_buf(&f->dirty);
	memset(f, 0, sizeof(*f));
}

static int
mem_make_dir(void *arg, const char *path)
{
	(void)path;
	return count_mem_op(arg, false, false, false);
}

static int
mem_list_dir(void *arg, const char *path,
    void (*fn)(void *fn_arg, const char *name), void *fn_arg)
{
	struct mem_disk *d = arg;
	int rc = count_mem_op(d, false, false, false);

	(void)path;
	for (int i = 0; i < MEM_FILES && rc == 0; i++) {
		if (d->file[i].used && d->file[i].name[0] != '\0')
			fn(fn_arg, d->file[i].name);
	}
	return rc;
}

static int
mem_lock_file(void *arg, const char *path)
{
	int rc = count_mem_op(arg, false, false, false);

	(void)path;
	return rc != 0 ? rc : MEM_FILES; /* not the handle of a file */
}

/*
 * Returns an unused file, now with that name, or NULL when the disk has
 * MEM_FILES.
 */
static struct mem_file *
create_mem_file(struct mem_disk *d, const char *name)
{
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (f->used)
			continue;
		memset(f, 0, sizeof(*f));
		f->used = true;
		f->name_dirty = true;
		strncpy(f->name, name, MEM_NAME_BYTES - 1);
		return f;
	}
	return NULL;
}

static int
mem_open_file(void *arg, const char *path, int flags)
{
	struct mem_disk *d = arg;
	const char *name = get_mem_file_name(path);
	struct mem_file *f = find_mem_file(d, name);
	int rc = count_mem_op(
	    d, (flags & O_CREAT) != 0, false, (flags & O_CREAT) != 0);

	if (rc != 0)
		return rc;
	if (f == NULL && (flags & O_CREAT) == 0)
		return -ENOENT;
	if (f == NULL)
		f = create_mem_file(d, name);
	if (f == NULL)
		return -ENFILE;
	if ((flags & O_TRUNC) != 0) {
		f->now.len = 0;
		f->sync_failed = false;
	}
	return (int)(f - d->file);
}

static int
mem_close_file(void *arg, int fd)
{
	(void)arg;
	(void)fd;
	return 0;
}

static ssize_t
mem_read_file(void *arg, int fd, void *data, size_t len, off_t at)
{
	struct mem_disk *d = arg;
	const struct buf *b = &d->file[fd].now;
	int rc = count_mem_op(d, false, false, false);

	if (rc != 0)
		return rc;
	if ((size_t)at >= b->len)
		return 0;
	if (len > b->len - (size_t)at)
		len = b->len - (size_t)at;
	memcpy(data, b->data + at, len);
	return (ssize_t)len;
}

/*
 * Writes a bit more than half of the bytes, so that callers must handle short
 * writes. A write that fails with EIO also writes these bytes; one that fails
 * with ENOSPC writes none.
 */
static ssize_t
mem_write_file(void *arg, int fd, const void *data, size_t len, off_t at)
{
	struct mem_disk *d = arg;
	struct buf *b = &d->file[fd].now;
	int rc = count_mem_op(d, true, false, false);
	size_t partial_len = len / 2 + 1;

	if (rc == 0 && len > 1)
		len = partial_len; /* a short write */
	else if (rc == -EIO)
		len = partial_len; /* writes a part and fails */
	else if (rc != 0)
		return rc;
	while (b->len < (size_t)at + len) {
		if (append_buf(b, "", 1) != 0)
			abort();
	}
	while (d->file[fd].dirty.len < b->len) {
		if (append_buf(&d->file[fd].dirty, "", 1) != 0)
			abort();
	}
	if (len > 0) {
		memcpy(b->data + at, data, len);
		memset(d->file[fd].dirty.data + at, 1, len);
	}
	return rc != 0 ? rc : (ssize_t)len;
}

static int
mem_truncate_file(void *arg, int fd, off_t len)
{
	struct mem_disk *d = arg;
	int rc = count_mem_op(d, true, false, false);

	if (rc == 0)
		d->file[fd].now.len = (size_t)len;
	return rc;
}

/*
 * Syncs the bytes written since the last sync. As on a real system, a failed
 * sync marks the dirty bytes clean: later syncs do not write them.
 */
static int
mem_sync_file(void *arg, int fd)
{
	struct mem_disk *d = arg;
	struct mem_file *f = &d->file[fd];
	int rc = count_mem_op(d, false, true, false);

	if (f->sync_failed)
		d->syncs_after_failure++;
	if (rc != 0)
		f->sync_failed = true;
	while (rc == 0 && f->synced.len < f->now.len) {
		if (append_buf(&f->synced, "", 1) != 0)
			abort();
	}
	if (rc == 0)
		f->synced.len = f->now.len;
	for (size_t i = 0; i < f->dirty.len && i < f->now.len; i++) {
		if (rc == 0 && f->dirty.data[i] != 0)
			f->synced.data[i] = f->now.data[i];
		f->dirty.data[i] = 0;
	}
	return rc;
}

static int
mem_rename_file(void *arg, const char *from, const char *to)
{
	struct mem_disk *d = arg;
	struct mem_file *f = find_mem_file(d, get_mem_file_name(from));
	struct mem_file *old = find_mem_file(d, get_mem_file_name(to));
	int rc = count_mem_op(d, false, false, true);

	if (rc != 0)
		return rc;
	if (f == NULL)
		return -ENOENT;
	if (old != NULL) {
		old->name[0] = '\0';
		old->name_dirty = true;
	}
	strncpy(f->name, get_mem_file_name(to), MEM_NAME_BYTES - 1);
	f->name_dirty = true;
	return 0;
}

static int
mem_remove_file(void *arg, const char *path)
{
	struct mem_disk *d = arg;
	struct mem_file *f = find_mem_file(d, get_mem_file_name(path));
	int rc = count_mem_op(d, false, false, true);

	if (rc != 0)
		return rc;
	if (f == NULL)
		return -ENOENT;
	f->name[0] = '\0';
	f->name_dirty = true;
	return 0;
}

/*
 * Returns the file that has a name after the last sync, or NULL.
 */
static struct mem_file *
find_synced_mem_file(struct mem_disk *d, const char *name)
{
	for (int i = 0; i < MEM_FILES; i++) {
		if (d->file[i].used &&
		    strcmp(d->file[i].synced_name, name) == 0)
			return &d->file[i];
	}
	return NULL;
}

/*
 * Makes the current name of a file durable; no other file has it any more.
 */
static void
sync_mem_name(struct mem_disk *d, struct mem_file *f)
{
	struct mem_file *old =
	    f->name[0] != '\0' ? find_synced_mem_file(d, f->name) : NULL;

	if (old != NULL && old != f) {
		old->synced_name[0] = '\0';
		if (old->name[0] == '\0')
			unload_mem_file(old);
	}
	memcpy(f->synced_name, f->name, MEM_NAME_BYTES);
	f->name_dirty = false;
	if (f->name[0] == '\0')
		unload_mem_file(f);
}

/*
 * Syncs the names that changed since the last sync. A failed sync marks them
 * clean, too: later syncs do not write them.
 */
static int
mem_sync_dir(void *arg, const char *path)
{
	struct mem_disk *d = arg;
	int rc = count_mem_op(d, false, true, false);

	(void)path;
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (f->used && f->name_dirty && rc == 0)
			sync_mem_name(d, f);
		f->name_dirty = false;
	}
	return rc;
}

static struct wal_io
get_mem_io(struct mem_disk *d)
{
	return (struct wal_io){mem_make_dir, mem_list_dir, mem_lock_file,
	    mem_open_file, mem_close_file, mem_read_file, mem_write_file,
	    mem_truncate_file, mem_sync_file, mem_rename_file, mem_remove_file,
	    mem_sync_dir, d};
}

/*
 * Decides which file has a name after a power cut: the one that has it now, or
 * the one that had it at the last sync, each name by itself. With rng NULL, all
 * names are as of the last sync.
 */
static void
settle_mem_name(struct mem_disk *d, const char *name,
    char kept[][MEM_NAME_BYTES], struct rng *rng)
{
	struct mem_file *now = find_mem_file(d, name);
	struct mem_file *synced = find_synced_mem_file(d, name);
	struct mem_file *f =
	    rng != NULL && draw_below(rng, 2) == 0 ? now : synced;

	if (f != NULL)
		memcpy(kept[f - d->file], name, MEM_NAME_BYTES);
}

/*
 * Reverts some of the names that were not synced. A file keeps at most one.
 */
static void
cut_mem_names(struct mem_disk *d, struct rng *rng)
{
	char kept[MEM_FILES][MEM_NAME_BYTES] = {{0}};

	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (!f->used)
			continue;
		if (f->name[0] != '\0')
			settle_mem_name(d, f->name, kept, rng);
	}
	/* A renamed file that keeps its new name loses the old one. */
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (f->used && f->synced_name[0] != '\0' &&
		    kept[i][0] == '\0' &&
		    find_mem_file(d, f->synced_name) == NULL)
			settle_mem_name(d, f->synced_name, kept, rng);
	}
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		memcpy(f->name, kept[i], MEM_NAME_BYTES);
		memcpy(f->synced_name, kept[i], MEM_NAME_BYTES);
		f->name_dirty = false;
		if (f->used && f->name[0] == '\0')
			unload_mem_file(f);
	}
}

/*
 * Simulates a power cut and clears the fault. Each sector with unsynced bytes
 * survives or is lost at random, or the bytes up to a random one survive, and
 * the file's length is between the synced and the current one. With rng NULL, everything unsynced is lost. Names that
 * were not synced are kept or lost, each by itself.
 */
static void
cut_power(struct mem_disk *d, struct rng *rng)
{
	cut_mem_names(d, rng);
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];
		struct buf survived = {0};
		bool at_sectors = rng != NULL;
		size_t len;

		if (!f->used)
			continue;
		copy_to_mem_buf(&survived, view_buf(&f->synced));
		len = f->now.len;
		if (rng == NULL)
			len = survived.len;
		else if (len > survived.len)
			len = survived.len +
			      draw_below(rng, len - survived.len + 1);
		while (survived.len < len)
			if (append_buf(&survived, "", 1) != 0)
				abort();
		if (rng != NULL && draw_below(rng, 2) == 0) {
			size_t n = draw_below(rng, len + 1);

			if (n > f->now.len)
				n = f->now.len;
			if (n > 0)
				memcpy(survived.data, f->now.data, n);
			at_sectors = false;
		}
		for (size_t at = 0; at_sectors && at < len; at += 512) {
			size_t n = len - at < 512 ? len - at : 512;

			if (draw_below(rng, 2) == 0 && at + n <= f->now.len)
				memcpy(survived.data + at, f->now.data + at, n);
		}
		f->sync_failed = false;
		unload_buf(&f->now);
		f->now = survived;
		copy_to_mem_buf(&f->synced, view_buf(&f->now));
		unload_buf(&f->dirty);
	}
	d->fault = MEM_FAULT_NONE;
	d->syncs_after_failure = 0;
	d->ops = 0;
}

static void
unload_mem_disk(struct mem_disk *d)
{
	for (int i = 0; i < MEM_FILES; i++)
		unload_mem_file(&d->file[i]);
	memset(d, 0, sizeof(*d));
}

#endif
