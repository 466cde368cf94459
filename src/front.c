#include "front.h"
#include "util_span.h"

/* Milliseconds before the process is killed by which every accepted request must have its final
 * answer, even if only that of its time-out. */
#define STOP_MARGIN_MS 1500
#define MS_PER_S       1000

bool
front_is_ready (const Front *front)
{
  return front->stop_requested_ms == 0 && front->config && front->servers_known;
}

bool
front_is_contended (const Front *front)
{
  return front->config
         && front_config_is_contended (front->config, front->settings.contention_ratio);
}

bool
front_keeps_connections (const Front *front)
{
  return front->settings.keep_connections_ms > 0 && front->stop_requested_ms == 0
         && front_is_contended (front);
}

int64_t
front_stop_left_ms (const Front *front, int64_t now_ms)
{
  int64_t stop_ms = (int64_t)(front->settings.stop_s * MS_PER_S);

  if (front->stop_requested_ms == 0)
    return INT64_MAX;
  return front->stop_requested_ms + stop_ms - STOP_MARGIN_MS - now_ms;
}

void
front_open (Front *front, int64_t now_ms)
{
  if (front->is_open || !front->listener
      || (!front_is_ready (front) && now_ms - front->started_ms < FRONT_OPEN_DELAY_MS))
    return;
  front->is_open = true;
  evconnlistener_enable (front->listener);
}

uint32_t
front_failure_domain_hash (const char *name)
{
  return (uint32_t)span_hash (span_of (name)) | 1;
}
