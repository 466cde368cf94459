#include "steward_audit.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLUSH_ROWS 64 /* rows of one transaction */

static void
add_text (struct json_object *obj, const char *name, const char *text)
{
  json_object_object_add (obj, name, json_object_new_string (text == NULL ? "" : text));
}

void
steward_audit_row (const StewardAuditEntry *entry, StewardAuditRow *out)
{
  struct json_object *obj = json_object_new_object ();
  int64_t at_ms = clock_wall_ms ();
  char id[ID_SIZE];

  id_random (id);
  snprintf (out->key, sizeof out->key, "%013lld-%.16s", (long long)at_ms, id);
  json_object_object_add (obj, "at_ms", json_object_new_int64 (at_ms));
  add_text (obj, "who", entry->who);
  add_text (obj, "action", entry->action);
  add_text (obj, "from", entry->from);
  add_text (obj, "to", entry->to);
  add_text (obj, "detail", entry->detail);
  out->value = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
}

void
steward_audit_row_clear (StewardAuditRow *row)
{
  free (row->value);
  row->value = NULL;
}

TxnOp
steward_audit_op (const StewardAuditRow *row)
{
  return (TxnOp){ .kind = TXN_INSERT, .table = "audit", .key = row->key, .value = row->value };
}

void
steward_audit_queue_init (StewardAuditQueue *q)
{
  *q = (StewardAuditQueue){ 0 };
  pthread_mutex_init (&q->lock, NULL);
}

void
steward_audit_queue_clear (StewardAuditQueue *q)
{
  for (size_t i = 0; i < q->count; i++)
    steward_audit_row_clear (&q->rows[i]);
  pthread_mutex_destroy (&q->lock);
}

bool
steward_audit_queue_add (StewardAuditQueue *q, const StewardAuditEntry *entry)
{
  bool room;

  pthread_mutex_lock (&q->lock);
  room = q->count < STEWARD_AUDIT_QUEUE_MAX;
  if (room)
    steward_audit_row (entry, &q->rows[q->count++]);
  pthread_mutex_unlock (&q->lock);
  return room;
}

/* Copies the oldest rows, so that they can be written without holding the lock. */
static size_t
copy_oldest (StewardAuditQueue *q, StewardAuditRow rows[FLUSH_ROWS])
{
  size_t count;

  pthread_mutex_lock (&q->lock);
  count = q->count < FLUSH_ROWS ? q->count : FLUSH_ROWS;
  for (size_t i = 0; i < count; i++)
    {
      rows[i] = q->rows[i];
      rows[i].value = memory_strdup (q->rows[i].value);
    }
  pthread_mutex_unlock (&q->lock);
  return count;
}

/* Only the flushing thread removes rows, so the oldest are still those that were written. */
static void
drop_oldest (StewardAuditQueue *q, size_t count)
{
  pthread_mutex_lock (&q->lock);
  for (size_t i = 0; i < count; i++)
    steward_audit_row_clear (&q->rows[i]);
  q->count -= count;
  memmove (q->rows, q->rows + count, q->count * sizeof *q->rows);
  pthread_mutex_unlock (&q->lock);
}

/* After a lost reply the rows are written again: their unique keys make the second write
   harmless. */
StatusCode
steward_audit_queue_flush (StewardAuditQueue *q, Platform *p, int timeout_ms, Status *st)
{
  StewardAuditRow rows[FLUSH_ROWS];
  TxnOp ops[FLUSH_ROWS];
  StatusCode code = STATUS_OK;
  size_t count;

  while (code == STATUS_OK && (count = copy_oldest (q, rows)) > 0)
    {
      for (size_t i = 0; i < count; i++)
        ops[i] = steward_audit_op (&rows[i]);
      code = p->ops->txn (p, ops, count, timeout_ms, st);
      txn_ops_clear (ops, count);
      for (size_t i = 0; i < count; i++)
        steward_audit_row_clear (&rows[i]);
      if (code == STATUS_OK)
        drop_oldest (q, count);
    }
  return code;
}

StatusCode
steward_audit_list (Platform *p,
                    const char *from,
                    size_t limit,
                    int timeout_ms,
                    struct json_object **out,
                    Status *st)
{
  PlatformRows rows = { 0 };
  StatusCode code = p->ops->scan (p, "audit", from, "", limit, timeout_ms, &rows, st);
  struct json_object *entries, *entry;

  if (code != STATUS_OK)
    return code;
  entries = json_object_new_array ();
  for (size_t i = 0; i < rows.count; i++)
    {
      entry = json_tokener_parse (rows.rows[i].value);
      if (!json_object_is_type (entry, json_type_object))
        {
          json_object_put (entry);
          continue;
        }
      json_object_object_add (entry, "key", json_object_new_string (rows.rows[i].key));
      json_object_array_add (entries, entry);
    }
  platform_rows_clear (&rows);
  *out = json_object_new_object ();
  json_object_object_add (*out, "entries", entries);
  return status_ok (st);
}
