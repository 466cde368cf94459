/* How many fronts each failure domain has. A front counts those of its own domain and reports the
 * number; all relay it. So each knows the size of the site without knowing all of its fronts. */
#include "front_log.h"
#include "front_peers_private.h"

/* Milliseconds for which the largest reported number stands. A front that has just started reports
 * too few. */
#define COUNT_MS 5000
/* The same for the limits on cold servers: longer than a failure domain is cut off, or a VM takes
 * to restart. */
#define COLD_COUNT_MS 60000
#define PLACE_SUBJECT 0x706c6163u
/* Milliseconds for which the number of living fronts stays the same until a front that has just
 * started takes its part of what is divided among them: two rounds of messages. */
#define PLACES_STEADY_MS 1000

PeerDomain *
peers_domain_get (FrontPeers *peers, uint32_t domain)
{
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      if (peers->domains[i].domain == domain)
        return &peers->domains[i];
    }
  if (peers->domain_count == FRONT_DOMAINS_MAX)
    {
      FrontLine *line = front_log_begin (FRONT_EVENT_DOMAIN_REFUSED);

      front_log_number (line, "domain", domain);
      front_log_number (line, "known", peers->domain_count);
      front_log_end (line);
      return NULL;
    }
  peers->domains[peers->domain_count] = (PeerDomain){ .domain = domain };
  return &peers->domains[peers->domain_count++];
}

/* Takes over a report, unless a larger one still stands or it is much older than the held one:
 * fronts go on relaying an old number for a while. */
static void
count_raise (FrontCount *count, unsigned fronts, int64_t at_ms, int64_t stands_ms)
{
  bool is_stale = at_ms + stands_ms <= count->at_ms;
  bool has_expired = count->at_ms + stands_ms <= at_ms;

  if (is_stale || (fronts < count->fronts && !has_expired)
      || (fronts == count->fronts && at_ms < count->at_ms))
    return;
  *count = (FrontCount){ .fronts = fronts, .at_ms = at_ms };
}

void
peers_domain_report (FrontPeers *peers, uint32_t domain, unsigned fronts, int64_t at_ms)
{
  PeerDomain *entry;

  if (domain == peers->own_domain)
    count_raise (&peers->own_lately, fronts, at_ms, COLD_COUNT_MS);
  if (domain == 0 || domain == peers->own_domain || fronts == 0)
    return;
  entry = peers_domain_get (peers, domain);
  if (!entry)
    return;
  count_raise (&entry->now, fronts, at_ms, COUNT_MS);
  count_raise (&entry->lately, fronts, at_ms, COLD_COUNT_MS);
}

static unsigned
count_fresh (const FrontCount *count, int64_t stands_ms, int64_t now_ms)
{
  return now_ms - count->at_ms < 2 * stands_ms ? count->fronts : 0;
}

/* Living fronts of a domain that this one knows. */
static unsigned
count_known (const FrontPeers *peers, uint32_t domain, int64_t now_ms)
{
  unsigned known = 0;

  for (unsigned i = 0; i < peers->count; i++)
    known += peers->list[i]->domain == domain && peer_is_alive (peers->list[i], now_ms);
  return known;
}

static unsigned
larger (unsigned a, unsigned b)
{
  return a > b ? a : b;
}

unsigned
front_peers_alive (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count
      = 1 + count_known (peers, peers->own_domain, now_ms) + count_known (peers, 0, now_ms);

  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      const PeerDomain *domain = &peers->domains[i];

      count += larger (count_known (peers, domain->domain, now_ms),
                       count_fresh (&domain->now, COUNT_MS, now_ms));
    }
  return count;
}

bool
front_peers_is_alone (const FrontPeers *peers, int64_t now_ms)
{
  for (unsigned i = 0; i < peers->count; i++)
    {
      if (peer_is_alive (peers->list[i], now_ms))
        return false;
    }
  return true;
}

unsigned
peers_known_alive (const FrontPeers *peers, uint32_t domain, int64_t now_ms)
{
  return count_known (peers, domain, now_ms) + (domain == peers->own_domain);
}

static bool
was_seen_lately (const Peer *peer, int64_t now_ms)
{
  return peer->is_registered || (peer->seen_ms != 0 && now_ms - peer->seen_ms < COLD_COUNT_MS);
}

static unsigned
count_lately (const FrontPeers *peers, uint32_t domain, int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < peers->count; i++)
    count += peers->list[i]->domain == domain && was_seen_lately (peers->list[i], now_ms);
  return count;
}

/* Places this front in the order of all living ones: by failure domain, then by a hash. Of each
 * other failure domain only the number is known. */
static void
set_place (const FrontPeers *peers, int64_t now_ms, FrontsView *view)
{
  uint64_t own = peers_rank_hash (&peers->own, PLACE_SUBJECT);

  view->places = peers_known_alive (peers, peers->own_domain, now_ms);
  view->place = 0;
  for (unsigned i = 0; i < peers->count; i++)
    view->place += peers_is_domain_peer (peers, peers->list[i], now_ms)
                   && peers_rank_hash (&peers->list[i]->address, PLACE_SUBJECT) > own;
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      const PeerDomain *domain = &peers->domains[i];
      unsigned fronts = larger (count_known (peers, domain->domain, now_ms),
                                count_fresh (&domain->now, COUNT_MS, now_ms));

      view->places += fronts;
      if (domain->domain < peers->own_domain)
        view->place += fronts;
    }
}

/* While all fronts start, each learns of others in every round of messages. A number that stays the
 * same over two rounds is complete, or small only at so few fronts that all parts together don't
 * exceed the whole. */
static bool
has_place (FrontPeers *peers, unsigned places, int64_t now_ms)
{
  if (places != peers->places)
    {
      peers->places = places;
      peers->places_ms = now_ms;
    }
  if (front_peers_is_alone (peers, now_ms))
    peers->has_place = false;
  else if (now_ms - peers->places_ms >= PLACES_STEADY_MS
           || now_ms - peers->started_ms >= FRONT_SETTLED_MS)
    peers->has_place = true;
  return peers->has_place;
}

void
front_peers_fill_view (FrontPeers *peers, int64_t now_ms, FrontsView *view)
{
  /* A front that has just started knows few others, but the first message of one that doesn't tells
   * it how many there are. */
  *view = (FrontsView){
    .domain_fronts = larger (1 + count_lately (peers, peers->own_domain, now_ms),
                             count_fresh (&peers->own_lately, COLD_COUNT_MS, now_ms)),
    .registered = peers->is_registered,
  };
  view->is_new
      = now_ms - peers->started_ms < FRONT_SETTLED_MS || front_peers_is_alone (peers, now_ms);
  view->fronts = view->domain_fronts + count_lately (peers, 0, now_ms);
  for (unsigned i = 0; i < peers->count; i++)
    view->registered
        += peers->list[i]->domain == peers->own_domain && peers->list[i]->is_registered;
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      const PeerDomain *domain = &peers->domains[i];

      view->fronts += larger (count_lately (peers, domain->domain, now_ms),
                              count_fresh (&domain->lately, COLD_COUNT_MS, now_ms));
    }
  set_place (peers, now_ms, view);
  view->has_place = has_place (peers, view->places, now_ms);
}
