/** Repeats of late answers: src/front_retry_gain.c. */
#include "front_retry_gain.h"
#include "suite.h"

#define OBJECTIVE_MS 1500.0
#define CALLER_MS    15000.0

/* Load: all servers are predicted to be late. A request that waits about as long as predicted is
 * not sent again. */
static void
test_all_late_repeats_nothing (void)
{
  RetryGain gain = {
    .predicted_ms = 2000,
    .other_ms = 2500,
    .objective_ms = OBJECTIVE_MS,
    .caller_ms = CALLER_MS,
  };

  for (gain.elapsed_ms = 0; gain.elapsed_ms < 6900; gain.elapsed_ms += 100)
    CU_ASSERT (front_retry_gain (&gain) != RETRY_GAIN_SOONER);
  gain.elapsed_ms = 5000;
  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_ALL_LATE);
}

/* Load: the wait is predicted, and so long at all servers that the caller leaves before. */
static void
test_no_repeat_for_a_caller_that_leaves (void)
{
  const RetryGain gain = {
    .elapsed_ms = 6000,
    .predicted_ms = 2500,
    .other_ms = 2000,
    .objective_ms = OBJECTIVE_MS,
    .caller_ms = 1500,
  };

  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_HOPELESS);
}

/* Load: one slow server of many. The others answer as usual, so the request goes there. */
static void
test_one_slow_server_is_left (void)
{
  const RetryGain gain = {
    .elapsed_ms = 900,
    .predicted_ms = 80,
    .other_ms = 100,
    .objective_ms = OBJECTIVE_MS,
    .caller_ms = CALLER_MS,
  };

  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_SOONER);
}

/* Failure: a server stops answering while all are late. The request isn't held there until its
 * caller leaves. */
static void
test_stopped_server_is_left_under_load (void)
{
  const RetryGain gain = {
    .elapsed_ms = 6000,
    .predicted_ms = 1800,
    .other_ms = 2000,
    .objective_ms = OBJECTIVE_MS,
    .caller_ms = CALLER_MS,
  };

  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_SOONER);
}

/* Load: a long wait that was predicted is nearly over; elsewhere the request would wait longer. */
static void
test_place_in_queue_is_kept (void)
{
  RetryGain gain = {
    .elapsed_ms = 900,
    .predicted_ms = 1200,
    .other_ms = 500,
    .objective_ms = OBJECTIVE_MS,
    .caller_ms = CALLER_MS,
  };

  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_LATER);
  gain.elapsed_ms = 1300;
  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_LATER);
  gain.elapsed_ms = 1800;
  CU_ASSERT_EQUAL (front_retry_gain (&gain), RETRY_GAIN_SOONER);
}

static void
test_time_that_is_left (void)
{
  RetryGain gain = { .elapsed_ms = 200, .predicted_ms = 1000 };

  CU_ASSERT_DOUBLE_EQUAL (front_retry_gain_left_ms (&gain), 800, 0.001);
  gain.elapsed_ms = 1000;
  CU_ASSERT_DOUBLE_EQUAL (front_retry_gain_left_ms (&gain), 0, 0.001);
  gain.elapsed_ms = 1400;
  CU_ASSERT_DOUBLE_EQUAL (front_retry_gain_left_ms (&gain), 400, 0.001);
}

static const SuiteCase cases[] = {
  { "all_late_repeats_nothing", test_all_late_repeats_nothing },
  { "no_repeat_for_a_caller_that_leaves", test_no_repeat_for_a_caller_that_leaves },
  { "one_slow_server_is_left", test_one_slow_server_is_left },
  { "stopped_server_is_left_under_load", test_stopped_server_is_left_under_load },
  { "place_in_queue_is_kept", test_place_in_queue_is_kept },
  { "time_that_is_left", test_time_that_is_left },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_retry_gain", cases, SUITE_COUNT (cases));
}
