/** When a copy of a request is sent: src/front_request_hedge.c. */
#include "hedge_site.h"
#include "suite.h"

static const char good[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                           "Content-Length: 2\r\n\r\nab";

/* The operator withdraws the limit while a copy runs: the copy may still answer, and no further one
 * is sent. */
static void
test_limit_withdrawn_while_a_copy_runs (void)
{
  HedgeSite *site = site_new ();

  site_call_until_copied (site);
  front_hedge_set_share (site->front.hedge, 0);
  fake_answer (1, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  http_request_parser_reset (&site->conn.parser);
  site_call (site, "");
  fake_connect (2);
  fake_pass (SITE_SILENCE_MS - 1);
  CU_ASSERT_EQUAL (fake_send_count, 3);
  fake_answer (2, good);
  site_free (site);
}

typedef void (*Change) (HedgeSite *site);

static void
make_unsafe (HedgeSite *site)
{
  site->route.kind = ROUTE_NON_IDEMPOTENT;
}

static void
make_stream (HedgeSite *site)
{
  site->route.kind = ROUTE_STREAM;
  site->route.resumable = true;
  site->route.gap_ms = SITE_TIMEOUT_MS;
}

static void
make_off (HedgeSite *site)
{
  front_hedge_set_share (site->front.hedge, 0);
}

static void
make_one_attempt (HedgeSite *site)
{
  site->route.attempts_max = 1;
}

static void
make_others_cold (HedgeSite *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server->cold_until_ms = fake_now_ms + SITE_TIMEOUT_MS;
  }
}

static void
make_others_limited (HedgeSite *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server_limit_named (&server->limit, 1000, fake_now_ms);
  }
}

static void
make_others_avoided (HedgeSite *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    front_health_unreachable (&server->health, fake_now_ms);
  }
}

static void
make_others_rest (HedgeSite *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    front_server_rest (server, SITE_TIMEOUT_MS, fake_now_ms);
  }
}

static void
make_others_full (HedgeSite *site)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    server->running += SITE_SLOTS;
  }
}

static void
make_evacuated (HedgeSite *site)
{
  front_servers_evacuate (site->front.servers, "d", true, 1, fake_now_ms);
}

static void
empty_budget (HedgeSite *site)
{
  while (front_budget_take (site->front.budget, "ledger", BUDGET_HEDGE, fake_now_ms))
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
      HedgeSite *site = site_new ();

      if (none[i].before)
        none[i].before (site);
      site_call (site, none[i].fields ? none[i].fields : "");
      CU_ASSERT_EQUAL_FATAL (fake_send_count, 1);
      fake_connect (0);
      if (none[i].after)
        none[i].after (site);
      fake_pass (SITE_SILENCE_MS - 1);
      CU_ASSERT_EQUAL (fake_send_count, 1);
      front_request_cancel (site->request);
      site_free (site);
    }
}

/* A request that is found to crash servers gets no copy, which would crash another one. */
static void
test_quarantined_request_gets_no_copy (void)
{
  HedgeSite *site = site_new ();
  QuarantineRefusal refusal = { 0 };

  site_call (site, "");
  fake_connect (0);
  refusal.fingerprint = site->request->fingerprint;
  refusal.left_ms = 10 * SITE_TIMEOUT_MS;
  quarantine_add_refusal (site->front.quarantine, &refusal, fake_now_ms);
  CU_ASSERT_FATAL (request_is_quarantined (site->request, fake_now_ms));
  fake_pass (SITE_SILENCE_MS - 1);
  CU_ASSERT_EQUAL (fake_send_count, 1);
  fake_answer (0, good);
  site_free (site);
}

/* Late answers of this kind usually come within 40 ms, so that a copy isn't sent at first. The
 * server has frozen: the copy is sent once the answer is later than these, and answers. */
static void
test_copy_is_sent_when_the_answer_is_later_than_expected (void)
{
  HedgeSite *site = site_new ();
  HedgeKind kind = { .service = "ledger", .route = site->route.hash };

  for (unsigned i = 0; i < 64; i++)
    front_hedge_answered (site->front.hedge, &kind, i % 12 == 0 ? 240 : 120);
  site_call (site, "");
  fake_connect (0);
  fake_pass (200);
  CU_ASSERT_EQUAL (fake_send_count, 1);
  fake_pass (SITE_SILENCE_MS - 201);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
  fake_connect (1);
  fake_answer (1, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  site_free (site);
}

/* All other servers rest when the answer counts as late, and no longer do shortly after. */
static void
test_copy_is_sent_once_a_server_may_have_it (void)
{
  HedgeSite *site = site_new ();
  HedgeKind kind = { .service = "ledger", .route = site->route.hash };
  FrontServer *server;

  for (unsigned i = 0; i < 64; i++)
    front_hedge_answered (site->front.hedge, &kind, i % 12 == 0 ? 240 : 120);
  site_call (site, "");
  fake_connect (0);
  cds_list_for_each_entry (server, front_servers_list (site->front.servers), node)
  {
    front_server_rest (server, 230, fake_now_ms);
  }
  fake_pass (229);
  CU_ASSERT_EQUAL (fake_send_count, 1);
  fake_pass (SITE_SILENCE_MS - 230);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
  fake_connect (1);
  fake_answer (1, good);
  CU_ASSERT (site_has_answered (site, "HTTP/1.1 200"));
  site_free (site);
}

static const SuiteCase cases[] = {
  { "limit_withdrawn_while_a_copy_runs", test_limit_withdrawn_while_a_copy_runs },
  { "copy_is_sent_when_the_answer_is_later_than_expected",
    test_copy_is_sent_when_the_answer_is_later_than_expected },
  { "copy_is_sent_once_a_server_may_have_it", test_copy_is_sent_once_a_server_may_have_it },
  { "no_copy_is_sent", test_no_copy_is_sent },
  { "quarantined_request_gets_no_copy", test_quarantined_request_gets_no_copy },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_request_hedge", cases, SUITE_COUNT (cases));
}
