#include "gate_rating.h"
#include "gate.h"
#include "util_clock.h"
#include "util_counter.h"

#define RATE_TIMEOUT_MS 2000
#define DOWN_FAILURES   2
#define DOWN_MS         5000
#define FIRST_MS        50
#define SMOOTHING       0.1

void
gate_rating_init (GateRating *rating)
{
  *rating = (GateRating){ .ms = FIRST_MS };
  pthread_mutex_init (&rating->lock, NULL);
}

bool
gate_rating_up (GateRating *rating)
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

/* After two failures in a row cascades are planned without ratings for a while, where each would
   otherwise wait for its time-out; samples go on asking and find the service back. */
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
