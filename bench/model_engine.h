/**
 * Simulated model engine on a virtual clock: a batch of slots, a queue per priority in order of
 * arrival, and a cache of prompt prefixes. The time per token rises as the batch fills.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ENGINE_SLOTS_MAX 64
#define ENGINE_PREFIXES  24     /**< prompt prefixes that the cache holds */
#define ENGINE_HISTORY   128    /**< samples of the load that are kept */
#define ENGINE_SAMPLE_US 100000 /**< between two samples */
#define ENGINE_QUEUE_MAX 2048   /**< work items of each priority */

/** One attempt of a request at the engine. */
typedef struct
{
  unsigned request;
  unsigned attempt;       /**< of the request, counted over all its stages */
  unsigned version;       /**< of the configuration */
  double time_factor;     /**< of the version: 2 takes twice the time per token */
  unsigned prompt_tokens; /**< of which prefix_tokens need no reading if cached */
  unsigned prefix_tokens;
  unsigned output_tokens;
  uint64_t prefix;   /**< hash of the shared prompt prefix; 0: none */
  bool low_priority; /**< waits until no other work is queued */
  bool crashes;      /**< the engine dies when this work starts */
  bool dropped;      /**< cancelled while queued; skipped when its turn comes */
} EngineWork;

/** Ring buffer in order of arrival. */
typedef struct
{
  EngineWork entries[ENGINE_QUEUE_MAX];
  unsigned head, count;
} EngineQueue;

typedef struct
{
  bool up;
  bool ignores_cancel;
  unsigned slots;       /**< size of the batch */
  double slowness;      /**< factor of all times; 1: as most engines */
  unsigned incarnation; /**< incremented at each death */
  unsigned running;
  unsigned running_requests[ENGINE_SLOTS_MAX];
  unsigned running_attempts[ENGINE_SLOTS_MAX];
  EngineQueue queues[2];              /**< normal and low priority */
  unsigned dropped;                   /**< queued work items that were cancelled and will not run */
  uint64_t prefixes[ENGINE_PREFIXES]; /**< most recent first */
  unsigned history[ENGINE_HISTORY];   /**< ring buffer of loads: running and queued, one per
                                         ENGINE_SAMPLE_US */
  unsigned samples;                   /**< taken so far */
} ModelEngine;

/** Times from the start of a work item to its first and to its last token. */
typedef struct
{
  int64_t first_us;
  int64_t done_us;
} EngineTimes;

void engine_init (ModelEngine *engine, unsigned slots, double slowness);
/** False if the queue is full. */
bool engine_enqueue (ModelEngine *engine, const EngineWork *work);
/** Moves the next queued work into a free slot and sets *work and *times; false if no work is
 *  queued, no slot is free or the engine is down. If the work crashes the engine, the caller
 *  calls engine_die. */
bool engine_start (ModelEngine *engine, EngineWork *work, EngineTimes *times);
/** Frees the slot of a work item that ended; false if it was cancelled earlier. */
bool engine_end (ModelEngine *engine, unsigned request, unsigned attempt);
/** The caller left: removes the work from the queue or from its slot, unless the engine ignores
 *  cancels. */
void engine_cancel (ModelEngine *engine, unsigned request, unsigned attempt);
/** Loses the running and queued work and the cache. The engine stays down until engine_restart. */
void engine_die (ModelEngine *engine);
void engine_restart (ModelEngine *engine);
/** Adds the present load to the history. */
void engine_sample (ModelEngine *engine);
/** The load lag_us ago, from the history. */
unsigned engine_load_before (const ModelEngine *engine, int64_t lag_us);
/** Number of running and queued work items. */
unsigned engine_load (const ModelEngine *engine);
bool engine_has_prefix (const ModelEngine *engine, uint64_t prefix);

#endif
