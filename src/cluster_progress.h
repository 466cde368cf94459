/**
 * Hash table with open addressing, inside ClusterState: what is known of each incarnation's
 * progress. Values of an entry only rise. When the table is full the entries that the view does not
 * need are removed. This is safe: every bound holds by itself, so a removed entry only makes what
 * is known less recent.
 */
#ifndef CLUSTER_PROGRESS_H
#define CLUSTER_PROGRESS_H

#include "cluster_state.h"

#define CLUSTER_PROGRESS_SLOTS 4096 /**< a power of two */
#define CLUSTER_PROGRESS_MAX   2048 /**< entries; more than members and previous members together */

typedef struct
{
  size_t count;
  ClusterProgress slots[CLUSTER_PROGRESS_SLOTS]; /**< incarnation 0: empty */
} ClusterProgressTable;

const ClusterProgress *cluster_progress_find (const ClusterProgressTable *t, uint64_t incarnation);

/** Returns the entry of that incarnation. A new one has number and view 0 and as_of CLUSTER_NEVER.
 *  NULL if the table is full. */
ClusterProgress *cluster_progress_get (ClusterProgressTable *t, uint64_t incarnation);

/** Raises each value of the entry to at least the given one. */
void cluster_progress_raise (ClusterProgress *k, int64_t number, int64_t view, int64_t as_of);

/** Removes the entries for which keep() is false. */
void cluster_progress_prune (ClusterProgressTable *t,
                             bool (*keep) (const void *context, uint64_t incarnation),
                             const void *context);

#endif
