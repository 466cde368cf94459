/**
 * Groups the independent writes of many threads into few transactions of the table service, which
 * takes only several hundred a second.
 */
#ifndef PLATFORM_GROUP_H
#define PLATFORM_GROUP_H

#include "platform.h"

typedef struct PlatformGroup PlatformGroup;

/** What left for the table service since the group was made. */
typedef struct
{
  int64_t transactions;
  int64_t ops;
} PlatformGroupStats;

/** Transactions leave at most every interval_ms, with at most ops_max operations each. */
PlatformGroup *platform_group_new (Platform *p, int interval_ms, size_t ops_max, int timeout_ms);
/** Ends after what was submitted has had its answer. */
void platform_group_free (PlatformGroup *group);

/**
 * Submits INSERT and PUT operations (no CHECK: it would fail the others' too) and waits for their
 * transaction; all ops of one call are in one transaction. Results are in ops as with
 * PlatformOps.txn. STATUS_UNKNOWN: the reply was lost; the caller settles it by reading back.
 * STATUS_UNAVAILABLE and STATUS_FULL: certainly not applied.
 */
StatusCode platform_group_submit (PlatformGroup *group, TxnOp *ops, size_t count, Status *st);

/**
 * As platform_group_submit, but returns after wait_ms at most: STATUS_UNAVAILABLE if the operations
 * have not left yet (they never will), STATUS_UNKNOWN if they have.
 */
StatusCode platform_group_submit_within (PlatformGroup *group,
                                         TxnOp *ops,
                                         size_t count,
                                         int wait_ms,
                                         Status *st);

/**
 * After so many failed transactions in a row the table service is taken for down: calls are refused
 * at once with STATUS_UNAVAILABLE, but for one now and then that tries it. 0: never; 3 by default.
 */
void platform_group_set_failure_threshold (PlatformGroup *group, unsigned failures);

/** Changes the interval. */
void platform_group_set_interval (PlatformGroup *group, int interval_ms);

/** Transactions a second that all groups of a site share; what else is written is far less. */
#define PLATFORM_GROUP_SITE_TXNS_PER_S 180

/** The interval with which a site of so many members stays under PLATFORM_GROUP_SITE_TXNS_PER_S. */
int platform_group_site_interval_ms (unsigned members);

void platform_group_stats (PlatformGroup *group, PlatformGroupStats *out);

#endif
