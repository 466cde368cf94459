#include "peers_net.h"
#include "suite.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>

static uint32_t
address_of (unsigned number)
{
  return htonl (0x0a000001u + number);
}

static unsigned
number_of (const Peer *peer)
{
  return ntohl (peer->address.sin_addr.s_addr) - 0x0a000001u;
}

uint32_t
net_domain_of (const Net *net, unsigned number)
{
  return 1 + number % net->domains;
}

Net *
net_new (unsigned count, unsigned domains, unsigned loss)
{
  Net *net = memory_alloc (sizeof *net);

  *net = (Net){ .count = count, .domains = domains, .loss = loss };
  for (unsigned i = 0; i < count; i++)
    {
      Node *node = &net->nodes[i];

      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = net_domain_of (net, i);
      for (unsigned j = 0; j < count; j++)
        peer_add (&node->peers, address_of (j), net_domain_of (net, j), NOW);
      node->rollouts = front_rollouts_new (NULL, net_domain_of (net, i));
      node->rollout = front_rollouts_get (node->rollouts, "drafts");
      node->rollout->ordered = true;
      node->rollout->state = FRONT_ROLLOUT_RUNNING;
    }
  return net;
}

void
net_free (Net *net)
{
  for (unsigned i = 0; i < net->count; i++)
    {
      front_rollouts_free (net->nodes[i].rollouts);
      peers_clear (&net->nodes[i].peers);
    }
  free (net);
}

static void
mark_all_alive (Net *net, int64_t now_ms)
{
  for (unsigned i = 0; i < net->count; i++)
    {
      for (unsigned j = 0; j < net->nodes[i].peers.count; j++)
        net->nodes[i].peers.list[j]->seen_ms = now_ms;
    }
}

static void
deliver_sessions (Net *net, unsigned from, unsigned to, int64_t now_ms)
{
  Node *sender = &net->nodes[from], *receiver = &net->nodes[to];
  SessionUpdate updates[PEER_SESSIONS_MAX];
  unsigned count = front_rollouts_held_sessions (sender->rollouts, sender->rollout, updates,
                                                 peers_sessions_max (&sender->peers), now_ms);

  for (unsigned i = 0; i < count; i++)
    front_rollouts_hold_session (receiver->rollouts, receiver->rollout, &updates[i], now_ms);
}

static void
deliver (Net *net, unsigned from, unsigned to, int64_t now_ms)
{
  FrontRollout *rollout = net->nodes[from].rollout;
  PeerRollout message = { 0 };
  RolloutUpdate update = {
    .is_bad = rollout->is_bad,
    .old_busy_ms = rollout->old_busy_ms,
    .peer = net_domain_of (net, from) == net_domain_of (net, to) ? from + 1 : 0,
    .evidence = rollout->evidence,
  };

  peers_domains_fill (&net->nodes[from].peers, rollout, &message);
  update.domain_count = message.domain_count;
  update.domains = message.domains;
  front_rollout_merge (net->nodes[to].rollout, &update);
  if (net->nodes[from].sessions)
    deliver_sessions (net, from, to, now_ms);
}

void
net_simulate_round (Net *net, int64_t now_ms)
{
  mark_all_alive (net, now_ms);
  for (unsigned i = 0; i < net->count; i++)
    {
      Peer *chosen[PEERS_PER_ROUND_MAX];
      unsigned count = peers_choose_recipients (&net->nodes[i].peers, chosen, now_ms);

      net->nodes[i].peers.is_sessions_turn = !net->nodes[i].peers.is_sessions_turn;

      for (unsigned j = 0; j < count; j++)
        {
          unsigned to = number_of (chosen[j]);

          net->sent++;
          net->to_other_domains += net_domain_of (net, to) != net_domain_of (net, i);
          if (net->loss == 0 || net->sent % net->loss != 0)
            deliver (net, i, to, now_ms);
        }
    }
}
