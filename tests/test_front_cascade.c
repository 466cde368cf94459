/** Which answers are worth a larger model: src/front_cascade.c. */
#include "front_cascade.h"
#include "suite.h"

#define URGENT 0
#define LEAST  2

/* Answers begin as predicted but for this. */
static double lag_ms;

static bool
wants (int confidence, int64_t priority, double larger_ms, int64_t passed_ms)
{
  CascadeCase c = {
    .confidence = confidence,
    .priority = priority,
    .larger_ms = larger_ms,
    .lag_ms = lag_ms,
    .passed_ms = passed_ms,
    .objective_ms = 1500,
  };

  return front_cascade_wants_larger (&c);
}

static void
test_by_confidence (void)
{
  CU_ASSERT (wants (20, URGENT, 50, 100));
  CU_ASSERT (!wants (90, URGENT, 50, 100));
  CU_ASSERT (!wants (-1, URGENT, 50, 100)); /* an engine that doesn't say it */
}

/* The least urgent kinds of request are many and small; the largest model's price is more than what
   its better answer is worth there, but for the worst answers. */
static void
test_least_urgent (void)
{
  CU_ASSERT (wants (45, URGENT, 50, 100));
  CU_ASSERT (!wants (45, LEAST, 50, 100));
  CU_ASSERT (wants (20, LEAST, 50, 100));
}

/* Load pattern: a burst of 1.7 times the usual, or a sixth of the engines lost. The largest model's
   queue grows first; sending it more makes all of its streams late. Half of the objective taken by
   its wait lowers the bar by 40 of 100, so that only answers that are nearly surely poor go on. */
static void
test_burst (void)
{
  CU_ASSERT (wants (20, URGENT, 500, 100));
  CU_ASSERT (!wants (20, URGENT, 750, 100));
  CU_ASSERT (wants (10, URGENT, 750, 100));
  CU_ASSERT (!wants (0, URGENT, 1100, 100));
}

/* Load pattern: a burst of four times the usual over 68 fronts, each of which sees too little of it
   to predict the engines' queues. All answers begin later than predicted; when that is a quarter of
   the objective, hardly anything goes to the largest model any more. Played by build/bench_front:
   of what could be earned in that day, less the price of models, 0.53 without it and 0.74 with it.
 */
static void
test_burst_of_all_fronts (void)
{
  lag_ms = 0;
  CU_ASSERT (wants (45, URGENT, 50, 100));
  lag_ms = 150;
  CU_ASSERT (!wants (45, URGENT, 50, 100));
  CU_ASSERT (wants (10, URGENT, 50, 100));
  lag_ms = 375;
  CU_ASSERT (!wants (0, URGENT, 50, 100));
  lag_ms = 0;
}

/* Load pattern: long prompts behind others, so that the smallest model's answer itself comes late.
   A second reading would miss the objective; a late answer earns less than a doubtful one. */
static void
test_late_answer (void)
{
  CU_ASSERT (wants (20, URGENT, 50, 899));
  CU_ASSERT (!wants (20, URGENT, 50, 900));
}

static const SuiteCase cases[] = {
  { "by_confidence", test_by_confidence },
  { "least_urgent", test_least_urgent },
  { "burst", test_burst },
  { "burst_of_all_fronts", test_burst_of_all_fronts },
  { "late_answer", test_late_answer },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_cascade", cases, SUITE_COUNT (cases));
}
