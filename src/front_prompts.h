/**
 * Estimates which prompt parts one backend server has in its cache, from what this process sent
 * there. A hash table in which a newer part replaces an older one in the same slot. It is allocated
 * when the first prompt is sent: a front uses a few dozen of 3,000 servers, and tables for all
 * would take 24 MB.
 */
#ifndef FRONT_PROMPTS_H
#define FRONT_PROMPTS_H

#include "front_call.h"

#define PROMPT_SLOTS 512 /**< power of two; 8 KiB per server in use */

typedef struct
{
  uint64_t key; /**< hash of part and model; 0: empty */
  int64_t used_ms;
} PromptSlot;

typedef struct
{
  PromptSlot *slots; /**< PROMPT_SLOTS entries; NULL: nothing was sent */
} FrontPrompts;

void front_prompts_clear (FrontPrompts *prompts);

/** Tokens of the call's prompt that need not be read again: those of its leading parts that the
 *  server read for this model within window_ms. */
int64_t front_prompts_cached (const FrontPrompts *prompts,
                              const FrontCall *call,
                              uint64_t model,
                              int64_t now_ms,
                              int64_t window_ms);
/** Records that the server is reading this prompt. */
void
front_prompts_sent (FrontPrompts *prompts, const FrontCall *call, uint64_t model, int64_t now_ms);
/** Records a caller's request for the parts that requests share: all but the last one. */
void front_prompts_requested (FrontPrompts *prompts,
                              const FrontCall *call,
                              uint64_t model,
                              int64_t now_ms);

#endif
