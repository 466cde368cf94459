/** Ranks by team and route: src/front_urgency.c. */
#include "front_urgency.h"
#include "suite.h"

#define KINDS_MAX 8

static unsigned
level (const UrgencyRoute *routes, unsigned count, unsigned at)
{
  unsigned levels[KINDS_MAX] = { 0 };

  front_urgency_levels (routes, count, levels);
  return levels[at];
}

/* Load: the least urgent kind sends four times as much; it must come after both others, which
 * have the same objective. */
static void
test_burst_of_least_urgent_comes_last (void)
{
  static const UrgencyRoute routes[] = {
    { .priority = 2, .timeout_ms = 20000, .objective_ms = 4000 },
    { .priority = 0, .timeout_ms = 15000, .objective_ms = 1500 },
    { .priority = 1, .timeout_ms = 4000, .objective_ms = 1500 },
  };

  CU_ASSERT_EQUAL (level (routes, 3, 0), 1);
  CU_ASSERT_EQUAL (level (routes, 3, 1), 0);
  CU_ASSERT_EQUAL (level (routes, 3, 2), 0);
}

/* Starvation: the callers of a least urgent kind leave after 5 s, while answers of a more urgent
 * one may begin after 4 s. */
static void
test_short_deadline_is_not_starved (void)
{
  static const UrgencyRoute routes[] = {
    { .priority = 0, .timeout_ms = 25000, .objective_ms = 4000 },
    { .priority = 1, .timeout_ms = 20000, .objective_ms = 4000 },
    { .priority = 2, .timeout_ms = 5000, .objective_ms = 8000 },
  };

  CU_ASSERT_EQUAL (level (routes, 3, 0), 0);
  CU_ASSERT_EQUAL (level (routes, 3, 1), 0);
  CU_ASSERT_EQUAL (level (routes, 3, 2), 0);
}

/* Starvation: a kind that can wait for the most urgent one, but not for the next. */
static void
test_short_deadline_beside_two_kinds (void)
{
  static const UrgencyRoute routes[] = {
    { .priority = 0, .timeout_ms = 9000, .objective_ms = 1000 },
    { .priority = 1, .timeout_ms = 30000, .objective_ms = 8000 },
    { .priority = 2, .timeout_ms = 5000, .objective_ms = 8000 },
  };

  CU_ASSERT_EQUAL (level (routes, 3, 2), 1);
}

/* Bad input: priorities of routes in any range, more of them than levels, and no routes. */
static void
test_levels_are_bounded (void)
{
  UrgencyRoute routes[] = {
    { .priority = INT64_MIN, .timeout_ms = 1000, .objective_ms = 10 },
    { .priority = -4, .timeout_ms = 1000, .objective_ms = 20 },
    { .priority = 7, .timeout_ms = 1000, .objective_ms = 40 },
    { .priority = 900, .timeout_ms = 1000, .objective_ms = 80 },
    { .priority = INT64_MAX, .timeout_ms = 1000, .objective_ms = 160 },
    { .priority = 7, .timeout_ms = 1000, .objective_ms = 40 },
  };
  static const unsigned expected[] = { 0, 1, 2, 2, 2, 2 };

  for (unsigned i = 0; i < SUITE_COUNT (routes); i++)
    CU_ASSERT_EQUAL (level (routes, SUITE_COUNT (routes), i), expected[i]);
  front_urgency_levels (routes, 0, NULL);
}

static UrgencyTeams
teams_of (const int64_t *priorities, unsigned count, unsigned *odd)
{
  UrgencyTeams teams = { 0 };

  *odd = 0;
  for (unsigned i = 0; i < count; i++)
    *odd += !front_urgency_add_team (&teams, priorities[i]);
  return teams;
}

/* Load: kinds that compete while nearly all teams have the same priority: the route must still
 * count, and a more urgent team's least urgent kind comes before another's most urgent one. */
static void
test_route_counts_within_team (void)
{
  static const int64_t priorities[] = { 1, 1, 0, 1, 2 };
  unsigned odd;
  UrgencyTeams teams = teams_of (priorities, SUITE_COUNT (priorities), &odd);
  unsigned first = front_urgency_team_place (&teams, 0);
  unsigned usual = front_urgency_team_place (&teams, 1);
  unsigned last = front_urgency_team_place (&teams, 2);

  CU_ASSERT_EQUAL (odd, 0);
  CU_ASSERT (front_urgency_rank (usual, 0) < front_urgency_rank (usual, 2));
  CU_ASSERT (front_urgency_rank (first, 2) < front_urgency_rank (usual, 0));
  CU_ASSERT (front_urgency_rank (usual, 2) < front_urgency_rank (last, 0));
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, URGENCY_PRIORITY_NONE), usual);
}

/* Bad input: teams with priorities out of range are placed like the middle of the others. */
static void
test_priorities_out_of_range_are_the_middle (void)
{
  static const int64_t priorities[] = { 3, 8, 8, -7, 10, INT64_MAX, -1 };
  static const int64_t none[] = { -1, 44 };
  unsigned odd;
  UrgencyTeams teams = teams_of (priorities, SUITE_COUNT (priorities), &odd);

  CU_ASSERT_EQUAL (odd, 3);
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, 3), 0);
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, 8), 1);
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, -7), 1);
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, INT64_MAX), 1);
  teams = teams_of (none, SUITE_COUNT (none), &odd);
  CU_ASSERT_EQUAL (odd, 1);
  CU_ASSERT_EQUAL (front_urgency_team_place (&teams, 44), 0);
}

/* Load: a hot team. Its requests of a kind with a short time-out don't come behind a kind that they
 * can't wait for; those of the others do. */
static void
test_hot_team_does_not_starve (void)
{
  static const UrgencyRoute routes[] = {
    { .priority = 2, .timeout_ms = 20000, .objective_ms = 4000 },
    { .priority = 0, .timeout_ms = 15000, .objective_ms = 1500 },
    { .priority = 1, .timeout_ms = 4000, .objective_ms = 1500 },
  };
  unsigned levels[KINDS_MAX];

  front_urgency_levels (routes, 3, levels);
  CU_ASSERT (front_urgency_may_yield (routes, levels, 3, 0));
  CU_ASSERT (front_urgency_may_yield (routes, levels, 3, 1));
  CU_ASSERT (!front_urgency_may_yield (routes, levels, 3, 2));
}

/* Load: a hot team. Its requests come one behind, so a kind two levels later, for which they can't
 * wait, doesn't keep them before the others. */
static void
test_only_the_next_level_is_waited_for (void)
{
  static const UrgencyRoute routes[] = {
    { .priority = 0, .timeout_ms = 9000, .objective_ms = 1000 },
    { .priority = 1, .timeout_ms = 30000, .objective_ms = 2000 },
    { .priority = 2, .timeout_ms = 60000, .objective_ms = 8000 },
  };
  unsigned levels[KINDS_MAX];

  front_urgency_levels (routes, 3, levels);
  CU_ASSERT_EQUAL (levels[2], 2);
  CU_ASSERT (front_urgency_may_yield (routes, levels, 3, 0));
}

/* Starvation: a request that was late at two servers; one that is late for the first time, as most
 * of a burst of its kind are, keeps its place. */
static void
test_half_of_the_time_gone_comes_first (void)
{
  CU_ASSERT (!front_urgency_is_pressed (0, 20000));
  CU_ASSERT (!front_urgency_is_pressed (5000, 15000));
  CU_ASSERT (!front_urgency_is_pressed (9999, 10001));
  CU_ASSERT (front_urgency_is_pressed (10000, 10000));
  CU_ASSERT (front_urgency_is_pressed (19000, 1000));
}

/* Load: none. A route whose objective is 0 counts its service as loaded no sooner than answers are
 * late; otherwise its hottest team would always come behind. */
static void
test_service_on_time_is_not_loaded (void)
{
  CU_ASSERT (!front_urgency_is_loaded (0, 1500));
  CU_ASSERT (!front_urgency_is_loaded (374, 1500));
  CU_ASSERT (front_urgency_is_loaded (375, 1500));
  CU_ASSERT (!front_urgency_is_loaded (0, 0));
  CU_ASSERT (front_urgency_is_loaded (100, 0));
}

/* Whatever the places and levels, ranks stay within what servers accept. */
static void
test_ranks_are_bounded (void)
{
  CU_ASSERT_EQUAL (front_urgency_rank (9, 2), URGENCY_RANK_MAX);
  CU_ASSERT_EQUAL (front_urgency_rank_behind (URGENCY_RANK_MAX), URGENCY_RANK_MAX);
  CU_ASSERT (front_urgency_rank_behind (front_urgency_rank (0, 0)) > front_urgency_rank (0, 0));
}

static const SuiteCase cases[] = {
  { "burst_of_least_urgent_comes_last", test_burst_of_least_urgent_comes_last },
  { "short_deadline_is_not_starved", test_short_deadline_is_not_starved },
  { "short_deadline_beside_two_kinds", test_short_deadline_beside_two_kinds },
  { "levels_are_bounded", test_levels_are_bounded },
  { "route_counts_within_team", test_route_counts_within_team },
  { "priorities_out_of_range_are_the_middle", test_priorities_out_of_range_are_the_middle },
  { "hot_team_does_not_starve", test_hot_team_does_not_starve },
  { "only_the_next_level_is_waited_for", test_only_the_next_level_is_waited_for },
  { "half_of_the_time_gone_comes_first", test_half_of_the_time_gone_comes_first },
  { "service_on_time_is_not_loaded", test_service_on_time_is_not_loaded },
  { "ranks_are_bounded", test_ranks_are_bounded },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_urgency", cases, SUITE_COUNT (cases));
}
