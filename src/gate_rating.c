#include "gate_rating.h"
#include "gate.h"
#include "util_clock.h"
#include "util_counter.h"

#define RATE_TIMEOUT_MS 2000
#define DOWN_FAILURES   2    /* consecutive failures after which the service counts as down */
#define DOWN_MS         5000 /* time for which cascades are then planned without ratings */
#define FIRST_MS        50   /* assumed time of a rating until one has been measured */
#define SMOOTHING       0.1  /* weight of the newest rating in the moving average */

void
gate_rating_init (GateRating *rating)
{
  *rating = (GateRating){ .ms = FIRST_MS };
  pthread_mutex_init (&rating->lock, NULL);
}

bool
gate_rating_available (GateRating *rating)
{
  bool up;

  pthread_mutex_lock (&rating->lock);
  up = clock_boot_ms () >= rating->down_until_ms;
  pthread_mutex_unlock (&rating->lock);
  return up;
}

double
gate_rating_ms (GateRating *rating)
{
  double ms;

  pthread_mutex_lock (&rating->lock);
  ms = rating->ms;
  pthread_mutex_unlock (&rating->lock);
  return ms;
}

/* After two consecutive failures cascades are planned without ratings for DOWN_MS, since each
   rating would otherwise wait for its time-out. Samples are still sent and detect that the service
   is back. */
static void
record_result (GateRating *rating, bool rated, double ms)
{
  pthread_mutex_lock (&rating->lock);
  if (rated)
    {
      rating->failures = 0;
      rating->down_until_ms = 0;
      rating->ms += SMOOTHING * (ms - rating->ms);
    }
  else if (++rating->failures >= DOWN_FAILURES)
    rating->down_until_ms = clock_boot_ms () + DOWN_MS;
  pthread_mutex_unlock (&rating->lock);
}

bool
gate_rating_rate (Gate *gate,
                  const char *quality_class,
                  const char *prompt,
                  const char *answer,
                  double *score)
{
  Platform *platform = gate->platform;
  int64_t begun_us = clock_boot_us ();
  Status st = { 0 };
  bool rated = platform->ops->rate (platform, quality_class, prompt, answer != NULL ? answer : "",
                                    RATE_TIMEOUT_MS, score, &st)
               == STATUS_OK;

  record_result (&gate->rating, rated, (double)(clock_boot_us () - begun_us) / 1000.0);
  counter_add (rated ? COUNTER_GATE_RATINGS : COUNTER_GATE_RATINGS_MISSED, 1);
  return rated;
}
