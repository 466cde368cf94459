#include "front_store_clock.h"

/* By what part of the time that passes two steady clocks may drift apart. */
#define DRIFT_PART 1000
/* Milliseconds by which no answer is late: the clock has begun anew. */
#define LATE_MAX_MS 60000

void
store_clock_set (StoreClock *clock, int64_t store_ms, int64_t now_ms)
{
  int64_t ahead_ms = store_ms - now_ms;
  int64_t late_ms = clock->ahead_ms - (now_ms - clock->set_ms) / DRIFT_PART - ahead_ms;

  if (clock->is_known && !clock->is_restarted && late_ms > 0 && late_ms < LATE_MAX_MS)
    return;
  *clock = (StoreClock){ .is_known = true, .ahead_ms = ahead_ms, .set_ms = now_ms };
}

void
store_clock_restarted (StoreClock *clock)
{
  clock->is_restarted = true;
}

bool
store_clock_from_own (const StoreClock *clock, int64_t own_ms, int64_t *store_ms)
{
  *store_ms = own_ms + clock->ahead_ms;
  return clock->is_known;
}

bool
store_clock_to_own (const StoreClock *clock, int64_t store_ms, int64_t *own_ms)
{
  *own_ms = store_ms - clock->ahead_ms;
  return clock->is_known;
}
