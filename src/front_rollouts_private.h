/**
 * Internal interface of the front_rollouts*.c files.
 */
#ifndef FRONT_ROLLOUTS_PRIVATE_H
#define FRONT_ROLLOUTS_PRIVATE_H

#include "front_rollouts.h"

/* front_rollouts_base.c */
/* Sets the base version to the one that most servers have, if there is any. */
void rollouts_find_base (FrontRollout *rollout, FrontServers *servers);
/* Finds another base version if the one in use has no servers; true if it has some then. */
bool rollouts_update_base (FrontRollout *rollout, FrontServers *servers);
/* Sets the base version to the one that a status names. */
void rollouts_learn_base (FrontRollout *rollout, const RolloutStatus *status, int64_t row_version);
/* True if the status is of an order that replaced the known one. */
bool rollouts_is_of_later_order (const FrontRollout *rollout,
                                 const RolloutStatus *status,
                                 int64_t row_version);
/* True if servers of this version take work. */
bool rollouts_have_servers (FrontServers *servers, const char *service, const char *version);

#endif
