/**
 * A model of a platform's site on a virtual clock, to play policies of lovage-front against each
 * other: fronts with the product's own view of servers, engines with a batch, a queue, a cache of
 * prompts and three sizes of model, callers of three kinds. Figures of one modelled site stand in
 * front_site.c; times are in milliseconds.
 */
#ifndef FRONT_MODEL_H
#define FRONT_MODEL_H

#include "front_cascade.h"
#include "front_lag.h"
#include "front_pick.h"
#include <gsl/gsl_rng.h>

#define MODELS          3
#define CLASSES         3
#define MODEL_BATCH_MAX 64
#define MODEL_PROMPTS   4096 /**< parts of prompts that an engine's cache holds; a power of two */
#define MODEL_CALLS_MAX 80000

/** A kind of request. */
typedef struct
{
  const char *name;
  double share; /**< of all requests */
  double worth; /**< of an answer in time */
  double late_worth;
  int64_t objective_ms; /**< in which an answer should begin */
  int64_t deadline_ms;
  int64_t priority;
  double prompt_tokens;  /**< mean */
  double prompt_spread;  /**< of the logarithm */
  double output_tokens;  /**< mean */
  int64_t shared_tokens; /**< of the prompt, the same for one thing */
  unsigned things;
} ModelClass;

/** A size of model. */
typedef struct
{
  double pace;    /**< times of reading and of a token, against the engine's own */
  double quality; /**< share of requests that it answers well */
  double price; /**< of 1,000 tokens generated, in units of worth; also if the answer is dropped */
} ModelSize;

/** What is modelled, and what happens meanwhile. */
typedef struct
{
  const char *name;
  double rate;       /**< requests a second, all together */
  double burst;      /**< times the rate in the middle third */
  double long_times; /**< prompts' length, against the usual */
  double lost; /**< share of engines that can't be reached in the middle third; what they run still
                  ends */
  double slow; /**< share of engines that are slow_times slower in the middle third */
  double slow_times;
  double ahead_least; /**< what the product must earn more than any other policy; below zero: less
                         at most */
} Scenario;

typedef struct
{
  int64_t now_ms;
  gsl_rng *rng;
} Clock;

/** What differs between policies. */
typedef struct
{
  const char *name;
  unsigned first_model;
  PickAnswer (*pick) (FrontServers *servers, const PickQuery *query, Clock *clock);
  CascadeStep (*step) (const CascadeCase *c);
} Policy;

typedef struct
{
  double in_time; /**< share of requests */
  double worth;   /**< earned, of what could be */
  double price;   /**< of models, of what could be earned */
  double net;     /**< worth less price */
  double first_p50_ms;
  double first_p99_ms;
  double far;    /**< share of attempts in another failure domain */
  double reread; /**< share of prompts' tokens read though a cache might have had them */
} ModelResult;

extern const ModelClass model_classes[CLASSES];
extern const ModelSize model_sizes[MODELS];
extern const Scenario model_scenarios[];
extern const unsigned model_scenario_count;
extern const Policy model_policies[];
extern const unsigned model_policy_count;

/** Plays one policy; the same seed gives the same requests and the same result. */
ModelResult model_play (const Scenario *scenario, const Policy *policy, unsigned long seed);

/** An engine. */
typedef struct
{
  bool lost;
  double slowness;
  unsigned running;
  double read_until_ms; /**< prompts are read one after the other */
  uint64_t prompts[MODEL_PROMPTS];
} SiteEngine;

#define ENGINE_BATCH 24
#define ENGINE_QUEUE 72

/** True if it takes one more. */
bool site_engine_takes (const SiteEngine *engine);
/** Milliseconds until the answer begins; the prompt is in the cache after that. *read_tokens are
 *  those that it had to read. */
double site_engine_first_ms (SiteEngine *engine,
                             const FrontCall *call,
                             unsigned model,
                             int64_t now_ms,
                             int64_t *read_tokens);
/** Milliseconds from the answer's begin to its end. */
double site_engine_rest_ms (const SiteEngine *engine, double tokens, unsigned model);

#endif
