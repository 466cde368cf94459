/** Choice of a server beside ones that are late or fail: src/front_pick.c, front_health.c. */
#include "pick_world.h"
#include "suite.h"
#include <string.h>

/* An engine's health page is good while it fails two of five requests. Its fast failures make it
 * look idle, so that it would attract more and more of the work. */
static void
test_avoids_failing_server (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  setup ();
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  health = &front_servers_find (servers, "a")->health;
  for (unsigned i = 0; i < 10; i++)
    {
      front_health_answered (health, NOW, 50, 60);
      if (i % 5 < 2)
        front_health_failed (health, NOW);
    }
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
  CU_ASSERT (front_health_penalty_ms (health, NOW) > 300);
  CU_ASSERT (front_health_penalty_ms (health, NOW + 20000) < 100);
}

/* Eight long prompts of other fronts are read at the server of our failure domain within a second,
 * and six of our answers begin 110 ms later than predicted; the server of the other domain is idle.
 * That queue has been read before the next request, which must stay in the domain, as traffic
 * between domains is expensive. A server that has become slow, with answers two seconds late, must
 * be left. */
static void
test_tolerates_short_lag_not_slow_server (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  setup ();
  query.affinity_tokens = 5000;
  add ("a", "here", "v1");
  add ("bb", "there", "v1");
  health = &front_servers_find (servers, "a")->health;
  for (unsigned i = 0; i < 6; i++)
    front_health_answered (health, NOW, 170, 60);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "a");
  for (unsigned i = 0; i < 2; i++)
    front_health_answered (health, NOW, 2060, 60);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
}

#define SERVICE_HASH 7

/* So many answers that began later than predicted by this. */
static void
add_waits (FrontWaits *waits, const char *id, unsigned count, double wait_ms)
{
  for (unsigned i = 0; i < count; i++)
    front_waits_add (waits,
                     &(WaitSample){ .server = front_servers_find (servers, id)->hash,
                                    .service = SERVICE_HASH,
                                    .rank = 0,
                                    .wait_ms = wait_ms },
                     NOW);
}

static PickQuery
query_with (const FrontWaits *waits)
{
  PickQuery query = query_of ("v1");

  query.waits = waits;
  query.service_hash = SERVICE_HASH;
  call.part_count = 0;
  return query;
}

/* Load: one of two servers turns slow, and all fronts are told. The prediction contains the belief,
 * the base of later samples does not, and after the belief has aged neither does. */
static void
test_prediction_contains_wait (void)
{
  FrontWaits *waits = front_waits_new ();
  PickQuery query;
  PickAnswer answer;

  setup ();
  query = query_with (waits);
  add ("a", "here", "v1");
  add ("bb", "there", "v1");
  front_servers_find (servers, "a")->pending_ms = 5;
  add_waits (waits, "a", 8, 1500);
  add_waits (waits, "bb", 8, 0);
  answer = front_pick (servers, &query, NOW);
  CU_ASSERT_STRING_EQUAL (answer.server->entry.id, "a");
  CU_ASSERT (answer.belief.ms > 1000);
  CU_ASSERT (answer.belief.ms <= 1500);
  CU_ASSERT_DOUBLE_EQUAL (answer.base_ms, 75, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (answer.predicted_ms, answer.base_ms + answer.belief.ms, 1e-9);
  answer = front_pick (servers, &query, NOW + 20000);
  CU_ASSERT (answer.predicted_ms < 85);
  query.tried[query.tried_count++] = front_servers_find (servers, "a")->hash;
  CU_ASSERT (front_pick (servers, &query, NOW).belief.ms < 200);
  front_waits_free (waits);
}

/* Load: a burst, all servers late but one. All fronts learn that within a second; if it attracted
 * their requests, it would reject most of them. It gets what its known work allows. */
static void
test_fast_server_does_not_attract_all (void)
{
  FrontWaits *waits = front_waits_new ();
  PickQuery query;

  setup ();
  query = query_with (waits);
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  add ("ccc", "here", "v1");
  add_waits (waits, "bb", 4, 0);
  add_waits (waits, "a", 8, 1500);
  add_waits (waits, "ccc", 8, 1500);
  front_servers_find (servers, "bb")->pending_ms = 300;
  CU_ASSERT (strcmp (picked (&query, NOW), "bb") != 0);
  front_waits_free (waits);
}

/* A server that this front itself finds late is left, with beliefs and without, and the lateness is
 * counted in the choice no more than before. */
static void
test_own_lag_moves_work (void)
{
  FrontWaits *waits = front_waits_new ();
  PickQuery query;

  setup ();
  query = query_with (waits);
  add ("a", "here", "v1");
  add ("bb", "there", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "a");
  add_waits (waits, "a", 6, 110);
  for (unsigned i = 0; i < 6; i++)
    front_health_answered (&front_servers_find (servers, "a")->health, NOW, 60, 60);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "a");
  for (unsigned i = 0; i < 2; i++)
    front_health_answered (&front_servers_find (servers, "a")->health, NOW, 2060, 60);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
  query.waits = NULL;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
  CU_ASSERT_EQUAL (front_pick (servers, &query, NOW).belief.ms, 0);
  CU_ASSERT_DOUBLE_EQUAL (front_pick (servers, &query, NOW).predicted_ms,
                          front_pick (servers, &query, NOW).base_ms, 1e-9);
  front_waits_free (waits);
}

static void
test_unreachable_server_backs_off (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  setup ();
  add ("a", "here", "v1");
  health = &front_servers_find (servers, "a")->health;
  front_health_unreachable (health, NOW);
  CU_ASSERT (front_health_avoided (health, NOW + 700));
  CU_ASSERT (!front_health_avoided (health, NOW + 900));
  front_health_unreachable (health, NOW + 900);
  CU_ASSERT (front_health_avoided (health, NOW + 900 + 1500));
  /* An avoided server is not excluded: it is tried if there is no other. */
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "a");
  add ("bb", "there", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "bb");
}

static const SuiteCase cases[] = {
  { "avoids_failing_server", test_avoids_failing_server },
  { "tolerates_short_lag_not_slow_server", test_tolerates_short_lag_not_slow_server },
  { "prediction_contains_wait", test_prediction_contains_wait },
  { "fast_server_does_not_attract_all", test_fast_server_does_not_attract_all },
  { "own_lag_moves_work", test_own_lag_moves_work },
  { "unreachable_server_backs_off", test_unreachable_server_backs_off },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pick_late", cases, SUITE_COUNT (cases));
}
