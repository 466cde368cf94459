#include "choose_breaker.h"

#define JITTER_DIVISOR 4 /**< up to a quarter of the interval is added at random */

void
breaker_failure (ServerView *view, int64_t now_ms, uint64_t random)
{
  int64_t open_ms = BREAKER_OPEN_MIN_MS;
  unsigned i;

  view->failures++;
  if (view->failures < BREAKER_FAILURES)
    return;
  for (i = BREAKER_FAILURES; i < view->failures && open_ms < BREAKER_OPEN_MAX_MS; i++)
    open_ms *= 2;
  if (open_ms > BREAKER_OPEN_MAX_MS)
    open_ms = BREAKER_OPEN_MAX_MS;
  /* Without jitter all gates would probe a recovering server at the same moment. */
  open_ms += (int64_t)(random % (uint64_t)(open_ms / JITTER_DIVISOR));
  view->open_until_ms = now_ms + open_ms;
}

void
breaker_success (ServerView *view)
{
  view->failures = 0;
  view->open_until_ms = 0;
}

void
breaker_sent (ServerView *view, int64_t now_ms)
{
  if (view->failures < BREAKER_FAILURES)
    return;
  view->open_until_ms = now_ms + BREAKER_PROBE_MS;
}
