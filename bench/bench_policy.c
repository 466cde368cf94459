/**
 * Compares the policies of the gate and the steward with baselines, over seeded scenarios on a
 * virtual clock.
 *
 *   bench_policy [all|GROUP [SEEDS [SCENARIO]]]
 *     Prints a table per scenario: mean and standard deviation over the seeds.
 *   bench_policy data [SEEDS]
 *     Prints a line per figure, for plots: group scenario policy figure mean deviation
 *   bench_policy check
 *     Checks the regression bounds of model_check.c; part of CI.
 *
 * Groups: servers, cascade, limits, retries, crash, rollout. The same seeds give the same results.
 */
#include "model_check.h"
#include "model_group.h"
#include "model_site.h"

#include "util_memory.h"
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_MAX     32
#define SEEDS_DEFAULT 5

/** Values of a figure, one per seed. */
typedef struct
{
  double values[SEEDS_MAX];
} Figure;

enum
{
  FIGURE_COST,
  FIGURE_GOOD,
  FIGURE_OVER_TARGET,
  FIGURE_FIRST_50,
  FIGURE_FIRST_95,
  FIGURE_FIRST_99,
  FIGURE_WHOLE_50,
  FIGURE_WHOLE_95,
  FIGURE_WHOLE_99,
  FIGURE_GOODPUT,
  FIGURE_REFUSED,
  FIGURE_FAILED,
  FIGURE_RETRIES,
  FIGURE_OTHERS_99,
  FIGURE_OTHERS_REFUSED,
  FIGURE_CRASHED,
  FIGURE_FALSE_QUARANTINES,
  FIGURE_EXPOSED,
  FIGURE_EXPOSED_BAD,
  FIGURE_BRAKE,
  FIGURE_DONE,
  FIGURE_COUNT
};

/** Names as printed. Times (first, whole) are in milliseconds, those that end in -s in seconds. */
static const char *const figure_names[FIGURE_COUNT] = {
  [FIGURE_COST] = "cost",
  [FIGURE_GOOD] = "good%",
  [FIGURE_OVER_TARGET] = "over-target",
  [FIGURE_FIRST_50] = "first50",
  [FIGURE_FIRST_95] = "first95",
  [FIGURE_FIRST_99] = "first99",
  [FIGURE_WHOLE_50] = "whole50",
  [FIGURE_WHOLE_95] = "whole95",
  [FIGURE_WHOLE_99] = "whole99",
  [FIGURE_GOODPUT] = "goodput/s",
  [FIGURE_REFUSED] = "refused%",
  [FIGURE_FAILED] = "failed%",
  [FIGURE_RETRIES] = "retry%",
  [FIGURE_CRASHED] = "crashed",
  [FIGURE_FALSE_QUARANTINES] = "innocent",
  [FIGURE_EXPOSED] = "exposed%",
  [FIGURE_OTHERS_99] = "others-first99",
  [FIGURE_OTHERS_REFUSED] = "others-refused%",
  [FIGURE_EXPOSED_BAD] = "got-bad%",
  [FIGURE_BRAKE] = "brake-s",
  [FIGURE_DONE] = "done-s",
};

static double
ratio (double part, double total)
{
  return total > 0 ? part / total : 0;
}

static void
figures_set (Figure *figures, unsigned seed, const ModelScenario *scenario, ModelResult *r)
{
  double seconds = (double)(scenario->length_ms - scenario->warm_ms) / 1000;
  double callers;

  figures[FIGURE_COST].values[seed] = ratio (r->cost, r->answered);
  figures[FIGURE_GOOD].values[seed] = 100 * ratio (r->good, r->with_class);
  figures[FIGURE_OVER_TARGET].values[seed] = result_min_over_target (r);
  figures[FIGURE_FIRST_50].values[seed] = times_quantile (&r->first, 0.5);
  figures[FIGURE_FIRST_95].values[seed] = times_quantile (&r->first, 0.95);
  figures[FIGURE_FIRST_99].values[seed] = times_quantile (&r->first, 0.99);
  figures[FIGURE_WHOLE_50].values[seed] = times_quantile (&r->whole, 0.5);
  figures[FIGURE_WHOLE_95].values[seed] = times_quantile (&r->whole, 0.95);
  figures[FIGURE_WHOLE_99].values[seed] = times_quantile (&r->whole, 0.99);
  figures[FIGURE_GOODPUT].values[seed] = r->in_time / seconds;
  figures[FIGURE_REFUSED].values[seed] = 100 * ratio (result_refused (r), r->submitted);
  figures[FIGURE_FAILED].values[seed] = 100 * ratio (r->failed, r->submitted);
  callers = (double)scenario->callers * scenario->config.teams;
  figures[FIGURE_OTHERS_99].values[seed] = times_quantile (&r->others, 0.99);
  figures[FIGURE_OTHERS_REFUSED].values[seed]
      = 100 * ratio (r->others_refused, r->others_submitted);
  figures[FIGURE_CRASHED].values[seed] = r->crashed;
  figures[FIGURE_FALSE_QUARANTINES].values[seed] = r->false_quarantines;
  figures[FIGURE_EXPOSED].values[seed] = 100 * r->exposed / callers;
  figures[FIGURE_EXPOSED_BAD].values[seed] = 100 * r->exposed_bad / callers;
  figures[FIGURE_BRAKE].values[seed] = r->brake_s;
  figures[FIGURE_DONE].values[seed] = r->done_s;
  figures[FIGURE_RETRIES].values[seed] = 100 * ratio (r->retries, r->attempts);
}

/** Decimal places to print, for three or four significant digits. */
static int
decimals (double x)
{
  if (x >= 100 || x <= -100)
    return 0;
  return x >= 10 ? 1 : 3;
}

static void
print_row (const char *policy, const Figure *figures, unsigned seeds)
{
  unsigned i;

  printf ("%-16s", policy);
  for (i = 0; i < FIGURE_COUNT; i++)
    {
      double mean = gsl_stats_mean (figures[i].values, 1, seeds);
      double deviation = seeds > 1 ? gsl_stats_sd (figures[i].values, 1, seeds) : 0;

      printf (" %9.*f ±%-6.*f", decimals (mean), mean, decimals (mean), deviation);
    }
  printf ("\n");
}

static void
print_header (const char *group, const char *scenario, unsigned seeds)
{
  unsigned i;

  printf ("\n%s/%s, %u seeds\n%-16s", group, scenario, seeds, "policy");
  for (i = 0; i < FIGURE_COUNT; i++)
    printf (" %17s", figure_names[i]);
  printf ("\n");
}

/** Prints the figures of one policy as lines for a plot. */
static void
print_data (const char *group,
            const char *scenario,
            const char *policy,
            const Figure *figures,
            unsigned seeds)
{
  unsigned i;

  for (i = 0; i < FIGURE_COUNT; i++)
    {
      double mean = gsl_stats_mean (figures[i].values, 1, seeds);
      double deviation = seeds > 1 ? gsl_stats_sd (figures[i].values, 1, seeds) : 0;

      printf ("%s %s %s %s %.6g %.6g\n", group, scenario, policy, figure_names[i], mean, deviation);
    }
}

static void
run_scenario (const ModelGroup *group, const ModelScenario *scenario, unsigned seeds, bool data)
{
  size_t i, count;
  const ModelPolicy *policies = group->policies (&count);
  unsigned seed;

  if (!data)
    print_header (group->name, scenario->name, seeds);
  for (i = 0; i < count; i++)
    {
      Figure figures[FIGURE_COUNT];

      for (seed = 0; seed < seeds; seed++)
        {
          ModelResult result = model_run (scenario, &policies[i], seed + 1);

          figures_set (figures, seed, scenario, &result);
          result_free (&result);
        }
      if (data)
        print_data (group->name, scenario->name, policies[i].name, figures, seeds);
      else
        print_row (policies[i].name, figures, seeds);
    }
}

int
main (int argc, char **argv)
{
  unsigned seeds = argc > 2 ? (unsigned)strtoul (argv[2], NULL, 10) : SEEDS_DEFAULT;
  bool data = argc > 1 && strcmp (argv[1], "data") == 0;
  size_t g, s;

  if (argc > 1 && strcmp (argv[1], "check") == 0)
    return model_check () == 0 ? 0 : 1;
  if (seeds < 1 || seeds > SEEDS_MAX)
    seeds = SEEDS_DEFAULT;
  for (g = 0; g < model_group_count; g++)
    {
      if (argc > 1 && strcmp (argv[1], model_groups[g].name) != 0 && strcmp (argv[1], "all") != 0
          && !data)
        continue;
      for (s = 0; s < model_groups[g].scenario_count; s++)
        {
          if (argc > 3 && strcmp (argv[3], model_groups[g].scenarios[s].name) != 0)
            continue;
          run_scenario (&model_groups[g], &model_groups[g].scenarios[s], seeds, data);
        }
    }
  return 0;
}
