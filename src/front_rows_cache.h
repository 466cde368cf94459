/**
 * The last rows that were encoded for other fronts, compressed. Dozens of fronts request the same
 * rows at one moment, and a front may have only a tenth of a core. No I/O.
 */
#ifndef FRONT_ROWS_CACHE_H
#define FRONT_ROWS_CACHE_H

#include "front_store.h"

/** Answers that are kept: the parts of a table of 20,000 rows, some 10 KB each. */
#define ROWS_CACHE_SLOTS 64

typedef struct
{
  StoreTable table;
  int64_t since;
  int64_t version; /**< of the table when it was encoded */
  bool is_part;    /**< there were more rows */
  uint64_t used;   /**< number of its last use */
  Buffer text;     /**< empty: unused */
} CachedRows;

typedef struct
{
  uint64_t uses;
  CachedRows slots[ROWS_CACHE_SLOTS];
} RowsCache;

/** The encoded and compressed answer, valid until the next call; NULL if the rows are not known
 *  here. */
const Buffer *
rows_cache_get (RowsCache *cache, const FrontStore *store, const RowsRequest *request);
void rows_cache_clear (RowsCache *cache);

#endif
