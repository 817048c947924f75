/*
 * Files in memory that behave like a disk at a power cut: what was not synced
 * may be lost in whole or in part. Faults can be set for any operation.
 * Included by the tests.
 */
#ifndef MEM_IO_H
#define MEM_IO_H

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

#include "wal.h"

#define MEM_FILES 64
#define MEM_NAME 64

enum mem_fault {
	MEM_FAULT_NONE = 0,
	MEM_FAULT_FAIL = 1, /* one operation fails */
	MEM_FAULT_CRASH = 2, /* that operation and all later ones fail */
	MEM_FAULT_FULL = 3, /* writes fail with ENOSPC from then on */
	MEM_FAULT_SYNC = 4, /* syncs fail from then on */
};

/* A file's bytes now and as of its last sync. */
struct mem_file {
	char name[MEM_NAME]; /* empty: not in the folder */
	char synced_name[MEM_NAME];
	struct buf now;
	struct buf synced;
	struct buf dirty; /* 1 for each byte written since the last sync */
	bool used;
};

struct mem_disk {
	struct mem_file file[MEM_FILES];
	enum mem_fault fault;
	uint64_t fault_at; /* operation that fails, counted from 1 */
	uint64_t ops;
	uint64_t syncs_after_failure;
	bool sync_failed;
};

static const char *
mem_base(const char *path)
{
	const char *p = strrchr(path, '/');

	return p != NULL ? p + 1 : path;
}

/*
 * Counts an operation; returns the error it has to fail with.
 */
static int
mem_step(struct mem_disk *d, bool writes, bool syncs)
{
	d->ops++;
	if (d->fault == MEM_FAULT_NONE || d->ops < d->fault_at)
		return 0;
	if (d->fault == MEM_FAULT_FAIL)
		return d->ops == d->fault_at ? -EIO : 0;
	if (d->fault == MEM_FAULT_CRASH)
		return -EIO;
	if (d->fault == MEM_FAULT_FULL)
		return writes ? -ENOSPC : 0;
	return syncs ? -EIO : 0;
}

static struct mem_file *
mem_find(struct mem_disk *d, const char *name)
{
	for (int i = 0; i < MEM_FILES; i++) {
		if (d->file[i].used && strcmp(d->file[i].name, name) == 0)
			return &d->file[i];
	}
	return NULL;
}

static void
mem_set(struct buf *b, struct str s)
{
	struct buf fresh = {0};

	if (append_buf(&fresh, s.data, s.len) != 0)
		abort();
	unload_buf(b);
	*b = fresh;
}

static void
mem_unload_file(struct mem_file *f)
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
	return mem_step(arg, false, false);
}

static int
mem_list_dir(void *arg, const char *path,
    void (*fn)(void *fn_arg, const char *name), void *fn_arg)
{
	struct mem_disk *d = arg;
	int rc = mem_step(d, false, false);

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
	int rc = mem_step(arg, false, false);

	(void)path;
	return rc != 0 ? rc : MEM_FILES; /* no file's handle */
}

static struct mem_file *
mem_create(struct mem_disk *d, const char *name)
{
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (f->used)
			continue;
		memset(f, 0, sizeof(*f));
		f->used = true;
		strncpy(f->name, name, MEM_NAME - 1);
		return f;
	}
	return NULL;
}

static int
mem_open_file(void *arg, const char *path, int flags)
{
	struct mem_disk *d = arg;
	const char *name = mem_base(path);
	struct mem_file *f = mem_find(d, name);
	int rc = mem_step(d, (flags & O_CREAT) != 0, false);

	if (rc != 0)
		return rc;
	if (f == NULL && (flags & O_CREAT) == 0)
		return -ENOENT;
	if (f == NULL)
		f = mem_create(d, name);
	if (f == NULL)
		return -ENFILE;
	if ((flags & O_TRUNC) != 0)
		f->now.len = 0;
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
	int rc = mem_step(d, false, false);

	if (rc != 0)
		return rc;
	if ((size_t)at >= b->len)
		return 0;
	if (len > b->len - (size_t)at)
		len = b->len - (size_t)at;
	memcpy(data, b->data + at, len);
	return (ssize_t)len;
}

static ssize_t
mem_write_file(void *arg, int fd, const void *data, size_t len, off_t at)
{
	struct mem_disk *d = arg;
	struct buf *b = &d->file[fd].now;
	int rc = mem_step(d, true, false);
	size_t half = len / 2 + 1;

	if (rc == 0 && len > 1)
		len = half; /* short writes are allowed */
	else if (rc == -EIO)
		len = half; /* a failed write may leave a part behind */
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
	int rc = mem_step(d, true, false);

	if (rc == 0)
		d->file[fd].now.len = (size_t)len;
	return rc;
}

/*
 * Syncs what was written since the last sync. As on a real system, a failed
 * sync forgets what was dirty: later ones do not write it.
 */
static int
mem_sync_file(void *arg, int fd)
{
	struct mem_disk *d = arg;
	struct mem_file *f = &d->file[fd];
	int rc = mem_step(d, false, true);

	if (d->sync_failed)
		d->syncs_after_failure++;
	if (rc != 0)
		d->sync_failed = true;
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
	struct mem_file *f = mem_find(d, mem_base(from));
	struct mem_file *old = mem_find(d, mem_base(to));
	int rc = mem_step(d, false, false);

	if (rc != 0)
		return rc;
	if (f == NULL)
		return -ENOENT;
	if (old != NULL)
		old->name[0] = '\0';
	strncpy(f->name, mem_base(to), MEM_NAME - 1);
	return 0;
}

static int
mem_remove_file(void *arg, const char *path)
{
	struct mem_disk *d = arg;
	struct mem_file *f = mem_find(d, mem_base(path));
	int rc = mem_step(d, false, false);

	if (rc != 0)
		return rc;
	if (f == NULL)
		return -ENOENT;
	f->name[0] = '\0';
	return 0;
}

static int
mem_sync_dir(void *arg, const char *path)
{
	struct mem_disk *d = arg;
	int rc = mem_step(d, false, true);

	(void)path;
	if (rc != 0)
		return rc;
	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];

		if (!f->used)
			continue;
		memcpy(f->synced_name, f->name, MEM_NAME);
		if (f->name[0] == '\0') {
			mem_unload_file(f);
		}
	}
	return 0;
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
 * Cuts the power. Of bytes not synced, each sector is kept or lost, and the
 * file keeps some length between the old and the new one. With rng NULL, all
 * that was not synced is lost. Names go back to the last sync of the folder or
 * stay as they are, all of them alike.
 */
static void
cut_power(struct mem_disk *d, struct rng *rng)
{
	bool names = rng != NULL && draw_below(rng, 2) == 0;

	for (int i = 0; i < MEM_FILES; i++) {
		struct mem_file *f = &d->file[i];
		struct buf kept = {0};
		size_t len;

		if (!f->used)
			continue;
		mem_set(&kept, view_buf(&f->synced));
		len = f->now.len;
		if (rng == NULL)
			len = kept.len;
		else if (len > kept.len)
			len = kept.len + draw_below(rng, len - kept.len + 1);
		while (kept.len < len)
			if (append_buf(&kept, "", 1) != 0)
				abort();
		for (size_t at = 0; rng != NULL && at < len; at += 512) {
			size_t n = len - at < 512 ? len - at : 512;

			if (draw_below(rng, 2) == 0 && at + n <= f->now.len)
				memcpy(kept.data + at, f->now.data + at, n);
		}
		unload_buf(&f->now);
		f->now = kept;
		mem_set(&f->synced, view_buf(&f->now));
		unload_buf(&f->dirty);
		if (names)
			memcpy(f->synced_name, f->name, MEM_NAME);
		else
			memcpy(f->name, f->synced_name, MEM_NAME);
		if (f->name[0] == '\0') {
			mem_unload_file(f);
		}
	}
	d->fault = MEM_FAULT_NONE;
	d->sync_failed = false;
	d->syncs_after_failure = 0;
	d->ops = 0;
}

static void
unload_mem_disk(struct mem_disk *d)
{
	for (int i = 0; i < MEM_FILES; i++)
		mem_unload_file(&d->file[i]);
	memset(d, 0, sizeof(*d));
}

#endif
