/**
 * A duty that one steward of the site holds at a time, by a lease row in the table `duty` with a
 * fencing number. All stewards compete for it. cluster_lease.h has the rules; this does the I/O.
 */
#ifndef STEWARD_DUTY_H
#define STEWARD_DUTY_H

#include "platform.h"

#define STEWARD_DUTY_LEASE_MS INT64_C (8000)
#define STEWARD_DUTY_RENEW_MS INT64_C (2500)
/** No order to an engine takes longer to arrive: its timeout. */
#define STEWARD_DUTY_ORDER_TIMEOUT_MS INT64_C (2000)
#define STEWARD_DUTY_READ_INTERVAL_MS INT64_C (1000)

typedef struct
{
  Platform *platform;
  const char *name; /**< key of the row, e.g. "rollout" */
  const char *vm;   /**< for the audit trail */
  uint64_t incarnation;
  int64_t (*clock_ms) (void); /**< boot-time clock */
} StewardDutyOptions;

typedef struct StewardDuty StewardDuty;

/** The name and the VM's name are borrowed. */
StewardDuty *steward_duty_new (const StewardDutyOptions *options);
void steward_duty_free (StewardDuty *d);

/** Reads or writes the row if that is due; by one thread. The more members there are, the more
 *  seldom each one that does not hold the duty reads. */
void steward_duty_step (StewardDuty *d, size_t members);
/** Gives the duty back, for a planned stop; no order may be sent from now on. */
void steward_duty_release (StewardDuty *d);

/** Whether an order may be sent now; from any thread, directly before each order. */
bool steward_duty_may_order (StewardDuty *d);
/** Fencing number for our orders; 0 if we may send none. */
int64_t steward_duty_fence (StewardDuty *d);
/**
 * The condition that a transaction of the duty carries: the row is still as we wrote it last. A
 * holder that was paused between its check of the lease and the send of the transaction changes
 * nothing: its successor has written the row since. By the thread of steward_duty_step.
 */
TxnOp steward_duty_condition (const StewardDuty *d);

/** Time between reads of one of so many members, so that all together read a bounded number of
 *  times a second. */
int64_t steward_duty_read_interval_ms (size_t members);

#endif
