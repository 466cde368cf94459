#include "platform_wire.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define JSON_DEPTH_MAX 16

static const char *const op_names[] = { [TXN_CHECK] = "check",
                                        [TXN_PUT] = "put",
                                        [TXN_INSERT] = "insert",
                                        [TXN_DELETE] = "delete" };

struct json_object *
platform_wire_parse (const char *text, size_t len)
{
  if (!text || len == 0)
    return NULL;
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  struct json_object *obj = json_tokener_parse_ex (tokener, text, (int)len);
  if (json_tokener_get_error (tokener) != json_tokener_success
      || !json_object_is_type (obj, json_type_object))
    {
      json_object_put (obj);
      obj = NULL;
    }
  json_tokener_free (tokener);
  return obj;
}

static void
add_string (struct json_object *obj, const char *name, const char *value)
{
  json_object_object_add (obj, name, json_object_new_string (value));
}

/* Copy of a string member; NULL if it is absent or not a string. */
static char *
dup_string (struct json_object *obj, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  return memory_strdup (json_object_get_string (member));
}

static bool
read_int (struct json_object *obj, const char *name, int64_t *out)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member)
      || !json_object_is_type (member, json_type_int))
    return false;
  *out = json_object_get_int64 (member);
  return true;
}

static bool
read_bool (struct json_object *obj, const char *name, bool *out)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member)
      || !json_object_is_type (member, json_type_boolean))
    return false;
  *out = json_object_get_boolean (member);
  return true;
}

static struct json_object *
get_array (struct json_object *obj, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member)
      || !json_object_is_type (member, json_type_array))
    return NULL;
  return member;
}

struct json_object *
platform_wire_txn (const TxnOp *ops, size_t count)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *op = json_object_new_object ();
      add_string (op, "op", op_names[ops[i].kind]);
      add_string (op, "table", ops[i].table);
      add_string (op, "key", ops[i].key);
      if (ops[i].kind == TXN_CHECK)
        json_object_object_add (op, "version", json_object_new_int64 (ops[i].version));
      if (ops[i].kind == TXN_PUT || ops[i].kind == TXN_INSERT)
        add_string (op, "value", ops[i].value);
      json_object_array_add (list, op);
    }
  struct json_object *body = json_object_new_object ();
  json_object_object_add (body, "ops", list);
  return body;
}

static bool
read_result (struct json_object *result, TxnOp *op)
{
  if (!read_int (result, "version", &op->row_version))
    return false;
  if (op->kind != TXN_INSERT)
    return true;
  if (!read_bool (result, "inserted", &op->inserted))
    return false;
  if (!op->inserted)
    op->existing = dup_string (result, "existing");
  return op->inserted || op->existing;
}

bool
platform_wire_results (struct json_object *answer, TxnOp *ops, size_t count)
{
  bool committed = false;
  struct json_object *results = get_array (answer, "results");
  if (!read_bool (answer, "committed", &committed) || !committed || !results
      || json_object_array_length (results) != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!read_result (json_object_array_get_idx (results, i), &ops[i]))
      {
        txn_ops_clear (ops, count);
        return false;
      }
  return true;
}

bool
platform_wire_row (struct json_object *answer, PlatformRow *row)
{
  *row = (PlatformRow){ .key = dup_string (answer, "key"), .value = dup_string (answer, "value") };
  if (row->key && row->value && read_int (answer, "version", &row->version) && row->version > 0)
    return true;
  platform_row_clear (row);
  return false;
}

bool
platform_wire_rows (struct json_object *answer, PlatformRows *rows)
{
  struct json_object *list = get_array (answer, "rows");
  *rows = (PlatformRows){ 0 };
  if (!list)
    return false;
  size_t count = json_object_array_length (list);
  rows->rows = memory_array (count, sizeof *rows->rows);
  for (; rows->count < count; rows->count++)
    if (!platform_wire_row (json_object_array_get_idx (list, rows->count),
                            &rows->rows[rows->count]))
      {
        platform_rows_clear (rows);
        return false;
      }
  return true;
}

static bool
read_vm (struct json_object *obj, PlatformVm *vm)
{
  vm->name = dup_string (obj, "name");
  vm->address = dup_string (obj, "address");
  vm->failure_domain = dup_string (obj, "failure_domain");
  return vm->name && vm->address && vm->failure_domain && read_bool (obj, "leaving", &vm->leaving);
}

bool
platform_wire_vms (struct json_object *answer, PlatformVms *vms)
{
  struct json_object *list = get_array (answer, "vms");
  *vms = (PlatformVms){ 0 };
  if (!list)
    return false;
  size_t count = json_object_array_length (list);
  vms->vms = memory_array (count, sizeof *vms->vms);
  vms->count = count;
  for (size_t i = 0; i < count; i++)
    if (!read_vm (json_object_array_get_idx (list, i), &vms->vms[i]))
      {
        platform_vms_clear (vms);
        return false;
      }
  return true;
}

struct json_object *
platform_wire_rate (const char *quality_class, const char *prompt, const char *answer)
{
  struct json_object *body = json_object_new_object ();
  add_string (body, "class", quality_class);
  add_string (body, "prompt", prompt);
  add_string (body, "answer", answer);
  return body;
}

bool
platform_wire_score (struct json_object *answer, double *score)
{
  struct json_object *member;
  if (!json_object_object_get_ex (answer, "score", &member)
      || !(json_object_is_type (member, json_type_double)
           || json_object_is_type (member, json_type_int)))
    return false;
  *score = json_object_get_double (member);
  return *score >= 0 && *score <= 1;
}
