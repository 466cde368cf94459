/**
 * Which parts of prompts one backend server probably still has in its cache, by what this process
 * sent there. A fixed table in which a newer part displaces an older one with the same slot.
 */
#ifndef FRONT_PROMPTS_H
#define FRONT_PROMPTS_H

#include "front_call.h"

#define PROMPT_SLOTS 512 /**< a power of two; 8 KiB a server */

typedef struct
{
  uint64_t keys[PROMPT_SLOTS]; /**< hash of part and model */
  int64_t used_ms[PROMPT_SLOTS];
} FrontPrompts;

/** Tokens of the call's prompt that need not be read again: those of its first parts that the
 *  server read for this model within window_ms. */
int64_t front_prompts_cached (const FrontPrompts *prompts,
                              const FrontCall *call,
                              uint64_t model,
                              int64_t now_ms,
                              int64_t window_ms);
/** The server is reading this prompt. */
void
front_prompts_sent (FrontPrompts *prompts, const FrontCall *call, uint64_t model, int64_t now_ms);

#endif
