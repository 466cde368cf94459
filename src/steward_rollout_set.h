/**
 * The sequential tests of all open roll-outs: one per roll-out, created when it opens and dropped
 * when it ends. Not locked.
 */
#ifndef STEWARD_ROLLOUT_SET_H
#define STEWARD_ROLLOUT_SET_H

#include "steward_rollout_watch.h"

typedef struct
{
  RolloutWatch *watches[EVIDENCE_ROLLOUTS_MAX];
  size_t count;
} RolloutSet;

/** Creates tests for the new ones of these roll-outs, keeps existing ones, and drops the tests of
 * all others. */
void rollout_set_update (RolloutSet *set,
                         const EvidenceRollout *rollouts,
                         size_t count,
                         size_t teams,
                         size_t stewards,
                         int64_t now);
void rollout_set_clear (RolloutSet *set);
/** Adds a steward's totals to the test of their roll-out; false if there is none. */
bool rollout_set_add_totals (RolloutSet *set, const char *source, const EvidenceRollout *totals);
/** The test of a roll-out, or NULL if there is none. */
RolloutWatch *rollout_set_find (const RolloutSet *set, const EvidenceRollout *rollout);

#endif
