/**
 * Acceptance of a configuration number. A number is accepted once a majority of the members has
 * applied it. From grant_ms after the acceptance on no new work starts on earlier numbers, and
 * operators' calls report the number as in force. See docs/design/configuration.md.
 */
#ifndef CLUSTER_ACCEPT_H
#define CLUSTER_ACCEPT_H

#include "cluster_state.h"

/**
 * Returns the newest number that can be accepted under the view row, or 0 if none is above
 * accepted. row, head and accepted are as read from the table. The caller stores the result by one
 * transaction: CHECK of the view row's version, CHECK of the head row's version, PUT of the head
 * row with the same number and the new accepted. On a conflict it reads the rows and calls this
 * again.
 */
int64_t cluster_accept_number (const ClusterState *s,
                               const ClusterView *row,
                               int64_t head,
                               int64_t accepted);

/** Returns how many voting members have applied number, and how many are needed. Shown to the
 *  operator while a number is durable but not accepted. */
size_t cluster_accept_count (const ClusterState *s,
                             const ClusterView *row,
                             int64_t number,
                             size_t *needed);

#endif
