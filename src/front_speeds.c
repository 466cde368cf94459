#include "front_speeds.h"
#include <math.h>
#include <stddef.h>

/* Prior values, used before any answer has been seen. Two types of engines read 92 and 140 tokens
 * per millisecond with their middle-sized model; the smallest and the largest are faster and slower
 * by about these factors. A token takes twice as long with 24,000 to 31,000 tokens before it. */
#define PRIOR_TOKENS_PER_MS 110.0
#define PRIOR_PAIR_FACTOR   3.5e-5 /* of a token's time, for each token before it */
#define SMALLEST_FACTOR     0.3
#define LARGEST_FACTOR      3.0
#define FIRST_MS_PRIOR      60.0 /* the two types of engines need 53 and 60 */

/* An answer raises the factor by STEP * TARGET_QUANTILE or lowers it by the rest of STEP, so that
 * TARGET_QUANTILE of the answers are below the prediction. Queues that no front reported make
 * answers late, and caches filled by other fronts make few of them early, so the quantile is below
 * one half. */
#define STEP            0.1
#define TARGET_QUANTILE 0.4
#define FACTOR_MIN      0.05
#define FACTOR_MAX      20.0
/* Milliseconds. A shorter reading time can't be distinguished from the engine's steps for other
 * requests. Where all prompts are that short, the prior stays. */
#define READ_MIN_MS 10.0
/* The same for the time to the first event; half of the answers are to be below it. */
#define FIRST_STEP   0.05
#define FIRST_MIN_MS 1.0
#define FIRST_MAX_MS 2000.0

/* Milliseconds, more than any caller waits. A caller that claims a prompt of a quintillion tokens
 * would otherwise make a server's pending work so large that all other terms are lost in
 * rounding. */
#define READ_MAX_MS 60000.0

double
read_time_ms (const ReadTime *time, int64_t tokens, int64_t prompt_tokens)
{
  double n = (double)tokens;
  double before
      = (double)prompt_tokens - n / 2; /* average number of tokens before one that is read */

  return fmin (n * time->ms_per_token + n * before * time->ms_per_pair, READ_MAX_MS);
}

ReadTime
front_speeds_prior (unsigned rank, unsigned models)
{
  double factor = 1;
  double ms;

  if (models > 1)
    factor = SMALLEST_FACTOR * pow (LARGEST_FACTOR / SMALLEST_FACTOR, (double)rank / (models - 1));
  ms = factor / PRIOR_TOKENS_PER_MS;
  return (ReadTime){ .ms_per_token = ms, .ms_per_pair = ms * PRIOR_PAIR_FACTOR };
}

static const ModelSpeed *
speed_find (const FrontSpeeds *speeds, uint64_t model)
{
  for (unsigned i = 0; i < SPEEDS_MODELS_MAX; i++)
    {
      if (speeds->models[i].model == model)
        return &speeds->models[i];
    }
  return NULL;
}

/* The entry of the model; a new one replaces the least recently used. */
static ModelSpeed *
speed_get (FrontSpeeds *speeds, uint64_t model)
{
  ModelSpeed *oldest = &speeds->models[0];

  for (unsigned i = 0; i < SPEEDS_MODELS_MAX; i++)
    {
      ModelSpeed *speed = &speeds->models[i];

      if (speed->model == model)
        return speed;
      if (speed->used_ms < oldest->used_ms)
        oldest = speed;
    }
  *oldest = (ModelSpeed){ .model = model, .factor = 1 };
  return oldest;
}

static ReadTime
scaled (const ReadTime *prior, double factor)
{
  return (ReadTime){ .ms_per_token = prior->ms_per_token * factor,
                     .ms_per_pair = prior->ms_per_pair * factor };
}

ReadTime
front_speeds_of (const FrontSpeeds *speeds, uint64_t model, const ReadTime *prior)
{
  const ModelSpeed *speed = speed_find (speeds, model);

  return speed ? scaled (prior, speed->factor) : *prior;
}

double
front_speeds_weight (const ReadTime *time)
{
  return time->ms_per_token * PRIOR_TOKENS_PER_MS;
}

double
front_speeds_first_ms (const FrontSpeeds *speeds)
{
  return speeds->first_ms > 0 ? speeds->first_ms : FIRST_MS_PRIOR;
}

static double
clamp (double value, double min, double max)
{
  return fmin (fmax (value, min), max);
}

static void
learn_first_ms (FrontSpeeds *speeds, double overhead_ms)
{
  double known = front_speeds_first_ms (speeds);
  double step = overhead_ms > known ? FIRST_STEP : -FIRST_STEP;

  speeds->first_ms = clamp (known * (1 + step), FIRST_MIN_MS, FIRST_MAX_MS);
}

void
front_speeds_add (FrontSpeeds *speeds, const SpeedSample *sample, int64_t now_ms)
{
  ModelSpeed *speed;
  ReadTime known;
  double expected_ms, step;

  if (!isfinite (sample->read_ms) || !isfinite (sample->overhead_ms) || sample->tokens < 0
      || sample->prompt_tokens < sample->tokens)
    return;
  learn_first_ms (speeds, sample->overhead_ms);
  speed = speed_get (speeds, sample->model);
  speed->used_ms = now_ms;
  known = scaled (&sample->prior, speed->factor);
  expected_ms = read_time_ms (&known, sample->tokens, sample->prompt_tokens);
  if (expected_ms < READ_MIN_MS)
    return;
  step = sample->read_ms > expected_ms ? STEP * TARGET_QUANTILE : -STEP * (1 - TARGET_QUANTILE);
  speed->factor = clamp (speed->factor * (1 + step), FACTOR_MIN, FACTOR_MAX);
}
