#include "choose_search.h"

#include <math.h>

#define RANDOM_STEPS           65536 /**< resolution of random shares */
#define FULL_SEARCH_STAGES_MAX 5     /**< with more candidates plans have at most two stages */

/** Lower confidence bound of a plan's quality. */
static double
quality_lower_bound (const Search *search, const ForecastPlan *plan)
{
  return plan->quality - search->query->settings->confidence * plan->error;
}

static void
search_consider (Search *search, const ForecastPlan *plan)
{
  const CascadeSettings *settings = search->query->settings;
  double lower_bound = quality_lower_bound (search, plan);
  bool late = search->time_ms != 0 && plan->duration_high_ms > (double)search->time_ms;

  if (plan->quality + settings->unreachable * plan->error >= search->target)
    search->reachable = true;
  if (search->closest.mask == 0 || lower_bound > quality_lower_bound (search, &search->closest))
    search->closest = *plan;
  if (lower_bound < search->target)
    {
      if (!late && lower_bound >= search->target - settings->mix_shortfall_max)
        search->below[search->below_count++] = *plan;
      return;
    }
  if (search->fastest.mask == 0 || plan->duration_high_ms < search->fastest.duration_high_ms)
    search->fastest = *plan;
  if (late)
    return;
  search->above[search->above_count++] = *plan;
  if (search->cheapest.mask == 0 || plan->cost < search->cheapest.cost)
    search->cheapest = *plan;
}

/** Considers all plans of up to stages_max stages that begin with the path and continue with stages
 *  from start on. */
static void
search_from (Search *search, const ForecastPath *path, unsigned start, unsigned stages_max)
{
  unsigned useful = search->forecast->useful;
  unsigned i;

  for (i = start; useful >> i != 0; i++)
    {
      ForecastPlan plan;
      ForecastPath longer;

      if ((useful >> i & 1) == 0)
        continue;
      plan = forecast_finish (search->forecast, path, i);
      search_consider (search, &plan);
      if (path->count + 1 >= stages_max || useful >> (i + 1) == 0)
        continue;
      longer = *path;
      forecast_extend (search->forecast, &longer, i);
      search_from (search, &longer, i + 1, stages_max);
    }
}

/** Largest number of stages of a plan. With many candidates, most of which then have few ratings,
 *  plans of two stages are enough. */
static unsigned
search_stages_max (const Search *search)
{
  unsigned stages_limit = search->query->settings->stages_max;

  if (search->single)
    return 1;
  if (__builtin_popcount (search->forecast->useful) > FULL_SEARCH_STAGES_MAX && stages_limit > 2)
    return 2;
  return stages_limit;
}

void
search_run (Search *search)
{
  ForecastPath path = { .reach_probability = 1 };

  search_from (search, &path, 0, search_stages_max (search));
}

bool
search_may_explore (const CascadeQuery *query)
{
  return (double)(query->random % RANDOM_STEPS)
         < query->settings->explore_share * (double)RANDOM_STEPS;
}

unsigned
search_explore (const CascadeQuery *query, const Forecast *forecast, const ForecastPlan *found)
{
  double cost_min = found->cost;
  unsigned mask_found = 0;
  unsigned i;

  for (i = 0; i < forecast->count; i++)
    {
      Forecast optimistic = *forecast;
      ForecastRating *first = &optimistic.stages[i].first;
      unsigned mask = found->mask | 1U << i;
      ForecastPlan with;

      if (first->weight >= query->settings->evidence_weight_min)
        continue;
      if ((found->mask & ((1U << i) - 1)) != 0 || mask == found->mask)
        continue;
      first->pass = fmin (1, first->pass + query->settings->unreachable * sqrt (first->variance));
      with = forecast_plan (&optimistic, mask);
      if (with.cost >= cost_min)
        continue;
      cost_min = with.cost;
      mask_found = mask;
    }
  return mask_found;
}

/** The share of requests that may get the plan below the target so that the mean of both plans
 *  still meets it. */
static double
mix_share (const Search *search, const ForecastPlan *below, const ForecastPlan *above)
{
  double excess = quality_lower_bound (search, above) - search->target;
  double shortfall = search->target - quality_lower_bound (search, below);

  return excess / (excess + shortfall);
}

/** The target applies to the mean over requests: if one plan is cheap and a little below it, and
 *  another is expensive and well above it, a mixture of both meets the target at less cost than the
 *  second alone. Returns the plan selected by this request's random bits. */
static ForecastPlan
search_mixture (const Search *search)
{
  ForecastPlan chosen_above = search->cheapest;
  ForecastPlan chosen_below = { .mask = 0 };
  double cost_min = search->cheapest.cost;
  double share = 0;
  unsigned i, j;

  for (i = 0; i < search->below_count; i++)
    {
      const ForecastPlan *below = &search->below[i];

      if (below->cost >= cost_min)
        continue;
      for (j = 0; j < search->above_count; j++)
        {
          const ForecastPlan *above = &search->above[j];
          double portion = mix_share (search, below, above);
          double cost = portion * below->cost + (1 - portion) * above->cost;

          if (cost >= cost_min)
            continue;
          cost_min = cost;
          share = portion;
          chosen_below = *below;
          chosen_above = *above;
        }
    }
  if ((double)(search->query->random >> 32 & (RANDOM_STEPS - 1)) < share * RANDOM_STEPS)
    return chosen_below;
  return chosen_above;
}

ForecastPlan
search_result (const Search *search, ChoosePlan *plan)
{
  if (search->cheapest.mask != 0)
    return search_mixture (search);
  if (search->fastest.mask != 0)
    {
      plan->late = true;
      return search->fastest;
    }
  plan->below_target = true;
  return search->closest;
}
