#include "bill_recover.h"
#include "bill_fallback.h"
#include "util_counter.h"
#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 2000 /* of one call of the table service or the object store */
#define WRITE_MAX  128  /* records of one transaction */
#define SCAN_MAX   256  /* rows of one page */

typedef struct
{
  int64_t next;
  int64_t passes;
} GateFields;

static const FieldSpec gate_specs[] = {
  { .name = "next",
    .type = FIELD_INT,
    .required = true,
    .offset = offsetof (GateFields, next),
    .min = 0,
    .max = UINT32_MAX },
  { .name = "passes",
    .type = FIELD_INT,
    .required = true,
    .offset = offsetof (GateFields, passes),
    .min = 0,
    .max = BILL_RECOVER_PASSES },
};

void
bill_gate_key (uint64_t gate, char out[BILL_GATE_KEY_SIZE])
{
  snprintf (out, BILL_GATE_KEY_SIZE, "%016" PRIx64, gate);
}

char *
bill_gate_text (uint32_t next, int passes)
{
  Buffer text = { .data = NULL };

  buffer_printf (&text, "{\"next\":%" PRIu32 ",\"passes\":%d}", next, passes);
  return text.data;
}

static bool
gate_parse (const char *text, GateFields *out)
{
  CheckList list = { .file = NULL };
  struct json_object *obj = field_parse_string (text, strlen (text), &list);
  bool ok
      = obj != NULL
        && field_read (gate_specs, sizeof gate_specs / sizeof gate_specs[0], obj, out, "", &list);

  json_object_put (obj);
  check_free (&list);
  return ok;
}

/* Writes one transaction of entries, from *first on. Two records with one key must not be in the
 * same transaction (see platform_group_batch.c); in the next one the second finds the first in the
 * table. */
static StatusCode
write_batch (Platform *platform,
             struct json_object *array,
             size_t *first,
             BillRecovery *out,
             Status *st)
{
  BillEntry *entries[WRITE_MAX];
  bool refused[WRITE_MAX];
  size_t count = 0;
  bool full = false;
  StatusCode code;

  while (!full && count < WRITE_MAX && *first < json_object_array_length (array))
    {
      struct json_object *obj = json_object_array_get_idx (array, *first);
      BillEntry *entry
          = bill_entry_parse (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));

      for (size_t i = 0; entry != NULL && i < count; i++)
        full = full || strcmp (entries[i]->key, entry->key) == 0;
      if (full)
        bill_entry_unref (entry);
      else if (entry != NULL)
        entries[count++] = entry;
      if (!full)
        (*first)++;
    }
  code = bill_entry_write_each (platform, entries, count, TIMEOUT_MS, refused, st);
  for (size_t i = 0; i < count; i++)
    {
      if (code == STATUS_OK && refused[i])
        {
          bill_entry_mark_refused (entries[i], 0, st);
          out->refused++;
        }
      out->records += code == STATUS_OK && !refused[i];
      bill_entry_unref (entries[i]);
    }
  return code;
}

static StatusCode
object_write (Platform *platform,
              const char *name,
              const Buffer *content,
              BillRecovery *out,
              Status *st)
{
  struct json_object *array = content->data != NULL ? json_tokener_parse (content->data) : NULL;
  StatusCode code = status_ok (st);
  size_t first = 0;

  if (!json_object_is_type (array, json_type_array))
    {
      log_msg (MSG_BILL_OBJECT_BAD, "object=\"%s\"", name);
      json_object_put (array);
      return code;
    }
  while (code == STATUS_OK && first < json_object_array_length (array))
    code = write_batch (platform, array, &first, out, st);
  json_object_put (array);
  return code;
}

/* Object numbers are consecutive, so the first absent object ends the gate's objects (see
 * bill_fallback.h). */
StatusCode
bill_recover_gate (Platform *platform,
                   uint64_t gate,
                   uint32_t *next,
                   size_t objects_max,
                   BillRecovery *out,
                   Status *st)
{
  StatusCode code = status_ok (st);

  for (size_t i = 0; code == STATUS_OK && i < objects_max; i++)
    {
      char name[BILL_OBJECT_NAME_MAX];
      Buffer content = { .data = NULL };

      bill_object_name (gate, *next, name);
      code = platform->ops->object_get (platform, name, TIMEOUT_MS, &content, st);
      if (code == STATUS_OK)
        {
          out->objects++;
          code = object_write (platform, name, &content, out, st);
        }
      buffer_free (&content);
      if (code == STATUS_OK)
        (*next)++;
    }
  return code == STATUS_NOT_FOUND ? status_ok (st) : code;
}

/* A row that has changed since it was read is left to the steward or gate that changed it. */
static StatusCode
gate_row_write (Platform *platform, const PlatformRow *row, uint32_t next, int passes, Status *st)
{
  char *text = bill_gate_text (next, passes);
  bool finished = passes >= BILL_RECOVER_PASSES;
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = BILL_GATE_TABLE, .key = row->key, .version = row->version },
    { .kind = finished ? TXN_DELETE : TXN_PUT,
      .table = BILL_GATE_TABLE,
      .key = row->key,
      .value = finished ? NULL : text },
  };
  StatusCode code = platform->ops->txn (platform, ops, 2, TIMEOUT_MS, st);

  txn_ops_clear (ops, 2);
  free (text);
  return code == STATUS_CONFLICT ? status_ok (st) : code;
}

static StatusCode
gate_recover (Platform *platform,
              const PlatformRow *row,
              uint64_t gate,
              BillRecovery *out,
              Status *st)
{
  GateFields fields = { 0 };
  size_t records = out->records;
  size_t refused = out->refused;
  uint32_t next;
  StatusCode code;

  /* If the row can't be parsed the objects are read from the first on. */
  if (!gate_parse (row->value, &fields))
    fields = (GateFields){ 0 };
  next = (uint32_t)fields.next;
  out->gates++;
  code = bill_recover_gate (platform, gate, &next, SIZE_MAX, out, st);
  if (out->records > records)
    {
      counter_add (COUNTER_BILL_RECOVERED, (int64_t)(out->records - records));
      log_msg (MSG_BILL_RECOVERED, "gate=\"%s\" records=\"%zu\"", row->key, out->records - records);
    }
  /* After a refused record the row stays as it is, so that the next pass tries all records
     again. */
  if (code != STATUS_OK || out->refused > refused)
    return code;
  return gate_row_write (platform, row, next, next == fields.next ? (int)fields.passes + 1 : 0, st);
}

/* Handles one page of rows and moves `from` past the last one. */
static StatusCode
page_recover (Platform *platform,
              Buffer *from,
              bool *more,
              BillGateAlive alive,
              void *context,
              BillRecovery *out,
              Status *st)
{
  PlatformRows rows = { .rows = NULL };
  StatusCode code = platform->ops->scan (platform, BILL_GATE_TABLE, from->data, NULL, SCAN_MAX,
                                         TIMEOUT_MS, &rows, st);

  *more = code == STATUS_OK && rows.count == SCAN_MAX;
  for (size_t i = 0; code == STATUS_OK && i < rows.count; i++)
    {
      uint64_t gate = strtoull (rows.rows[i].key, NULL, 16);

      if (!alive (context, gate))
        code = gate_recover (platform, &rows.rows[i], gate, out, st);
    }
  if (code == STATUS_OK && *more)
    code = platform_rows_next (&rows, from, st);
  platform_rows_clear (&rows);
  return code;
}

StatusCode
bill_recover_objects (Platform *platform,
                      BillGateAlive alive,
                      void *context,
                      BillRecovery *out,
                      Status *st)
{
  Buffer from = { 0 };
  bool more = true;
  StatusCode code = status_ok (st);

  *out = (BillRecovery){ 0 };
  while (code == STATUS_OK && more)
    code = page_recover (platform, &from, &more, alive, context, out, st);
  buffer_free (&from);
  return code;
}
