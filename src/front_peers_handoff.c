/* Chooses another front for a request whose backend servers this one can't reach. */
#include "front_peers_private.h"

/* Milliseconds for which a front that did not answer is not asked again. */
#define FAILED_PAUSE_MS 3000

static bool
has_lost (const Peer *peer, uint64_t service)
{
  for (unsigned i = 0; i < peer->lost_count; i++)
    {
      if (peer->lost[i] == service)
        return true;
    }
  return false;
}

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
may_take (const Peer *peer, const PeerHandoff *handoff, int64_t now_ms)
{
  return peer_is_alive (peer, now_ms) && !has_lost (peer, handoff->service)
         && !was_asked (handoff, peer)
         && (peer->request_failed_ms == 0 || now_ms - peer->request_failed_ms >= FAILED_PAUSE_MS);
}

/* In turn, so that the work of a failure domain doesn't all go to the first of its fronts that are
 * not cut off. */
const struct sockaddr_in *
front_peers_choose_handoff (FrontPeers *peers, const PeerHandoff *handoff, int64_t now_ms)
{
  const Peer *other = NULL;

  for (unsigned i = 0; i < peers->count; i++)
    {
      unsigned place = (peers->next_handoff + i) % peers->count;
      const Peer *peer = peers->list[place];

      if (!may_take (peer, handoff, now_ms))
        continue;
      if (peer->domain == peers->own_domain)
        {
          peers->next_handoff = place + 1;
          return &peer->address;
        }
      if (!other)
        other = peer;
    }
  peers->next_handoff++;
  return other ? &other->address : NULL;
}
