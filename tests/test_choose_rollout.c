/** The sequential test of a new version: src/choose_rollout.c. */
#include "choose_rollout.h"
#include "suite.h"
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <string.h>

#define TEAMS   10
#define BATCHES 4000
#define BATCH   5 /**< answers of one team per batch; a batch takes 1 s */
#define SEEDS   20

/** A version's rates of good ratings, errors and slow answers. */
typedef struct
{
  double good, error, slow;
} Behaviour;

static const Behaviour old_behaviour = { .good = 0.7, .error = 0.01, .slow = 0.05 };

static RolloutEvidence
draw (gsl_rng *rng, unsigned team, const Behaviour *behaviour, unsigned answers)
{
  RolloutEvidence e = { .team = team, .answers = answers, .rated = answers };
  unsigned i;

  for (i = 0; i < answers; i++)
    {
      double rating = gsl_rng_uniform (rng) < behaviour->good ? 0.95 : 0.3;

      e.rating_sum += rating;
      e.rating_square_sum += rating * rating;
      e.errors += gsl_rng_uniform (rng) < behaviour->error;
      e.slow += gsl_rng_uniform (rng) < behaviour->slow;
    }
  return e;
}

typedef struct
{
  unsigned brakes;
  unsigned stages_at_brake;
  unsigned answers_at_brake; /**< answers from the first bad batch on, summed over the seeds */
  unsigned done;             /**< number of seeds in which three stages were passed */
} Outcome;

/** Runs a roll-out for each seed: from batch first_bad_batch on, the new version behaves like
 *  new_behaviour, for one team or, if team is negative, for all; before that, like the old version.
 */
static Outcome
run (const char *policy_name, const Behaviour *new_behaviour, int team, unsigned first_bad_batch)
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
          bool bad = i >= first_bad_batch && (team < 0 || (unsigned)team == t);
          RolloutEvidence control = draw (rng, t, &old_behaviour, BATCH);
          RolloutEvidence fresh = draw (rng, t, bad ? new_behaviour : &old_behaviour, BATCH);
          RolloutDecision decision;

          rollout_test_add_control (test, &control);
          rollout_test_add (test, &fresh);
          answers += i >= first_bad_batch ? BATCH : 0;
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

/* A version as good as the old one must not be braked by chance, or operators learn to ignore
   brakes. */
static void
test_good_version_passes (void)
{
  Outcome out = run ("sequential", &old_behaviour, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, 0);
  CU_ASSERT_EQUAL (out.done, SEEDS);
}

static void
test_bad_version_is_braked_at_once (void)
{
  const Behaviour bad = { .good = 0.35, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  CU_ASSERT_EQUAL (out.stages_at_brake, 0);
  CU_ASSERT (out.answers_at_brake <= SEEDS * 150);
}

static void
test_slightly_bad_version_is_braked (void)
{
  const Behaviour bad = { .good = 0.6, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, -1, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  CU_ASSERT_EQUAL (out.done, 0);
}

/* The new version answers one team badly. Over all teams its ratings are within the tolerance, so
   without a test per team each stage would pass and that team be served badly for days. */
static void
test_version_bad_for_one_team_is_braked (void)
{
  const Behaviour bad = { .good = 0.15, .error = 0.01, .slow = 0.05 };
  Outcome out = run ("sequential", &bad, 3, 0);

  CU_ASSERT_EQUAL (out.brakes, SEEDS);
  out = run ("threshold", &bad, 3, 0);
  CU_ASSERT (out.brakes < SEEDS);
}

/* A version that becomes bad after an hour of good answers must be braked as fast as one that is
   bad from the start. A test that sums up all evidence would first have to offset the good hour;
   here the sums never fall below zero. */
static void
test_version_that_becomes_bad_is_braked_fast (void)
{
  const Behaviour bad = { .good = 0.35, .error = 0.01, .slow = 0.05 };
  Outcome at_once = run ("sequential", &bad, -1, 0);
  Outcome late = run ("sequential", &bad, -1, 3000);

  CU_ASSERT_EQUAL (late.brakes, SEEDS);
  CU_ASSERT (late.answers_at_brake <= 2 * at_once.answers_at_brake);
}

static void
test_slow_or_failing_version_is_braked (void)
{
  const Behaviour slow = { .good = 0.7, .error = 0.01, .slow = 0.6 };
  const Behaviour failing = { .good = 0.7, .error = 0.2, .slow = 0.05 };

  CU_ASSERT_EQUAL (run ("sequential", &slow, -1, 0).brakes, SEEDS);
  CU_ASSERT_EQUAL (run ("sequential", &failing, -1, 0).brakes, SEEDS);
  CU_ASSERT_EQUAL (run ("timer", &failing, -1, 0).brakes, 0);
}

/* With all callers on the new version nothing is answered by the old one, and answers at a busier
   time of day are slower than the old version's were. That must not brake the new version. */
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

/* Classes differ in how strictly they are rated, and gates don't rate all of them equally often.
   Evidence of a strictly rated class compared with a control of mildly rated classes would make a
   good version look bad. */
static void
test_only_same_kinds_are_compared (void)
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
test_evidence_out_of_range_is_ignored (void)
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
    { "bad_version_is_braked_at_once", test_bad_version_is_braked_at_once },
    { "slightly_bad_version_is_braked", test_slightly_bad_version_is_braked },
    { "version_bad_for_one_team_is_braked", test_version_bad_for_one_team_is_braked },
    { "version_that_becomes_bad_is_braked_fast", test_version_that_becomes_bad_is_braked_fast },
    { "slow_or_failing_version_is_braked", test_slow_or_failing_version_is_braked },
    { "slowness_needs_live_control", test_slowness_needs_live_control },
    { "only_same_kinds_are_compared", test_only_same_kinds_are_compared },
    { "evidence_out_of_range_is_ignored", test_evidence_out_of_range_is_ignored },
  };

  return suite_main (argc, argv, "choose_rollout", cases, SUITE_COUNT (cases));
}
