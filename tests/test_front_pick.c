/** Choosing a server: src/front_pick.c, front_servers.c, front_health.c, front_prompts.c. */
#include "front_pick.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>

#define NOW 100000

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
begin (void)
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
test_near_first (void)
{
  PickQuery query = query_of ("v1");

  begin ();
  call.part_count = 0; /* no shared prompt that would draw the request anywhere */
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("far", "there", "v1");
  add ("near", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "near");
  front_servers_find (servers, "near")->pending_ms = 5;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "near");
  front_servers_find (servers, "near")->pending_ms = 50;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "far");
}

/* Pattern: a morning of long prompts (7,000 tokens, 70 ms each on the middle model) on a few
   engines. Counting requests sends two long ones after each other to the engine that has the
   fewest; predicted work spreads them. Grounds: 0.01 ms a token, of the engines' sheet. */
static void
test_spreads_long_prompts (void)
{
  PickQuery query = query_of ("v1");
  unsigned most = 0;

  begin ();
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
test_cached_prompt (void)
{
  PickQuery query = query_of ("v1");

  begin ();
  add ("near", "here", "v1");
  add ("far", "there", "v1");
  front_prompts_sent (&front_servers_find (servers, "far")->prompts, &call, 1, NOW);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "far");
  /* Another model's cache is of no use, nor an old one, nor a part without those before it. */
  query.model = 2;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "near");
  query.model = 1;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 7000), "near");
  call.parts[0].id = 99;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "near");
}

/* Pattern: 17 fronts of a failure domain get requests about the same 131 contracts, each prompt
   with 4,870 tokens of the contract. Each front knows only its own requests; if each picks by these
   alone, every engine reads every contract. Grounds: the sheet of the grown site. */
static void
test_fronts_agree_on_shared_prompts (void)
{
  PickQuery query = query_of ("v1");
  const char *ids[] = { "a", "bb", "ccc", "dddd", "eeeee" };
  unsigned agreed = 0, most = 0, load[6] = { 0 };

  query.home_tokens = 5000;
  for (unsigned contract = 0; contract < 100; contract++)
    {
      char first[SERVER_TEXT_MAX] = "";

      for (unsigned front = 0; front < 3; front++)
        {
          begin ();
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
  /* A home that is busier than the reading costs is left for another. */
  front_servers_find (servers, picked (&query, NOW))->pending_ms = 100;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms < 1);
}

/* Pattern: 588 contracts, each asked for once in nine seconds over all failure domains: no server
   keeps one until the next request. Taken to be kept at its home, each prompt would be read there
   behind others, on servers that all fronts choose, and predicted too fast by its 4,870 tokens. */
static void
test_rare_prompts_have_no_home (void)
{
  PickQuery query = query_of ("v1");

  begin ();
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  query.home_tokens = 5000;
  front_servers_find (servers, picked (&query, NOW))->pending_ms = 20;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms > 1);
  CU_ASSERT_EQUAL (front_pick (servers, &query, NOW).prompt_tokens, 2000);
  query.home_tokens = 0;
  CU_ASSERT (front_pick (servers, &query, NOW).server->pending_ms < 1);
  CU_ASSERT_EQUAL (front_pick (servers, &query, NOW).prompt_tokens, 7000);
}

/* What callers ask for tells how often a shared part is wanted; the last part is one caller's own.
 */
static void
test_asked_prompts (void)
{
  FrontPrompts asked = { 0 };

  begin ();
  CU_ASSERT_EQUAL (front_prompts_cached (&asked, &call, 1, NOW, 6000), 0);
  front_prompts_asked (&asked, &call, 1, NOW);
  CU_ASSERT_EQUAL (front_prompts_cached (&asked, &call, 1, NOW + 6000, 6000), 5000);
  CU_ASSERT_EQUAL (front_prompts_cached (&asked, &call, 1, NOW + 6001, 6000), 0);
  CU_ASSERT_EQUAL (front_prompts_cached (&asked, &call, 2, NOW, 6000), 0);
  call.part_count = 0;
  front_prompts_asked (&asked, &call, 1, NOW);
  front_prompts_clear (&asked);
}

/* Story: an engine's health page is good while it fails two of five requests. Its fast failures
   make it look idle, so it draws ever more of the work. */
static void
test_failing_server (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  begin ();
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

/* Load: eight long prompts of other fronts are read at the near server within a second, and six of
   our answers begin 110 ms later than predicted; the far server is idle. What waited there is read
   by the next request, so it stays near: bytes between failure domains are dear. A near server that
   has turned slow, with answers late by two seconds, is left. */
static void
test_late_by_others_or_slow (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  begin ();
  query.home_tokens = 5000;
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

/* Pattern: 50 fronts of a failure domain each see a fiftieth of what its 27 servers get, so that at
   any moment some near server seems to have 20 ms more to do than one elsewhere. With 10 ms for the
   way, 40% of short questions left their failure domain, for callers who wait two seconds. Grounds:
   a part of 0.02 of the 2,000 and 3,000 ms that the users' callers of model engines are ready to
   wait; those of plain services, 150 ms, gain by a server that is 15 ms faster. */
static void
test_far_only_if_the_caller_gains (void)
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

      begin ();
      call.part_count = 0;
      query.objective_ms = loads[i].objective_ms;
      add ("far", "there", "v1");
      add ("near", "here", "v1");
      front_servers_find (servers, "near")->pending_ms = loads[i].near_ms;
      CU_ASSERT_STRING_EQUAL (picked (&query, NOW), loads[i].picked);
    }
}

static void
test_unreachable_server (void)
{
  PickQuery query = query_of ("v1");
  FrontHealth *health;

  begin ();
  add ("a", "here", "v1");
  health = &front_servers_find (servers, "a")->health;
  front_health_unreachable (health, NOW);
  CU_ASSERT (front_health_avoided (health, NOW + 700));
  CU_ASSERT (!front_health_avoided (health, NOW + 900));
  front_health_unreachable (health, NOW + 900);
  CU_ASSERT (front_health_avoided (health, NOW + 900 + 1500));
  /* Avoided is not forbidden: with no other server it is tried. */
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "a");
  add ("bb", "there", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 1000), "bb");
}

static void
test_versions_and_tried (void)
{
  PickQuery query = query_of ("v2");

  begin ();
  add ("a", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("bb", "there", "v2");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "bb");
  query.tried[query.tried_count++] = front_servers_find (servers, "bb")->hash;
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
}

/* Story: an engine says that it drains; an older heartbeat of it arrives later and it gets new
   work, which its end cuts off. */
static void
test_draining_is_final (void)
{
  PickQuery query = query_of ("v1");
  ServerEntry entry = entry_of ("a", "here", "v1");
  bool changed;

  begin ();
  add ("a", "here", "v1");
  entry.draining = true;
  front_servers_set (servers, &entry, NOW, &changed);
  CU_ASSERT (changed);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
  add ("a", "here", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW), "none");
}

/* Story: the store is away for seconds, entries of living engines lapse and are back within two
   seconds of its return. Taken as gone at once, a whole service has no engine left. */
static void
test_lapsed_entries (void)
{
  PickQuery query = query_of ("v1");

  begin ();
  add ("a", "here", "v1");
  front_servers_remove (servers, "a", NOW, 2200);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "a");
  add ("bb", "there", "v1");
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "bb");
  front_servers_sweep (servers, NOW + 2199);
  CU_ASSERT_PTR_NOT_NULL (front_servers_find (servers, "a"));
  front_servers_sweep (servers, NOW + 2200);
  CU_ASSERT_PTR_NULL (front_servers_find (servers, "a"));
  front_servers_remove (servers, "bb", NOW, 0);
  CU_ASSERT_STRING_EQUAL (picked (&query, NOW + 2000), "none");
}

/* Failure: a failure domain is evacuated in a burst, and its idle servers draw all requests since
   those of the other one are loaded, full or failing; or the home of a hot prompt stays there. */
static void
test_domain_evacuated_in_a_burst (void)
{
  PickQuery query = query_of ("v1");

  begin ();
  add ("a", "here", "v1");
  add ("bb", "here", "v1");
  add ("ccc", "there", "v1");
  CU_ASSERT (front_servers_evacuate (servers, "here", true, NOW));
  CU_ASSERT (!front_servers_evacuate (servers, "here", true, NOW));
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
  CU_ASSERT (front_servers_evacuate (servers, "here", false, NOW + 200));
  CU_ASSERT_STRING_NOT_EQUAL (picked (&query, NOW + 200), "none");
}

#define DOMAIN_FRONTS 17
#define DOMAIN_COLD   15
#define PLAYED_MS     3000
#define SECOND_MS     1000

/* One front's own view of a failure domain that has come back cold, beside one that is warm. */
static FrontServers *
view_of_cold_domain (void)
{
  FrontServers *view = front_servers_new ("here");
  bool changed;

  for (unsigned i = 0; i < 2 * DOMAIN_COLD; i++)
    {
      char id[SERVER_TEXT_MAX];
      ServerEntry entry;

      snprintf (id, sizeof id, "%c%02u", i < DOMAIN_COLD ? 'c' : 'w', i);
      entry = entry_of (id, i < DOMAIN_COLD ? "here" : "there", "v1");
      entry.cold_ms = i < DOMAIN_COLD ? PLAYED_MS : 0;
      front_servers_set (view, &entry, NOW, &changed);
    }
  return view;
}

/* Failure: a domain comes back cold beside a hot prompt and a burst. Its idle servers, and the home
   of the prompt first, draw all requests of all fronts at once, and crash again. */
static void
test_domain_back_cold_beside_a_hot_prompt (void)
{
  static FrontServers *views[DOMAIN_FRONTS];
  static unsigned arrivals[2 * DOMAIN_COLD][PLAYED_MS];
  PickQuery query = query_of ("v1");
  unsigned cold = 0, refused = 0;

  begin ();
  query.home_tokens = 5000;
  for (unsigned i = 0; i < DOMAIN_FRONTS; i++)
    views[i] = view_of_cold_domain ();
  for (unsigned ms = 0; ms < PLAYED_MS; ms++)
    {
      unsigned front = ms % DOMAIN_FRONTS; /* 1,000 requests a second */
      PickAnswer answer;
      unsigned number;

      query.cold = (ColdRule){ .most_per_s = 32, .start_ms = PLAYED_MS };
      query.cold.self = front + 1;
      cold_rule_count (&query.cold, &(ColdView){ .neighbours = DOMAIN_FRONTS, .fronts = 66 });
      answer = front_pick (views[front], &query, NOW + ms);
      refused += answer.server == NULL;
      if (!answer.server)
        continue;
      number = (unsigned)strtoul (answer.server->entry.id + 1, NULL, 10);
      cold_sent (&answer.server->cold_sends, NOW + ms);
      cold_connected (&answer.server->cold_sends, NOW + ms, NOW + ms);
      answer.server->pending_ms += number < DOMAIN_COLD ? 0 : answer.prompt_ms;
      arrivals[number][ms]++;
      cold += number < DOMAIN_COLD;
    }
  for (unsigned i = 0; i < DOMAIN_COLD; i++)
    {
      unsigned in_second = 0;

      for (unsigned ms = 0; ms < PLAYED_MS; ms++)
        {
          in_second += arrivals[i][ms];
          in_second -= ms >= SECOND_MS ? arrivals[i][ms - SECOND_MS] : 0;
          CU_ASSERT (in_second <= 32);
        }
    }
  CU_ASSERT (cold > PLAYED_MS / 10); /* it takes over a part of its work meanwhile */
  CU_ASSERT_EQUAL (refused, 0);
  for (unsigned i = 0; i < DOMAIN_FRONTS; i++)
    front_servers_free (views[i]);
}

static void
test_removed_while_used (void)
{
  FrontServer *server;

  begin ();
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
  { "near_first", test_near_first },
  { "spreads_long_prompts", test_spreads_long_prompts },
  { "cached_prompt", test_cached_prompt },
  { "fronts_agree_on_shared_prompts", test_fronts_agree_on_shared_prompts },
  { "rare_prompts_have_no_home", test_rare_prompts_have_no_home },
  { "asked_prompts", test_asked_prompts },
  { "failing_server", test_failing_server },
  { "late_by_others_or_slow", test_late_by_others_or_slow },
  { "far_only_if_the_caller_gains", test_far_only_if_the_caller_gains },
  { "unreachable_server", test_unreachable_server },
  { "versions_and_tried", test_versions_and_tried },
  { "draining_is_final", test_draining_is_final },
  { "lapsed_entries", test_lapsed_entries },
  { "domain_evacuated_in_a_burst", test_domain_evacuated_in_a_burst },
  { "domain_back_cold_beside_a_hot_prompt", test_domain_back_cold_beside_a_hot_prompt },
  { "removed_while_used", test_removed_while_used },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pick", cases, SUITE_COUNT (cases));
}
