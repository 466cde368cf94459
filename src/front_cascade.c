#include "front_cascade.h"
#include <math.h>

/* Confidence, 0 to 100, from which an answer is kept. */
typedef struct
{
  double urgent;
  double least_urgent;  /* lower, as a better answer is worth less there compared with a larger
                           model's cost */
  double wait_discount; /* subtracted if the larger model's predicted wait takes the whole
                           objective; in proportion if less */
} KeepThreshold;

/* A middle model costs less than the largest and reads faster, so it is worth asking more often. */
static const KeepThreshold threshold_with_middle
    = { .urgent = 66, .least_urgent = 50, .wait_discount = 70 };
static const KeepThreshold threshold_two_models
    = { .urgent = 56, .least_urgent = 36, .wait_discount = 80 };
#define LEAST_URGENT_PRIORITY 2

/* Requests on which the smallest model's confidence is below LARGEST_BELOW_CONFIDENCE are mostly
 * too hard for a middle model as well; below MIDDLE_FROM_CONFIDENCE nearly all are. */
#define LARGEST_BELOW_CONFIDENCE 40
#define MIDDLE_FROM_CONFIDENCE   30
/* Weight of the lag compared with a predicted wait: lag means that queues are still growing, also
 * that of the smallest model. */
#define LAG_WEIGHT 3.0
/* Milliseconds by which answers begin late without any queue, as predictions are rough. */
#define LAG_BASELINE_MS 35.0
/* A larger model is tried only until this share of the objective has passed. */
#define ELAPSED_SHARE_MAX 0.6
/* Milliseconds. All streams of a server pause while it reads a prompt; beyond this the pause is
 * longer than callers accept. */
#define READING_MAX_MS 1000.0

static double
keep_threshold (const CascadeCase *c, const CascadeForecast *forecast)
{
  const KeepThreshold *threshold = c->has_middle ? &threshold_with_middle : &threshold_two_models;
  /* The forecast's wait and the lag measure the same lateness, which counts once. */
  double lag_ms = fmax (fmax (c->lag_ms, forecast->wait_ms) - LAG_BASELINE_MS, 0);
  double known_ms = forecast->first_ms - forecast->wait_ms;
  double wait = (known_ms + LAG_WEIGHT * lag_ms) / (double)c->objective_ms;

  return (c->priority >= LEAST_URGENT_PRIORITY ? threshold->least_urgent : threshold->urgent)
         - threshold->wait_discount * wait;
}

CascadeStep
front_cascade_step (const CascadeCase *c)
{
  bool middle_first = c->has_middle && c->confidence >= LARGEST_BELOW_CONFIDENCE;
  CascadeStep step = middle_first ? CASCADE_MIDDLE : CASCADE_LARGEST;
  CascadeForecast forecast;

  if (c->confidence < 0 || (double)c->elapsed_ms >= (double)c->objective_ms * ELAPSED_SHARE_MAX)
    return CASCADE_KEEP;
  forecast = c->forecast (c->user, step);
  if (step == CASCADE_LARGEST && forecast.reading_ms > READING_MAX_MS && c->has_middle
      && c->confidence >= MIDDLE_FROM_CONFIDENCE)
    {
      step = CASCADE_MIDDLE;
      forecast = c->forecast (c->user, step);
    }
  if (!forecast.has_server || forecast.reading_ms > READING_MAX_MS
      || c->confidence >= keep_threshold (c, &forecast))
    return CASCADE_KEEP;
  return step;
}
