/**
 * Circuit breaker: remembers that a service is down, so that callers need not each wait for a
 * time-out, and schedules retries with exponential back-off. The caller passes the time (ms) and
 * does the locking.
 */
#ifndef PLATFORM_BREAKER_H
#define PLATFORM_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool open;                     /**< the latest attempt failed */
  int64_t retry_interval_ms;     /**< delay before the next attempt; doubles up to the maximum */
  int64_t next_try_at_ms;        /**< time of the next attempt; valid if open */
  int64_t retry_interval_max_ms; /**< 0: default of 2 s */
} PlatformBreaker;

/** True if the service may be called now. */
bool platform_breaker_allows (const PlatformBreaker *breaker, int64_t now_ms);
/** Returns true if the failure opened the breaker. */
bool platform_breaker_record_failure (PlatformBreaker *breaker, int64_t now_ms);
/** Closes the breaker; returns true if it was open. */
bool platform_breaker_record_success (PlatformBreaker *breaker);

#endif
