/** Requests that are held while servers turn requests away: src/front_hold.c. */
#include "front_hold.h"
#include "suite.h"

#define START_MS  100000
#define DRAFT_MS  20000 /* time-out of a kind that can wait */
#define ANSWER_MS 1500.0
#define DAY_MS    10000
#define TICK_MS   10

/* No load: nothing was turned away, and no request waits. */
static void
test_nothing_waits_without_rejections (void)
{
  HoldPace pace = { 0 };

  for (int64_t now_ms = START_MS; now_ms < START_MS + DAY_MS; now_ms++)
    {
      CU_ASSERT (front_hold_is_due (&pace, now_ms));
      front_hold_sent (&pace, now_ms);
      front_hold_taken (&pace, now_ms);
      CU_ASSERT_EQUAL (front_hold_gap_ms (&pace, now_ms), 0);
    }
}

/* Load: one request is turned away in a second. The next ones wait for hundredths of a second at
 * most, and a second later none does. */
static void
test_single_rejection_delays_nobody (void)
{
  HoldPace pace = { 0 };

  front_hold_turned_away (&pace, START_MS);
  CU_ASSERT (front_hold_is_due (&pace, START_MS + 20));
  CU_ASSERT_EQUAL (front_hold_gap_ms (&pace, START_MS + 1000), 0);
}

/* Sends a request at each tick at which one is due to servers that take one each room_ms; the
 * others are turned away. */
static void
play (HoldPace *pace, int64_t room_ms, unsigned *taken, unsigned *turned_away)
{
  int64_t free_ms = START_MS;

  *taken = *turned_away = 0;
  for (int64_t now_ms = START_MS; now_ms < START_MS + DAY_MS; now_ms += TICK_MS)
    {
      while (front_hold_is_due (pace, now_ms))
        {
          front_hold_sent (pace, now_ms);
          if (now_ms < free_ms)
            {
              front_hold_turned_away (pace, now_ms);
              (*turned_away)++;
              break;
            }
          free_ms += room_ms;
          if (free_ms < now_ms)
            free_ms = now_ms;
          front_hold_taken (pace, now_ms);
          (*taken)++;
          if (front_hold_gap_ms (pace, now_ms) <= 0)
            break;
        }
    }
}

/* Load: the least urgent burst; servers take 20 requests a second of the hundreds that come. Most
 * of the room is used, and fewer are turned away than are taken. */
static void
test_pace_follows_room (void)
{
  HoldPace pace = { 0 };
  unsigned taken, turned_away;

  play (&pace, 50, &taken, &turned_away);
  CU_ASSERT (taken >= 120);
  CU_ASSERT (turned_away <= taken / 2);
}

/* Load: two fifths of the servers come back after a burst. Their room is used within two seconds.
 */
static void
test_room_that_comes_back_is_used (void)
{
  HoldPace pace = { 0 };
  int64_t now_ms = START_MS;

  for (unsigned i = 0; i < 50; i++)
    front_hold_turned_away (&pace, now_ms += 10);
  CU_ASSERT (front_hold_gap_ms (&pace, now_ms) <= 250);
  CU_ASSERT (front_hold_gap_ms (&pace, now_ms + 2000) <= 20);
  CU_ASSERT_EQUAL (front_hold_gap_ms (&pace, now_ms + 4000), 0);
}

/* Load: a burst that outlasts its callers. A request is held as long as an answer can still be
 * whole in time, and no longer. */
static void
test_request_is_held_while_it_can_be_served (void)
{
  HoldRequest request = { .left_ms = DRAFT_MS, .need_ms = ANSWER_MS };

  CU_ASSERT_EQUAL (front_hold_longest_ms (&request), DRAFT_MS - (int64_t)ANSWER_MS);
  request.left_ms = (int64_t)ANSWER_MS;
  CU_ASSERT_EQUAL (front_hold_longest_ms (&request), 0);
  request.left_ms = -1;
  CU_ASSERT_EQUAL (front_hold_longest_ms (&request), 0);
}

/* Load: so many come before it that its turn would come too late. */
static void
test_hopeless_request_is_not_held (void)
{
  const HoldRequest request
      = { .left_ms = DRAFT_MS, .need_ms = ANSWER_MS, .wait_ms = 2 * DRAFT_MS };

  CU_ASSERT_EQUAL (front_hold_longest_ms (&request), 0);
}

/* A request that may have run is never reported as one that has not. */
static void
test_request_that_may_have_run_stays_out (void)
{
  const HoldRequest request = { .may_have_run = true, .left_ms = DRAFT_MS };

  CU_ASSERT_EQUAL (front_hold_longest_ms (&request), 0);
}

/* Load: all servers are full for the whole of a caller's time. Its request is sent again a bounded
 * number of times, the first time while a slot that becomes free may be its. */
static void
test_rejected_request_comes_again_seldom (void)
{
  int64_t waited_ms = 0;
  unsigned times = 0;

  CU_ASSERT (front_hold_again_ms (1, 1) <= 100);
  while (waited_ms < DRAFT_MS)
    waited_ms += front_hold_again_ms (++times, 0);
  CU_ASSERT (times <= 32);
  CU_ASSERT (front_hold_again_ms (UINT32_MAX, 1) <= 1500);
}

/* Load: a herd is refused at once. It is told to come back when room is predicted, at different
 * times, and within what its callers accept. */
static void
test_retry_after_is_spread (void)
{
  const HoldRequest request = { .left_ms = DRAFT_MS, .wait_ms = 2000 };
  const HoldRequest late = { .left_ms = 600, .wait_ms = 5000 };

  CU_ASSERT_EQUAL (front_hold_retry_after_ms (&request, 0), 2000);
  CU_ASSERT_EQUAL (front_hold_retry_after_ms (&request, 1), 2500);
  CU_ASSERT_EQUAL (front_hold_retry_after_ms (&late, 1), 200);
  CU_ASSERT (front_hold_retry_after_ms (&(HoldRequest){ .left_ms = -5 }, 0) > 0);
}

/* Answers of 1 to 10 s in equal numbers: the need is what half of them take. One answer that is odd
 * moves it little, an impossible one not at all. */
static void
test_need_is_learned (void)
{
  HoldNeed need = { 0 };

  for (unsigned i = 0; i < 1000; i++)
    front_hold_need_add (&need, 1000.0 * (1 + i * 7 % 10), true);
  CU_ASSERT (need.ms > 4000 && need.ms < 7000);
  front_hold_need_add (&need, -1, true);
  front_hold_need_add (&need, 0.0 / 0.0, true);
  CU_ASSERT (need.ms > 4000 && need.ms < 7000);
  front_hold_need_add (&need, 1e9, true);
  CU_ASSERT (need.ms < 7300);
}

/* Load: callers with 5 s leave while the engines are busy. That counts as an answer that takes
 * longer, so that the next requests aren't sent in vain; but the need stays below half of their
 * time, as the answers of lost servers never come. */
static void
test_callers_that_leave_count (void)
{
  HoldNeed need = { 0 };

  for (unsigned i = 0; i < 10; i++)
    front_hold_need_add (&need, ANSWER_MS, true);
  for (unsigned i = 0; i < 10; i++)
    front_hold_need_add (&need, ANSWER_MS / 2, false);
  CU_ASSERT (front_hold_need_ms (&need, 5000) > 1.2 * ANSWER_MS);
  for (unsigned i = 0; i < 1000; i++)
    front_hold_need_add (&need, ANSWER_MS, false);
  CU_ASSERT_EQUAL (front_hold_need_ms (&need, 5000), 2500);
}

/* Load: two kinds of one rank are held. The highest priority goes out first; of the others, who has
 * less time; and nobody starves behind later arrivals. */
static void
test_urgent_ones_go_out_first (void)
{
  const HoldTurn report = { .rank = 3,
                            .priority = 0,
                            .arrived_ms = START_MS + 1000,
                            .objective_ms = 4000,
                            .end_ms = START_MS + 26000 };
  const HoldTurn draft = { .rank = 3,
                           .priority = 1,
                           .arrived_ms = START_MS,
                           .objective_ms = 4000,
                           .end_ms = START_MS + DRAFT_MS };
  HoldTurn tag = { .rank = 3,
                   .priority = 2,
                   .arrived_ms = START_MS + 500,
                   .objective_ms = 8000,
                   .end_ms = START_MS + 5500,
                   .need_ms = 2000 };
  HoldTurn other = report;

  CU_ASSERT (front_hold_is_before (&report, &draft));
  CU_ASSERT (front_hold_is_before (&tag, &draft));
  tag.rank = 4;
  CU_ASSERT (front_hold_is_before (&draft, &tag));
  other.arrived_ms += 4000;
  other.end_ms += 4000;
  CU_ASSERT (front_hold_is_before (&draft, &other));
  CU_ASSERT (!front_hold_is_before (&draft, &draft));
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "nothing waits without rejections", test_nothing_waits_without_rejections },
    { "single rejection delays nobody", test_single_rejection_delays_nobody },
    { "pace follows room", test_pace_follows_room },
    { "room that comes back is used", test_room_that_comes_back_is_used },
    { "request is held while it can be served", test_request_is_held_while_it_can_be_served },
    { "hopeless request is not held", test_hopeless_request_is_not_held },
    { "request that may have run stays out", test_request_that_may_have_run_stays_out },
    { "rejected request comes again seldom", test_rejected_request_comes_again_seldom },
    { "Retry-After is spread", test_retry_after_is_spread },
    { "need is learned", test_need_is_learned },
    { "callers that leave count", test_callers_that_leave_count },
    { "urgent ones go out first", test_urgent_ones_go_out_first },
  };

  return suite_main (argc, argv, "front_hold", cases, SUITE_COUNT (cases));
}
