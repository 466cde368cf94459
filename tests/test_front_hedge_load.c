/** Copies under load: src/front_hedge.c and front_hedge_times.c. */
#include "hedge_load.h"
#include "suite.h"

/* Load: a service whose answers all take ten times as long from one moment on, as under a burst or
 * with its database slow. Copies would double its work. Of the first second's 50 requests at most a
 * third may get one although the limit allows one for each, and none from the third second on. */
static void
test_service_slow_as_a_whole_gets_no_storm (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, hedge_usual);

  CU_ASSERT (hedge_load_copies (load, HEDGE_LOAD_START_MS, at_ms) <= 6);
  hedge_load_run (load, at_ms, 4000, 20, hedge_slow);
  CU_ASSERT (hedge_load_copies (load, at_ms, at_ms + 1000) <= 17);
  CU_ASSERT_EQUAL (hedge_load_copies (load, at_ms + 2000, at_ms + 4000), 0);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS)
             > HEDGE_LOAD_SLOW_MS);
  hedge_load_free (load);
}

/* Load: the same service is fast again. Its late answers get copies again within two seconds. */
static void
test_recovered_service_gets_copies_again (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, hedge_slow);

  hedge_load_run (load, at_ms, 2000, 20, hedge_usual);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS)
             < HEDGE_LOAD_OBJECTIVE_MS);
  hedge_load_free (load);
}

/* Load: one of three servers takes ten times as long. Nearly all of its requests get a copy, early
 * enough for an answer within the objective. */
static void
test_one_slow_server_of_three (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, hedge_usual);
  int64_t end_ms = hedge_load_run (load, at_ms, 6000, 20, hedge_one_of_three_slow);

  CU_ASSERT (hedge_load_copies (load, at_ms, end_ms) >= 85);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, HEDGE_LOAD_OBJECTIVE_MS)
             < HEDGE_LOAD_OBJECTIVE_MS - HEDGE_LOAD_USUAL_MS);
  hedge_load_free (load);
}

/* Load: a burst of four times the requests, of which a third is slow. Copies stay within the share
 * of the requests in the window. */
static void
test_burst_stays_within_limit (void)
{
  HedgeLoad *load = hedge_load_new (0.05);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, hedge_usual);
  int64_t end_ms = hedge_load_run (load, at_ms, 3000, 5, hedge_one_of_three_slow);
  unsigned copies = hedge_load_copies (load, HEDGE_LOAD_START_MS, end_ms);

  CU_ASSERT (copies >= load->count * 0.05 - 2);
  CU_ASSERT (copies <= load->count * 0.05 + 1);
  CU_ASSERT (hedge_load_verdicts (load, HEDGE_LIMIT, at_ms, end_ms) > 50);
  hedge_load_free (load);
}

/* The operator lowers the limit to none while copies run, and sets it again. */
static void
test_changed_limit_applies_at_once (void)
{
  HedgeLoad *load = hedge_load_new (0.5);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, hedge_usual);
  int64_t off_ms = hedge_load_run (load, at_ms, 2000, 20, hedge_one_of_three_slow);
  int64_t on_ms;

  front_hedge_set_share (load->hedge, 0);
  on_ms = hedge_load_run (load, off_ms + HEDGE_LOAD_SLOW_MS, 2000, 20, hedge_one_of_three_slow);
  front_hedge_set_share (load->hedge, 0.5);
  at_ms = hedge_load_run (load, on_ms + HEDGE_LOAD_SLOW_MS, 2000, 20, hedge_one_of_three_slow);
  CU_ASSERT (hedge_load_copies (load, HEDGE_LOAD_START_MS, off_ms) > 20);
  CU_ASSERT_EQUAL (hedge_load_copies (load, off_ms, on_ms), 0);
  CU_ASSERT (hedge_load_copies (load, on_ms, at_ms) > 20);
  hedge_load_free (load);
}

/* One answer of six comes shortly after the others, when requests already count as late. */
static int64_t
shortly_late (unsigned i)
{
  if (i % 12 == 1)
    return 75;
  return i % 12 == 7 ? 65 : 40;
}

static int64_t
shortly_late_or_frozen (unsigned i)
{
  return i % 3 == 0 ? HEDGE_LOAD_FROZEN_MS : shortly_late (i);
}

/* Load: late answers usually come shortly, so a late request isn't worth a copy at first; then one
 * of three servers freezes. Its requests get copies once their answers are later than these. */
static void
test_frozen_server_beside_shortly_late_answers (void)
{
  HedgeLoad *load = hedge_load_new (1);
  int64_t at_ms = hedge_load_run (load, HEDGE_LOAD_START_MS, 4000, 20, shortly_late);
  int64_t end_ms;

  CU_ASSERT_EQUAL (hedge_load_copies (load, HEDGE_LOAD_START_MS + 1000, at_ms), 0);
  end_ms = hedge_load_run (load, at_ms, 2000, 20, shortly_late_or_frozen);
  CU_ASSERT (hedge_load_copies (load, at_ms, end_ms - HEDGE_LOAD_OBJECTIVE_MS) >= 28);
  hedge_load_free (load);
}

static const SuiteCase cases[] = {
  { "service_slow_as_a_whole_gets_no_storm", test_service_slow_as_a_whole_gets_no_storm },
  { "recovered_service_gets_copies_again", test_recovered_service_gets_copies_again },
  { "one_slow_server_of_three", test_one_slow_server_of_three },
  { "burst_stays_within_limit", test_burst_stays_within_limit },
  { "changed_limit_applies_at_once", test_changed_limit_applies_at_once },
  { "frozen_server_beside_shortly_late_answers", test_frozen_server_beside_shortly_late_answers },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_hedge_load", cases, SUITE_COUNT (cases));
}
