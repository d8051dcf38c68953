/*
 * Preloaded into a gateway process: shifts its wall clock by the number of nanoseconds in the file that
 * WALL_CLOCK_OFFSET_FILE names (8 bytes, native byte order), which may change at any time. Other clocks are not shifted.
 */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS_PER_SECOND 1000000000LL
#define NANOSECONDS_PER_MICROSECOND 1000LL

static volatile int64_t *offset;

__attribute__((constructor)) static void map_offset(void) {
    const char *name = getenv("WALL_CLOCK_OFFSET_FILE");
    int file = name == NULL ? -1 : open(name, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        abort();
    }
    void *mapped = mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED) {
        abort();
    }
    close(file);
    offset = mapped;
}

static int is_wall_clock(clockid_t id) {
    return id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE || id == CLOCK_TAI;
}

int clock_gettime(clockid_t id, struct timespec *time) {
    long result = syscall(SYS_clock_gettime, id, time);
    if (result == 0 && offset != NULL && is_wall_clock(id)) {
        int64_t shifted = time->tv_sec * NANOSECONDS_PER_SECOND + time->tv_nsec + *offset;
        time->tv_sec = shifted / NANOSECONDS_PER_SECOND;
        time->tv_nsec = shifted % NANOSECONDS_PER_SECOND;
    }
    return (int) result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / NANOSECONDS_PER_MICROSECOND;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}
