/** Answer times of a plain service's servers: src/front_answer_time.c. */
#include "front_answer_time.h"
#include "suite.h"
#include <math.h>

#define NOW     1000000
#define SERVICE 7
#define USUAL   30.0 /* milliseconds */
#define SLOW    120.0

typedef struct
{
  FrontAnswerTimes times;
  AnswerTime servers[3];
  int64_t now_ms;
} World;

/* Each server answers once a second, as one of 27 fronts sees it. */
static void
run (World *world, unsigned rounds, double first_ms)
{
  for (unsigned i = 0; i < rounds; i++)
    {
      for (unsigned s = 0; s < 3; s++)
        front_answer_times_add (&world->times, SERVICE, &world->servers[s],
                                s == 0 ? first_ms : USUAL, world->now_ms + INT64_C (300) * s);
      world->now_ms += 1000;
    }
}

static double
extra (const World *world, unsigned server)
{
  return answer_time_extra_ms (&world->servers[server],
                               front_answer_times_typical_ms (&world->times, SERVICE),
                               world->now_ms);
}

static void
test_one_slow_server_of_three (void)
{
  World world = { .now_ms = NOW };

  run (&world, 20, USUAL);
  CU_ASSERT (fabs (extra (&world, 0)) < 1);
  run (&world, 3, SLOW);
  CU_ASSERT (extra (&world, 0) > 20);
  CU_ASSERT (extra (&world, 0) > extra (&world, 1) + 20);
  run (&world, 5, USUAL);
  CU_ASSERT (extra (&world, 0) < 10);
}

/* Guards against a storm of changes: if all become slow none is worse than the others. */
static void
test_service_that_turns_slow_as_a_whole (void)
{
  World world = { .now_ms = NOW };

  run (&world, 20, USUAL);
  for (unsigned i = 0; i < 60; i++)
    front_answer_times_add (&world.times, SERVICE, &world.servers[i % 3], SLOW,
                            world.now_ms += 300);
  CU_ASSERT (front_answer_times_typical_ms (&world.times, SERVICE) > SLOW * 0.8);
  CU_ASSERT (fabs (extra (&world, 0) - extra (&world, 1)) < 5);
}

static void
test_server_without_requests_is_tried_again (void)
{
  World world = { .now_ms = NOW };

  run (&world, 20, USUAL);
  run (&world, 3, SLOW);
  world.now_ms += 10000;
  CU_ASSERT (extra (&world, 0) < 3);
}

/* Guards against a server that hangs: it gives no answers by which it could be told. */
static void
test_missing_answers_count (void)
{
  World world = { .now_ms = NOW };
  double usual;

  run (&world, 20, USUAL);
  usual = front_answer_times_typical_ms (&world.times, SERVICE);
  answer_time_add_missing (&world.servers[0], usual, 3 * USUAL, world.now_ms);
  answer_time_add_missing (&world.servers[0], usual, 6 * USUAL, world.now_ms + 90);
  world.now_ms += 90;
  CU_ASSERT (extra (&world, 0) > 40);
  CU_ASSERT_DOUBLE_EQUAL (front_answer_times_typical_ms (&world.times, SERVICE), usual, 0);
  answer_time_add_missing (&world.servers[1], usual, 1, world.now_ms);
  CU_ASSERT (extra (&world, 1) > -1);
}

static void
test_bad_values_are_ignored (void)
{
  static const double values[] = { -1, NAN, INFINITY, 1e12 };
  World world = { .now_ms = NOW };

  CU_ASSERT_EQUAL (front_answer_times_typical_ms (&world.times, SERVICE), 0);
  CU_ASSERT_EQUAL (answer_time_extra_ms (&world.servers[0], 0, NOW), 0);
  run (&world, 5, USUAL);
  for (unsigned i = 0; i < SUITE_COUNT (values); i++)
    {
      front_answer_times_add (&world.times, SERVICE, &world.servers[0], values[i], world.now_ms);
      answer_time_add_missing (&world.servers[0], USUAL, values[i], world.now_ms);
    }
  CU_ASSERT (fabs (extra (&world, 0)) < 1);
}

static void
test_more_services_than_are_kept (void)
{
  World world = { .now_ms = NOW };

  for (uint64_t service = 1; service <= ANSWER_SERVICES_MAX + 4; service++)
    front_answer_times_add (&world.times, service, &world.servers[0], USUAL,
                            NOW + (int64_t)service);
  CU_ASSERT_EQUAL (front_answer_times_typical_ms (&world.times, 1), 0);
  CU_ASSERT_DOUBLE_EQUAL (front_answer_times_typical_ms (&world.times, ANSWER_SERVICES_MAX + 4),
                          USUAL, 0.1);
}

static const SuiteCase cases[] = {
  { "one_slow_server_of_three", test_one_slow_server_of_three },
  { "service_that_turns_slow_as_a_whole", test_service_that_turns_slow_as_a_whole },
  { "server_without_requests_is_tried_again", test_server_without_requests_is_tried_again },
  { "missing_answers_count", test_missing_answers_count },
  { "bad_values_are_ignored", test_bad_values_are_ignored },
  { "more_services_than_are_kept", test_more_services_than_are_kept },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_answer_time", cases, SUITE_COUNT (cases));
}
