/** Reports about a backend server, which arrive in any order: src/front_servers.c,
 *  front_server_starts.c. */
#include "front_server_starts.h"
#include "front_servers.h"
#include "suite.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#define NOW 100000 /* milliseconds */

static ServerEntry
entry_of (const char *id)
{
  ServerEntry entry = { .service = "drafts",
                        .address = "10.0.0.1:80",
                        .failure_domain = "hall",
                        .version = "v1",
                        .slots = 8 };

  snprintf (entry.id, sizeof entry.id, "%s", id);
  return entry;
}

/* A report about one id; reports may arrive in any order. */
typedef struct
{
  int64_t born_ms;
  bool draining;
  bool removed;
} Report;

#define FIRST_START_MS 1796000000000

static bool
apply_report (FrontServers *servers, const Report *report, int64_t now_ms)
{
  ServerEntry entry = entry_of ("a");
  bool changed;

  if (report->removed)
    {
      front_servers_remove (servers, "a", now_ms, 0);
      return false;
    }
  entry.born_ms = report->born_ms;
  entry.draining = report->draining;
  snprintf (entry.address, sizeof entry.address, "10.0.0.%d:80",
            (int)(report->born_ms - FIRST_START_MS));
  CU_ASSERT (front_servers_set (servers, &entry, now_ms, &changed));
  return changed;
}

/* A server drains or crashes and restarts under its id. If the front kept the address, the health
 * and the prompt cache of the earlier start, callers would get no answer or a stalled stream, or
 * the server would get no work at all, as if it still drained. */
static void
test_later_start_replaces_earlier (void)
{
  static const Report first = { FIRST_START_MS + 1, false, false },
                      drains = { FIRST_START_MS + 1, true, false },
                      second = { FIRST_START_MS + 2, false, false };
  FrontCall sent = { .part_count = 2, .parts = { { .id = 5, .tokens = 700 }, { .id = 6 } } };
  FrontServers *servers = front_servers_new ("here");
  FrontServer *before, *after;

  apply_report (servers, &first, NOW);
  before = front_servers_find (servers, "a");
  front_server_ref (before);
  front_health_unreachable (&before->health, NOW);
  before->pending_ms = 700;
  front_prompts_sent (&before->prompts, &sent, 1, NOW);
  apply_report (servers, &drains, NOW);
  CU_ASSERT (apply_report (servers, &second, NOW));
  after = front_servers_find (servers, "a");
  CU_ASSERT_PTR_NOT_EQUAL (after, before);
  CU_ASSERT (before->restarted);
  CU_ASSERT_EQUAL (front_server_state (before, NOW), FRONT_SERVER_GONE);
  CU_ASSERT_EQUAL (front_server_state (after, NOW), FRONT_SERVER_READY);
  CU_ASSERT_EQUAL (after->pending_ms, 0);
  CU_ASSERT_EQUAL (front_prompts_cached (&after->prompts, &sent, 1, NOW, 1000), 0);
  CU_ASSERT_EQUAL (ntohl (after->address.sin_addr.s_addr) & 0xff, 2);
  CU_ASSERT_NOT_EQUAL (after->hash, before->hash);
  CU_ASSERT_EQUAL (front_servers_count (servers), 1);

  /* Late reports of the first start change nothing for the second. */
  CU_ASSERT_FALSE (apply_report (servers, &drains, NOW));
  CU_ASSERT_FALSE (apply_report (servers, &first, NOW));
  CU_ASSERT_PTR_EQUAL (front_servers_find (servers, "a"), after);
  CU_ASSERT_EQUAL (front_server_state (after, NOW), FRONT_SERVER_READY);
  front_server_unref (before);
  front_servers_free (servers);
}

/* A report sent before its server drained and left arrives after the removal. */
static void
test_late_report_does_not_revive (void)
{
  static const Report ready = { FIRST_START_MS + 1, false, false },
                      drains = { FIRST_START_MS + 1, true, false }, removal = { .removed = true },
                      second_start = { FIRST_START_MS + 2, false, false };
  FrontServers *servers = front_servers_new ("here");

  apply_report (servers, &ready, NOW);
  apply_report (servers, &removal, NOW);
  apply_report (servers, &ready, NOW); /* its entry had expired, and is back */
  CU_ASSERT_PTR_NOT_NULL (front_servers_find (servers, "a"));
  apply_report (servers, &drains, NOW);
  apply_report (servers, &removal, NOW);
  apply_report (servers, &ready, NOW);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  apply_report (servers, &second_start, NOW);
  CU_ASSERT_PTR_NOT_NULL (front_servers_find (servers, "a"));
  apply_report (servers, &removal, NOW);
  apply_report (servers, &drains, NOW);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  front_servers_free (servers);
}

/* Guards against work for a server that said in an answer that it leaves: the list may say ready
 * for long, lose the entry and get it back, but a later start of the id takes work again. */
static void
test_said_leaving_outlasts_the_list (void)
{
  static const Report ready = { FIRST_START_MS + 1, false, false }, removal = { .removed = true },
                      second_start = { FIRST_START_MS + 2, false, false };
  FrontServers *servers = front_servers_new ("here");
  FrontServer *server;

  apply_report (servers, &ready, NOW);
  server = front_servers_find (servers, "a");
  CU_ASSERT (front_servers_said_leaving (server));
  CU_ASSERT_FALSE (front_servers_said_leaving (server));
  CU_ASSERT_EQUAL (front_server_state (server, NOW), FRONT_SERVER_LEAVING);
  apply_report (servers, &ready, NOW);
  CU_ASSERT_EQUAL (front_server_state (server, NOW), FRONT_SERVER_LEAVING);
  apply_report (servers, &removal, NOW);
  apply_report (servers, &ready, NOW);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  apply_report (servers, &second_start, NOW);
  CU_ASSERT_EQUAL (front_server_state (front_servers_find (servers, "a"), NOW), FRONT_SERVER_READY);
  front_servers_free (servers);
}

/* The answer that says so arrives after the entry was removed: from the same start, which is listed
 * again, or from an earlier one, of which the later start knows nothing. */
static void
test_late_answer_says_leaving (void)
{
  static const Report ready = { FIRST_START_MS + 1, false, false }, removal = { .removed = true },
                      second_start = { FIRST_START_MS + 2, false, false };
  FrontServers *servers = front_servers_new ("here");
  FrontServer *first, *again;

  apply_report (servers, &ready, NOW);
  first = front_servers_find (servers, "a");
  front_server_ref (first);
  apply_report (servers, &removal, NOW);
  apply_report (servers, &ready, NOW);
  again = front_servers_find (servers, "a");
  CU_ASSERT_PTR_NOT_EQUAL (again, first);
  CU_ASSERT (front_servers_said_leaving (front_servers_current (first)));
  CU_ASSERT_EQUAL (front_server_state (again, NOW), FRONT_SERVER_LEAVING);
  front_server_ref (again);
  apply_report (servers, &second_start, NOW);
  CU_ASSERT (front_servers_said_leaving (first));
  CU_ASSERT_EQUAL (front_server_state (front_servers_find (servers, "a"), NOW), FRONT_SERVER_READY);
  front_server_unref (again);
  front_server_unref (first);
  front_servers_free (servers);
}

/* Guards against a limit that is forgotten while the server's entry is away: the same start has it
 * still when it is listed again, also if the answer that named it came meanwhile; a later start
 * and, after a minute, the same one have not. */
static void
test_limit_outlasts_the_entry (void)
{
  static const Report ready = { FIRST_START_MS + 1, false, false }, removal = { .removed = true },
                      second_start = { FIRST_START_MS + 2, false, false };
  FrontServers *servers = front_servers_new ("here");
  FrontServer *server;

  apply_report (servers, &ready, NOW);
  server_limit_named (&front_servers_find (servers, "a")->limit, 3, NOW);
  apply_report (servers, &removal, NOW);
  front_servers_expire (servers, NOW + 30000);
  apply_report (servers, &ready, NOW + 30000);
  server = front_servers_find (servers, "a");
  CU_ASSERT_EQUAL (front_servers_count (servers), 1);
  CU_ASSERT (server->limit.is_named);
  CU_ASSERT_EQUAL (server->limit.per_s, 3);
  front_server_ref (server);
  apply_report (servers, &removal, NOW + 30000);
  server_limit_named (&front_servers_current (server)->limit, 2, NOW + 30001);
  apply_report (servers, &ready, NOW + 30002);
  CU_ASSERT_EQUAL (front_servers_find (servers, "a")->limit.per_s, 2);
  server_limit_named (&front_servers_current (server)->limit, 1, NOW + 30003);
  CU_ASSERT_EQUAL (front_servers_find (servers, "a")->limit.per_s, 1);
  front_server_unref (server);
  apply_report (servers, &removal, NOW + 30004);
  front_servers_expire (servers, NOW + 200000);
  apply_report (servers, &ready, NOW + 200000);
  CU_ASSERT_FALSE (front_servers_find (servers, "a")->limit.is_named);
  server_limit_named (&front_servers_find (servers, "a")->limit, 3, NOW + 200000);
  apply_report (servers, &second_start, NOW + 200001);
  CU_ASSERT_FALSE (front_servers_find (servers, "a")->limit.is_named);
  CU_ASSERT_EQUAL (front_servers_count (servers), 1);
  front_servers_free (servers);
}

/* Guards against a rest that is cut short when the server's entry goes and comes back. */
static void
test_rest_outlasts_the_entry (void)
{
  static const Report ready = { FIRST_START_MS + 1, false, false }, removal = { .removed = true },
                      second_start = { FIRST_START_MS + 2, false, false };
  FrontServers *servers = front_servers_new ("here");

  apply_report (servers, &ready, NOW);
  front_server_rest (front_servers_find (servers, "a"), 3000, NOW);
  apply_report (servers, &removal, NOW + 100);
  apply_report (servers, &ready, NOW + 200);
  CU_ASSERT_EQUAL (front_server_state (front_servers_find (servers, "a"), NOW + 2999),
                   FRONT_SERVER_RESTING);
  CU_ASSERT_EQUAL (front_server_state (front_servers_find (servers, "a"), NOW + 3000),
                   FRONT_SERVER_READY);
  apply_report (servers, &second_start, NOW + 300);
  CU_ASSERT_EQUAL (front_server_state (front_servers_find (servers, "a"), NOW + 300),
                   FRONT_SERVER_READY);
  front_servers_free (servers);
}

/* Reports of three starts in any order, some lost, some repeated. The server in use must never be
 * of an earlier start than one that was reported, must be leaving exactly if that start has
 * reported that it drains, and must have the address of its own start. */
static void
test_reports_in_any_order (void)
{
  enum
  {
    RUNS = 2000,
    REPORTS = 30,
    STARTS = 3,
  };
  unsigned seed = 1;

  for (unsigned run = 0; run < RUNS; run++)
    {
      FrontServers *servers = front_servers_new ("here");
      int64_t newest = 0;
      bool drained[STARTS + 1] = { false };

      for (unsigned i = 0; i < REPORTS; i++)
        {
          int start = 1 + rand_r (&seed) % STARTS;
          Report report
              = { FIRST_START_MS + start, rand_r (&seed) % 4 == 0, rand_r (&seed) % 8 == 0 };
          const FrontServer *server;

          apply_report (servers, &report, NOW + i);
          if (!report.removed && start >= newest)
            {
              newest = start;
              drained[start] |= report.draining;
            }
          server = front_servers_find (servers, "a");
          if (!server)
            continue;
          CU_ASSERT_EQUAL (server->entry.born_ms, FIRST_START_MS + newest);
          CU_ASSERT_EQUAL (ntohl (server->address.sin_addr.s_addr) & 0xff, newest);
          CU_ASSERT_EQUAL (front_server_state (server, NOW + i) == FRONT_SERVER_LEAVING,
                           drained[newest]);
        }
      front_servers_free (servers);
    }
}

/* At a site of 10,000 servers each id's latest start is known, not only that of the id that was
 * reported last of those with the same slot: a late report of an earlier start must not restore a
 * process that has ended. */
static void
test_starts_of_10000_servers_are_known (void)
{
  enum
  {
    SERVERS = 10000
  };
  FrontServerStarts starts;
  unsigned restored = 0;

  front_server_starts_init (&starts);
  for (unsigned round = 0; round < 2; round++)
    {
      for (unsigned i = 0; i < SERVERS; i++)
        {
          ServerEntry entry = { .born_ms = FIRST_START_MS + 1 - round };

          snprintf (entry.id, sizeof entry.id, "server-%u", i);
          if (front_server_starts_accept (&starts, &entry, SERVERS))
            restored += round;
        }
    }
  CU_ASSERT_EQUAL (restored, 0);
  front_server_starts_clear (&starts);
}

/* Work messages name a server by its hash; each of some twenty a second would walk 10,000 servers
 * otherwise. A start that is over must not be found once it is freed. */
static void
test_server_is_found_by_hash (void)
{
  FrontServers *servers = front_servers_new ("here");
  static const Report first = { FIRST_START_MS + 1, false, false },
                      second = { FIRST_START_MS + 2, false, false };
  uint64_t hash;

  apply_report (servers, &first, NOW);
  hash = front_servers_find (servers, "a")->hash;
  CU_ASSERT_PTR_EQUAL (front_servers_find_hash (servers, hash), front_servers_find (servers, "a"));
  apply_report (servers, &second, NOW);
  CU_ASSERT_PTR_NULL (front_servers_find_hash (servers, hash));
  hash = front_servers_find (servers, "a")->hash;
  front_servers_remove (servers, "a", NOW, 500);
  front_servers_expire (servers, NOW + 499);
  CU_ASSERT_PTR_NOT_NULL (front_servers_find_hash (servers, hash));
  front_servers_expire (servers, NOW + 500);
  CU_ASSERT_PTR_NULL (front_servers_find_hash (servers, hash));
  front_servers_free (servers);
}

/* Servers come and go under new ids all the time. */
static void
test_memory_for_starts_is_bounded (void)
{
  FrontServerStarts starts;
  unsigned accepted = 0;

  front_server_starts_init (&starts);
  for (unsigned i = 0; i < 100000; i++)
    {
      ServerEntry entry = { .born_ms = FIRST_START_MS };

      snprintf (entry.id, sizeof entry.id, "server-%u", i);
      accepted += front_server_starts_accept (&starts, &entry, 1000);
    }
  CU_ASSERT_EQUAL (accepted, 100000);
  CU_ASSERT (starts.by_id.count <= 4 * 1000);
  front_server_starts_clear (&starts);
}

static const SuiteCase cases[] = {
  { "starts_of_10000_servers_are_known", test_starts_of_10000_servers_are_known },
  { "server_is_found_by_hash", test_server_is_found_by_hash },
  { "memory_for_starts_is_bounded", test_memory_for_starts_is_bounded },
  { "later_start_replaces_earlier", test_later_start_replaces_earlier },
  { "late_report_does_not_revive", test_late_report_does_not_revive },
  { "said_leaving_outlasts_the_list", test_said_leaving_outlasts_the_list },
  { "late_answer_says_leaving", test_late_answer_says_leaving },
  { "limit_outlasts_the_entry", test_limit_outlasts_the_entry },
  { "rest_outlasts_the_entry", test_rest_outlasts_the_entry },
  { "reports_in_any_order", test_reports_in_any_order },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_server_reports", cases, SUITE_COUNT (cases));
}
