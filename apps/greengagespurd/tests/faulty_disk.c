/*
 * A layer below the daemon's file operations that refuses or delays them, as
 * full, failing and stalled disks do. Linked into greengagespurd_faulty_disk,
 * whose calls it replaces by symbol. Environment variables:
 *
 * GGS_FAULTY_DIR: only files below this folder are affected.
 * GGS_FAULTY_SWITCH: a file that is read before each operation; its words
 *   switch the faults on. An empty or missing file: none.
 *
 *   write: writes are refused; with part, half of the bytes are written first
 *   name: files cannot be created, renamed, removed or shortened
 *   sync: syncs are refused, of files and folders
 *   read: reads are refused
 *   room=N: writes that would let the files in the folder grow beyond N bytes
 *     in all are refused, as on a full disk; the part that fits is written
 *   errno=N: of refused operations; ENOSPC without it
 *   hang_ms=N: writes and syncs take this long first, while switched on
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS_MAX 4096 /* of files; a higher one is never affected */
#define SWITCH_BYTES 256
#define HANG_STEP_NS 10000000 /* between looks at the switch while hanging */

struct faults {
	bool write, part, name, sync, read;
	int error;
	long long room; /* 0: no bound */
	long hang_ms;
};

static volatile bool affected[DESCRIPTORS_MAX];
static volatile bool cut_short[DESCRIPTORS_MAX]; /* the last write */

static struct faults read_switch(void);
static struct faults read_switch_after_hang(void);
static bool is_affected(int fd);
static bool is_affected_path(const char *path);
static bool refuse_names(const char *path);
static int sync_descriptor(long number, int fd);
static ssize_t write_descriptor(
    int fd, const void *data, size_t len, off_t at, bool has_at);
static size_t fit_into_room(
    long long room, int fd, size_t len, off_t at, bool has_at);
static long long get_folder_bytes(void);
static bool refuse_read(int fd);

int
open(const char *path, int flags, ...)
{
	bool is_ours = is_affected_path(path);
	mode_t mode = 0;
	va_list ap;
	int fd;

	va_start(ap, flags);
	if ((flags & O_CREAT) != 0)
		mode = va_arg(ap, mode_t);
	va_end(ap);
	if (is_ours && (flags & O_CREAT) != 0 &&
	    syscall(SYS_faccessat, AT_FDCWD, path, F_OK) != 0 &&
	    refuse_names(path))
		return -1;
	fd = (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
	if (fd >= 0 && fd < DESCRIPTORS_MAX)
		affected[fd] = is_ours;
	return fd;
}

int
close(int fd)
{
	if (fd >= 0 && fd < DESCRIPTORS_MAX)
		affected[fd] = false;
	return (int)syscall(SYS_close, fd);
}

ssize_t
write(int fd, const void *data, size_t len)
{
	return write_descriptor(fd, data, len, 0, false);
}

ssize_t
pwrite(int fd, const void *data, size_t len, off_t at)
{
	return write_descriptor(fd, data, len, at, true);
}

ssize_t
read(int fd, void *data, size_t len)
{
	return refuse_read(fd) ? -1 : syscall(SYS_read, fd, data, len);
}

ssize_t
pread(int fd, void *data, size_t len, off_t at)
{
	return refuse_read(fd) ? -1 : syscall(SYS_pread64, fd, data, len, at);
}

int
ftruncate(int fd, off_t len)
{
	struct faults f = read_switch();

	if (is_affected(fd) && f.name) {
		errno = f.error;
		return -1;
	}
	return (int)syscall(SYS_ftruncate, fd, len);
}

int
fsync(int fd)
{
	return sync_descriptor(SYS_fsync, fd);
}

int
fdatasync(int fd)
{
	return sync_descriptor(SYS_fdatasync, fd);
}

int
rename(const char *from, const char *to)
{
	if (refuse_names(from))
		return -1;
	return (int)syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

int
unlink(const char *path)
{
	if (refuse_names(path))
		return -1;
	return (int)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
}

int
mkdir(const char *path, mode_t mode)
{
	if (refuse_names(path))
		return -1;
	return (int)syscall(SYS_mkdirat, AT_FDCWD, path, mode);
}

/*
 * Reads the switch by system calls, which this file does not replace.
 */
static struct faults
read_switch(void)
{
	const char *path = getenv("GGS_FAULTY_SWITCH");
	struct faults f = {.error = ENOSPC};
	char text[SWITCH_BYTES] = "", *word, *rest = text;
	ssize_t n = -1;
	int fd = -1;

	if (path != NULL)
		fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY, 0);
	if (fd >= 0) {
		n = syscall(SYS_read, fd, text, sizeof(text) - 1);
		(void)syscall(SYS_close, fd);
	}
	text[n > 0 ? n : 0] = '\0';
	while ((word = strtok_r(rest, " \n", &rest)) != NULL) {
		f.write = f.write || strcmp(word, "write") == 0;
		f.part = f.part || strcmp(word, "part") == 0;
		f.name = f.name || strcmp(word, "name") == 0;
		f.sync = f.sync || strcmp(word, "sync") == 0;
		f.read = f.read || strcmp(word, "read") == 0;
		if (strncmp(word, "errno=", 6) == 0)
			f.error = atoi(word + 6);
		if (strncmp(word, "hang_ms=", 8) == 0)
			f.hang_ms = atol(word + 8);
		if (strncmp(word, "room=", 5) == 0)
			f.room = atoll(word + 5);
	}
	return f;
}

/*
 * Waits as long as the switch says, or until it is changed; returns what it says
 * then.
 */
static struct faults
read_switch_after_hang(void)
{
	struct timespec step = {0, HANG_STEP_NS};
	struct faults f = read_switch();

	for (long waited_ms = 0; waited_ms < f.hang_ms;
	     waited_ms += HANG_STEP_NS / 1000000) {
		nanosleep(&step, NULL);
		f = read_switch();
	}
	return f;
}

static bool
is_affected(int fd)
{
	return fd >= 0 && fd < DESCRIPTORS_MAX && affected[fd];
}

static bool
is_affected_path(const char *path)
{
	const char *dir = getenv("GGS_FAULTY_DIR");

	return dir != NULL && strncmp(path, dir, strlen(dir)) == 0;
}

/*
 * Returns whether a change of this name is refused, and sets errno then.
 */
static bool
refuse_names(const char *path)
{
	struct faults f = read_switch();

	if (!is_affected_path(path) || !f.name)
		return false;
	errno = f.error;
	return true;
}

static int
sync_descriptor(long number, int fd)
{
	if (is_affected(fd)) {
		struct faults f = read_switch_after_hang();

		if (f.sync) {
			errno = f.error;
			return -1;
		}
	}
	return (int)syscall(number, fd);
}

static ssize_t
write_descriptor(int fd, const void *data, size_t len, off_t at, bool has_at)
{
	if (is_affected(fd)) {
		struct faults f = read_switch_after_hang();

		if (f.write && (!f.part || cut_short[fd] || len < 2)) {
			cut_short[fd] = false;
			errno = f.error;
			return -1;
		}
		cut_short[fd] = f.write;
		if (f.write)
			len /= 2;
		if (f.room > 0 && len > 0) {
			len = fit_into_room(f.room, fd, len, at, has_at);
			if (len == 0) {
				errno = ENOSPC;
				return -1;
			}
		}
	}
	return has_at ? syscall(SYS_pwrite64, fd, data, len, at) :
			syscall(SYS_write, fd, data, len);
}

/*
 * Returns how many of the bytes may be written at that offset, or at the
 * descriptor's own one.
 */
static size_t
fit_into_room(long long room, int fd, size_t len, off_t at, bool has_at)
{
	long long left = room - get_folder_bytes();
	struct stat st;

	if (fstat(fd, &st) != 0)
		return len;
	if (!has_at)
		at = lseek(fd, 0, SEEK_CUR);
	left += st.st_size - at; /* bytes that exist already need no room */
	if (left <= 0)
		return 0;
	return (long long)len < left ? len : (size_t)left;
}

static long long
get_folder_bytes(void)
{
	const char *dir = getenv("GGS_FAULTY_DIR");
	DIR *d = dir != NULL ? opendir(dir) : NULL;
	struct dirent *e;
	struct stat st;
	long long sum = 0;

	while (d != NULL && (e = readdir(d)) != NULL) {
		if (fstatat(dirfd(d), e->d_name, &st, 0) == 0 &&
		    S_ISREG(st.st_mode))
			sum += st.st_size;
	}
	if (d != NULL)
		closedir(d);
	return sum;
}

static bool
refuse_read(int fd)
{
	struct faults f;

	if (!is_affected(fd))
		return false;
	f = read_switch();
	if (f.read)
		errno = f.error;
	return f.read;
}
