/** When may_finish is called, and uploads to a frozen peer: src/http_client.c, http_upload.c. */
#include "fake_server.h"
#include "http_client.h"
#include "suite.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOCALHOST   "127.0.0.1"
#define BODY        "{\"model\":\"drafts\"}"
#define BIG_SIZE    100000                     /* bytes */
#define FROZEN_SIZE ((size_t)64 * 1024 * 1024) /* bytes, more than any socket buffer */
#define LENGTH_OK   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

static HttpRequest
request_to (int port)
{
  return (HttpRequest){ .method = "POST",
                        .address = LOCALHOST,
                        .port = port,
                        .path = "/v1/chat/completions",
                        .body = BODY,
                        .body_len = strlen (BODY),
                        .connect_timeout_ms = 5000,
                        .read_timeout_ms = 5000 };
}

/* Port of a new listening socket. */
static int
listen_on_loopback (int *listener)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  *listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (bind (*listener, (struct sockaddr *)&address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (*listener, 1), 0);
  getsockname (*listener, (struct sockaddr *)&address, &len);
  return ntohs (address.sin_port);
}

/* What may_finish observes when it is called, and its answer. */
typedef struct
{
  FakeServer *server;
  size_t body_before; /* bytes that must have arrived by then */
  bool arrived;
  int calls;
  bool allow;
} Finish;

static bool
has_arrived (void *context)
{
  Finish *f = context;
  return fake_server_connections (f->server) == 1 && fake_server_body (f->server) == f->body_before;
}

static bool
decide_finish (void *context)
{
  Finish *f = context;
  f->calls++;
  f->arrived = suite_wait (has_arrived, f);
  return f->allow;
}

static StatusCode
call_with_finish (Finish *f, const char *body, size_t len, Status *st)
{
  FakeAnswer answer = { .text = LENGTH_OK };
  Buffer out = { 0 };
  int http_status = 0;
  f->server = fake_server_new (&answer);
  f->body_before = len ? len - 1 : 0;
  HttpRequest request = request_to (fake_server_port (f->server));
  request.body = body;
  request.body_len = len;
  request.may_finish = decide_finish;
  request.context = f;
  StatusCode code = http_call (&request, &http_status, &out, st);
  buffer_free (&out);
  return code;
}

static bool
refuse (void *context)
{
  ++*(int *)context;
  return false;
}

static void
test_may_finish_is_called_before_last_byte (void)
{
  /*
   * Guards against running a request for a version that is withdrawn while the request waits for a
   * connection. may_finish must be called when all bytes but the last have reached the backend
   * server, which cannot run the request without the last one.
   */
  char *big = memory_alloc (BIG_SIZE);
  memset (big, 'x', BIG_SIZE);
  const size_t lengths[] = { 0, 1, 2, strlen (BODY), 8192, 8193, 16384, 16385, BIG_SIZE };
  for (size_t i = 0; i < SUITE_COUNT (lengths); i++)
    for (int allow = 0; allow <= 1; allow++)
      {
        Finish f = { .allow = allow };
        Status st;
        StatusCode code = call_with_finish (&f, big, lengths[i], &st);
        CU_ASSERT_EQUAL (code, allow ? STATUS_OK : STATUS_UNAVAILABLE);
        CU_ASSERT_EQUAL (f.calls, 1);
        CU_ASSERT_TRUE (f.arrived);
        CU_ASSERT_EQUAL (fake_server_requests (f.server), allow);
        fake_server_free (f.server);
      }
  free (big);
}

/* Accepts the connection and resets it. */
static bool
reset_connection (void *context)
{
  const struct linger at_once = { .l_onoff = 1 };
  int fd = accept (*(int *)context, NULL, NULL);

  CU_ASSERT_EQUAL (setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once), 0);
  close (fd);
  return true;
}

/* Guards against telling an operator that a change may have been made whose last byte could not be
 * sent, as the peer had reset the connection. */
static void
test_reset_before_last_byte_is_not_executed (void)
{
  const size_t lengths[] = { 1, strlen (BODY), BIG_SIZE };
  char *big = memory_alloc (BIG_SIZE);

  memset (big, 'x', BIG_SIZE);
  for (size_t i = 0; i < SUITE_COUNT (lengths); i++)
    {
      int listener, http_status = 0;
      HttpRequest request = request_to (listen_on_loopback (&listener));
      Buffer body = { 0 };

      request.body = big;
      request.body_len = lengths[i];
      request.may_finish = reset_connection;
      request.context = &listener;
      CU_ASSERT_EQUAL (http_call (&request, &http_status, &body, NULL), STATUS_UNAVAILABLE);
      close (listener);
      buffer_free (&body);
    }
  free (big);
}

static void
test_frozen_peer_does_not_block (void)
{
  /*
   * Guards against a sender that blocks forever: the kernel of a frozen VM acknowledges data until
   * its buffers are full. The call must return, and since the last byte was not sent, the request
   * has certainly not been executed.
   */
  int listener;
  char *long_body = memory_alloc (FROZEN_SIZE);
  HttpRequest request = request_to (listen_on_loopback (&listener));
  Buffer body = { 0 };
  Status st;
  int http_status = 0;
  int calls = 0;
  request.body = long_body;
  request.body_len = FROZEN_SIZE;
  request.connect_timeout_ms = 1000;
  request.read_timeout_ms = 1000;
  request.may_finish = refuse;
  request.context = &calls;
  CU_ASSERT_EQUAL (http_call (&request, &http_status, &body, &st), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (calls, 0);
  /* The abandoned thread uses its own copy of the body. */
  free (long_body);
  close (listener);
  buffer_free (&body);
}

static void
test_refused_get_does_not_connect (void)
{
  FakeServer *server = fake_server_new (&(FakeAnswer){ .text = LENGTH_OK });
  HttpRequest request = request_to (fake_server_port (server));
  Buffer body = { 0 };
  int http_status = 0;
  int calls = 0;
  request.method = "GET";
  request.body_len = 0;
  request.may_finish = refuse;
  request.context = &calls;
  CU_ASSERT_EQUAL (http_call (&request, &http_status, &body, NULL), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (calls, 1);
  CU_ASSERT_EQUAL (fake_server_connections (server), 0);
  buffer_free (&body);
  fake_server_free (server);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "may_finish_is_called_before_last_byte", test_may_finish_is_called_before_last_byte },
          { "reset_before_last_byte_is_not_executed", test_reset_before_last_byte_is_not_executed },
          { "refused_get_does_not_connect", test_refused_get_does_not_connect },
          { "frozen_peer_does_not_block", test_frozen_peer_does_not_block } };
  return suite_main (argc, argv, "http_finish", cases, SUITE_COUNT (cases));
}
