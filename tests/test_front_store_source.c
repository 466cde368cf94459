/** Whom a question for rows goes to: src/front_store_source.c and front_peers_rank.c, for all
 * fronts of a site at once, without a network. */
#include "front_peers_private.h"
#include "front_store_private.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define NOW        1000000
#define FIRST_IP   0x0a000001u
#define YOUNG_MS   1000
#define SETTLED_MS 60000
#define VERSION    50 /* of the store, when a front last heard of it */

typedef struct
{
  Front front;
  FrontStore store;
  FrontPeers peers;
} Node;

typedef struct
{
  unsigned count;
  unsigned domains;
  Node *nodes;
} Site;

/* Each knows all others, and all have the rows of each table. */
static Site *
site_new (unsigned count, unsigned domains, int64_t age_ms)
{
  Site *site = memory_alloc (sizeof *site);

  *site = (Site){ .count = count, .domains = domains };
  site->nodes = memory_array (count, sizeof *site->nodes);
  for (unsigned i = 0; i < count; i++)
    {
      Node *node = &site->nodes[i];

      memset (node, 0, sizeof *node);
      node->front.store = &node->store;
      node->front.peers = &node->peers;
      node->peers.front = &node->front;
      node->store.front = &node->front;
      node->store.started_ms = NOW - age_ms;
      node->peers.own.sin_addr.s_addr = htonl (FIRST_IP + i);
      node->peers.own_domain = 1 + i % domains;
      for (unsigned j = 0; j < STORE_TABLES; j++)
        {
          Watch *watch = &node->store.watches[j];

          watch->store = &node->store;
          watch->id = (StoreTable)j;
          watch->loaded = true;
          front_table_init (&watch->table);
          watch->table.version = VERSION;
        }
      for (unsigned j = 0; j < count; j++)
        {
          Peer *peer = peer_add (&node->peers, htonl (FIRST_IP + j));

          if (!peer)
            continue;
          peer->domain = 1 + j % domains;
          peer->heard_ms = NOW;
          for (unsigned k = 0; k < PEER_TABLES; k++)
            peer->newest[k] = VERSION;
        }
    }
  return site;
}

static void
site_free (Site *site)
{
  free (site->nodes);
  free (site);
}

static Watch *
watch_of (Site *site, unsigned number)
{
  return &site->nodes[number].store.watches[STORE_SERVERS];
}

/* The front that this one asks; count if it asks the store. */
static unsigned
asked_by (Site *site, unsigned number)
{
  Watch *watch = watch_of (site, number);

  if (store_choose_source (watch, NOW) != SOURCE_PEER)
    return site->count;
  return ntohl (watch->source.sin_addr.s_addr) - FIRST_IP;
}

static unsigned
ask_the_store (Site *site)
{
  unsigned asking = 0;

  for (unsigned i = 0; i < site->count; i++)
    asking += asked_by (site, i) == site->count;
  return asking;
}

/* Fronts whose question leads to the store, through whomever. */
static unsigned
reach_the_store (Site *site)
{
  unsigned reaching = 0;

  for (unsigned i = 0; i < site->count; i++)
    {
      unsigned at = i;

      for (unsigned hops = 0; at < site->count && hops < site->count; hops++)
        at = asked_by (site, at);
      reaching += at == site->count;
    }
  return reaching;
}

/* Three hundred fronts: two of each failure domain ask the store, the others one of these. */
static void
test_followers (void)
{
  Site *site = site_new (300, 6, SETTLED_MS);

  CU_ASSERT_EQUAL (reach_the_store (site), 300);
  CU_ASSERT (ask_the_store (site) >= 12);
  CU_ASSERT (ask_the_store (site) <= 12 + 3); /* sentinels ask it, too */
  site_free (site);
}

/* Story: 300 fronts start at one moment and have their first rows, each from another one. Each
   asked for changes of one that it knew to have them, some of them each other: no news came until
   they had lived for four seconds, and a quarter of the requests was refused as the servers
   changed. */
static void
test_young_fronts_wait_for_no_circle (void)
{
  Site *site = site_new (300, 6, YOUNG_MS);

  CU_ASSERT_EQUAL (reach_the_store (site), 300);
  CU_ASSERT (ask_the_store (site) <= 60);
  site_free (site);
}

/* Story: the store turns one of two fronts of a failure domain away. Had the other one asked it for
   changes, both would learn of a leaving server from another failure domain only. */
static void
test_two_fronts_ask_the_store (void)
{
  Site *site = site_new (4, 2, YOUNG_MS);

  CU_ASSERT_EQUAL (ask_the_store (site), 4);
  site_free (site);
}

/* Story: the store drops its history, and tells all that ask for changes at one moment. They took
   themselves for fronts that start and asked each other; for six seconds nobody asked the store,
   and a revoked key was accepted. */
static void
test_forgotten_history (void)
{
  Site *site = site_new (300, 6, SETTLED_MS);

  for (unsigned i = 0; i < site->count; i++)
    watch_of (site, i)->loaded = false;
  CU_ASSERT_EQUAL (ask_the_store (site), 300);
  site_free (site);
}

/* Story: the two fronts of each failure domain that follow the store lose power at one moment.
   Those that asked them find no answer and ask two others, which ask the store: not all 300 do. */
static void
test_followers_die (void)
{
  Site *site = site_new (300, 6, SETTLED_MS);
  bool follows[300];

  for (unsigned i = 0; i < site->count; i++)
    follows[i] = asked_by (site, i) == site->count;
  for (unsigned i = 0; i < site->count; i++)
    {
      for (unsigned j = 0; j < site->count; j++)
        {
          if (follows[j])
            front_peers_mark_failed (
                &site->nodes[i].peers,
                &(struct sockaddr_in){ .sin_addr.s_addr = htonl (FIRST_IP + j) }, NOW);
        }
    }
  CU_ASSERT (ask_the_store (site) <= 2 * (12 + 3));
  CU_ASSERT_EQUAL (reach_the_store (site), 300);
  site_free (site);
}

static unsigned
sentinels (Site *site)
{
  unsigned count = 0;

  for (unsigned i = 0; i < site->count; i++)
    count += store_is_sentinel (watch_of (site, i), NOW);
  return count;
}

/* Three of all fronts, however many failure domains there are; none among those that have just
   started. Fewer only where the chosen failure domains have too few. */
static void
test_sentinels (void)
{
  static const struct
  {
    unsigned fronts, domains;
    int64_t age_ms;
    unsigned sentinels;
  } sites[] = {
    { 300, 6, SETTLED_MS, 3 }, { 69, 4, SETTLED_MS, 3 }, { 9, 4, SETTLED_MS, 3 },
    { 8, 2, SETTLED_MS, 3 },   { 5, 1, SETTLED_MS, 3 },  { 1, 1, SETTLED_MS, 1 },
    { 300, 6, YOUNG_MS, 0 },
  };

  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      Site *site = site_new (sites[i].fronts, sites[i].domains, sites[i].age_ms);

      CU_ASSERT_EQUAL (sentinels (site), sites[i].sentinels);
      site_free (site);
    }
}

static unsigned
registrars (Site *site)
{
  unsigned count = 0;

  for (unsigned i = 0; i < site->count; i++)
    count += front_peers_is_registrar (&site->nodes[i].peers, NOW);
  return count;
}

/* Five fronts of each failure domain write their address, or all where there are fewer. */
static void
test_registrars (void)
{
  Site *large = site_new (300, 6, SETTLED_MS), *small = site_new (9, 3, SETTLED_MS);

  CU_ASSERT_EQUAL (registrars (large), 30);
  CU_ASSERT_EQUAL (registrars (small), 9);
  site_free (large);
  site_free (small);
}

/* The list of fronts names us, somebody that we know, and nobody. */
static void
test_listed_addresses (void)
{
  Site *site = site_new (3, 1, SETTLED_MS);
  FrontPeers *peers = &site->nodes[0].peers;
  unsigned known = peers->count;

  CU_ASSERT_FALSE (front_peers_is_registered (peers));
  CU_ASSERT (front_peers_add_registered (peers, "10.0.0.1", 1));
  CU_ASSERT (front_peers_is_registered (peers));
  CU_ASSERT_FALSE (front_peers_has_registered (peers));
  CU_ASSERT (front_peers_add_registered (peers, "10.0.0.2", 1));
  CU_ASSERT (front_peers_has_registered (peers));
  CU_ASSERT_EQUAL (peers->count, known);
  CU_ASSERT_FALSE (front_peers_add_registered (peers, "nobody", 1));
  CU_ASSERT_FALSE (front_peers_add_registered (peers, "", 1));
  CU_ASSERT_EQUAL (peers->count, known);
  site_free (site);
}

static const SuiteCase cases[] = {
  { "followers", test_followers },
  { "young_fronts_wait_for_no_circle", test_young_fronts_wait_for_no_circle },
  { "two_fronts_ask_the_store", test_two_fronts_ask_the_store },
  { "forgotten_history", test_forgotten_history },
  { "followers_die", test_followers_die },
  { "sentinels", test_sentinels },
  { "registrars", test_registrars },
  { "listed_addresses", test_listed_addresses },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_store_source", cases, SUITE_COUNT (cases));
}
