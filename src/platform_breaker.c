#include "platform_breaker.h"

#define PAUSE_FIRST_MS 100
#define PAUSE_LAST_MS  2000

bool
platform_breaker_allows (const PlatformBreaker *breaker, int64_t now_ms)
{
  return !breaker->open || now_ms >= breaker->next_try_at_ms;
}

bool
platform_breaker_failed (PlatformBreaker *breaker, int64_t now_ms)
{
  int64_t pause_max_ms
      = breaker->retry_interval_max_ms > 0 ? breaker->retry_interval_max_ms : PAUSE_LAST_MS;
  bool closed = !breaker->open;

  /* Calls that left before the breaker opened fail after it: they say nothing new. */
  if (!closed && now_ms < breaker->next_try_at_ms)
    return false;
  breaker->retry_interval_ms = closed ? PAUSE_FIRST_MS : breaker->retry_interval_ms * 2;
  if (breaker->retry_interval_ms > pause_max_ms)
    breaker->retry_interval_ms = pause_max_ms;
  breaker->open = true;
  breaker->next_try_at_ms = now_ms + breaker->retry_interval_ms;
  return closed;
}

bool
platform_breaker_succeeded (PlatformBreaker *breaker)
{
  bool open = breaker->open;

  breaker->open = false;
  return open;
}
