#include "bill_entry.h"
#include "claim_row.h"
#include "util_counter.h"
#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Allocator overhead of one allocation. */
#define ALLOCATION_BYTES 16

typedef struct
{
  char *key, *bill, *claim_key, *claim;
} EntryFields;

static const FieldSpec entry_specs[] = {
  { .name = "key",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (EntryFields, key),
    .min = 1,
    .max = BILL_KEY_MAX - 1 },
  { .name = "bill",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (EntryFields, bill) },
  { .name = "claim_key",
    .type = FIELD_STRING,
    .offset = offsetof (EntryFields, claim_key),
    .min = 1,
    .max = CLAIM_KEY_MAX - 1 },
  { .name = "claim", .type = FIELD_STRING, .offset = offsetof (EntryFields, claim) },
};

static size_t
text_bytes (const char *text)
{
  return text != NULL ? strlen (text) + 1 + ALLOCATION_BYTES : 0;
}

static void
entry_measure (BillEntry *entry)
{
  entry->bytes = sizeof *entry + ALLOCATION_BYTES + text_bytes (entry->key)
                 + text_bytes (entry->text) + text_bytes (entry->claim_key)
                 + text_bytes (entry->claim_text);
}

BillEntry *
bill_entry_new (const BillRecord *record, const ClaimSettlement *claim)
{
  BillEntry *entry = memory_alloc (sizeof *entry);

  entry->refs = 1;
  entry->place = BILL_AT_SPOOL;
  entry->key = memory_strdup (record->key);
  entry->text = bill_text (record);
  if (claim != NULL)
    {
      entry->claim_key = memory_strdup (claim->claim->key);
      entry->claim_text = claim_settlement_text (claim);
    }
  entry_measure (entry);
  return entry;
}

BillEntry *
bill_entry_ref (BillEntry *entry)
{
  entry->refs++;
  return entry;
}

void
bill_entry_unref (BillEntry *entry)
{
  if (entry == NULL || --entry->refs > 0)
    return;
  free (entry->key);
  free (entry->text);
  free (entry->claim_key);
  free (entry->claim_text);
  free (entry);
}

void
bill_entry_drop_answer (BillEntry *entry)
{
  struct json_object *obj;

  if (entry->claim_text == NULL)
    return;
  obj = json_tokener_parse (entry->claim_text);
  json_object_object_del (obj, "answer");
  free (entry->claim_text);
  entry->claim_text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  json_object_put (obj);
  entry_measure (entry);
}

size_t
bill_entry_ops (const BillEntry *entry, TxnOp ops[BILL_ENTRY_OPS])
{
  ops[0] = (TxnOp){
    .kind = TXN_INSERT,
    .table = BILL_TABLE,
    .key = entry->key,
    .value = entry->text,
  };
  if (entry->claim_key == NULL)
    return 1;
  /* No check that this request still holds the claim: a claim whose request ran is never released,
   * and a failed check would fail the whole transaction with its other records. */
  ops[1] = (TxnOp){
    .kind = TXN_PUT,
    .table = CLAIM_TABLE,
    .key = entry->claim_key,
    .value = entry->claim_text,
  };
  return 2;
}

char *
bill_entry_json (const BillEntry *entry)
{
  struct json_object *obj = json_object_new_object ();
  char *text;

  json_object_object_add (obj, "key", json_object_new_string (entry->key));
  json_object_object_add (obj, "bill", json_object_new_string (entry->text));
  if (entry->claim_key != NULL)
    {
      json_object_object_add (obj, "claim_key", json_object_new_string (entry->claim_key));
      json_object_object_add (obj, "claim", json_object_new_string (entry->claim_text));
    }
  text = memory_strdup (json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN
                                                                 | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (obj);
  return text;
}

static bool
entry_read (struct json_object *obj, EntryFields *fields)
{
  CheckList list = { .file = NULL };
  bool ok = obj != NULL
            && field_read (entry_specs, sizeof entry_specs / sizeof entry_specs[0], obj, fields, "",
                           &list);

  check_free (&list);
  return ok && (fields->claim_key == NULL) == (fields->claim == NULL);
}

BillEntry *
bill_entry_parse (const char *json)
{
  EntryFields fields = { .key = NULL };
  struct json_object *obj = json_tokener_parse (json);
  BillEntry *entry;

  if (!entry_read (obj, &fields))
    {
      json_object_put (obj);
      free (fields.key);
      free (fields.bill);
      free (fields.claim_key);
      free (fields.claim);
      return NULL;
    }
  json_object_put (obj);
  entry = memory_alloc (sizeof *entry);
  entry->refs = 1;
  entry->place = BILL_AT_SPOOL;
  entry->key = fields.key;
  entry->text = fields.bill;
  entry->claim_key = fields.claim_key;
  entry->claim_text = fields.claim;
  entry_measure (entry);
  return entry;
}

/* True if the text is a valid record whose outcome is BILL_ANSWERED (answered: true) or another one
 * (answered: false). */
static bool
text_is_answered (const char *text, bool answered)
{
  BillRecord record;

  return bill_parse (text, &record) && (record.outcome == BILL_ANSWERED) == answered;
}

StatusCode
bill_entry_replace_partial (Platform *platform,
                            const BillEntry *entry,
                            const TxnOp *insert,
                            int timeout_ms,
                            Status *st)
{
  /* The check keeps the first complete answer if two retries were answered. */
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = BILL_TABLE, .key = entry->key, .version = insert->row_version },
    { .kind = TXN_PUT, .table = BILL_TABLE, .key = entry->key, .value = entry->text },
  };
  StatusCode code;

  if (insert->existing == NULL || !text_is_answered (insert->existing, false)
      || !text_is_answered (entry->text, true))
    return status_ok (st);
  code = platform->ops->txn (platform, ops, 2, timeout_ms, st);
  txn_ops_clear (ops, 2);
  return code;
}

StatusCode
bill_entry_write (Platform *platform,
                  BillEntry *const *entries,
                  size_t count,
                  int timeout_ms,
                  Status *st)
{
  TxnOp *ops = memory_array (count * BILL_ENTRY_OPS, sizeof *ops);
  size_t n = 0;
  StatusCode code = status_ok (st);

  for (size_t i = 0; i < count; i++)
    n += bill_entry_ops (entries[i], ops + n);
  if (n > 0)
    code = platform->ops->txn (platform, ops, n, timeout_ms, st);
  /* The first operation of each entry is its insert. If one entry can't be completed now the call
   * fails and the caller writes all of them again, which changes nothing for the others. */
  for (size_t i = 0, op = 0; code == STATUS_OK && i < count; i++)
    {
      code = bill_entry_replace_partial (platform, entries[i], &ops[op], timeout_ms, st);
      op += entries[i]->claim_key != NULL ? 2 : 1;
    }
  txn_ops_clear (ops, n);
  free (ops);
  return code;
}

StatusCode
bill_entry_write_each (Platform *platform,
                       BillEntry *const *entries,
                       size_t count,
                       int timeout_ms,
                       bool *refused,
                       Status *st)
{
  Status malformed = { .code = STATUS_OK };
  StatusCode code = bill_entry_write (platform, entries, count, timeout_ms, &malformed);

  if (st != NULL)
    *st = malformed;
  memset (refused, 0, count * sizeof *refused);
  if (code != STATUS_INVALID)
    return code;
  code = STATUS_OK;
  for (size_t i = 0; i < count && code == STATUS_OK; i++)
    {
      code = bill_entry_write (platform, &entries[i], 1, timeout_ms, st);
      refused[i] = code == STATUS_INVALID;
      if (refused[i])
        code = STATUS_OK;
    }
  /* The caller logs this message for the refused entries. */
  if (code == STATUS_OK && st != NULL)
    *st = malformed;
  return code;
}

void
bill_entry_mark_refused (BillEntry *entry, int64_t now_ms, const Status *st)
{
  char key[2 * BILL_KEY_MAX];
  char message[2 * STATUS_MESSAGE_MAX];

  if (!entry->refused)
    log_msg (MSG_BILL_REFUSED, "key=\"%s\" message=\"%s\"", log_quote (entry->key, key, sizeof key),
             log_quote (st != NULL ? st->message : "", message, sizeof message));
  entry->refused = true;
  entry->retry_at_ms = now_ms + BILL_REFUSED_RETRY_MS;
  counter_add (COUNTER_BILL_REFUSED, 1);
}
