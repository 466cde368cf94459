#include "front_health.h"
#include <math.h>

/* Milliseconds. Failures are forgotten by half in this time: long enough to keep away from a server
 * that fails two of five requests, short enough to give a repaired one its work back. */
#define DECAY_HALF_LIFE_MS 4000.0
/* A server that could not be reached is tried again after this long, then twice as long, up to the
 * bound: crashed servers are back within some seconds. */
#define AVOID_FIRST_MS   800
#define AVOID_MAX_MS     3200
#define AVOID_FULL_MS    150 /* a full server frees a place about as often as a request ends there */
#define FAILURES_MIN     2.0 /* fading failures from which a majority of failures is no accident */
#define AVOID_FAILING_MS 1500
/* What a failed request costs its caller: another attempt, with its prompt read again. */
#define FAILURE_COST_MS 1500.0
#define PRIOR_ANSWERS   2.0 /* one failure at a server that is hardly known weighs a third */
#define LAG_SMOOTHING   0.2
#define LAG_MAX_MS      5000.0
/* Part of the lag that a request is expected to meet. Most of it is other fronts' prompts that were
 * read first, and gone by the next answer; a server that has turned slow shows a lag of seconds.
 * Counted whole, it would send requests to other failure domains. */
#define LAG_WEIGHT 0.3

static void
decay (FrontHealth *health, int64_t now_ms)
{
  double kept = exp2 (-(double)(now_ms - health->decayed_ms) / DECAY_HALF_LIFE_MS);

  health->failures *= kept;
  health->answers *= kept;
  health->lag_ms *= kept;
  health->decayed_ms = now_ms;
}

static void
avoid (FrontHealth *health, int64_t until_ms)
{
  if (until_ms > health->avoid_until_ms)
    health->avoid_until_ms = until_ms;
}

void
front_health_answered (FrontHealth *health, int64_t now_ms, double first_ms, double predicted_ms)
{
  double lag = fmin (fmax (first_ms - predicted_ms, 0), LAG_MAX_MS);

  decay (health, now_ms);
  health->answers += 1;
  health->lag_ms += LAG_SMOOTHING * (lag - health->lag_ms);
  health->unreachable = 0;
}

void
front_health_failed (FrontHealth *health, int64_t now_ms)
{
  decay (health, now_ms);
  health->failures += 1;
  if (health->failures >= FAILURES_MIN && health->failures > health->answers)
    avoid (health, now_ms + AVOID_FAILING_MS);
}

void
front_health_full (FrontHealth *health, int64_t now_ms)
{
  avoid (health, now_ms + AVOID_FULL_MS);
}

void
front_health_unreachable (FrontHealth *health, int64_t now_ms)
{
  int64_t wait_ms = AVOID_FIRST_MS << (health->unreachable < 2 ? health->unreachable : 2);

  decay (health, now_ms);
  health->failures += 1;
  health->unreachable++;
  avoid (health, now_ms + (wait_ms < AVOID_MAX_MS ? wait_ms : AVOID_MAX_MS));
}

bool
front_health_avoided (const FrontHealth *health, int64_t now_ms)
{
  return now_ms < health->avoid_until_ms;
}

double
front_health_penalty_ms (const FrontHealth *health, int64_t now_ms)
{
  double kept = exp2 (-(double)(now_ms - health->decayed_ms) / DECAY_HALF_LIFE_MS);
  double failures = health->failures * kept;
  double share = failures / (failures + health->answers * kept + PRIOR_ANSWERS);

  return share * FAILURE_COST_MS + LAG_WEIGHT * health->lag_ms * kept;
}
