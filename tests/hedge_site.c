#include "hedge_site.h"
#include "front_deaths.h"
#include "suite.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 4

HedgeSite *
site_new (void)
{
  HedgeSite *site = memory_alloc (sizeof *site);
  Front *front = &site->front;

  memset (fake_sends, 0, sizeof fake_sends);
  fake_send_count = 0;
  fake_now_ms = 1000000;
  site->target = (RouteTarget){ .service = (char *)"ledger", .weight = 1 };
  site->route = (FrontRoute){
    .name = (char *)"receipt",
    .host = (char *)"shop",
    .prefix = (char *)"/",
    .kind = ROUTE_IDEMPOTENT,
    .timeout_ms = SITE_TIMEOUT_MS,
    .objective_ms = SITE_OBJECTIVE_MS,
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
          = { .service = "ledger", .failure_domain = "d", .version = "v1", .slots = SITE_SLOTS };
      bool changed;

      snprintf (entry.id, sizeof entry.id, "i-%u", i);
      snprintf (entry.address, sizeof entry.address, "127.0.0.1:%u", i + 1);
      CU_ASSERT_FATAL (front_servers_set (front->servers, &entry, fake_now_ms, &changed));
    }
  /* The share of one request is one copy. */
  front_hedge_count_request (front->hedge, "ledger", fake_now_ms);
  front_budget_count_request (front->budget, "ledger", fake_now_ms);
  return site;
}

void
site_free (HedgeSite *site)
{
  Front *front = &site->front;

  CU_ASSERT (cds_list_empty (&front->requests));
  for (unsigned i = 0; i < fake_send_count; i++)
    CU_ASSERT (fake_sends[i].closed);
  http_request_parser_reset (&site->conn.parser);
  front_hedge_free (front->hedge);
  quarantine_free (front->quarantine);
  front_budget_free (front->budget);
  front_rollouts_free (front->rollouts);
  front_sessions_free (front->sessions);
  front_servers_free (front->servers);
  CU_ASSERT (fake_has_no_timers ());
  free (site);
}

void
site_call (HedgeSite *site, const char *fields)
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

void
site_call_until_copied (HedgeSite *site)
{
  site_call (site, "");
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 1);
  fake_connect (0);
  fake_pass (SITE_COPY_MS - 1);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 1);
  fake_pass (1);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
  CU_ASSERT (fake_sends[0].server != fake_sends[1].server);
  fake_connect (1);
}

bool
site_has_answered (const HedgeSite *site, const char *status)
{
  return site->conn.answers == 1 && strncmp (site->conn.status, status, strlen (status)) == 0;
}
