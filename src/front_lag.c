#include "front_lag.h"
#include <math.h>

/* Weight of one answer. One of 69 fronts sees 15 answers begin per second, so a burst shows within
 * a second. */
#define SMOOTHING 0.1
/* Maximum milliseconds above the current lag that one answer counts for, so that a few slow engines
 * among many don't look like a queue at all of them. */
#define STEP_MAX_MS 400.0
/* Milliseconds in which the lag halves while no answer begins: an engine's queue drains in two or
 * three seconds once it is sent less. */
#define HALF_LIFE_MS 2000.0

double
front_lag_now (const FrontLag *lag, int64_t now_ms)
{
  return lag->ms * exp2 (-(double)(now_ms - lag->at_ms) / HALF_LIFE_MS);
}

void
front_lag_add (FrontLag *lag, double lag_ms, int64_t now_ms)
{
  double known = front_lag_now (lag, now_ms);

  lag_ms = fmin (fmax (lag_ms, 0), known + STEP_MAX_MS);
  lag->ms = known + SMOOTHING * (lag_ms - known);
  lag->at_ms = now_ms;
}
