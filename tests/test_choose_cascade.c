/** The learned order of stages: src/choose_cascade.c, src/choose_search.c,
 *  src/choose_estimate.c. */
#include "choose_cascade.h"
#include "suite.h"
#include "util_id.h"
#include <stdio.h>
#include <string.h>

#define KEY_HASH "000000000000000000000000000000000000000000000000000000000000000"

static const char document[]
    = "{\"models\":{"
      "\"a\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":1,\"prior_quality\":0.6}}}"
      ","
      "\"b\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":4,\"prior_quality\":0.8}}}"
      ","
      "\"c\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":12,\"prior_quality\":0.95}"
      "}}},"
      "\"classes\":{"
      "\"report\":{\"stages\":[\"a\",\"b\",\"c\"],\"quality_target\":0.8,\"idempotent\":true},"
      "\"query\":{\"stages\":[\"a\",\"b\",\"c\"],\"quality_target\":0.9,\"idempotent\":true},"
      "\"issue\":{\"stages\":[\"a\",\"b\",\"c\"],\"quality_target\":0.8,\"idempotent\":false},"
      "\"perfect\":{\"stages\":[\"a\",\"b\"],\"quality_target\":0.99,\"idempotent\":true}},"
      "\"teams\":{\"t\":{\"key_hash\":\"" KEY_HASH "1\",\"allow\":[\"a@v1\",\"b@v1\",\"c@v1\"]},"
      "\"u\":{\"key_hash\":\"" KEY_HASH "2\",\"allow\":[\"a@v1\",\"b@v1\",\"c@v1\"]}}}";

enum
{
  A,
  B,
  C
};

static Config *config;
static Estimates *estimates;
static ChooseRequest request;
static CascadeQuery query;

static void
setup (const char *class_name)
{
  CheckList list = { .file = "test" };

  config = config_parse (document, strlen (document), 1, &list);
  if (config == NULL)
    {
      puts (list.text.data);
      CU_FAIL_FATAL ("the document does not parse");
    }
  estimates = estimates_new (&estimate_settings_default);
  request = (ChooseRequest){ .config = config, .model = class_name, .now_ms = 1000 };
  query = (CascadeQuery){
    .request = &request,
    .estimates = estimates,
    .settings = &cascade_settings_default,
    .rating_available = true,
    .rating_ms = 100,
    .random = ~0ULL, /* neither explores nor takes the plan below the target of a mixture */
  };
}

static void
teardown (void)
{
  estimates_free (estimates);
  config_unref (config);
}

static Reason
plan_now (ChoosePlan *plan)
{
  return cascade_policy_default.plan (&query, plan);
}

/** Records n ratings of a version, of which the share pass_share passes; previous -1: as the first
 *  stage. */
static void
record_ratings (unsigned version, int previous, unsigned n, double pass_share)
{
  int class_index = config_find_class (config, request.model);
  CascadeOutcome outcome = {
    .config = config,
    .class_index = class_index,
    .team = request.team,
    .version = version,
    .previous = previous,
    .quality_target = config->classes[class_index].quality_target,
    .now_ms = request.now_ms,
  };
  unsigned i;

  for (i = 0; i < n; i++)
    cascade_record_rating (estimates, &outcome, i < pass_share * n ? 0.95 : 0.2);
}

static void
test_priors_order_stages_by_cost (void)
{
  ChoosePlan plan;

  setup ("report");
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.basis, PLAN_LEARNED);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  CU_ASSERT (plan.count >= 2);
  CU_ASSERT_TRUE (plan.rated);
  CU_ASSERT_FALSE (plan.below_target);
  teardown ();
}

/* A cheap version whose answers no longer pass must be left out: otherwise each request pays for
   its answer and rating before the next stage is tried. It must return when it passes again. */
static void
test_skips_stage_that_does_not_pay (void)
{
  ChoosePlan plan;

  setup ("report");
  record_ratings (A, -1, 300, 0.02);
  record_ratings (B, -1, 300, 0.9);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], B);
  record_ratings (A, -1, 2000, 0.95);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  teardown ();
}

/* The plan must not depend on the unit of costs. If a rating had a fixed price, it would cost more
   than any answer in a document whose costs are in dollars instead of cents, and no cascade would
   be chosen. */
static void
test_cost_units_do_not_matter (void)
{
  ChoosePlan cents, dollars;
  unsigned i;

  setup ("report");
  CU_ASSERT_EQUAL (plan_now (&cents), REASON_NONE);
  CU_ASSERT (cents.count > 1);
  for (i = 0; i < config->version_count; i++)
    config->versions[i].cost_per_1k /= 10000;
  CU_ASSERT_EQUAL (plan_now (&dollars), REASON_NONE);
  CU_ASSERT_EQUAL (cents.count, dollars.count);
  for (i = 0; i < cents.count && i < dollars.count; i++)
    CU_ASSERT_EQUAL (cents.versions[i], dollars.versions[i]);
  teardown ();
}

/* The class is easier than its priors say: the cheap version passes 9 in 10, more than the prior of
   the next version. Compared with that prior, the next version would seem to pass none of the rest
   and never be tried, and the most expensive one would always be used. */
static void
test_easy_class_does_not_hide_next_version (void)
{
  ChoosePlan plan;

  setup ("query");
  record_ratings (A, -1, 400, 0.88);
  request.team = 1;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT (plan.count >= 2);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  CU_ASSERT_EQUAL (plan.versions[1], B);
  teardown ();
}

/* A version that answers one team badly and all others well must not be that team's only stage
   because of its mean over all teams. */
static void
test_own_ratings_outweigh_the_mean_of_teams (void)
{
  ChoosePlan plan;

  setup ("report");
  request.team = 1;
  record_ratings (B, -1, 300, 0.2);
  request.team = 0;
  record_ratings (B, -1, 2000, 0.98);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT (plan.versions[plan.count - 1] == B || plan.versions[plan.count - 1] == A);
  request.team = 1;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[plan.count - 1], C);
  teardown ();
}

/* A version that becomes worse must not keep its estimate because of thousands of old ratings: old
   ratings decay, and the weight of all of them is bounded. */
static void
test_estimates_decay_and_are_bounded (void)
{
  Estimate e;
  EstimateKey key = { .class_key = 1, .version_key = 2 };
  int64_t half = estimate_settings_default.half_life_ms;
  unsigned i;

  setup ("report");
  for (i = 0; i < 100; i++)
    estimates_add_rating (estimates, &key, 1, true, 0);
  e = estimates_read (estimates, &key, half, false);
  CU_ASSERT_DOUBLE_EQUAL (e.weight, 100, 1e-6);
  e = estimates_read (estimates, &key, half, true);
  CU_ASSERT_DOUBLE_EQUAL (e.weight, 50, 1e-6);
  CU_ASSERT_DOUBLE_EQUAL (e.pass, 1, 1e-6);
  for (i = 0; i < 5000; i++)
    estimates_add_rating (estimates, &key, 0, false, half);
  e = estimates_read (estimates, &key, half, true);
  CU_ASSERT (e.weight <= estimate_settings_default.weight_max + 1e-6);
  CU_ASSERT (e.pass < 0.01);
  key.version_key = 3;
  e = estimates_read (estimates, &key, half, true);
  CU_ASSERT_EQUAL (e.weight, 0);
  teardown ();
}

/* While the rating service is down, a plan must not rate its first stage, or every request would
   wait for a rating that doesn't come. It has a single stage, chosen by the last known ratings, and
   reports that. */
static void
test_single_stage_without_ratings (void)
{
  ChoosePlan plan;

  setup ("report");
  record_ratings (A, -1, 400, 0.5);
  record_ratings (B, -1, 400, 0.97);
  query.rating_available = false;
  request.now_ms += 100 * estimate_settings_default.half_life_ms;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.basis, PLAN_UNRATED);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], B);
  CU_ASSERT_FALSE (plan.rated);
  teardown ();
}

/* With 4 s until the deadline, trying the cheap version first would leave too little time for the
   second stage. Only versions that finish in time may be planned, and a plan that can't is marked
   late. */
static void
test_plans_finish_by_the_deadline (void)
{
  CascadeOutcome outcome = { .quality_target = 0.8, .now_ms = 1000, .previous = -1 };
  ChoosePlan plan;
  unsigned i;

  setup ("report");
  outcome.config = config;
  outcome.class_index = config_find_class (config, "report");
  for (i = 0; i < 50; i++)
    {
      outcome.version = A;
      cascade_record_run (estimates, &outcome, 800, 2000);
      outcome.version = B;
      cascade_record_run (estimates, &outcome, 800, 9000);
      outcome.version = C;
      cascade_record_run (estimates, &outcome, 800, 3000);
    }
  request.deadline_ms = request.now_ms + 4000;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], C);
  CU_ASSERT_FALSE (plan.late);
  request.deadline_ms = request.now_ms + 2000;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_TRUE (plan.late);
  CU_ASSERT_EQUAL (plan.versions[0], C);
  request.deadline_ms = request.now_ms;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_DEADLINE_PAST);
  teardown ();
}

/* If no allowed version reaches the target, requests are refused with that reason, except for a
   small share, without which no version could show that it has improved. */
static void
test_unreachable_target_is_refused (void)
{
  ChoosePlan plan;
  unsigned i, ran = 0;

  setup ("perfect");
  record_ratings (A, -1, 400, 0.5);
  record_ratings (B, -1, 400, 0.5);
  record_ratings (B, A, 400, 0.3);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_TARGET_UNREACHABLE);
  for (i = 0; i < 10000; i++)
    {
      query.random = id_hash (&i, sizeof i, 5);
      ran += plan_now (&plan) == REASON_NONE;
    }
  CU_ASSERT (ran > 100 && ran < 300);
  request.now_ms += 20 * estimate_settings_default.half_life_ms;
  query.random = ~0ULL;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  teardown ();
}

/* A request that may run at most once must never get a second stage, which would run it twice. */
static void
test_at_most_once_gets_one_stage (void)
{
  ChoosePlan plan;
  unsigned i;

  setup ("issue");
  record_ratings (B, -1, 400, 0.97);
  for (i = 0; i < 2000; i++)
    {
      query.random = id_hash (&i, sizeof i, 6);
      CU_ASSERT_EQUAL_FATAL (plan_now (&plan), REASON_NONE);
      CU_ASSERT_EQUAL_FATAL (plan.count, 1);
      CU_ASSERT_FALSE_FATAL (plan.rated);
    }
  CU_ASSERT_EQUAL (plan.versions[0], B);
  teardown ();
}

/* Exploring costs answers of versions that may be bad, so it must stay within explore_share of the
   requests, and each explored answer must be rated before it is forwarded. */
static void
test_exploration_is_bounded (void)
{
  ChoosePlan plan;
  unsigned i, explored = 0;

  setup ("report");
  record_ratings (A, -1, 15, 0.0);
  record_ratings (B, -1, 400, 0.97);
  for (i = 0; i < 20000; i++)
    {
      query.random = id_hash (&i, sizeof i, 7);
      CU_ASSERT_EQUAL_FATAL (plan_now (&plan), REASON_NONE);
      if (plan.basis != PLAN_EXPLORING)
        continue;
      explored++;
      CU_ASSERT_EQUAL_FATAL (plan.versions[0], A);
      CU_ASSERT_TRUE_FATAL (plan.rated);
    }
  CU_ASSERT (explored > 0);
  CU_ASSERT (explored < 20000 * cascade_settings_default.explore_share * 1.2);
  teardown ();
}

static void
test_baseline_policies (void)
{
  ChoosePlan plan;

  setup ("report");
  CU_ASSERT_EQUAL (cascade_policy_find ("cheapest")->plan (&query, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  CU_ASSERT_EQUAL (cascade_policy_find ("best")->plan (&query, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], C);
  CU_ASSERT_EQUAL (cascade_policy_find ("fixed")->plan (&query, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 3);
  CU_ASSERT_PTR_NULL (cascade_policy_find ("none"));
  CU_ASSERT_STRING_EQUAL (plan_basis_name (PLAN_UNRATED), "unrated");
  request.model = "b@v1";
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  request.model = "none";
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_UNKNOWN_MODEL);
  teardown ();
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "priors_order_stages_by_cost", test_priors_order_stages_by_cost },
    { "skips_stage_that_does_not_pay", test_skips_stage_that_does_not_pay },
    { "cost_units_do_not_matter", test_cost_units_do_not_matter },
    { "easy_class_does_not_hide_next_version", test_easy_class_does_not_hide_next_version },
    { "own_ratings_outweigh_the_mean_of_teams", test_own_ratings_outweigh_the_mean_of_teams },
    { "estimates_decay_and_are_bounded", test_estimates_decay_and_are_bounded },
    { "single_stage_without_ratings", test_single_stage_without_ratings },
    { "plans_finish_by_the_deadline", test_plans_finish_by_the_deadline },
    { "target_unreachable", test_unreachable_target_is_refused },
    { "at_most_once_gets_one_stage", test_at_most_once_gets_one_stage },
    { "exploration_is_bounded", test_exploration_is_bounded },
    { "baseline_policies", test_baseline_policies },
  };

  return suite_main (argc, argv, "choose_cascade", cases, SUITE_COUNT (cases));
}
