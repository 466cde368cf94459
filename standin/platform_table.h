/**
 * Table service and object store of the stand-in platform, in an SQLite database in memory.
 * Thread-safe; one lock serializes all transactions and reads.
 */
#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include "util_buffer.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t txns;  /**< transactions requested, committed or not */
  int64_t ops;   /**< operations of these transactions */
  int64_t reads; /**< rows, scans and objects requested */
  int64_t objects_put;
} TableStats;

/** Creates the empty database; false if that fails. */
bool table_open (void);
void table_close (void);

/** Executes the operations as one transaction. Returns their results, with *failed -1; NULL if it
 *  was not committed, with *failed the index of the first check that failed, or -2 if an operation
 *  is not valid. */
struct json_object *table_txn (struct json_object *ops, int *failed);
/** {"key","value","version"}, or NULL if there is no such row. */
struct json_object *table_row (const char *table, const char *key);
/** JSON array of the rows whose key is not below from and begins with prefix, in order of their
 *  keys; limit 0: all of them. */
struct json_object *table_scan (const char *table, const char *from, const char *prefix, int limit);
void table_object_put (const char *name, const void *data, size_t len);
/** Appends the object's data to out; false if there is no such object. */
bool table_object_get (const char *name, Buffer *out);
void table_stats (TableStats *out);
/** Object with the number of rows of each table. */
struct json_object *table_counts (void);

#endif
