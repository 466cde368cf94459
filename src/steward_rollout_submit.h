/**
 * Submits a step of a roll-out as a patch, under the duty's fencing.
 */
#ifndef STEWARD_ROLLOUT_SUBMIT_H
#define STEWARD_ROLLOUT_SUBMIT_H

#include "steward.h"
#include "steward_duty.h"
#include "steward_rollout_step.h"

/** Submits the step against the configuration on which it was decided; true if it is durable. If
 * another patch came first, for example the same step of another holder, the submission conflicts
 * and changes nothing. */
bool rollout_submit (Steward *s,
                     StewardDuty *duty,
                     const Config *config,
                     const ConfigRollout *rollout,
                     RolloutStep step,
                     const char *reason);

#endif
