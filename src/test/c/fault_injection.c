/*
 * Fault injection library: preloaded into a process (LD_PRELOAD), it interposes libc functions and makes their calls
 * fail as told by a table of rules.
 *
 * The environment variable FAULT_TABLE names the table, a file with one struct rule for each value of enum call, in
 * that order and in native byte order. The test maps the file too and changes the rules while the process runs. Without
 * a table no call fails. GW_CONFIG names the configuration file, whose calls have rules of their own.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/*
 * Kinds of calls. SOCKET: creating internet sockets. CONNECT: to IPv4 addresses. ACCEPT to SETSOCKOPT, CLOSE: on stream
 * sockets. FCNTL: setting the flags of stream sockets. WAIT: epoll_wait and poll. OPEN, FILE_READ: opening and reading
 * the configuration file. ANY_FILE_READ: reading any regular file. LOG_WRITE: writing to standard output or standard
 * error. WALL_CLOCK: a step of the wall clock, without failures.
 */
enum call { SOCKET, CONNECT, ACCEPT, READ, WRITE, SHUTDOWN, SETSOCKOPT, WAIT, OPEN, FILE_READ, WALL_CLOCK,
    ANY_FILE_READ, LOG_WRITE, FCNTL, CLOSE, CALL_COUNT };

struct rule {
    /* Number of failures still to inject; 0: the rule is inactive; negative: unlimited. */
    int32_t remaining;
    /* The value of errno; 0 makes a read or write on a socket transfer only one byte instead of failing. */
    int32_t error;
    /* Local or remote port of the affected sockets, 0 for any; for WALL_CLOCK the step in seconds. */
    int32_t port;
    /*
     * Probability of a failure in thousandths; 0: every matching call fails; negative: as many matching calls succeed
     * first, then every one fails.
     */
    int32_t per_mille;
    /* State of the xorshift random number generator for per_mille; must not be 0. */
    uint32_t seed;
    /* Number of failures injected so far. */
    int32_t failed;
};

/* The mapped table, NULL if there is none. */
static volatile struct rule *table;
/* The value of GW_CONFIG. */
static char config_path[4096];

__attribute__((constructor)) static void load_table(void) {
    const char *path = getenv("FAULT_TABLE");
    const char *config = getenv("GW_CONFIG");
    if (config != NULL) {
        strncpy(config_path, config, sizeof config_path - 1);
    }
    int fd = path == NULL ? -1 : openat(AT_FDCWD, path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct rule) * CALL_COUNT, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped != MAP_FAILED) {
        table = mapped;
    }
    close(fd);
}

/* The port of an IPv4 address, -1 for other address families. */
static int address_port(const struct sockaddr *address) {
    return address->sa_family == AF_INET ? ntohs(((const struct sockaddr_in *) address)->sin_port) : -1;
}

/* Whether the local or the remote port of a socket is this one. */
static int uses_port(int fd, int port) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    if (getsockname(fd, (struct sockaddr *) &address, &length) == 0
            && address_port((struct sockaddr *) &address) == port) {
        return 1;
    }
    length = sizeof address;
    return getpeername(fd, (struct sockaddr *) &address, &length) == 0
            && address_port((struct sockaddr *) &address) == port;
}

static int is_stream_socket(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

/* Whether the next matching call is to fail, by the rule's per_mille. */
static int selects_call(volatile struct rule *rule) {
    if (rule->per_mille == 0) {
        return 1;
    }
    if (rule->per_mille < 0) {
        rule->per_mille++;
        return 0;
    }
    uint32_t x = rule->seed;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    rule->seed = x;
    return (int32_t) (x % 1000) < rule->per_mille;
}

/*
 * Whether a call is to fail; if so, counts the failure and sets errno. matches: whether the call is one that the rule
 * applies to.
 */
static int inject_failure(enum call call, int matches) {
    volatile struct rule *rule = table == NULL ? NULL : &table[call];
    if (rule == NULL || rule->remaining == 0 || !matches || !selects_call(rule)) {
        return 0;
    }
    if (rule->remaining > 0) {
        rule->remaining--;
    }
    rule->failed++;
    errno = rule->error;
    return 1;
}

static int is_active(enum call call) {
    return table != NULL && table[call].remaining != 0;
}

/* Whether the rule applies to this descriptor: a stream socket with the rule's port. Leaves errno unchanged. */
static int matches_socket(enum call call, int fd) {
    if (!is_active(call)) {
        return 0;
    }
    int saved = errno;
    int matches = is_stream_socket(fd) && (table[call].port == 0 || uses_port(fd, table[call].port));
    errno = saved;
    return matches;
}

/* libc's own function of this name. */
#define REAL(name) ((__typeof__(&name)) find_real(#name))

static void *find_real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

int socket(int domain, int type, int protocol) {
    if (inject_failure(SOCKET, domain == AF_INET || domain == AF_INET6)) {
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int port = is_active(CONNECT) ? table[CONNECT].port : 0;
    if (inject_failure(CONNECT, address->sa_family == AF_INET && (port == 0 || port == address_port(address)))) {
        return -1;
    }
    return REAL(connect)(fd, address, length);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    if (inject_failure(ACCEPT, matches_socket(ACCEPT, fd))) {
        return -1;
    }
    return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (inject_failure(ACCEPT, matches_socket(ACCEPT, fd))) {
        return -1;
    }
    return REAL(accept4)(fd, address, length, flags);
}

/* Whether the descriptor is of the configuration file; checked only while FILE_READ has an active rule. */
static int is_config(int fd) {
    struct stat file;
    struct stat config;
    int saved = errno;
    int is_same = is_active(FILE_READ) && fstat(fd, &file) == 0 && stat(config_path, &config) == 0
            && file.st_ino == config.st_ino && file.st_dev == config.st_dev;
    errno = saved;
    return is_same;
}

/* Whether the descriptor is of a regular file; checked only while ANY_FILE_READ has an active rule. */
static int is_regular_file(int fd) {
    struct stat file;
    int saved = errno;
    int is_regular = is_active(ANY_FILE_READ) && fstat(fd, &file) == 0 && S_ISREG(file.st_mode);
    errno = saved;
    return is_regular;
}

ssize_t read(int fd, void *buffer, size_t size) {
    if (inject_failure(ANY_FILE_READ, is_regular_file(fd))) {
        return -1;
    }
    if (inject_failure(FILE_READ, is_config(fd))) {
        return -1;
    }
    if (inject_failure(READ, matches_socket(READ, fd))) {
        if (errno != 0) {
            return -1;
        }
        size = size > 1 ? 1 : size;
    }
    return REAL(read)(fd, buffer, size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    if (inject_failure(LOG_WRITE, fd == STDOUT_FILENO || fd == STDERR_FILENO)) {
        return -1;
    }
    if (inject_failure(WRITE, matches_socket(WRITE, fd))) {
        if (errno != 0) {
            return -1;
        }
        size = size > 1 ? 1 : size;
    }
    return REAL(write)(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *vectors, int count) {
    if (inject_failure(WRITE, matches_socket(WRITE, fd))) {
        if (errno != 0) {
            return -1;
        }
        return REAL(write)(fd, vectors[0].iov_base, vectors[0].iov_len > 1 ? 1 : vectors[0].iov_len);
    }
    return REAL(writev)(fd, vectors, count);
}

int shutdown(int fd, int how) {
    if (inject_failure(SHUTDOWN, matches_socket(SHUTDOWN, fd))) {
        return -1;
    }
    return REAL(shutdown)(fd, how);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    if (inject_failure(SETSOCKOPT, matches_socket(SETSOCKOPT, fd))) {
        return -1;
    }
    return REAL(setsockopt)(fd, level, name, value, length);
}

/* Closes the descriptor even if the call is to fail, as Linux does. */
int close(int fd) {
    int must_fail = inject_failure(CLOSE, matches_socket(CLOSE, fd));
    int error = errno;
    int result = REAL(close)(fd);
    if (must_fail) {
        errno = error;
        return -1;
    }
    return result;
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    if (inject_failure(WAIT, 1)) {
        return -1;
    }
    return REAL(epoll_wait)(epoll, events, max_events, timeout);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    if (inject_failure(WAIT, 1)) {
        return -1;
    }
    return REAL(poll)(fds, count, timeout);
}

static int set_flags(int fd, int command, long argument) {
    if (inject_failure(FCNTL, command == F_SETFL && matches_socket(FCNTL, fd))) {
        return -1;
    }
    return REAL(fcntl)(fd, command, argument);
}

int fcntl(int fd, int command, ...) {
    va_list arguments;
    va_start(arguments, command);
    long argument = va_arg(arguments, long);
    va_end(arguments);
    return set_flags(fd, command, argument);
}

int fcntl64(int fd, int command, ...) {
    va_list arguments;
    va_start(arguments, command);
    long argument = va_arg(arguments, long);
    va_end(arguments);
    return set_flags(fd, command, argument);
}

int open(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (inject_failure(OPEN, strcmp(path, config_path) == 0)) {
        return -1;
    }
    return REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (inject_failure(OPEN, strcmp(path, config_path) == 0)) {
        return -1;
    }
    return REAL(open64)(path, flags, mode);
}

static int64_t wall_clock_step_s(void) {
    return is_active(WALL_CLOCK) ? table[WALL_CLOCK].port : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) {
        time->tv_sec += wall_clock_step_s();
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    int result = REAL(gettimeofday)(time, zone);
    time->tv_sec += wall_clock_step_s();
    return result;
}
