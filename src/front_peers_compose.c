/* Composes this front's messages. */
#include "front_peers_private.h"
#include "front_request.h"
#include "util_id.h"
#include <arpa/inet.h>
#include <string.h>

/* Members of other failure domains in a message, if there are enough of the own one. */
#define OTHER_DOMAIN_MEMBERS 16
/* Members in a message to another failure domain, where bytes have a cost, or to a collector, which
 * gets one from each front: of the own domain, and of others. */
#define SHORT_MEMBERS       16
#define SHORT_OTHER_MEMBERS 4
/* Milliseconds for which a death is reported. By then each front has learned which request caused
 * it, or that none did. */
#define DEATH_NEWS_MS 3000

static void
member_add (PeerMessage *message, const Peer *peer, int64_t now_ms)
{
  message->members[message->member_count++] = (PeerMember){
    .ip = ntohl (peer->address.sin_addr.s_addr),
    .domain = peer->domain,
    .age_ms = (uint32_t)(now_ms - peer->seen_ms),
    .reach = { .reached = peer->reached, .lost = peer->lost },
  };
}

/* Lists living fronts of the own failure domain, or of the others, until the message has max
 * members; the next message continues after them. */
static void
members_fill_in_turn (FrontPeers *peers,
                      PeerMessage *message,
                      bool own_domain,
                      unsigned max,
                      int64_t now_ms)
{
  unsigned *next = own_domain ? &peers->next_member : &peers->next_other_member;
  unsigned start = peers->count ? *next % peers->count : 0;
  unsigned i;

  for (i = 0; i < peers->count && message->member_count < max; i++)
    {
      const Peer *peer = peers->list[(start + i) % peers->count];

      if (peer_is_alive (peer, now_ms) && (peer->domain == peers->own_domain) == own_domain)
        member_add (message, peer, now_ms);
    }
  *next = start + i;
}

void
peers_members_fill (FrontPeers *peers, PeerMessage *message, bool is_long, int64_t now_ms)
{
  unsigned own_max = is_long ? PEER_MEMBERS_MAX - OTHER_DOMAIN_MEMBERS : SHORT_MEMBERS;
  unsigned max = is_long ? PEER_MEMBERS_MAX : SHORT_MEMBERS + SHORT_OTHER_MEMBERS;

  members_fill_in_turn (peers, message, true, own_max, now_ms);
  members_fill_in_turn (peers, message, false, max, now_ms);
}

void
peers_counts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  message->domain_fronts = peers_known_alive (peers, peers->own_domain, now_ms);
  for (unsigned i = 0; i < peers->domain_count && message->count_count < PEER_COUNTS_MAX; i++)
    {
      const PeerDomain *domain = &peers->domains[(peers->next_count + i) % peers->domain_count];

      if (domain->now.fronts == 0)
        continue;
      message->counts[message->count_count++] = (PeerCount){
        .domain = domain->domain,
        .fronts = domain->now.fronts,
        .age_ms = (uint32_t)(now_ms > domain->now.at_ms ? now_ms - domain->now.at_ms : 0),
      };
    }
  peers->next_count++;
}

/* Lists living fronts of one failure domain, beginning at a random one. */
void
peers_members_fill_domain (const FrontPeers *peers,
                           PeerMessage *message,
                           uint32_t domain,
                           int64_t now_ms)
{
  unsigned start = peers->count ? (unsigned)(id_random_u64 () % peers->count) : 0;

  for (unsigned i = 0; i < peers->count && message->member_count < PEER_MEMBERS_MAX; i++)
    {
      const Peer *peer = peers->list[(start + i) % peers->count];

      if (peer->domain == domain && peer_is_alive (peer, now_ms))
        member_add (message, peer, now_ms);
    }
}

void
peers_domains_fill (FrontPeers *peers, FrontRollout *rollout, PeerRollout *out)
{
  unsigned others = 0;

  front_rollout_sum_domain (rollout);
  for (unsigned i = 0; i < rollout->domain_count; i++)
    {
      const RolloutDomain *domain
          = &rollout->domains[(peers->next_domain + i) % rollout->domain_count];

      if (domain->domain != peers->own_domain && ++others >= PEER_DOMAINS_MAX)
        continue;
      out->domains[out->domain_count++] = *domain;
    }
  peers->next_domain++;
}

unsigned
peers_sessions_max (const FrontPeers *peers)
{
  return peers->is_sessions_turn ? PEER_SESSIONS_MAX : SESSIONS_BESIDE_MEMBERS;
}

static void
rollout_fill (FrontPeers *peers, FrontRollout *rollout, PeerRollout *out, int64_t now_ms)
{
  Front *front = peers->front;

  out->service = rollout->service_hash;
  out->order = rollout->order.row_version;
  out->is_bad = rollout->is_bad;
  if (front_requests_count_running (front, rollout->service, rollout->base) > 0)
    rollout->old_busy_ms = now_ms;
  out->old_busy_age_ms
      = rollout->old_busy_ms == 0 ? PEER_NEVER : (uint32_t)(now_ms - rollout->old_busy_ms);
  out->evidence = rollout->evidence;
  peers_domains_fill (peers, rollout, out);
  out->session_count = front_rollouts_held_sessions (front->rollouts, rollout, out->sessions,
                                                     peers_sessions_max (peers), now_ms);
}

void
peers_deaths_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  static const QuarantineReportLimit limit
      = { .deaths = PEER_DEATHS_MAX, .flights = PEER_FLIGHTS_MAX, .age_ms = DEATH_NEWS_MS };
  Quarantine *quarantine = peers->front->quarantine;

  message->death_count = (uint32_t)quarantine_report (quarantine, message->deaths, &limit,
                                                      peers->next_death, now_ms);
  message->refusal_count = (uint32_t)quarantine_refusals (
      quarantine, message->refusals, PEER_REFUSALS_MAX, peers->next_death, now_ms);
  peers->next_death++;
}

void
peers_parts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  const FrontParts *parts = peers->front->parts;

  message->part_death_count
      = front_parts_report (parts, message->part_deaths, peers->next_death, now_ms);
  message->cleared_count = front_parts_cleared (parts, message->cleared, peers->next_death, now_ms);
}

static void
returns_fill (const FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  EvacuationEnd ends[PEER_RETURNS_MAX];

  message->return_count
      = front_servers_evacuation_ends (peers->front->servers, ends, PEER_RETURNS_MAX, now_ms);
  for (uint32_t i = 0; i < message->return_count; i++)
    message->returns[i] = (PeerReturn){
      .domain = ends[i].domain,
      .age_ms = (uint32_t)(now_ms - ends[i].at_ms),
      .version = ends[i].version,
    };
}

void
peers_rollouts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  struct cds_list_head *list = front_rollouts_list (peers->front->rollouts);
  unsigned running = 0, place = 0;
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, list, node) running += front_rollout_is_running (rollout);
  if (running == 0)
    return;
  if (running <= PEER_ROLLOUTS_MAX)
    peers->next_rollout = 0;
  cds_list_for_each_entry (rollout, list, node)
  {
    if (!front_rollout_is_running (rollout))
      continue;
    if ((place + running - peers->next_rollout % running) % running < PEER_ROLLOUTS_MAX)
      rollout_fill (peers, rollout, &message->rollouts[message->rollout_count++], now_ms);
    place++;
  }
  peers->next_rollout += PEER_ROLLOUTS_MAX;
}

void
peers_message_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  Front *front = peers->front;

  memset (message, 0, sizeof *message);
  message->incarnation = front->incarnation;
  message->domain = peers->own_domain;
  for (unsigned i = 0; i < PEER_TABLES; i++)
    message->newest[i] = front_store_newest (front->store, (StoreTable)i);
  peers_reach_fill (peers, message, now_ms);
  peers_counts_fill (peers, message, now_ms);
  peers_rollouts_fill (peers, message, now_ms);
  peers_deaths_fill (peers, message, now_ms);
  peers_parts_fill (peers, message, now_ms);
  returns_fill (peers, message, now_ms);
}

/* Drops half of the sessions of the first roll-out that has any. */
static bool
sessions_shorten (PeerMessage *message)
{
  for (uint32_t i = 0; i < message->rollout_count; i++)
    {
      if (message->rollouts[i].session_count == 0)
        continue;
      message->rollouts[i].session_count /= 2;
      return true;
    }
  return false;
}

/* Drops the last failure domain of the first roll-out with several; each message's list begins at
 * another one. */
static bool
domains_shorten (PeerMessage *message)
{
  for (uint32_t i = 0; i < message->rollout_count; i++)
    {
      if (message->rollouts[i].domain_count < 2)
        continue;
      message->rollouts[i].domain_count--;
      return true;
    }
  return false;
}

/* Drops something that later messages will contain; false if nothing is left to drop. */
static bool
message_shorten (PeerMessage *message)
{
  if (message->member_count > 0)
    {
      message->member_count /= 2;
      return true;
    }
  if (sessions_shorten (message) || domains_shorten (message))
    return true;
  if (message->death_count > 0)
    {
      message->death_count--;
      return true;
    }
  if (message->part_death_count == 0)
    return false;
  message->part_death_count--;
  return true;
}

size_t
peers_encode (PeerMessage *message, void *out, size_t size)
{
  size_t len;

  while ((len = peer_message_encode (message, out, size)) == 0)
    {
      if (!message_shorten (message))
        return 0;
    }
  return len;
}
