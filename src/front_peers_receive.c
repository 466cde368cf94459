/* What other fronts tell. */
#include "front_log.h"
#include "front_peers_private.h"
#include <arpa/inet.h>
#include <string.h>

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
take_rollout (FrontPeers *peers,
              const PeerMessage *message,
              const PeerRollout *told,
              int64_t now_ms)
{
  Front *front = peers->front;
  FrontRollout *rollout = rollout_find (front, told->service);
  RolloutNews news = {
    .is_bad = told->is_bad != 0,
    .old_busy_ms = told->old_busy_age_ms == PEER_NEVER ? 0 : now_ms - told->old_busy_age_ms,
    .neighbour = message->domain == peers->own_domain ? message->incarnation : 0,
    .evidence = told->evidence,
    .domain_count = told->domain_count,
    .domains = told->domains,
  };

  /* News of another order than ours says nothing of this one. */
  if (!rollout || !rollout->ordered || rollout->order.row_version != told->order)
    return;
  front_rollout_news (rollout, &news);
  for (uint32_t i = 0; i < told->session_count; i++)
    front_rollouts_hold_session (front->rollouts, rollout, &told->sessions[i], now_ms);
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

void
peers_receive_message (FrontPeers *peers, Peer *peer, const PeerMessage *message, int64_t now_ms)
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
      peer->sent_ms = 0; /* what was told went to the process before */
    }
  peer->incarnation = message->incarnation;
  peer->heard_ms = now_ms;
  peer->domain = message->domain;
  memcpy (peer->newest, message->newest, sizeof peer->newest);
  for (uint32_t i = 0; i < message->rollout_count; i++)
    take_rollout (peers, message, &message->rollouts[i], now_ms);
  for (uint32_t i = 0; i < message->death_count; i++)
    quarantine_add (front->quarantine, &message->deaths[i], now_ms);
  for (uint32_t i = 0; i < message->member_count; i++)
    take_member (peers, &message->members[i], now_ms);
  if (peers_is_starting (peers, peer, message->alive, now_ms))
    peers_answer_starting (peers, peer, now_ms);
}
