/** Requests that are held while engines turn requests away: src/front_request_hold.c. Connections,
 * timers and the clock are replaced by front_fakes. */
#include "front_budget.h"
#include "front_deaths.h"
#include "front_fakes.h"
#include "front_peers_private.h"
#include "suite.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES    4
#define CALLERS    8
#define SLOTS      4
#define TIMEOUT_MS 5000

static const char good[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                           "Content-Length: 2\r\n\r\nab";
static const char good_head[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                                "Content-Length: 2\r\n\r\n";
static const char full[] = "HTTP/1.1 503 Full\r\nLovagehub-Server-Signature: x.y\r\n"
                           "Lovagehub-Not-Executed: true\r\nContent-Length: 0\r\n\r\n";

static const char full_with_rest[] = "HTTP/1.1 503 Full\r\nLovagehub-Server-Signature: x.y\r\n"
                                     "Lovagehub-Not-Executed: true\r\nRetry-After: 1.5\r\n"
                                     "Content-Length: 0\r\n\r\n";

/* A front with a service of four engines, two routes to it, and some callers. */
typedef struct
{
  Front front;
  FrontPeers peers;
  FrontConn conns[CALLERS];
  unsigned callers;
  FrontConfig config;
  FrontRoute routes[2]; /* the second one is the more urgent */
  FrontService service;
  RouteTarget target;
} Site;

static void
set_config (Site *site)
{
  site->target = (RouteTarget){ .service = (char *)"writer", .weight = 1 };
  site->service = (FrontService){
    .name = (char *)"writer", .slots = SLOTS, .kv_tokens = 1000, .objective_ratio = 4
  };
  site->routes[0] = (FrontRoute){
    .name = (char *)"draft",
    .host = (char *)"shop",
    .prefix = (char *)"/draft/",
    .kind = ROUTE_IDEMPOTENT,
    .timeout_ms = TIMEOUT_MS,
    .objective_ms = 2000,
    .attempts_max = 3,
    .priority = 1,
    .is_public = true,
    .target_count = 1,
    .targets = &site->target,
    .hash = 9,
  };
  site->routes[1] = site->routes[0];
  site->routes[1].name = (char *)"report";
  site->routes[1].prefix = (char *)"/report/";
  site->routes[1].priority = 0;
  site->routes[1].hash = 10;
  site->config = (FrontConfig){ .references = 1,
                                .route_count = 2,
                                .routes = site->routes,
                                .service_count = 1,
                                .services = &site->service };
}

static Site *
site_new (void)
{
  Site *site = memory_alloc (sizeof *site);
  Front *front = &site->front;

  memset (fake_sends, 0, sizeof fake_sends);
  fake_send_count = 0;
  fake_now_ms = 1000000;
  set_config (site);
  front->config = &site->config;
  front->settings.contention_ratio = 4;
  site->peers.front = front;
  front->peers = &site->peers;
  front->servers_known = true;
  front->servers = front_servers_new ("d");
  front->sessions = front_sessions_new (1000);
  front->rollouts = front_rollouts_new (front->sessions, 1);
  front->budget
      = front_budget_new (&(BudgetSettings){ .share = 1, .extra = 400, .window_ms = 10000 });
  front->quarantine = quarantine_new (&front_quarantine_settings);
  front->hedge = front_hedge_new (1);
  front->waits = front_waits_new ();
  CDS_INIT_LIST_HEAD (&front->requests);
  CDS_INIT_LIST_HEAD (&front->conns);
  front_waiting_init (&front->waiting);
  front_returning_init (&front->returning);
  front_holding_init (&front->holding);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      ServerEntry entry
          = { .service = "writer", .failure_domain = "d", .version = "v1", .slots = SLOTS };
      bool changed;

      snprintf (entry.id, sizeof entry.id, "i-%u", i);
      snprintf (entry.address, sizeof entry.address, "127.0.0.1:%u", i + 1);
      CU_ASSERT_FATAL (front_servers_set (front->servers, &entry, fake_now_ms, &changed));
    }
  return site;
}

static void
site_free (Site *site)
{
  Front *front = &site->front;

  CU_ASSERT (cds_list_empty (&front->requests));
  CU_ASSERT (cds_list_empty (&front->holding.requests));
  CU_ASSERT_EQUAL (front->holding.count, 0);
  for (unsigned i = 0; i < fake_send_count; i++)
    CU_ASSERT (fake_sends[i].closed);
  for (unsigned i = 0; i < site->callers; i++)
    http_request_parser_reset (&site->conns[i].parser);
  front_holding_clear (&front->holding);
  front_returning_clear (&front->returning);
  front_waits_free (front->waits);
  front_hedge_free (front->hedge);
  quarantine_free (front->quarantine);
  front_budget_free (front->budget);
  front_rollouts_free (front->rollouts);
  front_sessions_free (front->sessions);
  front_servers_free (front->servers);
  CU_ASSERT (fake_has_no_timers ());
  free (site);
}

/* A caller's request arrives; returns the caller. */
static unsigned
call (Site *site, const char *path)
{
  HttpRequestLimits limits = { .head_max = 4096, .body_max = 4096 };
  FrontConn *conn = &site->conns[site->callers];
  char text[512];
  size_t used;

  CU_ASSERT_FATAL (site->callers < CALLERS);
  snprintf (text, sizeof text, "GET /%s/%u HTTP/1.1\r\nHost: shop\r\n\r\n", path, site->callers);
  http_request_parser_init (&conn->parser, &limits);
  CU_ASSERT_FATAL (http_request_parser_feed (&conn->parser, text, strlen (text), &used)
                   == HTTP_PARSE_DONE);
  front_request_start (front_request_new (&site->front, conn));
  return site->callers++;
}

static bool
has_answered (const Site *site, unsigned caller, const char *status)
{
  return site->conns[caller].answers == 1
         && strncmp (site->conns[caller].status, status, strlen (status)) == 0;
}

/* Engines turn away each send from this one on, until all callers are answered or so much time has
 * passed. Returns the next send. */
static unsigned
turn_away (unsigned from, int64_t for_ms)
{
  for (int64_t i = 0; i < for_ms; i++)
    {
      for (; from < fake_send_count; from++)
        {
          fake_connect (from);
          fake_answer (from, full);
        }
      fake_pass (1);
    }
  return from;
}

/* Load: all engines are full for a tenth of a second. The request doesn't use up its servers
 * meanwhile, and is answered by the first one that has room. */
static void
test_full_engines_use_up_no_servers_at_once (void)
{
  Site *site = site_new ();
  unsigned caller = call (site, "draft"), next;

  CU_ASSERT_EQUAL (fake_send_count, 1);
  next = turn_away (0, 100);
  CU_ASSERT (fake_send_count <= 3);
  CU_ASSERT_EQUAL (site->conns[caller].answers, 0);
  for (unsigned i = 0; i < 1000 && fake_send_count == next; i++)
    fake_pass (1);
  CU_ASSERT_FATAL (fake_send_count > next);
  fake_connect (next);
  fake_answer (next, good);
  CU_ASSERT (has_answered (site, caller, "HTTP/1.1 200"));
  site_free (site);
}

/* Load: all engines are full for the whole of a caller's time. The request reaches no more engines
 * than its route allows, and is refused as not run before its caller leaves. */
static void
test_refused_before_its_caller_leaves (void)
{
  Site *site = site_new ();
  unsigned caller = call (site, "draft"), servers = 0;

  turn_away (0, TIMEOUT_MS);
  CU_ASSERT (has_answered (site, caller, "HTTP/1.1 503"));
  CU_ASSERT (fake_send_count >= 4 && fake_send_count <= 16);
  for (unsigned i = 0; i < fake_send_count; i++)
    {
      bool is_new = true;

      for (unsigned j = 0; j < i; j++)
        is_new &= fake_sends[j].server != fake_sends[i].server;
      servers += is_new;
    }
  CU_ASSERT_EQUAL (servers, 3);
  site_free (site);
}

/* Nothing is turned away: requests go out as they come. */
static void
test_nothing_is_held_without_rejections (void)
{
  Site *site = site_new ();

  for (unsigned i = 0; i < CALLERS; i++)
    {
      call (site, "draft");
      CU_ASSERT_EQUAL_FATAL (fake_send_count, i + 1);
      fake_connect (i);
    }
  for (unsigned i = 0; i < CALLERS; i++)
    fake_answer (i, good);
  site_free (site);
}

/* Load: drafts are held, and a more urgent report arrives. It goes out before them, and each of
 * them in the end. */
static void
test_urgent_request_goes_out_first (void)
{
  Site *site = site_new ();
  unsigned report, next;

  call (site, "draft");
  next = turn_away (0, 1);
  CU_ASSERT_EQUAL (call (site, "draft"), 1);
  call (site, "draft");
  report = call (site, "report");
  CU_ASSERT_EQUAL (fake_send_count, next);
  while (fake_send_count == next)
    fake_pass (1);
  fake_connect (next);
  fake_answer (next, good);
  CU_ASSERT (has_answered (site, report, "HTTP/1.1 200"));
  for (next++; !cds_list_empty (&site->front.requests);)
    {
      fake_pass (1);
      for (; next < fake_send_count; next++)
        {
          fake_connect (next);
          fake_answer (next, good);
        }
    }
  for (unsigned i = 0; i < site->callers; i++)
    CU_ASSERT (has_answered (site, i, "HTTP/1.1 200"));
  site_free (site);
}

/* Load: a request of this front ends at an engine while another one is held. The room is used at
 * once. */
static void
test_freed_room_is_used (void)
{
  Site *site = site_new ();

  call (site, "draft");
  fake_connect (0);
  fake_answer (0, good_head);
  call (site, "draft");
  fake_connect (1);
  fake_answer (1, full);
  CU_ASSERT_EQUAL (fake_send_count, 2);
  fake_answer (0, "ab");
  fake_pass (1);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 3);
  CU_ASSERT (fake_sends[2].server == fake_sends[0].server);
  fake_connect (2);
  fake_answer (2, good);
  CU_ASSERT (has_answered (site, 1, "HTTP/1.1 200"));
  site_free (site);
}

/* Load: all fronts of a domain are asked to stop in a burst. Held requests are refused at once, so
 * that their callers find other fronts. */
static void
test_stop_refuses_held_requests (void)
{
  Site *site = site_new ();
  unsigned caller = call (site, "draft");

  turn_away (0, 1);
  site->front.stop_requested_ms = fake_now_ms;
  fake_pass (20);
  CU_ASSERT (has_answered (site, caller, "HTTP/1.1 503"));
  site_free (site);
}

/* Load: a caller leaves while its request is held. */
static void
test_caller_leaves (void)
{
  Site *site = site_new ();

  call (site, "draft");
  turn_away (0, 1);
  CU_ASSERT_EQUAL (site->front.holding.count, 1);
  front_request_cancel (cds_list_first_entry (&site->front.requests, FrontRequest, node));
  fake_pass (100);
  CU_ASSERT_EQUAL (fake_send_count, 1);
  site_free (site);
}

/* Guards against requests to a server within the last millisecond of the rest that it asked for. */
static void
test_rest_lasts_as_long_as_asked (void)
{
  Site *site = site_new ();
  unsigned caller = call (site, "draft");
  const FrontServer *tired = fake_sends[0].server;
  int64_t end_ms = fake_now_ms + 1500;

  fake_connect (0);
  fake_answer (0, full_with_rest);
  CU_ASSERT_EQUAL (front_server_state (tired, end_ms), FRONT_SERVER_RESTING);
  CU_ASSERT_EQUAL (front_server_state (tired, end_ms + 1), FRONT_SERVER_READY);
  fake_pass (100);
  CU_ASSERT_EQUAL_FATAL (fake_send_count, 2);
  CU_ASSERT (fake_sends[1].server != tired);
  fake_connect (1);
  fake_answer (1, good);
  CU_ASSERT (has_answered (site, caller, "HTTP/1.1 200"));
  site_free (site);
}

/* A deployment that doesn't ask for work to be ordered under load: as before. */
static void
test_off_without_contention (void)
{
  Site *site = site_new ();
  unsigned caller;

  site->front.settings.contention_ratio = 0;
  caller = call (site, "draft");
  turn_away (0, 3);
  CU_ASSERT_EQUAL (fake_send_count, 3);
  CU_ASSERT (has_answered (site, caller, "HTTP/1.1 503"));
  site_free (site);
}

static const SuiteCase cases[] = {
  { "full_engines_use_up_no_servers_at_once", test_full_engines_use_up_no_servers_at_once },
  { "refused_before_its_caller_leaves", test_refused_before_its_caller_leaves },
  { "nothing_is_held_without_rejections", test_nothing_is_held_without_rejections },
  { "urgent_request_goes_out_first", test_urgent_request_goes_out_first },
  { "freed_room_is_used", test_freed_room_is_used },
  { "stop_refuses_held_requests", test_stop_refuses_held_requests },
  { "caller_leaves", test_caller_leaves },
  { "rest_lasts_as_long_as_asked", test_rest_lasts_as_long_as_asked },
  { "off_without_contention", test_off_without_contention },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_request_hold", cases, SUITE_COUNT (cases));
}
