/** Retry budget and circuit breaker: src/choose_retry.c, src/choose_breaker.c. */
#include "choose_breaker.h"
#include "choose_retry.h"
#include "suite.h"

static const RetryQuery may_retry = {
  .idempotent = true,
  .attempts = 1,
  .server_left = true,
  .expected_ms = 100,
  .now_ms = 1000,
  .deadline_ms = 5000,
};

static RetryAnswer
decide (RetryBudget *budget, RetryQuery query)
{
  return retry_policy_default.decide (budget, &query);
}

/* A request that may run at most once must not be retried after its engine died while answering,
   nor any request beyond its attempts, deadline or servers. */
static void
test_verdicts_that_forbid_a_retry (void)
{
  RetryBudget *budget = retry_budget_new (&retry_settings_default);
  RetryQuery query = may_retry;

  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_NOW);
  query.idempotent = false;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_NOT_IDEMPOTENT);
  CU_ASSERT_EQUAL (decide (budget, query).retry_after_ms, 0);
  query = may_retry;
  query.attempts = retry_settings_default.attempts_max;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_ATTEMPTS);
  CU_ASSERT (decide (budget, query).retry_after_ms > 0);
  query = may_retry;
  query.deadline_ms = 1100;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_DEADLINE);
  query.deadline_ms = 1101;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_NOW);
  query.deadline_ms = 0;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_NOW);
  query.server_left = false;
  CU_ASSERT_EQUAL (decide (budget, query).verdict, RETRY_NO_SERVER);
  retry_budget_free (budget);
}

/* Half of the pool is lost and every request fails once. Each retry adds load to the rest, which
   then fails more; the budget must bound retries to a fraction of the first attempts. */
static void
test_budget_bounds_retries (void)
{
  RetryBudget *budget = retry_budget_new (&retry_settings_default);
  unsigned i, retries = 0, refused_with_time = 0;

  for (i = 0; i < 1000; i++)
    {
      RetryAnswer answer;

      retry_budget_add_first (budget, 1000);
      answer = decide (budget, may_retry);
      retries += answer.verdict == RETRY_NOW;
      refused_with_time += answer.verdict == RETRY_NO_BUDGET && answer.retry_after_ms > 0;
    }
  CU_ASSERT (retries >= 100 && retries <= 110);
  CU_ASSERT_EQUAL (retries + refused_with_time, 1000);
  retry_budget_free (budget);
}

/* After a burst every caller whose request failed sends it again after two seconds, up to three
   times, which keeps the pool overloaded though the gates' own retries are bounded. The retry-after
   time must grow while most requests fail, and fall afterwards. */
static void
test_retry_after_grows_with_failures (void)
{
  RetryBudget *budget = retry_budget_new (&retry_settings_default);
  RetryQuery query = may_retry;
  int64_t calm, collapse = 0;
  unsigned i;

  query.server_left = false;
  for (i = 0; i < 100; i++)
    retry_budget_add_first (budget, 1000);
  calm = decide (budget, query).retry_after_ms;
  CU_ASSERT (calm >= retry_settings_default.retry_after_min_ms);
  CU_ASSERT (calm <= 2 * retry_settings_default.retry_after_min_ms);
  for (i = 0; i < 200; i++)
    {
      retry_budget_add_first (budget, 1000);
      collapse = decide (budget, query).retry_after_ms;
    }
  CU_ASSERT (collapse > retry_settings_default.retry_after_max_ms / 2);
  CU_ASSERT (collapse <= retry_settings_default.retry_after_max_ms);
  query.now_ms = 1000 + 10 * retry_settings_default.half_life_ms;
  for (i = 0; i < 100; i++)
    retry_budget_add_first (budget, query.now_ms);
  CU_ASSERT (decide (budget, query).retry_after_ms
             <= 2 * retry_settings_default.retry_after_min_ms);
  retry_budget_free (budget);
}

static void
test_baseline_policies (void)
{
  RetryBudget *budget = retry_budget_new (&retry_settings_default);
  RetryQuery query = may_retry;
  unsigned i;

  for (i = 0; i < 100; i++)
    CU_ASSERT_EQUAL (retry_policy_find ("always")->decide (budget, &query).verdict, RETRY_NOW);
  CU_ASSERT_EQUAL (retry_policy_find ("never")->decide (budget, &query).verdict, RETRY_ATTEMPTS);
  query.idempotent = false;
  CU_ASSERT_EQUAL (retry_policy_find ("always")->decide (budget, &query).verdict,
                   RETRY_NOT_IDEMPOTENT);
  CU_ASSERT_PTR_NULL (retry_policy_find ("twice"));
  for (i = 0; i < RETRY_VERDICT_COUNT; i++)
    CU_ASSERT_PTR_NOT_NULL (retry_verdict_name ((RetryVerdict)i));
  retry_budget_free (budget);
}

/* After three consecutive failures a dead engine must get nothing for a while, and then a single
   probe. Without the bound on probes, all requests at the moment when the interval ends would fail
   again. */
static void
test_breaker_opens_and_probes (void)
{
  ServerView view = { .failures = 0 };
  int64_t first_probe_ms;

  breaker_failure (&view, 1000, 0);
  breaker_failure (&view, 1000, 0);
  CU_ASSERT_EQUAL (view.open_until_ms, 0);
  breaker_success (&view);
  breaker_failure (&view, 1000, 0);
  breaker_failure (&view, 1000, 0);
  breaker_failure (&view, 1000, 0);
  CU_ASSERT_EQUAL (view.open_until_ms, 1000 + BREAKER_OPEN_MIN_MS);
  first_probe_ms = view.open_until_ms;
  breaker_sent (&view, first_probe_ms);
  CU_ASSERT_EQUAL (view.open_until_ms, first_probe_ms + BREAKER_PROBE_MS);
  breaker_failure (&view, first_probe_ms, 0);
  CU_ASSERT_EQUAL (view.open_until_ms, first_probe_ms + 2LL * BREAKER_OPEN_MIN_MS);
  for (unsigned i = 0; i < 100; i++)
    breaker_failure (&view, first_probe_ms, ~0ULL);
  CU_ASSERT (view.open_until_ms <= first_probe_ms + BREAKER_OPEN_MAX_MS + BREAKER_OPEN_MAX_MS / 4);
  CU_ASSERT (view.open_until_ms >= first_probe_ms + BREAKER_OPEN_MAX_MS);
  breaker_success (&view);
  CU_ASSERT_EQUAL (view.open_until_ms, 0);
  breaker_sent (&view, 5);
  CU_ASSERT_EQUAL (view.open_until_ms, 0);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "verdicts_that_forbid_a_retry", test_verdicts_that_forbid_a_retry },
    { "budget_bounds_retries", test_budget_bounds_retries },
    { "retry_after_grows_with_failures", test_retry_after_grows_with_failures },
    { "baseline_policies", test_baseline_policies },
    { "breaker_opens_and_probes", test_breaker_opens_and_probes },
  };

  return suite_main (argc, argv, "choose_retry", cases, SUITE_COUNT (cases));
}
