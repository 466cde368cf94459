/**
 * Removal of this member from the view at a graceful stop.
 */
#ifndef STEWARD_LEAVE_H
#define STEWARD_LEAVE_H

#include "steward.h"

/** Removes this member from the view, within a bounded time. To be called after the table's thread
 * has been stopped and cluster_state_leave was called. */
void steward_leave (Steward *s);

#endif
