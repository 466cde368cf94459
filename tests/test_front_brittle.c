/** Servers that fall over if they turn too many requests away: src/front_brittle.c, front_pick.c.
 */
#include "front_brittle.h"
#include "front_call.h"
#include "front_full_message.h"
#include "front_pick.h"
#include "suite.h"
#include <string.h>

#define NOW 100000 /* milliseconds */

static bool
is_full (const ServerBrittle *brittle, unsigned running)
{
  const BrittleServer server = { .hash = 1, .slots = 1000, .running = running };

  return server_brittle_is_full (brittle, &server, &(FrontShare){ .places = 1 }, NOW);
}

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
  CU_ASSERT (!is_full (&brittle, 100));
  server_brittle_turned_away (&brittle, 6, NOW);
  CU_ASSERT (is_full (&brittle, 5));
  CU_ASSERT (!is_full (&brittle, 4));
  for (unsigned i = 0; i < 6; i++)
    server_brittle_accepted (&brittle);
  CU_ASSERT (!is_full (&brittle, 5));
  for (unsigned i = 0; i < 3; i++)
    server_brittle_turned_away (&brittle, 1, NOW);
  CU_ASSERT (!is_full (&brittle, 0));
}

/* Guards against fronts that together send a server more requests than it has room for, and against
 * slots that no front may use. */
static void
test_parts_of_all_fronts_make_up_the_slots (void)
{
  for (unsigned fronts = 1; fronts <= 2000; fronts = fronts * 3 + 1)
    {
      for (uint64_t server = 1; server <= 20; server++)
        {
          for (unsigned slots = 1; slots <= 48; slots += 5)
            {
              FrontShare share = { .places = fronts };
              unsigned sum = 0;

              for (share.place = 0; share.place < fronts; share.place++)
                sum += front_share_slots (&share, server, slots);
              CU_ASSERT_EQUAL (sum, slots);
            }
        }
    }
}

/* Guards against slots that change hands when the room changes: requests in progress still hold
 * them. */
static void
test_more_room_takes_no_front_a_slot (void)
{
  FrontShare share = { .places = 9 };

  for (share.place = 0; share.place < 9; share.place++)
    {
      unsigned before = 0;

      for (unsigned slots = 1; slots <= 48; slots++)
        {
          unsigned now = front_share_slots (&share, 5, slots);

          CU_ASSERT (now == before || now == before + 1);
          before = now;
        }
    }
}

/* Guards against an engine with less room than slots that goes on turning requests away, and one
 * that is left with little room after a few chance refusals. */
static void
test_room_shrinks_with_many_refusals_only (void)
{
  const FrontShare alone = { .places = 1 };
  const BrittleServer server = { .hash = 1, .slots = 10, .running = 8 };
  ServerBrittle brittle = { 0 };

  server_brittle_named (&brittle, 4, NOW);
  for (unsigned i = 0; i < 8; i++)
    CU_ASSERT_EQUAL (server_brittle_told_full (&brittle, NOW + i), 0);
  CU_ASSERT (!server_brittle_is_full (&brittle, &server, &alone, NOW + 10));
  CU_ASSERT_EQUAL (server_brittle_told_full (&brittle, NOW + 10000), 0);
  CU_ASSERT_EQUAL (server_brittle_told_full (&brittle, NOW + 10010), 0);
  CU_ASSERT (!server_brittle_is_full (&brittle, &server, &alone, NOW + 10010));
  CU_ASSERT (server_brittle_told_full (&brittle, NOW + 10020) > 0);
  CU_ASSERT (server_brittle_is_full (&brittle, &server, &alone, NOW + 10020));
  CU_ASSERT (!server_brittle_is_full (&brittle, &server, &alone, NOW + 20000));
}

static FrontServer *
add_server (FrontServers *servers, const char *id, int64_t now_ms)
{
  ServerEntry entry = { .service = "drafts", .address = "10.0.0.1:80", .version = "v1" };
  bool changed;

  strcpy (entry.id, id);
  CU_ASSERT (front_servers_set (servers, &entry, now_ms, &changed));
  return front_servers_find (servers, id);
}

/* Guards against a server that has just started and falls over before its first answer says that it
 * is brittle. */
static void
test_started_server_counts_as_brittle_like_the_others (void)
{
  FrontServers *servers = front_servers_new ("here");
  FrontServer *first = add_server (servers, "i-1", NOW), *second = add_server (servers, "i-2", NOW);

  CU_ASSERT (front_servers_brittle_named (first, 5, NOW));
  CU_ASSERT (!front_servers_brittle_named (first, 5, NOW + 1));
  CU_ASSERT (second->brittle.is_named);
  CU_ASSERT (add_server (servers, "i-3", NOW + 2)->brittle.is_named);
  CU_ASSERT (front_servers_brittle_absent (first, NOW + 10));
  CU_ASSERT (!add_server (servers, "i-4", NOW + 20)->brittle.is_named);
  front_servers_free (servers);
}

static void
test_full_message_survives_round_trip (void)
{
  const FullMessage in = { .incarnation = 7, .server = 99 };
  unsigned char data[FULL_MESSAGE_MAX];
  size_t len = full_message_encode (&in, data, sizeof data);
  FullMessage out;

  CU_ASSERT_EQUAL (len, FULL_MESSAGE_MAX);
  CU_ASSERT (full_message_decode (&out, data, len));
  CU_ASSERT_EQUAL (out.incarnation, 7);
  CU_ASSERT_EQUAL (out.server, 99);
  CU_ASSERT_EQUAL (full_message_encode (&in, data, len - 1), 0);
  CU_ASSERT (!full_message_decode (&out, data, len - 1));
  data[0] ^= 1;
  CU_ASSERT (!full_message_decode (&out, data, len));
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
  server_brittle_turned_away (&server->brittle, 4, NOW);
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
  { "parts_of_all_fronts_make_up_the_slots", test_parts_of_all_fronts_make_up_the_slots },
  { "more_room_takes_no_front_a_slot", test_more_room_takes_no_front_a_slot },
  { "room_shrinks_with_many_refusals_only", test_room_shrinks_with_many_refusals_only },
  { "started_server_counts_as_brittle_like_the_others",
    test_started_server_counts_as_brittle_like_the_others },
  { "full_message_survives_round_trip", test_full_message_survives_round_trip },
  { "choice_passes_over_full_brittle_servers", test_choice_passes_over_full_brittle_servers },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_brittle", cases, SUITE_COUNT (cases));
}
