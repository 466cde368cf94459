/** Pacing of requests to a server that names a limit: src/front_limit.c, front_share.c. */
#include "front_limit.h"
#include "suite.h"
#include "util_id.h"
#include <stdlib.h>
#include <string.h>

#define NOW          100000 /* milliseconds */
#define MS_PER_S     1000
#define TOLD_MS      3000 /* fronts are told within this time */
#define SIMULATED_MS 120000
#define WINDOW_MS    4000
#define OVERAGE      1.5 /* a window may get this multiple of the limit, and SLACK requests */
#define SLACK        5
#define USED_MIN     0.4 /* part of its limit that a server gets at least under steady demand */
#define SERVERS      24
#define FRONTS_MAX   2000

typedef struct
{
  const char *name;
  unsigned domain_fronts; /**< in the server's failure domain */
  unsigned other_fronts;
  FrontsView view; /**< what each front knows of their number */
} Site;

static const Site sites[] = {
  { "one front", 1, 0, { .domain_fronts = 1, .registered = 1, .fronts = 1, .is_new = false } },
  { "six fronts", 2, 4, { .domain_fronts = 2, .registered = 2, .fronts = 6, .is_new = false } },
  { "nine fronts", 3, 6, { .domain_fronts = 3, .registered = 3, .fronts = 9, .is_new = false } },
  { "a middle-sized site",
    17,
    49,
    { .domain_fronts = 17, .registered = 5, .fronts = 66, .is_new = false } },
  { "half of the others counted",
    17,
    49,
    { .domain_fronts = 9, .registered = 5, .fronts = 33, .is_new = false } },
  { "all have just started",
    17,
    49,
    { .domain_fronts = 1, .registered = 0, .fronts = 1, .is_new = true } },
  { "fronts that hear nobody",
    17,
    49,
    { .domain_fronts = 1, .registered = 1, .fronts = 1, .is_new = true } },
  { "a large site",
    75,
    225,
    { .domain_fronts = 75, .registered = 5, .fronts = 300, .is_new = false } },
  { "the target",
    165,
    820,
    { .domain_fronts = 165, .registered = 5, .fronts = 985, .is_new = false } },
  { "twice the target",
    334,
    1666,
    { .domain_fronts = 334, .registered = 5, .fronts = 2000, .is_new = false } },
};

static const double limits[] = { 0, 0.5, 1.7, 3, 12, 100 };

/** When callers want the server: all the time, or only in bursts. */
typedef struct
{
  const char *name;
  int64_t every_ms, for_ms;
} Demand;

static const Demand demands[] = {
  { "steady", 1000, 1000 },
  { "in bursts", 30000, 300 },
};

static FrontShare
share_of (const Site *site, unsigned front)
{
  FrontShare share = { .self = id_hash (&front, sizeof front, 7) };

  front_share_set (&share, &site->view);
  return share;
}

/* The first time from ms on at which there is demand. */
static int64_t
next_demand (const Demand *demand, int64_t ms)
{
  int64_t since = ms % demand->every_ms;

  return since < demand->for_ms ? ms : ms - since + demand->every_ms;
}

/* Adds one front's arrivals, if it sends as soon as it may and callers want it to. */
static void
simulate_front (const Site *site,
                unsigned front,
                uint64_t server,
                double per_s,
                const Demand *demand,
                unsigned *arrivals)
{
  FrontShare share = share_of (site, front);
  ServerLimit limit = { 0 };
  int64_t told = (int64_t)(id_hash (&front, sizeof front, server) % TOLD_MS);

  server_limit_sent (&limit, NOW + told - 1);
  server_limit_named (&limit, per_s, NOW + told);
  for (int64_t ms = next_demand (demand, told + 1); ms < SIMULATED_MS;)
    {
      int64_t wait
          = server_limit_wait_ms (&limit, &share, server, front < site->domain_fronts, NOW + ms);

      if (wait == 0)
        {
          arrivals[ms]++;
          server_limit_sent (&limit, NOW + ms);
          wait = 1;
        }
      ms = next_demand (demand, ms + wait);
    }
}

/* Maximum arrivals in a window. */
static unsigned
simulate_site (const Site *site,
               uint64_t server,
               double per_s,
               const Demand *demand,
               unsigned *total)
{
  static unsigned arrivals[SIMULATED_MS];
  unsigned in_window = 0, most = 0;

  memset (arrivals, 0, sizeof arrivals);
  for (unsigned front = 0; front < site->domain_fronts + site->other_fronts; front++)
    simulate_front (site, front, server, per_s, demand, arrivals);
  for (unsigned ms = 0; ms < SIMULATED_MS; ms++)
    {
      in_window += arrivals[ms];
      if (ms >= WINDOW_MS)
        in_window -= arrivals[ms - WINDOW_MS];
      most = in_window > most ? in_window : most;
      *total += arrivals[ms];
    }
  return most;
}

/* Guards against fronts that keep to a server's limit each by itself, or save up what they may
 * send: all fronts together must keep to it, however many they are and whatever they know. */
static void
test_limit_holds_over_all_fronts (void)
{
  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      for (size_t j = 0; j < SUITE_COUNT (limits) * SUITE_COUNT (demands); j++)
        {
          double per_s = limits[j / SUITE_COUNT (demands)];
          const Demand *demand = &demands[j % SUITE_COUNT (demands)];
          double allowed = OVERAGE * per_s * WINDOW_MS / MS_PER_S + SLACK;
          unsigned most = 0, total = 0;

          for (uint64_t server = 1; server <= SERVERS; server++)
            {
              unsigned found = simulate_site (&sites[i], server, per_s, demand, &total);

              most = found > most ? found : most;
            }
          printf ("%s, limit %.1f, %s: at most %u in a window of %.1f, %.2f a second\n",
                  sites[i].name, per_s, demand->name, most, allowed,
                  (double)total / SERVERS / SIMULATED_MS * MS_PER_S);
          CU_ASSERT (most <= allowed);
        }
    }
}

/* A limited server still takes requests; if fronts sent it much fewer, callers would be refused
 * that it can serve. */
static void
test_limited_server_is_used (void)
{
  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      unsigned total = 0;

      if (sites[i].view.is_new)
        continue;
      for (uint64_t server = 1; server <= SERVERS; server++)
        simulate_site (&sites[i], server, 3, &demands[0], &total);
      CU_ASSERT ((double)total / SERVERS / SIMULATED_MS * MS_PER_S >= USED_MIN * 3);
    }
}

/* Answers overtake each other: one to an earlier request must not end a limit. */
static void
test_limit_ends_with_a_later_request (void)
{
  FrontShare share = { .self = 1, .domain_fronts = 2, .fronts = 6 };
  ServerLimit limit = { 0 };

  CU_ASSERT_EQUAL (server_limit_wait_ms (&limit, &share, 1, true, NOW), 0);
  CU_ASSERT (!server_limit_absent (&limit, NOW));
  server_limit_sent (&limit, NOW);
  CU_ASSERT (server_limit_named (&limit, 2, NOW + 100));
  CU_ASSERT (!server_limit_named (&limit, 2, NOW + 200));
  CU_ASSERT (server_limit_named (&limit, 1, NOW + 300));
  CU_ASSERT (server_limit_wait_ms (&limit, &share, 1, true, NOW + 300) > 0);
  CU_ASSERT (!server_limit_absent (&limit, NOW + 250));
  CU_ASSERT (server_limit_wait_ms (&limit, &share, 1, true, NOW + 300) > 0);
  CU_ASSERT (server_limit_absent (&limit, NOW + 301));
  CU_ASSERT_EQUAL (server_limit_wait_ms (&limit, &share, 1, true, NOW + 301), 0);
}

/* A front that was frozen, or had no requests for a while, has saved up no more than one. */
static void
test_pauses_save_up_one_request (void)
{
  FrontShare share = { .self = 1, .domain_fronts = 2, .fronts = 6 };
  ServerLimit limit = { 0 };

  server_limit_named (&limit, 2, NOW);
  CU_ASSERT_EQUAL (server_limit_wait_ms (&limit, &share, 1, true, NOW + 60000), 0);
  server_limit_sent (&limit, NOW + 60000);
  CU_ASSERT (server_limit_wait_ms (&limit, &share, 1, true, NOW + 60001) > MS_PER_S);
}

/* A caller that is refused may be served by another front sooner than by this one. */
static void
test_interval_follows_the_limit (void)
{
  ServerLimit limit = { 0 };

  server_limit_named (&limit, 4, NOW);
  CU_ASSERT_EQUAL (server_limit_interval_ms (&limit), 250);
  server_limit_named (&limit, 0, NOW);
  CU_ASSERT (server_limit_interval_ms (&limit) >= MS_PER_S);
}

static const SuiteCase cases[] = {
  { "limit_holds_over_all_fronts", test_limit_holds_over_all_fronts },
  { "limited_server_is_used", test_limited_server_is_used },
  { "limit_ends_with_a_later_request", test_limit_ends_with_a_later_request },
  { "pauses_save_up_one_request", test_pauses_save_up_one_request },
  { "interval_follows_the_limit", test_interval_follows_the_limit },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_limit", cases, SUITE_COUNT (cases));
}
