/**
 * Which parts of prompts one backend server probably still has in its cache, by what this process
 * sent there. A table in which a newer part displaces an older one with the same slot, made when
 * the first prompt is sent: of 3,000 servers a front uses some dozen, and 24 MB stood empty.
 */
#ifndef FRONT_PROMPTS_H
#define FRONT_PROMPTS_H

#include "front_call.h"

#define PROMPT_SLOTS 512 /**< a power of two; 8 KiB a server that is used */

typedef struct
{
  uint64_t key; /**< hash of part and model; 0: empty */
  int64_t used_ms;
} PromptSlot;

typedef struct
{
  PromptSlot *slots; /**< PROMPT_SLOTS of them; NULL: nothing was sent */
} FrontPrompts;

void front_prompts_clear (FrontPrompts *prompts);

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
/** The same for the parts that other requests share, all but the last one: a caller asks for them.
 */
void
front_prompts_asked (FrontPrompts *prompts, const FrontCall *call, uint64_t model, int64_t now_ms);

#endif
