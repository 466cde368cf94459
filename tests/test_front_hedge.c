/** Decides whether a late request gets a copy: src/front_hedge.c. */
#include "front_hedge_window.h"
#include "hedge_load.h"
#include "suite.h"

/* Each reason not to send a copy, alone; none of these takes from the budget. */
static void
test_verdicts (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 2000, 20, hedge_usual);
  double late_ms = front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS);
  HedgeCase c = hedge_load_case (load, late_ms);
  unsigned taken = load->budget_taken;

  c.is_idempotent = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_REPEATABLE);
  c = hedge_load_case (load, late_ms - 1);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_TOO_EARLY);
  c = hedge_load_case (load, late_ms);
  c.is_quarantined = true;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_QUARANTINED);
  c = hedge_load_case (load, late_ms);
  c.has_attempts = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_ATTEMPTS);
  c = hedge_load_case (load, late_ms);
  c.is_in_rollout = true;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_ROLLOUT);
  c = hedge_load_case (load, late_ms);
  load->forecast.has_server = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NO_SERVER);
  load->forecast = (HedgeForecast){ .has_server = true, .is_full = true };
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SERVICE_FULL);
  load->forecast = (HedgeForecast){ .has_server = true, .extra_ms = HEDGE_LOAD_SLOW_MS };
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_SOONER);
  load->forecast.extra_ms = 0;
  c.remaining_ms = HEDGE_LOAD_USUAL_MS / 2.0;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_SOONER);
  CU_ASSERT_EQUAL (load->budget_taken, taken);
  c.remaining_ms = 1000;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SEND);
  CU_ASSERT_EQUAL (load->budget_taken, taken + 1);
  hedge_load_free (load);
}

/* Failures have used up the retry budget: no copy is sent, and none counts against the limit. */
static void
test_empty_budget (void)
{
  HedgeLoad *load = hedge_load_new (0.02);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 2000, 20, hedge_usual);
  HedgeCase c;

  load->budget_is_empty = true;
  at_ms = hedge_load_run (load, at_ms, 2000, 20, hedge_one_of_three_slow);
  CU_ASSERT (hedge_load_verdicts (load, HEDGE_NO_BUDGET, HEDGE_LOAD_START_MS, at_ms) >= 20);
  load->budget_is_empty = false;
  c = hedge_load_case (load, HEDGE_LOAD_SLOW_MS);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SEND);
  hedge_load_free (load);
}

/* Load: servers turn requests away. Copies would take the room of requests that have none. */
static void
test_full_service_gets_no_copies (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 2000, 20, hedge_usual);
  HedgeCase c = hedge_load_case (load, HEDGE_LOAD_OBJECTIVE_MS);

  front_hedge_count_full (load->hedge, load->kind.service, at_ms);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms + 900), HEDGE_SERVICE_FULL);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms + 1100), HEDGE_SEND);
  hedge_load_free (load);
}

/* One request in eight takes three times as long as the others, which is the rule for this kind.
 * Its copy is sent in time for an answer within the objective all the same. */
static void
test_copy_is_sent_in_time_for_the_objective (void)
{
  HedgeLoad *load = hedge_load_new (1);
  double delay_ms;

  for (unsigned i = 0; i < 80; i++)
    front_hedge_answered (load->hedge, &load->kind,
                          i % 8 == 0 ? 3 * HEDGE_LOAD_USUAL_MS : HEDGE_LOAD_USUAL_MS);
  delay_ms = front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS / 1.2);
  CU_ASSERT (delay_ms <= HEDGE_LOAD_OBJECTIVE_MS / 1.2 - 2 * HEDGE_LOAD_USUAL_MS);
  CU_ASSERT (delay_ms > HEDGE_LOAD_USUAL_MS);
  hedge_load_free (load);
}

/* Until answers are known, only a request that has used half of its objective gets a copy; and none
 * gets one where answers are so quick that callers don't notice a late one. */
static void
test_delay_without_answers_and_with_quick_ones (void)
{
  HedgeLoad *load = hedge_load_new (1);

  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS)
             >= HEDGE_LOAD_OBJECTIVE_MS / 2.0);
  for (unsigned i = 0; i < 50; i++)
    front_hedge_answered (load->hedge, &load->kind, 2);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS)
             >= 0.4 * HEDGE_LOAD_OBJECTIVE_MS);
  hedge_load_free (load);
}

/* A metric says that the limit is reached; a line does so once in a window. */
static void
test_limit_is_told_once_a_window (void)
{
  HedgeLoad *load = hedge_load_new (0.02);

  CU_ASSERT (front_hedge_limit_is_news (load->hedge, "ledger", HEDGE_LOAD_START_MS));
  CU_ASSERT (!front_hedge_limit_is_news (load->hedge, "ledger", HEDGE_LOAD_START_MS + 1000));
  CU_ASSERT (front_hedge_limit_is_news (load->hedge, "other", HEDGE_LOAD_START_MS + 1000));
  CU_ASSERT (
      front_hedge_limit_is_news (load->hedge, "ledger", HEDGE_LOAD_START_MS + HEDGE_WINDOW_MS));
  hedge_load_free (load);
}

static const SuiteCase cases[] = {
  { "verdicts", test_verdicts },
  { "empty_budget", test_empty_budget },
  { "full_service_gets_no_copies", test_full_service_gets_no_copies },
  { "copy_is_sent_in_time_for_the_objective", test_copy_is_sent_in_time_for_the_objective },
  { "delay_without_answers_and_with_quick_ones", test_delay_without_answers_and_with_quick_ones },
  { "limit_is_told_once_a_window", test_limit_is_told_once_a_window },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_hedge", cases, SUITE_COUNT (cases));
}
