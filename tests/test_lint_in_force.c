/** The version in force read from the platform's store: src/lint_in_force.c. */
#include "fake_heads.h"
#include "fake_http_server.h"
#include "lint_in_force.h"
#include "suite.h"
#include "util_clock.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS        5000
#define SHORT_TIMEOUT_MS  200
#define SILENCE_MAX_MS    4000
#define ADDRESS_MAX_BYTES 32

/* What a store answers, and what is read. */
typedef struct
{
  const char *answer;
  StatusCode code;
  const char *text; /* the configuration, or a part of the error */
  int requests;
} Store;

/* "e30=" is "{}" in base64. */
static const Store stores[] = {
  { "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"W10=\",\"Ver\":3},"
    "{\"Key\":\"config\",\"Value\":\"e30=\",\"Ver\":4}],\"MorePages\":true,\"Ver\":9}",
    STATUS_OK, "{}", 1 },
  { "{\"Rows\":[{\"Key\":\"config\",\"Value\":\"?\",\"Ver\":4}],\"Ver\":9}", STATUS_OK, "", 1 },
  { "{\"Rows\":[{\"Key\":\"config\",\"Tombstone\":true,\"Ver\":4}],\"Ver\":9}", STATUS_NOT_FOUND,
    "no configuration", 1 },
  { "{\"Rows\":[{\"Key\":\"configs\",\"Value\":\"e30=\",\"Ver\":4}],\"Ver\":9}", STATUS_NOT_FOUND,
    "no configuration", 1 },
  { "{}", STATUS_NOT_FOUND, "no configuration", 1 },
  { "garbage", STATUS_INVALID, "isn't one of the store", 1 },
  { "", STATUS_INVALID, "isn't one of the store", 1 },
  { "[1]", STATUS_INVALID, "isn't one of the store", 1 },
  { "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"e30=\",\"Ver\":4}],\"MorePages\":true,\"Ver\":9}",
    STATUS_INVALID, "announces more rows", 2 },
  { "{\"Rows\":[],\"MorePages\":true,\"Ver\":9}", STATUS_INVALID, "announces more rows", 1 },
};

static StatusCode
read_port (int port, int timeout_ms, Buffer *text, Status *st)
{
  char address[ADDRESS_MAX_BYTES];

  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  buffer_add_string (text, "");
  return lint_in_force_read (address, timeout_ms, text, st);
}

static void
test_the_configuration_or_the_reason_is_told (void)
{
  for (size_t i = 0; i < sizeof stores / sizeof stores[0]; i++)
    {
      FakeHttpServer *server = fake_http_server_new (stores[i].answer);
      Buffer text = { 0 };
      Status st;

      CU_ASSERT_EQUAL (read_port (fake_http_server_port (server), TIMEOUT_MS, &text, &st),
                       stores[i].code);
      CU_ASSERT_PTR_NOT_NULL (
          strstr (stores[i].code == STATUS_OK ? text.data : st.message, stores[i].text));
      CU_ASSERT (stores[i].code != STATUS_OK || text.len == strlen (stores[i].text));
      CU_ASSERT_EQUAL (fake_http_server_requests (server), stores[i].requests);
      buffer_free (&text);
      fake_http_server_free (server);
    }
}

/* Failure: the store closes connections without an answer, then refuses them. */
static void
test_an_error_names_step_and_peer (void)
{
  FakeHttpServer *server = fake_http_server_new ("{}");
  char address[ADDRESS_MAX_BYTES];
  Buffer text = { 0 };
  Status st;

  snprintf (address, sizeof address, "127.0.0.1:%d", fake_http_server_port (server));
  fake_http_server_drop (server, true);
  CU_ASSERT_EQUAL (lint_in_force_read (address, TIMEOUT_MS, &text, &st), STATUS_UNAVAILABLE);
  CU_ASSERT_STRING_EQUAL (st.step, "store.read");
  CU_ASSERT_STRING_EQUAL (st.peer, address);
  fake_http_server_stop (server);
  CU_ASSERT_EQUAL (lint_in_force_read (address, TIMEOUT_MS, &text, &st), STATUS_UNAVAILABLE);
  CU_ASSERT_STRING_EQUAL (st.peer, address);
  CU_ASSERT_PTR_NOT_NULL (strstr (st.message, "refused"));
  CU_ASSERT_EQUAL (lint_in_force_read ("127.0.0.1", TIMEOUT_MS, &text, &st), STATUS_INVALID);
  buffer_free (&text);
  fake_http_server_free (server);
}

/* Failure: the store takes the connection and never answers. */
static void
test_a_silent_store_is_given_up_at_the_deadline (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int64_t begun_ms = clock_boot_ms ();
  Buffer text = { 0 };
  Status st;

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 1), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  CU_ASSERT_EQUAL (read_port (ntohs (address.sin_port), SHORT_TIMEOUT_MS, &text, &st),
                   STATUS_UNAVAILABLE);
  CU_ASSERT_STRING_EQUAL (st.message, "no whole answer within 200 ms");
  CU_ASSERT (clock_boot_ms () - begun_ms >= SHORT_TIMEOUT_MS);
  CU_ASSERT (clock_boot_ms () - begun_ms < SILENCE_MAX_MS);
  buffer_free (&text);
  close (fd);
}

static void
check_cut_head (FakeServer *server, const FakeAnswer *cut)
{
  Buffer text = { 0 };
  Status st;

  (void)cut;
  CU_ASSERT_EQUAL (read_port (fake_server_port (server), TIMEOUT_MS, &text, &st),
                   STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (text.len, 0);
  buffer_free (&text);
}

/* Failure: the store stops in the middle of its answer's head. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each (check_cut_head);
}

static const SuiteCase cases[] = {
  { "the_configuration_or_the_reason_is_told", test_the_configuration_or_the_reason_is_told },
  { "an_error_names_step_and_peer", test_an_error_names_step_and_peer },
  { "cut_head_is_no_answer", test_cut_head_is_no_answer },
  { "a_silent_store_is_given_up_at_the_deadline", test_a_silent_store_is_given_up_at_the_deadline },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "lint_in_force", cases, SUITE_COUNT (cases));
}
