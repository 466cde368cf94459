#include "front_prompts.h"

/* Mixes the bits of two hashes so that one part under two models takes two slots. */
#define MIX 0x9e3779b97f4a7c15u

static uint64_t
part_key (uint64_t part, uint64_t model)
{
  uint64_t key = (part ^ model) * MIX;

  return key ? key : 1;
}

static unsigned
slot_of (uint64_t key)
{
  return (unsigned)(key >> 32) & (PROMPT_SLOTS - 1);
}

int64_t
front_prompts_cached (const FrontPrompts *prompts,
                      const FrontCall *call,
                      uint64_t model,
                      int64_t now_ms,
                      int64_t window_ms)
{
  int64_t tokens = 0;

  for (unsigned i = 0; i < call->part_count; i++)
    {
      uint64_t key = part_key (call->parts[i].id, model);
      unsigned slot = slot_of (key);

      if (prompts->keys[slot] != key || now_ms - prompts->used_ms[slot] > window_ms)
        break;
      tokens += call->parts[i].tokens;
    }
  return tokens;
}

void
front_prompts_sent (FrontPrompts *prompts, const FrontCall *call, uint64_t model, int64_t now_ms)
{
  for (unsigned i = 0; i < call->part_count; i++)
    {
      uint64_t key = part_key (call->parts[i].id, model);
      unsigned slot = slot_of (key);

      prompts->keys[slot] = key;
      prompts->used_ms[slot] = now_ms;
    }
}
