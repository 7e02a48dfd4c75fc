/*
 * A library to preload into a gateway process; it injects the faults that a shared control page requests.
 *
 * The control page is a file that the test maps too (tests/fault_injection/injector.py has the same layout), so
 * that faults can begin and end while the process runs. Calls return only results that are documented for them.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

struct control {
    double accept_rate;     /* fraction of accept4 calls that fail with accept_errno */
    double socket_rate;     /* fraction of TCP socket calls that fail with socket_errno */
    double connect_rate;    /* fraction of TCP connects that fail with connect_errno */
    double interrupt_rate;  /* fraction of epoll waits that fail with EINTR */
    double short_io_rate;   /* fraction of socket reads and writes that transfer only one byte */
    double broken_rate;     /* fraction of socket reads that fail with ETIMEDOUT, as on a broken connection */
    int64_t wall_offset_ns; /* nanoseconds added to the wall clock */
    int32_t accept_errno;
    int32_t socket_errno;
    int32_t connect_errno;
    int32_t folder_errno;   /* errno of renames and Unix binds and connects (shared folder); 0: none */
    int32_t open_errno;     /* errno of every open of the configuration file; 0: none */
    int32_t padding;
    int64_t injected;       /* number of faults injected so far */
};

static struct control no_faults;
static struct control *control = &no_faults;
static uint64_t random_state = 88172645463325252ull;

#define REAL(function) \
    static typeof(&function) real; \
    if (!real) real = (typeof(&function))dlsym(RTLD_NEXT, #function)

__attribute__((constructor)) static void load_control(void) {
    const char *path = getenv("FAULT_CONTROL");
    const char *seed = getenv("FAULT_SEED");
    if (seed) random_state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ull;
    if (!random_state) random_state = 1;
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *page = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (page != MAP_FAILED) control = page;
}

/* Returns 1 and counts a fault with the probability `rate`; draws from xorshift64. */
static int should_inject(double rate) {
    if (rate <= 0) return 0;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    if ((double)(random_state >> 11) / 9007199254740992.0 >= rate) return 0;
    __atomic_add_fetch(&control->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail(int error) {
    errno = error;
    return -1;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

/* The mask removes SOCK_NONBLOCK and SOCK_CLOEXEC from the type. */
static int is_tcp(int domain, int type) {
    return (domain == AF_INET || domain == AF_INET6) && (type & 0xf) == SOCK_STREAM;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (should_inject(control->accept_rate)) {
        struct pollfd waiting = {fd, POLLIN, 0};
        if (poll(&waiting, 1, 0) <= 0) return fail(EAGAIN); /* no connection is waiting */
        return fail(control->accept_errno);
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (is_tcp(domain, type) && should_inject(control->socket_rate)) return fail(control->socket_errno);
    return real(domain, type, protocol);
}

/* Returns 1 and counts a fault while the shared folder has to fail. */
static int should_fail_folder(void) {
    if (!control->folder_errno) return 0;
    __atomic_add_fetch(&control->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (address && address->sa_family == AF_UNIX) {
        if (should_fail_folder()) return fail(control->folder_errno);
    } else if (address && address->sa_family == AF_INET && should_inject(control->connect_rate)) {
        return fail(control->connect_errno);
    }
    return real(fd, address, length);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(bind);
    if (address && address->sa_family == AF_UNIX && should_fail_folder()) return fail(control->folder_errno);
    return real(fd, address, length);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (should_fail_folder()) return fail(control->folder_errno);
    return real(from, to);
}

/* Returns 1 if `path` is the configuration file and its opens have to fail. */
static int should_fail_open(const char *path) {
    const char *config_path = getenv("RELAY_CONFIG");
    return control->open_errno && config_path && strcmp(path, config_path) == 0;
}

/* open and open64 are one function with two names. */
#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        int mode = va_arg(arguments, int); \
        va_end(arguments); \
        if (should_fail_open(path)) return fail(control->open_errno); \
        return real(path, flags, mode); \
    }
DEFINE_OPEN(open)
DEFINE_OPEN(open64)

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    if (should_inject(control->interrupt_rate)) return fail(EINTR);
    return real(fd, events, count, timeout, mask);
}

ssize_t read(int fd, void *buffer, size_t size) {
    REAL(read);
    if ((control->short_io_rate > 0 || control->broken_rate > 0) && is_socket(fd)) {
        if (should_inject(control->broken_rate)) return fail(ETIMEDOUT);
        if (size > 1 && should_inject(control->short_io_rate)) size = 1;
    }
    return real(fd, buffer, size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    REAL(write);
    if (control->short_io_rate > 0 && size > 1 && is_socket(fd) && should_inject(control->short_io_rate)) size = 1;
    return real(fd, buffer, size);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control->wall_offset_ns) {
        int64_t nanoseconds = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_ns;
        time->tv_sec = nanoseconds / 1000000000;
        time->tv_nsec = nanoseconds % 1000000000;
    }
    return result;
}
