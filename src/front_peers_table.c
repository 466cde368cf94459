/* The fronts that this one knows: those of its own failure domain, and a few of each other one.
 *
 * What a front does by its rank (following the store, collecting evidence, registering) is decided
 * within its own failure domain, so it needs to know that one as a whole. Of other domains it needs
 * some fronts to exchange messages with, and the number of the others. Thus the table, the messages
 * and the time that they need grow with the failure domain and not with the site.
 *
 * Where a domain has more fronts than are kept, those with the highest hashes stay. All fronts
 * agree on these, so they learn of the same ones whatever order they hear of them in. */
#include "front_peers_private.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdlib.h>

/* Fronts kept of each other failure domain. */
#define OTHER_DOMAIN_PEERS_MAX 16
/* Addresses kept whose failure domain is not known: those of the settings. */
#define UNKNOWN_DOMAIN_PEERS_MAX 16
/* Milliseconds after a peer's last message from which it counts as dead. */
#define ALIVE_MS 3500
/* Added to that for each further peer of the own failure domain: a front receives three messages
 * per round, each of which reports 80 of them at most. With n peers each misses one of them in a
 * round with the probability (1 - 80 / n)^3, so that the rounds until one in a thousand million is
 * missed grow with n. */
#define LARGE_DOMAIN_PEERS 50
#define ALIVE_EXTRA_MS     30
/* The same for peers of other failure domains, of which a message reports 16 at least. */
#define MANY_OTHER_PEERS     20
#define ALIVE_EXTRA_OTHER_MS 60
/* Milliseconds without a message after which a peer is forgotten. Its VM was removed, or will send
 * messages when it returns. */
#define FORGET_MS 300000

static uint64_t
ip_hash (uint32_t ip)
{
  return id_hash (&ip, sizeof ip, COLLECTOR_SUBJECT);
}

Peer *
peer_find (const FrontPeers *peers, uint32_t ip)
{
  IndexEntry *at = index_first (&peers->by_ip, ip_hash (ip));

  for (; at; at = index_next (&peers->by_ip, at))
    {
      Peer *peer = cds_list_entry (at, Peer, by_ip);

      if (peer->address.sin_addr.s_addr == ip)
        return peer;
    }
  return NULL;
}

bool
front_peers_knows (const FrontPeers *peers, const struct sockaddr *from)
{
  const struct sockaddr_in *address = (const struct sockaddr_in *)from;

  return from->sa_family == AF_INET && peer_find (peers, address->sin_addr.s_addr) != NULL;
}

static bool
is_own_domain (const FrontPeers *peers, uint32_t domain)
{
  return domain == peers->own_domain;
}

static void
alive_time_set (FrontPeers *peers)
{
  unsigned own = 0;
  int64_t own_extra, other_extra;

  for (unsigned i = 0; i < peers->count; i++)
    own += is_own_domain (peers, peers->list[i]->domain);
  own_extra = own > LARGE_DOMAIN_PEERS ? own - LARGE_DOMAIN_PEERS : 0;
  other_extra = peers->count - own > MANY_OTHER_PEERS ? peers->count - own - MANY_OTHER_PEERS : 0;
  for (unsigned i = 0; i < peers->count; i++)
    peers->list[i]->alive_ms
        = ALIVE_MS
          + (is_own_domain (peers, peers->list[i]->domain) ? own_extra * ALIVE_EXTRA_MS
                                                           : other_extra * ALIVE_EXTRA_OTHER_MS);
}

bool
peer_is_alive (const Peer *peer, int64_t now_ms)
{
  return peer->seen_ms != 0 && now_ms - peer->seen_ms < peer->alive_ms;
}

/* The order in which peers give way to others of their failure domain: dead ones first. */
static bool
gives_way_before (const Peer *a, const Peer *b, int64_t now_ms)
{
  bool alive = peer_is_alive (a, now_ms);

  if (alive != peer_is_alive (b, now_ms))
    return !alive;
  return a->by_ip.hash < b->by_ip.hash;
}

/* Number of peers of a failure domain, and the first to give way: NULL if there is none. */
static unsigned
count_domain (const FrontPeers *peers, uint32_t domain, int64_t now_ms, Peer **first)
{
  unsigned count = 0;

  *first = NULL;
  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = peers->list[i];

      if (peer->domain != domain)
        continue;
      count++;
      if (!peer->is_seed && !peer->is_registered
          && (!*first || gives_way_before (peer, *first, now_ms)))
        *first = peer;
    }
  return count;
}

static unsigned
domain_max (const FrontPeers *peers, uint32_t domain)
{
  if (domain == 0)
    return UNKNOWN_DOMAIN_PEERS_MAX;
  return is_own_domain (peers, domain) ? DOMAIN_PEERS_MAX : OTHER_DOMAIN_PEERS_MAX;
}

static Peer *
peer_append (FrontPeers *peers)
{
  Peer *peer = memory_alloc (sizeof *peer);

  peers->list = memory_grow (peers->list, peers->count + 1, sizeof (Peer *));
  peers->list[peers->count++] = peer;
  return peer;
}

/* An entry for a new peer of the domain: a new one, or that of a peer that gives way. */
static Peer *
entry_get (FrontPeers *peers, uint32_t ip, uint32_t domain, int64_t now_ms)
{
  Peer *first;

  if (count_domain (peers, domain, now_ms, &first) < domain_max (peers, domain))
    return peer_append (peers);
  if (!first || (peer_is_alive (first, now_ms) && first->by_ip.hash >= ip_hash (ip)))
    return NULL;
  index_remove (&peers->by_ip, &first->by_ip);
  return first;
}

Peer *
peer_add (FrontPeers *peers, uint32_t ip, uint32_t domain, int64_t now_ms)
{
  Peer *peer = peer_find (peers, ip);

  if (ip == peers->own.sin_addr.s_addr)
    return NULL;
  if (peer && domain != 0 && peer->domain != domain)
    {
      peer->domain = domain;
      alive_time_set (peers);
    }
  if (peer)
    return peer;
  if (domain != 0 && !is_own_domain (peers, domain) && !peers_domain_get (peers, domain))
    return NULL;
  peer = entry_get (peers, ip, domain, now_ms);
  if (!peer)
    return NULL;
  *peer = (Peer){ .address = peers->own, .domain = domain };
  peer->address.sin_addr.s_addr = ip;
  index_add (&peers->by_ip, &peer->by_ip, ip_hash (ip));
  alive_time_set (peers);
  return peer;
}

static bool
is_forgotten (const Peer *peer, int64_t now_ms)
{
  return !peer->is_seed && !peer->is_registered && peer->seen_ms != 0
         && now_ms - peer->seen_ms >= FORGET_MS;
}

void
peers_forget (FrontPeers *peers, int64_t now_ms)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = peers->list[i];

      if (!is_forgotten (peer, now_ms))
        {
          peers->list[kept++] = peer;
          continue;
        }
      index_remove (&peers->by_ip, &peer->by_ip);
      free (peer);
    }
  if (kept == peers->count)
    return;
  peers->count = kept;
  alive_time_set (peers);
}

void
peers_clear (FrontPeers *peers)
{
  for (unsigned i = 0; i < peers->count; i++)
    free (peers->list[i]);
  free (peers->list);
  index_clear (&peers->by_ip);
  peers->list = NULL;
  peers->count = 0;
}
