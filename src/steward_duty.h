/**
 * A duty that at most one steward of the site holds at a time, by a lease row in the table `duty`
 * with a fencing number. All stewards compete for it. The rules of the lease are in
 * cluster_lease.h; this module does the I/O.
 */
#ifndef STEWARD_DUTY_H
#define STEWARD_DUTY_H

#include "platform.h"

/** Duration of the lease: how long one renewal lasts. */
#define STEWARD_DUTY_LEASE_MS INT64_C (8000)
/** Interval between renewals by the holder. */
#define STEWARD_DUTY_RENEW_MS INT64_C (2500)
/** Time-out of an order to an engine: no order arrives later than this after its send. */
#define STEWARD_DUTY_ORDER_TIMEOUT_MS INT64_C (2000)
/** Interval between reads of the row with few members. */
#define STEWARD_DUTY_READ_INTERVAL_MS INT64_C (1000)

typedef struct
{
  Platform *platform;
  const char *name; /**< key of the duty's row, e.g. "rollout" */
  const char *vm;   /**< name of this VM, for the audit trail */
  uint64_t incarnation;
  int64_t (*clock_ms) (void); /**< boot-time clock, ms */
} StewardDutyOptions;

typedef struct StewardDuty StewardDuty;

/** Strings in the options are borrowed. */
StewardDuty *steward_duty_new (const StewardDutyOptions *options);
void steward_duty_free (StewardDuty *d);

/** Reads or writes the row if that is due; called by one thread. The interval between reads of a
 * steward that does not hold the duty grows with the number of members. */
void steward_duty_step (StewardDuty *d, size_t members);
/** Releases the duty, for a graceful stop; no order may be sent from now on. */
void steward_duty_release (StewardDuty *d);

/** True if an order may be sent now. Callable from any thread; to be checked directly before each
 * order. */
bool steward_duty_may_order (StewardDuty *d);
/** Fencing number for this steward's orders; 0 if it may send none. */
int64_t steward_duty_fence (StewardDuty *d);
/**
 * The check that each transaction made under the duty carries: the row is still as this steward
 * wrote it last. If a holder is paused between its check of the lease and the send of the
 * transaction, a successor has written the row since, and the transaction changes nothing. To be
 * called by the thread of steward_duty_step.
 */
TxnOp steward_duty_condition (const StewardDuty *d);

/** Interval between reads of one steward, such that all members together read the row a bounded
 * number of times per second. */
int64_t steward_duty_read_interval_ms (size_t members);

#endif
