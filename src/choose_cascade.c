/**
 * Cascade policies: the learned order, and the baselines that it is compared with.
 */
#include "choose_cascade.h"

#include "choose_search.h"
#include "util_id.h"
#include <string.h>

static Reason plan_learned (const CascadeQuery *query, ChoosePlan *plan);
static Reason plan_fixed (const CascadeQuery *query, ChoosePlan *plan);
static Reason plan_cheapest (const CascadeQuery *query, ChoosePlan *plan);
static Reason plan_best (const CascadeQuery *query, ChoosePlan *plan);

const CascadeSettings cascade_settings_default = {
  .confidence = 1,
  .unreachable = 3,
  .prior_weight = 10,
  .team_weight = 50,
  .rating_cost_share = 0.02,
  .wait_cost_per_s = 0,
  .mix_shortfall_max = 0.05,
  .explore_share = 0.02,
  .evidence_weight_min = 50,
  .stages_max = 3,
  .default_tokens = 800,
  .default_duration_ms = 2000,
};

const CascadePolicy cascade_policy_default = { .name = "learned", .plan = plan_learned };

static const CascadePolicy policies[] = {
  { .name = "learned", .plan = plan_learned },
  { .name = "fixed", .plan = plan_fixed },
  { .name = "cheapest", .plan = plan_cheapest },
  { .name = "best", .plan = plan_best },
};

const CascadePolicy *
cascade_policy_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

bool
cascade_passes (const ChoosePlan *plan, double score)
{
  return score >= plan->quality_target;
}

/** Baseline: the stages in the order in which the class lists them. */
static Reason
plan_fixed (const CascadeQuery *query, ChoosePlan *plan)
{
  return choose_plan (query->request, plan);
}

typedef bool (*IsBetter) (const ConfigVersion *version, const ConfigVersion *other);

/** Plans only the best candidate; the first of several equal ones. */
static Reason
plan_one (const CascadeQuery *query, ChoosePlan *plan, IsBetter is_better)
{
  const ConfigVersion *versions = query->request->config->versions;
  Reason reason = choose_candidates (query->request, plan);
  unsigned best;
  size_t i;

  if (reason != REASON_NONE)
    return reason;
  best = plan->versions[0];
  for (i = 1; i < plan->count; i++)
    {
      if (is_better (&versions[plan->versions[i]], &versions[best]))
        best = plan->versions[i];
    }
  plan->versions[0] = best;
  plan->count = 1;
  plan->rated = false;
  return REASON_NONE;
}

static bool
costs_less (const ConfigVersion *version, const ConfigVersion *other)
{
  return version->cost_per_1k < other->cost_per_1k;
}

static bool
has_higher_quality (const ConfigVersion *version, const ConfigVersion *other)
{
  return version->prior_quality > other->prior_quality;
}

/** Baseline: the version of lowest cost, whatever its quality. */
static Reason
plan_cheapest (const CascadeQuery *query, ChoosePlan *plan)
{
  return plan_one (query, plan, costs_less);
}

/** Baseline: the version of highest prior quality, whatever its cost. */
static Reason
plan_best (const CascadeQuery *query, ChoosePlan *plan)
{
  return plan_one (query, plan, has_higher_quality);
}

static void
plan_set_stages (const Forecast *forecast, unsigned mask, ChoosePlan *plan)
{
  unsigned i;

  plan->count = 0;
  for (i = 0; i < forecast->count; i++)
    {
      if ((mask >> i & 1) != 0)
        plan->versions[plan->count++] = forecast->stages[i].version;
    }
  plan->rated = plan->count > 1;
}

static Reason
plan_learned (const CascadeQuery *query, ChoosePlan *plan)
{
  const ChooseRequest *request = query->request;
  Reason reason = choose_candidates (request, plan);
  ForecastPlan below[SEARCH_PLANS_MAX];
  ForecastPlan above[SEARCH_PLANS_MAX];
  Forecast forecast;
  Search search = { .query = query, .forecast = &forecast, .below = below, .above = above };
  ForecastPlan found;
  unsigned explored;

  if (reason != REASON_NONE)
    return reason;
  /* A named model or a session's version leaves no choice, and is not refused for its quality. */
  if (plan->class_index < 0 || request->session_version != NULL)
    return REASON_NONE;
  forecast_read (query, plan, &forecast);
  search.target = plan->quality_target;
  search.time_ms = request->deadline_ms != 0 ? request->deadline_ms - request->now_ms : 0;
  search.single = !plan->idempotent || !query->rating_available;
  search_run (&search);
  /* A request whose target no plan can reach is refused, except for the share that may explore:
     without any answers the estimates could never recover. */
  if (!search.reachable && !search_may_explore (query))
    return REASON_TARGET_UNREACHABLE;
  plan->basis = query->rating_available ? PLAN_LEARNED : PLAN_UNRATED;
  found = search_result (&search, plan);
  explored = search.single || !search_may_explore (query)
                 ? 0
                 : search_explore (query, &forecast, &found);
  if (explored != 0)
    plan->basis = PLAN_EXPLORING;
  plan_set_stages (&forecast, explored != 0 ? explored : found.mask, plan);
  return REASON_NONE;
}

static uint64_t
optional_version_key (const Config *config, int version)
{
  return version < 0 ? 0 : forecast_version_key (config, (unsigned)version);
}

static EstimateKey
outcome_key (const CascadeOutcome *outcome)
{
  const Config *config = outcome->config;

  return (EstimateKey){
    .class_key = id_hash_string (config->classes[outcome->class_index].name, 0),
    .version_key = optional_version_key (config, (int)outcome->version),
    .previous_key = optional_version_key (config, outcome->previous),
  };
}

void
cascade_record_rating (Estimates *estimates, const CascadeOutcome *outcome, double score)
{
  bool passed = score >= outcome->quality_target;
  EstimateKey key;

  if (outcome->class_index < 0)
    return;
  key = outcome_key (outcome);
  estimates_add_rating (estimates, &key, score, passed, outcome->now_ms);
  if (outcome->previous >= 0)
    return;
  key.team_key = id_hash_string (outcome->config->teams[outcome->team].name, 0);
  estimates_add_rating (estimates, &key, score, passed, outcome->now_ms);
}

void
cascade_record_run (Estimates *estimates, const CascadeOutcome *outcome, double tokens, double ms)
{
  EstimateKey key;

  if (outcome->class_index < 0)
    return;
  key = outcome_key (outcome);
  key.previous_key = 0;
  estimates_add_run (estimates, &key, tokens, ms, outcome->now_ms);
}
