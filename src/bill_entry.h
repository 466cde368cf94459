/**
 * A usage record that is to be written to the table, together with the settlement of its claim.
 */
#ifndef BILL_ENTRY_H
#define BILL_ENTRY_H

#include "bill.h"
#include <urcu/list.h>

#define BILL_TABLE     "bill"
#define BILL_ENTRY_OPS 2 /**< upper bound on the table operations of one entry */

typedef struct
{
  struct cds_list_head node;
  int refs;            /**< references */
  BillPlace place;     /**< first place, in the order of BillPlace, that has the entry */
  bool spooled;        /**< in a BillSpool */
  bool storing;        /**< bill_commit is storing it in a fallback */
  bool refused;        /**< the table service rejected it as malformed */
  int64_t retry_at_ms; /**< boot clock: no write to the table before this */
  char *key;
  char *text;
  char *claim_key;  /**< NULL: no claim */
  char *claim_text; /**< with claim_key */
  size_t bytes;     /**< memory used, for the limits */
} BillEntry;

/** Copies its arguments; returns one reference. claim may be NULL. */
BillEntry *bill_entry_new (const BillRecord *record, const ClaimSettlement *claim);
BillEntry *bill_entry_ref (BillEntry *entry);
/** The reference count is protected by the caller's lock. */
void bill_entry_unref (BillEntry *entry);
/** Removes the stored answer from the claim, which stays settled. */
void bill_entry_drop_answer (BillEntry *entry);

/** Fills the table operations that write the entry; they point to its texts. Returns their
 *  number. */
size_t bill_entry_ops (const BillEntry *entry, TxnOp ops[BILL_ENTRY_OPS]);

/** One JSON object, for the object store and for replicas; freed with free. */
char *bill_entry_json (const BillEntry *entry);
/** NULL if the text is not an entry. */
BillEntry *bill_entry_parse (const char *json);

/**
 * Writes entries to the table in one transaction. An entry whose key exists already changes
 * nothing, with one exception: a record with outcome cut, cancelled or unknown is replaced by one
 * with outcome answered, from a caller's retry under the same key.
 */
StatusCode bill_entry_write (Platform *platform,
                             BillEntry *const *entries,
                             size_t count,
                             int timeout_ms,
                             Status *st);

/** Time until a record that the table service refused is tried again. */
#define BILL_REFUSED_RETRY_MS 60000

/**
 * Like bill_entry_write, but if the service rejects the transaction as malformed each entry is
 * written by itself, so that one bad entry does not block the others. On STATUS_OK, refused[i] is
 * true for those that were refused and are not in the table.
 */
StatusCode bill_entry_write_each (Platform *platform,
                                  BillEntry *const *entries,
                                  size_t count,
                                  int timeout_ms,
                                  bool *refused,
                                  Status *st);

/** Counts and, the first time, logs that the table service refused the entry, and sets the time of
 *  the next try. A refused entry is never dropped, because the service may be misconfigured. */
void bill_entry_mark_refused (BillEntry *entry, int64_t now_ms, const Status *st);

/** Second step of bill_entry_write, for an entry whose operations were sent through a
 *  PlatformGroup: replaces a partial record. insert is the first of these operations, with its
 *  result. */
StatusCode bill_entry_replace_partial (Platform *platform,
                                       const BillEntry *entry,
                                       const TxnOp *insert,
                                       int timeout_ms,
                                       Status *st);

#endif
