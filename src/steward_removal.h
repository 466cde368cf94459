/**
 * Members that the platform's list of VMs no longer shows and that nobody has heard of: they are
 * taken to be gone for good. The list lags, and may be wrong for a while, so it is never enough
 * alone.
 */
#ifndef STEWARD_REMOVAL_H
#define STEWARD_REMOVAL_H

#include "steward.h"

/** The assumed lag of the list: a VM that is missing for longer, and silent, no longer runs. */
#define STEWARD_LIST_LAG_MS INT64_C (30000)
/** Between reads of the list. */
#define STEWARD_LIST_INTERVAL_MS 5000

typedef struct StewardRemoval StewardRemoval;

StewardRemoval *steward_removal_new (void);
void steward_removal_free (StewardRemoval *r);
/** Reads the list if it is time to, and gives the members of the view that are to be removed; *dead
 *  is freed by the caller. */
size_t steward_removal_due (StewardRemoval *r,
                            Steward *s,
                            const ClusterView *view,
                            int64_t now,
                            uint64_t **dead);
/** The pure part: what a list read at now shows. */
size_t steward_removal_select (StewardRemoval *r,
                               Steward *s,
                               const ClusterView *view,
                               const PlatformVms *vms,
                               int64_t now,
                               uint64_t **dead);

#endif
