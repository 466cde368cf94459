/**
 * Rows of the platform's store.
 */
#ifndef FRONT_ROW_H
#define FRONT_ROW_H

#include "util_span.h"

typedef struct
{
  char *key;
  char *value; /**< NUL-terminated; NULL if the row was removed */
  size_t value_len;
  int64_t version; /**< of the transaction that wrote the row; increases over the whole store */
  bool removed;
} StoreRow;

/** Rows that the store or another front returned. */
typedef struct
{
  unsigned count;
  StoreRow *rows;
  bool has_more;   /**< there are rows after the last one */
  int64_t version; /**< newest version of the store; another front's answer with has_more: version
                      of its last row */
  int64_t base_version; /**< first part of another front's table: version of that table, of which
                           the later parts tell all changes; 0: not given */
  int64_t clock_ms;     /**< the store's monotonic clock; 0: not given */
} StoreAnswer;

void store_answer_clear (StoreAnswer *answer);
/** Moves the rows of a part to the end of those read before it. */
void store_answer_append (StoreAnswer *all, StoreAnswer *part);

#endif
