/* Which services other fronts reach, as they or others report. A front's own messages go to a few
 * others only, so the lists of members tell it of each member. */
#include "front_peers_private.h"

/* Milliseconds for which a report that a front reaches a service stands. */
#define REPORT_MS 2000

/* Place of the service in the table, which takes it in if it is new. */
static unsigned
service_place (FrontPeers *peers, uint64_t service, int64_t now_ms)
{
  unsigned place = 0;

  for (unsigned i = 0; i < PEER_SERVICES_MAX; i++)
    {
      if (peers->services[i].service == service)
        {
          peers->services[i].used_ms = now_ms;
          return i;
        }
      if (peers->services[i].used_ms < peers->services[place].used_ms)
        place = i;
    }
  peers->services[place] = (PeerService){ .service = service, .used_ms = now_ms };
  for (unsigned i = 0; i < peers->count; i++)
    {
      peers->list[i]->reached &= (uint8_t) ~(1u << place);
      peers->list[i]->lost &= (uint8_t) ~(1u << place);
    }
  return place;
}

/* Marks of a message, in the order of its services, in the order of the table. Those of places that
 * the message doesn't use are dropped. */
static uint8_t
marks_decode (const ServicePlaces *places, uint8_t marks)
{
  uint8_t out = 0;

  for (unsigned i = 0; i < places->count; i++)
    out |= (uint8_t)((marks >> i & 1u) << places->place[i]);
  return out;
}

void
peers_reach_places (FrontPeers *peers,
                    const PeerMessage *message,
                    ServicePlaces *out,
                    int64_t now_ms)
{
  out->count = message->service_count;
  for (unsigned i = 0; i < out->count; i++)
    out->place[i] = message->services[i] == 0 ? PEER_SERVICES_MAX
                                              : service_place (peers, message->services[i], now_ms);
}

void
peers_reach_receive (Peer *peer, const ServicePlaces *places, const PeerReach *report)
{
  uint8_t told = marks_decode (places, UINT8_MAX);

  peer->reached = (uint8_t)((peer->reached & ~told) | marks_decode (places, report->reached));
  peer->lost = (uint8_t)((peer->lost & ~told) | marks_decode (places, report->lost));
}

void
peers_reach_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms)
{
  ReachReport reports[REACH_SERVICES_MAX];
  unsigned count = front_reach_report (&peers->front->reach, reports, now_ms);

  message->reach = (PeerReach){ 0 };
  for (unsigned i = 0; i < count; i++)
    {
      unsigned place = service_place (peers, reports[i].service, now_ms);

      message->reach.reached |= (uint8_t)(reports[i].is_reached << place);
      message->reach.lost |= (uint8_t)(reports[i].is_lost << place);
    }
  /* Unused places at the end are left out; all others keep their number. */
  message->service_count = 0;
  for (unsigned i = 0; i < PEER_SERVICES_MAX; i++)
    {
      message->services[i] = peers->services[i].service;
      if (message->services[i] != 0)
        message->service_count = i + 1;
    }
}

PeerReachState
peers_reach_state (const FrontPeers *peers, const Peer *peer, uint64_t service, int64_t now_ms)
{
  for (unsigned i = 0; i < PEER_SERVICES_MAX; i++)
    {
      if (peers->services[i].service != service)
        continue;
      if (peer->lost >> i & 1u)
        return PEER_REACH_LOST;
      if ((peer->reached >> i & 1u) && now_ms - peer->seen_ms < REPORT_MS)
        return PEER_REACH_GOOD;
      break;
    }
  return PEER_REACH_UNKNOWN;
}
