/**
 * A usage record on its way to the table, with the settlement of its claim.
 */
#ifndef BILL_ENTRY_H
#define BILL_ENTRY_H

#include "bill.h"
#include <urcu/list.h>

#define BILL_TABLE     "bill"
#define BILL_ENTRY_OPS 2 /**< most operations of one entry */

typedef struct
{
  struct cds_list_head node;
  int refs;
  BillPlace place;     /**< best place so far */
  bool spooled;        /**< in a BillSpool */
  bool storing;        /**< on its way to the next place */
  bool refused;        /**< the table service called it malformed */
  int64_t retry_at_ms; /**< not written to the table before, on the boot clock */
  char *key;
  char *text;
  char *claim_key;  /**< NULL: no claim */
  char *claim_text; /**< with claim_key */
  size_t bytes;     /**< of memory, for the bounds */
} BillEntry;

/** Holds copies; one reference. claim may be NULL. */
BillEntry *bill_entry_new (const BillRecord *record, const ClaimSettlement *claim);
BillEntry *bill_entry_ref (BillEntry *entry);
/** References are counted under the caller's lock. */
void bill_entry_unref (BillEntry *entry);
/** Forgets the stored answer of the claim, which stays settled. */
void bill_entry_drop_answer (BillEntry *entry);

/** The operations that write the entry, which borrow its texts; returns their number. */
size_t bill_entry_ops (const BillEntry *entry, TxnOp ops[BILL_ENTRY_OPS]);

/** One JSON object, for the object store and for replicas; freed with free. */
char *bill_entry_json (const BillEntry *entry);
/** NULL if the text is not an entry. */
BillEntry *bill_entry_parse (const char *json);

/**
 * Writes entries to the table in one transaction. An entry whose key is there already changes
 * nothing, except for this: a request that was cut short, cancelled or unknown, and that its caller
 * sent again under the same key, is billed as its whole answer instead.
 */
StatusCode bill_entry_write (Platform *platform,
                             BillEntry *const *entries,
                             size_t count,
                             int timeout_ms,
                             Status *st);

/** Time after which the table service is asked again for a record that it refused. */
#define BILL_REFUSED_RETRY_MS 60000

/**
 * As bill_entry_write; when the service calls the transaction malformed each entry goes alone, so
 * that one does not keep the others out. On STATUS_OK, refused[i] tells those that are not in the
 * table.
 */
StatusCode bill_entry_write_each (Platform *platform,
                                  BillEntry *const *entries,
                                  size_t count,
                                  int timeout_ms,
                                  bool *refused,
                                  Status *st);

/** Logs (the first time) and counts that the table service refuses the entry, and puts off its next
 *  try. It is never dropped: the service may be misconfigured. */
void bill_entry_refused (BillEntry *entry, int64_t now_ms, const Status *st);

/** Second half of bill_entry_write, for an entry whose operations went through a PlatformGroup:
 *  insert is the result of the first of them. */
StatusCode bill_entry_replace_partial (Platform *platform,
                                       const BillEntry *entry,
                                       const TxnOp *insert,
                                       int timeout_ms,
                                       Status *st);

#endif
