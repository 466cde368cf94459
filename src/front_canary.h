/**
 * Second stage of a roll-out: work of the new version is concentrated on few of its servers, so
 * that they carry a load that shows faults which appear under load only, while most work still runs
 * on the old version. No I/O.
 */
#ifndef FRONT_CANARY_H
#define FRONT_CANARY_H

#include "front_rollouts.h"

/** What a front sees of a service's load. */
typedef struct
{
  unsigned running; /**< this front's requests of the service in progress */
  unsigned fronts;  /**< number of fronts, which are assumed to run about as many each */
} CanaryLoad;

/** Samples the service's load, and in the second stage chooses the servers that get the new
 *  version's work; to be called several times a second. */
void front_canary_update (FrontRollout *rollout,
                          FrontServers *servers,
                          const CanaryLoad *load,
                          int64_t now_ms);
/** Servers of the version whose hash is at most this get its work; UINT64_MAX: all. */
uint64_t front_canary_hash_max (const FrontRollout *rollout, const char *version, int64_t now_ms);

#endif
