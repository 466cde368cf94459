/**
 * What is known of each incarnation: an open-addressing table inside ClusterState. Entries are only
 * raised, and are forgotten all together with others that the view no longer needs; each piece of
 * news is sound by itself, so that forgetting loses freshness, never truth.
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

/** The entry of that incarnation, made with all parts at their lowest if there is none; NULL if the
 *  table is full. */
ClusterProgress *cluster_progress_get (ClusterProgressTable *t, uint64_t incarnation);

/** Raises each part to at least these. */
void cluster_progress_raise (ClusterProgress *k, int64_t number, int64_t view, int64_t as_of);

/** Forgets entries that keep() denies. */
void cluster_progress_prune (ClusterProgressTable *t,
                             bool (*keep) (const void *context, uint64_t incarnation),
                             const void *context);

#endif
