/**
 * Tables of the in-memory platform of the tests: rows and transactions. Not thread-safe.
 */
#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include "platform.h"

typedef struct
{
  char *table;
  char *key;
  char *value;
  size_t len;
  int64_t version;
} FakeRow;

typedef struct
{
  FakeRow *rows; /**< sorted by table and key */
  size_t count;
} FakeTable;

/** Index of the first row that does not sort before (table, key). */
size_t fake_table_lower (const FakeTable *t, const char *table, const char *key);
/** NULL if there is none. */
FakeRow *fake_table_find (const FakeTable *t, const char *table, const char *key);
/** Returns the row's new version. */
int64_t
fake_table_put (FakeTable *t, const char *table, const char *key, const void *value, size_t len);
/** Applies all operations and returns true, or none and returns false if a check fails. Checks are
 *  evaluated on the state before the transaction. */
bool fake_table_apply (FakeTable *t, TxnOp *ops, size_t count);
void fake_table_clear (FakeTable *t);

/** A deep copy of a transaction's operations; freed with fake_table_free_ops. */
TxnOp *fake_table_copy_ops (const TxnOp *ops, size_t count);
void fake_table_free_ops (TxnOp *ops, size_t count);

#endif
