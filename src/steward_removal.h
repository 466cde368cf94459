/**
 * Finds members whose VMs no longer exist: those that have been silent, and missing in the
 * platform's list of VMs, for STEWARD_LIST_LAG_MS. The list lags and may be wrong for a while, so
 * it is never sufficient alone.
 */
#ifndef STEWARD_REMOVAL_H
#define STEWARD_REMOVAL_H

#include "steward.h"

/** Assumed lag of the list: a VM that is missing for longer, and silent, no longer runs. */
#define STEWARD_LIST_LAG_MS INT64_C (30000)
/** Interval between reads of the list. */
#define STEWARD_LIST_INTERVAL_MS 5000

typedef struct StewardRemoval StewardRemoval;

StewardRemoval *steward_removal_new (void);
void steward_removal_free (StewardRemoval *r);
/** Reads the list if that is due, and returns the number of members of the view that are to be
 * removed; *dead holds their incarnations and is freed by the caller. */
size_t steward_removal_due (StewardRemoval *r,
                            Steward *s,
                            const ClusterView *view,
                            int64_t now,
                            uint64_t **dead);
/** The decision of steward_removal_due without its I/O, for a list that was read at now. */
size_t steward_removal_select (StewardRemoval *r,
                               Steward *s,
                               const ClusterView *view,
                               const PlatformVms *vms,
                               int64_t now,
                               uint64_t **dead);

#endif
