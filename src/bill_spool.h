/**
 * Queue of the usage records that are not in the table yet, oldest first, with a limit in bytes.
 * Not thread-safe; does no I/O.
 */
#ifndef BILL_SPOOL_H
#define BILL_SPOOL_H

#include "bill_entry.h"

/** Room reserved for one request in progress: a record with the attempts of a cascade, and its
 *  claim without the answer. */
#define BILL_RESERVE_BYTES 2048

typedef struct
{
  struct cds_list_head entries;
  size_t count;
  size_t bytes;
  size_t bytes_max;       /**< above this no new work is accepted */
  size_t in_object_store; /**< entries that are also in the object store */
} BillSpool;

/** Reserves room in spool_max for the in_progress_max requests that may still end after new work is
 *  refused. */
void bill_spool_init (BillSpool *spool, size_t spool_max, size_t in_progress_max);
void bill_spool_clear (BillSpool *spool);

bool bill_spool_has_room (const BillSpool *spool);
/** Adds the entry in any case, because its request ran. If there is no room for the answer of its
 *  claim the answer is dropped and false returned. Takes its own reference. */
bool bill_spool_add (BillSpool *spool, BillEntry *entry);
/** Collects the oldest entries that may be tried now, at most count and no two with the same key;
 *  returns their number. Adds no references. */
size_t bill_spool_oldest (BillSpool *spool, int64_t now_ms, BillEntry **out, size_t count);
void bill_spool_remove (BillSpool *spool, BillEntry *entry);
/** Records that the entry, which may have left the spool, is stored at this place too. */
void bill_spool_update_place (BillSpool *spool, BillEntry *entry, BillPlace place);

/** True if more than half of the room is used and bill_spool_spill can free some of it. */
bool bill_spool_may_spill (const BillSpool *spool);
/** Removes the oldest entries that are in the object store until half of the room is free; returns
 *  how many. The caller has to write them to the table from the object store. */
size_t bill_spool_spill (BillSpool *spool);

#endif
