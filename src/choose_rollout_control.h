/**
 * What the version that a roll-out replaces does, by team and kind of request: what the new one is
 * held against. Private to choose_rollout.c.
 */
#ifndef CHOOSE_ROLLOUT_CONTROL_H
#define CHOOSE_ROLLOUT_CONTROL_H

#include "choose_rollout.h"

#define ROLLOUT_RATE_MAX 0.95 /**< of errors or slow answers that is ever thought of */

/** Sums of answers, faded by weight. */
typedef struct
{
  double answers, errors, slow, rated, ratings, squares;
} RolloutSums;

typedef struct
{
  size_t teams;
  double weight_max;
  double answers_since; /**< of the new version, since one of the old */
  RolloutSums pooled[ROLLOUT_KINDS_MAX];
  RolloutSums *by_team; /**< by team, then kind of request */
} RolloutControl;

/** What the old version does with such requests of such a team. */
typedef struct
{
  double error_rate, slow_rate;
  double mean;         /**< rating */
  double variance;     /**< of one rating */
  double error;        /**< standard error of the mean */
  double pooled_error; /**< of the mean over all teams */
} RolloutExpected;

void rollout_control_init (RolloutControl *control, size_t teams, double weight_max);
void rollout_control_clear (RolloutControl *control);
void rollout_control_add (RolloutControl *control, const RolloutEvidence *evidence);
/** True while the old version answers as well; answers of the new one are counted in. How fast
 *  answers are follows the load, so slowness is only compared at the same time; ratings and errors
 *  keep their worth. */
bool rollout_control_is_live (RolloutControl *control, unsigned answers);
RolloutExpected rollout_control_expected (const RolloutControl *control,
                                          const RolloutEvidence *evidence);

#endif
