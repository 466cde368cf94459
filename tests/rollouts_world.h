/**
 * One service with two servers of its version v1, as one front knows it: for the tests of
 * roll-outs.
 */
#ifndef ROLLOUTS_WORLD_H
#define ROLLOUTS_WORLD_H

#include "front_rollouts.h"

#define NOW              100000 /**< milliseconds */
#define DURATION_MS      24000
#define SESSION_MS       6000
#define SESSION_IN_SHARE 5 /**< a session hash below the first stage's share */
#define OWN_DOMAIN       1
#define OTHER_DOMAIN     2

extern FrontServers *servers;
extern FrontSessions *sessions;
extern FrontRollouts *rollouts;
extern FrontRollout *rollout;

void setup (void);
void add (const char *id, const char *version);
/** The operator orders v2. */
void order (int64_t row_version, int64_t now_ms);
/** Applies a status that tells neither base version nor start. */
bool apply_status (const char *target, FrontRolloutState state, int64_t row_version);
/** Version for a request of the session. */
const char *chosen (uint64_t session, int64_t now_ms);

#endif
