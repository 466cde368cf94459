#include "front_prompts.h"
#include "util_memory.h"
#include <stdlib.h>

/* Mixes the bits of part and model, so that one part under two models takes two slots. */
#define MIX 0x9e3779b97f4a7c15u

static uint64_t
part_key (uint64_t part, uint64_t model)
{
  uint64_t key = (part ^ model) * MIX;

  return key ? key : 1;
}

static PromptSlot *
slot_of (const FrontPrompts *prompts, uint64_t key)
{
  return &prompts->slots[(unsigned)(key >> 32) & (PROMPT_SLOTS - 1)];
}

void
front_prompts_clear (FrontPrompts *prompts)
{
  free (prompts->slots);
  prompts->slots = NULL;
}

int64_t
front_prompts_cached (const FrontPrompts *prompts,
                      const FrontCall *call,
                      uint64_t model,
                      int64_t now_ms,
                      int64_t window_ms)
{
  int64_t tokens = 0;

  if (!prompts->slots)
    return 0;
  for (unsigned i = 0; i < call->part_count; i++)
    {
      uint64_t key = part_key (call->parts[i].id, model);
      const PromptSlot *slot = slot_of (prompts, key);

      if (slot->key != key || now_ms - slot->used_ms > window_ms)
        break;
      tokens += call->parts[i].tokens;
    }
  return tokens;
}

static void
record (FrontPrompts *prompts,
        const FrontCall *call,
        unsigned parts,
        uint64_t model,
        int64_t now_ms)
{
  if (!prompts->slots)
    prompts->slots = memory_array (PROMPT_SLOTS, sizeof *prompts->slots);
  for (unsigned i = 0; i < parts; i++)
    {
      uint64_t key = part_key (call->parts[i].id, model);

      *slot_of (prompts, key) = (PromptSlot){ .key = key, .used_ms = now_ms };
    }
}

void
front_prompts_sent (FrontPrompts *prompts, const FrontCall *call, uint64_t model, int64_t now_ms)
{
  record (prompts, call, call->part_count, model, now_ms);
}

void
front_prompts_requested (FrontPrompts *prompts,
                         const FrontCall *call,
                         uint64_t model,
                         int64_t now_ms)
{
  record (prompts, call, call->part_count ? call->part_count - 1 : 0, model, now_ms);
}
