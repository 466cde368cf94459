/**
 * Hash index over objects that embed an IndexEntry. The number of chains grows with the number of
 * objects, so that chains stay short at any size. A zeroed Index is empty.
 */
#ifndef UTIL_INDEX_H
#define UTIL_INDEX_H

#include <stdint.h>
#include <urcu/list.h>

typedef struct
{
  struct cds_list_head chain;
  uint64_t hash;
} IndexEntry;

typedef struct
{
  struct cds_list_head *chains; /**< NULL until the first addition */
  unsigned chain_count;         /**< a power of two */
  unsigned count;               /**< objects */
} Index;

void index_add (Index *index, IndexEntry *entry, uint64_t hash);
void index_remove (Index *index, IndexEntry *entry);
/** First object with this hash; NULL: none. Different keys may have equal hashes. */
IndexEntry *index_first (const Index *index, uint64_t hash);
/** Next object with the same hash; NULL: none. */
IndexEntry *index_next (const Index *index, const IndexEntry *entry);
/** Frees the index's own memory; the objects belong to the caller. */
void index_clear (Index *index);

#endif
