/* An order of the living fronts on which all agree without asking: rendezvous hashing. */
#include "front_peers_private.h"
#include "util_id.h"

/* Fronts of each failure domain that follow a table at the store; the others ask one of these. Two
 * may be lost at once; at 60 fronts a domain one passes changes on to 20. */
#define FOLLOWERS 3
/* Sets the order of collectors apart from those of followers. */
#define COLLECTOR_SUBJECT 0x636f6c6cu

unsigned
front_peers_alive (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count = 1;

  for (unsigned i = 0; i < peers->count; i++)
    count += peer_is_alive (&peers->list[i], now_ms);
  return count;
}

static uint64_t
rank_hash (const struct sockaddr_in *address, uint64_t subject)
{
  return id_hash (&address->sin_addr.s_addr, sizeof address->sin_addr.s_addr, subject);
}

static bool
is_neighbour (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return peer->domain == peers->own_domain && peer_is_alive (peer, now_ms);
}

/* How many fronts of our failure domain, ourselves included, come before this hash. */
static unsigned
neighbours_before (const FrontPeers *peers, uint64_t hash, uint64_t table, int64_t now_ms)
{
  unsigned before = rank_hash (&peers->own, table) > hash;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      before += is_neighbour (peers, peer, now_ms) && rank_hash (&peer->address, table) > hash;
    }
  return before;
}

unsigned
peers_neighbours (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count = 1;

  for (unsigned i = 0; i < peers->count; i++)
    count += is_neighbour (peers, &peers->list[i], now_ms);
  return count;
}

/* Puts a candidate, NULL being ourselves, at its place among the best. */
static void
collector_insert (Peer *best[COLLECTORS], uint64_t hashes[COLLECTORS], Peer *peer, uint64_t hash)
{
  for (unsigned i = 0; i < COLLECTORS; i++)
    {
      Peer *moved = best[i];
      uint64_t moved_hash = hashes[i];

      if (hash <= moved_hash)
        continue;
      best[i] = peer;
      hashes[i] = hash;
      peer = moved;
      hash = moved_hash;
    }
}

void
peers_collectors (FrontPeers *peers, int64_t now_ms, Collectors *out)
{
  Peer *best[COLLECTORS] = { 0 };
  uint64_t hashes[COLLECTORS] = { 0 };

  *out = (Collectors){ 0 };
  collector_insert (best, hashes, NULL, rank_hash (&peers->own, COLLECTOR_SUBJECT));
  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = &peers->list[i];

      if (is_neighbour (peers, peer, now_ms))
        collector_insert (best, hashes, peer, rank_hash (&peer->address, COLLECTOR_SUBJECT));
    }
  for (unsigned i = 0; i < COLLECTORS; i++)
    {
      if (best[i])
        out->peers[out->count++] = best[i];
      else
        out->is_self |= hashes[i] != 0;
    }
}

bool
front_peers_source (const FrontPeers *peers,
                    uint64_t table,
                    int64_t now_ms,
                    struct sockaddr_in *address)
{
  const Peer *best = NULL;
  uint64_t best_hash = 0;

  if (neighbours_before (peers, rank_hash (&peers->own, table), table, now_ms) < FOLLOWERS)
    return false;
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      uint64_t hash = rank_hash (&peer->address, table);

      if (!is_neighbour (peers, peer, now_ms)
          || neighbours_before (peers, hash, table, now_ms) >= FOLLOWERS)
        continue;
      /* Each front asks the follower that its own address picks, so that they share the load. */
      hash = rank_hash (&peer->address, rank_hash (&peers->own, table));
      if (best && hash <= best_hash)
        continue;
      best = peer;
      best_hash = hash;
    }
  if (!best)
    return false;
  *address = best->address;
  address->sin_port = peers->control_port;
  return true;
}

unsigned
front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms)
{
  uint64_t own = rank_hash (&peers->own, subject);
  unsigned rank = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      rank += peer_is_alive (peer, now_ms) && rank_hash (&peer->address, subject) > own;
    }
  return rank;
}
