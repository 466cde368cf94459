#include "bill_writer_private.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>

/* Records of one transaction from the spool, and the pause after it, which leaves the table service
 * free for current requests. */
#define FLUSH_MAX        128
#define FLUSH_PAUSE_MS   20
#define FLUSH_TIMEOUT_MS 2000
/* Minimum interval between writes of the gate's row, and delay after a failed read of spilled
 * records. */
#define INDEX_RETRY_MS 1000
/* Objects read before the thread checks the spool again. */
#define UNSPILL_MAX 16

bool
bill_writer_is_outage (StatusCode code)
{
  return code == STATUS_UNAVAILABLE || code == STATUS_UNKNOWN;
}

/* Removes an entry that is in the table. Called with the lock held. */
static void
mark_written (BillWriter *writer, BillEntry *entry)
{
  if (entry->place == BILL_AT_REPLICA)
    bill_fallback_queue_done (writer->fallback, entry->key);
  bill_spool_update_place (&writer->spool, entry, BILL_AT_TABLE);
  bill_spool_remove (&writer->spool, entry);
  counter_add (COUNTER_BILL_FLUSHED, 1);
}

/* Writes entries to the table. Entries that the service refuses stay in the spool and do not block
 * the others. Called with the lock held, releases it during the I/O. */
static void
flush_entries (BillWriter *writer, BillEntry **entries, size_t count)
{
  bool refused[FLUSH_MAX];
  size_t written = 0;
  Status st = { .code = STATUS_OK };
  StatusCode code;

  pthread_mutex_unlock (&writer->lock);
  code = bill_entry_write_each (writer->options.platform, entries, count, FLUSH_TIMEOUT_MS, refused,
                                &st);
  pthread_mutex_lock (&writer->lock);
  if (bill_writer_is_outage (code))
    platform_breaker_record_failure (&writer->breaker, clock_boot_ms ());
  if (code != STATUS_OK)
    return;
  for (size_t i = 0; i < count; i++)
    if (refused[i])
      bill_entry_mark_refused (entries[i], clock_boot_ms (), &st);
    else
      {
        mark_written (writer, entries[i]);
        written++;
      }
  if (written > 0 && platform_breaker_record_success (&writer->breaker))
    log_msg (MSG_BILL_TABLE_BACK, "left=\"%zu\"", writer->spool.count);
}

/* Tries the fallbacks again for entries that are only in this process. Called with the lock held,
 * releases it during the I/O. */
static void
retry_fallback (BillWriter *writer)
{
  BillEntry *entries[FLUSH_MAX];
  size_t count = 0;
  BillEntry *entry;
  BillPlace place;

  cds_list_for_each_entry (entry, &writer->spool.entries, node)
  {
    if (count == FLUSH_MAX)
      break;
    if (entry->place == BILL_AT_SPOOL && !entry->storing)
      entries[count++] = entry;
  }
  if (count == 0)
    return;
  pthread_mutex_unlock (&writer->lock);
  place = bill_fallback_store (writer->fallback, entries, count);
  pthread_mutex_lock (&writer->lock);
  for (size_t i = 0; i < count; i++)
    bill_spool_update_place (&writer->spool, entries[i], place);
}

static void
flush (BillWriter *writer)
{
  BillEntry *entries[FLUSH_MAX];
  size_t count = bill_spool_oldest (&writer->spool, clock_boot_ms (), entries, FLUSH_MAX);

  if (count > 0)
    flush_entries (writer, entries, count);
  if (writer->breaker.open)
    retry_fallback (writer);
  writer->next_flush_at_ms = clock_boot_ms () + FLUSH_PAUSE_MS;
  if (writer->breaker.open && writer->breaker.next_try_at_ms > writer->next_flush_at_ms)
    writer->next_flush_at_ms = writer->breaker.next_try_at_ms;
}

/* Writes the gate's row, by which stewards find its objects: at the start, and whenever all records
 * of the objects so far are in the table. Called with the lock held, releases it during the I/O. */
static void
index_write (BillWriter *writer, uint32_t objects)
{
  char key[BILL_GATE_KEY_SIZE];
  char *text = bill_gate_text (objects, 0);
  TxnOp op = { .kind = TXN_PUT, .table = BILL_GATE_TABLE, .key = key, .value = text };
  StatusCode code;

  bill_gate_key (writer->options.gate, key);
  pthread_mutex_unlock (&writer->lock);
  code = writer->options.platform->ops->txn (writer->options.platform, &op, 1, FLUSH_TIMEOUT_MS,
                                             NULL);
  txn_ops_clear (&op, 1);
  free (text);
  if (code == STATUS_OK)
    bill_fallback_set_indexed (writer->fallback);
  pthread_mutex_lock (&writer->lock);
  if (code == STATUS_OK)
    {
      writer->indexed = true;
      writer->objects_in_table = objects;
    }
  writer->next_index_at_ms = clock_boot_ms () + INDEX_RETRY_MS;
}

/* Writes spilled records to the table, from up to UNSPILL_MAX objects. Other records of the same
 * objects are in the table already, from the spool; an insert changes nothing for them. Called with
 * the lock held, releases it during the I/O. */
static void
unspill (BillWriter *writer)
{
  BillRecovery recovery = { 0 };
  uint32_t next = writer->unspill_object;
  StatusCode code;

  if (next < writer->objects_in_table)
    next = writer->objects_in_table;
  pthread_mutex_unlock (&writer->lock);
  code = bill_recover_gate (writer->options.platform, writer->options.gate, &next, UNSPILL_MAX,
                            &recovery, NULL);
  pthread_mutex_lock (&writer->lock);
  writer->unspill_object = next;
  writer->unspill_refused = writer->unspill_refused || recovery.refused > 0;
  if (code != STATUS_OK)
    writer->next_unspill_at_ms = clock_boot_ms () + INDEX_RETRY_MS;
  else if (recovery.objects < UNSPILL_MAX && writer->unspill_refused)
    {
      writer->unspill_object = writer->objects_in_table;
      writer->unspill_refused = false;
      writer->next_unspill_at_ms = clock_boot_ms () + BILL_REFUSED_RETRY_MS;
    }
  else if (recovery.objects < UNSPILL_MAX)
    writer->spilled = 0;
}

static bool
index_is_due (BillWriter *writer, uint32_t *objects)
{
  if (clock_boot_ms () < writer->next_index_at_ms)
    return false;
  *objects = bill_fallback_objects (writer->fallback);
  if (!writer->indexed)
    return true;
  /* If the row skipped objects whose records are not in the table, these would be lost if this gate
   * died. */
  return writer->spool.count == 0 && writer->spilled == 0 && *objects > writer->objects_in_table;
}

static bool
unspill_is_due (const BillWriter *writer)
{
  return writer->spilled > 0 && writer->spool.count == 0
         && clock_boot_ms () >= writer->next_unspill_at_ms;
}

static bool
is_finished (const BillWriter *writer)
{
  bool all_written = writer->spool.count == 0 && writer->spilled == 0;

  return writer->stopping && (all_written || clock_boot_ms () >= writer->stop_at_ms);
}

/* Time of the next action that is due; the `work` condition may wake the thread before. */
static int64_t
next_wake (const BillWriter *writer)
{
  int64_t at = writer->indexed ? clock_boot_ms () + INDEX_RETRY_MS : writer->next_index_at_ms;

  if (writer->spool.count > 0 && writer->next_flush_at_ms < at)
    at = writer->next_flush_at_ms;
  if (writer->spilled > 0 && writer->spool.count == 0 && writer->next_unspill_at_ms < at)
    at = writer->next_unspill_at_ms;
  if (writer->stopping && writer->stop_at_ms < at)
    at = writer->stop_at_ms;
  return at;
}

void *
bill_writer_run (void *argument)
{
  BillWriter *writer = argument;
  uint32_t objects;

  pthread_mutex_lock (&writer->lock);
  while (!is_finished (writer))
    {
      if (index_is_due (writer, &objects))
        index_write (writer, objects);
      else if (writer->breaker.open && bill_spool_may_spill (&writer->spool))
        writer->spilled += bill_spool_spill (&writer->spool);
      else if (unspill_is_due (writer))
        unspill (writer);
      else if (writer->spool.count > 0 && clock_boot_ms () >= writer->next_flush_at_ms)
        flush (writer);
      else
        wait_ms (&writer->work, &writer->lock, next_wake (writer) - clock_boot_ms ());
    }
  pthread_mutex_unlock (&writer->lock);
  return NULL;
}
