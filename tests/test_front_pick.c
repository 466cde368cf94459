/** Choice of a server: src/front_pick.c, front_servers.c, front_health.c, front_prompts.c. */
#include "front_pick.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>

#define NOW 100000 /* milliseconds */

static FrontServers *servers;
static FrontCall call;

static ServerEntry
entry_of (const char *id, const char *domain, const char *version)
{
  ServerEntry entry = { .slots = 48 };

  snprintf (entry.id, sizeof entry.id, "%s", id);
  snprintf (entry.service, sizeof entry.service, "drafts");
  snprintf (entry.address, sizeof entry.address, "10.0.0.%zu:80", strlen (id));
  snprintf (entry.failure_domain, sizeof entry.failure_domain, "%s", domain);
  snprintf (entry.version, sizeof entry.version, "%s", version);
  return entry;
}

static void
add (const char *id, const char *domain, const char *version)
{
  ServerEntry entry = entry_of (id, domain, version);
  bool changed;

  CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
}

static void
setup (void)
{
  if (servers)
    front_servers_free (servers);
  servers = front_servers_new ("here");
  call = (FrontCall){ .prompt_tokens = 7000, .part_count = 2 };
  call.parts[0] = (PromptPart){ .id = 11, .tokens = 5000 };
  call.parts[1] = (PromptPart){ .id = 12, .tokens = 2000 };
}

static PickQuery
query_of (const char *version)
{
  return (PickQuery){
    .service = "drafts",
    .version = version,
    .call = &call,
    .model = 1,
    .read_time = { .ms_per_token = 0.01 },
    .is_model = true,
    .reuse_window_ms = 6000,
  };
}

static const char *
picked (const PickQuery *query, int64_t now_ms)
{
  PickAnswer answer = front_pick (servers, query, now_ms);

  return answer.server ? answer.server->entry.id : "none";
}

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

/* Long prompts (7,000 tokens, 70 ms each on the middle model) on a few engines. By the number of
 * requests, two long ones would be sent one after the other to the engine that has the fewest; by
 * predicted work, no engine may get two. The engines' data sheet gives 0.01 ms per token. */
static void
test_spreads_long_prompts (void)
{
  PickQuery query = query_of ("v1");
  unsigned most = 0;

  setup ();
  for (unsigned i = 0; i < 4; i++)
    add (&"aaaa"[i], "here", "v1");
  for (unsigned i = 0; i < 16; i++)
    {
      PickAnswer answer;

      call.parts[0].id = 100 + i;
      call.parts[1].id = 200 + i;
      call.prompt_tokens = i % 4 == 0 ? 7000 : 400;
      answer = front_pick (servers, &query, NOW);
      answer.server->pending_ms += answer.prompt_ms;
      answer.server->running++;
    }
  for (unsigned i = 0; i < 4; i++)
    {
      const FrontServer *server = front_servers_find (servers, &"aaaa"[i]);

      if (server->pending_ms > most)
        most = (unsigned)server->pending_ms;
    }
  CU_ASSERT (most < 100);
}

static void
test_prefers_cached_prompt (void)
{
  PickQuery query = query_of ("v1");

  setup ();
  add ("near", "here", "v1");
  add ("far", "there", "v1");
  front_prompts_sent (&front_servers_find (servers, "far")->prompts, &call, 1, NOW);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "far");
  /* Another model's cache doesn't count, nor an old one, nor a part without those before it. */
  query.model = 2;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "near");
  query.model = 1;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 7000), "near");
  call.parts[0].id = 99;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "near");
}

/* 17 fronts of a failure domain get requests about the same 131 contracts, each prompt with 4,870
 * tokens of the contract. Each front knows only its own requests; if each chose by these alone,
 * every engine would read every contract. All fronts must choose the same engine for a
 * contract, and the contracts must be spread over the engines. */
static void
test_fronts_agree_on_shared_prompts (void)
{
  PickQuery query = query_of ("v1");
  const char *ids[] = { "a", "bb", "ccc", "dddd", "eeeee" };
  unsigned agreed = 0, most = 0, load[6] = { 0 };

  query.affinity_tokens = 5000;
  for (unsigned contract = 0; contract < 100; contract++)
    {
      char first[SERVER_TEXT_MAX] = "";

      for (unsigned front = 0; front < 3; front++)
        {
          setup ();
          for (unsigned i = 0; i < 5; i++)
            add (ids[(i + front) % 5], "here", "v1");
          call.parts[0].id = 1000 + contract;
          call.parts[1].id = 5000 + contract * 10 + front;
          if (front == 0)
            snprintf (first, sizeof first, "%s", picked (&query, NOW));
          agreed += strcmp (first, picked (&query, NOW)) == 0;
        }
      if (++load[strlen (first)] > most)
        most = load[strlen (first)];
    }
  CU_ASSERT_EQUAL (agreed, 300);
  CU_ASSERT (most < 35);
  /* If more work is queued at the affinity server than the reading costs, another one is chosen. */
  front_servers_find (servers, picked (&query, NOW))->pending_ms = 100;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms < 1);
}

/* 588 contracts, each requested once in nine seconds over all failure domains: no server keeps one
 * cached until the next request. If they were assumed to be cached at an affinity server, each
 * prompt would be read there behind others, at servers that all fronts choose, and its predicted
 * time would be too short by its 4,870 tokens. */
static void
test_rare_prompts_have_no_affinity (void)
{
  PickQuery query = query_of ("v1");

  setup ();
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  query.affinity_tokens = 5000;
  front_servers_find (servers, picked (&query, NOW))->pending_ms = 20;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms > 1);
  CU_ASSERT_EQUAL (front_pick (servers, &query, NOW).prompt_tokens, 2000);
  query.affinity_tokens = 0;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms < 1);
  CU_ASSERT_EQUAL (front_pick (servers, &query, NOW).prompt_tokens, 7000);
}

/* A shared part counts as requested for the reuse window after a caller's request to the same
 * model; the last part, which is one caller's own, never does. */
static void
test_requested_prompts_expire (void)
{
  FrontPrompts requested = { 0 };

  setup ();
  CU_ASSERT_EQUAL (front_prompts_cached (&requested, &call, 1, NOW, 6000), 0);
  front_prompts_requested (&requested, &call, 1, NOW);
  CU_ASSERT_EQUAL (front_prompts_cached (&requested, &call, 1, NOW + 6000, 6000), 5000);
  CU_ASSERT_EQUAL (front_prompts_cached (&requested, &call, 1, NOW + 6001, 6000), 0);
  CU_ASSERT_EQUAL (front_prompts_cached (&requested, &call, 2, NOW, 6000), 0);
  call.part_count = 0;
  front_prompts_requested (&requested, &call, 1, NOW);
  front_prompts_clear (&requested);
}

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

/* A server that names a limit must not attract all requests with a popular prompt: most would be
 * sent elsewhere, to a different server by each front. */
static void
test_limited_server_attracts_no_prompt (void)
{
  PickQuery query = query_of ("v1");
  const char *preferred;

  setup ();
  query.affinity_tokens = 5000;
  query.share = (FrontShare){ .self = 1, .domain_fronts = 1, .fronts = 1 };
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  preferred = picked (&query, NOW);
  server_limit_named (&front_servers_find (servers, preferred)->limit, 100, NOW);
  CU_ASSERT_STRING_NOT_EQUAL (picked (&query, NOW + 1000), preferred);
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
  { "spreads_long_prompts", test_spreads_long_prompts },
  { "prefers_cached_prompt", test_prefers_cached_prompt },
  { "fronts_agree_on_shared_prompts", test_fronts_agree_on_shared_prompts },
  { "rare_prompts_have_no_affinity", test_rare_prompts_have_no_affinity },
  { "requested_prompts_expire", test_requested_prompts_expire },
  { "avoids_failing_server", test_avoids_failing_server },
  { "tolerates_short_lag_not_slow_server", test_tolerates_short_lag_not_slow_server },
  { "crosses_domains_only_for_gain", test_crosses_domains_only_for_gain },
  { "prediction_contains_wait", test_prediction_contains_wait },
  { "fast_server_does_not_attract_all", test_fast_server_does_not_attract_all },
  { "own_lag_moves_work", test_own_lag_moves_work },
  { "unreachable_server_backs_off", test_unreachable_server_backs_off },
  { "filters_by_version_and_tried", test_filters_by_version_and_tried },
  { "draining_is_final", test_draining_is_final },
  { "lapsed_entries_have_grace", test_lapsed_entries_have_grace },
  { "evacuated_domain_gets_nothing", test_evacuated_domain_gets_nothing },
  { "named_limit_excludes_server", test_named_limit_excludes_server },
  { "resting_server_is_excluded", test_resting_server_is_excluded },
  { "cold_server_without_duration_is_excluded", test_cold_server_without_duration_is_excluded },
  { "limited_server_attracts_no_prompt", test_limited_server_attracts_no_prompt },
  { "cold_domain_rate_is_limited", test_cold_domain_rate_is_limited },
  { "removed_server_lives_while_referenced", test_removed_server_lives_while_referenced },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pick", cases, SUITE_COUNT (cases));
}
