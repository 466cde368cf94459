#include "front.h"

bool
front_is_ready (const Front *front)
{
  return front->stop_ms == 0 && front->config && front->servers_known;
}
