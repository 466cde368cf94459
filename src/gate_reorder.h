/**
 * Puts the chunks of a stream in the order of their sequence numbers: each chunk is given out
 * exactly once, and none before those in front of it. No I/O.
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
  int64_t next; /**< number of the chunk that is given out next */
  unsigned held;
  ReorderSlot slots[REORDER_WINDOW]; /**< by number modulo the window */
} Reorder;

typedef enum
{
  REORDER_TAKEN,
  REORDER_DUPLICATE, /**< given out or held already; dropped */
  REORDER_TOO_FAR    /**< the gap before it is larger than the window */
} ReorderResult;

ReorderResult reorder_push (Reorder *reorder, int64_t number, const char *data, size_t len);
/** Takes the next chunk into *out (overwritten) and its number into *number; false: it has not
 *  come yet. */
bool reorder_pop (Reorder *reorder, Buffer *out, int64_t *number);
/** True if chunks wait behind one that has not come. */
bool reorder_has_gap (const Reorder *reorder);
void reorder_free (Reorder *reorder);

#endif
