#include "util_index.h"
#include "util_memory.h"
#include <stdlib.h>

#define CHAINS_MIN 16

static struct cds_list_head *
chain_of (const Index *index, uint64_t hash)
{
  return &index->chains[hash & (index->chain_count - 1)];
}

static void
chains_grow (Index *index)
{
  Index old = *index;

  index->chain_count = old.chain_count ? 2 * old.chain_count : CHAINS_MIN;
  index->chains = memory_array (index->chain_count, sizeof *index->chains);
  for (unsigned i = 0; i < index->chain_count; i++)
    CDS_INIT_LIST_HEAD (&index->chains[i]);
  for (unsigned i = 0; i < old.chain_count; i++)
    {
      IndexEntry *entry, *next;

      cds_list_for_each_entry_safe (entry, next, &old.chains[i], chain)
          cds_list_add (&entry->chain, chain_of (index, entry->hash));
    }
  free (old.chains);
}

void
index_add (Index *index, IndexEntry *entry, uint64_t hash)
{
  if (index->count == index->chain_count)
    chains_grow (index);
  entry->hash = hash;
  cds_list_add (&entry->chain, chain_of (index, hash));
  index->count++;
}

void
index_remove (Index *index, IndexEntry *entry)
{
  cds_list_del (&entry->chain);
  index->count--;
}

/* The first object with the hash behind this place in its chain. */
static IndexEntry *
find_behind (const Index *index, const struct cds_list_head *place, uint64_t hash)
{
  const struct cds_list_head *chain = chain_of (index, hash);

  for (struct cds_list_head *at = place->next; at != chain; at = at->next)
    {
      IndexEntry *entry = cds_list_entry (at, IndexEntry, chain);

      if (entry->hash == hash)
        return entry;
    }
  return NULL;
}

IndexEntry *
index_first (const Index *index, uint64_t hash)
{
  return index->chains ? find_behind (index, chain_of (index, hash), hash) : NULL;
}

IndexEntry *
index_next (const Index *index, const IndexEntry *entry)
{
  return find_behind (index, &entry->chain, entry->hash);
}

void
index_clear (Index *index)
{
  free (index->chains);
  *index = (Index){ 0 };
}
