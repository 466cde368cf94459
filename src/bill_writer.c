#include "bill_writer_private.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

static const CounterId place_counters[] = {
  [BILL_AT_TABLE] = COUNTER_BILL_AT_TABLE,
  [BILL_AT_OBJECT_STORE] = COUNTER_BILL_AT_OBJECT_STORE,
  [BILL_AT_REPLICA] = COUNTER_BILL_AT_REPLICA,
  [BILL_AT_SPOOL] = COUNTER_BILL_AT_SPOOL,
};

BillWriter *
bill_writer_new (const BillOptions *options)
{
  BillWriter *writer = memory_alloc (sizeof *writer);
  int rc;

  writer->options = *options;
  writer->fallback = bill_fallback_new (options);
  bill_spool_init (&writer->spool, options->spool_max, options->in_progress_max);
  pthread_mutex_init (&writer->lock, NULL);
  wait_init (&writer->work);
  rc = pthread_create (&writer->thread, NULL, bill_writer_run, writer);
  INVARIANT (rc == 0, "pthread_create: %s", strerror (rc));
  return writer;
}

size_t
bill_writer_free (BillWriter *writer, int timeout_ms)
{
  size_t left;

  if (writer == NULL)
    return 0;
  pthread_mutex_lock (&writer->lock);
  writer->stopping = true;
  writer->stop_at_ms = clock_boot_ms () + timeout_ms;
  pthread_cond_signal (&writer->work);
  pthread_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
  left = writer->spool.count + writer->spilled;
  if (left > 0)
    log_msg (MSG_BILL_LEFT, "records=\"%zu\"", left);
  bill_fallback_free (writer->fallback);
  bill_spool_clear (&writer->spool);
  pthread_cond_destroy (&writer->work);
  pthread_mutex_destroy (&writer->lock);
  free (writer);
  return left;
}

bool
bill_has_room (BillWriter *writer)
{
  bool room, first;

  pthread_mutex_lock (&writer->lock);
  room = bill_spool_has_room (&writer->spool);
  first = !room && !writer->full;
  writer->full = !room;
  pthread_mutex_unlock (&writer->lock);
  if (first)
    log_msg (MSG_BILL_SPOOL_FULL, NULL);
  return room;
}

void
bill_backlog (BillWriter *writer, BillBacklog *out)
{
  pthread_mutex_lock (&writer->lock);
  *out = (BillBacklog){
    .count = writer->spool.count,
    .bytes = writer->spool.bytes,
    .spilled = writer->spilled,
    .table_down = writer->breaker.open,
    .indexed = writer->indexed,
  };
  pthread_mutex_unlock (&writer->lock);
}

static bool
table_is_down (BillWriter *writer)
{
  bool down;

  pthread_mutex_lock (&writer->lock);
  down = writer->breaker.open;
  pthread_mutex_unlock (&writer->lock);
  return down;
}

static StatusCode
table_insert (BillWriter *writer, const BillEntry *entry, Status *st)
{
  TxnOp ops[BILL_ENTRY_OPS];
  size_t count = bill_entry_ops (entry, ops);
  StatusCode code = platform_group_submit_within (writer->options.group, ops, count,
                                                  writer->options.table_timeout_ms, st);

  if (code == STATUS_OK)
    code = bill_entry_replace_partial (writer->options.platform, entry, &ops[0],
                                       writer->options.table_timeout_ms, st);
  txn_ops_clear (ops, count);
  return code;
}

/* Adds the entry to the spool, for the writer's thread. This comes before it is stored in a
 * fallback, so that an empty spool means that all records in the objects are in the table, except
 * spilled ones. */
static void
add_to_spool (BillWriter *writer, BillEntry *entry, StatusCode table_code, const Status *st)
{
  bool fits;
  bool first = false;

  pthread_mutex_lock (&writer->lock);
  fits = bill_spool_add (&writer->spool, entry);
  entry->storing = true;
  if (bill_writer_is_outage (table_code))
    first = platform_breaker_record_failure (&writer->breaker, clock_boot_ms ());
  pthread_cond_signal (&writer->work);
  pthread_mutex_unlock (&writer->lock);
  if (!fits)
    counter_add (COUNTER_BILL_ANSWER_DROPPED, 1);
  if (first)
    log_msg (MSG_BILL_TABLE_DOWN, "code=\"%s\" step=\"%s\"", status_code_name (st->code), st->step);
}

static BillPlace
store_in_fallback (BillWriter *writer, BillEntry *entry)
{
  BillPlace place = bill_fallback_store (writer->fallback, &entry, 1);

  pthread_mutex_lock (&writer->lock);
  entry->storing = false;
  bill_spool_update_place (&writer->spool, entry, place);
  place = entry->place;
  if (bill_spool_may_spill (&writer->spool))
    pthread_cond_signal (&writer->work);
  pthread_mutex_unlock (&writer->lock);
  return place;
}

BillPlace
bill_commit (BillWriter *writer, const BillRecord *record, const ClaimSettlement *claim)
{
  BillEntry *entry = bill_entry_new (record, claim);
  Status st = { .code = STATUS_OK };
  StatusCode code = STATUS_FULL;
  BillPlace place = BILL_AT_TABLE;

  if (!table_is_down (writer))
    code = table_insert (writer, entry, &st);
  if (code != STATUS_OK)
    {
      add_to_spool (writer, entry, code, &st);
      place = store_in_fallback (writer, entry);
    }
  counter_add (place_counters[place], 1);
  pthread_mutex_lock (&writer->lock);
  bill_entry_unref (entry);
  pthread_mutex_unlock (&writer->lock);
  return place;
}
