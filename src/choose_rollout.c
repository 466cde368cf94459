/**
 * Sequential test of a new version. Badness is looked for by cumulative sums of log likelihood
 * ratios that never fall below zero (Page's test), so that a version which turns bad after an hour
 * of good answers is found as fast as one that is bad at once. Goodness is shown for each stage by
 * a sequential probability ratio test against a version that is worse by the stage's tolerance.
 */
#include "choose_rollout_control.h"

#include "util_memory.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THRESHOLD_SHARE 0.8 /**< of the old version's mean rating: the baseline brakes below */
#define THRESHOLD_LEAST 10  /**< ratings that the baseline waits for */
#define TIMER_MS        60000

typedef enum
{
  KIND_ERRORS,
  KIND_SLOW,
  KIND_RATING,
  KINDS
} Kind;

static const char *const kind_names[KINDS] = {
  [KIND_ERRORS] = "errors",
  [KIND_SLOW] = "slow answers",
  [KIND_RATING] = "ratings",
};

/** How much worse a bad version is thought to be; each is tested for on its own. */
static const double worse_by[] = { 0.05, 0.15, 0.4 };
#define ALTERNATIVES (sizeof worse_by / sizeof worse_by[0])

/** One team's figures show only what is plain. */
#define TEAM_FIRST_ALTERNATIVE 1

typedef struct
{
  double alarms[KINDS][ALTERNATIVES];
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
  double good[KINDS];  /**< evidence since the stage began that it is as good */
  RolloutEvidence sum; /**< of the new version in this stage */
  double expected_sum; /**< of its ratings, had the old version answered */
};

const RolloutSettings rollout_settings_default = {
  .alarm_threshold = 10,
  .pass = 3,
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
  memset (test->good, 0, sizeof test->good);
  test->sum = (RolloutEvidence){ 0 };
  test->expected_sum = 0;
}

void
rollout_test_add_control (RolloutTest *test, const RolloutEvidence *evidence)
{
  rollout_control_add (&test->control, evidence);
}

/** Logarithm of how much likelier count of n is at rate + worse than at rate. */
static double
rate_ratio (double count, double n, double rate, double worse)
{
  double other = fmin (rate + worse, ROLLOUT_RATE_MAX);

  return count * log (other / rate) + (n - count) * log ((1 - other) / (1 - rate));
}

/** The same for ratings with a mean that is lower by worse, from their sum. */
static double
rating_ratio (const RolloutEvidence *e, double mean, double variance, double worse)
{
  return worse / variance * ((mean - worse / 2) * e->rated - e->rating_sum);
}

/** ease: by how much the old version's mean rating is lowered. */
static double
kind_ratio (const RolloutExpected *old,
            Kind kind,
            const RolloutEvidence *e,
            double worse,
            double ease)
{
  switch (kind)
    {
    case KIND_ERRORS:
      return rate_ratio (e->errors, e->answers, old->error_rate, worse);
    case KIND_SLOW:
      return rate_ratio (e->slow, e->answers, old->slow_rate, worse);
    default:
      return rating_ratio (e, old->mean - ease, old->variance, worse);
    }
}

static void
add_alarms (const RolloutExpected *old,
            Alarms *alarms,
            const RolloutEvidence *evidence,
            double ease)
{
  unsigned kind, i;

  for (kind = 0; kind < KINDS; kind++)
    {
      for (i = 0; i < ALTERNATIVES; i++)
        {
          double ratio = kind_ratio (old, (Kind)kind, evidence, worse_by[i], ease);

          alarms->alarms[kind][i] = fmax (0, alarms->alarms[kind][i] + ratio);
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
  unsigned kind;

  if (evidence->answers == 0 && evidence->rated == 0)
    return;
  if (!rollout_control_is_live (&test->control, evidence->answers))
    counted.slow = 0;
  old = rollout_control_expected (&test->control, evidence);
  add_alarms (&old, &test->all, &counted, old.pooled_error);
  if (evidence->team < test->teams)
    add_alarms (&old, &test->team_alarms[evidence->team], &counted, old.error);
  for (kind = 0; kind < KINDS; kind++)
    test->good[kind] -= kind_ratio (&old, (Kind)kind, &counted, stage_tolerance (test), 0);
  test->expected_sum += old.mean * evidence->rated;
  test->sum.answers += evidence->answers;
  test->sum.errors += evidence->errors;
  test->sum.slow += evidence->slow;
  test->sum.rated += evidence->rated;
  test->sum.rating_sum += evidence->rating_sum;
}

/** The strongest alarm from the first alternative on. */
static double
alarm_strength (const Alarms *alarms, unsigned first, unsigned *kind_out)
{
  double most = 0;
  unsigned kind, i;

  *kind_out = 0;
  for (kind = 0; kind < KINDS; kind++)
    {
      for (i = first; i < ALTERNATIVES; i++)
        {
          if (alarms->alarms[kind][i] <= most)
            continue;
          most = alarms->alarms[kind][i];
          *kind_out = kind;
        }
    }
  return most;
}

static double
mean_rating (const RolloutEvidence *sum)
{
  return sum->rated > 0 ? sum->rating_sum / sum->rated : 0;
}

static RolloutDecision
brake (const RolloutTest *test, const char *whom, unsigned kind, double strength)
{
  RolloutDecision decision = { .verdict = ROLLOUT_BRAKE };

  snprintf (decision.why, sizeof decision.why,
            "%s of %s: strength %.1f; stage: %u answers, %u errors, %u slow, rating %.3f of %u",
            kind_names[kind], whom, strength, test->sum.answers, test->sum.errors, test->sum.slow,
            mean_rating (&test->sum), test->sum.rated);
  return decision;
}

/** The more tests there are, the stronger each must be for the same share of false alarms. */
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
  unsigned kind;
  size_t i;

  strength = alarm_strength (&test->all, 0, &kind);
  if (strength >= alarm_limit (test, KINDS * ALTERNATIVES))
    return brake (test, "all teams", kind, strength);
  for (i = 0; i < test->teams; i++)
    {
      strength = alarm_strength (&test->team_alarms[i], TEAM_FIRST_ALTERNATIVE, &kind);
      if (strength >= alarm_limit (test, KINDS * ALTERNATIVES * test->teams))
        return brake (test, "one team", kind, strength);
    }
  for (kind = 0; kind < KINDS; kind++)
    {
      if (test->good[kind] < test->settings.pass)
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

/** A baseline: a stage a minute, whatever happens. */
static RolloutDecision
decide_timer (const RolloutTest *test, int64_t now_ms)
{
  RolloutDecision decision = { .verdict = ROLLOUT_WAIT };

  if (now_ms - test->stage_since_ms >= TIMER_MS)
    decision.verdict = ROLLOUT_NEXT_STAGE;
  return decision;
}

/** A baseline: as the timer, but brakes when the stage's mean rating is well below the old one's.
 */
static RolloutDecision
decide_threshold (const RolloutTest *test, int64_t now_ms)
{
  if (test->sum.rated >= THRESHOLD_LEAST
      && test->sum.rating_sum < THRESHOLD_SHARE * test->expected_sum)
    return brake (test, "all teams", KIND_RATING, 0);
  return decide_timer (test, now_ms);
}
