/** A front before a store that comes back from a copy some seconds old: src/front_store_era.c,
 *  front_store_watch.c, front_store_apply.c, front_rollouts.c. Its tables: test_front_era_table.c.
 */
#include "front_peers_private.h"
#include "front_socket.h"
#include "front_store_private.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KNOWN  50 /* version that is known when the store goes away */
#define LISTEN 8  /* backlog */

/* A front that follows the operator's table at a store on loopback. */
typedef struct
{
  Front front;
  FrontStore store;
  FrontPeers peers;
  Watch *watch;
  int listener;
  int connection;
  char request[1024]; /* the last one that arrived */
} Node;

static Node *
node_new (void)
{
  Node *node = memory_alloc (sizeof *node);
  char text[32];

  node->connection = -1;
  node->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  snprintf (text, sizeof text, "127.0.0.1:%d", suite_free_port ());
  CU_ASSERT_FATAL (front_socket_parse_address (text, &node->store.address));
  CU_ASSERT_EQUAL_FATAL (
      bind (node->listener, (struct sockaddr *)&node->store.address, sizeof node->store.address),
      0);
  CU_ASSERT_EQUAL_FATAL (listen (node->listener, LISTEN), 0);
  node->front.base = event_base_new ();
  node->front.store = &node->store;
  node->front.peers = &node->peers;
  node->front.rollouts = front_rollouts_new (NULL, 1);
  node->front.servers = front_servers_new ("here");
  node->peers.front = &node->front;
  node->store.front = &node->front;
  node->store.era = 1;
  node->front.is_open = true;
  for (unsigned i = 0; i < STORE_TABLES; i++)
    front_table_init (&node->store.watches[i].table);
  node->watch = &node->store.watches[STORE_OPERATOR];
  store_watch_init (node->watch, &node->store, STORE_OPERATOR);
  node->watch->loaded = true;
  node->watch->table.version = store_version (1, KNOWN);
  return node;
}

static void
node_free (Node *node)
{
  store_watch_clear (node->watch);
  front_rollouts_free (node->front.rollouts);
  front_servers_free (node->front.servers);
  event_base_free (node->front.base);
  close (node->connection);
  close (node->listener);
  free (node);
}

static bool
has_request (void *user)
{
  Node *node = user;
  size_t len = strlen (node->request);
  ssize_t got;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  if (node->connection < 0)
    node->connection = accept4 (node->listener, NULL, NULL, SOCK_NONBLOCK);
  got = read (node->connection, node->request + len, sizeof node->request - 1 - len);
  if (got > 0)
    node->request[len + (size_t)got] = '\0';
  return strstr (node->request, "\r\n\r\n") != NULL;
}

static bool
expect_request (Node *node, const char *part)
{
  bool found = suite_wait (has_request, node) && strstr (node->request, part);

  if (!found)
    printf ("no \"%s\" in \"%s\"\n", part, node->request);
  node->request[0] = '\0';
  return found;
}

static void
answer (Node *node, int status, int64_t era, const char *body)
{
  char text[1024];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 %d X\r\nStore-Era: %lld\r\nContent-Length: %zu\r\n\r\n%s", status,
                      (long long)era, strlen (body), body);

  CU_ASSERT_EQUAL (write (node->connection, text, (size_t)len), len);
}

/* The store has given out the known version again before the front asks, so that its answer is no
 * 410. Its changes must not be applied to what was known before: those up to that version are
 * missing in it. */
static void
test_answer_of_new_era_is_read_again (void)
{
  Node *node = node_new ();

  store_watch_poll (node->watch);
  CU_ASSERT (expect_request (node, "SinceRev=50"));
  answer (node, 200, 2, "{\"Rows\":[],\"Ver\":55}");
  CU_ASSERT (expect_request (node, "/v1/rows-get"));
  CU_ASSERT_EQUAL (node->watch->table.version, store_version (1, KNOWN));
  answer (node, 200, 2, "{\"Rows\":[{\"Key\":\"x\",\"Value\":\"MQ==\",\"Ver\":7}],\"Ver\":56}");
  CU_ASSERT (expect_request (node, "SinceRev=56"));
  CU_ASSERT_EQUAL (node->watch->table.version, store_version (2, 56));
  CU_ASSERT (store_era_is_settling (node->watch));
  node_free (node);
}

/* The era rises between two pages of a table, which must not be put together. */
static void
test_pages_of_two_eras_are_not_mixed (void)
{
  Node *node = node_new ();

  node->watch->loaded = false;
  store_watch_poll (node->watch);
  CU_ASSERT (expect_request (node, "/v1/rows-get"));
  answer (
      node, 200, 1,
      "{\"Rows\":[{\"Key\":\"x\",\"Value\":\"MQ==\",\"Ver\":7}],\"Ver\":60,\"MorePages\":true}");
  CU_ASSERT (expect_request (node, "From=x"));
  answer (node, 200, 2, "{\"Rows\":[{\"Key\":\"y\",\"Value\":\"MQ==\",\"Ver\":8}],\"Ver\":56}");
  CU_ASSERT (expect_request (node, "Limit=500 HTTP"));
  CU_ASSERT_EQUAL (node->watch->pages.count, 0);
  node_free (node);
}

/* Another table's answer has shown the new era. A poll from a version of before would wait for
 * seconds, without an answer that tells so. */
static void
test_no_poll_from_an_earlier_era (void)
{
  Node *node = node_new ();

  node->store.era = 2;
  store_watch_poll (node->watch);
  CU_ASSERT (expect_request (node, "/v1/rows-get"));
  node_free (node);
}

/* A store that answers 410 to each poll must not be read without pause: six fronts called it 1,300
 * times a second. */
static void
test_reads_of_a_whole_table_have_a_pause (void)
{
  Node *node = node_new ();

  store_watch_poll (node->watch);
  CU_ASSERT (expect_request (node, "SinceRev=50"));
  answer (node, 410, 1, "{}");
  CU_ASSERT (expect_request (node, "/v1/rows-get"));
  answer (node, 200, 1, "{\"Rows\":[],\"Ver\":50}");
  CU_ASSERT (expect_request (node, "SinceRev=50"));
  answer (node, 410, 1, "{}");
  while (node->watch->loaded)
    event_base_loop (node->front.base, EVLOOP_ONCE);
  CU_ASSERT_FALSE (front_channel_is_pending (node->watch->channel));
  CU_ASSERT (expect_request (node, "/v1/rows-get"));
  node_free (node);
}

static void
apply_server (Node *node, const char *value, int64_t version)
{
  StoreRow row = { .key = (char *)(uintptr_t) "i-1",
                   .value = (char *)(uintptr_t)value,
                   .value_len = strlen (value),
                   .version = version };

  store_apply_server (&node->store, &row);
}

static void
apply_operator (Node *node, const char *key, const char *value, int64_t version)
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
  Node *node = node_new ();
  Watch *watch = &node->store.watches[STORE_SERVERS];
  char cold[300], warm[300];
  const FrontServer *server;

  snprintf (cold, sizeof cold, entry, 20000);
  snprintf (warm, sizeof warm, entry, 0);
  CDS_INIT_LIST_HEAD (&node->front.requests);
  watch->store = &node->store;
  watch->id = STORE_SERVERS;
  watch->table.version = store_version (1, KNOWN);
  apply_server (node, cold, store_version (1, 40));
  server = front_servers_find (node->front.servers, "i-1");
  if (!server)
    {
      CU_FAIL ("the server is not listed");
      node_free (node);
      return;
    }
  store_era_begin (watch, store_version (2, 30));
  apply_server (node, warm, store_version (2, 30));
  CU_ASSERT (server->cold_until_ms > clock_boot_ms () + 10000);
  store_era_tick (watch, watch->era_began_ms + STORE_RELIST_MS);
  apply_server (node, warm, store_version (2, 31));
  CU_ASSERT (server->cold_until_ms <= clock_boot_ms ());
  node_free (node);
}

static const char order_v2[] = "{\"Service\":\"drafts\",\"Target\":\"v2\",\"RampS\":20}";
static const char order_v3[] = "{\"Service\":\"drafts\",\"Target\":\"v3\",\"RampS\":20}";

/* Until the operator has written again, the store may lack an order or have an earlier one. A
 * running roll-out must not end or begin anew for that; what the store has after that counts. */
static void
test_orders_are_kept_while_an_era_settles (void)
{
  Node *node = node_new ();
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
  node_free (node);
}

/* The store has lost the status of a finished roll-out, or has an earlier one. It must be written
 * again: the operator waits for it, and a front that starts would begin the roll-out anew. */
static void
test_lost_final_status_is_written_again (void)
{
  Node *node = node_new ();
  FrontRollout *rollout = front_rollouts_get (node->front.rollouts, "drafts");

  apply_operator (node, "rollout/drafts", order_v2, store_version (1, 40));
  front_rollouts_apply_status (rollout, "v2", FRONT_ROLLOUT_COMPLETED, store_version (1, 45), 0);
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT_FALSE (rollout->has_verdict);
  front_rollouts_apply_status (rollout, "v2", FRONT_ROLLOUT_RUNNING, store_version (2, 41), 0);
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT (rollout->has_verdict);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_COMPLETED);
  CU_ASSERT_EQUAL (rollout->state, FRONT_ROLLOUT_COMPLETED);
  front_rollouts_apply_status (rollout, "v2", FRONT_ROLLOUT_COMPLETED, store_version (2, 50), 0);
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT_FALSE (rollout->has_verdict);
  front_rollouts_status_removed (node->front.rollouts, "drafts");
  front_rollout_update_verdict (rollout, clock_boot_ms ());
  CU_ASSERT (rollout->has_verdict);
  node_free (node);
}

/* The list of fronts may have lost this one, which has to register again. */
static void
test_front_registers_again (void)
{
  Node *node = node_new ();

  front_peers_set_registered (&node->peers, true);
  CU_ASSERT (store_era_note (&node->store, 1));
  CU_ASSERT (front_peers_is_registered (&node->peers));
  CU_ASSERT (store_era_note (&node->store, 2));
  CU_ASSERT_FALSE (front_peers_is_registered (&node->peers));
  CU_ASSERT_FALSE (store_era_note (&node->store, 1));
  CU_ASSERT (store_era_note (&node->store, 0));
  CU_ASSERT_EQUAL (node->store.era, 2);
  node_free (node);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "answer_of_new_era_is_read_again", test_answer_of_new_era_is_read_again },
    { "pages_of_two_eras_are_not_mixed", test_pages_of_two_eras_are_not_mixed },
    { "no_poll_from_an_earlier_era", test_no_poll_from_an_earlier_era },
    { "reads_of_a_whole_table_have_a_pause", test_reads_of_a_whole_table_have_a_pause },
    { "cold_server_stays_cold_while_an_era_settles",
      test_cold_server_stays_cold_while_an_era_settles },
    { "orders_are_kept_while_an_era_settles", test_orders_are_kept_while_an_era_settles },
    { "lost_final_status_is_written_again", test_lost_final_status_is_written_again },
    { "front_registers_again", test_front_registers_again },
  };

  return suite_main (argc, argv, "front_era", cases, SUITE_COUNT (cases));
}
