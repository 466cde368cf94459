/**
 * Timed waits on condition variables, unaffected by changes of the wall clock.
 */
#ifndef UTIL_WAIT_H
#define UTIL_WAIT_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** Initialises a condition variable for wait_ms. */
void wait_init (pthread_cond_t *cond);
/** Waits at most ms milliseconds until the condition is signalled; may wake spuriously. Returns
 * false on time-out, and at once if ms <= 0. */
bool wait_ms (pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms);

#endif
