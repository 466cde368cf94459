/** Connections to backend servers that are used again: src/front_pool.c, front_attempt.c. A front
 * with one caller before servers on loopback, whose answers the tests write. */
#include "front_conn.h"
#include "front_deaths.h"
#include "front_keep.h"
#include "front_pool.h"
#include "front_request.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CONNECTIONS 16
#define TEXT_MAX    2048
#define LATE_MS     3000 /* far above what anything here takes */
#define QUIET_MS    60   /* in which what was sent on loopback has arrived */

/* A backend server: connections in the order of their opening. */
typedef struct
{
  int listener;
  char address[SERVER_TEXT_MAX];
  unsigned opened;
  int connections[CONNECTIONS];         /* -1: closed */
  char received[CONNECTIONS][TEXT_MAX]; /* since its last answer */
} Server;

typedef struct
{
  Front front;
  FrontConfig config;
  FrontService service;
  FrontRoute route;
  RouteTarget target;
  Server server;
  int caller;
  char answer[TEXT_MAX]; /* what the caller has read since its last request */
} Site;

static void
server_listen (Server *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CU_ASSERT_FATAL (bind (server->listener, (struct sockaddr *)&address, len) == 0);
  CU_ASSERT_FATAL (listen (server->listener, CONNECTIONS) == 0);
  CU_ASSERT_FATAL (getsockname (server->listener, (struct sockaddr *)&address, &len) == 0);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%u", ntohs (address.sin_port));
}

static void
server_close (Server *server, unsigned i)
{
  if (server->connections[i] >= 0)
    close (server->connections[i]);
  server->connections[i] = -1;
}

static void
server_clear (Server *server)
{
  for (unsigned i = 0; i < server->opened; i++)
    server_close (server, i);
  close (server->listener);
}

static void
read_available (int fd, char *text)
{
  size_t len = strlen (text);
  ssize_t got = recv (fd, text + len, TEXT_MAX - 1 - len, MSG_DONTWAIT);

  if (got > 0)
    text[len + (size_t)got] = '\0';
}

static void
server_step (Server *server)
{
  int fd;

  while (server->opened < CONNECTIONS && (fd = accept (server->listener, NULL, NULL)) >= 0)
    server->connections[server->opened++] = fd;
  for (unsigned i = 0; i < server->opened; i++)
    {
      if (server->connections[i] >= 0)
        read_available (server->connections[i], server->received[i]);
    }
}

static void
step (Site *site)
{
  event_base_loop (site->front.base, EVLOOP_NONBLOCK);
  server_step (&site->server);
  read_available (site->caller, site->answer);
  usleep (500);
}

static void
pass (Site *site, int64_t ms)
{
  int64_t end_ms = clock_boot_ms () + ms;

  while (clock_boot_ms () < end_ms)
    step (site);
}

static FrontServer *
site_list (Site *site, const char *id, const char *service, const char *address)
{
  ServerEntry entry = { .failure_domain = "d", .version = "v1", .slots = 4 };
  bool changed;

  snprintf (entry.id, sizeof entry.id, "%s", id);
  snprintf (entry.service, sizeof entry.service, "%s", service);
  snprintf (entry.address, sizeof entry.address, "%s", address);
  CU_ASSERT_FATAL (front_servers_set (site->front.servers, &entry, clock_boot_ms (), &changed));
  return front_servers_find (site->front.servers, id);
}

static void
caller_connect (Site *site)
{
  int ends[2];

  CU_ASSERT_FATAL (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  site->caller = ends[0];
  front_conn_new (&site->front, ends[1]);
}

/* A front that keeps connections, before a plain service of one server. */
static Site *
site_new (RouteKind kind)
{
  Site *site = memory_alloc (sizeof *site);
  Front *front = &site->front;

  server_listen (&site->server);
  site->target = (RouteTarget){ .service = (char *)"ledger", .weight = 1 };
  site->route = (FrontRoute){
    .name = (char *)"receipt",
    .host = (char *)"shop",
    .prefix = (char *)"/",
    .kind = kind,
    .timeout_ms = LATE_MS,
    .objective_ms = LATE_MS,
    .attempts_max = 3,
    .is_public = true,
    .target_count = 1,
    .targets = &site->target,
    .hash = 9,
  };
  site->service = (FrontService){ .name = (char *)"drafts", .objective_ratio = 2 };
  site->config = (FrontConfig){
    .references = 1,
    .limits = { .header_max_bytes = TEXT_MAX,
                .body_max_bytes = TEXT_MAX,
                .header_timeout_ms = LATE_MS,
                .idle_timeout_ms = LATE_MS },
    .route_count = 1,
    .routes = &site->route,
    .service_count = 1,
    .services = &site->service,
  };
  front->base = event_base_new ();
  front->config = &site->config;
  front->settings.contention_ratio = 2;
  front->settings.keep_connections_ms = 2000;
  front->servers_known = true;
  front->servers = front_servers_new ("d");
  front->sessions = front_sessions_new (1000);
  front->rollouts = front_rollouts_new (front->sessions, 1);
  front->budget
      = front_budget_new (&(BudgetSettings){ .share = 1, .extra = 200, .window_ms = 10000 });
  front->quarantine = quarantine_new (&front_quarantine_settings);
  front->hedge = front_hedge_new (1);
  front->waits = front_waits_new ();
  front->pool = front_pool_new (KEEP_CONNECTIONS_MAX);
  front->descriptors = front_descriptors_divide (0);
  front_memory_set (&front->memory, 0);
  CDS_INIT_LIST_HEAD (&front->waiting_attempts);
  CDS_INIT_LIST_HEAD (&front->requests);
  CDS_INIT_LIST_HEAD (&front->conns);
  front_waiting_init (&front->waiting);
  front_returning_init (&front->returning);
  front_holding_init (&front->holding);
  site_list (site, "i-1", "ledger", site->server.address);
  caller_connect (site);
  return site;
}

static void
site_free (Site *site)
{
  Front *front = &site->front;

  close (site->caller);
  pass (site, QUIET_MS);
  CU_ASSERT (cds_list_empty (&front->requests));
  front_pool_free (front->pool);
  front_waits_free (front->waits);
  front_hedge_free (front->hedge);
  quarantine_free (front->quarantine);
  front_budget_free (front->budget);
  front_rollouts_free (front->rollouts);
  front_sessions_free (front->sessions);
  front_servers_free (front->servers);
  front_waiting_clear (&front->waiting);
  front_returning_clear (&front->returning);
  event_base_free (front->base);
  server_clear (&site->server);
  free (site);
}

static void
write_text (int fd, const char *text)
{
  CU_ASSERT (send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text));
}

/* The caller sends a request; returns once it has arrived at a connection of the server, which is
 * returned. */
static unsigned
call (Site *site, const char *id)
{
  char text[TEXT_MAX];
  int64_t end_ms = clock_boot_ms () + LATE_MS;

  site->answer[0] = '\0';
  snprintf (text, sizeof text, "GET /7 HTTP/1.1\r\nHost: shop\r\nLovagehub-Request-Id: %s\r\n\r\n",
            id);
  write_text (site->caller, text);
  while (clock_boot_ms () < end_ms)
    {
      step (site);
      for (unsigned i = 0; i < site->server.opened; i++)
        {
          if (strstr (site->server.received[i], id)
              && strstr (site->server.received[i], "\r\n\r\n"))
            return i;
        }
    }
  CU_FAIL_FATAL ("the request did not arrive");
  return 0;
}

static void
server_write (Site *site, unsigned i, const char *text)
{
  site->server.received[i][0] = '\0';
  write_text (site->server.connections[i], text);
}

/* A complete answer to this request, whose body is the id; fields may be empty. */
static void
answer (Site *site, unsigned i, const char *id, const char *fields)
{
  char text[TEXT_MAX];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nLovagehub-Request-Id: %s\r\nLovagehub-Server-Signature: x.y\r\n"
            "Keep-Alive: timeout=2\r\n%sContent-Length: %zu\r\n\r\n%s",
            id, fields, strlen (id) + 5, "body-");
  snprintf (text + strlen (text), sizeof text - strlen (text), "%s", id);
  server_write (site, i, text);
}

static bool
is_answered (Site *site, const char *id)
{
  char body[TEXT_MAX];
  int64_t end_ms = clock_boot_ms () + LATE_MS;

  snprintf (body, sizeof body, "body-%s", id);
  while (clock_boot_ms () < end_ms && !strstr (site->answer, body))
    step (site);
  return strncmp (site->answer, "HTTP/1.1 200", 12) == 0 && strstr (site->answer, body);
}

/* A site whose front keeps the connection of one answered request. */
static Site *
site_with_kept (RouteKind kind)
{
  Site *site = site_new (kind);
  unsigned i = call (site, "aaaa1111aaaa1111");

  answer (site, i, "aaaa1111aaaa1111", "");
  CU_ASSERT (is_answered (site, "aaaa1111aaaa1111"));
  CU_ASSERT (front_pool_count (site->front.pool) == 1);
  return site;
}

/* The next request is answered on a connection of this number. */
static void
expect_answered_on (Site *site, unsigned connection)
{
  unsigned i = call (site, "bbbb2222bbbb2222");

  CU_ASSERT_EQUAL (i, connection);
  CU_ASSERT_EQUAL (site->server.opened, connection + 1);
  answer (site, i, "bbbb2222bbbb2222", "");
  CU_ASSERT (is_answered (site, "bbbb2222bbbb2222"));
}

static void
test_a_kept_connection_is_used_again (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  expect_answered_on (site, 0);
  CU_ASSERT (front_pool_count (site->front.pool) == 1);
  site_free (site);
}

/* Where connections aren't kept the server is asked to close them. */
static void
test_off_each_request_asks_to_close (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_new (ROUTE_IDEMPOTENT);

      if (i == 0)
        site->front.settings.keep_connections_ms = 0;
      else
        site->front.settings.contention_ratio = 0;
      CU_ASSERT (call (site, "aaaa1111aaaa1111") == 0);
      CU_ASSERT (strstr (site->server.received[0], "Connection: close") != NULL);
      answer (site, 0, "aaaa1111aaaa1111", "");
      CU_ASSERT (is_answered (site, "aaaa1111aaaa1111"));
      CU_ASSERT (front_pool_count (site->front.pool) == 0);
      site_free (site);
    }
}

static void
test_server_closes_the_idle_connection (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  server_close (&site->server, 0);
  pass (site, QUIET_MS);
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  expect_answered_on (site, 1);
  site_free (site);
}

/* The event loop hasn't seen the close yet. */
static void
test_a_close_is_seen_before_the_request_is_written (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  server_close (&site->server, 0);
  expect_answered_on (site, 1);
  site_free (site);
}

/* The close crosses the request: it may have run, and is sent once more. */
static void
test_server_closes_as_the_request_is_written (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  CU_ASSERT (call (site, "bbbb2222bbbb2222") == 0);
  server_close (&site->server, 0);
  site->server.received[0][0] = '\0';
  pass (site, QUIET_MS);
  CU_ASSERT (site->server.opened >= 2);
  for (unsigned i = 1; i < site->server.opened; i++)
    {
      if (strstr (site->server.received[i], "bbbb2222"))
        answer (site, i, "bbbb2222bbbb2222", "");
    }
  CU_ASSERT (is_answered (site, "bbbb2222bbbb2222"));
  site_free (site);
}

/* Whatever its server does, a request that must run only once arrives once, on a new connection. */
static void
test_a_request_that_must_run_once_gets_a_new_connection (void)
{
  Site *site = site_with_kept (ROUTE_NON_IDEMPOTENT);
  unsigned arrivals = 0;

  CU_ASSERT (call (site, "bbbb2222bbbb2222") == 1);
  server_close (&site->server, 1);
  pass (site, QUIET_MS);
  for (unsigned i = 0; i < site->server.opened; i++)
    arrivals += strstr (site->server.received[i], "bbbb2222") != NULL;
  CU_ASSERT_EQUAL (arrivals, 1);
  CU_ASSERT (strncmp (site->answer, "HTTP/1.1 502", 12) == 0);
  site_free (site);
}

static void
test_bytes_on_an_idle_connection_close_it (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_with_kept (ROUTE_IDEMPOTENT);

      answer (site, 0, "aaaa1111aaaa1111", "");
      if (i == 0)
        pass (site, QUIET_MS);
      expect_answered_on (site, 1);
      site_free (site);
    }
}

/* A late answer to the earlier request, or one to nobody, arrives where the next answer is due. */
static void
test_a_late_answer_is_not_believed (void)
{
  static const char to_nobody[] = "HTTP/1.1 200 OK\r\nLovagehub-Server-Signature: x.y\r\n"
                                  "Content-Length: 4\r\n\r\nlate";

  for (unsigned i = 0; i < 2; i++)
    {
      Site *site = site_with_kept (ROUTE_IDEMPOTENT);

      CU_ASSERT (call (site, "bbbb2222bbbb2222") == 0);
      if (i == 0)
        answer (site, 0, "aaaa1111aaaa1111", "");
      else
        server_write (site, 0, to_nobody);
      pass (site, QUIET_MS);
      CU_ASSERT (site->server.opened == 2);
      CU_ASSERT (strstr (site->server.received[1], "bbbb2222") != NULL);
      answer (site, 1, "bbbb2222bbbb2222", "");
      CU_ASSERT (is_answered (site, "bbbb2222bbbb2222"));
      CU_ASSERT (strstr (site->answer, "aaaa1111") == NULL);
      CU_ASSERT (strstr (site->answer, "late") == NULL);
      site_free (site);
    }
}

static void
test_bytes_after_an_answer_close_the_connection (void)
{
  Site *site = site_new (ROUTE_IDEMPOTENT);
  char text[] = "HTTP/1.1 200 OK\r\nLovagehub-Request-Id: aaaa1111aaaa1111\r\n"
                "Lovagehub-Server-Signature: x.y\r\nContent-Length: 21\r\n\r\n"
                "body-aaaa1111aaaa1111extra";

  CU_ASSERT (call (site, "aaaa1111aaaa1111") == 0);
  server_write (site, 0, text);
  CU_ASSERT (is_answered (site, "aaaa1111aaaa1111"));
  CU_ASSERT (strstr (site->answer, "extra") == NULL);
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  expect_answered_on (site, 1);
  site_free (site);
}

/* An answer that isn't signed may be an intermediary's, and another one may be behind it. */
static void
test_only_a_success_leaves_a_connection (void)
{
  Site *site = site_new (ROUTE_IDEMPOTENT);

  CU_ASSERT (call (site, "aaaa1111aaaa1111") == 0);
  server_write (site, 0, "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n");
  pass (site, QUIET_MS);
  CU_ASSERT (strncmp (site->answer, "HTTP/1.1 404", 12) == 0);
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  site_free (site);
}

static void
test_a_server_that_asks_to_close_is_obeyed (void)
{
  Site *site = site_new (ROUTE_IDEMPOTENT);

  CU_ASSERT (call (site, "aaaa1111aaaa1111") == 0);
  answer (site, 0, "aaaa1111aaaa1111", "Connection: close\r\n");
  CU_ASSERT (is_answered (site, "aaaa1111aaaa1111"));
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  site_free (site);
}

/* A restart under another id at the same address, where the old connection shows no end: as behind
 * a cut that holds back its reset. */
static void
test_a_connection_belongs_to_one_id (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  front_servers_remove (site->front.servers, "i-1", clock_boot_ms (), 0);
  site_list (site, "i-2", "ledger", site->server.address);
  expect_answered_on (site, 1);
  front_pool_sweep (site->front.pool, clock_boot_ms ());
  CU_ASSERT (front_pool_count (site->front.pool) == 1);
  site_free (site);
}

/* The address is used again by a server of another service. */
static void
test_a_connection_belongs_to_one_service (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  front_servers_remove (site->front.servers, "i-1", clock_boot_ms (), 0);
  site_list (site, "i-2", "photos", site->server.address);
  site->target.service = (char *)"photos";
  expect_answered_on (site, 1);
  site_free (site);
}

static void
test_connections_of_a_leaving_server_are_closed (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  front_servers_find (site->front.servers, "i-1")->leaving = true;
  front_pool_sweep (site->front.pool, clock_boot_ms ());
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  site_free (site);
}

static void
test_idle_connections_end_in_time (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  front_pool_sweep (site->front.pool, clock_boot_ms () + 900);
  CU_ASSERT (front_pool_count (site->front.pool) == 1);
  front_pool_sweep (site->front.pool, clock_boot_ms () + 1000);
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  site_free (site);
}

/* A frozen server's kernel takes the request; the silence is handled as on a new connection: here
 * the caller is answered at the route's time-out. */
static void
test_a_frozen_server_does_not_hold_the_request (void)
{
  Site *site = site_with_kept (ROUTE_IDEMPOTENT);

  site->route.timeout_ms = 300;
  CU_ASSERT (call (site, "bbbb2222bbbb2222") == 0);
  pass (site, 400);
  CU_ASSERT (strncmp (site->answer, "HTTP/1.1 504", 12) == 0);
  CU_ASSERT (front_pool_count (site->front.pool) == 0);
  site_free (site);
}

/* Load: more servers than a front keeps connections. */
static void
test_the_count_is_bounded (void)
{
  Site *site = site_new (ROUTE_IDEMPOTENT);
  int64_t until_ms = clock_boot_ms () + LATE_MS;

  for (unsigned i = 0; i < KEEP_CONNECTIONS_MAX + 40; i++)
    {
      char id[SERVER_TEXT_MAX];
      struct bufferevent *bev = bufferevent_socket_new (
          site->front.base, socket (AF_INET, SOCK_STREAM, 0), BEV_OPT_CLOSE_ON_FREE);

      snprintf (id, sizeof id, "i-%u", i + 10);
      front_pool_add (site->front.pool, bev, site_list (site, id, "ledger", "127.0.0.1:9"),
                      until_ms);
      CU_ASSERT (front_pool_count (site->front.pool) <= KEEP_CONNECTIONS_MAX);
    }
  CU_ASSERT (front_servers_find (site->front.servers, "i-10")->kept == 0);
  CU_ASSERT (front_servers_find (site->front.servers, "i-177")->kept == 1);
  site_free (site);
}

static const SuiteCase cases[] = {
  { "a_kept_connection_is_used_again", test_a_kept_connection_is_used_again },
  { "off_each_request_asks_to_close", test_off_each_request_asks_to_close },
  { "server_closes_the_idle_connection", test_server_closes_the_idle_connection },
  { "a_close_is_seen_before_the_request_is_written",
    test_a_close_is_seen_before_the_request_is_written },
  { "server_closes_as_the_request_is_written", test_server_closes_as_the_request_is_written },
  { "a_request_that_must_run_once_gets_a_new_connection",
    test_a_request_that_must_run_once_gets_a_new_connection },
  { "bytes_on_an_idle_connection_close_it", test_bytes_on_an_idle_connection_close_it },
  { "a_late_answer_is_not_believed", test_a_late_answer_is_not_believed },
  { "bytes_after_an_answer_close_the_connection", test_bytes_after_an_answer_close_the_connection },
  { "only_a_success_leaves_a_connection", test_only_a_success_leaves_a_connection },
  { "a_server_that_asks_to_close_is_obeyed", test_a_server_that_asks_to_close_is_obeyed },
  { "a_connection_belongs_to_one_id", test_a_connection_belongs_to_one_id },
  { "a_connection_belongs_to_one_service", test_a_connection_belongs_to_one_service },
  { "connections_of_a_leaving_server_are_closed", test_connections_of_a_leaving_server_are_closed },
  { "idle_connections_end_in_time", test_idle_connections_end_in_time },
  { "a_frozen_server_does_not_hold_the_request", test_a_frozen_server_does_not_hold_the_request },
  { "the_count_is_bounded", test_the_count_is_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_pool", cases, SUITE_COUNT (cases));
}
