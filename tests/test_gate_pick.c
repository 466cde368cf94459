/**
 * The choice of a server by a copy of the servers' states: src/gate_pick.c.
 */
#include "gate_pick.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

#define SERVERS  120
#define VERSIONS 3
#define DOMAINS  4
#define NOW_MS   INT64_C (1000000)
#define CHOICES  400

typedef struct
{
  char names[SERVERS][16];
  unsigned served[SERVERS][VERSIONS];
  ConfigServer servers[SERVERS];
  ConfigVersion versions[VERSIONS];
  Config config;
  uint8_t excluded[SERVERS];
  GateServers owner;
  GateServer **states;
  ServerIndex *index;
} Site;

static char domains[DOMAINS][4] = { "d0", "d1", "d2", "d3" };

/* Each version is served by two thirds of the servers, so that each server serves two. */
static Site *
site_new (void)
{
  Site *s = memory_alloc (sizeof *s);

  for (unsigned i = 0; i < SERVERS; i++)
    {
      snprintf (s->names[i], sizeof s->names[i], "engine-%u", i);
      s->servers[i] = (ConfigServer){ .index = i,
                                      .name = s->names[i],
                                      .failure_domain = domains[i % DOMAINS],
                                      .slots = 8,
                                      .versions = s->served[i] };
      for (unsigned v = 0; v < VERSIONS; v++)
        if ((i + v) % VERSIONS != 0)
          s->served[i][s->servers[i].version_count++] = v;
    }
  s->config = (Config){ .servers = s->servers,
                        .server_count = SERVERS,
                        .versions = s->versions,
                        .version_count = VERSIONS };
  gate_servers_init (&s->owner, "vm-1", "d1");
  s->states = gate_servers_resolve (&s->owner, &s->config);
  s->index = server_index_new (&s->config, 1, "d1", INDEX_SUBSET);
  return s;
}

static void
site_free (Site *s)
{
  server_index_free (s->index);
  for (unsigned i = 0; i < SERVERS; i++)
    gate_server_put (s->states[i]);
  free (s->states);
  pthread_mutex_destroy (&s->owner.lock);
  free (s);
}

static ServerQuery
query_of (const Site *s, unsigned version, uint64_t random)
{
  return (ServerQuery){ .config = &s->config,
                        .version = version,
                        .failure_domain = "d1",
                        .excluded = s->excluded,
                        .prefix_hash = random % 3,
                        .random = random,
                        .now_ms = NOW_MS,
                        .index = s->index };
}

/* The policy's pick with the states of all watched servers. */
static int
pick_with_all_states (const Site *s, ServerQuery query)
{
  ServerView views[SERVERS] = { 0 };

  for (unsigned i = 0; i < SERVERS; i++)
    if (s->index->watched[i])
      gate_server_copy_view (s->states[i], &views[i]);
  query.views = views;
  return server_policy_default.pick (&query);
}

/* Checks that gate_pick chooses as pick_with_all_states does. Returns how many picks were outside
 * the version's own list. */
static unsigned
compare_picks (const Site *s)
{
  unsigned outside = 0;

  for (unsigned i = 0; i < CHOICES; i++)
    {
      uint64_t random = id_hash (&i, sizeof i, 7);
      ServerQuery query = query_of (s, i % VERSIONS, random);
      const IndexList *list = &s->index->versions[query.version];
      int expected = pick_with_all_states (s, query);
      int picked = gate_pick (&server_policy_default, s->states, &query);
      bool in = false;
      CU_ASSERT_EQUAL (picked, expected);
      for (unsigned k = 0; k < list->count; k++)
        in = in || (int)list->servers[k] == picked;
      outside += picked >= 0 && !in;
    }
  return outside;
}

static void
load_at_random (const Site *s)
{
  for (unsigned i = 0; i < SERVERS; i++)
    gate_server_record_report (s->states[i], (int64_t)(id_hash (&i, sizeof i, 3) % 20), i % 7 == 0,
                               NOW_MS, NOW_MS);
}

/* Copying fewer states must not change the choice: otherwise a gate could send requests to a server
 * whose state it has as draining or failing. */
static void
test_same_choice_as_with_all_states (void)
{
  Site *s = site_new ();

  CU_ASSERT_EQUAL (s->index->versions[0].count, INDEX_SUBSET);
  CU_ASSERT_EQUAL (compare_picks (s), 0);
  load_at_random (s);
  CU_ASSERT_EQUAL (compare_picks (s), 0);
  site_free (s);
}

/* All servers watched for version 0 are draining, and so are some that are watched for other
 * versions. These must not be picked instead. */
static void
test_unusable_list_falls_back_to_others (void)
{
  Site *s = site_new ();
  const IndexList *list = &s->index->versions[0];

  load_at_random (s);
  for (unsigned k = 0; k < list->count; k++)
    gate_server_record_report (s->states[list->servers[k]], 0, true, NOW_MS, NOW_MS);
  CU_ASSERT_TRUE (compare_picks (s) > 0);
  for (unsigned i = 0; i < CHOICES; i++)
    {
      ServerQuery query = query_of (s, 0, id_hash (&i, sizeof i, 9));
      int picked = gate_pick (&server_policy_default, s->states, &query);
      CU_ASSERT_FATAL (picked >= 0);
      CU_ASSERT_FALSE (s->index->watched[picked] && s->states[picked]->view.draining);
    }
  site_free (s);
}

static void
test_no_server_left_gives_none (void)
{
  Site *s = site_new ();
  ServerQuery query;

  for (unsigned i = 0; i < SERVERS; i++)
    s->excluded[i] = 1;
  query = query_of (s, 1, 5);
  CU_ASSERT_EQUAL (gate_pick (&server_policy_default, s->states, &query), -1);
  CU_ASSERT_PTR_NULL (query.views);
  site_free (s);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "same_choice_as_with_all_states", test_same_choice_as_with_all_states },
    { "unusable_list_falls_back_to_others", test_unusable_list_falls_back_to_others },
    { "no_server_left_gives_none", test_no_server_left_gives_none },
  };

  return suite_main (argc, argv, "gate_pick", cases, SUITE_COUNT (cases));
}
