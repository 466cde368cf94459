/**
 * A lease on a duty (a task that one steward at a time performs), stored as a table row with a
 * fencing number. See docs/design/leases.md.
 *
 * The row is {"holder","fence","lease_ms"}; its version rises with each write. A renewal writes the
 * same value again. The holder counts its lease from the send time of the last write known to have
 * taken effect. A successor counts its wait from its receipt of the first read that returned the
 * row's current version, which is later than that write. So two stewards never hold the lease at
 * the same time, whatever the offset of their clocks. Each take-over increments the fence; the row
 * is never deleted.
 *
 * An order is a command that the holder sends in its duty. Orders are sent with a time-out of
 * flight_ms, and only while the lease lasts at least that much longer; a successor waits lease_ms +
 * flight_ms. So an order arrives before the successor's first one even if the holder was paused for
 * up to flight_ms between its check and the send. After a longer pause the fencing number protects
 * receivers that check it.
 *
 * The caller does the I/O that cluster_lease_next returns and reports its result before the next
 * call. Not thread-safe.
 */
#ifndef CLUSTER_LEASE_H
#define CLUSTER_LEASE_H

#include "cluster.h"
#include "util_status.h"

#define CLUSTER_HOLDER_MAX 33 /**< bytes, including the NUL */

/** The row's value with its version; version 0: there is no row. */
typedef struct
{
  char holder[CLUSTER_HOLDER_MAX]; /**< empty: released */
  int64_t fence;
  int64_t lease_ms; /**< of the holder: a successor waits at least that long; 0: released */
  int64_t version;  /**< of the row */
} ClusterLeaseRow;

typedef struct
{
  const char *holder; /**< our own name: the steward's incarnation, 16 hexadecimal digits */
  int64_t lease_ms;   /**< how long one renewal lasts */
  int64_t renew_ms;   /**< time from the send of one renewal to the next; under lease_ms / 2 */
  int64_t flight_ms;  /**< time-out with which orders are sent: none arrives later */
  int64_t read_ms;    /**< interval at which a steward that is not the holder reads the row */
} ClusterLeaseOptions;

typedef enum
{
  CLUSTER_LEASE_IDLE, /**< nothing to do now */
  CLUSTER_LEASE_READ, /**< read the row, then cluster_lease_read */
  CLUSTER_LEASE_WRITE /**< CHECK row.version, PUT row, then cluster_lease_written */
} ClusterLeaseStep;

/** All members are private to cluster_lease.c. */
typedef struct
{
  ClusterLeaseOptions options;
  char holder[CLUSTER_HOLDER_MAX];
  bool row_known;
  ClusterLeaseRow row;     /**< as last seen */
  int64_t row_first_seen;  /**< receipt of the first read that showed row.version */
  int64_t next_io_at;      /**< no read or write before this time */
  bool held;               /**< the row as last seen is ours */
  int64_t held_from;       /**< send time from which the lease counts */
  bool outcome_unknown;    /**< of the last write: the row has to be read */
  bool attempted;          /**< a write that checks attempt.version may still take effect */
  ClusterLeaseRow attempt; /**< the value of that write, with the version that it checks */
  int64_t attempt_sent;    /**< send time of the first such write */
  bool released;
} ClusterLease;

void cluster_lease_init (ClusterLease *l, const ClusterLeaseOptions *options);

/** Returns what to do at now. For WRITE, *row is the value to put and row->version the version to
 *  check. */
ClusterLeaseStep cluster_lease_next (ClusterLease *l, int64_t now, ClusterLeaseRow *row);

/** Reports that a read sent at sent_at returned row at received_at. */
void cluster_lease_read (ClusterLease *l,
                         int64_t sent_at,
                         int64_t received_at,
                         const ClusterLeaseRow *row);
/** Reports that a read sent at sent_at failed; the next one is due after read_ms. */
void cluster_lease_read_failed (ClusterLease *l, int64_t sent_at);

/** Reports the result of the write from cluster_lease_next, sent at sent_at. With STATUS_OK,
 *  version is the row's new version; after STATUS_UNKNOWN a read shows whether the write took
 *  effect. */
void cluster_lease_written (ClusterLease *l, int64_t sent_at, StatusCode code, int64_t version);

/** Whether an order may be sent at now: the lease lasts for at least flight_ms. To be called
 *  directly before each order. */
bool cluster_lease_may_order (const ClusterLease *l, int64_t now);
/** Milliseconds for which orders may still be sent; 0 if none. */
int64_t cluster_lease_left (const ClusterLease *l, int64_t now);
/** Fencing number for orders sent at now; 0 if none may be sent. */
int64_t cluster_lease_fence (const ClusterLease *l, int64_t now);

/** For a graceful stop: no orders may be sent from now on; *row is the value whose write releases
 *  the lease. False if we don't hold it. */
bool cluster_lease_release (ClusterLease *l, ClusterLeaseRow *row);

#endif
