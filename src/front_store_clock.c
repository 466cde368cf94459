#include "front_store_clock.h"

void
store_clock_set (StoreClock *clock, int64_t store_ms, int64_t now_ms)
{
  *clock = (StoreClock){ .is_known = true, .ahead_ms = store_ms - now_ms };
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
