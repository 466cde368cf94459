/**
 * Decides the next step of a roll-out and makes its patch of the configuration. No I/O.
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

/** Conditions on which the next step depends. */
typedef struct
{
  RolloutVerdict verdict;
  bool braked;   /**< a brake stops the new version */
  bool accepted; /**< the configuration in which the roll-out has this stage is accepted */
  bool ordered;  /**< orders were sent to the engines that serve the new version */
} RolloutStepInput;

RolloutStep rollout_step_due (const ConfigRollout *rollout, const RolloutStepInput *input);
/** The step's merge patch against the configuration in which the roll-out has this stage, so that
 * the second of two identical submissions conflicts. Freed with free. */
char *rollout_step_patch (const Config *config, const ConfigRollout *rollout, RolloutStep step);
const char *rollout_step_name (RolloutStep step);

#endif
