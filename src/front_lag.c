#include "front_lag.h"
#include <math.h>

/* Weight of an answer: a front of 69 begins 15 a second, so that a burst shows within a second. */
#define SMOOTHING 0.1
/* Milliseconds above what is known that one answer counts for at most: a few slow engines among
 * many don't look like a queue in front of all. */
#define STEP_MAX_MS 400.0
/* Milliseconds in which it halves while no answer begins: a queue of an engine drains in two or
 * three seconds once less is sent to it. */
#define HALF_LIFE_MS 2000.0

double
front_lag_now (const FrontLag *lag, int64_t now_ms)
{
  return lag->ms * exp2 (-(double)(now_ms - lag->at_ms) / HALF_LIFE_MS);
}

void
front_lag_add (FrontLag *lag, double late_ms, int64_t now_ms)
{
  double known = front_lag_now (lag, now_ms);

  late_ms = fmin (fmax (late_ms, 0), known + STEP_MAX_MS);
  lag->ms = known + SMOOTHING * (late_ms - known);
  lag->at_ms = now_ms;
}
