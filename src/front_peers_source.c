/* Which other front is asked for rows. */
#include "front_peers_private.h"

/* Fronts of each failure domain that follow a table at the store; the others ask one of these. If
 * one of the two is frozen or cut off, the half of the domain that asks the other one hears of the
 * change at once, and the rest of the domain by its messages. Each more asks the store for each
 * change once more. */
#define FOLLOWERS 2
/* Milliseconds until a front is asked for rows again that gave no good answer; it may be frozen for
 * seconds. One that refuses connections while everybody starts is about to start, too. */
#define FAILED_MS       3000
#define FAILED_START_MS 40

static bool
has_failed (const Peer *peer, int64_t for_ms, int64_t now_ms)
{
  return peer->request_failed_ms != 0 && now_ms - peer->request_failed_ms < for_ms;
}

static bool
is_usable (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return peers_is_neighbour (peers, peer, now_ms) && !has_failed (peer, FAILED_MS, now_ms);
}

/* How many neighbours come before this hash and can be asked. */
static unsigned
usable_before (const FrontPeers *peers, uint64_t hash, uint64_t table, int64_t now_ms)
{
  unsigned before = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      before += is_usable (peers, peer, now_ms) && peers_rank_hash (&peer->address, table) > hash;
    }
  return before;
}

/* Each front asks the one that its own address picks among several, so that they share the load. */
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

/* Only fronts that come before us are asked, so that no two ask each other, whatever each of them
 * knows. */
bool
front_peers_ranked_source (const FrontPeers *peers,
                           uint64_t table,
                           int64_t now_ms,
                           struct sockaddr_in *address)
{
  const Peer *best = NULL;
  uint64_t best_hash = 0;

  if (usable_before (peers, peers_rank_hash (&peers->own, table), table, now_ms) < FOLLOWERS)
    return false;
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      uint64_t hash = choice_hash (peers, peer, table);

      if (!is_usable (peers, peer, now_ms) || (best && hash <= best_hash)
          || usable_before (peers, peers_rank_hash (&peer->address, table), table, now_ms)
                 >= FOLLOWERS)
        continue;
      best = peer;
      best_hash = hash;
    }
  return source_set (peers, best, address);
}

/* It told us that it has rows of the table; or it is registered and nothing is known of it since
 * we started: then it asks the store, if it has nothing yet. */
static bool
is_informed (const FrontPeers *peers, const Peer *peer, uint64_t table, int64_t now_ms)
{
  if (peer->domain != peers->own_domain || has_failed (peer, FAILED_START_MS, now_ms))
    return false;
  if (peer_is_alive (peer, now_ms) && peer->newest[table] > 0)
    return true;
  return peer->is_registered && !peers->is_registered
         && (peer->heard_ms == 0 || peer_is_alive (peer, now_ms));
}

/* The informed neighbour that our address picks among those that come after this hash. */
static bool
pick_informed (const FrontPeers *peers,
               uint64_t table,
               uint64_t above,
               int64_t now_ms,
               struct sockaddr_in *address)
{
  const Peer *best = NULL;
  uint64_t best_hash = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      uint64_t hash = choice_hash (peers, peer, table);

      if (!is_informed (peers, peer, table, now_ms) || (best && hash <= best_hash)
          || peers_rank_hash (&peer->address, table) < above)
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

/* Where only one other can be asked, both are to ask the store: the other may be cut off from it.
 */
bool
front_peers_informed_source_before (const FrontPeers *peers,
                                    uint64_t table,
                                    int64_t now_ms,
                                    struct sockaddr_in *address)
{
  unsigned informed = 0;

  for (unsigned i = 0; i < peers->count; i++)
    informed += is_informed (peers, &peers->list[i], table, now_ms);
  return informed >= FOLLOWERS
         && pick_informed (peers, table, peers_rank_hash (&peers->own, table), now_ms, address);
}

void
front_peers_mark_failed (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms)
{
  Peer *peer = peer_find (peers, address->sin_addr.s_addr);

  if (peer)
    peer->request_failed_ms = now_ms;
}
