#include "platform_breaker.h"

#define RETRY_INTERVAL_MIN_MS         100
#define RETRY_INTERVAL_MAX_DEFAULT_MS 2000

bool
platform_breaker_allows (const PlatformBreaker *breaker, int64_t now_ms)
{
  return !breaker->open || now_ms >= breaker->next_try_at_ms;
}

bool
platform_breaker_record_failure (PlatformBreaker *breaker, int64_t now_ms)
{
  int64_t interval_max_ms = breaker->retry_interval_max_ms > 0 ? breaker->retry_interval_max_ms
                                                               : RETRY_INTERVAL_MAX_DEFAULT_MS;
  bool closed = !breaker->open;

  /* Failure of a call that was sent before the breaker opened: no new information. */
  if (!closed && now_ms < breaker->next_try_at_ms)
    return false;
  breaker->retry_interval_ms = closed ? RETRY_INTERVAL_MIN_MS : breaker->retry_interval_ms * 2;
  if (breaker->retry_interval_ms > interval_max_ms)
    breaker->retry_interval_ms = interval_max_ms;
  breaker->open = true;
  breaker->next_try_at_ms = now_ms + breaker->retry_interval_ms;
  return closed;
}

bool
platform_breaker_record_success (PlatformBreaker *breaker)
{
  bool open = breaker->open;

  breaker->open = false;
  return open;
}
