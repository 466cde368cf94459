/**
 * Steps of a roll-out as patches of the configuration, and what to do next. No I/O.
 */
#ifndef STEWARD_ROLLOUT_STEP_H
#define STEWARD_ROLLOUT_STEP_H

#include "choose_rollout.h"
#include "config.h"

typedef enum
{
  ROLLOUT_STEP_NONE,
  ROLLOUT_STEP_NEXT, /**< to the next stage */
  ROLLOUT_STEP_DONE, /**< the new version becomes active and the model's default */
  ROLLOUT_STEP_BACK_OUT
} RolloutStep;

/** What stands in the way of steps, or calls for one. */
typedef struct
{
  RolloutVerdict verdict;
  bool braked;   /**< a brake binds the new version */
  bool accepted; /**< the configuration in which the roll-out stands is accepted */
  bool ordered;  /**< the engines that serve the new version were told of it */
} RolloutStepInput;

RolloutStep rollout_step_due (const ConfigRollout *rollout, const RolloutStepInput *input);
/** The step's merge patch, against the configuration in which the roll-out stands: of the same
 *  step made twice the second finds another head. Freed with free. */
char *rollout_step_patch (const Config *config, const ConfigRollout *rollout, RolloutStep step);
const char *rollout_step_name (RolloutStep step);

#endif
