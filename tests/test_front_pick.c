/** Choice of a server: src/front_pick.c, front_servers.c. */
#include "pick_world.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>

static void
test_prefers_same_domain (void)
{
  PickQuery query = query_of ("v1");

  setup ();
  call.part_count = 0; /* no shared prompt that would attract the request */
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("far", "there", "v1");
  add ("near", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "near");
  front_servers_find (servers, "near")->pending_ms = 5;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "near");
  front_servers_find (servers, "near")->pending_ms = 50;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "far");
}

/* Each of 50 fronts of a failure domain sees a fiftieth of what its 27 servers get, so that at any
 * moment some of them seem to have 20 ms more queued than one elsewhere. With a cost of 10 ms for
 * other domains, 40% of short questions would leave their domain, although their objective is two
 * seconds. The cost is 0.02 of the objectives of models, 2,000 and 3,000 ms; with the objective of
 * plain services, 150 ms, a server that is 15 ms faster is worth it. */
static void
test_crosses_domains_only_for_gain (void)
{
  static const struct
  {
    int64_t objective_ms;
    double near_ms;
    const char *picked;
  } loads[] = {
    { 2000, 20, "near" }, { 2000, 39, "near" }, { 2000, 45, "far" }, { 3000, 50, "near" },
    { 3000, 65, "far" },  { 150, 9, "near" },   { 150, 15, "far" },
  };

  for (size_t i = 0; i < SUITE_COUNT (loads); i++)
    {
      PickQuery query = query_of ("v1");

      setup ();
      call.part_count = 0;
      query.objective_ms = loads[i].objective_ms;
      add ("far", "there", "v1");
      add ("near", "here", "v1");
      front_servers_find (servers, "near")->pending_ms = loads[i].near_ms;
      CU_ASSERT_STRING_EQUAL (picked (&query, NOW), loads[i].picked);
    }
}

static void
test_filters_by_version_and_tried (void)
{
  PickQuery query = query_of ("v2");

  setup ();
  add ("a", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("bb", "there", "v2");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
  query.tried[query.tried_count++] = front_servers_find (servers, "bb")->hash;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
}

/* An engine reports that it drains, and an older heartbeat of it arrives later. It must get no new
 * work, which its end would cut off. */
static void
test_draining_is_final (void)
{
  PickQuery query = query_of ("v1");
  ServerEntry entry = entry_of ("a", "here", "v1");
  bool changed;

  setup ();
  add ("a", "here", "v1");
  entry.draining = true;
  front_servers_set (servers, &entry, NOW, &changed);
  CU_ASSERT (changed);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("a", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
}

/* The store is unavailable for seconds; entries of live engines expire and are back within two
 * seconds of its return. If they were removed at once, a whole service would have no engine
 * left. */
static void
test_lapsed_entries_have_grace (void)
{
  PickQuery query = query_of ("v1");

  setup ();
  add ("a", "here", "v1");
  front_servers_remove (servers, "a", NOW, 2200);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "a");
  add ("bb", "there", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "bb");
  front_servers_expire (servers, NOW + 2199);
  CU_ASSERT_PTR_NOT_NULL (front_servers_find (servers, "a"));
  front_servers_expire (servers, NOW + 2200);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  front_servers_remove (servers, "bb", NOW, 0);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "none");
}

/* A failure domain is evacuated during a burst. Its idle servers must not attract requests because
 * those of the other domain are loaded, full, failing or removed. */
static void
test_evacuated_domain_gets_nothing (void)
{
  PickQuery query = query_of ("v1");

  setup ();
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  add ("ccc", "there", "v1");
  CU_ASSERT (front_servers_evacuate (servers, "here", true, 1, NOW));
  CU_ASSERT (!front_servers_evacuate (servers, "here", true, 1, NOW));
  for (unsigned i = 0; i < 200; i++)
    {
      PickAnswer answer = front_pick (servers, &query, NOW + i);

      CU_ASSERT_STRING_EQUAL (answer.server->entry.id, "ccc");
      answer.server->pending_ms += answer.prompt_ms;
      answer.server->running++;
      if (i % 3 == 0)
        front_health_full (&answer.server->health, NOW + i);
      if (i % 7 == 0)
        front_health_failed (&answer.server->health, NOW + i);
    }
  front_servers_remove (servers, "ccc", NOW + 200, 0);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 200), "none");
  CU_ASSERT (front_pick (servers, &query, NOW + 200).evacuated);
  CU_ASSERT (front_servers_evacuate (servers, "here", false, 2, NOW + 200));
  CU_ASSERT_STRING_NOT_EQUAL (picked (&query, NOW + 200), "none");
}

#define DOMAIN_FRONTS 17
#define COLD_SERVERS  15
#define SIMULATED_MS  3000
#define SECOND_MS     1000

/* Guards against requests beyond the limit that a server names: they go to another server, and
 * without one the answer tells when a front may send the next. */
static void
test_named_limit_excludes_server (void)
{
  PickQuery query = query_of ("v1");
  PickAnswer answer;

  setup ();
  query.share = (FrontShare){ .self = 1, .domain_fronts = 2, .fronts = 4 };
  add ("near", "here", "v1");
  add ("far", "there", "v1");
  server_limit_sent (&front_servers_find (servers, "near")->limit, NOW);
  server_limit_named (&front_servers_find (servers, "near")->limit, 2, NOW);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1), "far");
  front_servers_remove (servers, "far", NOW, 0);
  answer = front_pick (servers, &query, NOW + 1);
  CU_ASSERT_PTR_NULL (answer.server);
  CU_ASSERT_EQUAL (answer.wait_ms, 500);
  CU_ASSERT_EQUAL (answer.wait, PICK_WAIT_LIMITED);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "near");
}

/* Guards against requests to a server that asked for rest: others get them, and without one the
 * answer tells when the first rest ends. */
static void
test_resting_server_is_excluded (void)
{
  PickQuery query = query_of ("v1");
  PickAnswer answer;

  setup ();
  add ("near", "here", "v1");
  add ("far", "there", "v1");
  front_server_rest (front_servers_find (servers, "near"), 3000, NOW);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2999), "far");
  front_server_rest (front_servers_find (servers, "far"), 1000, NOW);
  answer = front_pick (servers, &query, NOW + 400);
  CU_ASSERT_PTR_NULL (answer.server);
  CU_ASSERT_EQUAL (answer.wait, PICK_WAIT_RESTING);
  CU_ASSERT_EQUAL (answer.wait_ms, 600);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "far");
}

/* Guards against treating a wait of unknown length as none: a cold server stays excluded although
 * the configuration doesn't say how long it is cold. */
static void
test_cold_server_without_duration_is_excluded (void)
{
  PickQuery query = query_of ("v1");
  PickAnswer answer;

  setup ();
  query.cold = (ColdRule){ .max_per_s = 2 };
  query.share = (FrontShare){ .self = 1, .domain_fronts = 100, .fronts = 100 };
  add ("near", "here", "v1");
  front_servers_find (servers, "near")->cold_until_ms = NOW + 1000;
  for (unsigned i = 0; i < COLD_SLOTS_MAX; i++)
    cold_sent (&front_servers_find (servers, "near")->cold_sends, NOW);
  answer = front_pick (servers, &query, NOW);
  CU_ASSERT_PTR_NULL (answer.server);
  CU_ASSERT_EQUAL (answer.wait, PICK_WAIT_COLD);
  CU_ASSERT (answer.wait_ms > 0);
}

/* One front's table of a failure domain that has restarted cold, and of another one that is
 * warm. */
static FrontServers *
servers_with_cold_domain (void)
{
  FrontServers *servers_seen = front_servers_new ("here");
  bool changed;

  for (unsigned i = 0; i < 2 * COLD_SERVERS; i++)
    {
      char id[SERVER_TEXT_MAX];
      ServerEntry entry;

      snprintf (id, sizeof id, "%c%02u", i < COLD_SERVERS ? 'c' : 'w', i);
      entry = entry_of (id, i < COLD_SERVERS ? "here" : "there", "v1");
      entry.cold_ms = i < COLD_SERVERS ? SIMULATED_MS : 0;
      front_servers_set (servers_seen, &entry, NOW, &changed);
    }
  return servers_seen;
}

/* A failure domain restarts cold during a burst with a popular prompt. Its idle servers, and the
 * affinity server first, must not attract all requests of all fronts at once, or they crash
 * again. */
static void
test_cold_domain_rate_is_limited (void)
{
  static FrontServers *views[DOMAIN_FRONTS];
  static unsigned arrivals[2 * COLD_SERVERS][SIMULATED_MS];
  PickQuery query = query_of ("v1");
  unsigned cold = 0, refused = 0;

  setup ();
  query.affinity_tokens = 5000;
  for (unsigned i = 0; i < DOMAIN_FRONTS; i++)
    views[i] = servers_with_cold_domain ();
  for (unsigned ms = 0; ms < SIMULATED_MS; ms++)
    {
      unsigned front = ms % DOMAIN_FRONTS; /* 1,000 requests per second */
      PickAnswer answer;
      unsigned number;

      query.cold = (ColdRule){ .max_per_s = 32, .start_ms = SIMULATED_MS };
      query.share.self = front + 1;
      front_share_set (&query.share, &(FrontsView){ .domain_fronts = DOMAIN_FRONTS, .fronts = 66 });
      answer = front_pick (views[front], &query, NOW + ms);
      refused += answer.server == NULL;
      if (!answer.server)
        continue;
      number = (unsigned)strtoul (answer.server->entry.id + 1, NULL, 10);
      cold_sent (&answer.server->cold_sends, NOW + ms);
      cold_connected (&answer.server->cold_sends, NOW + ms, NOW + ms);
      answer.server->pending_ms += number < COLD_SERVERS ? 0 : answer.prompt_ms;
      arrivals[number][ms]++;
      cold += number < COLD_SERVERS;
    }
  for (unsigned i = 0; i < COLD_SERVERS; i++)
    {
      unsigned in_second = 0;

      for (unsigned ms = 0; ms < SIMULATED_MS; ms++)
        {
          in_second += arrivals[i][ms];
          in_second -= ms >= SECOND_MS ? arrivals[i][ms - SECOND_MS] : 0;
          CU_ASSERT (in_second <= 32);
        }
    }
  CU_ASSERT (cold > SIMULATED_MS / 10); /* the domain takes over a part of its work meanwhile */
  CU_ASSERT_EQUAL (refused, 0);
  for (unsigned i = 0; i < DOMAIN_FRONTS; i++)
    front_servers_free (views[i]);
}

static void
test_removed_server_lives_while_referenced (void)
{
  FrontServer *server;

  setup ();
  add ("a", "here", "v1");
  server = front_servers_find (servers, "a");
  front_server_ref (server);
  front_servers_remove (servers, "a", NOW, 0);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  CU_ASSERT_EQUAL (front_servers_count (servers), 0);
  front_server_unref (server);
  front_servers_free (servers);
  servers = NULL;
}

static const SuiteCase cases[] = {
  { "prefers_same_domain", test_prefers_same_domain },
  { "crosses_domains_only_for_gain", test_crosses_domains_only_for_gain },
  { "filters_by_version_and_tried", test_filters_by_version_and_tried },
  { "draining_is_final", test_draining_is_final },
  { "lapsed_entries_have_grace", test_lapsed_entries_have_grace },
  { "evacuated_domain_gets_nothing", test_evacuated_domain_gets_nothing },
  { "named_limit_excludes_server", test_named_limit_excludes_server },
  { "resting_server_is_excluded", test_resting_server_is_excluded },
  { "cold_server_without_duration_is_excluded", test_cold_server_without_duration_is_excluded },
  { "cold_domain_rate_is_limited", test_cold_domain_rate_is_limited },
  { "removed_server_lives_while_referenced", test_removed_server_lives_while_referenced },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pick", cases, SUITE_COUNT (cases));
}
