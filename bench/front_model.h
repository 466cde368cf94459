/**
 * Simulation of a platform's site on a virtual clock, to compare policies of lovage-front; the one
 * named "product" is lovage-front's own. The site has fronts with lovage-front's view of servers;
 * engines with a batch, a queue, a cache of prompt prefixes and three sizes of model; callers with
 * three classes of requests. Its parameters are in front_site.c. Times are in milliseconds.
 */
#ifndef FRONT_MODEL_H
#define FRONT_MODEL_H

#include "front_cascade.h"
#include "front_lag.h"
#include "front_pick.h"
#include <gsl/gsl_rng.h>

#define MODELS             3
#define CLASSES            3
#define MODEL_BATCH_MAX    64
#define MODEL_PROMPT_SLOTS 4096  /**< prompt parts that an engine's cache holds; a power of two */
#define MODEL_CALLS_MAX    80000 /**< requests of a simulation */

/** A class of requests. */
typedef struct
{
  const char *name;
  double share;         /**< of all requests */
  double worth;         /**< of an answer that begins within objective_ms */
  double late_worth;    /**< of one that begins later */
  int64_t objective_ms; /**< within which an answer should begin */
  int64_t deadline_ms;  /**< within which an answer must end to be worth anything */
  int64_t priority;
  double prompt_tokens;  /**< mean */
  double prompt_spread;  /**< standard deviation of the logarithm of the part that is not shared */
  double output_tokens;  /**< mean */
  int64_t shared_tokens; /**< length of the prompt's shared prefix */
  unsigned shared_prefixes; /**< number of different ones, all equally frequent */
} ModelClass;

/** A size of model. */
typedef struct
{
  double time_factor; /**< of reading the prompt and of generating a token */
  double quality;     /**< share of requests that it answers well */
  double price; /**< of 1,000 generated tokens, in units of worth; tokens of prompts cost a share of
                   it */
} ModelSize;

/** Load of the site, and the faults in the middle third of the simulated time. */
typedef struct
{
  const char *name;
  double rate;          /**< requests per second over all fronts */
  double burst_factor;  /**< of the rate in the middle third */
  double prompt_factor; /**< of the prompts' length */
  double lost_share;   /**< share of engines that are unreachable in the middle third; their running
                          requests still end */
  double slow_share;   /**< share of engines that are slow in the middle third */
  double slow_factor;  /**< of their times */
  double net_lead_min; /**< by which the product's net must exceed any other policy's; negative: the
                         most by which it may fall behind */
} Scenario;

/** Virtual time of a simulation, and its random numbers. */
typedef struct
{
  int64_t now_ms;
  gsl_rng *rng;
} Clock;

/** A policy under comparison: how a server is picked, and when a larger model is tried. */
typedef struct
{
  const char *name;
  unsigned first_model; /**< index of the model that is tried first */
  PickAnswer (*pick) (FrontServers *servers, const PickQuery *query, Clock *clock);
  CascadeStep (*step) (const CascadeCase *c);
} Policy;

typedef struct
{
  double in_time; /**< share of requests whose answer began within the objective and ended before
                     the deadline */
  double worth;   /**< earned, as a share of what all requests could earn */
  double price;   /**< of the models' work, as a share of what all requests could earn */
  double net;     /**< worth minus price */
  double first_p50_ms;
  double first_p99_ms;
  double other_domain; /**< share of attempts in another failure domain, printed as "far" */
  double reread; /**< share of prompt tokens read again although a cache could have held them */
} ModelResult;

extern const ModelClass model_classes[CLASSES];
extern const ModelSize model_sizes[MODELS];
extern const Scenario model_scenarios[];
extern const unsigned model_scenario_count;
extern const Policy model_policies[];
extern const unsigned model_policy_count;

/** Simulates a scenario under one policy; the same seed gives the same requests and result. */
ModelResult model_simulate (const Scenario *scenario, const Policy *policy, unsigned long seed);

/** A simulated engine. */
typedef struct
{
  bool lost;            /**< unreachable */
  double slowness;      /**< factor of all its times; 1: not slow */
  unsigned running;     /**< requests in the batch and in the queue */
  double read_until_ms; /**< prompts are read one after the other; when the last is done */
  uint64_t prompts[MODEL_PROMPT_SLOTS]; /**< cached prompt parts, by the hash of part and model */
} SiteEngine;

#define ENGINE_BATCH 24 /**< requests that an engine runs at once */
#define ENGINE_QUEUE 72 /**< further requests that wait at an engine */

/** True if the engine accepts another request, into its batch or its queue. */
bool site_engine_accepts (const SiteEngine *engine);
/** Milliseconds until the answer begins. Adds the prompt to the engine's cache, and sets
 *  *read_tokens to the prompt tokens that were not cached. */
double site_engine_first_ms (SiteEngine *engine,
                             const FrontCall *call,
                             unsigned model,
                             int64_t now_ms,
                             int64_t *read_tokens);
/** Milliseconds from the answer's beginning to its end. */
double site_engine_rest_ms (const SiteEngine *engine, double tokens, unsigned model);

#endif
