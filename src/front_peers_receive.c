/* Applies messages of other fronts. */
#include "front_deaths.h"
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
receive_rollout (FrontPeers *peers,
                 const PeerMessage *message,
                 const PeerRollout *report,
                 int64_t now_ms)
{
  Front *front = peers->front;
  FrontRollout *rollout = rollout_find (front, report->service);
  RolloutUpdate update = {
    .is_bad = report->is_bad != 0,
    .old_busy_ms = report->old_busy_age_ms == PEER_NEVER ? 0 : now_ms - report->old_busy_age_ms,
    .peer = message->domain == peers->own_domain ? message->incarnation : 0,
    .evidence = report->evidence,
    .domain_count = report->domain_count,
    .domains = report->domains,
  };

  /* Reports on another order don't apply to this one. */
  if (!rollout || !rollout->ordered || rollout->order.row_version != report->order)
    return;
  front_rollout_merge (rollout, &update);
  for (uint32_t i = 0; i < report->session_count; i++)
    front_rollouts_hold_session (front->rollouts, rollout, &report->sessions[i], now_ms);
}

/* A front from which another one receives messages is alive, even if it never sends to this one. */
static void
receive_member (FrontPeers *peers,
                const ServicePlaces *places,
                const PeerMember *member,
                int64_t now_ms)
{
  Peer *peer = peer_add (peers, htonl (member->ip), member->domain, now_ms);
  int64_t seen_ms = now_ms - member->age_ms;

  if (!peer || seen_ms <= peer->seen_ms)
    return;
  peer->seen_ms = seen_ms;
  peers_reach_receive (peer, places, &member->reach);
}

static void
receive_return (Front *front, const PeerReturn *report, int64_t now_ms)
{
  const EvacuationEnd end = {
    .domain = report->domain,
    .at_ms = now_ms - report->age_ms,
    .version = report->version,
    .is_second_hand = true,
  };
  FrontLine *line;

  if (!front_servers_evacuation_ended (front->servers, &end, now_ms))
    return;
  line = front_log_begin (FRONT_EVENT_EVACUATION);
  front_log_text (line, "state", "told_ended");
  front_log_number (line, "domain_hash", report->domain);
  front_log_number (line, "age_ms", report->age_ms);
  front_log_number (line, "row_version", store_version_number (report->version));
  front_log_end (line);
}

static void
log_peer (const Peer *peer)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_PEER);
  char ip[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &peer->address.sin_addr, ip, sizeof ip);
  front_log_text (line, "peer", ip);
  front_log_text (line, "state", peer->incarnation ? "restarted" : "heard");
  front_log_end (line);
}

static void
receive_sender (FrontPeers *peers, Peer *peer, const PeerMessage *message, int64_t now_ms)
{
  if (peer->incarnation != message->incarnation)
    {
      log_peer (peer);
      peer->sent_ms = 0; /* earlier messages went to the previous process */
    }
  peer->incarnation = message->incarnation;
  peer->seen_ms = now_ms;
  memcpy (peer->newest, message->newest, sizeof peer->newest);
  if (peers_is_starting (peers, peer, message->domain_fronts, now_ms))
    peers_answer_starting (peers, peer, now_ms);
}

/* The failure domain has enough others to exchange messages with. Still, one that starts may know
 * this front only. */
static void
receive_not_kept (FrontPeers *peers, uint32_t ip, const PeerMessage *message, int64_t now_ms)
{
  Peer peer = { .address = peers->own, .domain = message->domain };

  peer.address.sin_addr.s_addr = ip;
  if (peers_is_starting (peers, &peer, message->domain_fronts, now_ms))
    peers_answer_starting (peers, &peer, now_ms);
}

void
peers_receive_message (FrontPeers *peers, uint32_t ip, const PeerMessage *message, int64_t now_ms)
{
  Front *front = peers->front;
  Peer *peer = peer_add (peers, ip, message->domain, now_ms);
  ServicePlaces places;

  peers_reach_places (peers, message, &places, now_ms);
  if (peer)
    {
      receive_sender (peers, peer, message, now_ms);
      peers_reach_receive (peer, &places, &message->reach);
    }
  else if (ip != peers->own.sin_addr.s_addr)
    receive_not_kept (peers, ip, message, now_ms);
  peers_domain_report (peers, message->domain, message->domain_fronts, now_ms);
  for (uint32_t i = 0; i < message->count_count; i++)
    peers_domain_report (peers, message->counts[i].domain, message->counts[i].fronts,
                         now_ms - message->counts[i].age_ms);
  for (uint32_t i = 0; i < message->rollout_count; i++)
    receive_rollout (peers, message, &message->rollouts[i], now_ms);
  for (uint32_t i = 0; i < message->death_count; i++)
    front_deaths_told (front, &message->deaths[i], now_ms);
  for (uint32_t i = 0; i < message->refusal_count; i++)
    front_deaths_refusal_told (front, &message->refusals[i], now_ms);
  for (uint32_t i = 0; i < message->cleared_count; i++)
    front_deaths_part_cleared (front, &message->cleared[i], now_ms);
  for (uint32_t i = 0; i < message->part_death_count; i++)
    front_deaths_parts_told (front, &message->part_deaths[i], now_ms);
  for (uint32_t i = 0; i < message->return_count; i++)
    receive_return (front, &message->returns[i], now_ms);
  for (uint32_t i = 0; i < message->member_count; i++)
    receive_member (peers, &places, &message->members[i], now_ms);
}
