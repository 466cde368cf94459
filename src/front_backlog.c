#include "front_backlog.h"
#include <math.h>

/* Milliseconds; no server has more in front of it, as callers leave and requests time out. Bounds
 * what a wrong message can do. */
#define MOST_MS 10000.0

double
front_backlog_now (const FrontBacklog *backlog, int64_t now_ms)
{
  return fmax (0, backlog->ms - (double)(now_ms - backlog->at_ms));
}

void
front_backlog_add (FrontBacklog *backlog, double ms, int64_t now_ms)
{
  if (!(ms > 0))
    return;
  backlog->ms = fmin (front_backlog_now (backlog, now_ms) + ms, MOST_MS);
  backlog->at_ms = now_ms;
}
