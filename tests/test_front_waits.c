/** Beliefs of how late answers begin: src/front_waits.c, front_waits_row.c. */
#include "front_waits.h"
#include "suite.h"
#include <math.h>
#include <string.h>

#define NOW     100000 /* milliseconds */
#define SERVICE 7
#define AUTHOR  99
#define RANK    4U /* of requests where ranks don't matter */

static FrontWaits *waits;

static void
setup (void)
{
  front_waits_free (waits);
  waits = front_waits_new ();
}

static bool
add (uint64_t server, uint32_t request, double wait_ms, bool is_bound, int64_t now_ms)
{
  return front_waits_add (waits,
                          &(WaitSample){ .server = server,
                                         .service = SERVICE,
                                         .rank = RANK,
                                         .request = request,
                                         .wait_ms = wait_ms,
                                         .is_bound = is_bound },
                          now_ms);
}

static bool
told (uint64_t server, uint32_t request, uint32_t wait_ms, uint64_t author, int64_t now_ms)
{
  return front_waits_told (
      waits,
      &(WaitReport){ .server = server, .request = request, .wait_ms = wait_ms, .rank = RANK },
      author, now_ms);
}

static WaitBelief
belief_in (uint64_t server, unsigned rank, int64_t now_ms)
{
  WaitBelief general = front_waits_general (waits, SERVICE, rank, now_ms);

  return front_waits_of (waits, server, rank, &general, now_ms);
}

static double
believed (uint64_t server, int64_t now_ms)
{
  return belief_in (server, RANK, now_ms).ms;
}

/* Load: none. Answers that begin about as predicted leave no row, and nothing to tell. */
static void
test_calm_is_empty (void)
{
  WaitReport out[WAITS_TOLD_MAX];

  setup ();
  for (uint32_t i = 1; i <= 1000; i++)
    CU_ASSERT (add (i % 50, i, (double)(i % 90) - 45, false, NOW + i));
  CU_ASSERT_EQUAL (front_waits_count (waits), 0);
  CU_ASSERT_EQUAL (front_waits_take (waits, out, WAITS_TOLD_MAX, NOW + 1000), 0);
  CU_ASSERT_EQUAL (belief_in (1, RANK, NOW + 1000).age_ms, -1);
}

/* Load: the least urgent kind bursts to four times its rate, and the queue of each of 88 engines
 * grows to 3 s in a second. One of 70 fronts sees 15 answers or silences per second, of any one
 * engine hardly any: by its general belief it must expect half of that within a second, and most of
 * it within two, also of an engine that it has not asked. */
static void
test_burst_is_learned_from_all_servers (void)
{
  setup ();
  for (uint32_t i = 1; i <= 30; i++)
    add (i % 88, i, 3000, false, NOW + i * 66);
  CU_ASSERT (believed (1000, NOW + 1980) > 2400);
  CU_ASSERT (believed (1000, NOW + 1980) <= 3000);
  CU_ASSERT (belief_in (1000, RANK, NOW + 1980).is_general);
  setup ();
  for (uint32_t i = 1; i <= 15; i++)
    add (i % 88, i, 3000, false, NOW + i * 66);
  CU_ASSERT (believed (1000, NOW + 990) > 1500);
}

/* Load: the same burst. It fills the queue of its own rank only: the most urgent requests pass it,
 * and what is learned of one rank must not be believed of another. */
static void
test_ranks_are_apart (void)
{
  setup ();
  for (uint32_t i = 1; i <= 10; i++)
    add (3, i, 3000, false, NOW + i);
  CU_ASSERT (believed (3, NOW + 10) > 2500);
  CU_ASSERT_EQUAL (belief_in (3, 0, NOW + 10).ms, 0);
  CU_ASSERT_EQUAL (front_waits_rank (0), 0);
  CU_ASSERT_EQUAL (front_waits_rank (-1), 0);
  CU_ASSERT_EQUAL (front_waits_rank (4), RANK);
  CU_ASSERT_EQUAL (front_waits_rank (9), URGENCY_RANK_MAX);
  CU_ASSERT_EQUAL (front_waits_rank (INT64_MAX), URGENCY_RANK_MAX);
}

/* Load: two fifths of the servers go dark under requests, which stay unanswered. Each check finds
 * them longer overdue; their servers must be believed slow before any answer, the others must not
 * more than a little, and one request counts once however often it is checked. */
static void
test_silence_of_lost_servers (void)
{
  setup ();
  for (uint32_t step = 1; step <= 10; step++)
    {
      for (uint32_t server = 1; server <= 4; server++)
        {
          add (server, server * 10, step * 100, true, NOW + step * 100);
          add (server, server * 10 + 1, step * 100, true, NOW + step * 100);
        }
      for (uint32_t server = 5; server <= 10; server++)
        add (server, 1000 + step * 100 + server, 0, false, NOW + step * 100);
    }
  CU_ASSERT (believed (1, NOW + 1000) > 400);
  CU_ASSERT (believed (5, NOW + 1000) < 100);
  setup ();
  for (uint32_t step = 1; step <= 10; step++)
    add (1, 5, step * 100, true, NOW + step * 100);
  CU_ASSERT (believed (1, NOW + 1000) < 500);
}

/* Load: requests stay unanswered at lost servers and are found silent each tenth of a second, while
 * the few answers of the others begin as predicted. After three seconds a server that was not asked
 * is expected to answer as these do. */
static void
test_silence_does_not_outlive_answers (void)
{
  setup ();
  for (uint32_t step = 1; step <= 30; step++)
    {
      for (uint32_t server = 1; server <= 4; server++)
        add (server, server, step * 100, true, NOW + step * 100);
      if (step % 5 == 0)
        add (10 + step, 100 + step, 0, false, NOW + step * 100);
    }
  CU_ASSERT (believed (1, NOW + 3000) > 400);
  CU_ASSERT (believed (1000, NOW + 3000) < 100);
}

/* A silence shorter than what is believed anyway says nothing, and doesn't lower the belief. */
static void
test_short_silence_says_nothing (void)
{
  double before;

  setup ();
  for (uint32_t i = 1; i <= 8; i++)
    add (3, i, 2000, false, NOW);
  before = believed (3, NOW);
  for (uint32_t i = 1; i <= 50; i++)
    add (3, 100 + i, 300, true, NOW);
  CU_ASSERT_DOUBLE_EQUAL (believed (3, NOW), before, 1e-9);
}

/* Load: one server turns slow while others are fast, and fast again three seconds later. Four
 * samples per second reach this front, mostly from others. The belief must follow within two
 * seconds each time. */
static void
test_server_turns_slow_and_back (void)
{
  int64_t now_ms = NOW;

  setup ();
  for (uint32_t i = 1; i <= 12; i++, now_ms += 250)
    told (3, i, 1500, AUTHOR + i % 6, now_ms);
  CU_ASSERT (believed (3, NOW + 2000) > 1000);
  CU_ASSERT (believed (3, now_ms) > 1000);
  CU_ASSERT (believed (4, now_ms) < 1);
  for (uint32_t i = 1; i <= 8; i++, now_ms += 250)
    told (3, 100 + i, 0, AUTHOR + i % 6, now_ms);
  CU_ASSERT (believed (3, now_ms) < 100);
}

/* An outlier: one answer of a server takes eight seconds, and the others begin as predicted. */
static void
test_outlier_counts_little (void)
{
  setup ();
  add (3, 1, 8000, false, NOW);
  CU_ASSERT (believed (3, NOW) < 2500);
  for (uint32_t i = 2; i <= 5; i++)
    add (3, i, 0, false, NOW + i);
  CU_ASSERT (believed (3, NOW + 5) < 1);
  CU_ASSERT (believed (4, NOW + 5) < 1);
}

/* Failure: this front is cut off, or its messages are lost, and it asks the server no more. Its
 * belief must go back to the service's, that one to none, and both be forgotten. */
static void
test_stale_belief_ages_out (void)
{
  WaitBelief belief;

  setup ();
  for (uint32_t i = 1; i <= 12; i++)
    told (3, i, 4000, AUTHOR + i, NOW);
  for (uint32_t i = 1; i <= 12; i++)
    add (50 + i, i, 800, false, NOW + 5000);
  belief = belief_in (3, RANK, NOW + 5000);
  CU_ASSERT (belief.ms < 1800);
  CU_ASSERT (belief.ms > 700);
  CU_ASSERT_EQUAL (belief.age_ms, 5000);
  CU_ASSERT (belief.is_told);
  CU_ASSERT (believed (3, NOW + 8000) >= believed (1000, NOW + 8000));
  CU_ASSERT (believed (3, NOW + 20000) < 20);
  front_waits_expire (waits, NOW + 20000);
  CU_ASSERT_EQUAL (front_waits_count (waits), 0);
}

/* Load over: rows of servers that answer as predicted again are dropped although answers go on, so
 * that a choice of a server in calm times looks nothing up. */
static void
test_calm_after_load_is_empty (void)
{
  setup ();
  for (uint32_t i = 1; i <= 40; i++)
    add (i % 4, i, 2000, false, NOW + i);
  CU_ASSERT (front_waits_count (waits) > 0);
  front_waits_expire (waits, NOW + 41);
  CU_ASSERT (front_waits_count (waits) > 0);
  for (uint32_t i = 1; i <= 80; i++)
    add (i % 4, 100 + i, 0, false, NOW + 1000 + i);
  front_waits_expire (waits, NOW + 1100);
  CU_ASSERT_EQUAL (front_waits_count (waits), 0);
}

/* Failure: a server restarts under load. It has a hash of its own then, and must be expected to be
 * as late as the others rather than fast. */
static void
test_restarted_server_is_not_fast (void)
{
  setup ();
  for (uint32_t i = 1; i <= 60; i++)
    add (1 + i % 6, i, i % 6 == 5 ? 0 : 2000, false, NOW + i * 20);
  CU_ASSERT (believed (6, NOW + 1200) < 300);
  CU_ASSERT (believed (600, NOW + 1200) > 1500);
}

/* Failure: half of the fronts are cut off from a server and find it silent, while the others don't.
 * This front, whose own answers there begin as predicted, must not shun it. */
static void
test_half_of_fronts_cut_off (void)
{
  setup ();
  for (uint32_t i = 1; i <= 12; i++)
    {
      told (3, i, 3000, AUTHOR + i % 3, NOW + i * 100);
      told (3, 100 + i, 0, AUTHOR + 10 + i % 3, NOW + i * 100 + 20);
      add (3, 200 + i, 0, false, NOW + i * 100 + 40);
    }
  CU_ASSERT (believed (3, NOW + 1240) < 200);
}

/* One front that tells absurd waits for all servers, without pause, is outvoted. */
static void
test_one_wrong_front_is_outvoted (void)
{
  setup ();
  for (uint32_t i = 1; i <= 8; i++)
    told (3, i, 150, AUTHOR + i, NOW + i);
  for (uint32_t i = 1; i <= 500; i++)
    told (3, 1000 + i, WAITS_MAX_MS, AUTHOR, NOW + 8 + i / 10);
  CU_ASSERT (believed (3, NOW + 60) < 300);
}

/* Size: 985 fronts tell of 10,000 servers. Rows are bounded; the latest are kept. */
static void
test_rows_are_bounded (void)
{
  setup ();
  for (uint32_t i = 1; i <= 10000; i++)
    told (i, i, 2000, AUTHOR + i % 984, NOW + i / 10);
  CU_ASSERT_EQUAL (front_waits_count (waits), WAITS_ROWS_MAX);
  CU_ASSERT (believed (10000, NOW + 1000) > 300);
  CU_ASSERT (believed (1, NOW + 1000) < 1);
}

/* Only this front's own samples are told, each once, the latest of a request, and none that has
 * become old. */
static void
test_own_samples_are_told (void)
{
  WaitReport out[WAITS_TOLD_MAX];

  setup ();
  told (4, 1, 2000, AUTHOR, NOW);
  add (3, 1, 400, true, NOW);
  add (3, 1, 900, true, NOW + 500);
  CU_ASSERT_EQUAL (front_waits_take (waits, out, WAITS_TOLD_MAX, NOW + 600), 1);
  CU_ASSERT_EQUAL (out[0].server, 3);
  CU_ASSERT_EQUAL (out[0].wait_ms, 900);
  CU_ASSERT_EQUAL (out[0].rank, RANK);
  CU_ASSERT_EQUAL (out[0].age_ms, 100);
  CU_ASSERT_EQUAL (front_waits_take (waits, out, WAITS_TOLD_MAX, NOW + 600), 0);
  for (uint32_t i = 1; i <= 100; i++)
    add (i, i, 2000, false, NOW + 700);
  CU_ASSERT_EQUAL (front_waits_take (waits, out, WAITS_TOLD_MAX, NOW + 700), WAITS_TOLD_MAX);
  add (3, 2, 2000, false, NOW + 800);
  CU_ASSERT_EQUAL (front_waits_take (waits, out, WAITS_TOLD_MAX, NOW + 5000), 0);
}

/* A server that turns requests away is full: its queue is at least as long as a slot takes. */
static void
test_full_server_is_slow (void)
{
  setup ();
  for (uint32_t i = 1; i <= 4; i++)
    CU_ASSERT (front_waits_full (
        waits,
        &(WaitSample){
            .server = 3, .service = SERVICE, .rank = RANK, .request = i, .wait_ms = -50 },
        NOW));
  CU_ASSERT (believed (3, NOW) > 200);
}

/* Bad input: nothing is taken in. */
static void
test_impossible_values_are_refused (void)
{
  static const double odd[] = { NAN, INFINITY, -INFINITY };
  WaitReport report = { .server = 3, .request = 1, .wait_ms = 500, .rank = RANK };
  WaitReport bad;

  setup ();
  for (size_t i = 0; i < SUITE_COUNT (odd); i++)
    CU_ASSERT (!add (3, 1, odd[i], false, NOW));
  CU_ASSERT (!front_waits_add (
      waits, &(WaitSample){ .server = 3, .rank = WAITS_RANKS, .wait_ms = 500 }, NOW));
  bad = report;
  bad.wait_ms = WAITS_MAX_MS + 1;
  CU_ASSERT (!front_waits_told (waits, &bad, AUTHOR, NOW));
  bad.wait_ms = UINT32_MAX;
  CU_ASSERT (!front_waits_told (waits, &bad, AUTHOR, NOW));
  bad = report;
  bad.rank = WAITS_RANKS;
  CU_ASSERT (!front_waits_told (waits, &bad, AUTHOR, NOW));
  bad = report;
  bad.age_ms = (uint32_t)-1; /* from the future */
  CU_ASSERT (!front_waits_told (waits, &bad, AUTHOR, NOW));
  bad.age_ms = WAITS_AGE_MAX_MS + 1;
  CU_ASSERT (!front_waits_told (waits, &bad, AUTHOR, NOW));
  CU_ASSERT (!front_waits_told (waits, &report, 0, NOW));
  CU_ASSERT_EQUAL (front_waits_count (waits), 0);
  add (3, 1, 1e300, false, NOW);
  CU_ASSERT (believed (3, NOW) <= WAITS_MAX_MS);
  CU_ASSERT_EQUAL (front_waits_general (NULL, SERVICE, 0, NOW).ms, 0);
}

static const SuiteCase cases[] = {
  { "calm_is_empty", test_calm_is_empty },
  { "burst_is_learned_from_all_servers", test_burst_is_learned_from_all_servers },
  { "ranks_are_apart", test_ranks_are_apart },
  { "silence_of_lost_servers", test_silence_of_lost_servers },
  { "silence_does_not_outlive_answers", test_silence_does_not_outlive_answers },
  { "short_silence_says_nothing", test_short_silence_says_nothing },
  { "server_turns_slow_and_back", test_server_turns_slow_and_back },
  { "outlier_counts_little", test_outlier_counts_little },
  { "stale_belief_ages_out", test_stale_belief_ages_out },
  { "calm_after_load_is_empty", test_calm_after_load_is_empty },
  { "restarted_server_is_not_fast", test_restarted_server_is_not_fast },
  { "half_of_fronts_cut_off", test_half_of_fronts_cut_off },
  { "one_wrong_front_is_outvoted", test_one_wrong_front_is_outvoted },
  { "rows_are_bounded", test_rows_are_bounded },
  { "own_samples_are_told", test_own_samples_are_told },
  { "full_server_is_slow", test_full_server_is_slow },
  { "impossible_values_are_refused", test_impossible_values_are_refused },
};

int
main (int argc, char **argv)
{
  int status = suite_main (argc, argv, "front_waits", cases, SUITE_COUNT (cases));

  front_waits_free (waits);
  return status;
}
