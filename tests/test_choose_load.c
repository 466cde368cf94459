/** Delayed load reports: src/choose_load.c. */
#include "choose_load.h"
#include "suite.h"

/* A report arrives 5 s late, and the gate has sent 40 requests since it was taken. If the gate
   assumed that the report counts them, it would see an idle server and send the next 40 there as
   well. */
static void
test_late_report_is_compared_at_its_own_time (void)
{
  LoadHistory history = { .sample = 0 };
  ServerView view = { .in_flight = 0 };
  int64_t t;

  load_report (&history, &view, 3, 500, 100000);
  CU_ASSERT_EQUAL (view.in_flight_at_report, 0);
  CU_ASSERT_EQUAL (view.reported_load, 3);
  for (t = 100000; t < 104000; t += 100)
    {
      view.in_flight++;
      load_history_add (&history, &view, t);
    }
  CU_ASSERT_EQUAL (view.in_flight, 40);
  /* Taken at 100,000 on our clock, 500 on the server's; arrives at 105,000. */
  load_report (&history, &view, 4, 500, 105000);
  CU_ASSERT (view.in_flight_at_report <= 2);
  /* Taken at 105,000 on our clock. */
  load_report (&history, &view, 44, 5500, 105000);
  CU_ASSERT_EQUAL (view.in_flight_at_report, 40);
}

/* After a server's clock is set back its reports seem to be very late. They must not be compared
   with the gate's requests of that earlier time from then on. */
static void
test_offset_is_measured_anew_if_clock_is_set_back (void)
{
  LoadHistory history = { .sample = 0 };
  ServerView view = { .in_flight = 0 };

  load_report (&history, &view, 0, 1000000, 1000000);
  view.in_flight = 7;
  load_history_add (&history, &view, 1001000);
  load_report (&history, &view, 7, 1000, 1002000);
  CU_ASSERT_EQUAL (view.in_flight_at_report, 7);
}

static void
test_report_older_than_history_uses_oldest_sample (void)
{
  LoadHistory history = { .sample = 0 };
  ServerView view = { .in_flight = 1 };
  int64_t t;

  load_report (&history, &view, 1, 0, 0);
  for (t = 0; t < 60000; t += 50)
    {
      view.in_flight = 2 + t / 1000;
      load_history_add (&history, &view, t);
    }
  load_report (&history, &view, 1, 0, 59000);
  CU_ASSERT (view.in_flight_at_report >= 2 + 59 - LOAD_HISTORY_SAMPLES * LOAD_SAMPLE_MS / 1000 - 1);
  CU_ASSERT (view.in_flight_at_report <= 2 + 59 - LOAD_HISTORY_SAMPLES * LOAD_SAMPLE_MS / 1000 + 1);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "late_report_is_compared_at_its_own_time", test_late_report_is_compared_at_its_own_time },
    { "offset_is_measured_anew_if_clock_is_set_back",
      test_offset_is_measured_anew_if_clock_is_set_back },
    { "report_older_than_history_uses_oldest_sample",
      test_report_older_than_history_uses_oldest_sample },
  };

  return suite_main (argc, argv, "choose_load", cases, SUITE_COUNT (cases));
}
