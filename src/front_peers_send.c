/* Chooses the recipients of this front's messages, and sends them. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Milliseconds between messages to an address that doesn't answer. */
#define PROBE_INTERVAL_MS 2500
/* The same while no other front answers: the others may be starting as well. */
#define PROBE_INTERVAL_ALONE_MS 150
#define ANSWER_INTERVAL_MS      300 /* milliseconds between answers to a front that starts */
/* A front that knows fewer than 1/STARTING_FRACTION of the fronts of its failure domain that are
 * known here has just started. */
#define STARTING_FRACTION  4
#define SAME_DOMAIN_FANOUT 4 /* peers of the own failure domain per round, collectors included */
/* The same for a collector, at least; and the rounds in which it sends to its whole domain. What
 * any front knows of a request on the old version of a roll-out may be three rounds old. */
#define COLLECTOR_FANOUT       20
#define COLLECTOR_ROUNDS       2
#define COLLECTOR_OTHER_FANOUT 6 /* other failure domains to which a collector sends per round */
#define OTHER_DOMAIN_FANOUT    3 /* peers of other failure domains per round */
#define PROBE_FANOUT           6 /* peers per round that are not known to be alive */
/* Messages to other failure domains that all fronts of one domain together send in a round, those
 * of collectors not counted. Traffic between domains has a cost, and what one front receives it
 * relays within its domain. Compared with three messages from each front this saves 14% of all
 * bytes between the domains of 69 fronts, callers' requests included. */
#define OTHER_DOMAIN_MESSAGES_PER_DOMAIN 12.0
#define OTHER_DOMAIN_PROBES_PER_DOMAIN   24.0 /* the same for those not known to be alive */
#define RING_SUBJECT                     0x72696e67u

_Static_assert(DOMAIN_PEERS_MAX / COLLECTOR_ROUNDS + COLLECTOR_OTHER_FANOUT + PROBE_FANOUT
                   <= PEERS_PER_ROUND_MAX,
               "the chosen peers fit into one round");

/* Messages that may still be sent in a round, by kind of recipient. */
typedef struct
{
  unsigned same_domain;
  unsigned other_domain;
  unsigned other_collectors; /* by a collector, to such of other failure domains */
  unsigned probes;
  unsigned other_probes;     /* of these, to other failure domains */
  int64_t probe_interval_ms; /* milliseconds between messages to a front that doesn't answer */
} Quota;

static unsigned
same_domain_quota (const FrontPeers *peers, bool is_collector, int64_t now_ms)
{
  unsigned share = peers_known_alive (peers, peers->own_domain, now_ms) / COLLECTOR_ROUNDS;

  if (!is_collector)
    return SAME_DOMAIN_FANOUT;
  return share > COLLECTOR_FANOUT ? share : COLLECTOR_FANOUT;
}

static unsigned
other_domain_quota (FrontPeers *peers, int64_t now_ms)
{
  double share
      = OTHER_DOMAIN_MESSAGES_PER_DOMAIN / peers_known_alive (peers, peers->own_domain, now_ms);
  unsigned quota;

  if (share >= OTHER_DOMAIN_FANOUT)
    return OTHER_DOMAIN_FANOUT;
  peers->other_domain_credit += share;
  quota = (unsigned)peers->other_domain_credit;
  peers->other_domain_credit -= quota;
  return quota;
}

/* If a failure domain is lost, all fronts of the others send messages to its addresses. As with
 * living ones, what all fronts of a domain send together is limited. */
static unsigned
other_probe_quota (FrontPeers *peers, int64_t now_ms)
{
  unsigned quota;

  peers->other_probe_credit
      += OTHER_DOMAIN_PROBES_PER_DOMAIN / peers_known_alive (peers, peers->own_domain, now_ms);
  if (peers->other_probe_credit > PROBE_FANOUT)
    peers->other_probe_credit = PROBE_FANOUT;
  quota = (unsigned)peers->other_probe_credit;
  peers->other_probe_credit -= quota;
  return quota;
}

static bool
use_one (unsigned *quota)
{
  if (*quota == 0)
    return false;
  (*quota)--;
  return true;
}

static bool
is_other_domain (const FrontPeers *peers, const Peer *peer)
{
  return peer->domain != 0 && peer->domain != peers->own_domain;
}

static bool
is_due (const FrontPeers *peers, const Peer *peer, Quota *quota, int64_t now_ms)
{
  bool is_other = is_other_domain (peers, peer);

  if (!peer_is_alive (peer, now_ms))
    return now_ms - peer->sent_ms >= quota->probe_interval_ms
           && (!is_other || use_one (&quota->other_probes)) && use_one (&quota->probes);
  return is_other && use_one (&quota->other_domain);
}

/* The choice of one round, so far. */
typedef struct
{
  Collectors collectors;
  Quota quota;
  unsigned count;
  Peer **peers;
} Choice;

static bool
is_chosen (const Choice *choice, const Peer *peer)
{
  for (unsigned i = 0; i < choice->count; i++)
    {
      if (choice->peers[i] == peer)
        return true;
    }
  return false;
}

/* A place behind this front on the ring of its failure domain. */
typedef struct
{
  uint64_t distance; /* of the hashes */
  Peer *peer;
} RingPlace;

static int
compare_places (const void *a, const void *b)
{
  uint64_t first = ((const RingPlace *)a)->distance, second = ((const RingPlace *)b)->distance;

  return (first > second) - (first < second);
}

/* The other living fronts of the failure domain in the order of their hashes, from this one on. */
static unsigned
ring_fill (const FrontPeers *peers, RingPlace *ring, int64_t now_ms)
{
  uint64_t own = peers_rank_hash (&peers->own, RING_SUBJECT);
  unsigned count = 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = peers->list[i];

      if (!peers_is_domain_peer (peers, peer, now_ms))
        continue;
      ring[count++] = (RingPlace){ .distance = peers_rank_hash (&peer->address, RING_SUBJECT) - own,
                                   .peer = peer };
    }
  qsort (ring, count, sizeof *ring, compare_places);
  return count;
}

/* Adds fronts of the own failure domain, at distances on the ring of 1, 2, 4 and so on from round
 * to round. So each front receives a message at bounded intervals, where fronts drawn at random
 * leave out some for many rounds, and what one front knows reaches all of n in some log2 (n)
 * rounds. A collector sends to all in turn. */
static void
choose_on_ring (FrontPeers *peers, Choice *choice, int64_t now_ms)
{
  RingPlace *ring = memory_array (peers->count, sizeof *ring);
  unsigned count = ring_fill (peers, ring, now_ms);

  for (unsigned tried = 0; tried < count && choice->quota.same_domain > 0; tried++)
    {
      bool is_past = peers->ring_distance == 0 || peers->ring_distance > count;
      unsigned distance = is_past ? 1 : peers->ring_distance;

      peers->ring_distance = choice->collectors.is_self ? distance + 1 : 2 * distance;
      if (is_chosen (choice, ring[distance - 1].peer))
        continue;
      choice->peers[choice->count++] = ring[distance - 1].peer;
      choice->quota.same_domain--;
    }
  free (ring);
}

/* Adds collectors of other failure domains, so that what this collector knows of its own domain is
 * known to all of another one after two more messages. */
static void
choose_other_collectors (FrontPeers *peers, Choice *choice, uint64_t draw, int64_t now_ms)
{
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      uint32_t domain = peers->domains[(draw + i) % peers->domain_count].domain;
      Peer *peer = peers_find_other_collector (peers, domain, peers->rounds % 2, now_ms);

      if (peer && use_one (&choice->quota.other_collectors))
        choice->peers[choice->count++] = peer;
    }
}

/* Adds fronts of other failure domains, and such as are not known to be alive, beginning at the
 * start of the list. */
static void
choose_others (const FrontPeers *peers, Choice *choice, unsigned start, int64_t now_ms)
{
  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = peers->list[(start + i) % peers->count];

      if (!is_chosen (choice, peer) && is_due (peers, peer, &choice->quota, now_ms))
        choice->peers[choice->count++] = peer;
    }
}

unsigned
peers_choose_recipients (FrontPeers *peers, Peer **chosen, int64_t now_ms)
{
  bool is_alone = front_peers_is_alone (peers, now_ms);
  Choice choice
      = { .quota = { .probes = PROBE_FANOUT,
                     .probe_interval_ms = is_alone ? PROBE_INTERVAL_ALONE_MS : PROBE_INTERVAL_MS },
          .peers = chosen };
  uint64_t draw = peers_rank_hash (&peers->own, peers->rounds++);

  if (peers->count == 0)
    return 0;
  peers_find_collectors (peers, now_ms, &choice.collectors);
  choice.quota.same_domain
      = same_domain_quota (peers, choice.collectors.is_self, now_ms) - choice.collectors.count;
  choice.quota.other_domain = choice.collectors.is_self ? 0 : other_domain_quota (peers, now_ms);
  choice.quota.other_collectors = choice.collectors.is_self ? COLLECTOR_OTHER_FANOUT : 0;
  choice.quota.other_probes = is_alone ? PROBE_FANOUT : other_probe_quota (peers, now_ms);
  for (unsigned i = 0; i < choice.collectors.count; i++)
    chosen[choice.count++] = choice.collectors.peers[i];
  choose_on_ring (peers, &choice, now_ms);
  choose_other_collectors (peers, &choice, draw, now_ms);
  choose_others (peers, &choice, (unsigned)(draw % peers->count), now_ms);
  return choice.count;
}

static void
send_to (FrontPeers *peers, Peer *peer, const unsigned char *data, size_t len, int64_t now_ms)
{
  peer->sent_ms = now_ms;
  sendto (peers->fd, data, len, 0, (struct sockaddr *)&peer->address, sizeof peer->address);
  front_counter_add (FRONT_COUNTER_PEER_MESSAGES);
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

/* True if the peer gets the long list of members. */
static bool
is_long_for (const FrontPeers *peers, const Collectors *collectors, const Peer *peer)
{
  for (unsigned i = 0; i < collectors->count; i++)
    {
      if (collectors->peers[i] == peer)
        return collectors->is_self;
    }
  return !is_other_domain (peers, peer);
}

/* A round's message with the long or the short list of members. */
typedef struct
{
  size_t len;
  unsigned char data[PEER_MESSAGE_MAX];
} Encoded;

static void
encode_with_members (FrontPeers *peers,
                     const PeerMessage *source,
                     bool is_long,
                     Encoded *out,
                     int64_t now_ms)
{
  PeerMessage message = *source;

  if (!has_many_sessions (&message))
    peers_members_fill (peers, &message, is_long, now_ms);
  out->len = peers_encode (&message, out->data, sizeof out->data);
}

void
peers_send_round (FrontPeers *peers, int64_t now_ms)
{
  Peer *chosen[PEERS_PER_ROUND_MAX];
  unsigned count = peers_choose_recipients (peers, chosen, now_ms);
  Collectors collectors;
  PeerMessage message;
  Encoded short_one, long_one;

  peers->is_sessions_turn = !peers->is_sessions_turn;
  peers_find_collectors (peers, now_ms, &collectors);
  peers_message_fill (peers, &message, now_ms);
  encode_with_members (peers, &message, false, &short_one, now_ms);
  encode_with_members (peers, &message, true, &long_one, now_ms);
  for (unsigned i = 0; i < count; i++)
    {
      const Encoded *encoded = is_long_for (peers, &collectors, chosen[i]) ? &long_one : &short_one;

      send_to (peers, chosen[i], encoded->data, encoded->len, now_ms);
    }
}

bool
peers_is_starting (const FrontPeers *peers,
                   const Peer *peer,
                   uint32_t domain_fronts,
                   int64_t now_ms)
{
  unsigned known = peers_known_alive (peers, peer->domain, now_ms);

  return (domain_fronts <= 1 || domain_fronts * STARTING_FRACTION < known)
         && now_ms - peer->sent_ms >= ANSWER_INTERVAL_MS;
}

/* When three hundred fronts start at one moment, each knows the same three addresses. By regular
 * rounds alone they would need some ten seconds to learn of the fronts of their domain; in that
 * time each would consider itself the first of the domain and poll the store. */
void
peers_answer_starting (FrontPeers *peers, Peer *peer, int64_t now_ms)
{
  unsigned char data[PEER_MESSAGE_MAX];
  PeerMessage message;

  peers_message_fill (peers, &message, now_ms);
  peers_members_fill_domain (peers, &message, peer->domain, now_ms);
  send_to (peers, peer, data, peers_encode (&message, data, sizeof data), now_ms);
}
