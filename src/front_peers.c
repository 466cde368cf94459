#include "front_peers.h"
#include "front_channel.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peer_message.h"
#include "front_request.h"
#include "front_socket.h"
#include "front_store.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_store.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEERS_MAX 512
/* Milliseconds. */
#define BEAT_MS      500  /* between messages while nothing happens */
#define BEAT_BUSY_MS 200  /* during a roll-out: its verdict needs the evidence of all */
#define ALIVE_MS     3500 /* a peer that nobody heard for so long is not counted on */
#define PROBE_MS     2500 /* between messages to an address that doesn't answer */
#define AHEAD_MS     350  /* a peer may know more for so long, as the store tells us apart */
#define FETCH_MS     800  /* for an answer of a peer; another one is asked after that */
#define NEAR_FANOUT  4    /* peers of the own failure domain told at a time */
#define FAR_FANOUT   3    /* others: bytes between domains have a price */
#define BOOT_FANOUT  6    /* while hardly anybody is known */
/* Fronts of each failure domain that follow a table at the store; the others ask one of these. Two
 * may be lost at once; at 60 fronts a domain one passes changes on to 20. */
#define FOLLOWERS 3

_Static_assert(PEER_TABLES == STORE_STATUS + 1, "a message tells of the first tables");

typedef struct
{
  struct sockaddr_in address;
  uint64_t incarnation; /* 0: it never told us anything itself */
  uint32_t domain;      /* hash; 0: not known */
  int64_t heard_ms;     /* by us or another front */
  int64_t sent_ms;
  int64_t newest[PEER_TABLES];
} Peer;

/* What is being fetched of one table; a peer that doesn't answer for one holds up no other. */
typedef struct
{
  FrontPeers *peers;
  StoreTable table;
  FrontChannel *channel; /* NULL: nothing */
  bool done;             /* the channel is to be freed outside of its own call */
} Fetch;

struct FrontPeers
{
  Front *front;
  int fd;
  struct event *event;
  struct sockaddr_in own;
  uint32_t own_domain;
  uint16_t control_port; /* the same at all fronts; network order */
  unsigned count;
  Peer list[PEERS_MAX];
  unsigned next;        /* where the next round of messages begins */
  unsigned next_member; /* where the next list of members begins */
  int64_t beat_ms;
  int64_t ahead_since_ms[PEER_TABLES]; /* since when some peer knows more; 0: none does */
  Fetch fetches[PEER_TABLES];
};

static Peer *
peer_find (FrontPeers *peers, uint32_t ip)
{
  for (unsigned i = 0; i < peers->count; i++)
    {
      if (peers->list[i].address.sin_addr.s_addr == ip)
        return &peers->list[i];
    }
  return NULL;
}

static Peer *
peer_add (FrontPeers *peers, uint32_t ip)
{
  Peer *peer = peer_find (peers, ip);

  if (peer || ip == peers->own.sin_addr.s_addr || peers->count == PEERS_MAX)
    return peer;
  peer = &peers->list[peers->count++];
  *peer = (Peer){ .address = peers->own };
  peer->address.sin_addr.s_addr = ip;
  return peer;
}

static bool
is_alive (const Peer *peer, int64_t now_ms)
{
  return peer->heard_ms != 0 && now_ms - peer->heard_ms < ALIVE_MS;
}

void
front_peers_add (FrontPeers *peers, const char *address)
{
  Span rest = span_of (address);
  Span host = span_cut (&rest, ':');
  char *ip = span_dup (host);
  struct in_addr in;

  if (inet_pton (AF_INET, ip, &in) == 1)
    peer_add (peers, in.s_addr);
  free (ip);
}

static FrontRollout *
rollout_find (Front *front, uint64_t service)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    if (rollout->service_hash == service)
      return rollout;
  }
  return NULL;
}

static void
take_rollout (Front *front, const PeerMessage *message, const PeerRollout *news, int64_t now_ms)
{
  FrontRollout *rollout = rollout_find (front, news->service);
  RolloutPeer peer = {
    .incarnation = message->incarnation,
    .heard_ms = now_ms,
    .old_running = news->old_running,
    .is_bad = news->is_bad != 0,
    .evidence = news->evidence,
  };

  /* News of another order than ours says nothing of this one. */
  if (rollout && rollout->ordered && rollout->order.row_version == news->order)
    {
      front_rollout_peer (rollout, &peer);
      for (uint32_t i = 0; i < news->session_count; i++)
        front_rollouts_hold_session (front->rollouts, rollout, &news->sessions[i], now_ms);
    }
}

/* A front that another one heard lives, though it may never tell us anything itself. */
static void
take_member (FrontPeers *peers, const PeerMember *member, int64_t now_ms)
{
  Peer *peer = peer_add (peers, htonl (member->ip));
  int64_t heard_ms = now_ms - member->age_ms;

  if (!peer)
    return;
  if (heard_ms > peer->heard_ms)
    peer->heard_ms = heard_ms;
  if (peer->domain == 0)
    peer->domain = member->domain;
}

static void
take_message (FrontPeers *peers, Peer *peer, const PeerMessage *message, int64_t now_ms)
{
  Front *front = peers->front;

  if (peer->incarnation != message->incarnation)
    {
      FrontLine *line = front_log_begin (FRONT_EVENT_PEER);
      char ip[INET_ADDRSTRLEN];

      inet_ntop (AF_INET, &peer->address.sin_addr, ip, sizeof ip);
      front_log_text (line, "peer", ip);
      front_log_text (line, "state", peer->incarnation ? "restarted" : "heard");
      front_log_end (line);
    }
  peer->incarnation = message->incarnation;
  peer->heard_ms = now_ms;
  peer->domain = message->domain;
  memcpy (peer->newest, message->newest, sizeof peer->newest);
  for (uint32_t i = 0; i < message->rollout_count; i++)
    take_rollout (front, message, &message->rollouts[i], now_ms);
  for (uint32_t i = 0; i < message->death_count; i++)
    quarantine_add (front->quarantine, &message->deaths[i], now_ms);
  for (uint32_t i = 0; i < message->member_count; i++)
    take_member (peers, &message->members[i], now_ms);
}

static void
on_datagram (evutil_socket_t fd, short what UNUSED, void *user)
{
  FrontPeers *peers = user;
  unsigned char data[PEER_MESSAGE_MAX];
  struct sockaddr_in from = { 0 };
  socklen_t from_len = sizeof from;
  ssize_t len;

  while ((len = recvfrom (fd, data, sizeof data, 0, (struct sockaddr *)&from, &from_len)) > 0)
    {
      PeerMessage message;
      Peer *peer;

      if (!peer_message_decode (&message, data, (size_t)len)
          || message.incarnation == peers->front->incarnation)
        continue;
      peer = peer_add (peers, from.sin_addr.s_addr);
      if (peer)
        take_message (peers, peer, &message, clock_boot_ms ());
    }
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

      if (!is_alive (peer, now_ms))
        continue;
      message->members[message->member_count++] = (PeerMember){
        .ip = ntohl (peer->address.sin_addr.s_addr),
        .domain = peer->domain,
        .age_ms = (uint32_t)(now_ms - peer->heard_ms),
      };
    }
  peers->next_member = start + i;
}

static void
message_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  Front *front = peers->front;
  FrontRollout *rollout;

  memset (message, 0, sizeof *message);
  message->incarnation = front->incarnation;
  message->domain = peers->own_domain;
  message->is_ready = front_is_ready (front);
  for (unsigned i = 0; i < PEER_TABLES; i++)
    message->newest[i] = front_store_version (front->store, (StoreTable)i);
  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    PeerRollout *out = &message->rollouts[message->rollout_count];

    if (!front_rollout_is_running (rollout) || message->rollout_count == PEER_ROLLOUTS_MAX)
      continue;
    out->service = rollout->service_hash;
    out->order = rollout->order.row_version;
    out->is_bad = rollout->is_bad;
    out->old_running = front_request_running (front, rollout->service, rollout->base);
    rollout->old_running = out->old_running;
    out->evidence = rollout->evidence;
    out->session_count = front_rollouts_held_sessions (front->rollouts, rollout, out->sessions,
                                                       PEER_SESSIONS_MAX, now_ms);
    message->rollout_count++;
  }
  message->death_count
      = (uint32_t)quarantine_news (front->quarantine, message->deaths, PEER_DEATHS_MAX, now_ms);
  members_fill (peers, message, now_ms);
}

static bool
is_rollout_running (const Front *front)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    if (front_rollout_is_running (rollout))
      return true;
  }
  return false;
}

/* Whether a message goes to the peer in this round; counts it if so. */
static bool
is_told (const FrontPeers *peers, const Peer *peer, unsigned told[3], int64_t now_ms)
{
  if (!is_alive (peer, now_ms))
    return now_ms - peer->sent_ms >= PROBE_MS && told[2]++ < BOOT_FANOUT;
  if (peer->domain == peers->own_domain)
    return told[0]++ < NEAR_FANOUT;
  return told[1]++ < FAR_FANOUT;
}

/* Tells living peers in turn, most of them in the own failure domain, and now and then those that
 * don't answer. */
static void
tell_some (FrontPeers *peers, const unsigned char *data, size_t len, int64_t now_ms)
{
  unsigned told[3] = { 0 };

  for (unsigned i = 0; i < peers->count; i++)
    {
      Peer *peer = &peers->list[(peers->next + i) % peers->count];

      if (!is_told (peers, peer, told, now_ms))
        continue;
      peer->sent_ms = now_ms;
      sendto (peers->fd, data, len, 0, (struct sockaddr *)&peer->address, sizeof peer->address);
      front_counter_add (FRONT_COUNTER_PEER_MESSAGES);
    }
  if (peers->count > 0)
    peers->next = (peers->next + NEAR_FANOUT) % peers->count;
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
  for (uint32_t i = 0; i < message->rollout_count; i++)
    {
      if (message->rollouts[i].session_count == 0)
        continue;
      message->rollouts[i].session_count /= 2;
      return true;
    }
  if (message->death_count == 0)
    return false;
  message->death_count--;
  return true;
}

static void
send_round (FrontPeers *peers, int64_t now_ms)
{
  unsigned char data[PEER_MESSAGE_MAX];
  PeerMessage message;
  size_t len;

  message_fill (peers, &message, now_ms);
  while ((len = peer_message_encode (&message, data, sizeof data)) == 0)
    {
      if (!message_shorten (&message))
        return;
    }
  tell_some (peers, data, len, now_ms);
}

static void
on_fetched (void *user, int status, const char *text, size_t len)
{
  Fetch *fetch = user;
  StoreAnswer answer;

  fetch->done = true;
  if (status == 200 && wire_store_decode (text, len, &answer))
    {
      front_store_take (fetch->peers->front->store, fetch->table, &answer);
      store_answer_clear (&answer);
    }
}

static void
fetch_begin (FrontPeers *peers, const Peer *peer, StoreTable table)
{
  Fetch *fetch = &peers->fetches[table];
  struct sockaddr_in address = peer->address;
  FrontLine *line = front_log_begin (FRONT_EVENT_NEWS);
  Buffer path = { 0 };

  front_log_number (line, "table", table);
  front_log_number (line, "known", front_store_version (peers->front->store, table));
  front_log_number (line, "peer_knows", peer->newest[table]);
  front_log_end (line);
  address.sin_port = peers->control_port;
  *fetch = (Fetch){ .peers = peers, .table = table };
  fetch->channel = front_channel_new (peers->front->base, &address, on_fetched, fetch);
  front_store_news_path (&path, table, 0, false);
  front_channel_ask (fetch->channel, path.data, NULL, FETCH_MS);
  buffer_free (&path);
}

static void
fetch_clear (Fetch *fetch)
{
  if (fetch->channel && fetch->done)
    {
      front_channel_free (fetch->channel);
      fetch->channel = NULL;
    }
}

/* One of the peers that know more than we do, another one each time: the one that knows most may be
 * the one that has just died. */
static const Peer *
informed_peer (const FrontPeers *peers, StoreTable table, int64_t known, int64_t now_ms)
{
  unsigned start = peers->count ? (unsigned)(id_random_u64 () % peers->count) : 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[(start + i) % peers->count];

      if (is_alive (peer, now_ms) && peer->newest[table] > known)
        return peer;
    }
  return NULL;
}

/* A peer that knows more for longer than the store takes to tell us: we are cut off from the store,
 * or our connection to it is silent. */
static void
catch_up (FrontPeers *peers, StoreTable table, int64_t now_ms)
{
  int64_t known = front_store_version (peers->front->store, table);
  const Peer *best = informed_peer (peers, table, known, now_ms);

  fetch_clear (&peers->fetches[table]);
  if (!best)
    peers->ahead_since_ms[table] = 0;
  else if (peers->ahead_since_ms[table] == 0)
    peers->ahead_since_ms[table] = now_ms;
  else if (now_ms - peers->ahead_since_ms[table] >= AHEAD_MS)
    {
      front_store_hint (peers->front->store, table, best->newest[table], now_ms);
      if (!peers->fetches[table].channel)
        fetch_begin (peers, best, table);
    }
}

void
front_peers_tick (FrontPeers *peers, int64_t now_ms)
{
  int64_t beat_ms = is_rollout_running (peers->front) ? BEAT_BUSY_MS : BEAT_MS;

  if (now_ms - peers->beat_ms >= beat_ms)
    {
      peers->beat_ms = now_ms;
      send_round (peers, now_ms);
    }
  for (unsigned i = 0; i < PEER_TABLES; i++)
    catch_up (peers, (StoreTable)i, now_ms);
}

unsigned
front_peers_alive (const FrontPeers *peers, int64_t now_ms)
{
  unsigned count = 1;

  for (unsigned i = 0; i < peers->count; i++)
    count += is_alive (&peers->list[i], now_ms);
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
  return peer->domain == peers->own_domain && is_alive (peer, now_ms);
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

      rank += is_alive (peer, now_ms) && rank_hash (&peer->address, subject) > own;
    }
  return rank;
}

FrontPeers *
front_peers_new (Front *front)
{
  FrontPeers *peers = memory_alloc (sizeof *peers);
  struct sockaddr_in control;
  struct in_addr ip;

  peers->front = front;
  peers->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  peers->own.sin_family = AF_INET;
  peers->own.sin_port = htons ((uint16_t)front->settings.peer_port);
  if (peers->fd < 0 || inet_pton (AF_INET, front->settings.ip, &ip) != 1
      || !front_socket_address (front->settings.control, &control))
    {
      free (peers);
      return NULL;
    }
  peers->own.sin_addr = ip;
  peers->own_domain = (uint32_t)span_hash (span_of (front->settings.failure_domain)) | 1;
  peers->control_port = control.sin_port;
  if (bind (peers->fd, (struct sockaddr *)&peers->own, sizeof peers->own) != 0)
    {
      close (peers->fd);
      free (peers);
      return NULL;
    }
  peers->event = event_new (front->base, peers->fd, EV_READ | EV_PERSIST, on_datagram, peers);
  event_add (peers->event, NULL);
  for (unsigned i = 0; i < front->settings.seed_count; i++)
    front_peers_add (peers, front->settings.seeds[i]);
  return peers;
}

void
front_peers_free (FrontPeers *peers)
{
  for (unsigned i = 0; i < PEER_TABLES; i++)
    {
      if (peers->fetches[i].channel)
        front_channel_free (peers->fetches[i].channel);
    }
  event_free (peers->event);
  close (peers->fd);
  free (peers);
}
