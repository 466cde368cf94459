/**
 * The sequential test of one open roll-out, fed from totals of several stewards: each total is
 * turned into what is new since the last one of the same steward, so that nothing counts twice.
 * Not locked.
 */
#ifndef STEWARD_ROLLOUT_WATCH_H
#define STEWARD_ROLLOUT_WATCH_H

#include "choose_rollout.h"
#include "steward_evidence.h"

#define WATCH_SOURCE_SIZE 24

typedef struct RolloutWatch RolloutWatch;

/** teams: of the configuration. stewards: how many of them make such tests; each then needs
 *  stronger evidence, for the same share of false alarms. */
RolloutWatch *
rollout_watch_new (const EvidenceRollout *rollout, size_t teams, size_t stewards, int64_t now);
void rollout_watch_free (RolloutWatch *w);
/** Whether the watch is of this roll-out. */
bool rollout_watch_matches (const RolloutWatch *w, const EvidenceRollout *rollout);
/** Takes the totals of a steward. Those of another roll-out are left alone. */
void rollout_watch_add_totals (RolloutWatch *w, const char *source, const EvidenceRollout *totals);
/** Tests what was taken; stage is the one in force. */
RolloutDecision rollout_watch_decide (RolloutWatch *w, size_t stage, int64_t now);
/** Callers that may have been given the new version; one that several reports count is counted in
 *  each, so they are at most as many. */
int64_t rollout_watch_callers (const RolloutWatch *w);

#endif
