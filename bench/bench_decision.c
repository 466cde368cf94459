/**
 * Makes one routing decision for each of many requests, for callgrind to count their instructions:
 *
 *   bench_decision SERVERS MODELS TEAMS DECISIONS PART [cold]
 *
 * PART is "admit", "plan" or "pick" for one part of a decision, "all" for all parts, or "gate" for
 * all parts with the states of the servers copied for each decision, as in the gate. With "cold"
 * nothing has been learned yet, so that every set of stages has to be evaluated. To count only
 * decide_many:
 *
 *   valgrind --tool=callgrind --toggle-collect=decide_many bench_decision ...
 */
#include "choose_cascade.h"
#include "choose_index.h"
#include "choose_limit.h"
#include "choose_quarantine.h"
#include "choose_server.h"
#include "gate_pick.h"
#include "model_config.h"
#include "util_assert.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BASE_MODELS    4 /**< of the simulated site: three draft models and the ledger model */
#define LEDGER_ENGINES 4 /**< engines of the ledger model */
#define DOMAINS        6
#define START_MS       1000000
#define DECISION_MS    2   /**< virtual time between two decisions */
#define WARM_RATINGS   200 /**< of each version and class */
#define GATE_CAPACITY  30  /**< requests in progress that the gate admits */
#define CLASS_NAMES    3

typedef struct
{
  Config *config;
  ServerIndex *index;
  ServerView *views;
  Estimates *estimates;
  Limiter *limiter;
  Quarantine *quarantine;
  GateServers owner; /**< holds the states of servers */
  GateServer **servers;
  bool admit, plan, pick; /**< parts of a decision to make */
  bool copies;            /**< pick with the servers' states copied */
  unsigned picked;        /**< decisions that ended with a server */
} Bench;

static const char *const class_names[CLASS_NAMES] = { "query", "report", "wording" };

void decide_many (Bench *bench, unsigned decisions) __attribute__ ((noinline));

static void
decide (Bench *bench, unsigned i)
{
  uint64_t random = id_hash (&i, sizeof i, 1);
  int64_t now_ms = START_MS + (int64_t)i * DECISION_MS;
  unsigned team = i % (unsigned)bench->config->team_count;
  ChooseRequest request = {
    .config = bench->config,
    .team = team,
    .model = class_names[i % CLASS_NAMES],
    .caller = random,
    .now_ms = now_ms,
    .deadline_ms = now_ms + 30000,
  };
  LimitQuery limit = {
    .config = bench->config,
    .team = team,
    .tokens = 500,
    .capacity = GATE_CAPACITY,
    .now_ms = now_ms,
    .deadline_ms = request.deadline_ms,
  };
  CascadeQuery cascade = {
    .request = &request,
    .estimates = bench->estimates,
    .settings = &cascade_settings_default,
    .rating_available = true,
    .rating_ms = 150,
    .random = random,
  };
  ServerQuery server = {
    .config = bench->config,
    .views = bench->views,
    .failure_domain = "d1",
    .prefix_hash = random % 50 + 1,
    .random = random,
    .now_ms = now_ms,
    .index = bench->index,
  };
  ChoosePlan plan = { .count = 0 };
  int picked = 0;

  if (bench->admit && !quarantine_contains (bench->quarantine, random | 1, now_ms))
    {
      if (limit_policy_default.admit (bench->limiter, &limit).reason == REASON_NONE)
        limiter_end (bench->limiter, bench->config, team, limit.tokens, limit.tokens);
    }
  if (bench->plan && cascade_policy_default.plan (&cascade, &plan) == REASON_NONE)
    server.version = plan.versions[0];
  if (bench->copies)
    picked = gate_pick (&server_policy_default, bench->servers, &server);
  else if (bench->pick)
    picked = server_policy_default.pick (&server);
  bench->picked += picked >= 0;
}

void
decide_many (Bench *bench, unsigned decisions)
{
  unsigned i;

  for (i = 0; i < decisions; i++)
    decide (bench, i);
}

/** Records ratings and times of every version in every class: each estimate has evidence. */
static void
warm (Bench *bench)
{
  unsigned c, v, p, i;

  for (c = 0; c < bench->config->class_count; c++)
    for (v = 0; v < bench->config->version_count; v++)
      for (p = 0; p < bench->config->version_count; p++)
        {
          CascadeOutcome outcome = {
            .config = bench->config,
            .class_index = (int)c,
            .version = v,
            .previous = p == v ? -1 : (int)p,
            .quality_target = bench->config->classes[c].quality_target,
            .now_ms = START_MS,
          };

          if (p != v && (v > CHOOSE_STAGES_MAX || p > CHOOSE_STAGES_MAX))
            continue;
          for (i = 0; i < WARM_RATINGS; i++)
            cascade_record_rating (bench->estimates, &outcome, i % 4 == 0 ? 0.3 : 0.95);
          cascade_record_run (bench->estimates, &outcome, 700, 2500);
        }
}

/** Creates the gate's states of the servers, with the same loads as the views. */
static void
create_servers (Bench *bench)
{
  unsigned i;

  gate_servers_init (&bench->owner, "vm-1", "d1");
  bench->servers = gate_servers_resolve (&bench->owner, bench->config);
  for (i = 0; i < bench->config->server_count; i++)
    {
      gate_server_record_report (bench->servers[i], i % 9, false, START_MS, START_MS);
      gate_server_record_token_time (bench->servers[i], 15);
    }
}

static void
free_servers (Bench *bench)
{
  unsigned i;

  for (i = 0; i < bench->config->server_count; i++)
    gate_server_put (bench->servers[i]);
  free (bench->servers);
}

static unsigned
parse_number (const char *text)
{
  return (unsigned)strtoul (text, NULL, 10);
}

int
main (int argc, char **argv)
{
  ModelConfigOptions options = { .ledger_engines = LEDGER_ENGINES, .slots = 8, .domains = DOMAINS };
  Bench bench = { .picked = 0 };
  unsigned i, decisions;
  bool all;

  if (argc < 6 || argc > 7)
    {
      fprintf (stderr, "usage: bench_decision SERVERS MODELS TEAMS DECISIONS PART [cold]\n");
      return 2;
    }
  options.draft_engines = parse_number (argv[1]) - LEDGER_ENGINES;
  options.versions_per_model = 1;
  options.extra_models = parse_number (argv[2]) - BASE_MODELS;
  options.teams = parse_number (argv[3]);
  options.concurrent = 1000;
  options.tokens_per_s = 1000000;
  decisions = parse_number (argv[4]);
  bench.copies = strcmp (argv[5], "gate") == 0;
  all = bench.copies || strcmp (argv[5], "all") == 0;
  bench.admit = all || strcmp (argv[5], "admit") == 0;
  bench.plan = all || strcmp (argv[5], "plan") == 0;
  bench.pick = all || strcmp (argv[5], "pick") == 0;
  bench.config = model_config (&options);
  bench.index = server_index_new (bench.config, 1, "d1", INDEX_SUBSET);
  bench.views = memory_array (bench.config->server_count, sizeof *bench.views);
  for (i = 0; i < bench.config->server_count; i++)
    bench.views[i] = (ServerView){ .in_flight = i % 5,
                                   .token_ms = 15,
                                   .report_ms = START_MS,
                                   .taken_ms = START_MS,
                                   .reported_load = i % 9 };
  create_servers (&bench);
  bench.estimates = estimates_new (&estimate_settings_default);
  bench.limiter = limiter_new (&limit_settings_default);
  limiter_set_view (bench.limiter, 1, 0, 0);
  bench.quarantine = quarantine_new (&quarantine_settings_default);
  if (argc == 6)
    warm (&bench);
  decide_many (&bench, decisions);
  INVARIANT (bench.picked == decisions, "picked=%u", bench.picked);
  quarantine_free (bench.quarantine);
  limiter_free (bench.limiter);
  estimates_free (bench.estimates);
  free_servers (&bench);
  free (bench.views);
  server_index_free (bench.index);
  config_unref (bench.config);
  return 0;
}
