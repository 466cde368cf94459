/**
 * Waits until a number that was made durable here is accepted and in force on the members.
 */
#ifndef STEWARD_WAIT_H
#define STEWARD_WAIT_H

#include "steward.h"

typedef enum
{
  STEWARD_DURABLE,
  STEWARD_ACCEPTED,
  STEWARD_IN_FORCE /**< no member's gate takes new work under a lower number any more */
} StewardNumberState;

/** Waits at most wait_ms until the number has reached the given state. Returns the state that it
 * has, and how many members have the number in force. */
StewardNumberState steward_wait (Steward *s,
                                 int64_t number,
                                 StewardNumberState until,
                                 int64_t wait_ms,
                                 size_t *members_in_force,
                                 size_t *members);

const char *steward_number_state_name (StewardNumberState state);

#endif
