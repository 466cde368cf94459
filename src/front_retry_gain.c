#include "front_retry_gain.h"

/* A server is taken for stopped if its answer is late by this many times what another one would
 * need. */
#define STOPPED_FACTOR 2

double
front_retry_gain_left_ms (const RetryGain *gain)
{
  double left_ms = gain->predicted_ms - gain->elapsed_ms;

  return left_ms >= 0 ? left_ms : -left_ms;
}

RetryGainVerdict
front_retry_gain (const RetryGain *gain)
{
  double left_ms = front_retry_gain_left_ms (gain);

  if (gain->other_ms > gain->caller_ms)
    return RETRY_GAIN_HOPELESS;
  if (gain->other_ms >= left_ms)
    return RETRY_GAIN_LATER;
  if (gain->other_ms > gain->objective_ms && left_ms < STOPPED_FACTOR * gain->other_ms)
    return RETRY_GAIN_ALL_LATE;
  return RETRY_GAIN_SOONER;
}
