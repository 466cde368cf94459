/** Which answers are worth a larger model: src/front_cascade.c. */
#include "front_cascade.h"
#include "suite.h"

#define URGENT       0
#define LEAST_URGENT 2

/* Answers begin as predicted but for this. */
static double lag_ms;
static bool has_middle;
static double reading_ms[CASCADE_LARGEST + 1]; /* of the prompt, by step */

typedef struct
{
  double larger_ms;
} Forecasts;

static CascadeForecast
forecast (void *user, CascadeStep step)
{
  const Forecasts *forecasts = user;

  return (CascadeForecast){ .first_ms = forecasts->larger_ms, .reading_ms = reading_ms[step] };
}

static CascadeStep
step_of (int confidence, int64_t priority, double larger_ms, int64_t passed_ms)
{
  Forecasts forecasts = { .larger_ms = larger_ms };
  CascadeCase c = {
    .confidence = confidence,
    .has_middle = has_middle,
    .priority = priority,
    .lag_ms = lag_ms,
    .passed_ms = passed_ms,
    .objective_ms = 1500,
    .forecast = forecast,
    .user = &forecasts,
  };

  return front_cascade_step (&c);
}

static bool
escalates (int confidence, int64_t priority, double larger_ms, int64_t passed_ms)
{
  return step_of (confidence, priority, larger_ms, passed_ms) == CASCADE_LARGEST;
}

static void
test_low_confidence_escalates (void)
{
  CU_ASSERT (escalates (20, URGENT, 50, 100));
  CU_ASSERT (!escalates (90, URGENT, 50, 100));
  CU_ASSERT (!escalates (-1, URGENT, 50, 100)); /* an engine that doesn't say it */
}

/* The least urgent kinds of request are many and small; the largest model's price is more than what
   its better answer is worth there, but for the worst answers. */
static void
test_least_urgent_escalates_less (void)
{
  CU_ASSERT (escalates (45, URGENT, 50, 100));
  CU_ASSERT (!escalates (45, LEAST_URGENT, 50, 100));
  CU_ASSERT (escalates (20, LEAST_URGENT, 50, 100));
}

/* Load pattern: a burst of 1.7 times the usual, or a sixth of the engines lost. The largest model's
   queue grows first; sending it more makes all of its streams late. Half of the objective taken by
   its wait lowers the bar by 40 of 100, so that only answers that are nearly surely poor go on. */
static void
test_queue_of_larger_model_lowers_threshold (void)
{
  CU_ASSERT (escalates (20, URGENT, 500, 100));
  CU_ASSERT (!escalates (20, URGENT, 750, 100));
  CU_ASSERT (escalates (10, URGENT, 750, 100));
  CU_ASSERT (!escalates (0, URGENT, 1100, 100));
}

/* Load pattern: a burst of four times the usual over 68 fronts, each of which sees too little of it
   to predict the engines' queues. All answers begin later than predicted; when that is a quarter of
   the objective, hardly anything goes to the largest model any more. Played by build/bench_front:
   of what could be earned in that day, less the price of models, 0.53 without it and 0.74 with it.
 */
static void
test_lag_lowers_threshold (void)
{
  lag_ms = 0;
  CU_ASSERT (escalates (45, URGENT, 50, 100));
  lag_ms = 150;
  CU_ASSERT (!escalates (45, URGENT, 50, 100));
  CU_ASSERT (escalates (10, URGENT, 50, 100));
  lag_ms = 375;
  CU_ASSERT (!escalates (0, URGENT, 50, 100));
  lag_ms = 0;
}

/* Load pattern: long prompts behind others, so that the smallest model's answer itself comes late.
   A second reading would miss the objective; a late answer earns less than a doubtful one. */
static void
test_no_escalation_when_late (void)
{
  CU_ASSERT (escalates (20, URGENT, 50, 899));
  CU_ASSERT (!escalates (20, URGENT, 50, 900));
}

/* Three models: what the smallest is fairly sure of goes to the middle one, at half of the price
   and of the reading that holds up all streams; what is too hard for both, to the largest at once.
 */
static void
test_middle_model_by_confidence (void)
{
  has_middle = true;
  CU_ASSERT_EQUAL (step_of (90, URGENT, 50, 100), CASCADE_KEEP);
  CU_ASSERT_EQUAL (step_of (60, URGENT, 50, 100), CASCADE_MIDDLE);
  CU_ASSERT_EQUAL (step_of (45, URGENT, 50, 100), CASCADE_MIDDLE);
  CU_ASSERT_EQUAL (step_of (39, URGENT, 50, 100), CASCADE_LARGEST);
  CU_ASSERT_EQUAL (step_of (60, LEAST_URGENT, 50, 100), CASCADE_KEEP);
  CU_ASSERT_EQUAL (step_of (45, LEAST_URGENT, 50, 100), CASCADE_MIDDLE);
  CU_ASSERT_EQUAL (step_of (45, URGENT, 700, 100), CASCADE_KEEP);
  CU_ASSERT_EQUAL (step_of (-1, URGENT, 50, 100), CASCADE_KEEP);
  has_middle = false;
}

/* Load pattern: long drafts beside many short streams. A prompt that the largest model reads for
   seconds stops all streams of its server for as long; the middle one reads it if that may help. */
static void
test_long_prompts_avoid_larger_models (void)
{
  reading_ms[CASCADE_LARGEST] = 1300;
  reading_ms[CASCADE_MIDDLE] = 500;
  CU_ASSERT_EQUAL (step_of (10, URGENT, 50, 100), CASCADE_KEEP);
  has_middle = true;
  CU_ASSERT_EQUAL (step_of (10, URGENT, 50, 100), CASCADE_KEEP);
  CU_ASSERT_EQUAL (step_of (35, URGENT, 50, 100), CASCADE_MIDDLE);
  reading_ms[CASCADE_MIDDLE] = 1250;
  CU_ASSERT_EQUAL (step_of (35, URGENT, 50, 100), CASCADE_KEEP);
  CU_ASSERT_EQUAL (step_of (45, URGENT, 50, 100), CASCADE_KEEP);
  reading_ms[CASCADE_LARGEST] = reading_ms[CASCADE_MIDDLE] = 0;
  has_middle = false;
}

static const SuiteCase cases[] = {
  { "low_confidence_escalates", test_low_confidence_escalates },
  { "least_urgent_escalates_less", test_least_urgent_escalates_less },
  { "queue_of_larger_model_lowers_threshold", test_queue_of_larger_model_lowers_threshold },
  { "lag_lowers_threshold", test_lag_lowers_threshold },
  { "no_escalation_when_late", test_no_escalation_when_late },
  { "middle_model_by_confidence", test_middle_model_by_confidence },
  { "long_prompts_avoid_larger_models", test_long_prompts_avoid_larger_models },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_cascade", cases, SUITE_COUNT (cases));
}
