#include "bill_replica.h"
#include "lovage.h"
#include "util_counter.h"
#include "util_field.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS          1024 /* of the hash table of copies; a power of two */
#define FLUSH_MAX        128  /* records of one transaction */
#define FLUSH_TIMEOUT_MS 2000 /* of that transaction */
#define DONE_NAME        "done"
/* Bytes for the quotes, the comma and the escapes of a key. */
#define DONE_KEY_EXTRA 64

typedef struct
{
  struct cds_list_head node;  /* of the bucket */
  struct cds_list_head order; /* of all, oldest first */
  uint64_t gate;
  int64_t taken_ms; /* boot clock */
  BillEntry *entry;
} Copy;

struct BillReplica
{
  pthread_mutex_t lock;
  struct cds_list_head buckets[BUCKETS];
  struct cds_list_head order;
  size_t bytes_max;
  BillReplicaSize size;
};

BillReplica *
bill_replica_new (size_t bytes_max)
{
  BillReplica *replica = memory_alloc (sizeof *replica);

  replica->bytes_max = bytes_max;
  pthread_mutex_init (&replica->lock, NULL);
  CDS_INIT_LIST_HEAD (&replica->order);
  for (size_t i = 0; i < BUCKETS; i++)
    CDS_INIT_LIST_HEAD (&replica->buckets[i]);
  return replica;
}

static struct cds_list_head *
bucket_of (BillReplica *replica, const char *key)
{
  return &replica->buckets[id_hash_string (key, 0) & (BUCKETS - 1)];
}

static Copy *
copy_find (BillReplica *replica, const char *key)
{
  Copy *copy;

  cds_list_for_each_entry (copy, bucket_of (replica, key), node)
  {
    if (strcmp (copy->entry->key, key) == 0)
      return copy;
  }
  return NULL;
}

static void
copy_remove (BillReplica *replica, Copy *copy)
{
  cds_list_del (&copy->node);
  cds_list_del (&copy->order);
  replica->size.count--;
  replica->size.bytes -= copy->entry->bytes + sizeof *copy;
  bill_entry_unref (copy->entry);
  free (copy);
}

void
bill_replica_free (BillReplica *replica)
{
  Copy *copy, *next;

  if (replica == NULL)
    return;
  cds_list_for_each_entry_safe (copy, next, &replica->order, order) copy_remove (replica, copy);
  pthread_mutex_destroy (&replica->lock);
  free (replica);
}

static void
copy_add (BillReplica *replica, uint64_t gate, BillEntry *entry, int64_t now_ms)
{
  Copy *copy;

  if (copy_find (replica, entry->key) != NULL)
    {
      bill_entry_unref (entry);
      return;
    }
  copy = memory_alloc (sizeof *copy);
  copy->gate = gate;
  copy->taken_ms = now_ms;
  copy->entry = entry;
  cds_list_add_tail (&copy->node, bucket_of (replica, entry->key));
  cds_list_add_tail (&copy->order, &replica->order);
  replica->size.count++;
  replica->size.bytes += entry->bytes + sizeof *copy;
}

char *
bill_replica_done_text (const char *const *keys, size_t count, size_t *taken)
{
  struct json_object *obj = json_object_new_object ();
  struct json_object *array = json_object_new_array ();
  size_t len = DONE_KEY_EXTRA;
  char *text;

  *taken = 0;
  while (*taken < count)
    {
      len += strlen (keys[*taken]) + DONE_KEY_EXTRA;
      if (*taken > 0 && len >= LOVAGE_RECORD_MAX)
        break;
      json_object_array_add (array, json_object_new_string (keys[*taken]));
      (*taken)++;
    }
  json_object_object_add (obj, DONE_NAME, array);
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN
                                                                 | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (obj);
  return text;
}

/* Removes the records that the text lists as done; false if it is not such a list. */
static bool
done_apply (BillReplica *replica, const char *text)
{
  struct json_object *obj = json_tokener_parse (text);
  struct json_object *array = NULL;
  bool ok = json_object_is_type (obj, json_type_object)
            && json_object_object_get_ex (obj, DONE_NAME, &array)
            && json_object_is_type (array, json_type_array);

  for (size_t i = 0; ok && i < json_object_array_length (array); i++)
    {
      const char *key = json_object_get_string (json_object_array_get_idx (array, i));
      Copy *copy = key != NULL ? copy_find (replica, key) : NULL;

      if (copy != NULL)
        copy_remove (replica, copy);
    }
  json_object_put (obj);
  return ok;
}

/* Parses the records. A list of done keys is applied at once and gives a NULL entry. */
static bool
records_parse (BillReplica *replica,
               const char *const *records,
               size_t count,
               BillEntry **entries,
               size_t *bytes)
{
  bool ok = true;

  *bytes = 0;
  for (size_t i = 0; i < count; i++)
    {
      entries[i] = bill_entry_parse (records[i]);
      if (entries[i] != NULL)
        *bytes += entries[i]->bytes + sizeof (Copy);
      else
        ok = done_apply (replica, records[i]) && ok;
    }
  return ok;
}

bool
bill_replica_take (BillReplica *replica,
                   uint64_t gate,
                   const char *const *records,
                   size_t count,
                   int64_t now_ms)
{
  BillEntry **entries = memory_array (count, sizeof (BillEntry *));
  size_t bytes;
  bool taken;

  pthread_mutex_lock (&replica->lock);
  taken = records_parse (replica, records, count, entries, &bytes);
  taken = taken && replica->size.bytes + bytes <= replica->bytes_max;
  for (size_t i = 0; i < count; i++)
    {
      if (entries[i] != NULL && taken)
        copy_add (replica, gate, entries[i], now_ms);
      else
        bill_entry_unref (entries[i]);
    }
  pthread_mutex_unlock (&replica->lock);
  free (entries);
  return taken;
}

/* Collects references to up to FLUSH_MAX records that are due to be written to the table. */
static size_t
due_collect (BillReplica *replica,
             BillGateAlive alive,
             void *context,
             int64_t now_ms,
             BillEntry **out)
{
  size_t n = 0;
  Copy *copy;

  cds_list_for_each_entry (copy, &replica->order, order)
  {
    if (n == FLUSH_MAX)
      break;
    if (copy->entry->retry_at_ms > now_ms)
      continue;
    if (now_ms - copy->taken_ms >= BILL_REPLICA_HOLD_MS || !alive (context, copy->gate))
      out[n++] = bill_entry_ref (copy->entry);
  }
  return n;
}

StatusCode
bill_replica_flush (BillReplica *replica,
                    Platform *platform,
                    BillGateAlive alive,
                    void *context,
                    int64_t now_ms,
                    size_t *written,
                    Status *st)
{
  BillEntry *entries[FLUSH_MAX];
  bool refused[FLUSH_MAX];
  size_t count;
  StatusCode code;

  *written = 0;
  pthread_mutex_lock (&replica->lock);
  count = due_collect (replica, alive, context, now_ms, entries);
  pthread_mutex_unlock (&replica->lock);
  code = bill_entry_write_each (platform, entries, count, FLUSH_TIMEOUT_MS, refused, st);
  pthread_mutex_lock (&replica->lock);
  for (size_t i = 0; i < count; i++)
    {
      Copy *copy = copy_find (replica, entries[i]->key);

      if (code == STATUS_OK && refused[i])
        bill_entry_mark_refused (entries[i], now_ms, st);
      else if (code == STATUS_OK && copy != NULL)
        copy_remove (replica, copy);
      *written += code == STATUS_OK && !refused[i];
      bill_entry_unref (entries[i]);
    }
  pthread_mutex_unlock (&replica->lock);
  counter_add (COUNTER_BILL_RECOVERED, (int64_t)*written);
  return code;
}

void
bill_replica_size (BillReplica *replica, BillReplicaSize *out)
{
  pthread_mutex_lock (&replica->lock);
  *out = replica->size;
  pthread_mutex_unlock (&replica->lock);
}
