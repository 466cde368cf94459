/** Retry budget: src/front_budget.c. */
#include "front_budget.h"
#include "suite.h"
#include "util_id.h"

#define WINDOW_MS 10000
#define FRONTS    6
#define SHARE     0.9
#define EXTRA     52

static FrontBudget *
budget_new (void)
{
  return front_budget_new (
      &(BudgetSettings){ .share = SHARE, .extra = EXTRA, .window_ms = WINDOW_MS });
}

static unsigned
take_all (FrontBudget *budget, BudgetUse use, int64_t now_ms)
{
  unsigned count = 0;

  while (front_budget_take (budget, "s", use, now_ms))
    count++;
  return count;
}

/* Cascades must leave budget for retries. Half of all answers go to a larger model, in bursts, when
 * an engine stops answering: without a reserve its streams would have no budget to resume elsewhere
 * and would be cut off. */
static void
test_cascades_leave_budget_for_retries (void)
{
  FrontBudget *budget = budget_new ();
  unsigned cascades, retries;

  for (unsigned i = 0; i < 100; i++)
    front_budget_count_request (budget, "s", 1000);
  cascades = take_all (budget, BUDGET_CASCADE, 1000);
  retries = take_all (budget, BUDGET_RETRY, 1000);
  CU_ASSERT (cascades >= 70);
  CU_ASSERT (retries >= 15);
  CU_ASSERT (cascades + retries <= 100 * SHARE + EXTRA / 8.0);
  front_budget_free (budget);
}

/* Copies of late requests must leave budget for retries: when servers fail, requests are late, too,
 * and those whose attempts failed have nothing else. */
static void
test_hedges_leave_budget_for_retries (void)
{
  FrontBudget *budget = budget_new ();
  unsigned hedges, retries;

  for (unsigned i = 0; i < 100; i++)
    front_budget_count_request (budget, "s", 1000);
  hedges = take_all (budget, BUDGET_HEDGE, 1000);
  retries = take_all (budget, BUDGET_RETRY, 1000);
  CU_ASSERT (hedges >= 40);
  CU_ASSERT (hedges <= retries + 1);
  CU_ASSERT_EQUAL (take_all (budget, BUDGET_HEDGE, 1000), 0);
  front_budget_free (budget);
}

static void
test_services_have_separate_budgets (void)
{
  FrontBudget *budget = budget_new ();

  take_all (budget, BUDGET_RETRY, 1000);
  CU_ASSERT (!front_budget_take (budget, "s", BUDGET_RETRY, 1000));
  CU_ASSERT (front_budget_take (budget, "t", BUDGET_RETRY, 1000));
  front_budget_free (budget);
}

static void
test_budget_refills_after_window (void)
{
  FrontBudget *budget = budget_new ();
  unsigned first = take_all (budget, BUDGET_RETRY, 1000);

  CU_ASSERT_EQUAL (take_all (budget, BUDGET_RETRY, 1000 + WINDOW_MS / 2), 0);
  CU_ASSERT_EQUAL (take_all (budget, BUDGET_RETRY, 1000 + WINDOW_MS + WINDOW_MS / 40), first);
  front_budget_free (budget);
}

/* One send of a request, recorded for limit_holds_in_all_windows. */
typedef struct
{
  int64_t at_ms;
  bool retry;
} Send;

#define SENDS_MAX 60000

static Send sends[SENDS_MAX];

/* True if the retries of each window that ends with a send are within the limit. They may belong to
 * requests of the window before it, as a request may fail much later. */
static bool
limit_holds_in_all_windows (unsigned count)
{
  unsigned start = 0, earlier = 0, requests = 0, retry = 0, requests_before = 0;

  for (unsigned i = 0; i < count; i++)
    {
      requests += !sends[i].retry;
      retry += sends[i].retry;
      for (; sends[start].at_ms <= sends[i].at_ms - WINDOW_MS; start++)
        {
          requests -= !sends[start].retry;
          retry -= sends[start].retry;
          requests_before += !sends[start].retry;
        }
      for (; earlier < start && sends[earlier].at_ms <= sends[i].at_ms - INT64_C (2) * WINDOW_MS;
           earlier++)
        requests_before -= !sends[earlier].retry;
      if (retry > SHARE * (requests > requests_before ? requests : requests_before) + EXTRA)
        return false;
    }
  return true;
}

/* Engines fail most requests while fronts are killed and restarted, which resets their counts. Over
 * all fronts no window may hold more retries than the limit, or the retries alone keep
 * the engines down. Load: 160 requests per second over six fronts, with two retries attempted for
 * each, and a front restarted every two seconds. */
static void
test_limit_holds_while_fronts_restart (void)
{
  FrontBudget *fronts[FRONTS];
  unsigned count = 0;
  uint64_t state = 42;

  for (unsigned i = 0; i < FRONTS; i++)
    fronts[i] = front_budget_new (
        &(BudgetSettings){ .share = SHARE * 0.93, .extra = EXTRA, .window_ms = WINDOW_MS });
  for (int64_t now_ms = 100000; now_ms < 160000 && count + 4 < SENDS_MAX; now_ms += 6)
    {
      unsigned front;

      state = id_hash (&now_ms, sizeof now_ms, state);
      front = (unsigned)(state % FRONTS);
      front_budget_count_request (fronts[front], "s", now_ms);
      sends[count++] = (Send){ .at_ms = now_ms };
      for (unsigned attempt = 1; attempt < 3; attempt++)
        {
          if (front_budget_take (fronts[front], "s", BUDGET_RETRY, now_ms))
            sends[count++] = (Send){ .at_ms = now_ms, .retry = true };
        }
      if (now_ms % 2000 < 6)
        {
          front_budget_free (fronts[front]);
          fronts[front] = front_budget_new (
              &(BudgetSettings){ .share = SHARE * 0.93, .extra = EXTRA, .window_ms = WINDOW_MS });
        }
    }
  CU_ASSERT (count > 10000);
  CU_ASSERT (limit_holds_in_all_windows (count));
  for (unsigned i = 0; i < FRONTS; i++)
    front_budget_free (fronts[i]);
}

/* All engines of a service fail at a site of 300 fronts, each of which gets five requests for it in
 * a window. The fronts' shares of the fixed allowance must not add up to more than the site's. */
static void
test_limit_holds_over_many_fronts (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < 300; i++)
    {
      FrontBudget *front = budget_new ();

      front_budget_set_fronts (front, 300);
      for (unsigned j = 0; j < 5; j++)
        front_budget_count_request (front, "s", 1000);
      count += take_all (front, BUDGET_RETRY, 1000);
      front_budget_free (front);
    }
  CU_ASSERT (count <= 300 * 5 * SHARE + EXTRA);
  CU_ASSERT (count >= 300 * 4);
}

static void
test_retry_after_grows_with_refusals (void)
{
  FrontBudget *budget = budget_new ();
  int64_t first, last = 0;

  for (unsigned i = 0; i < 100; i++)
    front_budget_count_request (budget, "s", 1000);
  first = front_budget_count_refusal (budget, "s", 1000);
  for (unsigned i = 0; i < 100; i++)
    last = front_budget_count_refusal (budget, "s", 1000);
  CU_ASSERT (first >= 200 && first < 400);
  CU_ASSERT (last > 1000 && last <= 1500);
  front_budget_free (budget);
}

static const SuiteCase cases[] = {
  { "cascades_leave_budget_for_retries", test_cascades_leave_budget_for_retries },
  { "hedges_leave_budget_for_retries", test_hedges_leave_budget_for_retries },
  { "services_have_separate_budgets", test_services_have_separate_budgets },
  { "budget_refills_after_window", test_budget_refills_after_window },
  { "limit_holds_while_fronts_restart", test_limit_holds_while_fronts_restart },
  { "limit_holds_over_many_fronts", test_limit_holds_over_many_fronts },
  { "retry_after_grows_with_refusals", test_retry_after_grows_with_refusals },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_budget", cases, SUITE_COUNT (cases));
}
