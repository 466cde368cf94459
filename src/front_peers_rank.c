/* An order of the living fronts on which all agree without asking: rendezvous hashing. */
#include "front_peers_private.h"
#include "util_id.h"

/* Fronts of each failure domain that register with the store, so that one that starts and knows
 * nobody finds somebody; four may be lost at one moment. */
#define REGISTRARS        5
#define REGISTRAR_SUBJECT 0x72656731u
#define DOMAINS_MOST      16 /* told apart; the target has 6 */
/* Sets the order of collectors apart from those of followers. */
#define COLLECTOR_SUBJECT 0x636f6c6cu

/* Milliseconds: longer than a failure domain is cut off, or a VM takes to come back. */
#define REMEMBERED_MS 60000
unsigned
front_peers_alive (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count = 1;

  for (unsigned i = 0; i < peers->count; i++)
    count += peer_is_alive (&peers->list[i], now_ms);
  return count;
}

void
front_peers_fill_cold_view (const FrontPeers *peers, int64_t now_ms, ColdView *view)
{
  *view = (ColdView){ .neighbours = 1, .registered = peers->is_registered, .fronts = 1 };
  view->is_new
      = now_ms - peers->started_ms < FRONT_SETTLED_MS || front_peers_alive (peers, now_ms) == 1;
  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];
      bool heard = peer->heard_ms != 0 && now_ms - peer->heard_ms < REMEMBERED_MS;
      bool near = peer->domain == peers->own_domain;

      view->registered += near && peer->is_registered;
      view->neighbours += near && (heard || peer->is_registered);
      view->fronts += heard || peer->is_registered;
    }
}

uint64_t
peers_rank_hash (const struct sockaddr_in *address, uint64_t subject)
{
  return id_hash (&address->sin_addr.s_addr, sizeof address->sin_addr.s_addr, subject);
}

bool
peers_is_neighbour (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return peer->domain == peers->own_domain && peer_is_alive (peer, now_ms);
}

unsigned
peers_neighbour_count (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count = 1;

  for (unsigned i = 0; i < peers->count; i++)
    count += peers_is_neighbour (peers, &peers->list[i], now_ms);
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
peers_find_collectors (FrontPeers *peers, int64_t now_ms, Collectors *out)
{
  Peer *best[COLLECTORS] = { 0 };
  uint64_t hashes[COLLECTORS] = { 0 };

  *out = (Collectors){ 0 };
  collector_insert (best, hashes, NULL, peers_rank_hash (&peers->own, COLLECTOR_SUBJECT));
  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = &peers->list[i];

      if (peers_is_neighbour (peers, peer, now_ms))
        collector_insert (best, hashes, peer, peers_rank_hash (&peer->address, COLLECTOR_SUBJECT));
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
  uint64_t own = peers_rank_hash (&peers->own, subject);
  unsigned before = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      before += peers_is_neighbour (peers, peer, now_ms)
                && peers_rank_hash (&peer->address, subject) > own;
    }
  return before;
}

bool
front_peers_is_registrar (const FrontPeers *peers, int64_t now_ms)
{
  return rank_near (peers, REGISTRAR_SUBJECT, now_ms) < REGISTRARS;
}

unsigned
front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms)
{
  uint64_t own = peers_rank_hash (&peers->own, subject);
  unsigned rank = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[i];

      rank += peer_is_alive (peer, now_ms) && peers_rank_hash (&peer->address, subject) > own;
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
front_peers_is_selected (const FrontPeers *peers, uint64_t subject, unsigned few, int64_t now_ms)
{
  unsigned before, part;
  unsigned domains = count_domains (peers, subject, now_ms, &before);

  if (before >= few)
    return false;
  part = (few - 1 - before) / domains + 1;
  return rank_near (peers, subject, now_ms) < part;
}
