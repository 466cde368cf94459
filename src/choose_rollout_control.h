/**
 * Figures of the control, the version that a roll-out replaces, by team and kind of request.
 * Private to choose_rollout.c.
 */
#ifndef CHOOSE_ROLLOUT_CONTROL_H
#define CHOOSE_ROLLOUT_CONTROL_H

#include "choose_rollout.h"

#define ROLLOUT_RATE_MAX 0.95 /**< largest assumed rate of errors or slow answers */

/** Sums over answers, scaled down when their number exceeds weight_max; ratings and squares are the
 *  sums of the ratings and of their squares. */
typedef struct
{
  double answers, errors, slow, rated, ratings, squares;
} RolloutSums;

typedef struct
{
  size_t teams;
  double weight_max;
  double answers_since; /**< answers of the new version since the last one of the old version */
  RolloutSums pooled[ROLLOUT_KINDS_MAX];
  RolloutSums *by_team; /**< by team, then by kind of request */
} RolloutControl;

/** Expected figures of the old version for requests of one kind of one team. */
typedef struct
{
  double error_rate, slow_rate;
  double mean;                  /**< mean rating */
  double variance;              /**< variance of one rating */
  double standard_error;        /**< of mean */
  double pooled_standard_error; /**< of the mean over all teams */
} RolloutExpected;

void rollout_control_init (RolloutControl *control, size_t teams, double weight_max);
void rollout_control_clear (RolloutControl *control);
void rollout_control_add (RolloutControl *control, const RolloutEvidence *evidence);
/** True while the old version still gets requests; answers of the new version are counted. Answer
 *  times depend on the load, so slowness is only compared over the same period; ratings and errors
 *  stay comparable. */
bool rollout_control_is_live (RolloutControl *control, unsigned answers);
/** Expected figures of the old version for requests of the evidence's team and kind. */
RolloutExpected rollout_control_expected (const RolloutControl *control,
                                          const RolloutEvidence *evidence);

#endif
