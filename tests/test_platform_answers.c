/** Invalid and unusual answers of the platform: src/platform_http.c, platform_wire.c. */
#include "fake_heads.h"
#include "platform.h"
#include "suite.h"
#include <stdio.h>
#include <string.h>

#define LOCALHOST  "127.0.0.1"
#define TIMEOUT_MS 5000

static StatusCode
put (Platform *p, const char *key, const char *value)
{
  TxnOp op = { .kind = TXN_PUT, .table = "t", .key = key, .value = value };
  return p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL);
}

/* Version of a row of table "t"; -1 if it cannot be read or has another value. */
static int64_t
version_of (Platform *p, const char *key, const char *value)
{
  PlatformRow row;
  if (p->ops->get (p, "t", key, TIMEOUT_MS, &row, NULL) != STATUS_OK)
    return -1;
  int64_t version = row.version;
  if (version && strcmp (row.value, value) != 0)
    version = -1;
  platform_row_clear (&row);
  return version;
}

static void
test_refused_connection_is_unavailable (void)
{
  Platform *p = platform_http_new (LOCALHOST, suite_free_port ());
  CU_ASSERT_EQUAL (put (p, "a", "1"), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (version_of (p, "a", "1"), -1);
  platform_free (p);
}

/* An answer of HTTP status 200 with this body. */
static void
make_answer (char *out, size_t size, const char *body)
{
  snprintf (out, size, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
}

static void
test_bad_answers_are_failures (void)
{
  /* After an answer that violates the protocol, a write may have been committed and a read has
   * failed. */
  const char *const bodies[] = { "",
                                 "[]",
                                 "null",
                                 "{\"committed\":true",
                                 "{\"committed\":false,\"results\":[{\"version\":1}]}",
                                 "{\"committed\":true}",
                                 "{\"committed\":true,\"results\":[]}",
                                 "{\"committed\":true,\"results\":[7]}",
                                 "{\"committed\":true,\"results\":[{\"version\":\"1\"}]}",
                                 "{\"key\":\"a\",\"value\":{},\"version\":1}",
                                 "{\"key\":\"a\",\"value\":\"1\",\"version\":0}" };
  for (size_t i = 0; i < SUITE_COUNT (bodies); i++)
    {
      char text[300];
      make_answer (text, sizeof text, bodies[i]);
      FakeServer *server = fake_server_new (&(FakeAnswer){ .text = text });
      Platform *p = platform_http_new (LOCALHOST, fake_server_port (server));
      CU_ASSERT_EQUAL (put (p, "a", "1"), STATUS_UNKNOWN);
      CU_ASSERT_EQUAL (version_of (p, "a", "1"), -1);
      platform_free (p);
      fake_server_free (server);
    }
}

static void
check_cut_head (FakeServer *server, const FakeAnswer *cut)
{
  Platform *p = platform_http_new (LOCALHOST, fake_server_port (server));
  double score = -1;

  (void)cut;
  CU_ASSERT_EQUAL (p->ops->rate (p, "c", "prompt", "answer", TIMEOUT_MS, &score, NULL),
                   STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (score, -1);
  CU_ASSERT_EQUAL (put (p, "a", "1"), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (version_of (p, "a", "1"), -1);
  platform_free (p);
}

/* Guards against a write that counts as made, a row that counts as missing, or an answer that
 * counts as rated, though the platform stopped in the middle of its answer's head. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each (check_cut_head);
}

static void
test_http_statuses_are_mapped (void)
{
  const struct
  {
    int http;
    StatusCode write;
  } cases[] = { { 400, STATUS_INVALID }, { 404, STATUS_INVALID }, { 409, STATUS_CONFLICT },
                { 500, STATUS_UNKNOWN }, { 502, STATUS_UNKNOWN }, { 503, STATUS_UNAVAILABLE },
                { 302, STATUS_UNKNOWN } };
  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    {
      char text[100];
      snprintf (text, sizeof text, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", cases[i].http);
      FakeServer *server = fake_server_new (&(FakeAnswer){ .text = text });
      Platform *p = platform_http_new (LOCALHOST, fake_server_port (server));
      CU_ASSERT_EQUAL (put (p, "a", "1"), cases[i].write);
      CU_ASSERT_EQUAL (fake_server_requests (server), 1);
      platform_free (p);
      fake_server_free (server);
    }
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "refused_connection_is_unavailable", test_refused_connection_is_unavailable },
          { "bad_answers_are_failures", test_bad_answers_are_failures },
          { "cut_head_is_no_answer", test_cut_head_is_no_answer },
          { "http_statuses_are_mapped", test_http_statuses_are_mapped } };
  return suite_main (argc, argv, "platform_answers", cases, SUITE_COUNT (cases));
}
