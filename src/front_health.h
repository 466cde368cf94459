/**
 * Rates the health of a backend server by the results of the requests sent to it. Its own health
 * page is not used: a server that fails its requests is avoided whatever it reports, and one that
 * answers them is used.
 */
#ifndef FRONT_HEALTH_H
#define FRONT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double failures;        /**< recent failures, decayed */
  double answers;         /**< recent answers, decayed */
  double lag_ms;          /**< by which answers begin later than predicted, smoothed */
  int64_t decayed_ms;     /**< when these three were last decayed */
  int64_t avoid_until_ms; /**< until then it gets no work if there is another server */
  unsigned unreachable;   /**< failed connections in a row */
} FrontHealth;

/** Records an answer that began first_ms after sending, with predicted_ms expected. */
void
front_health_answered (FrontHealth *health, int64_t now_ms, double first_ms, double predicted_ms);
/** Records a request that was cancelled elapsed_ms after sending, before its answer began: its lag
 *  is at least that. */
void
front_health_late (FrontHealth *health, int64_t now_ms, double elapsed_ms, double predicted_ms);
/** Records a request that it cut off, garbled or failed. */
void front_health_failed (FrontHealth *health, int64_t now_ms);
/** Records a request that it rejected without running it, being full. */
void front_health_full (FrontHealth *health, int64_t now_ms);
/** Records that no connection could be opened, or that no answer began. */
void front_health_unreachable (FrontHealth *health, int64_t now_ms);
/** True while it should get no work if there is another server. */
bool front_health_avoided (const FrontHealth *health, int64_t now_ms);
/** Milliseconds by which its answers currently begin later than predicted. */
double front_health_lag_ms (const FrontHealth *health, int64_t now_ms);
/** Milliseconds that a request is expected to lose there through failures and lag. */
double front_health_penalty_ms (const FrontHealth *health, int64_t now_ms);

#endif
