/** Copies of late requests: src/front_hedge.c, front_hedge_times.c and front_hedge_window.c. */
#include "front_hedge.h"
#include "front_hedge_window.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>

#define START_MS     1000000
#define OBJECTIVE_MS 150
#define USUAL_MS     30
#define SLOW_MS      300
#define RUNNING_MAX  4000
#define FRONTS       985

/* Requests of one kind at one front, each answered after a time that the test names. */
typedef struct
{
  FrontHedge *hedge;
  HedgeKind kind;
  HedgeForecast forecast;
  bool budget_is_empty;
  unsigned budget_taken;
  unsigned count;
  struct
  {
    int64_t sent_ms;
    int64_t takes_ms;
    bool decided, done;
    uint64_t number;
    HedgeVerdict verdict;
  } running[RUNNING_MAX];
} Load;

static HedgeForecast
forecast (void *user)
{
  return ((Load *)user)->forecast;
}

static bool
take_budget (void *user)
{
  Load *load = user;

  load->budget_taken += !load->budget_is_empty;
  return !load->budget_is_empty;
}

static Load *
load_new (double share)
{
  Load *load = calloc (1, sizeof *load);

  load->hedge = front_hedge_new (1);
  front_hedge_set_share (load->hedge, share);
  load->kind = (HedgeKind){ .service = "ledger", .route = 7 };
  load->forecast = (HedgeForecast){ .has_server = true };
  return load;
}

static void
load_free (Load *load)
{
  front_hedge_free (load->hedge);
  free (load);
}

static HedgeCase
case_of (Load *load, double elapsed_ms)
{
  return (HedgeCase){
    .kind = load->kind,
    .objective_ms = OBJECTIVE_MS,
    .is_idempotent = true,
    .has_attempts = true,
    .elapsed_ms = elapsed_ms,
    .remaining_ms = 1000,
    .forecast = forecast,
    .take_budget = take_budget,
    .user = load,
  };
}

static void
send (Load *load, int64_t now_ms, int64_t takes_ms)
{
  CU_ASSERT_FATAL (load->count < RUNNING_MAX);
  load->running[load->count].sent_ms = now_ms;
  load->running[load->count++].takes_ms = takes_ms;
  front_hedge_count_request (load->hedge, load->kind.service, now_ms);
}

/* Handles what happens to the requests in one millisecond. */
static void
step (Load *load, int64_t now_ms)
{
  for (unsigned i = 0; i < load->count; i++)
    {
      int64_t elapsed_ms = now_ms - load->running[i].sent_ms;
      HedgeCase c = case_of (load, (double)elapsed_ms);

      if (load->running[i].done)
        continue;
      if (elapsed_ms >= load->running[i].takes_ms)
        {
          load->running[i].done = true;
          if (load->running[i].decided)
            front_hedge_replace (load->hedge, &load->kind, load->running[i].number,
                                 (double)elapsed_ms);
          else
            front_hedge_answered (load->hedge, &load->kind, (double)elapsed_ms);
          continue;
        }
      if (load->running[i].decided)
        continue;
      load->running[i].verdict = front_hedge_decide (load->hedge, &c, now_ms);
      load->running[i].decided = load->running[i].verdict != HEDGE_TOO_EARLY;
      if (load->running[i].decided)
        load->running[i].number
            = front_hedge_answered (load->hedge, &load->kind, (double)elapsed_ms);
    }
}

/* One request each interval_ms, the i-th of which takes takes (i) milliseconds. */
static int64_t
run (Load *load, int64_t from_ms, int64_t span_ms, int64_t interval_ms, int64_t (*takes) (unsigned))
{
  for (int64_t at_ms = from_ms; at_ms < from_ms + span_ms; at_ms++)
    {
      if ((at_ms - from_ms) % interval_ms == 0)
        send (load, at_ms, takes (load->count));
      step (load, at_ms);
    }
  return from_ms + span_ms;
}

static unsigned
count_verdicts (const Load *load, HedgeVerdict verdict, int64_t from_ms, int64_t to_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < load->count; i++)
    count += load->running[i].decided && load->running[i].verdict == verdict
             && load->running[i].sent_ms >= from_ms && load->running[i].sent_ms < to_ms;
  return count;
}

static unsigned
count_copies (const Load *load, int64_t from_ms, int64_t to_ms)
{
  return count_verdicts (load, HEDGE_SEND, from_ms, to_ms);
}

/* 20 to 39 ms, one of 50 much later. */
static int64_t
usual (unsigned i)
{
  return i % 50 == 49 ? (int64_t)6 * USUAL_MS : 20 + (int64_t)(i * 7 % 20);
}

static int64_t
slow (unsigned i)
{
  return SLOW_MS + (int64_t)(i * 7 % 40);
}

static int64_t
one_of_three_slow (unsigned i)
{
  return i % 3 == 0 ? SLOW_MS : usual (i);
}

/* Load: a service whose answers all take ten times as long from one moment on, as under a burst or
 * with its database slow. Copies would double its work. Of the first second's 50 requests at most a
 * third may get one although the limit allows one for each, and none from the third second on. */
static void
test_service_slow_as_a_whole_gets_no_storm (void)
{
  Load *load = load_new (1);
  int64_t at_ms = run (load, START_MS, 4000, 20, usual);

  CU_ASSERT (count_copies (load, START_MS, at_ms) <= 6);
  run (load, at_ms, 4000, 20, slow);
  CU_ASSERT (count_copies (load, at_ms, at_ms + 1000) <= 17);
  CU_ASSERT_EQUAL (count_copies (load, at_ms + 2000, at_ms + 4000), 0);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS) > SLOW_MS);
  load_free (load);
}

/* Load: the same service is fast again. Its late answers get copies again within two seconds. */
static void
test_recovered_service_gets_copies_again (void)
{
  Load *load = load_new (1);
  int64_t at_ms = run (load, START_MS, 4000, 20, slow);

  run (load, at_ms, 2000, 20, usual);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS) < OBJECTIVE_MS);
  load_free (load);
}

/* Load: one of three servers takes ten times as long. Nearly all of its requests get a copy, early
 * enough for an answer within the objective. */
static void
test_one_slow_server_of_three (void)
{
  Load *load = load_new (1);
  int64_t at_ms = run (load, START_MS, 4000, 20, usual);
  int64_t end_ms = run (load, at_ms, 6000, 20, one_of_three_slow);

  CU_ASSERT (count_copies (load, at_ms, end_ms) >= 85);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS)
             < OBJECTIVE_MS - USUAL_MS);
  load_free (load);
}

/* Load: a burst of four times the requests, of which a third is slow. Copies stay within the share
 * of the requests in the window. */
static void
test_burst_stays_within_limit (void)
{
  Load *load = load_new (0.05);
  int64_t at_ms = run (load, START_MS, 4000, 20, usual);
  int64_t end_ms = run (load, at_ms, 3000, 5, one_of_three_slow);
  unsigned copies = count_copies (load, START_MS, end_ms);

  CU_ASSERT (copies >= load->count * 0.05 - 2);
  CU_ASSERT (copies <= load->count * 0.05 + 1);
  CU_ASSERT (count_verdicts (load, HEDGE_LIMIT, at_ms, end_ms) > 50);
  load_free (load);
}

/* The operator lowers the limit to none while copies run, and sets it again. */
static void
test_changed_limit_applies_at_once (void)
{
  Load *load = load_new (0.5);
  int64_t at_ms = run (load, START_MS, 4000, 20, usual);
  int64_t off_ms = run (load, at_ms, 2000, 20, one_of_three_slow);
  int64_t on_ms;

  front_hedge_set_share (load->hedge, 0);
  on_ms = run (load, off_ms + SLOW_MS, 2000, 20, one_of_three_slow);
  front_hedge_set_share (load->hedge, 0.5);
  at_ms = run (load, on_ms + SLOW_MS, 2000, 20, one_of_three_slow);
  CU_ASSERT (count_copies (load, START_MS, off_ms) > 20);
  CU_ASSERT_EQUAL (count_copies (load, off_ms, on_ms), 0);
  CU_ASSERT (count_copies (load, on_ms, at_ms) > 20);
  load_free (load);
}

/* Each reason not to send a copy, alone; none of these takes from the budget. */
static void
test_verdicts (void)
{
  Load *load = load_new (1);
  int64_t at_ms = run (load, START_MS, 2000, 20, usual);
  double late_ms = front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS);
  HedgeCase c = case_of (load, late_ms);
  unsigned taken = load->budget_taken;

  c.is_idempotent = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_REPEATABLE);
  c = case_of (load, late_ms - 1);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_TOO_EARLY);
  c = case_of (load, late_ms);
  c.is_quarantined = true;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_QUARANTINED);
  c = case_of (load, late_ms);
  c.has_attempts = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_ATTEMPTS);
  c = case_of (load, late_ms);
  c.is_in_rollout = true;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_ROLLOUT);
  c = case_of (load, late_ms);
  load->forecast.has_server = false;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NO_SERVER);
  load->forecast = (HedgeForecast){ .has_server = true, .is_full = true };
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SERVICE_FULL);
  load->forecast = (HedgeForecast){ .has_server = true, .extra_ms = SLOW_MS };
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_SOONER);
  load->forecast.extra_ms = 0;
  c.remaining_ms = USUAL_MS / 2.0;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_NOT_SOONER);
  CU_ASSERT_EQUAL (load->budget_taken, taken);
  c.remaining_ms = 1000;
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SEND);
  CU_ASSERT_EQUAL (load->budget_taken, taken + 1);
  load_free (load);
}

/* Failures have used up the retry budget: no copy is sent, and none counts against the limit. */
static void
test_empty_budget (void)
{
  Load *load = load_new (0.02);
  int64_t at_ms = run (load, START_MS, 2000, 20, usual);
  HedgeCase c;

  load->budget_is_empty = true;
  at_ms = run (load, at_ms, 2000, 20, one_of_three_slow);
  CU_ASSERT (count_verdicts (load, HEDGE_NO_BUDGET, START_MS, at_ms) >= 20);
  load->budget_is_empty = false;
  c = case_of (load, SLOW_MS);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms), HEDGE_SEND);
  load_free (load);
}

/* Load: servers turn requests away. Copies would take the room of requests that have none. */
static void
test_full_service_gets_no_copies (void)
{
  Load *load = load_new (1);
  int64_t at_ms = run (load, START_MS, 2000, 20, usual);
  HedgeCase c = case_of (load, OBJECTIVE_MS);

  front_hedge_count_full (load->hedge, load->kind.service, at_ms);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms + 900), HEDGE_SERVICE_FULL);
  CU_ASSERT_EQUAL (front_hedge_decide (load->hedge, &c, at_ms + 1100), HEDGE_SEND);
  load_free (load);
}

/* One request in eight takes three times as long as the others, which is the rule for this kind.
 * Its copy is sent in time for an answer within the objective all the same. */
static void
test_copy_is_sent_in_time_for_the_objective (void)
{
  Load *load = load_new (1);
  double delay_ms;

  for (unsigned i = 0; i < 80; i++)
    front_hedge_answered (load->hedge, &load->kind, i % 8 == 0 ? 3 * USUAL_MS : USUAL_MS);
  delay_ms = front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS / 1.2);
  CU_ASSERT (delay_ms <= OBJECTIVE_MS / 1.2 - 2 * USUAL_MS);
  CU_ASSERT (delay_ms > USUAL_MS);
  load_free (load);
}

/* Until answers are known, only a request that has used half of its objective gets a copy; and none
 * gets one where answers are so quick that callers don't notice a late one. */
static void
test_delay_without_answers_and_with_quick_ones (void)
{
  Load *load = load_new (1);

  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS) >= OBJECTIVE_MS / 2.0);
  for (unsigned i = 0; i < 50; i++)
    front_hedge_answered (load->hedge, &load->kind, 2);
  CU_ASSERT (front_hedge_delay_ms (load->hedge, &load->kind, OBJECTIVE_MS) >= 0.4 * OBJECTIVE_MS);
  load_free (load);
}

/* A metric says that the limit is reached; a line does so once in a window. */
static void
test_limit_is_told_once_a_window (void)
{
  Load *load = load_new (0.02);

  CU_ASSERT (front_hedge_limit_is_news (load->hedge, "ledger", START_MS));
  CU_ASSERT (!front_hedge_limit_is_news (load->hedge, "ledger", START_MS + 1000));
  CU_ASSERT (front_hedge_limit_is_news (load->hedge, "other", START_MS + 1000));
  CU_ASSERT (front_hedge_limit_is_news (load->hedge, "ledger", START_MS + HEDGE_WINDOW_MS));
  load_free (load);
}

static uint32_t random_state;

static double
uniform (void)
{
  random_state = random_state * 1664525u + 1013904223u;
  return random_state / 4294967296.0;
}

/* All of 985 fronts, each with one request in two seconds: their shares are below one copy. All
 * requests are late for the whole time. Over all fronts, the copies of any 30 s stay within the
 * share and a quarter of a copy for each front, and within a tenth of the share in the long run;
 * and most of the share is used. */
static void
test_limit_holds_over_985_fronts (void)
{
  static HedgeWindow windows[FRONTS];
  static unsigned requests[300], copies[300];
  const double share = 0.05;
  unsigned all_requests = 0, all_copies = 0;

  memset (windows, 0, sizeof windows);
  memset (requests, 0, sizeof requests);
  memset (copies, 0, sizeof copies);
  random_state = 1;
  for (unsigned i = 0; i < FRONTS; i++)
    windows[i].seed = i + 1;
  for (unsigned s = 0; s < 300; s++)
    for (unsigned i = 0; i < FRONTS; i++)
      {
        int64_t now_ms = START_MS + s * 1000 + (int64_t)(uniform () * 1000);

        if (uniform () >= 0.5)
          continue;
        hedge_window_count_request (&windows[i], now_ms);
        requests[s]++;
        if (!hedge_window_allows (&windows[i], share, now_ms))
          continue;
        hedge_window_count_copy (&windows[i], now_ms);
        copies[s]++;
      }
  for (unsigned s = 0; s < 300; s++)
    {
      unsigned window_requests = 0, window_copies = 0;

      all_requests += requests[s];
      all_copies += copies[s];
      for (unsigned j = s < 29 ? 0 : s - 29; j <= s; j++)
        {
          window_requests += requests[j];
          window_copies += copies[j];
        }
      CU_ASSERT (window_copies <= window_requests * share + FRONTS / 4.0);
    }
  CU_ASSERT (all_copies <= all_requests * share * 1.1);
  CU_ASSERT (all_copies >= all_requests * share * 0.7);
}

/* One busy front: its copies never exceed the share of its own requests by more than one in any
 * window, also when the load falls. */
static void
test_limit_holds_in_all_windows_of_one_front (void)
{
  HedgeWindow window = { .seed = 5 };
  static unsigned requests[200], copies[200];

  random_state = 2;
  memset (requests, 0, sizeof requests);
  memset (copies, 0, sizeof copies);
  for (unsigned s = 0; s < 200; s++)
    for (unsigned i = 0; i < (s % 80 < 40 ? 40 : 4); i++)
      {
        int64_t now_ms = START_MS + s * 1000 + i * 20;

        hedge_window_count_request (&window, now_ms);
        requests[s]++;
        if (uniform () >= 0.4 || !hedge_window_allows (&window, 0.1, now_ms))
          continue;
        hedge_window_count_copy (&window, now_ms);
        copies[s]++;
      }
  for (unsigned s = 29; s < 200; s++)
    {
      unsigned window_requests = 0, window_copies = 0;

      for (unsigned j = s - 29; j <= s; j++)
        {
          window_requests += requests[j];
          window_copies += copies[j];
        }
      /* Checked at the end of each second; a copy was allowed by the window that ended with it. */
      if (copies[s] > 0)
        CU_ASSERT (window_copies <= window_requests * 0.1 + 1);
    }
}

static const SuiteCase cases[] = {
  { "service_slow_as_a_whole_gets_no_storm", test_service_slow_as_a_whole_gets_no_storm },
  { "recovered_service_gets_copies_again", test_recovered_service_gets_copies_again },
  { "one_slow_server_of_three", test_one_slow_server_of_three },
  { "burst_stays_within_limit", test_burst_stays_within_limit },
  { "changed_limit_applies_at_once", test_changed_limit_applies_at_once },
  { "verdicts", test_verdicts },
  { "empty_budget", test_empty_budget },
  { "full_service_gets_no_copies", test_full_service_gets_no_copies },
  { "copy_is_sent_in_time_for_the_objective", test_copy_is_sent_in_time_for_the_objective },
  { "delay_without_answers_and_with_quick_ones", test_delay_without_answers_and_with_quick_ones },
  { "limit_is_told_once_a_window", test_limit_is_told_once_a_window },
  { "limit_holds_over_985_fronts", test_limit_holds_over_985_fronts },
  { "limit_holds_in_all_windows_of_one_front", test_limit_holds_in_all_windows_of_one_front },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_hedge", cases, SUITE_COUNT (cases));
}
