/** Which fronts ask the store when many start: src/front_bootstrap.c, front_peers_rank.c and the
 *  choice of recipients, simulated in steps of 10 ms without a network. */
#include "front_bootstrap.h"
#include "front_world.h"
#include "suite.h"

#define FRONTS 300
/* Maximum calls to the store per start: reading the list of fronts, and one more. */
#define CALLS_PER_START 2

/* A site of 300 fronts starts for the first time, and each front knows three addresses. If each
 * considered itself the first of its failure domain, it would read every table, some of them
 * repeatedly, and register: 13 calls per start, 3,800 before the first request. */
static void
test_first_start_makes_few_calls (void)
{
  World *world = world_new (FRONTS);

  CU_ASSERT (world_simulate (world) <= 3000);
  CU_ASSERT_EQUAL (world->list_calls, FRONTS);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power at one moment and are back within 300 ms of each other, in any order. Callers
 * are waiting, so each front has to have all tables within half a second, without 300 reads of
 * each. */
static void
test_all_restart_within_half_a_second (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  CU_ASSERT (world_simulate (world) <= 500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power, and in one failure domain none of the three registered fronts comes back. */
static void
test_starts_without_registered_fronts (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  for (unsigned i = 0; i < 3; i++)
    world->nodes[(size_t)i * WORLD_DOMAINS].start_ms = -1;
  CU_ASSERT (world_simulate (world) <= 1000);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power, and the registered fronts of one domain die 20 ms after their start, while
 * others wait for their answers. */
static void
test_starts_although_registered_fronts_die (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  for (unsigned i = 0; i < 3; i++)
    {
      WorldNode *node = &world->nodes[(size_t)i * WORLD_DOMAINS];

      node->dies_ms = node->start_ms + (int64_t)2 * WORLD_ANSWER_MS;
    }
  CU_ASSERT (world_simulate (world) <= 1500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* Every third answer of the store is lost, the list of fronts included; a front without an answer
 * asks again after 1.5 s. No front may wait longer than twice that and a margin; the others serve
 * meanwhile. */
static void
test_starts_despite_lost_answers (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  world->lost_every = 3;
  CU_ASSERT (world_simulate (world) <= 3500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* The store doesn't answer for the first 3 s. Once it does, all fronts get the table soon. */
static void
test_starts_once_silent_store_answers (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  world->silent_until_ms = WORLD_ORIGIN_MS + 3000;
  CU_ASSERT (world_simulate (world) <= 3000 + 3500);
  world_free (world);
}

/* One front of 300 is killed and starts again while the others run. It has to ask a front of its
 * domain, not the store. */
static void
test_single_restart_gets_rows_from_peer (void)
{
  World *world = world_new (FRONTS);

  world_register (world);
  for (unsigned i = 0; i < world->count; i++)
    {
      world->nodes[i].has_table = i != FRONTS - 1;
      world->nodes[i].list_known = i != FRONTS - 1;
    }
  CU_ASSERT (world_simulate (world) <= 100);
  CU_ASSERT_EQUAL (world->list_calls, 1);
  CU_ASSERT_EQUAL (world->table_calls, 0);
  world_free (world);
}

static void
test_step_for_each_state (void)
{
  static const struct
  {
    BootstrapView view;
    BootstrapStep step;
  } states[] = {
    { { .age_ms = 0 }, BOOTSTRAP_WAIT },
    { { .age_ms = 299 }, BOOTSTRAP_WAIT },
    { { .age_ms = 5, .has_informed = true }, BOOTSTRAP_ASK_INFORMED },
    { { .age_ms = 5, .list_known = true, .is_registered = true }, BOOTSTRAP_ASK_STORE },
    { { .age_ms = 5, .list_known = true, .has_registered = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 300, .list_known = true, .has_registered = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 400, .list_known = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 1500, .list_known = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 5, .list_lost = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 300, .list_lost = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 1500 }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 5, .has_informed = true, .failures = 6 }, BOOTSTRAP_ASK_INFORMED },
    { { .age_ms = 300, .has_informed = true, .failures = 6 }, BOOTSTRAP_ASK_STORE },
  };

  for (size_t i = 0; i < SUITE_COUNT (states); i++)
    CU_ASSERT_EQUAL (front_bootstrap_step (&states[i].view), states[i].step);
}

static const SuiteCase cases[] = {
  { "step_for_each_state", test_step_for_each_state },
  { "first_start_makes_few_calls", test_first_start_makes_few_calls },
  { "all_restart_within_half_a_second", test_all_restart_within_half_a_second },
  { "starts_without_registered_fronts", test_starts_without_registered_fronts },
  { "starts_although_registered_fronts_die", test_starts_although_registered_fronts_die },
  { "starts_despite_lost_answers", test_starts_despite_lost_answers },
  { "starts_once_silent_store_answers", test_starts_once_silent_store_answers },
  { "single_restart_gets_rows_from_peer", test_single_restart_gets_rows_from_peer },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_bootstrap", cases, SUITE_COUNT (cases));
}
