/* Chooses the front that rows are requested from. */
#include "front_peers_private.h"
#include "util_memory.h"
#include <stdlib.h>

/* Milliseconds of the same while all fronts start: one that refuses connections is about to listen.
 */
#define FAILED_RETRY_START_MS 40

bool
peer_has_failed (const Peer *peer, int64_t for_ms, int64_t now_ms)
{
  return peer->request_failed_ms != 0 && now_ms - peer->request_failed_ms < for_ms;
}

static bool
is_usable (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return peers_is_domain_peer (peers, peer, now_ms)
         && !peer_has_failed (peer, PEER_FAILED_RETRY_MS, now_ms);
}

/* A front of the domain that can be asked. */
typedef struct
{
  uint64_t hash;
  const Peer *peer;
} Ranked;

static int
compare_ranked (const void *a, const void *b)
{
  uint64_t first = ((const Ranked *)a)->hash, second = ((const Ranked *)b)->hash;

  return (first < second) - (first > second);
}

/* Those that come before this front, in the order of their ranks; their number is its own rank. */
static unsigned
ranked_before (const FrontPeers *peers, uint64_t table, Ranked *out, int64_t now_ms)
{
  uint64_t own = peers_rank_hash (&peers->own, table);
  unsigned count = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      uint64_t hash;

      if (!is_usable (peers, peers->list[i], now_ms))
        continue;
      hash = peers_rank_hash (&peers->list[i]->address, table);
      if (hash > own)
        out[count++] = (Ranked){ .hash = hash, .peer = peers->list[i] };
    }
  qsort (out, count, sizeof *out, compare_ranked);
  return count;
}

/* Each front's own address decides which of several fronts it asks, so that they share the load. */
static uint64_t
choice_hash (const FrontPeers *peers, const Peer *peer, uint64_t table)
{
  return peers_rank_hash (&peer->address, peers_rank_hash (&peers->own, table));
}

static bool
source_set (const FrontPeers *peers, const Peer *peer, struct sockaddr_in *address)
{
  if (!peer)
    return false;
  *address = peer->address;
  address->sin_port = peers->control_port;
  return true;
}

/* Asks only fronts that come before this one, so that no two ask each other, whichever fronts each
 * of them knows. */
bool
front_peers_ranked_source (const FrontPeers *peers,
                           uint64_t table,
                           int64_t now_ms,
                           struct sockaddr_in *address)
{
  Ranked *before = memory_array (peers->count + 1, sizeof *before);
  unsigned rank = ranked_before (peers, table, before, now_ms);
  bool asks_front = rank >= TREE_ROOTS;

  if (asks_front)
    source_set (peers, before[peers_tree_parent (rank)].peer, address);
  free (before);
  return asks_front;
}

/* True if the peer reported rows of the table; or if it is registered and not known to be dead
 * (alive, or no message from it since this front started), as it then requests the rows from the
 * store if it has none. */
static bool
is_informed (const FrontPeers *peers, const Peer *peer, uint64_t table, int64_t now_ms)
{
  if (peer->domain != peers->own_domain || peer_has_failed (peer, FAILED_RETRY_START_MS, now_ms))
    return false;
  if (peer_is_alive (peer, now_ms) && peer->newest[table] > 0)
    return true;
  return peer->is_registered && !peers->is_registered
         && (peer->seen_ms == 0 || peer_is_alive (peer, now_ms));
}

/* Of the informed fronts of the domain with at least this hash, the one that this front's address
 * selects. */
static bool
pick_informed (const FrontPeers *peers,
               uint64_t table,
               uint64_t hash_min,
               int64_t now_ms,
               struct sockaddr_in *address)
{
  const Peer *best = NULL;
  uint64_t best_hash = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = peers->list[i];
      uint64_t hash = choice_hash (peers, peer, table);

      if (!is_informed (peers, peer, table, now_ms) || (best && hash <= best_hash)
          || peers_rank_hash (&peer->address, table) < hash_min)
        continue;
      best = peer;
      best_hash = hash;
    }
  return source_set (peers, best, address);
}

bool
front_peers_informed_source (const FrontPeers *peers,
                             uint64_t table,
                             int64_t now_ms,
                             struct sockaddr_in *address)
{
  return pick_informed (peers, table, 0, now_ms, address);
}

/* With a single other front to ask, both poll the store, as the other one may be cut off from it.
 */
bool
front_peers_informed_source_before (const FrontPeers *peers,
                                    uint64_t table,
                                    int64_t now_ms,
                                    struct sockaddr_in *address)
{
  unsigned informed = 0;

  for (unsigned i = 0; i < peers->count; i++)
    informed += is_informed (peers, peers->list[i], table, now_ms);
  return informed >= TREE_ROOTS
         && pick_informed (peers, table, peers_rank_hash (&peers->own, table), now_ms, address);
}

void
front_peers_mark_failed (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms)
{
  Peer *peer = peer_find (peers, address->sin_addr.s_addr);

  if (peer)
    peer->request_failed_ms = now_ms;
}

void
front_peers_mark_refused (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms)
{
  Peer *peer = peer_find (peers, address->sin_addr.s_addr);

  if (peer)
    peer->request_refused_ms = now_ms;
}
