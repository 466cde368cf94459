/** Requests that go back to a full server: src/front_readmit.c. */
#include "front_readmit.h"
#include "suite.h"

#define LEFT_MS    1500 /* of a caller of a plain service */
#define SERVER     5u
#define OTHER      6u
#define FRONTS     985
#define RETURN_MAX 10

/* All waits of a request that is turned away each time; returns their number. */
static unsigned
returns_of (int64_t left_ms, double spread, int64_t *waited_ms)
{
  ReadmitRequest request = { .left_ms = left_ms, .spread = spread };
  int64_t wait_ms;

  while ((wait_ms = front_readmit_wait_ms (&request)) > 0 && request.returns < RETURN_MAX)
    {
      request.returns++;
      request.waited_ms += wait_ms;
      request.left_ms -= wait_ms;
    }
  *waited_ms = request.waited_ms;
  return request.returns;
}

/* Load: one server is left of three; a request finds it full, and room a tenth of a second
 * later. */
static void
test_full_server_is_tried_again (void)
{
  const ReadmitRequest request = { .left_ms = LEFT_MS };
  int64_t wait_ms = front_readmit_wait_ms (&request);

  CU_ASSERT (wait_ms > 0);
  CU_ASSERT (wait_ms <= 150);
}

/* Load: the server stays full. The returns are bounded, and the refusal goes out while the caller
 * has three quarters of its time left to come back. */
static void
test_refusal_leaves_time_to_come_back (void)
{
  int64_t waited_ms;

  for (int64_t left_ms = 0; left_ms < 20000; left_ms += 10)
    {
      CU_ASSERT (returns_of (left_ms, 1, &waited_ms) <= 2);
      CU_ASSERT (4 * waited_ms <= left_ms);
    }
}

/* A request that may have run is never reported as one that has not. */
static void
test_request_that_may_have_run_stays_out (void)
{
  const ReadmitRequest request = { .may_have_run = true, .left_ms = LEFT_MS };

  CU_ASSERT_EQUAL (front_readmit_wait_ms (&request), 0);
}

/* A caller that leaves soon, or has left, is refused at once. */
static void
test_no_time_left (void)
{
  const ReadmitRequest soon = { .left_ms = 60 };
  const ReadmitRequest past = { .left_ms = -500 };

  CU_ASSERT_EQUAL (front_readmit_wait_ms (&soon), 0);
  CU_ASSERT_EQUAL (front_readmit_wait_ms (&past), 0);
}

/* Load: a server turns away a request of each of 985 fronts at one moment. They don't come back at
 * one moment. */
static void
test_herd_is_spread (void)
{
  unsigned at[RETURN_MAX * 20] = { 0 };
  unsigned most = 0;

  for (unsigned i = 0; i < FRONTS; i++)
    {
      const ReadmitRequest request = { .left_ms = LEFT_MS, .spread = (double)i / FRONTS };

      at[front_readmit_wait_ms (&request)]++;
    }
  for (unsigned i = 0; i < SUITE_COUNT (at); i++)
    most = at[i] > most ? at[i] : most;
  CU_ASSERT (most < FRONTS / 5);
}

/* Load: several requests wait for the same full server: one at a time goes back, the first in the
 * order of urgency that is due; other servers don't hold it up. */
static void
test_one_at_a_time_in_order (void)
{
  const ReadmitWaiting list[] = {
    { .server = SERVER, .due_ms = 200 },
    { .server = SERVER, .due_ms = 100 },
    { .server = OTHER, .due_ms = 100 },
    { .server = SERVER, .due_ms = 100 },
  };

  CU_ASSERT (!front_readmit_is_next (list, 0, 100));
  CU_ASSERT (front_readmit_is_next (list, 1, 100));
  CU_ASSERT (front_readmit_is_next (list, 2, 100));
  CU_ASSERT (!front_readmit_is_next (list, 3, 100));
  CU_ASSERT (front_readmit_is_next (list, 0, 200));
  CU_ASSERT (!front_readmit_is_next (list, 1, 200));
}

static const SuiteCase cases[] = {
  { "full_server_is_tried_again", test_full_server_is_tried_again },
  { "refusal_leaves_time_to_come_back", test_refusal_leaves_time_to_come_back },
  { "request_that_may_have_run_stays_out", test_request_that_may_have_run_stays_out },
  { "no_time_left", test_no_time_left },
  { "herd_is_spread", test_herd_is_spread },
  { "one_at_a_time_in_order", test_one_at_a_time_in_order },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_readmit", cases, SUITE_COUNT (cases));
}
