/** Refusals of requests that can't begin in time: src/front_admission.c. */
#include "front_admission.h"
#include "front_urgency.h"
#include "suite.h"

#define FRONTS  985
#define LEFT_MS 4000
#define STEP_MS 50
#define STEPS   (LEFT_MS / STEP_MS)

/* Load: the wait is long, but the answer is predicted to begin before its caller leaves: late
 * answers are sent, not refused. */
static void
test_late_answer_is_admitted (void)
{
  AdmissionRequest request = { .left_ms = 20000, .rank = 5, .spread = 0.5 };

  for (request.begin_ms = 0; request.begin_ms <= 20000; request.begin_ms += 500)
    CU_ASSERT_EQUAL (front_admission_refuse_ms (&request), 0);
}

/* Load: all servers would begin after the caller has left; it is told at once, within what callers
 * accept. */
static void
test_hopeless_request_is_refused (void)
{
  for (int64_t rank = 0; rank <= URGENCY_RANK_MAX; rank++)
    {
      AdmissionRequest request = { .left_ms = LEFT_MS, .rank = rank, .spread = 1 };

      for (request.begin_ms = LEFT_MS + 1; request.begin_ms < 10 * LEFT_MS; request.begin_ms += 500)
        {
          int64_t wait_ms = front_admission_refuse_ms (&request);

          CU_ASSERT (wait_ms > 0);
          CU_ASSERT (3 * wait_ms <= LEFT_MS);
        }
    }
}

/* Load: the wait is a little too long; the caller may come back once that little is over. */
static void
test_wait_follows_the_excess (void)
{
  const AdmissionRequest request = { .begin_ms = LEFT_MS + 300, .left_ms = LEFT_MS };
  const AdmissionRequest longer = { .begin_ms = LEFT_MS + 600, .left_ms = LEFT_MS };

  CU_ASSERT_EQUAL (front_admission_refuse_ms (&request), 300);
  CU_ASSERT_EQUAL (front_admission_refuse_ms (&longer), 600);
}

/* Load: each of 985 fronts refuses a request at one moment. The herd comes back over a time, the
 * most urgent before the least urgent, even where all are told the longest time. */
static void
test_herd_comes_back_spread_and_in_order (void)
{
  unsigned at[STEPS] = { 0 };
  unsigned most = 0;
  int64_t urgent_sum = 0, least_sum = 0;

  for (unsigned i = 0; i < FRONTS; i++)
    {
      AdmissionRequest request
          = { .begin_ms = 9 * LEFT_MS, .left_ms = LEFT_MS, .spread = (double)i / FRONTS };
      int64_t urgent_ms = front_admission_refuse_ms (&request);
      int64_t least_ms;

      request.rank = URGENCY_RANK_MAX;
      least_ms = front_admission_refuse_ms (&request);
      urgent_sum += urgent_ms;
      least_sum += least_ms;
      at[urgent_ms / STEP_MS]++;
    }
  for (unsigned i = 0; i < STEPS; i++)
    most = at[i] > most ? at[i] : most;
  CU_ASSERT (most <= FRONTS / 4);
  CU_ASSERT (urgent_sum * 110 < least_sum * 100);
}

/* Bad input: a deadline that has passed, a rank out of range, an endless wait. */
static void
test_bounds (void)
{
  const AdmissionRequest past = { .begin_ms = 10, .left_ms = -5000, .rank = 3 };
  const AdmissionRequest endless = { .begin_ms = 1e300, .left_ms = LEFT_MS, .rank = 4000000 };
  const AdmissionRequest negative = { .begin_ms = 1e12, .left_ms = LEFT_MS, .rank = -4 };

  CU_ASSERT_EQUAL (front_admission_refuse_ms (&past), 1);
  CU_ASSERT (3 * front_admission_refuse_ms (&endless) <= LEFT_MS);
  CU_ASSERT (3 * front_admission_refuse_ms (&negative) <= LEFT_MS);
}

static const SuiteCase cases[] = {
  { "late_answer_is_admitted", test_late_answer_is_admitted },
  { "hopeless_request_is_refused", test_hopeless_request_is_refused },
  { "wait_follows_the_excess", test_wait_follows_the_excess },
  { "herd_comes_back_spread_and_in_order", test_herd_comes_back_spread_and_in_order },
  { "bounds", test_bounds },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_admission", cases, SUITE_COUNT (cases));
}
