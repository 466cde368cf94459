#include "front_cascade.h"
#include <math.h>

/* An answer is kept if its model trusts it at least so much, of 100. */
typedef struct
{
  double urgent;
  double least_urgent;  /* whose better answers are worth less beside a larger model's cost */
  double wait_discount; /* less as the larger model's answer takes the whole objective to begin */
} KeepThreshold;

/* A middle model costs less than the largest and reads faster, so more answers are worth it. */
static const KeepThreshold threshold_with_middle
    = { .urgent = 66, .least_urgent = 50, .wait_discount = 70 };
static const KeepThreshold threshold_two_models
    = { .urgent = 56, .least_urgent = 36, .wait_discount = 80 };
#define LEAST_URGENT_PRIORITY 2

/* Requests that the smallest model is less sure of than this are mostly too hard for a middle one
 * as well; below the second bar nearly all are. */
#define LARGEST_BELOW_CONFIDENCE 40
#define MIDDLE_FROM_CONFIDENCE   30
/* The lag weighs more than a prediction: it shows a queue that still grows, in front of the
 * smallest model, too. */
#define LAG_WEIGHT 3.0
/* Milliseconds by which answers are late without any queue, as predictions are rough. */
#define LAG_BASELINE_MS 35.0
/* A larger model is tried only while this part of the time to the first event is left. */
#define ELAPSED_SHARE_MAX 0.6
/* Milliseconds. While a prompt is read all streams of its server stand still; longer than this they
 * would pause for more than callers accept. */
#define READING_MAX_MS 1000.0

static double
keep_threshold (const CascadeCase *c, double first_ms)
{
  const KeepThreshold *threshold = c->has_middle ? &threshold_with_middle : &threshold_two_models;
  double lag_ms = fmax (c->lag_ms - LAG_BASELINE_MS, 0);
  double wait = (first_ms + LAG_WEIGHT * lag_ms) / (double)c->objective_ms;

  return (c->priority >= LEAST_URGENT_PRIORITY ? threshold->least_urgent : threshold->urgent)
         - threshold->wait_discount * wait;
}

CascadeStep
front_cascade_step (const CascadeCase *c)
{
  bool middle_first = c->has_middle && c->confidence >= LARGEST_BELOW_CONFIDENCE;
  CascadeStep step = middle_first ? CASCADE_MIDDLE : CASCADE_LARGEST;
  CascadeForecast forecast;

  if (c->confidence < 0 || (double)c->passed_ms >= (double)c->objective_ms * ELAPSED_SHARE_MAX)
    return CASCADE_KEEP;
  forecast = c->forecast (c->user, step);
  if (step == CASCADE_LARGEST && forecast.reading_ms > READING_MAX_MS && c->has_middle
      && c->confidence >= MIDDLE_FROM_CONFIDENCE)
    {
      step = CASCADE_MIDDLE;
      forecast = c->forecast (c->user, step);
    }
  if (forecast.reading_ms > READING_MAX_MS
      || c->confidence >= keep_threshold (c, forecast.first_ms))
    return CASCADE_KEEP;
  return step;
}
