#include "platform_table.h"
#include <limits.h>
#include <pthread.h>
#include <sqlite3.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  SQL_BEGIN,
  SQL_COMMIT,
  SQL_ROLLBACK,
  SQL_GET,
  SQL_PUT,
  SQL_DELETE,
  SQL_SCAN,
  SQL_OBJECT_PUT,
  SQL_OBJECT_GET,
  SQL_COUNT_ROWS,
  SQL_COUNT
} SqlId;

static const char sql_put[]
    = "INSERT INTO row VALUES (?1, ?2, ?3, 1) ON CONFLICT (tab, key) DO UPDATE "
      "SET value = excluded.value, version = version + 1";
static const char sql_scan[] = "SELECT key, value, version FROM row WHERE tab = ?1 AND key >= ?2 "
                               "AND substr (key, 1, length (?3)) = ?3 ORDER BY key LIMIT ?4";

static const char *const sql_texts[SQL_COUNT] = {
  [SQL_BEGIN] = "BEGIN IMMEDIATE",
  [SQL_COMMIT] = "COMMIT",
  [SQL_ROLLBACK] = "ROLLBACK",
  [SQL_GET] = "SELECT value, version FROM row WHERE tab = ?1 AND key = ?2",
  [SQL_PUT] = sql_put,
  [SQL_DELETE] = "DELETE FROM row WHERE tab = ?1 AND key = ?2",
  [SQL_SCAN] = sql_scan,
  [SQL_OBJECT_PUT] = "INSERT OR REPLACE INTO object VALUES (?1, ?2)",
  [SQL_OBJECT_GET] = "SELECT data FROM object WHERE name = ?1",
  [SQL_COUNT_ROWS] = "SELECT tab, count (*) FROM row GROUP BY tab",
};

static const char schema[]
    = "CREATE TABLE row (tab TEXT, key TEXT, value TEXT, version INTEGER, PRIMARY KEY (tab, key)) "
      "WITHOUT ROWID; CREATE TABLE object (name TEXT PRIMARY KEY, data BLOB) WITHOUT ROWID;";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static sqlite3 *db;
static sqlite3_stmt *sql[SQL_COUNT];
static TableStats stats;

/* A failing statement is a bug in the stand-in itself; aborting stops the test. */
static void
die (const char *what)
{
  fprintf (stderr, "standin-platform: %s: %s\n", what, sqlite3_errmsg (db));
  abort ();
}

bool
table_open (void)
{
  if (sqlite3_open (":memory:", &db) != SQLITE_OK
      || sqlite3_exec (db, schema, NULL, NULL, NULL) != SQLITE_OK)
    return false;
  for (int i = 0; i < SQL_COUNT; i++)
    if (sqlite3_prepare_v2 (db, sql_texts[i], -1, &sql[i], NULL) != SQLITE_OK)
      return false;
  return true;
}

void
table_close (void)
{
  for (int i = 0; i < SQL_COUNT; i++)
    sqlite3_finalize (sql[i]);
  sqlite3_close (db);
}

static sqlite3_stmt *
bind_texts (SqlId id, const char *a, const char *b)
{
  sqlite3_reset (sql[id]);
  sqlite3_clear_bindings (sql[id]);
  if (a)
    sqlite3_bind_text (sql[id], 1, a, -1, SQLITE_TRANSIENT);
  if (b)
    sqlite3_bind_text (sql[id], 2, b, -1, SQLITE_TRANSIENT);
  return sql[id];
}

static void
run (sqlite3_stmt *statement)
{
  if (sqlite3_step (statement) != SQLITE_DONE)
    die (sqlite3_sql (statement));
  sqlite3_reset (statement);
}

/* Version of a row, 0 if it is absent; its value goes to *value, freed with free. */
static int64_t
row_get (const char *table, const char *key, char **value)
{
  int64_t version = 0;
  sqlite3_stmt *s = bind_texts (SQL_GET, table, key);
  if (sqlite3_step (s) == SQLITE_ROW)
    {
      version = sqlite3_column_int64 (s, 1);
      if (value)
        *value = strdup ((const char *)sqlite3_column_text (s, 0));
    }
  sqlite3_reset (s);
  return version;
}

static void
row_put (const char *table, const char *key, const char *value)
{
  sqlite3_stmt *s = bind_texts (SQL_PUT, table, key);
  sqlite3_bind_text (s, 3, value, -1, SQLITE_TRANSIENT);
  run (s);
}

static const char *
member (struct json_object *op, const char *name)
{
  struct json_object *value;
  if (!json_object_object_get_ex (op, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static bool
op_is_valid (struct json_object *op)
{
  const char *kind = member (op, "op");
  struct json_object *version;
  if (!kind || !member (op, "table") || !member (op, "key"))
    return false;
  if (strcmp (kind, "check") == 0)
    return json_object_object_get_ex (op, "version", &version)
           && json_object_is_type (version, json_type_int);
  if (strcmp (kind, "put") == 0 || strcmp (kind, "insert") == 0)
    return member (op, "value") != NULL;
  return strcmp (kind, "delete") == 0;
}

/* Checks apply to the state before the transaction, wherever they stand among the operations. */
static int
failed_check (struct json_object *ops)
{
  for (size_t i = 0; i < json_object_array_length (ops); i++)
    {
      struct json_object *op = json_object_array_get_idx (ops, i);
      struct json_object *version;
      if (strcmp (member (op, "op"), "check") != 0)
        continue;
      json_object_object_get_ex (op, "version", &version);
      if (row_get (member (op, "table"), member (op, "key"), NULL)
          != json_object_get_int64 (version))
        return (int)i;
    }
  return -1;
}

static void
apply_insert (struct json_object *op, struct json_object *result)
{
  char *existing_value = NULL;
  bool absent = row_get (member (op, "table"), member (op, "key"), &existing_value) == 0;
  json_object_object_add (result, "inserted", json_object_new_boolean (absent));
  if (absent)
    row_put (member (op, "table"), member (op, "key"), member (op, "value"));
  else
    json_object_object_add (result, "existing", json_object_new_string (existing_value));
  free (existing_value);
}

static struct json_object *
apply_op (struct json_object *op)
{
  const char *kind = member (op, "op");
  const char *table = member (op, "table");
  const char *key = member (op, "key");
  struct json_object *result = json_object_new_object ();
  if (strcmp (kind, "put") == 0)
    row_put (table, key, member (op, "value"));
  else if (strcmp (kind, "insert") == 0)
    apply_insert (op, result);
  else if (strcmp (kind, "delete") == 0)
    run (bind_texts (SQL_DELETE, table, key));
  return result;
}

/* Adds the version that each operation's row has after the whole transaction. */
static void
add_versions (struct json_object *ops, struct json_object *results)
{
  for (size_t i = 0; i < json_object_array_length (ops); i++)
    {
      struct json_object *op = json_object_array_get_idx (ops, i);
      int64_t version = row_get (member (op, "table"), member (op, "key"), NULL);
      json_object_object_add (json_object_array_get_idx (results, i), "version",
                              json_object_new_int64 (version));
    }
}

struct json_object *
table_txn (struct json_object *ops, int *failed)
{
  size_t count = json_object_array_length (ops);
  *failed = -2;
  for (size_t i = 0; i < count; i++)
    if (!op_is_valid (json_object_array_get_idx (ops, i)))
      return NULL;
  pthread_mutex_lock (&lock);
  stats.txns++;
  stats.ops += (int64_t)count;
  run (bind_texts (SQL_BEGIN, NULL, NULL));
  struct json_object *results = NULL;
  *failed = failed_check (ops);
  if (*failed < 0)
    {
      results = json_object_new_array ();
      for (size_t i = 0; i < count; i++)
        json_object_array_add (results, apply_op (json_object_array_get_idx (ops, i)));
      add_versions (ops, results);
    }
  run (bind_texts (*failed < 0 ? SQL_COMMIT : SQL_ROLLBACK, NULL, NULL));
  pthread_mutex_unlock (&lock);
  return results;
}

static struct json_object *
row_json (const char *key, const char *value, int64_t version)
{
  struct json_object *row = json_object_new_object ();
  json_object_object_add (row, "key", json_object_new_string (key));
  json_object_object_add (row, "value", json_object_new_string (value));
  json_object_object_add (row, "version", json_object_new_int64 (version));
  return row;
}

struct json_object *
table_row (const char *table, const char *key)
{
  char *value = NULL;
  pthread_mutex_lock (&lock);
  stats.reads++;
  int64_t version = row_get (table, key, &value);
  pthread_mutex_unlock (&lock);
  struct json_object *row = version ? row_json (key, value, version) : NULL;
  free (value);
  return row;
}

struct json_object *
table_scan (const char *table, const char *from, const char *prefix, int limit)
{
  struct json_object *rows = json_object_new_array ();
  pthread_mutex_lock (&lock);
  stats.reads++;
  sqlite3_stmt *s = bind_texts (SQL_SCAN, table, from);
  sqlite3_bind_text (s, 3, prefix, -1, SQLITE_TRANSIENT);
  sqlite3_bind_int (s, 4, limit > 0 ? limit : INT_MAX);
  while (sqlite3_step (s) == SQLITE_ROW)
    json_object_array_add (rows, row_json ((const char *)sqlite3_column_text (s, 0),
                                           (const char *)sqlite3_column_text (s, 1),
                                           sqlite3_column_int64 (s, 2)));
  sqlite3_reset (s);
  pthread_mutex_unlock (&lock);
  return rows;
}

void
table_object_put (const char *name, const void *data, size_t len)
{
  pthread_mutex_lock (&lock);
  stats.objects_put++;
  sqlite3_stmt *s = bind_texts (SQL_OBJECT_PUT, name, NULL);
  sqlite3_bind_blob (s, 2, data ? data : "", (int)len, SQLITE_TRANSIENT);
  run (s);
  pthread_mutex_unlock (&lock);
}

bool
table_object_get (const char *name, Buffer *out)
{
  pthread_mutex_lock (&lock);
  stats.reads++;
  sqlite3_stmt *s = bind_texts (SQL_OBJECT_GET, name, NULL);
  bool found = sqlite3_step (s) == SQLITE_ROW;
  if (found)
    buffer_add (out, sqlite3_column_blob (s, 0), (size_t)sqlite3_column_bytes (s, 0));
  sqlite3_reset (s);
  pthread_mutex_unlock (&lock);
  return found;
}

void
table_stats (TableStats *out)
{
  pthread_mutex_lock (&lock);
  *out = stats;
  pthread_mutex_unlock (&lock);
}

struct json_object *
table_counts (void)
{
  struct json_object *counts = json_object_new_object ();
  pthread_mutex_lock (&lock);
  sqlite3_stmt *s = bind_texts (SQL_COUNT_ROWS, NULL, NULL);
  while (sqlite3_step (s) == SQLITE_ROW)
    json_object_object_add (counts, (const char *)sqlite3_column_text (s, 0),
                            json_object_new_int64 (sqlite3_column_int64 (s, 1)));
  sqlite3_reset (s);
  pthread_mutex_unlock (&lock);
  return counts;
}
