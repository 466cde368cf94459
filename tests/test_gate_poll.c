/**
 * Load reports of many engines: src/gate_poll.c.
 */
#include "fake_http_server.h"
#include "gate_poll.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdlib.h>

#define ENGINES 56 /**< more than a round reads, in each thread */
#define LEFT    5
#define PRIOR   "\"cost_per_1k\":1000,\"prior_quality\":0.9"

typedef struct
{
  Gate gate;
  FakeHttpServer *keepers[ENGINES];
  int wanted; /**< requests, or open connections, that a wait is for */
} Site;

static int
sum (const Site *site, int (*count) (const FakeHttpServer *keeper))
{
  int n = 0;

  for (int i = 0; i < ENGINES; i++)
    n += count (site->keepers[i]);
  return n;
}

/* Every engine serves a version of its own, so that the gate watches all of them. */
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
                   i > 0 ? "," : "", i, fake_http_server_port (site->keepers[i]), i);
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
read_often (void *context)
{
  Site *site = context;

  return sum (site, fake_http_server_requests) >= site->wanted;
}

static bool
few_open (void *context)
{
  Site *site = context;

  return sum (site, fake_http_server_open) == site->wanted;
}

static void
wait_requests (Site *site, int more)
{
  site->wanted = sum (site, fake_http_server_requests) + more;
  CU_ASSERT_TRUE (suite_wait (read_often, site));
}

static void
test_turns_and_budget (void)
{
  /*
   * A site that has grown: each gate reads hundreds of engines every second, and control takes more
   * of the network than the users allow. Reads a second are bounded; every engine has its turn, and
   * connections go with the engines that leave.
   */
  Site *site = memory_alloc (sizeof (*site));
  GatePoll *poll;
  int64_t from_ms;
  int64_t seconds;

  for (int i = 0; i < ENGINES; i++)
    site->keepers[i] = fake_http_server_new ("{\"running\":1,\"queued\":2,\"at_ms\":5}");
  gate_servers_init (&site->gate.servers, "vm-1", "oita");
  publish (site, ENGINES, 1);
  from_ms = clock_boot_ms ();
  poll = gate_poll_start (&site->gate);
  wait_requests (site, 2 * ENGINES);
  seconds = (clock_boot_ms () - from_ms) / 1000;
  /* A lower bound of the time only; each thread may begin a round at both ends. */
  CU_ASSERT_TRUE (sum (site, fake_http_server_requests) <= GATE_POLL_READS_MAX * (seconds + 2));
  CU_ASSERT_EQUAL (sum (site, fake_http_server_connections), ENGINES);
  for (int i = 0; i < ENGINES; i++)
    {
      ServerView view;
      gate_server_view (site->gate.snapshots.newest->servers[i], &view);
      CU_ASSERT_EQUAL (view.reported_load, 3);
    }
  publish (site, LEFT, 2);
  site->wanted = LEFT;
  CU_ASSERT_TRUE (suite_wait (few_open, site));
  wait_requests (site, 2 * LEFT);
  CU_ASSERT_EQUAL (sum (site, fake_http_server_open), LEFT);
  /* One that stays may be read by another thread now, on a connection of that one's. */
  CU_ASSERT_TRUE (sum (site, fake_http_server_connections) <= ENGINES + LEFT);
  gate_poll_stop (poll);
  gate_snapshot_put (site->gate.snapshots.newest);
  for (int i = 0; i < ENGINES; i++)
    fake_http_server_free (site->keepers[i]);
  free (site);
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[] = { { "turns_and_budget", test_turns_and_budget } };
  return suite_main (argc, argv, "gate_poll", cases, SUITE_COUNT (cases));
}
