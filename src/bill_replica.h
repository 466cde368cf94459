/**
 * Copies of usage records from gates on other VMs, in a steward's memory while the table is down
 * (BILL_AT_REPLICA). The steward writes them to the table once their gate has terminated, and
 * removes those that the gate reports as written.
 */
#ifndef BILL_REPLICA_H
#define BILL_REPLICA_H

#include "bill_entry.h"

/** Age from which copies of a running gate are written too: its report may have been lost. */
#define BILL_REPLICA_HOLD_MS INT64_C (600000)

typedef struct BillReplica BillReplica;

/** Whether a gate may still write its records itself; true if not known. */
typedef bool (*BillGateAlive) (void *context, uint64_t gate);

typedef struct
{
  size_t count;
  size_t bytes;
} BillReplicaSize;

/** Thread-safe; stores at most bytes_max bytes. */
BillReplica *bill_replica_new (size_t bytes_max);
void bill_replica_free (BillReplica *replica);

/** Stores all the records, or none and returns false: there is no room, or a text is not a valid
 *  record. Records whose keys it has already count as stored. now_ms: boot clock. */
bool bill_replica_take (BillReplica *replica,
                        uint64_t gate,
                        const char *const *records,
                        size_t count,
                        int64_t now_ms);

/** A message for bill_replica_take that the records with these keys are in the table; freed with
 *  free. *taken receives how many of the keys fitted into it. */
char *bill_replica_done_text (const char *const *keys, size_t count, size_t *taken);

/** Writes the copies that are due, those of terminated gates or older than BILL_REPLICA_HOLD_MS, to
 *  the table, in one transaction; *written receives how many. To be called again while that is not
 *  0. */
StatusCode bill_replica_flush (BillReplica *replica,
                               Platform *platform,
                               BillGateAlive alive,
                               void *context,
                               int64_t now_ms,
                               size_t *written,
                               Status *st);

void bill_replica_size (BillReplica *replica, BillReplicaSize *out);

#endif
