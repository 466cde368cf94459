/* An order of the living fronts on which all agree without asking: rendezvous hashing. */
#include "front_peers_private.h"
#include "util_id.h"

/* Fronts of each failure domain that follow a table at the store; the others ask one of these. If
 * one of the two is frozen or cut off, the half of the domain that asks the other one hears of the
 * change at once, and the rest of the domain by its messages. A third made 1.5 times the calls. */
#define FOLLOWERS 2
/* Fronts of each failure domain that register with the store, so that one that starts and knows
 * nobody finds somebody; four may be lost at one moment. */
#define REGISTRARS        5
#define REGISTRAR_SUBJECT 0x72656731u
#define DOMAINS_MOST      16 /* told apart; the target has 6 */
/* Milliseconds until a front is asked for rows again that gave no good answer; it may be frozen for
 * seconds. One that refuses connections while everybody starts is about to start, too. */
#define FAILED_MS       3000
#define FAILED_START_MS 40
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

static bool
has_failed (const Peer *peer, int64_t for_ms, int64_t now_ms)
{
  return peer->failed_ms != 0 && now_ms - peer->failed_ms < for_ms;
}

static bool
is_usable (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return is_neighbour (peers, peer, now_ms) && !has_failed (peer, FAILED_MS, now_ms);
}

/* How many neighbours come before this hash and can be asked. */
static unsigned
usable_before (const FrontPeers *peers, uint64_t hash, uint64_t table, int64_t now_ms)
{
  unsigned before = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      before += is_usable (peers, peer, now_ms) && rank_hash (&peer->address, table) > hash;
    }
  return before;
}

/* Each front asks the one that its own address picks among several, so that they share the load. */
static uint64_t
choice_hash (const FrontPeers *peers, const Peer *peer, uint64_t table)
{
  return rank_hash (&peer->address, rank_hash (&peers->own, table));
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
front_peers_source (const FrontPeers *peers,
                    uint64_t table,
                    int64_t now_ms,
                    struct sockaddr_in *address)
{
  const Peer *best = NULL;
  uint64_t best_hash = 0;

  if (usable_before (peers, rank_hash (&peers->own, table), table, now_ms) < FOLLOWERS)
    return false;
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      uint64_t hash = choice_hash (peers, peer, table);

      if (!is_usable (peers, peer, now_ms) || (best && hash <= best_hash)
          || usable_before (peers, rank_hash (&peer->address, table), table, now_ms) >= FOLLOWERS)
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
          || rank_hash (&peer->address, table) < above)
        continue;
      best = peer;
      best_hash = hash;
    }
  return source_set (peers, best, address);
}

bool
front_peers_informed (const FrontPeers *peers,
                      uint64_t table,
                      int64_t now_ms,
                      struct sockaddr_in *address)
{
  return pick_informed (peers, table, 0, now_ms, address);
}

/* Where only one other can be asked, both are to ask the store: the other may be cut off from it.
 */
bool
front_peers_informed_before (const FrontPeers *peers,
                             uint64_t table,
                             int64_t now_ms,
                             struct sockaddr_in *address)
{
  unsigned informed = 0;

  for (unsigned i = 0; i < peers->count; i++)
    informed += is_informed (peers, &peers->list[i], table, now_ms);
  return informed >= FOLLOWERS
         && pick_informed (peers, table, rank_hash (&peers->own, table), now_ms, address);
}

bool
front_peers_has_registered (const FrontPeers *peers)
{
  for (unsigned i = 0; i < peers->count; i++)
    {
      if (peers->list[i].is_registered && peers->list[i].domain == peers->own_domain)
        return true;
    }
  return false;
}

/* How many living neighbours come before us for the subject. */
static unsigned
rank_near (const FrontPeers *peers, uint64_t subject, int64_t now_ms)
{
  uint64_t own = rank_hash (&peers->own, subject);
  unsigned before = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      before += is_neighbour (peers, peer, now_ms) && rank_hash (&peer->address, subject) > own;
    }
  return before;
}

bool
front_peers_registers (const FrontPeers *peers, int64_t now_ms)
{
  return rank_near (peers, REGISTRAR_SUBJECT, now_ms) < REGISTRARS;
}

void
front_peers_failed (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms)
{
  Peer *peer = peer_find (peers, address->sin_addr.s_addr);

  if (peer)
    peer->failed_ms = now_ms;
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

static uint64_t
domain_hash (uint32_t domain, uint64_t subject)
{
  return id_hash (&domain, sizeof domain, subject);
}

/* Failure domains with living fronts, ours included, and how many come before ours. */
static unsigned
count_domains (const FrontPeers *peers, uint64_t subject, int64_t now_ms, unsigned *before)
{
  uint32_t seen[DOMAINS_MOST];
  unsigned count = 0;

  *before = 0;
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      unsigned j = 0;

      if (!peer_is_alive (peer, now_ms) || peer->domain == peers->own_domain || peer->domain == 0)
        continue;
      while (j < count && seen[j] != peer->domain)
        j++;
      if (j < count || count == DOMAINS_MOST)
        continue;
      seen[count++] = peer->domain;
      *before += domain_hash (peer->domain, subject) > domain_hash (peers->own_domain, subject);
    }
  return count + 1;
}

/* By failure domain and then within it: after a start a front knows its neighbours soon, but all of
 * 300 fronts only after many rounds, and ten of them acted where three were to. */
bool
front_peers_is_among (const FrontPeers *peers, uint64_t subject, unsigned few, int64_t now_ms)
{
  unsigned before, part;
  unsigned domains = count_domains (peers, subject, now_ms, &before);

  if (before >= few)
    return false;
  part = (few - 1 - before) / domains + 1;
  return rank_near (peers, subject, now_ms) < part;
}
