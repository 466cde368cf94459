/** How fast streams go on: src/front_pace.c. */
#include "front_pace.h"
#include "suite.h"

#define NOW 100000 /* milliseconds */

/* Load: streams of a few events, and of many that arrive in one piece. A stream is measured once,
 * as soon as four gaps are known, and not at all if it is shorter. */
static void
test_stream_is_measured_once_and_early (void)
{
  PaceStream stream = { 0 };
  double gap_ms = 0;

  CU_ASSERT (!pace_stream_add (&stream, 1, NOW, &gap_ms));
  CU_ASSERT (!pace_stream_add (&stream, 4, NOW + 90, &gap_ms));
  CU_ASSERT (pace_stream_add (&stream, 5, NOW + 120, &gap_ms));
  CU_ASSERT_DOUBLE_EQUAL (gap_ms, 30, 0.01);
  CU_ASSERT (!pace_stream_add (&stream, 9, NOW + 900, &gap_ms));
  CU_ASSERT_DOUBLE_EQUAL (gap_ms, 30, 0.01);
}

/* Failure: a stream is cut off and goes on at another server. Its first gaps there don't count the
 * events from before, nor the time in between. */
static void
test_resumed_stream_is_measured_anew (void)
{
  PaceStream stream = { 0 };
  double gap_ms = 0;

  CU_ASSERT (!pace_stream_add (&stream, 40, NOW, &gap_ms));
  CU_ASSERT (!pace_stream_add (&stream, 42, NOW + 100, &gap_ms));
  CU_ASSERT (pace_stream_add (&stream, 44, NOW + 200, &gap_ms));
  CU_ASSERT_DOUBLE_EQUAL (gap_ms, 50, 0.01);
}

/* Load: a burst slows the old version's streams threefold. What is usual follows within sixteen
 * streams, so that a new version isn't compared with streams from before; nothing is known from
 * three. */
static void
test_usual_pace_follows_the_load (void)
{
  FrontPace pace = { 0 };

  for (unsigned i = 0; i < 3; i++)
    front_pace_learn (&pace, 30);
  CU_ASSERT_EQUAL (front_pace_usual_ms (&pace), 0);
  for (unsigned i = 0; i < 40; i++)
    front_pace_learn (&pace, 30);
  CU_ASSERT_DOUBLE_EQUAL (front_pace_usual_ms (&pace), 30, 0.1);
  for (unsigned i = 0; i < 16; i++)
    front_pace_learn (&pace, 90);
  CU_ASSERT (front_pace_usual_ms (&pace) > 65);
}

static const SuiteCase cases[] = {
  { "stream_is_measured_once_and_early", test_stream_is_measured_once_and_early },
  { "resumed_stream_is_measured_anew", test_resumed_stream_is_measured_anew },
  { "usual_pace_follows_the_load", test_usual_pace_follows_the_load },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pace", cases, SUITE_COUNT (cases));
}
