/** Lag of answers by rank: src/front_rank_lag.c. */
#include "front_rank_lag.h"
#include "suite.h"
#include <string.h>

#define NOW     100000 /* milliseconds */
#define SERVICE 3u
#define OTHER   4u

static FrontRankLag lag;

static void
add (int64_t rank, double lag_ms, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    front_rank_lag_add (&lag, SERVICE, rank, lag_ms, NOW);
}

/* Load: a burst of the least urgent kind. Its own answers are late, the urgent ones are not. */
static void
test_burst_delays_its_own_rank_only (void)
{
  memset (&lag, 0, sizeof lag);
  add (3, 10, 40);
  add (5, 2400, 5);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 5, NOW), 2400, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 3, NOW), 10, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, OTHER, 5, NOW), 0, 0.001);
}

/* Load: one server of many is slow, and answers a fifth of the requests late. */
static void
test_one_slow_server_is_no_lag (void)
{
  memset (&lag, 0, sizeof lag);
  for (unsigned i = 0; i < 50; i++)
    {
      add (3, i % 5 == 0 ? 3000 : -20, 1);
      CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 3, NOW), 0, 0.001);
    }
}

/* A single late answer tells nothing of the service. */
static void
test_few_answers_tell_nothing (void)
{
  memset (&lag, 0, sizeof lag);
  add (3, 5000, 3);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 3, NOW), 0, 0.001);
}

/* Load: the overload ends. The lag is forgotten within some seconds, at once if answers are in
 * time. */
static void
test_lag_ends (void)
{
  memset (&lag, 0, sizeof lag);
  add (3, 3000, 9);
  CU_ASSERT (front_rank_lag_now (&lag, SERVICE, 3, NOW + 3000) > 2000);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 3, NOW + 5000), 0, 0.001);
  add (3, 0, 5);
  CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, SERVICE, 3, NOW), 0, 0.001);
}

/* More services than records: the bounded table keeps the newest. */
static void
test_table_is_bounded (void)
{
  memset (&lag, 0, sizeof lag);
  for (unsigned service = 1; service <= 500; service++)
    {
      for (unsigned i = 0; i < 5; i++)
        front_rank_lag_add (&lag, service, 9, 700, NOW + service);
      CU_ASSERT_DOUBLE_EQUAL (front_rank_lag_now (&lag, service, 9, NOW + service), 700, 0.001);
    }
}

static const SuiteCase cases[] = {
  { "burst_delays_its_own_rank_only", test_burst_delays_its_own_rank_only },
  { "one_slow_server_is_no_lag", test_one_slow_server_is_no_lag },
  { "few_answers_tell_nothing", test_few_answers_tell_nothing },
  { "lag_ends", test_lag_ends },
  { "table_is_bounded", test_table_is_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_rank_lag", cases, SUITE_COUNT (cases));
}
