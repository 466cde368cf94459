#include "front.h"
#include "util_span.h"

bool
front_is_ready (const Front *front)
{
  return front->stop_ms == 0 && front->config && front->servers_known;
}

uint32_t
front_failure_domain (const char *name)
{
  return (uint32_t)span_hash (span_of (name)) | 1;
}
