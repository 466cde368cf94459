#include "bill_spool.h"
#include <string.h>

/* Bytes reserved for requests in progress: the default if their number is not known, and the limit,
 * so that half of the spool stays usable. */
#define RESERVE_DEFAULT(max) ((max) / 4)
#define RESERVE_MAX(max)     ((max) / 2)

void
bill_spool_init (BillSpool *spool, size_t spool_max, size_t in_progress_max)
{
  size_t reserved = in_progress_max * BILL_RESERVE_BYTES;

  if (in_progress_max == 0)
    reserved = RESERVE_DEFAULT (spool_max);
  if (reserved > RESERVE_MAX (spool_max))
    reserved = RESERVE_MAX (spool_max);
  *spool = (BillSpool){ .bytes_max = spool_max - reserved };
  CDS_INIT_LIST_HEAD (&spool->entries);
}

void
bill_spool_clear (BillSpool *spool)
{
  while (!cds_list_empty (&spool->entries))
    bill_spool_remove (spool, cds_list_first_entry (&spool->entries, BillEntry, node));
}

bool
bill_spool_has_room (const BillSpool *spool)
{
  return spool->bytes + BILL_RESERVE_BYTES <= spool->bytes_max;
}

bool
bill_spool_add (BillSpool *spool, BillEntry *entry)
{
  bool fits = spool->bytes + entry->bytes <= spool->bytes_max;

  if (!fits)
    bill_entry_drop_answer (entry);
  cds_list_add_tail (&bill_entry_ref (entry)->node, &spool->entries);
  entry->spooled = true;
  spool->count++;
  spool->bytes += entry->bytes;
  return fits;
}

static bool
has_key (BillEntry *const *entries, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (entries[i]->key, key) == 0)
      return true;
  return false;
}

size_t
bill_spool_oldest (BillSpool *spool, int64_t now_ms, BillEntry **out, size_t count)
{
  size_t n = 0;
  BillEntry *entry;

  cds_list_for_each_entry (entry, &spool->entries, node)
  {
    if (n == count)
      break;
    if (entry->retry_at_ms <= now_ms && !has_key (out, n, entry->key))
      out[n++] = entry;
  }
  return n;
}

void
bill_spool_remove (BillSpool *spool, BillEntry *entry)
{
  cds_list_del (&entry->node);
  entry->spooled = false;
  spool->count--;
  spool->in_object_store -= entry->place == BILL_AT_OBJECT_STORE;
  spool->bytes -= entry->bytes;
  bill_entry_unref (entry);
}

void
bill_spool_update_place (BillSpool *spool, BillEntry *entry, BillPlace place)
{
  if (place >= entry->place)
    return;
  if (entry->spooled && entry->place == BILL_AT_OBJECT_STORE)
    spool->in_object_store--;
  if (entry->spooled && place == BILL_AT_OBJECT_STORE)
    spool->in_object_store++;
  entry->place = place;
}

bool
bill_spool_may_spill (const BillSpool *spool)
{
  return spool->in_object_store > 0 && spool->bytes > spool->bytes_max / 2;
}

size_t
bill_spool_spill (BillSpool *spool)
{
  size_t spilled = 0;
  BillEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &spool->entries, node)
  {
    if (!bill_spool_may_spill (spool))
      break;
    if (entry->place != BILL_AT_OBJECT_STORE)
      continue;
    bill_spool_remove (spool, entry);
    spilled++;
  }
  return spilled;
}
