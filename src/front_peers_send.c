/* What this front tells others, and whom. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_request.h"
#include "util_id.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#define PROBE_MS       2500 /* between messages to an address that doesn't answer */
#define PROBE_ALONE_MS 150  /* the same while nobody answers: they may be starting, too */
/* Held sessions in a message that tells of members, too. Sessions and members take turns, as both
 * don't fit: with 24 in each message one in eight of 186 sessions was unknown to a front of 300
 * after 4 s, and moved to the new version in its midst; with 64 in each second one it is less
 * than one in sixty. */
#define SESSIONS_BESIDE_MEMBERS 24
#define GREET_MS                300 /* between answers to one that starts */
/* A front that knows less than this part of those that we know has just started. */
#define NEWCOMER_PART 4
#define NEAR_FANOUT   4 /* peers of the own failure domain told at a time, collectors included */
#define FAR_FANOUT    3 /* others */
#define BOOT_FANOUT   6 /* while hardly anybody is known */
/* Messages to other failure domains that one of them sends in a round, all its fronts together but
 * for the collectors: bytes between domains have a price, and what one front has heard it tells all
 * its neighbours. Beside three of each front this takes 14% off all bytes between the domains of 69
 * fronts, callers' requests included. */
#define FAR_A_DOMAIN 12.0

_Static_assert(NEAR_FANOUT + FAR_FANOUT + BOOT_FANOUT <= PEERS_PER_ROUND_MAX,
               "all that are chosen fit");

static void
member_add (PeerMessage *message, const Peer *peer, int64_t now_ms)
{
  message->members[message->member_count++] = (PeerMember){
    .ip = ntohl (peer->address.sin_addr.s_addr),
    .domain = peer->domain,
    .age_ms = (uint32_t)(now_ms - peer->heard_ms),
  };
}

/* Tells of some living fronts, others the next time. */
static void
members_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  unsigned start = peers->count ? peers->next_member % peers->count : 0;
  unsigned i;

  for (i = 0; i < peers->count && message->member_count < PEER_MEMBERS_MAX; i++)
    {
      const Peer *peer = &peers->list[(start + i) % peers->count];

      if (peer_is_alive (peer, now_ms))
        member_add (message, peer, now_ms);
    }
  peers->next_member = start + i;
}

/* Tells of the living fronts of one failure domain, beginning at a random one. */
static void
members_fill_domain (const FrontPeers *peers, PeerMessage *message, uint32_t domain, int64_t now_ms)
{
  unsigned start = peers->count ? (unsigned)(id_random_u64 () % peers->count) : 0;

  for (unsigned i = 0; i < peers->count && message->member_count < PEER_MEMBERS_MAX; i++)
    {
      const Peer *peer = &peers->list[(start + i) % peers->count];

      if (peer->domain == domain && peer_is_alive (peer, now_ms))
        member_add (message, peer, now_ms);
    }
}

void
peers_domains_fill (FrontPeers *peers, FrontRollout *rollout, PeerRollout *out)
{
  unsigned others = 0;

  front_rollout_sum (rollout);
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
  if (front_request_running (front, rollout->service, rollout->base) > 0)
    rollout->old_busy_ms = now_ms;
  out->old_busy_age_ms
      = rollout->old_busy_ms == 0 ? PEER_NEVER : (uint32_t)(now_ms - rollout->old_busy_ms);
  out->evidence = rollout->evidence;
  peers_domains_fill (peers, rollout, out);
  out->session_count = front_rollouts_held_sessions (front->rollouts, rollout, out->sessions,
                                                     peers_sessions_max (peers), now_ms);
}

static void
message_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  Front *front = peers->front;
  FrontRollout *rollout;

  memset (message, 0, sizeof *message);
  message->incarnation = front->incarnation;
  message->domain = peers->own_domain;
  for (unsigned i = 0; i < PEER_TABLES; i++)
    message->newest[i] = front_store_newest (front->store, (StoreTable)i);
  message->alive = front_peers_alive (peers, now_ms) - 1;
  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    if (!front_rollout_is_running (rollout) || message->rollout_count == PEER_ROLLOUTS_MAX)
      continue;
    rollout_fill (peers, rollout, &message->rollouts[message->rollout_count++], now_ms);
  }
  message->death_count
      = (uint32_t)quarantine_news (front->quarantine, message->deaths, PEER_DEATHS_MAX, now_ms);
}

/* How many fronts of each kind may still be told in a round. */
typedef struct
{
  unsigned near;
  unsigned far;
  unsigned boot;
  int64_t probe_ms; /* between messages to one that doesn't answer */
} Quota;

static unsigned
far_quota (FrontPeers *peers, bool is_collector, int64_t now_ms)
{
  double share = FAR_A_DOMAIN / peers_neighbour_count (peers, now_ms);
  unsigned quota;

  if (is_collector || share >= FAR_FANOUT)
    return FAR_FANOUT;
  peers->remote_credit += share;
  quota = (unsigned)peers->remote_credit;
  peers->remote_credit -= quota;
  return quota;
}

static bool
take_one (unsigned *quota)
{
  if (*quota == 0)
    return false;
  (*quota)--;
  return true;
}

static bool
is_collector (const Collectors *collectors, const Peer *peer)
{
  for (unsigned i = 0; i < collectors->count; i++)
    {
      if (collectors->peers[i] == peer)
        return true;
    }
  return false;
}

static bool
is_told (const FrontPeers *peers, const Peer *peer, Quota *quota, int64_t now_ms)
{
  if (!peer_is_alive (peer, now_ms))
    return now_ms - peer->sent_ms >= quota->probe_ms && take_one (&quota->boot);
  return take_one (peer->domain == peers->own_domain ? &quota->near : &quota->far);
}

unsigned
peers_choose_recipients (FrontPeers *peers, Peer **chosen, int64_t now_ms)
{
  Collectors collectors;
  bool is_alone = front_peers_alive (peers, now_ms) == 1;
  Quota quota = { .boot = BOOT_FANOUT, .probe_ms = is_alone ? PROBE_ALONE_MS : PROBE_MS };
  unsigned count = 0;

  peers_find_collectors (peers, now_ms, &collectors);
  quota.near = NEAR_FANOUT - collectors.count;
  quota.far = far_quota (peers, collectors.is_self, now_ms);
  for (unsigned i = 0; i < collectors.count; i++)
    chosen[count++] = collectors.peers[i];
  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = &peers->list[(peers->next_peer + i) % peers->count];

      if (!is_collector (&collectors, peer) && is_told (peers, peer, &quota, now_ms))
        chosen[count++] = peer;
    }
  if (peers->count > 0)
    peers->next_peer = (peers->next_peer + NEAR_FANOUT) % peers->count;
  return count;
}

static void
tell_one (FrontPeers *peers, Peer *peer, const unsigned char *data, size_t len, int64_t now_ms)
{
  peer->sent_ms = now_ms;
  sendto (peers->fd, data, len, 0, (struct sockaddr *)&peer->address, sizeof peer->address);
  front_counter_add (FRONT_COUNTER_PEER_MESSAGES);
}

static void
tell_some (FrontPeers *peers, const unsigned char *data, size_t len, int64_t now_ms)
{
  Peer *chosen[PEERS_PER_ROUND_MAX];
  unsigned count = peers_choose_recipients (peers, chosen, now_ms);

  for (unsigned i = 0; i < count; i++)
    tell_one (peers, chosen[i], data, len, now_ms);
}

/* Drops half of the sessions of the first roll-out that has some. */
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

/* Each message begins its list of failure domains at another one. */
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

/* Leaves out what will be told in later messages anyway; false if nothing is left. */
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
  if (message->death_count == 0)
    return false;
  message->death_count--;
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

static bool
has_many_sessions (const PeerMessage *message)
{
  for (uint32_t i = 0; i < message->rollout_count; i++)
    {
      if (message->rollouts[i].session_count > SESSIONS_BESIDE_MEMBERS)
        return true;
    }
  return false;
}

void
peers_send_round (FrontPeers *peers, int64_t now_ms)
{
  unsigned char data[PEER_MESSAGE_MAX];
  PeerMessage message;

  peers->is_sessions_turn = !peers->is_sessions_turn;
  message_fill (peers, &message, now_ms);
  if (!has_many_sessions (&message))
    members_fill (peers, &message, now_ms);
  tell_some (peers, data, peers_encode (&message, data, sizeof data), now_ms);
}

bool
peers_is_starting (const FrontPeers *peers, const Peer *peer, uint32_t alive, int64_t now_ms)
{
  unsigned known = front_peers_alive (peers, now_ms) - 1;

  return (alive == 0 || alive * NEWCOMER_PART < known) && now_ms - peer->sent_ms >= GREET_MS;
}

/* Three hundred fronts start at one moment and each knows the same three addresses. Told in turn
 * as usual it would take them some ten seconds to hear of their neighbours, and all that time each
 * would take itself for the first of its failure domain and ask the store. */
void
peers_answer_starting (FrontPeers *peers, Peer *peer, int64_t now_ms)
{
  unsigned char data[PEER_MESSAGE_MAX];
  PeerMessage message;

  message_fill (peers, &message, now_ms);
  members_fill_domain (peers, &message, peer->domain, now_ms);
  tell_one (peers, peer, data, peers_encode (&message, data, sizeof data), now_ms);
}
