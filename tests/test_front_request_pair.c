/** A request with two attempts, of which one has to win: src/front_request_pair.c. */
#include "hedge_site.h"
#include "suite.h"

static const char good[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                           "Content-Length: 2\r\n\r\nab";
static const char good_head[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                                "Content-Length: 2\r\n\r\n";
static const char server_error[] = "HTTP/1.1 500 Error\r\nLovagehub-Server-Signature: x.y\r\n"
                                   "Content-Length: 0\r\n\r\n";
static const char server_error_head[] = "HTTP/1.1 500 Error\r\nLovagehub-Server-Signature: x.y\r\n"
                                        "Content-Length: 2\r\n\r\n";
static const char not_found[] = "HTTP/1.1 404 None\r\nLovagehub-Server-Signature: x.y\r\n"
                                "Content-Length: 0\r\n\r\n";
static const char unsigned_good[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
static const char not_executed[] = "HTTP/1.1 503 Full\r\nLovagehub-Server-Signature: x.y\r\n"
                                   "Lovagehub-Not-Executed: true\r\nContent-Length: 0\r\n\r\n";

/* A server freezes with the first attempt. The copy's answer is relayed, and the frozen server's
 * connection closed at once. Only the frozen server's answers count as late. */
static void
test_copy_answers_for_a_frozen_server (void)
{
  HedgeSite *site = site_new ();

  site_call_until_copied (site);
  fake_answer (1, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  CU_ASSERT (fake_sends[0].closed);
  CU_ASSERT (fake_sends[1].server->health.answers > 0);
  CU_ASSERT (fake_sends[0].server->health.answers == 0);
  site_free (site);
}

/* The first attempt answers after all, with the copy running: the copy's server stops working. */
static void
test_first_answers_before_the_copy (void)
{
  HedgeSite *site = site_new ();

  site_call_until_copied (site);
  fake_answer (0, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  CU_ASSERT (fake_sends[1].closed);
  CU_ASSERT_EQUAL (fake_send_count, 2);
  site_free (site);
}

/* An answer that has begun but doesn't go on loses against one that is complete. */
static void
test_begun_answer_that_stalls_loses (void)
{
  HedgeSite *site = site_new ();

  site_call_until_copied (site);
  fake_answer (0, good_head);
  CU_ASSERT_EQUAL (site->conn.answers, 0);
  fake_answer (1, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  site_free (site);
}

/* Whichever fails first, the other goes on alone; no third send makes up for the failed one,
 * whether the route allows one or not. */
static void
test_one_fails_and_the_other_goes_on (void)
{
  static const char *const failures[] = { server_error, not_found, unsigned_good, not_executed };

  for (unsigned i = 0; i < 4 * sizeof failures / sizeof failures[0]; i++)
    {
      HedgeSite *site = site_new ();
      unsigned failed = i % 2;

      site->route.attempts_max = 2 + i / 2 % 2;
      site_call_until_copied (site);
      fake_answer (failed, failures[i / 4]);
      CU_ASSERT_EQUAL (site->conn.answers, 0);
      CU_ASSERT (fake_sends[failed].closed);
      CU_ASSERT_EQUAL (fake_send_count, 2);
      fake_answer (1 - failed, good);
      CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

/* Both fail: one retry by the usual rules, and no copy of that one. */
static void
test_both_fail_and_one_retry_answers (void)
{
  HedgeSite *site = site_new ();

  site->route.attempts_max = 4;
  site_call_until_copied (site);
  fake_answer (1, server_error);
  fake_answer (0, server_error);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 3);
  fake_connect (2);
  fake_pass (SITE_SILENCE_MS - 1);
  CU_ASSERT_EQUAL (fake_send_count, 3);
  fake_answer (2, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  site_free (site);
}

/* Both fail and the route allows no third attempt: the caller is told that the request may have run
 * if one of them has, whichever failed last. */
static void
test_both_fail_and_may_have_run_is_true (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      HedgeSite *site = site_new ();

      site->route.attempts_max = 2;
      site_call_until_copied (site);
      fake_answer (i, unsigned_good);
      fake_answer (1 - i, not_executed);
      CU_ASSERT (site_has_answered (site, "HTTP/1.1 502"));
      CU_ASSERT_EQUAL (fake_send_count, 2);
      site_free (site);
    }
}

/* Both servers say that the request has not run, and the caller is told so. */
static void
test_both_refuse_and_nothing_has_run (void)
{
  HedgeSite *site = site_new ();

  site->route.attempts_max = 2;
  site_call_until_copied (site);
  fake_answer (0, not_executed);
  fake_answer (1, not_executed);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 503"));
  site_free (site);
}

/* The copy's server can't be reached, as its host says or by silence: the first goes on, and the
 * copy used up no attempt. */
static void
test_copy_cannot_be_sent (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      HedgeSite *site = site_new ();

      site_call (site, "");
      fake_connect (0);
      fake_pass (SITE_COPY_MS);
      CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
      if (i == 0)
        fake_cut (1);
      else
        fake_pass (FRONT_CONNECT_TIMEOUT_MS);
      CU_ASSERT (fake_sends[1].closed);
      CU_ASSERT (!fake_sends[0].closed);
      CU_ASSERT_EQUAL (site->request->attempts, 1);
      fake_answer (0, good);
      CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

/* The caller leaves between the copy and its answer: both servers stop working. */
static void
test_caller_leaves_with_two_attempts (void)
{
  HedgeSite *site = site_new ();

  site_call_until_copied (site);
  front_request_cancel (site->request);
  CU_ASSERT (fake_sends[0].closed && fake_sends[1].closed);
  CU_ASSERT_EQUAL (site->conn.answers, 0);
  fake_pass (SITE_OBJECTIVE_MS);
  site_free (site);
}

/* Neither server answers until the time-out: the caller is told that the request may have run, also
 * if the copy's connection was never opened. */
static void
test_time_out_with_two_attempts (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      HedgeSite *site = site_new ();

      site->route.attempts_max = 2;
      site->route.timeout_ms = SITE_COPY_MS + SITE_SILENCE_MS;
      site_call (site, "");
      fake_connect (0);
      fake_pass (SITE_COPY_MS);
      CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
      if (i == 0)
        fake_connect (1);
      fake_pass (SITE_SILENCE_MS);
      CU_ASSERT (site_has_answered (site, "HTTP/1.1 504"));
      CU_ASSERT_EQUAL (fake_send_count, 2);
      site_free (site);
    }
}

/* Both servers freeze, one of them within an error answer: one retry, only once the copy has been
 * silent for too long as well. */
static void
test_two_frozen_servers_bring_one_retry (void)
{
  for (unsigned i = 0; i < 3; i++)
    {
      HedgeSite *site = site_new ();

      site_call_until_copied (site);
      if (i > 0)
        fake_answer (i - 1, server_error_head);
      fake_pass (SITE_SILENCE_MS - 1);
      CU_ASSERT_EQUAL (fake_send_count, 2);
      fake_pass (1);
      CU_ASSERT_EQUAL_FATAL (fake_send_count, 3);
      CU_ASSERT (fake_sends[0].closed && fake_sends[1].closed);
      fake_connect (2);
      fake_answer (2, good);
      CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

static const SuiteCase cases[] = {
  { "copy_answers_for_a_frozen_server", test_copy_answers_for_a_frozen_server },
  { "first_answers_before_the_copy", test_first_answers_before_the_copy },
  { "begun_answer_that_stalls_loses", test_begun_answer_that_stalls_loses },
  { "one_fails_and_the_other_goes_on", test_one_fails_and_the_other_goes_on },
  { "both_fail_and_one_retry_answers", test_both_fail_and_one_retry_answers },
  { "both_fail_and_may_have_run_is_true", test_both_fail_and_may_have_run_is_true },
  { "both_refuse_and_nothing_has_run", test_both_refuse_and_nothing_has_run },
  { "copy_cannot_be_sent", test_copy_cannot_be_sent },
  { "caller_leaves_with_two_attempts", test_caller_leaves_with_two_attempts },
  { "time_out_with_two_attempts", test_time_out_with_two_attempts },
  { "two_frozen_servers_bring_one_retry", test_two_frozen_servers_bring_one_retry },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_request_pair", cases, SUITE_COUNT (cases));
}
