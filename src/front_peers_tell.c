/* What this front tells others, and whom. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_request.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#define PROBE_MS    2500 /* between messages to an address that doesn't answer */
#define NEAR_FANOUT 4    /* peers of the own failure domain told at a time */
#define FAR_FANOUT  3    /* others: bytes between domains have a price */
#define BOOT_FANOUT 6    /* while hardly anybody is known */

/* Tells of some living fronts, others the next time. */
static void
members_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  unsigned start = peers->count ? peers->next_member % peers->count : 0;
  unsigned i;

  for (i = 0; i < peers->count && message->member_count < PEER_MEMBERS_MAX; i++)
    {
      const Peer *peer = &peers->list[(start + i) % peers->count];

      if (!peer_is_alive (peer, now_ms))
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
  for (unsigned i = 0; i < PEER_TABLES; i++)
    message->newest[i] = front_store_newest (front->store, (StoreTable)i);
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

/* Whether a message goes to the peer in this round; counts it if so. */
static bool
is_told (const FrontPeers *peers, const Peer *peer, unsigned told[3], int64_t now_ms)
{
  if (!peer_is_alive (peer, now_ms))
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

void
peers_tell (FrontPeers *peers, int64_t now_ms)
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
