/** Which connections to backend servers are kept, and who may use them: src/front_keep.c. */
#include "front_keep.h"
#include "settings_front.h"
#include "suite.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SETTING_MS 2000

/* A connection of one of 27 fronts after a good answer, whose server promises two seconds. */
static KeepCase
good_case (void)
{
  return (KeepCase){
    .is_believed = true,
    .is_framed = true,
    .is_written = true,
    .takes_work = true,
    .told_ms = 2000,
    .max_ms = SETTING_MS,
    .fronts = 27,
  };
}

static void
test_a_good_answer_leaves_a_connection (void)
{
  KeepCase c = good_case ();

  CU_ASSERT (front_keep_ms (&c) == 1000);
}

static void
test_kept_for_no_longer_than_half_of_what_the_server_tells (void)
{
  KeepCase c = good_case ();

  c.told_ms = 60000;
  CU_ASSERT (front_keep_ms (&c) == SETTING_MS);
  c.told_ms = 1000;
  CU_ASSERT (front_keep_ms (&c) == 500);
  c.told_ms = 0;
  CU_ASSERT (front_keep_ms (&c) == 0);
}

/* A server that names no time may close after any time below a second. */
static void
test_untold_time_is_short (void)
{
  KeepCase c = good_case ();

  c.told_ms = KEEP_NOT_TOLD;
  CU_ASSERT (front_keep_ms (&c) > 0);
  CU_ASSERT (front_keep_ms (&c) <= 250);
}

static void
test_setting_0_keeps_none (void)
{
  KeepCase c = good_case ();

  c.max_ms = 0;
  CU_ASSERT (front_keep_ms (&c) == 0);
}

/* Failure: a cancelled attempt's answer, or a garbled one, arrives on the next request. */
static void
test_other_ends_close_the_connection (void)
{
  for (unsigned i = 0; i < 6; i++)
    {
      KeepCase c = good_case ();

      c.is_believed = i != 0;
      c.is_framed = i != 1;
      c.has_surplus = i == 2;
      c.is_written = i != 3;
      c.has_ended = i == 4;
      c.takes_work = i != 5;
      CU_ASSERT (front_keep_ms (&c) == 0);
    }
}

/* Load: each of n fronts before one server of three hundred places. Over all fronts at most 64 may
 * be idle there. */
static void
test_idle_connections_at_a_server_are_bounded_over_all_fronts (void)
{
  static const unsigned fronts[] = { 1, 2, 6, 27, 32, 33, 64, 65, 85, 295, 985 };

  for (unsigned i = 0; i < sizeof fronts / sizeof fronts[0]; i++)
    {
      KeepCase c = good_case ();

      c.fronts = fronts[i];
      while (front_keep_ms (&c) > 0)
        c.there++;
      CU_ASSERT (c.there <= 2);
      CU_ASSERT (c.there * fronts[i] <= 64);
      CU_ASSERT (fronts[i] > 64 || c.there >= 1);
    }
}

/* A front that doesn't know any number of fronts yet doesn't divide by it. */
static void
test_unknown_number_of_fronts (void)
{
  KeepCase c = good_case ();

  c.fronts = 0;
  CU_ASSERT (front_keep_ms (&c) > 0);
}

/* Failure: the server closes the connection as the request is written. A request that may run only
 * once could then be neither repeated nor refused. */
static void
test_only_repeatable_requests_use_kept_connections (void)
{
  KeepUse use = { .is_idempotent = true, .attempts = 1, .attempts_max = 3 };

  CU_ASSERT (front_keep_may_use (&use));
  use.is_idempotent = false;
  CU_ASSERT (!front_keep_may_use (&use));
}

static void
test_the_last_attempt_gets_a_new_connection (void)
{
  KeepUse use = { .is_idempotent = true, .attempts = 2, .attempts_max = 3 };

  CU_ASSERT (front_keep_may_use (&use));
  use.attempts = 3;
  CU_ASSERT (!front_keep_may_use (&use));
}

/* Failure: a server that reads a long body slowly leaves bytes unacknowledged for longer than a
 * kept connection may. */
static void
test_a_long_body_gets_a_new_connection (void)
{
  KeepUse use = { .is_idempotent = true, .attempts = 1, .attempts_max = 3, .body_len = 1 << 20 };

  CU_ASSERT (!front_keep_may_use (&use));
}

static int64_t
told_ms (const char *header)
{
  return front_keep_told_ms (span_of (header));
}

static void
test_keep_alive_header (void)
{
  CU_ASSERT (told_ms ("timeout=5") == 5000);
  CU_ASSERT (told_ms ("Timeout = 2, max=100") == 2000);
  CU_ASSERT (told_ms ("max=100,timeout=0") == 0);
  CU_ASSERT (told_ms (NULL) == KEEP_NOT_TOLD);
  CU_ASSERT (told_ms ("") == KEEP_NOT_TOLD);
  CU_ASSERT (told_ms ("max=100") == KEEP_NOT_TOLD);
}

/* Bad input: a time that is no number of seconds, or absurd, promises nothing. */
static void
test_bad_keep_alive_headers_promise_nothing (void)
{
  static const char *const bad[]
      = { "timeout",         "timeout=", "timeout=x", "timeout=-1", "timeout=99999999999999999999",
          "timeout=1000000", "=5",       ",,,",       "timeout=1.5" };

  for (unsigned i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT (told_ms (bad[i]) == KEEP_NOT_TOLD);
}

/* True if the setting is found wrong. */
static bool
is_complained_of (const char *value)
{
  CheckList list = { .file = "front.json" };
  SettingsFront settings;
  char path[SUITE_PATH_SIZE], text[128];
  bool found;

  snprintf (text, sizeof text, "{ \"keep_connections_ms\": %s }", value);
  suite_file (path, text);
  CU_ASSERT (!settings_front_read (path, &settings, &list)); /* other settings are missing */
  found = strstr (list.text.data, "keep_connections_ms") != NULL;
  check_free (&list);
  unlink (path);
  return found;
}

static void
test_the_setting_is_checked (void)
{
  CU_ASSERT (!is_complained_of ("0"));
  CU_ASSERT (!is_complained_of ("20000"));
  CU_ASSERT (is_complained_of ("-1"));
  CU_ASSERT (is_complained_of ("60001"));
  CU_ASSERT (is_complained_of ("\"2 s\""));
}

static const SuiteCase cases[] = {
  { "a_good_answer_leaves_a_connection", test_a_good_answer_leaves_a_connection },
  { "kept_for_no_longer_than_half_of_what_the_server_tells",
    test_kept_for_no_longer_than_half_of_what_the_server_tells },
  { "untold_time_is_short", test_untold_time_is_short },
  { "setting_0_keeps_none", test_setting_0_keeps_none },
  { "other_ends_close_the_connection", test_other_ends_close_the_connection },
  { "idle_connections_at_a_server_are_bounded_over_all_fronts",
    test_idle_connections_at_a_server_are_bounded_over_all_fronts },
  { "unknown_number_of_fronts", test_unknown_number_of_fronts },
  { "only_repeatable_requests_use_kept_connections",
    test_only_repeatable_requests_use_kept_connections },
  { "the_last_attempt_gets_a_new_connection", test_the_last_attempt_gets_a_new_connection },
  { "a_long_body_gets_a_new_connection", test_a_long_body_gets_a_new_connection },
  { "keep_alive_header", test_keep_alive_header },
  { "bad_keep_alive_headers_promise_nothing", test_bad_keep_alive_headers_promise_nothing },
  { "the_setting_is_checked", test_the_setting_is_checked },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_keep", cases, SUITE_COUNT (cases));
}
