/**
 * How a backend server has treated the requests sent to it. What its health page says is not
 * asked: a server that fails its requests is avoided whatever it says of itself, and one that
 * answers them is used.
 */
#ifndef FRONT_HEALTH_H
#define FRONT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double failures;        /**< failed requests lately, fading */
  double answers;         /**< answered ones, fading likewise */
  double lag_ms;          /**< how much later than predicted answers begin, smoothed */
  int64_t decayed_ms;     /**< when the sums were last faded */
  int64_t avoid_until_ms; /**< gets no work before, if there is another */
  unsigned unreachable;   /**< connections in a row that could not be opened */
} FrontHealth;

/** It answered; first_ms after sending, predicted_ms was expected. */
void
front_health_answered (FrontHealth *health, int64_t now_ms, double first_ms, double predicted_ms);
/** It cut, garbled or failed a request. */
void front_health_failed (FrontHealth *health, int64_t now_ms);
/** It turned a request away without running it, being full. */
void front_health_full (FrontHealth *health, int64_t now_ms);
/** No connection could be opened, or its answer never began. */
void front_health_unreachable (FrontHealth *health, int64_t now_ms);
bool front_health_avoided (const FrontHealth *health, int64_t now_ms);
/** Milliseconds that a request is expected to lose there to failures and slowness. */
double front_health_penalty_ms (const FrontHealth *health, int64_t now_ms);

#endif
