/**
 * The operator's order to move a service to another version, and the state of that roll-out.
 */
#ifndef FRONT_ROLLOUT_ORDER_H
#define FRONT_ROLLOUT_ORDER_H

#include <stdint.h>

#define ROLLOUT_TEXT_MAX 64 /**< bytes with the final NUL */
/** In place of the time at which a roll-out started: later than any. */
#define ROLLOUT_START_UNKNOWN INT64_MAX

typedef enum
{
  FRONT_ROLLOUT_RUNNING,
  FRONT_ROLLOUT_COMPLETED,   /**< the old version's servers are being stopped */
  FRONT_ROLLOUT_ROLLED_BACK, /**< the new version gets no more requests */
} FrontRolloutState;

typedef struct
{
  char service[ROLLOUT_TEXT_MAX];
  char target[ROLLOUT_TEXT_MAX]; /**< the new version */
  int64_t duration_ms;           /**< from the order until it has to be completed */
  int64_t row_version;           /**< of the order's row; distinguishes two orders */
} RolloutOrder;

/** What is reported of a roll-out. */
typedef struct
{
  char target[ROLLOUT_TEXT_MAX]; /**< of the order that it is for */
  char base[ROLLOUT_TEXT_MAX];   /**< version that the service's other requests use; "": unknown */
  FrontRolloutState state;
  int64_t started_ms; /**< ROLLOUT_START_UNKNOWN: not reported */
} RolloutStatus;

#endif
