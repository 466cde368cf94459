#include "bill_fallback.h"
#include "bill_replica.h"
#include "lovage.h"
#include "platform_breaker.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_wait.h"
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits of one batch. */
#define BATCH_ENTRIES_MAX 256
#define BATCH_BYTES_MAX   (4U << 20)
#define DONE_KEYS_MAX     100000 /* queued for the replicas; further ones are dropped */

/* One call of bill_fallback_store, on its caller's stack. */
typedef struct
{
  struct cds_list_head node;
  BillEntry *const *entries;
  size_t count;
  bool finished;
  BillPlace place;
} Job;

struct BillFallback
{
  Platform *platform;
  uint64_t gate;
  BillReplicator replicator;
  int timeout_ms;
  int batch_interval_ms;
  int64_t next_batch_at_ms; /* earliest time of the next batch */
  pthread_mutex_t lock;
  pthread_cond_t work;
  pthread_cond_t finished;
  struct cds_list_head jobs;
  bool indexed;
  bool stopping;
  char **done_keys;
  size_t done_count;
  uint32_t objects;        /* number written, and so the number of the next */
  Buffer pending;          /* content of object number `objects` until its write succeeds */
  PlatformBreaker breaker; /* of the object store */
  pthread_t thread;
};

static void *fallback_thread (void *argument);

void
bill_object_name (uint64_t gate, uint32_t number, char out[BILL_OBJECT_NAME_MAX])
{
  snprintf (out, BILL_OBJECT_NAME_MAX, "bill/%016" PRIx64 "/%08" PRIu32, gate, number);
}

BillFallback *
bill_fallback_new (const BillOptions *options)
{
  BillFallback *fallback = memory_alloc (sizeof *fallback);
  int rc;

  fallback->platform = options->platform;
  fallback->gate = options->gate;
  fallback->replicator = options->replicator;
  fallback->timeout_ms = options->table_timeout_ms;
  fallback->batch_interval_ms = options->batch_interval_ms;
  CDS_INIT_LIST_HEAD (&fallback->jobs);
  pthread_mutex_init (&fallback->lock, NULL);
  wait_init (&fallback->work);
  pthread_cond_init (&fallback->finished, NULL);
  rc = pthread_create (&fallback->thread, NULL, fallback_thread, fallback);
  INVARIANT (rc == 0, "pthread_create: %s", strerror (rc));
  return fallback;
}

void
bill_fallback_free (BillFallback *fallback)
{
  if (fallback == NULL)
    return;
  pthread_mutex_lock (&fallback->lock);
  fallback->stopping = true;
  pthread_cond_signal (&fallback->work);
  pthread_mutex_unlock (&fallback->lock);
  pthread_join (fallback->thread, NULL);
  for (size_t i = 0; i < fallback->done_count; i++)
    free (fallback->done_keys[i]);
  free (fallback->done_keys);
  buffer_free (&fallback->pending);
  pthread_cond_destroy (&fallback->work);
  pthread_cond_destroy (&fallback->finished);
  pthread_mutex_destroy (&fallback->lock);
  free (fallback);
}

void
bill_fallback_set_indexed (BillFallback *fallback)
{
  pthread_mutex_lock (&fallback->lock);
  fallback->indexed = true;
  pthread_mutex_unlock (&fallback->lock);
}

uint32_t
bill_fallback_objects (BillFallback *fallback)
{
  uint32_t objects;

  pthread_mutex_lock (&fallback->lock);
  objects = fallback->objects;
  pthread_mutex_unlock (&fallback->lock);
  return objects;
}

BillPlace
bill_fallback_store (BillFallback *fallback, BillEntry *const *entries, size_t count)
{
  Job job = { .entries = entries, .count = count, .place = BILL_AT_SPOOL };

  pthread_mutex_lock (&fallback->lock);
  cds_list_add_tail (&job.node, &fallback->jobs);
  pthread_cond_signal (&fallback->work);
  while (!job.finished)
    pthread_cond_wait (&fallback->finished, &fallback->lock);
  pthread_mutex_unlock (&fallback->lock);
  return job.place;
}

void
bill_fallback_queue_done (BillFallback *fallback, const char *key)
{
  pthread_mutex_lock (&fallback->lock);
  if (fallback->replicator.copy != NULL && fallback->done_count < DONE_KEYS_MAX)
    {
      fallback->done_keys = memory_grow (fallback->done_keys, fallback->done_count + 1,
                                         sizeof *fallback->done_keys);
      fallback->done_keys[fallback->done_count++] = memory_strdup (key);
      pthread_cond_signal (&fallback->work);
    }
  pthread_mutex_unlock (&fallback->lock);
}

/* Moves the oldest jobs to the batch, up to its limits. Called with the lock held. */
static void
batch_collect (BillFallback *fallback, struct cds_list_head *batch)
{
  size_t entries = 0;
  size_t bytes = 0;
  Job *job, *next;

  cds_list_for_each_entry_safe (job, next, &fallback->jobs, node)
  {
    if (entries > 0 && (entries + job->count > BATCH_ENTRIES_MAX || bytes > BATCH_BYTES_MAX))
      break;
    cds_list_del (&job->node);
    cds_list_add_tail (&job->node, batch);
    entries += job->count;
    for (size_t i = 0; i < job->count; i++)
      bytes += job->entries[i]->bytes;
  }
}

static void
batch_content (struct cds_list_head *batch, Buffer *out)
{
  const char *separator = "[";
  Job *job;

  cds_list_for_each_entry (job, batch, node) for (size_t i = 0; i < job->count; i++)
  {
    char *text = bill_entry_json (job->entries[i]);

    buffer_add_string (out, separator);
    buffer_add_string (out, text);
    separator = ",";
    free (text);
  }
  buffer_add_string (out, "]");
}

/* Writes `pending` as object number `objects`. */
static bool
object_write (BillFallback *fallback)
{
  char name[BILL_OBJECT_NAME_MAX];
  StatusCode code;

  bill_object_name (fallback->gate, fallback->objects, name);
  code = fallback->platform->ops->object_put (fallback->platform, name, fallback->pending.data,
                                              fallback->pending.len, fallback->timeout_ms, NULL);
  if (code != STATUS_OK)
    {
      platform_breaker_record_failure (&fallback->breaker, clock_boot_ms ());
      return false;
    }
  platform_breaker_record_success (&fallback->breaker);
  buffer_clear (&fallback->pending);
  pthread_mutex_lock (&fallback->lock);
  fallback->objects++;
  pthread_mutex_unlock (&fallback->lock);
  return true;
}

static bool
batch_to_object_store (BillFallback *fallback, struct cds_list_head *batch)
{
  if (!platform_breaker_allows (&fallback->breaker, clock_boot_ms ()))
    return false;
  if (fallback->pending.len > 0 && !object_write (fallback))
    return false;
  batch_content (batch, &fallback->pending);
  return object_write (fallback);
}

/* A record that is too long for a message is sent without the answer of its claim. */
static char *
replica_text (const BillEntry *entry)
{
  char *text = bill_entry_json (entry);
  BillEntry *shorter;

  if (strlen (text) < LOVAGE_RECORD_MAX || entry->claim_text == NULL)
    return text;
  shorter = bill_entry_parse (text);
  free (text);
  bill_entry_drop_answer (shorter);
  text = bill_entry_json (shorter);
  bill_entry_unref (shorter);
  return text;
}

static size_t
batch_texts (struct cds_list_head *batch, char ***out)
{
  char **texts = NULL;
  size_t count = 0;
  Job *job;

  cds_list_for_each_entry (job, batch, node)
  {
    texts = memory_grow (texts, count + job->count, sizeof *texts);
    for (size_t i = 0; i < job->count; i++)
      texts[count++] = replica_text (job->entries[i]);
  }
  *out = texts;
  return count;
}

static bool
batch_to_replicas (BillFallback *fallback, struct cds_list_head *batch)
{
  char **texts;
  size_t count;
  bool fits = true;
  int copies = 0;

  if (fallback->replicator.copy == NULL)
    return false;
  count = batch_texts (batch, &texts);
  for (size_t i = 0; i < count; i++)
    fits = fits && strlen (texts[i]) < LOVAGE_RECORD_MAX;
  if (fits)
    copies = fallback->replicator.copy (fallback->replicator.context, (const char *const *)texts,
                                        count);
  for (size_t i = 0; i < count; i++)
    free (texts[i]);
  free (texts);
  return copies > 0;
}

static BillPlace
batch_store (BillFallback *fallback, struct cds_list_head *batch, bool indexed)
{
  if (indexed && batch_to_object_store (fallback, batch))
    return BILL_AT_OBJECT_STORE;
  if (batch_to_replicas (fallback, batch))
    return BILL_AT_REPLICA;
  return BILL_AT_SPOOL;
}

/* Stores one batch and wakes its callers. Called with the lock held, releases it during the I/O. */
static void
batch_run (BillFallback *fallback)
{
  CDS_LIST_HEAD (batch);
  bool indexed = fallback->indexed;
  BillPlace place;
  Job *job, *next;

  batch_collect (fallback, &batch);
  fallback->next_batch_at_ms = clock_boot_ms () + fallback->batch_interval_ms;
  pthread_mutex_unlock (&fallback->lock);
  place = batch_store (fallback, &batch, indexed);
  pthread_mutex_lock (&fallback->lock);
  cds_list_for_each_entry_safe (job, next, &batch, node)
  {
    cds_list_del (&job->node);
    job->place = place;
    job->finished = true;
  }
  pthread_cond_broadcast (&fallback->finished);
}

/* Sends the queued done keys to the replicas. Called with the lock held, releases it during the
 * I/O. */
static void
done_send (BillFallback *fallback)
{
  char **keys = fallback->done_keys;
  size_t count = fallback->done_count;

  fallback->done_keys = NULL;
  fallback->done_count = 0;
  pthread_mutex_unlock (&fallback->lock);
  for (size_t from = 0; from < count;)
    {
      size_t taken;
      char *text = bill_replica_done_text ((const char *const *)keys + from, count - from, &taken);
      const char *const texts[] = { text };

      fallback->replicator.copy (fallback->replicator.context, texts, 1);
      free (text);
      from += taken;
    }
  for (size_t i = 0; i < count; i++)
    free (keys[i]);
  free (keys);
  pthread_mutex_lock (&fallback->lock);
}

static void *
fallback_thread (void *argument)
{
  BillFallback *fallback = argument;

  pthread_mutex_lock (&fallback->lock);
  while (!fallback->stopping || !cds_list_empty (&fallback->jobs))
    {
      int64_t delay_ms = fallback->next_batch_at_ms - clock_boot_ms ();
      bool jobs = !cds_list_empty (&fallback->jobs);

      if (jobs && delay_ms > 0 && !fallback->stopping)
        wait_ms (&fallback->work, &fallback->lock, delay_ms);
      else if (jobs)
        batch_run (fallback);
      else if (fallback->done_count > 0)
        done_send (fallback);
      else
        pthread_cond_wait (&fallback->work, &fallback->lock);
    }
  pthread_mutex_unlock (&fallback->lock);
  return NULL;
}
