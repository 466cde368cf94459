/* The modelled site: figures that the users publish for one of theirs, rounded. */
#include "front_model.h"
#include "util_id.h"
#include <math.h>

const ModelClass model_classes[CLASSES] = {
  { .name = "drafts",
    .share = 0.21,
    .worth = 5.3,
    .late_worth = 1.6,
    .objective_ms = 2000,
    .deadline_ms = 15000,
    .priority = 1,
    .prompt_tokens = 6600,
    .prompt_spread = 1.2,
    .output_tokens = 380,
    .shared_tokens = 5000,
    .things = 609 },
  { .name = "checks",
    .share = 0.27,
    .worth = 1.7,
    .late_worth = 0.5,
    .objective_ms = 1500,
    .deadline_ms = 12000,
    .priority = 0,
    .prompt_tokens = 630,
    .prompt_spread = 0.9,
    .output_tokens = 290,
    .shared_tokens = 120,
    .things = 40 },
  { .name = "queries",
    .share = 0.52,
    .worth = 0.33,
    .late_worth = 0.1,
    .objective_ms = 1500,
    .deadline_ms = 4000,
    .priority = 2,
    .prompt_tokens = 1800,
    .prompt_spread = 1.1,
    .output_tokens = 23,
    .shared_tokens = 560,
    .things = 40 },
};

const ModelSize model_sizes[MODELS] = {
  { .pace = 0.3, .quality = 0.58, .price = 0.016 },
  { .pace = 0.8, .quality = 0.67, .price = 0.12 },
  { .pace = 3.0, .quality = 1.0, .price = 0.24 },
};

#define RATE 820.0

/* Where nothing is short, simpler policies do as well: one bar is 0.007 ahead at most, and seeds
 * differ by 0.005. In a burst and with long prompts the product earns 0.058 and 0.035 more than the
 * next one; without the lag of answers the smallest model alone is ahead of it in the burst. */
#define AS_GOOD      (-0.02)
#define CLEARLY_MORE 0.02

const Scenario model_scenarios[] = {
  { .name = "calm", .rate = RATE, .burst = 1, .long_times = 1, .ahead_least = AS_GOOD },
  { .name = "burst", .rate = RATE, .burst = 4, .long_times = 1, .ahead_least = CLEARLY_MORE },
  { .name = "long-prompts",
    .rate = RATE,
    .burst = 1,
    .long_times = 3,
    .ahead_least = CLEARLY_MORE },
  { .name = "engines-lost",
    .rate = RATE,
    .burst = 1.3,
    .long_times = 1,
    .lost = 0.17,
    .ahead_least = AS_GOOD },
  { .name = "engines-slow",
    .rate = RATE,
    .burst = 1,
    .long_times = 1,
    .slow = 0.15,
    .slow_times = 8,
    .ahead_least = AS_GOOD },
};
const unsigned model_scenario_count = sizeof model_scenarios / sizeof model_scenarios[0];

#define STEP_MS       2.2   /* a token of each request in the batch */
#define READ_A_MS     140.0 /* tokens of prompts */
#define FIRST_BASE_MS 53.0
/* Reading holds up the batch; about this much of a token's time at full load. */
#define READ_BESIDE 0.6

bool
site_engine_takes (const SiteEngine *engine)
{
  return engine->running < ENGINE_BATCH + ENGINE_QUEUE;
}

static uint64_t *
prompt_slot (SiteEngine *engine, uint64_t key)
{
  return &engine->prompts[key % MODEL_PROMPTS];
}

/* Parts are cached from the first on: behind a missing part nothing can be kept. */
static int64_t
read_prompt (SiteEngine *engine, const FrontCall *call, unsigned model)
{
  int64_t cached = 0;
  bool whole = true;

  for (unsigned i = 0; i < call->part_count; i++)
    {
      uint64_t key = id_hash (&call->parts[i].id, sizeof call->parts[i].id, model + 1);
      uint64_t *slot = prompt_slot (engine, key);

      whole = whole && *slot == key;
      cached += whole ? call->parts[i].tokens : 0;
      *slot = key;
    }
  return call->prompt_tokens - cached;
}

double
site_engine_first_ms (SiteEngine *engine,
                      const FrontCall *call,
                      unsigned model,
                      int64_t now_ms,
                      int64_t *read_tokens)
{
  double begin_ms = fmax (engine->read_until_ms, (double)now_ms);
  double read_ms;
  unsigned queued = engine->running > ENGINE_BATCH ? engine->running - ENGINE_BATCH : 0;

  *read_tokens = read_prompt (engine, call, model);
  read_ms = (double)*read_tokens / READ_A_MS * model_sizes[model].pace * engine->slowness;
  engine->read_until_ms = begin_ms + read_ms;
  return begin_ms - (double)now_ms + read_ms
         + (FIRST_BASE_MS * model_sizes[model].pace + queued * STEP_MS * 20) * engine->slowness;
}

double
site_engine_rest_ms (const SiteEngine *engine, double tokens, unsigned model)
{
  double full = fmin ((double)engine->running / ENGINE_BATCH, 1);

  return tokens * STEP_MS * model_sizes[model].pace * (1 + READ_BESIDE * full) * engine->slowness;
}
