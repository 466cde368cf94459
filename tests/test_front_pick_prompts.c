/** Choice of a server by prompts: src/front_pick.c, front_prompts.c. */
#include "pick_world.h"
#include "suite.h"
#include <string.h>

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

static const SuiteCase cases[] = {
  { "spreads_long_prompts", test_spreads_long_prompts },
  { "prefers_cached_prompt", test_prefers_cached_prompt },
  { "fronts_agree_on_shared_prompts", test_fronts_agree_on_shared_prompts },
  { "rare_prompts_have_no_affinity", test_rare_prompts_have_no_affinity },
  { "requested_prompts_expire", test_requested_prompts_expire },
  { "limited_server_attracts_no_prompt", test_limited_server_attracts_no_prompt },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pick_prompts", cases, SUITE_COUNT (cases));
}
