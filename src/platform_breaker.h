/**
 * Remembers that a service is down, so that not every caller waits for its timeout, and says when
 * to try it again. Takes the time as an argument; has no lock.
 */
#ifndef PLATFORM_BREAKER_H
#define PLATFORM_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool open;                 /**< the last try failed */
  int64_t retry_interval_ms; /**< before the next try; doubles with each failure up to a bound */
  int64_t next_try_at_ms;    /**< with open */
  int64_t retry_interval_max_ms; /**< 0: 2 s */
} PlatformBreaker;

/** True if the service may be called now. */
bool platform_breaker_allows (const PlatformBreaker *breaker, int64_t now_ms);
/** Returns true if the breaker was closed before. */
bool platform_breaker_failed (PlatformBreaker *breaker, int64_t now_ms);
/** Returns true if the breaker was open before. */
bool platform_breaker_succeeded (PlatformBreaker *breaker);

#endif
