/**
 * Up to a thousand fronts and a stand-in of the network between them.
 */
#ifndef PEERS_NET_H
#define PEERS_NET_H

#include "front_peers_private.h"

#define FRONTS_MAX 1000
#define ROUND_MS   400     /**< interval of messages at a large site during a roll-out */
#define NOW        1000000 /**< milliseconds */

/** The state of one front that messages change. */
typedef struct
{
  FrontPeers peers;
  FrontSessions *sessions; /* NULL where a test uses no sessions */
  FrontRollouts *rollouts;
  FrontRollout *rollout;
} Node;

/** All fronts, and the network between them. */
typedef struct
{
  unsigned count;
  unsigned domains;
  unsigned loss;             /* one of so many messages is lost, as by a congested link; 0: none */
  unsigned sent;             /* messages */
  unsigned to_other_domains; /* of these, to other failure domains */
  Node nodes[FRONTS_MAX];
} Net;

/** loss: one of so many messages is lost; 0: none. */
Net *net_new (unsigned count, unsigned domains, unsigned loss);
void net_free (Net *net);
/** Number of the front's failure domain. */
uint32_t net_domain_of (const Net *net, unsigned number);
/** All fronts send their messages. */
void net_simulate_round (Net *net, int64_t now_ms);

#endif
