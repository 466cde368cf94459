/** Cost of long reading beside streams: src/front_reading.c. */
#include "front_reading.h"
#include "suite.h"
#include <math.h>

#define PAUSE_MS 1500.0

static double
cost (double read_ms, double pending_ms, double running)
{
  const ReadingCase c
      = { .read_ms = read_ms, .pending_ms = pending_ms, .running = running, .pause_ms = PAUSE_MS };

  return front_reading_cost_ms (&c);
}

/* Load: long prompts beside streams. Of two idle readers the one with fewer streams is cheaper. */
static void
test_long_prompt_goes_where_few_streams_run (void)
{
  CU_ASSERT (cost (800, 0, 1) < cost (800, 0, 6));
  CU_ASSERT_EQUAL (cost (800, 0, 0), 0);
}

/* Load: short prompts, whose reading no stream notices, go where they begin first. */
static void
test_short_prompt_costs_nothing (void)
{
  CU_ASSERT_EQUAL (cost (300, 0, 10), 0);
}

/* Load: a burst of long prompts. Streams that pause already are not spared at others' cost. */
static void
test_second_long_prompt_joins_the_first (void)
{
  CU_ASSERT_EQUAL (cost (800, 700, 6), 0);
}

/* Guards against long prompts that queue behind each other: a whole server of streams costs less
 * than a pause. */
static void
test_cost_stays_below_a_pause (void)
{
  CU_ASSERT (cost (800, 0, 16) < PAUSE_MS);
}

static void
test_bad_values_cost_nothing (void)
{
  const ReadingCase off = { .read_ms = 800, .running = 6 };

  CU_ASSERT_EQUAL (front_reading_cost_ms (&off), 0);
  CU_ASSERT_EQUAL (cost (800, 0, -3), 0);
  CU_ASSERT_EQUAL (cost (800, 0, NAN), 0);
}

static const SuiteCase cases[] = {
  { "long_prompt_goes_where_few_streams_run", test_long_prompt_goes_where_few_streams_run },
  { "short_prompt_costs_nothing", test_short_prompt_costs_nothing },
  { "second_long_prompt_joins_the_first", test_second_long_prompt_joins_the_first },
  { "cost_stays_below_a_pause", test_cost_stays_below_a_pause },
  { "bad_values_cost_nothing", test_bad_values_cost_nothing },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_reading", cases, SUITE_COUNT (cases));
}
