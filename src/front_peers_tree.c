/* The tree by which what the store says reaches all fronts of a failure domain: by rank, so that
 * all agree on it without communication. */
#include "front_peers_private.h"
#include "util_memory.h"
#include <stdlib.h>

typedef struct
{
  uint64_t hash;
  const Peer *peer; /* NULL: this front */
} Ranked;

unsigned
peers_tree_parent (unsigned rank)
{
  unsigned above = 0, level = TREE_ROOTS, size = TREE_ROOTS;

  while (rank >= level + size * TREE_CHILDREN)
    {
      size *= TREE_CHILDREN;
      above = level;
      level += size;
    }
  return above + (rank - level) % size;
}

unsigned
peers_tree_level (unsigned rank)
{
  unsigned level = 0;

  for (; rank >= TREE_ROOTS; rank = peers_tree_parent (rank))
    level++;
  return level;
}

static int
compare_ranked (const void *a, const void *b)
{
  uint64_t first = ((const Ranked *)a)->hash, second = ((const Ranked *)b)->hash;

  return (first < second) - (first > second);
}

/* All living fronts of the failure domain by rank, this one included. */
static unsigned
rank_all (const FrontPeers *peers, Ranked *out, int64_t now_ms)
{
  unsigned count = 1;

  out[0] = (Ranked){ .hash = peers_rank_hash (&peers->own, COLLECTOR_SUBJECT) };
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = peers->list[i];

      if (peers_is_domain_peer (peers, peer, now_ms))
        out[count++]
            = (Ranked){ .hash = peers_rank_hash (&peer->address, COLLECTOR_SUBJECT), .peer = peer };
    }
  qsort (out, count, sizeof *out, compare_ranked);
  return count;
}

static unsigned
own_rank (const Ranked *ranked)
{
  unsigned rank = 0;

  while (ranked[rank].peer)
    rank++;
  return rank;
}

unsigned
front_peers_tree_level (const FrontPeers *peers, int64_t now_ms)
{
  Ranked *ranked = memory_array (peers->count + 1, sizeof *ranked);
  unsigned level;

  rank_all (peers, ranked, now_ms);
  level = peers_tree_level (own_rank (ranked));
  free (ranked);
  return level;
}

unsigned
peers_tree_children (const FrontPeers *peers, const Peer *out[TREE_CHILDREN], int64_t now_ms)
{
  Ranked *ranked = memory_array (peers->count + 1, sizeof *ranked);
  unsigned count = rank_all (peers, ranked, now_ms);
  unsigned own = own_rank (ranked), found = 0;

  for (unsigned i = own + 1; i < count && found < TREE_CHILDREN; i++)
    {
      if (i >= TREE_ROOTS && peers_tree_parent (i) == own)
        out[found++] = ranked[i].peer;
    }
  free (ranked);
  return found;
}
