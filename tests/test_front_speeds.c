/** Learned reading speeds: src/front_speeds.c. */
#include "front_speeds.h"
#include "suite.h"
#include <math.h>
#include <stdlib.h>

#define MODEL_HASH 7

/* Milliseconds that an engine needs for an uncached prompt. */
static double
engine_ms (double tokens_per_ms, double pair_share, double tokens)
{
  return tokens / tokens_per_ms * (1 + pair_share * tokens / 2);
}

static double
uniform (unsigned *seed)
{
  return (double)rand_r (seed) / RAND_MAX;
}

/* Feeds the answers of an engine with that speed; for late of 100, another front's prompt of up to
 * 200 ms was read first. */
static void
simulate_answers (FrontSpeeds *speeds,
                  double tokens_per_ms,
                  unsigned answers,
                  unsigned late,
                  unsigned *seed)
{
  for (unsigned i = 0; i < answers; i++)
    {
      int64_t tokens = 1000 + (int64_t)(uniform (seed) * 15000);
      double wait_ms = uniform (seed) * 100 < late ? 200 * uniform (seed) : 0;
      SpeedSample sample = {
        .model = MODEL_HASH,
        .prior = front_speeds_prior (1, 3),
        .tokens = tokens,
        .prompt_tokens = tokens,
        .read_ms = engine_ms (tokens_per_ms, 3.5e-5, (double)tokens) + wait_ms,
        .overhead_ms = 50 + wait_ms,
      };

      front_speeds_add (speeds, &sample, i);
    }
}

static double
learned_ms (const FrontSpeeds *speeds, int64_t tokens)
{
  ReadTime prior = front_speeds_prior (1, 3);
  ReadTime time = front_speeds_of (speeds, MODEL_HASH, &prior);

  return read_time_ms (&time, tokens, tokens);
}

/* Engines that read 30, 92 and 400 tokens per ms, among other fronts' prompts: after 60 answers,
 * about ten seconds at one of nine fronts, predictions must be within a third. A fixed value would
 * be wrong by a factor of 3.6 at the extremes, and so would be the predicted cost of a larger
 * model's answer. */
static void
test_learns_read_speed (void)
{
  static const double tokens_per_ms[] = { 30, 92, 400 };
  unsigned seed = 1;

  for (size_t i = 0; i < SUITE_COUNT (tokens_per_ms); i++)
    {
      FrontSpeeds speeds = { 0 };
      double right = engine_ms (tokens_per_ms[i], 3.5e-5, 8000);

      simulate_answers (&speeds, tokens_per_ms[i], 60, 30, &seed);
      CU_ASSERT (learned_ms (&speeds, 8000) > right / 1.34);
      CU_ASSERT (learned_ms (&speeds, 8000) < right * 1.34);
    }
}

/* Engines become four times as slow, as with a failing cooler: half of the change must be learned
 * after 40 answers, and unlearned when they are repaired. */
static void
test_adapts_to_speed_change (void)
{
  FrontSpeeds speeds = { 0 };
  unsigned seed = 2;
  double usual;

  simulate_answers (&speeds, 110, 100, 20, &seed);
  usual = learned_ms (&speeds, 8000);
  simulate_answers (&speeds, 110 / 4.0, 40, 20, &seed);
  CU_ASSERT (learned_ms (&speeds, 8000) > 2 * usual);
  simulate_answers (&speeds, 110, 60, 20, &seed);
  CU_ASSERT (learned_ms (&speeds, 8000) < 1.4 * usual);
}

/* A server that hangs for a minute, a wrong clock, a prompt whose cached part is longer than the
 * prompt: one such answer may move the prediction by a tenth at most, or not at all. */
static void
test_outlier_has_bounded_effect (void)
{
  static const double odd_ms[] = { 60000, 1e300, -500, 0, INFINITY, -INFINITY, NAN };

  for (size_t i = 0; i < SUITE_COUNT (odd_ms); i++)
    {
      FrontSpeeds speeds = { 0 };
      SpeedSample sample = {
        .model = MODEL_HASH,
        .prior = front_speeds_prior (1, 3),
        .tokens = 8000,
        .prompt_tokens = 8000,
        .read_ms = odd_ms[i],
        .overhead_ms = odd_ms[i],
      };
      double before = learned_ms (&speeds, 8000);

      front_speeds_add (&speeds, &sample, 1);
      CU_ASSERT (fabs (learned_ms (&speeds, 8000) / before - 1) <= 0.1);
      CU_ASSERT (fabs (front_speeds_first_ms (&speeds) / 60 - 1) <= 0.1);
    }
}

static void
test_ignores_impossible_prompts (void)
{
  static const int64_t prompts[][2] = { { -5, 100 }, { 200, 100 }, { INT64_MAX, 0 } };

  for (size_t i = 0; i < SUITE_COUNT (prompts); i++)
    {
      FrontSpeeds speeds = { 0 };
      SpeedSample sample = { .model = MODEL_HASH,
                             .prior = front_speeds_prior (0, 1),
                             .tokens = prompts[i][0],
                             .prompt_tokens = prompts[i][1],
                             .read_ms = 1000,
                             .overhead_ms = 1000 };

      front_speeds_add (&speeds, &sample, 1);
      CU_ASSERT_EQUAL (speeds.first_ms, 0);
      CU_ASSERT_EQUAL (speeds.models[0].model, 0);
    }
}

/* With more models than entries, the least recently seen one is evicted. */
static void
test_evicts_least_recently_seen_model (void)
{
  FrontSpeeds speeds = { 0 };

  for (uint64_t i = 0; i <= SPEEDS_MODELS_MAX; i++)
    {
      SpeedSample sample = { .model = 100 + i,
                             .prior = front_speeds_prior (0, 1),
                             .tokens = 8000,
                             .prompt_tokens = 8000,
                             .read_ms = 1e6,
                             .overhead_ms = 60 };

      front_speeds_add (&speeds, &sample, (int64_t)i + 1);
    }
  for (uint64_t i = 0; i <= SPEEDS_MODELS_MAX; i++)
    {
      ReadTime prior = front_speeds_prior (0, 1);
      ReadTime time = front_speeds_of (&speeds, 100 + i, &prior);

      CU_ASSERT_EQUAL (time.ms_per_token > prior.ms_per_token, i > 0);
    }
}

/* The prior rises with a model's rank, and reading time grows faster than the prompt's length. */
static void
test_prior_grows_with_rank_and_length (void)
{
  ReadTime small = front_speeds_prior (0, 3), middle = front_speeds_prior (1, 3),
           large = front_speeds_prior (2, 3), only = front_speeds_prior (0, 1);

  CU_ASSERT (small.ms_per_token < middle.ms_per_token);
  CU_ASSERT (middle.ms_per_token < large.ms_per_token);
  CU_ASSERT (only.ms_per_token > small.ms_per_token && only.ms_per_token < large.ms_per_token);
  CU_ASSERT (read_time_ms (&middle, 40000, 40000) > 4.5 * read_time_ms (&middle, 10000, 10000));
  CU_ASSERT (read_time_ms (&middle, 1000, 40000) > 2 * read_time_ms (&middle, 1000, 1000));
  CU_ASSERT_EQUAL (read_time_ms (&middle, 0, 40000), 0);
  CU_ASSERT (read_time_ms (&large, INT64_MAX, INT64_MAX) <= 60000);
}

static const SuiteCase cases[] = {
  { "learns_read_speed", test_learns_read_speed },
  { "adapts_to_speed_change", test_adapts_to_speed_change },
  { "outlier_has_bounded_effect", test_outlier_has_bounded_effect },
  { "ignores_impossible_prompts", test_ignores_impossible_prompts },
  { "evicts_least_recently_seen_model", test_evicts_least_recently_seen_model },
  { "prior_grows_with_rank_and_length", test_prior_grows_with_rank_and_length },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_speeds", cases, SUITE_COUNT (cases));
}
