/**
 * Sequential test of a new version. A worse version is detected by cumulative sums of log
 * likelihood ratios that never fall below zero (Page's test), so that a version that becomes worse
 * after an hour of good answers is detected as fast as one that is worse from the start. That the
 * version is good enough is tested anew in each stage by a sequential probability ratio test
 * against a version that is worse by the stage's tolerance.
 */
#include "choose_rollout_control.h"

#include "util_memory.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THRESHOLD_SHARE       0.8 /**< of the old version's mean rating; the baseline brakes below it */
#define THRESHOLD_RATINGS_MIN 10    /**< ratings that the baseline waits for */
#define TIMER_MS              60000 /**< duration of a stage with the timer baseline */
typedef enum
{
  METRIC_ERRORS,
  METRIC_SLOW,
  METRIC_RATING,
  METRICS
} Metric;

static const char *const metric_names[METRICS] = {
  [METRIC_ERRORS] = "errors",
  [METRIC_SLOW] = "slow answers",
  [METRIC_RATING] = "ratings",
};

/** Assumed differences of a worse version in rate or mean rating; each one is tested separately. */
static const double worse_by[] = { 0.05, 0.15, 0.4 };
#define ALTERNATIVES (sizeof worse_by / sizeof worse_by[0])

/** Index of the smallest difference that is tested for single teams: one team's evidence is too
 *  little for smaller ones. */
#define TEAM_FIRST_ALTERNATIVE 1

/** Cumulative log likelihood ratios, never below zero, of a version that is worse by each of
 *  worse_by. */
typedef struct
{
  double alarms[METRICS][ALTERNATIVES];
} Alarms;

struct RolloutTest
{
  RolloutSettings settings;
  size_t teams;
  size_t stage;
  int64_t stage_since_ms;
  RolloutControl control;
  Alarms all;
  Alarms *team_alarms;
  double pass_evidence[METRICS]; /**< log likelihood ratio since the stage began that the version is
                                    as good as the old one */
  RolloutEvidence sum;           /**< sums of the new version in this stage */
  double expected_sum;           /**< expected sum of its ratings if the old version had answered */
};

const RolloutSettings rollout_settings_default = {
  .alarm_threshold = 10,
  .pass_threshold = 3,
  .stage_tolerances = { 0.15, 0.1, 0.05, 0.05 },
  .stage_min_ms = 60000,
  .control_weight_max = 2000,
};

static RolloutDecision decide_sequential (const RolloutTest *test, int64_t now_ms);
static RolloutDecision decide_timer (const RolloutTest *test, int64_t now_ms);
static RolloutDecision decide_threshold (const RolloutTest *test, int64_t now_ms);

const RolloutPolicy rollout_policy_default = { .name = "sequential", .decide = decide_sequential };

static const RolloutPolicy policies[] = {
  { .name = "sequential", .decide = decide_sequential },
  { .name = "timer", .decide = decide_timer },
  { .name = "threshold", .decide = decide_threshold },
};

const RolloutPolicy *
rollout_policy_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

RolloutTest *
rollout_test_new (const RolloutSettings *settings, size_t teams, int64_t now_ms)
{
  RolloutTest *test = memory_alloc (sizeof *test);

  test->settings = *settings;
  test->teams = teams < ROLLOUT_TEAMS_MAX ? teams : ROLLOUT_TEAMS_MAX;
  test->team_alarms = memory_array (test->teams + 1, sizeof *test->team_alarms);
  rollout_control_init (&test->control, test->teams, settings->control_weight_max);
  test->stage_since_ms = now_ms;
  return test;
}

void
rollout_test_free (RolloutTest *test)
{
  free (test->team_alarms);
  rollout_control_clear (&test->control);
  free (test);
}

void
rollout_test_begin_stage (RolloutTest *test, size_t stage, int64_t now_ms)
{
  test->stage = stage;
  test->stage_since_ms = now_ms;
  memset (test->pass_evidence, 0, sizeof test->pass_evidence);
  test->sum = (RolloutEvidence){ 0 };
  test->expected_sum = 0;
}

void
rollout_test_add_control (RolloutTest *test, const RolloutEvidence *evidence)
{
  rollout_control_add (&test->control, evidence);
}

/** Log likelihood ratio of count events in n answers at rate + worse against rate. */
static double
rate_ratio (double count, double n, double rate, double worse)
{
  double other = fmin (rate + worse, ROLLOUT_RATE_MAX);

  return count * log (other / rate) + (n - count) * log ((1 - other) / (1 - rate));
}

/** The same for ratings whose mean is lower by worse, from their sum. */
static double
rating_ratio (const RolloutEvidence *e, double mean, double variance, double worse)
{
  return worse / variance * ((mean - worse / 2) * e->rated - e->rating_sum);
}

/** margin is subtracted from the old version's mean rating. */
static double
metric_ratio (const RolloutExpected *old,
              Metric metric,
              const RolloutEvidence *e,
              double worse,
              double margin)
{
  switch (metric)
    {
    case METRIC_ERRORS:
      return rate_ratio (e->errors, e->answers, old->error_rate, worse);
    case METRIC_SLOW:
      return rate_ratio (e->slow, e->answers, old->slow_rate, worse);
    default:
      return rating_ratio (e, old->mean - margin, old->variance, worse);
    }
}

static void
add_alarms (const RolloutExpected *old,
            Alarms *alarms,
            const RolloutEvidence *evidence,
            double margin)
{
  unsigned metric, i;

  for (metric = 0; metric < METRICS; metric++)
    {
      for (i = 0; i < ALTERNATIVES; i++)
        {
          double ratio = metric_ratio (old, (Metric)metric, evidence, worse_by[i], margin);

          alarms->alarms[metric][i] = fmax (0, alarms->alarms[metric][i] + ratio);
        }
    }
}

static double
stage_tolerance (const RolloutTest *test)
{
  size_t last = sizeof test->settings.stage_tolerances / sizeof (double) - 1;

  return test->settings.stage_tolerances[test->stage < last ? test->stage : last];
}

void
rollout_test_add (RolloutTest *test, const RolloutEvidence *evidence)
{
  RolloutEvidence counted = *evidence;
  RolloutExpected old;
  unsigned metric;

  if (evidence->answers == 0 && evidence->rated == 0)
    return;
  if (!rollout_control_is_live (&test->control, evidence->answers))
    counted.slow = 0;
  old = rollout_control_expected (&test->control, evidence);
  add_alarms (&old, &test->all, &counted, old.pooled_standard_error);
  if (evidence->team < test->teams)
    add_alarms (&old, &test->team_alarms[evidence->team], &counted, old.standard_error);
  for (metric = 0; metric < METRICS; metric++)
    test->pass_evidence[metric]
        -= metric_ratio (&old, (Metric)metric, &counted, stage_tolerance (test), 0);
  test->expected_sum += old.mean * evidence->rated;
  test->sum.answers += evidence->answers;
  test->sum.errors += evidence->errors;
  test->sum.slow += evidence->slow;
  test->sum.rated += evidence->rated;
  test->sum.rating_sum += evidence->rating_sum;
}

/** The largest alarm sum among the alternatives from index first on. */
static double
alarm_strength (const Alarms *alarms, unsigned first, unsigned *metric_out)
{
  double largest = 0;
  unsigned metric, i;

  *metric_out = 0;
  for (metric = 0; metric < METRICS; metric++)
    {
      for (i = first; i < ALTERNATIVES; i++)
        {
          if (alarms->alarms[metric][i] <= largest)
            continue;
          largest = alarms->alarms[metric][i];
          *metric_out = metric;
        }
    }
  return largest;
}

static double
mean_rating (const RolloutEvidence *sum)
{
  return sum->rated > 0 ? sum->rating_sum / sum->rated : 0;
}

static RolloutDecision
brake (const RolloutTest *test, const char *scope, unsigned metric, double strength)
{
  RolloutDecision decision = { .verdict = ROLLOUT_BRAKE };

  snprintf (decision.why, sizeof decision.why,
            "%s of %s: strength %.1f; stage: %u answers, %u errors, %u slow, rating %.3f of %u",
            metric_names[metric], scope, strength, test->sum.answers, test->sum.errors,
            test->sum.slow, mean_rating (&test->sum), test->sum.rated);
  return decision;
}

/** The alarm threshold for this number of parallel tests, which keeps the overall rate of false
 *  alarms. */
static double
alarm_limit (const RolloutTest *test, size_t tests)
{
  return test->settings.alarm_threshold + log ((double)tests);
}

static RolloutDecision
decide_sequential (const RolloutTest *test, int64_t now_ms)
{
  RolloutDecision decision = { .verdict = ROLLOUT_WAIT };
  double strength;
  unsigned metric;
  size_t i;

  strength = alarm_strength (&test->all, 0, &metric);
  if (strength >= alarm_limit (test, METRICS * ALTERNATIVES))
    return brake (test, "all teams", metric, strength);
  for (i = 0; i < test->teams; i++)
    {
      strength = alarm_strength (&test->team_alarms[i], TEAM_FIRST_ALTERNATIVE, &metric);
      if (strength >= alarm_limit (test, METRICS * ALTERNATIVES * test->teams))
        return brake (test, "one team", metric, strength);
    }
  for (metric = 0; metric < METRICS; metric++)
    {
      if (test->pass_evidence[metric] < test->settings.pass_threshold)
        return decision;
    }
  if (now_ms - test->stage_since_ms < test->settings.stage_min_ms)
    return decision;
  decision.verdict = ROLLOUT_NEXT_STAGE;
  snprintf (decision.why, sizeof decision.why,
            "as good within %.2f: %u answers, %u errors, %u slow, rating %.3f of %u",
            stage_tolerance (test), test->sum.answers, test->sum.errors, test->sum.slow,
            mean_rating (&test->sum), test->sum.rated);
  return decision;
}

/** Baseline: advances every TIMER_MS regardless of the evidence. */
static RolloutDecision
decide_timer (const RolloutTest *test, int64_t now_ms)
{
  RolloutDecision decision = { .verdict = ROLLOUT_WAIT };

  if (now_ms - test->stage_since_ms >= TIMER_MS)
    decision.verdict = ROLLOUT_NEXT_STAGE;
  return decision;
}

/** Baseline: like the timer, but brakes when the stage's mean rating is well below the old
 *  version's. */
static RolloutDecision
decide_threshold (const RolloutTest *test, int64_t now_ms)
{
  if (test->sum.rated >= THRESHOLD_RATINGS_MIN
      && test->sum.rating_sum < THRESHOLD_SHARE * test->expected_sum)
    return brake (test, "all teams", METRIC_RATING, 0);
  return decide_timer (test, now_ms);
}
