/** How often requests are sent again: src/front_budget.c. */
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

/* Story: half of all answers are sent to a larger model, in clumps. An engine falls silent, and the
   streams on it find no budget left to go on elsewhere: whole answers are cut off. */
static void
test_cascades_leave_room (void)
{
  FrontBudget *budget = budget_new ();
  unsigned cascades, retries;

  for (unsigned i = 0; i < 100; i++)
    front_budget_first (budget, "s", 1000);
  cascades = take_all (budget, BUDGET_CASCADE, 1000);
  retries = take_all (budget, BUDGET_RETRY, 1000);
  CU_ASSERT (cascades >= 70);
  CU_ASSERT (retries >= 15);
  CU_ASSERT (cascades + retries <= 100 * SHARE + EXTRA / 8.0);
  front_budget_free (budget);
}

static void
test_services_apart (void)
{
  FrontBudget *budget = budget_new ();

  take_all (budget, BUDGET_RETRY, 1000);
  CU_ASSERT (!front_budget_take (budget, "s", BUDGET_RETRY, 1000));
  CU_ASSERT (front_budget_take (budget, "t", BUDGET_RETRY, 1000));
  front_budget_free (budget);
}

static void
test_window_passes (void)
{
  FrontBudget *budget = budget_new ();
  unsigned first = take_all (budget, BUDGET_RETRY, 1000);

  CU_ASSERT_EQUAL (take_all (budget, BUDGET_RETRY, 1000 + WINDOW_MS / 2), 0);
  CU_ASSERT_EQUAL (take_all (budget, BUDGET_RETRY, 1000 + WINDOW_MS + WINDOW_MS / 40), first);
  front_budget_free (budget);
}

/* One send of a request, for the check below. */
typedef struct
{
  int64_t at_ms;
  bool again;
} Send;

#define SENDS_MAX 60000

static Send sends[SENDS_MAX];

/* In each window that ends with a send, those sent again stay within the bound. A window's requests
 * may be those of the window before it, as an answer to a request may fail much later. */
static bool
windows_hold (unsigned count)
{
  unsigned start = 0, earlier = 0, firsts = 0, again = 0, firsts_before = 0;

  for (unsigned i = 0; i < count; i++)
    {
      firsts += !sends[i].again;
      again += sends[i].again;
      for (; sends[start].at_ms <= sends[i].at_ms - WINDOW_MS; start++)
        {
          firsts -= !sends[start].again;
          again -= sends[start].again;
          firsts_before += !sends[start].again;
        }
      for (; earlier < start && sends[earlier].at_ms <= sends[i].at_ms - INT64_C (2) * WINDOW_MS;
           earlier++)
        firsts_before -= !sends[earlier].again;
      if (again > SHARE * (firsts > firsts_before ? firsts : firsts_before) + EXTRA)
        return false;
    }
  return true;
}

/* Story: engines fail most requests while fronts are killed and come back, each knowing nothing of
   what it sent before. Over all fronts no window may hold more repeats than the bound, or the
   retries alone keep the engines down. Load: 160 requests a second over six fronts, each asking for
   two more sends, a front restarted every two seconds. */
static void
test_bound_over_fronts (void)
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
      front_budget_first (fronts[front], "s", now_ms);
      sends[count++] = (Send){ .at_ms = now_ms };
      for (unsigned attempt = 1; attempt < 3; attempt++)
        {
          if (front_budget_take (fronts[front], "s", BUDGET_RETRY, now_ms))
            sends[count++] = (Send){ .at_ms = now_ms, .again = true };
        }
      if (now_ms % 2000 < 6)
        {
          front_budget_free (fronts[front]);
          fronts[front] = front_budget_new (
              &(BudgetSettings){ .share = SHARE * 0.93, .extra = EXTRA, .window_ms = WINDOW_MS });
        }
    }
  CU_ASSERT (count > 10000);
  CU_ASSERT (windows_hold (count));
  for (unsigned i = 0; i < FRONTS; i++)
    front_budget_free (fronts[i]);
}

/* Story: all engines of a service fail at a site of 300 fronts, each of which gets five requests
   for it in a window. What each front may send besides must not add up to more than the site may.
 */
static void
test_bound_over_many_fronts (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < 300; i++)
    {
      FrontBudget *front = budget_new ();

      front_budget_set_fronts (front, 300);
      for (unsigned j = 0; j < 5; j++)
        front_budget_first (front, "s", 1000);
      count += take_all (front, BUDGET_RETRY, 1000);
      front_budget_free (front);
    }
  CU_ASSERT (count <= 300 * 5 * SHARE + EXTRA);
  CU_ASSERT (count >= 300 * 4);
}

static void
test_come_back_grows (void)
{
  FrontBudget *budget = budget_new ();
  int64_t first, last = 0;

  for (unsigned i = 0; i < 100; i++)
    front_budget_first (budget, "s", 1000);
  first = front_budget_refused (budget, "s", 1000);
  for (unsigned i = 0; i < 100; i++)
    last = front_budget_refused (budget, "s", 1000);
  CU_ASSERT (first >= 200 && first < 400);
  CU_ASSERT (last > 1000 && last <= 1500);
  front_budget_free (budget);
}

static const SuiteCase cases[] = {
  { "cascades_leave_room", test_cascades_leave_room },
  { "services_apart", test_services_apart },
  { "window_passes", test_window_passes },
  { "bound_over_fronts", test_bound_over_fronts },
  { "bound_over_many_fronts", test_bound_over_many_fronts },
  { "come_back_grows", test_come_back_grows },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_budget", cases, SUITE_COUNT (cases));
}
