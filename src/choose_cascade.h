/**
 * Chooses a request's stages: the plan of lowest expected cost whose quality meets the class's
 * target and whose time meets the deadline, as estimated from the ratings of the rating service.
 */
#ifndef CHOOSE_CASCADE_H
#define CHOOSE_CASCADE_H

#include "choose.h"
#include "choose_estimate.h"

typedef struct
{
  double confidence;  /**< standard errors by which a plan's quality must exceed the target */
  double unreachable; /**< a request is refused if all plans miss the target by more standard errors
                         than this */
  double prior_weight;      /**< weight of a version's prior quality, in ratings */
  double team_weight;       /**< weight of the rating over all teams as the prior of one team's, in
                               ratings */
  double rating_cost_share; /**< cost of one rating, as a share of the cheapest version's answer:
                               cost units differ between documents */
  double wait_cost_per_s;   /**< cost units per second of waiting for the first token */
  double mix_shortfall_max; /**< a plan that misses the target by at most this may be mixed with a
                               better one */
  double explore_share; /**< largest share of requests that try a version with few ratings first */
  double evidence_weight_min; /**< ratings below which a version has little evidence */
  unsigned stages_max;
  double default_tokens;      /**< assumed tokens of an answer before any was observed */
  double default_duration_ms; /**< assumed time of an answer before any was observed */
} CascadeSettings;

extern const CascadeSettings cascade_settings_default;

typedef struct
{
  const ChooseRequest *request;
  Estimates *estimates;
  const CascadeSettings *settings;
  bool rating_available; /**< false: the rating service is unavailable */
  double rating_ms;      /**< expected duration of one rating */
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

/** True if a stage's rating is high enough to forward its answer to the caller. */
bool cascade_passes (const ChoosePlan *plan, double score);

/** The outcome of one stage's answer. */
typedef struct
{
  const Config *config;
  int class_index; /**< -1: the caller named a model; nothing is learned */
  unsigned team;
  unsigned version;
  int previous; /**< version of the stage before, whose answer failed its rating; -1: first stage */
  double quality_target;
  int64_t now_ms;
} CascadeOutcome;

/** Records the answer's rating, whether it decided about forwarding or the answer was a sample. */
void cascade_record_rating (Estimates *estimates, const CascadeOutcome *outcome, double score);
/** Records the answer's tokens, prompt included, and the time that it took. */
void
cascade_record_run (Estimates *estimates, const CascadeOutcome *outcome, double tokens, double ms);

#endif
