#include "util_clock.h"
#include <errno.h>
#include <time.h>

#define MS_PER_S  1000
#define US_PER_S  1000000
#define NS_PER_US 1000
#define NS_PER_MS 1000000

int64_t
clock_boot_ms (void)
{
  return clock_boot_us () / (US_PER_S / MS_PER_S);
}

int64_t
clock_boot_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

int64_t
clock_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

void
clock_sleep_ms (int64_t ms)
{
  struct timespec left = { .tv_sec = ms / MS_PER_S, .tv_nsec = ms % MS_PER_S * NS_PER_MS };

  if (ms <= 0)
    return;
  while (nanosleep (&left, &left) < 0 && errno == EINTR)
    continue;
}
