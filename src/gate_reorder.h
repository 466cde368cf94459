/**
 * Sorts the chunks of a stream by their sequence numbers: each chunk is returned exactly once, and
 * only after all chunks with lower numbers. No I/O.
 */
#ifndef GATE_REORDER_H
#define GATE_REORDER_H

#include "util_buffer.h"
#include <stdbool.h>
#include <stdint.h>

#define REORDER_WINDOW 32 /**< chunks that may be held behind a gap */

typedef struct
{
  bool held;
  Buffer data;
} ReorderSlot;

typedef struct
{
  int64_t next;                      /**< number of the chunk to return next */
  unsigned held;                     /**< chunks in slots */
  ReorderSlot slots[REORDER_WINDOW]; /**< by number modulo the window */
} Reorder;

typedef enum
{
  REORDER_ADDED,
  REORDER_DUPLICATE, /**< returned or held already; dropped */
  REORDER_TOO_FAR    /**< the gap before it is larger than the window */
} ReorderResult;

ReorderResult reorder_push (Reorder *reorder, int64_t number, const char *data, size_t len);
/**
 * Moves the next chunk to *out (overwritten) and its number to *number. False: it has not arrived.
 */
bool reorder_pop (Reorder *reorder, Buffer *out, int64_t *number);
/** True if chunks are held behind one that has not arrived. */
bool reorder_has_gap (const Reorder *reorder);
void reorder_free (Reorder *reorder);

#endif
