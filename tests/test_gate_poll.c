/**
 * Reading the load reports of many engines: src/gate_poll.c.
 */
#include "fake_http_server.h"
#include "gate_poll.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdlib.h>

#define ENGINES   56 /**< more than one round reads, in each thread */
#define REMAINING 5
#define PRIOR     "\"cost_per_1k\":1000,\"prior_quality\":0.9"

typedef struct
{
  Gate gate;
  FakeHttpServer *engines[ENGINES];
  int expected; /**< number of requests or open connections to wait for */
} Site;

static int
sum (const Site *site, int (*count) (const FakeHttpServer *engine))
{
  int n = 0;

  for (int i = 0; i < ENGINES; i++)
    n += count (site->engines[i]);
  return n;
}

/* Publishes a configuration in which each engine serves a version of its own, so that the gate
   watches all of them. */
static void
publish (Site *site, int engines, int64_t number)
{
  Buffer text = { 0 };
  CheckList list = { .file = "test" };
  bool braked[ENGINES] = { false };
  Config *config;

  buffer_add_string (&text, "{\"models\":{\"draft\":{\"versions\":{");
  for (int i = 0; i < engines; i++)
    buffer_printf (&text, "%s\"v%d\":{\"state\":\"active\"," PRIOR "}", i > 0 ? "," : "", i);
  buffer_add_string (&text, "}}},\"backend_servers\":{");
  for (int i = 0; i < engines; i++)
    buffer_printf (&text,
                   "%s\"e%d\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":%d,"
                   "\"failure_domain\":\"oita\",\"serves\":[\"draft@v%d\"],\"slots\":4}",
                   i > 0 ? "," : "", i, fake_http_server_port (site->engines[i]), i);
  buffer_add_string (&text, "}}");
  config = config_parse (text.data, text.len, number, &list);
  if (config == NULL)
    printf ("%s\n", list.text.data);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  gate_snapshot_publish (&site->gate.snapshots,
                         gate_snapshot_new (config, braked, &site->gate.servers));
  buffer_free (&text);
  check_free (&list);
}

static bool
enough_requests (void *context)
{
  Site *site = context;

  return sum (site, fake_http_server_requests) >= site->expected;
}

static bool
expected_open (void *context)
{
  Site *site = context;

  return sum (site, fake_http_server_open) == site->expected;
}

static void
wait_requests (Site *site, int more)
{
  site->expected = sum (site, fake_http_server_requests) + more;
  CU_ASSERT_TRUE (suite_wait (enough_requests, site));
}

static void
test_reads_are_bounded_and_take_turns (void)
{
  /*
   * With hundreds of engines, reading all of them every second would use more network traffic for
   * control than allowed. Checks that the reads per second are bounded, that every engine is read
   * in turn, and that connections to engines that leave the configuration are closed.
   */
  Site *site = memory_alloc (sizeof (*site));
  GatePoll *poll;
  int64_t from_ms;
  int64_t seconds;

  for (int i = 0; i < ENGINES; i++)
    site->engines[i] = fake_http_server_new ("{\"running\":1,\"queued\":2,\"at_ms\":5}");
  gate_servers_init (&site->gate.servers, "vm-1", "oita");
  publish (site, ENGINES, 1);
  from_ms = clock_boot_ms ();
  poll = gate_poll_start (&site->gate);
  wait_requests (site, 2 * ENGINES);
  seconds = (clock_boot_ms () - from_ms) / 1000;
  /* seconds is rounded down, and each thread may begin one round at either end of the interval. */
  CU_ASSERT_TRUE (sum (site, fake_http_server_requests) <= GATE_POLL_READS_MAX * (seconds + 2));
  CU_ASSERT_EQUAL (sum (site, fake_http_server_connections), ENGINES);
  for (int i = 0; i < ENGINES; i++)
    {
      ServerView view;
      gate_server_copy_view (site->gate.snapshots.newest->servers[i], &view);
      CU_ASSERT_EQUAL (view.reported_load, 3);
    }
  publish (site, REMAINING, 2);
  site->expected = REMAINING;
  CU_ASSERT_TRUE (suite_wait (expected_open, site));
  wait_requests (site, 2 * REMAINING);
  CU_ASSERT_EQUAL (sum (site, fake_http_server_open), REMAINING);
  /* A remaining engine may now belong to another thread, which opens its own connection. */
  CU_ASSERT_TRUE (sum (site, fake_http_server_connections) <= ENGINES + REMAINING);
  gate_poll_stop (poll);
  gate_snapshot_put (site->gate.snapshots.newest);
  for (int i = 0; i < ENGINES; i++)
    fake_http_server_free (site->engines[i]);
  free (site);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "reads_are_bounded_and_take_turns", test_reads_are_bounded_and_take_turns } };
  return suite_main (argc, argv, "gate_poll", cases, SUITE_COUNT (cases));
}
