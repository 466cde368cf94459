#include "http_client.h"
#include "http_local.h"
#include "suite.h"
#include <string.h>

#define LOCALHOST "127.0.0.1"

static bool
is_ready (void *context, Buffer *why)
{
  const bool *ready = context;
  if (!*ready)
    buffer_add_string (why, "no grant");
  return *ready;
}

static void
add_gauges (void *context, Buffer *out)
{
  (void)context;
  buffer_add_string (out, "streams_open 7\n");
}

static int
get (int port, const char *method, const char *path, Buffer *body)
{
  HttpRequest request = { .method = method,
                          .address = LOCALHOST,
                          .port = port,
                          .path = path,
                          .connect_timeout_ms = 5000,
                          .read_timeout_ms = 5000 };
  int http_status = 0;
  buffer_clear (body);
  CU_ASSERT_EQUAL (http_call (&request, &http_status, body, NULL), STATUS_OK);
  return http_status;
}

static void
test_pages_are_served (void)
{
  bool ready = false;
  const HttpLocalOps ops = { .ready = is_ready, .gauges = add_gauges, .context = &ready };
  Buffer body = { 0 };
  int port = suite_free_port ();
  HttpLocal *local = http_local_start (LOCALHOST, port, &ops, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (local);
  CU_ASSERT_EQUAL (get (port, "GET", "/healthz", &body), 200);
  CU_ASSERT_EQUAL (get (port, "GET", "/readyz", &body), 503);
  CU_ASSERT_STRING_EQUAL (body.data, "not ready: no grant\n");
  ready = true;
  CU_ASSERT_EQUAL (get (port, "GET", "/readyz", &body), 200);
  CU_ASSERT_EQUAL (get (port, "GET", "/metrics", &body), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (body.data, "platform_calls "));
  CU_ASSERT_PTR_NOT_NULL (strstr (body.data, "streams_open 7\n"));
  CU_ASSERT_EQUAL (get (port, "GET", "/", &body), 404);
  CU_ASSERT_EQUAL (get (port, "POST", "/healthz", &body), 405);
  http_local_stop (local);
  buffer_free (&body);
}

static void
test_port_in_use_is_refused (void)
{
  /* A second daemon must not share the port with the first, or the load balancer's checks would be
   * distributed between both. */
  const HttpLocalOps ops = { 0 };
  Status st;
  int port = suite_free_port ();
  HttpLocal *local = http_local_start (LOCALHOST, port, &ops, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (local);
  CU_ASSERT_PTR_NULL (http_local_start (LOCALHOST, port, &ops, &st));
  CU_ASSERT_EQUAL (st.code, STATUS_UNAVAILABLE);
  CU_ASSERT_PTR_NULL (http_local_start ("not-an-address", port, &ops, &st));
  CU_ASSERT_EQUAL (st.code, STATUS_INVALID);
  http_local_stop (local);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[] = { { "pages_are_served", test_pages_are_served },
                              { "port_in_use_is_refused", test_port_in_use_is_refused } };
  return suite_main (argc, argv, "http_local", cases, SUITE_COUNT (cases));
}
