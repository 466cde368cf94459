#include "http_arrival.h"

int64_t
http_arrival_late_ms (int64_t passed_ms, size_t received)
{
  return passed_ms - HTTP_ARRIVAL_GRACE_MS - (int64_t)(received / HTTP_ARRIVAL_BYTES_PER_MS);
}
