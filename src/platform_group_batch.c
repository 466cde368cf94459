#include "platform_group_private.h"
#include "util_assert.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>
#include <string.h>

/* Hash set of the rows that a transaction writes, with open addressing; 0 marks an empty slot. */
typedef struct
{
  uint64_t *slots;
  size_t size;
} RowSet;

static void
row_set_init (RowSet *set, size_t ops_max)
{
  set->size = 4;
  while (set->size < 4 * ops_max)
    set->size *= 2;
  set->slots = memory_array (set->size, sizeof *set->slots);
}

static uint64_t *
row_set_slot (const RowSet *set, uint64_t hash)
{
  size_t i = hash & (set->size - 1);

  while (set->slots[i] != 0 && set->slots[i] != hash)
    i = (i + 1) & (set->size - 1);
  return &set->slots[i];
}

static uint64_t
row_hash (const TxnOp *op)
{
  uint64_t hash = id_hash_string (op->key, id_hash_string (op->table, 0));

  return hash != 0 ? hash : 1;
}

Request *
platform_group_request_new (const TxnOp *ops, size_t count)
{
  Request *request = memory_alloc (sizeof *request);

  request->ops = memory_array (count, sizeof *request->ops);
  request->hashes = memory_array (count, sizeof *request->hashes);
  request->count = count;
  request->refs = 1;
  wait_init (&request->changed);
  for (size_t i = 0; i < count; i++)
    {
      INVARIANT (ops[i].kind == TXN_INSERT || ops[i].kind == TXN_PUT, "kind=%d", (int)ops[i].kind);
      request->ops[i] = (TxnOp){
        .kind = ops[i].kind,
        .table = memory_strdup (ops[i].table),
        .key = memory_strdup (ops[i].key),
        .value = memory_strdup (ops[i].value),
      };
      request->hashes[i] = row_hash (&ops[i]);
    }
  return request;
}

void
platform_group_request_unref (Request *request)
{
  if (--request->refs > 0)
    return;
  for (size_t i = 0; i < request->count; i++)
    {
      free ((char *)request->ops[i].table);
      free ((char *)request->ops[i].key);
      free ((char *)request->ops[i].value);
    }
  txn_ops_clear (request->ops, request->count);
  pthread_cond_destroy (&request->changed);
  free (request->ops);
  free (request->hashes);
  free (request);
}

/* Two writes of the same row never share a transaction: whether the second INSERT would see the
 * first one depends on the platform, but a caller's retry must find the existing row. */
static bool
batch_accepts (const PlatformGroup *group, const RowSet *rows, const Request *request, size_t ops)
{
  if (ops > 0 && ops + request->count > group->ops_max)
    return false;
  for (size_t i = 0; i < request->count; i++)
    if (*row_set_slot (rows, request->hashes[i]) != 0)
      return false;
  return true;
}

size_t
platform_group_batch_collect (PlatformGroup *group, struct cds_list_head *batch)
{
  RowSet rows;
  size_t ops = 0;
  Request *request, *next;

  row_set_init (&rows, group->ops_max);
  cds_list_for_each_entry_safe (request, next, &group->queue, node)
  {
    if (ops >= group->ops_max)
      break;
    if (!batch_accepts (group, &rows, request, ops))
      continue;
    /* A larger request is alone in its transaction, and the set has no room for it. */
    if (request->count <= group->ops_max)
      for (size_t i = 0; i < request->count; i++)
        *row_set_slot (&rows, request->hashes[i]) = request->hashes[i];
    cds_list_del (&request->node);
    cds_list_add_tail (&request->node, batch);
    request->state = REQUEST_SENT;
    ops += request->count;
  }
  group->ops_queued -= ops;
  free (rows.slots);
  return ops;
}

/* Sends all requests of the batch (or, if not NULL, only the request only) as one transaction. */
static StatusCode
batch_send_some (PlatformGroup *group,
                 struct cds_list_head *batch,
                 size_t ops,
                 Request *only,
                 Status *st)
{
  TxnOp *all = memory_array (ops, sizeof *all);
  size_t n = 0;
  Request *request;
  StatusCode code;

  cds_list_for_each_entry (request, batch, node)
  {
    if (only != NULL && request != only)
      continue;
    memcpy (all + n, request->ops, request->count * sizeof *all);
    n += request->count;
  }
  INVARIANT (n == ops, "n=%zu ops=%zu", n, ops);
  code = group->platform->ops->txn (group->platform, all, ops, group->timeout_ms, st);
  n = 0;
  cds_list_for_each_entry (request, batch, node)
  {
    if (only != NULL && request != only)
      continue;
    memcpy (request->ops, all + n, request->count * sizeof *all);
    request->status = *st;
    request->status.code = code;
    n += request->count;
  }
  free (all);
  return code;
}

/* Sends each request in its own transaction, so that one malformed operation does not fail the
 * other requests of its batch. Safe because nothing of the refused transaction was applied. */
static void
batch_send_each (PlatformGroup *group, struct cds_list_head *batch)
{
  Request *request;

  cds_list_for_each_entry (request, batch, node)
  {
    Status st = { .code = STATUS_OK };

    batch_send_some (group, batch, request->count, request, &st);
  }
}

StatusCode
platform_group_batch_send (PlatformGroup *group, struct cds_list_head *batch, size_t ops)
{
  Status st = { .code = STATUS_OK };
  StatusCode code = batch_send_some (group, batch, ops, NULL, &st);

  if (code == STATUS_INVALID && batch->next != batch->prev)
    batch_send_each (group, batch);
  return code;
}

void
platform_group_batch_finish (struct cds_list_head *batch)
{
  Request *request, *next;

  cds_list_for_each_entry_safe (request, next, batch, node)
  {
    cds_list_del (&request->node);
    request->state = REQUEST_DONE;
    pthread_cond_signal (&request->changed);
    platform_group_request_unref (request);
  }
}
