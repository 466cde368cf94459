/**
 * Regression bounds of the policies: ratios and counts on the virtual clock. They are the same on
 * any machine, except for rounding differences of the mathematical library.
 */
#include "model_check.h"

#include "model_group.h"
#include "model_site.h"
#include <stdio.h>
#include <string.h>

#define SEED             1
#define P99_RATIO_MAX    0.7  /**< of round-robin's p99 */
#define COST_RATIO_MAX   1.1  /**< of the oracle's cost */
#define TARGET_TOLERANCE 0.01 /**< by which a class's mean rating may miss its target */

static unsigned failed, passed;

static void
check (bool ok, const char *scenario, const char *what, double value, double bound)
{
  printf ("%s %-36s %-44s %10.4g, bound %.4g\n", ok ? "ok  " : "FAIL", scenario, what, value,
          bound);
  if (ok)
    passed++;
  else
    failed++;
}

static void
at_most (const char *scenario, const char *what, double value, double bound)
{
  check (value <= bound, scenario, what, value, bound);
}

static void
at_least (const char *scenario, const char *what, double value, double bound)
{
  check (value >= bound, scenario, what, value, bound);
}

/** Runs GROUP/SCENARIO under the named policy. An unknown name counts as a failed check. */
static ModelResult
run (const char *path, const char *policy_name)
{
  const char *slash = strchr (path, '/');
  size_t g, s, p, count;

  for (g = 0; g < model_group_count; g++)
    {
      const ModelGroup *group = &model_groups[g];
      const ModelPolicy *policies = group->policies (&count);

      if (strncmp (path, group->name, (size_t)(slash - path)) != 0
          || strlen (group->name) != (size_t)(slash - path))
        continue;
      for (s = 0; s < group->scenario_count; s++)
        for (p = 0; p < count; p++)
          if (strcmp (group->scenarios[s].name, slash + 1) == 0
              && strcmp (policies[p].name, policy_name) == 0)
            return model_run (&group->scenarios[s], &policies[p], SEED);
    }
  check (false, path, policy_name, 0, 0);
  return (ModelResult){ 0 };
}

/** Runs GROUP/SCENARIO and returns the 99th percentile of the time to the first token. */
static double
first_99 (const char *path, const char *policy)
{
  ModelResult result = run (path, policy);
  double p99 = times_quantile (&result.first, 0.99);

  result_free (&result);
  return p99;
}

static void
check_same_seed (void)
{
  ModelResult a = run ("servers/steady", "power-of-two");
  ModelResult b = run ("servers/steady", "power-of-two");

  at_most ("servers/steady", "answered, same on repetition", a.answered, b.answered);
  at_most ("servers/steady", "attempts, same on repetition", a.attempts, b.attempts);
  at_least ("servers/steady", "answered, same on repetition", a.answered, b.answered);
  at_least ("servers/steady", "first p99, same on repetition", times_quantile (&a.first, 0.99),
            times_quantile (&b.first, 0.99));
  at_most ("servers/steady", "first p99, same on repetition", times_quantile (&a.first, 0.99),
           times_quantile (&b.first, 0.99));
  result_free (&a);
  result_free (&b);
}

static void
check_servers (void)
{
  static const char *const paths[] = { "servers/steady", "servers/busy", "servers/burst",
                                       "servers/domain-lost", "servers/reports-5s-late" };
  size_t i;

  for (i = 0; i < sizeof paths / sizeof paths[0]; i++)
    {
      double p99 = first_99 (paths[i], "power-of-two");

      at_most (paths[i], "first p99 against 0.7 of round-robin's", p99,
               P99_RATIO_MAX * first_99 (paths[i], "round-robin"));
      at_most (paths[i], "first p99 against least-reported's", p99,
               first_99 (paths[i], "least-reported"));
      at_most (paths[i], "first p99 against random's", p99, first_99 (paths[i], "random"));
    }
}

static double
cost_per_answer (const ModelResult *result)
{
  return result->answered > 0 ? result->cost / result->answered : 0;
}

static void
check_cascade (void)
{
  const char *path = "cascade/steady";
  ModelResult learned = run (path, "learned");
  ModelResult oracle = run (path, "oracle");
  ModelResult fixed = run (path, "fixed");

  at_most (path, "cost per answer against 1.1 of the oracle's", cost_per_answer (&learned),
           COST_RATIO_MAX * cost_per_answer (&oracle));
  at_most (path, "cost per answer against the fixed cascade's", cost_per_answer (&learned),
           cost_per_answer (&fixed));
  at_least (path, "rating over target of the worst class", result_min_over_target (&learned),
            -TARGET_TOLERANCE);
  result_free (&learned);
  result_free (&oracle);
  result_free (&fixed);
}

static void
check_limits (void)
{
  const char *path = "limits/floods-without-limit";
  ModelResult fair = run (path, "fair");
  ModelResult first = run (path, "first-come");

  at_most (path, "others' requests refused in the end", fair.others_refused, 0);
  at_most (path, "others' first p99 against 0.25 of first-come's",
           times_quantile (&fair.others, 0.99), 0.25 * times_quantile (&first.others, 0.99));
  result_free (&fair);
  result_free (&first);
}

static void
check_retries (void)
{
  const char *path = "retries/after-burst-no-cancel-caller-retries";
  ModelResult limited = run (path, "budget+limits");
  ModelResult always = run (path, "always");
  ModelResult budget = run ("retries/after-burst-no-cancel", "budget");

  at_least (path, "answered in time of 1,000, budget and limits",
            1000.0 * limited.in_time / limited.submitted, 980);
  at_most (path, "answered in time of 1,000, always retrying",
           1000.0 * always.in_time / always.submitted, 500);
  at_least ("retries/after-burst-no-cancel", "answered in time of 1,000, budget",
            1000.0 * budget.in_time / budget.submitted, 980);
  result_free (&limited);
  result_free (&always);
  result_free (&budget);
}

static void
check_crash (void)
{
  ModelResult prompt = run ("crash/crash-prompt", "quarantine");
  ModelResult outage = run ("crash/pool-outage", "quarantine");

  at_most ("crash/crash-prompt", "engines crashed", prompt.crashed, 2);
  at_most ("crash/crash-prompt", "harmless requests refused", prompt.false_quarantines, 0);
  at_most ("crash/pool-outage", "harmless requests refused", outage.false_quarantines, 0);
  result_free (&prompt);
  result_free (&outage);
}

/** Checks that a bad candidate is braked before more than exposed_max, a share of all callers, got
 * its answers. */
static void
check_brake (const char *path, double exposed_max)
{
  ModelResult result = run (path, "sequential");

  at_least (path, "seconds until the brake", result.brake_s, 1);
  /* The roll-out site has 10 teams of 300 callers. */
  at_most (path, "callers exposed of 3,000", result.exposed, 3000 * exposed_max);
  result_free (&result);
}

static void
check_rollout (void)
{
  ModelResult good = run ("rollout/good", "sequential");

  at_most ("rollout/good", "braked", good.brake_s, 0);
  at_least ("rollout/good", "seconds until all callers get the candidate", good.done_s, 1);
  result_free (&good);
  check_brake ("rollout/bad-at-once", 0.01);
  check_brake ("rollout/slow", 0.01);
  check_brake ("rollout/bad-for-one-team", 0.5);
}

unsigned
model_check (void)
{
  check_same_seed ();
  check_servers ();
  check_cascade ();
  check_limits ();
  check_retries ();
  check_crash ();
  check_rollout ();
  printf ("%u passed, %u failed\n", passed, failed);
  return failed;
}
