/** Admission control: src/choose_limit.c. */
#include "choose_limit.h"
#include "suite.h"
#include "util_id.h"
#include <pthread.h>
#include <string.h>

#define TEAMS      10
#define GATES      9
#define SETTLED_MS 1000000 /**< long after the first view */

static char names[TEAMS][8];
static ConfigTeam teams[TEAMS];
static Config config;
static LimitQuery query;

static Limiter *
setup (int64_t concurrent, int64_t tokens_per_s)
{
  Limiter *limiter = limiter_new (&limit_settings_default);
  unsigned i;

  for (i = 0; i < TEAMS; i++)
    {
      names[i][0] = 't';
      names[i][1] = (char)('0' + i);
      teams[i] = (ConfigTeam){
        .index = i,
        .name = names[i],
        .concurrent = concurrent,
        .tokens_per_s = tokens_per_s,
        .weight = 1,
      };
    }
  config = (Config){ .teams = teams, .team_count = TEAMS };
  query = (LimitQuery){
    .config = &config,
    .tokens = 100,
    .capacity = 100,
    .now_ms = SETTLED_MS,
    .deadline_ms = SETTLED_MS + 100000,
  };
  limiter_set_view (limiter, 1, 0, 0);
  return limiter;
}

static LimitVerdict
admit (Limiter *limiter, unsigned team)
{
  query.team = team;
  return limit_policy_default.admit (limiter, &query);
}

static unsigned
admit_many (Limiter *limiter, unsigned team, unsigned n)
{
  unsigned i, admitted = 0;

  for (i = 0; i < n; i++)
    admitted += admit (limiter, team).reason == REASON_NONE;
  return admitted;
}

static void
test_concurrent_requests_are_limited (void)
{
  Limiter *limiter = setup (5, 0);

  CU_ASSERT_EQUAL (admit_many (limiter, 0, 20), 5);
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_TEAM_LIMIT);
  CU_ASSERT (admit (limiter, 0).retry_after_ms > 0);
  CU_ASSERT_EQUAL (admit (limiter, 1).reason, REASON_NONE);
  limiter_end (limiter, &config, 0, 100, 100);
  CU_ASSERT_EQUAL (admit_many (limiter, 0, 20), 1);
  limiter_free (limiter);
}

static void
test_token_rate_is_limited (void)
{
  Limiter *limiter = setup (0, 1000);
  LimitVerdict verdict;

  /* The bucket holds two seconds of tokens, and one request may overdraw it. */
  CU_ASSERT_EQUAL (admit_many (limiter, 0, 100), 20);
  query.tokens = 5000;
  query.now_ms += 100;
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_NONE);
  verdict = admit (limiter, 0);
  CU_ASSERT_EQUAL (verdict.reason, REASON_TEAM_LIMIT);
  CU_ASSERT (verdict.retry_after_ms >= 4800 && verdict.retry_after_ms <= 5000);
  query.now_ms += verdict.retry_after_ms - 10;
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_TEAM_LIMIT);
  query.now_ms += 20;
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_NONE);
  /* The request used fewer tokens than it was admitted with. */
  limiter_end (limiter, &config, 0, 5000, 0);
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_NONE);
  limiter_free (limiter);
}

/* The shares of all ranks must add up to the limit; shares of unknown rank must not exceed it. */
static void
test_shares_add_up_to_the_limit (void)
{
  int64_t limit;
  unsigned members;
  int rank;

  for (limit = 0; limit < 40; limit++)
    {
      for (members = 1; members <= GATES; members++)
        {
          int64_t sum = 0, floors = 0;

          for (rank = 0; rank < (int)members; rank++)
            {
              sum += limit_share (limit, members, rank);
              floors += limit_share (limit, members, -1);
              CU_ASSERT (limit_share (limit, members, rank) >= limit_share (limit, members, -1));
            }
          CU_ASSERT_EQUAL (sum, limit);
          CU_ASSERT (floors <= limit);
        }
    }
}

/* With a limit of one request on nine VMs, eight of them have a share of zero. They must refuse the
   team with a retry-after time, not admit it because it has nothing in progress. */
static void
test_share_of_zero_refuses_with_retry_after (void)
{
  Limiter *limiter = setup (1, 0);

  limiter_set_view (limiter, GATES, 0, SETTLED_MS - 100000);
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_TEAM_LIMIT);
  CU_ASSERT (admit (limiter, 0).retry_after_ms > 0);
  limiter_set_view (limiter, GATES, GATES - 1, SETTLED_MS - 50000);
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_NONE);
  limiter_free (limiter);
}

/* The limit must hold while gates have different views. Three of nine VMs are cut off with the old
   view, and the others get a view of seven that includes a new VM. If the six raised their shares
   at once, or the new VM used its share while others still use theirs of the view without it, the
   team would exceed its limit for some seconds. */
static void
test_limit_holds_across_views (void)
{
  const int64_t limit = 18;
  Limiter *limiters[GATES + 1];
  unsigned i, total = 0;

  for (i = 0; i <= GATES; i++)
    {
      limiters[i] = setup (limit, 0);
      if (i < GATES)
        limiter_set_view (limiters[i], GATES, (int)i, SETTLED_MS - 100000);
    }
  /* Six gates have the new view of seven, in which the new VM is last; three don't. */
  for (i = 0; i < 6; i++)
    limiter_set_view (limiters[i], 7, (int)i, SETTLED_MS);
  limiter_free (limiters[GATES]);
  limiters[GATES] = limiter_new (&limit_settings_default);
  limiter_set_view (limiters[GATES], 7, 6, SETTLED_MS);
  query.now_ms = SETTLED_MS + 1;
  for (i = 0; i <= GATES; i++)
    total += admit_many (limiters[i], 0, 100);
  CU_ASSERT (total <= limit);
  CU_ASSERT_EQUAL (admit (limiters[GATES], 0).reason, REASON_TEAM_LIMIT);
  CU_ASSERT (admit (limiters[GATES], 0).retry_after_ms >= limit_settings_default.settle_ms - 10);
  /* By now the grants of the three have expired; the seven share the limit. */
  query.now_ms = SETTLED_MS + limit_settings_default.settle_ms;
  for (i = 0; i <= GATES; i++)
    {
      if (i >= 6 && i < GATES)
        total -= 2;
      else
        total += admit_many (limiters[i], 0, 100);
    }
  CU_ASSERT_EQUAL (total, limit);
  for (i = 0; i <= GATES; i++)
    limiter_free (limiters[i]);
}

/* When views change several times within seconds, the smallest share of all unsettled views
   applies. If only the newest and the last settled view were kept, one VM could use a ninth
   of the limit while others still use a fifth, or the other way round. */
static void
test_smallest_unsettled_share_applies (void)
{
  Limiter *limiter = setup (90, 0);
  unsigned i;

  limiter_set_view (limiter, 5, 0, SETTLED_MS - 100000);
  limiter_set_view (limiter, 10, 0, SETTLED_MS);
  limiter_set_view (limiter, 3, 0, SETTLED_MS + 10);
  query.now_ms = SETTLED_MS + 20;
  CU_ASSERT_EQUAL (admit_many (limiter, 0, 50), 9);
  query.now_ms = SETTLED_MS + 10 + limit_settings_default.settle_ms;
  query.capacity = 1000;
  CU_ASSERT_EQUAL (admit_many (limiter, 0, 100), 30 - 9);
  /* With more views than are kept there is no share until all are settled. */
  query.now_ms += 100000;
  query.deadline_ms = 0;
  for (i = 0; i < 100; i++)
    limiter_set_view (limiter, 2 + i % 2, 0, query.now_ms + i);
  query.now_ms += 100;
  CU_ASSERT_EQUAL (admit (limiter, 1).reason, REASON_TEAM_LIMIT);
  query.now_ms += limit_settings_default.settle_ms;
  CU_ASSERT_EQUAL (admit (limiter, 1).reason, REASON_NONE);
  limiter_free (limiter);
}

/* A team that sends a hundred times as much as the others must not take all the capacity, as it
   would with first come, first served. */
static void
test_flood_does_not_starve_others (void)
{
  Limiter *limiter = setup (0, 0);
  unsigned team, flooded;

  for (team = 0; team < TEAMS; team++)
    CU_ASSERT_EQUAL (admit_many (limiter, team, 1), 1);
  query.now_ms += 200;
  flooded = admit_many (limiter, 0, 1000);
  CU_ASSERT (flooded <= 70);
  for (team = 1; team < TEAMS; team++)
    CU_ASSERT (admit_many (limiter, team, 3) >= 3);
  limiter_free (limiter);
}

/** Runs an hour in which each team keeps wanted requests in progress, one of which ends each
 *  second. */
static void
run_hour (Limiter *limiter, const unsigned *wanted, unsigned *in_progress)
{
  unsigned team, i;

  for (i = 0; i < 3600; i++)
    {
      query.now_ms += 1000;
      for (team = 0; team < TEAMS; team++)
        {
          if (in_progress[team] > 0)
            {
              limiter_end (limiter, &config, team, 100, 100);
              in_progress[team]--;
            }
          in_progress[team] += admit_many (limiter, team, wanted[team] - in_progress[team]);
        }
    }
}

/* A big team without a configured weight must not be refused as if it flooded while a third of the
   capacity is idle: the number of requests that it has had in progress for an hour is its long-term
   mean. */
static void
test_steady_big_team_is_no_flood (void)
{
  static const unsigned wanted[TEAMS] = { 25, 5, 5, 5, 5, 5, 5, 5, 5, 5 };
  Limiter *limiter = setup (0, 0);
  unsigned in_progress[TEAMS] = { 0 };
  unsigned team;

  query.deadline_ms = query.now_ms + 100000000;
  run_hour (limiter, wanted, in_progress);
  for (team = 0; team < TEAMS; team++)
    CU_ASSERT (in_progress[team] >= wanted[team] - 1);
  /* The same number is a flood if it is sudden: three fair shares and one request, and no more. */
  query.now_ms += 200;
  CU_ASSERT_EQUAL (in_progress[1] + admit_many (limiter, 1, 100), 31);
  limiter_free (limiter);
}

static void
test_baseline_policies (void)
{
  Limiter *limiter = setup (1, 1);
  unsigned i, admitted = 0;

  query.team = 0;
  for (i = 0; i < 200; i++)
    admitted += limit_policy_find ("first-come")->admit (limiter, &query).reason == REASON_NONE;
  CU_ASSERT_EQUAL (admitted, query.capacity);
  CU_ASSERT_EQUAL (limit_policy_find ("none")->admit (limiter, &query).reason, REASON_NONE);
  CU_ASSERT_PTR_NULL (limit_policy_find ("lottery"));
  limiter_free (limiter);
}

/* A request that can't finish by its deadline must be refused at once with a retry-after time,
   instead of waiting in a queue until its deadline and failing then. */
static void
test_late_requests_are_refused_at_once (void)
{
  Limiter *limiter = setup (0, 0);
  LimitVerdict verdict;

  query.deadline_ms = query.now_ms + 5000;
  query.wait_ms = 4000;
  query.work_ms = 1001;
  verdict = admit (limiter, 0);
  CU_ASSERT_EQUAL (verdict.reason, REASON_OVERLOAD);
  CU_ASSERT_EQUAL (verdict.retry_after_ms, 4000);
  query.work_ms = 1000;
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_NONE);
  query.deadline_ms = query.now_ms;
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_DEADLINE_PAST);
  CU_ASSERT_EQUAL (admit (limiter, 0).retry_after_ms, 0);
  limiter_free (limiter);
}

/* Requests without a deadline can be sent again later, so they are refused first. */
static void
test_requests_without_deadline_are_refused_first (void)
{
  Limiter *limiter = setup (0, 0);
  unsigned team;

  query.deadline_ms = 0;
  for (team = 0; team < TEAMS; team++)
    admit_many (limiter, team, 100);
  CU_ASSERT_EQUAL (admit (limiter, 0).reason, REASON_OVERLOAD);
  query.deadline_ms = query.now_ms + 100000;
  query.now_ms += 200;
  CU_ASSERT_EQUAL (admit (limiter, 9).reason, REASON_NONE);
  limiter_free (limiter);
}

#define THREADS 4
#define ROUNDS  20000

static void *
admit_and_end (void *data)
{
  Limiter *limiter = data;
  LimitQuery q = query;
  unsigned i;

  for (i = 0; i < ROUNDS; i++)
    {
      q.team = i % TEAMS;
      if (limit_policy_default.admit (limiter, &q).reason == REASON_NONE)
        limiter_end (limiter, &config, q.team, q.tokens, q.tokens);
    }
  return NULL;
}

/* If admissions and ends were counted wrongly by concurrent threads, a team would lose part of its
   limit, or exceed it, until the gate restarts. */
static void
test_threads_admit_no_more_than_the_limit (void)
{
  Limiter *limiter = setup (3, 0);
  pthread_t threads[THREADS];
  unsigned i;

  for (i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, admit_and_end, limiter);
  for (i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  for (i = 0; i < TEAMS; i++)
    CU_ASSERT_EQUAL (admit_many (limiter, i, 10), 3);
  limiter_free (limiter);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "concurrent_requests_are_limited", test_concurrent_requests_are_limited },
    { "token_rate_is_limited", test_token_rate_is_limited },
    { "shares_add_up_to_the_limit", test_shares_add_up_to_the_limit },
    { "share_of_zero_refuses_with_retry_after", test_share_of_zero_refuses_with_retry_after },
    { "limit_holds_across_views", test_limit_holds_across_views },
    { "smallest_unsettled_share_applies", test_smallest_unsettled_share_applies },
    { "flood_does_not_starve_others", test_flood_does_not_starve_others },
    { "steady_big_team_is_no_flood", test_steady_big_team_is_no_flood },
    { "baseline_policies", test_baseline_policies },
    { "late_requests_are_refused_at_once", test_late_requests_are_refused_at_once },
    { "requests_without_deadline_are_refused_first",
      test_requests_without_deadline_are_refused_first },
    { "threads_admit_no_more_than_the_limit", test_threads_admit_no_more_than_the_limit },
  };

  return suite_main (argc, argv, "choose_limit", cases, SUITE_COUNT (cases));
}
