/**
 * The sequential test of one open roll-out, fed with the totals of several stewards: only the
 * increase since the last totals of the same steward is added, so that nothing counts twice. Not
 * locked.
 */
#ifndef STEWARD_ROLLOUT_WATCH_H
#define STEWARD_ROLLOUT_WATCH_H

#include "choose_rollout.h"
#include "steward_evidence.h"

#define WATCH_SOURCE_SIZE 24

typedef struct RolloutWatch RolloutWatch;

/** teams: number of teams in the configuration. stewards: number of stewards that run such a test;
 * each then needs stronger evidence, so that the share of false alarms stays the same. */
RolloutWatch *
rollout_watch_new (const EvidenceRollout *rollout, size_t teams, size_t stewards, int64_t now);
void rollout_watch_free (RolloutWatch *w);
/** True if the test is of this roll-out. */
bool rollout_watch_matches (const RolloutWatch *w, const EvidenceRollout *rollout);
/** Adds the totals of the steward that source names; those of another roll-out are ignored. */
void rollout_watch_add_totals (RolloutWatch *w, const char *source, const EvidenceRollout *totals);
/** Feeds the added evidence to the test and returns its decision; stage is the one in force. */
RolloutDecision rollout_watch_decide (RolloutWatch *w, size_t stage, int64_t now);
/** Upper bound on the callers that may have been given the new version: a caller is counted once in
 * each report that names it. */
int64_t rollout_watch_callers (const RolloutWatch *w);

#endif
