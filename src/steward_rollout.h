/**
 * Drives roll-outs automatically: raises a brake on a version on bad evidence and, as holder of the
 * duty "rollout", submits the steps of roll-outs as patches and sends orders to engines. See
 * docs/design/rollout-driver.md.
 */
#ifndef STEWARD_ROLLOUT_H
#define STEWARD_ROLLOUT_H

#include "steward.h"

/** Key of the duty's row, and operator name in its patches and brakes. */
#define STEWARD_ROLLOUT_DUTY     "rollout"
#define STEWARD_ROLLOUT_OPERATOR "duty:rollout"

StewardRollout *steward_rollout_start (Steward *s);
/** Stops the thread and releases the duty. To be called while the table service may still be
 * written. */
void steward_rollout_stop (StewardRollout *r);

#endif
