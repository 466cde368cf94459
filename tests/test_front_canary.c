/** Servers that are loaded on purpose during a roll-out: src/front_canary.c, front_pick.c. */
#include "front_call.h"
#include "front_canary.h"
#include "front_pick.h"
#include "suite.h"
#include <stdio.h>
#include <string.h>

#define NOW         100000 /* milliseconds */
#define DURATION_MS 24000
#define SERVERS     18
#define SLOTS       48
#define FRONTS      9
#define FIRST_STAGE (NOW + 6000)
#define LOADING     (NOW + 13000) /* in the second stage */
#define ALL_MOVED   (NOW + 18500)

static FrontServers *servers;
static FrontSessions *sessions;
static FrontRollouts *rollouts;
static FrontRollout *rollout;

static void
add (unsigned number, const char *version)
{
  ServerEntry entry = { .slots = SLOTS };
  bool changed;

  snprintf (entry.id, sizeof entry.id, "%s-%u", version, number);
  snprintf (entry.service, sizeof entry.service, "drafts");
  snprintf (entry.address, sizeof entry.address, "10.0.0.1:80");
  snprintf (entry.version, sizeof entry.version, "%s", version);
  front_servers_set (servers, &entry, NOW, &changed);
}

static void
setup (void)
{
  RolloutOrder order
      = { .service = "drafts", .target = "v2", .duration_ms = DURATION_MS, .row_version = 10 };

  if (servers)
    {
      front_rollouts_free (rollouts);
      front_sessions_free (sessions);
      front_servers_free (servers);
    }
  servers = front_servers_new ("here");
  sessions = front_sessions_new (6000);
  rollouts = front_rollouts_new (sessions, 1);
  for (unsigned i = 0; i < SERVERS; i++)
    add (i, "v1");
  front_rollouts_find_base (rollouts, servers);
  rollout = front_rollouts_get (rollouts, "drafts");
  CU_ASSERT (front_rollouts_apply_order (rollouts, servers, &order, NOW));
  for (unsigned i = 0; i < SERVERS; i++)
    add (i, "v2");
}

/* Number of the new version's servers that get its work at that moment, if this front runs so many
 * requests on average. */
static unsigned
loaded_servers (unsigned running, int64_t now_ms)
{
  CanaryLoad load = { .running = running, .fronts = FRONTS };
  FrontServer *server;
  uint64_t max;
  unsigned count = 0;

  front_canary_update (rollout, servers, &load, FIRST_STAGE);
  front_canary_update (rollout, servers, &load, now_ms);
  max = front_canary_hash_max (rollout, "v2", now_ms);
  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    count += strcmp (server->entry.version, "v2") == 0 && server->hash <= max;
  }
  return count;
}

/* Guards against a second stage whose work is spread thinly, and shows nothing of what a version
 * does under load: half of 108 requests in progress are to take 65% of the slots. */
static void
test_second_stage_loads_few_servers (void)
{
  setup ();
  CU_ASSERT_EQUAL (loaded_servers (12, FIRST_STAGE), SERVERS);
  setup ();
  CU_ASSERT_EQUAL (loaded_servers (12, LOADING), 2);
  setup ();
  CU_ASSERT_EQUAL (loaded_servers (0, LOADING), 1);
  setup ();
  CU_ASSERT_EQUAL (loaded_servers (12, ALL_MOVED), SERVERS);
}

/* Guards against a bad version that is completed after fronts were killed: one that starts within
 * the second stage would spread the new version's work, and no server would be loaded. */
static void
test_front_that_starts_in_the_second_stage_loads_servers (void)
{
  CanaryLoad load = { .running = 12, .fronts = FRONTS };
  FrontServer *server;
  unsigned count = 0;

  setup ();
  for (int64_t now_ms = LOADING; now_ms < LOADING + 1000; now_ms += 100)
    front_canary_update (rollout, servers, &load, now_ms);
  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    count += strcmp (server->entry.version, "v2") == 0
             && server->hash <= front_canary_hash_max (rollout, "v2", LOADING + 1000);
  }
  CU_ASSERT_EQUAL (count, 2);
}

/* Guards against loading servers beyond their slots where the old version's are loaded as much. */
static void
test_loaded_service_uses_all_servers (void)
{
  setup ();
  CU_ASSERT (loaded_servers (90, LOADING) >= 13);
}

static void
test_enough_answers_end_the_load (void)
{
  FrontEvidence *evidence;
  EvidenceAnswer answer
      = { .side = EVIDENCE_NEW, .loaded = true, .first_ms = 50, .predicted_ms = 60 };

  setup ();
  evidence = &rollout->evidence;
  CU_ASSERT_EQUAL (loaded_servers (12, LOADING), 2);
  for (unsigned i = 0; i < 300; i++)
    front_evidence_add (evidence, &answer);
  front_rollout_update_verdict (rollout, LOADING + 100);
  CU_ASSERT_EQUAL (loaded_servers (12, LOADING + 200), SERVERS);
}

/* Guards against a version that fails under load and is completed: its servers got little work at
 * first, as fronts had just been killed, and as their answers began to fail, too few for a verdict,
 * they were no longer loaded. */
static void
test_failed_answers_prolong_the_load (void)
{
  EvidenceAnswer answer
      = { .side = EVIDENCE_NEW, .loaded = true, .first_ms = 50, .predicted_ms = 60 };

  setup ();
  CU_ASSERT_EQUAL (loaded_servers (12, LOADING), 2);
  for (unsigned i = 0; i < 300; i++)
    {
      EvidenceAnswer old = { .side = EVIDENCE_OLD, .first_ms = 50, .predicted_ms = 60 };

      answer.failed = i >= 297;
      front_evidence_add (&rollout->evidence, &answer);
      front_evidence_add (&rollout->evidence, &old);
    }
  front_rollout_update_verdict (rollout, LOADING + 100);
  CU_ASSERT_FALSE (rollout->is_bad);
  CU_ASSERT_EQUAL (loaded_servers (12, LOADING + 200), 2);
  CU_ASSERT_EQUAL (loaded_servers (12, ALL_MOVED), SERVERS);
}

/* The old version's work, and that of other services, is not concentrated; nor is the new one's
 * when the loaded servers are in trouble. */
static void
test_choice_prefers_loaded_servers (void)
{
  FrontCall call = { 0 };
  PickQuery query = { .service = "drafts", .version = "v2", .call = &call };
  FrontServer *first, *other;

  setup ();
  CU_ASSERT_EQUAL (loaded_servers (0, LOADING), 1);
  query.canary_hash_max = front_canary_hash_max (rollout, "v2", LOADING);
  first = front_pick (servers, &query, LOADING).server;
  CU_ASSERT_PTR_NOT_NULL (first);
  if (!first)
    return;
  CU_ASSERT (first->hash <= query.canary_hash_max);
  for (unsigned i = 0; i < 4; i++)
    front_health_unreachable (&first->health, LOADING);
  other = front_pick (servers, &query, LOADING).server;
  CU_ASSERT (other && other->hash > query.canary_hash_max);
  CU_ASSERT_EQUAL (front_canary_hash_max (rollout, "v1", LOADING), UINT64_MAX);
}

/* Guards against leaving a server that gets the new version's work after a few failures, which it
 * was loaded to show: three fronts had counted five by then, one too few to stop the version. Each
 * second request fails. */
static void
test_failures_do_not_end_the_load (void)
{
  FrontCall call = { 0 };
  PickQuery query = { .service = "drafts", .version = "v2", .call = &call, .slots = SLOTS };
  FrontServer *first;

  setup ();
  CU_ASSERT_EQUAL (loaded_servers (0, LOADING), 1);
  query.canary_hash_max = front_canary_hash_max (rollout, "v2", LOADING);
  first = front_pick (servers, &query, LOADING).server;
  CU_ASSERT_PTR_NOT_NULL (first);
  if (!first)
    return;
  for (unsigned i = 0; i < 6; i++)
    {
      front_health_answered (&first->health, LOADING, 60, 60);
      front_health_failed (&first->health, LOADING);
      CU_ASSERT_PTR_EQUAL (front_pick (servers, &query, LOADING).server, first);
    }
  first->running = SLOTS + 2;
  CU_ASSERT (front_pick (servers, &query, LOADING).server != first);
  first->running = 0;
  front_health_failed (&first->health, LOADING);
  CU_ASSERT (front_pick (servers, &query, LOADING).server != first);
}

static const SuiteCase cases[] = {
  { "second_stage_loads_few_servers", test_second_stage_loads_few_servers },
  { "front_that_starts_in_the_second_stage_loads_servers",
    test_front_that_starts_in_the_second_stage_loads_servers },
  { "loaded_service_uses_all_servers", test_loaded_service_uses_all_servers },
  { "enough_answers_end_the_load", test_enough_answers_end_the_load },
  { "failed_answers_prolong_the_load", test_failed_answers_prolong_the_load },
  { "choice_prefers_loaded_servers", test_choice_prefers_loaded_servers },
  { "failures_do_not_end_the_load", test_failures_do_not_end_the_load },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_canary", cases, SUITE_COUNT (cases));
}
