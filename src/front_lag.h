/**
 * How much later than predicted answers of model engines begin, over all engines that this front
 * asks. It sees a small part of the requests, and its predictions count only its own: what other
 * fronts add to the engines' queues shows here first.
 */
#ifndef FRONT_LAG_H
#define FRONT_LAG_H

#include <stdint.h>

typedef struct
{
  double ms;     /**< smoothed, as of at_ms */
  int64_t at_ms; /**< of the last answer */
} FrontLag;

/** An answer has begun; late_ms below zero counts as none. */
void front_lag_add (FrontLag *lag, double late_ms, int64_t now_ms);
/** Milliseconds to add to a prediction. */
double front_lag_now (const FrontLag *lag, int64_t now_ms);

#endif
