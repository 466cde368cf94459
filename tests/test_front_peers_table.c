/** Which fronts a front knows: src/front_peers_table.c and front_peers_domains.c. */
#include "front_peers_private.h"
#include "suite.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>

#define NOW        1000000 /* milliseconds */
#define OWN_DOMAIN 1
#define MINUTE_MS  60000
#define FIRST_IP   0x0a000001u

static FrontPeers *
peers_new (void)
{
  FrontPeers *peers = memory_alloc (sizeof *peers);

  peers->own_domain = OWN_DOMAIN;
  peers->own.sin_addr.s_addr = htonl (FIRST_IP - 1);
  return peers;
}

static void
peers_delete (FrontPeers *peers)
{
  peers_clear (peers);
  free (peers);
}

static Peer *
add_living (FrontPeers *peers, unsigned number, uint32_t domain, int64_t now_ms)
{
  Peer *peer = peer_add (peers, htonl (FIRST_IP + number), domain, now_ms);

  if (peer)
    peer->seen_ms = now_ms;
  return peer;
}

/* What ranks decide must come out the same at fronts that learned of others in different orders. */
static void
test_same_fronts_are_kept_in_any_order (void)
{
  FrontPeers *first = peers_new (), *second = peers_new ();

  for (unsigned i = 0; i < 3000; i++)
    {
      unsigned backwards = 2999 - i;

      add_living (first, i, i % 3, NOW);
      add_living (second, backwards, backwards % 3, NOW);
    }
  CU_ASSERT_EQUAL (first->count, second->count);
  for (unsigned i = 0; i < first->count; i++)
    CU_ASSERT_PTR_NOT_NULL (peer_find (second, first->list[i]->address.sin_addr.s_addr));
  peers_delete (first);
  peers_delete (second);
}

/* Messages name more fronts of one failure domain than are kept, and new ones all the time. */
static void
test_memory_is_bounded (void)
{
  FrontPeers *peers = peers_new ();

  for (unsigned i = 0; i < 20000; i++)
    add_living (peers, i, 1 + i % 200, NOW + i);
  CU_ASSERT (peers->count <= DOMAIN_PEERS_MAX + FRONT_DOMAINS_MAX * 16);
  CU_ASSERT_EQUAL (peers->domain_count, FRONT_DOMAINS_MAX);
  CU_ASSERT_EQUAL (peers->by_ip.count, peers->count);
  peers_delete (peers);
}

/* All fronts of a domain get new addresses, over and over: the dead ones give way to the living. */
static void
test_dead_fronts_give_way (void)
{
  FrontPeers *peers = peers_new ();
  int64_t now_ms = NOW;

  for (unsigned turn = 0; turn < 20; turn++)
    {
      now_ms += MINUTE_MS;
      for (unsigned i = 0; i < 333; i++)
        CU_ASSERT_PTR_NOT_NULL (add_living (peers, turn * 333 + i, OWN_DOMAIN, now_ms));
      CU_ASSERT_EQUAL (peers_known_alive (peers, OWN_DOMAIN, now_ms), 334);
    }
  peers_delete (peers);
}

/* Addresses of VMs that were removed must not be sent messages for ever; those of the settings and
 * of the store's list are kept. */
static void
test_silent_fronts_are_forgotten (void)
{
  FrontPeers *peers = peers_new ();

  add_living (peers, 1, OWN_DOMAIN, NOW);
  add_living (peers, 2, OWN_DOMAIN, NOW)->is_seed = true;
  add_living (peers, 3, OWN_DOMAIN, NOW)->is_registered = true;
  add_living (peers, 4, OWN_DOMAIN, NOW + 9 * MINUTE_MS);
  peers_forget (peers, NOW + 10 * MINUTE_MS);
  CU_ASSERT_PTR_NULL (peer_find (peers, htonl (FIRST_IP + 1)));
  CU_ASSERT_EQUAL (peers->count, 3);
  CU_ASSERT_PTR_NOT_NULL (add_living (peers, 1, OWN_DOMAIN, NOW + 10 * MINUTE_MS));
  peers_delete (peers);
}

/* A front that has just started reports that it knows none; an old number goes on being relayed.
 * Neither may change what the site's size is taken for: the limits on cold servers and on retries
 * rest on it. */
static void
test_size_of_site_is_steady (void)
{
  FrontPeers *peers = peers_new ();
  FrontsView view;

  add_living (peers, 1, 2, NOW);
  peers_domain_report (peers, 2, 165, NOW);
  peers_domain_report (peers, 2, 1, NOW + 100);
  CU_ASSERT_EQUAL (front_peers_alive (peers, NOW + 100), 166);
  peers_domain_report (peers, 2, 80, NOW + 6000);
  peers_domain_report (peers, 2, 165, NOW + 900);
  CU_ASSERT_EQUAL (front_peers_alive (peers, NOW + 6000), 81);
  front_peers_fill_view (peers, NOW + 6000, &view);
  CU_ASSERT_EQUAL (view.fronts, 166);
  peers_domain_report (peers, OWN_DOMAIN, 500, NOW + 6000);
  CU_ASSERT_EQUAL (front_peers_alive (peers, NOW + 6000), 81);
  front_peers_fill_view (peers, NOW + 6000, &view);
  CU_ASSERT_EQUAL (view.domain_fronts, 500);
  CU_ASSERT_EQUAL (front_peers_alive (peers, NOW + MINUTE_MS), 1);
  peers_delete (peers);
}

static const SuiteCase cases[] = {
  { "same_fronts_are_kept_in_any_order", test_same_fronts_are_kept_in_any_order },
  { "memory_is_bounded", test_memory_is_bounded },
  { "dead_fronts_give_way", test_dead_fronts_give_way },
  { "silent_fronts_are_forgotten", test_silent_fronts_are_forgotten },
  { "size_of_site_is_steady", test_size_of_site_is_steady },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_peers_table", cases, SUITE_COUNT (cases));
}
