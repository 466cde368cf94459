/** The sequential test of a new version: src/choose_rollout.c. */
#include "choose_rollout.h"
#include "suite.h"
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <string.h>

#define TEAMS   10
#define BATCHES 4000
#define BATCH   5 /**< answers of one team in a second */
#define SEEDS   20

/** What a version does. */
typedef struct
{
  double good, error, slow;
} Truth;

static const Truth old_truth = { .good = 0.7, .error = 0.01, .slow = 0.05 };

static RolloutEvidence
draw (gsl_rng *rng, unsigned team, const Truth *truth, unsigned answers)
{
  RolloutEvidence e = { .team = team, .answers = answers, .rated = answers };
  unsigned i;

  for (i = 0; i < answers; i++)
    {
      double rating = gsl_rng_uniform (rng) < truth->good ? 0.95 : 0.3;

      e.rating_sum += rating;
      e.rating_square_sum += rating * rating;
      e.errors += gsl_rng_uniform (rng) < truth->error;
      e.slow += gsl_rng_uniform (rng) < truth->slow;
    }
  return e;
}

typedef struct
{
  unsigned brakes;
  unsigned stages_at_brake;
  unsigned answers_at_brake; /**< summed over seeds, after turning bad */
  unsigned done;             /**< seeds in which three stages were passed */
} Outcome;

/** Runs a roll-out: the new version is like new_truth from batch turns on, for one team or, if team
 * is negative, for all. */
static Outcome
run (const char *policy_name, const Truth *new_truth, int team, unsigned turns)
{
  const RolloutPolicy *policy = rollout_policy_find (policy_name);
  Outcome out = { 0 };
  unsigned seed;

  for (seed = 0; seed < SEEDS; seed++)
    {
      gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
      RolloutTest *test = rollout_test_new (&rollout_settings_default, TEAMS, 0);
      unsigned i, stage = 0, answers = 0;

      gsl_rng_set (rng, seed + 1);
      for (i = 0; i < BATCHES; i++)
        {
          unsigned t = i % TEAMS;
          bool bad = i >= turns && (team < 0 || (unsigned)team == t);
          RolloutEvidence control = draw (rng, t, &old_truth, BATCH);
          RolloutEvidence fresh = draw (rng, t, bad ? new_truth : &old_truth, BATCH);
          RolloutDecision decision;

          rollout_test_add_control (test, &control);
          rollout_test_add (test, &fresh);
          answers += i >= turns ? BATCH : 0;
          decision = policy->decide (test, (int64_t)i * 1000);
          if (decision.verdict == ROLLOUT_BRAKE)
            {
              out.brakes++;
              out.stages_at_brake += stage;
              out.answers_at_brake += answers;
              CU_ASSERT (strlen (decision.why) > 0);
              break;
            }
          if (decision.verdict == ROLLOUT_NEXT_STAGE && stage < 3)
            rollout_test_begin_stage (test, ++stage, (int64_t)i * 1000);
        }
      out.done += stage == 3;
      rollout_test_free (test);
      gsl_rng_free (rng);
    }
  return out;
}

/* Story: a version as good as the old one is braked by chance after some days of roll-outs, and the
   operators learn not to heed brakes. */
static void
test_good_version_passes (void)
{
  Outcome out = run ("sequential", &old_truth, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, 0);
  CU_ASSERT_EQUAL (out.done, SEEDS);
}

static void
test_bad_at_once (void)
{
  const Truth bad = { .good = 0.35, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  CU_ASSERT_EQUAL (out.stages_at_brake, 0);
  CU_ASSERT (out.answers_at_brake <= SEEDS * 150);
}

static void
test_slightly_bad (void)
{
  const Truth bad = { .good = 0.6, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  CU_ASSERT_EQUAL (out.done, 0);
}

/* Story: the new version can't read one team's fault logs. Over all teams its ratings are within
   the tolerance, so each stage passes and that team is served badly for days. */
static void
test_bad_for_one_team (void)
{
  const Truth bad = { .good = 0.15, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, 3, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  out = run ("threshold", &bad, 3, 0);
  CU_ASSERT (out.brakes < SEEDS);
}

/* Story: a version is good for an hour and turns bad. A test that adds up all evidence has an hour
   of good answers to wear off first; here the sums never fall below zero. */
static void
test_turns_bad_late (void)
{
  const Truth bad = { .good = 0.35, .error = 0.01, .slow = 0.05 };
  Outcome at_once = run ("sequential", &bad, -1, 0);
  Outcome late = run ("sequential", &bad, -1, 3000);

  CU_ASSERT_EQUAL (late.brakes, SEEDS);
  CU_ASSERT (late.answers_at_brake <= 2 * at_once.answers_at_brake);
}

static void
test_slow_and_failing (void)
{
  const Truth slow = { .good = 0.7, .error = 0.01, .slow = 0.6 };
  const Truth failing = { .good = 0.7, .error = 0.2, .slow = 0.05 };

  CU_ASSERT_EQUAL (run ("sequential", &slow, -1, 0).brakes, SEEDS);
  CU_ASSERT_EQUAL (run ("sequential", &failing, -1, 0).brakes, SEEDS);
  CU_ASSERT_EQUAL (run ("timer", &failing, -1, 0).brakes, 0);
}

/* Story: all callers are at the new version, evening comes, and answers are slower than those of
   the old version were in the morning. Nothing answers by the old version to compare with. */
static void
test_slowness_needs_live_control (void)
{
  RolloutTest *test = rollout_test_new (&rollout_settings_default, 1, 0);
  RolloutEvidence control = { .answers = 2000, .rated = 2000, .rating_sum = 1600 };
  RolloutEvidence fresh = { .answers = 10, .rated = 10, .rating_sum = 8 };
  unsigned i;

  control.rating_square_sum = 1400;
  fresh.rating_square_sum = 7;
  rollout_test_add_control (test, &control);
  for (i = 0; i < 40; i++)
    rollout_test_add (test, &fresh);
  fresh.slow = 10;
  for (i = 0; i < 100; i++)
    rollout_test_add (test, &fresh);
  CU_ASSERT_NOT_EQUAL (rollout_policy_default.decide (test, 1).verdict, ROLLOUT_BRAKE);
  rollout_test_add_control (test, &control);
  for (i = 0; i < 10; i++)
    rollout_test_add (test, &fresh);
  CU_ASSERT_EQUAL (rollout_policy_default.decide (test, 1).verdict, ROLLOUT_BRAKE);
  rollout_test_free (test);
}

/* Story: the evidence of a class that is rated hard is set against a control of classes that are
   rated mildly, because the gates rate them unlike often: a good version looks bad. */
static void
test_like_with_like (void)
{
  RolloutTest *test = rollout_test_new (&rollout_settings_default, 1, 0);
  RolloutEvidence mild = { .answers = 1000, .rated = 1000, .rating_sum = 900 };
  RolloutEvidence hard = { .request_kind = 2, .answers = 50, .rated = 50, .rating_sum = 20 };
  unsigned i;

  mild.rating_square_sum = 850;
  hard.rating_square_sum = 12;
  rollout_test_add_control (test, &mild);
  for (i = 0; i < 20; i++)
    rollout_test_add_control (test, &hard);
  for (i = 0; i < 20; i++)
    rollout_test_add (test, &hard);
  CU_ASSERT_NOT_EQUAL (rollout_policy_default.decide (test, 1).verdict, ROLLOUT_BRAKE);
  hard.request_kind = 0;
  for (i = 0; i < 20; i++)
    rollout_test_add (test, &hard);
  CU_ASSERT_EQUAL (rollout_policy_default.decide (test, 1).verdict, ROLLOUT_BRAKE);
  rollout_test_free (test);
}

static void
test_inputs_out_of_range (void)
{
  RolloutTest *test = rollout_test_new (&rollout_settings_default, 0, 0);
  RolloutEvidence e = { .team = 9999, .request_kind = 9999, .answers = 1, .rated = 1 };
  RolloutEvidence none = { 0 };

  rollout_test_add_control (test, &e);
  rollout_test_add (test, &e);
  rollout_test_add (test, &none);
  CU_ASSERT_EQUAL (rollout_policy_default.decide (test, 0).verdict, ROLLOUT_WAIT);
  CU_ASSERT_PTR_NULL (rollout_policy_find ("hope"));
  rollout_test_free (test);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "good_version_passes", test_good_version_passes },
    { "bad_at_once", test_bad_at_once },
    { "slightly_bad", test_slightly_bad },
    { "bad_for_one_team", test_bad_for_one_team },
    { "turns_bad_late", test_turns_bad_late },
    { "slow_and_failing", test_slow_and_failing },
    { "slowness_needs_live_control", test_slowness_needs_live_control },
    { "like_with_like", test_like_with_like },
    { "inputs_out_of_range", test_inputs_out_of_range },
  };

  return suite_main (argc, argv, "choose_rollout", cases, SUITE_COUNT (cases));
}
