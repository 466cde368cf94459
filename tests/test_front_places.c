/** What fronts that all start know of each other's number: src/front_peers_domains.c and
 *  front_peers_rank.c, simulated in steps of 10 ms without a network. */
#include "front_world.h"
#include "suite.h"
#include <stdio.h>

#define FLEET_FRONTS 1000
/* Maximum calls to the store per start: reading the list of fronts, and one more. */
#define CALLS_PER_START 2

typedef struct
{
  unsigned alone;     /* fronts that know no other */
  unsigned followers; /* that consider themselves as such for a table */
  unsigned sentinels;
  unsigned registrars;
  unsigned fewest_known;   /* of its failure domain, to any front */
  unsigned fewest_counted; /* fronts in all failure domains, by any front */
} Roles;

static Roles
count_roles (World *world, int64_t now_ms)
{
  Roles roles = { .fewest_known = world->count, .fewest_counted = world->count };

  for (unsigned i = 0; i < world->count; i++)
    {
      FrontPeers *peers = &world->nodes[i].peers;
      unsigned known = peers_known_alive (peers, peers->own_domain, now_ms);
      unsigned counted = front_peers_alive (peers, now_ms);
      struct sockaddr_in source;

      roles.alone += front_peers_is_alone (peers, now_ms);
      roles.followers += !front_peers_ranked_source (peers, WORLD_TABLE, now_ms, &source);
      roles.sentinels += front_peers_is_selected (peers, WORLD_TABLE + 1, 3, now_ms);
      roles.registrars += front_peers_is_registrar (peers, now_ms);
      roles.fewest_known = known < roles.fewest_known ? known : roles.fewest_known;
      roles.fewest_counted = counted < roles.fewest_counted ? counted : roles.fewest_counted;
    }
  return roles;
}

static void
run_until (World *world, int64_t from_ms, int64_t until_ms)
{
  for (int64_t now_ms = from_ms; now_ms < until_ms; now_ms += WORLD_STEP_MS)
    world_step (world, now_ms);
}

/* 1,000 and 2,000 fronts start for the first time, and each knows three addresses. If these knew at
 * most 512 others, they would never answer the rest: half of all fronts would know no other, and
 * each of them would follow the store by itself. */
static void
test_all_of_a_fleet_know_each_other (void)
{
  static const unsigned counts[] = { FLEET_FRONTS, WORLD_FRONTS_MAX };

  for (size_t i = 0; i < SUITE_COUNT (counts); i++)
    {
      World *world = world_new (counts[i]);
      int64_t known_ms = world_simulate (world);
      int64_t end_ms = WORLD_ORIGIN_MS + WORLD_JITTER_MS + 10000;
      Roles roles;

      run_until (world, WORLD_ORIGIN_MS + WORLD_JITTER_MS + known_ms, end_ms);
      roles = count_roles (world, end_ms);
      CU_ASSERT (known_ms <= 3000);
      CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * counts[i]);
      CU_ASSERT_EQUAL (roles.alone, 0);
      CU_ASSERT_EQUAL (roles.followers, 2 * WORLD_DOMAINS);
      CU_ASSERT_EQUAL (roles.sentinels, 3);
      CU_ASSERT_EQUAL (roles.registrars, 5 * WORLD_DOMAINS);
      CU_ASSERT (roles.fewest_known >= counts[i] / WORLD_DOMAINS);
      CU_ASSERT (roles.fewest_counted >= counts[i]);
      printf ("%u: rows after %lld ms, %u + %u calls; followers %u, sentinels %u, registrars %u, "
              "least known %u, least counted %u\n",
              counts[i], (long long)known_ms, world->list_calls, world->table_calls,
              roles.followers, roles.sentinels, roles.registrars, roles.fewest_known,
              roles.fewest_counted);
      world_free (world);
    }
}

typedef struct
{
  double most_dealt;     /* the parts of all fronts together, of what is divided among them */
  int64_t last_place_ms; /* when the last one has its place, after the first start */
} Places;

static Places
watch_places (World *world)
{
  Places places = { 0 };

  for (int64_t now_ms = WORLD_ORIGIN_MS; now_ms < WORLD_ORIGIN_MS + FRONT_SETTLED_MS;
       now_ms += WORLD_STEP_MS)
    {
      double dealt = 0;

      world_step (world, now_ms);
      for (unsigned i = 0; i < world->count; i++)
        {
          FrontsView view;

          world->nodes[i].peers.started_ms = world->nodes[i].start_ms;
          front_peers_fill_view (&world->nodes[i].peers, now_ms, &view);
          if (view.has_place)
            dealt += 1.0 / view.places;
          else
            places.last_place_ms = now_ms + WORLD_STEP_MS - WORLD_ORIGIN_MS;
        }
      if (dealt > places.most_dealt)
        places.most_dealt = dealt;
    }
  return places;
}

/* All fronts start at one moment. Guards against fronts that take too large a part of a server's
 * slots as they don't know the others yet, and against small sites that use few slots for long. */
static void
test_parts_add_up_to_the_whole (void)
{
  static const struct
  {
    unsigned fronts;
    int64_t place_ms;
  } sites[]
      = { { 3, 3000 }, { 9, 3000 }, { 20, 3000 }, { 70, 3000 }, { 300, 4000 }, { 985, 4000 } };

  for (size_t i = 0; i < 2 * SUITE_COUNT (sites); i++)
    {
      World *world = world_new (sites[i / 2].fronts);
      Places places;

      if (i % 2 == 1)
        world_register (world);
      places = watch_places (world);
      printf ("%u: at most %.2f of a server's slots dealt, all have their place after %lld ms\n",
              sites[i / 2].fronts, places.most_dealt, (long long)places.last_place_ms);
      CU_ASSERT (places.most_dealt <= 1.05);
      CU_ASSERT (places.last_place_ms <= sites[i / 2].place_ms);
      world_free (world);
    }
}

static const SuiteCase cases[] = {
  { "all_of_a_fleet_know_each_other", test_all_of_a_fleet_know_each_other },
  { "parts_add_up_to_the_whole", test_parts_add_up_to_the_whole },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_places", cases, SUITE_COUNT (cases));
}
