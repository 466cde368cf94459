/* Chooses another front for a request whose backend servers this one can't reach, or may send no
 * more to. */
#include "front_peers_private.h"

/* Milliseconds for which a front that did not answer is not asked again. */
#define FAILED_PAUSE_MS 3000
/* The same for one that refused a request, and for one that had no room for it. */
#define REFUSED_PAUSE_MS 500
#define NO_ROOM_PAUSE_MS 100

/* From best to worst. */
typedef enum
{
  CANDIDATE_REACHES_HERE, /* it reaches the service, and is in this front's failure domain */
  CANDIDATE_REACHES,
  CANDIDATE_UNKNOWN_HERE, /* whether it reaches the service isn't known; likewise */
  CANDIDATE_UNKNOWN,
  CANDIDATE_NONE, /* must not be asked */
} Candidate;

static bool
was_asked (const PeerHandoff *handoff, const Peer *peer)
{
  for (unsigned i = 0; i < handoff->asked_count; i++)
    {
      if (handoff->asked[i].sin_addr.s_addr == peer->address.sin_addr.s_addr)
        return true;
    }
  return false;
}

static bool
pauses (int64_t since_ms, int64_t pause_ms, int64_t now_ms)
{
  return since_ms != 0 && now_ms - since_ms < pause_ms;
}

static Candidate
rate (const FrontPeers *peers, const Peer *peer, const PeerHandoff *handoff, int64_t now_ms)
{
  /* Room is divided over all fronts, so that of the own failure domain may be used up. */
  bool is_here = peer->domain == peers->own_domain || handoff->needs_room;
  int64_t refused_pause_ms = handoff->needs_room ? NO_ROOM_PAUSE_MS : REFUSED_PAUSE_MS;

  if (!peer_is_alive (peer, now_ms) || was_asked (handoff, peer)
      || pauses (peer->request_failed_ms, FAILED_PAUSE_MS, now_ms)
      || pauses (peer->request_refused_ms, refused_pause_ms, now_ms))
    return CANDIDATE_NONE;
  switch (peers_reach_state (peers, peer, handoff->service, now_ms))
    {
    case PEER_REACH_GOOD:
      return is_here ? CANDIDATE_REACHES_HERE : CANDIDATE_REACHES;
    case PEER_REACH_UNKNOWN:
      return is_here ? CANDIDATE_UNKNOWN_HERE : CANDIDATE_UNKNOWN;
    case PEER_REACH_LOST:
      break;
    }
  return CANDIDATE_NONE;
}

/* In turn, so that the work of a failure domain doesn't all go to the first of its fronts that are
 * not cut off. */
const struct sockaddr_in *
front_peers_choose_handoff (FrontPeers *peers, const PeerHandoff *handoff, int64_t now_ms)
{
  Candidate best = CANDIDATE_NONE;
  unsigned place = 0;

  for (unsigned i = 0; i < peers->count && best != CANDIDATE_REACHES_HERE; i++)
    {
      unsigned at = (peers->next_handoff + i) % peers->count;
      Candidate candidate = rate (peers, peers->list[at], handoff, now_ms);

      if (candidate >= best)
        continue;
      best = candidate;
      place = at;
    }
  if (best == CANDIDATE_NONE)
    return NULL;
  peers->next_handoff = place + 1;
  return &peers->list[place]->address;
}
