/**
 * Rows of the platform's store.
 *
 * The store may come back from a copy; its versions then go back and are given out again, and the
 * era that it names in its answers rises. Here a version includes its era, in the high bits, so
 * that any version of a later era is newer.
 */
#ifndef FRONT_ROW_H
#define FRONT_ROW_H

#include "util_buffer.h"
#include "util_span.h"

#define STORE_ERA_SHIFT                                                                            \
  40 /**< bits of a version within an era: 10,000 writes a second for years                        \
      */

typedef struct
{
  char *key;   /**< a NUL in the store's key is shown as U+FFFD, so that no other key is meant */
  char *value; /**< NUL-terminated; NULL if the row was removed */
  size_t value_len;
  int64_t version; /**< of the transaction that wrote the row, with its era; increases over the
                      whole store */
  bool removed;
} StoreRow;

/** Rows that the store or another front returned. */
typedef struct
{
  unsigned count;
  StoreRow *rows;
  bool has_more;   /**< there are rows after the last one */
  Buffer last_key; /**< with has_more: key of the last row, as the store has it */
  int64_t version; /**< newest version of the store; another front's answer with has_more: version
                      of its last row */
  int64_t base_version; /**< first part of another front's table: version of that table, of which
                           the later parts tell all changes; 0: not given */
  bool has_living;      /**< another front's last part: living is given */
  unsigned living;      /**< rows that are not removed there */
  bool has_clock;       /**< the answer tells the store's time */
  int64_t clock_ms;     /**< by the store's steady clock */
} StoreAnswer;

/** Version of a row or table in an era of the store. */
int64_t store_version (int64_t era, int64_t number);
/** The version as the store gives it. */
int64_t store_version_number (int64_t version);
int64_t store_version_era (int64_t version);
/** Adds the era to all versions of an answer of the store. */
void store_answer_set_era (StoreAnswer *answer, int64_t era);
void store_answer_clear (StoreAnswer *answer);
/** True if the page is the last one, or ends behind the last key of the page before it (absent:
 * there is none). Otherwise the same rows would be read again and again. */
bool store_answer_gets_further (const StoreAnswer *page, Span last_key);
/** Moves the rows of a part to the end of those read before it; its last_key is freed. */
void store_answer_append (StoreAnswer *all, StoreAnswer *part);

#endif
