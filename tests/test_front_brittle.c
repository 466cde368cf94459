/** Servers that fall over if they turn too many requests away: src/front_brittle.c, front_pick.c.
 */
#include "front_brittle.h"
#include "front_call.h"
#include "front_pick.h"
#include "suite.h"
#include <string.h>

#define NOW 100000 /* milliseconds */

static void
test_number_ends_with_a_later_answer (void)
{
  ServerBrittle brittle = { 0 };

  CU_ASSERT (!server_brittle_absent (&brittle, NOW));
  CU_ASSERT (server_brittle_named (&brittle, 5, NOW));
  CU_ASSERT (!server_brittle_named (&brittle, 5, NOW + 10));
  CU_ASSERT (!server_brittle_absent (&brittle, NOW + 10));
  CU_ASSERT (brittle.is_named);
  CU_ASSERT (server_brittle_absent (&brittle, NOW + 11));
  CU_ASSERT (!brittle.is_named);
}

/* Guards against refusals that are few at each front and too many at all together. */
static void
test_rests_of_all_fronts_keep_to_the_number (void)
{
  static const unsigned fronts[] = { 1, 9, 70 };
  ServerBrittle brittle = { 0 };

  CU_ASSERT_EQUAL (server_brittle_rest_ms (&brittle, &(FrontShare){ .fronts = 9 }), 0);
  server_brittle_named (&brittle, 8, NOW);
  for (unsigned i = 0; i < sizeof fronts / sizeof *fronts; i++)
    {
      FrontShare share = { .fronts = fronts[i] };
      int64_t rest_ms = server_brittle_rest_ms (&brittle, &share);

      CU_ASSERT (fronts[i] * 1000.0 / (double)rest_ms <= 8);
    }
  server_brittle_named (&brittle, 0, NOW);
  CU_ASSERT (server_brittle_rest_ms (&brittle, &(FrontShare){ .fronts = 1 }) >= 1000);
}

static void
test_window_follows_the_servers_room (void)
{
  ServerBrittle brittle = { 0 };

  server_brittle_named (&brittle, 8, NOW);
  CU_ASSERT (!server_brittle_is_full (&brittle, 100));
  server_brittle_turned_away (&brittle, 6);
  CU_ASSERT (server_brittle_is_full (&brittle, 5));
  CU_ASSERT (!server_brittle_is_full (&brittle, 4));
  for (unsigned i = 0; i < 6; i++)
    server_brittle_accepted (&brittle);
  CU_ASSERT (!server_brittle_is_full (&brittle, 5));
  for (unsigned i = 0; i < 3; i++)
    server_brittle_turned_away (&brittle, 1);
  CU_ASSERT (!server_brittle_is_full (&brittle, 0));
}

/* Guards against requests that a full brittle server turns away while another has room, and against
 * waiting in vain once it is no longer brittle. */
static void
test_choice_passes_over_full_brittle_servers (void)
{
  FrontServers *servers = front_servers_new ("here");
  ServerEntry entry
      = { .id = "i-1", .service = "drafts", .address = "10.0.0.1:80", .version = "v1" };
  FrontCall call = { 0 };
  PickQuery query = { .service = "drafts", .version = "v1", .call = &call };
  PickAnswer answer;
  FrontServer *server;
  bool changed;

  CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
  server = front_servers_find (servers, "i-1");
  server_brittle_named (&server->brittle, 8, NOW);
  server->running = 3;
  server_brittle_turned_away (&server->brittle, 4);
  answer = front_pick (servers, &query, NOW);
  CU_ASSERT_PTR_NULL (answer.server);
  CU_ASSERT_EQUAL (answer.wait, PICK_WAIT_FULL);
  CU_ASSERT (answer.wait_ms > 0);
  server->running = 2;
  CU_ASSERT_PTR_EQUAL (front_pick (servers, &query, NOW).server, server);
  server->running = 3;
  CU_ASSERT (server_brittle_absent (&server->brittle, NOW + 1));
  CU_ASSERT_PTR_EQUAL (front_pick (servers, &query, NOW).server, server);
  server->running = 0;
  front_servers_free (servers);
}

static const SuiteCase cases[] = {
  { "number_ends_with_a_later_answer", test_number_ends_with_a_later_answer },
  { "rests_of_all_fronts_keep_to_the_number", test_rests_of_all_fronts_keep_to_the_number },
  { "window_follows_the_servers_room", test_window_follows_the_servers_room },
  { "choice_passes_over_full_brittle_servers", test_choice_passes_over_full_brittle_servers },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_brittle", cases, SUITE_COUNT (cases));
}
