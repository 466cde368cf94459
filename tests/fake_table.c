#include "fake_table.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

static int
row_compare (const FakeRow *row, const char *table, const char *key)
{
  int order = strcmp (row->table, table);
  return order ? order : strcmp (row->key, key);
}

size_t
fake_table_lower (const FakeTable *t, const char *table, const char *key)
{
  size_t low = 0;
  size_t high = t->count;
  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (row_compare (&t->rows[mid], table, key) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

FakeRow *
fake_table_find (const FakeTable *t, const char *table, const char *key)
{
  size_t i = fake_table_lower (t, table, key);
  if (i < t->count && row_compare (&t->rows[i], table, key) == 0)
    return &t->rows[i];
  return NULL;
}

int64_t
fake_table_put (FakeTable *t, const char *table, const char *key, const void *value, size_t len)
{
  FakeRow *row = fake_table_find (t, table, key);
  if (!row)
    {
      size_t i = fake_table_lower (t, table, key);
      t->rows = memory_grow (t->rows, t->count + 1, sizeof *t->rows);
      memmove (&t->rows[i + 1], &t->rows[i], (t->count - i) * sizeof *t->rows);
      t->count++;
      row = &t->rows[i];
      *row = (FakeRow){ .table = memory_strdup (table), .key = memory_strdup (key) };
    }
  free (row->value);
  row->value = memory_alloc (len + 1);
  if (len)
    memcpy (row->value, value, len);
  row->len = len;
  return ++row->version;
}

static void
row_free (FakeRow *row)
{
  free (row->table);
  free (row->key);
  free (row->value);
}

static void
row_delete (FakeTable *t, const char *table, const char *key)
{
  FakeRow *row = fake_table_find (t, table, key);
  if (!row)
    return;
  size_t i = (size_t)(row - t->rows);
  row_free (row);
  memmove (&t->rows[i], &t->rows[i + 1], (t->count - i - 1) * sizeof *t->rows);
  t->count--;
}

static bool
checks_hold (const FakeTable *t, const TxnOp *ops, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (ops[i].kind != TXN_CHECK)
        continue;
      const FakeRow *row = fake_table_find (t, ops[i].table, ops[i].key);
      if ((row ? row->version : 0) != ops[i].version)
        return false;
    }
  return true;
}

static void
apply_insert (FakeTable *t, TxnOp *op)
{
  const FakeRow *row = fake_table_find (t, op->table, op->key);
  op->inserted = row == NULL;
  if (row)
    {
      op->existing = memory_strdup (row->value);
      return;
    }
  fake_table_put (t, op->table, op->key, op->value, strlen (op->value));
}

static void
apply_op (FakeTable *t, TxnOp *op)
{
  switch (op->kind)
    {
    case TXN_CHECK:
      break;
    case TXN_PUT:
      fake_table_put (t, op->table, op->key, op->value, strlen (op->value));
      break;
    case TXN_INSERT:
      apply_insert (t, op);
      break;
    case TXN_DELETE:
      row_delete (t, op->table, op->key);
      break;
    }
}

bool
fake_table_apply (FakeTable *t, TxnOp *ops, size_t count)
{
  if (!checks_hold (t, ops, count))
    return false;
  for (size_t i = 0; i < count; i++)
    apply_op (t, &ops[i]);
  for (size_t i = 0; i < count; i++)
    {
      const FakeRow *row = fake_table_find (t, ops[i].table, ops[i].key);
      ops[i].row_version = row ? row->version : 0;
    }
  return true;
}

void
fake_table_clear (FakeTable *t)
{
  for (size_t i = 0; i < t->count; i++)
    row_free (&t->rows[i]);
  free (t->rows);
}

TxnOp *
fake_table_copy_ops (const TxnOp *ops, size_t count)
{
  TxnOp *copy = memory_array (count, sizeof *copy);
  for (size_t i = 0; i < count; i++)
    copy[i] = (TxnOp){ .kind = ops[i].kind,
                       .table = memory_strdup (ops[i].table),
                       .key = memory_strdup (ops[i].key),
                       .value = memory_strdup (ops[i].value),
                       .version = ops[i].version };
  return copy;
}

void
fake_table_free_ops (TxnOp *ops, size_t count)
{
  txn_ops_clear (ops, count);
  for (size_t i = 0; i < count; i++)
    {
      free ((char *)ops[i].table);
      free ((char *)ops[i].key);
      free ((char *)ops[i].value);
    }
  free (ops);
}
