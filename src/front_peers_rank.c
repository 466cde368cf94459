/* Ranks the living fronts by rendezvous hashing, so that all agree on an order without
 * communication. */
#include "front_peers_private.h"
#include "util_id.h"

/* Fronts of each failure domain that register with the store, so that one that starts without
 * knowing any other finds one; four may be lost at one moment. */
#define REGISTRARS        5
#define REGISTRAR_SUBJECT 0x72656731u
uint64_t
peers_rank_hash (const struct sockaddr_in *address, uint64_t subject)
{
  return id_hash (&address->sin_addr.s_addr, sizeof address->sin_addr.s_addr, subject);
}

bool
peers_is_domain_peer (const FrontPeers *peers, const Peer *peer, int64_t now_ms)
{
  return peer->domain == peers->own_domain && peer_is_alive (peer, now_ms);
}

/* Inserts a candidate into the best ones, ordered by hash; NULL stands for this front. */
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
      Peer *peer = peers->list[i];

      if (peers_is_domain_peer (peers, peer, now_ms))
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

Peer *
peers_find_other_collector (const FrontPeers *peers, uint32_t domain, bool second, int64_t now_ms)
{
  Peer *best[COLLECTORS] = { 0 };
  uint64_t hashes[COLLECTORS] = { 0 };

  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = peers->list[i];

      if (peer->domain == domain && peer_is_alive (peer, now_ms))
        collector_insert (best, hashes, peer, peers_rank_hash (&peer->address, COLLECTOR_SUBJECT));
    }
  return second && best[1] ? best[1] : best[0];
}

bool
front_peers_has_registered (const FrontPeers *peers)
{
  for (unsigned i = 0; i < peers->count; i++)
    {
      if (peers->list[i]->is_registered && peers->list[i]->domain == peers->own_domain)
        return true;
    }
  return false;
}

/* Number of living fronts of the same domain that come before this one for the subject. */
static unsigned
rank_in_domain (const FrontPeers *peers, uint64_t subject, int64_t now_ms)
{
  uint64_t own = peers_rank_hash (&peers->own, subject);
  unsigned before = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = peers->list[i];

      before += peers_is_domain_peer (peers, peer, now_ms)
                && peers_rank_hash (&peer->address, subject) > own;
    }
  return before;
}

bool
front_peers_is_registrar (const FrontPeers *peers, int64_t now_ms)
{
  return rank_in_domain (peers, REGISTRAR_SUBJECT, now_ms) < REGISTRARS;
}

unsigned
front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms)
{
  uint64_t own = peers_rank_hash (&peers->own, subject);
  unsigned rank = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = peers->list[i];

      rank += peer_is_alive (peer, now_ms) && peers_rank_hash (&peer->address, subject) > own;
    }
  return rank;
}

static uint64_t
domain_hash (uint32_t domain, uint64_t subject)
{
  return id_hash (&domain, sizeof domain, subject);
}

/* Number of failure domains with living fronts, this front's included; *before: those that come
 * before this front's. */
static unsigned
count_domains (const FrontPeers *peers, uint64_t subject, int64_t now_ms, unsigned *before)
{
  uint64_t own = domain_hash (peers->own_domain, subject);
  unsigned count = 1;

  *before = 0;
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      uint32_t domain = peers->domains[i].domain;

      if (peers_known_alive (peers, domain, now_ms) == 0)
        continue;
      count++;
      *before += domain_hash (domain, subject) > own;
    }
  return count;
}

/* Selects by failure domain first and then within it. A front knows its own domain as a whole, but
 * only some fronts of the others; ranked over all known ones, more would act than are selected. */
bool
front_peers_is_selected (const FrontPeers *peers, uint64_t subject, unsigned count, int64_t now_ms)
{
  unsigned before, domain_share;
  unsigned domains = count_domains (peers, subject, now_ms, &before);

  if (before >= count)
    return false;
  domain_share = (count - 1 - before) / domains + 1;
  return rank_in_domain (peers, subject, now_ms) < domain_share;
}
