/**
 * Fallbacks for usage records while the table is down. Batches of records are stored as objects in
 * the object store or, if that fails, as copies on VMs in other failure domains.
 *
 * The objects of a gate are named by its incarnation and consecutive numbers from 0: a batch whose
 * write failed is written again under the same name, with the same content, before the next one. So
 * a reader that has the incarnation finds all of them by reading one number after the other, and
 * a delayed write changes nothing.
 */
#ifndef BILL_FALLBACK_H
#define BILL_FALLBACK_H

#include "bill_entry.h"

#define BILL_OBJECT_NAME_MAX 64

typedef struct BillFallback BillFallback;

/** A batch is written at most every options->batch_interval_ms. */
BillFallback *bill_fallback_new (const BillOptions *options);
void bill_fallback_free (BillFallback *fallback);

/** Reports that the gate's row, by which its objects are found, is in the table. No objects are
 *  written before. */
void bill_fallback_set_indexed (BillFallback *fallback);

/** Stores the entries with the next batch, waits for the result and returns where they are stored;
 *  BILL_AT_SPOOL if every fallback failed. */
BillPlace bill_fallback_store (BillFallback *fallback, BillEntry *const *entries, size_t count);

/** Queues a message to the replicas that the record with this key is in the table. Best effort. */
void bill_fallback_queue_done (BillFallback *fallback, const char *key);

/** Number of objects written so far. */
uint32_t bill_fallback_objects (BillFallback *fallback);

void bill_object_name (uint64_t gate, uint32_t number, char out[BILL_OBJECT_NAME_MAX]);

#endif
