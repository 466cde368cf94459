/**
 * Compares policies of lovage-front, for the choice of the server and of the model's size, over
 * seeded scenarios on a virtual clock.
 *
 *   bench_front [SEEDS [SCENARIO]]
 *     Prints a table per scenario: mean and standard deviation over the seeds.
 *   bench_front data [SEEDS]
 *     Prints a line per figure, for plots: scenario policy figure mean deviation
 *   bench_front check
 *     Checks with one seed that lovage-front's own policy ("product") leads the other policies as
 *     required; part of CI.
 */
#include "front_model.h"
#include "util_span.h"
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS_MAX     32
#define SEEDS_DEFAULT 5
#define SEEDS_CHECK   1

typedef struct
{
  const char *name; /* as printed */
  size_t offset;    /* in ModelResult */
} FigureKind;

static const FigureKind figures[] = {
  { "in-time", offsetof (ModelResult, in_time) },
  { "worth", offsetof (ModelResult, worth) },
  { "price", offsetof (ModelResult, price) },
  { "net", offsetof (ModelResult, net) },
  { "first50-ms", offsetof (ModelResult, first_p50_ms) },
  { "first99-ms", offsetof (ModelResult, first_p99_ms) },
  { "far", offsetof (ModelResult, other_domain) },
  { "reread", offsetof (ModelResult, reread) },
};
#define FIGURES (sizeof figures / sizeof figures[0])

typedef struct
{
  double mean;
  double deviation;
} Spread;

static Spread
spread_of (const ModelResult *results, unsigned seeds, const FigureKind *figure)
{
  double values[SEEDS_MAX] = { 0 };

  for (unsigned i = 0; i < seeds; i++)
    memcpy (&values[i], (const char *)&results[i] + figure->offset, sizeof values[i]);
  return (Spread){
    .mean = gsl_stats_mean (values, 1, seeds),
    .deviation = seeds > 1 ? gsl_stats_sd (values, 1, seeds) : 0,
  };
}

/* Runs seeds 1, 2, 3 and so on: the same for every policy, so that all get the same requests. */
static void
simulate_seeds (const Scenario *scenario,
                const Policy *policy,
                unsigned seeds,
                ModelResult *results)
{
  for (unsigned i = 0; i < seeds; i++)
    results[i] = model_simulate (scenario, policy, i + 1);
}

static void
print_table (const Scenario *scenario, unsigned seeds)
{
  printf ("%-15s", scenario->name);
  for (size_t f = 0; f < FIGURES; f++)
    printf (" %16s", figures[f].name);
  printf ("\n");
  for (unsigned i = 0; i < model_policy_count; i++)
    {
      ModelResult results[SEEDS_MAX];

      simulate_seeds (scenario, &model_policies[i], seeds, results);
      printf ("  %-13s", model_policies[i].name);
      for (size_t f = 0; f < FIGURES; f++)
        {
          Spread spread = spread_of (results, seeds, &figures[f]);

          printf (" %8.3f +- %4.3f", spread.mean, spread.deviation);
        }
      printf ("\n");
    }
}

static void
print_data (unsigned seeds)
{
  for (unsigned s = 0; s < model_scenario_count; s++)
    {
      for (unsigned i = 0; i < model_policy_count; i++)
        {
          ModelResult results[SEEDS_MAX];

          simulate_seeds (&model_scenarios[s], &model_policies[i], seeds, results);
          for (size_t f = 0; f < FIGURES; f++)
            {
              Spread spread = spread_of (results, seeds, &figures[f]);

              printf ("%s %s %s %.6f %.6f\n", model_scenarios[s].name, model_policies[i].name,
                      figures[f].name, spread.mean, spread.deviation);
            }
        }
    }
}

static double
net_of (const Scenario *scenario, const Policy *policy)
{
  ModelResult results[SEEDS_CHECK];
  FigureKind net = { "net", offsetof (ModelResult, net) };

  simulate_seeds (scenario, policy, SEEDS_CHECK, results);
  return spread_of (results, SEEDS_CHECK, &net).mean;
}

/* Checks that the policy "product", the first one, leads every other one by the scenario's
 * net_lead_min. */
static int
check (void)
{
  unsigned failures = 0;

  for (unsigned s = 0; s < model_scenario_count; s++)
    {
      double product = net_of (&model_scenarios[s], &model_policies[0]);

      for (unsigned i = 1; i < model_policy_count; i++)
        {
          double other = net_of (&model_scenarios[s], &model_policies[i]);
          bool passed = product >= other + model_scenarios[s].net_lead_min;

          printf ("%s: product %.3f, %s %.3f%s\n", model_scenarios[s].name, product,
                  model_policies[i].name, other, passed ? "" : " FAILED");
          failures += !passed;
        }
    }
  return failures > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Returns 0 if the text is not a valid number of seeds. */
static unsigned
read_seeds (const char *text)
{
  int64_t seeds;

  if (!span_number (span_of (text), &seeds) || seeds < 1 || seeds > SEEDS_MAX)
    return 0;
  return (unsigned)seeds;
}

static int
usage (void)
{
  fprintf (stderr,
           "bench_front: expected [SEEDS [SCENARIO]], data [SEEDS] or check; SEEDS: 1 to %d\n",
           SEEDS_MAX);
  return EXIT_FAILURE;
}

static int
print_tables (unsigned seeds, const char *only)
{
  unsigned shown = 0;

  for (unsigned s = 0; s < model_scenario_count; s++)
    {
      if (only && strcmp (only, model_scenarios[s].name) != 0)
        continue;
      print_table (&model_scenarios[s], seeds);
      shown++;
    }
  return shown > 0 ? EXIT_SUCCESS : usage ();
}

int
main (int argc, char **argv)
{
  bool is_data = argc > 1 && strcmp (argv[1], "data") == 0;
  const char *number = argc > 1 + is_data ? argv[1 + is_data] : NULL;
  unsigned seeds = number ? read_seeds (number) : SEEDS_DEFAULT;

  if (argc == 2 && strcmp (argv[1], "check") == 0)
    return check ();
  if (seeds == 0 || argc > 3)
    return usage ();
  if (!is_data)
    return print_tables (seeds, argc == 3 ? argv[2] : NULL);
  print_data (seeds);
  return EXIT_SUCCESS;
}
