/**
 * Clocks. Intervals are measured on CLOCK_BOOTTIME, which also advances while a VM is suspended, so
 * that a lease that expired during a suspension is seen as expired. Wall-clock time is only
 * recorded, for example in audit entries and usage records; daemons never compare it between VMs.
 */
#ifndef UTIL_CLOCK_H
#define UTIL_CLOCK_H

#include <stdint.h>

/** Milliseconds, and microseconds, since boot. */
int64_t clock_boot_ms (void);
int64_t clock_boot_us (void);
/** Milliseconds since the Unix epoch. */
int64_t clock_wall_ms (void);
/** Sleeps for ms milliseconds, also when interrupted by signals; returns at once if ms <= 0. */
void clock_sleep_ms (int64_t ms);

#endif
