#include "front_cascade.h"
#include <math.h>

/* An answer is kept if its model trusts it at least so much, of 100. */
typedef struct
{
  double urgent;
  double least_urgent; /* whose better answers are worth less beside a larger model's cost */
  double for_wait;     /* less as the larger model's answer takes the whole objective to begin */
} KeptBar;

/* A middle model costs less than the largest and reads faster, so more answers are worth it. */
static const KeptBar bar_with_middle = { .urgent = 66, .least_urgent = 50, .for_wait = 70 };
static const KeptBar bar_two_models = { .urgent = 56, .least_urgent = 36, .for_wait = 80 };
#define LEAST_URGENT_PRIORITY 2

/* Requests that the smallest model is less sure of than this are mostly too hard for a middle one
 * as well; below the second bar nearly all are. */
#define LARGEST_BELOW 40
#define MIDDLE_FROM   30
/* The lag weighs more than a prediction: it shows a queue that still grows, in front of the
 * smallest model, too. */
#define LAG_TIMES 3.0
/* Milliseconds by which answers are late without any queue, as predictions are rough. */
#define LAG_USUAL_MS 35.0
/* A larger model is tried only while this part of the time to the first event is left. */
#define LATEST 0.6
/* Milliseconds. While a prompt is read all streams of its server stand still; longer than this they
 * would pause for more than callers accept. */
#define READING_MOST_MS 1000.0

static double
confidence_kept (const CascadeCase *c, double first_ms)
{
  const KeptBar *bar = c->has_middle ? &bar_with_middle : &bar_two_models;
  double lag_ms = fmax (c->lag_ms - LAG_USUAL_MS, 0);
  double wait = (first_ms + LAG_TIMES * lag_ms) / (double)c->objective_ms;

  return (c->priority >= LEAST_URGENT_PRIORITY ? bar->least_urgent : bar->urgent)
         - bar->for_wait * wait;
}

CascadeStep
front_cascade_step (const CascadeCase *c)
{
  bool middle_first = c->has_middle && c->confidence >= LARGEST_BELOW;
  CascadeStep step = middle_first ? CASCADE_MIDDLE : CASCADE_LARGEST;
  CascadeForecast forecast;

  if (c->confidence < 0 || (double)c->passed_ms >= (double)c->objective_ms * LATEST)
    return CASCADE_KEEP;
  forecast = c->forecast (c->user, step);
  if (step == CASCADE_LARGEST && forecast.reading_ms > READING_MOST_MS && c->has_middle
      && c->confidence >= MIDDLE_FROM)
    {
      step = CASCADE_MIDDLE;
      forecast = c->forecast (c->user, step);
    }
  if (forecast.reading_ms > READING_MOST_MS
      || c->confidence >= confidence_kept (c, forecast.first_ms))
    return CASCADE_KEEP;
  return step;
}
