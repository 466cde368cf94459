/* Parameters of the simulated site: rounded figures published for a real one; and its engines. */
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
    .shared_prefixes = 609 },
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
    .shared_prefixes = 40 },
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
    .shared_prefixes = 40 },
};

const ModelSize model_sizes[MODELS] = {
  { .time_factor = 0.3, .quality = 0.58, .price = 0.016 },
  { .time_factor = 0.8, .quality = 0.67, .price = 0.12 },
  { .time_factor = 3.0, .quality = 1.0, .price = 0.24 },
};

#define RATE 820.0 /* requests per second */

/* Bounds of the product's lead in net over any other policy. With spare capacity, simpler policies
 * do as well: a single confidence threshold leads by at most 0.007, and seeds differ by 0.005. In a
 * burst and with long prompts the product leads the next best policy by 0.058 and 0.035; if it did
 * not consider the lag of answers, using only the smallest model would beat it in the burst. */
#define NET_DEFICIT_ALLOWED (-0.02)
#define NET_LEAD_REQUIRED   0.02

const Scenario model_scenarios[] = {
  { .name = "calm",
    .rate = RATE,
    .burst_factor = 1,
    .prompt_factor = 1,
    .net_lead_min = NET_DEFICIT_ALLOWED },
  { .name = "burst",
    .rate = RATE,
    .burst_factor = 4,
    .prompt_factor = 1,
    .net_lead_min = NET_LEAD_REQUIRED },
  { .name = "long-prompts",
    .rate = RATE,
    .burst_factor = 1,
    .prompt_factor = 3,
    .net_lead_min = NET_LEAD_REQUIRED },
  { .name = "engines-lost",
    .rate = RATE,
    .burst_factor = 1.3,
    .prompt_factor = 1,
    .lost_share = 0.17,
    .net_lead_min = NET_DEFICIT_ALLOWED },
  { .name = "engines-slow",
    .rate = RATE,
    .burst_factor = 1,
    .prompt_factor = 1,
    .slow_share = 0.15,
    .slow_factor = 8,
    .net_lead_min = NET_DEFICIT_ALLOWED },
};
const unsigned model_scenario_count = sizeof model_scenarios / sizeof model_scenarios[0];

#define TOKEN_MS      2.2   /* to generate a token for each request in the batch */
#define READ_PER_MS   140.0 /* prompt tokens, with an empty batch */
#define FIRST_BASE_MS 53.0  /* to the first token, besides reading and queueing */
#define QUEUED_TOKENS 20    /* times TOKEN_MS: wait per request in the queue */
/* Reading prompts delays the batch: at full load by about this share of a token's time. */
#define READ_DELAY_SHARE 0.6

bool
site_engine_accepts (const SiteEngine *engine)
{
  return engine->running < ENGINE_BATCH + ENGINE_QUEUE;
}

static uint64_t *
prompt_slot (SiteEngine *engine, uint64_t key)
{
  return &engine->prompts[key % MODEL_PROMPT_SLOTS];
}

/* Returns the number of tokens that are not cached. A part can only be reused if all parts before
 * it are cached. */
static int64_t
read_prompt (SiteEngine *engine, const FrontCall *call, unsigned model)
{
  int64_t cached = 0;
  bool all_cached = true;

  for (unsigned i = 0; i < call->part_count; i++)
    {
      uint64_t key = id_hash (&call->parts[i].id, sizeof call->parts[i].id, model + 1);
      uint64_t *slot = prompt_slot (engine, key);

      all_cached = all_cached && *slot == key;
      cached += all_cached ? call->parts[i].tokens : 0;
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
  read_ms = (double)*read_tokens / READ_PER_MS * model_sizes[model].time_factor * engine->slowness;
  engine->read_until_ms = begin_ms + read_ms;
  return begin_ms - (double)now_ms + read_ms
         + (FIRST_BASE_MS * model_sizes[model].time_factor + queued * TOKEN_MS * QUEUED_TOKENS)
               * engine->slowness;
}

double
site_engine_rest_ms (const SiteEngine *engine, double tokens, unsigned model)
{
  double load = fmin ((double)engine->running / ENGINE_BATCH, 1);

  return tokens * TOKEN_MS * model_sizes[model].time_factor * (1 + READ_DELAY_SHARE * load)
         * engine->slowness;
}
