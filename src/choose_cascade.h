/**
 * The order of a request's stages: the least expected cost whose quality meets the class's target
 * and whose time meets the deadline, by what the rating service's verdicts have shown.
 */
#ifndef CHOOSE_CASCADE_H
#define CHOOSE_CASCADE_H

#include "choose.h"
#include "choose_estimate.h"

typedef struct
{
  double confidence;        /**< standard errors by which a plan must clear the target */
  double unreachable;       /**< standard errors by which all plans must miss it to be refused */
  double prior_weight;      /**< ratings that a version's prior quality counts for */
  double team_weight;       /**< ratings of all teams that one team's are set against */
  double rating_cost_share; /**< cost of one rating, as a part of the cheapest version's answer: the
                           document's cost units are the operators' own */
  double wait_cost_per_s;   /**< cost units that a second until the first token is worth */
  double mix_shortfall_max; /**< a plan may be mixed in that misses the target by at most this */
  double explore_share;     /**< most requests that try a version with little evidence first */
  double evidence_weight_min; /**< ratings below which a version has little evidence */
  unsigned stages_max;
  double tokens; /**< of an answer, before any was seen */
  double ms;     /**< of an answer, before any was seen */
} CascadeSettings;

extern const CascadeSettings cascade_settings_default;

typedef struct
{
  const ChooseRequest *request;
  Estimates *estimates;
  const CascadeSettings *settings;
  bool rating_available; /**< false: no rating can be had now */
  double rating_ms;      /**< how long one takes */
  uint64_t random;       /**< fresh random bits */
} CascadeQuery;

typedef struct
{
  const char *name; /**< "learned"; the baselines "fixed", "cheapest", "best" */
  Reason (*plan) (const CascadeQuery *query, ChoosePlan *plan);
} CascadePolicy;

extern const CascadePolicy cascade_policy_default;
/** NULL if there is none of that name. */
const CascadePolicy *cascade_policy_find (const char *name);

/** True if a stage's rating lets its answer pass on to the caller. */
bool cascade_passes (const ChoosePlan *plan, double score);

/** What became of one stage's answer. */
typedef struct
{
  const Config *config;
  int class_index; /**< -1: the caller named a model; nothing is learned */
  unsigned team;
  unsigned version;
  int previous; /**< version whose answer had not passed before; -1: first stage */
  double quality_target;
  int64_t now_ms;
} CascadeOutcome;

/** Its rating came in, whether it gated the answer or was a sample. */
void cascade_record_rating (Estimates *estimates, const CascadeOutcome *outcome, double score);
/** It was generated: its tokens, prompt included, and its time. */
void
cascade_record_run (Estimates *estimates, const CascadeOutcome *outcome, double tokens, double ms);

#endif
