#include "model_engine.h"

#include "util_assert.h"
#include <string.h>

#define PREFILL_BASE_MS     20.0
#define PREFILL_TOKEN_MS    0.25 /**< per prompt token that is not cached */
#define TOKEN_MS            10.0 /**< per generated token, with an empty batch */
#define TOKEN_FULL_BATCH_MS 8.0  /**< added to TOKEN_MS with a full batch */
#define US_PER_MS           1000.0

void
engine_init (ModelEngine *engine, unsigned slots, double slowness)
{
  INVARIANT (slots > 0 && slots <= ENGINE_SLOTS_MAX, "slots=%u", slots);
  *engine = (ModelEngine){ .up = true, .slots = slots, .slowness = slowness };
}

bool
engine_enqueue (ModelEngine *engine, const EngineWork *work)
{
  EngineQueue *queue = &engine->queues[work->low_priority];

  if (queue->count == ENGINE_QUEUE_MAX)
    return false;
  queue->entries[(queue->head + queue->count) % ENGINE_QUEUE_MAX] = *work;
  queue->count++;
  return true;
}

/** Removes the next work from the queues; low priority only if there is no other. */
static bool
queue_pop (ModelEngine *engine, EngineWork *work)
{
  EngineQueue *queue = &engine->queues[engine->queues[0].count == 0];

  if (queue->count == 0)
    return false;
  *work = queue->entries[queue->head];
  queue->head = (queue->head + 1) % ENGINE_QUEUE_MAX;
  queue->count--;
  return true;
}

/** Makes the prefix the cache's most recent one; returns true if it was cached already. */
static bool
prefix_use (ModelEngine *engine, uint64_t prefix)
{
  unsigned i;
  bool found = false;

  for (i = 0; i < ENGINE_PREFIXES - 1; i++)
    {
      if (engine->prefixes[i] == prefix)
        break;
    }
  found = engine->prefixes[i] == prefix;
  memmove (&engine->prefixes[1], &engine->prefixes[0], i * sizeof engine->prefixes[0]);
  engine->prefixes[0] = prefix;
  return found;
}

bool
engine_start (ModelEngine *engine, EngineWork *work, EngineTimes *times)
{
  double prompt, first_ms, token_ms;

  for (;;)
    {
      if (!engine->up || engine->running == engine->slots || !queue_pop (engine, work))
        return false;
      if (!work->dropped)
        break;
      engine->dropped--;
    }
  engine->running_requests[engine->running] = work->request;
  engine->running_attempts[engine->running] = work->attempt;
  engine->running++;
  prompt = work->prompt_tokens;
  if (work->prefix != 0 && prefix_use (engine, work->prefix))
    prompt -= work->prefix_tokens;
  first_ms = PREFILL_BASE_MS + prompt * PREFILL_TOKEN_MS * work->time_factor;
  token_ms = TOKEN_MS + TOKEN_FULL_BATCH_MS * engine->running / engine->slots;
  first_ms *= engine->slowness;
  token_ms *= engine->slowness * work->time_factor;
  times->first_us = (int64_t)(first_ms * US_PER_MS);
  times->done_us = (int64_t)((first_ms + token_ms * work->output_tokens) * US_PER_MS);
  return true;
}

static bool
running_remove (ModelEngine *engine, unsigned request, unsigned attempt)
{
  unsigned i;

  for (i = 0; i < engine->running; i++)
    {
      if (engine->running_requests[i] != request || engine->running_attempts[i] != attempt)
        continue;
      engine->running--;
      engine->running_requests[i] = engine->running_requests[engine->running];
      engine->running_attempts[i] = engine->running_attempts[engine->running];
      return true;
    }
  return false;
}

bool
engine_end (ModelEngine *engine, unsigned request, unsigned attempt)
{
  return running_remove (engine, request, attempt);
}

/** Marks a queued work item as dropped; false if it is not in the queue. */
static bool
queue_drop (EngineQueue *queue, unsigned request, unsigned attempt)
{
  unsigned i;

  for (i = 0; i < queue->count; i++)
    {
      EngineWork *work = &queue->entries[(queue->head + i) % ENGINE_QUEUE_MAX];

      if (work->request != request || work->attempt != attempt || work->dropped)
        continue;
      work->dropped = true;
      return true;
    }
  return false;
}

void
engine_cancel (ModelEngine *engine, unsigned request, unsigned attempt)
{
  if (engine->ignores_cancel)
    return;
  if (queue_drop (&engine->queues[0], request, attempt)
      || queue_drop (&engine->queues[1], request, attempt))
    engine->dropped++;
  else
    running_remove (engine, request, attempt);
}

void
engine_die (ModelEngine *engine)
{
  engine->up = false;
  engine->incarnation++;
  engine->running = 0;
  engine->queues[0].count = 0;
  engine->queues[1].count = 0;
  engine->dropped = 0;
  memset (engine->prefixes, 0, sizeof engine->prefixes);
}

void
engine_restart (ModelEngine *engine)
{
  engine->up = true;
}

unsigned
engine_load (const ModelEngine *engine)
{
  return engine->running + engine->queues[0].count + engine->queues[1].count - engine->dropped;
}

void
engine_sample (ModelEngine *engine)
{
  engine->history[engine->samples++ % ENGINE_HISTORY] = engine_load (engine);
}

unsigned
engine_load_before (const ModelEngine *engine, int64_t lag_us)
{
  unsigned back = (unsigned)(lag_us / ENGINE_SAMPLE_US);

  INVARIANT (back < ENGINE_HISTORY, "back=%u", back);
  if (engine->samples <= back)
    return 0;
  return engine->history[(engine->samples - 1 - back) % ENGINE_HISTORY];
}

bool
engine_has_prefix (const ModelEngine *engine, uint64_t prefix)
{
  unsigned i;

  for (i = 0; i < ENGINE_PREFIXES; i++)
    {
      if (engine->prefixes[i] == prefix)
        return true;
    }
  return false;
}
