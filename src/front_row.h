/**
 * A row of the platform's store.
 */
#ifndef FRONT_ROW_H
#define FRONT_ROW_H

#include "util_span.h"

typedef struct
{
  char *key;
  char *value; /**< NUL-terminated; NULL if the row was removed */
  size_t value_len;
  int64_t version; /**< of the transaction that wrote it; rises over all rows of the store */
  bool removed;
} StoreRow;

/** An answer of the store. */
typedef struct
{
  unsigned count;
  StoreRow *rows;
  bool has_more;    /**< there are rows behind the last one */
  int64_t version;  /**< newest version of the store */
  int64_t clock_ms; /**< the store's steady clock; 0: not told */
} StoreAnswer;

void store_answer_clear (StoreAnswer *answer);

#endif
