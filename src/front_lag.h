/**
 * Measures how much later than predicted the answers of model engines begin, over all engines that
 * this front uses. A front sees a small part of the requests, and its predictions count only these:
 * what other fronts add to the engines' queues shows here first.
 */
#ifndef FRONT_LAG_H
#define FRONT_LAG_H

#include <stdint.h>

typedef struct
{
  double ms;     /**< smoothed, as of at_ms */
  int64_t at_ms; /**< time of the last answer */
} FrontLag;

/** Records the lag of an answer that has begun; a negative one counts as none. */
void front_lag_add (FrontLag *lag, double lag_ms, int64_t now_ms);
/** Milliseconds by which the next answer is expected to begin later than predicted. */
double front_lag_now (const FrontLag *lag, int64_t now_ms);

#endif
