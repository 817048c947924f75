/*
 * The file operations of struct wal_io on the system's files.
 */
#include <sys/file.h>
#include <sys/stat.h>

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "wal.h"

#define FILE_MODE 0600
#define DIR_MODE 0700

static int make_system_dir(void *arg, const char *path);
static int list_system_dir(void *arg, const char *path,
    void (*fn)(void *fn_arg, const char *name), void *fn_arg);
static int lock_system_file(void *arg, const char *path);
static int open_system_file(void *arg, const char *path, int flags);
static int close_system_file(void *arg, int fd);
static ssize_t read_system_file(
    void *arg, int fd, void *data, size_t len, off_t at);
static ssize_t write_system_file(
    void *arg, int fd, const void *data, size_t len, off_t at);
static int truncate_system_file(void *arg, int fd, off_t len);
static int sync_system_file(void *arg, int fd);
static int rename_system_file(void *arg, const char *from, const char *to);
static int remove_system_file(void *arg, const char *path);
static int sync_system_dir(void *arg, const char *path);

struct wal_io
get_system_io(void)
{
	return (struct wal_io){make_system_dir, list_system_dir,
	    lock_system_file, open_system_file, close_system_file,
	    read_system_file, write_system_file, truncate_system_file,
	    sync_system_file, rename_system_file, remove_system_file,
	    sync_system_dir, NULL};
}

static int
make_system_dir(void *arg, const char *path)
{
	(void)arg;
	if (mkdir(path, DIR_MODE) == 0 || errno == EEXIST)
		return 0;
	return -errno;
}

static int
list_system_dir(void *arg, const char *path,
    void (*fn)(void *fn_arg, const char *name), void *fn_arg)
{
	DIR *d = opendir(path);
	struct dirent *e;
	int rc;

	(void)arg;
	if (d == NULL)
		return -errno;
	errno = 0;
	while ((e = readdir(d)) != NULL) {
		if (e->d_name[0] != '.')
			fn(fn_arg, e->d_name);
		errno = 0;
	}
	rc = -errno;
	closedir(d);
	return rc;
}

/*
 * Opens and locks a file. Returns its descriptor, or -EWOULDBLOCK when another
 * process has locked it.
 */
static int
lock_system_file(void *arg, const char *path)
{
	int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
	int rc;

	(void)arg;
	if (fd < 0)
		return -errno;
	if (flock(fd, LOCK_EX | LOCK_NB) == 0)
		return fd;
	rc = -errno;
	close(fd);
	return rc;
}

static int
open_system_file(void *arg, const char *path, int flags)
{
	int fd = open(path, flags | O_CLOEXEC, FILE_MODE);

	(void)arg;
	return fd >= 0 ? fd : -errno;
}

static int
close_system_file(void *arg, int fd)
{
	(void)arg;
	return close(fd) == 0 ? 0 : -errno;
}

static ssize_t
read_system_file(void *arg, int fd, void *data, size_t len, off_t at)
{
	ssize_t n = pread(fd, data, len, at);

	(void)arg;
	return n >= 0 ? n : -errno;
}

static ssize_t
write_system_file(void *arg, int fd, const void *data, size_t len, off_t at)
{
	ssize_t n = pwrite(fd, data, len, at);

	(void)arg;
	return n >= 0 ? n : -errno;
}

static int
truncate_system_file(void *arg, int fd, off_t len)
{
	(void)arg;
	return ftruncate(fd, len) == 0 ? 0 : -errno;
}

/*
 * Uses fdatasync(): besides the data it writes the file's size, the only
 * metadata that is needed to read the data back.
 */
static int
sync_system_file(void *arg, int fd)
{
	(void)arg;
	return fdatasync(fd) == 0 ? 0 : -errno;
}

static int
rename_system_file(void *arg, const char *from, const char *to)
{
	(void)arg;
	return rename(from, to) == 0 ? 0 : -errno;
}

static int
remove_system_file(void *arg, const char *path)
{
	(void)arg;
	return unlink(path) == 0 ? 0 : -errno;
}

/*
 * Syncs the directory's entries, so that created, renamed and removed names
 * survive a power cut.
 */
static int
sync_system_dir(void *arg, const char *path)
{
	int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int rc;

	(void)arg;
	if (fd < 0)
		return -errno;
	rc = fsync(fd) == 0 ? 0 : -errno;
	close(fd);
	return rc;
}
