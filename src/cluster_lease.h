/**
 * A duty held by a lease row with a fencing number. See docs/design/leases.md.
 *
 * The row is {"holder","fence","lease_ms"}, and its version rises with each write. A renewal writes
 * the same value again. The holder's lease counts from the send time of the write that it knows to
 * have taken effect; a successor's wait counts from its own receipt of the first read that showed
 * the row's present version, which was written before; so no two hold it at once, whatever the
 * offset of their clocks. Each take-over raises the fence by one; the row is never deleted.
 *
 * Orders are sent with a timeout of flight_ms, and only while the lease lasts that much longer; a
 * successor waits lease_ms + flight_ms. So an order arrives before the successor's first one even
 * if the holder was paused for up to flight_ms between its check and the send. For longer pauses
 * the fencing number is the guard where the receiver checks it.
 *
 * The caller does the I/O that cluster_lease_next asks for and reports its outcome before the next
 * call. Not locked.
 */
#ifndef CLUSTER_LEASE_H
#define CLUSTER_LEASE_H

#include "cluster.h"
#include "util_status.h"

#define CLUSTER_HOLDER_MAX 33

/** The row's value with its version; version 0: there is no row. */
typedef struct
{
  char holder[CLUSTER_HOLDER_MAX]; /**< empty: given back */
  int64_t fence;
  int64_t lease_ms; /**< of the holder: a successor waits that long */
  int64_t version;
} ClusterLeaseRow;

typedef struct
{
  const char *holder; /**< ourselves: the steward's incarnation, 16 hexadecimal digits */
  int64_t lease_ms;   /**< how long one renewal lasts */
  int64_t renew_ms; /**< a renewal is due that long after the last one's send; under lease_ms / 2 */
  int64_t flight_ms; /**< no order takes longer to arrive; orders are sent with this timeout */
  int64_t read_ms;   /**< how often one who does not hold it looks at the row */
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
  int64_t io_at;           /**< no read or write before this, unless one is due at once */
  bool held;               /**< the row as last seen is ours */
  int64_t held_from;       /**< send time from which the lease counts */
  bool unsettled;          /**< the outcome of the last write is not known: read the row back */
  bool attempted;          /**< a write that expected attempt.version may still take effect */
  ClusterLeaseRow attempt; /**< what that write put, with the version that it expected */
  int64_t attempt_sent;    /**< send time of the first such write */
  bool given_back;
} ClusterLease;

void cluster_lease_init (ClusterLease *l, const ClusterLeaseOptions *options);

/** What to do at now. For WRITE, *row is the value to put and row->version the version to check. */
ClusterLeaseStep cluster_lease_next (ClusterLease *l, int64_t now, ClusterLeaseRow *row);

/** A read sent at sent_at, answered at received_at, gave row. */
void cluster_lease_read (ClusterLease *l,
                         int64_t sent_at,
                         int64_t received_at,
                         const ClusterLeaseRow *row);
/** A read sent at sent_at gave no row: it is tried again after the usual time between reads. */
void cluster_lease_read_failed (ClusterLease *l, int64_t sent_at);

/** The write that cluster_lease_next gave was sent at sent_at and ended with code. version: that of
 *  the row afterwards, for STATUS_OK. STATUS_UNKNOWN is settled by a read. */
void cluster_lease_written (ClusterLease *l, int64_t sent_at, StatusCode code, int64_t version);

/** Whether an order may be sent at now: the lease still lasts for the order's whole flight. Call it
 *  directly before each order. */
bool cluster_lease_may_order (const ClusterLease *l, int64_t now);
/** Milliseconds for which orders may still be sent; 0 if none. */
int64_t cluster_lease_left (const ClusterLease *l, int64_t now);
/** Fencing number for our orders; 0 if we don't hold the lease. */
int64_t cluster_lease_fence (const ClusterLease *l, int64_t now);

/** For a planned stop: no orders from now on; *row is the value that gives the lease back. False if
 *  there is nothing to give back. */
bool cluster_lease_release (ClusterLease *l, ClusterLeaseRow *row);

#endif
