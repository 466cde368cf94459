/**
 * GET requests over persistent connections: src/http_reader.c.
 */
#include "fake_heads.h"
#include "fake_http_server.h"
#include "http_reader.h"
#include "platform.h"
#include "suite.h"
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define LOCALHOST "127.0.0.1"
#define TEXT      "{\"running\":1}"
#define READS     20
#define THREADS   2

static HttpRead
read_of (const char *path)
{
  return (HttpRead){ .path = path, .connect_timeout_ms = 5000, .read_timeout_ms = 5000 };
}

/* Sends one GET; STATUS_OK only if the answer is TEXT. */
static StatusCode
get (HttpReader *reader)
{
  HttpRead read = read_of ("/v1/load");
  Buffer answer = { 0 };
  int http_status = 0;
  Status st = { 0 };
  StatusCode code = http_reader_get (reader, &read, &http_status, &answer, &st);

  if (code == STATUS_OK && (http_status != 200 || strcmp (answer.data, TEXT) != 0))
    code = STATUS_INVALID;
  if (code != st.code)
    code = STATUS_INVALID;
  buffer_free (&answer);
  return code;
}

static void
test_connection_is_reused (void)
{
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), 1);

  for (int i = 0; i < READS; i++)
    CU_ASSERT_EQUAL (get (reader), STATUS_OK);
  CU_ASSERT_EQUAL (fake_http_server_requests (http_server), READS);
  CU_ASSERT_EQUAL (fake_http_server_connections (http_server), 1);
  CU_ASSERT_TRUE (http_reader_has_address (reader, LOCALHOST, fake_http_server_port (http_server)));
  CU_ASSERT_FALSE (
      http_reader_has_address (reader, LOCALHOST, fake_http_server_port (http_server) + 1));
  CU_ASSERT_FALSE (
      http_reader_has_address (reader, "127.0.0.2", fake_http_server_port (http_server)));
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

static void
test_closed_idle_connection_is_replaced (void)
{
  /*
   * Guards against failed reads on a connection that the server closed while it was idle: a healthy
   * backend server would be excluded for a second because its load report is counted as missed.
   */
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), 1);

  for (int i = 1; i <= 5; i++)
    {
      CU_ASSERT_EQUAL (get (reader), STATUS_OK);
      CU_ASSERT_EQUAL (get (reader), STATUS_OK);
      CU_ASSERT_EQUAL (fake_http_server_requests (http_server), 2 * i);
      CU_ASSERT_EQUAL (fake_http_server_connections (http_server), i);
      fake_http_server_stop (http_server);
      CU_ASSERT_TRUE_FATAL (fake_http_server_start (http_server));
    }
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

static void
test_server_down_is_unavailable (void)
{
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), 1);

  CU_ASSERT_EQUAL (get (reader), STATUS_OK);
  fake_http_server_stop (http_server);
  CU_ASSERT_EQUAL (get (reader), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (get (reader), STATUS_UNAVAILABLE);
  CU_ASSERT_TRUE_FATAL (fake_http_server_start (http_server));
  CU_ASSERT_EQUAL (get (reader), STATUS_OK);
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

static void
test_lost_answer_is_retried_once (void)
{
  /* If a persistent connection fails, neon retries once on a new one, and never more often. */
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), 1);

  CU_ASSERT_EQUAL (get (reader), STATUS_OK);
  fake_http_server_drop (http_server, true);
  CU_ASSERT_EQUAL (get (reader), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (fake_http_server_requests (http_server), 3);
  CU_ASSERT_EQUAL (get (reader), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (fake_http_server_requests (http_server), 4);
  fake_http_server_drop (http_server, false);
  CU_ASSERT_EQUAL (get (reader), STATUS_OK);
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

/* Reads this answer once, on a new connection. */
static StatusCode
get_from (const FakeAnswer *answer, const HttpRead *read, int *requests)
{
  FakeServer *server = fake_server_new (answer);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_server_port (server), 1);
  Buffer body = { 0 };
  int http_status = 0;
  Status st = { 0 };
  StatusCode code = http_reader_get (reader, read, &http_status, &body, &st);

  CU_ASSERT_EQUAL (st.code, code);
  buffer_free (&body);
  http_reader_free (reader);
  *requests = fake_server_requests (server);
  fake_server_free (server);
  return code;
}

static void
test_bad_answers_are_unknown (void)
{
  const struct
  {
    FakeAnswer answer;
    int total_ms;
    size_t max;
    StatusCode code;
  } cases[] = {
    /* no answer on an open connection: the read time-out ends the read */
    { { .keep_open = true }, 0, 0, STATUS_UNKNOWN },
    { { 0 }, 0, 0, STATUS_UNKNOWN },
    { { .text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello" }, 0, 0, STATUS_UNKNOWN },
    { { .text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello" }, 0, 0, STATUS_UNKNOWN },
    { { .text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" }, 0, 4, STATUS_UNKNOWN },
    { { .text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" }, 0, 5, STATUS_OK },
    { { .text = "HTTP/1.1 302 X\r\nLocation: /a\r\nContent-Length: 0\r\n\r\n" }, 0, 0, STATUS_OK },
    { { .text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", .byte_delay_ms = 10 },
      50,
      0,
      STATUS_UNKNOWN }
  };

  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    {
      HttpRead read = read_of ("/v1/load");
      int requests;
      read.read_timeout_ms = 1000;
      read.total_timeout_ms = cases[i].total_ms;
      read.answer_max = cases[i].max;
      CU_ASSERT_EQUAL (get_from (&cases[i].answer, &read, &requests), cases[i].code);
      CU_ASSERT_EQUAL (requests, 1);
    }
}

static void
test_bad_paths_are_not_sent (void)
{
  const char *const paths[]
      = { "/a b", "/a\r\nX: y", "a", "", "/\x7f", "/a HTTP/1.1\r\n\r\nPOST /v1/txn" };

  for (size_t i = 0; i < SUITE_COUNT (paths); i++)
    {
      FakeAnswer answer = { .text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
      HttpRead read = read_of (paths[i]);
      int requests;
      CU_ASSERT_EQUAL (get_from (&answer, &read, &requests), STATUS_INVALID);
      CU_ASSERT_EQUAL (requests, 0);
    }
}

static StatusCode
read_once (HttpReader *reader, Buffer *answer)
{
  HttpRead read = read_of ("/v1/load");
  int http_status = 0;

  buffer_free (answer);
  return http_reader_get (reader, &read, &http_status, answer, NULL);
}

/* neon repeats a read if the connection that it kept ends within the status line; it then gets
 * another answer, which is whole. */
static bool
is_repeated (StatusCode code, const Buffer *answer)
{
  return code == STATUS_OK && answer->data && strcmp (answer->data, "{}") == 0;
}

/* On a new connection, and on one that has carried a whole answer. */
static void
check_cut_head (FakeServer *server, const FakeAnswer *cut)
{
  HttpReader *reader = http_reader_new (LOCALHOST, fake_server_port (server), 1);
  FakeAnswer second = *cut;
  Buffer answer = { 0 };
  StatusCode code;
  int requests;

  second.before = fake_heads_whole;
  CU_ASSERT_EQUAL (read_once (reader, &answer), STATUS_UNKNOWN);
  fake_server_answer (server, &second);
  CU_ASSERT_EQUAL (read_once (reader, &answer), STATUS_OK);
  requests = fake_server_requests (server);
  code = read_once (reader, &answer);
  CU_ASSERT (is_repeated (code, &answer) ? fake_server_requests (server) == requests + 2
                                         : code == STATUS_UNKNOWN);
  http_reader_free (reader);
  buffer_free (&answer);
}

/* Guards against a load report whose server stopped in the middle of its head, and that is taken
 * for a whole one, on a new connection and on a kept one. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each (check_cut_head);
}

typedef struct
{
  HttpReader *reader;
  int failed;
} ReadThread;

static void *
read_many (void *context)
{
  ReadThread *t = context;

  for (int i = 0; i < READS; i++)
    t->failed += get (t->reader) != STATUS_OK;
  return NULL;
}

static void
test_threads_share_a_reader (void)
{
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), THREADS);
  ReadThread reads[THREADS];
  pthread_t threads[THREADS];

  for (int i = 0; i < THREADS; i++)
    {
      reads[i] = (ReadThread){ .reader = reader };
      CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, read_many, &reads[i]), 0);
    }
  for (int i = 0; i < THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      CU_ASSERT_EQUAL (reads[i].failed, 0);
    }
  CU_ASSERT_EQUAL (fake_http_server_requests (http_server), THREADS * READS);
  CU_ASSERT_TRUE (fake_http_server_connections (http_server) <= THREADS);
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

static void
test_timeouts_need_own_connection (void)
{
  /* neon applies the time-outs when it connects, so a read with other time-outs needs a new
   * connection; otherwise it would wait as long as the first read may. */
  FakeHttpServer *http_server = fake_http_server_new (TEXT);
  HttpReader *reader = http_reader_new (LOCALHOST, fake_http_server_port (http_server), 1);
  const int timeouts_ms[] = { 5000, 4500, 1000, 1000, 5000 };
  const int connections[] = { 1, 1, 2, 2, 3 };

  for (size_t i = 0; i < SUITE_COUNT (timeouts_ms); i++)
    {
      HttpRead read = read_of ("/");
      Buffer answer = { 0 };
      int http_status;
      read.read_timeout_ms = timeouts_ms[i];
      CU_ASSERT_EQUAL (http_reader_get (reader, &read, &http_status, &answer, NULL), STATUS_OK);
      CU_ASSERT_EQUAL (fake_http_server_connections (http_server), connections[i]);
      buffer_free (&answer);
    }
  http_reader_free (reader);
  fake_http_server_free (http_server);
}

static void
test_platform_writes_use_new_connection (void)
{
  /*
   * Guards against transactions that are applied twice: if one were sent on a persistent connection
   * that the table service has just closed, the library would re-send it. Only reads use persistent
   * connections.
   */
  FakeHttpServer *http_server
      = fake_http_server_new ("{\"key\":\"a\",\"value\":\"1\",\"version\":3}");
  Platform *p = platform_http_new (LOCALHOST, fake_http_server_port (http_server));
  TxnOp op = { .kind = TXN_PUT, .table = "t", .key = "a", .value = "1" };
  PlatformRow row;

  for (int i = 0; i < READS; i++)
    {
      CU_ASSERT_EQUAL (p->ops->get (p, "t", "a", 5000, &row, NULL), STATUS_OK);
      CU_ASSERT_EQUAL (row.version, 3);
      platform_row_clear (&row);
    }
  CU_ASSERT_EQUAL (fake_http_server_connections (http_server), 1);
  CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, 5000, NULL), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (fake_http_server_requests (http_server), READS + 1);
  CU_ASSERT_EQUAL (fake_http_server_connections (http_server), 2);
  platform_free (p);
  fake_http_server_free (http_server);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "connection_is_reused", test_connection_is_reused },
          { "closed_idle_connection_is_replaced", test_closed_idle_connection_is_replaced },
          { "server_down_is_unavailable", test_server_down_is_unavailable },
          { "lost_answer_is_retried_once", test_lost_answer_is_retried_once },
          { "bad_answers_are_unknown", test_bad_answers_are_unknown },
          { "cut_head_is_no_answer", test_cut_head_is_no_answer },
          { "bad_paths_are_not_sent", test_bad_paths_are_not_sent },
          { "threads_share_a_reader", test_threads_share_a_reader },
          { "timeouts_need_own_connection", test_timeouts_need_own_connection },
          { "platform_writes_use_new_connection", test_platform_writes_use_new_connection } };
  return suite_main (argc, argv, "http_reader", cases, SUITE_COUNT (cases));
}
