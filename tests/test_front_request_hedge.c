/** Requests with two attempts: src/front_request_hedge.c, front_request_pair.c. Connections are
 * replaced by records of what was asked of them, timers and the clock by ones that the test
 * advances. */
#include "front_deaths.h"
#include "front_fakes.h"
#include "front_request.h"
#include "front_request_private.h"
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_call.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS      4
#define SLOTS        4
#define OBJECTIVE_MS 500
#define COPY_MS      250 /* a copy is sent after half of the objective */
#define SILENCE_MS   300 /* an attempt is given up after three fifths of it */
#define TIMEOUT_MS   4000

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

/* A front with a plain service of four servers, and one caller. */
typedef struct
{
  Front front;
  FrontConn conn;
  FrontConfig config;
  FrontRoute route;
  RouteTarget target;
  FrontRequest *request;
} Site;

static Site *
site_new (void)
{
  Site *site = memory_alloc (sizeof *site);
  Front *front = &site->front;

  memset (sends, 0, sizeof sends);
  send_count = 0;
  clock_ms = 1000000;
  site->target = (RouteTarget){ .service = (char *)"ledger", .weight = 1 };
  site->route = (FrontRoute){
    .name = (char *)"receipt",
    .host = (char *)"shop",
    .prefix = (char *)"/",
    .kind = ROUTE_IDEMPOTENT,
    .timeout_ms = TIMEOUT_MS,
    .objective_ms = OBJECTIVE_MS,
    .attempts_max = 3,
    .is_public = true,
    .target_count = 1,
    .targets = &site->target,
    .hash = 9,
  };
  site->config = (FrontConfig){ .references = 1, .route_count = 1, .routes = &site->route };
  front->config = &site->config;
  front->servers_known = true;
  front->servers = front_servers_new ("d");
  front->sessions = front_sessions_new (1000);
  front->rollouts = front_rollouts_new (front->sessions, 1);
  front->budget
      = front_budget_new (&(BudgetSettings){ .share = 1, .extra = 200, .window_ms = 10000 });
  front->quarantine = quarantine_new (&front_quarantine_settings);
  front->hedge = front_hedge_new (1);
  front_hedge_set_share (front->hedge, 1);
  front->settings.hedge_share = 1;
  CDS_INIT_LIST_HEAD (&front->requests);
  CDS_INIT_LIST_HEAD (&front->conns);
  front_waiting_init (&front->waiting);
  front_returning_init (&front->returning);
  front_holding_init (&front->holding);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      ServerEntry entry
          = { .service = "ledger", .failure_domain = "d", .version = "v1", .slots = SLOTS };
      bool changed;

      snprintf (entry.id, sizeof entry.id, "i-%u", i);
      snprintf (entry.address, sizeof entry.address, "127.0.0.1:%u", i + 1);
      CU_ASSERT_FATAL (front_servers_set (front->servers, &entry, clock_ms, &changed));
    }
  /* The share of one request is one copy. */
  front_hedge_count_request (front->hedge, "ledger", clock_ms);
  front_budget_count_request (front->budget, "ledger", clock_ms);
  return site;
}

static void
site_free (Site *site)
{
  Front *front = &site->front;

  CU_ASSERT (cds_list_empty (&front->requests));
  for (unsigned i = 0; i < send_count; i++)
    CU_ASSERT (sends[i].closed);
  http_request_parser_reset (&site->conn.parser);
  front_hedge_free (front->hedge);
  quarantine_free (front->quarantine);
  front_budget_free (front->budget);
  front_rollouts_free (front->rollouts);
  front_sessions_free (front->sessions);
  front_servers_free (front->servers);
  CU_ASSERT (cds_list_empty (&timers));
  free (site);
}

static void
call (Site *site, const char *fields)
{
  HttpRequestLimits limits = { .head_max = 4096, .body_max = 4096 };
  char text[512];
  size_t used;

  snprintf (text, sizeof text, "GET /7 HTTP/1.1\r\nHost: shop\r\n%s\r\n", fields);
  http_request_parser_init (&site->conn.parser, &limits);
  CU_ASSERT_FATAL (http_request_parser_feed (&site->conn.parser, text, strlen (text), &used)
                   == HTTP_PARSE_DONE);
  site->request = front_request_new (&site->front, &site->conn);
  front_request_start (site->request);
}

/* Sends a request and waits until a copy of it was sent, too. */
static void
call_until_copied (Site *site)
{
  call (site, "");
  CU_ASSERT_EQUAL_FATAL (send_count, 1);
  connect_send (0);
  pass (COPY_MS - 1);
  CU_ASSERT_EQUAL_FATAL (send_count, 1);
  pass (1);
  CU_ASSERT_EQUAL_FATAL (send_count, 2);
  CU_ASSERT (sends[0].server != sends[1].server);
  connect_send (1);
}

static bool
has_answered (const Site *site, const char *status)
{
  return site->conn.answers == 1 && strncmp (site->conn.status, status, strlen (status)) == 0;
}

/* A server freezes with the first attempt. The copy's answer is relayed, and the frozen server's
 * connection closed at once. Only the frozen server's answers count as late. */
static void
test_copy_answers_for_a_frozen_server (void)
{
  Site *site = site_new ();

  call_until_copied (site);
  answer (1, good);
  CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
  CU_ASSERT (sends[0].closed);
  CU_ASSERT (sends[1].server->health.answers > 0);
  CU_ASSERT (sends[0].server->health.answers == 0);
  site_free (site);
}

/* The first attempt answers after all, with the copy running: the copy's server stops working. */
static void
test_first_answers_before_the_copy (void)
{
  Site *site = site_new ();

  call_until_copied (site);
  answer (0, good);
  CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
  CU_ASSERT (sends[1].closed);
  CU_ASSERT_EQUAL (send_count, 2);
  site_free (site);
}

/* An answer that has begun but doesn't go on loses against one that is complete. */
static void
test_begun_answer_that_stalls_loses (void)
{
  Site *site = site_new ();

  call_until_copied (site);
  answer (0, good_head);
  CU_ASSERT_EQUAL (site->conn.answers, 0);
  answer (1, good);
  CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
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
      Site *site = site_new ();
      unsigned failed = i % 2;

      site->route.attempts_max = 2 + i / 2 % 2;
      call_until_copied (site);
      answer (failed, failures[i / 4]);
      CU_ASSERT_EQUAL (site->conn.answers, 0);
      CU_ASSERT (sends[failed].closed);
      CU_ASSERT_EQUAL (send_count, 2);
      answer (1 - failed, good);
      CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

/* Both fail: one retry by the usual rules, and no copy of that one. */
static void
test_both_fail_and_one_retry_answers (void)
{
  Site *site = site_new ();

  site->route.attempts_max = 4;
  call_until_copied (site);
  answer (1, server_error);
  answer (0, server_error);
  CU_ASSERT_EQUAL_FATAL (send_count, 3);
  connect_send (2);
  pass (SILENCE_MS - 1);
  CU_ASSERT_EQUAL (send_count, 3);
  answer (2, good);
  CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
  site_free (site);
}

/* Both fail and the route allows no third attempt: the caller is told that the request may have run
 * if one of them has, whichever failed last. */
static void
test_both_fail_and_may_have_run_is_true (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_new ();

      site->route.attempts_max = 2;
      call_until_copied (site);
      answer (i, unsigned_good);
      answer (1 - i, not_executed);
      CU_ASSERT (has_answered (site, "HTTP/1.1 502"));
      CU_ASSERT_EQUAL (send_count, 2);
      site_free (site);
    }
}

/* Both servers say that the request has not run, and the caller is told so. */
static void
test_both_refuse_and_nothing_has_run (void)
{
  Site *site = site_new ();

  site->route.attempts_max = 2;
  call_until_copied (site);
  answer (0, not_executed);
  answer (1, not_executed);
  CU_ASSERT (has_answered (site, "HTTP/1.1 503"));
  site_free (site);
}

/* The copy's server can't be reached, as its host says or by silence: the first goes on, and the
 * copy used up no attempt. */
static void
test_copy_cannot_be_sent (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_new ();

      call (site, "");
      connect_send (0);
      pass (COPY_MS);
      CU_ASSERT_EQUAL_FATAL (send_count, 2);
      if (i == 0)
        sends[1].attempt->callbacks->cut (sends[1].attempt->user);
      else
        pass (FRONT_CONNECT_TIMEOUT_MS);
      CU_ASSERT (sends[1].closed);
      CU_ASSERT (!sends[0].closed);
      CU_ASSERT_EQUAL (site->request->attempts, 1);
      answer (0, good);
      CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

/* The caller leaves between the copy and its answer: both servers stop working. */
static void
test_caller_leaves_with_two_attempts (void)
{
  Site *site = site_new ();

  call_until_copied (site);
  front_request_cancel (site->request);
  CU_ASSERT (sends[0].closed && sends[1].closed);
  CU_ASSERT_EQUAL (site->conn.answers, 0);
  pass (OBJECTIVE_MS);
  site_free (site);
}

/* Neither server answers until the time-out: the caller is told that the request may have run, also
 * if the copy's connection was never opened. */
static void
test_time_out_with_two_attempts (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_new ();

      site->route.attempts_max = 2;
      site->route.timeout_ms = COPY_MS + SILENCE_MS;
      call (site, "");
      connect_send (0);
      pass (COPY_MS);
      CU_ASSERT_EQUAL_FATAL (send_count, 2);
      if (i == 0)
        connect_send (1);
      pass (SILENCE_MS);
      CU_ASSERT (has_answered (site, "HTTP/1.1 504"));
      CU_ASSERT_EQUAL (send_count, 2);
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
      Site *site = site_new ();

      call_until_copied (site);
      if (i > 0)
        answer (i - 1, server_error_head);
      pass (SILENCE_MS - 1);
      CU_ASSERT_EQUAL (send_count, 2);
      pass (1);
      CU_ASSERT_EQUAL_FATAL (send_count, 3);
      CU_ASSERT (sends[0].closed && sends[1].closed);
      connect_send (2);
      answer (2, good);
      CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
      site_free (site);
    }
}

/* The operator withdraws the limit while a copy runs: the copy may still answer, and no further one
 * is sent. */
static void
test_limit_withdrawn_while_a_copy_runs (void)
{
  Site *site = site_new ();

  call_until_copied (site);
  front_hedge_set_share (site->front.hedge, 0);
  answer (1, good);
  CU_ASSERT (has_answered (site, "HTTP/1.1 200"));
  http_request_parser_reset (&site->conn.parser);
  call (site, "");
  connect_send (2);
  pass (SILENCE_MS - 1);
  CU_ASSERT_EQUAL (send_count, 3);
  answer (2, good);
  site_free (site);
}

typedef void (*Change) (Site *site);

static void
make_unsafe (Site *site)
{
  site->route.kind = ROUTE_NON_IDEMPOTENT;
}

static void
make_stream (Site *site)
{
  site->route.kind = ROUTE_STREAM;
  site->route.resumable = true;
  site->route.gap_ms = TIMEOUT_MS;
}

static void
make_off (Site *site)
{
  front_hedge_set_share (site->front.hedge, 0);
}

static void
make_one_attempt (Site *site)
{
  site->route.attempts_max = 1;
}

static void
make_others_cold (Site *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server->cold_until_ms = clock_ms + TIMEOUT_MS;
  }
}

static void
make_others_limited (Site *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server_limit_named (&server->limit, 1000, clock_ms);
  }
}

static void
make_others_avoided (Site *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    front_health_unreachable (&server->health, clock_ms);
  }
}

static void
make_others_rest (Site *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    front_server_rest (server, TIMEOUT_MS, clock_ms);
  }
}

static void
make_others_full (Site *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server->running += SLOTS;
  }
}

static void
make_evacuated (Site *site)
{
  front_servers_evacuate (site->front.servers, "d", true, 1, clock_ms);
}

static void
empty_budget (Site *site)
{
  while (front_budget_take (site->front.budget, "ledger", BUDGET_HEDGE, clock_ms))
    continue;
}

/* A copy must not be sent: one case for each reason. before: what holds when the request is sent;
 * after: what happens while it runs. */
static void
test_no_copy_is_sent (void)
{
  static const struct
  {
    Change before, after;
    const char *fields;
  } none[] = {
    { .before = make_unsafe },
    { .before = make_stream },
    { .before = make_off },
    { .after = make_off },
    { .before = make_one_attempt },
    { .after = make_others_cold },
    { .after = make_others_limited },
    { .after = make_others_avoided },
    { .after = make_others_rest },
    { .after = make_others_full },
    { .after = make_evacuated },
    { .after = empty_budget },
    { .fields = "Lovage-Handed-Off: 0\r\n" },
  };

  for (unsigned i = 0; i < sizeof none / sizeof none[0]; i++)
    {
      Site *site = site_new ();

      if (none[i].before)
        none[i].before (site);
      call (site, none[i].fields ? none[i].fields : "");
      CU_ASSERT_EQUAL_FATAL (send_count, 1);
      connect_send (0);
      if (none[i].after)
        none[i].after (site);
      pass (SILENCE_MS - 1);
      CU_ASSERT_EQUAL (send_count, 1);
      front_request_cancel (site->request);
      site_free (site);
    }
}

/* A request that is found to crash servers gets no copy, which would crash another one. */
static void
test_quarantined_request_gets_no_copy (void)
{
  Site *site = site_new ();
  QuarantineRefusal refusal = { 0 };

  call (site, "");
  connect_send (0);
  refusal.fingerprint = site->request->fingerprint;
  refusal.left_ms = 10 * TIMEOUT_MS;
  quarantine_add_refusal (site->front.quarantine, &refusal, clock_ms);
  CU_ASSERT_FATAL (request_is_quarantined (site->request, clock_ms));
  pass (SILENCE_MS - 1);
  CU_ASSERT_EQUAL (send_count, 1);
  answer (0, good);
  site_free (site);
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
  { "limit_withdrawn_while_a_copy_runs", test_limit_withdrawn_while_a_copy_runs },
  { "no_copy_is_sent", test_no_copy_is_sent },
  { "quarantined_request_gets_no_copy", test_quarantined_request_gets_no_copy },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_request_hedge", cases, SUITE_COUNT (cases));
}
