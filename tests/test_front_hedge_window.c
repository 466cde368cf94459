/** The operator's limit on copies: src/front_hedge_window.c. */
#include "front_hedge_window.h"
#include "suite.h"
#include <string.h>

#define START_MS 1000000
#define FRONTS   985

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
  { "limit_holds_over_985_fronts", test_limit_holds_over_985_fronts },
  { "limit_holds_in_all_windows_of_one_front", test_limit_holds_in_all_windows_of_one_front },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_hedge_window", cases, SUITE_COUNT (cases));
}
