/** Which answers are replaced by a larger model's: src/front_cascade.c. */
#include "front_cascade.h"
#include "suite.h"

#define URGENT       0
#define LEAST_URGENT 2

/* Lag of answers against their prediction. */
static double lag_ms;
static double wait_ms; /* part of the forecast that is learned from late answers */
static bool has_middle;
static bool is_out;                            /* no server may run a larger model now */
static double reading_ms[CASCADE_LARGEST + 1]; /* of the prompt, by step */

typedef struct
{
  double larger_ms;
} Forecasts;

static CascadeForecast
forecast (void *user, CascadeStep step)
{
  const Forecasts *forecasts = user;

  return (CascadeForecast){ .has_server = !is_out,
                            .first_ms = forecasts->larger_ms + wait_ms,
                            .wait_ms = wait_ms,
                            .reading_ms = reading_ms[step] };
}

static CascadeStep
step_of (int confidence, int64_t priority, double larger_ms, int64_t elapsed_ms)
{
  Forecasts forecasts = { .larger_ms = larger_ms };
  CascadeCase c = {
    .confidence = confidence,
    .has_middle = has_middle,
    .priority = priority,
    .lag_ms = lag_ms,
    .elapsed_ms = elapsed_ms,
    .objective_ms = 1500,
    .forecast = forecast,
    .user = &forecasts,
  };

  return front_cascade_step (&c);
}

static bool
escalates (int confidence, int64_t priority, double larger_ms, int64_t elapsed_ms)
{
  return step_of (confidence, priority, larger_ms, elapsed_ms) == CASCADE_LARGEST;
}

static void
test_low_confidence_escalates (void)
{
  CU_ASSERT (escalates (20, URGENT, 50, 100));
  CU_ASSERT (!escalates (90, URGENT, 50, 100));
  CU_ASSERT (!escalates (-1, URGENT, 50, 100)); /* an engine that gives no confidence */
}

/* Guards against dropping a ready answer for a larger model that no server may run now: its caller
 * would get none. */
static void
test_answer_is_kept_without_server (void)
{
  is_out = true;
  CU_ASSERT (!escalates (20, URGENT, 0, 100));
  CU_ASSERT (!escalates (0, LEAST_URGENT, 0, 100));
  is_out = false;
  CU_ASSERT (escalates (20, URGENT, 0, 100));
}

/* The least urgent requests are many and small. For them the largest model's price exceeds the
 * value of its better answer, unless the smallest model's confidence is very low. */
static void
test_least_urgent_escalates_less (void)
{
  CU_ASSERT (escalates (45, URGENT, 50, 100));
  CU_ASSERT (!escalates (45, LEAST_URGENT, 50, 100));
  CU_ASSERT (escalates (20, LEAST_URGENT, 50, 100));
}

/* Load: a burst of 1.7 times the normal rate, or a sixth of the engines lost. The largest model's
 * queue grows first, and more requests would delay all of its streams. A wait of half of the
 * objective lowers the threshold by 40 of 100, so that only answers that are almost certainly poor
 * are replaced; with a wait of nearly three quarters, no answer may be replaced. */
static void
test_long_wait_lowers_threshold (void)
{
  CU_ASSERT (escalates (20, URGENT, 500, 100));
  CU_ASSERT (!escalates (20, URGENT, 750, 100));
  CU_ASSERT (escalates (10, URGENT, 750, 100));
  CU_ASSERT (!escalates (0, URGENT, 1100, 100));
}

/* Load: a burst of four times the normal rate over 68 fronts, each of which sees too little of it
 * to predict the engines' queues. All answers begin later than predicted; with a lag of a quarter
 * of the objective, no answer may be replaced. In build/bench_front, such a day earned 0.74 of what
 * was possible, less the price of models, and 0.53 without this rule. */
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

/* Load: long prompts queued behind others, so that the smallest model's answer itself begins late.
 * Reading the prompt a second time would miss the objective, and a late answer is worth less than a
 * doubtful one. */
static void
test_no_escalation_when_late (void)
{
  CU_ASSERT (escalates (20, URGENT, 50, 899));
  CU_ASSERT (!escalates (20, URGENT, 50, 900));
}

/* Three models. Requests on which the smallest is fairly confident go to the middle one, at half of
 * the price and of the reading that stalls all streams; those that are too hard for both go to the
 * largest at once. */
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

/* Load: long drafts beside many short streams. A prompt that the largest model would read for
 * more than a second would stall all streams of its server for as long. The middle model is
 * asked instead if it reads the prompt within a second and may answer it well. */
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

/* Load: answers begin 150 ms late at all servers. The cascade sees it as the front's lag, and in
 * the forecast as a wait: both together must decide like either alone, and more than none. */
static void
test_lateness_counts_once (void)
{
  CU_ASSERT (escalates (45, URGENT, 50, 100));
  lag_ms = 150;
  CU_ASSERT (escalates (30, URGENT, 50, 100));
  CU_ASSERT (!escalates (45, URGENT, 50, 100));
  wait_ms = 150;
  CU_ASSERT (escalates (30, URGENT, 50, 100));
  CU_ASSERT (!escalates (45, URGENT, 50, 100));
  lag_ms = 0;
  CU_ASSERT (escalates (30, URGENT, 50, 100));
  CU_ASSERT (!escalates (45, URGENT, 50, 100));
  wait_ms = 0;
}

static const SuiteCase cases[] = {
  { "lateness_counts_once", test_lateness_counts_once },
  { "answer_is_kept_without_server", test_answer_is_kept_without_server },
  { "low_confidence_escalates", test_low_confidence_escalates },
  { "least_urgent_escalates_less", test_least_urgent_escalates_less },
  { "long_wait_lowers_threshold", test_long_wait_lowers_threshold },
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
