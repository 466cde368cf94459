/** How soon fronts know which others reach a service's servers: src/front_peers_reach.c and the
 *  members in messages between fronts, without a network. */
#include "front_peers_private.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#define FRONTS_MAX 2000
#define ROUND_MS   500 /* within which the fronts begin their rounds of messages */
#define STEP_MS    10  /* of simulated time */
#define NOW        1000000
#define SERVICE    77u
#define BEFORE_MS  3000 /* simulated before the cut */
#define FOUND_MS   3000 /* after the cut, from which no request may be handed to a cut front */
#define ASKED      20   /* requests that each cut front hands over then */
#define LOSS       10   /* one of so many messages is lost */

typedef struct
{
  Front front;
  FrontPeers peers;
  bool is_cut;
} Node;

typedef struct
{
  unsigned count, domains;
  unsigned connect_ms; /* between two requests of a front for the service */
  unsigned sent;       /* messages */
  Node nodes[FRONTS_MAX];
} Net;

static uint32_t
address_of (unsigned number)
{
  return htonl (0x0a000001u + number);
}

static unsigned
number_of (const struct sockaddr_in *address)
{
  return ntohl (address->sin_addr.s_addr) - 0x0a000001u;
}

static uint32_t
domain_of (const Net *net, unsigned number)
{
  return 1 + number % net->domains;
}

static Net *
net_new (unsigned count, unsigned domains, unsigned connect_ms)
{
  Net *net = memory_alloc (sizeof *net);

  *net = (Net){ .count = count, .domains = domains, .connect_ms = connect_ms };
  for (unsigned i = 0; i < count; i++)
    {
      Node *node = &net->nodes[i];

      node->front.rollouts = front_rollouts_new (NULL, domain_of (net, i));
      node->front.peers = &node->peers;
      node->peers.front = &node->front;
      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = domain_of (net, i);
      node->peers.round_ms = NOW - (int64_t)(id_hash (&i, sizeof i, 7) % ROUND_MS);
      for (unsigned j = 0; j < count; j++)
        peer_add (&node->peers, address_of (j), domain_of (net, j), NOW);
      for (unsigned j = 0; j < node->peers.count; j++)
        node->peers.list[j]->seen_ms = NOW;
    }
  return net;
}

static void
net_free (Net *net)
{
  for (unsigned i = 0; i < net->count; i++)
    {
      front_rollouts_free (net->nodes[i].front.rollouts);
      peers_clear (&net->nodes[i].peers);
    }
  free (net);
}

/* A request for the service, at intervals. A front that is cut off tries three servers. */
static void
call (Net *net, unsigned number, int64_t now_ms)
{
  Node *node = &net->nodes[number];
  ReachTry attempt = { .service = SERVICE, .servers = 18 };
  int64_t since_ms
      = now_ms - NOW + (int64_t)(id_hash (&number, sizeof number, 3) % net->connect_ms);

  if (since_ms % net->connect_ms >= STEP_MS)
    return;
  for (attempt.server = 1; node->is_cut && attempt.server <= REACH_SERVERS_MIN; attempt.server++)
    {
      if (front_reach_failed (&node->front.reach, &attempt, now_ms))
        front_peers_send_soon (&node->peers);
    }
  if (!node->is_cut)
    front_reach_connected (&node->front.reach, &attempt, now_ms);
}

static void
send_messages (Net *net, unsigned from, int64_t now_ms)
{
  FrontPeers *peers = &net->nodes[from].peers;
  Peer *chosen[PEERS_PER_ROUND_MAX];
  unsigned count = peers_choose_recipients (peers, chosen, now_ms);
  PeerMessage message = { .incarnation = from + 1, .domain = peers->own_domain };

  peers_reach_fill (peers, &message, now_ms);
  peers_counts_fill (peers, &message, now_ms);
  peers_members_fill (peers, &message, true, now_ms);
  for (unsigned i = 0; i < count; i++)
    {
      unsigned to = number_of (&chosen[i]->address);

      chosen[i]->sent_ms = now_ms;
      if (++net->sent % LOSS != 0)
        peers_receive_message (&net->nodes[to].peers, address_of (from), &message, now_ms);
    }
}

static void
simulate (Net *net, int64_t from_ms, int64_t until_ms)
{
  for (int64_t now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS)
    {
      for (unsigned i = 0; i < net->count; i++)
        {
          call (net, i, now_ms);
          if (peers_begin_round (&net->nodes[i].peers, now_ms))
            send_messages (net, i, now_ms);
        }
    }
}

static void
count_handoffs (Net *net, int64_t now_ms, unsigned *in_vain, unsigned *none)
{
  PeerHandoff handoff = { .service = SERVICE };

  for (unsigned i = 0; i < net->count; i++)
    {
      for (unsigned j = 0; net->nodes[i].is_cut && j < ASKED; j++)
        {
          const struct sockaddr_in *to
              = front_peers_choose_handoff (&net->nodes[i].peers, &handoff, now_ms);

          *in_vain += to && net->nodes[number_of (to)].is_cut;
          *none += !to;
        }
    }
}

typedef struct
{
  unsigned fronts, domains;
  unsigned connect_ms; /* Net.connect_ms: at the fleet each front has little work */
} SiteSize;

static const SiteSize sizes[]
    = { { 9, 4, 100 }, { 26, 2, 100 }, { 85, 5, 100 }, { 300, 6, 300 }, { 985, 6, 1200 } };

/* Cuts off so many of ten fronts, or all of the first failure domain. */
static void
check_handoffs (const SiteSize *size, unsigned of_ten, bool cuts_domain)
{
  Net *net = net_new (size->fronts, size->domains, size->connect_ms);
  unsigned in_vain = 0, none = 0;
  int64_t at_ms = NOW + BEFORE_MS;

  simulate (net, NOW, at_ms);
  for (unsigned i = 0; i < net->count; i++)
    net->nodes[i].is_cut
        = cuts_domain ? domain_of (net, i) == 1 : id_hash (&i, sizeof i, 5) % 10 < of_ten;
  simulate (net, at_ms, at_ms + FOUND_MS);
  count_handoffs (net, at_ms + FOUND_MS, &in_vain, &none);
  printf ("%u fronts, %s cut off: %u handed over in vain, %u to none\n", size->fronts,
          cuts_domain ? "a failure domain" : "some", in_vain, none);
  CU_ASSERT_EQUAL (in_vain, 0);
  CU_ASSERT_EQUAL (none, 0);
  net_free (net);
}

/* Half of all fronts, eight of ten, or a failure domain, reach no server. Guards against handing
 * requests to fronts that are cut off, too, of which a front has not heard itself that they are. */
static void
test_requests_go_to_fronts_that_reach_the_service (void)
{
  for (size_t i = 0; i < SUITE_COUNT (sizes); i++)
    {
      check_handoffs (&sizes[i], 5, false);
      check_handoffs (&sizes[i], 8, false);
      check_handoffs (&sizes[i], 0, true);
    }
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "requests_go_to_fronts_that_reach_the_service",
      test_requests_go_to_fronts_that_reach_the_service },
  };

  return suite_main (argc, argv, "front_reach_news", cases, SUITE_COUNT (cases));
}
