#include "front_peer_load.h"
#include <math.h>

/* Milliseconds; no server has more in front of it, as callers leave and requests time out. Bounds
 * what a wrong message can do, as does the most that is taken to run: above any server's places. */
#define READ_MOST_MS 10000.0
#define RUNNING_MOST 1000.0
/* Milliseconds in which half of what was sent has ended: streams last two to three seconds. */
#define RUNNING_HALF_LIFE_MS 2000.0

double
front_others_read_ms (const FrontOthers *others, int64_t now_ms)
{
  return fmax (0, others->read_ms - (double)(now_ms - others->at_ms));
}

double
front_others_running (const FrontOthers *others, int64_t now_ms)
{
  return others->running * exp2 (-(double)(now_ms - others->at_ms) / RUNNING_HALF_LIFE_MS);
}

void
front_others_add (FrontOthers *others, double read_ms, double running, int64_t now_ms)
{
  double read = front_others_read_ms (others, now_ms) + (read_ms > 0 ? read_ms : 0);
  double run = front_others_running (others, now_ms) + (running > 0 ? running : 0);

  *others = (FrontOthers){ .read_ms = fmin (read, READ_MOST_MS),
                           .running = fmin (run, RUNNING_MOST),
                           .at_ms = now_ms };
}
