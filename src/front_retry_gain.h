/**
 * Decides whether a request whose answer has not begun is sent to another server: only if it would
 * begin there sooner than where it waits. Where all servers are predicted to be late, another send
 * is load that helps nobody, unless the present server seems to have stopped. No I/O.
 */
#ifndef FRONT_RETRY_GAIN_H
#define FRONT_RETRY_GAIN_H

#include <stdbool.h>

/** All times in milliseconds. */
typedef struct
{
  double elapsed_ms;   /**< since the present server got the request */
  double predicted_ms; /**< from then until its answer was to begin */
  double other_ms;     /**< until the answer is expected to begin at the best other server */
  double objective_ms; /**< within which the answer should begin */
  double caller_ms;    /**< until the caller leaves */
} RetryGain;

typedef enum
{
  RETRY_GAIN_SOONER,   /**< it would begin sooner elsewhere */
  RETRY_GAIN_LATER,    /**< it wouldn't */
  RETRY_GAIN_ALL_LATE, /**< it would, but the other server is late as well, and the present one
                            doesn't seem to have stopped */
  RETRY_GAIN_HOPELESS, /**< the caller would have left */
} RetryGainVerdict;

RetryGainVerdict front_retry_gain (const RetryGain *gain);
/** Milliseconds until the answer can still be expected from the present server: what is left of its
 *  prediction; once that has passed, as long as it is late already. */
double front_retry_gain_left_ms (const RetryGain *gain);

#endif
