/** Teams that send far more than others: src/front_team_use.c. */
#include "front_team_use.h"
#include "suite.h"
#include <string.h>

#define START     100000 /* milliseconds */
#define SERVICE   11
#define TEAMS     24
#define TEAMS_MAX 200
#define SEED      1u

typedef struct
{
  FrontTeamUse use;
  unsigned random;
  unsigned sent[TEAMS_MAX], in_turn[TEAMS_MAX];
} World;

static World world;

static void
world_reset (void)
{
  memset (&world, 0, sizeof world);
  world.random = SEED;
}

static double
draw (void)
{
  world.random = world.random * 1664525u + 1013904223u;
  return (world.random >> 8) / (double)(1u << 24);
}

/* Requests of the teams in proportion to their weights, per_s of them, for a time. */
static void
play (const double *weights,
      unsigned teams,
      double per_s,
      bool is_loaded,
      int64_t from_ms,
      int64_t to_ms)
{
  double all = 0;

  memset (world.sent, 0, sizeof world.sent);
  memset (world.in_turn, 0, sizeof world.in_turn);
  for (unsigned i = 0; i < teams; i++)
    all += weights[i];
  for (double at = (double)from_ms; at < (double)to_ms; at += 2000.0 / per_s * draw ())
    {
      double left = all * draw ();
      unsigned team = 0;

      while (team + 1 < teams && (left -= weights[team]) >= 0)
        team++;
      world.sent[team]++;
      world.in_turn[team]
          += front_team_use_add (&world.use, SERVICE, team + 1, is_loaded, (int64_t)at);
    }
}

static double
share_in_turn (unsigned team)
{
  return (double)world.in_turn[team] / world.sent[team];
}

static void
equal_weights (double *weights, unsigned teams)
{
  for (unsigned i = 0; i < teams; i++)
    weights[i] = 1;
}

/* Load: one team of 24 sends twenty times as much as each of the others. */
static void
test_hot_team_comes_behind (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  weights[3] = 20;
  world_reset ();
  play (weights, TEAMS, 20, true, START, START + 5000);
  play (weights, TEAMS, 20, true, START + 5000, START + 25000);
  CU_ASSERT (share_in_turn (3) < 0.75);
  CU_ASSERT (share_in_turn (3) > 0.1);
  for (unsigned i = 0; i < TEAMS; i++)
    CU_ASSERT (i == 3 || world.in_turn[i] == world.sent[i]);
}

/* Load: the hot team stops; its usual requests are in turn again after some seconds. */
static void
test_hot_team_comes_back (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  weights[3] = 20;
  world_reset ();
  play (weights, TEAMS, 40, true, START, START + 10000);
  CU_ASSERT (share_in_turn (3) < 0.75);
  weights[3] = 1;
  play (weights, TEAMS, 24, true, START + 10000, START + 16000);
  play (weights, TEAMS, 24, true, START + 16000, START + 30000);
  CU_ASSERT (world.sent[3] > 0);
  CU_ASSERT_EQUAL (world.in_turn[3], world.sent[3]);
}

/* Load: four of 24 teams send twenty times as much as the others. Together they have what the
 * others leave, not three times what these send. */
static void
test_several_hot_teams_share_what_is_served (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  for (unsigned i = 0; i < 4; i++)
    weights[i] = 20;
  world_reset ();
  play (weights, TEAMS, 200, true, START, START + 5000);
  play (weights, TEAMS, 200, true, START + 5000, START + 25000);
  for (unsigned i = 0; i < 4; i++)
    {
      CU_ASSERT (share_in_turn (i) > 0.68);
      CU_ASSERT (share_in_turn (i) < 1);
    }
}

/* Load: one team sends two and a half times as much as each of the others, within what it may. This
 * front gets a random sample of that, and sets it back for hardly one request of a hundred. */
static void
test_chance_sets_nobody_back (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  weights[3] = 2.5;
  world_reset ();
  play (weights, TEAMS, 100, true, START, START + 100000);
  CU_ASSERT (share_in_turn (3) > 0.99);
}

/* Load: teams that all send the same, on a busy day: chance alone sets nobody back. */
static void
test_equal_teams_stay_in_turn (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  world_reset ();
  play (weights, TEAMS, 200, true, START, START + 20000);
  for (unsigned i = 0; i < TEAMS; i++)
    CU_ASSERT_EQUAL (world.in_turn[i], world.sent[i]);
}

/* Without load, room is given to whoever asks. */
static void
test_unloaded_service_serves_all_in_turn (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  weights[3] = 50;
  world_reset ();
  play (weights, TEAMS, 100, false, START, START + 10000);
  CU_ASSERT_EQUAL (world.in_turn[3], world.sent[3]);
}

/* One team alone has nobody to come behind. */
static void
test_single_team_stays_in_turn (void)
{
  static const double weights[] = { 1 };

  world_reset ();
  play (weights, 1, 200, true, START, START + 10000);
  CU_ASSERT_EQUAL (world.in_turn[0], world.sent[0]);
}

/* Load: 985 fronts, each of which gets one request per second: too few to tell teams apart, so
 * nobody is set back by chance. */
static void
test_few_requests_tell_nothing (void)
{
  double weights[TEAMS];

  equal_weights (weights, TEAMS);
  weights[0] = 7;
  world_reset ();
  play (weights, TEAMS, 1, true, START, START + 60000);
  CU_ASSERT_EQUAL (world.in_turn[0], world.sent[0]);
}

/* Load: more teams than records; the hot one is still found, and no small team is set back. */
static void
test_many_teams (void)
{
  double weights[TEAMS_MAX];

  equal_weights (weights, TEAMS_MAX);
  weights[7] = 100;
  world_reset ();
  play (weights, TEAMS_MAX, 100, true, START, START + 20000);
  CU_ASSERT (share_in_turn (7) < 0.9);
  for (unsigned i = 0; i < TEAMS_MAX; i++)
    CU_ASSERT (i == 7 || world.in_turn[i] == world.sent[i]);
}

/* A clock that stands still, or steps back, changes no count. */
static void
test_time_does_not_run_backwards (void)
{
  FrontTeamUse *use = &world.use;

  world_reset ();
  for (unsigned i = 0; i < 20; i++)
    front_team_use_add (use, SERVICE, 1, true, START - i * 1000);
  CU_ASSERT_DOUBLE_EQUAL (use->uses[0].received, 20, 0.001);
}

static const SuiteCase cases[] = {
  { "hot_team_comes_behind", test_hot_team_comes_behind },
  { "hot_team_comes_back", test_hot_team_comes_back },
  { "several_hot_teams_share_what_is_served", test_several_hot_teams_share_what_is_served },
  { "chance_sets_nobody_back", test_chance_sets_nobody_back },
  { "equal_teams_stay_in_turn", test_equal_teams_stay_in_turn },
  { "unloaded_service_serves_all_in_turn", test_unloaded_service_serves_all_in_turn },
  { "single_team_stays_in_turn", test_single_team_stays_in_turn },
  { "few_requests_tell_nothing", test_few_requests_tell_nothing },
  { "many_teams", test_many_teams },
  { "time_does_not_run_backwards", test_time_does_not_run_backwards },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_team_use", cases, SUITE_COUNT (cases));
}
