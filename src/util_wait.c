#include "util_wait.h"
#include <errno.h>
#include <time.h>

/* Condition variables do not support CLOCK_BOOTTIME. CLOCK_MONOTONIC stops while a VM is suspended,
 * so a wait can end late but never early. */
#define WAIT_CLOCK CLOCK_MONOTONIC

void
wait_init (pthread_cond_t *cond)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, WAIT_CLOCK);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

bool
wait_ms (pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms)
{
  struct timespec until;

  if (ms <= 0)
    return false;
  clock_gettime (WAIT_CLOCK, &until);
  until.tv_nsec += ms % 1000 * 1000000;
  until.tv_sec += ms / 1000 + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  return pthread_cond_timedwait (cond, lock, &until) != ETIMEDOUT;
}
