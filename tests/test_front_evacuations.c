/** Ends of evacuations: src/front_evacuations.c, front_servers.c. */
#include "front.h"
#include "front_node.h"
#include "front_servers.h"
#include "suite.h"
#include "util_clock.h"
#include <stdio.h>
#include <string.h>

#define NOW 100000

static FrontServers *servers;

static void
setup (void)
{
  front_servers_free (servers);
  servers = front_servers_new ("a");
}

static const FrontServer *
list_server (const char *id, const char *domain)
{
  ServerEntry entry = { .born_ms = 1 };
  bool changed;

  snprintf (entry.id, sizeof entry.id, "%s", id);
  snprintf (entry.address, sizeof entry.address, "10.0.0.1:80");
  snprintf (entry.failure_domain, sizeof entry.failure_domain, "%s", domain);
  CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
  return front_servers_find (servers, id);
}

static bool
is_told (const char *domain, int64_t version, int64_t at_ms, int64_t now_ms)
{
  const EvacuationEnd end = { .domain = front_failure_domain_hash (domain),
                              .at_ms = at_ms,
                              .version = version,
                              .is_second_hand = true };

  return front_servers_evacuation_ended (servers, &end, now_ms);
}

/* Guards against a front that takes servers for warm if it is told of the end before it has them.
 */
static void
test_told_end_applies_to_all_servers_of_the_domain (void)
{
  const FrontServer *before, *other, *after;

  setup ();
  before = list_server ("i-1", "b");
  other = list_server ("i-2", "c");
  CU_ASSERT (is_told ("b", 5, NOW - 200, NOW));
  after = list_server ("i-3", "b");
  CU_ASSERT_EQUAL (before->returned_ms, NOW - 200);
  CU_ASSERT_EQUAL (other->returned_ms, 0);
  CU_ASSERT_EQUAL (after->returned_ms, NOW - 200);
}

/* Guards against ends that seem later with each transfer or at a front that was frozen, and against
 * a late report that ends an order which is in force. */
static void
test_told_ends_that_do_not_count (void)
{
  const FrontServer *server;

  setup ();
  server = list_server ("i-1", "b");
  CU_ASSERT_FALSE (is_told ("b", 5, NOW - EVACUATION_REPORT_MS, NOW));
  CU_ASSERT (is_told ("b", 5, NOW - 200, NOW));
  CU_ASSERT_FALSE (is_told ("b", 5, NOW + 9000, NOW + 9000));
  CU_ASSERT_EQUAL (server->returned_ms, NOW - 200);
  CU_ASSERT (is_told ("b", 7, NOW + 9000, NOW + 9000));
  front_servers_evacuate (servers, "b", true, 8, NOW + 10000);
  CU_ASSERT_FALSE (is_told ("b", 9, NOW + 10000, NOW + 10100));
  CU_ASSERT (server->evacuated);
  front_servers_evacuate (servers, "b", false, 11, NOW + 10200);
  CU_ASSERT_FALSE (is_told ("b", 11, NOW + 20000, NOW + 20000));
  CU_ASSERT_EQUAL (server->returned_ms, NOW + 10200);
}

/* Only what was read from rows is told, and until entries show that their servers are cold. */
static void
test_ends_that_are_told_to_others (void)
{
  EvacuationEnd ends[4];

  setup ();
  front_servers_evacuate (servers, "b", true, 4, NOW);
  CU_ASSERT_EQUAL (front_servers_evacuation_ends (servers, ends, 4, NOW), 0);
  front_servers_evacuate (servers, "b", false, 6, NOW + 1000);
  CU_ASSERT (is_told ("c", 5, NOW + 1000, NOW + 1000));
  CU_ASSERT_EQUAL (front_servers_evacuation_ends (servers, ends, 4, NOW + 1100), 1);
  CU_ASSERT_EQUAL (ends[0].domain, front_failure_domain_hash ("b"));
  CU_ASSERT_EQUAL (ends[0].at_ms, NOW + 1000);
  CU_ASSERT_EQUAL (ends[0].version, 6);
  CU_ASSERT_EQUAL (
      front_servers_evacuation_ends (servers, ends, 4, NOW + 1000 + EVACUATION_REPORT_MS), 0);
}

/* Guards against a front that keeps an end to itself until a new era of the store has settled. */
static void
test_end_is_told_while_the_order_stays_in_force (void)
{
  const FrontServer *server;
  EvacuationEnd ends[4];

  setup ();
  server = list_server ("i-1", "b");
  front_servers_evacuation_may_end (servers, "b", 6, NOW);
  CU_ASSERT_EQUAL (front_servers_evacuation_ends (servers, ends, 4, NOW), 0);
  front_servers_evacuate (servers, "b", true, 4, NOW);
  front_servers_evacuation_may_end (servers, "b", 6, NOW);
  CU_ASSERT_EQUAL (front_servers_evacuation_ends (servers, ends, 4, NOW), 1);
  CU_ASSERT (server->evacuated);
  CU_ASSERT_EQUAL (server->returned_ms, 0);
  front_servers_evacuate (servers, "b", false, 6, NOW + 2200);
  CU_ASSERT_FALSE (server->evacuated);
  CU_ASSERT_EQUAL (server->returned_ms, NOW + 2200);
}

/* Guards against a front that gets no answer of the store while an order is given and ends, and
 * then sees neither: of the row only its removal is left. */
static void
test_removal_of_an_unknown_order_ends_it (void)
{
  static const char entry[]
      = "{\"Service\":\"drafts\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"b\","
        "\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1}";
  static const char removal[]
      = "{\"Rows\":[{\"Key\":\"evacuate/%s\",\"Ver\":%d,\"Tombstone\":true}],\"Ver\":%d}";
  static const struct
  {
    const char *domain;
    int version;
    bool returns;
  } answers[] = { { "c", 51, false }, { "b", NODE_KNOWN, false }, { "b", 52, true } };

  for (size_t i = 0; i < SUITE_COUNT (answers); i++)
    {
      FrontNode *node = front_node_new ();
      StoreRow row = { .key = (char *)(uintptr_t) "i-1",
                       .value = (char *)(uintptr_t)entry,
                       .value_len = strlen (entry),
                       .version = 9 };
      const FrontServer *server;
      char body[200];

      CDS_INIT_LIST_HEAD (&node->front.requests);
      store_apply_server (&node->store, &row);
      server = front_servers_find (node->front.servers, "i-1");
      CU_ASSERT_FATAL (server != NULL);
      snprintf (body, sizeof body, removal, answers[i].domain, answers[i].version, 53);
      store_watch_poll (node->watch);
      CU_ASSERT (front_node_expect (node, "SinceRev=50"));
      front_node_answer (node, 200, 1, body);
      CU_ASSERT (front_node_expect (node, "SinceRev=53"));
      CU_ASSERT_EQUAL (server && server->returned_ms != 0, answers[i].returns);
      front_node_free (node);
    }
}

/* Guards against fronts that were all without the store through order and end, and of which each
 * goes on sending to cold servers until it has read the removal itself. One that was frozen for
 * long tells nothing. */
static void
test_unseen_removal_is_told_to_others (void)
{
  static const struct
  {
    int64_t since_ms; /* the last answer of the store, before now; 0: from another front */
    unsigned told;
  } cases[] = { { 2500, 1 }, { 60000, 0 }, { 0, 0 } };
  StoreRow row = { .key = (char *)(uintptr_t) "evacuate/b", .removed = true };

  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    {
      FrontNode *node = front_node_new ();
      int64_t now_ms = clock_boot_ms ();
      StoreAnswer changes = { .rows = &row, .count = 1 };
      EvacuationEnd ends[4];

      row.version = store_version (1, 52);
      store_apply_unseen_ends (&node->store, STORE_OPERATOR, &changes,
                               cases[i].since_ms ? now_ms - cases[i].since_ms : 0);
      CU_ASSERT_EQUAL (front_servers_evacuation_ends (node->front.servers, ends, 4, now_ms + 100),
                       cases[i].told);
      front_node_free (node);
    }
}

static void
test_more_domains_than_are_kept (void)
{
  char domain[16];

  setup ();
  for (int i = 0; i <= FRONT_DOMAINS_MAX; i++)
    {
      snprintf (domain, sizeof domain, "d%d", i);
      CU_ASSERT (is_told (domain, 5, NOW + i, NOW + i));
    }
  CU_ASSERT_EQUAL (list_server ("i-1", "d0")->returned_ms, 0);
  CU_ASSERT_EQUAL (list_server ("i-2", "d1")->returned_ms, NOW + 1);
  CU_ASSERT_EQUAL (list_server ("i-3", domain)->returned_ms, NOW + FRONT_DOMAINS_MAX);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "told_end_applies_to_all_servers_of_the_domain",
      test_told_end_applies_to_all_servers_of_the_domain },
    { "told_ends_that_do_not_count", test_told_ends_that_do_not_count },
    { "ends_that_are_told_to_others", test_ends_that_are_told_to_others },
    { "end_is_told_while_the_order_stays_in_force",
      test_end_is_told_while_the_order_stays_in_force },
    { "removal_of_an_unknown_order_ends_it", test_removal_of_an_unknown_order_ends_it },
    { "unseen_removal_is_told_to_others", test_unseen_removal_is_told_to_others },
    { "more_domains_than_are_kept", test_more_domains_than_are_kept },
  };
  int status;

  servers = front_servers_new ("a");
  status = suite_main (argc, argv, "front_evacuations", cases, SUITE_COUNT (cases));
  front_servers_free (servers);
  return status;
}
