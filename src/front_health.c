#include "front_health.h"
#include <math.h>

/* Milliseconds. Half-life of failures and answers: long enough to avoid a server that fails two of
 * five requests, short enough to use a repaired one again soon. */
#define DECAY_HALF_LIFE_MS 4000.0
/* An unreachable server is tried again after AVOID_FIRST_MS, then after twice as long each time, up
 * to AVOID_MAX_MS: crashed servers are back within some seconds. */
#define AVOID_FIRST_MS   800
#define AVOID_MAX_MS     3200
#define AVOID_FULL_MS    150 /* a full server frees a slot about as often as a request ends there */
#define FAILURES_MIN     2.0 /* decayed; from these on a majority of failures is no coincidence */
#define AVOID_FAILING_MS 1500
/* Milliseconds that a failed request costs its caller: another attempt, with its prompt read
 * again. */
#define FAILURE_COST_MS 1500.0
#define PRIOR_ANSWERS   2.0 /* one failure at a server without other answers weighs a third */
#define LAG_SMOOTHING   0.2 /* weight of one answer */
#define LAG_MAX_MS      5000.0
/* Share of the lag that the next request is expected to meet. Most lag comes from other fronts'
 * prompts that were read first, and does not delay the next answer; a server that has become slow
 * shows a lag of seconds. Counted in full, lag would send requests to other failure domains. */
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

static void
add_lag (FrontHealth *health, double lag_ms)
{
  double lag = fmin (fmax (lag_ms, 0), LAG_MAX_MS);

  health->lag_ms += LAG_SMOOTHING * (lag - health->lag_ms);
}

void
front_health_answered (FrontHealth *health, int64_t now_ms, double first_ms, double predicted_ms)
{
  decay (health, now_ms);
  health->answers += 1;
  add_lag (health, first_ms - predicted_ms);
  health->unreachable = 0;
}

void
front_health_late (FrontHealth *health, int64_t now_ms, double elapsed_ms, double predicted_ms)
{
  decay (health, now_ms);
  if (elapsed_ms - predicted_ms > health->lag_ms)
    add_lag (health, elapsed_ms - predicted_ms);
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
front_health_lag_ms (const FrontHealth *health, int64_t now_ms)
{
  return health->lag_ms * exp2 (-(double)(now_ms - health->decayed_ms) / DECAY_HALF_LIFE_MS);
}

double
front_health_penalty_ms (const FrontHealth *health, int64_t now_ms)
{
  double kept = exp2 (-(double)(now_ms - health->decayed_ms) / DECAY_HALF_LIFE_MS);
  double failures = health->failures * kept;
  double share = failures / (failures + health->answers * kept + PRIOR_ANSWERS);

  return share * FAILURE_COST_MS + LAG_WEIGHT * health->lag_ms * kept;
}
