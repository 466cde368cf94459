/**
 * Group commit: combines independent writes of many threads into few transactions, because the
 * table service handles only several hundred transactions per second.
 */
#ifndef PLATFORM_GROUP_H
#define PLATFORM_GROUP_H

#include "platform.h"

typedef struct PlatformGroup PlatformGroup;

/** Sent to the table service since the group was created. */
typedef struct
{
  int64_t transactions;
  int64_t ops;
} PlatformGroupStats;

/** Sends at most one transaction per interval_ms, each with at most ops_max operations (more only
 * if a single call submits more). timeout_ms limits each transaction. The group does not own p. */
PlatformGroup *platform_group_new (Platform *p, int interval_ms, size_t ops_max, int timeout_ms);
/** Returns after all submitted operations have been answered. NULL is allowed. */
void platform_group_free (PlatformGroup *group);

/**
 * Submits INSERT and PUT operations and waits for their transaction; all operations of one call are
 * in the same transaction. CHECK is not allowed, because its failure would fail the operations of
 * other callers. Results are stored in ops as by PlatformOps.txn. STATUS_UNKNOWN: the reply was
 * lost; the caller resolves the outcome by reading back. STATUS_UNAVAILABLE and STATUS_FULL:
 * certainly not applied.
 */
StatusCode platform_group_submit (PlatformGroup *group, TxnOp *ops, size_t count, Status *st);

/**
 * Like platform_group_submit, but returns after timeout_ms at the latest: with STATUS_UNAVAILABLE
 * if the operations have not been sent (they are withdrawn), with STATUS_UNKNOWN if they have.
 */
StatusCode platform_group_submit_within (PlatformGroup *group,
                                         TxnOp *ops,
                                         size_t count,
                                         int timeout_ms,
                                         Status *st);

/**
 * Number of consecutive failed transactions after which the table service is considered down: calls
 * then fail immediately with STATUS_UNAVAILABLE, except for occasional ones that probe the service.
 * 0: never; default: 3.
 */
void platform_group_set_failure_threshold (PlatformGroup *group, unsigned failures);

/** Changes the minimum interval between transactions. */
void platform_group_set_interval (PlatformGroup *group, int interval_ms);

/** Transactions per second, shared by all groups of a site; other writes are far fewer. */
#define PLATFORM_GROUP_SITE_TXNS_PER_S 180

/** Interval with which a site of this many members stays within PLATFORM_GROUP_SITE_TXNS_PER_S. */
int platform_group_site_interval_ms (unsigned members);

void platform_group_stats (PlatformGroup *group, PlatformGroupStats *out);

#endif
