/** A front before a store that comes back from a copy some seconds old: src/front_store_era.c,
 *  front_store_watch.c, front_store_apply.c, front_rollouts.c. Its tables: test_front_era_table.c.
 */
#include "front_node.h"
#include "suite.h"
#include "util_clock.h"
#include <stdio.h>
#include <string.h>

/* The store has given out the known version again before the front asks, so that its answer is no
 * 410. Its changes must not be applied to what was known before: those up to that version are
 * missing in it. */
static void
test_answer_of_new_era_is_read_again (void)
{
  FrontNode *node = front_node_new ();

  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "SinceRev=50"));
  front_node_answer (node, 200, 2, "{\"Rows\":[],\"Ver\":55}");
  CU_ASSERT (front_node_expect (node, "/v1/rows-get"));
  CU_ASSERT_EQUAL (node->watch->table.version, store_version (1, NODE_KNOWN));
  front_node_answer (node, 200, 2,
                     "{\"Rows\":[{\"Key\":\"x\",\"Value\":\"MQ==\",\"Ver\":7}],\"Ver\":56}");
  CU_ASSERT (front_node_expect (node, "SinceRev=56"));
  CU_ASSERT_EQUAL (node->watch->table.version, store_version (2, 56));
  CU_ASSERT (store_era_is_settling (node->watch));
  front_node_free (node);
}

/* The era rises between two pages of a table, which must not be put together. */
static void
test_pages_of_two_eras_are_not_mixed (void)
{
  FrontNode *node = front_node_new ();

  node->watch->loaded = false;
  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "/v1/rows-get"));
  front_node_answer (
      node, 200, 1,
      "{\"Rows\":[{\"Key\":\"x\",\"Value\":\"MQ==\",\"Ver\":7}],\"Ver\":60,\"MorePages\":true}");
  CU_ASSERT (front_node_expect (node, "From=x"));
  front_node_answer (node, 200, 2,
                     "{\"Rows\":[{\"Key\":\"y\",\"Value\":\"MQ==\",\"Ver\":8}],\"Ver\":56}");
  CU_ASSERT (front_node_expect (node, "Limit=500 HTTP"));
  CU_ASSERT_EQUAL (node->watch->pages.count, 0);
  front_node_free (node);
}

/* Another table's answer has shown the new era. A poll from a version of before would wait for
 * seconds, without an answer that tells so. */
static void
test_no_poll_from_an_earlier_era (void)
{
  FrontNode *node = front_node_new ();

  node->store.era = 2;
  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "/v1/rows-get"));
  front_node_free (node);
}

/* All fronts start before a store that hangs, and keeps their connections open. Guards against long
 * polls by all of them, which a store that returns never answers. */
static void
test_starting_front_polls_briefly (void)
{
  FrontNode *node = front_node_new ();

  node->store.started_ms = clock_boot_ms ();
  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "WaitMs=1000 "));
  front_node_free (node);
}

/* A store that answers 410 to each poll must not be read without pause: six fronts called it 1,300
 * times a second. */
static void
test_reads_of_a_whole_table_have_a_pause (void)
{
  FrontNode *node = front_node_new ();

  store_watch_poll (node->watch);
  CU_ASSERT (front_node_expect (node, "SinceRev=50"));
  front_node_answer (node, 410, 1, "{}");
  CU_ASSERT (front_node_expect (node, "/v1/rows-get"));
  front_node_answer (node, 200, 1, "{\"Rows\":[],\"Ver\":50}");
  CU_ASSERT (front_node_expect (node, "SinceRev=50"));
  front_node_answer (node, 410, 1, "{}");
  while (node->watch->loaded)
    event_base_loop (node->front.base, EVLOOP_ONCE);
  CU_ASSERT_FALSE (front_channel_is_pending (node->watch->channel));
  CU_ASSERT (front_node_expect (node, "/v1/rows-get"));
  front_node_free (node);
}

static void
apply_server (FrontNode *node, const char *value, int64_t version)
{
  StoreRow row = { .key = (char *)(uintptr_t) "i-1",
                   .value = (char *)(uintptr_t)value,
                   .value_len = strlen (value),
                   .version = version };

  store_apply_server (&node->store, &row);
}

static void
apply_operator (FrontNode *node, const char *key, const char *value, int64_t version)
{
  StoreRow row = { .key = (char *)(uintptr_t)key,
                   .value = (char *)(uintptr_t)value,
                   .value_len = value ? strlen (value) : 0,
                   .version = version,
                   .removed = !value };

  store_apply_operator (&node->store, &row);
}

/* A server that became cold again, as after an evacuation, has an entry of before that in the copy.
 * It must stay cold until it has written again. */
static void
test_cold_server_stays_cold_while_an_era_settles (void)
{
  static const char entry[]
      = "{\"Service\":\"drafts\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"here\","
        "\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":%d,\"Seq\":1}";
  FrontNode *node = front_node_new ();
  Watch *watch = &node->store.watches[STORE_SERVERS];
  char cold[300], warm[300];
  const FrontServer *server;

  snprintf (cold, sizeof cold, entry, 20000);
  snprintf (warm, sizeof warm, entry, 0);
  CDS_INIT_LIST_HEAD (&node->front.requests);
  watch->store = &node->store;
  watch->id = STORE_SERVERS;
  watch->table.version = store_version (1, NODE_KNOWN);
  apply_server (node, cold, store_version (1, 40));
  server = front_servers_find (node->front.servers, "i-1");
  if (!server)
    {
      CU_FAIL ("the server is not listed");
      front_node_free (node);
      return;
    }
  store_era_begin (watch, store_version (2, 30));
  apply_server (node, warm, store_version (2, 30));
  CU_ASSERT (server->cold_until_ms > clock_boot_ms () + 10000);
  store_era_tick (watch, watch->era_began_ms + STORE_RELIST_MS);
  apply_server (node, warm, store_version (2, 31));
  CU_ASSERT (server->cold_until_ms <= clock_boot_ms ());
  front_node_free (node);
}

static const char order_v2[] = "{\"Service\":\"drafts\",\"Target\":\"v2\",\"RampS\":20}";
static const char order_v3[] = "{\"Service\":\"drafts\",\"Target\":\"v3\",\"RampS\":20}";

/* Until the operator has written again, the store may lack an order or have an earlier one. A
 * running roll-out must not end or begin anew for that; what the store has after that counts. */
static void
test_orders_are_kept_while_an_era_settles (void)
{
  FrontNode *node = front_node_new ();
  FrontRollout *rollout = front_rollouts_get (node->front.rollouts, "drafts");

  apply_operator (node, "rollout/drafts", order_v3, store_version (1, 40));
  rollout->started_ms = 7;
  rollout->status_version = store_version (1, 41);
  store_era_begin (node->watch, store_version (2, 30));
  node->watch->table.version = store_version (2, 30);
  apply_operator (node, "rollout/drafts", order_v2, store_version (2, 20));
  apply_operator (node, "rollout/drafts", NULL, store_version (2, 30));
  CU_ASSERT (rollout->ordered);
  CU_ASSERT_STRING_EQUAL (rollout->order.target, "v3");
  apply_operator (node, "rollout/drafts", order_v3, store_version (2, 31));
  CU_ASSERT_EQUAL (rollout->started_ms, 7);
  CU_ASSERT_EQUAL (rollout->order.row_version, store_version (2, 31));
  CU_ASSERT_EQUAL (rollout->status_version, 0);
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT (rollout->has_verdict);
  store_era_tick (node->watch, node->watch->era_began_ms + STORE_RELIST_MS);
  CU_ASSERT_FALSE (store_era_is_settling (node->watch));
  apply_operator (node, "rollout/drafts", order_v2, store_version (2, 33));
  CU_ASSERT_STRING_EQUAL (rollout->order.target, "v2");
  apply_operator (node, "rollout/drafts", NULL, store_version (2, 34));
  CU_ASSERT_FALSE (rollout->ordered);
  front_node_free (node);
}

/* The store has lost the status of a finished roll-out, or has an earlier one. It must be written
 * again: the operator waits for it, and a front that starts would begin the roll-out anew. */
static void
test_lost_final_status_is_written_again (void)
{
  FrontNode *node = front_node_new ();
  FrontRollout *rollout = front_rollouts_get (node->front.rollouts, "drafts");

  apply_operator (node, "rollout/drafts", order_v2, store_version (1, 40));
  front_rollouts_apply_status (rollout,
                               &(RolloutStatus){ .target = "v2",
                                                 .state = FRONT_ROLLOUT_COMPLETED,
                                                 .started_ms = ROLLOUT_START_UNKNOWN },
                               store_version (1, 45));
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT_FALSE (rollout->has_verdict);
  front_rollouts_apply_status (rollout,
                               &(RolloutStatus){ .target = "v2",
                                                 .state = FRONT_ROLLOUT_RUNNING,
                                                 .started_ms = ROLLOUT_START_UNKNOWN },
                               store_version (2, 41));
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT (rollout->has_verdict);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_COMPLETED);
  CU_ASSERT_EQUAL (rollout->state, FRONT_ROLLOUT_COMPLETED);
  front_rollouts_apply_status (rollout,
                               &(RolloutStatus){ .target = "v2",
                                                 .state = FRONT_ROLLOUT_COMPLETED,
                                                 .started_ms = ROLLOUT_START_UNKNOWN },
                               store_version (2, 50));
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT_FALSE (rollout->has_verdict);
  front_rollouts_status_removed (node->front.rollouts, "drafts");
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT (rollout->has_verdict);
  front_node_free (node);
}

/* The list of fronts may have lost this one, which has to register again. */
static void
test_front_registers_again (void)
{
  FrontNode *node = front_node_new ();

  front_peers_set_registered (&node->peers, true);
  CU_ASSERT (store_era_note (&node->store, 1));
  CU_ASSERT (front_peers_is_registered (&node->peers));
  CU_ASSERT (store_era_note (&node->store, 2));
  CU_ASSERT_FALSE (front_peers_is_registered (&node->peers));
  CU_ASSERT_FALSE (store_era_note (&node->store, 1));
  CU_ASSERT (store_era_note (&node->store, 0));
  CU_ASSERT_EQUAL (node->store.era, 2);
  front_node_free (node);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "answer_of_new_era_is_read_again", test_answer_of_new_era_is_read_again },
    { "pages_of_two_eras_are_not_mixed", test_pages_of_two_eras_are_not_mixed },
    { "no_poll_from_an_earlier_era", test_no_poll_from_an_earlier_era },
    { "starting_front_polls_briefly", test_starting_front_polls_briefly },
    { "reads_of_a_whole_table_have_a_pause", test_reads_of_a_whole_table_have_a_pause },
    { "cold_server_stays_cold_while_an_era_settles",
      test_cold_server_stays_cold_while_an_era_settles },
    { "orders_are_kept_while_an_era_settles", test_orders_are_kept_while_an_era_settles },
    { "lost_final_status_is_written_again", test_lost_final_status_is_written_again },
    { "front_registers_again", test_front_registers_again },
  };

  return suite_main (argc, argv, "front_era", cases, SUITE_COUNT (cases));
}
