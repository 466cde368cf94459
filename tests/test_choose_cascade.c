/** The order of stages: src/choose_cascade.c, src/choose_search.c, src/choose_estimate.c. */
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
    .random = ~0ULL, /* neither explores nor takes the lesser plan of a mixture */
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

/** n ratings of a version, of which a share passes; previous -1: as the first stage. */
static void
teach (unsigned version, int previous, unsigned n, double share)
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
    cascade_record_rating (estimates, &outcome, i < share * n ? 0.95 : 0.2);
}

static void
test_prior_order (void)
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

/* Story: the cheap version turns bad overnight; each request still pays for its answer and its
   rating before the next stage is tried. A stage whose saving is less than its cost is left out. */
static void
test_skips_stage_that_does_not_pay (void)
{
  ChoosePlan plan;

  setup ("report");
  teach (A, -1, 300, 0.02);
  teach (B, -1, 300, 0.9);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], B);
  teach (A, -1, 2000, 0.95);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  teardown ();
}

/* Story: an operator writes costs in dollars, a thousandth of what another writes in cents; a
   rating priced in fixed units then costs more than any answer, and no cascade is ever chosen. */
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

/* Story: a class is easier than its operator thought. The cheap version passes 9 in 10, which is
   above the prior of the next dearer one; that one then seems to pass none of the rest, is never
   tried after it, and the dearest one is paid for ever. */
static void
test_easy_class_does_not_hide_next_version (void)
{
  ChoosePlan plan;

  setup ("query");
  teach (A, -1, 400, 0.88);
  request.team = 1;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT (plan.count >= 2);
  CU_ASSERT_EQUAL (plan.versions[0], A);
  CU_ASSERT_EQUAL (plan.versions[1], B);
  teardown ();
}

/* Story: a version answers one team's clauses badly and all others' well; by the mean over teams it
   stays in that team's plan as the only stage. */
static void
test_team_of_its_own (void)
{
  ChoosePlan plan;

  setup ("report");
  request.team = 1;
  teach (B, -1, 300, 0.2);
  request.team = 0;
  teach (B, -1, 2000, 0.98);
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT (plan.versions[plan.count - 1] == B || plan.versions[plan.count - 1] == A);
  request.team = 1;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[plan.count - 1], C);
  teardown ();
}

static void
test_fades (void)
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

/* Story: the rating service is down and the plan still rates its first stage: every request waits
   for a rating that does not come. Without ratings a single stage is taken, by what was last known,
   and the plan says so. */
static void
test_rating_down (void)
{
  ChoosePlan plan;

  setup ("report");
  teach (A, -1, 400, 0.5);
  teach (B, -1, 400, 0.97);
  query.rating_available = false;
  request.now_ms += 100 * estimate_settings_default.half_life_ms;
  CU_ASSERT_EQUAL (plan_now (&plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.basis, PLAN_UNRATED);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], B);
  CU_ASSERT_FALSE (plan.rated);
  teardown ();
}

/* Story: a tender closes in four seconds and the plan tries the cheap version first, whose answer
   is not good enough; the second one comes too late. */
static void
test_deadline (void)
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

/* Story: no allowed version reaches the target any more. All requests are refused with their own
   reason, but for a small share, without which no version could show that it is good again. */
static void
test_target_unreachable (void)
{
  ChoosePlan plan;
  unsigned i, ran = 0;

  setup ("perfect");
  teach (A, -1, 400, 0.5);
  teach (B, -1, 400, 0.5);
  teach (B, A, 400, 0.3);
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

/* Story: an issuance goes through a cascade and is made twice. */
static void
test_at_most_once (void)
{
  ChoosePlan plan;
  unsigned i;

  setup ("issue");
  teach (B, -1, 400, 0.97);
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

static void
test_exploration_is_bounded (void)
{
  ChoosePlan plan;
  unsigned i, explored = 0;

  setup ("report");
  teach (A, -1, 15, 0.0);
  teach (B, -1, 400, 0.97);
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
test_baselines (void)
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
    { "prior_order", test_prior_order },
    { "skips_stage_that_does_not_pay", test_skips_stage_that_does_not_pay },
    { "cost_units_do_not_matter", test_cost_units_do_not_matter },
    { "easy_class_does_not_hide_next_version", test_easy_class_does_not_hide_next_version },
    { "team_of_its_own", test_team_of_its_own },
    { "fades", test_fades },
    { "rating_down", test_rating_down },
    { "deadline", test_deadline },
    { "target_unreachable", test_target_unreachable },
    { "at_most_once", test_at_most_once },
    { "exploration_is_bounded", test_exploration_is_bounded },
    { "baselines", test_baselines },
  };

  return suite_main (argc, argv, "choose_cascade", cases, SUITE_COUNT (cases));
}
