/**
 * Circuit breaker of one backend server: after consecutive failures it gets no new requests for an
 * interval that doubles with each further failure, then a single request as a probe. The caller
 * holds the lock that guards the ServerView.
 */
#ifndef CHOOSE_BREAKER_H
#define CHOOSE_BREAKER_H

#include "choose_server.h"

#define BREAKER_FAILURES    3     /**< consecutive failures that open the breaker */
#define BREAKER_OPEN_MIN_MS 1000  /**< interval after the first opening */
#define BREAKER_OPEN_MAX_MS 30000 /**< longest interval, without jitter */
#define BREAKER_PROBE_MS    10000 /**< how long other requests are held off while a probe runs */

/** Records an attempt that failed because of the server (refused, cut or timed out). random spreads
 *  the time of the next probe over the gates. */
void breaker_failure (ServerView *view, int64_t now_ms, uint64_t random);
/** Records an answered attempt: closes the breaker. */
void breaker_success (ServerView *view);
/** Records that an attempt is being sent. If it is the probe, other requests are held off until it
 *  ends, for at most BREAKER_PROBE_MS. */
void breaker_sent (ServerView *view, int64_t now_ms);

#endif
