/** Rate limit for servers that have started recently: src/front_cold.c. */
#include "front_attempt.h"
#include "front_cold.h"
#include "suite.h"
#include "util_id.h"
#include <stdlib.h>
#include <string.h>

#define NOW          100000 /* milliseconds */
#define SECOND_MS    1000
#define SIMULATED_MS 3000 /* as long as a server stays cold */
#define LATE_FOR_MS  500
#define LATE_MAX_MS  28
#define SERVERS      20
#define FRONTS_MAX   400
#define RATE_MAX     32.0 /* 18 per second, exceeded by half, plus 5 */

/** A site, and what its fronts know of their number. */
typedef struct
{
  const char *name;
  unsigned domain_fronts; /**< in the server's failure domain */
  unsigned other_fronts;
  FrontsView view;
} Site;

static const Site sites[] = {
  { "six fronts", 2, 4, { .domain_fronts = 2, .registered = 2, .fronts = 6, .is_new = false } },
  { "a middle-sized site",
    17,
    49,
    { .domain_fronts = 17, .registered = 5, .fronts = 66, .is_new = false } },
  { "with spare fronts",
    20,
    58,
    { .domain_fronts = 20, .registered = 5, .fronts = 78, .is_new = false } },
  { "fronts that count half of the others",
    17,
    49,
    { .domain_fronts = 9, .registered = 5, .fronts = 33, .is_new = false } },
  { "all have just started",
    17,
    49,
    { .domain_fronts = 1, .registered = 0, .fronts = 1, .is_new = true } },
  { "a large site",
    75,
    225,
    { .domain_fronts = 75, .registered = 5, .fronts = 300, .is_new = false } },
  { "a large site, half counted",
    75,
    225,
    { .domain_fronts = 37, .registered = 5, .fronts = 150, .is_new = false } },
  { "a large site that has just started",
    75,
    225,
    { .domain_fronts = 5, .registered = 5, .fronts = 20, .is_new = true } },
  { "a domain that gets messages from nobody else",
    75,
    225,
    { .domain_fronts = 75, .registered = 5, .fronts = 75, .is_new = false } },
};

static const ColdRule rule = { .max_per_s = RATE_MAX, .start_ms = 3000 };

static FrontShare
share_of (const Site *site, unsigned front)
{
  FrontShare share = { .self = id_hash (&front, sizeof front, 7) };

  front_share_set (&share, &site->view);
  return share;
}

/* Maximum requests that the server reads in any second if each front sends as soon as it may. The
 * server reads what is sent in the first LATE_FOR_MS late_ms late. */
static unsigned
simulate_greedy_fronts (const Site *site, uint64_t server, unsigned late_ms, unsigned *total)
{
  static unsigned arrivals[SIMULATED_MS + LATE_MAX_MS];
  static ColdSends sends[FRONTS_MAX];
  unsigned fronts = site->domain_fronts + site->other_fronts;
  unsigned in_second = 0, most = 0;

  memset (arrivals, 0, sizeof arrivals);
  memset (sends, 0, sizeof sends);
  *total = 0;
  for (unsigned ms = 0; ms < SIMULATED_MS; ms++)
    {
      for (unsigned front = 0; front < fronts; front++)
        {
          FrontShare share = share_of (site, front);
          unsigned slots = cold_slots (&rule, &share, server, front < site->domain_fronts);

          if (cold_wait_ms (&sends[front], slots, NOW + ms) != 0)
            continue;
          cold_sent (&sends[front], NOW + ms);
          cold_connected (&sends[front], NOW + ms, NOW + ms);
          arrivals[ms < LATE_FOR_MS ? ms + late_ms : ms]++;
        }
      in_second += arrivals[ms];
      if (ms >= SECOND_MS)
        in_second -= arrivals[ms - SECOND_MS];
      if (in_second > most)
        most = in_second;
      *total += arrivals[ms];
    }
  return most;
}

/* A failure domain restarts cold during a burst with a popular prompt. Even if every front sends
 * its servers all that it may, they must not get more than the limit and crash again; also where
 * fronts have just started, get no messages from others or count different numbers of fronts. */
static void
test_rate_limit_holds_over_all_fronts (void)
{
  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      unsigned most = 0, all = 0, total;

      for (uint64_t server = 1; server <= SERVERS; server++)
        {
          unsigned found = simulate_greedy_fronts (&sites[i], server, 0, &total);

          most = found > most ? found : most;
          all += total;
        }
      printf ("%s: at most %u in a second, %.1f on average\n", sites[i].name, most,
              (double)all / SERVERS / SIMULATED_MS * SECOND_MS);
      CU_ASSERT (most <= (unsigned)RATE_MAX);
      CU_ASSERT (all > 0);
    }
}

/* Guards against requests of two seconds that the server reads within one: a busy server read the
 * first ones 28 ms late and those of the next second at once. */
static void
test_limit_holds_where_server_reads_late (void)
{
  for (size_t i = 0; i < SUITE_COUNT (sites); i++)
    {
      unsigned most = 0, total;

      for (uint64_t server = 1; server <= SERVERS; server++)
        {
          unsigned found = simulate_greedy_fronts (&sites[i], server, LATE_MAX_MS, &total);

          most = found > most ? found : most;
        }
      printf ("%s, read late: at most %u in a second\n", sites[i].name, most);
      CU_ASSERT (most <= (unsigned)RATE_MAX);
    }
}

/* A failure domain restarts cold. Where all fronts know each other its servers must get at least
 * half of their limit, or the domain stays idle while the others are overloaded. */
static void
test_cold_servers_are_used (void)
{
  unsigned total, all = 0;

  for (uint64_t server = 1; server <= SERVERS; server++)
    {
      simulate_greedy_fronts (&sites[1], server, 0, &total);
      all += total;
    }
  CU_ASSERT ((double)all / SERVERS / SIMULATED_MS * SECOND_MS > RATE_MAX / 2);
}

/* A connection that takes long must not bring two requests of one slot into one second. */
static void
test_slot_time_starts_at_connection (void)
{
  ColdSends sends = { 0 };

  CU_ASSERT (COLD_SLOT_MS >= SECOND_MS + LATE_MAX_MS);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW), 0);
  cold_sent (&sends, NOW);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW), COLD_SLOT_MS + FRONT_CONNECT_TIMEOUT_MS);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 2, NOW), 0);
  cold_connected (&sends, NOW, NOW + 300);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW + 300), COLD_SLOT_MS);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW + 299 + COLD_SLOT_MS), 1);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW + 300 + COLD_SLOT_MS), 0);
}

static void
test_zero_slots_allow_no_request (void)
{
  ColdSends sends = { 0 };
  ColdRule low = { .max_per_s = 0.5 };
  ColdRule high = { .max_per_s = 1e6 };
  FrontShare large = { .domain_fronts = 400, .fronts = 1000000 };
  FrontShare unknown = { 0 };

  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 0, NOW), INT64_MAX);
  CU_ASSERT_EQUAL (cold_slots (&low, &large, 3, false), 0);
  CU_ASSERT_EQUAL (cold_slots (&high, &unknown, 3, true), COLD_SLOTS_MAX);
}

/* Of more sends than are remembered, only the latest count. */
static void
test_send_history_keeps_latest (void)
{
  ColdSends sends = { 0 };

  for (unsigned i = 0; i < 3 * COLD_SLOTS_MAX; i++)
    cold_sent (&sends, NOW + 10 * i);
  CU_ASSERT (cold_wait_ms (&sends, COLD_SLOTS_MAX, NOW + 250) > 0);
  CU_ASSERT_EQUAL (cold_wait_ms (&sends, 1, NOW + 3000), 0);
}

static const SuiteCase cases[] = {
  { "rate_limit_holds_over_all_fronts", test_rate_limit_holds_over_all_fronts },
  { "limit_holds_where_server_reads_late", test_limit_holds_where_server_reads_late },
  { "cold_servers_are_used", test_cold_servers_are_used },
  { "slot_time_starts_at_connection", test_slot_time_starts_at_connection },
  { "zero_slots_allow_no_request", test_zero_slots_allow_no_request },
  { "send_history_keeps_latest", test_send_history_keeps_latest },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_cold", cases, SUITE_COUNT (cases));
}
