/** The server of health checks, metrics and rows: src/front_http.c. */
#include "front_http.h"
#include "suite.h"
#include "util_clock.h"
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4
#define IDLE_MS         60000 /* longer than any connection may be idle */
#define PASS_MS         20    /* until the loop has handled what was sent */
#define HELD_PATH       "/held"
#define TEXT_BYTES      2000000 /* more than the kernel's buffers hold */

typedef struct
{
  struct event_base *base;
  FrontHttp *http;
  int port;
  FrontHttpConn *held; /* its request is not answered */
  unsigned answered, closed;
  Buffer text; /* of each answer */
} Server;

static void
on_request (FrontHttpConn *conn, const char *path, void *user)
{
  Server *server = user;

  if (strcmp (path, HELD_PATH) == 0)
    {
      server->held = conn;
      return;
    }
  server->answered++;
  front_http_answer (conn, 200, "X-Field: 1\r\n", &server->text);
}

static void
on_closed (FrontHttpConn *conn, void *user)
{
  Server *server = user;

  CU_ASSERT_PTR_EQUAL (conn, server->held);
  server->closed++;
}

static void
server_start (Server *server)
{
  const FrontHttpOptions options = {
    .connections_max = CONNECTIONS_MAX,
    .request = on_request,
    .closed = on_closed,
    .user = server,
  };
  char address[32];

  *server = (Server){ .base = event_base_new (), .port = suite_free_port () };
  snprintf (address, sizeof address, "127.0.0.1:%d", server->port);
  server->http = front_http_new (server->base, address, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server->http);
  buffer_add_string (&server->text, "text");
}

static void
server_stop (Server *server)
{
  front_http_free (server->http);
  event_base_free (server->base);
  buffer_free (&server->text);
}

static void
pass (Server *server, int64_t ms)
{
  int64_t until_ms = clock_boot_ms () + ms;

  while (clock_boot_ms () < until_ms)
    {
      event_base_loop (server->base, EVLOOP_NONBLOCK);
      clock_sleep_ms (1);
    }
}

static int
caller_connect (Server *server, const char *text)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)server->port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
  pass (server, PASS_MS);
  return fd;
}

/* Reads what has arrived; true if it contains text. */
static bool
got (Server *server, int fd, const char *text)
{
  char block[4096] = { 0 };
  ssize_t len;

  pass (server, PASS_MS);
  len = recv (fd, block, sizeof block - 1, MSG_DONTWAIT);
  return len > 0 && strstr (block, text);
}

static bool
is_closed (Server *server, int fd)
{
  struct pollfd waiting = { .fd = fd, .events = POLLIN };
  char byte;

  pass (server, PASS_MS);
  return poll (&waiting, 1, 0) == 1 && recv (fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) <= 0;
}

static void
test_answers_one_request_after_the_other (void)
{
  Server server;
  int fd;

  server_start (&server);
  fd = caller_connect (&server,
                       "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (got (&server, fd, "X-Field: 1"));
  CU_ASSERT_EQUAL (server.answered, 2);
  CU_ASSERT_FALSE (is_closed (&server, fd));
  close (fd);
  fd = caller_connect (&server, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CU_ASSERT (got (&server, fd, "Connection: close"));
  CU_ASSERT (is_closed (&server, fd));
  close (fd);
  server_stop (&server);
}

/* Guards against heads and bodies without end that are kept. */
static void
test_long_heads_and_bodies_are_refused (void)
{
  char head[6000] = "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: ";
  Server server;
  int fd;

  server_start (&server);
  memset (head + strlen (head), 'x', sizeof head - 1 - strlen (head));
  fd = caller_connect (&server, head);
  CU_ASSERT (got (&server, fd, "431"));
  close (fd);
  fd = caller_connect (&server, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n");
  CU_ASSERT (got (&server, fd, "413"));
  close (fd);
  fd = caller_connect (
      &server, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
  CU_ASSERT (got (&server, fd, "413"));
  close (fd);
  CU_ASSERT_EQUAL (server.answered, 0);
  server_stop (&server);
}

/* Guards against callers that keep all connections: one within a request goes first, then an idle
 * one; one whose request is being answered stays. */
static void
test_makes_room_for_new_connections (void)
{
  int fds[CONNECTIONS_MAX], late;
  Server server;

  server_start (&server);
  fds[0] = caller_connect (&server, "GET " HELD_PATH " HTTP/1.1\r\nHost: x\r\n\r\n");
  fds[1] = caller_connect (&server, "");
  fds[2] = caller_connect (&server, "GET /a HT");
  fds[3] = caller_connect (&server, "");
  pass (&server, 1100);
  late = caller_connect (&server, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (got (&server, late, "200"));
  CU_ASSERT (is_closed (&server, fds[2]));
  CU_ASSERT_FALSE (is_closed (&server, fds[1]));
  close (fds[2]);
  fds[2] = caller_connect (&server, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (got (&server, fds[2], "200"));
  CU_ASSERT (is_closed (&server, fds[1]));
  CU_ASSERT_FALSE (is_closed (&server, fds[0]));
  CU_ASSERT_EQUAL (front_http_count (server.http), CONNECTIONS_MAX);
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  close (late);
  pass (&server, PASS_MS);
  CU_ASSERT_EQUAL (front_http_count (server.http), 0);
  CU_ASSERT_EQUAL (server.closed, 1);
  server_stop (&server);
}

/* Guards against answers that pile up on a connection whose caller reads none. */
static void
test_one_unread_answer_a_connection (void)
{
  Server server;
  Buffer requests = { 0 };
  int fd;

  server_start (&server);
  for (unsigned i = 0; i < TEXT_BYTES; i++)
    buffer_add_string (&server.text, "x");
  for (unsigned i = 0; i < 20; i++)
    buffer_add_string (&requests, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  fd = caller_connect (&server, requests.data);
  pass (&server, PASS_MS);
  CU_ASSERT_EQUAL (server.answered, 1);
  buffer_free (&requests);
  close (fd);
  server_stop (&server);
}

static void
test_idle_connections_end (void)
{
  Server server;
  int idle, held;

  server_start (&server);
  idle = caller_connect (&server, "");
  held = caller_connect (&server, "GET " HELD_PATH " HTTP/1.1\r\nHost: x\r\n\r\n");
  front_http_sweep (server.http, clock_boot_ms ());
  CU_ASSERT_FALSE (is_closed (&server, idle));
  front_http_sweep (server.http, clock_boot_ms () + IDLE_MS);
  CU_ASSERT (is_closed (&server, idle));
  CU_ASSERT_FALSE (is_closed (&server, held));
  front_http_answer (server.held, 200, NULL, NULL);
  CU_ASSERT (got (&server, held, "200 OK"));
  close (idle);
  close (held);
  server_stop (&server);
}

static const SuiteCase cases[] = {
  { "answers_one_request_after_the_other", test_answers_one_request_after_the_other },
  { "long_heads_and_bodies_are_refused", test_long_heads_and_bodies_are_refused },
  { "makes_room_for_new_connections", test_makes_room_for_new_connections },
  { "one_unread_answer_a_connection", test_one_unread_answer_a_connection },
  { "idle_connections_end", test_idle_connections_end },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_http_server", cases, SUITE_COUNT (cases));
}
