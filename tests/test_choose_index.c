/** The subset of servers that a gate watches: src/choose_index.c. */
#include "choose_index.h"
#include "choose_server.h"
#include "suite.h"
#include "util_id.h"
#include <stdio.h>
#include <string.h>

#define SERVERS 660
#define GATES   360
#define DOMAINS 6

static char names[SERVERS][16];
static char domain_names[DOMAINS][8];
static unsigned version[] = { 0 };
static ConfigVersion versions[1];
static ConfigServer servers[SERVERS];
static ServerView views[SERVERS];
static Config config;

static void
setup (unsigned count)
{
  unsigned i;

  for (i = 0; i < DOMAINS; i++)
    snprintf (domain_names[i], sizeof domain_names[i], "d%u", i);
  memset (views, 0, sizeof views);
  for (i = 0; i < count; i++)
    {
      snprintf (names[i], sizeof names[i], "engine-%u", i);
      servers[i] = (ConfigServer){
        .index = i,
        .name = names[i],
        .failure_domain = domain_names[i % DOMAINS],
        .slots = 8,
        .versions = version,
        .version_count = 1,
      };
    }
  config = (Config){
    .servers = servers, .server_count = count, .versions = versions, .version_count = 1
  };
}

static void
test_small_site_watches_all (void)
{
  ServerIndex *index;

  setup (20);
  servers[3].leaving = true;
  index = server_index_new (&config, 1, "d0", INDEX_SUBSET);
  CU_ASSERT_EQUAL (index->versions[0].count, 19);
  CU_ASSERT_FALSE (index->watched[3]);
  server_index_free (index);
}

/* With 360 gates and 660 engines every engine must be watched by some gates, and none by far more
   gates than the others; otherwise engines are idle or overloaded. */
static void
test_large_site_is_watched_evenly (void)
{
  static unsigned watchers[SERVERS];
  unsigned gate, i, least = ~0U, most = 0;

  setup (SERVERS);
  memset (watchers, 0, sizeof watchers);
  for (gate = 0; gate < GATES; gate++)
    {
      const char *own = domain_names[gate % DOMAINS];
      ServerIndex *index
          = server_index_new (&config, id_hash (&gate, sizeof gate, 9), own, INDEX_SUBSET);
      unsigned in_own = 0, seen[DOMAINS] = { 0 };

      CU_ASSERT_EQUAL (index->versions[0].count, INDEX_SUBSET);
      for (i = 0; i < index->versions[0].count; i++)
        {
          unsigned server = index->versions[0].servers[i];

          watchers[server]++;
          seen[server % DOMAINS]++;
          in_own += strcmp (servers[server].failure_domain, own) == 0;
        }
      CU_ASSERT_EQUAL (in_own, INDEX_SUBSET / 3);
      for (i = 0; i < DOMAINS; i++)
        CU_ASSERT (seen[i] >= 3);
      server_index_free (index);
    }
  for (i = 0; i < SERVERS; i++)
    {
      least = watchers[i] < least ? watchers[i] : least;
      most = watchers[i] > most ? watchers[i] : most;
    }
  /* The mean is 13; a Poisson count is outside 2 to 30 in about one of a thousand sites. */
  CU_ASSERT (least >= 2);
  CU_ASSERT (most <= 30);
}

/* Adding one engine must leave almost all of a gate's subset as it was; otherwise all connections
   and caches are cold at once. */
static void
test_added_server_keeps_subset (void)
{
  ServerIndex *before, *after;
  unsigned i, kept = 0;

  setup (SERVERS);
  config.server_count = SERVERS - 1;
  before = server_index_new (&config, 77, "d1", INDEX_SUBSET);
  config.server_count = SERVERS;
  after = server_index_new (&config, 77, "d1", INDEX_SUBSET);
  for (i = 0; i < SERVERS - 1; i++)
    kept += before->watched[i] && after->watched[i];
  CU_ASSERT (kept >= INDEX_SUBSET - 1);
  server_index_free (before);
  server_index_free (after);
}

/* If all engines of a gate's subset are unusable, the gate must use the others instead of refusing
   requests. */
static void
test_falls_back_to_unwatched_servers (void)
{
  ServerIndex *index;
  ServerQuery query;
  unsigned i;

  setup (SERVERS);
  index = server_index_new (&config, 5, "d2", INDEX_SUBSET);
  query = (ServerQuery){
    .config = &config, .views = views, .failure_domain = "d2", .now_ms = 1, .index = index
  };
  for (i = 0; i < 200; i++)
    {
      query.random = id_hash (&i, sizeof i, 1);
      CU_ASSERT_TRUE (index->watched[server_policy_default.pick (&query)]);
    }
  for (i = 0; i < SERVERS; i++)
    views[i].draining = index->watched[i];
  for (i = 0; i < 200; i++)
    {
      int server;

      query.random = id_hash (&i, sizeof i, 1);
      server = server_policy_default.pick (&query);
      CU_ASSERT_FATAL (server >= 0);
      CU_ASSERT_FALSE (views[server].draining);
    }
  server_index_free (index);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "small_site_watches_all", test_small_site_watches_all },
    { "large_site_is_watched_evenly", test_large_site_is_watched_evenly },
    { "added_server_keeps_subset", test_added_server_keeps_subset },
    { "falls_back_to_unwatched_servers", test_falls_back_to_unwatched_servers },
  };

  return suite_main (argc, argv, "choose_index", cases, SUITE_COUNT (cases));
}
