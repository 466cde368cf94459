/**
 * Circuit breaker of one backend server: after failures in a row it gets no new work for a time
 * that doubles, then one request as a probe. All calls under the lock that guards the ServerView.
 */
#ifndef CHOOSE_BREAKER_H
#define CHOOSE_BREAKER_H

#include "choose_server.h"

#define BREAKER_FAILURES    3 /**< in a row, to open */
#define BREAKER_OPEN_MIN_MS 1000
#define BREAKER_OPEN_MAX_MS 30000
#define BREAKER_PROBE_MS    10000 /**< how long a probe keeps other work away */

/** An attempt failed for the server's sake (refused, cut, timed out). random spreads the reopening
 *  over the gates. */
void breaker_failure (ServerView *view, int64_t now_ms, uint64_t random);
/** An attempt was answered. */
void breaker_success (ServerView *view);
/** An attempt is being sent; if it is the probe, other work stays away until it ends. */
void breaker_sent (ServerView *view, int64_t now_ms);

#endif
