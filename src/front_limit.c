#include "front_limit.h"

bool
server_limit_named (ServerLimit *limit, double per_s, int64_t now_ms)
{
  bool is_new = !limit->is_named || limit->per_s != per_s;

  limit->is_named = true;
  limit->per_s = per_s;
  limit->heard_ms = now_ms;
  return is_new;
}

bool
server_limit_absent (ServerLimit *limit, int64_t sent_ms)
{
  if (!limit->is_named || sent_ms <= limit->heard_ms)
    return false;
  limit->is_named = false;
  return true;
}
